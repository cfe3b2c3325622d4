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
    testing::Values(Without{"allowed", CF_UNSAFE_ALLOWED, false,
			{"version not allowed", "withdrawn version",
			    "data centre out", "isolated"}},
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

} // namespace
