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
 * A stand-in for a model engine.  main.c parses the flags and runs the loop,
 * http.c dispatches requests, work.c schedules the calls on slots and computes
 * when each token is due, chat.c writes the answers, announce.c announces the
 * server to the router's instances, orders.c executes the router's orders, and
 * stats.c keeps the counters.
 */
enum {
	ENGINE_BODY_MAX_BYTES = 4 << 20, /* of a request's body */
	ENGINE_TAG_BYTES = 64,
	ENGINE_CRASH_STATUS = 3 /* exit status of a crash */
};

enum fault {
	FAULT_NONE,
	FAULT_CRASH, /* the process ends */
	FAULT_CUT, /* the connection closes amid the answer */
	FAULT_SILENT, /* the connection sends nothing any more */
	FAULT_LATE, /* late_ms are added to the first token */
	FAULT_CROSS /* id and tag of the previous call */
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

/* A chat completion or service call: parsed, queued, running or ended. */
struct call {
	struct engine *engine;
	struct call *next, *prev; /* in engine.calls, in order of arrival */
	struct MHD_Connection *connection;
	struct conn *conn;
	struct buf body;
	const char *path;
	bool service; /* of a plain service, not a chat completion */
	bool admitted; /* queued or running: in engine.calls */
	bool started; /* holds a slot */
	bool suspended;
	bool answered;
	bool disconnected; /* by the client */
	bool stream; /* the client asked for a stream of events */
	bool pass; /* verdict that the answer contains */
	enum fault fault;
	int priority; /* lower numbers run first */
	int64_t arrived_us;
	/*
	 * When the first token is due, on the monotonic clock; before the start
	 * of the call, the time to process its prompt.
	 */
	int64_t first_due_us;
	uint32_t tokens; /* of the complete answer */
	uint32_t sent; /* tokens written to the stream */
	uint32_t prompt_tokens;
	bool usage_sent; /* final event of a stream written */
	char tag[ENGINE_TAG_BYTES]; /* first word of the last message */
	char id[ENGINE_TAG_BYTES]; /* Celeryford-Request header */
	char model[ENGINE_TAG_BYTES];
	struct buf pending; /* text of the answer, being sent */
	size_t pending_offset; /* bytes of pending already sent */
};

/* A connection of a client. */
struct conn {
	struct conn *next, *prev;
	bool silent; /* under FAULT_SILENT: sends nothing any more */
};

struct engine_stats {
	uint64_t requests;
	uint64_t cancelled;
	uint64_t tokens;
	uint64_t service_runs;
	uint64_t double_runs; /* service runs with a repeated key */
	uint64_t attempts_repeated;
	uint64_t announced; /* announcements answered by an instance */
	uint64_t orders;
	uint64_t orders_stale;
	uint64_t cold_peak; /* concurrent calls during the cold start */
	uint64_t peak; /* concurrent calls, queued ones included */
	int64_t after_leaving_us; /* from leaving to the last new call */
	apr_hash_t *keys; /* Idempotency-Key of a service call -> runs */
	apr_hash_t *chat_keys; /* the same for chat completions */
	apr_hash_t *attempts; /* Celeryford-Request -> times seen */
};

struct engine {
	struct engine_options options;
	struct tool_loop *loop;
	apr_pool_t *pool;
	struct rng rng;
	char *address; /* IP:PORT; the bound port, also if given as 0 */
	uint64_t incarnation;
	int64_t cold_until_us; /* end of the cold start */
	struct call *calls;
	struct call *calls_last;
	struct conn *conns;
	int admitted; /* calls queued or running */
	int running; /* calls that hold a slot */
	int64_t next_due_us; /* earliest token due; 0: scan the calls now */
	int64_t next_disconnect_scan_us; /* scan for disconnected clients */
	int64_t leaving_since_us; /* time of SIGTERM; 0: not leaving */
	char previous_id[ENGINE_TAG_BYTES]; /* for FAULT_CROSS */
	char previous_tag[ENGINE_TAG_BYTES];
	struct engine_stats stats;
	struct announcer *announcer;
	struct orders *orders;
};

/* work.c */
bool engine_is_cold(const struct engine *engine);
void engine_crash(struct engine *engine, const char *why);
int work_admit(struct engine *engine, struct call *call);
void work_end(struct engine *engine, struct call *call);
void work_suspend(struct call *call);
uint32_t work_tokens_due(const struct engine *engine, const struct call *call);
int64_t work_resume_due(struct engine *engine);

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
bool announce_lookup_prefix(struct engine *engine, uint64_t prefix);
char *announce_json(struct engine *engine);
void announce_now(struct engine *engine);

/* stats.c */
void stats_init(struct engine *engine);
void stats_count_attempt(struct engine *engine, const char *id);
void stats_count_run(struct engine *engine, const char *key, bool service);
char *stats_json(struct engine *engine, bool keys, bool attempts);

/* orders.c */
void orders_init(struct engine *engine);
void orders_free(struct engine *engine);
enum MHD_Result orders_answer(struct engine *engine, struct call *call);

#endif
