#include "core/fleet.h"

#include <string.h>

#include "core/fleet_priv.h"

enum {
	/* Time after which a cancelled attempt counts as stopped. */
	FLEET_CANCEL_GRACE_US = 500000,
	/* Silence after which a server counts as unreachable. */
	FLEET_SILENCE_TIMEOUT_US = 3000000,
	FLEET_LOAD_MEAN_DIVISOR = 8 /* reciprocal weight of an announcement */
};

/* Returns an empty fleet for server indices below options->max_servers. */
struct fleet *
fleet_new(const struct fleet_options *options)
{
	const struct alloc *alloc = options->alloc;
	struct fleet *fleet = alloc_zero(alloc, 1, sizeof(*fleet));

	fleet->alloc = alloc;
	fleet->options = *options;
	fleet->servers =
	    alloc_zero(alloc, options->max_servers, sizeof(*fleet->servers));
	fleet->lists = alloc_zero(alloc,
	    (size_t)FLEET_LISTS * options->max_servers, sizeof(*fleet->lists));
	fleet->cache = cache_new(alloc, options->max_servers);
	return fleet;
}

void
fleet_free(struct fleet *fleet)
{
	if (fleet == NULL)
		return;
	cache_free(fleet->cache);
	alloc_free(fleet->alloc, fleet->lists);
	alloc_free(fleet->alloc, fleet->servers);
	alloc_free(fleet->alloc, fleet);
}

/*
 * Returns the server with an index, whether or not it has announced itself;
 * NULL if the index is not below max_servers.
 */
struct fleet_server *
fleet_server(struct fleet *fleet, uint16_t server)
{
	return server < fleet->options.max_servers ? &fleet->servers[server]
						   : NULL;
}

/* Returns one more than the highest server index ever announced. */
uint16_t
fleet_server_end(const struct fleet *fleet)
{
	return fleet->server_index_end;
}

struct cache *
fleet_cache(struct fleet *fleet)
{
	return fleet->cache;
}

/* Returns the mask of versions that at least one usable server runs. */
uint64_t
fleet_versions(const struct fleet *fleet)
{
	return fleet->versions;
}

/* Returns the number of servers that run the target of need. */
uint16_t
fleet_count_servers(const struct fleet *fleet, const struct fleet_need *need)
{
	return fleet->list_count[fleet_list_index(need)];
}

/*
 * Returns the total number of slots of the servers that run the target of need,
 * each counted as if warm.
 */
uint32_t
fleet_count_slots(const struct fleet *fleet, const struct fleet_need *need)
{
	return fleet->list_slots[fleet_list_index(need)];
}

static void
fleet_list_add(struct fleet *fleet, uint16_t list, uint16_t server)
{
	fleet_list(fleet, list)[fleet->list_count[list]++] = server;
}

static void
fleet_list_remove(struct fleet *fleet, uint16_t list, uint16_t server)
{
	uint16_t *items = fleet_list(fleet, list);
	uint16_t i = 0;

	while (items[i] != server)
		i++;
	items[i] = items[--fleet->list_count[list]];
}

/*
 * Moves a server between the lists of one kind, versions or services, from the
 * mask of lists that it was in to the mask that it belongs in, and updates
 * their slot totals.  base is the index of the first list of that kind.
 */
static void
fleet_update_lists(struct fleet *fleet, uint16_t server, uint16_t base,
    uint64_t from, uint64_t to, int32_t slots_before)
{
	const struct fleet_server *s = &fleet->servers[server];
	uint64_t all = from | to;
	uint16_t list;

	for (; all != 0; all &= all - 1) {
		list = (uint16_t)(base + __builtin_ctzll(all));
		if (from & all & -all)
			fleet->list_slots[list] -= (uint32_t)slots_before;
		if (to & all & -all)
			fleet->list_slots[list] += s->announcement.slots;
		if (from & ~to & all & -all)
			fleet_list_remove(fleet, list, server);
		if (to & ~from & all & -all)
			fleet_list_add(fleet, list, server);
	}
}

/*
 * Updates the lists that a server is in after its announcement or its
 * reachability has changed.  A server that is leaving is in none.
 */
