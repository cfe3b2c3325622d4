#include "gateway/follow.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "gateway/entry.h"
#include "state/cfgsync.h"
#include "state/diff.h"

enum {
	PERIOD_MS = 1000,
	LEASE_MARGIN_MS = 1000, /* of revoke-ms, for an answer under way */
	TICK_MAX_US = 1000000
};

struct gf {
	struct gw *gw;
	struct cy_node *node;
	struct ord *ord;
	struct loop_timer *tick;
	int64_t lease_us;
	int64_t confirmed_us; /* when the orders here were the newest last */
	uint32_t upstream[64];
	uint32_t upstream_count;
};

static void set_tick(struct gf *gf);

static void
send_message(struct gf *gf, const struct cy_action *action)
{
	struct buf bytes;

	buf_init(&bytes, gf->gw->alloc);
	cy_msg_encode(action->msg, &bytes);
	gw_send(gf->gw, action->to, PEER_CONFIG, &bytes);
	buf_free(&bytes);
}

static void
put_in_force(struct gf *gf, const struct cy_action *action)
{
	if (ord_restore(gf->ord, action->document->data, action->document->len,
		loop_now_us(gf->gw->loop), clock_wall_us(),
		gf->confirmed_us) != 0) {
		log_event(LOG_LEVEL_ERROR, "image_unreadable",
		    "revision=%" PRIu64, action->revision);
		return;
	}
	log_event(LOG_LEVEL_INFO, "orders_in_force",
	    "revision=%" PRIu64 " document=%" PRIu64, action->revision,
	    ord_number(gf->ord));
	if (gf->gw->entry != NULL)
		ge_orders_changed(gf->gw->entry);
}

static void
emit(void *ctx, const struct cy_action *action)
{
	struct gf *gf = ctx;

	switch (action->kind) {
	case CY_SEND:
		send_message(gf, action);
		break;
	case CY_IN_FORCE:
		put_in_force(gf, action);
		break;
	case CY_ISOLATED:
		log_event(LOG_LEVEL_WARN, "isolated",
		    "revision=%" PRIu64 " why=\"no leader has confirmed it in "
		    "time\"",
		    action->revision);
		break;
	case CY_REJOINED:
		log_event(LOG_LEVEL_INFO, "rejoined", "revision=%" PRIu64,
		    action->revision);
		if (gf->gw->entry != NULL)
			ge_wake_waiting(gf->gw->entry);
		break;
	case CY_PERSIST:
		break;
	}
}

static void
on_tick(void *ctx)
{
	struct gf *gf = ctx;

	gf->tick = NULL;
	cy_node_tick(gf->node, loop_now_us(gf->gw->loop));
	set_tick(gf);
}

static void
set_tick(struct gf *gf)
{
	int64_t wait_us = cy_node_due_us(gf->node) - loop_now_us(gf->gw->loop);

	loop_cancel(gf->tick);
	if (wait_us < 1000)
		wait_us = 1000;
	if (wait_us > TICK_MAX_US)
		wait_us = TICK_MAX_US;
	gf->tick = loop_after(gf->gw->loop, wait_us, on_tick, gf);
}

/* Returns the orders in force here. */
const struct ord *
gf_orders(const struct gf *gf)
{
	return gf->ord;
}

/* Whether nothing newer can be in force elsewhere for longer than allowed. */
bool
gf_is_fresh(const struct gf *gf)
{
	return !cy_node_isolated(gf->node, clock_monotonic_us());
}

/* Whether the orders ever were fresh in this life of the process. */
bool
gf_was_fresh(const struct gf *gf)
{
	return cy_node_lease_until_us(gf->node) != 0;
}

/* Returns how long the orders still count as fresh without a word. */
int64_t
gf_left_us(const struct gf *gf)
{
	return cy_node_lease_until_us(gf->node) - clock_monotonic_us();
}

/* Takes a message of a replica. */
void
gf_message(struct gf *gf, uint32_t from, const uint8_t *data, uint32_t len)
{
	int64_t now_us = loop_now_us(gf->gw->loop);
	uint64_t before = cy_node_revision(gf->node);
	struct buf scratch;
	struct cy_msg msg;

	if (gf_was_fresh(gf))
		gf->confirmed_us =
		    cy_node_lease_until_us(gf->node) - gf->lease_us;
	buf_init(&scratch, gf->gw->alloc);
	if (cy_msg_decode(&msg, data, len, &scratch) == 0)
		cy_node_message(gf->node, now_us, from, &msg);
	else
		log_event(
		    LOG_LEVEL_WARN, "message_unreadable", "channel=config");
	if (cy_node_revision(gf->node) > before)
		cy_node_in_force(gf->node, now_us, cy_node_revision(gf->node));
	buf_free(&scratch);
	set_tick(gf);
}

/* Sets the replicas to ask; a changed list is asked at once. */
void
gf_upstream(struct gf *gf, const uint32_t *instances, uint32_t count)
{
	bool same = count == gf->upstream_count;

	for (uint32_t i = 0; same && i < count; i++)
		same = instances[i] == gf->upstream[i];
	if (same)
		return;
	if (count > sizeof(gf->upstream) / sizeof(gf->upstream[0]))
		count = sizeof(gf->upstream) / sizeof(gf->upstream[0]);
	for (uint32_t i = 0; i < count; i++)
		gf->upstream[i] = instances[i];
	gf->upstream_count = count;
	cy_node_upstream(gf->node, instances, count);
	set_tick(gf);
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gf *gf;
	uint32_t upstream[64];
	struct cy_options options = {.alloc = gw->alloc,
	    .emit = emit,
	    .apply = df_apply,
	    .instance = gw->self,
	    .incarnation = gw->incarnation,
	    .period_ms = PERIOD_MS,
	    .keen = true,
	    .lease_ms = gw->settings->revoke_ms > 2 * LEASE_MARGIN_MS
			    ? gw->settings->revoke_ms - LEASE_MARGIN_MS
			    : gw->settings->revoke_ms / 2};

	if (gw->settings->listen.host[0] == '\0')
		return 0;
	gf = alloc_zero(gw->alloc, 1, sizeof(*gf));
	gf->gw = gw;
	gf->ord = ord_new(gw->alloc);
	gf->lease_us = (int64_t)options.lease_ms * 1000;
	options.ctx = gf;
	gf->node = cy_node_new(&options);
	gw->follow = gf;
	gf_upstream(gf, upstream, gw_control_instances(gw, upstream, 64));
	set_tick(gf);
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gf *gf = gw->follow;

	if (gf == NULL)
		return;
	gw->follow = NULL;
	loop_cancel(gf->tick);
	cy_node_free(gf->node);
	ord_free(gf->ord);
	alloc_free(gw->alloc, gf);
}

struct sup_child_spec
gw_child_follow(struct gw *gw)
{
	return (struct sup_child_spec){"follow", start, stop, gw};
}
