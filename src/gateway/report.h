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
	GW_REPORT_NOTES_MAX = 512, /* the newest are preferred */
	/* In place of an instance's number: leave out no instance's notes */
	GW_REPORT_ALL = 0
};

struct gw_report {
	Clpb__Outcome outcomes[GW_REPORT_OUTCOMES_MAX];
	Clpb__Counts counts[GW_REPORT_OUTCOMES_MAX][2];
	uint32_t times[GW_REPORT_OUTCOMES_MAX][2][TIMING_PACKED_MAX];
	Clpb__Outcome *outcome_list[GW_REPORT_OUTCOMES_MAX];
	size_t outcome_count;
	Clpb__Note notes[GW_REPORT_NOTES_MAX];
	Clpb__Note *note_list[GW_REPORT_NOTES_MAX];
	size_t note_count;
};

void gw_report_set_outcomes(
    struct gw_report *report, const struct evidence_table *ev);
void gw_report_set_new_notes(struct gw_report *report,
    const struct gw_notes *notes, struct gw_notes_peer *peer, uint32_t instance,
    int64_t now_us);
void gw_report_set_all_notes(struct gw_report *report,
    const struct gw_notes *notes, struct gw_notes_peer *peer, int64_t now_us);
bool gw_report_read_outcome(const Clpb__Outcome *pb, struct evidence_row *row);
struct gw_note gw_report_read_note(const Clpb__Note *pb, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
