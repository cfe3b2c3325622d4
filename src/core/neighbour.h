#ifndef CF_NEIGHBOUR_H
#define CF_NEIGHBOUR_H

#include <stdbool.h>
#include <stdint.h>

#include "celeryford.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The other data centres: who is in reach and how much work each still takes.
 * What is sent there counts against the last report; a report that is not
 * renewed ends.  The last part of a neighbour's room is kept for workspaces of
 * better priority.
 */
struct nb_report {
	int64_t heard_us;
	uint32_t spare;
	uint32_t reported; /* spare when it was heard */
	uint64_t versions;
	uint64_t services;
	bool known;
	bool cut_off;
};

struct nb {
	struct nb_report reports[CFG_DATA_CENTRES_MAX];
	uint16_t own;
};

struct nb_need {
	uint16_t workspace;
	uint16_t service;
	uint64_t versions; /* any of these; 0: the plain service */
	int64_t now_us;
	bool unsafe_anywhere; /* tests only: no look at the configuration */
};

void nb_init(struct nb *nb, uint16_t own);
void nb_heard(struct nb *nb, const struct cf_event *event, int64_t now_us);
uint16_t nb_pick(
    const struct nb *nb, const struct cfg *cfg, const struct nb_need *need);
bool nb_reachable(
    const struct nb *nb, const struct cfg *cfg, const struct nb_need *need);
void nb_sent(struct nb *nb, uint16_t data_centre);

#ifdef __cplusplus
}
#endif

#endif
