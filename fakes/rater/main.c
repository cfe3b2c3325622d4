#include <jansson.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "flags.h"
#include "serve.h"

/*
 * cf-fake-rater: a stand-in for the service that rates answers.  It accepts
 * answers at /v1/answers and rates a share of them; an answer passes if its
 * text has the word "pass".  Each rating is posted after a delay to /v1/ratings
 * of one of the instances, which take turns.
 */
enum {
	RATINGS_MAX = 65536, /* that wait to be posted */
	POST_TIMEOUT_MS = 5000
};

struct options {
	const char *listen;
	struct flag_list post_urls;
	int64_t delay_ms;
	int64_t share_permille;
	int64_t seed;
};

struct rating {
	int64_t due_us;
	char *body;
};

struct rater {
	struct options options;
	struct tool_loop *loop;
	struct rng rng;
	struct rating *waiting; /* ring of RATINGS_MAX, ordered by due_us */
	size_t first, count;
	int next_url; /* counts the posts; modulo post_urls.count */
	uint64_t answers, posted, delivered, failed, dropped;
};

static const struct flag flags[] = {
    {"listen", FLAG_TEXT, offsetof(struct options, listen), 0, "127.0.0.1:9201",
	"address to serve, IP:PORT"},
    {"post", FLAG_LIST, offsetof(struct options, post_urls), 0, NULL,
	"URL of an instance to post ratings to"},
    {"delay-ms", FLAG_NUMBER, offsetof(struct options, delay_ms), 1000, NULL,
	"from an answer to its rating"},
    {"share-permille", FLAG_NUMBER, offsetof(struct options, share_permille),
	1000, NULL, "share of answers that are rated"},
    {"seed", FLAG_NUMBER, offsetof(struct options, seed), 1, NULL,
	"of the random source"}};

static volatile sig_atomic_t stop_requested;

static void
on_signal(int number)
{
	stop_requested = 1;
}

/*
 * Returns the rating of an answer as JSON text, to be released with free(3), or
 * NULL if the answer is malformed.
 */
static char *
rate_answer(const struct buf *body)
{
	json_t *answer = json_loadb(buf_text(body), body->len, 0, NULL);
	const char *text = json_string_value(json_object_get(answer, "text"));
	json_t *rating = NULL;
	char *out = NULL;

	if (text != NULL)
		rating = json_pack("{s:O, s:O, s:O, s:b}", "workspace",
		    json_object_get(answer, "workspace"), "version",
		    json_object_get(answer, "version"), "task_class",
		    json_object_get(answer, "task_class"), "passed",
		    strstr(text, " pass") != NULL);
	if (rating != NULL)
		out = json_dumps(rating, JSON_COMPACT);
	json_decref(rating);
	json_decref(answer);
	return out;
}

/* Handles an answer: queues its rating, or drops it if the queue is full. */
static enum MHD_Result
accept_answer(struct rater *rater, const struct serve_request *request)
{
	struct rating *rating;
	char *body = rate_answer(&request->body);

	if (body == NULL)
		return serve_json(request->connection, 400,
		    "{\"error\":\"an answer needs workspace, version, "
		    "task_class and text\"}\n",
		    NULL, NULL);
	rater->answers++;
	if (rng_below(&rater->rng, 1000) >=
	    (uint32_t)rater->options.share_permille) {
		free(body);
	} else if (rater->count == RATINGS_MAX) {
		rater->dropped++;
		free(body);
	} else {
		rating = &rater->waiting[(rater->first + rater->count++) %
					 RATINGS_MAX];
		rating->due_us =
		    tool_loop_now_us() + rater->options.delay_ms * 1000;
		rating->body = body;
	}
	return serve_json(request->connection, 202, "{}\n", NULL, NULL);
}

static enum MHD_Result
on_request(void *ctx, const struct serve_request *request)
{
	struct rater *rater = ctx;
	char body[256];

	if (strcmp(request->path, "/v1/answers") == 0 &&
	    strcmp(request->method, "POST") == 0)
		return accept_answer(rater, request);
	if (strcmp(request->path, "/fake/stats") != 0)
		return serve_json(request->connection, 404, "{}\n", NULL, NULL);
	snprintf(body, sizeof(body),
	    "{\"answers\":%llu,\"posted\":%llu,\"delivered\":%llu,"
	    "\"failed\":%llu,\"dropped\":%llu,\"waiting\":%zu}\n",
	    (unsigned long long)rater->answers,
	    (unsigned long long)rater->posted,
	    (unsigned long long)rater->delivered,
	    (unsigned long long)rater->failed,
	    (unsigned long long)rater->dropped, rater->count);
	return serve_json(request->connection, 200, body, NULL, NULL);
}

static void
on_post_done(void *ctx, CURL *easy, CURLcode code)
{
	struct rater *rater = ctx;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status / 100 == 2)
		rater->delivered++;
	else
		rater->failed++;
}

/* Posts the ratings that are due; returns when it must be called again. */
static int64_t
post_due_ratings(struct rater *rater, int64_t now_us)
{
	const struct flag_list *post_urls = &rater->options.post_urls;
	struct rating *rating;
	char url[512];

	while (rater->count > 0) {
		rating = &rater->waiting[rater->first];
		if (rating->due_us > now_us)
			return rating->due_us;
		snprintf(url, sizeof(url), "%s/v1/ratings",
		    post_urls->items[rater->next_url++ % post_urls->count]);
		tool_loop_post_json(rater->loop, url, rating->body,
		    POST_TIMEOUT_MS, on_post_done, rater);
		rater->posted++;
		free(rating->body);
		rater->first = (rater->first + 1) % RATINGS_MAX;
		rater->count--;
	}
	return now_us + 1000000;
}

int
main(int argc, char **argv)
{
	static struct rater rater;
	struct MHD_Daemon *daemon;

	flags_parse(argc, argv,
	    "A stand-in for the service that rates answers.", flags,
	    sizeof(flags) / sizeof(flags[0]), &rater.options);
	if (rater.options.post_urls.count == 0) {
		fprintf(stderr, "cf-fake-rater: --post URL is needed\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	rater.loop = tool_loop_new();
	rng_init(&rater.rng, (uint64_t)rater.options.seed);
	rater.waiting =
	    alloc_zero(alloc_default(), RATINGS_MAX, sizeof(*rater.waiting));
	daemon =
	    serve_start(rater.loop, rater.options.listen, on_request, &rater);
	if (daemon == NULL)
		return 1;
	while (!stop_requested)
		tool_loop_poll_once(
		    rater.loop, post_due_ratings(&rater, tool_loop_now_us()));
	/* Ratings that are not yet posted are lost, as in a service restart. */
	while (tool_loop_running_transfers(rater.loop) > 0)
		tool_loop_poll_once(rater.loop, tool_loop_now_us() + 1000000);
	while (rater.count-- > 0)
		free(rater.waiting[rater.first++ % RATINGS_MAX].body);
	alloc_free(alloc_default(), rater.waiting);
	MHD_stop_daemon(daemon);
	tool_loop_free(rater.loop);
	return 0;
}
