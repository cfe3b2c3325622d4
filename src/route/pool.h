#ifndef CF_ROUTE_POOL_H
#define CF_ROUTE_POOL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "route/loads.h"
#include "route/table.h"
#include "route/warmup.h"
#include "state/orders.h"
#include "state/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The backend servers as one entry instance sees them, and the choice among
 * them.  No I/O.
 *
 * What is known of a server is what it announced, what its answers said of
 * its load, and how this instance's own requests fared there.  Its load is
 * reckoned as the last report and what was sent since.
 *
 * Requests whose prompts take long to read go where the first event is due
 * soonest: after the reading that waits there, by own sends and by what the
 * other instances report of theirs, and the reading of their own prompt.  A
 * shared prefix counts as read already at the one server that a hash of the
 * prefix names at every instance, so that requests with the same prefix meet
 * there while it has time.  Other requests take the less loaded of two, own
 * data centre first.
 *
 * A server that refuses requests looks idle.  The share that it refused lately
 * counts against it like work that waits there, and fades with time.  One that
 * says for how long it wants nothing gets nothing for so long, and then few
 * requests at a time until it accepts them: those that waited don't all go
 * there at once.
 *
 * A new version is tried on so few of its servers that they get a multiple of
 * the mean load, so that what fails under load fails in the trial.
 *
 * What a cold server gets of all instances is bounded; see warmup.h.
 */
enum pl_role {
	PL_BASE, /* gets what is not given to a new version */
	PL_TARGET, /* the new version of a roll-out under way */
	POOL_ROLE_EXCLUDED /* gets nothing */
};

enum pool_pick_result {
	PL_CHOSEN,
	PL_NONE, /* no server is known that may run this */
	PL_FULL, /* all that may are full, cold or out of reach just now */
};

struct pl_server {
	struct rg_server said; /* its last announcement */
	struct sockaddr_in address;
	bool used;
	enum pl_role role;
	bool out; /* operators took its data centre out of use */
	uint16_t in_flight; /* own requests there */
	uint32_t dials; /* own connections would be counted by the client */
	bool has_load;
	uint16_t running; /* as its last answer said */
	uint16_t waiting;
	int64_t load_us; /* when that came */
	int32_t since; /* own sends less own ends since then */
	int64_t cold_until_us;
	struct warmup_bucket warmup; /* what it may get meanwhile */
	uint8_t failures; /* in a row that say it is not there */
	int64_t down_until_us;
	double failing; /* moving share of failed answers */
	uint32_t outcomes;
	double time_ms; /* moving mean of the times that answers took */
	uint32_t timed; /* answers in it */
	int64_t ejected_until_us;
	double refusing; /* moving share of refused requests, at refusing_us */
	int64_t refusing_us;
	int64_t paused_until_us; /* it asked for no requests until then */
	uint16_t window; /* requests that it may have at a time after a pause,
			    but for those from before; 0: any number */
	uint16_t before; /* own requests there from before the pause */
	double own_ms; /* work of own requests there that has not begun */
	double others_ms; /* the same of the other instances, at others_us */
	uint32_t others_running;
	int64_t others_us;
};

struct pl_query {
	const char *service;
	uint32_t slots_more; /* waiting requests a server may have */
	enum pl_role role;
	uint32_t trial_permille; /* of a new version's servers, tried first */
	bool any_role; /* the other version will do where this one has none */
	uint64_t affinity; /* hash of the shared prefix; 0: none */
	double work_ms; /* of reading the whole prompt */
	double shared_ms; /* work that is saved where the prefix is kept */
	bool by_work; /* the prompt's work decides */
	uint64_t alone; /* hash of a request that every instance should send
			   to the same server; 0: load decides */
	uint16_t avoid[8]; /* servers already tried */
	uint8_t avoid_count;
};

struct pl_options {
	const struct alloc *alloc;
	uint64_t seed;
	const char *data_centre;
	uint32_t cold_permille; /* of what a cold server bears */
	uint32_t cold_slack; /* requests a second on top */
	int64_t silent_us; /* unheard for so long: only if no other is left */
};

struct pl;

struct pl *pl_new(const struct pl_options *options);
void pl_free(struct pl *pl);
uint16_t pl_take(struct pl *pl, const struct rg_server *server, int64_t now_us);
void pl_configure(
    struct pl *pl, const struct rt_table *table, const struct ord *orders);
void pl_set_instances(struct pl *pl, uint32_t entry_instances);
enum pool_pick_result pl_pick(struct pl *pl, const struct pl_query *query,
    int64_t now_us, uint16_t *server);
uint16_t pl_place_of(const struct pl *pl, const char *id);
const struct pl_server *pl_at(const struct pl *pl, uint16_t server);
uint16_t pl_count(const struct pl *pl);
bool pool_has_role(const struct pl *pl, const char *service, enum pl_role role);

/* Servers of a service that get nothing because they asked for that. */
struct pl_spared {
	uint32_t leaving;
	uint32_t paused;
};

struct pl_spared pl_spared(
    const struct pl *pl, const char *service, int64_t now_us);

/* What became of a request that pl_pick() placed. */
void pl_sent(struct pl *pl, uint16_t server, double work_ms, int64_t now_us);
void pl_begun(struct pl *pl, uint16_t server, double work_ms);
void pl_ended(struct pl *pl, uint16_t server);
double pl_backlog_ms(const struct pl *pl, uint16_t server, int64_t now_us);
bool pl_is_home(
    const struct pl *pl, uint16_t server, const struct pl_query *query);

/* Loads as instances tell each other. */
size_t pl_own_loads(const struct pl *pl, struct ld_load *out, size_t max);
void pl_others_loads(
    struct pl *pl, const struct ld_load *loads, size_t count, int64_t now_us);
void pl_load(struct pl *pl, uint16_t server, uint16_t running, uint16_t waiting,
    int64_t now_us);
void pl_cold(struct pl *pl, uint16_t server, uint32_t cold_ms, int64_t now_us);
void pl_unreachable(
    struct pl *pl, uint16_t server, bool silent, int64_t now_us);
void pl_outcome(struct pl *pl, uint16_t server, bool failed, int64_t now_us);
void pl_timed(struct pl *pl, uint16_t server, double ms, double weight);
bool pl_is_slow(const struct pl *pl, uint16_t server);
uint32_t pl_load_of(const struct pl *pl, uint16_t server, int64_t now_us);
void pl_refused(struct pl *pl, uint16_t server, int64_t now_us);
void pl_paused(
    struct pl *pl, uint16_t server, uint32_t pause_ms, int64_t now_us);
int64_t pl_opens_us(
    const struct pl *pl, const struct pl_query *query, int64_t now_us);
void pl_accepted(struct pl *pl, uint16_t server, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
