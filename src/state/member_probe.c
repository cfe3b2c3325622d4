#include "state/member_i.h"

#include <string.h>

/* Probes: one random member a period, helpers before suspicion. */

enum {
	ACK_MS = 300,
	PERIOD_MS = 1000,
	SUSPECTS_ASKED = 4
};

static struct mb_probe *
new_probe(struct membership *membership, uint32_t target)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		struct mb_probe *p = &membership->probes[i];

		if (p->number != 0)
			continue;
		memset(p, 0, sizeof(*p));
		p->number = ++membership->probe_number;
		p->target = target;
		p->helpers_us = membership->now_us +
				mb_ms(membership->options.ack_ms, ACK_MS);
		p->failed_us = membership->now_us +
			       mb_ms(membership->options.period_ms, PERIOD_MS);
		return p;
	}
	return NULL;
}

static void
ping(struct membership *membership, struct mb_probe *probe)
{
	struct member_msg msg = {.kind = MB_MSG_PING,
	    .probe = probe->number,
	    .target = probe->asked_for};

	mb_send(membership, probe->target, &msg);
}

static bool
can_probe(const struct mb_member *m)
{
	return m->record.state == MEMBER_ALIVE ||
	       m->record.state == MEMBER_SUSPECT;
}

/* Shuffles the members, so that each is probed once in a round. */
static void
shuffle(struct membership *membership)
{
	for (uint32_t i = membership->count; i > 1; i--) {
		uint32_t j = rng_below(&membership->rng, i);
		struct mb_member swap = membership->members[j];

		membership->members[j] = membership->members[i - 1];
		membership->members[i - 1] = swap;
	}
}

/* Suspects are asked each period: an answer carries their objection. */
static void
ask_suspects(struct membership *membership)
{
	struct member_msg msg = {.kind = MB_MSG_PING, .probe = UINT32_MAX};
	uint32_t asked = 0;

	for (uint32_t i = 0; i < membership->count && asked < SUSPECTS_ASKED;
	     i++) {
		if (membership->members[i].record.state != MEMBER_SUSPECT)
			continue;
		msg.record_count = 0;
		msg.item_count = 0;
		msg.records[msg.record_count++] = membership->members[i].record;
		mb_send(
		    membership, membership->members[i].record.instance, &msg);
		asked++;
	}
}

/* Probes the next member of the round. */
void
mb_probe_next(struct membership *membership)
{
	struct mb_probe *probe;

	ask_suspects(membership);

	for (uint32_t tried = 0; tried < membership->count; tried++) {
		struct mb_member *m;

		if (membership->order >= membership->count) {
			shuffle(membership);
			membership->order = 0;
		}
		m = &membership->members[membership->order++];
		if (!can_probe(m))
			continue;
		probe = new_probe(membership, m->record.instance);
		if (probe != NULL)
			ping(membership, probe);
		return;
	}
}

static void
ask_helpers(struct membership *membership, const struct mb_probe *probe)
{
	struct member_msg msg = {.kind = MB_MSG_PING_REQ,
	    .probe = probe->number,
	    .target = probe->target};
	uint32_t asked = 0;
	uint32_t first;

	if (membership->count == 0 || membership->options.unsafe_skip_helpers)
		return;
	first = rng_below(&membership->rng, membership->count);
	for (uint32_t i = 0; i < membership->count && asked < MB_HELPERS; i++) {
		const struct mb_member *m =
		    &membership->members[(first + i) % membership->count];

		if (m->record.state != MEMBER_ALIVE ||
		    m->record.instance == probe->target)
			continue;
		mb_send(membership, m->record.instance, &msg);
		asked++;
	}
}

/* Follows up the probes that were not answered. */
void
mb_probe_tick(struct membership *membership)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		struct mb_probe *p = &membership->probes[i];

		if (p->number == 0)
			continue;
		if (p->asked_for == 0 && p->helpers_us != 0 &&
		    membership->now_us >= p->helpers_us) {
			p->helpers_us = 0;
			ask_helpers(membership, p);
		}
		if (membership->now_us < p->failed_us)
			continue;
		if (p->asked_for == 0)
			mb_suspect(membership, p->target);
		p->number = 0;
	}
}

/* After an own pause every probe gets as much longer. */
void
mb_shift_probes(struct membership *membership, int64_t gap_us)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		if (membership->probes[i].helpers_us != 0)
			membership->probes[i].helpers_us += gap_us;
		membership->probes[i].failed_us += gap_us;
	}
}

static void
help(struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	struct mb_probe *probe = new_probe(membership, msg->target);

	if (probe == NULL)
		return;
	probe->asked_for = from;
	probe->asked_number = msg->probe;
	ping(membership, probe);
}

static void
take_ack(struct membership *membership, const struct member_msg *msg)
{
	for (int i = 0; i < MB_PROBES_MAX; i++) {
		struct mb_probe *p = &membership->probes[i];
		struct member_msg ack = {.kind = MB_MSG_ACK};

		if (p->number == 0 || p->number != msg->probe)
			continue;
		ack.probe = p->asked_number;
		p->number = 0;
		if (p->asked_for != 0)
			mb_send(membership, p->asked_for, &ack);
	}
}

/* Takes a probe, its answer, or the wish for a helper. */
void
mb_probe_message(
    struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	struct member_msg ack = {.kind = MB_MSG_ACK, .probe = msg->probe};

	if (msg->kind == MB_MSG_PING_REQ)
		help(membership, from, msg);
	else if (msg->kind == MB_MSG_ACK)
		take_ack(membership, msg);
	else if (msg->probe != 0)
		mb_send(membership, from, &ack);
}
