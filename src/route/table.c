#include "route/table.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <apr_tables.h>
#include <ctype.h>
#include <string.h>

#include "base/err.h"

enum {
	/* Host and path of a lookup; a longer one matches no route */
	LOOKUP_KEY_MAX_BYTES = 1024
};

struct route_table {
	apr_pool_t *pool;
	apr_array_header_t *services; /* elements are struct route_service * */
	apr_array_header_t *routes;
	apr_array_header_t *workspaces;
	apr_hash_t *service_by_name; /* service name to struct route_service */
	apr_hash_t *route_by_prefix; /* host and prefix to struct route_entry */
	apr_hash_t *workspace_by_key; /* API key to struct route_workspace */
	struct route_limits limits;
};

/* Creates an empty table. */
struct route_table *
route_table_new(void)
{
	apr_pool_t *pool;
	struct route_table *table;

	apr_pool_create(&pool, NULL);
	table = apr_pcalloc(pool, sizeof(*table));
	table->pool = pool;
	table->services = apr_array_make(pool, 8, sizeof(void *));
	table->routes = apr_array_make(pool, 16, sizeof(void *));
	table->workspaces = apr_array_make(pool, 16, sizeof(void *));
	table->service_by_name = apr_hash_make(pool);
	table->route_by_prefix = apr_hash_make(pool);
	table->workspace_by_key = apr_hash_make(pool);
	return table;
}

/* Releases a table and everything it points to. */
void
route_table_free(struct route_table *table)
{
	if (table != NULL)
		apr_pool_destroy(table->pool);
}

/* Returns the pool that holds a table's strings. */
apr_pool_t *
route_table_pool(struct route_table *table)
{
	return table->pool;
}

/* Adds a service; returns NULL if there are too many. */
struct route_service *
route_table_add_service(struct route_table *table, const char *name)
{
	struct route_service *service;

	if (table->services->nelts >= ROUTE_NONE)
		return NULL;
	service = apr_pcalloc(table->pool, sizeof(*service));
	service->name = apr_pstrdup(table->pool, name);
	service->index = (uint16_t)table->services->nelts;
	APR_ARRAY_PUSH(table->services, struct route_service *) = service;
	apr_hash_set(table->service_by_name, service->name, APR_HASH_KEY_STRING,
	    service);
	return service;
}

/* Adds a route; returns NULL if there are too many. */
struct route_entry *
route_table_add_route(struct route_table *table, const char *name)
{
	struct route_entry *route;

	if (table->routes->nelts >= ROUTE_NONE)
		return NULL;
	route = apr_pcalloc(table->pool, sizeof(*route));
	route->name = apr_pstrdup(table->pool, name);
	route->attempts_max = 1;
	route->index = (uint16_t)table->routes->nelts;
	APR_ARRAY_PUSH(table->routes, struct route_entry *) = route;
	return route;
}

/*
 * Adds a target service to a route; returns ERR_TOO_LARGE if there are too
 * many.
 */
int
route_table_add_target(struct route_table *table, struct route_entry *route,
    const char *service, uint32_t weight)
{
	struct route_target *target;

	if (route->target_count == ROUTE_TARGETS_MAX)
		return ERR_TOO_LARGE;
	target = &route->targets[route->target_count++];
	target->service_name = apr_pstrdup(table->pool, service);
	target->service = ROUTE_NONE;
	target->weight = weight;
	return 0;
}

/* Adds a model to a route; returns ERR_TOO_LARGE if there are too many. */
int
route_table_add_model(
    struct route_table *table, struct route_entry *route, const char *model)
{
	if (route->model_count == ROUTE_MODELS_MAX)
		return ERR_TOO_LARGE;
	route->models[route->model_count++] = apr_pstrdup(table->pool, model);
	return 0;
}

/* Adds a workspace; returns NULL if there are too many. */
struct route_workspace *
route_table_add_workspace(struct route_table *table, const char *name)
{
	struct route_workspace *workspace;

	if (table->workspaces->nelts >= ROUTE_NONE)
		return NULL;
	workspace = apr_pcalloc(table->pool, sizeof(*workspace));
	workspace->name = apr_pstrdup(table->pool, name);
	workspace->priority = ROUTE_PRIORITY_NONE;
	workspace->index = (uint16_t)table->workspaces->nelts;
	APR_ARRAY_PUSH(table->workspaces, struct route_workspace *) = workspace;
	return workspace;
}

/*
 * Assigns an API key to a workspace; returns ERR_INVALID if the key is empty or
 * belongs to another workspace.
 */
int
route_table_add_key(struct route_table *table,
    const struct route_workspace *workspace, const char *key, struct buf *why)
{
	const struct route_workspace *holder =
	    apr_hash_get(table->workspace_by_key, key, APR_HASH_KEY_STRING);

	if (key[0] == '\0') {
		buf_addf(
		    why, "workspace %s has an empty API key", workspace->name);
		return ERR_INVALID;
	}
	if (holder != NULL && holder != workspace) {
		buf_addf(why, "workspaces %s and %s share an API key",
		    holder->name, workspace->name);
		return ERR_INVALID;
	}
	apr_hash_set(table->workspace_by_key, apr_pstrdup(table->pool, key),
	    APR_HASH_KEY_STRING, workspace);
	return 0;
}

/* Sets the limits on what a caller may send. */
void
route_table_set_limits(
    struct route_table *table, const struct route_limits *limits)
{
	table->limits = *limits;
}

/*
 * Builds the lookup key of a host (without its port) and a path (without its
 * query); returns false if it is too long.
 */
