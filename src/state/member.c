#include "state/member_core.h"

#include <string.h>

enum {
	PERIOD_MS = 1500,
	ACK_MS = 300,
	SUSPECT_MS = 3000,
	JUMP_MS = 1000,
	SILENT_MS = 30000,
	SUMMARY_MS = 2000,
	HELPERS = 3,
	SYNC_PERIODS = 30, /* between two looks at lost or unknown members */
	SENDS_FACTOR = 3, /* times the logarithm of the members */
	LEASE_MS = 9000, /* of a role */
	LEAVE_MS = 2000,
	LEAVE_ACKS = 3
};

static uint32_t
or_default(uint32_t value, uint32_t fallback)
{
	return value != 0 ? value : fallback;
}

/* Creates the membership of an instance that starts now. */
struct mb *
mb_new(const struct mb_options *options, int64_t now_us)
{
	const struct alloc *alloc;
	struct mb *mb;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	mb = alloc_zero(alloc, 1, sizeof(*mb));
	mb->options = *options;
	mb->options.alloc = alloc;
	mb->options.period_ms = or_default(options->period_ms, PERIOD_MS);
	mb->options.ack_ms = or_default(options->ack_ms, ACK_MS);
	mb->options.suspect_ms = or_default(options->suspect_ms, SUSPECT_MS);
	mb->options.jump_ms = or_default(options->jump_ms, JUMP_MS);
	mb->options.silent_ms = or_default(options->silent_ms, SILENT_MS);
	mb->options.summary_ms = or_default(options->summary_ms, SUMMARY_MS);
	mb->options.lease.lease_ms =
	    or_default(options->lease.lease_ms, LEASE_MS);
	rng_init(&mb->rng, options->seed);
	mb->self.instance = options->instance;
	mb->self.incarnation = options->incarnation;
	mb->self.state = MB_ALIVE;
	mb->seen_us = now_us;
	mb->probed_us =
	    now_us - rng_below(&mb->rng, mb->options.period_ms) * (int64_t)1000;
	mb_role_init(mb, now_us);
	return mb;
}

void
mb_free(struct mb *mb)
{
	if (mb != NULL)
		alloc_free(mb->options.alloc, mb);
}

/* Names an instance of the own data centre to begin with. */
void
mb_seed_member(struct mb *mb, uint32_t instance)
{
	if (mb->seed_count < MB_SEEDS_MAX && instance != mb->self.instance)
		mb->seeds[mb->seed_count++] = instance;
}

struct mb_peer *
mb_peer_find(const struct mb *mb, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < mb->peer_count; i++)
		if (mb->peers[i].record.instance == instance)
			return (struct mb_peer *)&mb->peers[i];
	return NULL;
}

/* Sends a message with the own record. */
void
mb_send(struct mb *mb, uint32_t to, struct mb_msg *msg)
{
	struct mb_action action = {0};

	msg->self = mb->self;
	action.kind = MB_SEND;
	action.to = to;
	action.msg = msg;
	mb->options.emit(mb->options.ctx, &action);
}

void
mb_emit_record(
    struct mb *mb, enum mb_action_kind kind, const struct mb_record *record)
{
	struct mb_action action = {0};

	action.kind = kind;
	action.record = record;
	mb->options.emit(mb->options.ctx, &action);
}

/* How often a new fact is passed on, so that it reaches all members. */
uint32_t
mb_sends(const struct mb *mb)
{
	uint32_t log2, n;

	log2 = 1;
	for (n = mb->peer_count + 1; n > 1; n /= 2)
		log2++;
	return SENDS_FACTOR * log2;
}

/* The own record is new: the others have to hear it. */
void
mb_self_changed(struct mb *mb)
{
	mb->self.version++;
}

/* Adds facts to a probe or its answer. */
static void
fill(struct mb *mb, struct mb_msg *msg)
{
	mb_record_fill(mb, msg);
	mb_item_fill(mb, msg);
}

static void
send_kind(struct mb *mb, uint32_t to, enum mb_msg_kind kind, uint32_t probe,
    uint32_t target)
{
	struct mb_msg msg = {0};

	msg.kind = kind;
	msg.probe = probe;
	msg.target = target;
	if (kind == MB_MSG_PING || kind == MB_MSG_ACK)
		fill(mb, &msg);
	mb_send(mb, to, &msg);
}

/* Answers a newcomer with all records, in several messages. */
static void
tell_all(struct mb *mb, uint32_t to)
{
	struct mb_msg msg = {0};
	uint32_t i;

	msg.kind = MB_MSG_RECORDS;
	for (i = 0; i < mb->peer_count; i++) {
		if (mb->peers[i].record.instance == to)
			continue;
		msg.records[msg.record_count++] = mb->peers[i].record;
		if (msg.record_count == MB_RECORDS_BATCH) {
			mb_send(mb, to, &msg);
			memset(&msg, 0, sizeof(msg));
			msg.kind = MB_MSG_RECORDS;
		}
	}
	mb_send(mb, to, &msg);
}

