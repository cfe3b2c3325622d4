#ifndef CF_ROUTE_ADMISSION_H
#define CF_ROUTE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "route/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decides how many requests an instance sends to a server, which request waits
 * at the instance instead, for how long, and when a refused caller should
 * return.  No I/O.
 *
 * The load that it answers: many instances, each with a few requests a second,
 * choose among the same servers.  What they tell each other about a server is
 * ADMISSION_LAG_MS old.  Together they get up to a few times as many requests
 * as the servers can run.
 */
enum {
	/*
	 * Usual time from the moment at which a server begins or ends a request
	 * until the other instances know
	 */
	ADMISSION_LAG_MS = 400,
	/*
	 * Time for which a free place at a server is offered to the same
	 * instances, until they see that it was taken
	 */
	ADMISSION_TURN_US = ADMISSION_LAG_MS * 1000,
	ADMISSION_LEVELS = 16, /* of the waiting queue; 0 is served first */
	ADMISSION_RETURN_MAX_MS = 10000 /* longest Retry-After */
};

/* What an instance knows of the requests at a server. */
struct admission_view {
	uint32_t slots;
	uint32_t own; /* requests of this instance */
	bool has_report; /* from the server itself */
	uint32_t reported; /* running and waiting there */
	int32_t sent_since; /* own requests sent less ended since the report */
	int64_t report_age_us;
	bool has_peers; /* reports of the other instances */
	uint32_t peers; /* requests of the other instances */
	int64_t peers_age_us;
	/* Tokens that the server has memory for; 0: no limit is known */
	uint32_t memory_tokens;
	uint64_t own_tokens; /* of this instance's requests */
};

/* What one request needs, and what is usual at its service. */
struct admission_need {
	uint32_t waiting_max; /* requests that may wait at the server */
	uint32_t tokens; /* of the prompt and the expected answer */
	double mean_tokens; /* of the service's requests */
	/* Goes where most memory is left instead of waiting for enough */
	bool ignores_memory;
};

uint32_t admission_waiting_max(
    uint32_t slots, double service_ms, uint32_t most);
uint32_t admission_load(const struct admission_view *view);
bool admission_has_place(
    const struct admission_view *view, const struct admission_need *need);
bool admission_has_room(
    const struct admission_view *view, const struct admission_need *need);

bool admission_may_fill_up(
    const struct admission_view *view, double begun_per_s);

/* How the instances that have requests waiting take turns at one server. */
struct admission_turn {
	uint32_t number; /* of the turn that the next two fields are of */
	uint16_t sent; /* requests of this instance sent in it */
	uint8_t idle; /* turns in a row in which the server had free slots */
};

bool admission_may_take_turn(struct admission_turn *turn,
    const struct admission_view *view, const struct admission_need *need,
    double begun_per_s, const struct rate_members *members,
    uint64_t server_hash, int64_t now_us);

/* Where a request stands in the waiting queue of its service. */
struct admission_rank {
	uint8_t priority; /* 0 is the highest */
	bool begun; /* the caller has part of the answer */
	/* It goes after the others of its priority in any case */
	bool is_behind;
	/* Beyond its workspace's share of all instances: behind all in time */
	bool is_over_share;
	int64_t waited_us; /* since its arrival */
	int64_t goal_us; /* of its route */
	int64_t first_us; /* expected time from sending to the first event */
};

uint16_t admission_level(const struct admission_rank *rank);

/*
 * What those that waited and found no server in the last round of retries took;
 * all fields start at zero.
 */
struct admission_blocked {
	bool any;
	bool lacks_slots; /* at least one of them lacked more than memory */
	uint32_t tokens; /* least of them */
};

void admission_add_blocked(
    struct admission_blocked *blocked, uint32_t tokens, bool lacks_memory);
bool admission_may_pass(
    const struct admission_blocked *blocked, uint32_t tokens);

/* Events a second of the last seconds; all fields start at zero. */
struct admission_rate {
	double count; /* decays with time */
	int64_t updated_us;
	int64_t first_us;
};

void admission_rate_add(struct admission_rate *rate, int64_t now_us);
void admission_rate_add_cost(
    struct admission_rate *rate, uint32_t cost, int64_t now_us);
double admission_rate_per_s(const struct admission_rate *rate, int64_t now_us);

/*
 * How fast an instance sends to servers while requests wait there; all fields
 * start at zero.  While none waits it sends what arrives, which says nothing of
 * what servers take.
 */
struct admission_drain {
	struct admission_rate sent; /* since requests began to wait */
	int64_t since_us; /* when they began; 0: none has waited yet */
	int64_t emptied_us; /* when the queue became empty; 0: it is not */
};

void admission_drain_set_queue(
    struct admission_drain *drain, uint32_t waiting, int64_t now_us);
void admission_drain_add(struct admission_drain *drain, int64_t now_us);
double admission_drain_per_s(
    const struct admission_drain *drain, int64_t now_us);

/* Decides whether a request that no server has room for should wait. */
struct admission_wait {
	int64_t now_us;
	int64_t arrived_us;
	int64_t goal_us; /* time within which an answer is worth most */
	int64_t deadline_us; /* of the caller */
	int64_t first_us; /* expected time from sending to the first event */
	int64_t answer_us; /* the same to the end of the answer */
	uint32_t ahead; /* requests that go first */
	bool is_waiting; /* it was allowed to wait before */
	/* Its workspace has no more waiting at its level than the mean */
	bool is_within_share;
	bool is_first_of_level; /* none waits at its level */
	/*
	 * Requests of its service that arrive here, and that are sent while
	 * others wait; 0: not known
	 */
	double arriving_per_s;
	double sent_per_s;
	double wait_ratio; /* of waits to what was expected; 0: not known */
};

int64_t admission_expected_wait_us(const struct admission_wait *wait);
double admission_next_ratio(
    double ratio, int64_t expected_us, int64_t waited_us);
int64_t admission_wait_until_us(const struct admission_wait *wait);

/* When refused callers of one level were told to return last. */
struct admission_returns {
	int64_t told_us[ADMISSION_LEVELS];
};

int64_t admission_retry_ms(struct admission_returns *returns, uint16_t level,
    const struct admission_wait *wait, uint32_t default_ms, double draw);

#ifdef __cplusplus
}
#endif

#endif