static bool
lookup_key(char key[LOOKUP_KEY_MAX_BYTES], const char *host, const char *path,
    size_t *host_len, size_t *len)
{
	size_t n = strcspn(host, ":");
	size_t p = strcspn(path, "?#");

	if (n + p + 1 >= LOOKUP_KEY_MAX_BYTES)
		return false;
	for (size_t i = 0; i < n; i++)
		key[i] = (char)tolower((unsigned char)host[i]);
	key[n] = ' ';
	memcpy(key + n + 1, path, p);
	*host_len = n + 1;
	*len = n + 1 + p;
	return true;
}

/* Validates a route's host, prefix and timeout. */
static int
check_prefix(const struct route_entry *route, struct buf *why)
{
	size_t len = route->prefix != NULL ? strlen(route->prefix) : 0;

	if (route->host == NULL || route->host[0] == '\0')
		buf_addf(why, "route %s has no host", route->name);
	else if (len == 0 || route->prefix[0] != '/' ||
		 route->prefix[len - 1] != '/')
		buf_addf(why,
		    "route %s: its prefix must begin and end with a slash",
		    route->name);
	else if (route->timeout_ms == 0)
		buf_addf(why, "route %s has a timeout of 0", route->name);
	else
		return 0;
	return ERR_INVALID;
}

/* Resolves a route's services and validates its weights. */
static int
check_targets(
    struct route_table *table, struct route_entry *route, struct buf *why)
{
	for (uint16_t i = 0; i < route->target_count; i++) {
		struct route_target *target = &route->targets[i];
		const struct route_service *service =
		    route_table_find_service(table, target->service_name);

		if (service == NULL) {
			buf_addf(why, "route %s names the unknown service %s",
			    route->name, target->service_name);
			return ERR_INVALID;
		}
		target->service = service->index;
		route->weight_sum += target->weight;
	}
	if (route->weight_sum == 0) {
		buf_addf(
		    why, "the weights of route %s add up to 0", route->name);
		return ERR_INVALID;
	}
	return 0;
}

/* Makes a route findable by its host and prefix, which must be unique. */
static int
index_route(
    struct route_table *table, struct route_entry *route, struct buf *why)
{
	char key[LOOKUP_KEY_MAX_BYTES];
	size_t host_len, len;
	const struct route_entry *other;

	if (!lookup_key(key, route->host, route->prefix, &host_len, &len)) {
		buf_addf(
		    why, "route %s: host and prefix are too long", route->name);
		return ERR_INVALID;
	}
	other = apr_hash_get(table->route_by_prefix, key, (apr_ssize_t)len);
	if (other != NULL) {
		buf_addf(why, "routes %s and %s have the same host and prefix",
		    other->name, route->name);
		return ERR_INVALID;
	}
	apr_hash_set(table->route_by_prefix, apr_pmemdup(table->pool, key, len),
	    (apr_ssize_t)len, route);
	return 0;
}

/*
 * Validates the table and prepares its lookups.  Returns 0, or ERR_INVALID with
 * a description of the first error in why.
 */
int
route_table_finish(struct route_table *table, struct buf *why)
{
	if (apr_hash_count(table->service_by_name) !=
	    (unsigned int)table->services->nelts) {
		buf_adds(why, "two services have the same name");
		return ERR_INVALID;
	}
	for (int i = 0; i < table->routes->nelts; i++) {
		struct route_entry *route =
		    APR_ARRAY_IDX(table->routes, i, struct route_entry *);

		if (check_prefix(route, why) != 0 ||
		    check_targets(table, route, why) != 0 ||
		    index_route(table, route, why) != 0)
			return ERR_INVALID;
	}
	return 0;
}

/* Returns the route with the longest prefix that matches a path, or NULL. */
const struct route_entry *
route_table_find_route(
    const struct route_table *table, const char *host, const char *path)
{
	char key[LOOKUP_KEY_MAX_BYTES];
	size_t host_len, len;

	if (!lookup_key(key, host, path, &host_len, &len))
		return NULL;
	while (len > host_len) {
		const struct route_entry *route = NULL;

		if (key[len - 1] == '/')
			route = apr_hash_get(
			    table->route_by_prefix, key, (apr_ssize_t)len);
		if (route != NULL)
			return route;
		len--;
	}
	return NULL;
}

/* Returns the workspace that owns an API key, or NULL. */
const struct route_workspace *
route_table_find_workspace(const struct route_table *table, const char *key)
{
	return apr_hash_get(table->workspace_by_key, key, APR_HASH_KEY_STRING);
}

/*
 * Returns an API key of the workspace with a name, or NULL.  Looks at all keys.
 */
const char *
route_table_key_of(const struct route_table *table, const char *workspace)
{
	apr_hash_index_t *at = apr_hash_first(NULL, table->workspace_by_key);

	for (; at != NULL; at = apr_hash_next(at)) {
		const struct route_workspace *w = apr_hash_this_val(at);

		if (strcmp(w->name, workspace) == 0)
			return apr_hash_this_key(at);
	}
	return NULL;
}

/* Returns the service with a name, or NULL. */
const struct route_service *
route_table_find_service(const struct route_table *table, const char *name)
{
	return apr_hash_get(table->service_by_name, name, APR_HASH_KEY_STRING);
}

/* Returns the service at an index. */
const struct route_service *
route_table_service_at(const struct route_table *table, uint16_t index)
{
	return APR_ARRAY_IDX(table->services, index, struct route_service *);
}

/* Tells whether requests need an API key. */
bool
route_table_has_workspaces(const struct route_table *table)
{
	return table->workspaces->nelts > 0;
}

const struct route_limits *
route_table_get_limits(const struct route_table *table)
{
	return &table->limits;
}

uint32_t
route_table_route_count(const struct route_table *table)
{
	return (uint32_t)table->routes->nelts;
}

uint32_t
route_table_service_count(const struct route_table *table)
{
	return (uint32_t)table->services->nelts;
}
