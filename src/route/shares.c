#include "route/shares.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	CONTENDED_US = 4000000, /* rows are told for so long after contention */
	OTHERS_MAX_AGE_US = 2000000, /* older sums are not used */
	OVER_SUMS_MIN = 4, /* sums in a row, so that chance limits none */
	/* Demand of a report that counts, in times of what is sent, or at all
	 */
	DEMAND_MAX = 8,
	DEMAND_LEAST = 8,
	ROWS_MAX = SHARES_SUM_MAX + SHARES_OWN_MAX,
	GROUP_SHIFT = 16,
	WORKSPACE_MASK = 0xffff,
	US_PER_S = 1000000
};

/* Part of what is due to the others that they may lack */
static const double short_part = 0.1;
/* By how much a workspace exceeds its share before it is limited */
static const double over_factor = 1.2;
/* Its limit begins at so many times its share, and ends beyond the other */
static const double start_factor = 1.5;
static const double release_factor = 2;
/* Change of a limit with each sum while others lack something, and else */
static const double limit_down = 0.85;
static const double limit_up = 1.1;
/* Part of its share at this instance that a limit leaves in any case */
static const double floor_part = 0.5;
/* What may be saved up: a time's allowance, and the least */
static const double burst_s = 0.5;
static const double burst_min = 2;

/* Returns the key of all requests of a service and priority. */
uint32_t
shares_group(const char *service, uint8_t priority)
{
	return XXH32(service, strlen(service), priority) &
	       ~(uint32_t)WORKSPACE_MASK;
}

/* Returns the part of a key that tells a workspace; not SHARES_ALL. */
uint32_t
shares_workspace(const char *name)
{
	uint32_t hash = XXH32(name, strlen(name), 0) & WORKSPACE_MASK;

	return hash != SHARES_ALL ? hash : 1;
}

/* Tells whether a key is of a service and priority. */
bool
shares_is_in_group(uint32_t key, uint32_t group)
{
	return key >> GROUP_SHIFT == group >> GROUP_SHIFT;
}

static double
least(double a, double b)
{
	return a < b ? a : b;
}

static struct share_own *
find_own(struct shares *shares, uint32_t workspace)
{
	for (uint32_t i = 0; i < shares->own_count; i++) {
		if (shares->own[i].workspace == workspace)
			return &shares->own[i];
	}
	return NULL;
}

/* Returns a workspace's entry; a new one may take that of an idle one. */
static struct share_own *
take_own(struct shares *shares, uint32_t workspace, int64_t now_us)
{
	struct share_own *own = find_own(shares, workspace);

	if (own != NULL)
		return own;
	if (shares->own_count < SHARES_OWN_MAX) {
		own = &shares->own[shares->own_count++];
	} else {
		own = &shares->own[0];
		for (uint32_t i = 1; i < SHARES_OWN_MAX; i++) {
			if (admission_rate_per_s(
				&shares->own[i].arriving, now_us) <
			    admission_rate_per_s(&own->arriving, now_us))
				own = &shares->own[i];
		}
	}
	*own = (struct share_own){.workspace = workspace};
	return own;
}

/*
 * Counts a cost.  All rates of a service are of the time since its first
 * request, so that those of rare workspaces are not too high.
 */
static void
add_cost(const struct shares *shares, struct admission_rate *rate,
    uint32_t cost, int64_t now_us)
{
	admission_rate_add_cost(rate, cost, now_us);
	rate->first_us = shares->arriving.first_us;
}

/* Records that a request has arrived, with its cost. */
void
shares_record_arrival(
    struct shares *shares, uint32_t workspace, uint32_t cost, int64_t now_us)
{
	struct share_own *own = take_own(shares, workspace, now_us);

	admission_rate_add_cost(&shares->arriving, cost, now_us);
	add_cost(shares, &own->arriving, cost, now_us);
}

/*
 * Records that a request is sent to a server.  It is charged to its workspace's
 * limit, if any, unless it was let in beyond that.
 */
void
shares_record_send(struct shares *shares, uint32_t workspace, uint32_t cost,
    bool is_over, int64_t now_us)
{
	struct share_own *own = find_own(shares, workspace);

	add_cost(shares, &shares->sent, cost, now_us);
	if (own == NULL)
		return;
	add_cost(shares, &own->sent, cost, now_us);
	if (!is_over && own->limit > 0)
		own->tokens -= cost;
}

/* Records that a request found no server. */
void
shares_record_contention(struct shares *shares, int64_t now_us)
{
	shares->contended_us = now_us;
}

static const struct share_row *
find_row(const struct share_row *rows, size_t count, uint32_t workspace)
{
	for (size_t i = 0; i < count; i++) {
		if (rows[i].workspace == workspace)
			return &rows[i];
	}
	return NULL;
}

/* Returns the part of a workspace's demand that arrives at this instance. */
static double
part_here(
    const struct shares *shares, const struct share_own *own, int64_t now_us)
{
	double here = admission_rate_per_s(&own->arriving, now_us);
	const struct share_row *row =
	    find_row(shares->others, shares->others_count, own->workspace);
	double all = here + (row != NULL ? row->demand : 0);

	return all > 0 ? here / all : 1;
}

