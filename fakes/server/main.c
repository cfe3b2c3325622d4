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
 * cf-fake-server: a backend server that follows the protocol of the users'
 * platform, for process tests.  Each answer has the request's id, a signature
 * and the server's load.  A request that names another server is answered 421
 * and not run.  The path of the request selects the answer:
 *
 *	/ok/...		200 with the body it was sent
 *	/stream/...	events 1 to 5, 20 ms apart; after Last-Event-Id the rest
 *	/cut/...	the same, cut within event 3 unless it resumes
 *	/error/...	500
 *	/slow-error/...	500 after WORK_US
 *	/slow/...	200 without a body after WORK_US
 *	/full/...	503, not run
 *	/shed/...	503, not run, with SHED-PERCENT chance; else as /ok/
 *	/leave/...	as /ok/, and announces that the server leaves
 *	/pause/...	503, not run, with a Retry-After of RETRY_AFTER_S
 *	/hang/...	no answer
 *	/large/...	200 with LARGE_BYTES
 *	/events/...	EVENTS_LARGE events of EVENT_LARGE_BYTES at once
 *	/set-limit/TEXT	as /ok/; from now on answers name TEXT as the server's
 *			limit, or none if it is empty
 *	/work/...	as /ok/ after WORK_US in one of SLOTS slots; waits for a
 *			slot if there is room, else 503, not run
 *	/set-room/N	as /ok/; from now on so many requests may wait
 *	/set-brittle/N	as /ok/; from now on answers say that the server is
 *			brittle: the process ends when it turns more than N
 *			requests away within a second; not if N is empty
 *	/crash/...	the process ends before the first byte
 *	/crash-late/...	event 1, then the process ends
 *	/unsure/...	as /ok/, with a confidence of 5 of 100 in the answer
 *	/unsure-stream/...	as /stream/, with such a confidence
 *	/prompt/...	as /stream/ after PREFILL_US; the process ends after
 *			event 1 if a part of the prompt but the first has an id
 *			that begins with "dead"
 *	/prompt-whole/...	as /ok/ after PREFILL_US; the process ends
 *			before the first byte if the prompt has such a part
 *
 * Prints "got MS TARGET" for each request, "turned-away MS" and "crashed MS",
 *with MS in milliseconds of the monotonic clock.
 */

enum {
	STREAM_EVENTS = 5,
	EVENT_INTERVAL_US = 20000,
	PREFILL_US = 200000, /* time to read a prompt */
	SLOTS = 4, /* requests that work at a time */
	WORK_US = 400000, /* time of one of them */
	REJECTIONS_MAX = 1000, /* times kept of requests turned away */
	US_PER_S = 1000000,
	LARGE_BYTES = 4 * 1024 * 1024,
	EVENTS_LARGE = 1024,
	EVENT_LARGE_BYTES = 1024,
	EXIT_CRASHED = 3,
	STATUS_OK = 200,
	STATUS_INTERNAL_ERROR = 500,
	STATUS_MISDIRECTED = 421,
	STATUS_UNAVAILABLE = 503,
	PERCENT = 100
};

/* In seconds; a string, as it becomes part of a header field. */
#define RETRY_AFTER_S "2.5"

static const char set_limit_path[] = "/set-limit/";
static const char set_room_path[] = "/set-room/";
static const char set_brittle_path[] = "/set-brittle/";

static struct loop *loop;
static const char *server_id;
static int shed_percent;
static char limit_field[1024]; /* header line with the limit; "": none */
static char brittle_field[1024]; /* the same, that the server is brittle */
static int most_rejections = -1; /* a second; -1: any number */
static int64_t rejected_us[REJECTIONS_MAX];
static int rejected_count;
static int room = 12; /* requests that may wait for a slot */
static int working, queued;
static struct work *first_queued, *last_queued;

/* A request that works, in a slot or not, or waits for one. */
struct work {
	struct front_exchange *x; /* NULL: the client has disconnected */
	struct work *next;
	unsigned int status; /* of the answer, if it uses no slot */
};

