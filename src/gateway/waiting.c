#include "gateway/waiting.h"

#include <string.h>
#include <xxhash.h>

#include "gateway/exchange.h"

enum {
	SLOTS_MIN = 16,
	/* Tokens that count as one unit of a workspace's share */
	TOKENS_PER_COST = 256
};

/* Weight of the newest request in the mean of tokens */
static const double tokens_weight = 1.0 / 32;

static uint64_t
workspace_of(const struct gw_exchange *ex)
{
	return ex->workspace != NULL
		   ? XXH64(ex->workspace->name, strlen(ex->workspace->name), 0)
		   : 0;
}

/* Returns the level at which the request waits now. */
uint16_t
gw_waiting_level(const struct gw_exchange *ex)
{
	struct admission_rank rank = {.priority = ex->priority,
	    .begun = ex->answer_begun,
	    .is_behind = ex->awaits_limit && ex->send_count > 0,
	    .is_over_share = ex->is_over_share,
	    .waited_us = gw_exchange_now_us(ex) - ex->arrived_us,
	    .first_us = gw_exchange_first_us(ex)};

	if (ex->route != NULL)
		rank.goal_us = (int64_t)ex->route->goal_ms * US_PER_MS;
	return admission_level(&rank);
}

/* Finds the flow of a workspace at a level, or creates it. */
static uint16_t
find_flow(struct gw_waiting *waiting, uint64_t workspace, uint16_t level)
{
	const struct alloc *alloc = alloc_default();
	uint16_t idle = QUEUE_NO_FLOW, i;

	for (i = 0; i < waiting->flow_count; i++) {
		if (waiting->flows[i].workspace == workspace &&
		    waiting->flows[i].level == level)
			return i;
		if (queue_flow_is_idle(waiting->queue, i))
			idle = i;
	}
	if (idle != QUEUE_NO_FLOW)
		i = idle;
	else {
		waiting->flow_count++;
		waiting->flows = alloc_resize(alloc, waiting->flows,
		    waiting->flow_count * sizeof(*waiting->flows));
	}
	waiting->flows[i] = (struct gw_waiting_flow){workspace, level};
	queue_set_flow(waiting->queue, i, level, 1);
	return i;
}

static uint32_t
take_slot(struct gw_waiting *waiting)
{
	const struct alloc *alloc = alloc_default();
	uint32_t i, count;

	for (i = 0; i < waiting->slot_count; i++) {
		if (waiting->slots[i] == NULL)
			return i;
	}
	count = waiting->slot_count > 0 ? waiting->slot_count * 2
					: (uint32_t)SLOTS_MIN;
	waiting->slots = alloc_resize(
	    alloc, waiting->slots, count * sizeof(struct gw_exchange *));
	memset(waiting->slots + waiting->slot_count, 0,
	    (count - waiting->slot_count) * sizeof(struct gw_exchange *));
	waiting->slot_count = count;
	queue_reserve(waiting->queue, count);
	return i;
}

static void
ensure_queue(struct gw_waiting *waiting)
{
	if (waiting->queue == NULL)
		waiting->queue = queue_new(alloc_default(), 0);
}

/*
 * Adds a request to the queue.  One that waits there already keeps its place
 * among those of its workspace, unless its level has changed.
 */
void
gw_waiting_add(struct gw_waiting *waiting, struct gw_exchange *ex)
{
	uint16_t flow;

	ensure_queue(waiting);
	flow = find_flow(waiting, workspace_of(ex), gw_waiting_level(ex));
	if (ex->waiting == waiting && ex->waiting_flow == flow)
		return;
	gw_waiting_remove(ex);
	ex->waiting = waiting;
	ex->waiting_flow = flow;
	ex->waiting_slot = take_slot(waiting);
	waiting->slots[ex->waiting_slot] = ex;
	queue_push(waiting->queue, flow, ex->waiting_slot);
	admission_drain_set_queue(&waiting->drain, queue_count(waiting->queue),
	    gw_exchange_now_us(ex));
	waiting->level_counts[waiting->flows[flow].level]++;
}

/* Removes a request from the queue in which it waits, if any. */
void
gw_waiting_remove(struct gw_exchange *ex)
{
	struct gw_waiting *waiting = ex->waiting;

	if (waiting == NULL)
		return;
	queue_remove(waiting->queue, ex->waiting_slot);
	admission_drain_set_queue(&waiting->drain, queue_count(waiting->queue),
	    gw_exchange_now_us(ex));
	waiting->slots[ex->waiting_slot] = NULL;
	waiting->level_counts[waiting->flows[ex->waiting_flow].level]--;
	ex->waiting = NULL;
}

