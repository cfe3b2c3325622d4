#ifndef CELERYFORD_H
#define CELERYFORD_H

/*
 * celeryford's decisions, as a library without I/O.
 *
 * A router decides, for one entry instance, on which model version and which
 * backend server each attempt of each request runs, and when a request is
 * refused instead.  It has no clock, socket, file, log or global: the caller
 * hands it one event and the time, and carries out the actions that come back
 * in their order.  The same events, times and seed give the same actions, so
 * the daemon, the scripted tests, the fault matrix and the policy bench all
 * run the same code.
 *
 *	struct cf_router *router = cf_router_new(&options);
 *	struct cf_actions actions = {0};
 *
 *	cf_router_step(router, now_us, &event, &actions);
 *	for (i = 0; i < actions.count; i++)
 *		carry_out(&actions.items[i]);
 *
 * A request's life: CF_EV_REQUEST brings CF_ACT_CLAIM first if its call must
 * not be repeated, then CF_ACT_DISPATCH, CF_ACT_FORWARD or CF_ACT_REFUSE, now
 * or after a wait in the queue.  The caller reports each attempt until it ends
 * with CF_EV_DONE or CF_EV_FAILED; the router answers with another dispatch (a
 * retry or an escalation to a better version), CF_ACT_ANSWER or
 * CF_ACT_REFUSE.  After either of the last two the request is forgotten.
 *
 * A forwarded request is an attempt like any other and is reported by its
 * number.  The receiving instance does not claim it again and does not forward
 * it on.  CF_ACT_ANSWER may name an earlier attempt than the last, so the whole
 * answer of an attempt that was followed by an escalation is kept until then.
 * Warm-up credits: CF_ACT_CREDIT_ASK and CF_ACT_CREDIT_GIVE reach the granter
 * in their order.  Each ask is answered by one CF_EV_CREDIT, with 0 credits if
 * it is denied; until_us is the time of the ask plus the granter's lease.
 *
 * CF_EV_CALLER_GONE cancels what runs, but not a call that must not be
 * repeated: that one goes on until its outcome is known, and ends with
 * CF_ACT_ANSWER or CF_ACT_REFUSE as if the caller were there.
 *
 * Times are microseconds of a monotonic clock.  Names become indices of the
 * compiled configuration (core/cfg.h); backend servers become indices that
 * CF_EV_ANNOUNCE carries and the caller chooses, each below max_servers.
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
	const struct alloc *alloc; /* NULL: the C library's */
	uint64_t seed;
	uint16_t data_centre; /* this instance's own */
	uint16_t instance; /* index of this instance, for credits */
	uint16_t max_servers; /* backend servers of the data centre */
	uint32_t max_requests; /* open at once, queued ones included */
	uint32_t max_sessions; /* bindings kept */
	uint32_t unsafe; /* tests only: CF_UNSAFE_* rules left out */
};

/* Rules that a test may leave out, to show what each of them prevents. */
enum cf_unsafe {
	CF_UNSAFE_ALLOWED = 1 << 0, /* no last check of the configuration */
	CF_UNSAFE_STICKY = 1 << 1, /* sessions are not bound */
	CF_UNSAFE_CREDIT = 1 << 2, /* cold servers are sent to as warm */
	CF_UNSAFE_LEAVING = 1 << 3, /* leaving is not looked at */
	CF_UNSAFE_ONCE = 1 << 4, /* unknown outcomes are retried */
	CF_UNSAFE_RUN_STATE = 1
			      << 5, /* a cancelled attempt counts as not run */
	CF_UNSAFE_MARKS = 1 << 6, /* crash marks are not looked at */
	CF_UNSAFE_END = 1 << 7, /* a request stays open after its answer */
	CF_UNSAFE_DEADLINE = 1 << 8 /* waits are not held to deadlines */
};

enum cf_event_kind {
	CF_EV_CONFIG, /* a new compiled revision; kept until the next */
	CF_EV_ANNOUNCE, /* a backend server announced itself */
	CF_EV_SERVER_GONE, /* its announcements stopped, or it left */
	CF_EV_REQUEST, /* a caller's request is complete */
	CF_EV_CLAIMED, /* the claim that CF_ACT_CLAIM asked for ended */
	CF_EV_FIRST_TOKEN, /* first byte of an attempt's answer arrived */
	CF_EV_DONE, /* an attempt's answer is whole */
	CF_EV_FAILED, /* an attempt ended without a whole answer */
	CF_EV_CALLER_GONE, /* the caller disconnected */
	CF_EV_RATING, /* the rating service judged an answer */
	CF_EV_BIND, /* another instance bound a session */
	CF_EV_CRASH_MARK, /* another instance saw a request crash a server */
	CF_EV_CREDIT, /* the granter gave or took warm-up credits */
	CF_EV_CACHE, /* a backend server's prefix cache changed */
	CF_EV_ISOLATED, /* the configuration lease ended or returned */
	CF_EV_WAKE, /* the time that CF_ACT_WAKE asked for has come */
	CF_EV_NEIGHBOUR, /* another data centre reported its spare capacity */
	CF_EV_INSTANCES, /* entry instances alive in this data centre */
	CF_EV_DIGEST /* another instance's quick outcomes of a version */
};

enum cf_warmth {
	CF_COLD,
	CF_WARM
};

