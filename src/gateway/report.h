#ifndef CF_GATEWAY_REPORT_H
#define CF_GATEWAY_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/notes.h"
#include "route/evidence.h"
#include "wire/cluster.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The outcomes of roll-outs and the notes that an instance sends to others, as
 * Protobuf messages.  The lists point into the report itself, and the names
 * into the objects they were taken from.  Does no I/O.
 */
enum {
	GW_REPORT_OUTCOMES_MAX = 256,
	GW_REPORT_NOTES_MAX = 512 /* the newest are preferred */
};

struct rp {
	Clpb__Outcome outcomes[GW_REPORT_OUTCOMES_MAX];
	Clpb__Counts counts[GW_REPORT_OUTCOMES_MAX][2];
	uint32_t times[GW_REPORT_OUTCOMES_MAX][2][TI_PACKED_MAX];
	Clpb__Outcome *outcome_list[GW_REPORT_OUTCOMES_MAX];
	size_t outcome_count;
	Clpb__Note notes[GW_REPORT_NOTES_MAX];
	Clpb__Note *note_list[GW_REPORT_NOTES_MAX];
	size_t note_count;
};

void rp_outcomes(struct rp *report, const struct ev *ev);
void rp_new_notes(
    struct rp *report, const struct gw_notes *notes, int64_t now_us);
void rp_all_notes(struct rp *report, const struct gw_notes *notes,
    struct gw_notes_peer *peer, int64_t now_us);
bool rp_read_outcome(const Clpb__Outcome *pb, struct ev_row *row);
struct gw_note rp_read_note(const Clpb__Note *pb, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