/* Counts a request that has arrived for the service. */
void
gw_waiting_record_arrival(struct gw_exchange *ex)
{
	admission_rate_add(
	    &ex->service_state->waiting.arriving, gw_exchange_now_us(ex));
}

/* Returns what the request is charged to its workspace's share. */
static uint32_t
cost_of(const struct gw_exchange *ex)
{
	return 1 + gw_exchange_tokens(ex) / TOKENS_PER_COST;
}

static uint32_t
share_key(const struct gw_exchange *ex)
{
	return shares_workspace(
	    ex->workspace != NULL ? ex->workspace->name : "");
}

/* Returns the shares that the request counts to, or NULL. */
struct gw_waiting_shares *
gw_waiting_shares_of(const struct gw_exchange *ex)
{
	struct gw_waiting_shares *shares = ex->service_state->waiting.shares;

	while (shares != NULL && shares->priority != ex->priority)
		shares = shares->next;
	return shares;
}

/*
 * Counts a new request to its workspace's demand over all instances, and sets
 * whether it is beyond the workspace's share.
 */
void
gw_waiting_check_share(struct gw_exchange *ex)
{
	struct gw_waiting *waiting = &ex->service_state->waiting;
	struct gw_waiting_shares *shares = gw_waiting_shares_of(ex);
	int64_t now_us = gw_exchange_now_us(ex);

	if (ex->is_share_known) {
		if (ex->is_over_share && shares != NULL)
			ex->is_over_share = shares_is_limited(
			    &shares->shares, share_key(ex), now_us);
		return;
	}
	if (shares == NULL) {
		shares = alloc_zero(alloc_default(), 1, sizeof(*shares));
		shares->priority = ex->priority;
		shares->group =
		    shares_group(ex->service_config->name, ex->priority);
		shares->next = waiting->shares;
		waiting->shares = shares;
	}
	ex->is_share_known = true;
	shares_record_arrival(
	    &shares->shares, share_key(ex), cost_of(ex), now_us);
	ex->is_over_share =
	    !shares_allow(&shares->shares, share_key(ex), cost_of(ex), now_us);
}

/*
 * Lists what the other instances are to know of the shares of a service's
 * workspaces, with whole keys.
 */
size_t
gw_waiting_report_shares(const struct gw_waiting *waiting,
    struct share_row *out, size_t max, int64_t now_us)
{
	size_t count = 0;

	for (const struct gw_waiting_shares *s = waiting->shares; s != NULL;
	     s = s->next) {
		size_t room = max - count < SHARES_REPORT_MAX
				  ? max - count
				  : SHARES_REPORT_MAX;
		size_t end = count + shares_report(
					 &s->shares, out + count, room, now_us);

		for (; count < end; count++)
			out[count].workspace |= s->group;
	}
	return count;
}

/* Takes the sum of the other instances' reports, with whole keys. */
void
gw_waiting_set_shares(struct gw_waiting *waiting, const struct share_row *rows,
    size_t count, int64_t now_us)
{
	for (struct gw_waiting_shares *s = waiting->shares; s != NULL;
	     s = s->next) {
		struct share_row of_group[SHARES_SUM_MAX];
		size_t n = 0;

		for (size_t i = 0; i < count && n < SHARES_SUM_MAX; i++) {
			if (!shares_is_in_group(rows[i].workspace, s->group))
				continue;
			of_group[n] = rows[i];
			of_group[n++].workspace ^= s->group;
		}
		if (n > 0)
			shares_set_others(&s->shares, of_group, n, now_us);
	}
}

/* Compares how long a request has waited with what was expected. */
void
gw_waiting_record_wait(struct gw_exchange *ex)
{
	struct gw_waiting *waiting = &ex->service_state->waiting;
	int64_t waited_us = gw_exchange_now_us(ex) - ex->queued_us;
	int64_t off_us = waited_us - ex->expected_wait_us;

	if (ex->expected_wait_us == 0)
		return;
	metrics_observe_us(
	    ex->entry->wait_error_us, off_us < 0 ? -off_us : off_us);
	waiting->wait_ratio = admission_next_ratio(
	    waiting->wait_ratio, ex->expected_wait_us, waited_us);
	ex->expected_wait_us = 0;
}

/*
 * Records that a request is sent to a server, and charges it to the share of
 * its workspace.  Takes it out of the queue.
 */
