#include "route/pool_i.h"

/* How many requests the servers of the pool get; see admission.h. */
enum {
	MS_PER_S = 1000
};

static struct admission_view
view_of(
    const struct pool_server *s, const struct pool_query *query, int64_t now_us)
{
	return (struct admission_view){.slots = s->announced.slots,
	    .own = s->in_flight,
	    .has_report = s->has_load,
	    .reported = (uint32_t)s->running + s->waiting,
	    .sent_since = s->sent_since_report,
	    .report_age_us = now_us - s->load_reported_us,
	    .has_peers = s->peer_reported_us != 0,
	    .peers = s->peer_in_flight,
	    .peers_age_us = now_us - s->peer_reported_us,
	    .memory_tokens = query->memory_tokens,
	    .own_tokens = s->own_tokens};
}

/*
 * Tells whether a server is far enough from full for requests beyond their
 * workspace's share.  One that runs short requests empties before that is
 * known.
 */
static bool
is_spare(const struct admission_view *view, const struct pool_query *query,
    double begun_per_s)
{
	if (view->slots == 0)
		return true;
	return query->service_ms < ADMISSION_LAG_MS
		   ? admission_load(view) * 2 < view->slots
		   : !admission_may_fill_up(view, begun_per_s);
}

/*
 * Returns what keeps a server from beginning another request soon, or
 * POOL_FITS: it begins one within its slots, or within what it takes well if
 * that is less, unless ignores_knee.  If requests wait at this instance, or if
 * the server may be full before the instances know, it must also be this
 * instance's turn to send one there.
 */
enum pool_fit
pool_admits(struct server_pool *pool, struct pool_server *s,
    const struct pool_query *query, bool ignores_knee, int64_t now_us)
{
	struct admission_view view = view_of(s, query, now_us);
	uint32_t takes_well =
	    pool_takes_well(pool, (uint16_t)(s - pool->servers), now_us);
	bool slows_down = !ignores_knee && takes_well < view.slots;
	struct admission_need need = {
	    .waiting_max =
		slows_down || query->only_spare ? 0 : query->queue_slots,
	    .tokens = query->tokens,
	    .mean_tokens = query->mean_tokens,
	    .ignores_memory = query->ignores_memory};
	double begun_per_s;

	if (slows_down)
		view.slots = takes_well;
	begun_per_s = query->service_ms > 0
			  ? view.slots * MS_PER_S / query->service_ms
			  : 0;

	if (!admission_has_room(&view, &need)) {
		if (!admission_has_place(&view, &need))
			return slows_down ? POOL_BEYOND_TAKES_WELL : POOL_FULL;
		pool->lacked_memory = true;
		return POOL_OUT_OF_MEMORY;
	}
	if (query->only_spare && !is_spare(&view, query, begun_per_s))
		return POOL_NOT_ITS_TURN;
	/* A server that runs short requests empties before reports arrive. */
	if (query->goes_first || query->service_ms < ADMISSION_LAG_MS ||
	    (!query->takes_turns &&
		!admission_may_fill_up(&view, begun_per_s)) ||
	    admission_may_take_turn(&s->turn, &view, &need, begun_per_s,
		&pool->members, s->life, now_us))
		return POOL_FITS;
	return POOL_NOT_ITS_TURN;
}

/*
 * Tells whether a server had a slot for the request of the last
 * pool_pick_server(), but not the memory.
 */
bool
pool_lacked_memory(const struct server_pool *pool)
{
	return pool->lacked_memory;
}

/* Records that a request with so many tokens was sent to a server. */
void
pool_record_admission(
    struct server_pool *pool, uint16_t server, uint32_t tokens)
{
	struct pool_server *s = &pool->servers[server];

	s->own_tokens += tokens;
	if (s->turn.sent < UINT16_MAX)
		s->turn.sent++;
}

/* Records that such a request has left the server. */
void
pool_record_departure(
    struct server_pool *pool, uint16_t server, uint32_t tokens)
{
	struct pool_server *s = &pool->servers[server];

	s->own_tokens = s->own_tokens > tokens ? s->own_tokens - tokens : 0;
}
