#include "state/cfgsync_store.h"

#include <string.h>

enum {
	PERIOD_MS = 3000,
	LEASE_MS = 10000,
	REPORT_MS = 100, /* confirms are gathered so long */
	UPSTREAM_MAX = 9,
	SILENT_PERIODS = 10 /* then an instance below is forgotten */
};

/* An instance below a relay. */
struct cy_below {
	struct cy_confirm confirm;
	int64_t heard_us;
	uint64_t round; /* of the HAVE that last reported it */
	uint32_t acks; /* upstreams that know, as a bit mask */
};

struct cy_node {
	struct cy_options options;
	struct cy_store store;
	uint64_t in_force;
	uint64_t persisted;
	uint32_t upstream[UPSTREAM_MAX];
	uint32_t upstream_count;
	bool relay;
	uint64_t round;
	int64_t asked_us; /* when the HAVE of this round was sent */
	int64_t due_us;
	int64_t until_us; /* end of the lease; 0: none yet */
	bool isolated; /* as last told */
	struct buf incoming; /* whole document that is arriving */
	uint64_t incoming_revision;
	uint64_t incoming_total;
	uint32_t incoming_from;
	struct cy_below below[CY_NODES_MAX];
	uint32_t below_count;
};

struct cy_node *
cy_node_new(const struct cy_options *options)
{
	const struct alloc *alloc;
	struct cy_node *node;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	node = alloc_zero(alloc, 1, sizeof(*node));
	node->options = *options;
	node->options.alloc = alloc;
	if (options->period_ms == 0)
		node->options.period_ms = PERIOD_MS;
	if (options->lease_ms == 0)
		node->options.lease_ms = LEASE_MS;
	node->isolated = true;
	cy_store_init(&node->store, alloc);
	buf_init(&node->incoming, alloc);
	return node;
}

void
cy_node_free(struct cy_node *node)
{
	if (node == NULL)
		return;
	cy_store_free(&node->store);
	buf_free(&node->incoming);
	alloc_free(node->options.alloc, node);
}

static void
emit(struct cy_node *node, enum cy_action_kind kind)
{
	struct cy_action action = {0};

	action.kind = kind;
	action.revision = node->store.revision;
	action.document = &node->store.document;
	node->options.emit(node->options.ctx, &action);
}

static void
node_send(void *ctx, uint32_t to, struct cy_msg *msg)
{
	struct cy_action action = {0};
	struct cy_node *node;

	node = ctx;
	msg->instance = node->options.instance;
	msg->incarnation = node->options.incarnation;
	action.kind = CY_SEND;
	action.to = to;
	action.msg = msg;
	node->options.emit(node->options.ctx, &action);
}

/* The revision that this instance has confirmed: in force, and durable. */
static uint64_t
confirmed(const struct cy_node *node)
{
	if (node->options.disk && node->persisted < node->in_force)
		return node->persisted;
	return node->in_force;
}

/* Names where HAVE goes; the next one goes there at once. */
void
cy_node_upstream(
    struct cy_node *node, const uint32_t *instances, uint32_t count)
{
	uint32_t i;

	if (count > UPSTREAM_MAX)
		count = UPSTREAM_MAX;
	if (count == node->upstream_count &&
	    memcmp(node->upstream, instances, count * sizeof(*instances)) == 0)
		return;
	memcpy(node->upstream, instances, count * sizeof(*instances));
	node->upstream_count = count;
	for (i = 0; i < node->below_count; i++)
		node->below[i].acks = 0;
	node->due_us = 0;
}

/* Makes this instance the relay of its data centre, or no longer. */
void
cy_node_relay(struct cy_node *node, bool relay)
{
	if (!relay)
		node->below_count = 0;
	node->relay = relay;
}

/* Adds the confirmations that some upstream does not know yet. */
static void
add_confirms(struct cy_node *node, struct cy_msg *msg)
{
	uint32_t i, all;

	all = (1U << node->upstream_count) - 1;
	for (i = 0; i < node->below_count; i++) {
		if ((node->below[i].acks & all) == all ||
		    msg->confirm_count == CY_CONFIRMS_MAX)
			continue;
		node->below[i].round = node->round;
		msg->confirms[msg->confirm_count++] = node->below[i].confirm;
	}
}

static void
send_have(struct cy_node *node, int64_t now_us)
{
	struct cy_msg msg = {0};
	uint32_t i;

	node->round++;
	node->asked_us = now_us;
	node->due_us = now_us + node->options.period_ms * (int64_t)1000;
	msg.kind = CY_MSG_HAVE;
	msg.round = node->round;
	msg.revision = node->store.revision;
	msg.base = confirmed(node);
	if (node->relay)
		add_confirms(node, &msg);
	if (msg.confirm_count == CY_CONFIRMS_MAX)
		node->due_us = now_us + REPORT_MS * (int64_t)1000;
	for (i = 0; i < node->upstream_count; i++)
		node_send(node, node->upstream[i], &msg);
}

