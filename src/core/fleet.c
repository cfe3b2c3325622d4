#include "core/fleet.h"

#include <string.h>

#include "core/fleet_priv.h"

enum {
	FL_LINGER_US = 500000, /* a cancelled attempt is gone after this */
	FL_SILENT_US = 3000000, /* without an announcement a server is gone */
	FL_MEAN_SHARE = 8 /* weight of one announcement in the mean load */
};

/* Returns a fleet without servers. */
struct fl *
fl_new(const struct fl_options *options)
{
	const struct alloc *alloc = options->alloc;
	struct fl *fl = alloc_zero(alloc, 1, sizeof(*fl));

	fl->alloc = alloc;
	fl->options = *options;
	fl->servers =
	    alloc_zero(alloc, options->max_servers, sizeof(*fl->servers));
	fl->lists = alloc_zero(
	    alloc, (size_t)FL_LISTS * options->max_servers, sizeof(*fl->lists));
	fl->cache = cache_new(alloc, options->max_servers);
	return fl;
}

void
fl_free(struct fl *fl)
{
	if (fl == NULL)
		return;
	cache_free(fl->cache);
	alloc_free(fl->alloc, fl->lists);
	alloc_free(fl->alloc, fl->servers);
	alloc_free(fl->alloc, fl);
}

/* Returns a server by index, known or not; NULL past the limit. */
struct fl_server *
fl_server(struct fl *fl, uint16_t server)
{
	return server < fl->options.max_servers ? &fl->servers[server] : NULL;
}

/* Returns the index above every server that was ever announced. */
uint16_t
fl_end(const struct fl *fl)
{
	return fl->end;
}

struct cache *
fl_cache(struct fl *fl)
{
	return fl->cache;
}

/* Returns the versions that some server in reach runs, as a mask. */
uint64_t
fl_versions(const struct fl *fl)
{
	return fl->versions;
}

/* Returns how many servers run what is needed. */
uint16_t
fl_count(const struct fl *fl, const struct fl_need *need)
{
	return fl->list_count[fl_list_of(need)];
}

/* Returns the warm slots of all servers that run what is needed. */
uint32_t
fl_slots(const struct fl *fl, const struct fl_need *need)
{
	return fl->list_slots[fl_list_of(need)];
}

static void
fl_list_add(struct fl *fl, uint16_t list, uint16_t server)
{
	fl_list(fl, list)[fl->list_count[list]++] = server;
}

static void
fl_list_remove(struct fl *fl, uint16_t list, uint16_t server)
{
	uint16_t *items = fl_list(fl, list);
	uint16_t i = 0;

	while (items[i] != server)
		i++;
	items[i] = items[--fl->list_count[list]];
}

/* Brings one mask's worth of lists in line; base is the first one's index. */
static void
fl_relist(struct fl *fl, uint16_t server, uint16_t base, uint64_t from,
    uint64_t to, int32_t slots_before)
{
	const struct fl_server *s = &fl->servers[server];
	uint64_t all = from | to;
	uint16_t list;

	for (; all != 0; all &= all - 1) {
		list = (uint16_t)(base + __builtin_ctzll(all));
		if (from & all & -all)
			fl->list_slots[list] -= (uint32_t)slots_before;
		if (to & all & -all)
			fl->list_slots[list] += s->said.slots;
		if (from & ~to & all & -all)
			fl_list_remove(fl, list, server);
		if (to & ~from & all & -all)
			fl_list_add(fl, list, server);
	}
}

/* Puts a server into the lists of what it may be given, and out of others. */
static void
fl_refresh(struct fl *fl, uint16_t server, uint16_t slots_before)
{
	struct fl_server *s = &fl->servers[server];
	bool usable =
	    s->known && (!s->said.leaving || fl->options.unsafe_leaving);
	uint64_t versions = usable ? s->said.versions : 0;
	uint64_t services = usable ? s->said.services : 0;
	uint32_t i;

	if (versions == s->listed_versions && services == s->listed_services &&
	    slots_before == s->said.slots)
		return;
	fl_relist(fl, server, 0, s->listed_versions, versions, slots_before);
	fl_relist(fl, server, CFG_VERSIONS_MAX, s->listed_services, services,
	    slots_before);
	s->listed_versions = versions;
	s->listed_services = services;
	fl->versions = 0;
	for (i = 0; i < CFG_VERSIONS_MAX; i++)
		if (fl->list_count[i] > 0)
			fl->versions |= UINT64_C(1) << i;
}

/* Returns how many attempts this instance ran on a server at a past time. */
static uint16_t
fl_in_flight_at(const struct fl_server *s, int64_t at_us)
{
	const struct fl_change *c = NULL;
	uint32_t i;

	for (i = 1; i <= FL_HISTORY; i++) {
		c = &s->history[(s->history_next + FL_HISTORY - i) %
				FL_HISTORY];
		if (c->at_us <= at_us)
			break;
	}
	return c->in_flight;
}

