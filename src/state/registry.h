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
 * without ever doing so (registry_mark_leaving()); that holds for its life as
 * well.
 *
 * Each registry numbers its own changes.  A subscriber names the last one it
 * has and gets what followed (registry_visit_changes()): whole, or where a
 * server has only repeated itself since, no more than that
 * (registry_refresh()).
 */
enum registry_state {
	REGISTRY_READY,
	REGISTRY_DRAINING,
	REGISTRY_GONE
};

enum {
	REGISTRY_NAME_BYTES = 64,
	REGISTRY_MODELS_MAX = 8,
	REGISTRY_SERVERS_MAX = 2048
};

struct registry_model {
	char name[REGISTRY_NAME_BYTES];
	uint64_t version; /* of its weights */
};

struct registry_server {
	char id[REGISTRY_NAME_BYTES];
	char service[REGISTRY_NAME_BYTES];
	char data_centre[REGISTRY_NAME_BYTES];
	char version[REGISTRY_NAME_BYTES]; /* of its software */
	uint32_t ip; /* network byte order */
	uint16_t port; /* host byte order */
	uint16_t slots;
	enum registry_state state;
	uint64_t born_ms; /* start of this life */
	uint64_t seq; /* grows with each announcement of a life */
	uint32_t cold_ms; /* at heard_us */
	int64_t heard_us; /* when it was said, our clock */
	struct registry_model models[REGISTRY_MODELS_MAX];
	uint8_t model_count;
};

enum registry_verdict {
	RG_STALE, /* nothing new */
	RG_REFRESHED, /* the same again, later */
	REGISTRY_CHANGED /* something that decides where work may go */
};

typedef void (*rg_visit_fn)(void *ctx, const struct registry_server *server);

struct registry_options {
	const struct alloc *alloc;
	/* Told of each change and refreshment; may be NULL. */
	void (*changed)(void *ctx, const struct registry_server *server,
	    enum registry_verdict verdict);
	void *ctx;
};

struct server_registry;

struct server_registry *registry_new(const struct registry_options *options);
void registry_free(struct server_registry *server_registry);
enum registry_verdict registry_update(struct server_registry *server_registry,
    const struct registry_server *server, int64_t now_us);
void registry_tick(struct server_registry *server_registry, int64_t now_us);
uint64_t registry_last_change(const struct server_registry *server_registry);
void registry_visit_changes(const struct server_registry *server_registry,
    uint64_t change, rg_visit_fn visit, void *ctx);
bool registry_only_refreshed(
    const struct registry_server *server, uint64_t change);
enum registry_verdict registry_refresh(struct server_registry *server_registry,
    const char *id, uint64_t born_ms, uint64_t seq, int64_t heard_us,
    int64_t now_us);
uint64_t registry_life_hash(const char *id, uint64_t born_ms);
bool registry_mark_leaving(
    struct server_registry *server_registry, uint64_t life, int64_t now_us);
const struct registry_server *registry_find(
    const struct server_registry *server_registry, const char *id);
size_t registry_live_count(const struct server_registry *server_registry);

#ifdef __cplusplus
}
#endif

#endif
