#ifndef BENCH_STATE_H
#define BENCH_STATE_H

#include "policy/agenda.h"
#include "policy/server.h"
#include "policy/sim.h"
#include "policy/tally.h"
#include "core/granter.h"

/* The inside of a run, shared by sim.c, traffic.c and faults.c. */
enum {
	SIM_SERVERS_MAX = 32
};

enum sim_event {
	AT_ARRIVAL,
	AT_REACHED, /* attempt a reached its server */
	AT_FIRST_TOKEN, /* of attempt a */
	AT_ENDED, /* attempt a freed its slot */
	AT_DONE, /* the end of attempt a's answer arrived */
	AT_FAILED, /* the failure of attempt a is known */
	AT_ANNOUNCE, /* server a measures its load */
	AT_REPORT, /* report a arrives */
	AT_RATING, /* rating a arrives */
	AT_SECOND, /* digests, stops */
	AT_SCENARIO, /* step a of the scenario */
	AT_CRASHER, /* request a, which crashes its server, is sent */
	AT_CREDIT, /* answer a of the granter */
	AT_WAKE /* of instance a */
};

struct request {
	struct world_request world;
	int64_t arrived_us;
	uint16_t instance;
	uint16_t first_version;
	bool crasher;
	uint32_t attempts[CF_ATTEMPTS_MAX];
	int64_t first_token_us;
	double cost;
	double slot_s;
};

struct attempt {
	uint32_t request;
	uint16_t server; /* in the run */
	uint16_t version;
	uint8_t number;
	bool over; /* lost, cancelled or done */
	bool passed;
	double pass; /* probability when it started */
	int64_t first_token_us;
};

struct rating {
	struct cf_rating rating;
};

struct report {
	struct cf_announce announce;
	uint16_t data_centre;
};

struct credit {
	uint16_t instance;
	struct cf_event event;
};

/* A growing array of one element type. */
struct rows {
	void *items;
	size_t count;
	size_t room;
	size_t size;
};

struct sim {
	const struct sim_options *options;
	struct sim_result *result;
	struct world world;
	struct cfg *cfg;
	struct cfg *cfg_before;
	struct rng rng;
	struct agenda agenda;
	struct rows requests;
	struct rows attempts;
	struct rows ratings;
	struct rows reports;
	struct rows credits;
	struct granter *granters[WORLD_DATA_CENTRES];
	struct policy *policies[WORLD_INSTANCES];
	struct server_fake servers[SIM_SERVERS_MAX];
	uint16_t per_centre;
	struct tally first_token;
	struct tally whole;
	double prices[WORLD_WORKSPACES];
	int64_t now_us;
	int64_t end_us;
	int64_t turned_us; /* when the version turned bad; 0: not yet */
	int64_t returns_us[WORLD_VERSIONS];
	bool stopped[WORLD_VERSIONS];
	bool held[WORLD_VERSIONS];
	bool balancer_avoids; /* data centre 1 */
};

void *row_add(struct rows *rows);
void sim_later(struct sim *sim, double us, enum sim_event event, uint32_t a);
void sim_step(struct sim *sim, uint16_t instance, const struct cf_event *event);

static inline struct request *
request_at(const struct sim *s, uint32_t i)
{
	return (struct request *)s->requests.items + i;
}

static inline struct attempt *
attempt_at(const struct sim *s, uint32_t i)
{
	return (struct attempt *)s->attempts.items + i;
}

/* traffic.c: requests, attempts, ratings */
void traffic_arrive(struct sim *sim);
void traffic_resend(struct sim *sim, uint32_t request);
void traffic_dispatch(
    struct sim *sim, uint16_t instance, const struct cf_action *action);
void traffic_answer(struct sim *sim, const struct cf_action *action);
void traffic_refuse(struct sim *sim, const struct cf_action *action);
void traffic_cancel(struct sim *sim, const struct cf_action *action);
void traffic_reached(struct sim *sim, uint32_t i);
void traffic_first_token(struct sim *sim, uint32_t i);
void traffic_ended(struct sim *sim, uint32_t i);
void traffic_done(struct sim *sim, uint32_t i);
void traffic_failed(struct sim *sim, uint32_t i);
void traffic_rating(struct sim *sim, uint32_t i);

/* faults.c: reports, configuration, the scenario's steps */
void faults_start(struct sim *sim);
void faults_announce(struct sim *sim, uint16_t server);
void faults_report(struct sim *sim, uint32_t i);
void faults_second(struct sim *sim);
void faults_step(struct sim *sim, uint32_t step);
void faults_crash(struct sim *sim, uint16_t server, int64_t down_us);
void faults_credit_ask(
    struct sim *sim, uint16_t instance, const struct cf_action *action);
void faults_credit(struct sim *sim, uint32_t i);
void faults_mark(
    struct sim *sim, uint16_t instance, const struct cf_action *action);
void faults_stop(struct sim *sim, uint16_t version);

#endif
