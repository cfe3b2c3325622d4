#include <apr_general.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "gateway/entry.h"
#include "gateway/gateway.h"
#include "gateway/judge.h"
#include "gateway/metrics_page.h"
#include "gateway/replica.h"
#include "platform/dialect.h"

/*
 * celeryford-gateway: routes requests to backend servers by a table of
 * routes.  It reads the settings, builds the supervisor tree and runs until
 * SIGTERM.  Shutdown has three phases.  At once the instance reports that it is
 * not ready, closes each connection with its answer, and refuses requests that
 * would probably not be answered in time.  After notice_us() it closes idle
 * connections and refuses all new requests.  FINAL_ANSWERS_MS before grace-ms
 * is over it ends the requests that are still open.  The process ends once
 * callers have received their answers.
 */

enum {
	EXIT_FAILURE_TO_START = 1,
	EXIT_USAGE = 2,
	RESTARTS_MAX = 5,
	RESTART_WINDOW_MS = 60000,
	RESTART_DELAY_MS = 200,
	LOG_FLUSH_US = 100000,
	CLOCK_CHECK_US = 500000, /* period at which the clocks are compared */
	CLOCK_TOLERANCE_US = 500000, /* a smaller difference is not logged */
	/* period at which the settings file is checked */
	SETTINGS_CHECK_US = 500000,
	DRAIN_TICK_US = 50000,
	/*
	 * Time in which the load balancer notices that this instance is not
	 * ready.  Requests that arrive later are refused and go to another
	 * instance.  With a short grace-ms it is less; see notice_us().
	 */
	BALANCER_NOTICE_US = 2500000,
	/* part of grace-ms left for sending the last answers */
	FINAL_ANSWERS_MS = 700,
	/* part of grace-ms left for the end of the process */
	PROCESS_END_MS = 100,
	/* longest wait for connections without a request to end */
	LAST_CONNECTIONS_US = 600000
};

struct process {
	struct gw gw;
	struct gw_settings settings;
	struct loop_watch *signals;
	int signal_fd;
	struct timespec settings_mtime;
	/* The settings file could not be read, and is tried again. */
	bool settings_unread;
	int64_t stopping_us;
	int64_t checked_us; /* time of the last comparison of both clocks */
	int64_t checked_wall_us;
	bool refuses_new;
	int64_t
	    closed_us; /* when it stopped to listen for callers; 0: not yet */
};

static void
reload_settings(struct process *p)
{
	struct buf why;
	bool was_unread = p->settings_unread;
	int error;

	buf_init(&why, p->gw.alloc);
	error = gw_settings_reload(&p->settings, &why);
	p->settings_unread = error == ERR_IO;
	if (error != 0) {
		if (!was_unread || !p->settings_unread)
			log_event(LOG_LEVEL_ERROR, "settings_refused",
			    "why=\"%s\"", buf_text(&why));
	} else {
		gw_update_seeds(&p->gw);
		log_event(LOG_LEVEL_INFO, "settings_reloaded", "seeds=%u",
		    p->settings.seed_count);
	}
	buf_free(&why);
}

/* Writes the log lines that were collected since the last flush. */
static void
on_log_timer(void *ctx)
{
	struct process *p = ctx;

	log_flush();
	loop_after(p->gw.loop, LOG_FLUSH_US, on_log_timer, p);
}

/*
 * Logs a suspension of the process, during which it missed what the other
 * instances agreed on, and a step of the time of day.
 */
static void
on_clock_timer(void *ctx)
{
	struct process *p = ctx;
	int64_t now_us = loop_now_us(p->gw.loop);
	int64_t wall_us = clock_wall_us();
	int64_t slept_us = now_us - p->checked_us - CLOCK_CHECK_US;
	int64_t stepped_us =
	    (wall_us - p->checked_wall_us) - (now_us - p->checked_us);

	if (p->checked_us != 0 && slept_us > CLOCK_TOLERANCE_US)
		log_event(LOG_LEVEL_WARN, "suspended", "ms=%" PRId64,
		    slept_us / 1000);
	if (p->checked_us != 0 && (stepped_us > CLOCK_TOLERANCE_US ||
				      stepped_us < -CLOCK_TOLERANCE_US))
		log_event(LOG_LEVEL_WARN, "time_of_day_stepped", "ms=%" PRId64,
		    stepped_us / 1000);
	p->checked_us = now_us;
	p->checked_wall_us = wall_us;
	loop_after(p->gw.loop, CLOCK_CHECK_US, on_clock_timer, p);
}

