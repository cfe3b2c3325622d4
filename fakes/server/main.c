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
 *	/full/...	503, not run
 *	/shed/...	503, not run, with SHED-PERCENT chance; else as /ok/
 *	/leave/...	as /ok/, and announces that the server leaves
 *	/pause/...	503, not run, with a Retry-After of RETRY_AFTER_S
 *	/hang/...	no answer
 *	/set-limit/TEXT	as /ok/; from now on answers name TEXT as the server's
 *			limit, or none if it is empty
 *	/crash/...	the process ends before the first byte
 *	/crash-late/...	event 1, then the process ends
 *	/prompt/...	as /stream/ after PREFILL_US; the process ends after
 *			event 1 if a part of the prompt but the first has an id
 *			that begins with "dead"
 *	/prompt-whole/...	as /ok/ after PREFILL_US; the process ends
 *			before the first byte if the prompt has such a part
 *
 * Prints "got MS TARGET" for each request and "crashed MS" before a crash, with
 * MS in milliseconds of the monotonic clock.
 */

enum {
	STREAM_EVENTS = 5,
	EVENT_INTERVAL_US = 20000,
	PREFILL_US = 200000, /* time to read a prompt */
	EXIT_CRASHED = 3,
	STATUS_INTERNAL_ERROR = 500,
	STATUS_MISDIRECTED = 421,
	STATUS_UNAVAILABLE = 503,
	PERCENT = 100
};

/* In seconds; a string, as it becomes part of a header field. */
#define RETRY_AFTER_S "2.5"

static const char set_limit_path[] = "/set-limit/";

static struct loop *loop;
static const char *server_id;
static int shed_percent;
static char limit_field[1024]; /* header line with the limit; "": none */

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

static void
add_common_fields(struct buf *lines, const struct front_exchange *x)
{
	buf_addf(lines,
	    "Celeryford-Request-Id: %s\r\n"
	    "Celeryford-Response-Signature: fake.%s\r\n"
	    "Celeryford-Server-Load: 1,0,8\r\n"
	    "X-Workspace: %s\r\nX-Deadline: %s\r\n",
	    request_header(x, "Celeryford-Request-Id"), server_id,
	    request_header(x, "Celeryford-Tenant"),
	    request_header(x, "Celeryford-Deadline-Ms"));
	buf_adds(lines, limit_field);
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
	if (strstr(target, "/crash/") != NULL)
		crash();
	else if (strstr(target, "/crash-late/") != NULL)
		start_stream(new_stream(x, false, true));
	else if (strstr(target, "/prompt/") != NULL)
		read_prompt(x, false);
	else if (strstr(target, "/prompt-whole/") != NULL)
		read_prompt(x, true);
	else if (strstr(target, "/stream/") != NULL)
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
