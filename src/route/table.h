#ifndef CF_ROUTE_TABLE_H
#define CF_ROUTE_TABLE_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The compiled form of one route document: which requests go to which service,
 * under which limits, and who may send them.
 *
 * A table is built by adding services, routes and workspaces in any order and
 * is checked as a whole by route_table_finish(); it is not changed after that.
 *
 *	table = route_table_new();
 *	service = route_table_add_service(table, "drafts");
 *	route = route_table_add_route(table, "letters");
 *	...
 *	if (route_table_finish(table, &why) != 0)
 *		refuse the document with why
 *	route = route_table_find_route(table, "api.example", "/letters/7");
 */
enum route_kind {
	ROUTE_IDEMPOTENT, /* may run more than once */
	ROUTE_AT_MOST_ONCE, /* runs at most once */
	/* A stream of events; runs at most once unless resumable */
	ROUTE_STREAM
};

enum {
	ROUTE_NONE = 0xffff,
	ROUTE_PRIORITY_NONE = 0xff,
	ROUTE_MODELS_MAX = 8,
	ROUTE_TARGETS_MAX = 16
};

struct route_target {
	const char *service_name;
	uint16_t service; /* index; set by route_table_finish() */
	uint32_t weight;
};

struct route_entry {
	const char *name;
	const char *host;
	const char *prefix; /* begins and ends with a slash */
	enum route_kind kind;
	/* Longest time that a caller waits for an answer */
	uint32_t timeout_ms;
	uint32_t goal_ms; /* an answer is worth most within this time */
	/* Longest gap between two events that counts as on time */
	uint32_t gap_goal_ms;
	uint8_t priority; /* 0 is the highest */
	uint8_t attempts_max; /* backend servers that may run one request */
	bool is_public; /* no API key is needed */
	bool sticky; /* requests share prompt prefixes */
	bool resumable; /* a stream may continue at another backend server */
	struct route_target targets[ROUTE_TARGETS_MAX];
	uint16_t target_count;
	uint32_t weight_sum;
	/* Smallest first; the caller does not name one of them */
	const char *models[ROUTE_MODELS_MAX];
	uint16_t model_count;
	uint16_t index;
};

struct route_model {
	const char *name;
	double cost; /* per 1,000 generated tokens */
};

struct route_service {
	const char *name;
	const char *health_path;
	/* Connections that a server accepts from all instances together */
	uint32_t connections_max;
	uint32_t cold_ms; /* how long a server stays cold after its start */
	/* Requests a second that a cold server can take; 0: no limit */
	double cold_per_s;
	bool is_engine;
	uint32_t slots;
	uint32_t memory_tokens;
	struct route_model models[ROUTE_MODELS_MAX];
	uint16_t model_count;
	uint16_t index;
};

struct route_workspace {
	const char *name;
	uint8_t priority; /* ROUTE_PRIORITY_NONE: use the route's priority */
	uint16_t index;
};

struct route_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct route_table;

struct route_table *route_table_new(void);
void route_table_free(struct route_table *table);
apr_pool_t *route_table_pool(struct route_table *table);
struct route_service *route_table_add_service(
    struct route_table *table, const char *name);
struct route_entry *route_table_add_route(
    struct route_table *table, const char *name);
int route_table_add_target(struct route_table *table, struct route_entry *route,
    const char *service, uint32_t weight);
int route_table_add_model(
    struct route_table *table, struct route_entry *route, const char *model);
struct route_workspace *route_table_add_workspace(
    struct route_table *table, const char *name);
int route_table_add_key(struct route_table *table,
    const struct route_workspace *workspace, const char *key, struct buf *why);
void route_table_set_limits(
    struct route_table *table, const struct route_limits *limits);
int route_table_finish(struct route_table *table, struct buf *why);

const struct route_entry *route_table_find_route(
    const struct route_table *table, const char *host, const char *path);
const struct route_workspace *route_table_find_workspace(
    const struct route_table *table, const char *key);
const char *route_table_key_of(
    const struct route_table *table, const char *workspace);
const struct route_service *route_table_find_service(
    const struct route_table *table, const char *name);
const struct route_service *route_table_service_at(
    const struct route_table *table, uint16_t index);
bool route_table_has_workspaces(const struct route_table *table);
const struct route_limits *route_table_get_limits(
    const struct route_table *table);
uint32_t route_table_route_count(const struct route_table *table);
uint32_t route_table_service_count(const struct route_table *table);

#ifdef __cplusplus
}
#endif

#endif