/* Sends the next HAVE soon, with what is gathered until then. */
static void
report_soon(struct cy_node *node, int64_t now_us)
{
	int64_t soon_us;

	soon_us = now_us + (node->relay ? REPORT_MS * (int64_t)1000 : 0);
	if (soon_us < node->due_us)
		node->due_us = soon_us;
}

/* A new revision is held: it is to come into force, and goes on below. */
static void
adopted(struct cy_node *node, uint64_t old)
{
	uint32_t i;

	emit(node, CY_IN_FORCE);
	if (node->options.disk)
		emit(node, CY_PERSIST);
	for (i = 0; node->relay && i < node->below_count; i++)
		cy_store_serve(&node->store, node->below[i].confirm.instance,
		    old, node_send, node);
}

/* Takes the durable copy of an earlier life. */
int
cy_node_restore(struct cy_node *node, uint64_t revision,
    const uint8_t *document, size_t len)
{
	if (revision <= node->store.revision)
		return ERR_STALE;
	cy_store_set(&node->store, revision, document, len);
	node->persisted = revision;
	emit(node, CY_IN_FORCE);
	return 0;
}

static void
take_delta(struct cy_node *node, uint32_t from, const struct cy_msg *msg)
{
	struct cy_msg want = {0};
	struct buf out;
	uint64_t old;
	int error;

	old = node->store.revision;
	if (!node->options.unsafe_any_revision &&
	    (msg->base != old || msg->revision <= old))
		return;
	buf_init(&out, node->options.alloc);
	error = 0;
	if (node->options.apply != NULL)
		error = node->options.apply(node->options.ctx,
		    &node->store.document, msg->data, msg->len, &out);
	else
		buf_add(&out, msg->data, msg->len);
	if (error == 0) {
		cy_store_set(&node->store, msg->revision, out.data, out.len);
		cy_store_add_delta(&node->store, msg->base, msg->revision,
		    msg->data, msg->len);
		adopted(node, old);
	} else {
		want.kind = CY_MSG_WANT;
		want.revision = msg->revision;
		node_send(node, from, &want);
	}
	buf_free(&out);
}

static void
want_more(struct cy_node *node)
{
	struct cy_msg want = {0};

	want.kind = CY_MSG_WANT;
	want.revision = node->incoming_revision;
	want.offset = node->incoming.len;
	node_send(node, node->incoming_from, &want);
}

/* Gathers a whole document, in order; a newer one starts anew. */
static void
take_chunk(struct cy_node *node, uint32_t from, const struct cy_msg *msg)
{
	uint64_t old;

	old = node->store.revision;
	if (msg->revision <= old && !node->options.unsafe_any_revision)
		return;
	if (msg->revision != node->incoming_revision || msg->offset == 0) {
		if (msg->revision < node->incoming_revision || msg->offset != 0)
			return;
		buf_clear(&node->incoming);
		node->incoming_revision = msg->revision;
	}
	if (msg->offset != node->incoming.len ||
	    msg->len > msg->total - msg->offset)
		return;
	buf_add(&node->incoming, msg->data, msg->len);
	node->incoming_from = from;
	node->incoming_total = msg->total;
	if (node->incoming.len < msg->total) {
		want_more(node);
		return;
	}
	cy_store_set(&node->store, msg->revision, node->incoming.data,
	    node->incoming.len);
	buf_clear(&node->incoming);
	node->incoming_revision = 0;
	adopted(node, old);
}

/*
 * An answer to the last HAVE.  The lease counts from when that was sent, so
 * it ends here before the one above does, whatever the answer's delay.
 */
static void
take_alive(struct cy_node *node, int64_t now_us, uint32_t from,
    const struct cy_msg *msg)
{
	int64_t base_us, until_us;
	uint32_t i, u;

	if (msg->round != node->round)
		return;
	for (u = 0; u < node->upstream_count; u++)
		if (node->upstream[u] == from)
			break;
	if (u == node->upstream_count)
		return;
	for (i = 0; i < node->below_count; i++)
		if (node->below[i].round == msg->round)
			node->below[i].acks |= 1U << u;
	if (msg->lease_ms == 0 || node->in_force < msg->revision)
		return;
	base_us =
	    node->options.unsafe_lease_from_answer ? now_us : node->asked_us;
	until_us = base_us + msg->lease_ms * (int64_t)1000;
	if (until_us > node->until_us)
		node->until_us = until_us;
	if (node->isolated && now_us < node->until_us) {
		node->isolated = false;
		emit(node, CY_REJOINED);
	}
}

