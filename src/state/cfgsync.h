#ifndef CF_CFGSYNC_H
#define CF_CFGSYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Distribution of the configuration: replica -> relay of each data centre ->
 * instances, as versioned deltas, with confirmations on the way back.
 *
 * A cfgsync_source runs at each replica and serves the revisions that the
 * replicated log has accepted.  A cfgsync_node runs in every instance;
 * cfgsync_node_set_relay() makes it the relay of its data centre.  A node
 * reports its revision every period (CFGSYNC_MSG_HAVE).  The answer
 * (CFGSYNC_MSG_ALIVE) grants a lease, which starts when the report was sent; a
 * node without a lease is isolated.  A relay grants no more than the rest of
 * its own lease.  A replica grants one only while it is known to be up to date.
 * A lease counts only for a node whose revision is at least that of the answer.
 *
 * A node applies a delta only to the revision it has, and accepts a whole
 * document only if it is newer, so its revision never decreases.  A node with
 * a disk keeps a copy.  A relay that learns of a newer revision at one of its
 * instances fetches it, so a data centre that is cut off from all replicas
 * restarts with the newest revision it had.
 */

enum {
	CFGSYNC_CHUNK_BYTES = 16384,
	CFGSYNC_DELTAS_MAX = 64, /* kept for instances that are behind */
	CFGSYNC_CONFIRMS_MAX = 32, /* in one message */
	CFGSYNC_NODES_MAX = 512
};

struct cfgsync_confirm {
	uint32_t instance;
	uint64_t incarnation;
	uint64_t revision;
};

enum cfgsync_msg_kind {
	/*
	 * The sender's revision and confirmations; a relay's include those of
	 * its instances.
	 */
	CFGSYNC_MSG_HAVE = 1,
	CFGSYNC_MSG_ALIVE, /* answer: revision and granted lease */
	CFGSYNC_MSG_DELTA, /* base -> revision */
	CFGSYNC_MSG_CHUNK, /* part of the whole document */
	CFGSYNC_MSG_WANT /* requests the document from this offset on */
};

struct cfgsync_msg {
	enum cfgsync_msg_kind kind;
	uint64_t round; /* HAVE, echoed in ALIVE */
	uint32_t instance;
	uint64_t incarnation;
	uint64_t revision;
	uint64_t base; /* DELTA */
	uint32_t lease_ms; /* ALIVE: granted; 0: none */
	uint64_t offset; /* CHUNK, WANT */
	uint64_t total; /* CHUNK: size of the document */
	uint32_t confirm_count;
	struct cfgsync_confirm confirms[CFGSYNC_CONFIRMS_MAX];
	const uint8_t *data; /* not owned; decode: points into scratch */
	size_t len;
};

void cfgsync_msg_encode(const struct cfgsync_msg *msg, struct buf *out);
/* msg->data points into scratch. */
int cfgsync_msg_decode(struct cfgsync_msg *msg, const uint8_t *data, size_t len,
    struct buf *scratch);

/*
 * Applies a delta to a document and writes the result to out.  Returns 0 or an
 * err.h number.  It must have no other effect.  If the option is NULL, deltas
 * are whole documents.
 */
typedef int cfgsync_apply_fn(void *ctx, const struct buf *document,
    const uint8_t *delta, size_t len, struct buf *out);

enum cfgsync_action_kind {
	CFGSYNC_SEND,
	/* Compile the document, then call cfgsync_node_set_in_force(). */
	CFGSYNC_IN_FORCE,
	/* Write a durable copy, then call cfgsync_node_set_persisted(). */
	CFGSYNC_PERSIST,
	CFGSYNC_ISOLATED, /* the lease ended */
	CFGSYNC_REJOINED /* a lease was granted again */
};

struct cfgsync_action {
	enum cfgsync_action_kind kind;
	uint32_t to;
	/* Valid during emit(), as are all pointers. */
	const struct cfgsync_msg *msg;
	uint64_t revision;
	const struct buf *document;
};

struct cfgsync_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct cfgsync_action *action);
	void *ctx;
	cfgsync_apply_fn *apply;
	uint32_t instance;
	uint64_t incarnation;
	uint32_t period_ms; /* between HAVEs; 0: 1,000 */
	uint32_t lease_ms; /* longest lease; 0: 5,000 */
	bool disk; /* node: emit CFGSYNC_PERSIST */
	/* Node: report eight times as often below half of the longest lease. */
	bool fast_renewal;
	/* Tests only: each disables one mechanism. */
	bool unsafe_any_revision;
	bool unsafe_lease_from_answer;
	bool unsafe_skip_fetch;
};

/* Replica side. */
struct cfgsync_source;

struct cfgsync_source *cfgsync_source_new(
    const struct cfgsync_options *options);
void cfgsync_source_free(struct cfgsync_source *source);
/* The log accepted a revision; delta may be NULL. */
void cfgsync_source_accept(struct cfgsync_source *source, uint64_t revision,
    const uint8_t *document, size_t document_len, const uint8_t *delta,
    size_t delta_len);
/* The replica is known to be up to date until until_us (a lease read). */
void cfgsync_source_set_fresh_until(
    struct cfgsync_source *source, int64_t until_us);
void cfgsync_source_receive(struct cfgsync_source *source, int64_t now_us,
    uint32_t from, const struct cfgsync_msg *msg);
/* From membership: the instances that are expected to confirm. */
void cfgsync_source_expect(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation);
void cfgsync_source_remove_instance(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation);
/* Lists expected instances without confirmation; returns their number. */
size_t cfgsync_source_list_unconfirmed(const struct cfgsync_source *source,
    uint64_t revision, uint32_t *instances, size_t max);
uint64_t cfgsync_source_revision(const struct cfgsync_source *source);

/* Every instance. */
struct cfgsync_node;

struct cfgsync_node *cfgsync_node_new(const struct cfgsync_options *options);
void cfgsync_node_free(struct cfgsync_node *node);
/* Loads the durable copy; called before all other functions. */
int cfgsync_node_restore(struct cfgsync_node *node, uint64_t revision,
    const uint8_t *document, size_t len);
/* Sets the receivers of HAVE: the relay, or for a relay the replicas. */
void cfgsync_node_set_upstream(
    struct cfgsync_node *node, const uint32_t *instances, uint32_t count);
void cfgsync_node_set_relay(struct cfgsync_node *node, bool relay);
void cfgsync_node_receive(struct cfgsync_node *node, int64_t now_us,
    uint32_t from, const struct cfgsync_msg *msg);
void cfgsync_node_set_in_force(
    struct cfgsync_node *node, int64_t now_us, uint64_t revision);
void cfgsync_node_set_persisted(
    struct cfgsync_node *node, int64_t now_us, uint64_t revision);
void cfgsync_node_tick(struct cfgsync_node *node, int64_t now_us);
int64_t cfgsync_node_due_us(const struct cfgsync_node *node);

uint64_t cfgsync_node_revision(const struct cfgsync_node *node);
uint64_t cfgsync_node_persisted(const struct cfgsync_node *node);
const struct buf *cfgsync_node_document(const struct cfgsync_node *node);
/* The end of the lease; 0 before the first one. */
int64_t cfgsync_node_lease_until_us(const struct cfgsync_node *node);
/* Must be checked before every dispatch; true until the first lease. */
bool cfgsync_node_isolated(const struct cfgsync_node *node, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
