#include "state/member_i.h"

#include <string.h>

/*
 * Probes: one random member per period; if it does not answer, helpers probe it
 * before it becomes a suspect.
 */

enum {
	ACK_MS = 300,
	PERIOD_MS = 1000,
	SUSPECTS_ASKED = 4 /* per period */
};

static struct member_probe *
new_probe(struct membership *membership, uint32_t target)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *p = &membership->probes[i];

		if (p->number != 0)
			continue;
		memset(p, 0, sizeof(*p));
		p->number = ++membership->probe_number;
		p->target = target;
		p->helpers_due_us =
		    membership->now_us +
		    member_option_us(membership->options.ack_ms, ACK_MS);
		p->timeout_us =
		    membership->now_us +
		    member_option_us(membership->options.period_ms, PERIOD_MS);
		return p;
	}
	return NULL;
}

static void
send_ping(struct membership *membership, struct member_probe *probe)
{
	struct member_msg msg = {.kind = MEMBER_MSG_PING,
	    .probe = probe->number,
	    .target = probe->requester};

	member_send(membership, probe->target, &msg);
}

static bool
can_probe(const struct member_entry *m)
{
	return m->record.state == MEMBER_ALIVE ||
	       m->record.state == MEMBER_SUSPECT;
}

/* Shuffles the members before a round in which each is probed once. */
static void
shuffle_members(struct membership *membership)
{
	for (uint32_t i = membership->count; i > 1; i--) {
		uint32_t j = rng_below(&membership->rng, i);
		struct member_entry swap = membership->members[j];

		membership->members[j] = membership->members[i - 1];
		membership->members[i - 1] = swap;
	}
}

/* Pings suspects every period, so that their answer can refute it. */
static void
ping_suspects(struct membership *membership)
{
	struct member_msg msg = {.kind = MEMBER_MSG_PING, .probe = UINT32_MAX};
	uint32_t asked = 0;

	for (uint32_t i = 0; i < membership->count && asked < SUSPECTS_ASKED;
	     i++) {
		if (membership->members[i].record.state != MEMBER_SUSPECT)
			continue;
		msg.record_count = 0;
		msg.item_count = 0;
		msg.records[msg.record_count++] = membership->members[i].record;
		member_send(
		    membership, membership->members[i].record.instance, &msg);
		asked++;
	}
}

/* Probes the next member of the round. */
void
member_probe_next(struct membership *membership)
{
	struct member_probe *probe;

	ping_suspects(membership);

	for (uint32_t tried = 0; tried < membership->count; tried++) {
		struct member_entry *m;

		if (membership->next_probe_index >= membership->count) {
			shuffle_members(membership);
			membership->next_probe_index = 0;
		}
		m = &membership->members[membership->next_probe_index++];
		if (!can_probe(m))
			continue;
		probe = new_probe(membership, m->record.instance);
		if (probe != NULL)
			send_ping(membership, probe);
		return;
	}
}

static void
ask_helpers(struct membership *membership, const struct member_probe *probe)
{
	struct member_msg msg = {.kind = MEMBER_MSG_PING_REQ,
	    .probe = probe->number,
	    .target = probe->target};
	uint32_t asked = 0;
	uint32_t first;

	if (membership->count == 0 || membership->options.unsafe_skip_helpers)
		return;
	first = rng_below(&membership->rng, membership->count);
	for (uint32_t i = 0; i < membership->count && asked < MEMBER_HELPERS;
	     i++) {
		const struct member_entry *m =
		    &membership->members[(first + i) % membership->count];

		if (m->record.state != MEMBER_ALIVE ||
		    m->record.instance == probe->target)
			continue;
		member_send(membership, m->record.instance, &msg);
		asked++;
	}
}

/* Handles unanswered probes: asks helpers, then suspects the target. */
void
member_probe_tick(struct membership *membership)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *p = &membership->probes[i];

		if (p->number == 0)
			continue;
		if (p->requester == 0 && p->helpers_due_us != 0 &&
		    membership->now_us >= p->helpers_due_us) {
			p->helpers_due_us = 0;
			ask_helpers(membership, p);
		}
		if (membership->now_us < p->timeout_us)
			continue;
		if (p->requester == 0)
			member_suspect(membership, p->target);
		p->number = 0;
	}
}

/* Extends all probes by the length of a pause of this process. */
void
member_extend_probes(struct membership *membership, int64_t gap_us)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		if (membership->probes[i].helpers_due_us != 0)
			membership->probes[i].helpers_due_us += gap_us;
		membership->probes[i].timeout_us += gap_us;
	}
}

static void
probe_for_requester(
    struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	struct member_probe *probe = new_probe(membership, msg->target);

	if (probe == NULL)
		return;
	probe->requester = from;
	probe->requester_number = msg->probe;
	send_ping(membership, probe);
}

static void
handle_ack(struct membership *membership, const struct member_msg *msg)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *p = &membership->probes[i];
		struct member_msg ack = {.kind = MEMBER_MSG_ACK};

		if (p->number == 0 || p->number != msg->probe)
			continue;
		ack.probe = p->requester_number;
		p->number = 0;
		if (p->requester != 0)
			member_send(membership, p->requester, &ack);
	}
}

/* Handles a probe, the answer to one, or a request to help. */
void
member_probe_receive(
    struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	struct member_msg ack = {.kind = MEMBER_MSG_ACK, .probe = msg->probe};

	if (msg->kind == MEMBER_MSG_PING_REQ)
		probe_for_requester(membership, from, msg);
	else if (msg->kind == MEMBER_MSG_ACK)
		handle_ack(membership, msg);
	else if (msg->probe != 0)
		member_send(membership, from, &ack);
}
