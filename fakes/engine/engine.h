#ifndef CF_ENGINE_H
#define CF_ENGINE_H

#include <apr_hash.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "base/rng.h"
#include "flags.h"
#include "tool_loop.h"
#include "serve.h"

/*
 * A stand-in for a model engine.  main.c reads the flags and runs the loop,
 * http.c maps paths to calls, work.c schedules the calls on slots and tells
 * when each token is due, chat.c writes the answers, announce.c reports to
 * the router's instances, stats.c counts.
 */
enum {
	ENGINE_BODY_MAX = 4 << 20, /* bytes of a request's body */
	ENGINE_TAG_BYTES = 64,
	ENGINE_CRASHED = 3 /* exit status of a crash */
};

enum fault {
	FAULT_NONE,
	FAULT_CRASH,
	FAULT_CUT,
	FAULT_SILENT,
	FAULT_LATE,
	FAULT_CROSS
};

struct engine_options {
	const char *listen;
	const char *name;
	const char *data_centre;
	struct flag_list announce;
	struct flag_list versions;
	struct flag_list services;
	const char *crash_on;
	const char *stats_file;
	int64_t announce_ms;
	int64_t leave_ms;
	int64_t prompt_token_us;
	int64_t cache_blocks;
	int64_t slots;
	int64_t cold_slots;
	int64_t cold_ms;
	int64_t token_us;
	int64_t first_token_us;
	int64_t pass_permille;
	int64_t tokens;
	int64_t report_lag_ms;
	int64_t cache_gap_permille;
	int64_t silent_after;
	int64_t late_permille;
	int64_t late_ms;
	int64_t cross_permille;
	int64_t cut_permille;
	int64_t seed;
	bool ignore_fencing;
};

struct engine;

/* One call that the engine runs, queues, or has ended. */
struct call {
	struct engine *engine;
	struct call *next, *prev; /* of engine.calls, in order of arrival */
	struct MHD_Connection *connection;
	struct conn *conn;
	struct buf body;
	const char *path;
	bool service;
	bool admitted; /* counted among the calls at once */
	bool started; /* holds a slot */
	bool suspended;
	bool answered;
	bool gone; /* the client has disconnected */
	bool stream;
	bool pass;
	enum fault fault;
	int priority; /* lower is served first */
	int64_t arrived_us;
	int64_t first_due_us; /* of its first token */
	uint32_t tokens; /* of the whole answer */
	uint32_t sent; /* tokens written to the stream */
	uint32_t prompt_tokens;
	bool usage_sent;
	char tag[ENGINE_TAG_BYTES]; /* first word of the last message */
	char id[ENGINE_TAG_BYTES]; /* Celeryford-Request */
	char model[ENGINE_TAG_BYTES];
	struct buf pending; /* event text not yet written */
	size_t pending_at;
};

/* One connection of a client. */
struct conn {
	struct conn *next, *prev;
	bool silent; /* answers nothing any more */
};

struct engine_stats {
	uint64_t requests;
	uint64_t cancelled;
	uint64_t tokens;
	uint64_t service_runs;
	uint64_t double_runs;
	uint64_t attempts_repeated;
	uint64_t announced; /* announcements that were answered */
	uint64_t orders;
	uint64_t orders_stale;
	uint64_t cold_peak;
	uint64_t peak;
	int64_t after_leaving_us; /* last new work, after leaving began */
	apr_hash_t *keys; /* Idempotency-Key of a plain call -> runs */
	apr_hash_t *chat_keys; /* the same for chat completions */
	apr_hash_t *attempts; /* Celeryford-Request -> times seen */
};

struct engine {
	struct engine_options options;
	struct tool_loop *loop;
	apr_pool_t *pool;
	struct rng rng;
	char *address; /* with the port that the system chose */
	uint64_t incarnation;
	int64_t cold_until_us;
	struct call *calls;
	struct call *calls_last;
	struct conn *conns;
	int admitted;
	int running;
	int64_t next_due_us; /* earliest token; 0: look at once */
	int64_t next_scan_us; /* for clients that have disconnected */
	int64_t leaving_us; /* 0: not leaving */
	char last_id[ENGINE_TAG_BYTES]; /* for crossed answers */
	char last_tag[ENGINE_TAG_BYTES];
	struct engine_stats stats;
	struct announcer *announcer;
	struct orders *orders;
};

/* work.c */
bool engine_cold(const struct engine *engine);
void engine_crash(struct engine *engine, const char *why);
int work_admit(struct engine *engine, struct call *call);
void work_end(struct engine *engine, struct call *call);
void work_suspend(struct call *call);
uint32_t work_due(const struct engine *engine, const struct call *call);
int64_t work_tick(struct engine *engine);

/* chat.c */
int chat_parse(struct engine *engine, struct call *call);
enum MHD_Result chat_answer(struct engine *engine, struct call *call);
enum MHD_Result service_answer(struct engine *engine, struct call *call);

/* http.c */
struct MHD_Daemon *http_start(struct engine *engine);

/* announce.c */
void announce_init(struct engine *engine);
void announce_free(struct engine *engine);
int64_t announce_tick(struct engine *engine);
bool announce_prefix(struct engine *engine, uint64_t prefix);
char *announce_text(struct engine *engine);
void announce_now(struct engine *engine);

/* stats.c */
void stats_init(struct engine *engine);
void stats_attempt(struct engine *engine, const char *id);
void stats_run(struct engine *engine, const char *key, bool service);
char *stats_json(struct engine *engine, bool keys, bool attempts);

/* orders.c */
void orders_init(struct engine *engine);
void orders_free(struct engine *engine);
enum MHD_Result orders_answer(struct engine *engine, struct call *call);

#endif
