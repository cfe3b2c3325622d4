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

/* Several routers and one granter under any order of events. */
RC_GTEST_PROP(Router, HoldsInAnyOrderOfEvents, ())
{
	RouterWorld world(0, false);

	world.run(*ops());
	RC_ASSERT(world.breach == std::string());
}

/* Returns the breaches that random runs find, with how often each came. */
std::map<std::string, int>
breaches(uint32_t unsafe, bool skip_wait, int runs, uint32_t seed = 7)
{
	std::mt19937 random(seed);
	std::map<std::string, int> found;

	for (int i = 0; i < runs; i++) {
		RouterWorld world(unsafe, skip_wait);
		std::vector<Op> list(400);

		for (Op &op : list)
			for (uint8_t &b : op)
				b = (uint8_t)random();
		world.run(list);
		if (!world.breach.empty())
			found[world.breach]++;
	}
	return found;
}

struct Without {
	const char *rule;
	uint32_t unsafe;
	bool skip_wait;
	std::vector<std::string> breaches;
};

class RouterWithout : public testing::TestWithParam<Without>
{
};

/* Each property breaks when its rule is left out. */
TEST_P(RouterWithout, IsSeenToBreak)
{
	const Without &p = GetParam();
	auto found = breaches(p.unsafe, p.skip_wait, 300);

	for (const std::string &breach : p.breaches)
		EXPECT_GT(found[breach], 0) << breach;
}

INSTANTIATE_TEST_SUITE_P(Rule, RouterWithout,
    testing::Values(
	Without{"allowed", CF_UNSAFE_ALLOWED, false,
	    {"version not allowed", "withdrawn version", "data centre out",
		"forwarded where it may not run", "isolated"}},
	Without{"sticky", CF_UNSAFE_STICKY, false, {"session moved"}},
	Without{"credit", CF_UNSAFE_CREDIT, false, {"cold server"}},
	Without{"granter_wait", 0, true, {"cold server"}},
	Without{"leaving", CF_UNSAFE_LEAVING, false, {"leaving server"}},
	Without{"once", CF_UNSAFE_ONCE, false, {"once: second run"}},
	Without{"run_state", CF_UNSAFE_RUN_STATE, false, {"not_run is untrue"}},
	Without{"marks", CF_UNSAFE_MARKS, false, {"crash mark"}},
	Without{"end", CF_UNSAFE_END, false, {"request left open"}}),
    [](const testing::TestParamInfo<Without> &p) {
	    return std::string(p.param.rule);
    });

/*
 * The same random runs that break it find nothing with all rules in place.
 * CF_TEST_RUNS and CF_TEST_SEED ask for more and for others.
 */
TEST(RouterWithAllRules, HoldsInTheSameRuns)
{
	const char *seed = getenv("CF_TEST_SEED");
	const char *runs = getenv("CF_TEST_RUNS");

	for (auto &found : breaches(0, false, runs ? atoi(runs) : 300,
		 seed ? (uint32_t)atoi(seed) : 7))
		ADD_FAILURE() << found.first << " " << found.second;
}

/*
 * One router that can keep two bindings, several sessions, and changes that
 * take no version away.  Returns how many requests changed their version.
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
		/* Rated at once, so that the cap of a roll-out stays open. */
		memset(&ev, 0, sizeof(ev));
		ev.kind = CF_EV_RATING;
		ev.u.rating.version = version;
		ev.u.rating.passed = true;
		cf_router_step(router, 1, &ev, &actions);
	}
	cf_router_free(router);
	return moved;
}

/* A binding that was lost is found again by the rule. */
RC_GTEST_PROP(Session, LostBindingIsFoundAgain, ())
{
	const auto list = *rc::gen::resize(200,
	    rc::gen::container<std::vector<uint32_t>>(
		rc::gen::resize(100, rc::gen::inRange<uint32_t>(0, 4096))));

	RC_ASSERT(moved_sessions(list, true) == 0);
}

/* Without the revision of birth the rule follows the newest configuration. */
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
