#include "state/orders.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "wire/cluster.pb-c.h"

enum {
	DIFF_HEAD_BYTES = 16, /* lengths of the common beginning and end */
	US_PER_MS = 1000
};

struct ord {
	const struct alloc *alloc;
	uint64_t revision; /* log index of the last change */
	uint64_t number;
	struct buf text;
	struct ord_rollout rollouts[ORD_ROLLOUTS_MAX];
	size_t rollout_count;
	char out[ORD_OUT_MAX][ORD_NAME_BYTES];
	size_t out_count;
};

/* Creates a state in which nothing was ordered. */
struct ord *
ord_new(const struct alloc *alloc)
{
	struct ord *ord = alloc_zero(alloc, 1, sizeof(*ord));

	ord->alloc = alloc;
	buf_init(&ord->text, alloc);
	return ord;
}

/* Releases a state. */
void
ord_free(struct ord *ord)
{
	if (ord == NULL)
		return;
	buf_free(&ord->text);
	alloc_free(ord->alloc, ord);
}

static void
pack_change(const Clpb__Change *change, struct buf *out)
{
	buf_reserve(out, clpb__change__get_packed_size(change));
	out->len += clpb__change__pack(change, out->data + out->len);
}

/* Appends the entry for a document. */
void
ord_encode_document(
    uint64_t number, const void *text, size_t len, struct buf *out)
{
	Clpb__Change change = CLPB__CHANGE__INIT;

	change.number = number;
	change.text.data = (uint8_t *)text;
	change.text.len = len;
	pack_change(&change, out);
}

static void
to_pb(const struct ord_rollout *rollout, Clpb__Rollout *pb)
{
	clpb__rollout__init(pb);
	pb->service = (char *)rollout->service;
	pb->target = (char *)rollout->target;
	pb->duration_ms = rollout->duration_ms;
	pb->state = rollout->state;
	pb->ordered_wall_ms = rollout->ordered_wall_ms;
}

/* Appends the entry for a new roll-out or the next state of one. */
void
ord_encode_rollout(const struct ord_rollout *rollout, struct buf *out)
{
	Clpb__Change change = CLPB__CHANGE__INIT;
	Clpb__Rollout pb;

	to_pb(rollout, &pb);
	change.rollout = &pb;
	pack_change(&change, out);
}

/* Appends the entry that takes a data centre out of use or back. */
void
ord_encode_out(const char *data_centre, bool is_out, struct buf *bytes)
{
	Clpb__Change change = CLPB__CHANGE__INIT;

	change.data_centre = (char *)data_centre;
	change.out = is_out;
	pack_change(&change, bytes);
}

static struct ord_rollout *
find_rollout(struct ord *ord, const char *service, const char *target)
{
	for (size_t i = ord->rollout_count; i-- > 0;) {
		struct ord_rollout *r = &ord->rollouts[i];

		if (strcmp(r->service, service) == 0 &&
		    (target == NULL || strcmp(r->target, target) == 0))
			return r;
	}
	return NULL;
}

/* When an order was given, by the own clock; the time of day may be off. */
static int64_t
ordered_at(const struct ord_rollout *r, int64_t now_us, int64_t wall_us)
{
	int64_t age_us = wall_us - r->ordered_wall_ms * US_PER_MS;

	if (age_us < 0)
		age_us = 0;
	if (age_us > (int64_t)r->duration_ms * US_PER_MS)
		age_us = (int64_t)r->duration_ms * US_PER_MS;
	return now_us - age_us;
}

static void
from_pb(struct ord_rollout *r, const Clpb__Rollout *pb)
{
	snprintf(r->service, sizeof(r->service), "%s", pb->service);
	snprintf(r->target, sizeof(r->target), "%s", pb->target);
	r->duration_ms = pb->duration_ms;
	r->state = (enum ord_rollout_state)pb->state;
	r->ordered_wall_ms = pb->ordered_wall_ms;
}

/* A roll-out's state only moves on; the newest one of a service is last. */
static bool
apply_rollout(
    struct ord *ord, const Clpb__Rollout *pb, int64_t now_us, int64_t wall_us)
{
	struct ord_rollout *r = find_rollout(ord, pb->service, pb->target);
	struct ord_rollout next = {0};

