#include <apr_general.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/loop.h"
#include "http/front.h"

/*
 * cf-fake-server: a backend server as the users' platform describes it, for
 * process tests.  It answers with the request's id, a proof and its load.
 *
 *	/ok/...		200 with the body it was sent
 *	/stream/...	events 1 to 5, 20 ms apart; after Last-Event-Id the rest
 *	/cut/...	the same, cut in the middle of event 3 unless it resumes
 *	/error/...	500
 *	/full/...	503, not run
 *	/shed/...	503, not run, or by chance 200 with the body
 *	/leave/...	200 with the body, and that it leaves
 *	/pause/...	503, not run, and that it wants nothing for PAUSE_S
 *	/hang/...	nothing
 *	/crash/...	the process ends before the first byte
 *	/crash-late/...	event 1, then the process ends
 *
 * "got MS TARGET" is printed for each request and "crashed MS" at an end of the
 * process, MS of the monotonic clock.
 */

enum {
	EVENTS = 5,
	EVENT_US = 20000,
	EXIT_CRASHED = 3,
	STATUS_ERROR = 500,
	STATUS_FULL = 503,
	PERCENT = 100
};

#define PAUSE_S "2.5"

static struct loop *loop;
static const char *server_id;
static int shed_percent;

struct stream {
	struct front_exchange *x;
	int next;
	int cut_at; /* 0: none */
	bool crashes;
};

static const char *
header_of(const struct front_exchange *x, const char *name)
{
	const char *value = headers_get(front_headers(x), name);

	return value != NULL ? value : "";
}

static void
add_head(struct buf *lines, const struct front_exchange *x)
{
	buf_addf(lines,
	    "Celeryford-Request-Id: %s\r\n"
	    "Celeryford-Response-Signature: fake.%s\r\n"
	    "Celeryford-Server-Load: 1,0,8\r\n"
	    "X-Workspace: %s\r\nX-Deadline: %s\r\n",
	    header_of(x, "Celeryford-Request-Id"), server_id,
	    header_of(x, "Celeryford-Tenant"),
	    header_of(x, "Celeryford-Deadline-Ms"));
}

static void
answer(struct front_exchange *x, unsigned int status, const char *more,
    const struct buf *body)
{
	struct buf lines;

	buf_init(&lines, alloc_default());
	add_head(&lines, x);
	buf_adds(&lines, more);
	front_begin_answer(x, status, &lines, false, body->len);
	front_write_body(x, body->data, body->len);
	front_end_answer(x, true);
	buf_free(&lines);
}

/* Ends as a crash does: connections close without another byte. */
static void
crash(void)
{
	printf("crashed %" PRId64 "\n", clock_monotonic_us() / 1000);
	fflush(stdout);
	_exit(EXIT_CRASHED);
}

static void
on_event(void *ctx)
{
	struct stream *s = ctx;
	char event[64];
	int n;

	if (s->crashes && s->next > 1)
		crash();
	if (s->x == NULL) {
		free(s);
		return;
	}
	if (s->next > EVENTS || s->next == s->cut_at) {
		if (s->next == s->cut_at)
			front_write_body(s->x, "id: 3\nda", 8);
		front_set_data(s->x, NULL);
		front_end_answer(s->x, s->next > EVENTS);
		free(s);
		return;
	}
	n = snprintf(
	    event, sizeof(event), "id: %d\ndata: %d\n\n", s->next, s->next);
	front_write_body(s->x, event, (size_t)n);
	s->next++;
	loop_after(loop, EVENT_US, on_event, s);
}

static void
begin_stream(struct front_exchange *x, bool cut, bool crashes)
{
	struct stream *s = calloc(1, sizeof(*s));
	const char *last = header_of(x, "Last-Event-Id");
	struct buf lines;

	s->x = x;
	s->next = last[0] != '\0' ? atoi(last) + 1 : 1;
	s->cut_at = cut && last[0] == '\0' ? 3 : 0;
	s->crashes = crashes;
	front_set_data(x, s);
	buf_init(&lines, alloc_default());
	add_head(&lines, x);
	buf_adds(&lines, "Content-Type: text/event-stream\r\n");
	front_begin_answer(x, 200, &lines, true, 0);
	buf_free(&lines);
	on_event(s);
}

static void
on_request(void *ctx, struct front_exchange *x)
{
	const char *target = front_target(x);
	struct buf none;

	(void)ctx;
	front_set_data(x, NULL);
	printf("got %" PRId64 " %s\n", clock_monotonic_us() / 1000, target);
	buf_init(&none, alloc_default());
	if (strstr(target, "/crash/") != NULL)
		crash();
	else if (strstr(target, "/crash-late/") != NULL)
		begin_stream(x, false, true);
	else if (strstr(target, "/stream/") != NULL)
		begin_stream(x, false, false);
	else if (strstr(target, "/cut/") != NULL)
		begin_stream(x, true, false);
	else if (strstr(target, "/error/") != NULL)
		answer(x, STATUS_ERROR, "", &none);
	else if (strstr(target, "/full/") != NULL ||
		 (strstr(target, "/shed/") != NULL &&
		     rand() % PERCENT < shed_percent))
		answer(x, STATUS_FULL, "Celeryford-Not-Executed: 1\r\n", &none);
	else if (strstr(target, "/leave/") != NULL)
		answer(x, 200, "Server-Leaving: 1\r\n", front_body(x));
	else if (strstr(target, "/pause/") != NULL)
		answer(x, STATUS_FULL,
		    "Celeryford-Not-Executed: 1\r\nRetry-After: " PAUSE_S
		    "\r\n",
		    &none);
	else if (strstr(target, "/hang/") == NULL)
		answer(x, 200, "", front_body(x));
}

static void
on_gone(void *ctx, struct front_exchange *x)
{
	struct stream *s = front_data(x);

	(void)ctx;
	if (s != NULL)
		s->x = NULL;
}

static void
on_refused(void *ctx, int error)
{
	(void)ctx;
	(void)error;
}

int
main(int argc, char **argv)
{
	static const struct front_callbacks handler = {
	    on_request, on_gone, on_refused};
	struct front_options options = {.alloc = alloc_default(),
	    .connections_max = 1000,
	    .limits = {65536, 1 << 22, 5000, 60000},
	    .handler = &handler};
	char *colon;
	struct front_server *front_server;

	if (argc < 3 || (colon = strrchr(argv[2], ':')) == NULL) {
		fprintf(stderr,
		    "usage: cf-fake-server ID IP:PORT [SHED-PERCENT]\n");
		return 2;
	}
	if (argc > 3)
		shed_percent = atoi(argv[3]);
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	apr_initialize();
	server_id = argv[1];
	*colon = '\0';
	options.host = argv[2];
	options.port = (uint16_t)atoi(colon + 1);
	loop = loop_new(alloc_default());
	options.loop = loop;
	front_server = front_new(&options);
	if (front_server == NULL) {
		fprintf(stderr, "cf-fake-server: the address is taken\n");
		return 1;
	}
	printf("serves %s:%u\n", options.host, front_port(front_server));
	fflush(stdout);
	return loop_run(loop) == 0 ? 0 : 1;
}