/* What a backend server says of itself, or has been silent about. */
struct cf_announce {
	uint16_t server;
	uint64_t incarnation; /* grows with each restart of the server */
	uint64_t versions; /* mask of loaded versions */
	uint64_t services; /* mask of plain services it offers */
	enum cf_warmth warmth;
	uint16_t slots; /* requests it runs at once when warm */
	uint16_t cold_slots; /* requests it bears at once while cold */
	uint16_t running; /* reported load */
	uint16_t queued;
	int64_t reported_us; /* when that load was measured, our clock */
	uint32_t token_us; /* time between tokens at that load; 0 unknown */
	bool leaving; /* takes no new work */
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
	bool streaming; /* tokens pass on at once: no escalation */
	bool forwarded; /* came from another data centre */
	uint64_t session; /* 0: none */
	uint64_t fingerprint; /* of the body, for crash marks */
	uint64_t prefixes[CF_PREFIXES_MAX];
	uint8_t prefix_count;
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	int64_t deadline_us; /* the first token is due */
	uint64_t session_birth; /* revision the session began at; 0 unknown */
};

/* Reports about attempts name the request and the attempt of the dispatch. */
struct cf_attempt {
	uint32_t request;
	uint8_t attempt;
	int error; /* CF_EV_FAILED: an err.h number */
	enum err_run_state run_state; /* CF_EV_FAILED */
	bool server_crashed; /* CF_EV_FAILED: its server went down */
	bool defective; /* CF_EV_DONE: empty or malformed */
	uint32_t output_tokens;
	uint16_t score_permille; /* CF_EV_DONE: quick rating; 0xffff none */
};

/* Where in its chain a rated answer stood. */
enum cf_place {
	CF_ALONE, /* a first try, with nothing to escalate to */
	CF_KEPT, /* a first try that a low quick score would have replaced */
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
	CF_DROPS = 2 /* drops of quality that are tested for */
};

/*
 * Log-likelihood ratios of the quick outcomes of a version at one instance.
 * Instances exchange them about each second, so that all know of a turn to the
 * worse after the outcomes that any of them saw.
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
			uint64_t sequence; /* a gap drops what was believed */
			uint64_t prefix;
			bool stored; /* false: evicted */
		} cache;
		bool isolated;
		struct {
			uint16_t data_centre;
			uint16_t spare_slots; /* requests it can take now */
			uint64_t versions; /* mask of versions with room */
			uint64_t services;
			bool cut_off; /* not in reach */
		} neighbour;
		uint16_t instances;
		struct cf_digest digest;
	} u;
};

enum cf_action_kind {
	CF_ACT_CLAIM, /* claim the request's key, then CF_EV_CLAIMED */
	CF_ACT_DISPATCH, /* start an attempt on a backend server */
	CF_ACT_FORWARD, /* hand the request to another data centre */
	CF_ACT_CANCEL, /* stop an attempt; no event follows for it */
	CF_ACT_ANSWER, /* this attempt's answer is the caller's */
	CF_ACT_REFUSE, /* answer with an error, at once */
	CF_ACT_BIND, /* tell the session's second keeper */
	CF_ACT_CRASH_MARK, /* tell the data centre's instances */
	CF_ACT_CREDIT_ASK, /* ask the granter for warm-up credits */
	CF_ACT_CREDIT_GIVE, /* hand credits back to the granter */
	CF_ACT_STOP_VERSION, /* the sequential test failed: withdraw it */
	CF_ACT_WAKE /* send CF_EV_WAKE at this time */
};

/* Why a choice fell as it did; the daemon logs it with the decision. */
enum cf_reason {
	CF_WHY_CHEAPEST, /* cheapest version that keeps the target */
	CF_WHY_REQUESTED, /* the caller named the version */
	CF_WHY_SESSION, /* the session's version */
	CF_WHY_EXPLORE, /* bounded exploration */
	CF_WHY_ROLLOUT, /* the roll-out's share */
	CF_WHY_BEST, /* nothing cheaper is known to keep the target */
	CF_WHY_ESCALATE, /* the answer before was rated low or defective */
	CF_WHY_RETRY, /* the attempt before failed */
	CF_WHY_HEDGE, /* the attempt before is late */
	CF_WHY_ONLY, /* plain service or a single candidate */
	CF_WHY_LIMIT, /* refused: share, queue or deadline */
	CF_WHY_NOT_ALLOWED, /* refused: not allowed or withdrawn */
	CF_WHY_NO_SERVER, /* refused: nothing loaded in reach */
	CF_WHY_CRASHES, /* refused: crash marks */
	CF_WHY_BUDGET, /* refused: retry budget spent */
	CF_WHY_OUTCOME, /* refused: an earlier run's outcome is unknown */
	CF_WHY_ABSORB, /* another data centre has room */
	CF_WHY_REBOUND /* the session's version ended; it got this one */
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
	uint32_t retry_after_ms; /* CF_ACT_REFUSE; 0: do not come back */
	uint64_t key; /* session, fingerprint or incarnation */
	uint16_t workspace;
	uint16_t count; /* credits or crashes */
	enum cf_place place; /* CF_ACT_ANSWER: for the answer's rating */
	int64_t at_us; /* CF_ACT_WAKE; deadline of a dispatch */
};

enum {
	CF_ACTIONS_MAX = 256
};

/*
 * What one step asks for.  A step that has more to say than fits keeps the
 * rest and asks to be woken at once.
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

/* Outcomes since the last call, for CF_EV_DIGEST at the other instances. */
size_t cf_router_digests(
    struct cf_router *router, struct cf_digest *out, size_t max);

/* Plain accessors, for status pages and tests. */
uint32_t cf_router_open(const struct cf_router *router);
uint32_t cf_router_queued(const struct cf_router *router);
uint16_t cf_router_in_flight(const struct cf_router *router, uint16_t server);
uint64_t cf_router_exposure(const struct cf_router *router, uint16_t version);
const char *cf_reason_name(enum cf_reason reason);

#ifdef __cplusplus
}
#endif

#endif
