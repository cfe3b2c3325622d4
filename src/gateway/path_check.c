#include "gateway/path_check.h"

#include <inttypes.h>

#include "base/log.h"
#include "gateway/exchange.h"

/*
 * Checks whether this instance has a path to the servers of each service, by
 * its connections to them and by probes.
 */

enum {
	CHECK_PERIOD_US = REACH_SILENCE_US
};

static void on_timer(void *ctx);

/* Sets the timer for the next check, unless it is set already. */
static void
schedule(struct gw_entry *entry)
{
	if (entry->path_timer == NULL)
		entry->path_timer = loop_after(
		    entry->gw->loop, CHECK_PERIOD_US, on_timer, entry);
}

static struct gw_entry_service *
service_of(struct gw_entry *entry, uint16_t server)
{
	return gw_entry_get_service(
	    entry, pool_server_at(entry->pool, server)->announced.service);
}

/*
 * Returns a request to a server of a service that has made no progress for
 * REACH_SILENCE_US, or NULL.
 */
static struct gw_exchange *
find_silent_request(
    const struct gw_entry *entry, const struct gw_entry_service *service)
{
	struct gw_exchange *ex = entry->exchanges;

	while (ex != NULL && !gw_exchange_is_silent(ex, service))
		ex = gw_exchange_next(ex);
	return ex;
}

/* Starts the probes that are due. */
static void
probe(struct gw_entry *entry, struct gw_entry_service *service)
{
	int64_t now_us = loop_now_us(entry->gw->loop);
	uint8_t due = reach_begin_probes(&service->reach,
	    find_silent_request(entry, service) != NULL, now_us);
	uint16_t servers[REACH_FAILURES_MIN];
	uint8_t count = pool_draw_for_probe(
	    entry->pool, service->name, &service->reach, due, servers);

	for (uint8_t i = 0; i < count; i++)
		upstream_probe(entry->client,
		    &pool_server_at(entry->pool, servers[i])->address);
}

/* Tells the instances that serve control whether any service is lost. */
static void
tell_cut_off(struct gw_entry *entry)
{
	bool cut_off = false;

	for (const struct gw_entry_service *s = entry->services; s != NULL;
	     s = s->next)
		cut_off |= s->reach.lost;
	gw_set_cut_off(entry->gw, cut_off);
}

/*
 * Moves the requests that hang at servers to which the path is lost.  The
 * others stay: their connections may go on.
 */
static void
move_silent_requests(
    struct gw_entry *entry, const struct gw_entry_service *service)
{
	struct gw_exchange *ex = entry->exchanges;

	while (ex != NULL) {
		if (!gw_exchange_is_silent(ex, service) ||
		    !gw_exchange_may_move(ex)) {
			ex = gw_exchange_next(ex);
			continue;
		}
		gw_exchange_move(ex);
		/* Other requests may have ended with that one. */
		ex = entry->exchanges;
	}
}

static void
on_timer(void *ctx)
{
	struct gw_entry *entry = ctx;
	int64_t now_us = loop_now_us(entry->gw->loop);
	bool again = entry->exchanges != NULL;

	entry->path_timer = NULL;
	for (struct gw_entry_service *s = entry->services; s != NULL;
	     s = s->next) {
		if (pool_ready_count(entry->pool, s->name) == 0 &&
		    reach_forget(&s->reach)) {
			log_event(LOG_LEVEL_INFO, "servers_gone", "service=%s",
			    s->name);
			tell_cut_off(entry);
		}
		probe(entry, s);
		if (s->reach.lost && reach_is_silent(&s->reach, now_us))
			move_silent_requests(entry, s);
		again |= s->reach.lost || s->reach.failed_count > 0;
	}
	if (again)
		schedule(entry);
}

/* Keeps checking the path while a request is at a server. */
void
gw_path_watch(struct gw_entry *entry)
{
	schedule(entry);
}

/* Concludes that the refusing servers have ended, as others can be reached. */
static void
report_ends(struct gw_entry *entry, struct gw_entry_service *service)
{
	uint8_t count = service->refused_count;

	service->refused_count = 0;
	for (uint8_t i = 0; i < count; i++) {
		const struct pool_server *s =
		    pool_server_at(entry->pool, service->refused[i].server);

		if (s->used && s->life == service->refused[i].life)
			gw_entry_server_ended(entry, &s->announced);
	}
}

/* Handles a connection to a server's address that was established. */
void
gw_path_connected(struct gw_entry *entry, const struct sockaddr_in *address)
{
	int64_t now_us = loop_now_us(entry->gw->loop);
	uint16_t server = pool_find_address(entry->pool, address);
	struct gw_entry_service *service;

	if (server == ROUTE_NONE)
		return;
	service = service_of(entry, server);
	pool_record_connected(entry->pool, server);
	if (reach_record_success(&service->reach, now_us)) {
		log_event(LOG_LEVEL_WARN, "servers_regained",
		    "service=%s server=%s lost_ms=%" PRId64, service->name,
		    pool_server_at(entry->pool, server)->announced.id,
		    (now_us - service->reach.lost_us) / US_PER_MS);
		tell_cut_off(entry);
	}
	report_ends(entry, service);
}

static void
lose_path(struct gw_entry *entry, struct gw_entry_service *service)
{
	int64_t now_us = loop_now_us(entry->gw->loop);

	log_event(LOG_LEVEL_WARN, "servers_lost",
	    "service=%s servers=%u failed=%u heard_ms=%" PRId64, service->name,
	    pool_ready_count(entry->pool, service->name),
	    service->reach.failed_count,
	    (now_us - service->reach.heard_us) / US_PER_MS);
	entry->paths_lost->value++;
	/* Nothing is known of the servers that refused connections. */
	service->refused_count = 0;
	tell_cut_off(entry);
}

/*
 * Handles a server that could not be connected to.  refused: it refused the
 * connection, which proves that this life of it has ended if this instance has
 * a path to other servers.
 */
void
gw_path_failed(struct gw_entry *entry, uint16_t server, bool refused)
{
	const struct pool_server *s = pool_server_at(entry->pool, server);
	struct gw_entry_service *service = service_of(entry, server);
	uint32_t count = pool_ready_count(entry->pool, service->name);

	if (refused && !service->reach.lost &&
	    service->refused_count < GW_REFUSED_MAX)
		service->refused[service->refused_count++] =
		    (struct gw_refused_server){s->life, server};
	if (count <= 1)
		report_ends(entry, service); /* there is no other to compare */
	if (reach_record_failure(
		&service->reach, s->life, count, loop_now_us(entry->gw->loop)))
		lose_path(entry, service);
	probe(entry, service);
	schedule(entry);
}
