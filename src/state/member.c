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
mb_emit(struct membership *membership, const struct member_action *action)
{
	membership->options.emit(membership->options.ctx, action);
}

/* Sends a message with this member's record, news and items on it. */
void
mb_send(struct membership *membership, uint32_t to, struct member_msg *msg)
{
	struct member_action action = {
	    .kind = MEMBER_SEND, .to = to, .msg = msg};

	msg->self = membership->self;
	if (msg->kind == MB_MSG_PING || msg->kind == MB_MSG_ACK) {
		mb_add_news(membership, msg);
		mb_add_items(membership, msg);
	}
	mb_emit(membership, &action);
}

/* Returns a member of this data centre, or NULL. */
struct mb_member *
mb_find(struct membership *membership, uint32_t instance)
{
	for (uint32_t i = 0; i < membership->count; i++) {
		if (membership->members[i].record.instance == instance)
			return &membership->members[i];
	}
	return NULL;
}

/* News rides on so many messages: enough to reach all, with high odds. */
uint8_t
mb_tell_count(const struct membership *membership)
{
	uint8_t rounds = 3;

	for (uint32_t n = membership->count; n > 1; n /= 2)
		rounds += 3;
	return rounds;
}

/* Creates a member that knows only itself. */
struct membership *
member_new(const struct member_options *options, int64_t now_us)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct membership *membership =
	    alloc_zero(alloc, 1, sizeof(*membership));

	membership->options = *options;
	membership->options.alloc = alloc;
	rng_init(&membership->rng, options->seed);
	membership->now_us = now_us;
	membership->seen_us = now_us;
	membership->self = (struct member_record){.instance = options->instance,
	    .incarnation = options->incarnation,
	    .state = MEMBER_ALIVE};
	membership->probe_due_us = now_us;
	membership->join_due_us = now_us;
	membership->summary_due_us =
	    now_us + mb_ms(options->summary_ms, SUMMARY_MS) / 2;
	for (int role = 0; role < MB_ROLES; role++) {
		for (int dc = 0; dc < MEMBER_DATA_CENTRES_MAX; dc++)
			lease_voter_init(
			    &membership->roles[role].votes[dc].lease,
			    &options->lease, now_us);
	}
	mb_role_init(membership);
	return membership;
}

/* Releases a member. */
void
member_free(struct membership *membership)
{
	if (membership != NULL)
		alloc_free(membership->options.alloc, membership);
}

/* Names an instance of this data centre to join through. */
void
member_add_seed(struct membership *membership, uint32_t instance)
{
	if (membership->seed_count < MB_SEEDS_MAX)
		membership->seeds[membership->seed_count++] = instance;
}

/* Names an instance of another data centre. */
void
member_add_data_centre_seed(
    struct membership *membership, uint16_t data_centre, uint32_t instance)
{
	struct mb_place *place =
	    &membership->places[data_centre % MEMBER_DATA_CENTRES_MAX];

	if (membership->place_seed_count == MB_SEEDS_MAX)
		return;
	membership->place_seeds[membership->place_seed_count].data_centre =
	    data_centre;
	membership->place_seeds[membership->place_seed_count++].instance =
	    instance;
	place->data_centre = data_centre;
	place->known = true;
	place->heard_us = membership->now_us;
}

/* Asks one seed after the other, until somebody is known. */
static void
join(struct membership *membership)
{
	struct member_msg msg = {.kind = MB_MSG_JOIN};

	if (membership->seed_count == 0 ||
	    membership->now_us < membership->join_due_us)
		return;
	/* Once in a while also later: two halves must find each other. */
	membership->join_due_us =
	    membership->now_us +
	    mb_ms(0, JOIN_MS) * (membership->count > 0 ? 10 : 1);
	mb_send(membership,
	    membership
		->seeds[rng_below(&membership->rng, membership->seed_count)],
	    &msg);
}

/*
 * A member that was paused missed the others' answers, not the others missed
 * to answer: whatever it waits for gets as much longer.
 */
static void
allow_for_pause(struct membership *membership)
{
	int64_t gap_us = membership->now_us - membership->seen_us;

	membership->seen_us = membership->now_us;
	if (gap_us <= mb_ms(membership->options.jump_ms, JUMP_MS) ||
	    membership->options.unsafe_skip_pause)
		return;
	/* What was said meanwhile is asked for: it may clear the suspects. */
	membership->join_due_us = membership->now_us;
	mb_shift_probes(membership, gap_us);
	for (uint32_t i = 0; i < membership->count; i++) {
		if (membership->members[i].suspect_until_us != 0)
			membership->members[i].suspect_until_us += gap_us;
	}
	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++)
		membership->places[i].heard_us += gap_us;
}

