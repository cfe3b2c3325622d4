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
member_emit(struct mb *mb, const struct mb_action *action)
{
	mb->options.emit(mb->options.ctx, action);
}

/*
 * Sends a message with this member's record.  A probe and its answer also carry
 * recent records and items.
 */
void
member_send(struct mb *mb, uint32_t to, struct mb_msg *msg)
{
	struct mb_action action = {.kind = MB_SEND, .to = to, .msg = msg};

	msg->self = mb->self;
	if (msg->kind == MEMBER_MSG_PING || msg->kind == MEMBER_MSG_ACK) {
		member_add_records(mb, msg);
		member_add_items(mb, msg);
	}
	member_emit(mb, &action);
}

/* Returns another member of this data centre, or NULL. */
struct member_entry *
member_find(struct mb *mb, uint32_t instance)
{
	for (uint32_t i = 0; i < mb->count; i++) {
		if (mb->members[i].record.instance == instance)
			return &mb->members[i];
	}
	return NULL;
}

/*
 * Returns how many messages carry a new record or item: three times the
 * logarithm of the member count, and three.  That reaches all members with
 * high probability.
 */
uint8_t
member_transmit_limit(const struct mb *mb)
{
	uint8_t rounds = 3;

	for (uint32_t n = mb->count; n > 1; n /= 2)
		rounds += 3;
	return rounds;
}

/* Creates a member whose list has only itself. */
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
	mb->last_tick_us = now_us;
	mb->self = (struct mb_record){.instance = options->instance,
	    .incarnation = options->incarnation,
	    .state = MB_ALIVE};
	mb->probe_due_us = now_us;
	mb->join_due_us = now_us;
	mb->summary_due_us =
	    now_us + member_option_us(options->summary_ms, SUMMARY_MS) / 2;
	for (int role = 0; role < MEMBER_ROLES; role++) {
		for (int dc = 0; dc < MB_DATA_CENTRES_MAX; dc++)
			lease_voter_init(&mb->roles[role].votes[dc].lease,
			    &options->lease, now_us);
	}
	member_role_init(mb);
	return mb;
}

void
mb_free(struct mb *mb)
{
	if (mb != NULL)
		alloc_free(mb->options.alloc, mb);
}

/* Adds an instance of this data centre through which to join. */
void
mb_seed_member(struct mb *mb, uint32_t instance)
{
	if (mb->seed_count < MEMBER_SEEDS_MAX)
		mb->seeds[mb->seed_count++] = instance;
}

/* Adds an instance of another data centre. */
void
mb_seed_data_centre(struct mb *mb, uint16_t data_centre, uint32_t instance)
{
	struct member_data_centre *dc =
	    &mb->data_centres[data_centre % MB_DATA_CENTRES_MAX];

	if (mb->data_centre_seed_count == MEMBER_SEEDS_MAX)
		return;
	mb->data_centre_seeds[mb->data_centre_seed_count].data_centre =
	    data_centre;
	mb->data_centre_seeds[mb->data_centre_seed_count++].instance = instance;
	dc->data_centre = data_centre;
	dc->known = true;
	dc->heard_us = mb->now_us;
}

/* Sends MEMBER_MSG_JOIN to a random seed when one is due. */
static void
send_join(struct mb *mb)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_JOIN};

	if (mb->seed_count == 0 || mb->now_us < mb->join_due_us)
		return;
	/*
	 * Goes on at a tenth of the rate once members are known, so that two
	 * halves of a split data centre find each other.
	 */
	mb->join_due_us = mb->now_us + member_option_us(0, JOIN_MS) *
					   (mb->count > 0 ? 10 : 1);
	member_send(mb, mb->seeds[rng_below(&mb->rng, mb->seed_count)], &msg);
}

/*
 * Extends all timeouts by the length of a pause of this process: the others may
 * have answered meanwhile.
 */
static void
extend_timeouts_by_pause(struct mb *mb)
{
	int64_t gap_us = mb->now_us - mb->last_tick_us;

	mb->last_tick_us = mb->now_us;
	if (gap_us <= member_option_us(mb->options.jump_ms, JUMP_MS) ||
	    mb->options.unsafe_skip_pause)
		return;
	/* A join fetches the records missed; they may clear suspects. */
	mb->join_due_us = mb->now_us;
	member_extend_probes(mb, gap_us);
	for (uint32_t i = 0; i < mb->count; i++) {
		if (mb->members[i].suspect_until_us != 0)
			mb->members[i].suspect_until_us += gap_us;
	}
	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++)
		mb->data_centres[i].heard_us += gap_us;
}