	from_pb(&next, pb);
	if (r != NULL) {
		if (next.state <= r->state || r->state >= ORD_COMPLETED)
			return false;
		r->state = next.state;
		return true;
	}
	next.ordered_us = ordered_at(&next, now_us, wall_us);
	if (ord->rollout_count == ORD_ROLLOUTS_MAX) {
		ord->rollout_count--;
		memmove(ord->rollouts, ord->rollouts + 1,
		    ord->rollout_count * sizeof(ord->rollouts[0]));
	}
	ord->rollouts[ord->rollout_count++] = next;
	return true;
}

static bool
apply_out(struct ord *ord, const char *data_centre, bool is_out)
{
	if (ord_is_out(ord, data_centre) == is_out)
		return false;
	if (is_out) {
		if (ord->out_count == ORD_OUT_MAX)
			return false;
		snprintf(ord->out[ord->out_count++], ORD_NAME_BYTES, "%s",
		    data_centre);
		return true;
	}
	for (size_t i = 0; i < ord->out_count; i++) {
		if (strcmp(ord->out[i], data_centre) == 0) {
			ord->out_count--;
			memmove(ord->out[i], ord->out[ord->out_count],
			    ORD_NAME_BYTES);
			break;
		}
	}
	return true;
}

static bool
apply_document(struct ord *ord, const Clpb__Change *change)
{
	if (change->number <= ord->number)
		return false;
	ord->number = change->number;
	buf_clear(&ord->text);
	buf_add(&ord->text, change->text.data, change->text.len);
	return true;
}

/*
 * Applies a committed entry.  Returns 0, or ERR_CORRUPT for bytes that are no
 * entry; changed tells whether anything is different now.
 */
int
ord_apply(struct ord *ord, uint64_t index, const void *data, size_t len,
    int64_t now_us, int64_t wall_us, bool *changed)
{
	Clpb__Change *change = clpb__change__unpack(NULL, len, data);

	*changed = false;
	if (change == NULL)
		return ERR_CORRUPT;
	if (change->rollout != NULL)
		*changed = apply_rollout(ord, change->rollout, now_us, wall_us);
	else if (change->data_centre[0] != '\0')
		*changed = apply_out(ord, change->data_centre, change->out);
	else
		*changed = apply_document(ord, change);
	if (*changed)
		ord->revision = index;
	clpb__change__free_unpacked(change, NULL);
	return 0;
}

/* Appends an image of the whole state. */
void
ord_image(const struct ord *ord, struct buf *out)
{
	static Clpb__Rollout rollouts[ORD_ROLLOUTS_MAX];
	static Clpb__Rollout *list[ORD_ROLLOUTS_MAX];
	char *names[ORD_OUT_MAX];
	Clpb__Orders orders = CLPB__ORDERS__INIT;

	orders.number = ord->number;
	orders.text.data = ord->text.data;
	orders.text.len = ord->text.len;
	orders.revision = ord->revision;
	for (size_t i = 0; i < ord->rollout_count; i++) {
		to_pb(&ord->rollouts[i], &rollouts[i]);
		list[i] = &rollouts[i];
	}
	orders.n_rollouts = ord->rollout_count;
	orders.rollouts = list;
	for (size_t i = 0; i < ord->out_count; i++)
		names[i] = (char *)ord->out[i];
	orders.n_out = ord->out_count;
	orders.out = names;
	buf_reserve(out, clpb__orders__get_packed_size(&orders));
	out->len += clpb__orders__pack(&orders, out->data + out->len);
}