static void
fl_take_report(struct fl *fl, struct fl_server *s)
{
	uint32_t load = (uint32_t)s->said.running + s->said.queued;
	uint32_t own = fl_in_flight_at(s, s->said.reported_us);
	uint32_t others = load > own ? load - own : 0;
	int64_t busy;

	if (s->said.reported_us > s->lingering_us + FL_LINGER_US)
		s->lingering = 0;
	s->others = others > UINT16_MAX ? UINT16_MAX : (uint16_t)others;
	if (s->said.slots == 0)
		return;
	busy = (int64_t)others * 1024 / s->said.slots;
	fl->others_mean += (busy - fl->others_mean) / FL_MEAN_SHARE;
}

/* Drops what was learned of a server's earlier life. */
static void
fl_restart(struct fl *fl, uint16_t server)
{
	struct fl_server *s = &fl->servers[server];

	s->in_flight = 0;
	s->suspects = 0;
	s->lingering = 0;
	s->others = 0;
	s->slow = false;
	s->samples = 0;
	s->error_us = 0;
	s->credits = 0;
	s->asked_us = 0;
	s->asks_open = 0;
	s->asks_void = 0;
	memset(s->history, 0, sizeof(s->history));
	cache_forget_server(fl->cache, server);
}

/*
 * Takes in an announcement.  One of an older incarnation, or measured before
 * the last one or before the server was reported gone, is ignored; returns
 * whether it counted.
 */
bool
fl_announce(struct fl *fl, const struct cf_announce *said, int64_t now_us)
{
	struct fl_server *s = fl_server(fl, said->server);
	uint16_t slots_before;
	int64_t reported_us =
	    said->reported_us != 0 ? said->reported_us : now_us;

	if (s == NULL || said->incarnation < s->said.incarnation)
		return false;
	if (said->incarnation == s->said.incarnation &&
	    (reported_us < s->said.reported_us || reported_us < s->gone_us))
		return false;
	if (said->incarnation != s->said.incarnation)
		fl_restart(fl, said->server);
	if (said->warmth == CF_COLD && s->said.warmth == CF_WARM)
		cache_forget_server(fl->cache, said->server);
	if (said->warmth == CF_WARM) {
		/* Credits are for the cold phase that they were given in. */
		s->credits = 0;
		s->asks_void = s->asks_open;
	}
	slots_before = s->said.slots;
	s->said = *said;
	s->said.reported_us = reported_us;
	s->known = true;
	s->heard_us = now_us;
	if (said->server >= fl->end)
		fl->end = said->server + 1;
	fl_refresh(fl, said->server, slots_before);
	fl_take_report(fl, s);
	return true;
}

/* Forgets a server until it announces itself again. */
void
fl_gone(struct fl *fl, uint16_t server, int64_t now_us)
{
	struct fl_server *s = fl_server(fl, server);

	if (s == NULL)
		return;
	s->known = false;
	s->gone_us = now_us;
	fl_refresh(fl, server, s->said.slots);
}

/* Takes servers out that have been silent for too long. */
void
fl_silence(struct fl *fl, int64_t now_us)
{
	uint16_t i;

	for (i = 0; i < fl->end; i++) {
		if (!fl->servers[i].known ||
		    now_us - fl->servers[i].heard_us < FL_SILENT_US)
			continue;
		fl->servers[i].known = false;
		fl_refresh(fl, i, fl->servers[i].said.slots);
	}
}

/*
 * Takes in how many warm-up credits of a server this instance now holds: the
 * granter's answer to the oldest ask that is not answered yet.
 */
void
fl_credit(struct fl *fl, uint16_t server, uint64_t incarnation,
    uint16_t credits, int64_t until_us)
{
	struct fl_server *s = fl_server(fl, server);

	if (s == NULL || s->said.incarnation != incarnation)
		return;
	if (s->asks_open > 0)
		s->asks_open--;
	if (s->asks_void > 0) {
		s->asks_void--;
		return;
	}
	s->credits = credits;
	s->credits_incarnation = incarnation;
	s->credits_until_us = until_us;
	s->credits_used = false;
}

static void
fl_note_change(struct fl_server *s, int64_t now_us)
{
	s->history[s->history_next].at_us = now_us;
	s->history[s->history_next].in_flight = s->in_flight;
	s->history_next = (s->history_next + 1) % FL_HISTORY;
}

/* Counts an attempt that starts on a server. */
void
fl_started(struct fl *fl, uint16_t server, bool suspect, int64_t now_us)
{
	struct fl_server *s = &fl->servers[server];

	s->in_flight++;
	s->suspects += suspect;
	s->credits_used = true;
	fl_note_change(s, now_us);
}

/*
 * Notes that an attempt was cancelled.  Its server may go on with it for a
 * while, so it keeps its warm-up credit until a later report.
 */
void
fl_cancelled(struct fl *fl, uint16_t server, int64_t now_us)
{
	struct fl_server *s = &fl->servers[server];

	if (s->said.warmth == CF_WARM)
		return;
	s->lingering++;
	s->lingering_us = now_us;
}

/* Counts an attempt that ended on a server of the same incarnation. */
void
fl_ended(struct fl *fl, uint16_t server, bool suspect, int64_t now_us)
{
	struct fl_server *s = &fl->servers[server];

	if (s->in_flight > 0)
		s->in_flight--;
	if (suspect && s->suspects > 0)
		s->suspects--;
	fl_note_change(s, now_us);
}
