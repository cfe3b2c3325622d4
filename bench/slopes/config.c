#include <string.h>

#include "slopes.h"
#include "state/cfgsync.h"

/*
 * Configuration distribution: a source, the relay of each of five data centres,
 * and the instances of the first one.  A delta replaces one section of 600
 * bytes.
 */
enum {
	TICK_US = 100000,
	TICKS_PER_S = 10,
	MEASURE_TICKS = 1200,
	DATA_CENTRES = 5,
	SECTION_BYTES = 600,
	SOURCE = 1
};

struct config_world {
	struct net net;
	struct meter source_meter;
	struct meter relay_meter;
	struct meter leaf_meter;
	struct cfgsync_source *source;
	struct cfgsync_node *nodes[HOSTS_MAX];
	uint32_t total;
	int64_t now_us;
	struct buf document;
	uint64_t revision;
};

struct config_node {
	struct config_world *world;
	uint32_t self;
};

static struct config_node node_ctx[HOSTS_MAX];

/* Overwrites the bytes at the offset that the delta starts with. */
static int
apply_delta(void *ctx, const struct buf *document, const uint8_t *delta,
    size_t len, struct buf *out)
{
	uint32_t at;

	(void)ctx;
	memcpy(&at, delta, sizeof(at));
	buf_add(out, document->data, document->len);
	memcpy(out->data + at, delta + sizeof(at), len - sizeof(at));
	return 0;
}

static void
emit(void *ctx, const struct cfgsync_action *action)
{
	const struct config_node *node = ctx;
	struct buf bytes;

	if (action->kind == CFGSYNC_IN_FORCE) {
		cfgsync_node_set_in_force(node->world->nodes[node->self],
		    node->world->now_us, action->revision);
		return;
	}
	if (action->kind != CFGSYNC_SEND)
		return;
	buf_init(&bytes, alloc_default());
	cfgsync_msg_encode(action->msg, &bytes);
	net_send(&node->world->net, node->self, action->to, 0, &bytes);
	buf_free(&bytes);
}

/* Decodes a message and passes it to its node. */
static void
deliver(void *ctx, const struct packet *p)
{
	struct config_world *w = ctx;
	struct cfgsync_msg msg;
	struct buf scratch;

	buf_init(&scratch, alloc_default());
	if (cfgsync_msg_decode(&msg, p->bytes.data, p->bytes.len, &scratch) ==
	    0) {
		if (p->to == SOURCE)
			cfgsync_source_receive(
			    w->source, w->now_us, p->from, &msg);
		else
			cfgsync_node_receive(
			    w->nodes[p->to], w->now_us, p->from, &msg);
	}
	buf_free(&scratch);
}

/* Creates a relay or an instance; the latter gets all from the first relay. */
static void
start_node(struct config_world *w, uint32_t self)
{
	bool relay = self <= SOURCE + DATA_CENTRES;
	uint32_t upstream = relay ? SOURCE : SOURCE + 1;
	struct cfgsync_options o = {
	    .alloc = relay ? &w->relay_meter.alloc : &w->leaf_meter.alloc,
	    .emit = emit,
	    .ctx = &node_ctx[self],
	    .apply = apply_delta,
	    .instance = self,
	    .incarnation = 1};

	node_ctx[self] = (struct config_node){w, self};
	w->nodes[self] = cfgsync_node_new(&o);
	cfgsync_node_set_upstream(w->nodes[self], &upstream, 1);
	cfgsync_node_set_relay(w->nodes[self], relay);
}

/* Changes one section at the source, as a delta or as a whole document. */
static void
accept_change(struct config_world *w, bool whole)
{
	uint32_t at = (uint32_t)(w->revision * SECTION_BYTES %
				 (w->document.len - SECTION_BYTES));
	uint8_t delta[sizeof(at) + SECTION_BYTES];

	memcpy(delta, &at, sizeof(at));
	memset(
	    delta + sizeof(at), 'a' + (int)(w->revision % 26), SECTION_BYTES);
	memcpy(w->document.data + at, delta + sizeof(at), SECTION_BYTES);
	net_cpu_start(&w->net);
	cfgsync_source_accept(w->source, ++w->revision, w->document.data,
	    w->document.len, whole ? NULL : delta, sizeof(delta));
	net_cpu_stop(&w->net, SOURCE);
}

