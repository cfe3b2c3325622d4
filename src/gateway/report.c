#include "gateway/report.h"

#include <stdio.h>

static void
pack_counts(Clpb__Counts *pb, const struct verdict_counts *counts)
{
	clpb__counts__init(pb);
	pb->answers = counts->answers;
	pb->failures = counts->failures;
	pb->errors = counts->errors;
	pb->slow = counts->slow;
	pb->gaps = counts->gaps;
	pb->slow_gaps = counts->slow_gaps;
	pb->loaded = counts->loaded;
	pb->loaded_errors = counts->loaded_errors;
}

/*
 * Fills the report with the outcomes of roll-outs, up to
 * GW_REPORT_OUTCOMES_MAX.
 */
void
gw_report_set_outcomes(
    struct gw_report *report, const struct evidence_table *ev)
{
	report->outcome_count = 0;
	for (size_t i = 0;
	     i < evidence_row_count(ev) && i < GW_REPORT_OUTCOMES_MAX; i++) {
		const struct evidence_row *row = evidence_row_at(ev, i);
		Clpb__Outcome *pb = &report->outcomes[i];

		clpb__outcome__init(pb);
		pb->service = (char *)row->service;
		pb->target = (char *)row->target;
		pb->route = (char *)row->route;
		pb->fresh = &report->counts[i][0];
		pb->known = &report->counts[i][1];
		pack_counts(pb->fresh, &row->fresh);
		pack_counts(pb->known, &row->known);
		pb->fresh_times = report->times[i][0];
		pb->n_fresh_times =
		    timing_pack(&row->fresh_times, pb->fresh_times);
		pb->known_times = report->times[i][1];
		pb->n_known_times =
		    timing_pack(&row->known_times, pb->known_times);
		report->outcome_list[i] = pb;
		report->outcome_count++;
	}
}

static uint32_t
age_ms(const struct gw_note *note, int64_t now_us)
{
	return (uint32_t)((now_us - note->at_us) / 1000);
}

/* Appends a note, with its age instead of its time, as clocks differ. */
static void
add_note(struct gw_report *report, const struct gw_note *note, int64_t now_us)
{
	Clpb__Note *pb = &report->notes[report->note_count];

	clpb__note__init(pb);
	pb->kind = note->kind;
	pb->key = note->key;
	pb->part = note->part;
	pb->value = note->value;
	pb->age_ms = age_ms(note, now_us);
	report->note_list[report->note_count++] = pb;
}

/*
 * Returns the group that a note belongs to, which is added if there is room, or
 * -1 if it is sent by itself.
 */
static int16_t
get_group(struct gw_report *report, const struct gw_note *note)
{
	Clpb__NoteGroup *pb;

	if (note->kind != GW_NOTE_CRASH && note->kind != GW_NOTE_PART_CRASH)
		return -1;
	for (size_t i = report->group_count; i > 0; i--) {
		pb = &report->groups[i - 1];
		if (pb->kind == (uint32_t)note->kind &&
		    pb->part == note->part && pb->value == note->value)
			return (int16_t)(i - 1);
	}
	if (report->group_count == GW_REPORT_GROUPS_MAX)
		return -1;
	pb = &report->groups[report->group_count];
	clpb__note_group__init(pb);
	pb->kind = note->kind;
	pb->part = note->part;
	pb->value = note->value;
	report->group_list[report->group_count] = pb;
	return (int16_t)report->group_count++;
}

/* Gives each group its place in the keys and ages of the report. */
static void
place_groups(struct gw_report *report)
{
	size_t at = 0;

	for (size_t i = 0; i < report->group_count; i++) {
		Clpb__NoteGroup *pb = &report->groups[i];

		pb->keys = &report->keys[at];
		pb->ages_ms = &report->ages_ms[at];
		at += pb->n_keys;
		pb->n_keys = 0;
	}
}

/* Fills the report with the chosen notes, in groups or each by itself. */
static void
pack_chosen(struct gw_report *report, bool in_groups, int64_t now_us)
{
	for (size_t i = 0; i < report->chosen_count; i++) {
		int16_t group =
		    in_groups ? get_group(report, report->chosen[i]) : -1;

		report->group_of[i] = group;
		if (group < 0)
			add_note(report, report->chosen[i], now_us);
		else
			report->groups[group].n_keys++;
	}
	place_groups(report);
	for (size_t i = 0; i < report->chosen_count; i++) {
		Clpb__NoteGroup *pb;

		if (report->group_of[i] < 0)
			continue;
		pb = &report->groups[report->group_of[i]];
		pb->keys[pb->n_keys] = report->chosen[i]->key;
		pb->ages_ms[pb->n_keys] = age_ms(report->chosen[i], now_us);
		if (pb->ages_ms[pb->n_keys] != pb->ages_ms[0])
			pb->n_ages_ms = 2;
		pb->n_keys++;
	}
	for (size_t i = 0; i < report->group_count; i++) {
		Clpb__NoteGroup *pb = &report->groups[i];

		pb->n_ages_ms = pb->n_ages_ms == 0 ? 1 : pb->n_keys;
	}
}

