#include "state/member.h"

#include <string.h>

#include "state/member_i.h"

/* The facade: construction, time, and the way of each message. */

enum {
	PERIOD_MS = 1000,
	JUMP_MS = 1000,
	SUMMARY_MS = 2000,
	JOIN_MS = 1000,
	US_PER_MS = 1000
};

/* Returns microseconds of an option, or of its default. */
int64_t
mb_ms(uint32_t value_ms, uint32_t fallback_ms)
{
	return (int64_t)(value_ms != 0 ? value_ms : fallback_ms) * US_PER_MS;
}

/* Hands an action to the caller. */
void
mb_emit(struct mb *mb, const struct mb_action *action)
{
	mb->options.emit(mb->options.ctx, action);
}

/* Sends a message with this member's record, news and items on it. */
void
mb_send(struct mb *mb, uint32_t to, struct mb_msg *msg)
{
	struct mb_action action = {.kind = MB_SEND, .to = to, .msg = msg};

	msg->self = mb->self;
	if (msg->kind == MB_MSG_PING || msg->kind == MB_MSG_ACK) {
		mb_add_news(mb, msg);
		mb_add_items(mb, msg);
	}
	mb_emit(mb, &action);
}

/* Returns a member of this data centre, or NULL. */
struct mb_member *
mb_find(struct mb *mb, uint32_t instance)
{
	for (uint32_t i = 0; i < mb->count; i++) {
		if (mb->members[i].record.instance == instance)
			return &mb->members[i];
	}
	return NULL;
}

/* News rides on so many messages: enough to reach all, with high odds. */
uint8_t
mb_tell_count(const struct mb *mb)
{
	uint8_t rounds = 3;

	for (uint32_t n = mb->count; n > 1; n /= 2)
		rounds += 3;
	return rounds;
}

/* Creates a member that knows only itself. */
struct mb *
mb_new(const struct mb_options *options, int64_t now_us)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct mb *mb = alloc_zero(alloc, 1, sizeof(*mb));

	mb->options = *options;
	mb->options.alloc = alloc;
	rng_init(&mb->rng, options->seed);
	mb->now_us = now_us;
	mb->seen_us = now_us;
	mb->self = (struct mb_record){.instance = options->instance,
	    .incarnation = options->incarnation,
	    .state = MB_ALIVE};
	mb->probe_due_us = now_us;
	mb->join_due_us = now_us;
	mb->summary_due_us =
	    now_us + mb_ms(options->summary_ms, SUMMARY_MS) / 2;
	for (int role = 0; role < MB_ROLES; role++) {
		for (int dc = 0; dc < MB_DATA_CENTRES_MAX; dc++)
			ls_vote_init(&mb->roles[role].votes[dc].lease,
			    &options->lease, now_us);
	}
	mb_role_init(mb);
	return mb;
}

/* Releases a member. */
void
mb_free(struct mb *mb)
{
	if (mb != NULL)
		alloc_free(mb->options.alloc, mb);
}

/* Names an instance of this data centre to join through. */
void
mb_seed_member(struct mb *mb, uint32_t instance)
{
	if (mb->seed_count < MB_SEEDS_MAX)
		mb->seeds[mb->seed_count++] = instance;
}

/* Names an instance of another data centre. */
void
mb_seed_data_centre(struct mb *mb, uint16_t data_centre, uint32_t instance)
{
	struct mb_place *place = &mb->places[data_centre % MB_DATA_CENTRES_MAX];

	if (mb->place_seed_count == MB_SEEDS_MAX)
		return;
	mb->place_seeds[mb->place_seed_count].data_centre = data_centre;
	mb->place_seeds[mb->place_seed_count++].instance = instance;
	place->data_centre = data_centre;
	place->known = true;
	place->heard_us = mb->now_us;
}

/* Asks one seed after the other, until somebody is known. */
static void
join(struct mb *mb)
{
	struct mb_msg msg = {.kind = MB_MSG_JOIN};

	if (mb->seed_count == 0 || mb->now_us < mb->join_due_us)
		return;
	/* Once in a while also later: two halves must find each other. */
	mb->join_due_us =
	    mb->now_us + mb_ms(0, JOIN_MS) * (mb->count > 0 ? 10 : 1);
	mb_send(mb, mb->seeds[rng_below(&mb->rng, mb->seed_count)], &msg);
}

/*
 * A member that was paused missed the others' answers, not the others missed
 * to answer: whatever it waits for gets as much longer.
 */
static void
allow_for_pause(struct mb *mb)
{
	int64_t gap_us = mb->now_us - mb->seen_us;

	mb->seen_us = mb->now_us;
	if (gap_us <= mb_ms(mb->options.jump_ms, JUMP_MS) ||
	    mb->options.unsafe_skip_pause)
		return;
	/* What was said meanwhile is asked for: it may clear the suspects. */
	mb->join_due_us = mb->now_us;
	mb_shift_probes(mb, gap_us);
	for (uint32_t i = 0; i < mb->count; i++) {
		if (mb->members[i].suspect_until_us != 0)
			mb->members[i].suspect_until_us += gap_us;
	}
	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++)
		mb->places[i].heard_us += gap_us;
}

