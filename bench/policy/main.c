#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/sim.h"

/* cf-policy: compares routing policies in virtual time. */

struct arguments {
	const char *scenario;
	const char *user;
	const char *policy;
	const char *json;
	uint64_t seed;
	double seconds;
	bool digests;
};

enum key {
	KEY_SCENARIO = 's',
	KEY_USER = 'u',
	KEY_POLICY = 'p',
	KEY_JSON = 'j',
	KEY_SEED = 'r',
	KEY_SECONDS = 't',
	KEY_NO_DIGESTS = 'n'
};

static const struct argp_option argp_options[] = {
    {"scenario", KEY_SCENARIO, "NAME", 0, "run one scenario", 0},
    {"user", KEY_USER, "NAME", 0, "saddle or estiva; default both", 0},
    {"policy", KEY_POLICY, "NAME", 0, "run one policy", 0},
    {"json", KEY_JSON, "FILE", 0, "write the results as JSON", 0},
    {"seed", KEY_SEED, "N", 0, "random seed; default 1", 0},
    {"seconds", KEY_SECONDS, "N", 0,
	"virtual seconds that the day lasts; default 7200", 0},
    {"no-digests", KEY_NO_DIGESTS, NULL, 0,
	"instances do not exchange quick evidence", 0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case KEY_SCENARIO:
		a->scenario = text;
		break;
	case KEY_USER:
		a->user = text;
		break;
	case KEY_POLICY:
		a->policy = text;
		break;
	case KEY_JSON:
		a->json = text;
		break;
	case KEY_SEED:
		a->seed = strtoull(text, NULL, 10);
		break;
	case KEY_SECONDS:
		a->seconds = strtod(text, NULL);
		break;
	case KEY_NO_DIGESTS:
		a->digests = false;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static double
cost_per_answer(const struct sim_result *r)
{
	double cost = 0;
	int w;

	for (w = 0; w < WORLD_WORKSPACES; w++)
		cost += r->workspaces[w].cost;
	return r->answers > 0 ? cost / (double)r->answers : 0;
}

static double
quality(const struct sim_result *r)
{
	uint64_t passed = 0;
	int w;

	for (w = 0; w < WORLD_WORKSPACES; w++)
		passed += r->workspaces[w].passed;
	return r->answers > 0 ? (double)passed / (double)r->answers : 0;
}

/*
 * Returns the lowest difference between a workspace's quality and its target,
 * and in *below the number of workspaces that miss their target.
 */
static double
worst_margin(
    const struct sim_options *o, const struct sim_result *r, int *below)
{
	double margin, worst = 1;
	int w;

	*below = 0;
	for (w = 0; w < WORLD_WORKSPACES; w++) {
		if (r->workspaces[w].answers == 0)
			continue;
		margin = (double)r->workspaces[w].passed /
			     (double)r->workspaces[w].answers -
			 o->user->targets[w] / 1000.0;
		*below += margin < 0;
		if (margin < worst)
			worst = margin;
	}
	return worst;
}

static void
print_header(const struct sim_options *o)
{
	printf("\n%s, %s (seed %llu, %.0f s)\n", o->user->name,
	    o->scenario->name, (unsigned long long)o->seed, o->seconds);
	printf(
	    "%-14s %7s %7s %7s %5s %22s %23s %7s %6s %6s %5s %5s %5s %5s %5s "
	    "%8s\n",
	    "policy", "cost", "quality", "worst", "below",
	    "first token p50/95/99", "whole answer p50/95/99", "in time",
	    "useful", "refuse", "expos", "stop", "false", "holds", "cold",
	    "steps/s");
}

/* Prints the line of one run and returns the same figures as JSON. */
static json_t *
print_result(const struct sim_options *o, const struct sim_result *r)
{
	int below;
	double worst = worst_margin(o, r, &below);
	double in_time = (double)r->in_time / (double)r->offered;
	double steps = (double)r->decisions / r->decide_s;

	printf("%-14s %7.0f %7.4f %+7.4f %5d %6.0f %6.0f %7.0f "
	       "%7.0f %7.0f %7.0f %7.4f %6.3f %6llu %5llu %5.0f %5u %5u %5u "
	       "%8.0f\n",
	    o->policy->name, cost_per_answer(r), quality(r), worst, below,
	    r->first_token_ms[0], r->first_token_ms[1], r->first_token_ms[2],
	    r->whole_ms[0], r->whole_ms[1], r->whole_ms[2], in_time,
	    r->useful_slot_s / r->slot_s, (unsigned long long)r->refused,
	    (unsigned long long)r->exposure, r->stopped_after_s, r->false_stops,
	    r->holds, r->cold_overloads, steps);
	return json_pack("{s:s,s:s,s:s,s:I,s:f,s:f,s:f,s:f,s:i,s:[f,f,f],"
			 "s:[f,f,f],s:f,s:f,s:I,s:I,s:I,s:f,s:I,s:I,s:I,s:I}",
	    "user", o->user->name, "scenario", o->scenario->name, "policy",
	    o->policy->name, "seed", (json_int_t)o->seed, "seconds", o->seconds,
	    "cost_per_answer", cost_per_answer(r), "quality", quality(r),
	    "worst_margin", worst, "workspaces_below", below, "first_token_ms",
	    r->first_token_ms[0], r->first_token_ms[1], r->first_token_ms[2],
	    "whole_ms", r->whole_ms[0], r->whole_ms[1], r->whole_ms[2],
	    "in_time", in_time, "useful", r->useful_slot_s / r->slot_s,
	    "offered", (json_int_t)r->offered, "refused",
	    (json_int_t)r->refused, "exposure", (json_int_t)r->exposure,
	    "stopped_after_s", r->stopped_after_s, "false_stops",
	    (json_int_t)r->false_stops, "holds", (json_int_t)r->holds,
	    "cold_overloads", (json_int_t)r->cold_overloads, "crashes",
	    (json_int_t)r->crashes);
}

static void
run_policies(const struct arguments *a, struct sim_options *o, json_t *results)
{
	struct sim_result result;
	size_t p;

	print_header(o);
	for (p = 0; p < policy_kind_count; p++) {
		o->policy = policy_kinds[p];
		if (a->policy != NULL &&
		    strcmp(a->policy, o->policy->name) != 0)
			continue;
		sim_run(o, &result);
		json_array_append_new(results, print_result(o, &result));
		fflush(stdout);
	}
}

static void
run_all(const struct arguments *a, json_t *results)
{
	struct sim_options o;
	size_t u, s;

	memset(&o, 0, sizeof(o));
	o.seed = a->seed;
	o.seconds = a->seconds;
	o.digests = a->digests;
	for (u = 0; u < world_user_count; u++) {
		o.user = &world_users[u];
		if (a->user != NULL && strcmp(a->user, o.user->name) != 0)
			continue;
		for (s = 0; s < scenario_count; s++) {
			o.scenario = &scenarios[s];
			if (a->scenario == NULL ||
			    strcmp(a->scenario, o.scenario->name) == 0)
				run_policies(a, &o, results);
		}
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {argp_options, parse_option, NULL,
	    "Compares routing policies in virtual time.", NULL, NULL, NULL};
	struct arguments a = {NULL, NULL, NULL, NULL, 1, 7200, true};
	json_t *results = json_array();
	int status = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	run_all(&a, results);
	if (json_array_size(results) == 0) {
		fputs("cf-policy: no such scenario, user or policy\n", stderr);
		status = 2;
	}
	if (a.json != NULL && json_dump_file(results, a.json, JSON_INDENT(1))) {
		fprintf(stderr, "cf-policy: cannot write %s\n", a.json);
		status = 1;
	}
	json_decref(results);
	return status;
}
