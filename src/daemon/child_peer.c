#include "base/err.h"
#include "base/log.h"
#include <stdio.h>

#include "daemon/node.h"

/* The peer child: links from and to the other instances. */

static void
on_message(void *ctx, const struct secure_peer *from, enum peer_channel channel,
    const uint8_t *data, uint32_t len)
{
	struct node *node = ctx;

	if (channel == PEER_BILL)
		node_bill_message(node, from, data, len);
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
		peer_add(node->hub, s->peers[i].instance,
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
