#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "flags.h"
#include "serve.h"

/*
 * cf-fake-weights: a stand-in for the rate-limited weight store.  GET
 * /v1/weights/VERSION?bytes=N takes N bytes from a token bucket and answers
 * with the number of bytes granted.  If the bucket holds fewer, the answer is
 * 429 with a Retry-After of the seconds until it holds N.  No weights are sent.
 */
struct options {
	const char *listen;
	int64_t bytes_per_s;
	int64_t burst_bytes;
};

struct store {
	struct options options;
	int64_t level_bytes; /* in the token bucket */
	int64_t last_refill_us;
	uint64_t granted, refused, bytes; /* requests; bytes granted */
};

static const struct flag flags[] = {
    {"listen", FLAG_TEXT, offsetof(struct options, listen), 0, "127.0.0.1:9301",
	"address to serve, IP:PORT"},
    {"bytes-per-s", FLAG_NUMBER, offsetof(struct options, bytes_per_s),
	1000000000, NULL, "rate of the store"},
    {"burst-bytes", FLAG_NUMBER, offsetof(struct options, burst_bytes),
	1000000000, NULL, "largest grant at once"}};

static volatile sig_atomic_t stop_requested;

static void
on_signal(int number)
{
	stop_requested = 1;
}

/* Refills the bucket for the time since the last refill. */
static void
refill(struct store *store, int64_t now_us)
{
	double bytes = (double)(now_us - store->last_refill_us) *
		       (double)store->options.bytes_per_s / 1000000;

	store->last_refill_us = now_us;
	if (bytes >= (double)(store->options.burst_bytes - store->level_bytes))
		store->level_bytes = store->options.burst_bytes;
	else
		store->level_bytes += (int64_t)bytes;
}

static enum MHD_Result
answer_weights(struct store *store, struct MHD_Connection *connection)
{
	int64_t bytes = serve_query_number(connection, "bytes");
	int64_t missing, wait_s;
	char text[128];

	if (bytes <= 0 || bytes > store->options.burst_bytes)
		return serve_json(connection, 400,
		    "{\"error\":\"bytes is to be from 1 to the burst\"}\n",
		    NULL, NULL);
	refill(store, tool_loop_now_us());
	if (bytes <= store->level_bytes) {
		store->level_bytes -= bytes;
		store->granted++;
		store->bytes += (uint64_t)bytes;
		snprintf(
		    text, sizeof(text), "{\"bytes\":%lld}\n", (long long)bytes);
		return serve_json(connection, 200, text, NULL, NULL);
	}
	store->refused++;
	missing = bytes - store->level_bytes;
	wait_s = missing / store->options.bytes_per_s + 1;
	snprintf(text, sizeof(text), "%lld", (long long)wait_s);
	return serve_json(connection, 429, "{\"error\":\"over the rate\"}\n",
	    "Retry-After", text);
}

static enum MHD_Result
on_request(void *ctx, const struct serve_request *request)
{
	struct store *store = ctx;
	char body[128];

	if (strncmp(request->path, "/v1/weights/", 12) == 0 &&
	    strcmp(request->method, "GET") == 0)
		return answer_weights(store, request->connection);
	if (strcmp(request->path, "/fake/stats") != 0)
		return serve_json(request->connection, 404, "{}\n", NULL, NULL);
	snprintf(body, sizeof(body),
	    "{\"granted\":%llu,\"refused\":%llu,\"bytes\":%llu}\n",
	    (unsigned long long)store->granted,
	    (unsigned long long)store->refused,
	    (unsigned long long)store->bytes);
	return serve_json(request->connection, 200, body, NULL, NULL);
}

int
main(int argc, char **argv)
{
	static struct store store;
	struct MHD_Daemon *daemon;
	struct tool_loop *loop;

	flags_parse(argc, argv, "A stand-in for the weight store.", flags,
	    sizeof(flags) / sizeof(flags[0]), &store.options);
	if (store.options.bytes_per_s == 0) {
		fprintf(
		    stderr, "cf-fake-weights: --bytes-per-s 0 never fills\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	loop = tool_loop_new();
	store.level_bytes = store.options.burst_bytes;
	store.last_refill_us = tool_loop_now_us();
	daemon = serve_start(loop, store.options.listen, on_request, &store);
	if (daemon == NULL)
		return 1;
	while (!stop_requested)
		tool_loop_poll_once(loop, tool_loop_now_us() + 1000000);
	MHD_stop_daemon(daemon);
	tool_loop_free(loop);
	return 0;
}