static void
fleet_refresh_lists(struct fleet *fleet, uint16_t server, uint16_t slots_before)
{
	struct fleet_server *s = &fleet->servers[server];
	bool usable = s->reachable && (!s->announcement.leaving ||
					  fleet->options.unsafe_leaving);
	uint64_t versions = usable ? s->announcement.versions : 0;
	uint64_t services = usable ? s->announcement.services : 0;
	uint32_t i;

	if (versions == s->listed_versions && services == s->listed_services &&
	    slots_before == s->announcement.slots)
		return;
	fleet_update_lists(
	    fleet, server, 0, s->listed_versions, versions, slots_before);
	fleet_update_lists(fleet, server, CFG_VERSIONS_MAX, s->listed_services,
	    services, slots_before);
	s->listed_versions = versions;
	s->listed_services = services;
	fleet->versions = 0;
	for (i = 0; i < CFG_VERSIONS_MAX; i++)
		if (fleet->list_count[i] > 0)
			fleet->versions |= UINT64_C(1) << i;
}

/*
 * Returns the number of attempts that this instance ran on a server at a past
 * time; the oldest entry is used if the history does not reach back that far.
 */
static uint16_t
fleet_in_flight_at(const struct fleet_server *s, int64_t at_us)
{
	const struct fleet_in_flight_change *c = NULL;
	uint32_t i;

	for (i = 1; i <= FLEET_HISTORY_MAX; i++) {
		c = &s->history[(s->history_next + FLEET_HISTORY_MAX - i) %
				FLEET_HISTORY_MAX];
		if (c->at_us <= at_us)
			break;
	}
	return c->in_flight;
}

/*
 * Derives the load of other instances from a server's last report and updates
 * their mean over the fleet.
 */
static void
fleet_apply_load_report(struct fleet *fleet, struct fleet_server *s)
{
	uint32_t load =
	    (uint32_t)s->announcement.running + s->announcement.queued;
	uint32_t own = fleet_in_flight_at(s, s->announcement.reported_us);
	uint32_t others_load = load > own ? load - own : 0;
	int64_t busy;

	if (s->announcement.reported_us >
	    s->last_cancel_us + FLEET_CANCEL_GRACE_US)
		s->cancels_unconfirmed = 0;
	s->others_load =
	    others_load > UINT16_MAX ? UINT16_MAX : (uint16_t)others_load;
	if (s->announcement.slots == 0)
		return;
	busy = (int64_t)others_load * 1024 / s->announcement.slots;
	fleet->others_load_mean +=
	    (busy - fleet->others_load_mean) / FLEET_LOAD_MEAN_DIVISOR;
}

/* Resets the state that belonged to a server's earlier incarnation. */
static void
fleet_reset_server(struct fleet *fleet, uint16_t server)
{
	struct fleet_server *s = &fleet->servers[server];

	s->in_flight = 0;
	s->suspects = 0;
	s->cancels_unconfirmed = 0;
	s->others_load = 0;
	s->slow = false;
	s->first_token_samples = 0;
	s->expectation_error_us = 0;
	s->credits = 0;
	s->credit_asked_us = 0;
	s->credit_asks_pending = 0;
	s->credit_asks_stale = 0;
	memset(s->history, 0, sizeof(s->history));
	cache_drop_server(fleet->cache, server);
}

/*
 * Applies an announcement.  Returns false and ignores it if it comes from an
 * older incarnation, or was measured before the last one or before the server
 * was reported gone.
 */
bool
fleet_apply_announcement(
    struct fleet *fleet, const struct cf_announce *announcement, int64_t now_us)
{
	struct fleet_server *s = fleet_server(fleet, announcement->server);
	uint16_t slots_before;
	int64_t reported_us =
	    announcement->reported_us != 0 ? announcement->reported_us : now_us;

