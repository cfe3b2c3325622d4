#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/node.h"

/* The entry child and its ports to the rest of the instance. */

static void
claim(void *ctx, const struct entry_claim *c)
{
	struct node *node = ctx;

	/* Without state replicas nobody can promise that a call runs once. */
	entry_claimed(node->entry, c->request, ERR_NO_QUORUM);
}

static void
outcome(void *ctx, const struct entry_claim *c, enum entry_outcome result)
{
	struct node *node = ctx;

	(void)result;
	entry_settled(node->entry, c->request);
}

static void
intend(void *ctx, const struct entry_bill *bill)
{
	(void)ctx;
	(void)bill;
}

static void
settle(void *ctx, const struct entry_bill *bill)
{
	node_settle(ctx, bill);
}

static void
spread(void *ctx, const struct cf_action *action)
{
	(void)ctx;
	(void)action;
}

static const char *
neighbour(void *ctx, uint16_t data_centre)
{
	(void)ctx;
	(void)data_centre;
	return NULL;
}

static void
forward_tag(void *ctx, const char *id, char tag[ENTRY_TAG_BYTES])
{
	const struct node *node = ctx;
	uint8_t hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const uint8_t *)id, strlen(id),
	    node->keys.keys[0], SECURE_KEY_BYTES);
	sodium_bin2hex(tag, ENTRY_TAG_BYTES, hash, sizeof(hash));
}

static const struct entry_ports entry_ports = {
    claim, outcome, intend, settle, spread, neighbour, forward_tag};

static int
start(void *ctx)
{
	struct node *node = ctx;
	const struct settings *s = node->settings;
	struct entry_options options = {.alloc = node->alloc,
	    .loop = node->loop,
	    .metrics = node->metrics,
	    .host = s->listen.host,
	    .port = s->listen.port,
	    .instance = s->instance,
	    .incarnation = node->incarnation,
	    .data_centre = s->data_centre,
	    .body_max_bytes = s->body_max_bytes,
	    .seed = rng_system_seed(),
	    .ports = &entry_ports,
	    .ctx = node};

	node->entry = entry_new(&options);
	if (node->entry == NULL)
		return ERR_IO;
	if (node->cfg != NULL)
		return entry_configure(node->entry, node->cfg);
	return 0;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;

	entry_free(node->entry);
	node->entry = NULL;
}

struct sup_child_spec
child_entry(struct node *node)
{
	return (struct sup_child_spec){"entry", start, stop, node};
}
