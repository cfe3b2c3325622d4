#include <gtest/gtest.h>

#include "rlog_found.h"

/* Instance numbers as derived from addresses. */
static const uint64_t a = 0x0a010007, b = 0x0a02000b, c = 0x0a03000c,
		      a2 = 0x0a010008, c2 = 0x0a03000d;

/*
 * Guards against removed voters that still count towards the quorum: two of
 * three instances are replaced permanently at other addresses, the second long
 * after the first.  Accepted changes must be kept, and new ones must be
 * accepted.
 */
TEST(RlogReplaced, TwoInstancesOneAfterTheOther)
{
	FounderSim f;

	f.form({a, b, c}, "kept");
	f.stop(a);
	f.run(1000000);
	f.start(a2, {}, {a, b, c});
	f.run(15000000);
	ASSERT_NE(0u, f.leader());
	f.stop(c);
	f.run(1000000);
	f.start(c2, {}, {b, a2, c});
	f.run(15000000);
	ASSERT_NE(0u, f.leader()) << "voters that are gone still count";
	f.propose("after");
	f.run(500000);
	EXPECT_EQ(
	    (std::vector<std::string>{"kept", "after"}), f.nodes[c2].applied);
}
