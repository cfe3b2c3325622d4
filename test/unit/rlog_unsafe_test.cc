#include <gtest/gtest.h>

#include <functional>

#include "rlog_schedule.h"

/*
 * Each property fails with its mechanism switched off and holds with it.  A
 * scenario returns what was broken, or "".
 */
using Scenario = std::function<std::string(RlogSim &)>;

static int
broken_seeds(const rlog_options &rlog, int nodes, const Scenario &scenario)
{
	int broken = 0;

	for (uint64_t seed = 1; seed <= 10; seed++) {
		RlogSim::Options options;

		options.seed = seed;
		options.nodes = nodes;
		options.rlog = rlog;
		RlogSim sim(options);
		if (!sim.settle() || !sim.accept("first", "first"))
			return -1;
		sim.run_for(500000);
		std::string seen = scenario(sim);
		if (!seen.empty() && broken++ == 0)
			printf("  seed %d: %s\n", (int)seed, seen.c_str());
	}
	return broken;
}

static void
prove(bool rlog_options::*mechanism_off, int nodes, const Scenario &scenario)
{
	rlog_options off = {};

	off.*mechanism_off = true;
	EXPECT_GT(broken_seeds(off, nodes, scenario), 0);
	EXPECT_EQ(broken_seeds({}, nodes, scenario), 0);
}

static std::string
mend_and_check(RlogSim &sim)
{
	sim.net.mend_all();
	for (size_t n = 0; n < sim.nodes.size(); n++)
		sim.start((int)n);
	sim.settle();
	sim.accept("last", "last");
	sim.run_for(3000000);
	return sim.check_end();
}

TEST(RlogUnsafe, NothingIsAnsweredBeforeItIsDurable)
{
	prove(&rlog_options::unsafe_skip_persist, 3, [](RlogSim &sim) {
		sim.options.sync_us = 20000;
		sim.accept("x", "x");
		for (int n = 0; n < 3; n++)
			sim.lose_tail(n);
		return mend_and_check(sim);
	});
}

TEST(RlogUnsafe, ALostDiskComesBackUnderANewIdentity)
{
	prove(&rlog_options::unsafe_keep_identity, 3, [](RlogSim &sim) {
		int a = sim.leader(), b = (a + 1) % 3, c = (a + 2) % 3;

		sim.net.isolate(c, 3);
		sim.accept("x", "x");
		sim.lose_disk(b);
		sim.start(b);
		sim.net.mend_all();
		sim.net.isolate(a, 3);
		sim.run_for(6000000);
		sim.net.mend_all();
		sim.run_for(3000000);
		return sim.check_end();
	});
}

TEST(RlogUnsafe, AReturningReplicaDeposesNoLeader)
{
	prove(&rlog_options::unsafe_skip_prevote, 3, [](RlogSim &sim) {
		int c = (sim.leader() + 1) % 3;
		uint64_t term = rlog_term(sim.nodes[sim.leader()].rlog);

		sim.net.isolate(c, 3);
		sim.run_for(6000000);
		sim.net.mend_all();
		sim.run_for(3000000);
		return rlog_term(sim.nodes[c].rlog) != term
			   ? "the term has changed"
			   : "";
	});
}

TEST(RlogUnsafe, ARestartedReplicaKeepsItsPromiseToTheLeader)
{
	prove(&rlog_options::unsafe_skip_vote_wait, 3, [](RlogSim &sim) {
		int a = sim.leader(), b = (a + 1) % 3, c = (a + 2) % 3;

		sim.net.isolate(c, 3);
		sim.run_for(5000000);
		sim.net.mend_all();
		sim.net.isolate(a, 3);
		sim.kill(b);
		sim.start(b);
		sim.run_for(740000);
		return sim.broken;
	});
}

TEST(RlogUnsafe, AReadUnderALeaseIsNeverStale)
{
	prove(&rlog_options::unsafe_skip_lease_check, 3, [](RlogSim &sim) {
		int a = sim.leader();

		sim.freeze(a, 6000000);
		sim.run_for(4000000);
		sim.accept("x", "x");
		sim.nodes[a].frozen_until_us = 0;
		sim.propose_to(a, sim.read());
		return sim.broken;
	});
}

TEST(RlogUnsafe, AWokenLeaderHasNoLeaseUntilItIsConfirmed)
{
	prove(&rlog_options::unsafe_skip_jump_check, 3, [](RlogSim &sim) {
		int a = sim.leader();
		int64_t lease;

		sim.freeze(a, 500000);
		sim.run_for(490000);
		sim.nodes[a].frozen_until_us = 0;
		sim.event(a, RLOG_EV_TICK);
		lease = rlog_lease_until_us(sim.nodes[a].rlog);
		return lease > sim.now() ? "it trusts an old lease" : "";
	});
}

