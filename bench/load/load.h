#ifndef CF_LOAD_H
#define CF_LOAD_H

#include <apr_hash.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/rng.h"
#include "flags.h"
#include "hist.h"
#include "tool_loop.h"

/*
 * An open-loop load tool.  Requests start at times that do not depend on the
 * answers, and every latency counts from the intended start, so that a stall
 * of the system shows in full.  main.c reads the flags and runs the arrivals,
 * request.c sends one request, answer.c reads and checks its answer, check.c
 * compares the run with the engines' counters and the bills, report.c prints
 * the results, watch.c reads the processor time and memory of other processes.
 */
enum {
	LOAD_NAME_BYTES = 96,
	LOAD_TARGETS_MAX = FLAG_LIST_ITEMS_MAX,
	LOAD_STATUS_MAX = 600,
	LOAD_PRINTED_ERRORS_MAX = 5, /* bodies without a kind */
	/* From the first sending of a keyed request to the second. */
	LOAD_RESEND_DELAY_US = 200000
};

/* The values of the command line's flags, described in main.c. */
struct load_options {
	struct flag_list targets;
	struct flag_list engine_stats;
	struct flag_list watch;
	const char *key;
	const char *model;
	const char *service;
	const char *bills;
	const char *rater;
	const char *workspace;
	const char *json;
	const char *answered;
	int64_t rate;
	int64_t seconds;
	int64_t stream_permille;
	int64_t service_permille;
	int64_t key_permille;
	int64_t resend_permille;
	int64_t sessions;
	int64_t prompt_tokens;
	int64_t max_tokens;
	int64_t deadline_ms;
	int64_t timeout_ms;
	int64_t open_max;
	int64_t settle_ms;
	int64_t seed;
};

enum load_request_kind {
	LOAD_REQUEST_CHAT,
	LOAD_REQUEST_STREAM,
	LOAD_REQUEST_SERVICE
};

/* One request in flight and the state of its answer. */
struct load_request {
	struct load *load;
	enum load_request_kind kind;
	bool resend; /* second sending under the same key */
	uint64_t number;
	int target;
	int failed_connects; /* targets that could not be connected to */
	int64_t intended_us; /* start that latencies count from */
	int64_t first_us; /* arrival of the first token; 0: none yet */
	int64_t last_us; /* arrival of the latest token */
	char tag[LOAD_NAME_BYTES]; /* unique text that the engine returns */
	char key[LOAD_NAME_BYTES]; /* Idempotency-Key; empty: none */
	char session[LOAD_NAME_BYTES]; /* empty: none */
	char request_id[LOAD_NAME_BYTES]; /* Celeryford-Request of the answer */
	char version[LOAD_NAME_BYTES]; /* Celeryford-Version of the answer */
	char error[LOAD_NAME_BYTES]; /* its kind; empty: none */
	bool error_event; /* the next data line holds an error */
	bool done; /* "[DONE]" was read */
	int64_t usage_tokens; /* -1: no usage was read */
	struct buf answer; /* whole body, or the incomplete line of a stream */
	struct buf text; /* content received from a stream */
	struct curl_slist *headers;
	struct buf body;
};

/* A request that will be sent again under its key. */
struct resend {
	int64_t due_us;
	enum load_request_kind kind;
	char key[LOAD_NAME_BYTES];
	char tag[LOAD_NAME_BYTES];
};

/* Results of one target; a request may be sent to several. */
struct target_counts {
	uint64_t sent;
	uint64_t whole; /* whole answers */
	uint64_t errors; /* error answers and error events */
	uint64_t refused; /* connection attempts that failed */
	uint64_t lost; /* no answer, or the transfer broke off */
};

/* Answers of one model version. */
struct version_counts {
	uint64_t answers;
	uint64_t passed; /* whose text contains the verdict "pass" */
};

struct load_counts {
	uint64_t sent;
	uint64_t ok; /* complete answers */
	uint64_t resent;
	uint64_t lost; /* without an answer or cut, timeouts included */
	uint64_t timeouts;
	uint64_t unnamed_printed; /* error bodies without a kind */
	uint64_t skipped; /* not sent: open_max requests were open */
	uint64_t cut_as_whole; /* truncated answers presented as complete */
	uint64_t crossed; /* answers that belong to another request */
	uint64_t session_moves; /* changes of a session's version */
	uint64_t tokens;
	uint64_t open_peak; /* most requests open at once */
	uint64_t status[LOAD_STATUS_MAX]; /* answers by HTTP status */
	struct target_counts targets[LOAD_TARGETS_MAX];
};

struct load {
	struct load_options options;
	struct tool_loop *loop;
	apr_pool_t *pool;
	struct rng rng;
	char run[LOAD_NAME_BYTES]; /* prefix of this run's keys and tags */
	char *padding; /* text that fills prompts to their length */
	int64_t start_us;
	int64_t end_us; /* no new request starts from here on */
	int64_t next_us; /* intended start of the next request */
	uint64_t number; /* of the latest new request */
	int next_target;
	struct resend *resends; /* ring, in order of due_us */
	size_t resend_first, resend_count, resend_capacity;
	struct load_counts counts;
	apr_hash_t *errors; /* kind -> uint64_t count */
	apr_hash_t *versions; /* name -> struct version_counts */
	apr_hash_t *session_versions; /* session -> its version */
	apr_hash_t *requests; /* Celeryford-Request -> whole answers */
	struct hist first_token, between_tokens, whole; /* latencies */
	struct watch *watches;
};

/* request.c */
void load_request_send_new(struct load *load, int64_t intended_us);
void load_request_send_again(struct load *load);

/* answer.c */
size_t answer_read_body(char *data, size_t size, size_t count, void *ctx);
size_t answer_read_header(char *data, size_t size, size_t count, void *ctx);
void answer_count_result(struct load_request *req, CURLcode code, long status);
void load_count_name(struct load *load, apr_hash_t *table, const char *name);

/* report.c */
int report_results(struct load *load);

/* check.c: the run compared with the engines' counters and the bills. */
struct check {
	uint64_t engines_read;
	uint64_t engines_unread;
	uint64_t double_runs; /* plain calls run beyond the first of a key */
	uint64_t chat_reruns; /* chats run beyond the first of a key */
	uint64_t cold_peak; /* highest cold_peak of an engine */
	uint64_t cancelled; /* sum over the engines */
	uint64_t bills;
	uint64_t double_bills; /* bills beyond the first of a request */
	uint64_t answers_unbilled; /* complete answers without a bill */
	bool bills_read;
};

void check_engines(struct load *load, struct check *check);
void check_bills(struct load *load, struct check *check);

/* watch.c */
void watch_start(struct load *load);
void watch_sample(struct load *load);
void watch_report(struct load *load, void *json);

#endif
