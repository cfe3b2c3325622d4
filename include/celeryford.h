#ifndef CELERYFORD_H
#define CELERYFORD_H

/*
 * celeryford's routing decisions, as a library without I/O.
 *
 * A router decides, for one entry instance, on which model version and which
 * backend server each attempt of each request runs, and when a request is
 * refused instead.  It uses no clock, socket, file, log or global variable:
 * the caller passes one event and the current time, and carries out the
 * returned actions in order.  The same events, times and seed give the same
 * actions, so the daemon, the scripted tests, the fault matrix and the policy
 * bench all run the same code.
 *
 *	struct cf_router *router = cf_router_new(&options);
 *	struct cf_actions actions = {0};
 *
 *	cf_router_step(router, now_us, &event, &actions);
 *	for (i = 0; i < actions.count; i++)
 *		carry_out(&actions.items[i]);
 *
 * Sequence for one request: CF_EV_REQUEST returns CF_ACT_CLAIM first if the
 * call must not be repeated, then CF_ACT_DISPATCH, CF_ACT_FORWARD or
 * CF_ACT_REFUSE, at once or after a wait in the queue.  The caller reports the
 * events of each attempt until it ends with CF_EV_DONE or CF_EV_FAILED; the
 * router returns another dispatch (a retry or an escalation to a better
 * version), CF_ACT_ANSWER or CF_ACT_REFUSE.  After CF_ACT_ANSWER or
 * CF_ACT_REFUSE the router keeps no state of the request.
 *
 * A forwarded request is an attempt like any other and is reported by its
 * number.  The receiving instance does not claim it again and does not forward
 * it on.  CF_ACT_ANSWER may name an earlier attempt than the last, so the
 * caller keeps the whole answer of an attempt that was followed by an
 * escalation until then.
 *
 * Warm-up credits: CF_ACT_CREDIT_ASK and CF_ACT_CREDIT_GIVE must reach the
 * granter in order.  Each ask is answered by one CF_EV_CREDIT, with 0 credits
 *if it is denied; until_us is the time of the ask plus the granter's lease.
 *
 * CF_EV_CALLER_GONE cancels the running attempts, except for a call that must
 * not be repeated: that call continues until its outcome is known, and ends
 * with CF_ACT_ANSWER or CF_ACT_REFUSE as if the caller were still connected.
 *
 * Times are microseconds of a monotonic clock.  Names are given as indices
 * into the compiled configuration (core/cfg.h).  The caller assigns each
 * backend server an index below max_servers and passes it in CF_EV_ANNOUNCE.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/err.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	CF_PREFIXES_MAX = 8, /* prefix hashes of one prompt, shortest first */
	CF_ATTEMPTS_MAX = 8, /* attempts of one request, hedges included */
	CF_NO_SERVER = 0xffff
};

struct cf_router_options {
	const struct alloc *alloc; /* NULL: the C library's allocator */
	uint64_t seed;
	uint16_t data_centre; /* data centre of this instance */
	uint16_t instance; /* index of this instance, for credits */
	uint16_t max_servers; /* backend servers of the data centre */
	uint32_t max_requests; /* open at once, including queued */
	uint32_t max_sessions; /* session bindings kept */
	uint32_t unsafe; /* tests only: CF_UNSAFE_* rules disabled */
};

/* Rules that a test may disable, to show which fault each one prevents. */
enum cf_unsafe {
	CF_UNSAFE_ALLOWED = 1 << 0, /* skip the final configuration check */
	CF_UNSAFE_STICKY = 1 << 1, /* do not bind sessions to a version */
	CF_UNSAFE_CREDIT = 1 << 2, /* treat cold servers as warm */
	CF_UNSAFE_LEAVING = 1 << 3, /* ignore that a server is leaving */
	CF_UNSAFE_ONCE = 1 << 4, /* retry calls of unknown outcome */
	CF_UNSAFE_RUN_STATE = 1 << 5, /* count a cancelled attempt as not run */
	CF_UNSAFE_MARKS = 1 << 6, /* ignore crash marks */
	CF_UNSAFE_END = 1 << 7, /* keep a request open after its answer */
	CF_UNSAFE_DEADLINE = 1 << 8 /* let queue waits exceed deadlines */
};

