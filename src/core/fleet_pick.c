#include "core/fleet_priv.h"

enum {
	FL_TRIES = 6, /* random draws before all servers are looked at */
	FL_CHOICES = 2, /* servers with room that are compared */
	FL_OVERCOMMIT = 8, /* one more than its slots for each 8 of them */
	FL_AGE_HALF_MS = 2000, /* a report of this age counts half */
	FL_AGE_MAX_MS = 60000,
	FL_PREFILL_US = 60, /* time to read one token of a prompt */
	FL_TOKEN_US = 20000, /* time between tokens when not reported */
	FL_SERVICE_US = 1000000, /* time of an attempt before any ended */
	FL_SLOW_FACTOR = 4, /* a latency jump that means cold */
	FL_SLOW_FLOOR_US = 500000,
	FL_SLOW_SAMPLES = 16
};

/* Returns the load to expect on a server now. */
static uint32_t
fl_load(const struct fl *fl, const struct fl_server *s, int64_t now_us)
{
	int64_t age_ms = (now_us - s->said.reported_us) / 1000;
	int64_t mean = fl->others_mean * s->said.slots / 1024;
	int64_t others;

	if (age_ms < 0)
		age_ms = 0;
	if (age_ms > FL_AGE_MAX_MS)
		age_ms = FL_AGE_MAX_MS;
	others = s->others * (int64_t)FL_AGE_HALF_MS + mean * age_ms;
	age_ms += FL_AGE_HALF_MS;
	return s->in_flight + (uint32_t)((others + age_ms / 2) / age_ms);
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

static bool
fl_cold(const struct fl *fl, const struct fl_server *s)
{
	return s->said.warmth == CF_COLD && !fl->options.unsafe_credit;
}

static bool
fl_has_credit(const struct fl_server *s, int64_t now_us)
{
	return s->credits_incarnation == s->said.incarnation &&
	       now_us < s->credits_until_us &&
	       s->in_flight + s->lingering < s->credits;
}

static bool
fl_has_room(const struct fl *fl, const struct fl_server *s, int64_t now_us)
{
	uint32_t slots = s->said.slots;

	if (fl_cold(fl, s))
		return fl_has_credit(s, now_us);
	if (s->slow)
		return s->in_flight == 0;
	return fl_load(fl, s, now_us) < slots + slots / FL_OVERCOMMIT;
}

static bool
fl_runs(
    const struct fl *fl, const struct fl_server *s, const struct fl_need *need)
{
	return need->version != CFG_NONE
		   ? (s->listed_versions >> need->version & 1) != 0
		   : (s->listed_services >> need->service & 1) != 0;
}

/* Whether a server has room for any request. */
bool
fl_open(const struct fl *fl, uint16_t server, int64_t now_us)
{
	return server < fl->options.max_servers && fl->servers[server].known &&
	       fl_has_room(fl, &fl->servers[server], now_us);
}

/* Whether a server may be given this request now. */
bool
fl_can_take(const struct fl *fl, uint16_t server, const struct fl_need *need,
    int64_t now_us)
{
	const struct fl_server *s = &fl->servers[server];

	return fl_runs(fl, s, need) &&
	       (s->listed_versions & need->reserved) == 0 &&
	       !(need->suspect && s->suspects > 0) &&
	       fl_has_room(fl, s, now_us) && !fl_avoided(need, server);
}

/* Returns how many of the prompt's tokens a server must still read. */
static uint32_t
fl_uncached(const struct fl *fl, uint16_t server, const struct fl_need *need)
{
	uint16_t holders[CACHE_WAYS];
	uint8_t i, k, n;

	for (i = need->prefix_count; i > 0; i--) {
		n = cache_holders(fl->cache, need->prefixes[i - 1], holders);
		for (k = 0; k < n; k++)
			if (holders[k] == server)
				return need->prompt_tokens -
				       (uint32_t)((uint64_t)
						      need->prompt_tokens *
						  i / need->prefix_count);
	}
	return need->prompt_tokens;
}

/*
 * Returns the expected time to the first token: the wait for a slot, the
 * reading of what the prompt cache lacks, one step of a batch that is slower
 * the fuller it is, and the server's own average error of this estimate.
 */
int64_t
fl_expect(const struct fl *fl, uint16_t server, const struct fl_need *need,
    int64_t now_us)
{
	const struct fl_server *s = &fl->servers[server];
	int64_t slots = s->said.slots > 0 ? s->said.slots : 1;
	int64_t load = fl_load(fl, s, now_us);
	int64_t token_us =
	    s->said.token_us > 0 ? s->said.token_us : FL_TOKEN_US;
	int64_t service_us = s->service_us > 0 ? s->service_us : FL_SERVICE_US;
	int64_t us = token_us * (slots + load) / slots;

	if (load >= slots)
		us += (load - slots + 1) * service_us / slots;
	us += (int64_t)fl_uncached(fl, server, need) * FL_PREFILL_US;
	us += s->error_us;
	return us > 1000 ? us : 1000;
}

/* Compares a server with the best so far; returns whether it has room. */
static bool
fl_consider(struct fl *fl, uint16_t server, const struct fl_need *need,
    int64_t now_us, struct fl_choice *choice)
{
	const struct fl_server *s = &fl->servers[server];
	int64_t us;

	if (!fl_can_take(fl, server, need, now_us)) {
		if (fl_cold(fl, s) && fl_runs(fl, s, need) &&
		    !fl_has_credit(s, now_us))
			choice->cold = server;
		return false;
	}
	us = fl_expect(fl, server, need, now_us);
	if (choice->server == CF_NO_SERVER || us < choice->expected_us) {
		choice->server = server;
		choice->expected_us = us;
	}
	return true;
}

/* Looks at the servers that hold the longest known prefix of the prompt. */
static void
fl_consider_holders(struct fl *fl, const struct fl_need *need, int64_t now_us,
    struct fl_choice *choice)
{
	uint16_t holders[CACHE_WAYS];
	uint8_t i, k, n;

	for (i = need->prefix_count; i > 0; i--) {
		n = cache_holders(fl->cache, need->prefixes[i - 1], holders);
		for (k = 0; k < n && k < FL_CHOICES; k++)
			fl_consider(fl, holders[k], need, now_us, choice);
		if (n > 0)
			return;
	}
}

/*
 * Chooses between two random servers with room, and those that hold the
 * prompt's prefix.  Comparing all would send every instance to the same one,
 * since they all see the same late reports.
 */
void
fl_pick(struct fl *fl, struct rng *rng, const struct fl_need *need,
    int64_t now_us, struct fl_choice *choice)
{
	uint16_t list = fl_list_of(need);
	const uint16_t *items = fl_list(fl, list);
	uint16_t count = fl->list_count[list];
	uint16_t found = 0;
	uint32_t at, seen;

	choice->server = CF_NO_SERVER;
	choice->cold = CF_NO_SERVER;
	choice->candidates = count;
	choice->expected_us = 0;
	if (count == 0)
		return;
	if (need->prefix_count > 0)
		fl_consider_holders(fl, need, now_us, choice);
	for (seen = 0; seen < FL_TRIES && found < FL_CHOICES; seen++)
		found += fl_consider(
		    fl, items[rng_below(rng, count)], need, now_us, choice);
	if (choice->server != CF_NO_SERVER)
		return;
	at = rng_below(rng, count);
	for (seen = 0; seen < count && found < FL_CHOICES; seen++) {
		found += fl_consider(fl, items[at], need, now_us, choice);
		at = at + 1 < count ? at + 1 : 0;
	}
}

/*
 * Learns from a first token.  A server whose recent latency is many times its
 * usual one has turned cold without a word and is treated so until it is back.
 */
void
fl_first_token(
    struct fl *fl, uint16_t server, int64_t took_us, int64_t expected_us)
{
	struct fl_server *s = &fl->servers[server];

	s->error_us += (took_us - expected_us) / 8;
	if (s->samples == 0) {
		s->first_token_us = took_us;
		s->recent_us = took_us;
	}
	s->samples++;
	s->recent_us += (took_us - s->recent_us) / 2;
	s->slow = s->samples >= FL_SLOW_SAMPLES &&
		  s->recent_us > FL_SLOW_FLOOR_US &&
		  s->recent_us > FL_SLOW_FACTOR * s->first_token_us;
	s->first_token_us += (took_us - s->first_token_us) / 64;
}

/* Learns how long whole attempts take on a server. */
void
fl_served(struct fl *fl, uint16_t server, int64_t took_us)
{
	struct fl_server *s = &fl->servers[server];

	if (s->service_us == 0)
		s->service_us = took_us;
	s->service_us += (took_us - s->service_us) / 8;
}
