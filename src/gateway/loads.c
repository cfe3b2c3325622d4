#include "gateway/loads.h"

#include <string.h>

#include "gateway/entry.h"
#include "route/loads.h"
#include "wire/cluster.pb-c.h"

enum {
	PERIOD_US = 100000, /* with few servers; longer with many */
	SERVER_US = 1250, /* more for each: 10 of 8,000 bytes a second that an
			     instance listens to */
	LASTING_US = 1500000, /* a report that is not followed by another */
	LISTENERS_MAX = 512
};

struct gl {
	struct gw *gw;
	struct ld *entries; /* what entry instances report here */
	struct ld *sums; /* what the others that serve control have summed */
	uint32_t
	    listeners[LISTENERS_MAX]; /* entry instances that report here */
	int64_t heard_us[LISTENERS_MAX];
	uint32_t listener_count;
	bool was_empty; /* the last report said that nothing is under way */
	struct loop_timer *timer;
};

static void
send_loads(struct gl *gl, uint32_t to, const struct ld_load *loads,
    size_t count, bool of_entry)
{
	static uint32_t columns[3][LD_SERVERS_MAX];
	Clpb__Loads pb = CLPB__LOADS__INIT;
	struct buf bytes;

	for (size_t i = 0; i < count; i++) {
		columns[0][i] = loads[i].server;
		columns[1][i] = loads[i].pending_ms;
		columns[2][i] = loads[i].running;
	}
	pb.n_servers = pb.n_pending_ms = pb.n_running = count;
	pb.servers = columns[0];
	pb.pending_ms = columns[1];
	pb.running = columns[2];
	pb.of_entry = of_entry;
	buf_init(&bytes, gl->gw->alloc);
	buf_reserve(&bytes, clpb__loads__get_packed_size(&pb));
	bytes.len = clpb__loads__pack(&pb, bytes.data);
	gw_send(gl->gw, to, PEER_LOADS, &bytes);
	buf_free(&bytes);
}

static void
report_own(struct gl *gl)
{
	static struct ld_load loads[LD_SERVERS_MAX];
	size_t count = pl_own_loads(gl->gw->entry->pool, loads, LD_SERVERS_MAX);
	uint32_t to = gw_nearest_control(gl->gw);

	if (to != 0 && !(count == 0 && gl->was_empty))
		send_loads(gl, to, loads, count, true);
	gl->was_empty = count == 0;
}

static void
forget_listener(struct gl *gl, uint32_t i)
{
	gl->listener_count--;
	gl->listeners[i] = gl->listeners[gl->listener_count];
	gl->heard_us[i] = gl->heard_us[gl->listener_count];
}

/* Two sums over the same servers, added into the first. */
static size_t
merge(struct ld_load *into, size_t count, const struct ld_load *more,
    size_t more_count)
{
	for (size_t i = 0; i < more_count; i++) {
		size_t k = 0;

		while (k < count && into[k].server != more[i].server)
			k++;
		if (k == count && count == LD_SERVERS_MAX)
			continue;
		if (k == count)
			into[count++] = (struct ld_load){more[i].server, 0, 0};
		into[k].pending_ms += more[i].pending_ms;
		into[k].running += more[i].running;
	}
	return count;
}

static void
tell_listeners(struct gl *gl)
{
	static struct ld_load others[LD_SERVERS_MAX], loads[LD_SERVERS_MAX];
	int64_t now_us = loop_now_us(gl->gw->loop);
	size_t other_count =
	    ld_sum(gl->sums, 0, now_us, others, LD_SERVERS_MAX);

	for (uint32_t i = 0; i < gl->listener_count;) {
		size_t count;

		if (now_us - gl->heard_us[i] > LASTING_US) {
			forget_listener(gl, i);
			continue;
		}
		count = ld_sum(gl->entries, gl->listeners[i], now_us, loads,
		    LD_SERVERS_MAX);
		count = merge(loads, count, others, other_count);
		send_loads(gl, gl->listeners[i], loads, count, false);
		i++;
	}
}

static void
tell_control(struct gl *gl)
{
	static struct ld_load loads[LD_SERVERS_MAX];
	uint32_t control[64];
	uint32_t n = gw_control_instances(gl->gw, control, 64);
	size_t count = ld_sum(
	    gl->entries, 0, loop_now_us(gl->gw->loop), loads, LD_SERVERS_MAX);

	if (count == 0 && gl->was_empty)
		return;
	gl->was_empty = count == 0;
	for (uint32_t i = 0; i < n; i++)
		send_loads(gl, control[i], loads, count, false);
}

static void
on_timer(void *ctx)
{
	struct gl *gl = ctx;
	int64_t period_us = (int64_t)rg_count(gl->gw->registry) * SERVER_US;

	if (period_us < PERIOD_US)
		period_us = PERIOD_US;
	gl->timer = loop_after(gl->gw->loop, period_us, on_timer, gl);
	if (gl->gw->entry != NULL) {
		report_own(gl);
	} else {
		tell_control(gl);
		tell_listeners(gl);
	}
}

static void
note_listener(struct gl *gl, uint32_t from, int64_t now_us)
{
	uint32_t i = 0;

	while (i < gl->listener_count && gl->listeners[i] != from)
		i++;
	if (i == LISTENERS_MAX)
		return;
	if (i == gl->listener_count)
		gl->listeners[gl->listener_count++] = from;
	gl->heard_us[i] = now_us;
}

/* Takes a report of an entry instance, or a sum. */
void
gl_message(struct gl *gl, uint32_t from, const uint8_t *data, uint32_t len)
{
	static struct ld_load loads[LD_SERVERS_MAX];
	Clpb__Loads *pb = clpb__loads__unpack(NULL, len, data);
	int64_t now_us = loop_now_us(gl->gw->loop);
	size_t count = 0;

	if (pb == NULL)
		return;
	if (pb->n_pending_ms == pb->n_servers &&
	    pb->n_running == pb->n_servers) {
		for (; count < pb->n_servers && count < LD_SERVERS_MAX; count++)
			loads[count] = (struct ld_load){pb->servers[count],
			    pb->pending_ms[count], pb->running[count]};
	}
	if (gl->gw->entry != NULL) {
		pl_others_loads(gl->gw->entry->pool, loads, count, now_us);
	} else if (pb->of_entry) {
		ld_report(gl->entries, from, loads, count, now_us);
		note_listener(gl, from, now_us);
	} else {
		ld_report(gl->sums, from, loads, count, now_us);
	}
	clpb__loads__free_unpacked(pb, NULL);
}

/* Begins to exchange loads. */
struct gl *
gl_new(struct gw *gw)
{
	struct gl *gl = alloc_zero(gw->alloc, 1, sizeof(*gl));

	gl->gw = gw;
	gl->entries = ld_new(gw->alloc, LASTING_US);
	gl->sums = ld_new(gw->alloc, LASTING_US);
	gl->timer = loop_after(gw->loop, PERIOD_US, on_timer, gl);
	return gl;
}

/* Ends the exchange. */
void
gl_free(struct gl *gl)
{
	if (gl == NULL)
		return;
	loop_cancel(gl->timer);
	ld_free(gl->entries);
	ld_free(gl->sums);
	alloc_free(gl->gw->alloc, gl);
}
