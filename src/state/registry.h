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
 * What backend servers say of themselves, kept by every instance and spread by
 * those that servers announce themselves to.  No I/O.
 *
 * Announcements arrive late, twice and out of order.  One counts if it is of a
 * later birth than what is known under its id, or of the same birth with a
 * higher sequence number; a later birth at an address ends what was there.  A
 * server that is gone is remembered for a while, so that what was under way
 * does not bring it back.  One that was not heard of for long counts as not
 * known at that instance alone, until it is heard again.
 *
 * A server's answers may say that it leaves before it announces that, or
 * without ever doing so (rg_leaves()); that holds for its life as well.
 *
 * Each registry numbers its own changes.  A subscriber names the last one it
 * has and gets what followed (rg_since()): whole, or where a server has only
 * repeated itself since, no more than that (rg_refresh()).
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
	uint64_t version; /* of its weights */
};

struct rg_server {
	char id[RG_NAME_BYTES];
	char service[RG_NAME_BYTES];
	char data_centre[RG_NAME_BYTES];
	char version[RG_NAME_BYTES]; /* of its software */
	uint32_t ip; /* network byte order */
	uint16_t port; /* host byte order */
	uint16_t slots;
	enum rg_state state;
	uint64_t born_ms; /* start of this life */
	uint64_t seq; /* grows with each announcement of a life */
	uint32_t cold_ms; /* at heard_us */
	int64_t heard_us; /* when it was said, our clock */
	struct rg_model models[RG_MODELS_MAX];
	uint8_t model_count;
};

enum rg_verdict {
	REGISTRY_STALE, /* nothing new */
	REGISTRY_REFRESHED, /* the same again, later */
	RG_CHANGED /* something that decides where work may go */
};

typedef void (*registry_visit_fn)(void *ctx, const struct rg_server *server);

struct rg_options {
	const struct alloc *alloc;
	/* Told of each change and refreshment; may be NULL. */
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