struct stream {
	struct front_exchange *x; /* NULL: the client has disconnected */
	int next_event;
	int cut_event; /* event within which the stream is cut; 0: none */
	bool crashes; /* the process ends after event 1 */
	bool whole; /* a plain answer instead of events */
};

static const char *
request_header(const struct front_exchange *x, const char *name)
{
	const char *value = headers_get(front_headers(x), name);

	return value != NULL ? value : "";
}

/* Returns whether a request has worked in a slot or waited for one. */
static bool
used_slots(void)
{
	return working + queued + rejected_count > 0;
}

static void
add_common_fields(struct buf *lines, const struct front_exchange *x)
{
	buf_addf(lines,
	    "Celeryford-Request-Id: %s\r\n"
	    "Celeryford-Response-Signature: fake.%s\r\n"
	    "Celeryford-Server-Load: %d,%d,%d\r\n"
	    "X-Workspace: %s\r\nX-Deadline: %s\r\n",
	    request_header(x, "Celeryford-Request-Id"), server_id,
	    used_slots() ? working : 1, queued, used_slots() ? SLOTS : 8,
	    request_header(x, "Celeryford-Tenant"),
	    request_header(x, "Celeryford-Deadline-Ms"));
	if (strstr(front_target(x), "/unsure") != NULL)
		buf_adds(lines, "Celeryford-Confidence: 5\r\n");
	buf_adds(lines, limit_field);
	buf_adds(lines, brittle_field);
}

static void
set_limit(const char *text)
{
	snprintf(limit_field, sizeof(limit_field),
	    text[0] != '\0' ? "Server-Limit: %s\r\n" : "%s", text);
}

static void
send_answer(struct front_exchange *x, unsigned int status, const char *fields,
    const struct buf *body)
{
	struct buf lines;

	buf_init(&lines, alloc_default());
	add_common_fields(&lines, x);
	buf_adds(&lines, fields);
	front_begin_answer(x, status, &lines, false, body->len);
	front_write_body(x, body->data, body->len);
	front_end_answer(x, true);
	buf_free(&lines);
}

/* Ends the process; its connections close without another byte. */
static void
crash(void)
{
	printf("crashed %" PRId64 "\n", clock_monotonic_us() / 1000);
	fflush(stdout);
	_exit(EXIT_CRASHED);
}

static void work_in_slot(struct work *w);

/* Ends a request that worked, and begins the next one. */
static void
end_work(void *ctx)
{
	struct work *w = ctx, *next = first_queued;

	working--;
	if (w->x != NULL) {
		front_set_data(w->x, NULL);
		send_answer(w->x, 200, "", front_body(w->x));
	}
	free(w);
	if (next == NULL)
		return;
	first_queued = next->next;
	queued--;
	work_in_slot(next);
}

static void
work_in_slot(struct work *w)
{
	working++;
	loop_after(loop, WORK_US, end_work, w);
}

/* Turns a request away.  A brittle server ends if there were too many. */
static void
turn_away(struct front_exchange *x)
{
	int64_t now_us = clock_monotonic_us();
	int recent = 0;
	struct buf no_body;

	rejected_us[rejected_count++ % REJECTIONS_MAX] = now_us;
	for (int i = 0; i < REJECTIONS_MAX && i < rejected_count; i++)
		recent += now_us - rejected_us[i] < US_PER_S;
	printf("turned-away %" PRId64 "\n", now_us / 1000);
	if (most_rejections >= 0 && recent > most_rejections)
		crash();
	buf_init(&no_body, alloc_default());
	send_answer(
	    x, STATUS_UNAVAILABLE, "Celeryford-Not-Executed: 1\r\n", &no_body);
}

static void
begin_work(struct front_exchange *x)
{
	struct work *w;

	if (working >= SLOTS && queued >= room) {
		turn_away(x);
		return;
	}
	w = calloc(1, sizeof(*w));
	w->x = x;
	front_set_data(x, w);
	if (working < SLOTS) {
		work_in_slot(w);
		return;
	}
	if (first_queued == NULL)
		first_queued = w;
	else
		last_queued->next = w;
	last_queued = w;
	queued++;
}