/* Empties the report of notes; it then covers no numbers. */
void
gw_report_clear_notes(
    struct gw_report *report, const struct gw_notes_peer *peer)
{
	report->note_count = report->group_count = report->chosen_count = 0;
	report->after = report->to = peer->feed.sent;
	report->has_more = false;
}

/*
 * Chooses notes for an instance that acknowledges nothing, the newest first:
 * those since the last report to it and, every GW_NOTES_REPEAT_INTERVAL_US, all
 * of the last GW_NOTES_REPEAT_US.
 */
static void
choose_repeated(struct gw_report *report, const struct gw_notes *notes,
    struct gw_notes_peer *peer, uint32_t instance, int64_t now_us)
{
	int64_t since_us = peer->sent_us;

	if (now_us - peer->repeated_us >= GW_NOTES_REPEAT_INTERVAL_US) {
		since_us = now_us - GW_NOTES_REPEAT_US;
		peer->repeated_us = now_us;
	}
	peer->sent_us = now_us;
	for (const struct gw_note *note = gw_notes_newest(notes);
	     note != NULL && note->heard_us >= since_us &&
	     report->chosen_count < GW_REPORT_NOTES_MAX;
	     note = gw_notes_heard_before(notes, note)) {
		if (note->told_by != instance)
			report->chosen[report->chosen_count++] = note;
	}
}

/*
 * Returns the oldest note after a number, of the last NOTE_FEED_KEEP_US, or
 * NULL.  What is older reaches others by the comparison of summaries.
 */
static const struct gw_note *
first_after(const struct gw_notes *notes, uint64_t after, int64_t now_us)
{
	const struct gw_note *first = NULL;

	for (const struct gw_note *note = gw_notes_newest(notes);
	     note != NULL && note->number > after &&
	     now_us - note->heard_us <= NOTE_FEED_KEEP_US;
	     note = gw_notes_heard_before(notes, note))
		first = note;
	return first;
}

/* Whether another instance's notes wait, as this peer hears them elsewhere. */
static bool
holds_others(const struct gw_notes_peer *peer)
{
	return peer->own_first != 0 &&
	       peer->mismatch_rounds < GW_NOTES_RELAY_ROUNDS;
}

/*
 * Returns the number after which a note is new to an instance.  What it has
 * told itself never is.
 */
static uint64_t
new_after(const struct gw_notes_peer *peer, const struct gw_note *note,
    uint32_t instance)
{
	if (note->told_by == instance)
		return UINT64_MAX;
	if (peer->own_first == 0 || note->told_by == peer->own_first)
		return gw_note_feed_after(&peer->feed);
	return holds_others(peer) ? UINT64_MAX : peer->relayed;
}

/* Returns the oldest note that may be new to an instance, or NULL. */
static const struct gw_note *
oldest_new(const struct gw_notes *notes, const struct gw_notes_peer *peer,
    int64_t now_us)
{
	uint64_t after = gw_note_feed_after(&peer->feed);

	if (peer->own_first != 0 && !holds_others(peer) &&
	    peer->relayed < after)
		after = peer->relayed;
	return first_after(notes, after, now_us);
}

/* Chooses notes for an instance that acknowledges them, the oldest first. */
static void
choose_fed(struct gw_report *report, const struct gw_notes *notes,
    struct gw_notes_peer *peer, uint32_t instance, int64_t now_us)
{
	uint64_t reached = gw_notes_last_number(notes);
	const struct gw_note *note;

	if (peer->feed.has_lost && peer->relayed > peer->feed.known)
		peer->relayed = peer->feed.known;
	note = oldest_new(notes, peer, now_us);
	report->after = gw_note_feed_after(&peer->feed);
	for (; note != NULL; note = gw_notes_heard_after(notes, note)) {
		if (note->number <= new_after(peer, note, instance))
			continue;
		if (report->chosen_count == GW_REPORT_FED_MAX) {
			reached = note->number - 1;
			report->has_more = true;
			break;
		}
		report->chosen[report->chosen_count++] = note;
	}
	report->to = reached > report->after ? reached : report->after;
	if (!holds_others(peer) && reached > peer->relayed)
		peer->relayed = reached;
	gw_note_feed_sent(&peer->feed, report->to, now_us);
}

static void
choose_new(struct gw_report *report, const struct gw_notes *notes,
    struct gw_notes_peer *peer, uint32_t instance, int64_t now_us)
{
	gw_report_clear_notes(report, peer);
	if (peer->feed.is_answered)
		choose_fed(report, notes, peer, instance, now_us);
	else
		choose_repeated(report, notes, peer, instance, now_us);
}

