#include "gateway/follow.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "gateway/entry.h"
#include "state/cfgsync.h"
#include "state/diff.h"

enum {
	POLL_PERIOD_MS = 1000,
	/* part of revoke-ms left for an answer that is being delivered */
	LEASE_MARGIN_MS = 1000,
	TICK_MAX_US = 1000000
};

struct gw_follower {
	struct gw *gw;
	struct cfgsync_node *node;
	struct ord *orders;
	struct loop_timer *tick_timer;
	int64_t lease_us;
	/* last time at which the orders were known to be the newest */
	int64_t confirmed_us;
	uint32_t upstream[64];
	uint32_t upstream_count;
};

static void schedule_tick(struct gw_follower *follower);

static void
send_message(struct gw_follower *follower, const struct cfgsync_action *action)
{
	struct buf bytes;

	buf_init(&bytes, follower->gw->alloc);
	cfgsync_msg_encode(action->msg, &bytes);
	gw_send_message(follower->gw, action->to, PEER_CONFIG, &bytes);
	buf_free(&bytes);
}

/* Puts a received revision of the orders in force. */
static void
apply_revision(
    struct gw_follower *follower, const struct cfgsync_action *action)
{
	if (ord_restore(follower->orders, action->document->data,
		action->document->len, loop_now_us(follower->gw->loop),
		clock_wall_us(), follower->confirmed_us) != 0) {
		log_event(LOG_LEVEL_ERROR, "image_unreadable",
		    "revision=%" PRIu64, action->revision);
		return;
	}
	log_event(LOG_LEVEL_INFO, "orders_in_force",
	    "revision=%" PRIu64 " document=%" PRIu64, action->revision,
	    ord_document_number(follower->orders));
	if (follower->gw->entry != NULL)
		gw_entry_orders_changed(follower->gw->entry);
}

static void
on_action(void *ctx, const struct cfgsync_action *action)
{
	struct gw_follower *follower = ctx;

	switch (action->kind) {
	case CFGSYNC_SEND:
		send_message(follower, action);
		break;
	case CFGSYNC_IN_FORCE:
		apply_revision(follower, action);
		break;
	case CFGSYNC_ISOLATED:
		log_event(LOG_LEVEL_WARN, "isolated",
		    "revision=%" PRIu64 " why=\"no leader has confirmed it in "
		    "time\"",
		    action->revision);
		break;
	case CFGSYNC_REJOINED:
		log_event(LOG_LEVEL_INFO, "rejoined", "revision=%" PRIu64,
		    action->revision);
		if (follower->gw->entry != NULL)
			gw_entry_retry_waiting(follower->gw->entry);
		break;
	case CFGSYNC_PERSIST:
		break;
	}
}

static void
on_tick(void *ctx)
{
	struct gw_follower *follower = ctx;

	follower->tick_timer = NULL;
	cfgsync_node_tick(follower->node, loop_now_us(follower->gw->loop));
	schedule_tick(follower);
}

/* Schedules the next tick of the node, at most TICK_MAX_US from now. */
static void
schedule_tick(struct gw_follower *follower)
{
	int64_t wait_us = cfgsync_node_due_us(follower->node) -
			  loop_now_us(follower->gw->loop);

	loop_cancel(follower->tick_timer);
	if (wait_us < 1000)
		wait_us = 1000;
	if (wait_us > TICK_MAX_US)
		wait_us = TICK_MAX_US;
	follower->tick_timer =
	    loop_after(follower->gw->loop, wait_us, on_tick, follower);
}

/* Returns the orders in force at this instance. */
const struct ord *
gw_follower_orders(const struct gw_follower *follower)
{
	return follower->orders;
}

/*
 * Whether the lease on the orders is valid: no newer orders can have been in
 * force elsewhere for longer than revoke-ms allows.
 */
bool
gw_follower_is_fresh(const struct gw_follower *follower)
{
	return !cfgsync_node_isolated(follower->node, clock_monotonic_us());
}