/* What is believed of a sender comes back to it if it has to object. */
static void
tell_sender(struct mb *mb, uint32_t from, struct mb_msg *msg)
{
	const struct mb_peer *peer;

	peer = mb_peer_find(mb, from);
	if (peer != NULL && peer->record.state != MB_ALIVE &&
	    msg->record_count < MB_RECORDS_BATCH)
		msg->records[msg->record_count++] = peer->record;
}

static void
answer_ping(struct mb *mb, uint32_t from, const struct mb_msg *ping)
{
	struct mb_msg msg = {0};

	msg.kind = MB_MSG_ACK;
	msg.probe = ping->probe;
	msg.target = ping->target;
	tell_sender(mb, from, &msg);
	fill(mb, &msg);
	mb_send(mb, from, &msg);
}

/* An ACK, of the own probe or of one on behalf of another (its target). */
static void
take_ack(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	if (msg->target != 0 && msg->target != mb->self.instance) {
		send_kind(mb, msg->target, MB_MSG_ACK, msg->probe, 0);
		return;
	}
	if (msg->probe == mb->probe)
		mb->acked = true;
	if (mb->leaving)
		mb->leave_acks++;
}

static bool
same_data_centre(const struct mb *mb, const struct mb_msg *msg)
{
	return msg->kind != MB_MSG_SUMMARY &&
	       (msg->kind != MB_MSG_ITEMS ||
		   mb_peer_find(mb, msg->self.instance) != NULL) &&
	       msg->kind < MB_MSG_LEASE_ASK;
}

static void
take_facts(struct mb *mb, int64_t now_us, const struct mb_msg *msg)
{
	uint32_t i;

	if (same_data_centre(mb, msg))
		mb_record_apply(mb, now_us, &msg->self, true);
	for (i = 0; i < msg->record_count; i++)
		mb_record_apply(mb, now_us, &msg->records[i], false);
	for (i = 0; i < msg->item_count; i++) {
		mb_item_take(mb, &msg->items[i],
		    msg->kind == MB_MSG_ITEMS &&
			msg->target == mb->self.instance);
		mb_relay_item(mb, now_us, &msg->items[i]);
	}
}

/* Takes a message of another instance. */
void
mb_message(
    struct mb *mb, int64_t now_us, uint32_t from, const struct mb_msg *msg)
{
	take_facts(mb, now_us, msg);
	switch (msg->kind) {
	case MB_MSG_PING:
		answer_ping(mb, from, msg);
		break;
	case MB_MSG_ACK:
		take_ack(mb, from, msg);
		break;
	case MB_MSG_PING_REQ:
		/* The target answers this instance, which passes it on. */
		send_kind(mb, msg->target, MB_MSG_PING, msg->probe, from);
		break;
	case MB_MSG_JOIN:
		tell_all(mb, from);
		break;
	case MB_MSG_SPARE:
	case MB_MSG_SUMMARY:
		mb_relay_message(mb, now_us, from, msg);
		break;
	case MB_MSG_LEASE_ASK:
	case MB_MSG_LEASE_ANSWER:
	case MB_MSG_LEASE_RELEASE:
		mb_role_message(mb, now_us, from, msg);
		break;
	default:
		break;
	}
}

/* The next member to probe: all in turn, in an order that changes. */
static struct mb_peer *
next_member(struct mb *mb)
{
	struct mb_peer swap;
	uint32_t i, j, tried;

	for (tried = 0; tried < mb->peer_count; tried++) {
		if (mb->turn >= mb->peer_count) {
			mb->turn = 0;
			for (i = mb->peer_count - 1; i > 0; i--) {
				j = rng_below(&mb->rng, i + 1);
				swap = mb->peers[i];
				mb->peers[i] = mb->peers[j];
				mb->peers[j] = swap;
			}
		}
		i = mb->turn++;
		if (mb_up(&mb->peers[i].record))
			return &mb->peers[i];
	}
	return NULL;
}

static void
ask_helpers(struct mb *mb)
{
	const struct mb_peer *peer;
	uint32_t i, at, asked;

	mb->helped = true;
	if (mb->peer_count == 0)
		return;
	asked = 0;
	at = rng_below(&mb->rng, mb->peer_count);
	for (i = 0; i < mb->peer_count && asked < HELPERS; i++) {
		peer = &mb->peers[(at + i) % mb->peer_count];
		if (peer->record.state != MB_ALIVE ||
		    peer->record.instance == mb->target)
			continue;
		send_kind(mb, peer->record.instance, MB_MSG_PING_REQ, mb->probe,
		    mb->target);
		asked++;
	}
}