static void
finish_leave(struct membership *membership)
{
	struct member_action done = {.kind = MEMBER_LEAVE_DONE};

	if (membership->leave_us == 0 || membership->left ||
	    membership->now_us < membership->leave_us)
		return;
	membership->left = true;
	mb_emit(membership, &done);
}

/* Lets time pass. */
void
member_tick(struct membership *membership, int64_t now_us)
{
	membership->now_us = now_us;
	allow_for_pause(membership);
	join(membership);
	mb_probe_tick(membership);
	if (now_us >= membership->probe_due_us) {
		membership->probe_due_us =
		    now_us + mb_ms(membership->options.period_ms, PERIOD_MS);
		mb_probe_next(membership);
	}
	mb_expire_suspects(membership);
	mb_role_tick(membership);
	mb_summary_tick(membership);
	finish_leave(membership);
}

/* Returns when the next tick is due. */
int64_t
mb_due_us(const struct membership *membership)
{
	return membership->probe_due_us < membership->summary_due_us
		   ? membership->probe_due_us
		   : membership->summary_due_us;
}

/* Answers who joins with everybody known. */
static void
send_records(struct membership *membership, uint32_t to)
{
	struct member_msg msg = {.kind = MB_MSG_RECORDS};

	for (uint32_t i = 0; i < membership->count; i++) {
		msg.records[msg.record_count++] = membership->members[i].record;
		if (msg.record_count == MB_RECORDS_BATCH) {
			mb_send(membership, to, &msg);
			msg.record_count = 0;
		}
	}
	mb_send(membership, to, &msg);
}

static bool
is_local(const struct member_msg *msg)
{
	return msg->kind == MB_MSG_PING || msg->kind == MB_MSG_ACK ||
	       msg->kind == MB_MSG_PING_REQ || msg->kind == MB_MSG_JOIN ||
	       msg->kind == MB_MSG_RECORDS || msg->kind == MB_MSG_SPARE;
}

/* Takes another instance's message. */
void
member_receive(struct membership *membership, int64_t now_us, uint32_t from,
    const struct member_msg *msg)
{
	membership->now_us = now_us;
	if (is_local(msg))
		mb_take_record(membership, &msg->self);
	for (uint32_t i = 0; i < msg->record_count; i++)
		mb_take_record(membership, &msg->records[i]);
	for (uint32_t i = 0; i < msg->item_count; i++)
		mb_take_item(membership, &msg->items[i], msg);
	switch (msg->kind) {
	case MB_MSG_JOIN:
		send_records(membership, from);
		break;
	case MB_MSG_PING:
	case MB_MSG_ACK:
	case MB_MSG_PING_REQ:
		mb_probe_message(membership, from, msg);
		break;
	case MB_MSG_SPARE:
	case MB_MSG_SUMMARY:
		mb_summary_message(membership, from, msg);
		break;
	case MB_MSG_LEASE_ASK:
	case MB_MSG_LEASE_ANSWER:
	case MB_MSG_LEASE_RELEASE:
		mb_role_message(membership, from, msg);
		break;
	case MB_MSG_RECORDS:
	case MB_MSG_ITEMS:
		break;
	}
}

/* Leaves gracefully: roles are given back, and the others are told. */
void
member_leave(struct membership *membership, int64_t now_us)
{
	struct member_msg msg = {.kind = MB_MSG_PING};

	membership->now_us = now_us;
	if (membership->leave_us != 0)
		return;
	mb_role_release(membership);
	membership->self.state = MB_LEFT;
	membership->self.version++;
	membership->leave_us = now_us + mb_ms(0, MB_LEAVE_MS);
	for (uint32_t i = 0; i < membership->count; i++) {
		if (membership->members[i].record.state == MEMBER_ALIVE)
			mb_send(membership,
			    membership->members[i].record.instance, &msg);
	}
}

/* Copies the members' records, this one's first; returns how many. */
size_t
member_copy_records(const struct membership *membership,
    struct member_record *records, size_t max)
{
	size_t n = 0;

	if (max > 0)
		records[n++] = membership->self;
	for (uint32_t i = 0; i < membership->count && n < max; i++)
		records[n++] = membership->members[i].record;
	return n;
}

/* Returns whether an instance of this data centre is alive, suspects too. */
bool
mb_alive(const struct membership *membership, uint32_t instance)
{
	const struct mb_member *m =
	    mb_find((struct membership *)membership, instance);

	if (instance == membership->self.instance)
		return membership->self.state == MEMBER_ALIVE;
	return m != NULL && (m->record.state == MEMBER_ALIVE ||
				m->record.state == MEMBER_SUSPECT);
}