static void
finish_leave(struct mb *mb)
{
	struct mb_action done = {.kind = MB_LEAVE_DONE};

	if (mb->leave_done_us == 0 || mb->left ||
	    mb->now_us < mb->leave_done_us)
		return;
	mb->left = true;
	member_emit(mb, &done);
}

/* Runs the timers: join, probes, suspicions, roles, summary and leave. */
void
mb_tick(struct mb *mb, int64_t now_us)
{
	mb->now_us = now_us;
	extend_timeouts_by_pause(mb);
	send_join(mb);
	member_probe_tick(mb);
	if (now_us >= mb->probe_due_us) {
		mb->probe_due_us =
		    now_us + member_option_us(mb->options.period_ms, PERIOD_MS);
		member_probe_next(mb);
	}
	member_expire_suspects(mb);
	member_role_tick(mb);
	member_summary_tick(mb);
	finish_leave(mb);
}

/* Returns the time of the next due tick. */
int64_t
member_due_us(const struct mb *mb)
{
	return mb->probe_due_us < mb->summary_due_us ? mb->probe_due_us
						     : mb->summary_due_us;
}

/* Answers a join with the records of all known members. */
static void
send_records(struct mb *mb, uint32_t to)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_RECORDS};

	for (uint32_t i = 0; i < mb->count; i++) {
		msg.records[msg.record_count++] = mb->members[i].record;
		if (msg.record_count == MEMBER_RECORDS_BATCH) {
			member_send(mb, to, &msg);
			msg.record_count = 0;
		}
	}
	member_send(mb, to, &msg);
}

static bool
is_within_data_centre(const struct mb_msg *msg)
{
	return msg->kind == MEMBER_MSG_PING || msg->kind == MEMBER_MSG_ACK ||
	       msg->kind == MEMBER_MSG_PING_REQ ||
	       msg->kind == MEMBER_MSG_JOIN ||
	       msg->kind == MEMBER_MSG_RECORDS || msg->kind == MEMBER_MSG_SPARE;
}

/* Handles a message of another instance. */
void
mb_message(
    struct mb *mb, int64_t now_us, uint32_t from, const struct mb_msg *msg)
{
	mb->now_us = now_us;
	if (is_within_data_centre(msg))
		member_merge_record(mb, &msg->self);
	for (uint32_t i = 0; i < msg->record_count; i++)
		member_merge_record(mb, &msg->records[i]);
	for (uint32_t i = 0; i < msg->item_count; i++)
		member_receive_item(mb, &msg->items[i], msg);
	switch (msg->kind) {
	case MEMBER_MSG_JOIN:
		send_records(mb, from);
		break;
	case MEMBER_MSG_PING:
	case MEMBER_MSG_ACK:
	case MEMBER_MSG_PING_REQ:
		member_probe_receive(mb, from, msg);
		break;
	case MEMBER_MSG_SPARE:
	case MEMBER_MSG_SUMMARY:
		member_summary_receive(mb, from, msg);
		break;
	case MEMBER_MSG_LEASE_REQUEST:
	case MEMBER_MSG_LEASE_ANSWER:
	case MEMBER_MSG_LEASE_RELEASE:
		member_role_receive(mb, from, msg);
		break;
	case MEMBER_MSG_RECORDS:
	case MEMBER_MSG_ITEMS:
		break;
	}
}

/* Leaves gracefully: releases the roles and informs the others. */
void
mb_leave(struct mb *mb, int64_t now_us)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_PING};

	mb->now_us = now_us;
	if (mb->leave_done_us != 0)
		return;
	member_role_release(mb);
	mb->self.state = MEMBER_LEFT;
	mb->self.version++;
	mb->leave_done_us = now_us + member_option_us(0, MEMBER_LEAVE_MS);
	for (uint32_t i = 0; i < mb->count; i++) {
		if (mb->members[i].record.state == MB_ALIVE)
			member_send(mb, mb->members[i].record.instance, &msg);
	}
}

/* Copies up to max records, its own first; returns their number. */
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

/* Returns whether an instance of this data centre is alive or a suspect. */
bool
member_is_alive(const struct mb *mb, uint32_t instance)
{
	const struct member_entry *m = member_find((struct mb *)mb, instance);

	if (instance == mb->self.instance)
		return mb->self.state == MB_ALIVE;
	return m != NULL &&
	       (m->record.state == MB_ALIVE || m->record.state == MB_SUSPECT);
}