static struct cy_below *
know_below(struct cy_node *node, uint32_t instance)
{
	struct cy_below *below;
	uint32_t i;

	for (i = 0; i < node->below_count; i++)
		if (node->below[i].confirm.instance == instance)
			return &node->below[i];
	if (node->below_count == CY_NODES_MAX)
		return NULL;
	below = &node->below[node->below_count++];
	memset(below, 0, sizeof(*below));
	below->confirm.instance = instance;
	return below;
}

static void
note_confirm(struct cy_node *node, int64_t now_us, const struct cy_msg *have)
{
	struct cy_below *below;

	below = know_below(node, have->instance);
	if (below == NULL)
		return;
	below->heard_us = now_us;
	if (below->confirm.incarnation == have->incarnation &&
	    below->confirm.revision == have->base)
		return;
	below->confirm.incarnation = have->incarnation;
	below->confirm.revision = have->base;
	below->acks = 0;
	below->round = 0;
	report_soon(node, now_us);
}

static void
answer_have(struct cy_node *node, int64_t now_us, uint32_t from,
    const struct cy_msg *have)
{
	struct cy_msg msg = {0};
	int64_t left_ms;

	left_ms = (node->until_us - now_us) / 1000;
	msg.kind = CY_MSG_ALIVE;
	msg.round = have->round;
	msg.revision = node->store.revision;
	if (left_ms > 0 && have->revision <= node->store.revision)
		msg.lease_ms = (uint32_t)left_ms;
	node_send(node, from, &msg);
}

/* As a relay: answers one below, and takes a newer revision from it. */
static void
take_have(struct cy_node *node, int64_t now_us, uint32_t from,
    const struct cy_msg *have)
{
	struct cy_msg want = {0};

	note_confirm(node, now_us, have);
	answer_have(node, now_us, from, have);
	if (have->revision > node->store.revision &&
	    !node->options.unsafe_skip_fetch) {
		want.kind = CY_MSG_WANT;
		want.revision = have->revision;
		node_send(node, from, &want);
		return;
	}
	cy_store_serve(&node->store, from, have->revision, node_send, node);
}

/* Takes a message from above or below. */
void
cy_node_message(struct cy_node *node, int64_t now_us, uint32_t from,
    const struct cy_msg *msg)
{
	switch (msg->kind) {
	case CY_MSG_HAVE:
		if (node->relay)
			take_have(node, now_us, from, msg);
		break;
	case CY_MSG_ALIVE:
		take_alive(node, now_us, from, msg);
		break;
	case CY_MSG_DELTA:
		take_delta(node, from, msg);
		break;
	case CY_MSG_CHUNK:
		take_chunk(node, from, msg);
		break;
	case CY_MSG_WANT:
		cy_store_chunk(&node->store, from, msg->revision, msg->offset,
		    node_send, node);
		break;
	}
}

/* The daemon compiled a revision: every dispatch now asks it. */
void
cy_node_in_force(struct cy_node *node, int64_t now_us, uint64_t revision)
{
	if (revision <= node->in_force)
		return;
	node->in_force = revision;
	report_soon(node, now_us);
}

/* The copy of a revision is durable. */
void
cy_node_persisted(struct cy_node *node, int64_t now_us, uint64_t revision)
{
	if (revision <= node->persisted)
		return;
	node->persisted = revision;
	report_soon(node, now_us);
}

static void
forget_silent(struct cy_node *node, int64_t now_us)
{
	int64_t oldest_us;
	uint32_t i;

	oldest_us =
	    now_us - node->options.period_ms * (int64_t)1000 * SILENT_PERIODS;
	for (i = 0; i < node->below_count;) {
		if (node->below[i].heard_us < oldest_us)
			node->below[i] = node->below[--node->below_count];
		else
			i++;
	}
}

/* Sends HAVE when due, and notes the end of the lease. */
void
cy_node_tick(struct cy_node *node, int64_t now_us)
{
	if (!node->isolated && now_us >= node->until_us) {
		node->isolated = true;
		emit(node, CY_ISOLATED);
	}
	if (now_us < node->due_us)
		return;
	forget_silent(node, now_us);
	send_have(node, now_us);
	if (node->incoming_revision != 0)
		want_more(node);
}

/* Returns when cy_node_tick() has something to do next. */
int64_t
cy_node_due_us(const struct cy_node *node)
{
	if (!node->isolated && node->until_us < node->due_us)
		return node->until_us;
	return node->due_us;
}

/* Returns the revision that is held. */
uint64_t
cy_node_revision(const struct cy_node *node)
{
	return node->store.revision;
}

const struct buf *
cy_node_document(const struct cy_node *node)
{
	return &node->store.document;
}

/* Whether the lease has ended, by the clock read just before. */
bool
cy_node_isolated(const struct cy_node *node, int64_t now_us)
{
	return now_us >= node->until_us;
}