enum cf_event_kind {
	CF_EV_CONFIG, /* new compiled revision; in use until the next */
	CF_EV_ANNOUNCE, /* a backend server announced itself */
	CF_EV_SERVER_GONE, /* its announcements stopped, or it left */
	CF_EV_REQUEST, /* a caller's request was received whole */
	CF_EV_CLAIMED, /* result of the claim that CF_ACT_CLAIM requested */
	CF_EV_FIRST_TOKEN, /* first byte of an attempt's answer arrived */
	CF_EV_DONE, /* an attempt's answer arrived whole */
	CF_EV_FAILED, /* an attempt ended without a whole answer */
	CF_EV_CALLER_GONE, /* the caller disconnected */
	CF_EV_RATING, /* the rating service rated an answer */
	CF_EV_BIND, /* another instance bound a session */
	CF_EV_CRASH_MARK, /* another instance saw a request crash a server */
	CF_EV_CREDIT, /* the granter granted or withdrew warm-up credits */
	CF_EV_CACHE, /* a backend server's prefix cache changed */
	CF_EV_ISOLATED, /* the configuration lease expired or was regained */
	CF_EV_WAKE, /* the time set by CF_ACT_WAKE is reached */
	CF_EV_NEIGHBOUR, /* another data centre reported its spare capacity */
	CF_EV_INSTANCES, /* number of live entry instances in the data centre */
	CF_EV_DIGEST /* another instance's struct cf_digest of a version */
};

enum cf_warmth {
	CF_COLD,
	CF_WARM
};

/* What a backend server announced of itself; it may leave values out. */
struct cf_announce {
	uint16_t server;
	uint64_t incarnation; /* grows with each restart of the server */
	uint64_t versions; /* mask of loaded versions */
	uint64_t services; /* mask of plain services it offers */
	enum cf_warmth warmth;
	uint16_t slots; /* requests it runs at once when warm */
	uint16_t cold_slots; /* requests it can run at once while cold */
	uint16_t running; /* requests running, as reported */
	uint16_t queued; /* requests waiting, as reported */
	int64_t reported_us; /* when that load was measured, local clock */
	uint32_t token_us; /* time between tokens at that load; 0: unknown */
	bool leaving; /* accepts no new requests */
};

enum cf_request_kind {
	CF_CHAT,
	CF_SERVICE
};

struct cf_request {
	uint32_t id; /* chosen by the caller, unique while open */
	enum cf_request_kind kind;
	uint16_t workspace;
	uint16_t model; /* CFG_NONE: any model of the workspace */
	uint16_t version; /* CFG_NONE: the router chooses */
	uint16_t service; /* CF_SERVICE only */
	uint16_t task_class; /* quality is estimated for each class */
	bool once; /* the call must not run twice: claim first */
	bool streaming; /* tokens are relayed at once, so no escalation */
	bool forwarded; /* came from another data centre */
	uint64_t session; /* 0: none */
	uint64_t fingerprint; /* of the body, for crash marks */
	uint64_t prefixes[CF_PREFIXES_MAX];
	uint8_t prefix_count;
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	int64_t deadline_us; /* when the first token is due */
	uint64_t
	    session_birth; /* revision when the session began; 0: unknown */
};

/* Report on an attempt, by the request and attempt numbers of its dispatch. */
struct cf_attempt {
	uint32_t request;
	uint8_t attempt;
	int error; /* CF_EV_FAILED: an err.h number */
	enum err_run_state run_state; /* CF_EV_FAILED */
	bool server_crashed; /* CF_EV_FAILED: its server crashed */
	bool defective; /* CF_EV_DONE: empty or malformed */
	uint32_t output_tokens;
	uint16_t score_permille; /* CF_EV_DONE: quick rating; 0xffff: none */
};

/* Position of a rated answer in the request's chain of escalations. */
enum cf_place {
	CF_ALONE, /* first attempt, with no version to escalate to */
	CF_KEPT, /* first attempt that a low quick score would have escalated */
	CF_ESCALATED /* it replaced another version's answer */
};

struct cf_rating {
	uint16_t workspace;
	uint16_t version;
	uint16_t task_class;
	enum cf_place place;
	bool passed;
};

enum {
	CF_DROPS = 2 /* sizes of quality drop that are tested for */
};

/*
 * Log-likelihood ratios of the quick outcomes of a version at one instance.
 * Instances exchange them about once a second, so that each one detects a drop
 * in quality from the outcomes of all instances together.
 */
struct cf_digest {
	uint16_t version;
	float quick[CF_DROPS];
};

struct cf_event {
	enum cf_event_kind kind;
	union {
		const struct cfg *config;
		struct cf_announce announce;
		struct {
			uint16_t server;
			bool crashed;
		} gone;
		struct cf_request request;
		struct {
			uint32_t request;
			int error; /* 0: granted */
		} claimed;
		struct cf_attempt attempt;
		struct {
			uint32_t request;
		} caller_gone;
		struct cf_rating rating;
		struct {
			uint64_t session;
			uint16_t workspace;
			uint16_t version;
		} bind;
		struct {
			uint64_t fingerprint;
			uint8_t crashes;
		} crash_mark;
		struct {
			uint16_t server;
			uint64_t incarnation;
			uint16_t credits;
			int64_t until_us;
		} credit;
		struct {
			uint16_t server;
			uint64_t sequence; /* a gap discards the known cache
					      contents */
			uint64_t prefix;
			bool stored; /* false: evicted */
		} cache;
		bool isolated;
		struct {
			uint16_t data_centre;
			uint16_t spare_slots; /* requests it can take now */
			uint64_t
			    versions; /* mask of versions with spare slots */
			uint64_t services; /* mask, likewise */
			bool cut_off; /* unreachable */
		} neighbour;
		uint16_t instances;
		struct cf_digest digest;
	} u;
};

