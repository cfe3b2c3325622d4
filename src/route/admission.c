#include "route/admission.h"

#include <math.h>

enum {
	REPORT_MAX_AGE_US = 2000000, /* older reports are not used */
	/* Requests that a report may exceed what the instances know of */
	REPORT_EXCESS_FACTOR = 2,
	IDLE_TURNS_MAX = 8, /* doublings of an instance's share */
	MID_ANSWER_LEVEL = 0,
	FIRST_LEVEL = 1,
	LEVELS_PER_PRIORITY = 2, /* in time and late */
	RAISES_PER_GOAL = 2,
	RATE_MEMORY_US = 2000000,
	RATE_OBSERVED_MIN_US = 200000,
	RATE_MAX_AGE_US = 4000000,
	/* Requests must wait for as long before the rate of sends is known */
	DRAIN_OBSERVED_MIN_US = 1000000,
	/* The queue may be empty in between for less than this */
	DRAIN_GAP_US = 1000000,
	WAIT_MAX_US = 60000000, /* longer ones are not told apart */
	MS_PER_S = 1000,
	US_PER_MS = 1000,
	US_PER_S = 1000000
};

/*
 * Part of the time in which a request can be sent and still be answered in time
 * that it may wait; servers are often slower than expected when requests wait
 */
static const double wait_share = 0.75;
/*
 * What arrives is taken to be as much more, before a late request counts on the
 * rest of what the servers take
 */
static const double arriving_margin = 1.1;
/* Weight of the newest wait in the ratio, and bounds of both */
static const double ratio_weight = 1.0 / 16;
static const double sample_max = 4;
static const double ratio_min = 0.5;
static const double ratio_max = 3;
/* Part of the usual time by which a Retry-After varies */
static const double return_spread = 0.25;

/*
 * Returns how many requests may wait at a server, beyond its slots: as many as
 * it begins until the instances hear of a free slot, so that it is kept busy.
 * service_ms: how long a request takes a slot; 0: not known.  most: upper
 * limit.
 */
uint32_t
admission_waiting_max(uint32_t slots, double service_ms, uint32_t most)
{
	double begun = slots * (double)ADMISSION_LAG_MS / service_ms;

	if (service_ms <= 0 || begun >= most)
		return most;
	return begun > 1 ? (uint32_t)(begun + 0.5) : 1;
}

/*
 * Estimates the requests at a server by the newer of its own report and those
 * of the other instances.  A server's report counts up to
 * REPORT_EXCESS_FACTOR times what the instances have there and a quarter of its
 * slots, so that a wrong one does not close the server.
 */
uint32_t
admission_load(const struct admission_view *view)
{
	bool has_report =
	    view->has_report && view->report_age_us <= REPORT_MAX_AGE_US;
	bool has_peers =
	    view->has_peers && view->peers_age_us <= REPORT_MAX_AGE_US;
	int64_t known =
	    (int64_t)view->own + (has_peers ? (int64_t)view->peers : 0);
	int64_t load = (int64_t)view->reported + view->sent_since;

	if (!has_report ||
	    (has_peers && view->peers_age_us < view->report_age_us))
		load = known;
	else if (has_peers &&
		 load > known * REPORT_EXCESS_FACTOR + view->slots / 4)
		load = known * REPORT_EXCESS_FACTOR + view->slots / 4;
	if (load < view->own)
		load = view->own;
	return load < UINT32_MAX ? (uint32_t)load : UINT32_MAX;
}

static bool
has_place(const struct admission_view *view, const struct admission_need *need,
    uint32_t load)
{
	return view->slots == 0 || load < view->slots + need->waiting_max;
}

/*
 * Tells whether a server has a slot for one more request, or a place among
 * those that may wait there.
 */
bool
admission_has_place(
    const struct admission_view *view, const struct admission_need *need)
{
	return has_place(view, need, admission_load(view));
}

