#include <math.h>
#include <string.h>

#include "route/pool_i.h"

/* How long the servers of a pool take, and how many requests they take well. */

/* Time to a first event besides reading prompts */
static const double first_event_overhead_ms = 30;
/* Delay that each running request adds to prompt processing */
static const double running_request_ms = 1.5;
/* Differences of scheduling and of the network, which say nothing of a server
 */
static const double insignificant_ms = 2;

/* Returns the index of what is known of a service, which is added if new. */
uint16_t
pool_pace_service_index(struct server_pool *pool, const char *service)
{
	uint16_t count = pool->pace_service_count;
	struct pool_pace_service *added;

	for (uint16_t i = 0; i < count; i++) {
		if (strcmp(pool->pace_services[i].name, service) == 0)
			return i;
	}
	/* Servers of services beyond these share one entry. */
	if (count == UINT16_MAX)
		return 0;
	pool->pace_services = alloc_resize(pool->options.alloc,
	    pool->pace_services, (count + 1U) * sizeof(*pool->pace_services));
	added = &pool->pace_services[count];
	memset(added, 0, sizeof(*added));
	strncpy(added->name, service, sizeof(added->name) - 1);
	pool->pace_service_count++;
	return count;
}

static struct pace_service *
service_of(const struct server_pool *pool, const struct pool_server *s)
{
	return &pool->pace_services[s->pace_service].pace;
}

/* Returns the requests at a server, with those that other instances report. */
static uint32_t
all_requests(const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	uint32_t known = s->in_flight + s->peer_in_flight;
	uint32_t estimated = pool_request_count(pool, server, now_us);

	return estimated > known ? estimated : known;
}

/*
 * Returns the time that a request should take to its first event at a server
 * like the others of its service, in milliseconds.  The whole answer of a plain
 * request counts as 1 ms, since nothing is known of its work.  is_home: the
 * server has cached the request's prefix.
 */
double
pool_nominal_ms(const struct server_pool *pool, const struct pool_query *query,
    uint16_t server, bool is_home, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	double work_ms = query->work_ms > query->prefix_work_ms
			     ? query->work_ms - query->prefix_work_ms
			     : 0;

	if (!query->by_prompt_work)
		return 1;
	return pool_backlog_ms(pool, server, now_us) + work_ms +
	       (is_home ? 0 : query->prefix_work_ms) +
	       running_request_ms * (s->in_flight + s->peer_in_flight) +
	       first_event_overhead_ms;
}

/*
 * Returns the factor by which a server is expected to take longer than others
 * of its service.
 */
double
pool_slowness(struct server_pool *pool, uint16_t server, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	return pace_slowness(&s->pace, service_of(pool, s),
	    pool_request_count(pool, server, now_us), s->announced.slots,
	    now_us);
}

/*
 * Returns the factor of pool_slowness() as far as it matters to the callers of
 * a plain service: a fast answer may take twice as long for a moment because
 * the server was not scheduled at once.
 */
double
pool_significant_slowness(
    struct server_pool *pool, uint16_t server, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	const struct pace_service *service = service_of(pool, s);
	double slowness = pool_slowness(pool, server, now_us);
	double usual_ms, difference_ms;

	if (!pace_is_known(service))
		return slowness;
	usual_ms = pace_usual_factor(service,
	    pool_request_count(pool, server, now_us), s->announced.slots);
	difference_ms = usual_ms * (slowness - 1);
	if (fabs(difference_ms) <= insignificant_ms)
		return 1;
	return 1 + (difference_ms - copysign(insignificant_ms, difference_ms)) /
		       usual_ms;
}

/* Returns how many requests a server takes well, at most its slots. */
uint32_t
pool_takes_well(struct server_pool *pool, uint16_t server, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	return pace_takes_well(
	    &s->pace, service_of(pool, s), s->announced.slots, now_us);
}

/* Stores the pace that a server reports in an answer, in percent. */
void
pool_record_pace(
    struct server_pool *pool, uint16_t server, uint32_t percent, int64_t now_us)
{
	pace_report(&pool->servers[server].pace, percent, now_us);
}

/*
 * Adds the time of an answer to what is known of its server.  Its load and pace
 * are recorded before.
 */
void
pool_record_answer_time(struct server_pool *pool, uint16_t server,
    const struct pool_answer_time *answer, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];
	struct pace_service *service = service_of(pool, s);
	struct pace_sample sample = {.seen_ms = answer->seen_ms,
	    .nominal_ms = answer->nominal_ms,
	    .requests = answer->requests,
	    .slots = s->announced.slots};

	service->whole_answers = answer->is_whole;
	/* A request that had to wait says little about the server's pace. */
	if (sample.slots == 0 || sample.requests < sample.slots)
		pace_add_sample(&s->pace, service, &sample, now_us);
}

/*
 * Returns the factor by which a server's report says that its last answer took
 * longer than the same work usually does.  usual: that its answers take longer.
 */
double
pool_reported_factor(
    const struct server_pool *pool, uint16_t server, bool usual)
{
	const struct pool_server *s = &pool->servers[server];

	return pace_reported_factor(&s->pace, service_of(pool, s), usual);
}

/* Estimates when a server would send the first event of a request. */
void
pool_estimate_server(struct server_pool *pool, const struct pool_query *query,
    uint16_t server, bool is_home, int64_t now_us,
    struct pool_estimate *estimate)
{
	const struct pool_server *s = &pool->servers[server];
	const struct pace_service *service = service_of(pool, s);
	uint32_t slots = s->announced.slots;
	uint32_t requests = all_requests(pool, server, now_us);
	double ms = pool_nominal_ms(pool, query, server, is_home, now_us) *
		    pool_slowness(pool, server, now_us) *
		    pace_usual_factor(service,
			pool_request_count(pool, server, now_us), slots);

	/* It begins once as many of those before it have ended. */
	if (!query->by_prompt_work && slots > 0 && requests >= slots)
		ms *= 1 + (double)(requests + 1 - slots) / slots;
	estimate->first_event_ms = ms;
	estimate->error_ms = ms * pace_error_share(service);
	estimate->takes_well = pool_takes_well(pool, server, now_us);
}

/*
 * Returns how many more requests the servers that may run a request would begin
 * soon, all instances together, as far as this instance knows.
 */
uint32_t
pool_free_places(const struct server_pool *pool, const struct pool_query *query,
    int64_t now_us)
{
	const struct pool_group *group = pool_find_group(pool, query->service);
	uint32_t places = 0;

	for (uint16_t k = 0; k < pool_group_count(group); k++) {
		uint16_t i = group->members[k];
		const struct pool_server *s = &pool->servers[i];
		uint32_t taken, takes = s->announced.slots, free;

		if (!pool_server_may_run(s, query) ||
		    (s->role != query->role && !query->allow_other_role) ||
		    pool_is_doubtful((struct server_pool *)pool, i, now_us))
			continue;
		if (s->pace.derived_us != 0 && s->pace.takes_well < takes)
			takes = s->pace.takes_well;
		taken = all_requests(pool, i, now_us);
		free = takes > taken ? takes - taken : 0;
		if (free > 0 && pool_is_bounded(pool, i, now_us) &&
		    s->bucket.tokens < free)
			free = s->bucket.tokens > 0 ? (uint32_t)s->bucket.tokens
						    : 0;
		places += free;
	}
	return places;
}