static void
send_late_status(void *ctx)
{
	struct work *w = ctx;
	struct buf no_body;

	buf_init(&no_body, alloc_default());
	if (w->x != NULL) {
		front_set_data(w->x, NULL);
		send_answer(w->x, w->status, "", &no_body);
	}
	free(w);
}

/* Answers with the status, without a body, after WORK_US. */
static void
begin_late_status(struct front_exchange *x, unsigned int status)
{
	struct work *w = calloc(1, sizeof(*w));

	w->x = x;
	w->status = status;
	front_set_data(x, w);
	loop_after(loop, WORK_US, send_late_status, w);
}

static void
set_brittle(const char *text)
{
	most_rejections = text[0] != '\0' ? atoi(text) : -1;
	snprintf(brittle_field, sizeof(brittle_field),
	    text[0] != '\0' ? "Server-Brittle: %s\r\n" : "%s", text);
}

static void
send_next_event(void *ctx)
{
	struct stream *s = ctx;
	char event[64];
	int n;

	if (s->crashes && s->next_event > 1)
		crash();
	if (s->x == NULL) {
		free(s);
		return;
	}
	if (s->next_event > STREAM_EVENTS || s->next_event == s->cut_event) {
		if (s->next_event == s->cut_event)
			front_write_body(s->x, "id: 3\nda", 8);
		front_set_data(s->x, NULL);
		front_end_answer(s->x, s->next_event > STREAM_EVENTS);
		free(s);
		return;
	}
	n = snprintf(event, sizeof(event), "id: %d\ndata: %d\n\n",
	    s->next_event, s->next_event);
	front_write_body(s->x, event, (size_t)n);
	s->next_event++;
	loop_after(loop, EVENT_INTERVAL_US, send_next_event, s);
}

/* Answers with LARGE_BYTES. */
static void
send_large(struct front_exchange *x)
{
	struct buf body;

	buf_init(&body, alloc_default());
	while (body.len < LARGE_BYTES)
		buf_adds(&body, "sixteen letters.");
	send_answer(x, STATUS_OK, "", &body);
	buf_free(&body);
}

/* Answers with a stream of EVENTS_LARGE events at once. */
static void
send_events(struct front_exchange *x)
{
	struct buf lines, body;

	buf_init(&lines, alloc_default());
	buf_init(&body, alloc_default());
	add_common_fields(&lines, x);
	buf_adds(&lines, "Content-Type: text/event-stream\r\n");
	for (int i = 1; i <= EVENTS_LARGE; i++)
		buf_addf(
		    &body, "id: %d\ndata: %*d\n\n", i, EVENT_LARGE_BYTES, i);
	front_begin_answer(x, STATUS_OK, &lines, true, 0);
	front_write_body(x, body.data, body.len);
	front_end_answer(x, true);
	buf_free(&lines);
	buf_free(&body);
}

static struct stream *
new_stream(struct front_exchange *x, bool cut, bool crashes)
{
	struct stream *s = calloc(1, sizeof(*s));
	const char *last = request_header(x, "Last-Event-Id");

	s->x = x;
	s->next_event = last[0] != '\0' ? atoi(last) + 1 : 1;
	s->cut_event = cut && last[0] == '\0' ? 3 : 0;
	s->crashes = crashes;
	front_set_data(x, s);
	return s;
}

static void
start_stream(struct stream *s)
{
	struct front_exchange *x = s->x;
	struct buf lines;

	buf_init(&lines, alloc_default());
	add_common_fields(&lines, x);
	buf_adds(&lines, "Content-Type: text/event-stream\r\n");
	front_begin_answer(x, 200, &lines, true, 0);
	buf_free(&lines);
	send_next_event(s);
}

