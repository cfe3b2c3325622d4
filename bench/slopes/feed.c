#include <string.h>

#include "slopes.h"
#include "wire/feed.pb-c.h"

/*
 * Distribution of announcements within a data centre, as in the daemon: a
 * server announces itself to an instance, which batches announcements for 1 s
 * and sends them down a binary tree with itself as the root.  Here the batches
 * are encoded and counted along that tree; the cost of receiving one is its
 * decoding alone.
 */
enum {
	GATHER_INTERVAL_US = 1000000,
	FULL_INTERVAL_US = 10000000, /* between full announcements */
	RUN_S = 30,
	CHILDREN = 2
};

struct feed_size {
	uint32_t servers;
	uint32_t instances;
	int64_t announce_interval_us; /* of one server */
};

struct feed_world {
	struct net net;
	struct feed_size size;
};

/* Forwards a batch to the children of an instance in the tree of a root. */
static void
send_to_children(
    struct feed_world *w, uint32_t root, uint32_t self, const struct buf *bytes)
{
	uint32_t n = w->size.instances, at = (self + n - root) % n;

	for (uint32_t c = 1; c <= CHILDREN; c++) {
		if (CHILDREN * at + c < n)
			net_send(&w->net, self + 1,
			    (CHILDREN * at + c + root) % n + 1, 0, bytes);
	}
}

/* Decodes a batch and forwards it to the children of its receiver. */
static void
deliver(void *ctx, const struct packet *p)
{
	struct feed_world *w = ctx;
	Feedpb__Batch *batch =
	    feedpb__batch__unpack(NULL, p->bytes.len, p->bytes.data);

	if (batch == NULL)
		return;
	send_to_children(w, batch->root, p->to - 1, &p->bytes);
	feedpb__batch__free_unpacked(batch, NULL);
}

/*
 * Appends a server's announcement; a full one also has the fields that seldom
 * change.
 */
static void
add_server(struct buf *bytes, uint32_t server, bool full)
{
	static char *versions[] = {"drafter/small-1", "drafter/large-1"};
	Feedpb__Server pb = FEEDPB__SERVER__INIT;
	Feedpb__Server *list[1] = {&pb};
	Feedpb__Batch batch = FEEDPB__BATCH__INIT;

	pb.hash = server + 1;
	pb.incarnation = UINT64_C(1800000000000000) + server;
	pb.running = server % 16 + 1;
	pb.queued = server % 3;
	pb.token_us = 20000;
	pb.warm = true;
	if (full) {
		pb.slots = 16;
		pb.cold_slots = 2;
		pb.name = "curepe-engine-100";
		pb.address = "10.12.13.14:20200";
		pb.n_versions = 2;
		pb.versions = versions;
	}
	batch.n_servers = 1;
	batch.servers = list;
	buf_reserve(bytes, feedpb__batch__get_packed_size(&batch));
	bytes->len += feedpb__batch__pack(&batch, bytes->data + bytes->len);
}

/* Sends the batch of the servers that announced themselves to an instance. */
static void
flush_batch(struct feed_world *w, uint32_t root, int64_t now_us)
{
	Feedpb__Batch head = FEEDPB__BATCH__INIT;
	struct buf bytes;
	bool any = false;

	head.root = root;
	buf_init(&bytes, alloc_default());
	buf_reserve(&bytes, feedpb__batch__get_packed_size(&head));
	bytes.len = feedpb__batch__pack(&head, bytes.data);
	for (uint32_t s = root; s < w->size.servers; s += w->size.instances) {
		/* Announcements are spread over the period by server. */
		int64_t at = now_us + s * INT64_C(7919) * 1000;

		if (w->size.announce_interval_us > GATHER_INTERVAL_US &&
		    at % w->size.announce_interval_us >= GATHER_INTERVAL_US)
			continue;
		any = true;
		add_server(
		    &bytes, s, at % FULL_INTERVAL_US < GATHER_INTERVAL_US);
	}
	if (any)
		send_to_children(w, root, root, &bytes);
	buf_free(&bytes);
}

/* Measures one point; value[3] is the highest bytes/s of an instance. */
static void
measure(struct sweep *sweep, double x, struct feed_size size)
{
	static struct feed_world w;
	struct point *p = sweep_add_point(sweep, x);
	double highest_bytes_s = 0;

	memset(&w, 0, sizeof(w));
	net_init(&w.net, deliver, &w);
	w.size = size;
	for (int64_t t = 0; t < RUN_S * INT64_C(1000000);
	     t += GATHER_INTERVAL_US) {
		for (uint32_t i = 0; i < size.instances; i++) {
			net_cpu_start(&w.net);
			flush_batch(&w, i, t);
			net_cpu_stop(&w.net, i + 1);
		}
		net_deliver_all(&w.net);
	}
	net_average_cost(&w.net, 1, size.instances, RUN_S, p->value);
	for (uint32_t i = 1; i <= size.instances; i++) {
		double values[3];

		net_average_cost(&w.net, i, i, RUN_S, values);
		if (values[1] > highest_bytes_s)
			highest_bytes_s = values[1];
	}
	p->value[3] = highest_bytes_s;
	net_free(&w.net);
}

/* Measures the feed by servers, instances and the interval of announcements. */
void
slopes_feed(void)
{
	static const char names[] = "messages_s,bytes_s,cpu_us_s,most_bytes_s";
	static const uint32_t servers[] = {18, 36, 73, 146, 256};
	static const uint32_t instances[] = {2, 8, 21, 42, 84, 120};
	static const int64_t periods[] = {500, 1000, 1500, 2500};
	struct sweep *s = sweep_begin("feed", "servers", names);

	for (uint32_t i = 0; i < 5; i++)
		measure(
		    s, servers[i], (struct feed_size){servers[i], 84, 500000});
	s = sweep_begin("feed", "instances", names);
	for (uint32_t i = 0; i < 6; i++)
		measure(s, instances[i],
		    (struct feed_size){146, instances[i], 500000});
	s = sweep_begin("feed", "announcements/s of a server", names);
	for (uint32_t i = 0; i < 4; i++)
		measure(s, 1000.0 / (double)periods[3 - i],
		    (struct feed_size){146, 84, periods[3 - i] * 1000});
}
