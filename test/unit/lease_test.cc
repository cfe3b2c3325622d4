#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

#include "fakenet.h"
#include "state/lease.h"

/*
 * Three voters and three candidates.  Any process may freeze between two of
 * its steps; a candidate that wakes acts at once, with a fresh clock only if
 * the mechanism is on.
 */
struct Message {
	bool answer;
	int candidate;
	uint64_t round;
	bool granted;
	uint64_t fence;
};

class Leases
{
      public:
	Leases(uint64_t seed, const struct lease_options &o)
	    : net(seed), random(seed), options(o)
	{
		for (int i = 0; i < 3; i++) {
			lease_voter_init(&votes[i], &options, net.now_us);
			votes[i].silent_until_us = 0; /* a first start */
			lease_holder_init(&holds[i], &options, 3);
			lease_orders_init(&orders[i], &options);
		}
		net.lose_percent = 5;
		net.duplicate_percent = 5;
		net.delay_max_us = 50000;
	}

	/* Returns how often two leaders gave orders in the wrong order. */
	int run(int steps)
	{
		for (int i = 0; i < steps; i++) {
			step();
			act();
		}
		return wrong;
	}

	int given = 0;
	int both = 0; /* times that two held the lease */

      private:
	void step()
	{
		int64_t jump = random() % 40 == 0 ? 4000000 : 50000;
		int i = random() % 3;

		net.run_until(net.now_us + (int64_t)(random() % jump),
		    [&](int from, int to, const Message &m) {
			    deliver(from, to, m);
		    });
		switch (random() % 60) {
		case 0:
			frozen[i] = !frozen[i];
			break;
		case 1:
			restart(i);
			break;
		case 2:
			net.cut(i, 10 + random() % 3);
			break;
		case 3:
			net.mend_all();
			break;
		default:
			break;
		}
	}

	/* A voter restarts: all but the durable fencing number is lost. */
	void restart(int i)
	{
		uint64_t fence = votes[i].fence;

		lease_voter_init(&votes[i], &options, net.now_us);
		votes[i].fence = fence;
	}

	void deliver(int from, int to, const Message &m)
	{
		if (m.answer) {
			if (!frozen[to - 10])
				lease_holder_on_reply(&holds[to - 10],
				    net.now_us, from, m.round, m.granted,
				    m.fence);
			return;
		}
		Message answer = {true, m.candidate, m.round, false, m.fence};

		answer.granted = lease_voter_request(
		    &votes[to], net.now_us, m.candidate, &answer.fence);
		net.send(to, m.candidate, answer);
	}

	void act()
	{
		int holding = 0;

		for (int i = 0; i < 3; i++) {
			bool asks;

			if (lease_holder_is_valid(&holds[i], net.now_us))
				holding++;
			if (frozen[i])
				continue;
			asks = lease_holder_tick(
			    &holds[i], net.now_us, random() % 100000);
			for (int v = 0; asks && v < 3; v++)
				net.send(10 + i, v,
				    {false, 10 + i, holds[i].round, false,
					holds[i].fence});
			if (lease_holder_is_valid(&holds[i], net.now_us))
				lease_orders_set_leader(&orders[i], net.now_us,
				    holds[i].fence, holds[i].until_us);
			else if (!options.unsafe_skip_check)
				ls_orders_lost(&orders[i]);
			if (lease_orders_allowed(&orders[i], net.now_us, false))
				order(i);
		}
		if (holding > 1)
			both++;
	}

	/* An engine that ignores fencing numbers carries the order out. */
	void order(int i)
	{
		given++;
		if (orders[i].fence < last_fence)
			wrong++;
		last_fence = std::max(last_fence, orders[i].fence);
	}

	FakeNet<Message> net;
	std::mt19937_64 random;
	struct lease_options options;
	struct lease_voter votes[3];
	struct lease_holder holds[3];
	struct lease_orders orders[3];
	bool frozen[3] = {};
	uint64_t last_fence = 0;
	int wrong = 0;
};

RC_GTEST_PROP(Lease, OneHolderAndOrdersInOrder, ())
{
	Leases leases(*rc::gen::arbitrary<uint64_t>(), {});

	RC_ASSERT(leases.run(1500) == 0);
	RC_ASSERT(leases.both == 0);
}

TEST(Lease, EachMechanismOff)
{
	struct lease_options skip_wait = {}, skip_check = {};
	int wait = 0, check = 0, given = 0;

	skip_wait.unsafe_skip_wait = true;
	skip_check.unsafe_skip_check = true;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Leases a(seed, skip_wait), b(seed, skip_check), c(seed, {});

		wait += a.run(1500) > 0;
		check += b.run(1500) > 0;
		EXPECT_EQ(0, c.run(1500));
		given += c.given;
	}
	printf("wrong orders in 20 schedules: without waiting %d, without "
	       "checking %d; with both none, %d orders given\n",
	    wait, check, given);
	EXPECT_GT(wait, 0);
	EXPECT_GT(check, 0);
	EXPECT_GT(given, 1000);
}

TEST(Lease, FrozenProcessWakes)
{
	struct lease_options off = {};
	struct lease_holder hold;

	for (bool skip : {false, true}) {
		off.unsafe_skip_jump = skip;
		lease_holder_init(&hold, &off, 3);
		ASSERT_TRUE(lease_holder_tick(&hold, 1000000, 0));
		lease_holder_on_reply(&hold, 1001000, 0, hold.round, true, 1);
		EXPECT_FALSE(lease_holder_is_valid(&hold, 1001000));
		lease_holder_on_reply(&hold, 1001000, 0, hold.round, true, 1);
		EXPECT_FALSE(lease_holder_is_valid(&hold, 1001000))
		    << "one voter";
		lease_holder_on_reply(&hold, 1002000, 2, hold.round, true, 1);
		EXPECT_TRUE(lease_holder_is_valid(&hold, 1002000));
		EXPECT_TRUE(lease_holder_is_valid(&hold, 3499999));
		EXPECT_FALSE(lease_holder_is_valid(&hold, 3500000));
		/* A jump within the lease drops it before the next action. */
		lease_holder_tick(&hold, 2100000, 0);
		EXPECT_EQ(skip, lease_holder_is_valid(&hold, 2100000));
	}
}

TEST(Lease, VoterIsSilentAfterRestart)
{
	struct lease_voter vote;
	uint64_t fence = 7;

	lease_voter_init(&vote, NULL, 1000000);
	EXPECT_FALSE(lease_voter_request(&vote, 3999999, 1, &fence));
	EXPECT_TRUE(lease_voter_request(&vote, 4000000, 1, &fence));
	EXPECT_EQ(8u, fence);
	fence = 0;
	EXPECT_FALSE(lease_voter_request(&vote, 6999999, 2, &fence));
	lease_voter_release(&vote, 1);
	EXPECT_TRUE(lease_voter_request(&vote, 6999999, 2, &fence));
	EXPECT_EQ(9u, fence);
}
