#include "core/fleet_priv.h"

enum {
	FLEET_RANDOM_DRAWS =
	    6, /* random draws before all servers are looked at */
	FLEET_COMPARED_MAX = 2, /* servers with room that are compared */
	FLEET_OVERCOMMIT_DIVISOR =
	    8, /* one more than its slots for each 8 of them */
	FLEET_REPORT_HALF_WEIGHT_MS =
	    2000, /* a report of this age counts half */
	FLEET_REPORT_AGE_MAX_MS = 60000,
	FLEET_PREFILL_TOKEN_US = 60, /* time to read one token of a prompt */
	FLEET_TOKEN_DEFAULT_US =
	    20000, /* time between tokens when not reported */
	FLEET_SERVICE_DEFAULT_US =
	    1000000, /* time of an attempt before any ended */
	FLEET_SLOW_FACTOR = 4, /* a latency jump that means cold */
	FLEET_SLOW_MIN_US = 500000,
	FLEET_SLOW_SAMPLES_MIN = 16
};

/* Returns the load to expect on a server now. */
static uint32_t
fleet_expected_load(
    const struct fleet *fleet, const struct fleet_server *s, int64_t now_us)
{
	int64_t age_ms = (now_us - s->announcement.reported_us) / 1000;
	int64_t mean = fleet->others_load_mean * s->announcement.slots / 1024;
	int64_t others_load;

	if (age_ms < 0)
		age_ms = 0;
	if (age_ms > FLEET_REPORT_AGE_MAX_MS)
		age_ms = FLEET_REPORT_AGE_MAX_MS;
	others_load = s->others_load * (int64_t)FLEET_REPORT_HALF_WEIGHT_MS +
		      mean * age_ms;
	age_ms += FLEET_REPORT_HALF_WEIGHT_MS;
	return s->in_flight + (uint32_t)((others_load + age_ms / 2) / age_ms);
}

static bool
fleet_is_avoided(const struct fleet_need *need, uint16_t server)
{
	uint8_t i;

	for (i = 0; i < need->avoid_count; i++)
		if (need->avoid[i] == server)
			return true;
	return false;
}

static bool
fleet_is_cold(const struct fleet *fleet, const struct fleet_server *s)
{
	return s->announcement.warmth == CF_COLD &&
	       !fleet->options.unsafe_credit;
}

static bool
fleet_has_credit(const struct fleet_server *s, int64_t now_us)
{
	return s->credits_incarnation == s->announcement.incarnation &&
	       now_us < s->credits_until_us &&
	       s->in_flight + s->cancels_unconfirmed < s->credits;
}

static bool
fleet_server_has_room(
    const struct fleet *fleet, const struct fleet_server *s, int64_t now_us)
{
	uint32_t slots = s->announcement.slots;

	if (fleet_is_cold(fleet, s))
		return fleet_has_credit(s, now_us);
	if (s->slow)
		return s->in_flight == 0;
	return fleet_expected_load(fleet, s, now_us) <
	       slots + slots / FLEET_OVERCOMMIT_DIVISOR;
}

static bool
fleet_serves(const struct fleet *fleet, const struct fleet_server *s,
    const struct fleet_need *need)
{
	return need->version != CFG_NONE
		   ? (s->listed_versions >> need->version & 1) != 0
		   : (s->listed_services >> need->service & 1) != 0;
}

/* Whether a server has room for any request. */
bool
fleet_has_room(const struct fleet *fleet, uint16_t server, int64_t now_us)
{
	return server < fleet->options.max_servers &&
	       fleet->servers[server].reachable &&
	       fleet_server_has_room(fleet, &fleet->servers[server], now_us);
}

/* Whether a server may be given this request now. */
bool
fleet_can_serve(const struct fleet *fleet, uint16_t server,
    const struct fleet_need *need, int64_t now_us)
{
	const struct fleet_server *s = &fleet->servers[server];

	return fleet_serves(fleet, s, need) &&
	       (s->listed_versions & need->reserved) == 0 &&
	       !(need->suspect && s->suspects > 0) &&
	       fleet_server_has_room(fleet, s, now_us) &&
	       !fleet_is_avoided(need, server);
}

