#include "core/fleet.h"

struct fl {
	const struct alloc *alloc;
	struct fl_server *servers;
	uint16_t max;
	uint16_t end; /* above every known server */
};

/* Returns a fleet without servers. */
struct fl *
fl_new(const struct alloc *alloc, uint16_t max_servers)
{
	struct fl *fl = alloc_zero(alloc, 1, sizeof(*fl));

	fl->alloc = alloc;
	fl->servers = alloc_zero(alloc, max_servers, sizeof(*fl->servers));
	fl->max = max_servers;
	return fl;
}

void
fl_free(struct fl *fl)
{
	alloc_free(fl->alloc, fl->servers);
	alloc_free(fl->alloc, fl);
}

/* Returns a server by index, known or not; NULL past the limit. */
struct fl_server *
fl_server(struct fl *fl, uint16_t server)
{
	return server < fl->max ? &fl->servers[server] : NULL;
}

/*
 * Takes in an announcement.  One of an older incarnation is ignored; returns
 * whether the announcement counted.
 */
bool
fl_announce(struct fl *fl, const struct cf_announce *said, int64_t now_us)
{
	struct fl_server *s = fl_server(fl, said->server);

	if (s == NULL || said->incarnation < s->said.incarnation)
		return false;
	s->said = *said;
	s->known = true;
	s->heard_us = now_us;
	if (said->server >= fl->end)
		fl->end = said->server + 1;
	return true;
}

/* Forgets a server until it announces itself again. */
void
fl_gone(struct fl *fl, uint16_t server)
{
	if (server < fl->max)
		fl->servers[server].known = false;
}

/* Whether a server may be given new work of this kind. */
bool
fl_runs(const struct fl_server *s, const struct fl_need *need)
{
	if (!s->known || s->said.leaving)
		return false;
	if (need->version == CFG_NONE)
		return (s->said.services >> need->service & 1) != 0;
	return (s->said.versions >> need->version & 1) != 0;
}

static bool
fl_avoided(const struct fl_need *need, uint16_t server)
{
	uint8_t i;

	for (i = 0; i < need->avoid_count; i++)
		if (need->avoid[i] == server)
			return true;
	return false;
}

static uint32_t
fl_load(const struct fl_server *s)
{
	uint32_t reported = s->said.running + s->said.queued;

	return reported > s->in_flight ? reported : s->in_flight;
}

static bool
fl_has_room(const struct fl_server *s)
{
	if (s->said.warmth == CF_COLD)
		return false;
	return fl_load(s) < s->said.slots;
}

/*
 * Returns the least loaded of the servers that can take a request now, or
 * CF_NO_SERVER.  candidates receives how many run what it needs.
 */
uint16_t
fl_pick(struct fl *fl, struct rng *rng, const struct fl_need *need,
    int64_t now_us, uint16_t *candidates)
{
	uint16_t best = CF_NO_SERVER;
	uint16_t i;

	*candidates = 0;
	for (i = 0; i < fl->end; i++) {
		if (!fl_runs(&fl->servers[i], need) || fl_avoided(need, i))
			continue;
		++*candidates;
		if (!fl_has_room(&fl->servers[i]))
			continue;
		if (best == CF_NO_SERVER ||
		    fl_load(&fl->servers[i]) < fl_load(&fl->servers[best]))
			best = i;
	}
	return best;
}