/* Replaces the state by an image.  Returns 0 or ERR_CORRUPT. */
int
ord_restore(struct ord *ord, const void *data, size_t len, int64_t now_us,
    int64_t wall_us)
{
	Clpb__Orders *orders = clpb__orders__unpack(NULL, len, data);
	static struct ord_rollout known[ORD_ROLLOUTS_MAX];
	size_t known_count = ord->rollout_count;

	if (orders == NULL)
		return ERR_CORRUPT;
	memcpy(known, ord->rollouts, known_count * sizeof(known[0]));
	ord->revision = orders->revision;
	ord->number = orders->number;
	buf_clear(&ord->text);
	buf_add(&ord->text, orders->text.data, orders->text.len);
	ord->rollout_count = ord->out_count = 0;
	for (size_t i = 0; i < orders->n_rollouts && i < ORD_ROLLOUTS_MAX;
	     i++) {
		struct ord_rollout *r = &ord->rollouts[ord->rollout_count++];

		from_pb(r, orders->rollouts[i]);
		r->ordered_us = ordered_at(r, now_us, wall_us);
		for (size_t k = 0; k < known_count; k++) {
			if (strcmp(known[k].service, r->service) == 0 &&
			    strcmp(known[k].target, r->target) == 0)
				r->ordered_us = known[k].ordered_us;
		}
	}
	for (size_t i = 0; i < orders->n_out && i < ORD_OUT_MAX; i++)
		snprintf(ord->out[ord->out_count++], ORD_NAME_BYTES, "%s",
		    orders->out[i]);
	clpb__orders__free_unpacked(orders, NULL);
	return 0;
}

/* Returns the log index of the last change. */
uint64_t
ord_revision(const struct ord *ord)
{
	return ord->revision;
}

/* Returns the number of the document in force; 0: none. */
uint64_t
ord_number(const struct ord *ord)
{
	return ord->number;
}

/* Returns the text of that document, as it was sent. */
const struct buf *
ord_text(const struct ord *ord)
{
	return &ord->text;
}

size_t
ord_rollout_count(const struct ord *ord)
{
	return ord->rollout_count;
}

/* Returns a roll-out, oldest first. */
const struct ord_rollout *
ord_rollout_at(const struct ord *ord, size_t i)
{
	return &ord->rollouts[i];
}

/* Returns the newest roll-out of a service, or NULL. */
const struct ord_rollout *
ord_rollout_of(const struct ord *ord, const char *service)
{
	return find_rollout((struct ord *)ord, service, NULL);
}

/* Tells whether a version of a service was ever the target of a roll-out. */
bool
ord_is_target(const struct ord *ord, const char *service, const char *version)
{
	return find_rollout((struct ord *)ord, service, version) != NULL;
}

/* Tells whether operators have taken a data centre out of use. */
bool
ord_is_out(const struct ord *ord, const char *data_centre)
{
	for (size_t i = 0; i < ord->out_count; i++) {
		if (strcmp(ord->out[i], data_centre) == 0)
			return true;
	}
	return false;
}

static void
put_u64(struct buf *out, uint64_t value)
{
	uint8_t bytes[8];

	for (int i = 0; i < 8; i++)
		bytes[i] = (uint8_t)(value >> (8 * i));
	buf_add(out, bytes, sizeof(bytes));
}

static uint64_t
get_u64(const uint8_t *bytes)
{
	uint64_t value = 0;

	for (int i = 0; i < 8; i++)
		value |= (uint64_t)bytes[i] << (8 * i);
	return value;
}

/*
 * Appends the difference between two images: how much of their beginning and
 * end is the same, and what stands between in the second.
 */
void
ord_diff(const struct buf *from, const struct buf *to, struct buf *out)
{
	size_t shorter = from->len < to->len ? from->len : to->len;
	size_t head = 0, tail = 0;

	while (head < shorter && from->data[head] == to->data[head])
		head++;
	while (tail < shorter - head && from->data[from->len - 1 - tail] ==
					    to->data[to->len - 1 - tail])
		tail++;
	put_u64(out, head);
	put_u64(out, tail);
	buf_add(out, to->data + head, to->len - head - tail);
}

/* Makes the second image of a difference; ERR_CORRUPT if it doesn't fit. */
int
ord_patch(void *ctx, const struct buf *from, const uint8_t *diff, size_t len,
    struct buf *out)
{
	uint64_t head, tail;

	(void)ctx;
	if (len < DIFF_HEAD_BYTES)
		return ERR_CORRUPT;
	head = get_u64(diff);
	tail = get_u64(diff + 8);
	if (head > from->len || tail > from->len - head)
		return ERR_CORRUPT;
	buf_add(out, from->data, head);
	buf_add(out, diff + DIFF_HEAD_BYTES, len - DIFF_HEAD_BYTES);
	buf_add(out, from->data + (from->len - tail), tail);
	return 0;
}
