#include <string.h>

#include "route/pool_i.h"

/*
 * Explains where a request would go.  The choice of a server draws at random
 * and refills buckets, so it is made on a copy of the pool.
 */

static const char *const fit_names[POOL_FITS_COUNT] = {[POOL_FITS] = "fits",
    [POOL_NOT_READY] = "not_ready",
    [POOL_DATA_CENTRE_OUT] = "data_centre_out",
    [POOL_VERSION_EXCLUDED] = "version_excluded",
    [POOL_OTHER_VERSION] = "other_version",
    [POOL_OUTSIDE_TRIAL] = "outside_trial",
    [POOL_PAUSED] = "paused",
    [POOL_UNREACHABLE] = "unreachable",
    [POOL_HAS_REFUSED] = "has_refused",
    [POOL_DATA_CENTRE_DOWN] = "data_centre_down",
    [POOL_EJECTED] = "ejected",
    [POOL_SILENT] = "silent",
    [POOL_TRIED] = "tried",
    [POOL_OUT_OF_CONNECTIONS] = "out_of_connections",
    [POOL_BRITTLE_SHARE_USED] = "brittle_share_used",
    [POOL_RAMPS_UP] = "ramps_up",
    [POOL_BEYOND_TAKES_WELL] = "beyond_takes_well",
    [POOL_FULL] = "full",
    [POOL_OUT_OF_MEMORY] = "out_of_memory",
    [POOL_NOT_ITS_TURN] = "not_its_turn",
    [POOL_RATE_USED] = "rate_used"};

const char *
pool_fit_name(enum pool_fit fit)
{
	return fit_names[fit];
}

static void *
copy_of(const struct alloc *alloc, const void *from, size_t size)
{
	void *to;

	if (size == 0)
		return NULL;
	to = alloc_get(alloc, size);
	memcpy(to, from, size);
	return to;
}

/*
 * Returns a copy of a pool on which servers can be picked and listed without an
 * effect on the pool.  It shares the groups of servers, which picking only
 * reads, so it must be freed with pool_free_copy() before the pool changes.
 */
struct server_pool *
pool_copy(const struct server_pool *pool)
{
	const struct alloc *alloc = pool->options.alloc;
	struct server_pool *copy = copy_of(alloc, pool, sizeof(*pool));

	copy->servers =
	    copy_of(alloc, pool->servers, pool->count * sizeof(*pool->servers));
	copy->size = pool->count;
	copy->pace_services = copy_of(alloc, pool->pace_services,
	    pool->pace_service_count * sizeof(*pool->pace_services));
	copy->index = copy_of(alloc, pool->index, sizeof(*pool->index));
	return copy;
}

/* Releases a copy. */
void
pool_free_copy(struct server_pool *copy)
{
	const struct alloc *alloc = copy->options.alloc;

	alloc_free(alloc, copy->servers);
	alloc_free(alloc, copy->pace_services);
	alloc_free(alloc, copy->index);
	alloc_free(alloc, copy);
}

/* Describes a server whose fit is known. */
static void
describe(struct server_pool *copy, const struct pool_query *query,
    int64_t now_us, struct pool_explained *e)
{
	e->is_home = pool_is_prefix_home(copy, e->server, query);
	e->requests = pool_request_count(copy, e->server, now_us);
	e->backlog_ms = pool_backlog_ms(copy, e->server, now_us);
	e->slowness = pool_slowness(copy, e->server, now_us);
	pool_estimate_server(
	    copy, query, e->server, e->is_home, now_us, &e->estimate);
}

/*
 * Lists up to max servers of a request's service with what rules them out by
 * the rules by which a server was picked, which is chosen, or ROUTE_NONE.  The
 * chosen one comes first, then those that fit.  copy is a copy of the pool,
 * which this changes.
 */
void
pool_explain(struct server_pool *copy, const struct pool_query *query,
    uint16_t chosen, int64_t now_us, struct pool_explanation *explanation,
    struct pool_explained *listed, uint16_t max)
{
	uint16_t candidates[POOL_CANDIDATES_MAX];
	const struct pool_group *group = pool_find_group(copy, query->service);
	struct pool_listing listing;

	memset(explanation, 0, sizeof(*explanation));
	(void)pool_list_candidates(copy, query, now_us, &listing, candidates);
	explanation->total = pool_group_count(group);
	for (int pass = 0; pass < 3; pass++) {
		for (uint16_t k = 0; k < explanation->total; k++) {
			uint16_t i = group->members[k];
			enum pool_fit fit =
			    pool_fit(copy, i, query, &listing, now_us);
			int rank = i == chosen ? 0 : fit == POOL_FITS ? 1 : 2;

			if (rank != pass)
				continue;
			explanation->by_fit[fit]++;
			if (explanation->count == max)
				continue;
			listed[explanation->count] =
			    (struct pool_explained){.server = i, .fit = fit};
			describe(
			    copy, query, now_us, &listed[explanation->count++]);
		}
	}
}
