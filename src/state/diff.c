#include "state/diff.h"

#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/map.h"

enum {
	PIECE_MIN_BYTES = 16, /* shorter ones cost more to copy than to send */
	PIECE_MAX_BYTES = 512, /* a piece ends here, or after a record */
	OP_COPY = 'C', /* offset and length in the first text */
	OP_NEW = 'N', /* length, and so many bytes */
	VARINT_BITS = 7,
	VARINT_MORE = 0x80,
	VARINT_MAX_SHIFT = 63
};

/* Length of the piece that begins at an offset: up to the end of a record. */
static size_t
piece_at(const struct buf *text, size_t at)
{
	size_t left = text->len - at;
	size_t most = left < PIECE_MAX_BYTES ? left : PIECE_MAX_BYTES;

	for (size_t n = PIECE_MIN_BYTES; n < most; n++) {
		if (text->data[at + n - 1] == '}')
			return n;
	}
	return most;
}

static uint64_t
hash(const struct buf *text, size_t at, size_t len)
{
	return XXH64(text->data + at, len, len);
}

static void
put_number(struct buf *out, uint64_t value)
{
	uint8_t byte;

	do {
		byte = (uint8_t)(value & (VARINT_MORE - 1));
		value >>= VARINT_BITS;
		if (value != 0)
			byte |= VARINT_MORE;
		buf_add(out, &byte, 1);
	} while (value != 0);
}

static int
get_number(const uint8_t **at, const uint8_t *end, uint64_t *value)
{
	int shift = 0;

	*value = 0;
	while (*at < end && shift <= VARINT_MAX_SHIFT) {
		uint8_t byte = *(*at)++;

		*value |= (uint64_t)(byte & (VARINT_MORE - 1)) << shift;
		if ((byte & VARINT_MORE) == 0)
			return 0;
		shift += VARINT_BITS;
	}
	return ERR_CORRUPT;
}

struct writer {
	struct buf *out;
	const struct buf *to;
	size_t copy_at; /* a copy not written yet; copy_len 0: none */
	size_t copy_len;
	size_t new_at; /* new bytes not written yet */
	size_t new_len;
};

static void
flush(struct writer *w)
{
	uint8_t op;

	if (w->copy_len > 0) {
		op = OP_COPY;
		buf_add(w->out, &op, 1);
		put_number(w->out, w->copy_at);
		put_number(w->out, w->copy_len);
	}
	if (w->new_len > 0) {
		op = OP_NEW;
		buf_add(w->out, &op, 1);
		put_number(w->out, w->new_len);
		buf_add(w->out, w->to->data + w->new_at, w->new_len);
	}
	w->copy_len = w->new_len = 0;
}

static void
add_copy(struct writer *w, size_t at, size_t len)
{
	if (w->new_len == 0 && w->copy_len > 0 &&
	    w->copy_at + w->copy_len == at) {
		w->copy_len += len;
		return;
	}
	flush(w);
	w->copy_at = at;
	w->copy_len = len;
}

static void
add_new(struct writer *w, size_t at, size_t len)
{
	if (w->new_len == 0) {
		flush(w);
		w->new_at = at;
	}
	w->new_len += len;
}

/* Appends the difference between two texts. */
void
diff_encode(const struct buf *from, const struct buf *to, struct buf *out)
{
	struct map *pieces =
	    map_new(out->alloc, (uint32_t)(from->len / PIECE_MIN_BYTES + 2));
	struct writer w = {.out = out, .to = to};
	size_t n;

	for (size_t at = 0; at < from->len; at += n) {
		n = piece_at(from, at);
		(void)map_put(pieces, hash(from, at, n), (uint32_t)at);
	}
	for (size_t at = 0; at < to->len; at += n) {
		int64_t known;

		n = piece_at(to, at);
		known = map_get(pieces, hash(to, at, n));
		if (known != MAP_NONE && (size_t)known + n <= from->len &&
		    memcmp(from->data + known, to->data + at, n) == 0)
			add_copy(&w, (size_t)known, n);
		else
			add_new(&w, at, n);
	}
	flush(&w);
	map_free(pieces);
}

int
diff_apply(void *ctx, const struct buf *from, const uint8_t *diff, size_t len,
    struct buf *out)
{
	const uint8_t *at = diff, *end = diff + len;
	uint64_t offset, n;

	(void)ctx;
	while (at < end) {
		uint8_t op = *at++;

		if (op == OP_COPY) {
			if (get_number(&at, end, &offset) != 0 ||
			    get_number(&at, end, &n) != 0 ||
			    offset > from->len || n > from->len - offset)
				return ERR_CORRUPT;
			buf_add(out, from->data + offset, n);
		} else if (op == OP_NEW) {
			if (get_number(&at, end, &n) != 0 ||
			    n > (size_t)(end - at))
				return ERR_CORRUPT;
			buf_add(out, at, n);
			at += n;
		} else {
			return ERR_CORRUPT;
		}
	}
	return 0;
}
