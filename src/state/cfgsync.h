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
 * cfgsync_source stands at a replica and serves what the replicated log has
 * accepted.  cfgsync_node stands in every instance; the relay of a data centre
 * is a node told so by cfgsync_node_set_relay().  A node says every period
 * which revision it has (CFGSYNC_MSG_HAVE); the answer (CY_MSG_ALIVE) says how
 * long it may go on without being isolated, counted from when it asked.  That
 * time never exceeds what the relay itself has left, nor what the replica has
 * left since it last knew that it was up to date, and counts only for a node
 * whose revision is as new as the answer's.
 *
 * A node takes a delta only onto the revision it has, and a whole document
 * only if it is newer; so no revision goes back.  A node with a disk keeps a
 * copy; a relay that sees a newer revision below it fetches it, so a data
 * centre cut off from all replicas restarts with the newest it had.
 */

enum {
	CY_CHUNK_BYTES = 16384,
	CY_DELTAS_MAX = 64, /* kept for instances that are behind */
	CY_CONFIRMS_MAX = 32, /* in one message */
	CY_NODES_MAX = 512
};

struct cy_confirm {
	uint32_t instance;
	uint64_t incarnation;
	uint64_t revision;
};

enum cy_msg_kind {
	CFGSYNC_MSG_HAVE = 1, /* own revision; from a relay also confirms */
	CY_MSG_ALIVE, /* answer: revision and remaining lease */
	CY_MSG_DELTA, /* base -> revision */
	CY_MSG_CHUNK, /* part of the whole document of a revision */
	CFGSYNC_MSG_WANT /* send the whole document from this offset */
};

struct cfgsync_msg {
	enum cy_msg_kind kind;
	uint64_t round; /* HAVE, echoed in ALIVE */
	uint32_t instance;
	uint64_t incarnation;
	uint64_t revision;
	uint64_t base; /* DELTA */
	uint32_t lease_ms; /* ALIVE: remaining; 0: none */
	uint64_t offset; /* CHUNK, WANT */
	uint64_t total; /* CHUNK: size of the document */
	uint32_t confirm_count;
	struct cy_confirm confirms[CY_CONFIRMS_MAX];
	const uint8_t *data; /* not owned; decode: points into scratch */
	size_t len;
};

void cfgsync_msg_encode(const struct cfgsync_msg *msg, struct buf *out);
/* data stays valid until scratch changes. */
int cfgsync_msg_decode(struct cfgsync_msg *msg, const uint8_t *data, size_t len,
    struct buf *scratch);

/*
 * Makes the document of a delta's revision; 0 or an err.h number.  It must
 * have no other effect.  NULL in the options: deltas are whole documents.
 */
typedef int cfgsync_apply_fn(void *ctx, const struct buf *document,
    const uint8_t *delta, size_t len, struct buf *out);

enum cy_action_kind {
	CFGSYNC_SEND,
	CFGSYNC_IN_FORCE, /* a new revision: compile it; then
			     cfgsync_node_set_in_force() */
	CFGSYNC_PERSIST, /* durable copy of it; confirmed after
			  * cfgsync_node_set_persisted()
			  */
	CFGSYNC_ISOLATED, /* the lease ended */
	CFGSYNC_REJOINED /* the lease is back */
};

struct cfgsync_action {
	enum cy_action_kind kind;
	uint32_t to;
	const struct cfgsync_msg
	    *msg; /* valid during emit(), as all pointers */
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
	bool disk; /* node: CFGSYNC_PERSIST is wanted */
	bool fast_renewal; /* node: asks eight times as often when its lease is
			      short */
	/* For tests that show what each mechanism is for. */
	bool unsafe_any_revision;
	bool unsafe_lease_from_answer;
	bool unsafe_skip_fetch;
};

/* Replica side. */
struct cfgsync_source;

struct cfgsync_source *cfgsync_source_new(
    const struct cfgsync_options *options);
void cfgsync_source_free(struct cfgsync_source *source);
/* The log accepted a revision; delta NULL: only the document is known. */
void cfgsync_source_accept(struct cfgsync_source *source, uint64_t revision,
    const uint8_t *document, size_t document_len, const uint8_t *delta,
    size_t delta_len);
/* The replica is known to be up to date until then (a lease read). */
void cfgsync_source_set_fresh_until(
    struct cfgsync_source *source, int64_t until_us);
void cfgsync_source_receive(struct cfgsync_source *source, int64_t now_us,
    uint32_t from, const struct cfgsync_msg *msg);
/* Membership: who is expected to confirm. */
void cfgsync_source_expect(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation);
void cy_source_ended(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation);
/* Who has not confirmed a revision; returns how many. */
size_t cfgsync_source_list_unconfirmed(const struct cfgsync_source *source,
    uint64_t revision, uint32_t *instances, size_t max);
uint64_t cy_source_revision(const struct cfgsync_source *source);

/* Every instance. */
struct cfgsync_node;

struct cfgsync_node *cfgsync_node_new(const struct cfgsync_options *options);
void cfgsync_node_free(struct cfgsync_node *node);
/* The durable copy, before anything else. */
int cfgsync_node_restore(struct cfgsync_node *node, uint64_t revision,
    const uint8_t *document, size_t len);
/* Where HAVE goes: the relay, or the replicas when this is the relay. */
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
const struct buf *cfgsync_node_document(const struct cfgsync_node *node);
/* When the lease ends; 0 before the first one. */
int64_t cfgsync_node_lease_until_us(const struct cfgsync_node *node);
/* Asked before every dispatch; true until the first lease. */
bool cfgsync_node_isolated(const struct cfgsync_node *node, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
