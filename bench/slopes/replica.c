#include <string.h>

#include "slopes.h"
#include "state/cfgstore.h"
#include "state/rlog.h"

/*
 * State replicas: the replicated log with the configuration store.  A record
 * counts as durable as soon as the step that requested it has returned.
 */
enum {
	REPLICAS_MAX = 9,
	TICK_US = 10000,
	TICKS_PER_S = 100,
	WARM_UP_TICKS = 500,
	MEASURE_TICKS = 6000,
	SECTIONS = 100,
	SECTION_BYTES = 600
};

struct replica_world {
	struct net net;
	struct meter meter;
	struct rlog *rlog[REPLICAS_MAX];
	struct cfgstore *cfgstore[REPLICAS_MAX];
	struct rlog_actions actions[REPLICAS_MAX];
	uint64_t persist[REPLICAS_MAX];
	uint64_t snapshot[REPLICAS_MAX];
	uint64_t record_bytes[REPLICAS_MAX];
	uint32_t count;
	int64_t now_us;
	uint64_t number;
};

/* Performs one action of a replica, or notes what has to follow the step. */
static void
perform_action(struct replica_world *w, uint32_t i, const struct rlog_action *a)
{
	struct cfgstore_result result;
	struct buf bytes;

	switch (a->kind) {
	case RLOG_ACT_PERSIST:
		w->persist[i] = a->u.persist.number;
		w->record_bytes[i] += a->u.persist.len;
		break;
	case RLOG_ACT_SEND:
		buf_init(&bytes, alloc_default());
		rlog_msg_encode(&a->u.send.message, &bytes);
		net_send(&w->net, i + 1, a->u.send.instance + 1u, 0, &bytes);
		buf_free(&bytes);
		break;
	case RLOG_ACT_APPLY:
		cfgstore_apply(w->cfgstore[i], a->u.apply.entry.index,
		    a->u.apply.entry.data, a->u.apply.entry.len, &result);
		break;
	case RLOG_ACT_TAKE_SNAPSHOT:
		w->snapshot[i] = a->u.take.index;
		break;
	default:
		break;
	}
}

/* Steps a replica and performs its actions. */
static void
step_once(struct replica_world *w, uint32_t i, const struct rlog_event *event)
{
	rlog_step(w->rlog[i], w->now_us, event, &w->actions[i]);
	for (size_t k = 0; k < w->actions[i].count; k++)
		perform_action(w, i, &w->actions[i].items[k]);
}

/* Steps a replica, and completes the records and snapshots it requests. */
static void
step_until_durable(
    struct replica_world *w, uint32_t i, const struct rlog_event *event)
{
	step_once(w, i, event);
	while (w->persist[i] != 0 || w->snapshot[i] != 0) {
		struct rlog_event next = {.kind = RLOG_EV_PERSISTED};
		struct buf image;

		buf_init(&image, alloc_default());
		if (w->persist[i] != 0) {
			next.u.persisted.number = w->persist[i];
			w->persist[i] = 0;
		} else {
			cfgstore_encode_image(w->cfgstore[i], &image);
			next.kind = RLOG_EV_SNAPSHOT_TAKEN;
			next.u.snapshot.index = w->snapshot[i];
			next.u.snapshot.data = image.data;
			next.u.snapshot.len = image.len;
			w->snapshot[i] = 0;
		}
		step_once(w, i, &next);
		buf_free(&image);
	}
}

/* Decodes a message and steps its replica with it. */
static void
deliver(void *ctx, const struct packet *p)
{
	struct replica_world *w = ctx;
	struct rlog_event event = {.kind = RLOG_EV_MESSAGE};
	struct rlog_msg msg;

	if (rlog_msg_decode(p->bytes.data, p->bytes.len, &msg) != 0)
		return;
	event.u.message = &msg;
	step_until_durable(w, p->to - 1, &event);
	rlog_msg_release(&msg);
}

/* Returns the leader's index, or UINT32_MAX if there is none. */
static uint32_t
find_leader(const struct replica_world *w)
{
	for (uint32_t i = 0; i < w->count; i++) {
		if (rlog_is_leader(w->rlog[i]))
			return i;
	}
	return UINT32_MAX;
}

/* Proposes a change of one section at a replica. */
static void
propose_change(struct replica_world *w, uint32_t i)
{
	struct rlog_event event = {.kind = RLOG_EV_PROPOSE};
	char id[32], path[32], text[SECTION_BYTES];
	struct cfgstore_section section;
	struct cfgstore_item item = {
	    .path = path, .text = text, .len = SECTION_BYTES};
	struct cfgstore_change change = {.id = id,
	    .author = "platform",
	    .team = "platform",
	    .when_us = w->now_us,
	    .items = &item,
	    .item_count = 1};
	struct buf bytes;

	snprintf(id, sizeof(id), "change-%u", (unsigned)++w->number);
	snprintf(path, sizeof(path), "workspaces/w%u",
	    (unsigned)(w->number % SECTIONS));
	memset(text, 'a' + (int)(w->number % 26), sizeof(text));
	if (cfgstore_section_get(w->cfgstore[i], path, &section))
		item.base_revision = section.revision;
	buf_init(&bytes, alloc_default());
	cfgstore_change_encode(&change, &bytes);
	event.u.propose.token = w->number;
	event.u.propose.data = bytes.data;
	event.u.propose.len = bytes.len;
	net_cpu_start(&w->net);
	step_until_durable(w, i, &event);
	net_cpu_stop(&w->net, i + 1);
	buf_free(&bytes);
}