/*
 * Whether there ever was a lease on the orders in this incarnation of the
 * process.
 */
bool
gw_follower_was_fresh(const struct gw_follower *follower)
{
	return cfgsync_node_lease_until_us(follower->node) != 0;
}

/*
 * Returns the remaining time of the lease on the orders if no replica confirms
 * them again; negative: the lease has ended.
 */
int64_t
gw_follower_lease_left_us(const struct gw_follower *follower)
{
	return cfgsync_node_lease_until_us(follower->node) -
	       clock_monotonic_us();
}

/* Handles a message from a replica. */
void
gw_follower_message(struct gw_follower *follower, uint32_t from,
    const uint8_t *data, uint32_t len)
{
	int64_t now_us = loop_now_us(follower->gw->loop);
	uint64_t before = cfgsync_node_revision(follower->node);
	struct buf scratch;
	struct cfgsync_msg msg;

	if (gw_follower_was_fresh(follower))
		follower->confirmed_us =
		    cfgsync_node_lease_until_us(follower->node) -
		    follower->lease_us;
	buf_init(&scratch, follower->gw->alloc);
	if (cfgsync_msg_decode(&msg, data, len, &scratch) == 0)
		cfgsync_node_receive(follower->node, now_us, from, &msg);
	else
		log_event(
		    LOG_LEVEL_WARN, "message_unreadable", "channel=config");
	if (cfgsync_node_revision(follower->node) > before)
		cfgsync_node_set_in_force(follower->node, now_us,
		    cfgsync_node_revision(follower->node));
	buf_free(&scratch);
	schedule_tick(follower);
}

/*
 * Sets the replicas to request orders from.  If the list has changed, they are
 * asked at once.
 */
void
gw_follower_set_upstream(
    struct gw_follower *follower, const uint32_t *instances, uint32_t count)
{
	bool same = count == follower->upstream_count;

	for (uint32_t i = 0; same && i < count; i++)
		same = instances[i] == follower->upstream[i];
	if (same)
		return;
	if (count > sizeof(follower->upstream) / sizeof(follower->upstream[0]))
		count =
		    sizeof(follower->upstream) / sizeof(follower->upstream[0]);
	for (uint32_t i = 0; i < count; i++)
		follower->upstream[i] = instances[i];
	follower->upstream_count = count;
	cfgsync_node_set_upstream(follower->node, instances, count);
	schedule_tick(follower);
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_follower *follower;
	uint32_t upstream[64];
	struct cfgsync_options options = {.alloc = gw->alloc,
	    .emit = on_action,
	    .apply = diff_apply,
	    .instance = gw->self,
	    .incarnation = gw->incarnation,
	    .period_ms = POLL_PERIOD_MS,
	    .fast_renewal = true,
	    .lease_ms = gw->settings->revoke_ms > 2 * LEASE_MARGIN_MS
			    ? gw->settings->revoke_ms - LEASE_MARGIN_MS
			    : gw->settings->revoke_ms / 2};

	if (gw->settings->listen.host[0] == '\0')
		return 0;
	follower = alloc_zero(gw->alloc, 1, sizeof(*follower));
	follower->gw = gw;
	follower->orders = ord_new(gw->alloc);
	follower->lease_us = (int64_t)options.lease_ms * 1000;
	options.ctx = follower;
	follower->node = cfgsync_node_new(&options);
	gw->order_follower = follower;
	gw_follower_set_upstream(
	    follower, upstream, gw_list_control_instances(gw, upstream, 64));
	schedule_tick(follower);
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_follower *follower = gw->order_follower;

	if (follower == NULL)
		return;
	gw->order_follower = NULL;
	loop_cancel(follower->tick_timer);
	cfgsync_node_free(follower->node);
	ord_free(follower->orders);
	alloc_free(gw->alloc, follower);
}

struct sup_child_spec
gw_child_follow(struct gw *gw)
{
	return (struct sup_child_spec){"follow", start, stop, gw};
}
