#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include "policy/policy.h"

/*
 * One run in virtual time: requests arrive, eight policies (one for each entry
 * instance) decide, small stand-ins of the backend servers and the rating
 * service answer.  One seed gives one result.
 */
struct scenario {
	const char *name;
	double load; /* factor on the day's traffic */
	bool night; /* the whole run is at half of the peak */
	bool flat; /* peak all the time */
	int drop_version; /* WORLD_VERSIONS: none */
	double drop;
	double rolling_from; /* part of the run; above 1: no roll-out */
	uint16_t roll_outs; /* good ones, one after the other */
	bool data_centre_out;
	bool cold_restart;
	double report_lag_s; /* load reports */
	double crash_per_s; /* requests that crash their server */
};

extern const struct scenario scenarios[];
extern const size_t scenario_count;

struct sim_options {
	const struct scenario *scenario;
	const struct world_user *user;
	const struct policy_kind *policy;
	uint64_t seed;
	double seconds;
	bool digests; /* instances exchange quick evidence */
};

struct sim_workspace {
	uint64_t answers;
	uint64_t passed;
	double cost; /* 1e-6 */
};

struct sim_result {
	struct sim_workspace workspaces[WORLD_WORKSPACES];
	uint64_t offered;
	uint64_t answers;
	uint64_t refused;
	uint64_t in_time;
	uint64_t attempts;
	uint64_t exposure; /* answers of the bad version after its turn */
	double stopped_after_s; /* from the turn; below 0: not stopped */
	uint32_t false_stops;
	uint32_t holds;
	uint32_t cold_overloads;
	uint32_t crashes; /* of servers */
	double slot_s; /* of all servers */
	double useful_slot_s; /* spent on answers in time */
	double first_token_ms[3]; /* p50, p95, p99 of streamed answers */
	double whole_ms[3]; /* p50, p95, p99 of the others, to their end */
	uint64_t decisions;
	double decide_s; /* processor time inside the policy */
};

void sim_run(const struct sim_options *options, struct sim_result *result);

#endif
