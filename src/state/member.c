#include "state/member.h"

#include <string.h>

#include "state/member_i.h"

/* The public interface: construction, timers and dispatch of messages. */

enum {
	PERIOD_MS = 1000,
	JUMP_MS = 1000,
	SUMMARY_MS = 2000,
	JOIN_MS = 1000,
	US_PER_MS = 1000
};

/* Returns an option, or its default if it is 0, in microseconds. */
int64_t
member_option_us(uint32_t value_ms, uint32_t fallback_ms)
{
	return (int64_t)(value_ms != 0 ? value_ms : fallback_ms) * US_PER_MS;
}

void
member_emit(struct membership *membership, const struct member_action *action)
{
	membership->options.emit(membership->options.ctx, action);
}

/*
 * Sends a message with this member's record.  A probe and its answer also carry
 * recent records and items.
 */
void
member_send(struct membership *membership, uint32_t to, struct member_msg *msg)
{
	struct member_action action = {
	    .kind = MEMBER_SEND, .to = to, .msg = msg};

	msg->self = membership->self;
	if (msg->kind == MEMBER_MSG_PING || msg->kind == MEMBER_MSG_ACK) {
		member_add_records(membership, msg);
		member_add_items(membership, msg);
	}
	member_emit(membership, &action);
}

/* Returns another member of this data centre, or NULL. */
struct member_entry *
member_find(struct membership *membership, uint32_t instance)
{
	for (uint32_t i = 0; i < membership->count; i++) {
		if (membership->members[i].record.instance == instance)
			return &membership->members[i];
	}
	return NULL;
}

/*
 * Returns how many messages carry a new record or item: three times the
 * logarithm of the member count, and three.  That reaches all members with
 * high probability.
 */
uint8_t
member_transmit_limit(const struct membership *membership)
{
	uint8_t rounds = 3;

	for (uint32_t n = membership->count; n > 1; n /= 2)
		rounds += 3;
	return rounds;
}

/* Creates a member whose list has only itself. */
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
	membership->last_tick_us = now_us;
	membership->self = (struct member_record){.instance = options->instance,
	    .incarnation = options->incarnation,
	    .state = MEMBER_ALIVE};
	membership->probe_due_us = now_us;
	membership->join_due_us = now_us;
	membership->summary_due_us =
	    now_us + member_option_us(options->summary_ms, SUMMARY_MS) / 2;
	for (int role = 0; role < MEMBER_ROLES; role++) {
		for (int dc = 0; dc < MEMBER_DATA_CENTRES_MAX; dc++)
			lease_voter_init(
			    &membership->roles[role].votes[dc].lease,
			    &options->lease, now_us);
	}
	member_role_init(membership);
	return membership;
}

void
member_free(struct membership *membership)
{
	if (membership != NULL)
		alloc_free(membership->options.alloc, membership);
}

/* Adds an instance of this data centre through which to join. */
void
member_add_seed(struct membership *membership, uint32_t instance)
{
	if (membership->seed_count < MEMBER_SEEDS_MAX)
		membership->seeds[membership->seed_count++] = instance;
}

/* Adds an instance of another data centre. */
void
member_add_data_centre_seed(
    struct membership *membership, uint16_t data_centre, uint32_t instance)
{
	struct member_data_centre *dc =
	    &membership->data_centres[data_centre % MEMBER_DATA_CENTRES_MAX];

	if (membership->data_centre_seed_count == MEMBER_SEEDS_MAX)
		return;
	membership->data_centre_seeds[membership->data_centre_seed_count]
	    .data_centre = data_centre;
	membership->data_centre_seeds[membership->data_centre_seed_count++]
	    .instance = instance;
	dc->data_centre = data_centre;
	dc->known = true;
	dc->heard_us = membership->now_us;
}

/* Sends MEMBER_MSG_JOIN to a random seed when one is due. */
static void
send_join(struct membership *membership)
{
	struct member_msg msg = {.kind = MEMBER_MSG_JOIN};

	if (membership->seed_count == 0 ||
	    membership->now_us < membership->join_due_us)
		return;
	/*
	 * Goes on at a tenth of the rate once members are known, so that two
	 * halves of a split data centre find each other.
	 */
	membership->join_due_us =
	    membership->now_us +
	    member_option_us(0, JOIN_MS) * (membership->count > 0 ? 10 : 1);
	member_send(membership,
	    membership
		->seeds[rng_below(&membership->rng, membership->seed_count)],
	    &msg);
}

/*
 * Extends all timeouts by the length of a pause of this process: the others may
 * have answered meanwhile.
 */
static void
extend_timeouts_by_pause(struct membership *membership)
{
	int64_t gap_us = membership->now_us - membership->last_tick_us;

	membership->last_tick_us = membership->now_us;
	if (gap_us <= member_option_us(membership->options.jump_ms, JUMP_MS) ||
	    membership->options.unsafe_skip_pause)
		return;
	/* A join fetches the records missed; they may clear suspects. */
	membership->join_due_us = membership->now_us;
	member_extend_probes(membership, gap_us);
	for (uint32_t i = 0; i < membership->count; i++) {
		if (membership->members[i].suspect_until_us != 0)
			membership->members[i].suspect_until_us += gap_us;
	}
	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++)
		membership->data_centres[i].heard_us += gap_us;
}

