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
 * shot.c sends one request, answer.c reads and checks its answer, report.c
 * prints the outcome, watch.c reads the processor time of other processes.
 */
enum {
	LOAD_NAME_BYTES = 96,
	LOAD_TARGETS_MAX = FLAG_LIST_ITEMS_MAX,
	LOAD_STATUS_MAX = 600,
	LOAD_SHOWN_MAX = 5, /* error bodies printed */
	LOAD_RESEND_US = 200000 /* from a keyed call to its second sending */
};

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

enum shot_kind {
	SHOT_CHAT,
	SHOT_STREAM,
	SHOT_SERVICE
};

/* One request on its way, and what has come of its answer. */
struct shot {
	struct load *load;
	enum shot_kind kind;
	bool resend; /* the second sending of a key */
	uint64_t number;
	int target;
	int moves; /* targets that could not be connected to */
	int64_t intended_us;
	int64_t first_us; /* of its first token; 0 none yet */
	int64_t last_us; /* of its last token */
	char tag[LOAD_NAME_BYTES];
	char key[LOAD_NAME_BYTES]; /* empty: none */
	char session[LOAD_NAME_BYTES];
	char request[LOAD_NAME_BYTES]; /* Celeryford-Request of the answer */
	char version[LOAD_NAME_BYTES]; /* Celeryford-Version of the answer */
	char error[LOAD_NAME_BYTES]; /* kind of an error event */
	bool error_event; /* the next data line is an error's */
	bool done; /* "[DONE]" was read */
	int64_t usage_tokens; /* -1: no usage was read */
	struct buf answer; /* whole body, or a stream's unread line */
	struct buf text; /* a stream's content so far */
	struct curl_slist *headers;
	struct buf body;
};

/* A call that will be sent again under its key. */
struct resend {
	int64_t due_us;
	enum shot_kind kind;
	char key[LOAD_NAME_BYTES];
	char tag[LOAD_NAME_BYTES];
};

struct target_counts {
	uint64_t sent;
	uint64_t whole; /* whole answers */
	uint64_t errors; /* error answers and error events */
	uint64_t refused; /* could not be connected to */
	uint64_t lost; /* ended without any answer, or cut */
};

struct version_counts {
	uint64_t answers;
	uint64_t passed;
};

struct load_counts {
	uint64_t sent;
	uint64_t ok;
	uint64_t resent;
	uint64_t lost;
	uint64_t timeouts;
	uint64_t shown; /* error bodies without a kind, printed */
	uint64_t skipped; /* not sent: open_max were open */
	uint64_t cut_as_whole;
	uint64_t crossed; /* another request's answer */
	uint64_t session_moves; /* a session's version changed */
	uint64_t tokens;
	uint64_t open_peak;
	uint64_t status[LOAD_STATUS_MAX];
	struct target_counts targets[LOAD_TARGETS_MAX];
};

struct load {
	struct load_options options;
	struct tool_loop *loop;
	apr_pool_t *pool;
	struct rng rng;
	char run[LOAD_NAME_BYTES]; /* prefix of this run's keys and tags */
	char *padding; /* text that fills prompts up */
	int64_t start_us;
	int64_t end_us; /* of the arrivals */
	int64_t next_us;
	uint64_t number;
	int next_target;
	struct resend *resends; /* ring, in order of due_us */
	size_t resend_first, resend_count, resend_size;
	struct load_counts counts;
	apr_hash_t *errors; /* kind -> uint64_t */
	apr_hash_t *versions; /* name -> struct version_counts */
	apr_hash_t *session_versions; /* session -> its version */
	apr_hash_t *requests; /* Celeryford-Request of whole answers */
	struct hist first_token, between_tokens, whole;
	struct watch *watches;
};

/* shot.c */
void shot_fire(struct load *load, int64_t intended_us);
void shot_resend(struct load *load);

/* answer.c */
size_t answer_data(char *data, size_t size, size_t count, void *ctx);
size_t answer_header(char *data, size_t size, size_t count, void *ctx);
void answer_end(struct shot *shot, CURLcode code, long status);
void load_count(struct load *load, apr_hash_t *table, const char *name);

/* report.c */
int report(struct load *load);

/* check.c */
struct check {
	uint64_t engines_read;
	uint64_t engines_unread;
	uint64_t double_runs;
	uint64_t chat_reruns;
	uint64_t cold_peak;
	uint64_t cancelled;
	uint64_t bills;
	uint64_t double_bills;
	uint64_t answers_unbilled;
	bool bills_read;
};

void check_engines(struct load *load, struct check *check);
void check_bills(struct load *load, struct check *check);

/* watch.c */
void watch_start(struct load *load);
void watch_sample(struct load *load);
void watch_report(struct load *load, void *json);

#endif
