#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "router_world.h"

namespace
{

rc::Gen<std::vector<Op>>
ops()
{
	return rc::gen::resize(300,
	    rc::gen::container<std::vector<Op>>(rc::gen::resize(100,
		rc::gen::map(rc::gen::inRange<uint32_t>(0, UINT32_MAX),
		    [](uint32_t bits) {
			    return Op{{(uint8_t)bits, (uint8_t)(bits >> 8),
				(uint8_t)(bits >> 16), (uint8_t)(bits >> 24)}};
		    }))));
}

/*
 * The invariants hold for several routers and one granter under any order of
 * events.
 */
RC_GTEST_PROP(Router, HoldsInAnyOrderOfEvents, ())
{
	RouterSimulation world(0, false);

	world.run(*ops());
	RC_ASSERT(world.violation == std::string());
}

/*
 * Returns the violations found in random runs, with the number of runs that
 * found each.
 */
std::map<std::string, int>
violations(uint32_t unsafe, bool skip_wait, int runs, uint32_t seed = 7)
{
	std::mt19937 random(seed);
	std::map<std::string, int> found;

	for (int i = 0; i < runs; i++) {
		RouterSimulation world(unsafe, skip_wait);
		std::vector<Op> list(400);

		for (Op &op : list)
			for (uint8_t &b : op)
				b = (uint8_t)random();
		world.run(list);
		if (!world.violation.empty())
			found[world.violation]++;
	}
	return found;
}

struct DisabledRule {
	const char *rule;
	uint32_t unsafe;
	bool skip_wait;
	std::vector<std::string> violations;
};

class RouterWithout : public testing::TestWithParam<DisabledRule>
{
};

/*
 * Each invariant is violated when its rule is disabled, so the checks can
 * detect it.
 */
TEST_P(RouterWithout, IsSeenToBreak)
{
	const DisabledRule &p = GetParam();
	auto found = violations(p.unsafe, p.skip_wait, 300);

	for (const std::string &violation : p.violations)
		EXPECT_GT(found[violation], 0) << violation;
}

INSTANTIATE_TEST_SUITE_P(Rule, RouterWithout,
    testing::Values(
	DisabledRule{"allowed", CF_UNSAFE_ALLOWED, false,
	    {"version not allowed", "withdrawn version", "data centre out",
		"forwarded where it may not run", "isolated"}},
	DisabledRule{"sticky", CF_UNSAFE_STICKY, false, {"session moved"}},
	DisabledRule{"credit", CF_UNSAFE_CREDIT, false, {"cold server"}},
	DisabledRule{"granter_wait", 0, true, {"cold server"}},
	DisabledRule{"leaving", CF_UNSAFE_LEAVING, false, {"leaving server"}},
	DisabledRule{"once", CF_UNSAFE_ONCE, false, {"once: second run"}},
	DisabledRule{
	    "run_state", CF_UNSAFE_RUN_STATE, false, {"not_run is untrue"}},
	DisabledRule{"marks", CF_UNSAFE_MARKS, false, {"crash mark"}},
	DisabledRule{"end", CF_UNSAFE_END, false, {"request left open"}}),
    [](const testing::TestParamInfo<DisabledRule> &p) {
	    return std::string(p.param.rule);
    });

/*
 * The random runs that find violations with a rule disabled find none with all
 * rules in place.  CF_TEST_RUNS sets the number of runs, CF_TEST_SEED their
 * seed.
 */
TEST(RouterWithAllRules, HoldsInTheSameRuns)
{
	const char *seed = getenv("CF_TEST_SEED");
	const char *runs = getenv("CF_TEST_RUNS");

	for (auto &found : violations(0, false, runs ? atoi(runs) : 300,
		 seed ? (uint32_t)atoi(seed) : 7))
		ADD_FAILURE() << found.first << " " << found.second;
}

/*
 * Runs six sessions on one router that keeps only two bindings, with
 * configuration changes that never withdraw a version.  Returns the number of
 * requests that ran on another version than their session's first.
 */
int
moved_sessions(const std::vector<uint32_t> &ops, bool births)
{
	struct cf_router_options o = {};
	std::map<uint64_t, std::pair<uint64_t, uint16_t>> first;
	TestCfg cfg;
	struct cf_actions actions;
	struct cf_event ev = {};
	int moved = 0;
	uint32_t id = 0;

	o.max_servers = 1;
	o.max_requests = 4;
	o.max_sessions = 2;
	struct cf_router *router = cf_router_new(&o);
	TestCfg::find(cfg.data_centres, "home", true);
	for (const char *name : {"a", "b", "c", "d"}) {
		auto &v = cfg.versions[TestCfg::find(cfg.versions, name, true)];

		v.prior_permille = 900;
		v.cost_micro = 10 - (uint32_t)cfg.versions.size();
		v.unrated_max = 10000;
	}
	auto &w = cfg.workspaces[TestCfg::find(cfg.workspaces, "w", true)];
	w.versions = 1;
	w.data_centres = 1;
	ev.kind = CF_EV_CONFIG;
	ev.u.config = cfg.next();
	cf_router_step(router, 1, &ev, &actions);
	memset(&ev, 0, sizeof(ev));
	ev.kind = CF_EV_ANNOUNCE;
	ev.u.announce.versions = 15;
	ev.u.announce.warmth = CF_WARM;
	ev.u.announce.slots = 4;
	cf_router_step(router, 1, &ev, &actions);
	for (uint32_t op : ops) {
		auto &v = cfg.versions[op / 8 % 4];

		memset(&ev, 0, sizeof(ev));
		if (op % 8 == 0 && cfg.revision < 15) {
			if (op / 32 % 2 == 0) {
				cfg.workspaces[0].versions |= UINT64_C(1)
							      << (op / 8 % 4);
			} else if (v.state == CFG_ROLLING) {
				v.state = CFG_RELEASED;
			} else if (!(cfg.workspaces[0].versions >>
					   (op / 8 % 4) &
				       1)) {
				v.state = CFG_ROLLING;
				v.stage_permille = 200;
			}
			ev.kind = CF_EV_CONFIG;
			ev.u.config = cfg.next();
			cf_router_step(router, 1, &ev, &actions);
			continue;
		}
		ev.kind = CF_EV_REQUEST;
		ev.u.request.id = ++id;
		ev.u.request.model = CFG_NONE;
		ev.u.request.version = CFG_NONE;
		ev.u.request.session = 1 + op / 8 % 6;
		auto born = first.find(ev.u.request.session);
		if (births)
			ev.u.request.session_birth = born == first.end()
							 ? cfg.revision
							 : born->second.first;
		cf_router_step(router, 1, &ev, &actions);
		uint16_t version = actions.items[0].version;
		if (born == first.end())
			first[ev.u.request.session] = {cfg.revision, version};
		else
			moved += born->second.second != version;
		memset(&ev, 0, sizeof(ev));
		ev.kind = CF_EV_DONE;
		ev.u.attempt.request = id;
		ev.u.attempt.score_permille = 0xffff;
		cf_router_step(router, 1, &ev, &actions);
		/*
		 * Rate the answer at once, so that a roll-out never reaches its
		 * cap of unrated answers.
		 */
		memset(&ev, 0, sizeof(ev));
		ev.kind = CF_EV_RATING;
		ev.u.rating.version = version;
		ev.u.rating.passed = true;
		cf_router_step(router, 1, &ev, &actions);
	}
	cf_router_free(router);
	return moved;
}

/* A session whose binding was evicted gets the same version again. */
RC_GTEST_PROP(Session, LostBindingIsFoundAgain, ())
{
	const auto list = *rc::gen::resize(200,
	    rc::gen::container<std::vector<uint32_t>>(
		rc::gen::resize(100, rc::gen::inRange<uint32_t>(0, 4096))));

	RC_ASSERT(moved_sessions(list, true) == 0);
}

/*
 * Without the revision of birth, the newest configuration applies and sessions
 * can move.
 */
TEST(SessionWithoutBirth, IsSeenToMove)
{
	std::mt19937 random(5);
	std::vector<uint32_t> list(200);
	int moved = 0;

	for (int i = 0; i < 20; i++) {
		for (uint32_t &op : list)
			op = (uint32_t)random();
		moved += moved_sessions(list, false);
	}
	EXPECT_GT(moved, 0);
}

} // namespace
