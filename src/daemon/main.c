#include <apr_general.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "config/compile.h"
#include "daemon/node.h"
#include "daemon/state.h"

/*
 * celeryfordd: reads the settings, builds the supervisor tree and runs the
 * event loop.  SIGTERM and SIGINT start a graceful shutdown: the instance
 * reports unready at once, closes its listener after the delay that the load
 * balancer needs to notice, and waits for open requests and bills up to the
 * configured maximum.  SIGHUP reads the cluster keys again.
 */

enum {
	EXIT_FAILURE_TO_START = 1,
	EXIT_USAGE = 2,
	FILE_MAX_BYTES = 4 * 1024 * 1024,
	DRAIN_POLL_US = 20000,
	US_PER_MS = 1000,
	RESTARTS_MAX = 5,
	RESTART_WINDOW_MS = 60000,
	RESTART_DELAY_MS = 200
};

/* Appends a file to out, about FILE_MAX_BYTES at most.  Fails with ERR_IO. */
static int
read_file(const char *path, struct buf *out)
{
	char block[4096];
	FILE *file = fopen(path, "re");
	size_t n;

	if (file == NULL)
		return ERR_IO;
	while ((n = fread(block, 1, sizeof(block), file)) > 0 &&
	       out->len < FILE_MAX_BYTES)
		buf_add(out, block, n);
	n = (size_t)ferror(file);
	fclose(file);
	return n == 0 ? 0 : ERR_IO;
}

static int
read_cluster_key(struct node *node)
{
	struct buf text;
	int error;

	buf_init(&text, node->alloc);
	error = read_file(node->settings->cluster_key, &text);
	if (error == 0)
		error = secure_keys_parse(buf_text(&text), &node->keys);
	if (error != 0)
		fprintf(stderr,
		    "celeryfordd: --cluster-key: \"%s\" is not accepted: a "
		    "file with 1 to 4 lines of 64 hexadecimal digits is "
		    "needed\n",
		    node->settings->cluster_key);
	buf_free(&text);
	return error;
}

/*
 * Reads the document of --config, which a new replica set starts with, and
 * checks that it compiles.  Problems are printed to stderr.
 */
static int
read_initial_document(struct node *node, const char *path)
{
	static struct section_problems problems;
	struct buf text, report;
	struct cfg *cfg = NULL;
	int error;

	buf_init(&text, node->alloc);
	buf_init(&report, node->alloc);
	error = read_file(path, &text);
	if (error != 0)
		section_add_problem(&problems, 0, path, "can't be read");
	else
		error = section_split(
		    buf_text(&text), text.len, &node->first, &problems);
	if (error == 0)
		cfg = compile_sections(
		    node->alloc, &node->first, 1, NULL, &problems);
	if (cfg == NULL) {
		section_problems_print(&problems, &report);
		fprintf(stderr, "celeryfordd: --config: %s", buf_text(&report));
		error = ERR_INVALID;
	}
	compile_free(node->alloc, cfg);
	buf_free(&text);
	buf_free(&report);
	return error;
}

/*
 * Waits until no request and no bill is open, hands leadership over, leaves
 * the membership and stops the loop; at drain_until_us it stops in any case.
 */
static void
poll_drain(void *ctx)
{
	struct node *node = ctx;
	int64_t now_us = loop_now_us(node->loop);
	bool is_idle = entry_open_requests(node->entry) == 0 &&
		       request_records_open_bills(node->request_records) == 0;

	if (is_idle && !node->leaving) {
		node->leaving = true;
		node_transfer_leadership(node);
		node_leave(node);
	}
	if ((is_idle && node->left) || now_us >= node->drain_until_us) {
		log_event(LOG_LEVEL_INFO, "drained", "open=%u bills=%u",
		    entry_open_requests(node->entry),
		    request_records_open_bills(node->request_records));
		loop_stop(node->loop);
		return;
	}
	loop_after(node->loop, DRAIN_POLL_US, poll_drain, node);
}

static void
close_listener(void *ctx)
{
	struct node *node = ctx;

	entry_drain(node->entry);
	node->drain_until_us =
	    loop_now_us(node->loop) +
	    (int64_t)node->settings->drain_max_ms * US_PER_MS;
	poll_drain(node);
}

