#include <string.h>

#include "slopes.h"
#include "state/bill.h"

/*
 * Bills: three replicas, and owners that write an intent, settle it after 200
 * ms and keep each bill until it is durable.  A seal is agreed on each second.
 */
enum {
	REPLICAS = 3,
	OWNERS_MAX = 420,
	TICK_US = 20000,
	TICKS_PER_S = 50,
	WARM_UP_TICKS = 500,
	MEASURE_TICKS = 500,
	SETTLE_DELAY_TICKS = 10,
	WALL_S = 1800000000,
	OPEN_BILLS_MAX = 65536,
	DISCONNECTED_OWNERS = 8,
	DISCONNECTED_BILLS_PER_S = 61, /* of all owners; 7.6 a second each */
	MERGE_TICKS_MAX = 3000
};

struct bills_world {
	struct net net;
	struct meter store_meter;
	struct meter client_meter;
	struct bill_store *stores[REPLICAS + 1];
	struct bill_client *clients[OWNERS_MAX];
	uint64_t persist[REPLICAS + 1];
	uint32_t owners;
	int64_t now_us;
	struct {
		uint32_t owner;
		int64_t sequence;
		uint32_t tick;
	} open[OPEN_BILLS_MAX];
	uint32_t open_first;
	uint32_t open_count;
	uint32_t tick;
	uint64_t opened;
	uint64_t archived;
	bool replicas_unreachable; /* drops messages to and from them */
};

struct bills_node {
	struct bills_world *world;
	uint32_t self;
};

static struct bills_node node_ctx[REPLICAS + OWNERS_MAX + 1];

/* Encodes and queues a message, unless the replicas are unreachable. */
static void
send_msg(struct bills_world *w, uint32_t from, uint32_t to,
    const struct bill_msg *msg)
{
	struct buf bytes;

	if (w->replicas_unreachable && (from <= REPLICAS || to <= REPLICAS))
		return;
	buf_init(&bytes, alloc_default());
	bill_msg_encode(msg, &bytes);
	net_send(&w->net, from, to, 0, &bytes);
	buf_free(&bytes);
}

static void
emit_store(void *ctx, const struct bill_store_action *a)
{
	const struct bills_node *node = ctx;

	if (a->kind == BILL_STORE_SEND)
		send_msg(node->world, node->self, a->to, a->msg);
	if (a->kind == BILL_STORE_PERSIST)
		node->world->persist[node->self] = a->sequence;
	if (a->kind == BILL_STORE_ARCHIVE && node->self == 1)
		node->world->archived++;
}

static void
emit_client(void *ctx, const struct bill_client_action *a)
{
	const struct bills_node *node = ctx;

	if (a->kind == BILL_CLIENT_SEND)
		send_msg(node->world, node->self, a->to, a->msg);
}

/* Passes a message to its node; records become durable at once. */
static void
deliver(void *ctx, const struct packet *p)
{
	struct bills_world *w = ctx;
	static struct bill_msg msg;

	if (bill_msg_decode(&msg, p->bytes.data, p->bytes.len) != 0)
		return;
	if (p->to > REPLICAS) {
		bill_client_receive(
		    w->clients[p->to - REPLICAS - 1], w->now_us, p->from, &msg);
		return;
	}
	bill_store_receive(w->stores[p->to], w->now_us, p->from, &msg);
	if (w->persist[p->to] != 0)
		bill_store_persisted(w->stores[p->to], w->persist[p->to]);
	w->persist[p->to] = 0;
}

/* Writes the intent of a new bill at the next owner in turn. */
static void
add_intent(struct bills_world *w)
{
	uint32_t owner = (uint32_t)(w->opened % w->owners), at;
	int64_t sequence;

	net_cpu_start(&w->net);
	sequence = bill_client_add_intent(w->clients[owner], w->now_us,
	    WALL_S + w->now_us / 1000000, 7, 0xffff, ++w->opened);
	net_cpu_stop(&w->net, REPLICAS + 1 + owner);
	if (sequence < 0 || w->open_count == OPEN_BILLS_MAX)
		return;
	at = (w->open_first + w->open_count++) % OPEN_BILLS_MAX;
	w->open[at].owner = owner;
	w->open[at].sequence = sequence;
	w->open[at].tick = w->tick;
}