/* Returns what a limited workspace may send from here, cost a second. */
static double
allowance(
    const struct shares *shares, const struct share_own *own, int64_t now_us)
{
	const struct share_row *all =
	    find_row(shares->others, shares->others_count, SHARES_ALL);
	double sent = admission_rate_per_s(&shares->sent, now_us);
	double all_sent = sent + (all != NULL ? all->served : 0);
	double here = own->limit * part_here(shares, own, now_us);
	double lowest =
	    all_sent > 0 ? floor_part * own->limit * sent / all_sent : 0;

	return here > lowest ? here : lowest;
}

static void
fill(struct shares *shares, struct share_own *own, int64_t now_us)
{
	double per_s = allowance(shares, own, now_us);
	double most = per_s * burst_s > burst_min ? per_s * burst_s : burst_min;

	own->tokens += per_s * (double)(now_us - own->filled_us) / US_PER_S;
	if (own->tokens > most)
		own->tokens = most;
	/* Requests that were let in before it had a limit are no debt. */
	if (own->tokens < -most)
		own->tokens = -most;
	own->filled_us = now_us;
}

/* Tells whether a workspace has a limit, which rests on fresh sums. */
bool
shares_is_limited(struct shares *shares, uint32_t workspace, int64_t now_us)
{
	const struct share_own *own = find_own(shares, workspace);

	return own != NULL && own->limit > 0 &&
	       now_us - shares->others_us <= OTHERS_MAX_AGE_US;
}

/*
 * Returns whether a new request is within its workspace's limit, if it has one.
 * What costs more than may be saved up leaves a debt when it is sent.
 */
bool
shares_allow(
    struct shares *shares, uint32_t workspace, uint32_t cost, int64_t now_us)
{
	struct share_own *own = find_own(shares, workspace);

	if (!shares_is_limited(shares, workspace, now_us))
		return true;
	fill(shares, own, now_us);
	return own->tokens >= least(cost, burst_min);
}

static int
by_demand(const void *a, const void *b)
{
	const struct share_row *x = a, *y = b;

	if ((x->workspace == SHARES_ALL) != (y->workspace == SHARES_ALL))
		return x->workspace == SHARES_ALL ? -1 : 1;
	return (x->demand < y->demand) - (x->demand > y->demand);
}

static size_t
own_rows(const struct shares *shares, struct share_row *out, int64_t now_us)
{
	size_t count = 0;

	out[count++] = (struct share_row){SHARES_ALL,
	    admission_rate_per_s(&shares->arriving, now_us),
	    admission_rate_per_s(&shares->sent, now_us)};
	for (uint32_t i = 0; i < shares->own_count; i++) {
		const struct share_own *own = &shares->own[i];

		out[count] = (struct share_row){own->workspace,
		    admission_rate_per_s(&own->arriving, now_us),
		    admission_rate_per_s(&own->sent, now_us)};
		count += out[count].demand > 0;
	}
	qsort(out, count, sizeof(*out), by_demand);
	return count;
}

/*
 * Lists what the others are to know: the whole service first, then the
 * workspaces that ask for most.  Nothing unless requests waited or were refused
 * lately.
 */
size_t
shares_report(const struct shares *shares, struct share_row *out, size_t max,
    int64_t now_us)
{
	struct share_row rows[1 + SHARES_OWN_MAX];
	size_t count;

	if (shares->contended_us == 0 ||
	    now_us - shares->contended_us > CONTENDED_US)
		return 0;
	count = own_rows(shares, rows, now_us);
	if (count > max)
		count = max;
	memcpy(out, rows, count * sizeof(*out));
	return count;
}

/*
 * Returns the share that no workspace needs to exceed for all of the capacity
 * to be used.  rows are in order of falling demand; the rest of the service is
 * that of workspaces that ask for less.
 */
static double
fair_level(const struct share_row *rows, size_t count, double capacity)
{
	double left = capacity;

	for (size_t i = count; i > 0; i--) {
		if (rows[i - 1].demand * (double)i >= left)
			return left / (double)i;
		left -= rows[i - 1].demand;
	}
	return 0;
}

static void
set_limit(struct share_own *own, const struct share_row *row, double level,
    bool others_lack, int64_t now_us)
{
	if (own->limit == 0) {
		bool is_over = others_lack && row->served > level * over_factor;

		own->over_sums = is_over ? own->over_sums + 1 : 0;
		if (own->over_sums < OVER_SUMS_MIN)
			return;
		own->limit = least(row->served, level * start_factor);
		own->filled_us = now_us;
		own->tokens = 0;
	}
	own->limit *= others_lack ? limit_down : limit_up;
	if (own->limit < level)
		own->limit = level;
	if (own->limit >= row->demand || own->limit > level * release_factor)
		own->limit = 0;
}

