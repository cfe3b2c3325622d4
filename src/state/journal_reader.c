#include "state/journal_reader.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "state/journal_format.h"
#include "state/snapshot.h"

enum {
	READ_STEP_BYTES = 1 << 16
};

/* Writes the name of the segment that starts at a sequence number. */
void
jr_segment_path(char *path, const char *folder, uint64_t first_seq)
{
	(void)snprintf(path, JR_PATH_BYTES, "%s/journal-%016" PRIx64 ".log",
	    folder, first_seq);
}

/* Writes the name of the snapshot that covers a sequence number. */
void
jr_snapshot_path(char *path, const char *folder, uint64_t seq)
{
	(void)snprintf(
	    path, JR_PATH_BYTES, "%s/snapshot-%016" PRIx64 ".img", folder, seq);
}

static int
refuse(struct jr *jr, int error, size_t offset, const char *what)
{
	buf_clear(&jr->why);
	buf_addf(&jr->why, "%s: offset %zu: %s", jr->path, offset, what);
	return error;
}

static int
load(struct jr *jr)
{
	ssize_t n;
	int fd;

	buf_clear(&jr->file);
	fd = open(jr->path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return refuse(jr, ERR_DISK, 0, strerror(errno));
	do {
		buf_reserve(&jr->file, READ_STEP_BYTES);
		n = read(fd, jr->file.data + jr->file.len, READ_STEP_BYTES);
		if (n > 0)
			jr->file.len += (size_t)n;
	} while (n > 0 || (n < 0 && errno == EINTR));
	(void)close(fd);
	if (n < 0)
		return refuse(jr, ERR_DISK, jr->file.len, strerror(errno));
	jr->read_bytes += jr->file.len;
	return 0;
}

static bool
parse_name(
    const char *name, const char *before, const char *after, uint64_t *seq)
{
	size_t n = strlen(before);
	char *end;

	if (strncmp(name, before, n) != 0)
		return false;
	*seq = strtoull(name + n, &end, 16);
	return end == name + n + 16 && strcmp(end, after) == 0;
}

static void
add_segment(struct jr *jr, uint64_t first_seq)
{
	jr->segments = alloc_resize(jr->alloc, jr->segments,
	    (jr->segment_count + 1) * sizeof(*jr->segments));
	jr->segments[jr->segment_count].first_seq = first_seq;
	jr->segments[jr->segment_count].stale = false;
	jr->segment_count++;
}

static void
add_old_snapshot(struct jr *jr, uint64_t seq)
{
	jr->old_snapshots = alloc_resize(jr->alloc, jr->old_snapshots,
	    (jr->old_snapshot_count + 1) * sizeof(*jr->old_snapshots));
	jr->old_snapshots[jr->old_snapshot_count++] = seq;
}

static void
add_snapshot(struct jr *jr, uint64_t seq)
{
	if (!jr->has_snapshot) {
		jr->has_snapshot = true;
		jr->snapshot_seq = seq;
	} else if (seq > jr->snapshot_seq) {
		add_old_snapshot(jr, jr->snapshot_seq);
		jr->snapshot_seq = seq;
	} else {
		add_old_snapshot(jr, seq);
	}
}

static int
segment_order(const void *a, const void *b)
{
	const struct jr_segment *x = a, *y = b;

	return (x->first_seq > y->first_seq) - (x->first_seq < y->first_seq);
}

static int
list(struct jr *jr)
{
	struct dirent *entry;
	uint64_t seq;
	DIR *dir;

	dir = opendir(jr->folder);
	if (dir == NULL)
		return refuse(jr, ERR_DISK, 0, strerror(errno));
	while ((entry = readdir(dir)) != NULL) {
		if (parse_name(entry->d_name, "journal-", ".log", &seq))
			add_segment(jr, seq);
		else if (parse_name(entry->d_name, "snapshot-", ".img", &seq))
			add_snapshot(jr, seq);
	}
	(void)closedir(dir);
	if (jr->segment_count > 1)
		qsort(jr->segments, jr->segment_count, sizeof(*jr->segments),
		    segment_order);
	return 0;
}

/*
 * The segment after the snapshot is made before the snapshot gets its name, so
 * a folder without it has lost a file.
 */
static int
find_first(struct jr *jr)
{
	size_t i;

	jr->next_seq = jr->has_snapshot ? jr->snapshot_seq + 1 : 1;
	for (i = 0; i < jr->segment_count; i++) {
		if (jr->segments[i].first_seq >= jr->next_seq)
			break;
		jr->segments[i].stale = true;
	}
	jr->current = i;
	if (i < jr->segment_count && jr->segments[i].first_seq == jr->next_seq)
		return 0;
	if (jr->segment_count == 0 && !jr->has_snapshot)
		return 0;
	jr_segment_path(jr->path, jr->folder, jr->next_seq);
	return refuse(jr, ERR_CORRUPT, 0, "the segment is missing");
}

/*
 * Lists a data folder and checks its snapshot as a whole.  Returns 0, ERR_DISK
 * or ERR_CORRUPT with jr->why; jr_close() is due in either case.
 */
int
jr_open(struct jr *jr, const struct alloc *alloc, const char *folder)
{
	size_t bad;
	int e;

	memset(jr, 0, sizeof(*jr));
	jr->alloc = alloc;
	jr->folder = folder;
	buf_init(&jr->file, alloc);
	buf_init(&jr->why, alloc);
	(void)snprintf(jr->path, sizeof(jr->path), "%s", folder);
	e = list(jr);
	if (e == 0)
		e = find_first(jr);
	if (e != 0 || !jr->has_snapshot)
		return e;
	jr_snapshot_path(jr->path, folder, jr->snapshot_seq);
	e = load(jr);
	if (e != 0)
		return e;
	e = sn_verify(jr->file.data, jr->file.len, jr->snapshot_seq, &bad);
	if (e != 0)
		return refuse(jr, e, bad,
		    e == ERR_VERSION ? "unknown format version"
				     : "the checksum does not match");
	jr->snapshot_bytes = jr->file.len;
	jr->in_snapshot = true;
	jr->open = true;
	jr->offset = JF_HEADER_BYTES;
	return 0;
}

static bool
is_last(const struct jr *jr)
{
	return jr->current + 1 == jr->segment_count;
}

/* Opens the current segment; a last one without a whole header is torn. */
static int
open_segment(struct jr *jr)
{
	uint64_t first;
	int e;

	jr_segment_path(
	    jr->path, jr->folder, jr->segments[jr->current].first_seq);
	e = load(jr);
	if (e != 0)
		return e;
	e = jf_header_get(jr->file.data, jr->file.len, JF_SEGMENT, &first);
	if (e == ERR_VERSION)
		return refuse(jr, e, 0, "unknown format version");
	jr->open = true;
	jr->offset = JF_HEADER_BYTES;
	if (e == 0 && first == jr->segments[jr->current].first_seq)
		return 0;
	if (e == 0 || !is_last(jr) ||
	    jf_was_durable(jr->file.data, jr->file.len, 0))
		return refuse(jr, ERR_CORRUPT, 0, "the header is damaged");
	jr->torn_bytes = jr->file.len;
	jr->file.len = 0;
	jr->offset = 0;
	return 0;
}

/* At bytes that are no record: the end, a torn tail, or damage. */
static int
end_segment(struct jr *jr)
{
	const uint8_t *rest = jr->file.data + jr->offset;
	size_t len = jr->file.len - jr->offset;

	if (!is_last(jr)) {
		if (jr->next_seq != jr->segments[jr->current + 1].first_seq)
			return refuse(jr, ERR_CORRUPT, jr->offset,
			    "the checksum does not match");
		jr->current++;
		jr->open = false;
		return 1;
	}
	if (len > 0) {
		if (jf_was_durable(rest, len, jr->next_seq))
			return refuse(jr, ERR_CORRUPT, jr->offset,
			    "the checksum does not match");
		jr->torn_bytes = len;
		jr->file.len = jr->offset;
	}
	return 0;
}

static int
next_in_segment(struct jr *jr, struct jnl_record *record)
{
	struct jf_record raw;
	size_t n;
	int e;

	for (;;) {
		if (!jr->open && (e = open_segment(jr)) != 0)
			return e;
		n = jf_record_get(jr->file.data + jr->offset,
		    jr->file.len - jr->offset, &raw);
		if (n == 0) {
			e = end_segment(jr);
			if (e <= 0)
				return e;
			continue;
		}
		jr->record_offset = jr->offset;
		if (raw.kind != JF_KIND_MARK && raw.seq != jr->next_seq)
			return refuse(
			    jr, ERR_CORRUPT, jr->offset, "a record is missing");
		jr->offset += n;
		if (raw.kind == JF_KIND_MARK)
			continue;
		jr->next_seq++;
		record->seq = raw.seq;
		record->kind = raw.kind;
		record->data = raw.data;
		record->len = raw.len;
		return 1;
	}
}

/*
 * Brings the next record.  Returns 1, 0 at the end, or ERR_CORRUPT, ERR_DISK
 * or ERR_VERSION with the file and offset in jr->why.
 */
int
jr_next(struct jr *jr, struct jnl_record *record)
{
	struct jf_record raw;

	if (jr->in_snapshot) {
		jr->record_offset = jr->offset;
		jr->offset += jf_record_get(jr->file.data + jr->offset,
		    jr->file.len - jr->offset, &raw);
		if (raw.kind != JF_KIND_END) {
			record->seq = 0;
			record->kind = raw.kind;
			record->data = raw.data;
			record->len = raw.len;
			return 1;
		}
		jr->in_snapshot = false;
		jr->open = false;
	}
	if (jr->segment_count == 0)
		return 0;
	return next_in_segment(jr, record);
}

/* Releases what the reader holds. */
void
jr_close(struct jr *jr)
{
	buf_free(&jr->file);
	buf_free(&jr->why);
	alloc_free(jr->alloc, jr->segments);
	alloc_free(jr->alloc, jr->old_snapshots);
	jr->segments = NULL;
	jr->old_snapshots = NULL;
}
