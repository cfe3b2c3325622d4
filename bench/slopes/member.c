#include <string.h>

#include "slopes.h"
#include "state/member.h"

/*
 * Membership and the items it distributes: all instances of one data centre,
 * and one instance, the relay, of each other data centre.
 */
enum {
	TICK_US = 100000,
	WARM_UP_TICKS = 300,
	MEASURE_TICKS = 600,
	TICKS_PER_S = 10,
	VERSIONS = 26
};

struct member_world {
	struct net net;
	struct meter meter;
	struct membership *membership[HOSTS_MAX];
	uint32_t local_count; /* instances of the first data centre */
	uint32_t total; /* instances of all data centres */
	int64_t now_us;
	uint64_t received_items;
	uint64_t silent; /* times that a member declared a data centre silent */
	uint64_t published;
};

struct member_node {
	struct member_world *world;
	uint32_t self;
};

static struct member_node node_ctx[HOSTS_MAX];

static void
emit(void *ctx, const struct member_action *action)
{
	const struct member_node *node = ctx;
	struct member_world *w = node->world;
	struct buf bytes;

	if (action->kind == MEMBER_ITEM_RECEIVED &&
	    action->item->kind == MEMBER_ITEM_RATING &&
	    node->self <= w->local_count)
		w->received_items++;
	if (action->kind == MEMBER_DATA_CENTRE_SILENT &&
	    node->self <= w->local_count)
		w->silent++;
	if (action->kind != MEMBER_SEND || action->to == 0 ||
	    action->to > w->total)
		return;
	buf_init(&bytes, alloc_default());
	member_msg_encode(action->msg, &bytes);
	net_send(&w->net, node->self, action->to, 0, &bytes);
	buf_free(&bytes);
}

/* Decodes a message and passes it to its member. */
static void
deliver(void *ctx, const struct packet *p)
{
	struct member_world *w = ctx;
	static struct member_msg msg;

	if (member_msg_decode(&msg, p->bytes.data, p->bytes.len) == 0)
		member_receive(w->membership[p->to], w->now_us, p->from, &msg);
}

/*
 * Creates a member of a data centre.  The first three members of the first data
 * centre are its voters.
 */
static void
start_node(struct member_world *w, uint32_t self, uint16_t centre)
{
	struct member_options o = {.alloc = &w->meter.alloc,
	    .emit = emit,
	    .ctx = &node_ctx[self],
	    .seed = self,
	    .instance = self,
	    .incarnation = 1,
	    .data_centre = centre};

	node_ctx[self] = (struct member_node){w, self};
	if (centre == 0) {
		for (uint32_t i = 1; i <= 3 && i <= w->local_count; i++)
			o.voters[o.voter_count++] = i;
	} else {
		o.voters[o.voter_count++] = self;
	}
	w->membership[self] = member_new(&o, w->now_us);
	for (uint32_t i = 1; i <= w->local_count; i++) {
		if (centre == 0 && i != self)
			member_add_seed(w->membership[self], i);
		else if (centre != 0)
			member_add_data_centre_seed(w->membership[self], 0, i);
	}
	for (uint32_t i = w->local_count + 1; i <= w->total; i++) {
		if (i != self)
			member_add_data_centre_seed(w->membership[self],
			    (uint16_t)(i - w->local_count), i);
	}
}

/* Publishes ratings at the members in turn, rate a second in all. */
static void
publish_ratings(struct member_world *w, uint32_t tick, uint32_t rate)
{
	uint32_t due =
	    rate * (tick + 1) / TICKS_PER_S - rate * tick / TICKS_PER_S;
	struct member_item item = {.kind = MEMBER_ITEM_RATING, .len = 12};

	for (uint32_t i = 0; i < due; i++) {
		uint32_t self = 1 + (uint32_t)(w->published++ % w->local_count);

		net_cpu_start(&w->net);
		member_publish(w->membership[self], w->now_us, &item, 0, true);
		net_cpu_stop(&w->net, self);
	}
}

