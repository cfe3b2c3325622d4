#include <string.h>

#include "slopes.h"
#include "state/cfgsync.h"

/*
 * Configuration distribution: a source, a relay for each of five data centres,
 * and the instances of the first.  A delta replaces one section of 600 bytes.
 */
enum {
	TICK_US = 100000,
	TICKS_A_SECOND = 10,
	COUNT_TICKS = 1200,
	CENTRES = 5,
	SECTION = 600,
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

struct config_end {
	struct config_world *world;
	uint32_t self;
};

static struct config_end ends[HOSTS_MAX];

static int
apply(void *ctx, const struct buf *document, const uint8_t *delta, size_t len,
    struct buf *out)
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
	const struct config_end *end = ctx;
	struct buf bytes;

	if (action->kind == CFGSYNC_IN_FORCE) {
		cfgsync_node_set_in_force(end->world->nodes[end->self],
		    end->world->now_us, action->revision);
		return;
	}
	if (action->kind != CFGSYNC_SEND)
		return;
	buf_init(&bytes, alloc_default());
	cfgsync_msg_encode(action->msg, &bytes);
	net_send(&end->world->net, end->self, action->to, 0, &bytes);
	buf_free(&bytes);
}

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

static void
start(struct config_world *w, uint32_t self)
{
	bool relay = self <= SOURCE + CENTRES;
	uint32_t upstream = relay ? SOURCE : SOURCE + 1;
	struct cfgsync_options o = {
	    .alloc = relay ? &w->relay_meter.alloc : &w->leaf_meter.alloc,
	    .emit = emit,
	    .ctx = &ends[self],
	    .apply = apply,
	    .instance = self,
	    .incarnation = 1};

	ends[self] = (struct config_end){w, self};
	w->nodes[self] = cfgsync_node_new(&o);
	cfgsync_node_set_upstream(w->nodes[self], &upstream, 1);
	cfgsync_node_set_relay(w->nodes[self], relay);
}

static void
accept_change(struct config_world *w, bool whole)
{
	uint32_t at =
	    (uint32_t)(w->revision * SECTION % (w->document.len - SECTION));
	uint8_t delta[sizeof(at) + SECTION];

	memcpy(delta, &at, sizeof(at));
	memset(delta + sizeof(at), 'a' + (int)(w->revision % 26), SECTION);
	memcpy(w->document.data + at, delta + sizeof(at), SECTION);
	net_enter(&w->net);
	cfgsync_source_accept(w->source, ++w->revision, w->document.data,
	    w->document.len, whole ? NULL : delta, sizeof(delta));
	net_leave(&w->net, SOURCE);
}

static void
run(struct config_world *w, uint32_t ticks, double rate)
{
	uint32_t n;

	for (uint32_t t = 0; t < ticks; t++) {
		cfgsync_source_set_fresh_until(w->source, w->now_us + 750000);
		for (n = rate_due(t, TICKS_A_SECOND, rate); n > 0; n--)
			accept_change(w, false);
		for (uint32_t i = SOURCE + 1; i <= w->total; i++) {
			net_enter(&w->net);
			cfgsync_node_tick(w->nodes[i], w->now_us);
			net_leave(&w->net, i);
		}
		net_run(&w->net);
		w->now_us += TICK_US;
	}
}

static void
measure(struct sweep *sweep, double x, uint32_t leaves, double a_day,
    size_t document)
{
	static struct config_world w;
	struct point *p = sweep_point(sweep, x);
	double seconds = (double)COUNT_TICKS / TICKS_A_SECOND;
	struct cfgsync_options o = {.emit = emit,
	    .ctx = &ends[SOURCE],
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
	w.total = SOURCE + CENTRES + leaves;
	ends[SOURCE] = (struct config_end){&w, SOURCE};
	o.alloc = &w.source_meter.alloc;
	w.source = cfgsync_source_new(&o);
	for (uint32_t i = SOURCE + 1; i <= w.total; i++)
		start(&w, i);
	accept_change(&w, true);
	run(&w, 100, 0);
	net_reset(&w.net);
	run(&w, COUNT_TICKS, a_day / 86400);
	net_cost(&w.net, SOURCE, SOURCE, seconds, values);
	p->value[0] = (double)w.source_meter.live;
	p->value[1] = values[1];
	net_cost(&w.net, SOURCE + 1, SOURCE + 1, seconds, values);
	p->value[2] = (double)w.relay_meter.live / CENTRES;
	p->value[3] = values[1];
	p->value[4] = values[2];
	net_cost(&w.net, SOURCE + CENTRES + 1, w.total, seconds, values);
	p->value[5] = (double)w.leaf_meter.live / leaves;
	p->value[6] = values[1];
	p->value[7] = values[2];
	for (uint32_t i = SOURCE + 1; i <= w.total; i++)
		cfgsync_node_free(w.nodes[i]);
	cfgsync_source_free(w.source);
	buf_free(&w.document);
	net_free(&w.net);
}

/* Distribution by instances, changes and the size of the document. */
void
slopes_config(void)
{
	static const char names[] =
	    "source_state_bytes,source_bytes_s,relay_state_bytes,relay_bytes_s,"
	    "relay_cpu_us_s,leaf_state_bytes,leaf_bytes_s,leaf_cpu_us_s";
	static const uint32_t leaves[] = {2, 8, 21, 42, 83, 120};
	static const double a_day[] = {0, 2900, 29000, 172800, 864000};
	static const size_t sizes[] = {16384, 65536, 262144, 1048576};
	struct sweep *s =
	    sweep_new("config", "instances of a data centre", names);

	for (uint32_t i = 0; i < 6; i++)
		measure(s, leaves[i], leaves[i], 2900, 65536);
	s = sweep_new("config", "changes a day", names);
	for (uint32_t i = 0; i < 5; i++)
		measure(s, a_day[i], 83, a_day[i], 65536);
	s = sweep_new("config", "document bytes", names);
	for (uint32_t i = 0; i < 4; i++)
		measure(s, (double)sizes[i], 83, 2900, sizes[i]);
}
