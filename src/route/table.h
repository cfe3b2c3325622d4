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
 * is checked as a whole by rt_finish(); it is not changed after that.
 *
 *	table = rt_new();
 *	service = rt_add_service(table, "drafts");
 *	route = rt_add_route(table, "letters");
 *	...
 *	if (rt_finish(table, &why) != 0)
 *		refuse the document with why
 *	route = rt_route_of(table, "api.example", "/letters/7");
 */
enum route_kind {
	RT_IDEMPOTENT, /* may run more than once */
	RT_ONCE, /* runs at most once */
	RT_STREAM /* a stream of events; runs at most once unless resumable */
};

enum {
	RT_NONE = 0xffff,
	RT_PRIORITY_NONE = 0xff,
	RT_MODELS_MAX = 8,
	ROUTE_TARGETS_MAX = 16
};

struct route_target {
	const char *service_name;
	uint16_t service; /* index; set by rt_finish() */
	uint32_t weight;
};

struct rt_route {
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
	const char *models[RT_MODELS_MAX];
	uint16_t model_count;
	uint16_t index;
};

struct rt_model {
	const char *name;
	double cost; /* per 1,000 generated tokens */
};

struct rt_service {
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
	struct rt_model models[RT_MODELS_MAX];
	uint16_t model_count;
	uint16_t index;
};

struct rt_workspace {
	const char *name;
	uint8_t priority; /* RT_PRIORITY_NONE: use the route's priority */
	uint16_t index;
};

struct rt_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct rt_table;

struct rt_table *rt_new(void);
void rt_free(struct rt_table *table);
apr_pool_t *rt_pool(struct rt_table *table);
struct rt_service *rt_add_service(struct rt_table *table, const char *name);
struct rt_route *rt_add_route(struct rt_table *table, const char *name);
int rt_add_target(struct rt_table *table, struct rt_route *route,
    const char *service, uint32_t weight);
int rt_add_model(
    struct rt_table *table, struct rt_route *route, const char *model);
struct rt_workspace *rt_add_workspace(struct rt_table *table, const char *name);
int rt_add_key(struct rt_table *table, const struct rt_workspace *workspace,
    const char *key, struct buf *why);
void rt_set_limits(struct rt_table *table, const struct rt_limits *limits);
int rt_finish(struct rt_table *table, struct buf *why);

const struct rt_route *rt_route_of(
    const struct rt_table *table, const char *host, const char *path);
const struct rt_workspace *rt_workspace_of(
    const struct rt_table *table, const char *key);
const struct rt_service *route_table_find_service(
    const struct rt_table *table, const char *name);
const struct rt_service *rt_service_at(
    const struct rt_table *table, uint16_t index);
bool rt_has_workspaces(const struct rt_table *table);
const struct rt_limits *rt_limits_of(const struct rt_table *table);
uint32_t route_table_route_count(const struct rt_table *table);
uint32_t route_table_service_count(const struct rt_table *table);

#ifdef __cplusplus
}
#endif

#endif