/* Runs ticks of virtual time with a number of ratings a second. */
static void
run_ticks(struct member_world *w, uint32_t ticks, uint32_t rate)
{
	uint16_t spare[MEMBER_VERSIONS_MAX] = {0};

	for (uint32_t t = 0; t < ticks; t++) {
		for (uint32_t i = 1; i <= w->total; i++) {
			if ((t + i) % TICKS_PER_S == 0) {
				for (int v = 0; v < VERSIONS; v++)
					spare[v] = (uint16_t)(20 + v);
				member_set_spare(w->membership[i], spare);
			}
			net_cpu_start(&w->net);
			member_tick(w->membership[i], w->now_us);
			net_cpu_stop(&w->net, i);
		}
		publish_ratings(w, t, rate);
		net_deliver_all(&w->net);
		w->now_us += TICK_US;
	}
}

/*
 * Measures one point.  value[0] is the number of data centres declared silent
 * if the sweep is over ratings, and the bytes of state of a member otherwise.
 */
static void
measure(struct sweep *sweep, double x, uint32_t local_count, uint32_t centres,
    uint32_t rate)
{
	static struct member_world w;
	struct point *p = sweep_add_point(sweep, x);
	double seconds = (double)MEASURE_TICKS / TICKS_PER_S;
	uint32_t relay = 0;

	memset(&w, 0, sizeof(w));
	net_init(&w.net, deliver, &w);
	meter_init(&w.meter);
	w.now_us = 1000000;
	w.local_count = local_count;
	w.total = local_count + centres - 1;
	for (uint32_t i = 1; i <= w.total; i++)
		start_node(
		    &w, i, (uint16_t)(i <= local_count ? 0 : i - local_count));
	run_ticks(&w, WARM_UP_TICKS, rate);
	net_reset_counts(&w.net);
	w.received_items = w.published = w.silent = 0;
	run_ticks(&w, MEASURE_TICKS, rate);
	for (uint32_t i = 1; i <= local_count; i++) {
		if (member_role_held(w.membership[i], MEMBER_RELAY, w.now_us))
			relay = i;
	}
	p->value[0] = rate > 0 || x == 0 ? (double)w.silent
					 : (double)w.meter.live / w.total;
	net_average_cost(&w.net, 1, local_count, seconds, &p->value[1]);
	if (relay != 0)
		net_average_cost(&w.net, relay, relay, seconds, &p->value[4]);
	p->value[7] = rate > 0 ? (double)w.received_items /
				     ((double)w.published * (local_count - 1))
			       : 1;
	for (uint32_t i = 1; i <= w.total; i++)
		member_free(w.membership[i]);
	net_free(&w.net);
}

/* Measures members and the relay by instances, data centres and ratings. */
void
slopes_member(void)
{
	static const char names[] =
	    "state_bytes,messages_s,bytes_s,cpu_us_s,relay_messages_s,"
	    "relay_bytes_s,relay_cpu_us_s,items_delivered";
	static const uint32_t local_count[] = {2, 8, 21, 42, 84, 120};
	static const uint32_t centres[] = {2, 5, 8, 15};
	static const uint32_t rates[] = {0, 2, 4, 8, 40, 160, 640};
	struct sweep *s =
	    sweep_begin("member", "instances of a data centre", names);

	for (uint32_t i = 0; i < 6; i++)
		measure(s, local_count[i], local_count[i], 5, 0);
	s = sweep_begin("member", "data centres", names);
	for (uint32_t i = 0; i < 4; i++)
		measure(s, centres[i], 84, centres[i], 0);
	s = sweep_begin("member", "ratings/s of a data centre",
	    "taken_for_silent,messages_s,bytes_s,cpu_us_s,relay_messages_s,"
	    "relay_bytes_s,relay_cpu_us_s,items_delivered");
	for (uint32_t i = 0; i < 7; i++)
		measure(s, rates[i], 84, 5, rates[i]);
}
