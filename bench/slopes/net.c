#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "slopes.h"

enum {
	BLOCK_HEADER_BYTES = 16, /* the size, padded for alignment */
	FRAME_BYTES = 17 + 4, /* authentication, type and length */
	ENVELOPE_BYTES = 3, /* channel and the tag of the body */
	QUEUE_INITIAL_PACKETS = 1024
};

/* Resizes a block and counts its bytes; aborts if memory is exhausted. */
static void *
meter_resize(void *ctx, void *block, size_t size)
{
	struct meter *meter = ctx;
	char *head = block != NULL ? (char *)block - BLOCK_HEADER_BYTES : NULL;

	if (head != NULL)
		meter->live -= *(size_t *)head;
	head = realloc(head, size + BLOCK_HEADER_BYTES);
	if (head == NULL)
		abort();
	*(size_t *)head = size;
	meter->live += size;
	if (meter->live > meter->peak)
		meter->peak = meter->live;
	return head + BLOCK_HEADER_BYTES;
}

/* Frees a block and uncounts its bytes. */
static void
meter_release(void *ctx, void *block)
{
	struct meter *meter = ctx;

	if (block == NULL)
		return;
	meter->live -= *(size_t *)((char *)block - BLOCK_HEADER_BYTES);
	free((char *)block - BLOCK_HEADER_BYTES);
}

/* Initializes a counting allocator. */
void
meter_init(struct meter *meter)
{
	*meter = (struct meter){.alloc = {meter_resize, meter_release, meter}};
}

/* Returns the processor time of this process in nanoseconds. */
int64_t
cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

/* Initializes an empty queue; deliver is called with each message in order. */
void
net_init(
    struct net *net, void (*deliver)(void *, const struct packet *), void *ctx)
{
	memset(net, 0, sizeof(*net));
	net->deliver = deliver;
	net->ctx = ctx;
}

/* Releases the queue and the messages in it. */
void
net_free(struct net *net)
{
	for (size_t i = net->first; i < net->count; i++)
		buf_free(&net->queue[i].bytes);
	free(net->queue);
	net->queue = NULL;
}

/* Resets the counts of all nodes to 0. */
void
net_reset_counts(struct net *net)
{
	memset(net->hosts, 0, sizeof(net->hosts));
}

/* Returns the bytes on the wire of a message with a body of this length. */
static size_t
framed_size_bytes(size_t len)
{
	size_t varint = 1;

	for (size_t rest = len; rest > 127; rest >>= 7)
		varint++;
	return FRAME_BYTES + ENVELOPE_BYTES + varint + len;
}

/* Queues a copy of a message; one to the sender itself isn't counted. */
void
net_send(struct net *net, uint32_t from, uint32_t to, int channel,
    const struct buf *bytes)
{
	struct packet *p;
	size_t size = framed_size_bytes(bytes->len);

	if (from != to) {
		net->hosts[from].sent++;
		net->hosts[from].sent_bytes += size;
		net->hosts[to].received++;
		net->hosts[to].received_bytes += size;
	}
	if (net->count == net->capacity) {
		net->capacity = net->capacity != 0 ? net->capacity * 2
						   : QUEUE_INITIAL_PACKETS;
		net->queue =
		    realloc(net->queue, net->capacity * sizeof(*net->queue));
		if (net->queue == NULL)
			abort();
	}
	p = &net->queue[net->count++];
	*p = (struct packet){.from = from, .to = to, .channel = channel};
	buf_init(&p->bytes, alloc_default());
	buf_add(&p->bytes, bytes->data, bytes->len);
}

/*
 * Delivers all queued messages, and those sent while delivering, until the
 * queue is empty.
 */
void
net_deliver_all(struct net *net)
{
	while (net->first < net->count) {
		struct packet p = net->queue[net->first++];

		net_cpu_start(net);
		net->deliver(net->ctx, &p);
		net_cpu_stop(net, p.to);
		buf_free(&p.bytes);
	}
	net->first = net->count = 0;
}

/* Starts to measure processor time, up to net_cpu_stop(). */
void
net_cpu_start(struct net *net)
{
	net->cpu_start_ns = cpu_ns();
}

/* Adds the processor time since net_cpu_start() to a node. */
void
net_cpu_stop(struct net *net, uint32_t host)
{
	net->hosts[host].cpu_ns += cpu_ns() - net->cpu_start_ns;
}

/*
 * Stores the averages over a range of nodes: messages a second and bytes a
 * second (both sent and received), and microseconds of processor time a second.
 */
void
net_average_cost(const struct net *net, uint32_t first, uint32_t last,
    double seconds, double *values)
{
	double messages = 0, bytes = 0, cpu = 0;
	double n = (double)(last - first + 1) * seconds;

	for (uint32_t i = first; i <= last; i++) {
		const struct host *h = &net->hosts[i];

		messages += (double)(h->sent + h->received);
		bytes += (double)(h->sent_bytes + h->received_bytes);
		cpu += (double)h->cpu_ns / 1000;
	}
	values[0] = messages / n;
	values[1] = bytes / n;
	values[2] = cpu / n;
}

/* Returns the number of events in a tick at this rate a second. */
uint32_t
events_in_tick(uint32_t tick, uint32_t ticks_a_second, double rate)
{
	double each = rate / ticks_a_second;

	return (
	    uint32_t)((uint64_t)(each * (tick + 1)) - (uint64_t)(each * tick));
}