/* Sets the limits from the rows of all instances. */
static void
set_limits(struct shares *shares, const struct share_row *all,
    const struct share_row *rows, size_t count, int64_t now_us)
{
	double listed = 0, listed_served = 0, rest, due = 0, lacking = 0, level;

	for (size_t i = 0; i < count; i++) {
		listed += rows[i].demand;
		listed_served += rows[i].served;
	}
	rest = all->demand > listed ? all->demand - listed : 0;
	/* The others' share of what is served is theirs in any case. */
	if (all->demand > 0)
		rest = least(rest, all->served * rest / all->demand);
	level = fair_level(rows, count, all->served - rest);
	shares->level = level;
	for (size_t i = 0; i < count && level > 0; i++) {
		double share = least(rows[i].demand, level);

		if (rows[i].served > level * over_factor)
			continue;
		due += share;
		lacking += rows[i].served < share ? share - rows[i].served : 0;
	}
	due += rest;
	if (all->served - listed_served < rest)
		lacking += rest - (all->served - listed_served);
	for (uint32_t i = 0; i < shares->own_count; i++) {
		struct share_own *own = &shares->own[i];
		const struct share_row *row =
		    find_row(rows, count, own->workspace);

		if (row == NULL || level == 0)
			own->limit = 0;
		else
			set_limit(own, row, level, lacking > due * short_part,
			    now_us);
	}
}

/*
 * Bounds the demand in one instance's report, with whole keys, by what it sends
 * for the service, so that a wrong report can't claim most of what is served.
 * Workspaces of a group that is not told as a whole count for nothing.
 */
void
shares_bound_report(struct share_row *rows, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (find_row(rows, count,
			rows[i].workspace & ~(uint32_t)WORKSPACE_MASK) == NULL)
			rows[i].demand = rows[i].served = 0;
	}
	for (size_t i = 0; i < count; i++) {
		double listed = 0, most = rows[i].served * DEMAND_MAX;

		/* An instance that can send nothing lacks most. */
		if (most < DEMAND_LEAST)
			most = DEMAND_LEAST;

		if ((rows[i].workspace & WORKSPACE_MASK) != SHARES_ALL)
			continue;
		rows[i].demand = most = least(rows[i].demand, most);
		for (size_t k = 0; k < count; k++) {
			if (k != i && shares_is_in_group(
					  rows[k].workspace, rows[i].workspace))
				listed += rows[k].demand;
		}
		for (size_t k = 0; k < count && listed > most; k++) {
			if (k != i && shares_is_in_group(
					  rows[k].workspace, rows[i].workspace))
				rows[k].demand *= most / listed;
		}
	}
}

static int
by_group(const void *a, const void *b)
{
	uint32_t x = ((const struct share_row *)a)->workspace;
	uint32_t y = ((const struct share_row *)b)->workspace;

	if (!shares_is_in_group(x, y))
		return x < y ? -1 : 1;
	if ((x & WORKSPACE_MASK) == SHARES_ALL ||
	    (y & WORKSPACE_MASK) == SHARES_ALL)
		return (x > y) - (x < y);
	return by_demand(a, b);
}

/*
 * Cuts rows of several groups, with whole keys, to the most important of each:
 * all workspaces together, and those that ask for most.  Returns how many are
 * left, at most max.
 */
size_t
shares_cut(struct share_row *rows, size_t count, size_t max)
{
	size_t groups = 0, in_group = 0, left = 0, most;

	qsort(rows, count, sizeof(*rows), by_group);
	for (size_t i = 0; i < count; i++)
		groups += i == 0 || !shares_is_in_group(rows[i].workspace,
					rows[i - 1].workspace);
	most = groups > 0 ? max / groups : 0;
	if (most > SHARES_SUM_MAX)
		most = SHARES_SUM_MAX;
	for (size_t i = 0; i < count; i++) {
		if (i == 0 || !shares_is_in_group(
				  rows[i].workspace, rows[left - 1].workspace))
			in_group = 0;
		if (in_group++ < most)
			rows[left++] = rows[i];
		else if (left == 0)
			break;
	}
	return left;
}

/*
 * Takes the sum of what the other instances report, and sets the limits of the
 * workspaces that have requests here.
 */
void
shares_set_others(struct shares *shares, const struct share_row *rows,
    size_t count, int64_t now_us)
{
	struct share_row sum[ROWS_MAX + 1];
	size_t sum_count = own_rows(shares, sum, now_us), own_count = sum_count;

	/* Limits of before a silence say nothing of now. */
	for (uint32_t i = 0; now_us - shares->others_us > OTHERS_MAX_AGE_US &&
			     i < shares->own_count;
	     i++)
		shares->own[i].limit = shares->own[i].over_sums = 0;
	shares->others_us = now_us;
	shares->others_count = count < SHARES_SUM_MAX ? count : SHARES_SUM_MAX;
	memcpy(shares->others, rows, shares->others_count * sizeof(*rows));
	for (size_t i = 0; i < shares->others_count; i++) {
		size_t k = 0;

		while (k < own_count && sum[k].workspace != rows[i].workspace)
			k++;
		if (k == own_count) {
			sum[sum_count++] = rows[i];
			continue;
		}
		sum[k].demand += rows[i].demand;
		sum[k].served += rows[i].served;
	}
	qsort(sum, sum_count, sizeof(*sum), by_demand);
	set_limits(shares, &sum[0], sum + 1, sum_count - 1, now_us);
}
