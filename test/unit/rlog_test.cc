#include <gtest/gtest.h>

#include "rlog_sim.h"

static RlogSim::Options
replicas(int nodes, uint64_t seed = 1)
{
	RlogSim::Options options;

	options.nodes = nodes;
	options.seed = seed;
	return options;
}

TEST(Rlog, FormsElectsAndAccepts)
{
	for (int nodes : {1, 3, 5}) {
		RlogSim sim(replicas(nodes));

		ASSERT_TRUE(sim.settle()) << nodes;
		EXPECT_TRUE(sim.accept("c1", "limits"));
		EXPECT_FALSE(sim.accept("c2", "limits", 0));
		EXPECT_TRUE(sim.accept("c3", "limits", 1));
		sim.run_for(1000000);
		EXPECT_EQ(sim.check_end(), "");
		for (int n = 0; n < nodes; n++)
			EXPECT_EQ(cs_revision(sim.nodes[n].cs), 2u);
	}
}
