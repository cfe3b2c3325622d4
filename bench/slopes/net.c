#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "slopes.h"

enum {
	BLOCK_HEAD = 16, /* holds the size, keeps the alignment */
	FRAME_BYTES = 17 + 4, /* authentication, type, and length */
	ENVELOPE_BYTES = 3, /* channel, and the tag of the body */
	QUEUE_FIRST = 1024
};

static void *
meter_resize(void *ctx, void *block, size_t size)
{
	struct meter *meter = ctx;
	char *head = block != NULL ? (char *)block - BLOCK_HEAD : NULL;

	if (head != NULL)
		meter->live -= *(size_t *)head;
	head = realloc(head, size + BLOCK_HEAD);
	if (head == NULL)
		abort();
	*(size_t *)head = size;
	meter->live += size;
	if (meter->live > meter->peak)
		meter->peak = meter->live;
	return head + BLOCK_HEAD;
}

static void
meter_release(void *ctx, void *block)
{
	struct meter *meter = ctx;

	if (block == NULL)
		return;
	meter->live -= *(size_t *)((char *)block - BLOCK_HEAD);
	free((char *)block - BLOCK_HEAD);
}

/* Makes an allocator that counts. */
void
meter_init(struct meter *meter)
{
	*meter = (struct meter){.alloc = {meter_resize, meter_release, meter}};
}

/* Processor time of this process in nanoseconds. */
int64_t
cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

/* Makes an empty queue; deliver gets each message in its order. */
void
net_init(
    struct net *net, void (*deliver)(void *, const struct packet *), void *ctx)
{
	memset(net, 0, sizeof(*net));
	net->deliver = deliver;
	net->ctx = ctx;
}

/* Releases the queue and what is in it. */
void
net_free(struct net *net)
{
	for (size_t i = net->first; i < net->count; i++)
		buf_free(&net->queue[i].bytes);
	free(net->queue);
	net->queue = NULL;
}

/* Counts anew from here. */
void
net_reset(struct net *net)
{
	memset(net->hosts, 0, sizeof(net->hosts));
}

static size_t
frame_bytes(size_t len)
{
	size_t varint = 1;

	for (size_t rest = len; rest > 127; rest >>= 7)
		varint++;
	return FRAME_BYTES + ENVELOPE_BYTES + varint + len;
}

/* Queues a copy of a message. */
void
net_send(struct net *net, uint32_t from, uint32_t to, int channel,
    const struct buf *bytes)
{
	struct packet *p;
	size_t size = frame_bytes(bytes->len);

	if (from != to) {
		net->hosts[from].sent++;
		net->hosts[from].sent_bytes += size;
		net->hosts[to].received++;
		net->hosts[to].received_bytes += size;
	}
	if (net->count == net->size) {
		net->size = net->size != 0 ? net->size * 2 : QUEUE_FIRST;
		net->queue =
		    realloc(net->queue, net->size * sizeof(*net->queue));
		if (net->queue == NULL)
			abort();
	}
	p = &net->queue[net->count++];
	*p = (struct packet){.from = from, .to = to, .channel = channel};
	buf_init(&p->bytes, alloc_default());
	buf_add(&p->bytes, bytes->data, bytes->len);
}

/* Delivers what is queued, and what that brings, until nothing is left. */
void
net_run(struct net *net)
{
	while (net->first < net->count) {
		struct packet p = net->queue[net->first++];

		net_enter(net);
		net->deliver(net->ctx, &p);
		net_leave(net, p.to);
		buf_free(&p.bytes);
	}
	net->first = net->count = 0;
}

/* Processor time from here to net_leave() is a host's. */
void
net_enter(struct net *net)
{
	net->entered_ns = cpu_ns();
}

/* Ends what net_enter() began. */
void
net_leave(struct net *net, uint32_t host)
{
	net->hosts[host].cpu_ns += cpu_ns() - net->entered_ns;
}

/*
 * Messages a second, bytes a second (both: sent and received) and processor
 * time in microseconds a second, of an average host of a range.
 */
void
net_cost(const struct net *net, uint32_t first, uint32_t last, double seconds,
    double *values)
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

/* How many events of a rate a second fall into a tick. */
uint32_t
rate_due(uint32_t tick, uint32_t ticks_a_second, double rate)
{
	double each = rate / ticks_a_second;

	return (
	    uint32_t)((uint64_t)(each * (tick + 1)) - (uint64_t)(each * tick));
}
