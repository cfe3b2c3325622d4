#include "gateway/farewells.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "gateway/server_message.h"
#include "state/journal.h"

enum {
	SNAPSHOT_MIN_BYTES = 64 * 1024,
	/* A server calls another instance after a second without an answer. */
	AWAIT_MAX_US = 700000,
	/* delay before a failed folder is opened again */
	REOPEN_DELAY_US = 1000000,
	/* period of the log lines while the folder can't be opened */
	FAILED_LOG_PERIOD_US = 10000000,
	TICK_US = 1000000,
	PATH_BYTES = 512
};

/* Far longer than an announcement is under way. */
static const int64_t retention_us = 600000000;

struct farewell {
	struct registry_server server;
	int64_t recorded_us;
	struct farewell *next;
};

struct waiter {
	gw_farewells_fn done;
	void *ctx;
	uint64_t seq; /* of the last record that it waits for */
	int64_t due_us;
	struct waiter *next;
};

struct gw_farewells {
	struct gw *gw;
	struct jnl *journal; /* NULL: the folder can't be used */
	struct loop_watch *watch;
	struct loop_timer *tick_timer;
	struct loop_timer *reopen_timer;
	struct loop_timer *wait_timer;
	struct farewell *list; /* one for each id, in no order */
	struct waiter *waiters; /* oldest first */
	uint64_t appended_seq;
	uint64_t durable_seq;
	bool has_failed; /* and was not opened again since */
	int64_t failed_log_us; /* when the next failure is logged */
	uint64_t snapshot_failures; /* of this journal, those logged */
};

static void on_wait_timer(void *ctx);

static struct farewell *
find_farewell(struct gw_farewells *farewells, const char *id)
{
	struct farewell *f = farewells->list;

	while (f != NULL && strcmp(f->server.id, id) != 0)
		f = f->next;
	return f;
}

/*
 * Remembers a farewell.  Returns whether it tells more than the one known of
 * that server: a later life, or that a server that was draining has gone.
 */
static bool
remember(struct gw_farewells *farewells, const struct registry_server *server)
{
	struct farewell *f = find_farewell(farewells, server->id);

	if (f == NULL) {
		f = alloc_zero(farewells->gw->alloc, 1, sizeof(*f));
		f->next = farewells->list;
		farewells->list = f;
	} else if (server->born_ms < f->server.born_ms ||
		   (server->born_ms == f->server.born_ms &&
		       server->state <= f->server.state)) {
		return false;
	}
	f->server = *server;
	f->recorded_us = loop_now_us(farewells->gw->loop);
	return true;
}

static void
drop_old(struct gw_farewells *farewells)
{
	int64_t now_us = loop_now_us(farewells->gw->loop);
	struct farewell **at = &farewells->list;

	while (*at != NULL) {
		struct farewell *f = *at;

		if (now_us - f->recorded_us <= retention_us) {
			at = &f->next;
			continue;
		}
		*at = f->next;
		alloc_free(farewells->gw->alloc, f);
	}
}

/* Appends a server as it stands in a record, as of the time it was heard. */
static void
encode_server(const struct registry_server *server, struct buf *out)
{
	struct gw_server_message message;

	gw_server_message_init(&message, server, false, server->heard_us);
	buf_reserve(out, clpb__server__get_packed_size(&message.pb));
	out->len += clpb__server__pack(&message.pb, out->data + out->len);
}

/* Ends the wait of those that wait for no more than seq. */
static void
end_waits(struct gw_farewells *farewells, uint64_t seq, int error)
{
	struct waiter **at = &farewells->waiters;

	while (*at != NULL) {
		struct waiter *waiter = *at;

		if (waiter->seq > seq) {
			at = &waiter->next;
			continue;
		}
		*at = waiter->next;
		waiter->done(waiter->ctx, error);
		alloc_free(farewells->gw->alloc, waiter);
	}
}

static void
schedule_wait_timer(struct gw_farewells *farewells)
{
	struct loop *loop = farewells->gw->loop;

	if (farewells->wait_timer == NULL && farewells->waiters != NULL)
		farewells->wait_timer = loop_after(loop,
		    farewells->waiters->due_us - loop_now_us(loop),
		    on_wait_timer, farewells);
}

static void
on_wait_timer(void *ctx)
{
	struct gw_farewells *farewells = ctx;
	int64_t now_us = loop_now_us(farewells->gw->loop);
	uint64_t late_seq = 0;

	farewells->wait_timer = NULL;
	for (const struct waiter *w = farewells->waiters;
	     w != NULL && w->due_us <= now_us; w = w->next)
		late_seq = w->seq;
	end_waits(farewells, late_seq, ERR_TIMEOUT);
	schedule_wait_timer(farewells);
}

static void open_journal(struct gw_farewells *farewells);

