#include <string.h>

#include "slopes.h"
#include "state/claim.h"

/*
 * Claims: three replicas and one instance that acquires each claim, writes its
 * marker and then its outcome.
 */
enum {
	REPLICAS = 3,
	CLIENT = REPLICAS + 1,
	TICK_US = 20000,
	TICKS_PER_S = 50,
	MEASURE_TICKS = 500,
	WALL_S = 1800000000,
	WORKSPACES = 30
};

struct claims_world {
	struct net net;
	struct meter store_meter;
	struct meter client_meter;
	struct claim_store *stores[REPLICAS + 1];
	struct claim_client *client;
	uint64_t persist[REPLICAS + 1];
	uint64_t record_bytes;
	struct rng rng;
	int64_t now_us;
	uint64_t op;
	uint64_t done;
	uint64_t refused;
	uint64_t next[65536]; /* operations whose next step is due */
	enum claim_step step[65536];
	uint32_t next_count;
};

struct claims_node {
	struct claims_world *world;
	uint32_t self;
};

static struct claims_node node_ctx[CLIENT + 1];

/* Encodes and queues a message. */
static void
send_msg(struct claims_world *w, uint32_t from, uint32_t to,
    const struct claim_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, alloc_default());
	claim_msg_encode(msg, &bytes);
	net_send(&w->net, from, to, 0, &bytes);
	buf_free(&bytes);
}

static void
emit_store(void *ctx, const struct claim_store_action *a)
{
	const struct claims_node *node = ctx;

	if (a->kind == CLAIM_STORE_SEND)
		send_msg(node->world, node->self, a->to, a->msg);
	if (a->kind == CLAIM_STORE_PERSIST) {
		node->world->persist[node->self] = a->sequence;
		node->world->record_bytes += a->record_len;
	}
}

static void
emit_client(void *ctx, const struct claim_client_action *a)
{
	struct claims_world *w = ((const struct claims_node *)ctx)->world;

	if (a->kind == CLAIM_CLIENT_SEND)
		send_msg(w, CLIENT, a->to, a->msg);
	if (a->kind != CLAIM_CLIENT_STEP_ENDED)
		return;
	if (a->error != 0) {
		w->refused++;
	} else if (a->step == CLAIM_STEP_DONE) {
		w->done++;
	} else {
		w->step[w->next_count] = a->step;
		w->next[w->next_count++] = a->op;
	}
}

/* Passes a message to its node; records become durable at once. */
static void
deliver(void *ctx, const struct packet *p)
{
	struct claims_world *w = ctx;
	static struct claim_msg msg;

	if (claim_msg_decode(&msg, p->bytes.data, p->bytes.len) != 0)
		return;
	if (p->to == CLIENT) {
		claim_client_receive(w->client, w->now_us, p->from, &msg);
		return;
	}
	claim_store_receive(w->stores[p->to], w->now_us, p->from, &msg);
	if (w->persist[p->to] != 0)
		claim_store_persisted(
		    w->stores[p->to], w->now_us, w->persist[p->to]);
	w->persist[p->to] = 0;
}

/* Delivers messages and takes the next step of operations until all rest. */
static void
advance_operations(struct claims_world *w)
{
	static const uint8_t digest[CLAIM_DIGEST_BYTES];

	net_deliver_all(&w->net);
	while (w->next_count > 0) {
		uint64_t op = w->next[--w->next_count];

		net_cpu_start(&w->net);
		if (w->step[w->next_count] == CLAIM_STEP_ACQUIRE)
			claim_client_write_marker(
			    w->client, w->now_us, op, w->now_us + 2000000);
		else
			claim_client_write_outcome(
			    w->client, w->now_us, op, 200, digest);
		net_cpu_stop(&w->net, CLIENT);
		net_deliver_all(&w->net);
	}
}

/* Acquires a claim with a random key and carries it through its steps. */
static void
acquire_claim(struct claims_world *w)
{
	struct claim_key key = {.workspace = w->op % WORKSPACES,
	    .born = (uint32_t)((WALL_S + w->now_us / 1000000) /
			       CLAIM_BIRTH_BUCKET_S)};

	for (size_t i = 0; i < sizeof(key.hash); i += sizeof(uint64_t)) {
		uint64_t random = rng_u64(&w->rng);

		memcpy(&key.hash[i], &random, sizeof(random));
	}
	net_cpu_start(&w->net);
	claim_client_acquire(
	    w->client, w->now_us, ++w->op, &key, w->now_us + 2000000);
	net_cpu_stop(&w->net, CLIENT);
	advance_operations(w);
}

