#include "state/member_i.h"

#include <string.h>

/* Probes: one random member a period, helpers before suspicion. */

enum {
	ACK_MS = 300,
	PERIOD_MS = 1000,
	SUSPECTS_ASKED = 4
};

static struct mb_probe *
new_probe(struct mb *mb, uint32_t target)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		struct mb_probe *p = &mb->probes[i];

		if (p->number != 0)
			continue;
		memset(p, 0, sizeof(*p));
		p->number = ++mb->probe_number;
		p->target = target;
		p->helpers_us = mb->now_us + mb_ms(mb->options.ack_ms, ACK_MS);
		p->failed_us =
		    mb->now_us + mb_ms(mb->options.period_ms, PERIOD_MS);
		return p;
	}
	return NULL;
}

static void
ping(struct mb *mb, struct mb_probe *probe)
{
	struct mb_msg msg = {.kind = MB_MSG_PING,
	    .probe = probe->number,
	    .target = probe->asked_for};

	mb_send(mb, probe->target, &msg);
}

static bool
can_probe(const struct mb_member *m)
{
	return m->record.state == MB_ALIVE || m->record.state == MB_SUSPECT;
}

/* Shuffles the members, so that each is probed once in a round. */
static void
shuffle(struct mb *mb)
{
	for (uint32_t i = mb->count; i > 1; i--) {
		uint32_t j = rng_below(&mb->rng, i);
		struct mb_member swap = mb->members[j];

		mb->members[j] = mb->members[i - 1];
		mb->members[i - 1] = swap;
	}
}

/* Suspects are asked each period: an answer carries their objection. */
static void
ask_suspects(struct mb *mb)
{
	struct mb_msg msg = {.kind = MB_MSG_PING, .probe = UINT32_MAX};
	uint32_t asked = 0;

	for (uint32_t i = 0; i < mb->count && asked < SUSPECTS_ASKED; i++) {
		if (mb->members[i].record.state != MB_SUSPECT)
			continue;
		msg.record_count = 0;
		msg.item_count = 0;
		msg.records[msg.record_count++] = mb->members[i].record;
		mb_send(mb, mb->members[i].record.instance, &msg);
		asked++;
	}
}

/* Probes the next member of the round. */
void
mb_probe_next(struct mb *mb)
{
	struct mb_probe *probe;

	ask_suspects(mb);

	for (uint32_t tried = 0; tried < mb->count; tried++) {
		struct mb_member *m;

		if (mb->order >= mb->count) {
			shuffle(mb);
			mb->order = 0;
		}
		m = &mb->members[mb->order++];
		if (!can_probe(m))
			continue;
		probe = new_probe(mb, m->record.instance);
		if (probe != NULL)
			ping(mb, probe);
		return;
	}
}

static void
ask_helpers(struct mb *mb, const struct mb_probe *probe)
{
	struct mb_msg msg = {.kind = MB_MSG_PING_REQ,
	    .probe = probe->number,
	    .target = probe->target};
	uint32_t asked = 0;
	uint32_t first;

	if (mb->count == 0 || mb->options.unsafe_skip_helpers)
		return;
	first = rng_below(&mb->rng, mb->count);
	for (uint32_t i = 0; i < mb->count && asked < MB_HELPERS; i++) {
		const struct mb_member *m =
		    &mb->members[(first + i) % mb->count];

		if (m->record.state != MB_ALIVE ||
		    m->record.instance == probe->target)
			continue;
		mb_send(mb, m->record.instance, &msg);
		asked++;
	}
}

/* Follows up the probes that were not answered. */
void
mb_probe_tick(struct mb *mb)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		struct mb_probe *p = &mb->probes[i];

		if (p->number == 0)
			continue;
		if (p->asked_for == 0 && p->helpers_us != 0 &&
		    mb->now_us >= p->helpers_us) {
			p->helpers_us = 0;
			ask_helpers(mb, p);
		}
		if (mb->now_us < p->failed_us)
			continue;
		if (p->asked_for == 0)
			mb_suspect(mb, p->target);
		p->number = 0;
	}
}

/* After an own pause every probe gets as much longer. */
void
mb_shift_probes(struct mb *mb, int64_t gap_us)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		if (mb->probes[i].helpers_us != 0)
			mb->probes[i].helpers_us += gap_us;
		mb->probes[i].failed_us += gap_us;
	}
}

static void
help(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	struct mb_probe *probe = new_probe(mb, msg->target);

	if (probe == NULL)
		return;
	probe->asked_for = from;
	probe->asked_number = msg->probe;
	ping(mb, probe);
}

static void
take_ack(struct mb *mb, const struct mb_msg *msg)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		struct mb_probe *p = &mb->probes[i];
		struct mb_msg ack = {.kind = MB_MSG_ACK};

		if (p->number == 0 || p->number != msg->probe)
			continue;
		ack.probe = p->asked_number;
		p->number = 0;
		if (p->asked_for != 0)
			mb_send(mb, p->asked_for, &ack);
	}
}

/* Takes a probe, its answer, or the wish for a helper. */
void
mb_probe_message(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	struct mb_msg ack = {.kind = MB_MSG_ACK, .probe = msg->probe};

	if (msg->kind == MB_MSG_PING_REQ)
		help(mb, from, msg);
	else if (msg->kind == MB_MSG_ACK)
		take_ack(mb, msg);
	else if (msg->probe != 0)
		mb_send(mb, from, &ack);
}
