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
 * that, or without ever announcing it (registry_mark_leaving()); this also
 * holds for the rest of its life.
 *
 * Each registry numbers its own changes.  A subscriber names the last change it
 * has and receives later ones (registry_visit_changes()): the whole
 * announcement, or only a refresh if the server has only repeated itself since
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
	/* Clocks of servers and instances may differ, and jump by seconds. */
	REGISTRY_BORN_AHEAD_MAX_MS = 600000,
	REGISTRY_SERVERS_MAX = 2048
};

struct registry_model {
	char name[REGISTRY_NAME_BYTES];
	uint64_t version; /* version of the model's weights */
};

struct registry_server {
	char id[REGISTRY_NAME_BYTES];
	char service[REGISTRY_NAME_BYTES];
	char data_centre[REGISTRY_NAME_BYTES];
	/* Version of the server's software. */
	char version[REGISTRY_NAME_BYTES];
	uint32_t ip; /* network byte order */
	uint16_t port; /* host byte order */
	uint16_t slots;
	enum registry_state state;
	uint64_t born_ms; /* start of this life of the server */
	/* Sequence number; grows with each announcement of a life. */
	uint64_t seq;
	uint32_t cold_ms; /* remaining time of the cold start, as of heard_us */
	/* Time of the announcement, by this instance's monotonic clock. */
	int64_t heard_us;
	struct registry_model models[REGISTRY_MODELS_MAX];
	uint8_t model_count;
};

enum registry_verdict {
	REGISTRY_STALE, /* no new information */
	REGISTRY_REFRESHED, /* same content with a higher sequence number */
	REGISTRY_CHANGED /* a change that affects where requests may be sent */
};

typedef void (*registry_visit_fn)(
    void *ctx, const struct registry_server *server);

struct registry_options {
	const struct alloc *alloc;
	/* Called for each change and refresh; may be NULL. */
	void (*changed)(void *ctx, const struct registry_server *server,
	    enum registry_verdict verdict);
	void *ctx;
};

struct server_registry;

struct server_registry *registry_new(const struct registry_options *options);
void registry_free(struct server_registry *server_registry);
bool registry_is_plausible(
    const struct registry_server *server, int64_t wall_ms);
enum registry_verdict registry_update(struct server_registry *server_registry,
    const struct registry_server *server, int64_t now_us);
void registry_tick(struct server_registry *server_registry, int64_t now_us);
uint64_t registry_last_change(const struct server_registry *server_registry);
void registry_visit_changes(const struct server_registry *server_registry,
    uint64_t change, registry_visit_fn visit, void *ctx);
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
