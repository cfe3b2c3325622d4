#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/node.h"

/* The entry child, and the callbacks through which it uses the instance. */

enum {
	/* The part of the memory that bodies may take, as a divisor */
	ENTRY_BODIES_DIVISOR = 8,
	ENTRY_ANSWERS_DIVISOR = 16
};

static void
make_claim(void *ctx, const struct entry_claim *c)
{
	struct node *node = ctx;

	request_records_claim(node->request_records, c);
}

static void
mark_claim(void *ctx, uint32_t request)
{
	struct node *node = ctx;

	request_records_write_marker(node->request_records, request);
}

static bool
may_dispatch(void *ctx, uint32_t request)
{
	struct node *node = ctx;

	return request_records_may_dispatch(node->request_records, request);
}

static void
end_claim(
    void *ctx, const struct entry_claim *c, enum entry_claim_outcome result)
{
	struct node *node = ctx;

	request_records_write_outcome(
	    node->request_records, c->request, result);
}

static bool
write_bill_intent(void *ctx, const struct entry_bill *bill)
{
	struct node *node = ctx;

	return request_records_add_intent(node->request_records, bill);
}

static void
settle_bill(void *ctx, const struct entry_bill *bill)
{
	struct node *node = ctx;

	request_records_settle_bill(node->request_records, bill);
}

static void
spread_action(void *ctx, const struct cf_action *action)
{
	member_items_publish_action(ctx, action);
}

static void
on_server_announcement(void *ctx, const struct server_announcement *news)
{
	struct node *node = ctx;

	feed_queue_announcement(node->feed, news);
}

static void
on_accepted_announcement(void *ctx, const struct cf_announce *announce)
{
	struct node *node = ctx;

	credits_update_server(node->credits, announce);
}

static void
on_rating(void *ctx, const struct cf_rating *rating)
{
	member_items_publish_rating(ctx, rating);
}

static const char *
find_neighbour(void *ctx, uint16_t data_centre)
{
	return node_neighbour_address(ctx, data_centre);
}

/*
 * Computes the tag that proves that a forwarded request comes from an instance
 * of this cluster: a hash of the request's id under the newest cluster key.
 */
static void
compute_forward_tag(void *ctx, const char *id, char tag[ENTRY_TAG_BYTES])
{
	const struct node *node = ctx;
	uint8_t hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const uint8_t *)id, strlen(id),
	    node->keys.keys[0], SECURE_KEY_BYTES);
	sodium_bin2hex(tag, ENTRY_TAG_BYTES, hash, sizeof(hash));
}

static const struct entry_ports entry_ports = {.claim = make_claim,
    .mark = mark_claim,
    .may_dispatch = may_dispatch,
    .outcome = end_claim,
    .intend = write_bill_intent,
    .settle = settle_bill,
    .spread = spread_action,
    .heard = on_server_announcement,
    .announced = on_accepted_announcement,
    .rated = on_rating,
    .neighbour = find_neighbour,
    .forward_tag = compute_forward_tag};

/* Frees the objects that are created and freed with the entry. */
static void
free_companions(struct node *node)
{
	request_records_free(node->request_records);
	node->request_records = NULL;
	feed_free(node->feed);
	node->feed = NULL;
	credits_free(node->credits);
	node->credits = NULL;
}

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
	    .owner = node->owner,
	    .data_centre = s->data_centre,
	    .body_max_bytes = s->body_max_bytes,
	    .bodies_max_bytes = settings_memory_bytes(s) / ENTRY_BODIES_DIVISOR,
	    .answers_max_bytes =
		settings_memory_bytes(s) / ENTRY_ANSWERS_DIVISOR,
	    .connections_max = settings_callers_max(s),
	    .seed = rng_system_seed(),
	    .ports = &entry_ports,
	    .ctx = node};

	node->request_records = request_records_new(node);
	node->feed = feed_new(node);
	node->credits = credits_new(node);
	node->entry = entry_new(&options);
	if (node->entry == NULL) {
		free_companions(node);
		return ERR_IO;
	}
	node_distribute_config(node);
	return 0;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;

	entry_free(node->entry);
	node->entry = NULL;
	free_companions(node);
}

struct sup_child_spec
child_entry(struct node *node)
{
	return (struct sup_child_spec){"entry", start, stop, node};
}