	if (s == NULL ||
	    announcement->incarnation < s->announcement.incarnation)
		return false;
	if (announcement->incarnation == s->announcement.incarnation &&
	    (reported_us < s->announcement.reported_us ||
		reported_us < s->gone_us))
		return false;
	if (announcement->incarnation != s->announcement.incarnation)
		fleet_reset_server(fleet, announcement->server);
	if (announcement->warmth == CF_COLD &&
	    s->announcement.warmth == CF_WARM)
		cache_drop_server(fleet->cache, announcement->server);
	if (announcement->warmth == CF_WARM) {
		/*
		 * Credits are valid only for the cold phase in which they were
		 * granted.
		 */
		s->credits = 0;
		s->credit_asks_stale = s->credit_asks_pending;
	}
	slots_before = s->announcement.slots;
	s->announcement = *announcement;
	s->announcement.reported_us = reported_us;
	s->reachable = true;
	s->last_heard_us = now_us;
	if (announcement->server >= fleet->server_index_end)
		fleet->server_index_end = announcement->server + 1;
	fleet_refresh_lists(fleet, announcement->server, slots_before);
	fleet_apply_load_report(fleet, s);
	return true;
}

/* Marks a server as gone until it announces itself again. */
void
fleet_mark_gone(struct fleet *fleet, uint16_t server, int64_t now_us)
{
	struct fleet_server *s = fleet_server(fleet, server);

	if (s == NULL)
		return;
	s->reachable = false;
	s->gone_us = now_us;
	fleet_refresh_lists(fleet, server, s->announcement.slots);
}

/*
 * Marks servers as unreachable that have not announced themselves for
 * FLEET_SILENCE_TIMEOUT_US.
 */
void
fleet_expire_silent(struct fleet *fleet, int64_t now_us)
{
	uint16_t i;

	for (i = 0; i < fleet->server_index_end; i++) {
		if (!fleet->servers[i].reachable ||
		    now_us - fleet->servers[i].last_heard_us <
			FLEET_SILENCE_TIMEOUT_US)
			continue;
		fleet->servers[i].reachable = false;
		fleet_refresh_lists(
		    fleet, i, fleet->servers[i].announcement.slots);
	}
}

/*
 * Applies the granter's answer to the oldest pending ask: the number of warm-up
 * credits of a server that this instance now holds.  An answer to an ask from
 * an earlier cold phase is ignored.
 */
void
fleet_set_credits(struct fleet *fleet, uint16_t server, uint64_t incarnation,
    uint16_t credits, int64_t until_us)
{
	struct fleet_server *s = fleet_server(fleet, server);

	if (s == NULL || s->announcement.incarnation != incarnation)
		return;
	if (s->credit_asks_pending > 0)
		s->credit_asks_pending--;
	if (s->credit_asks_stale > 0) {
		s->credit_asks_stale--;
		return;
	}
	s->credits = credits;
	s->credits_incarnation = incarnation;
	s->credits_until_us = until_us;
	s->credits_used = false;
}

static void
fleet_record_in_flight(struct fleet_server *s, int64_t now_us)
{
	s->history[s->history_next].at_us = now_us;
	s->history[s->history_next].in_flight = s->in_flight;
	s->history_next = (s->history_next + 1) % FLEET_HISTORY_MAX;
}

/* Counts an attempt that has started on a server. */
void
fleet_attempt_started(
    struct fleet *fleet, uint16_t server, bool suspect, int64_t now_us)
{
	struct fleet_server *s = &fleet->servers[server];

	s->in_flight++;
	s->suspects += suspect;
	s->credits_used = true;
	fleet_record_in_flight(s, now_us);
}

/*
 * Records the cancellation of an attempt.  A cold server may go on running it
 * for a while, so the attempt keeps its warm-up credit until a later load
 * report.
 */
void
fleet_attempt_cancelled(struct fleet *fleet, uint16_t server, int64_t now_us)
{
	struct fleet_server *s = &fleet->servers[server];

	if (s->announcement.warmth == CF_WARM)
		return;
	s->cancels_unconfirmed++;
	s->last_cancel_us = now_us;
}

/*
 * Removes an ended attempt from its server's counts.  Must not be called if the
 * server's incarnation has changed since the attempt started.
 */
void
fleet_attempt_ended(
    struct fleet *fleet, uint16_t server, bool suspect, int64_t now_us)
{
	struct fleet_server *s = &fleet->servers[server];

	if (s->in_flight > 0)
		s->in_flight--;
	if (suspect && s->suspects > 0)
		s->suspects--;
	fleet_record_in_flight(s, now_us);
}