/*
 * Fills the report with the notes that are new to an instance.  What it has
 * told itself is left out.
 */
void
gw_report_set_new_notes(struct gw_report *report, const struct gw_notes *notes,
    struct gw_notes_peer *peer, uint32_t instance, int64_t now_us)
{
	choose_new(report, notes, peer, instance, now_us);
	pack_chosen(report, peer->feed.is_answered, now_us);
}

/*
 * Fills the report with the new notes, and with older ones in turn over several
 * reports, for an instance that lacks some.  It may have restarted, so that
 * what was sent to it and what it told itself counts as well.  peer->next is
 * the position.
 */
void
gw_report_set_all_notes(struct gw_report *report, const struct gw_notes *notes,
    struct gw_notes_peer *peer, int64_t now_us)
{
	size_t count = gw_notes_count(notes);
	uint32_t own_first = peer->own_first;
	int64_t chosen_us =
	    peer->feed.is_answered ? NOTE_FEED_KEEP_US : GW_NOTES_REPEAT_US;

	peer->own_first = 0;
	peer->repeated_us = now_us - GW_NOTES_REPEAT_INTERVAL_US;
	gw_note_feed_restart(&peer->feed);
	peer->relayed = 0;
	choose_new(report, notes, peer, GW_REPORT_ALL, now_us);
	peer->own_first = own_first;
	for (size_t i = 0;
	     i < count && report->chosen_count < GW_REPORT_NOTES_MAX; i++) {
		const struct gw_note *note;

		peer->next = (uint32_t)((peer->next + 1) % count);
		note = gw_notes_at(notes, peer->next);
		if (now_us - note->heard_us > chosen_us)
			report->chosen[report->chosen_count++] = note;
	}
	pack_chosen(report, peer->feed.is_answered, now_us);
}

/*
 * Whether an instance has to be told of a new note.  One that acknowledges
 * nothing may always have to.
 */
bool
gw_report_has_new_notes(const struct gw_notes *notes,
    const struct gw_notes_peer *peer, uint32_t instance, int64_t now_us)
{
	const struct gw_note *note = oldest_new(notes, peer, now_us);

	if (!peer->feed.is_answered)
		return true;
	for (; note != NULL; note = gw_notes_heard_after(notes, note)) {
		if (note->number > new_after(peer, note, instance))
			return true;
	}
	return false;
}

static struct verdict_counts
unpack_counts(const Clpb__Counts *pb)
{
	struct verdict_counts counts = {0};

	if (pb != NULL)
		counts = (struct verdict_counts){pb->answers, pb->failures,
		    pb->errors, pb->slow, pb->gaps, pb->slow_gaps, pb->loaded,
		    pb->loaded_errors};
	return counts;
}

/*
 * Decodes the outcomes of a roll-out.  Returns false if a name is too long or
 * the times are malformed.
 */
bool
gw_report_read_outcome(const Clpb__Outcome *pb, struct evidence_row *row)
{
	if (snprintf(row->service, sizeof(row->service), "%s", pb->service) >=
		(int)sizeof(row->service) ||
	    snprintf(row->target, sizeof(row->target), "%s", pb->target) >=
		(int)sizeof(row->target) ||
	    snprintf(row->route, sizeof(row->route), "%s", pb->route) >=
		(int)sizeof(row->route))
		return false;
	row->fresh = unpack_counts(pb->fresh);
	row->known = unpack_counts(pb->known);
	return timing_unpack(
		   &row->fresh_times, pb->fresh_times, pb->n_fresh_times) &&
	       timing_unpack(
		   &row->known_times, pb->known_times, pb->n_known_times);
}

/* Decodes a note, and converts its age to a time of the local clock. */
struct gw_note
gw_report_read_note(const Clpb__Note *pb, int64_t now_us)
{
	return (struct gw_note){.kind = (enum gw_note_kind)pb->kind,
	    .key = pb->key,
	    .part = pb->part,
	    .value = pb->value,
	    .at_us = now_us - (int64_t)pb->age_ms * 1000};
}

/* Whether a group has an age for all its keys, or one for each. */
bool
gw_report_group_is_whole(const Clpb__NoteGroup *pb)
{
	return pb->n_ages_ms == pb->n_keys || pb->n_ages_ms == 1;
}

/* Decodes one of the notes of a whole group. */
struct gw_note
gw_report_read_grouped(const Clpb__NoteGroup *pb, size_t i, int64_t now_us)
{
	uint32_t age = pb->ages_ms[pb->n_ages_ms == 1 ? 0 : i];

	return (struct gw_note){.kind = (enum gw_note_kind)pb->kind,
	    .key = pb->keys[i],
	    .part = pb->part,
	    .value = pb->value,
	    .at_us = now_us - (int64_t)age * 1000};
}