/* Looks for members that are not known or were lost, now and then. */
static void
look_around(struct mb *mb)
{
	uint32_t i;

	if (mb->peer_count == 0) {
		for (i = 0; i < mb->seed_count; i++)
			send_kind(mb, mb->seeds[i], MB_MSG_JOIN, 0, 0);
		return;
	}
	if (++mb->periods % SYNC_PERIODS != 0)
		return;
	i = rng_below(&mb->rng, mb->peer_count);
	send_kind(mb, mb->peers[i].record.instance, MB_MSG_JOIN, 0, 0);
	if (mb->seed_count > 0) {
		i = rng_below(&mb->rng, mb->seed_count);
		send_kind(mb, mb->seeds[i], MB_MSG_JOIN, 0, 0);
	}
}

/* Ends the present probe and begins the next one. */
static void
next_probe(struct mb *mb, int64_t now_us)
{
	struct mb_peer *peer;

	peer = mb->target != 0 ? mb_peer_find(mb, mb->target) : NULL;
	if (peer != NULL && !mb->acked && !mb->leaving)
		mb_record_suspect(mb, now_us, peer);
	look_around(mb);
	peer = next_member(mb);
	mb->target = peer != NULL ? peer->record.instance : 0;
	mb->probed_us = now_us;
	mb->acked = false;
	mb->helped = mb->options.unsafe_skip_helpers;
	mb->probe++;
	if (peer != NULL)
		send_kind(mb, mb->target, MB_MSG_PING, mb->probe, 0);
}

/*
 * The process was paused: answers may have waited for it, so it judges nobody
 * by the time that it missed.
 */
static void
check_pause(struct mb *mb, int64_t now_us)
{
	int64_t gap_us;
	uint32_t i;

	gap_us = now_us - mb->seen_us;
	mb->seen_us = now_us;
	if (gap_us <= mb->options.jump_ms * (int64_t)1000 ||
	    mb->options.unsafe_skip_pause)
		return;
	for (i = 0; i < mb->peer_count; i++)
		mb->peers[i].suspected_us += gap_us;
	mb->target = 0;
	mb->probed_us = now_us;
	mb_relay_paused(mb, gap_us);
}

static void
leave_tick(struct mb *mb, int64_t now_us)
{
	struct mb_action action = {0};

	if (!mb->leaving || mb->left)
		return;
	if (mb->leave_acks < LEAVE_ACKS && mb->leave_acks < mb->peer_count &&
	    now_us - mb->leave_us < LEAVE_MS * (int64_t)1000)
		return;
	mb->left = true;
	action.kind = MB_LEAVE_DONE;
	mb->options.emit(mb->options.ctx, &action);
}

/* Moves time on. */
void
mb_tick(struct mb *mb, int64_t now_us)
{
	check_pause(mb, now_us);
	if (mb->target != 0 && !mb->acked && !mb->helped &&
	    now_us - mb->probed_us >= mb->options.ack_ms * (int64_t)1000)
		ask_helpers(mb);
	if (now_us - mb->probed_us >= mb->options.period_ms * (int64_t)1000)
		next_probe(mb, now_us);
	mb_record_tick(mb, now_us);
	mb_role_tick(mb, now_us);
	if (!mb->leaving)
		mb_relay_tick(mb, now_us);
	leave_tick(mb, now_us);
}

/* Returns when mb_tick() is due; it may come earlier. */
int64_t
mb_due_us(const struct mb *mb)
{
	int64_t step_us;

	step_us = mb->options.ack_ms * (int64_t)1000 / 2;
	return mb->seen_us + step_us;
}

/* Leaves gracefully: roles go back, the others are told at once. */
void
mb_leave(struct mb *mb, int64_t now_us)
{
	uint32_t i, told;

	if (mb->leaving)
		return;
	mb_role_release(mb);
	mb->leaving = true;
	mb->leave_us = now_us;
	mb->self.state = MB_LEFT;
	mb_self_changed(mb);
	told = 0;
	for (i = 0; i < mb->peer_count && told < 2 * LEAVE_ACKS; i++) {
		if (!mb_up(&mb->peers[i].record))
			continue;
		send_kind(mb, mb->peers[i].record.instance, MB_MSG_PING,
		    ++mb->probe, 0);
		told++;
	}
	if (told == 0)
		mb->leave_us = now_us - LEAVE_MS * (int64_t)1000;
}

/* Copies the members that are up, this instance first; returns how many. */
size_t
mb_members(const struct mb *mb, struct mb_record *records, size_t max)
{
	size_t count;
	uint32_t i;

	count = 0;
	if (count < max)
		records[count] = mb->self;
	count++;
	for (i = 0; i < mb->peer_count; i++) {
		if (!mb_up(&mb->peers[i].record))
			continue;
		if (count < max)
			records[count] = mb->peers[i].record;
		count++;
	}
	return count;
}

/* Whether a member of the data centre is up. */
bool
mb_alive(const struct mb *mb, uint32_t instance)
{
	const struct mb_peer *peer;

	if (instance == mb->self.instance)
		return !mb->leaving;
	peer = mb_peer_find(mb, instance);
	return peer != NULL && mb_up(&peer->record);
}