/*
 * Tells whether a server begins one more request soon: it has a slot, or a
 * place among those that may wait there, and memory for the request's tokens.
 * Requests of other instances count with the service's mean.
 */
bool
admission_has_room(
    const struct admission_view *view, const struct admission_need *need)
{
	uint32_t load = admission_load(view);
	double tokens;

	if (!has_place(view, need, load))
		return false;
	if (view->slots == 0)
		return true;
	if (view->memory_tokens == 0 || need->ignores_memory || load == 0)
		return true;
	tokens = (double)view->own_tokens + need->tokens +
		 (load - view->own) * need->mean_tokens;
	return tokens <= view->memory_tokens;
}

/*
 * Tells whether all slots of a server may be taken before the instances know,
 * if it gets half as many requests more in that time as it begins when busy.
 */
bool
admission_may_fill_up(const struct admission_view *view, double begun_per_s)
{
	return admission_load(view) +
		   begun_per_s * ADMISSION_LAG_MS / MS_PER_S / 2 >=
	       view->slots;
}

/*
 * Tells whether an instance with waiting requests may send one to a server
 * now.  All instances that wait learn of a free place at about the same time.
 * In each turn the places that are free, and those that become free meanwhile,
 * are divided among the instances, among others in the next turn.  While the
 * server could not fill up soon, as the other instances have nothing waiting,
 * the share doubles with each turn until one instance may take them all.
 * begun_per_s: requests that the server begins a second.
 */
bool
admission_may_take_turn(struct admission_turn *turn,
    const struct admission_view *view, const struct admission_need *need,
    double begun_per_s, const struct rate_members *members,
    uint64_t server_hash, int64_t now_us)
{
	uint32_t number = (uint32_t)(now_us / ADMISSION_TURN_US);
	uint32_t load = admission_load(view);
	/* Half of those that may wait leaves room for chance. */
	double places = view->slots + need->waiting_max / 2.0 - load +
			begun_per_s * ADMISSION_TURN_US / US_PER_S;

	if (view->slots == 0 || members->count <= 1 || members->place == 0)
		return true;
	if (turn->number != number) {
		bool follows = turn->number + 1 == number;

		if (!follows || admission_may_fill_up(view, begun_per_s))
			turn->idle = 0;
		else if (turn->idle < IDLE_TURNS_MAX)
			turn->idle++;
		turn->number = number;
		turn->sent = 0;
	}
	if (places <= 0)
		return false;
	/* Successive turns begin at different instances. */
	return turn->sent < rate_share_of_slots((uint32_t)places << turn->idle,
				members, server_hash + number);
}

/*
 * Returns the level at which a request waits; lower levels are served first.
 * Answers that have begun come before all others.  Within a priority, requests
 * that can be answered in time come before late ones.  The former move up by a
 * priority for each half of their goal that they have waited, so that none
 * starves behind those of higher priority.
 */
uint16_t
admission_level(const struct admission_rank *rank)
{
	bool is_late = rank->waited_us + rank->first_us > rank->goal_us;
	int64_t raised = rank->goal_us > 0 && !is_late && !rank->is_over_share
			     ? rank->waited_us * RAISES_PER_GOAL / rank->goal_us
			     : 0;
	int64_t level = FIRST_LEVEL +
			LEVELS_PER_PRIORITY * (rank->priority - raised) +
			(is_late || rank->is_behind || rank->is_over_share);

	if (rank->begun)
		return MID_ANSWER_LEVEL;
	if (level < FIRST_LEVEL)
		level = FIRST_LEVEL;
	return level < ADMISSION_LEVELS ? (uint16_t)level
					: ADMISSION_LEVELS - 1;
}

/* Adds a request that found no server; lacks_memory: for its memory only. */
void
admission_add_blocked(
    struct admission_blocked *blocked, uint32_t tokens, bool lacks_memory)
{
	if (!blocked->any || tokens < blocked->tokens)
		blocked->tokens = tokens;
	blocked->any = true;
	blocked->lacks_slots |= !lacks_memory;
}