/* Settles the bills whose delay has passed. */
static void
settle_due(struct bills_world *w)
{
	struct bill_item item = {.attempt = 1,
	    .version = 99,
	    .prompt_tokens = 1000,
	    .output_tokens = 470,
	    .cost_nano = 470000};

	while (w->open_count > 0 &&
	       w->tick - w->open[w->open_first].tick >= SETTLE_DELAY_TICKS) {
		uint32_t owner = w->open[w->open_first].owner;
		uint64_t n = (uint64_t)w->open[w->open_first].sequence;

		net_cpu_start(&w->net);
		bill_client_add_item(w->clients[owner], n, &item);
		bill_client_settle(w->clients[owner], w->now_us, n);
		net_cpu_stop(&w->net, REPLICAS + 1 + owner);
		w->open_first = (w->open_first + 1) % OPEN_BILLS_MAX;
		w->open_count--;
	}
}

/* Lets the first replica propose a seal, and all replicas agree to it. */
static void
agree_seal(struct bills_world *w)
{
	static struct bill_seal next;

	net_cpu_start(&w->net);
	if (bill_store_propose_seal(w->stores[1], &next)) {
		net_cpu_stop(&w->net, 1);
		for (uint32_t i = 1; i <= REPLICAS; i++) {
			net_cpu_start(&w->net);
			bill_store_seal_agreed(w->stores[i], &next);
			net_cpu_stop(&w->net, i);
		}
	}
}

/* Runs ticks of virtual time with a number of new bills a second. */
static void
run_ticks(struct bills_world *w, uint32_t ticks, double rate)
{
	uint32_t n;

	for (uint32_t t = 0; t < ticks; t++, w->tick++) {
		for (n = events_in_tick(t, TICKS_PER_S, rate); n > 0; n--)
			add_intent(w);
		settle_due(w);
		for (uint32_t i = 0; i < w->owners; i++) {
			net_cpu_start(&w->net);
			bill_client_tick(w->clients[i], w->now_us);
			net_cpu_stop(&w->net, REPLICAS + 1 + i);
		}
		for (uint32_t i = 1; i <= REPLICAS; i++) {
			net_cpu_start(&w->net);
			bill_store_tick(w->stores[i], w->now_us);
			net_cpu_stop(&w->net, i);
		}
		net_deliver_all(&w->net);
		if (w->tick % TICKS_PER_S == 0)
			agree_seal(w);
		w->now_us += TICK_US;
	}
}

/* Creates the replicas and the owners of a new world. */
static void
start_nodes(struct bills_world *w, uint32_t owners)
{
	static const uint32_t all[REPLICAS] = {1, 2, 3};

	memset(w, 0, sizeof(*w));
	net_init(&w->net, deliver, w);
	meter_init(&w->store_meter);
	meter_init(&w->client_meter);
	w->now_us = 10000000;
	w->owners = owners;
	for (uint32_t i = 1; i <= REPLICAS; i++) {
		uint32_t others[2] = {i % 3 + 1, (i + 1) % 3 + 1};
		struct bill_store_options o = {.alloc = &w->store_meter.alloc,
		    .emit = emit_store,
		    .ctx = &node_ctx[i],
		    .instance = i,
		    .life = i};

		node_ctx[i] = (struct bills_node){w, i};
		w->stores[i] = bill_store_new(&o);
		bill_store_set_peers(w->stores[i], others, 2);
	}
	for (uint32_t i = 0; i < owners; i++) {
		uint32_t self = REPLICAS + 1 + i;
		struct bill_client_options c = {.alloc = &w->client_meter.alloc,
		    .emit = emit_client,
		    .ctx = &node_ctx[self],
		    .instance = self,
		    .owner = 1000 + i};

		node_ctx[self] = (struct bills_node){w, self};
		w->clients[i] = bill_client_new(&c);
		bill_client_set_replicas(w->clients[i], all, REPLICAS);
	}
}

/* Measures one point; value[7] is the sealed share of the bills. */
static void
measure(struct sweep *sweep, double x, uint32_t owners, double rate)
{
	static struct bills_world w;
	struct point *p = sweep_add_point(sweep, x);
	double seconds = (double)MEASURE_TICKS / TICKS_PER_S, values[3];
	uint64_t archived;

	start_nodes(&w, owners);
	run_ticks(&w, WARM_UP_TICKS, rate);
	net_reset_counts(&w.net);
	archived = w.archived;
	run_ticks(&w, MEASURE_TICKS, rate);
	p->value[0] = (double)w.store_meter.live / REPLICAS;
	net_average_cost(&w.net, 1, REPLICAS, seconds, &p->value[1]);
	net_average_cost(
	    &w.net, REPLICAS + 1, REPLICAS + owners, seconds, values);
	p->value[4] = (double)w.client_meter.live / owners;
	p->value[5] = values[1];
	p->value[6] = values[2];
	p->value[7] = (double)(w.archived - archived) / seconds / rate;
	for (uint32_t i = 1; i <= REPLICAS; i++)
		bill_store_free(w.stores[i]);
	for (uint32_t i = 0; i < owners; i++)
		bill_client_free(w.clients[i]);
	net_free(&w.net);
}

