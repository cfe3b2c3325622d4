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
new_probe(struct mb *mb, uint32_t target)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *p = &mb->probes[i];

		if (p->number != 0)
			continue;
		memset(p, 0, sizeof(*p));
		p->number = ++mb->probe_number;
		p->target = target;
		p->helpers_due_us =
		    mb->now_us + member_option_us(mb->options.ack_ms, ACK_MS);
		p->timeout_us =
		    mb->now_us +
		    member_option_us(mb->options.period_ms, PERIOD_MS);
		return p;
	}
	return NULL;
}

static void
send_ping(struct mb *mb, struct member_probe *probe)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_PING,
	    .probe = probe->number,
	    .target = probe->requester};

	member_send(mb, probe->target, &msg);
}

static bool
can_probe(const struct member_entry *m)
{
	return m->record.state == MB_ALIVE || m->record.state == MB_SUSPECT;
}

/* Shuffles the members before a round in which each is probed once. */
static void
shuffle_members(struct mb *mb)
{
	for (uint32_t i = mb->count; i > 1; i--) {
		uint32_t j = rng_below(&mb->rng, i);
		struct member_entry swap = mb->members[j];

		mb->members[j] = mb->members[i - 1];
		mb->members[i - 1] = swap;
	}
}

/* Pings suspects every period, so that their answer can refute it. */
static void
ping_suspects(struct mb *mb)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_PING, .probe = UINT32_MAX};
	uint32_t asked = 0;

	for (uint32_t i = 0; i < mb->count && asked < SUSPECTS_ASKED; i++) {
		if (mb->members[i].record.state != MB_SUSPECT)
			continue;
		msg.record_count = 0;
		msg.item_count = 0;
		msg.records[msg.record_count++] = mb->members[i].record;
		member_send(mb, mb->members[i].record.instance, &msg);
		asked++;
	}
}

/* Probes the next member of the round. */
void
member_probe_next(struct mb *mb)
{
	struct member_probe *probe;

	ping_suspects(mb);

	for (uint32_t tried = 0; tried < mb->count; tried++) {
		struct member_entry *m;

		if (mb->next_probe_index >= mb->count) {
			shuffle_members(mb);
			mb->next_probe_index = 0;
		}
		m = &mb->members[mb->next_probe_index++];
		if (!can_probe(m))
			continue;
		probe = new_probe(mb, m->record.instance);
		if (probe != NULL)
			send_ping(mb, probe);
		return;
	}
}

static void
ask_helpers(struct mb *mb, const struct member_probe *probe)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_PING_REQ,
	    .probe = probe->number,
	    .target = probe->target};
	uint32_t asked = 0;
	uint32_t first;

	if (mb->count == 0 || mb->options.unsafe_skip_helpers)
		return;
	first = rng_below(&mb->rng, mb->count);
	for (uint32_t i = 0; i < mb->count && asked < MEMBER_HELPERS; i++) {
		const struct member_entry *m =
		    &mb->members[(first + i) % mb->count];

		if (m->record.state != MB_ALIVE ||
		    m->record.instance == probe->target)
			continue;
		member_send(mb, m->record.instance, &msg);
		asked++;
	}
}

/* Handles unanswered probes: asks helpers, then suspects the target. */
void
member_probe_tick(struct mb *mb)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *p = &mb->probes[i];

		if (p->number == 0)
			continue;
		if (p->requester == 0 && p->helpers_due_us != 0 &&
		    mb->now_us >= p->helpers_due_us) {
			p->helpers_due_us = 0;
			ask_helpers(mb, p);
		}
		if (mb->now_us < p->timeout_us)
			continue;
		if (p->requester == 0)
			member_suspect(mb, p->target);
		p->number = 0;
	}
}

/* Extends all probes by the length of a pause of this process. */
void
member_extend_probes(struct mb *mb, int64_t gap_us)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		if (mb->probes[i].helpers_due_us != 0)
			mb->probes[i].helpers_due_us += gap_us;
		mb->probes[i].timeout_us += gap_us;
	}
}

static void
probe_for_requester(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	struct member_probe *probe = new_probe(mb, msg->target);

	if (probe == NULL)
		return;
	probe->requester = from;
	probe->requester_number = msg->probe;
	send_ping(mb, probe);
}

static void
handle_ack(struct mb *mb, const struct mb_msg *msg)
{
	for (int i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *p = &mb->probes[i];
		struct mb_msg ack = {.kind = MEMBER_MSG_ACK};

		if (p->number == 0 || p->number != msg->probe)
			continue;
		ack.probe = p->requester_number;
		p->number = 0;
		if (p->requester != 0)
			member_send(mb, p->requester, &ack);
	}
}

/* Handles a probe, the answer to one, or a request to help. */
void
member_probe_receive(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	struct mb_msg ack = {.kind = MEMBER_MSG_ACK, .probe = msg->probe};

	if (msg->kind == MEMBER_MSG_PING_REQ)
		probe_for_requester(mb, from, msg);
	else if (msg->kind == MEMBER_MSG_ACK)
		handle_ack(mb, msg);
	else if (msg->probe != 0)
		member_send(mb, from, &ack);
}