enum cf_action_kind {
	CF_ACT_CLAIM, /* claim the request's key; report CF_EV_CLAIMED */
	CF_ACT_DISPATCH, /* start an attempt on a backend server */
	CF_ACT_FORWARD, /* send the request to another data centre */
	CF_ACT_CANCEL, /* stop an attempt; no event follows for it */
	CF_ACT_ANSWER, /* send this attempt's answer to the caller */
	CF_ACT_REFUSE, /* answer the caller with an error at once */
	CF_ACT_BIND, /* send the binding to the second instance that keeps it */
	CF_ACT_CRASH_MARK, /* send the mark to the data centre's instances */
	CF_ACT_CREDIT_ASK, /* ask the granter for warm-up credits */
	CF_ACT_CREDIT_GIVE, /* return credits to the granter */
	CF_ACT_STOP_VERSION, /* withdraw the version: it failed the sequential
				test */
	CF_ACT_WAKE /* send CF_EV_WAKE at this time */
};

/* Reason for a decision; the daemon logs it with the decision. */
enum cf_reason {
	CF_WHY_CHEAPEST, /* cheapest version that meets the quality target */
	CF_WHY_REQUESTED, /* the caller named the version */
	CF_WHY_SESSION, /* the session's version */
	CF_WHY_EXPLORE, /* bounded exploration */
	CF_WHY_ROLLOUT, /* share of requests given to a roll-out */
	CF_WHY_BEST, /* nothing cheaper is known to meet the target */
	CF_WHY_ESCALATE, /* previous answer was rated low or defective */
	CF_WHY_RETRY, /* previous attempt failed */
	CF_WHY_HEDGE, /* previous attempt is late */
	CF_WHY_ONLY, /* plain service or a single candidate */
	CF_WHY_LIMIT, /* refused: share, queue or deadline */
	CF_WHY_NOT_ALLOWED, /* refused: not allowed or withdrawn */
	CF_WHY_NO_SERVER, /* refused: no reachable server has it loaded */
	CF_WHY_CRASHES, /* refused: crash marks */
	CF_WHY_BUDGET, /* refused: retry budget spent */
	CF_WHY_OUTCOME, /* refused: an earlier run's outcome is unknown */
	CF_WHY_ABSORB, /* another data centre has spare capacity */
	CF_WHY_REBOUND /* the session's version ended; bound to this one */
};

struct cf_action {
	enum cf_action_kind kind;
	enum cf_reason reason;
	uint32_t request;
	uint8_t attempt;
	uint16_t server;
	uint16_t version;
	uint16_t data_centre;
	uint16_t candidates; /* servers or versions considered */
	int error; /* CF_ACT_REFUSE */
	enum err_run_state run_state;
	uint32_t retry_after_ms; /* CF_ACT_REFUSE; 0: do not retry */
	uint64_t key; /* session, fingerprint or incarnation */
	uint16_t workspace;
	uint16_t count; /* credits or crashes */
	enum cf_place place; /* CF_ACT_ANSWER: to pass on with the rating */
	int64_t at_us; /* CF_ACT_WAKE; deadline of a dispatch */
};

enum {
	CF_ACTIONS_MAX = 256
};

/*
 * Actions of one step.  If a step has more actions than fit, the router keeps
 * the rest and requests an immediate CF_EV_WAKE.
 */
struct cf_actions {
	size_t count;
	struct cf_action items[CF_ACTIONS_MAX];
};

struct cf_router;

struct cf_router *cf_router_new(const struct cf_router_options *options);
void cf_router_free(struct cf_router *router);
void cf_router_step(struct cf_router *router, int64_t now_us,
    const struct cf_event *event, struct cf_actions *actions);

/*
 * Writes up to max digests of outcomes since the last call, which the
 * other instances receive as CF_EV_DIGEST, and returns their number.
 */
size_t cf_router_digests(
    struct cf_router *router, struct cf_digest *out, size_t max);

/* Accessors for status pages and tests. */
uint32_t cf_router_open(const struct cf_router *router);
uint32_t cf_router_queued(const struct cf_router *router);
uint16_t cf_router_in_flight(const struct cf_router *router, uint16_t server);
uint64_t cf_router_exposure(const struct cf_router *router, uint16_t version);
const char *cf_reason_name(enum cf_reason reason);

#ifdef __cplusplus
}
#endif

#endif
