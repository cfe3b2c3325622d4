#include "state/bill.h"
#include "state/bill_table.h"

#include <string.h>

enum {
	COPIES_DEFAULT = 2,
	BILLS_DEFAULT_MAX = 65536,
	RESEND_DEFAULT_MS = 200,
	RESEND_COPIED_MAX_MS = 10000, /* with a second copy */
	CUT_DEFAULT_MS = 1000
};

struct bill_client {
	struct bill_client_options options;
	struct bill_table table;
	uint32_t replicas[BILL_REPLICAS_MAX];
	uint32_t replica_count;
	uint32_t peers[BILL_REPLICAS_MAX];
	uint32_t peer_count;
	uint64_t sequence; /* last one used */
	uint64_t op; /* last one used */
};

/* Creates the entry side of an instance. */
struct bill_client *
bill_client_new(const struct bill_client_options *options)
{
	const struct alloc *alloc;
	struct bill_client *client;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	client = alloc_zero(alloc, 1, sizeof(*client));
	client->options = *options;
	client->options.alloc = alloc;
	if (options->copies == 0)
		client->options.copies = COPIES_DEFAULT;
	if (options->bills_max == 0)
		client->options.bills_max = BILLS_DEFAULT_MAX;
	if (options->resend_ms == 0)
		client->options.resend_ms = RESEND_DEFAULT_MS;
	if (options->cut_ms == 0)
		client->options.cut_ms = CUT_DEFAULT_MS;
	bill_table_init(&client->table, alloc);
	return client;
}

void
bill_client_free(struct bill_client *client)
{
	if (client == NULL)
		return;
	bill_table_free(&client->table);
	alloc_free(client->options.alloc, client);
}

/* Sets the state replicas.  Earlier acknowledgements are discarded. */
void
bill_client_set_replicas(
    struct bill_client *client, const uint32_t *instances, uint32_t count)
{
	struct bill_node *node;
	uint32_t i;

	for (i = 0; i < count && i < BILL_REPLICAS_MAX; i++)
		client->replicas[i] = instances[i];
	client->replica_count = i;
	for (node = client->table.oldest; node != NULL; node = node->newer) {
		node->acks = 0;
		node->due_us = 0;
	}
}

/* Sets the other instances of the data centre. */
void
bill_client_set_peers(
    struct bill_client *client, const uint32_t *instances, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count && i < BILL_REPLICAS_MAX; i++)
		client->peers[i] = instances[i];
	client->peer_count = i;
}

static void
send_msg(struct bill_client *client, uint32_t to, const struct bill_msg *msg)
{
	struct bill_client_action action = {0};

	action.kind = BILL_CLIENT_SEND;
	action.to = to;
	action.msg = msg;
	client->options.emit(client->options.ctx, &action);
}

static uint32_t
ack_count(const struct bill_node *node)
{
	return (uint32_t)__builtin_popcount(node->acks);
}

/* Returns how many copies are needed: at most one for each replica. */
static uint32_t
required_copies(const struct bill_client *client)
{
	if (client->replica_count == 0 ||
	    client->options.copies < client->replica_count)
		return client->options.copies;
	return client->replica_count;
}

/* Returns whether a bill has waited so long that a copy at a peer counts. */
static bool
may_use_peer(const struct bill_client *client, const struct bill_node *node,
    int64_t now_us)
{
	return now_us - node->since_us >=
	       client->options.cut_ms * (int64_t)1000;
}

/*
 * Returns the delay until a bill is resent.  It is constant for a bill that the
 * caller waits for.  For a bill with a second copy it grows with the age of the
 * bill, because an hour without replicas leaves many such bills.
 */
static int64_t
resend_delay_us(const struct bill_client *client, const struct bill_node *node,
    int64_t now_us)
{
	int64_t us = client->options.resend_ms * (int64_t)1000;
	int64_t age_us = now_us - node->since_us;
	int64_t longest_us = RESEND_COPIED_MAX_MS * (int64_t)1000;

	if (!node->foreign && !node->durable && !node->peer_ack)
		return us;
	if (age_us > longest_us)
		age_us = longest_us;
	return age_us > us ? age_us : us;
}