static void
finish_leave(struct membership *membership)
{
	struct member_action done = {.kind = MEMBER_LEAVE_DONE};

	if (membership->leave_done_us == 0 || membership->left ||
	    membership->now_us < membership->leave_done_us)
		return;
	membership->left = true;
	member_emit(membership, &done);
}

/* Runs the timers: join, probes, suspicions, roles, summary and leave. */
void
member_tick(struct membership *membership, int64_t now_us)
{
	membership->now_us = now_us;
	extend_timeouts_by_pause(membership);
	send_join(membership);
	member_probe_tick(membership);
	if (now_us >= membership->probe_due_us) {
		membership->probe_due_us =
		    now_us +
		    member_option_us(membership->options.period_ms, PERIOD_MS);
		member_probe_next(membership);
	}
	member_expire_suspects(membership);
	member_role_tick(membership);
	member_summary_tick(membership);
	finish_leave(membership);
}

/* Returns the time of the next due tick. */
int64_t
member_due_us(const struct membership *membership)
{
	return membership->probe_due_us < membership->summary_due_us
		   ? membership->probe_due_us
		   : membership->summary_due_us;
}

/* Answers a join with the records of all known members. */
static void
send_records(struct membership *membership, uint32_t to)
{
	struct member_msg msg = {.kind = MEMBER_MSG_RECORDS};

	for (uint32_t i = 0; i < membership->count; i++) {
		msg.records[msg.record_count++] = membership->members[i].record;
		if (msg.record_count == MEMBER_RECORDS_BATCH) {
			member_send(membership, to, &msg);
			msg.record_count = 0;
		}
	}
	member_send(membership, to, &msg);
}

static bool
is_within_data_centre(const struct member_msg *msg)
{
	return msg->kind == MEMBER_MSG_PING || msg->kind == MEMBER_MSG_ACK ||
	       msg->kind == MEMBER_MSG_PING_REQ ||
	       msg->kind == MEMBER_MSG_JOIN ||
	       msg->kind == MEMBER_MSG_RECORDS || msg->kind == MEMBER_MSG_SPARE;
}

/* Handles a message of another instance. */
void
member_receive(struct membership *membership, int64_t now_us, uint32_t from,
    const struct member_msg *msg)
{
	membership->now_us = now_us;
	if (is_within_data_centre(msg))
		member_merge_record(membership, &msg->self);
	for (uint32_t i = 0; i < msg->record_count; i++)
		member_merge_record(membership, &msg->records[i]);
	for (uint32_t i = 0; i < msg->item_count; i++)
		member_receive_item(membership, &msg->items[i], msg);
	switch (msg->kind) {
	case MEMBER_MSG_JOIN:
		send_records(membership, from);
		break;
	case MEMBER_MSG_PING:
	case MEMBER_MSG_ACK:
	case MEMBER_MSG_PING_REQ:
		member_probe_receive(membership, from, msg);
		break;
	case MEMBER_MSG_SPARE:
	case MEMBER_MSG_SUMMARY:
		member_summary_receive(membership, from, msg);
		break;
	case MEMBER_MSG_LEASE_REQUEST:
	case MEMBER_MSG_LEASE_ANSWER:
	case MEMBER_MSG_LEASE_RELEASE:
		member_role_receive(membership, from, msg);
		break;
	case MEMBER_MSG_RECORDS:
	case MEMBER_MSG_ITEMS:
		break;
	}
}

/* Leaves gracefully: releases the roles and informs the others. */
void
member_leave(struct membership *membership, int64_t now_us)
{
	struct member_msg msg = {.kind = MEMBER_MSG_PING};

	membership->now_us = now_us;
	if (membership->leave_done_us != 0)
		return;
	member_role_release(membership);
	membership->self.state = MEMBER_LEFT;
	membership->self.version++;
	membership->leave_done_us =
	    now_us + member_option_us(0, MEMBER_LEAVE_MS);
	for (uint32_t i = 0; i < membership->count; i++) {
		if (membership->members[i].record.state == MEMBER_ALIVE)
			member_send(membership,
			    membership->members[i].record.instance, &msg);
	}
}

/* Copies up to max records, its own first; returns their number. */
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

/* Returns whether an instance of this data centre is alive or a suspect. */
bool
member_is_alive(const struct membership *membership, uint32_t instance)
{
	const struct member_entry *m =
	    member_find((struct membership *)membership, instance);

	if (instance == membership->self.instance)
		return membership->self.state == MEMBER_ALIVE;
	return m != NULL && (m->record.state == MEMBER_ALIVE ||
				m->record.state == MEMBER_SUSPECT);
}