TEST(RlogUnsafe, AWokenFollowerStartsNoElection)
{
	prove(&rlog_options::unsafe_skip_jump_check, 3, [](RlogSim &sim) {
		int b = (sim.leader() + 1) % 3;
		uint64_t asked = sim.sent[RL_MSG_PREVOTE];

		sim.freeze(b, 3000000);
		sim.run_for(2990000);
		sim.nodes[b].frozen_until_us = 0;
		sim.event(b, RLOG_EV_TICK);
		return sim.sent[RL_MSG_PREVOTE] > asked ? "it asked for votes"
							: "";
	});
}

TEST(RlogUnsafe, ANewcomerDelaysNoChangeWhileItCatchesUp)
{
	prove(&rlog_options::unsafe_vote_uncaught, 3, [](RlogSim &sim) {
		int a = sim.leader(), b = (a + 1) % 3;

		sim.lose_disk(b);
		sim.start(b);
		sim.filter = [b](int, int to, const rlog_msg &msg) {
			return to != b || msg.kind == RL_MSG_HELLO ||
			       (msg.kind == RL_MSG_APPEND &&
				   msg.entry_count == 0);
		};
		sim.run_for(3000000);
		return sim.accept("x", "x", 0, "x", 3000000)
			   ? ""
			   : "no change was accepted";
	});
}

TEST(RlogUnsafe, AReplicaWithAShorterLogGetsNoVote)
{
	prove(&rlog_options::unsafe_skip_log_check, 3, [](RlogSim &sim) {
		int a = sim.leader(), c = (a + 2) % 3;

		sim.net.isolate(c, 3);
		sim.accept("x", "x");
		sim.net.mend_all();
		sim.kill(a);
		sim.run_for(6000000);
		return mend_and_check(sim);
	});
}

/*
 * A change of an older term on a quorum, yet not committed: a later leader may
 * replace it as long as no entry of the current term stands above it.
 */
static std::string
replace_old_term(RlogSim &sim)
{
	int s1 = sim.leader();
	int s2 = (s1 + 1) % 5, s3 = (s1 + 2) % 5, s4 = (s1 + 3) % 5,
	    s5 = (s1 + 4) % 5;
	std::string large(100000, 'x');

	/* s1 leaves a change on s2 alone. */
	for (int n : {s3, s4, s5}) {
		sim.net.cut(s1, n);
		sim.net.cut(s2, n);
	}
	auto &x = sim.change("x", "x", 0, large);
	x.once = true;
	sim.run_for(20000);
	sim.kill(s1);
	sim.kill(s2);
	/* s5 leads and leaves its own entry on itself alone. */
	sim.filter = [s3, s4, s5](int from, int to, const rlog_msg &msg) {
		if (msg.kind == RL_MSG_PREVOTE && from != s5)
			return false;
		return !(from == s5 && (to == s3 || to == s4) &&
			 msg.kind == RL_MSG_APPEND);
	};
	if (!sim.run_until([&] { return sim.leader() == s5; }, 9000000, 100))
		return "";
	sim.run_for(5000, 100);
	sim.kill(s5);
	/* s1 leads again; its old change reaches s3, its new entry nobody. */
	sim.net.mend_all();
	sim.filter = [s1, s4](int from, int to, const rlog_msg &msg) {
		if (msg.kind == RL_MSG_PREVOTE && from != s1)
			return false;
		if (from == s1 && to == s4 && msg.kind == RL_MSG_APPEND)
			return false;
		for (size_t i = 0; i < msg.entry_count; i++)
			if (msg.entries[i].kind == RL_ENTRY_EMPTY &&
			    msg.entries[i].term == msg.term)
				return false;
		return true;
	};
	sim.start(s1);
	sim.start(s2);
	sim.run_until([&] { return sim.leader() == s1; }, 9000000);
	sim.run_for(1000000);
	sim.kill(s1);
	sim.kill(s2);
	/* s5 returns and replaces what s3 holds. */
	sim.filter = nullptr;
	sim.start(s5);
	sim.run_for(5000000);
	return mend_and_check(sim);
}

TEST(RlogUnsafe, OnlyEntriesOfTheCurrentTermCommitByCount)
{
	prove(&rlog_options::unsafe_commit_old_term, 5, replace_old_term);
}