/* Begins the answer to a prompt that has been read. */
static void
begin_prompt_answer(void *ctx)
{
	struct stream *s = ctx;

	if (s->x == NULL) {
		free(s);
		return;
	}
	if (!s->whole) {
		start_stream(s);
		return;
	}
	if (s->crashes)
		crash();
	front_set_data(s->x, NULL);
	send_answer(s->x, 200, "", front_body(s->x));
	free(s);
}

static void
read_prompt(struct front_exchange *x, bool whole)
{
	const char *parts = request_header(x, "Celeryford-Prompt-Prefix");
	struct stream *s = new_stream(x, false, strstr(parts, ",dead") != NULL);

	s->whole = whole;
	loop_after(loop, PREFILL_US, begin_prompt_answer, s);
}

static void
on_request(void *ctx, struct front_exchange *x)
{
	const char *target = front_target(x);
	const char *only = request_header(x, "Celeryford-Target-Instance");
	struct buf no_body;

	(void)ctx;
	front_set_data(x, NULL);
	buf_init(&no_body, alloc_default());
	if (only[0] != '\0' && strcmp(only, server_id) != 0) {
		send_answer(x, STATUS_MISDIRECTED,
		    "Celeryford-Not-Executed: 1\r\n", &no_body);
		return;
	}
	printf("got %" PRId64 " %s\n", clock_monotonic_us() / 1000, target);
	if (strncmp(target, set_limit_path, strlen(set_limit_path)) == 0)
		set_limit(target + strlen(set_limit_path));
	if (strncmp(target, set_room_path, strlen(set_room_path)) == 0)
		room = atoi(target + strlen(set_room_path));
	if (strncmp(target, set_brittle_path, strlen(set_brittle_path)) == 0)
		set_brittle(target + strlen(set_brittle_path));
	if (strstr(target, "/work/") != NULL)
		begin_work(x);
	else if (strstr(target, "/slow-error/") != NULL)
		begin_late_status(x, STATUS_INTERNAL_ERROR);
	else if (strstr(target, "/slow/") != NULL)
		begin_late_status(x, STATUS_OK);
	else if (strstr(target, "/crash/") != NULL)
		crash();
	else if (strstr(target, "/crash-late/") != NULL)
		start_stream(new_stream(x, false, true));
	else if (strstr(target, "/prompt/") != NULL)
		read_prompt(x, false);
	else if (strstr(target, "/prompt-whole/") != NULL)
		read_prompt(x, true);
	else if (strstr(target, "/stream/") != NULL ||
		 strstr(target, "/unsure-stream/") != NULL)
		start_stream(new_stream(x, false, false));
	else if (strstr(target, "/cut/") != NULL)
		start_stream(new_stream(x, true, false));
	else if (strstr(target, "/error/") != NULL)
		send_answer(x, STATUS_INTERNAL_ERROR, "", &no_body);
	else if (strstr(target, "/full/") != NULL ||
		 (strstr(target, "/shed/") != NULL &&
		     rand() % PERCENT < shed_percent))
		send_answer(x, STATUS_UNAVAILABLE,
		    "Celeryford-Not-Executed: 1\r\n", &no_body);
	else if (strstr(target, "/large/") != NULL)
		send_large(x);
	else if (strstr(target, "/events/") != NULL)
		send_events(x);
	else if (strstr(target, "/leave/") != NULL)
		send_answer(x, 200, "Server-Leaving: 1\r\n", front_body(x));
	else if (strstr(target, "/pause/") != NULL)
		send_answer(x, STATUS_UNAVAILABLE,
		    "Celeryford-Not-Executed: 1\r\nRetry-After: " RETRY_AFTER_S
		    "\r\n",
		    &no_body);
	else if (strstr(target, "/hang/") == NULL)
		send_answer(x, 200, "", front_body(x));
}

static void
on_disconnected(void *ctx, struct front_exchange *x)
{
	struct front_exchange **pending = front_data(x);

	(void)ctx;
	/* The exchange comes first in both kinds of pending requests. */
	if (pending != NULL)
		*pending = NULL;
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
	    on_request, on_disconnected, on_refused};
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