/* Returns the number of bills that the owners hold. */
static uint32_t
count_open_bills(const struct bills_world *w)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < w->owners; i++)
		count += bill_client_bill_count(w->clients[i]);
	return count;
}

/*
 * Measures eight owners that reach no replica for some time, and the merge of
 * their bills afterwards.
 */
static void
measure_disconnected(struct sweep *sweep, uint32_t seconds)
{
	static struct bills_world w;
	struct point *p = sweep_add_point(sweep, seconds);
	uint32_t peers[DISCONNECTED_OWNERS - 1], ticks = 0;
	double values[3];

	start_nodes(&w, DISCONNECTED_OWNERS);
	for (uint32_t i = 0; i < DISCONNECTED_OWNERS; i++) {
		for (uint32_t k = 0; k < DISCONNECTED_OWNERS - 1; k++)
			peers[k] =
			    REPLICAS + 1 + (i + k + 1) % DISCONNECTED_OWNERS;
		bill_client_set_peers(
		    w.clients[i], peers, DISCONNECTED_OWNERS - 1);
	}
	run_ticks(&w, WARM_UP_TICKS, DISCONNECTED_BILLS_PER_S);
	w.replicas_unreachable = true;
	net_reset_counts(&w.net);
	run_ticks(&w, seconds * TICKS_PER_S, DISCONNECTED_BILLS_PER_S);
	p->value[0] = (double)w.client_meter.live / DISCONNECTED_OWNERS;
	net_average_cost(&w.net, REPLICAS + 1, REPLICAS + DISCONNECTED_OWNERS,
	    seconds, &p->value[1]);
	p->value[4] = count_open_bills(&w);
	w.replicas_unreachable = false;
	net_reset_counts(&w.net);
	for (; ticks < MERGE_TICKS_MAX && count_open_bills(&w) > 0; ticks++)
		run_ticks(&w, 1, 0);
	p->value[5] = (double)ticks / TICKS_PER_S;
	net_average_cost(
	    &w.net, REPLICAS + 1, REPLICAS + DISCONNECTED_OWNERS, 1, values);
	p->value[6] = values[1];
	p->value[7] = (double)w.store_meter.live / REPLICAS;
	for (uint32_t i = 1; i <= REPLICAS; i++)
		bill_store_free(w.stores[i]);
	for (uint32_t i = 0; i < DISCONNECTED_OWNERS; i++)
		bill_client_free(w.clients[i]);
	net_free(&w.net);
}

/* Measures bills by their rate and by the number of owners. */
void
slopes_bills(void)
{
	static const char names[] =
	    "store_state_bytes,store_messages_s,store_bytes_s,store_cpu_us_s,"
	    "client_state_bytes,client_bytes_s,client_cpu_us_s,sealed_share";
	static const double rates[] = {100, 400, 800, 1600, 3200};
	static const uint32_t owners[] = {8, 32, 64, 128, 420};
	struct sweep *s = sweep_begin("bills", "bills/s", names);

	for (uint32_t i = 0; i < 5; i++)
		measure(s, rates[i], 420, rates[i]);
	s = sweep_begin("bills", "owners", names);
	for (uint32_t i = 0; i < 5; i++)
		measure(s, owners[i], owners[i], 800);
}

/* Measures bills by the time without a replica, and the merge after it. */
void
slopes_bills_disconnected(void)
{
	static const uint32_t seconds[] = {15, 30, 60, 120};
	struct sweep *s = sweep_begin("bills", "seconds without a replica",
	    "client_state_bytes,client_messages_s,client_bytes_s,"
	    "client_cpu_us_s,open_bills,merge_s,merge_bytes,"
	    "store_state_bytes");

	for (uint32_t i = 0; i < 4; i++)
		measure_disconnected(s, seconds[i]);
}