/* Returns how many of the prompt's tokens a server must still read. */
static uint32_t
fleet_uncached_tokens(
    const struct fleet *fleet, uint16_t server, const struct fleet_need *need)
{
	uint16_t holders[CACHE_WAYS];
	uint8_t i, k, n;

	for (i = need->prefix_count; i > 0; i--) {
		n = cache_holders(fleet->cache, need->prefixes[i - 1], holders);
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
fleet_expected_us(const struct fleet *fleet, uint16_t server,
    const struct fleet_need *need, int64_t now_us)
{
	const struct fleet_server *s = &fleet->servers[server];
	int64_t slots = s->announcement.slots > 0 ? s->announcement.slots : 1;
	int64_t load = fleet_expected_load(fleet, s, now_us);
	int64_t token_us = s->announcement.token_us > 0
			       ? s->announcement.token_us
			       : FLEET_TOKEN_DEFAULT_US;
	int64_t service_us =
	    s->service_us > 0 ? s->service_us : FLEET_SERVICE_DEFAULT_US;
	int64_t us = token_us * (slots + load) / slots;

	if (load >= slots)
		us += (load - slots + 1) * service_us / slots;
	us += (int64_t)fleet_uncached_tokens(fleet, server, need) *
	      FLEET_PREFILL_TOKEN_US;
	us += s->expectation_error_us;
	return us > 1000 ? us : 1000;
}

/* Compares a server with the best so far; returns whether it has room. */
static bool
fleet_compare_server(struct fleet *fleet, uint16_t server,
    const struct fleet_need *need, int64_t now_us, struct fleet_choice *choice)
{
	const struct fleet_server *s = &fleet->servers[server];
	int64_t us;

	if (!fleet_can_serve(fleet, server, need, now_us)) {
		if (fleet_is_cold(fleet, s) && fleet_serves(fleet, s, need) &&
		    !fleet_has_credit(s, now_us))
			choice->cold = server;
		return false;
	}
	us = fleet_expected_us(fleet, server, need, now_us);
	if (choice->server == CF_NO_SERVER || us < choice->expected_us) {
		choice->server = server;
		choice->expected_us = us;
	}
	return true;
}

/* Looks at the servers that hold the longest known prefix of the prompt. */
static void
fleet_compare_prefix_holders(struct fleet *fleet, const struct fleet_need *need,
    int64_t now_us, struct fleet_choice *choice)
{
	uint16_t holders[CACHE_WAYS];
	uint8_t i, k, n;

	for (i = need->prefix_count; i > 0; i--) {
		n = cache_holders(fleet->cache, need->prefixes[i - 1], holders);
		for (k = 0; k < n && k < FLEET_COMPARED_MAX; k++)
			fleet_compare_server(
			    fleet, holders[k], need, now_us, choice);
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
fleet_pick_server(struct fleet *fleet, struct rng *rng,
    const struct fleet_need *need, int64_t now_us, struct fleet_choice *choice)
{
	uint16_t list = fleet_list_index(need);
	const uint16_t *items = fleet_list(fleet, list);
	uint16_t count = fleet->list_count[list];
	uint16_t found = 0;
	uint32_t at, seen;

	choice->server = CF_NO_SERVER;
	choice->cold = CF_NO_SERVER;
	choice->candidates = count;
	choice->expected_us = 0;
	if (count == 0)
		return;
	if (need->prefix_count > 0)
		fleet_compare_prefix_holders(fleet, need, now_us, choice);
	for (seen = 0; seen < FLEET_RANDOM_DRAWS && found < FLEET_COMPARED_MAX;
	     seen++)
		found += fleet_compare_server(
		    fleet, items[rng_below(rng, count)], need, now_us, choice);
	if (choice->server != CF_NO_SERVER)
		return;
	at = rng_below(rng, count);
	for (seen = 0; seen < count && found < FLEET_COMPARED_MAX; seen++) {
		found += fleet_compare_server(
		    fleet, items[at], need, now_us, choice);
		at = at + 1 < count ? at + 1 : 0;
	}
}

/*
 * Learns from a first token.  A server whose recent latency is many times its
 * usual one has turned cold without a word and is treated so until it is back.
 */
void
fleet_record_first_token(
    struct fleet *fleet, uint16_t server, int64_t took_us, int64_t expected_us)
{
	struct fleet_server *s = &fleet->servers[server];

	s->expectation_error_us += (took_us - expected_us) / 8;
	if (s->first_token_samples == 0) {
		s->first_token_baseline_us = took_us;
		s->first_token_recent_us = took_us;
	}
	s->first_token_samples++;
	s->first_token_recent_us += (took_us - s->first_token_recent_us) / 2;
	s->slow = s->first_token_samples >= FLEET_SLOW_SAMPLES_MIN &&
		  s->first_token_recent_us > FLEET_SLOW_MIN_US &&
		  s->first_token_recent_us >
		      FLEET_SLOW_FACTOR * s->first_token_baseline_us;
	s->first_token_baseline_us +=
	    (took_us - s->first_token_baseline_us) / 64;
}

/* Learns how long whole attempts take on a server. */
void
fleet_record_service_time(struct fleet *fleet, uint16_t server, int64_t took_us)
{
	struct fleet_server *s = &fleet->servers[server];

	if (s->service_us == 0)
		s->service_us = took_us;
	s->service_us += (took_us - s->service_us) / 8;
}
