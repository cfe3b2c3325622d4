#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include "policy/policy.h"

/*
 * One run in virtual time: requests arrive, eight policies (one for each entry
 * instance) route them, and simulated backend servers and a simulated rating
 * service answer.  The same seed gives the same result.
 */
struct scenario {
	const char *name;
	double load; /* factor of the daily traffic */
	bool night; /* half of the peak rate all the time */
	bool flat; /* the peak rate all the time */
	int drop_version; /* version that degrades; WORLD_VERSIONS: none */
	double drop; /* of its pass probability, 0 to 1 */
	double rolling_from; /* start, as a part of the run; above 1: never */
	uint16_t roll_outs; /* of good versions; 0: none */
	bool data_centre_out;
	bool cold_restart;
	double report_lag_s; /* of load reports */
	double crash_per_s; /* rate of requests that crash their server */
};

extern const struct scenario scenarios[];
extern const size_t scenario_count;

struct sim_options {
	const struct scenario *scenario;
	const struct world_user *user;
	const struct policy_kind *policy;
	uint64_t seed;
	double seconds;
	bool digests; /* instances exchange digests of quick scores */
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
	uint64_t exposure; /* attempts on the version since it degraded */
	double stopped_after_s; /* since it degraded; below 0: never stopped */
	uint32_t false_stops; /* of versions that were good */
	uint32_t holds; /* of roll-outs */
	uint32_t cold_overloads;
	uint32_t crashes; /* of servers */
	double slot_s; /* slot time of all servers */
	double useful_slot_s; /* slot time of answers in time */
	double first_token_ms[3]; /* p50, p95, p99 of streamed answers */
	double whole_ms[3]; /* p50, p95, p99 of the other answers */
	uint64_t decisions;
	double decide_s; /* processor time of the policies */
};

void sim_run(const struct sim_options *options, struct sim_result *result);

#endif