/*
 * Tells whether a request may pass those that wait: they only wait for more
 * memory than it needs.  Where slots are short it would take the next one from
 * them.
 */
bool
admission_may_pass(const struct admission_blocked *blocked, uint32_t tokens)
{
	return blocked->any && !blocked->lacks_slots &&
	       tokens < blocked->tokens;
}

static double
decayed_count(const struct admission_rate *rate, int64_t now_us)
{
	return rate->count *
	       exp(-(double)(now_us - rate->updated_us) / RATE_MEMORY_US);
}

/* Counts an event of a cost, so that the rate is cost a second. */
void
admission_rate_add_cost(
    struct admission_rate *rate, uint32_t cost, int64_t now_us)
{
	if (rate->updated_us == 0)
		rate->first_us = now_us;
	rate->count = decayed_count(rate, now_us) + cost;
	rate->updated_us = now_us;
}

/* Counts an event. */
void
admission_rate_add(struct admission_rate *rate, int64_t now_us)
{
	admission_rate_add_cost(rate, 1, now_us);
}

/* Returns the rate; 0 until it has been observed for long enough. */
double
admission_rate_per_s(const struct admission_rate *rate, int64_t now_us)
{
	double observed_us = (double)(now_us - rate->first_us);

	/* An old rate says nothing of what the servers take now. */
	if (rate->updated_us == 0 || observed_us < RATE_OBSERVED_MIN_US ||
	    now_us - rate->updated_us > RATE_MAX_AGE_US)
		return 0;
	return decayed_count(rate, now_us) * US_PER_S /
	       (RATE_MEMORY_US * (1 - exp(-observed_us / RATE_MEMORY_US)));
}

/* Tells whether the queue has been empty for long. */
static bool
is_calm(const struct admission_drain *drain, int64_t now_us)
{
	return drain->since_us == 0 ||
	       (drain->emptied_us != 0 &&
		   now_us - drain->emptied_us >= DRAIN_GAP_US);
}

/*
 * Records how many requests wait.  When they begin to, after a calm time, the
 * rate is measured anew.
 */
void
admission_drain_set_queue(
    struct admission_drain *drain, uint32_t waiting, int64_t now_us)
{
	if (waiting == 0) {
		if (drain->emptied_us == 0)
			drain->emptied_us = now_us;
		return;
	}
	if (is_calm(drain, now_us)) {
		drain->sent = (struct admission_rate){
		    .first_us = now_us, .updated_us = now_us};
		drain->since_us = now_us;
	}
	drain->emptied_us = 0;
}

/* Counts a request that was sent. */
void
admission_drain_add(struct admission_drain *drain, int64_t now_us)
{
	admission_rate_add(&drain->sent, now_us);
}

/* Returns the rate; 0 if requests have not waited for long enough. */
double
admission_drain_per_s(const struct admission_drain *drain, int64_t now_us)
{
	if (is_calm(drain, now_us) ||
	    now_us - drain->since_us < DRAIN_OBSERVED_MIN_US)
		return 0;
	return admission_rate_per_s(&drain->sent, now_us);
}

static int64_t
time_to_send_us(uint32_t requests, double per_s)
{
	return per_s * WAIT_MAX_US > (double)requests * US_PER_S
		   ? (int64_t)(requests * US_PER_S / per_s)
		   : WAIT_MAX_US;
}

/*
 * Returns how long a request is expected to wait from now on, corrected by how
 * long others have waited.
 */
int64_t
admission_expected_wait_us(const struct admission_wait *wait)
{
	double ratio = wait->wait_ratio > 0 ? wait->wait_ratio : 1;

	return time_to_send_us(wait->ahead + 1, wait->sent_per_s / ratio);
}

/*
 * Returns the moving average of the ratio of waits to what was expected, after
 * one more wait.  A single wait and the average are bounded, so that neither
 * lets everything wait nor refuses everything.
 */
