#include "state/member_i.h"

/* Records: whose word about a member counts, and how it is passed on. */

enum {
	SUSPECT_MS = 3000
};

static void
tell_change(struct membership *membership, enum mb_action_kind kind,
    const struct member_record *record)
{
	struct member_action action = {.kind = kind, .record = record};

	mb_emit(membership, &action);
}

static bool
ended(enum mb_state state)
{
	return state == MB_LEFT || state == MB_GONE;
}

/* A later life wins; within one, the end; then the version; then suspicion. */
static bool
is_newer(const struct member_record *a, const struct member_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (ended(a->state) != ended(b->state))
		return ended(a->state);
	if (a->version != b->version)
		return a->version > b->version;
	return a->state > b->state;
}

/*
 * Others' word about this member.  A suspicion is answered by objecting; one
 * that was given up while it was paused or cut off comes back as a new life.
 */
static void
take_own_record(
    struct membership *membership, const struct member_record *record)
{
	if (record->incarnation != membership->self.incarnation ||
	    record->state == MEMBER_ALIVE || membership->leave_us != 0)
		return;
	if (ended(record->state)) {
		membership->self.incarnation++;
		membership->self.version = 0;
	} else if (record->version >= membership->self.version) {
		membership->self.version = record->version + 1;
	}
}

static void
start_suspicion(struct membership *membership, struct mb_member *m)
{
	m->suspect_until_us = membership->now_us +
			      mb_ms(membership->options.suspect_ms, SUSPECT_MS);
}

/* A life has ended; the relay tells the other data centres as well. */
static void
tell_ended(struct membership *membership, const struct member_record *record)
{
	tell_change(membership, MEMBER_ENDED, record);
	mb_tell_gone(membership, record);
}

/* A life that nobody has ended is over if its successor is here. */
static void
end_former_life(struct membership *membership, const struct mb_member *m,
    const struct member_record *record)
{
	if (record->incarnation > m->record.incarnation &&
	    !ended(m->record.state))
		tell_ended(membership, &m->record);
}

static void
add_member(struct membership *membership, const struct member_record *record)
{
	struct mb_member *m;

	if (membership->count == MEMBER_COUNT_MAX || ended(record->state))
		return;
	m = &membership->members[membership->count++];
	*m = (struct mb_member){
	    .record = *record, .tell = mb_tell_count(membership)};
	if (record->state == MEMBER_SUSPECT)
		start_suspicion(membership, m);
	tell_change(membership, MEMBER_JOINED, &m->record);
}

/* Takes what a message says of a member. */
void
mb_take_record(
    struct membership *membership, const struct member_record *record)
{
	struct mb_member *m;
	struct member_record before;

	if (record->instance == membership->self.instance) {
		take_own_record(membership, record);
		return;
	}
	m = mb_find(membership, record->instance);
	if (m == NULL) {
		add_member(membership, record);
		return;
	}
	if (!is_newer(record, &m->record))
		return;
	before = m->record;
	end_former_life(membership, m, record);
	m->record = *record;
	m->tell = mb_tell_count(membership);
	m->suspect_until_us = 0;
	if (record->state == MEMBER_SUSPECT)
		start_suspicion(membership, m);
	if (ended(record->state) && !ended(before.state))
		tell_ended(membership, &m->record);
	else if (!ended(record->state) &&
		 (ended(before.state) ||
		     before.incarnation != record->incarnation))
		tell_change(membership, MEMBER_JOINED, &m->record);
}

/* A probe failed: the member has some time to object. */
void
mb_suspect(struct membership *membership, uint32_t instance)
{
	struct mb_member *m = mb_find(membership, instance);
	struct member_record record;

	if (m == NULL || m->record.state != MEMBER_ALIVE)
		return;
	record = m->record;
	record.state = MEMBER_SUSPECT;
	mb_take_record(membership, &record);
}

/* Members that did not object in time are gone. */
void
mb_expire_suspects(struct membership *membership)
{
	for (uint32_t i = 0; i < membership->count; i++) {
		struct mb_member *m = &membership->members[i];
		struct member_record record = m->record;

		if (m->suspect_until_us == 0 ||
		    membership->now_us < m->suspect_until_us)
			continue;
		record.state = MB_GONE;
		record.roles = 0;
		mb_take_record(membership, &record);
	}
}

/* Puts records that are news on a message, the least told first. */
void
mb_add_news(struct membership *membership, struct member_msg *msg)
{
	while (msg->record_count < MB_RECORDS_BATCH) {
		struct mb_member *best = NULL;

		for (uint32_t i = 0; i < membership->count; i++) {
			struct mb_member *m = &membership->members[i];
			bool listed = false;

			for (uint32_t j = 0; j < msg->record_count; j++)
				listed |= msg->records[j].instance ==
					  m->record.instance;
			if (m->tell > 0 && !listed &&
			    (best == NULL || m->tell > best->tell))
				best = m;
		}
		if (best == NULL)
			return;
		best->tell--;
		msg->records[msg->record_count++] = best->record;
	}
}