/* Runs ticks of virtual time with a number of new claims a second. */
static void
run_ticks(struct claims_world *w, uint32_t ticks, double rate)
{
	uint32_t n;

	for (uint32_t t = 0; t < ticks; t++) {
		for (uint32_t i = 1; i <= REPLICAS; i++) {
			net_cpu_start(&w->net);
			claim_store_tick(w->stores[i], w->now_us,
			    WALL_S + w->now_us / 1000000);
			net_cpu_stop(&w->net, i);
		}
		net_cpu_start(&w->net);
		claim_client_tick(w->client, w->now_us);
		net_cpu_stop(&w->net, CLIENT);
		advance_operations(w);
		for (n = events_in_tick(t, TICKS_PER_S, rate); n > 0; n--)
			acquire_claim(w);
		w->now_us += TICK_US;
	}
}

/* Creates the replicas and the client of a new world. */
static void
start_nodes(struct claims_world *w)
{
	struct claim_replicas set = {1, REPLICAS, {1, 2, 3}};

	memset(w, 0, sizeof(*w));
	net_init(&w->net, deliver, w);
	meter_init(&w->store_meter);
	meter_init(&w->client_meter);
	rng_init(&w->rng, 1);
	w->now_us = 10000000;
	for (uint32_t i = 1; i <= CLIENT; i++) {
		struct claim_store_options o = {.alloc = &w->store_meter.alloc,
		    .emit = emit_store,
		    .ctx = &node_ctx[i],
		    .instance = i};
		struct claim_client_options c = {
		    .alloc = &w->client_meter.alloc,
		    .emit = emit_client,
		    .ctx = &node_ctx[i],
		    .instance = i,
		    .incarnation = 1,
		    .seed = 1,
		    .ops_max = 16384};

		node_ctx[i] = (struct claims_node){w, i};
		if (i == CLIENT) {
			w->client = claim_client_new(&c);
			claim_client_set_replicas(w->client, &set);
			continue;
		}
		w->stores[i] = claim_store_new(&o);
		claim_store_set_replicas(w->stores[i], &set);
	}
}

/*
 * Measures one point after a second that stores a number of keys; value[7] is
 * the share of the claims whose last step succeeded.
 */
static void
measure(struct sweep *sweep, double x, double rate, double keys)
{
	static struct claims_world w;
	struct point *p = sweep_add_point(sweep, x);
	double seconds = (double)MEASURE_TICKS / TICKS_PER_S;

	start_nodes(&w);
	run_ticks(&w, TICKS_PER_S, keys);
	net_reset_counts(&w.net);
	w.record_bytes = w.done = w.refused = 0;
	run_ticks(&w, MEASURE_TICKS, rate);
	p->value[0] = (double)w.store_meter.live / REPLICAS;
	net_average_cost(&w.net, 1, REPLICAS, seconds, &p->value[1]);
	net_average_cost(&w.net, CLIENT, CLIENT, seconds, &p->value[4]);
	p->value[6] /= 1;
	p->value[7] = rate > 0 ? (double)w.done / (seconds * rate) : 1;
	for (uint32_t i = 1; i <= REPLICAS; i++)
		claim_store_free(w.stores[i]);
	claim_client_free(w.client);
	net_free(&w.net);
}

/* Measures claims by their rate and by the number of stored keys. */
void
slopes_claims(void)
{
	static const char names[] =
	    "store_state_bytes,store_messages_s,store_bytes_s,store_cpu_us_s,"
	    "client_messages_s,client_bytes_s,client_cpu_us_s,ended_share";
	static const double rates[] = {4, 16, 64, 256, 1024};
	static const double keys[] = {10000, 25000, 50000, 100000, 200000};
	struct sweep *s = sweep_begin("claims", "claims/s", names);

	for (uint32_t i = 0; i < 5; i++)
		measure(s, rates[i], rates[i], 0);
	s = sweep_begin("claims", "keys kept", names);
	for (uint32_t i = 0; i < 5; i++)
		measure(s, keys[i], 16, keys[i]);
}
