#include "base/err.h"
#include "base/log.h"
#include <stdio.h>

#include "daemon/node.h"
#include "daemon/operator.h"
#include "daemon/state.h"
#include "wire/operator.pb-c.h"

/* The peer child: the connections between this instance and the others. */

/*
 * Passes a message on claims to this replica's store, if there is one, and
 * replies also to the claim client of this instance.
 */
static void
on_claim_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len)
{
	static struct claim_msg msg;

	if (claim_msg_decode(&msg, data, len) != 0)
		return;
	if (node->state != NULL)
		state_claims_receive(node->state, from, &msg);
	if (node->request_records != NULL &&
	    (msg.kind == CLAIM_MSG_REPLY || msg.kind == CLAIM_MSG_ENTRIES))
		request_records_receive_claim(
		    node->request_records, from, &msg);
}

static void
on_bill_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len)
{
	static struct bill_msg msg;

	if (bill_msg_decode(&msg, data, len) != 0)
		return;
	if (node->state != NULL && msg.kind != BILL_MSG_ACK)
		state_bills_receive(node->state, from, &msg);
	else if (node->request_records != NULL)
		request_records_receive_bill(node->request_records, from, &msg);
}

static void
on_operator_request(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len)
{
	Opr__Request *request = opr__request__unpack(NULL, len, data);

	if (request != NULL && node->state != NULL)
		state_receive_request(node->state, from, request->id,
		    request->kind, request->team, request->author,
		    request->body.data, request->body.len);
	opr__request__free_unpacked(request, NULL);
}

/* Passes a message to the module that its channel belongs to. */
static void
dispatch_message(struct node *node, uint32_t from, enum peer_channel channel,
    const uint8_t *data, uint32_t len)
{
	switch (channel) {
	case PEER_RLOG:
		if (node->state != NULL)
			state_log_receive(node->state, data, len);
		break;
	case PEER_CLAIM:
		on_claim_message(node, from, data, len);
		break;
	case PEER_BILL:
		on_bill_message(node, from, data, len);
		break;
	case PEER_MEMBERSHIP:
		node_member_message(node, from, data, len);
		break;
	case PEER_CONFIG:
		node_config_message(node, from, data, len);
		break;
	case PEER_CREDIT:
		if (node->credits != NULL)
			credits_receive(node->credits, from, data, len);
		break;
	case PEER_FEED:
		if (node->feed != NULL)
			feed_receive_batch(node->feed, data, len);
		break;
	case PEER_OPERATOR:
		on_operator_request(node, from, data, len);
		break;
	case PEER_OPERATOR_REPLY:
		if (node->operators != NULL)
			operators_receive_reply(
			    node->operators, from, data, len);
		break;
	case PEER_BILL_EXPORT:
		if (node->state != NULL)
			state_bills_receive_export(
			    node->state, from, data, len);
		break;
	case PEER_PING:
	case PEER_PONG:
	case PEER_CLUSTER_HELLO:
	case PEER_CLUSTER_NEWS:
	case PEER_CLUSTER_LOADS:
	case PEER_PART:
	case PEER_LAST_PART:
	case PEER_CHANNEL_END:
		break;
	}
}

static void
on_message(void *ctx, const struct secure_peer *from, enum peer_channel channel,
    const uint8_t *data, uint32_t len)
{
	dispatch_message(
	    ctx, directory_number_of(from->instance), channel, data, len);
}

/* A message of this instance to itself, delivered by a timer of 0 us. */
struct loopback {
	struct node *node;
	enum peer_channel channel;
	struct buf bytes;
};

static void
deliver_loopback(void *ctx)
{
	struct loopback *item = ctx;
	struct node *node = item->node;

	dispatch_message(node, directory_self(node->directory)->number,
	    item->channel, item->bytes.data, (uint32_t)item->bytes.len);
	buf_free(&item->bytes);
	alloc_free(node->alloc, item);
}

/*
 * Sends a message to an instance, this one included, by its number.  Best
 * effort: the message is dropped if the instance is unknown.
 */
void
node_send(struct node *node, uint32_t to, enum peer_channel channel,
    const struct buf *bytes)
{
	const struct directory_entry *entry =
	    directory_find(node->directory, to);
	struct loopback *item;

	if (entry == NULL || node->hub == NULL)
		return;
	if (!entry->self) {
		peer_send(node->hub, entry->name, channel, bytes->data,
		    (uint32_t)bytes->len);
		return;
	}
	item = alloc_zero(node->alloc, 1, sizeof(*item));
	item->node = node;
	item->channel = channel;
	buf_init(&item->bytes, node->alloc);
	buf_add(&item->bytes, bytes->data, bytes->len);
	loop_after(node->loop, 0, deliver_loopback, item);
}

static const struct peer_handler peer_handler = {on_message};

static int
start(void *ctx)
{
	struct node *node = ctx;
	const struct settings *s = node->settings;
	struct peer_options options = {.alloc = node->alloc,
	    .loop = node->loop,
	    .host = s->peer_listen.host,
	    .port = s->peer_listen.port,
	    .keys = node->keys,
	    .handler = &peer_handler,
	    .ctx = node};

	snprintf(options.self.instance, sizeof(options.self.instance), "%s",
	    s->instance);
	snprintf(options.self.data_centre, sizeof(options.self.data_centre),
	    "%s", s->data_centre);
	options.self.incarnation = node->incarnation;
	node->hub = peer_hub_new(&options);
	if (node->hub == NULL)
		return ERR_IO;
	for (uint32_t i = 0; i < s->peer_count; i++)
		peer_hub_add(node->hub, s->peers[i].instance,
		    s->peers[i].address.host, s->peers[i].address.port);
	return 0;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;

	peer_hub_free(node->hub);
	node->hub = NULL;
}

struct sup_child_spec
child_peer(struct node *node)
{
	return (struct sup_child_spec){"peer", start, stop, node};
}
