#ifndef CF_ROUTE_SHARES_H
#define CF_ROUTE_SHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/admission.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Shares of the workspaces of one service and priority over all instances. Each
 * instance tells the others how much its workspaces ask for and how much of it
 * is sent; from the sums it limits those that get more than their share while
 * others get less than theirs.  No I/O, and no message for a request.
 *
 * The load that it answers: one workspace asks for several times its share at
 * all instances or at some, while the others' demand would fit.  Amounts are
 * the costs that queue_charge() takes.
 */
enum {
	SHARES_OWN_MAX = 64, /* workspaces of a service that are told apart */
	SHARES_REPORT_MAX = 8, /* rows of a service in a report */
	SHARES_SUM_MAX = 24, /* rows of a service in a sum of reports */
	SHARES_ROWS_MAX = 64 /* rows of all services in a report or sum */
};

/* One workspace, or all of them: cost a second. */
struct share_row {
	uint32_t workspace; /* its key, or SHARES_ALL */
	double demand;
	double served;
};

enum {
	SHARES_ALL = 0
};

/*
 * What reports call a row: the group, a service and a priority, in the upper
 * half, and the workspace in the lower one.  Workspaces whose hashes are the
 * same have one share together.
 */
uint32_t shares_group(const char *service, uint8_t priority);
uint32_t shares_workspace(const char *name);
bool shares_is_in_group(uint32_t key, uint32_t group);

/* A workspace with requests at this instance; all fields start at zero. */
struct share_own {
	uint32_t workspace;
	struct admission_rate arriving;
	struct admission_rate sent;
	double limit; /* over all instances, cost a second; 0: none */
	uint32_t over_sums; /* in a row in which it had more than its share */
	double tokens; /* may be spent now */
	int64_t filled_us;
};

struct shares {
	struct share_own own[SHARES_OWN_MAX];
	uint32_t own_count;
	struct admission_rate arriving; /* of all workspaces */
	struct admission_rate sent;
	int64_t contended_us; /* when a request last waited or was refused */
	/* What the other instances have, and when that was heard */
	struct share_row others[SHARES_SUM_MAX];
	size_t others_count;
	int64_t others_us;
	double level; /* fair share; 0: not known */
};

void shares_record_arrival(
    struct shares *shares, uint32_t workspace, uint32_t cost, int64_t now_us);
void shares_record_send(struct shares *shares, uint32_t workspace,
    uint32_t cost, bool is_over, int64_t now_us);
void shares_record_contention(struct shares *shares, int64_t now_us);
bool shares_is_limited(
    struct shares *shares, uint32_t workspace, int64_t now_us);
bool shares_allow(
    struct shares *shares, uint32_t workspace, uint32_t cost, int64_t now_us);
size_t shares_report(const struct shares *shares, struct share_row *out,
    size_t max, int64_t now_us);
void shares_bound_report(struct share_row *rows, size_t count);
size_t shares_cut(struct share_row *rows, size_t count, size_t max);
void shares_set_others(struct shares *shares, const struct share_row *rows,
    size_t count, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
