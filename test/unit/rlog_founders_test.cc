#include <gtest/gtest.h>

#include <string>

#include "rlog_found.h"

/* Instance numbers as derived from addresses. */
static const uint64_t a = 0x0a010007, b = 0x0a02000b, c = 0x0a03000c,
		      d = 0x0a040001;

TEST(RlogFounders, ThreeFormTheLogAndAFourthJoins)
{
	FounderSim f;

	for (uint64_t n : {a, b, c})
		f.start(n, {a, b, c}, {a, b, c});
	f.start(d, {a, b, c}, {a, b, c, d});
	f.run(6000000);
	ASSERT_NE(0u, f.leader());
	EXPECT_EQ(std::to_string(a) + " " + std::to_string(b) + " " +
		      std::to_string(c) + " " + std::to_string(d) + " ",
	    f.voters(f.leader()));
	f.propose("x");
	f.run(500000);
	for (auto &[n, node] : f.nodes)
		EXPECT_EQ(std::vector<std::string>{"x"}, node.applied) << n;
}

TEST(RlogFounders, NobodyElseFormsASecondLog)
{
	FounderSim f;

	/* Without founders, an empty replica never forms a log. */
	f.start(d, {}, {a, b, c});
	f.start(a, {a, b, c}, {a, b, c});
	f.start(b, {a, b, c}, {a, b, c});
	f.run(20000000);
	EXPECT_EQ(0u, f.leader());
	f.start(c, {a, b, c}, {a, b, c});
	f.run(5000000);
	EXPECT_NE(0u, f.leader());
}

TEST(RlogFounders, ALostDiskComesBackAsANewReplica)
{
	FounderSim f;

	f.form({a, b, c}, "kept");
	f.stop(b);
	f.run(1000000);
	f.start(b, {}, {a, c});
	f.run(4000000);
	ASSERT_NE(0u, f.leader());
	EXPECT_EQ(std::to_string(a) + " " + std::to_string(c) + " " +
		      std::to_string(b) + " ",
	    f.voters(f.leader()));
	/* It counts towards the quorum, so another replica may fail now. */
	f.stop(a);
	f.run(4000000);
	EXPECT_NE(0u, f.leader());
	EXPECT_EQ(std::vector<std::string>{"kept"}, f.nodes[b].applied);
}