void
gw_waiting_record_send(struct gw_exchange *ex)
{
	struct gw_waiting *waiting = &ex->service_state->waiting;
	int64_t now_us = gw_exchange_now_us(ex);
	uint32_t tokens = gw_exchange_tokens(ex);
	bool waited = ex->waiting == waiting;
	struct gw_waiting_shares *shares = gw_waiting_shares_of(ex);
	uint16_t flow;

	if (waiting->mean_tokens == 0)
		waiting->mean_tokens = tokens;
	waiting->mean_tokens += tokens_weight * (tokens - waiting->mean_tokens);
	if (ex->send_count == 0)
		admission_drain_add(&waiting->drain, now_us);
	if (ex->send_count == 0 && shares != NULL)
		shares_record_send(&shares->shares, share_key(ex), cost_of(ex),
		    ex->is_over_share, now_us);
	if (waited)
		gw_waiting_record_wait(ex);
	ensure_queue(waiting);
	flow = waited
		   ? ex->waiting_flow
		   : find_flow(waiting, workspace_of(ex), gw_waiting_level(ex));
	gw_waiting_remove(ex);
	queue_charge(waiting->queue, flow, cost_of(ex));
	if (waited)
		queue_record_service(waiting->queue, flow, now_us);
}

/* Returns how many requests of the same service go before a request. */
uint32_t
gw_waiting_ahead(struct gw_exchange *ex)
{
	struct gw_waiting *waiting = &ex->service_state->waiting;

	if (waiting->queue == NULL || queue_count(waiting->queue) == 0)
		return 0;
	if (ex->waiting == waiting)
		return queue_ahead_of(waiting->queue, ex->waiting_slot);
	return queue_ahead(waiting->queue,
	    find_flow(waiting, workspace_of(ex), gw_waiting_level(ex)));
}

/*
 * Returns whether a request may pass those that wait, as they found no server
 * only for more memory than it needs.
 */
bool
gw_waiting_lets_pass(const struct gw_exchange *ex)
{
	const struct gw_waiting *waiting = &ex->service_state->waiting;

	return admission_may_pass(&waiting->blocked, gw_exchange_tokens(ex));
}

/*
 * Returns whether the request's workspace has no more requests waiting at its
 * level than the workspaces that wait there have on average.
 */
static bool
is_within_share(struct gw_waiting *waiting, const struct gw_exchange *ex)
{
	uint16_t level = gw_waiting_level(ex);
	uint32_t own, workspaces = 0;

	ensure_queue(waiting);
	own = queue_waiting(
	    waiting->queue, find_flow(waiting, workspace_of(ex), level));
	for (uint16_t i = 0; i < waiting->flow_count; i++)
		workspaces += waiting->flows[i].level == level &&
			      queue_waiting(waiting->queue, i) > 0;
	return own * workspaces <= waiting->level_counts[level];
}

/* Describes what the request waits for. */
struct admission_wait
gw_waiting_describe(struct gw_exchange *ex)
{
	struct gw_waiting *waiting = &ex->service_state->waiting;
	int64_t now_us = gw_exchange_now_us(ex);
	int64_t time_limit_us = ex->deadline_us - ex->arrived_us;
	struct admission_wait wait = {.now_us = now_us,
	    .arrived_us = ex->arrived_us,
	    .goal_us = (int64_t)ex->route->goal_ms * US_PER_MS,
	    .deadline_us = ex->deadline_us,
	    .first_us = gw_exchange_first_us(ex),
	    .answer_us = (int64_t)waiting->service_time.mean_us,
	    .ahead = gw_waiting_ahead(ex),
	    .is_waiting = ex->waiting == waiting && ex->wait_until_us != 0,
	    .is_within_share =
		!ex->is_over_share && is_within_share(waiting, ex),
	    .is_first_of_level =
		waiting->level_counts[gw_waiting_level(ex)] == 0,
	    .arriving_per_s = admission_rate_per_s(&waiting->arriving, now_us),
	    .sent_per_s = admission_drain_per_s(&waiting->drain, now_us),
	    .wait_ratio = waiting->wait_ratio};

	if (wait.answer_us > time_limit_us / 2)
		wait.answer_us = time_limit_us / 2;
	return wait;
}

static bool
has_blocked(const struct admission_blocked *blocked, uint32_t tokens)
{
	return blocked->any && tokens >= blocked->tokens;
}

/*
 * Returns whether a request would find no server either, since another one,
 * without special needs and no larger, has found none in this retry.
 */
