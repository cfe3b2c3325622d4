#include "state/member_i.h"

/* Records: which of two about a member is valid, and their dissemination. */

enum {
	SUSPECT_MS = 3000
};

static void
emit_change(struct membership *membership, enum member_action_kind kind,
    const struct member_record *record)
{
	struct member_action action = {.kind = kind, .record = record};

	member_emit(membership, &action);
}

static bool
is_ended(enum member_state state)
{
	return state == MEMBER_LEFT || state == MEMBER_GONE;
}

/*
 * Returns whether record a supersedes b: by the later incarnation, then by an
 * ended state, then by the higher version, then by suspicion.
 */
static bool
is_newer(const struct member_record *a, const struct member_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (is_ended(a->state) != is_ended(b->state))
		return is_ended(a->state);
	if (a->version != b->version)
		return a->version > b->version;
	return a->state > b->state;
}

/*
 * Handles a record of others about this member.  A suspicion is refuted with a
 * higher version.  If the member was declared gone while it was paused or cut
 * off, it returns under a new incarnation.
 */
static void
refute_own_record(
    struct membership *membership, const struct member_record *record)
{
	if (record->incarnation != membership->self.incarnation ||
	    record->state == MEMBER_ALIVE || membership->leave_done_us != 0)
		return;
	if (is_ended(record->state)) {
		membership->self.incarnation++;
		membership->self.version = 0;
	} else if (record->version >= membership->self.version) {
		membership->self.version = record->version + 1;
	}
}

static void
start_suspicion(struct membership *membership, struct member_entry *m)
{
	m->suspect_until_us =
	    membership->now_us +
	    member_option_us(membership->options.suspect_ms, SUSPECT_MS);
}

/* Reports the end of a life, as the relay also to other data centres. */
static void
report_ended(struct membership *membership, const struct member_record *record)
{
	emit_change(membership, MEMBER_ENDED, record);
	member_publish_gone(membership, record);
}

/* Ends the previous life of a member if a later one is seen. */
static void
end_former_life(struct membership *membership, const struct member_entry *m,
    const struct member_record *record)
{
	if (record->incarnation > m->record.incarnation &&
	    !is_ended(m->record.state))
		report_ended(membership, &m->record);
}

static void
add_member(struct membership *membership, const struct member_record *record)
{
	struct member_entry *m;

	if (membership->count == MEMBER_COUNT_MAX || is_ended(record->state))
		return;
	m = &membership->members[membership->count++];
	*m = (struct member_entry){.record = *record,
	    .transmits_left = member_transmit_limit(membership)};
	if (record->state == MEMBER_SUSPECT)
		start_suspicion(membership, m);
	emit_change(membership, MEMBER_JOINED, &m->record);
}

/* Merges a received record into the member list. */
void
member_merge_record(
    struct membership *membership, const struct member_record *record)
{
	struct member_entry *m;
	struct member_record before;

	if (record->instance == membership->self.instance) {
		refute_own_record(membership, record);
		return;
	}
	m = member_find(membership, record->instance);
	if (m == NULL) {
		add_member(membership, record);
		return;
	}
	if (!is_newer(record, &m->record))
		return;
	before = m->record;
	end_former_life(membership, m, record);
	m->record = *record;
	m->transmits_left = member_transmit_limit(membership);
	m->suspect_until_us = 0;
	if (record->state == MEMBER_SUSPECT)
		start_suspicion(membership, m);
	if (is_ended(record->state) && !is_ended(before.state))
		report_ended(membership, &m->record);
	else if (!is_ended(record->state) &&
		 (is_ended(before.state) ||
		     before.incarnation != record->incarnation))
		emit_change(membership, MEMBER_JOINED, &m->record);
}

/* Makes a member a suspect after a failed probe. */
void
member_suspect(struct membership *membership, uint32_t instance)
{
	struct member_entry *m = member_find(membership, instance);
	struct member_record record;

	if (m == NULL || m->record.state != MEMBER_ALIVE)
		return;
	record = m->record;
	record.state = MEMBER_SUSPECT;
	member_merge_record(membership, &record);
}

/* Declares suspects gone that did not refute the suspicion in time. */
void
member_expire_suspects(struct membership *membership)
{
	for (uint32_t i = 0; i < membership->count; i++) {
		struct member_entry *m = &membership->members[i];
		struct member_record record = m->record;

		if (m->suspect_until_us == 0 ||
		    membership->now_us < m->suspect_until_us)
			continue;
		record.state = MEMBER_GONE;
		record.roles = 0;
		member_merge_record(membership, &record);
	}
}

/* Adds recently changed records to a message, the least sent first. */
void
member_add_records(struct membership *membership, struct member_msg *msg)
{
	while (msg->record_count < MEMBER_RECORDS_BATCH) {
		struct member_entry *best = NULL;

		for (uint32_t i = 0; i < membership->count; i++) {
			struct member_entry *m = &membership->members[i];
			bool listed = false;

			for (uint32_t j = 0; j < msg->record_count; j++)
				listed |= msg->records[j].instance ==
					  m->record.instance;
			if (m->transmits_left > 0 && !listed &&
			    (best == NULL ||
				m->transmits_left > best->transmits_left))
				best = m;
		}
		if (best == NULL)
			return;
		best->transmits_left--;
		msg->records[msg->record_count++] = best->record;
	}
}
