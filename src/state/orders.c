#include "state/orders.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "state/diff.h"
#include "wire/cluster.pb-c.h"

enum {
	US_PER_MS = 1000
};

struct ord {
	const struct alloc *alloc;
	uint64_t revision; /* log index of the last change */
	uint64_t number;
	struct buf text;
	struct ord_rollout rollouts[ORD_ROLLOUTS_MAX];
	size_t rollout_count;
	char out[ORD_DISABLED_MAX][ORD_NAME_BYTES];
	size_t out_count;
};

/* Creates a state without any orders. */
struct ord *
ord_new(const struct alloc *alloc)
{
	struct ord *ord = alloc_zero(alloc, 1, sizeof(*ord));

	ord->alloc = alloc;
	buf_init(&ord->text, alloc);
	return ord;
}

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

/*
 * Appends the log entry for a document, as a difference to base if base is a
 * document.
 */
void
ord_encode_document(uint64_t number, const void *text, size_t len,
    const struct ord_base *base, struct buf *out)
{
	Clpb__Change change = CLPB__CHANGE__INIT;
	struct buf whole, diff;

	buf_init(&whole, out->alloc);
	buf_init(&diff, out->alloc);
	change.number = number;
	change.text.data = (uint8_t *)text;
	change.text.len = len;
	if (base != NULL && base->number != 0) {
		buf_add(&whole, text, len);
		diff_encode(&base->text, &whole, &diff);
		change.base_number = base->number;
		change.text.data = diff.data;
		change.text.len = diff.len;
	}
	pack_change(&change, out);
	buf_free(&whole);
	buf_free(&diff);
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
	pb->number = rollout->number;
}

/* Appends the log entry for a new roll-out or for the next state of one. */
void
ord_encode_rollout(const struct ord_rollout *rollout, struct buf *out)
{
	Clpb__Change change = CLPB__CHANGE__INIT;
	Clpb__Rollout pb;

	to_pb(rollout, &pb);
	change.rollout = &pb;
	pack_change(&change, out);
}

/* Appends the log entry that disables or enables a data centre. */
void
ord_encode_disabled(const char *data_centre, bool is_out, struct buf *bytes)
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

/*
 * Returns when an order was given, as monotonic time in microseconds.  The time
 * of day may differ between instances, so the age is limited to between 0 and
 * the duration of the roll-out.
 */
static int64_t
ordered_at_us(const struct ord_rollout *r, int64_t now_us, int64_t wall_us)
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
	r->number = pb->number;
}

/*
 * Applies a roll-out.  Its state only advances.  The list is ordered by age,
 * the newest last; a full list drops the oldest.
 */
static bool
apply_rollout(struct ord *ord, uint64_t index, const Clpb__Rollout *pb,
    int64_t now_us, int64_t wall_us)
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
	next.number = index;
	next.ordered_us = ordered_at_us(&next, now_us, wall_us);
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
	if (ord_is_disabled(ord, data_centre) == is_out)
		return false;
	if (is_out) {
		if (ord->out_count == ORD_DISABLED_MAX)
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

/*
 * Applies a document.  Returns 0, ERR_STALE if its base isn't the document in
 * force, or the error of the difference.
 */
static int
apply_document(struct ord *ord, const Clpb__Change *change, bool *changed)
{
	struct buf text;
	int error = 0;

	if (change->base_number != 0 && change->base_number != ord->number)
		return ERR_STALE;
	if (change->number <= ord->number)
		return 0;
	buf_init(&text, ord->alloc);
	if (change->base_number != 0)
		error = diff_apply(NULL, &ord->text, change->text.data,
		    change->text.len, &text);
	else
		buf_add(&text, change->text.data, change->text.len);
	if (error == 0) {
		buf_free(&ord->text);
		ord->text = text;
		ord->number = change->number;
		*changed = true;
	} else {
		buf_free(&text);
	}
	return error;
}

/*
 * Applies a committed entry.  Returns 0, ERR_CORRUPT for bytes that aren't a
 * valid entry, or ERR_STALE for a document whose base isn't the document in
 * force, which has no effect.  *changed tells whether the state has changed.
 */
int
ord_apply(struct ord *ord, uint64_t index, const void *data, size_t len,
    int64_t now_us, int64_t wall_us, bool *changed)
{
	Clpb__Change *change = clpb__change__unpack(NULL, len, data);
	int error = 0;

	*changed = false;
	if (change == NULL)
		return ERR_CORRUPT;
	if (change->rollout != NULL)
		*changed =
		    apply_rollout(ord, index, change->rollout, now_us, wall_us);
	else if (change->data_centre[0] != '\0')
		*changed = apply_out(ord, change->data_centre, change->out);
	else
		error = apply_document(ord, change, changed);
	if (*changed)
		ord->revision = index;
	clpb__change__free_unpacked(change, NULL);
	return error;
}

/* Appends an encoded image of the whole state. */
void
ord_encode_image(const struct ord *ord, struct buf *out)
{
	static Clpb__Rollout rollouts[ORD_ROLLOUTS_MAX];
	static Clpb__Rollout *list[ORD_ROLLOUTS_MAX];
	char *names[ORD_DISABLED_MAX];
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

/*
 * Replaces the state by an image.  A roll-out that wasn't known before is taken
 * as ordered after since_us (monotonic; 0: at any time), whatever its age by
 * the local time of day.  Returns 0 or ERR_CORRUPT.
 */
int
ord_restore(struct ord *ord, const void *data, size_t len, int64_t now_us,
    int64_t wall_us, int64_t since_us)
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
		r->ordered_us = ordered_at_us(r, now_us, wall_us);
		if (r->ordered_us < since_us)
			r->ordered_us = since_us;
		for (size_t k = 0; k < known_count; k++) {
			if (strcmp(known[k].service, r->service) == 0 &&
			    strcmp(known[k].target, r->target) == 0)
				r->ordered_us = known[k].ordered_us;
		}
	}
	for (size_t i = 0; i < orders->n_out && i < ORD_DISABLED_MAX; i++)
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

/* Returns the operator's number of the document in force; 0: none. */
uint64_t
ord_document_number(const struct ord *ord)
{
	return ord->number;
}

/* Returns the text of the document in force, as the operator sent it. */
const struct buf *
ord_document_text(const struct ord *ord)
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
ord_newest_rollout(const struct ord *ord, const char *service)
{
	return find_rollout((struct ord *)ord, service, NULL);
}

/* Returns the roll-out of a service to a version, or NULL. */
const struct ord_rollout *
ord_find_rollout(
    const struct ord *ord, const char *service, const char *version)
{
	return find_rollout((struct ord *)ord, service, version);
}

/* Tells whether operators have disabled a data centre. */
bool
ord_is_disabled(const struct ord *ord, const char *data_centre)
{
	for (size_t i = 0; i < ord->out_count; i++) {
		if (strcmp(ord->out[i], data_centre) == 0)
			return true;
	}
	return false;
}