/* Sends a bill to one peer, with each resend to the next one. */
static void
send_to_peer(struct bill_client *client, const struct bill_node *node,
    int64_t now_us, const struct bill_msg *msg)
{
	int64_t tries = (now_us - node->since_us) /
			(client->options.resend_ms * (int64_t)1000);

	if (client->peer_count > 0)
		send_msg(client,
		    client->peers[(node->bill.id.sequence + (uint64_t)tries) %
				  client->peer_count],
		    msg);
}

/*
 * Sends a bill to the replicas that have not acknowledged it: at first to as
 * many as are needed, starting with one that depends on the sequence, later to
 * all.
 */
static void
send_bill(struct bill_client *client, struct bill_node *node, int64_t now_us)
{
	struct bill_msg msg = {0};
	uint32_t i, at, limit;

	msg.kind = BILL_MSG_PUT;
	msg.op = node->op;
	msg.count = 1;
	msg.bills[0] = node->bill;
	limit = now_us == node->since_us ? required_copies(client)
					 : client->replica_count;
	for (i = 0; i < limit && i < client->replica_count; i++) {
		at = (uint32_t)((node->bill.id.sequence + i) %
				client->replica_count);
		if ((node->acks >> at & 1) == 0)
			send_msg(client, client->replicas[at], &msg);
	}
	if (!node->foreign && !node->durable && !node->peer_ack &&
	    may_use_peer(client, node, now_us))
		send_to_peer(client, node, now_us, &msg);
	node->due_us = now_us + resend_delay_us(client, node, now_us);
}

/* Sends a bill with new content; earlier acknowledgements don't count. */
static void
start_sending(
    struct bill_client *client, struct bill_node *node, int64_t now_us)
{
	node->op = ++client->op;
	node->acks = 0;
	node->peer_ack = false;
	node->durable = false;
	node->since_us = now_us;
	send_bill(client, node, now_us);
}

/*
 * Opens the bill of a request before its first dispatch.  Returns the bill's
 * sequence, or ERR_NO_CAPACITY.
 */
int64_t
bill_client_add_intent(struct bill_client *client, int64_t now_us,
    int64_t wall_s, uint32_t workspace, uint32_t service, uint64_t request)
{
	struct bill_node *node;
	struct bill_id id;

	if (client->table.count >= client->options.bills_max)
		return ERR_NO_CAPACITY;
	id.owner = client->options.owner;
	id.sequence = ++client->sequence;
	node = bill_table_add(&client->table, &id);
	node->bill.workspace = workspace;
	node->bill.service = service;
	node->bill.request = request;
	node->bill.born_s = wall_s;
	node->bill.state = BILL_INTENT;
	start_sending(client, node, now_us);
	return (int64_t)id.sequence;
}

static struct bill_node *
find_own(const struct bill_client *client, uint64_t sequence)
{
	struct bill_id id;

	id.owner = client->options.owner;
	id.sequence = sequence;
	return bill_table_find(&client->table, &id);
}

/* Adds the cost of one attempt.  Returns 0, ERR_NOT_FOUND or ERR_TOO_LARGE. */
int
bill_client_add_item(
    struct bill_client *client, uint64_t sequence, const struct bill_item *item)
{
	struct bill_entry addition = {0};
	struct bill_node *node;

	node = find_own(client, sequence);
	if (node == NULL || node->bill.state != BILL_INTENT)
		return ERR_NOT_FOUND;
	if (node->bill.item_count == BILL_ITEMS_MAX)
		return ERR_TOO_LARGE;
	addition.item_count = 1;
	addition.items[0] = *item;
	bill_merge(&node->bill, &addition);
	return 0;
}

/* Settles a bill: all its items are known.  Returns 0 or ERR_NOT_FOUND. */
int
bill_client_settle(
    struct bill_client *client, int64_t now_us, uint64_t sequence)
{
	struct bill_node *node;

