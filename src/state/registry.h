#ifndef CF_REGISTRY_H
#define CF_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The announcements of backend servers, kept by every instance and forwarded by
 * the instances that servers announce themselves to.  No I/O.
 *
 * Announcements may arrive late, twice and out of order.  One is accepted if
 * its life began later than the known one of the same id, or if it is of the
 * same life with a higher sequence number.  A later life at an address ends any
 * other server at that address.  A server that has gone is remembered for a
 * while, so that delayed announcements don't bring it back.  A server that
 * hasn't been heard from for long counts as unknown on that instance alone,
 * until it is heard again.
 *
 * The responses of a server may say that it is leaving before it announces
 * that, or without ever announcing it (rg_leaves()); this also holds for the
 * rest of its life.
 *
 * Each registry numbers its own changes.  A subscriber names the last change it
 * has and receives later ones (rg_since()): the whole announcement, or only a
 * refresh if the server has only repeated itself since (rg_refresh()).
 */
enum rg_state {
	RG_READY,
	RG_DRAINING,
	RG_GONE
};

enum {
	RG_NAME_BYTES = 64,
	RG_MODELS_MAX = 8,
	RG_SERVERS_MAX = 2048
};

struct rg_model {
	char name[RG_NAME_BYTES];
	uint64_t version; /* version of the model's weights */
};

struct rg_server {
	char id[RG_NAME_BYTES];
	char service[RG_NAME_BYTES];
	char data_centre[RG_NAME_BYTES];
	char version[RG_NAME_BYTES]; /* version of the server's software */
	uint32_t ip; /* network byte order */
	uint16_t port; /* host byte order */
	uint16_t slots;
	enum rg_state state;
	uint64_t born_ms; /* start of this life of the server */
	/* Sequence number; grows with each announcement of a life. */
	uint64_t seq;
	uint32_t cold_ms; /* remaining time of the cold start, as of heard_us */
	/* Time of the announcement, by this instance's monotonic clock. */
	int64_t heard_us;
	struct rg_model models[RG_MODELS_MAX];
	uint8_t model_count;
};

enum rg_verdict {
	REGISTRY_STALE, /* no new information */
	REGISTRY_REFRESHED, /* same content with a higher sequence number */
	RG_CHANGED /* a change that affects where requests may be sent */
};

typedef void (*registry_visit_fn)(void *ctx, const struct rg_server *server);

struct rg_options {
	const struct alloc *alloc;
	/* Called for each change and refresh; may be NULL. */
	void (*changed)(
	    void *ctx, const struct rg_server *server, enum rg_verdict verdict);
	void *ctx;
};

struct rg;

struct rg *rg_new(const struct rg_options *options);
void rg_free(struct rg *rg);
enum rg_verdict rg_take(
    struct rg *rg, const struct rg_server *server, int64_t now_us);
void rg_tick(struct rg *rg, int64_t now_us);
uint64_t rg_change(const struct rg *rg);
void rg_since(
    const struct rg *rg, uint64_t change, registry_visit_fn visit, void *ctx);
bool rg_is_refreshed(const struct rg_server *server, uint64_t change);
enum rg_verdict rg_refresh(struct rg *rg, const char *id, uint64_t born_ms,
    uint64_t seq, int64_t heard_us, int64_t now_us);
uint64_t rg_life_of(const char *id, uint64_t born_ms);
bool rg_leaves(struct rg *rg, uint64_t life, int64_t now_us);
const struct rg_server *rg_find(const struct rg *rg, const char *id);
size_t rg_count(const struct rg *rg);

#ifdef __cplusplus
}
#endif

#endif
