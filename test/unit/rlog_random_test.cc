#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "rlog_schedule.h"

namespace rc
{
template <> struct Arbitrary<ScheduleStep> {
	static Gen<ScheduleStep> arbitrary()
	{
		return gen::build<ScheduleStep>(
		    gen::set(&ScheduleStep::act,
			gen::map(gen::weightedElement<int>({
				     {8, (int)Act::CHANGE},
				     {4, (int)Act::READ},
				     {3, (int)Act::KILL},
				     {5, (int)Act::START},
				     {2, (int)Act::LOSE_TAIL},
				     {2, (int)Act::LOSE_DISK},
				     {1, (int)Act::FAIL_SYNC},
				     {3, (int)Act::CUT},
				     {3, (int)Act::CUT_ONE_WAY},
				     {5, (int)Act::MEND},
				     {3, (int)Act::FREEZE},
				     {1, (int)Act::HANDOVER},
				     {1, (int)Act::REMOVE},
				     {2, (int)Act::ROUGH_NET},
				     {2, (int)Act::CALM_NET},
				     {3, (int)Act::WAIT},
				 }),
			    [](int v) { return (Act)v; })),
		    gen::set(&ScheduleStep::node, gen::inRange(0, 5)),
		    gen::set(&ScheduleStep::other, gen::inRange(0, 5)),
		    gen::set(&ScheduleStep::wait_ms, gen::inRange(0, 900)));
	}
};
} // namespace rc

static void
showValue(const ScheduleStep &s, std::ostream &os)
{
	os << "{" << (int)s.act << "," << s.node << "," << s.other << ","
	   << s.wait_ms << "}";
}

static std::string
run_schedule(uint64_t seed, const std::vector<ScheduleStep> &steps)
{
	RlogSim::Options options;

	options.seed = seed;
	options.rlog.compact_bytes = 2000;
	options.rlog.chunk_bytes = 300;
	options.cfgstore.history_max = 20;
	Schedule schedule(options);
	schedule.sim.settle();
	for (const auto &step : steps) {
		schedule.run(step);
		if (!schedule.sim.broken.empty())
			return schedule.sim.broken;
	}
	return schedule.finish();
}

/* RC_PARAMS from outside goes before this. */
static const int more_schedules = setenv("RC_PARAMS", "max_success=500", 0);

RC_GTEST_PROP(RlogRandom, NoScheduleBreaksAnInvariant, ())
{
	RC_ASSERT(more_schedules == 0);
	const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
	const auto steps = *rc::gen::container<std::vector<ScheduleStep>>(
	    rc::gen::arbitrary<ScheduleStep>());
	std::string broken = run_schedule(seed, steps);

	if (!broken.empty()) {
		std::ostringstream os;
		os << broken << " seed " << seed << " steps ";
		for (const auto &step : steps)
			showValue(step, os);
		RC_FAIL(os.str());
	}
}