/*
 * Whether the settings file has changed since the last call.  Remembers its
 * time of modification.
 */
static bool
settings_file_changed(struct process *p)
{
	struct stat now;

	if (p->settings.settings_path[0] == '\0' ||
	    stat(p->settings.settings_path, &now) != 0)
		return false;
	if (now.st_mtim.tv_sec == p->settings_mtime.tv_sec &&
	    now.st_mtim.tv_nsec == p->settings_mtime.tv_nsec)
		return false;
	p->settings_mtime = now.st_mtim;
	return true;
}

static void
on_settings_timer(void *ctx)
{
	struct process *p = ctx;

	if (settings_file_changed(p) || p->settings_unread)
		reload_settings(p);
	loop_after(p->gw.loop, SETTINGS_CHECK_US, on_settings_timer, p);
}

/* Returns when the open requests of an entry that is shutting down end. */
static int64_t
drain_end_us(const struct process *p)
{
	return p->stopping_us +
	       ((int64_t)p->settings.grace_ms - FINAL_ANSWERS_MS) * 1000;
}

/*
 * Returns for how long an entry that is shutting down takes new requests: half
 * of the time that it has for answering them at the most.
 */
static int64_t
notice_us(const struct process *p)
{
	int64_t half_us = (drain_end_us(p) - p->stopping_us) / 2;

	return half_us < BALANCER_NOTICE_US ? half_us : BALANCER_NOTICE_US;
}

/*
 * Runs the phases of the shutdown of an entry.  Returns whether it is over: no
 * request is open, callers have received their answers, new connections have
 * been refused for a while, and those that were accepted before have ended, or
 * the grace period is over.
 */
static bool
drain_entry(struct process *p, int64_t now_us)
{
	struct gw_entry *entry = p->gw.entry;
	int64_t end_us = drain_end_us(p);
	int64_t last_us =
	    p->stopping_us +
	    ((int64_t)p->settings.grace_ms - PROCESS_END_MS) * 1000;
	bool idle;

	if (now_us - p->stopping_us >= notice_us(p)) {
		p->refuses_new = true;
		gw_entry_refuse_new(entry);
	}
	if (now_us >= end_us)
		gw_entry_end_requests(entry);
	idle = p->refuses_new && gw_entry_open_requests(entry) == 0;
	if (p->closed_us == 0 &&
	    (idle || now_us >= end_us - LAST_CONNECTIONS_US)) {
		p->closed_us = now_us;
		gw_entry_stop_listening(entry);
	}
	if (idle && !gw_entry_is_listening(entry) &&
	    gw_entry_unsent_answers(entry) == 0 &&
	    (gw_entry_connections(entry) == 0 ||
		now_us - p->closed_us >= LAST_CONNECTIONS_US))
		return true;
	return now_us >= last_us;
}

/* Runs the phases of the shutdown, and stops the loop after the last one. */
static void
on_drain_timer(void *ctx)
{
	struct process *p = ctx;
	int64_t now_us = loop_now_us(p->gw.loop);
	bool over = p->gw.entry != NULL
			? drain_entry(p, now_us)
			: now_us - p->stopping_us >= DRAIN_TICK_US;

	if (over) {
		log_event(LOG_LEVEL_INFO, "stop", "open=%u",
		    p->gw.entry != NULL ? gw_entry_open_requests(p->gw.entry)
					: 0);
		loop_stop(p->gw.loop);
		return;
	}
	loop_after(p->gw.loop, DRAIN_TICK_US, on_drain_timer, p);
}

/* Starts the shutdown: drains the entry and hands leadership over. */
static void
begin_shutdown(struct process *p)
{
	if (p->gw.stopping)
		return;
	p->gw.stopping = true;
	p->stopping_us = loop_now_us(p->gw.loop);
	log_event(
	    LOG_LEVEL_INFO, "stopping", "grace_ms=%u", p->settings.grace_ms);
	if (p->gw.entry != NULL)
		gw_entry_drain(p->gw.entry, drain_end_us(p));
	if (p->gw.replica != NULL)
		gw_replica_hand_over(p->gw.replica);
	loop_after(p->gw.loop, DRAIN_TICK_US, on_drain_timer, p);
}