	node = find_own(client, sequence);
	if (node == NULL || node->bill.state != BILL_INTENT)
		return ERR_NOT_FOUND;
	node->bill.state = BILL_SETTLED;
	start_sending(client, node, now_us);
	return 0;
}

/* Reports once to the caller that a bill's present content is durable. */
static void
report_if_durable(struct bill_client *client, struct bill_node *node)
{
	struct bill_client_action action = {0};

	if (node->durable || node->foreign ||
	    (ack_count(node) < required_copies(client) && !node->peer_ack))
		return;
	node->durable = true;
	action.kind = BILL_CLIENT_DURABLE;
	action.id = node->bill.id;
	action.state = node->bill.state;
	client->options.emit(client->options.ctx, &action);
}

/* Removes a bill that has enough copies, if it is foreign or settled. */
static void
remove_if_finished(struct bill_client *client, struct bill_node *node)
{
	bool enough;

	enough = ack_count(node) >= required_copies(client) ||
		 (client->options.unsafe_forget_unacked && node->peer_ack);
	if (enough && (node->foreign || node->bill.state == BILL_SETTLED))
		bill_table_remove(&client->table, node);
}

static bool
is_peer(const struct bill_client *client, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < client->peer_count; i++)
		if (client->peers[i] == instance)
			return true;
	return false;
}

/*
 * Processes an acknowledgement.  When the bill has waited for replicas for
 * cut_ms, one copy at a peer is enough; a peer that is itself a replica has it
 * on disk.
 */
static void
handle_ack(struct bill_client *client, int64_t now_us, uint32_t from,
    const struct bill_msg *msg)
{
	struct bill_node *node;
	struct bill_id id;
	uint32_t i;

	id.owner = msg->life;
	id.sequence = msg->last;
	node = bill_table_find(&client->table, &id);
	if (node == NULL || node->op != msg->op)
		return;
	if (!msg->replica ||
	    (is_peer(client, from) && may_use_peer(client, node, now_us)))
		node->peer_ack = true;
	for (i = 0; msg->replica && i < client->replica_count; i++)
		if (client->replicas[i] == from)
			node->acks |= 1U << i;
	report_if_durable(client, node);
	remove_if_finished(client, node);
}

/* Keeps a bill for another instance that reaches no replica. */
static void
keep_for_peer(struct bill_client *client, int64_t now_us, uint32_t from,
    const struct bill_msg *msg)
{
	struct bill_msg ack = {0};
	struct bill_node *node;

	if (msg->count != 1 || msg->bills[0].id.owner == client->options.owner)
		return;
	node = bill_table_find(&client->table, &msg->bills[0].id);
	if (node == NULL) {
		if (client->table.count >= client->options.bills_max)
			return;
		node = bill_table_add(&client->table, &msg->bills[0].id);
		node->foreign = true;
	}
	if (bill_merge(&node->bill, &msg->bills[0]))
		start_sending(client, node, now_us);
	ack.kind = BILL_MSG_ACK;
	ack.op = msg->op;
	ack.life = node->bill.id.owner;
	ack.last = node->bill.id.sequence;
	send_msg(client, from, &ack);
}

/* Processes an acknowledgement, or a bill to keep for another instance. */
void
bill_client_receive(struct bill_client *client, int64_t now_us, uint32_t from,
    const struct bill_msg *msg)
{
	if (msg->kind == BILL_MSG_ACK)
		handle_ack(client, now_us, from, msg);
	else if (msg->kind == BILL_MSG_PUT)
		keep_for_peer(client, now_us, from, msg);
}

/* Resends the bills that too few replicas have acknowledged. */
void
bill_client_tick(struct bill_client *client, int64_t now_us)
{
	struct bill_node *node;

	for (node = client->table.oldest; node != NULL; node = node->newer)
		if (now_us >= node->due_us &&
		    ack_count(node) < required_copies(client))
			send_bill(client, node, now_us);
}

/* Returns how many bills are kept; with 0 this instance may end. */
uint32_t
bill_client_bill_count(const struct bill_client *client)
{
	return client->table.count;
}
