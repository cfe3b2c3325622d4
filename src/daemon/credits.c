#include <string.h>

#include "base/log.h"
#include "core/granter.h"
#include "daemon/node.h"
#include "wire/feed.pb-c.h"

/*
 * Warm-up credits.  They bound the requests that a cold server gets.  The
 * instance that holds the granter's role leases them to the instances of the
 * data centre, which request them from it.  A lease runs from the time of its
 * request, on the requesting instance's clock.
 */

enum {
	CREDIT_ASK = 1,
	CREDIT_GIVE,
	CREDIT_LEASE,
	CREDIT_INSTANCES_MAX = 128,
	CREDIT_SERVERS_MAX = 256,
	CREDIT_ANSWER_US = 500000, /* without an answer by then: no credits */
	US_PER_MS = 1000
};

struct credits {
	struct node *node;
	struct granter *granter; /* while this instance has the role */
	uint32_t instances[CREDIT_INSTANCES_MAX];
	uint16_t instance_count;
	int64_t asked_us[CREDIT_SERVERS_MAX]; /* open requests; 0 if none */
	uint64_t asked_incarnation[CREDIT_SERVERS_MAX]; /* of the server */
	struct loop_timer *expiry_timer;
};

/* Passes the router its credits for a server and closes the open request. */
static void
set_router_credits(struct credits *credits, uint16_t server,
    uint64_t incarnation, uint16_t count, int64_t until_us)
{
	struct cf_event event = {.kind = CF_EV_CREDIT};

	event.u.credit.server = server;
	event.u.credit.incarnation = incarnation;
	event.u.credit.credits = count;
	event.u.credit.until_us = until_us;
	credits->asked_us[server] = 0;
	entry_handle_event(credits->node->entry, &event);
}

/*
 * Ends requests whose answer is overdue with no credits, because the router
 * waits for an answer to each.
 */
static void
expire_requests(void *ctx)
{
	struct credits *credits = ctx;
	int64_t now_us = loop_now_us(credits->node->loop);

	for (int i = 0; i < CREDIT_SERVERS_MAX; i++) {
		if (credits->asked_us[i] != 0 &&
		    now_us - credits->asked_us[i] > CREDIT_ANSWER_US)
			set_router_credits(credits, i,
			    credits->asked_incarnation[i], 0, now_us);
	}
	credits->expiry_timer = loop_after(
	    credits->node->loop, CREDIT_ANSWER_US, expire_requests, credits);
}

/* Creates an instance's credits, without the granter's role. */
struct credits *
credits_new(struct node *node)
{
	struct credits *credits = alloc_zero(node->alloc, 1, sizeof(*credits));

	credits->node = node;
	credits->expiry_timer =
	    loop_after(node->loop, CREDIT_ANSWER_US, expire_requests, credits);
	return credits;
}

/* Releases the credits; leases that were granted expire by themselves. */
void
credits_free(struct credits *credits)
{
	if (credits == NULL)
		return;
	granter_free(credits->granter);
	loop_cancel(credits->expiry_timer);
	alloc_free(credits->node->alloc, credits);
}

/* Creates the granter when this instance wins its role, frees it on a loss. */
void
credits_set_granter_role(struct credits *credits, bool won)
{
	struct granter_options options = {.alloc = credits->node->alloc,
	    .max_servers = CREDIT_SERVERS_MAX,
	    .max_instances = CREDIT_INSTANCES_MAX,
	    .now_us = loop_now_us(credits->node->loop)};

	granter_free(credits->granter);
	credits->granter = won ? granter_new(&options) : NULL;
	credits->instance_count = 0;
}

/* Passes a server's announcement to the granter, if this instance has it. */
void
credits_update_server(
    struct credits *credits, const struct cf_announce *announce)
{
	if (credits->granter != NULL)
		granter_update_server(credits->granter, announce,
		    loop_now_us(credits->node->loop));
}

static void
send_credit_message(
    struct credits *credits, uint32_t to, const Feedpb__Credit *credit)
{
	struct buf bytes;