static void
on_reopen(void *ctx)
{
	struct gw_farewells *farewells = ctx;

	farewells->reopen_timer = NULL;
	open_journal(farewells);
}

static void
close_journal(struct gw_farewells *farewells)
{
	loop_unwatch(farewells->watch);
	loop_cancel(farewells->tick_timer);
	farewells->watch = NULL;
	farewells->tick_timer = NULL;
	if (farewells->journal != NULL)
		jnl_close(farewells->journal);
	farewells->journal = NULL;
	farewells->snapshot_failures = 0;
}

/* Closes the journal after a failure, and opens it again later. */
static void
folder_failed(struct gw_farewells *farewells, const char *why)
{
	int64_t now_us = loop_now_us(farewells->gw->loop);

	if (!farewells->has_failed || now_us >= farewells->failed_log_us) {
		log_event(LOG_LEVEL_ERROR, "farewells_unavailable",
		    "why=\"%s\"", why);
		farewells->failed_log_us = now_us + FAILED_LOG_PERIOD_US;
	}
	farewells->has_failed = true;
	close_journal(farewells);
	end_waits(farewells, UINT64_MAX, ERR_DISK);
	farewells->reopen_timer = loop_after(
	    farewells->gw->loop, REOPEN_DELAY_US, on_reopen, farewells);
}

static void
on_durable(void *ctx, int events)
{
	struct gw_farewells *farewells = ctx;

	(void)events;
	if (jnl_poll(farewells->journal, &farewells->durable_seq) != 0)
		folder_failed(farewells, "a write failed");
	else
		end_waits(farewells, farewells->durable_seq, 0);
}

/* Replaces the records of the journal by the farewells still remembered. */
static void
write_snapshot(struct gw_farewells *farewells)
{
	const struct alloc *alloc = farewells->gw->alloc;
	struct jnl_image *images;
	struct buf bytes;
	size_t count = 0, i = 0, at = 0;

	drop_old(farewells);
	for (const struct farewell *f = farewells->list; f != NULL; f = f->next)
		count++;
	images = alloc_zero(alloc, count + 1, sizeof(*images));
	buf_init(&bytes, alloc);
	for (const struct farewell *f = farewells->list; f != NULL;
	     f = f->next) {
		size_t before = bytes.len;

		encode_server(&f->server, &bytes);
		images[i].kind = JNL_KIND_FAREWELL;
		images[i++].len = bytes.len - before;
	}
	/* The buffer moves while it grows. */
	for (i = 0; i < count; i++) {
		images[i].data = bytes.data + at;
		at += images[i].len;
	}
	/* After an error on_durable() closes the journal. */
	(void)jnl_queue_snapshot(farewells->journal, images, count);
	buf_free(&bytes);
	alloc_free(alloc, images);
}

static void
on_tick(void *ctx)
{
	struct gw_farewells *farewells = ctx;
	struct jnl_stats stats;

	farewells->tick_timer =
	    loop_after(farewells->gw->loop, TICK_US, on_tick, farewells);
	jnl_stats(farewells->journal, &stats);
	if (stats.snapshot_failures != farewells->snapshot_failures)
		log_event(LOG_LEVEL_WARN, "snapshot_failed",
		    "folder=%s failures=%" PRIu64, "farewells",
		    stats.snapshot_failures);
	farewells->snapshot_failures = stats.snapshot_failures;
	if (jnl_snapshot_due(farewells->journal))
		write_snapshot(farewells);
}

/* Takes a farewell from the journal into the registry. */
static void
restore(struct gw_farewells *farewells, const struct jnl_record *record)
{
	int64_t now_us = loop_now_us(farewells->gw->loop);
	struct registry_server server;
	Clpb__Server *pb =
	    clpb__server__unpack(NULL, record->len, record->data);

	if (pb == NULL || !gw_server_message_read(pb, now_us, &server) ||
	    server.state == REGISTRY_READY)
		log_event(LOG_LEVEL_WARN, "farewell_unreadable",
		    "record=%" PRIu64, record->seq);
	else if (remember(farewells, &server))
		gw_server_announced(farewells->gw, &server);
	if (pb != NULL)
		clpb__server__free_unpacked(pb, NULL);
}

static void
append_record(
    struct gw_farewells *farewells, const struct registry_server *server)
{
	struct buf bytes;

	buf_init(&bytes, farewells->gw->alloc);
	encode_server(server, &bytes);
	farewells->appended_seq = jnl_append(
	    farewells->journal, JNL_KIND_FAREWELL, bytes.data, bytes.len);
	buf_free(&bytes);
}

/*
 * Opens the journal and takes the farewells that it holds into the registry.
 * Those known before, of a journal that failed, are written to it again.
 */