double
admission_next_ratio(double ratio, int64_t expected_us, int64_t waited_us)
{
	double sample =
	    (double)waited_us / (double)(expected_us > 0 ? expected_us : 1);

	if (ratio <= 0)
		ratio = 1;
	if (sample > sample_max)
		sample = sample_max;
	/* What was expected already has the ratio in it. */
	ratio += ratio_weight * ratio * (sample - 1);
	if (ratio < ratio_min)
		return ratio_min;
	return ratio < ratio_max ? ratio : ratio_max;
}

/*
 * Returns until when a request may wait.  A time that is not in the future: it
 * is to be refused at once.
 *
 * A request may wait if it is expected to be sent in the time for which it may
 * wait, or in half of that if its workspace has more waiting than others.  A
 * request that will be late may wait for what the servers take beyond the
 * requests that arrive, until its answer would not be complete by the caller's
 * deadline.  While more arrive than are sent, a late answer would only make
 * another one late, so it is refused.  One request of each level may always
 * wait, which keeps low priorities from starving.  As long as nothing is known
 * of the rates, a request waits for half of its goal.
 */
int64_t
admission_wait_until_us(const struct admission_wait *wait)
{
	int64_t in_time_us =
	    wait->arrived_us +
	    (int64_t)(wait_share * (double)(wait->goal_us - wait->first_us));
	int64_t latest_us = wait->deadline_us - wait->answer_us;
	double spare_per_s =
	    wait->sent_per_s - wait->arriving_per_s * arriving_margin;
	int64_t late_us = time_to_send_us(wait->ahead + 1, spare_per_s);
	/* A workspace with more waiting than others leaves room to them. */
	int margin = wait->is_within_share ? 1 : 2;

	if (in_time_us > wait->deadline_us)
		in_time_us = wait->deadline_us;
	if (wait->sent_per_s <= 0) {
		in_time_us = wait->arrived_us + wait->goal_us / 2;
		return in_time_us < wait->deadline_us ? in_time_us
						      : wait->deadline_us;
	}
	if (wait->now_us < in_time_us &&
	    (wait->is_waiting || wait->is_first_of_level ||
		wait->now_us + margin * admission_expected_wait_us(wait) <=
		    in_time_us))
		return in_time_us;
	if (spare_per_s > 0 && wait->now_us + 2 * late_us <= latest_us)
		return latest_us;
	return wait->now_us;
}

/*
 * Returns when a refused caller should come back, in milliseconds: once the
 * requests ahead of it have been sent.  Callers of a level are told times as
 * far apart as requests are sent, and draw (0 to 1) varies them, so that those
 * refused by different instances do not return at the same moment.
 * default_ms: while the rate is not known.
 */
int64_t
admission_retry_ms(struct admission_returns *returns, uint16_t level,
    const struct admission_wait *wait, uint32_t default_ms, double draw)
{
	int64_t *told_us = &returns->told_us[level];
	int64_t default_us = (int64_t)default_ms * US_PER_MS;
	int64_t first_us =
	    wait->now_us + (wait->sent_per_s > 0
				   ? admission_expected_wait_us(wait)
				   : default_us);
	int64_t retry_ms;

	if (first_us < wait->now_us + default_us)
		first_us = wait->now_us + default_us;
	if (wait->sent_per_s > 0)
		*told_us += time_to_send_us(1, wait->sent_per_s);
	if (*told_us < first_us ||
	    *told_us > first_us + ADMISSION_RETURN_MAX_MS * US_PER_MS)
		*told_us = first_us;
	retry_ms = (int64_t)((double)(*told_us - wait->now_us) / US_PER_MS *
			     (1 + return_spread * (2 * draw - 1)));
	return retry_ms < ADMISSION_RETURN_MAX_MS ? retry_ms
						  : ADMISSION_RETURN_MAX_MS;
}