	buf_init(&bytes, credits->node->alloc);
	buf_reserve(&bytes, feedpb__credit__get_packed_size(credit));
	bytes.len = feedpb__credit__pack(credit, bytes.data);
	node_send(credits->node, to, PEER_CREDIT, &bytes);
	buf_free(&bytes);
}

/*
 * Sends the granter a request for credits (CF_ACT_CREDIT_ASK) or returns some
 * (CF_ACT_CREDIT_GIVE).  Without a granter a request expires unanswered.
 */
void
credits_send_action(struct credits *credits, const struct cf_action *action)
{
	const char *name =
	    entry_server_name(credits->node->entry, action->server);
	uint32_t granter = node_granter_instance(credits->node);
	Feedpb__Credit credit = FEEDPB__CREDIT__INIT;

	if (action->kind == CF_ACT_CREDIT_ASK) {
		credits->asked_us[action->server] =
		    loop_now_us(credits->node->loop);
		credits->asked_incarnation[action->server] = action->key;
	}
	if (granter == 0)
		return;
	credit.kind =
	    action->kind == CF_ACT_CREDIT_ASK ? CREDIT_ASK : CREDIT_GIVE;
	credit.server = node_hash_name(name);
	credit.incarnation = action->key;
	credit.count = action->count;
	credit.asked_us = loop_now_us(credits->node->loop);
	send_credit_message(credits, granter, &credit);
}

/*
 * Returns the granter's index of an instance.  Instances beyond the maximum
 * share the last one.
 */
static uint16_t
index_of_instance(struct credits *credits, uint32_t instance)
{
	uint16_t i = 0;

	while (i < credits->instance_count && credits->instances[i] != instance)
		i++;
	if (i == credits->instance_count && i < CREDIT_INSTANCES_MAX - 1)
		credits->instances[credits->instance_count++] = instance;
	return i;
}

/* As the granter, answers a request for credits or takes back returned ones. */
static void
handle_credit_request(
    struct credits *credits, uint32_t from, const Feedpb__Credit *asked)
{
	int64_t now_us = loop_now_us(credits->node->loop);
	int server =
	    entry_find_server_by_hash(credits->node->entry, asked->server);
	uint16_t instance = index_of_instance(credits, from);
	Feedpb__Credit answer = FEEDPB__CREDIT__INIT;
	struct granter_lease lease;

	if (server < 0 || credits->granter == NULL ||
	    !node_is_granter(credits->node))
		return;
	if (asked->kind == CREDIT_GIVE) {
		granter_return_credits(credits->granter, instance,
		    (uint16_t)server, (uint16_t)asked->count, now_us);
		return;
	}
	answer.kind = CREDIT_LEASE;
	answer.server = asked->server;
	answer.incarnation = asked->incarnation;
	answer.asked_us = asked->asked_us;
	if (granter_lease_credits(credits->granter, instance, (uint16_t)server,
		asked->incarnation, (uint16_t)asked->count, now_us, &lease)) {
		answer.count = lease.credits;
		answer.lease_ms =
		    (uint32_t)((lease.until_us - now_us) / US_PER_MS);
	}
	send_credit_message(credits, from, &answer);
}

static void
handle_lease(struct credits *credits, const Feedpb__Credit *lease)
{
	int server =
	    entry_find_server_by_hash(credits->node->entry, lease->server);

	/* Drops the answer to a request that expired or was replaced. */
	if (server < 0 || credits->asked_us[server] != lease->asked_us)
		return;
	set_router_credits(credits, (uint16_t)server, lease->incarnation,
	    (uint16_t)lease->count,
	    lease->asked_us + (int64_t)lease->lease_ms * US_PER_MS);
}

/* Handles a message about credits. */
void
credits_receive(
    struct credits *credits, uint32_t from, const uint8_t *data, uint32_t len)
{
	Feedpb__Credit *credit = feedpb__credit__unpack(NULL, len, data);

	if (credit == NULL)
		return;
	if (credit->kind == CREDIT_LEASE)
		handle_lease(credits, credit);
	else if (credit->kind == CREDIT_ASK || credit->kind == CREDIT_GIVE)
		handle_credit_request(credits, from, credit);
	feedpb__credit__free_unpacked(credit, NULL);
}