static void
on_signal(void *ctx, int events)
{
	struct process *p = ctx;
	struct signalfd_siginfo info;

	(void)events;
	while (
	    read(p->signal_fd, &info, sizeof(info)) == (ssize_t)sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			reload_settings(p);
		else
			begin_shutdown(p);
	}
}

static void
watch_signals(struct process *p)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	p->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	p->signals =
	    loop_watch(p->gw.loop, p->signal_fd, LOOP_READ, on_signal, p);
}

static void
child_failed(void *ctx, const char *child, int error)
{
	(void)ctx;
	log_event(LOG_LEVEL_ERROR, "child_failed", "child=%s error=%s", child,
	    err_name(error));
}

static int
start_children(struct process *p)
{
	struct gw *gw = &p->gw;
	struct sup_options options = {.alloc = gw->alloc,
	    .loop = gw->loop,
	    .name = "root",
	    .restarts_max = RESTARTS_MAX,
	    .window_ms = RESTART_WINDOW_MS,
	    .delay_ms = RESTART_DELAY_MS,
	    .failed = child_failed,
	    .ctx = p};
	struct sup_child_spec children[] = {gw_child_links(gw),
	    gw_child_farewells(gw), gw_child_replica(gw), gw_child_follow(gw),
	    gw_child_control(gw), gw_child_judge(gw), gw_child_entry(gw),
	    gw_child_metrics(gw)};

	gw->sup = sup_new(&options);
	for (size_t i = 0; i < sizeof(children) / sizeof(children[0]); i++)
		sup_add(gw->sup, &children[i]);
	return sup_start(gw->sup);
}

static int
read_settings(struct process *p, int argc, char **argv)
{
	struct in_addr address;
	struct buf why;
	int error;

	buf_init(&why, p->gw.alloc);
	error = gw_settings_read(&p->settings, argc, argv, &why);
	if (error == 0 &&
	    inet_pton(AF_INET, p->settings.link_host, &address) != 1) {
		buf_adds(&why, "link-host: an IPv4 address is required");
		error = ERR_SETTING;
	}
	if (error != 0)
		fprintf(stderr, "celeryford-gateway: %s\n", buf_text(&why));
	else
		p->gw.self = ntohl(address.s_addr);
	buf_free(&why);
	return error;
}

int
main(int argc, char **argv)
{
	static struct process p;
	int error;

	alloc_return_early();
	p.gw.alloc = alloc_default();
	apr_initialize();
	if (sodium_init() < 0 || read_settings(&p, argc, argv) != 0)
		return EXIT_USAGE;
	log_open((enum log_level)p.settings.log_level);
	log_set_buffering(true);
	p.gw.settings = &p.settings;
	p.gw.dialect = platform_dialect();
	p.gw.incarnation = rng_system_seed();
	p.gw.metrics = metrics_new(p.gw.alloc);
	p.gw.loop = loop_new(p.gw.alloc);
	if (p.gw.loop == NULL)
		return EXIT_FAILURE_TO_START;
	gw_memory_init(&p.gw);
	watch_signals(&p);
	log_event(LOG_LEVEL_INFO, "start",
	    "version=%s instance=%s data_centre=%s bootstrap=%d seeds=%u",
	    CF_VERSION, p.settings.instance, p.settings.data_centre,
	    p.settings.bootstrap, p.settings.seed_count);
	(void)settings_file_changed(&p);
	error = start_children(&p);
	if (error != 0) {
		log_event(LOG_LEVEL_ERROR, "start_failed", "error=%s",
		    err_name(error));
		return EXIT_FAILURE_TO_START;
	}
	loop_after(p.gw.loop, SETTINGS_CHECK_US, on_settings_timer, &p);
	loop_after(p.gw.loop, LOG_FLUSH_US, on_log_timer, &p);
	loop_after(p.gw.loop, CLOCK_CHECK_US, on_clock_timer, &p);
	error = loop_run(p.gw.loop);
	sup_stop(p.gw.sup);
	sup_free(p.gw.sup);
	metrics_free(p.gw.metrics);
	log_close();
	return error == 0 ? 0 : EXIT_FAILURE_TO_START;
}
