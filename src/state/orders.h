#ifndef CF_ORDERS_H
#define CF_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Operators' orders as a state machine fed by the replicated log: one document
 * with a number chosen by the operator, roll-outs, and disabled data centres.
 * The same entries in the same order give the same state on every replica;
 * instances without a replica receive it as an image.
 *
 * The document with the highest number is in force.  A document whose number is
 * not higher changes nothing, whatever its text.
 */
enum ord_rollout_state {
	ORD_RUNNING, /* the new version gets a small share of requests */
	ORD_FINISHING, /* the new version gets all requests */
	ORD_COMPLETED, /* the old servers may be stopped */
	ORD_ROLLED_BACK /* the new version gets no requests */
};

enum {
	ORD_NAME_BYTES = 64,
	ORD_ROLLOUTS_MAX = 256,
	ORD_DISABLED_MAX = 64
};

struct ord_rollout {
	char service[ORD_NAME_BYTES];
	char target[ORD_NAME_BYTES]; /* the new version */
	uint32_t duration_ms; /* from the order to the time limit */
	enum ord_rollout_state state;
	uint64_t number; /* index of its entry in the log; 0 in a new one */
	/* Time of day at the leader that accepted it. */
	int64_t ordered_wall_ms;
	int64_t ordered_us; /* estimated time of the order, monotonic */
};

struct ord;

/*
 * The document that a new one is encoded against, so that a small change makes
 * a small entry.  It has to be the one in force when the entry is applied.
 */
struct ord_base {
	uint64_t number; /* 0: none */
	struct buf text;
};

struct ord *ord_new(const struct alloc *alloc);
void ord_free(struct ord *ord);

void ord_encode_document(uint64_t number, const void *text, size_t len,
    const struct ord_base *base, struct buf *out);
void ord_encode_rollout(const struct ord_rollout *rollout, struct buf *out);
void ord_encode_disabled(const char *data_centre, bool out, struct buf *bytes);
int ord_apply(struct ord *ord, uint64_t index, const void *data, size_t len,
    int64_t now_us, int64_t wall_us, bool *changed);
void ord_encode_image(const struct ord *ord, struct buf *out);
int ord_restore(struct ord *ord, const void *data, size_t len, int64_t now_us,
    int64_t wall_us, int64_t since_us);

uint64_t ord_revision(const struct ord *ord);
uint64_t ord_document_number(const struct ord *ord);
const struct buf *ord_document_text(const struct ord *ord);
size_t ord_rollout_count(const struct ord *ord);
const struct ord_rollout *ord_rollout_at(const struct ord *ord, size_t i);
const struct ord_rollout *ord_newest_rollout(
    const struct ord *ord, const char *service);
const struct ord_rollout *ord_find_rollout(
    const struct ord *ord, const char *service, const char *version);
bool ord_is_disabled(const struct ord *ord, const char *data_centre);

#ifdef __cplusplus
}
#endif

#endif