static void
finish_leave(struct mb *mb)
{
	struct mb_action done = {.kind = MB_LEAVE_DONE};

	if (mb->leave_us == 0 || mb->left || mb->now_us < mb->leave_us)
		return;
	mb->left = true;
	mb_emit(mb, &done);
}

/* Lets time pass. */
void
mb_tick(struct mb *mb, int64_t now_us)
{
	mb->now_us = now_us;
	allow_for_pause(mb);
	join(mb);
	mb_probe_tick(mb);
	if (now_us >= mb->probe_due_us) {
		mb->probe_due_us =
		    now_us + mb_ms(mb->options.period_ms, PERIOD_MS);
		mb_probe_next(mb);
	}
	mb_expire_suspects(mb);
	mb_role_tick(mb);
	mb_summary_tick(mb);
	finish_leave(mb);
}

/* Returns when the next tick is due. */
int64_t
mb_due_us(const struct mb *mb)
{
	return mb->probe_due_us < mb->summary_due_us ? mb->probe_due_us
						     : mb->summary_due_us;
}

/* Answers who joins with everybody known. */
static void
send_records(struct mb *mb, uint32_t to)
{
	struct mb_msg msg = {.kind = MB_MSG_RECORDS};

	for (uint32_t i = 0; i < mb->count; i++) {
		msg.records[msg.record_count++] = mb->members[i].record;
		if (msg.record_count == MB_RECORDS_BATCH) {
			mb_send(mb, to, &msg);
			msg.record_count = 0;
		}
	}
	mb_send(mb, to, &msg);
}

static bool
is_local(const struct mb_msg *msg)
{
	return msg->kind == MB_MSG_PING || msg->kind == MB_MSG_ACK ||
	       msg->kind == MB_MSG_PING_REQ || msg->kind == MB_MSG_JOIN ||
	       msg->kind == MB_MSG_RECORDS || msg->kind == MB_MSG_SPARE;
}

/* Takes another instance's message. */
void
mb_message(
    struct mb *mb, int64_t now_us, uint32_t from, const struct mb_msg *msg)
{
	mb->now_us = now_us;
	if (is_local(msg))
		mb_take_record(mb, &msg->self);
	for (uint32_t i = 0; i < msg->record_count; i++)
		mb_take_record(mb, &msg->records[i]);
	for (uint32_t i = 0; i < msg->item_count; i++)
		mb_take_item(mb, &msg->items[i], msg);
	switch (msg->kind) {
	case MB_MSG_JOIN:
		send_records(mb, from);
		break;
	case MB_MSG_PING:
	case MB_MSG_ACK:
	case MB_MSG_PING_REQ:
		mb_probe_message(mb, from, msg);
		break;
	case MB_MSG_SPARE:
	case MB_MSG_SUMMARY:
		mb_summary_message(mb, from, msg);
		break;
	case MB_MSG_LEASE_ASK:
	case MB_MSG_LEASE_ANSWER:
	case MB_MSG_LEASE_RELEASE:
		mb_role_message(mb, from, msg);
		break;
	case MB_MSG_RECORDS:
	case MB_MSG_ITEMS:
		break;
	}
}

/* Leaves gracefully: roles are given back, and the others are told. */
void
mb_leave(struct mb *mb, int64_t now_us)
{
	struct mb_msg msg = {.kind = MB_MSG_PING};

	mb->now_us = now_us;
	if (mb->leave_us != 0)
		return;
	mb_role_release(mb);
	mb->self.state = MB_LEFT;
	mb->self.version++;
	mb->leave_us = now_us + mb_ms(0, MB_LEAVE_MS);
	for (uint32_t i = 0; i < mb->count; i++) {
		if (mb->members[i].record.state == MB_ALIVE)
			mb_send(mb, mb->members[i].record.instance, &msg);
	}
}

/* Copies the members' records, this one's first; returns how many. */
size_t
mb_members(const struct mb *mb, struct mb_record *records, size_t max)
{
	size_t n = 0;

	if (max > 0)
		records[n++] = mb->self;
	for (uint32_t i = 0; i < mb->count && n < max; i++)
		records[n++] = mb->members[i].record;
	return n;
}

/* Returns whether an instance of this data centre is alive, suspects too. */
bool
mb_alive(const struct mb *mb, uint32_t instance)
{
	const struct mb_member *m = mb_find((struct mb *)mb, instance);

	if (instance == mb->self.instance)
		return mb->self.state == MB_ALIVE;
	return m != NULL &&
	       (m->record.state == MB_ALIVE || m->record.state == MB_SUSPECT);
}