/* Runs ticks of virtual time with a number of changes a second. */
static void
run_ticks(struct replica_world *w, uint32_t ticks, double rate)
{
	struct rlog_event tick = {.kind = RLOG_EV_TICK};
	uint32_t n;

	for (uint32_t t = 0; t < ticks; t++) {
		for (uint32_t i = 0; i < w->count; i++) {
			if (w->now_us < rlog_next_tick_us(w->rlog[i]))
				continue;
			net_cpu_start(&w->net);
			step_until_durable(w, i, &tick);
			net_cpu_stop(&w->net, i + 1);
		}
		net_deliver_all(&w->net);
		for (n = events_in_tick(t, TICKS_PER_S, rate); n > 0; n--) {
			if (find_leader(w) != UINT32_MAX)
				propose_change(w, find_leader(w));
			net_deliver_all(&w->net);
		}
		w->now_us += TICK_US;
	}
}

/* Creates a replica with an empty store. */
static void
start_node(struct replica_world *w, uint32_t i)
{
	struct rlog_options o = {.alloc = &w->meter.alloc,
	    .seed = i + 1,
	    .fresh_id = 1000 + i,
	    .instance = (uint16_t)i,
	    .instances = (UINT64_C(1) << w->count) - 1};
	struct cfgstore_options c = {.alloc = &w->meter.alloc};

	w->cfgstore[i] = cfgstore_new(&c);
	w->rlog[i] = rlog_new(&o);
	rlog_start(w->rlog[i], w->now_us);
}

/* Measures one point; none without a leader after the warm-up. */
static void
measure(struct sweep *sweep, double x, uint32_t count, double rate)
{
	static struct replica_world w;
	struct point *p = sweep_add_point(sweep, x);
	double seconds = (double)MEASURE_TICKS / TICKS_PER_S, values[3];
	uint32_t leader, follower;
	uint64_t revision, bytes;

	memset(&w, 0, sizeof(w));
	net_init(&w.net, deliver, &w);
	meter_init(&w.meter);
	w.now_us = 1000000;
	w.count = count;
	for (uint32_t i = 0; i < count; i++)
		start_node(&w, i);
	run_ticks(&w, WARM_UP_TICKS, 0);
	leader = find_leader(&w);
	follower = leader == 0 ? 1 : 0;
	if (leader == UINT32_MAX) {
		fprintf(stderr, "replica: no leader among %u\n", count);
		return;
	}
	revision = cfgstore_revision(w.cfgstore[leader]);
	bytes = w.record_bytes[leader];
	net_reset_counts(&w.net);
	run_ticks(&w, MEASURE_TICKS, rate);
	p->value[0] = (double)w.meter.live / count;
	net_average_cost(&w.net, leader + 1, leader + 1, seconds, values);
	memcpy(&p->value[1], values, sizeof(values));
	net_average_cost(&w.net, follower + 1, follower + 1, seconds, values);
	p->value[4] = values[1];
	p->value[5] = values[2];
	p->value[6] = (double)(w.record_bytes[leader] - bytes) / seconds;
	p->value[7] =
	    (double)(cfgstore_revision(w.cfgstore[leader]) - revision) /
	    seconds;
	for (uint32_t i = 0; i < count; i++) {
		rlog_actions_free(w.rlog[i], &w.actions[i]);
		rlog_free(w.rlog[i]);
		cfgstore_free(w.cfgstore[i]);
	}
	net_free(&w.net);
}

/* Measures replicas by changes and by their number. */
void
slopes_replica(void)
{
	static const char names[] =
	    "state_bytes,leader_messages_s,leader_bytes_s,leader_cpu_us_s,"
	    "follower_bytes_s,follower_cpu_us_s,journal_bytes_s,changes_s";
	static const double rates[] = {0, 1, 4, 16, 64, 256};
	static const uint32_t counts[] = {3, 5, 7, 9};
	struct sweep *s = sweep_begin("replica", "changes/s", names);

	for (uint32_t i = 0; i < 6; i++)
		measure(s, rates[i], 3, rates[i]);
	s = sweep_begin("replica", "replicas", names);
	for (uint32_t i = 0; i < 4; i++)
		measure(s, counts[i], counts[i], 1);
}
