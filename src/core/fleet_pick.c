#include "core/fleet_priv.h"

enum {
	FLEET_RANDOM_DRAWS = 6, /* random draws before all servers are tried */
	FLEET_COMPARED_MAX = 2, /* candidates with room to compare */
	FLEET_OVERCOMMIT_DIVISOR = 8, /* one extra attempt per 8 slots */
	FLEET_REPORT_HALF_WEIGHT_MS = 2000, /* age of half weight */
	FLEET_REPORT_AGE_MAX_MS = 60000,
	FLEET_PREFILL_TOKEN_US = 60, /* time to prefill one prompt token */
	FLEET_TOKEN_DEFAULT_US = 20000, /* between tokens if unreported */
	FLEET_SERVICE_DEFAULT_US = 1000000, /* until an attempt has ended */
	FLEET_SLOW_FACTOR = 4, /* factor of a latency jump that means cold */
	FLEET_SLOW_MIN_US = 500000,
	FLEET_SLOW_SAMPLES_MIN = 16
};

/*
 * Returns the expected load of a server in requests: what this instance runs,
 * plus the part of other instances, weighted between the last report and the
 * fleet's mean by the report's age.
 */
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

/* Whether an unused warm-up credit is left whose lease has not ended. */
static bool
fleet_has_credit(const struct fleet_server *s, int64_t now_us)
{
	return s->credits_incarnation == s->announcement.incarnation &&
	       now_us < s->credits_until_us &&
	       s->in_flight + s->cancels_unconfirmed < s->credits;
}

/*
 * Whether a server has room for another attempt.  A cold server takes one for
 * each warm-up credit, a slow one a single attempt, and a warm one its slots
 * plus the overcommit.
 */
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

/* Whether a reachable server has room for another attempt of some request. */
bool
fleet_has_room(const struct fleet *fleet, uint16_t server, int64_t now_us)
{
	return server < fleet->options.max_servers &&
	       fleet->servers[server].reachable &&
	       fleet_server_has_room(fleet, &fleet->servers[server], now_us);
}

/*
 * Whether a server may be sent this request now: it runs the target, has room,
 * and is not excluded by the rest of need.
 */
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

/*
 * Returns the number of prompt tokens that a server must prefill, assuming that
 * it has cached the longest prefix recorded for it and that the prefixes are of
 * equal length.
 */
static uint32_t
fleet_uncached_tokens(
    const struct fleet *fleet, uint16_t server, const struct fleet_need *need)
{
	uint16_t holders[CACHE_HOLDERS_MAX];
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
 * Returns the expected time to the first token, at least 1000 us: the wait for
 * a slot, the prefill of the tokens missing from the prompt cache, one batch
 * step, which takes longer the fuller the batch is, and the mean error of this
 * estimate on the server.
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

/*
 * Compares a server with the best one so far.  Returns false if it cannot serve
 * the request; a cold server that only lacks a credit is then noted in
 * choice->cold.
 */
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

/* Compares the servers that hold the longest known prefix of the prompt. */
static void
fleet_compare_prefix_holders(struct fleet *fleet, const struct fleet_need *need,
    int64_t now_us, struct fleet_choice *choice)
{
	uint16_t holders[CACHE_HOLDERS_MAX];
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
 * Chooses the best of two random servers with room and of those that hold the
 * prompt's prefix.  Comparing all servers would make every instance choose the
 * same one, since they all see the same delayed reports.
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
 * Records the latency of a first token.  A server whose recent latency is many
 * times its usual one has turned cold without announcing it; it is limited to
 * one attempt at a time until its latency recovers.
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

/* Records the duration of a complete attempt on a server. */
void
fleet_record_service_time(struct fleet *fleet, uint16_t server, int64_t took_us)
{
	struct fleet_server *s = &fleet->servers[server];

	if (s->service_us == 0)
		s->service_us = took_us;
	s->service_us += (took_us - s->service_us) / 8;
}
