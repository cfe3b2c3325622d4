#include <inttypes.h>

#include "gateway/exchange.h"
#include "route/ending.h"

/*
 * Answers that only the end of their connection delimits.  The events of a
 * stream have been forwarded by then; its end, and a plain answer, wait until
 * the server has shown whether it goes on.  One probe of its address serves all
 * answers that ended before it began.
 */

/*
 * Tells whether the server is still in the life that the attempt was sent to,
 * and no other one is known at its address.
 */
static bool
is_same_life(const struct gw_exchange *ex)
{
	const struct server_pool *pool = ex->entry->pool;
	uint16_t now_there = pool_find_address(pool, &ex->end_check.address);

	return pool_server_at(pool, ex->attempt.server)->announced.born_ms ==
		   ex->attempt.born_ms &&
	       (now_there == ROUTE_NONE || now_there == ex->attempt.server);
}

/*
 * Holds the end of an answer back until there is a sign of its server, which is
 * probed.
 */
void
gw_exchange_await_sign(
    struct gw_exchange *ex, const struct upstream_result *result)
{
	struct gw_entry *entry = ex->entry;

	ex->may_have_run = ex->may_have_arrived = true;
	ex->end_check = (struct gw_end_check){.awaited = true,
	    .result = *result,
	    .address = pool_server_at(entry->pool, ex->attempt.server)->address,
	    .ended_us = gw_exchange_now_us(ex),
	    .dials = upstream_dial_count(entry->client)};
	pool_hold(entry->pool, ex->attempt.server);
	gw_exchange_set_timer(ex);
	upstream_probe(entry->client, &ex->end_check.address);
}

/* Concludes the attempt, as there is a sign of its server or none to be had. */
static void
handle_sign(struct gw_exchange *ex, enum ending_sign sign)
{
	bool whole = ending_is_whole(sign, is_same_life(ex));
	struct server_pool *pool = ex->entry->pool;
	uint16_t server = ex->attempt.server;

	ex->end_check.awaited = false;
	ex->attempt.end_sign = ending_sign_name(sign);
	metrics_observe_us(ex->entry->end_check_us,
	    gw_exchange_now_us(ex) - ex->end_check.ended_us);
	gw_exchange_conclude(ex, whole ? RETRY_END_ANSWERED : RETRY_END_BROKEN,
	    &ex->end_check.result);
	pool_release(pool, server);
}

/* Returns whether the answer waits for a sign of the server at an address. */
static bool
awaits(const struct gw_exchange *ex, const struct sockaddr_in *address)
{
	return ex->end_check.awaited &&
	       ex->end_check.address.sin_addr.s_addr ==
		   address->sin_addr.s_addr &&
	       ex->end_check.address.sin_port == address->sin_port;
}

/*
 * Handles the outcome of a probe for all answers that ended before it began,
 * and probes once more for the others.
 */
void
gw_exchange_probed(struct gw_entry *entry, const struct sockaddr_in *address,
    enum upstream_probe_result result, uint64_t dials_before)
{
	static const enum ending_sign signs[] = {
	    [UPSTREAM_PROBE_ACCEPTED] = ENDING_SERVER_GOES_ON,
	    [UPSTREAM_PROBE_CLOSED] = ENDING_NO_SIGN,
	    [UPSTREAM_PROBE_REFUSED] = ENDING_SERVER_ENDED,
	    [UPSTREAM_PROBE_FAILED] = ENDING_NO_SIGN};
	struct gw_exchange *ex = entry->exchanges;
	bool needs_another = false;

	while (ex != NULL) {
		if (!awaits(ex, address)) {
			ex = ex->next;
			continue;
		}
		if (ex->end_check.dials > dials_before) {
			needs_another = true;
			ex = ex->next;
			continue;
		}
		handle_sign(ex, signs[result]);
		/* Other requests may have ended with that one. */
		ex = entry->exchanges;
	}
	if (needs_another)
		upstream_probe(entry->client, address);
}