static bool
is_blocked(const struct gw_waiting *waiting, const struct gw_exchange *ex)
{
	uint32_t tokens;

	if (ex->service_state == NULL)
		return false;
	tokens = gw_exchange_tokens(ex);
	return (has_blocked(&waiting->blocked, tokens) ||
		   (ex->is_over_share &&
		       has_blocked(&waiting->blocked_over, tokens))) &&
	       ex->tried_count == 0 && !ex->answer_begun &&
	       gw_exchange_now_us(ex) < ex->wait_until_us &&
	       !gw_entry_has_rollout(ex->entry);
}

/*
 * Returns whether a request has waited for as long as it may.  The scan of the
 * queue may not have come to it.
 */
static bool
is_wait_over(const struct gw_exchange *ex)
{
	if (ex->service_config == NULL)
		return true;
	return ex->wait_until_us != 0
		   ? gw_exchange_now_us(ex) >= ex->wait_until_us
		   : !gw_exchange_may_keep_waiting(ex);
}

/*
 * Retries the requests in order.  Those that still can't be placed keep their
 * places.  A request that may no longer wait is tried once more, wherever it
 * stands, and refused.
 */
void
gw_waiting_retry(struct gw_waiting *waiting)
{
	int64_t slot;

	waiting->blocked = (struct admission_blocked){0};
	waiting->blocked_over = (struct admission_blocked){0};
	if (waiting->queue == NULL || queue_count(waiting->queue) == 0)
		return;
	queue_scan_start(waiting->queue);
	while ((slot = queue_scan_next(waiting->queue)) != QUEUE_NONE) {
		struct gw_exchange *ex = waiting->slots[slot];
		bool is_plain = ex->service_state != NULL &&
				ex->tried_count == 0 && !ex->answer_begun;
		bool is_over_share = ex->is_over_share;
		uint32_t tokens = is_plain ? gw_exchange_tokens(ex) : 0;

		if (is_blocked(waiting, ex)) {
			gw_waiting_add(waiting, ex);
			continue;
		}
		ex->lacks_memory = false;
		gw_exchange_retry_waiting(ex);
		if (is_plain && waiting->slots[slot] == ex)
			admission_add_blocked(is_over_share
						  ? &waiting->blocked_over
						  : &waiting->blocked,
			    tokens, ex->lacks_memory);
	}
	for (uint32_t i = 0; i < waiting->slot_count; i++) {
		struct gw_exchange *ex = waiting->slots[i];

		if (ex != NULL && is_wait_over(ex))
			gw_exchange_retry_waiting(ex);
	}
}

uint32_t
gw_waiting_count(const struct gw_waiting *waiting)
{
	return waiting->queue != NULL ? queue_count(waiting->queue) : 0;
}

static void
free_shares(struct gw_waiting *waiting)
{
	while (waiting->shares != NULL) {
		struct gw_waiting_shares *next = waiting->shares->next;

		alloc_free(alloc_default(), waiting->shares);
		waiting->shares = next;
	}
}

/*
 * Copies a queue for decisions on a request that is not added to it.  The copy
 * shares the requests that wait, which such decisions don't look at.
 */
void
gw_waiting_copy(const struct gw_waiting *waiting, struct gw_waiting *copy)
{
	*copy = *waiting;
	copy->shares = NULL;
	for (const struct gw_waiting_shares *s = waiting->shares; s != NULL;
	     s = s->next) {
		struct gw_waiting_shares *to =
		    alloc_zero(alloc_default(), 1, sizeof(*to));

		*to = *s;
		to->next = copy->shares;
		copy->shares = to;
	}
	if (waiting->queue != NULL)
		copy->queue = queue_copy(waiting->queue);
	if (waiting->flow_count == 0)
		return;
	copy->flows = alloc_zero(
	    alloc_default(), waiting->flow_count, sizeof(*copy->flows));
	memcpy(copy->flows, waiting->flows,
	    waiting->flow_count * sizeof(*copy->flows));
}

/* Releases a copy. */
void
gw_waiting_free_copy(struct gw_waiting *copy)
{
	queue_free(copy->queue);
	alloc_free(alloc_default(), copy->flows);
	free_shares(copy);
}

/* Releases an empty queue. */
void
gw_waiting_free(struct gw_waiting *waiting)
{
	queue_free(waiting->queue);
	alloc_free(alloc_default(), waiting->slots);
	alloc_free(alloc_default(), waiting->flows);
	free_shares(waiting);
}
