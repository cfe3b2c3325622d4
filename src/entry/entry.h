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
 * The entry child: callers' HTTP in, backend HTTP out.  It turns HTTP into
 * events of the router and carries out the router's actions; what other
 * instances must know or keep goes through the ports.
 */
struct entry;
struct server_news;

enum {
	ENTRY_TAG_BYTES = 65
};

/* What one request cost, keyed by workspace and request id. */
struct entry_bill {
	uint32_t request; /* comes back in entry_settled() */
	const char *workspace;
	uint64_t sequence; /* request id, with the instance's owner number */
	const char *version; /* of the answer; "" for a plain service */
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint64_t cost_nano; /* of every attempt that ran */
	uint8_t attempts;
};

struct entry_claim {
	uint32_t request; /* comes back in entry_claimed() */
	const char *workspace;
	const char *key;
};

enum entry_outcome {
	ENTRY_RELEASED, /* nothing was dispatched: the key is free again */
	ENTRY_DONE, /* the call has run */
	ENTRY_UNKNOWN /* operators decide */
};

struct entry_ports {
	void (*claim)(void *ctx, const struct entry_claim *claim);
	void (*outcome)(void *ctx, const struct entry_claim *claim,
	    enum entry_outcome outcome);
	/* Makes the attempt marker durable; entry_marked() follows. */
	void (*mark)(void *ctx, uint32_t request);
	/* Whether the marker still allows a dispatch now. */
	bool (*may_dispatch)(void *ctx, uint32_t request);
	/* False: no more bills can be kept. */
	bool (*intend)(void *ctx, const struct entry_bill *bill);
	void (*settle)(void *ctx, const struct entry_bill *bill);
	/* CF_ACT_BIND, _CRASH_MARK, _CREDIT_ASK, _CREDIT_GIVE, _STOP_VERSION */
	void (*spread)(void *ctx, const struct cf_action *action);
	/* A server announced itself to this instance. */
	void (*heard)(void *ctx, const struct server_news *news);
	/* An announcement, heard here or elsewhere, counts from now on. */
	void (*announced)(void *ctx, const struct cf_announce *announce);
	/* A rating that this instance was given. */
	void (*rated)(void *ctx, const struct cf_rating *rating);
	/* "IP:PORT" of an instance of a data centre, or NULL. */
	const char *(*neighbour)(void *ctx, uint16_t data_centre);
	/* Proof, for one request id, that an instance of ours forwards it. */
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
	uint64_t owner; /* first part of request ids */
	const char *data_centre;
	uint32_t body_max_bytes;
	uint64_t seed;
	const struct entry_ports *ports;
	void *ctx;
};

struct entry *entry_new(const struct entry_options *options);
void entry_free(struct entry *entry);
int entry_configure(struct entry *entry, const struct cfg *cfg);
void entry_event(struct entry *entry, const struct cf_event *event);
void entry_claimed(struct entry *entry, uint32_t request, int error);
void entry_marked(struct entry *entry, uint32_t request, int error);
void entry_settled(struct entry *entry, uint32_t request);
void entry_drain(struct entry *entry);
size_t entry_digests(struct entry *entry, struct cf_digest *out, size_t max);
int entry_announced(struct entry *entry, const struct server_news *news);
const char *entry_server_name(const struct entry *entry, uint16_t server);
int entry_server_by_hash(const struct entry *entry, uint32_t hash);
void entry_spare(struct entry *entry, uint16_t *spare, uint16_t count);
uint32_t entry_open_requests(const struct entry *entry);
void entry_status(struct entry *entry, struct buf *out);
bool entry_explain(struct entry *entry, const char *id, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