/* Runs ticks of virtual time with a number of changes a second. */
static void
run_ticks(struct config_world *w, uint32_t ticks, double rate)
{
	uint32_t n;

	for (uint32_t t = 0; t < ticks; t++) {
		cfgsync_source_set_fresh_until(w->source, w->now_us + 750000);
		for (n = events_in_tick(t, TICKS_PER_S, rate); n > 0; n--)
			accept_change(w, false);
		for (uint32_t i = SOURCE + 1; i <= w->total; i++) {
			net_cpu_start(&w->net);
			cfgsync_node_tick(w->nodes[i], w->now_us);
			net_cpu_stop(&w->net, i);
		}
		net_deliver_all(&w->net);
		w->now_us += TICK_US;
	}
}

/* Measures one point after the whole document has been distributed. */
static void
measure(struct sweep *sweep, double x, uint32_t leaves, double changes_per_day,
    size_t document)
{
	static struct config_world w;
	struct point *p = sweep_add_point(sweep, x);
	double seconds = (double)MEASURE_TICKS / TICKS_PER_S;
	struct cfgsync_options o = {.emit = emit,
	    .ctx = &node_ctx[SOURCE],
	    .instance = SOURCE,
	    .incarnation = 1};
	double values[3];

	memset(&w, 0, sizeof(w));
	net_init(&w.net, deliver, &w);
	meter_init(&w.source_meter);
	meter_init(&w.relay_meter);
	meter_init(&w.leaf_meter);
	buf_init(&w.document, alloc_default());
	buf_reserve(&w.document, document);
	memset(w.document.data, '#', document);
	w.document.len = document;
	w.now_us = 1000000;
	w.total = SOURCE + DATA_CENTRES + leaves;
	node_ctx[SOURCE] = (struct config_node){&w, SOURCE};
	o.alloc = &w.source_meter.alloc;
	w.source = cfgsync_source_new(&o);
	for (uint32_t i = SOURCE + 1; i <= w.total; i++)
		start_node(&w, i);
	accept_change(&w, true);
	run_ticks(&w, 100, 0);
	net_reset_counts(&w.net);
	run_ticks(&w, MEASURE_TICKS, changes_per_day / 86400);
	net_average_cost(&w.net, SOURCE, SOURCE, seconds, values);
	p->value[0] = (double)w.source_meter.live;
	p->value[1] = values[1];
	net_average_cost(&w.net, SOURCE + 1, SOURCE + 1, seconds, values);
	p->value[2] = (double)w.relay_meter.live / DATA_CENTRES;
	p->value[3] = values[1];
	p->value[4] = values[2];
	net_average_cost(
	    &w.net, SOURCE + DATA_CENTRES + 1, w.total, seconds, values);
	p->value[5] = (double)w.leaf_meter.live / leaves;
	p->value[6] = values[1];
	p->value[7] = values[2];
	for (uint32_t i = SOURCE + 1; i <= w.total; i++)
		cfgsync_node_free(w.nodes[i]);
	cfgsync_source_free(w.source);
	buf_free(&w.document);
	net_free(&w.net);
}

/* Measures distribution by instances, changes and document size. */
void
slopes_config(void)
{
	static const char names[] =
	    "source_state_bytes,source_bytes_s,relay_state_bytes,relay_bytes_s,"
	    "relay_cpu_us_s,leaf_state_bytes,leaf_bytes_s,leaf_cpu_us_s";
	static const uint32_t leaves[] = {2, 8, 21, 42, 83, 120};
	static const double changes_per_day[] = {
	    0, 2900, 29000, 172800, 864000};
	static const size_t sizes[] = {16384, 65536, 262144, 1048576};
	struct sweep *s =
	    sweep_begin("config", "instances of a data centre", names);

	for (uint32_t i = 0; i < 6; i++)
		measure(s, leaves[i], leaves[i], 2900, 65536);
	s = sweep_begin("config", "changes a day", names);
	for (uint32_t i = 0; i < 5; i++)
		measure(s, changes_per_day[i], 83, changes_per_day[i], 65536);
	s = sweep_begin("config", "document bytes", names);
	for (uint32_t i = 0; i < 4; i++)
		measure(s, (double)sizes[i], 83, 2900, sizes[i]);
}