/* Starts the graceful shutdown; a second call does nothing. */
void
node_drain(struct node *node)
{
	if (node->draining)
		return;
	node->draining = true;
	log_event(LOG_LEVEL_INFO, "drain", "delay_ms=%u",
	    node->settings->drain_delay_ms);
	loop_after(node->loop,
	    (int64_t)node->settings->drain_delay_ms * US_PER_MS, close_listener,
	    node);
}

struct signals {
	struct node *node;
	struct loop_watch *watch;
	int fd;
};

static void
on_signal(void *ctx, int events)
{
	struct signals *signals = ctx;
	struct signalfd_siginfo info;

	(void)events;
	if (read(signals->fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo == SIGHUP) {
		if (read_cluster_key(signals->node) == 0)
			peer_set_keys(signals->node->hub, &signals->node->keys);
		return;
	}
	node_drain(signals->node);
}

static void
watch_signals(struct signals *signals, struct node *node)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	signals->node = node;
	signals->fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	signals->watch =
	    loop_watch(node->loop, signals->fd, LOOP_READ, on_signal, signals);
}

static void
on_root_failed(void *ctx, const char *child, int error)
{
	struct node *node = ctx;

	log_event(LOG_LEVEL_ERROR, "giving_up", "child=%s error=%s", child,
	    err_name(error));
	node->status = EXIT_FAILURE_TO_START;
	loop_stop(node->loop);
}

static struct sup *
build_supervisor_tree(struct node *node)
{
	struct sup_options options = {.alloc = node->alloc,
	    .loop = node->loop,
	    .name = "root",
	    .restarts_max = RESTARTS_MAX,
	    .window_ms = RESTART_WINDOW_MS,
	    .delay_ms = RESTART_DELAY_MS,
	    .failed = on_root_failed,
	    .ctx = node};
	struct sup_child_spec children[] = {child_peer(node), child_state(node),
	    child_config(node), child_member(node), child_entry(node),
	    child_ops(node)};
	struct sup *root = sup_new(&options);

	for (size_t i = 0; i < sizeof(children) / sizeof(*children); i++)
		sup_add(root, &children[i]);
	return root;
}

static int
run_node(struct node *node)
{
	struct signals signals;
	int error;

	node->loop = loop_new(node->alloc);
	node->metrics = metrics_new(node->alloc);
	watch_signals(&signals, node);
	node->root = build_supervisor_tree(node);
	error = sup_start(node->root);
	if (error == 0) {
		log_event(LOG_LEVEL_INFO, "started",
		    "instance=%s data_centre=%s version=%s",
		    node->settings->instance, node->settings->data_centre,
		    CF_VERSION);
		error = loop_run(node->loop);
	}
	if (error != 0)
		node->status = EXIT_FAILURE_TO_START;
	sup_free(node->root);
	loop_unwatch(signals.watch);
	close(signals.fd);
	metrics_free(node->metrics);
	loop_free(node->loop);
	return node->status;
}

static int
prepare_node(struct node *node)
{
	const char *name = node->settings->instance;

	section_list_init(&node->first, node->alloc);
	node->incarnation = (uint64_t)clock_wall_us();
	node->owner = XXH64(name, strlen(name), node->incarnation);
	if (read_cluster_key(node) != 0)
		return EXIT_USAGE;
	if (node->settings->config[0] != '\0' &&
	    read_initial_document(node, node->settings->config) != 0)
		return EXIT_USAGE;
	node->directory = directory_new(node->alloc, node->settings);
	if (node->directory != NULL)
		return 0;
	fprintf(stderr, "celeryfordd: --peer: two names share a number; "
			"rename one of them\n");
	return EXIT_USAGE;
}

int
main(int argc, char **argv)
{
	struct settings settings;
	struct node node = {.alloc = alloc_default(), .settings = &settings};
	int status;

	alloc_return_early();
	settings_read(&settings, argc, argv);
	if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return EXIT_FAILURE_TO_START;
	status = prepare_node(&node);
	if (status == 0 && !settings.check) {
		log_open((enum log_level)settings.log_level);
		status = run_node(&node);
		log_close();
	}
	section_list_free(&node.first);
	directory_free(node.directory);
	settings_free(&settings);
	curl_global_cleanup();
	apr_terminate();
	return status;
}
