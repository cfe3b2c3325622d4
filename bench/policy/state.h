#ifndef BENCH_STATE_H
#define BENCH_STATE_H

#include "policy/event_queue.h"
#include "policy/server.h"
#include "policy/sim.h"
#include "policy/samples.h"
#include "core/granter.h"

/* Internal state of a run, shared by sim.c, traffic.c and faults.c. */
enum {
	SIM_SERVERS_MAX = 32
};

/* Scheduled events; arg is their argument in the event queue. */
enum sim_event {
	SIM_EV_ARRIVAL,
	SIM_EV_REACHED, /* attempt arg reached its server */
	SIM_EV_FIRST_TOKEN, /* of attempt arg */
	SIM_EV_SERVICE_ENDED, /* attempt arg ended on its server */
	SIM_EV_DONE, /* the end of attempt arg's answer arrived */
	SIM_EV_FAILED, /* the instance learns that attempt arg failed */
	SIM_EV_MEASURE_LOAD, /* of server arg */
	SIM_EV_REPORT, /* report arg arrives */
	SIM_EV_RATING, /* rating arg arrives */
	SIM_EV_SECOND, /* exchanges digests, withdraws stopped versions */
	SIM_EV_SCENARIO_STEP, /* step arg of the scenario */
	SIM_EV_RESEND, /* of query of death arg by its caller */
	SIM_EV_CREDIT, /* the granter's answer arg arrives */
	SIM_EV_WAKE /* of instance arg */
};

struct request {
	struct world_request world;
	int64_t arrived_us;
	uint16_t instance;
	uint16_t first_version;
	bool query_of_death; /* crashes the server that runs it */
	uint32_t attempts[CF_ATTEMPTS_MAX];
	int64_t first_token_us;
	double cost; /* 1e-6, of all attempts */
	double slot_s; /* slot time of all attempts */
};

struct attempt {
	uint32_t request;
	uint16_t server; /* index in sim.servers */
	uint16_t version;
	uint8_t number; /* among the attempts of the request */
	bool finished; /* lost, cancelled or done */
	bool passed;
	double pass; /* pass probability when the attempt started */
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

/* A growable array of elements of size bytes. */
struct sim_array {
	void *items;
	size_t count;
	size_t capacity;
	size_t size;
};

struct sim {
	const struct sim_options *options;
	struct sim_result *result;
	struct world world;
	struct cfg *cfg;
	struct cfg *previous_cfg; /* policies may still use it */
	struct rng rng;
	struct event_queue event_queue;
	struct sim_array requests;
	struct sim_array attempts;
	struct sim_array ratings;
	struct sim_array reports;
	struct sim_array credits;
	struct granter *granters[WORLD_DATA_CENTRES];
	struct policy *policies[WORLD_INSTANCES];
	struct server_fake servers[SIM_SERVERS_MAX];
	uint16_t servers_per_centre;
	struct samples first_token;
	struct samples whole;
	double prices[WORLD_WORKSPACES]; /* of the oracles */
	int64_t now_us;
	int64_t end_us;
	int64_t degraded_at_us; /* of drop_version; 0: not yet */
	int64_t version_returns_at_us[WORLD_VERSIONS]; /* 0: not due */
	bool stopped[WORLD_VERSIONS]; /* by an instance, not withdrawn yet */
	bool held[WORLD_VERSIONS]; /* the roll-out is held on an instance */
	bool balancer_avoids; /* sends no request to data centre 1 */
};

void *sim_array_add(struct sim_array *sim_array);
void sim_schedule(
    struct sim *sim, double delay_us, enum sim_event event, uint32_t arg);
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
void traffic_request_arrived(struct sim *sim);
void traffic_resend_request(struct sim *sim, uint32_t request);
void traffic_start_attempt(
    struct sim *sim, uint16_t instance, const struct cf_action *action);
void traffic_record_answer(struct sim *sim, const struct cf_action *action);
void traffic_record_refusal(struct sim *sim, const struct cf_action *action);
void traffic_cancel_attempt(struct sim *sim, const struct cf_action *action);
void traffic_attempt_reached(struct sim *sim, uint32_t i);
void traffic_first_token(struct sim *sim, uint32_t i);
void traffic_service_ended(struct sim *sim, uint32_t i);
void traffic_answer_arrived(struct sim *sim, uint32_t i);
void traffic_attempt_failed(struct sim *sim, uint32_t i);
void traffic_deliver_rating(struct sim *sim, uint32_t i);

/* faults.c: load reports, configuration, steps of the scenario */
void faults_start(struct sim *sim);
void faults_measure_load(struct sim *sim, uint16_t server);
void faults_deliver_report(struct sim *sim, uint32_t i);
void faults_run_second(struct sim *sim);
void faults_run_step(struct sim *sim, uint32_t step);
void faults_crash_server(struct sim *sim, uint16_t server, int64_t down_us);
void faults_lease_credits(
    struct sim *sim, uint16_t instance, const struct cf_action *action);
void faults_deliver_credit(struct sim *sim, uint32_t i);
void faults_spread_crash_mark(
    struct sim *sim, uint16_t instance, const struct cf_action *action);
void faults_withdraw_version(struct sim *sim, uint16_t version);

#endif