static void
open_journal(struct gw_farewells *farewells)
{
	struct gw *gw = farewells->gw;
	char folder[PATH_BYTES];
	struct jnl_options options = {.alloc = gw->alloc,
	    .folder = folder,
	    .snapshot_min_bytes = SNAPSHOT_MIN_BYTES};
	const struct farewell *known = farewells->list;
	struct jnl_record record;
	struct jnl_stats stats;
	uint64_t count = 0;
	struct buf why;
	int error;

	snprintf(
	    folder, sizeof(folder), "%s/farewells", gw->settings->data_dir);
	buf_init(&why, gw->alloc);
	error = jnl_open(&options, &farewells->journal, &why);
	while (error == 0 &&
	       (error = jnl_next_record(farewells->journal, &record)) > 0) {
		error = 0;
		count++;
		restore(farewells, &record);
	}
	if (error != 0 && farewells->journal != NULL)
		buf_adds(&why, jnl_error_text(farewells->journal));
	if (error == 0)
		error = jnl_start(farewells->journal);
	if (error != 0) {
		folder_failed(
		    farewells, why.len > 0 ? buf_text(&why) : err_name(error));
		buf_free(&why);
		return;
	}
	buf_free(&why);
	jnl_stats(farewells->journal, &stats);
	farewells->appended_seq = farewells->durable_seq = stats.appended_seq;
	farewells->watch = loop_watch(gw->loop, jnl_fd(farewells->journal),
	    LOOP_READ, on_durable, farewells);
	farewells->tick_timer =
	    loop_after(gw->loop, TICK_US, on_tick, farewells);
	/* Those just read precede them in the list. */
	for (; known != NULL; known = known->next)
		append_record(farewells, &known->server);
	if (farewells->has_failed)
		log_event(LOG_LEVEL_WARN, "farewells_regained",
		    "records=%" PRIu64, count);
	else
		log_event(LOG_LEVEL_INFO, "farewells_read", "records=%" PRIu64,
		    count);
	farewells->has_failed = false;
}

/* Records that a server is leaving or has left, if it is news. */
void
gw_farewells_server_changed(
    struct gw_farewells *farewells, const struct registry_server *changed)
{
	/* The registry reports a silent server as gone, but doesn't know it. */
	const struct registry_server *server =
	    registry_find(farewells->gw->registry, changed->id);

	if (server != NULL && server->state != REGISTRY_READY &&
	    remember(farewells, server) && farewells->journal != NULL)
		append_record(farewells, server);
}

/*
 * Calls done once all farewells known so far are on the disk: at once if they
 * are, and with an error if the folder can't be used or the disk is too slow.
 */
void
gw_farewells_await(
    struct gw_farewells *farewells, gw_farewells_fn done, void *ctx)
{
	struct waiter **at = &farewells->waiters;
	struct waiter *waiter;

	if (farewells->journal == NULL ||
	    farewells->appended_seq <= farewells->durable_seq) {
		done(ctx, farewells->journal == NULL ? ERR_DISK : 0);
		return;
	}
	waiter = alloc_zero(farewells->gw->alloc, 1, sizeof(*waiter));
	waiter->done = done;
	waiter->ctx = ctx;
	waiter->seq = farewells->appended_seq;
	waiter->due_us = loop_now_us(farewells->gw->loop) + AWAIT_MAX_US;
	while (*at != NULL)
		at = &(*at)->next;
	*at = waiter;
	schedule_wait_timer(farewells);
}

/* Ends the waits with this ctx, whose owner is about to be freed. */
void
gw_farewells_cancel(struct gw_farewells *farewells, void *ctx)
{
	struct waiter **at = &farewells->waiters;

	while (*at != NULL) {
		struct waiter *waiter = *at;

		if (waiter->ctx != ctx) {
			at = &waiter->next;
			continue;
		}
		*at = waiter->next;
		alloc_free(farewells->gw->alloc, waiter);
	}
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_farewells *farewells;

	if (gw->settings->data_dir[0] == '\0')
		return 0;
	farewells = alloc_zero(gw->alloc, 1, sizeof(*farewells));
	farewells->gw = gw;
	gw->farewells = farewells;
	open_journal(farewells);
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_farewells *farewells = gw->farewells;

	if (farewells == NULL)
		return;
	gw->farewells = NULL;
	close_journal(farewells);
	loop_cancel(farewells->reopen_timer);
	loop_cancel(farewells->wait_timer);
	end_waits(farewells, UINT64_MAX, ERR_TIMEOUT);
	while (farewells->list != NULL) {
		struct farewell *f = farewells->list;

		farewells->list = f->next;
		alloc_free(gw->alloc, f);
	}
	alloc_free(gw->alloc, farewells);
}

struct sup_child_spec
gw_child_farewells(struct gw *gw)
{
	return (struct sup_child_spec){"farewells", start, stop, gw};
}
