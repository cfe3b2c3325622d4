#ifndef CF_ENTRY_H
#define CF_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "celeryford.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The entry child process: accepts callers' HTTP requests and calls backend
 * servers.  It translates HTTP into router events and performs the router's
 * actions.  Whatever other instances must learn or store goes through the
 * callbacks in struct entry_ports.
 */
struct entry;
struct server_announcement;

enum {
	ENTRY_TAG_BYTES = 65
};

/* The cost of one request; the key is the workspace and the request id. */
struct entry_bill {
	uint32_t request; /* passed back to entry_write_done() */
	const char *workspace;
	uint64_t sequence; /* with the owner number, forms the request id */
	const char *version; /* that answered; "" for a plain service */
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint64_t cost_nano; /* billionths; sum over all attempts that ran */
	uint8_t attempts;
};

/* A request's claim on its idempotency key. */
struct entry_claim {
	uint32_t request; /* passed back to entry_claim_done() */
	const char *workspace;
	const char *key;
};

/* How a claim ends. */
enum entry_claim_outcome {
	/* No attempt ran; the key can be claimed again. */
	ENTRY_OUTCOME_RELEASED,
	ENTRY_OUTCOME_DONE, /* the call ran */
	ENTRY_OUTCOME_UNKNOWN /* the call may have run; an operator decides */
};

/*
 * Callbacks to the rest of the process.  ctx is that of struct entry_options.
 */
struct entry_ports {
	/* Claims an idempotency key; entry_claim_done() reports the result. */
	void (*claim)(void *ctx, const struct entry_claim *claim);
	/* Ends a claim; entry_write_done() follows once that is durable. */
	void (*outcome)(void *ctx, const struct entry_claim *claim,
	    enum entry_claim_outcome outcome);
	/*
	 * Makes the attempt marker durable; entry_marker_done() reports the
	 * result.
	 */
	void (*mark)(void *ctx, uint32_t request);
	/* Returns whether a durable marker still permits a dispatch. */
	bool (*may_dispatch)(void *ctx, uint32_t request);
	/*
	 * Records before the first dispatch that the request will be billed.
	 * Returns false if there is no room for another bill.
	 */
	bool (*intend)(void *ctx, const struct entry_bill *bill);
	/* Writes the final bill; entry_write_done() follows once durable. */
	void (*settle)(void *ctx, const struct entry_bill *bill);
	/*
	 * Sends an action to other instances: CF_ACT_BIND, _CRASH_MARK,
	 * _CREDIT_ASK, _CREDIT_GIVE or _STOP_VERSION.
	 */
	void (*spread)(void *ctx, const struct cf_action *action);
	/* Called when a server announces itself directly to this instance. */
	void (*heard)(
	    void *ctx, const struct server_announcement *announcement);
	/*
	 * Called when an announcement has been accepted, whether received here
	 * or by another instance.
	 */
	void (*announced)(void *ctx, const struct cf_announce *announce);
	/* Called for each rating posted to this instance. */
	void (*rated)(void *ctx, const struct cf_rating *rating);
	/*
	 * Returns "IP:PORT" of an instance of the data centre to forward to,
	 * or NULL if there is none.
	 */
	const char *(*neighbour)(void *ctx, uint16_t data_centre);
	/*
	 * Computes the authentication tag that proves that the request with
	 * this id was forwarded by an instance of this system.
	 */
	void (*forward_tag)(
	    void *ctx, const char *id, char tag[ENTRY_TAG_BYTES]);
};

struct entry_options {
	const struct alloc *alloc;
	struct loop *loop;
	struct metrics *metrics;
	const char *host;
	uint16_t port;
	const char *instance;
	uint64_t owner; /* owner number: the first part of request ids */
	const char *data_centre;
	uint32_t body_max_bytes;
	size_t bodies_max_bytes; /* of all requests together */
	/* The same for large plain answers, that arrive and that are sent */
	size_t answers_max_bytes;
	uint32_t connections_max; /* of callers */
	uint64_t seed;
	const struct entry_ports *ports;
	void *ctx;
};

struct entry *entry_new(const struct entry_options *options);
void entry_free(struct entry *entry);
int entry_configure(struct entry *entry, const struct cfg *cfg);
void entry_handle_event(struct entry *entry, const struct cf_event *event);
void entry_claim_done(struct entry *entry, uint32_t request, int error);
void entry_marker_done(struct entry *entry, uint32_t request, int error);
void entry_write_done(struct entry *entry, uint32_t request);
void entry_drain(struct entry *entry);
size_t entry_take_digests(
    struct entry *entry, struct cf_digest *out, size_t max);
int entry_apply_announcement(
    struct entry *entry, const struct server_announcement *announcement);
const char *entry_server_name(const struct entry *entry, uint16_t server);
int entry_find_server_by_hash(const struct entry *entry, uint32_t hash);
void entry_add_spare_slots(
    struct entry *entry, uint16_t *spare, uint16_t count);
uint32_t entry_open_requests(const struct entry *entry);
void entry_append_server_status(struct entry *entry, struct buf *out);
bool entry_append_decisions(
    struct entry *entry, const char *id, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
