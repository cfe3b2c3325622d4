#include <argp.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "state/cfgstore.h"
#include "state/journal.h"
#include "state/rlog.h"

/*
 * Measures the journal on a given disk, in one run: the sync rate of the disk
 * itself, the rate of records that are appended and synced one at a time and in
 * groups, and the bytes read and the time taken by a restart after many
 * changes.
 */

enum {
	RECORD_BYTES = 400,
	SECTION_BYTES = 1000,
	DURABLE_TIMEOUT_MS = 10000,
	COMMIT_RECORD_WAIT_US = 50000
};

struct settings {
	const char *folder;
	uint32_t run_ms;
	uint32_t sections;
};

static int64_t
now_us(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static void
die(const char *what)
{
	fprintf(stderr, "cf-journal-bench: %s\n", what);
	exit(1);
}

static struct jnl *
open_journal(const char *folder, struct rlog *rlog)
{
	struct jnl_options options = {.folder = folder};
	struct jnl_record record;
	struct jnl *jnl;
	struct buf why;
	int e;

	buf_init(&why, NULL);
	if (jnl_open(&options, &jnl, &why) != 0)
		die(buf_text(&why));
	buf_free(&why);
	while ((e = jnl_next_record(jnl, &record)) > 0)
		if (rlog != NULL && rlog_replay(rlog, record.kind, record.data,
					record.len) != 0)
			die("a record cannot be replayed");
	if (e < 0 || jnl_start(jnl) != 0)
		die("the journal does not open");
	return jnl;
}

/* Measures the syncs a second of a plain file. */
static void
bench_disk(const struct settings *settings)
{
	char path[4096], block[RECORD_BYTES] = {0};
	int64_t until_us = now_us() + settings->run_ms * 1000LL;
	uint64_t count = 0;
	off_t at = 0;
	int fd;

	(void)snprintf(path, sizeof(path), "%s/raw", settings->folder);
	fd = open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (fd < 0)
		die("cannot write the folder");
	while (now_us() < until_us) {
		if (pwrite(fd, block, sizeof(block), at) < 0 ||
		    fdatasync(fd) != 0)
			die("cannot sync");
		at += sizeof(block);
		count++;
	}
	(void)close(fd);
	(void)unlink(path);
	printf("disk: %.0f syncs/s of %d bytes appended\n",
	    (double)count * 1000 / settings->run_ms, RECORD_BYTES);
}

/*
 * Measures the records a second with up to window of them not durable yet; a
 * window of 1 appends them one at a time.
 */
static void
bench_append(const struct settings *settings, struct jnl *jnl, uint64_t window)
{
	char record[RECORD_BYTES] = {0};
	struct jnl_stats before, after;
	int64_t begin_us = now_us();
	int64_t until_us = begin_us + settings->run_ms * 1000LL;
	uint64_t seq = 0, count = 0;

	jnl_stats(jnl, &before);
	while (now_us() < until_us) {
		seq = jnl_append(jnl, JNL_KIND_BILLS, record, sizeof(record));
		count++;
		if (count >= window &&
		    jnl_wait(jnl, seq - window + 1, DURABLE_TIMEOUT_MS) != 0)
			die("a record did not become durable");
	}
	if (jnl_wait(jnl, seq, DURABLE_TIMEOUT_MS) != 0)
		die("a record did not become durable");
	jnl_stats(jnl, &after);
	printf("journal: window %4" PRIu64 ": %8.0f records/s, %6.0f syncs/s\n",
	    window, (double)count * 1e6 / (double)(now_us() - begin_us),
	    (double)(after.syncs - before.syncs) * 1e6 /
		(double)(now_us() - begin_us));
}

struct replica {
	struct rlog *rlog;
	struct cfgstore *cfgstore;
	struct jnl *jnl;
	struct rlog_actions actions;
	uint64_t persist_number; /* of the last persist action */
	uint64_t seq; /* of its journal record */
};

static void replica_step(struct replica *r, const struct rlog_event *event);

/* Passes an image of the applied configuration to the log. */
static void
report_snapshot_image(struct replica *r)
{
	struct rlog_event event = {.kind = RLOG_EV_SNAPSHOT_TAKEN};
	struct rlog_status status;
	struct buf image;

	rlog_status(r->rlog, &status);
	buf_init(&image, NULL);
	cfgstore_encode_image(r->cfgstore, &image);
	event.u.snapshot.index = status.applied;
	event.u.snapshot.data = image.data;
	event.u.snapshot.len = image.len;
	replica_step(r, &event);
	buf_free(&image);
}

/* Executes an action of the log; returns whether it requests an image. */
static bool
execute_action(struct replica *r, const struct rlog_action *action)
{
	struct cfgstore_result result;

	switch (action->kind) {
	case RLOG_ACT_PERSIST:
		r->seq = jnl_append(r->jnl, action->u.persist.kind,
		    action->u.persist.data, action->u.persist.len);
		r->persist_number = action->u.persist.number;
		return false;
	case RLOG_ACT_APPLY:
		cfgstore_apply(r->cfgstore, action->u.apply.entry.index,
		    action->u.apply.entry.data, action->u.apply.entry.len,
		    &result);
		if (result.error != 0)
			die("a change was refused");
		return false;
	case RLOG_ACT_RESTORE:
		if (cfgstore_restore_image(r->cfgstore, action->u.restore.data,
			action->u.restore.len) != 0)
			die("an image cannot be restored");
		return false;
	case RLOG_ACT_TAKE_SNAPSHOT:
		return true;
	default:
		return false;
	}
}

static void
replica_step(struct replica *r, const struct rlog_event *event)
{
	bool image_requested = false;
	size_t i;

	rlog_step(r->rlog, now_us(), event, &r->actions);
	for (i = 0; i < r->actions.count; i++)
		image_requested |= execute_action(r, &r->actions.items[i]);
	if (image_requested)
		report_snapshot_image(r);
}

/* Waits until the last record is durable and reports that to the log. */
static void
wait_persisted(struct replica *r)
{
	struct rlog_event event = {.kind = RLOG_EV_PERSISTED};

	if (jnl_wait(r->jnl, r->seq, DURABLE_TIMEOUT_MS) != 0)
		die("a record did not become durable");
	event.u.persisted.number = r->persist_number;
	replica_step(r, &event);
}

static void
snapshot_if_due(struct replica *r)
{
	struct jnl_image part = {.kind = RLOG_REC_IMAGE};
	struct buf image;

	if (!jnl_snapshot_due(r->jnl))
		return;
	report_snapshot_image(r);
	buf_init(&image, NULL);
	rlog_image(r->rlog, &image);
	part.data = image.data;
	part.len = image.len;
	(void)jnl_queue_snapshot(r->jnl, &part, 1);
	buf_free(&image);
}

static void
start_replica(struct replica *r, const char *folder)
{
	struct rlog_options options = {
	    .seed = 1, .fresh_id = 1, .instances = 1};
	struct cfgstore_options store = {0};
	struct rlog_event tick = {.kind = RLOG_EV_TICK};

	memset(r, 0, sizeof(*r));
	r->rlog = rlog_new(&options);
	r->cfgstore = cfgstore_new(&store);
	r->jnl = open_journal(folder, r->rlog);
	rlog_start(r->rlog, now_us());
	replica_step(r, &tick);
}

static void
stop_replica(struct replica *r)
{
	jnl_close(r->jnl);
	rlog_actions_free(r->rlog, &r->actions);
	rlog_free(r->rlog);
	cfgstore_free(r->cfgstore);
}

/* Ticks the log until its only replica is leader and holds the lease. */
static void
become_leader(struct replica *r)
{
	struct rlog_event tick = {.kind = RLOG_EV_TICK};

	while (!rlog_is_leader(r->rlog) || rlog_lease_until_us(r->rlog) == 0) {
		(void)usleep(10000);
		replica_step(r, &tick);
		wait_persisted(r);
	}
}

static void
propose_change(struct replica *r, uint32_t change, uint32_t sections)
{
	struct rlog_event event = {.kind = RLOG_EV_PROPOSE};
	char id[32], path[32], text[SECTION_BYTES];
	struct cfgstore_item item = {path, 0, false, text, sizeof(text)};
	struct cfgstore_change proposal = {id, "bench", "bench", 0, &item, 1};
	struct cfgstore_section section;
	struct buf data;

	memset(text, 'x', sizeof(text));
	(void)snprintf(id, sizeof(id), "c%u", change);
	(void)snprintf(path, sizeof(path), "section/%u", change % sections);
	if (cfgstore_section_get(r->cfgstore, path, &section))
		item.base_revision = section.revision;
	buf_init(&data, NULL);
	if (cfgstore_change_encode(&proposal, &data) != 0)
		die("a change is too large");
	event.u.propose.token = change + 1;
	event.u.propose.data = data.data;
	event.u.propose.len = data.len;
	replica_step(r, &event);
	buf_free(&data);
}

/*
 * Measures the changes a second that a log of one replica accepts, with one
 * sync for each window of changes.
 */
static void
bench_changes(const struct settings *settings, uint32_t window)
{
	char folder[4096];
	struct jnl_stats before, after;
	struct replica r;
	int64_t begin_us;
	uint32_t count = 0;

	(void)snprintf(
	    folder, sizeof(folder), "%s/c%u", settings->folder, window);
	start_replica(&r, folder);
	become_leader(&r);
	jnl_stats(r.jnl, &before);
	begin_us = now_us();
	while (now_us() < begin_us + settings->run_ms * 1000LL) {
		propose_change(&r, count++, settings->sections);
		if (count % window == 0)
			wait_persisted(&r);
		snapshot_if_due(&r);
	}
	wait_persisted(&r);
	jnl_stats(r.jnl, &after);
	printf("changes: window %4u: %8.0f accepted/s, %6.0f syncs/s\n", window,
	    (double)count * 1e6 / (double)(now_us() - begin_us),
	    (double)(after.syncs - before.syncs) * 1e6 /
		(double)(now_us() - begin_us));
	stop_replica(&r);
}

/*
 * Makes the commit index durable, which the log records a short time after the
 * last change.
 */
static void
persist_commit_index(struct replica *r)
{
	struct rlog_event tick = {.kind = RLOG_EV_TICK};

	(void)usleep(COMMIT_RECORD_WAIT_US);
	replica_step(r, &tick);
	wait_persisted(r);
}

/* Measures the restart of a replica after a number of changes. */
static void
bench_recovery(const struct settings *settings, uint32_t changes)
{
	char folder[4096];
	struct replica r;
	struct jnl_stats stats;
	int64_t begin_us, took_us;
	uint32_t i;

	(void)snprintf(
	    folder, sizeof(folder), "%s/r%u", settings->folder, changes);
	start_replica(&r, folder);
	become_leader(&r);
	begin_us = now_us();
	for (i = 0; i < changes; i++) {
		propose_change(&r, i, settings->sections);
		if (i % settings->sections == settings->sections - 1)
			wait_persisted(&r);
		snapshot_if_due(&r);
	}
	wait_persisted(&r);
	took_us = now_us() - begin_us;
	persist_commit_index(&r);
	stop_replica(&r);
	begin_us = now_us();
	start_replica(&r, folder);
	jnl_stats(r.jnl, &stats);
	printf("recovery: %6u changes written in %6.0f ms: %6.1f ms, read "
	       "%8" PRIu64 " bytes, revision %" PRIu64 "\n",
	    changes, (double)took_us / 1000,
	    (double)(now_us() - begin_us) / 1000, stats.replay_bytes,
	    cfgstore_revision(r.cfgstore));
	if (cfgstore_revision(r.cfgstore) != changes)
		die("a change is missing after the restart");
	stop_replica(&r);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct settings *settings = state->input;

	switch (key) {
	case 'f':
		settings->folder = arg;
		return 0;
	case 't':
		settings->run_ms = (uint32_t)strtoul(arg, NULL, 10);
		return settings->run_ms > 0 ? 0 : EINVAL;
	case 's':
		settings->sections = (uint32_t)strtoul(arg, NULL, 10);
		return settings->sections > 0 ? 0 : EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"folder", 'f', "FOLDER", 0, "An empty folder on the disk", 0},
	    {"time", 't', "MS", 0, "Length of each run (2000)", 0},
	    {"sections", 's', "COUNT", 0, "Sections of the document (100)", 0},
	    {0}};
	static const struct argp argp = {options, parse_option, NULL,
	    "Measures the journal on the disk at hand.", NULL, NULL, NULL};
	struct settings settings = {NULL, 2000, 100};
	static const uint64_t windows[] = {1, 16, 256, 4096};
	char folder[4096];
	struct jnl *jnl;
	size_t i;

	if (argp_parse(&argp, argc, argv, 0, NULL, &settings) != 0 ||
	    settings.folder == NULL)
		die("--folder is missing");
	bench_disk(&settings);
	(void)snprintf(folder, sizeof(folder), "%s/append", settings.folder);
	jnl = open_journal(folder, NULL);
	for (i = 0; i < sizeof(windows) / sizeof(windows[0]); i++)
		bench_append(&settings, jnl, windows[i]);
	jnl_close(jnl);
	bench_changes(&settings, 1);
	bench_changes(&settings, 64);
	bench_disk(&settings);
	bench_recovery(&settings, 300);
	bench_recovery(&settings, 3000);
	bench_recovery(&settings, 30000);
	return 0;
}
