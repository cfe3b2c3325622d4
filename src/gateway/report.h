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
	/* to an instance that acknowledges nothing; the newest are preferred */
	GW_REPORT_NOTES_MAX = 512,
	/* to one that acknowledges; what is left follows in the next message */
	GW_REPORT_FED_MAX = 2048,
	GW_REPORT_GROUPS_MAX = 128,
	/* In place of an instance's number: leave out no instance's notes */
	GW_REPORT_ALL = 0
};

struct gw_report {
	Clpb__Outcome outcomes[GW_REPORT_OUTCOMES_MAX];
	Clpb__Counts counts[GW_REPORT_OUTCOMES_MAX][2];
	uint32_t times[GW_REPORT_OUTCOMES_MAX][2][TIMING_PACKED_MAX];
	Clpb__Outcome *outcome_list[GW_REPORT_OUTCOMES_MAX];
	size_t outcome_count;
	Clpb__Note notes[GW_REPORT_FED_MAX];
	Clpb__Note *note_list[GW_REPORT_FED_MAX];
	size_t note_count;
	/* Notes of crashes, by the life that ended; keys and ages in turn */
	Clpb__NoteGroup groups[GW_REPORT_GROUPS_MAX];
	Clpb__NoteGroup *group_list[GW_REPORT_GROUPS_MAX];
	size_t group_count;
	uint64_t keys[GW_REPORT_FED_MAX];
	uint32_t ages_ms[GW_REPORT_FED_MAX];
	/* The notes that were chosen, and the group of each or -1 */
	const struct gw_note *chosen[GW_REPORT_FED_MAX];
	int16_t group_of[GW_REPORT_FED_MAX];
	size_t chosen_count;
	uint64_t after, to; /* the numbers that it covers: (after, to] */
	bool has_more; /* new notes are left for the next report */
};

void gw_report_set_outcomes(
    struct gw_report *report, const struct evidence_table *ev);
void gw_report_set_new_notes(struct gw_report *report,
    const struct gw_notes *notes, struct gw_notes_peer *peer, uint32_t instance,
    int64_t now_us);
void gw_report_set_all_notes(struct gw_report *report,
    const struct gw_notes *notes, struct gw_notes_peer *peer, int64_t now_us);
void gw_report_clear_notes(
    struct gw_report *report, const struct gw_notes_peer *peer);
bool gw_report_has_new_notes(const struct gw_notes *notes,
    const struct gw_notes_peer *peer, uint32_t instance, int64_t now_us);
bool gw_report_read_outcome(const Clpb__Outcome *pb, struct evidence_row *row);
struct gw_note gw_report_read_note(const Clpb__Note *pb, int64_t now_us);
bool gw_report_group_is_whole(const Clpb__NoteGroup *pb);
struct gw_note gw_report_read_grouped(
    const Clpb__NoteGroup *pb, size_t i, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
