#include "state/member_i.h"

/* Records: whose word about a member counts, and how it is passed on. */

enum {
	SUSPECT_MS = 3000
};

static void
tell_change(
    struct mb *mb, enum mb_action_kind kind, const struct mb_record *record)
{
	struct mb_action action = {.kind = kind, .record = record};

	mb_emit(mb, &action);
}

static bool
ended(enum mb_state state)
{
	return state == MB_LEFT || state == MB_GONE;
}

/* A later life wins; within one, the end; then the version; then suspicion. */
static bool
is_newer(const struct mb_record *a, const struct mb_record *b)
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
take_own_record(struct mb *mb, const struct mb_record *record)
{
	if (record->incarnation != mb->self.incarnation ||
	    record->state == MB_ALIVE || mb->leave_us != 0)
		return;
	if (ended(record->state)) {
		mb->self.incarnation++;
		mb->self.version = 0;
	} else if (record->version >= mb->self.version) {
		mb->self.version = record->version + 1;
	}
}

static void
start_suspicion(struct mb *mb, struct mb_member *m)
{
	m->suspect_until_us =
	    mb->now_us + mb_ms(mb->options.suspect_ms, SUSPECT_MS);
}

/* A life has ended; the relay tells the other data centres as well. */
static void
tell_ended(struct mb *mb, const struct mb_record *record)
{
	tell_change(mb, MB_ENDED, record);
	mb_tell_gone(mb, record);
}

/* A life that nobody has ended is over if its successor is here. */
static void
end_former_life(
    struct mb *mb, const struct mb_member *m, const struct mb_record *record)
{
	if (record->incarnation > m->record.incarnation &&
	    !ended(m->record.state))
		tell_ended(mb, &m->record);
}

static void
add_member(struct mb *mb, const struct mb_record *record)
{
	struct mb_member *m;

	if (mb->count == MB_MEMBERS_MAX || ended(record->state))
		return;
	m = &mb->members[mb->count++];
	*m = (struct mb_member){.record = *record, .tell = mb_tell_count(mb)};
	if (record->state == MB_SUSPECT)
		start_suspicion(mb, m);
	tell_change(mb, MB_JOINED, &m->record);
}

/* Takes what a message says of a member. */
void
mb_take_record(struct mb *mb, const struct mb_record *record)
{
	struct mb_member *m;
	struct mb_record before;

	if (record->instance == mb->self.instance) {
		take_own_record(mb, record);
		return;
	}
	m = mb_find(mb, record->instance);
	if (m == NULL) {
		add_member(mb, record);
		return;
	}
	if (!is_newer(record, &m->record))
		return;
	before = m->record;
	end_former_life(mb, m, record);
	m->record = *record;
	m->tell = mb_tell_count(mb);
	m->suspect_until_us = 0;
	if (record->state == MB_SUSPECT)
		start_suspicion(mb, m);
	if (ended(record->state) && !ended(before.state))
		tell_ended(mb, &m->record);
	else if (!ended(record->state) &&
		 (ended(before.state) ||
		     before.incarnation != record->incarnation))
		tell_change(mb, MB_JOINED, &m->record);
}

/* A probe failed: the member has some time to object. */
void
mb_suspect(struct mb *mb, uint32_t instance)
{
	struct mb_member *m = mb_find(mb, instance);
	struct mb_record record;

	if (m == NULL || m->record.state != MB_ALIVE)
		return;
	record = m->record;
	record.state = MB_SUSPECT;
	mb_take_record(mb, &record);
}

/* Members that did not object in time are gone. */
void
mb_expire_suspects(struct mb *mb)
{
	for (uint32_t i = 0; i < mb->count; i++) {
		struct mb_member *m = &mb->members[i];
		struct mb_record record = m->record;

		if (m->suspect_until_us == 0 ||
		    mb->now_us < m->suspect_until_us)
			continue;
		record.state = MB_GONE;
		record.roles = 0;
		mb_take_record(mb, &record);
	}
}

/* Puts records that are news on a message, the least told first. */
void
mb_add_news(struct mb *mb, struct mb_msg *msg)
{
	while (msg->record_count < MB_RECORDS_BATCH) {
		struct mb_member *best = NULL;

		for (uint32_t i = 0; i < mb->count; i++) {
			struct mb_member *m = &mb->members[i];
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
