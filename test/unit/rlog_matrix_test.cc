#include <gtest/gtest.h>

#include "matrix.h"
#include "rlog_schedule.h"

/* Every fault at every step of accept-change, repair and leadership change. */

enum {
	FINE_US = 100 /* time slice while a step is being reached */
};

struct Run {
	explicit Run(const RlogSim::Options &options)
	    : schedule(options), sim(schedule.sim)
	{
	}

	Schedule schedule;
	RlogSim &sim;
	RlogSim::Op *op = nullptr; /* the change under test */
	int victim = -1;
	int other = -1; /* a replica that the step does not involve */
	int lost = -1; /* the one under repair */
	uint64_t lost_id = 0;
};

struct Step {
	const char *name;
	std::function<bool(Run &)> reach;
};

static bool
until(Run &run, const std::function<bool()> &done)
{
	return run.sim.run_until(done, 8000000, FINE_US);
}

static void
propose(Run &run)
{
	run.victim = run.sim.leader();
	run.other = (run.victim + 1) % 5;
	run.op = &run.sim.change("main", "permits", 0, "text");
	run.sim.propose_to(run.victim, *run.op);
	run.op->next_us = run.sim.now() + 400000;
}

static int
follower_with(Run &run, const std::function<bool(int)> &has)
{
	for (int n = 0; n < 5; n++)
		if (run.sim.nodes[n].up() && n != run.sim.leader() && has(n))
			return n;
	return -1;
}

static const std::vector<Step> accept_steps = {
    {"proposed",
	[](Run &run) {
		propose(run);
		return true;
	}},
    {"durable at the leader",
	[](Run &run) {
		propose(run);
		return until(run, [&] {
			struct rlog_status s = run.sim.status(run.victim);
			return s.durable_index == s.last_index;
		});
	}},
    {"durable at one follower",
	[](Run &run) {
		propose(run);
		uint64_t last = run.sim.status(run.victim).last_index;
		return until(run, [&] {
			int n = follower_with(run, [&](int m) {
				return run.sim.status(m).durable_index >= last;
			});
			run.victim = n >= 0 ? n : run.victim;
			return n >= 0;
		});
	}},
    {"committed, answer lost",
	[](Run &run) {
		propose(run);
		bool reached = until(run, [&] { return run.op->answered; });
		run.op->answered = false;
		return reached;
	}},
    {"applied everywhere",
	[](Run &run) {
		propose(run);
		uint64_t last = run.sim.status(run.victim).last_index;
		return until(run, [&] {
			for (int n = 0; n < 5; n++)
				if (run.sim.status(n).applied < last)
					return false;
			return true;
		});
	}},
};

static void
start_repair(Run &run)
{
	int leader = run.sim.leader();

	run.victim = leader;
	run.lost = (leader + 2) % 5;
	run.other = (leader + 3) % 5;
	run.lost_id = run.sim.nodes[run.lost].id;
	run.schedule.run({Act::LOSE_DISK, run.lost, 0, 0});
	run.sim.start(run.lost);
	propose(run);
	run.other = (leader + 3) % 5;
}

/* The role of an identity in the leader's configuration: 0, 'l' or 'v'. */
static char
role_of(Run &run, uint64_t id)
{
	int leader = run.sim.leader();

	if (leader < 0)
		return 0;
	struct rlog_status s = run.sim.status(leader);
	for (size_t i = 0; i < s.member_count; i++)
		if (s.members[i].id == id)
			return s.members[i].voter ? 'v' : 'l';
	return 0;
}

static bool
repair_until(Run &run, char newcomer, bool old_there)
{
	start_repair(run);
	return until(run, [&] {
		return role_of(run, run.sim.nodes[run.lost].id) == newcomer &&
		       (role_of(run, run.lost_id) != 0) == old_there;
	});
}

static const std::vector<Step> repair_steps = {
    {"disk lost",
	[](Run &run) {
		start_repair(run);
		return true;
	}},
    {"learner added", [](Run &run) { return repair_until(run, 'l', true); }},
    {"snapshot under way",
	[](Run &run) {
		start_repair(run);
		return until(
		    run, [&] { return run.sim.sent[RL_MSG_SNAPSHOT] >= 2; });
	}},
    {"old identity removed",
	[](Run &run) { return repair_until(run, 'l', false); }},
    {"vote given", [](Run &run) { return repair_until(run, 'v', false); }},
};

static void
lose_leader(Run &run)
{
	int leader = run.sim.leader();

	propose(run);
	run.lost = leader;
	run.victim = (leader + 1) % 5;
	run.other = (leader + 2) % 5;
	run.sim.kill(leader);
}

static bool
until_role(Run &run, enum rl_role role)
{
	lose_leader(run);
	return until(run, [&] {
		int n = follower_with(
		    run, [&](int m) { return run.sim.status(m).role == role; });
		if (role == RLOG_LEADER)
			n = run.sim.leader();
		run.victim = n >= 0 ? n : run.victim;
		run.other = (run.victim + 1) % 5 == run.lost
				? (run.victim + 2) % 5
				: (run.victim + 1) % 5;
		return n >= 0;
	});
}

static const std::vector<Step> leader_steps = {
    {"leader gone",
	[](Run &run) {
		lose_leader(run);
		return true;
	}},
    {"pre-vote under way",
	[](Run &run) { return until_role(run, RL_PRECANDIDATE); }},
    {"vote under way", [](Run &run) { return until_role(run, RL_CANDIDATE); }},
    {"elected", [](Run &run) { return until_role(run, RLOG_LEADER); }},
    {"first entry committed",
	[](Run &run) {
		return until_role(run, RLOG_LEADER) && until(run, [&] {
			int n = run.sim.leader();
			return n >= 0 &&
			       rlog_lease_until_us(run.sim.nodes[n].rlog) > 0;
		});
	}},
    {"handed over",
	[](Run &run) {
		propose(run);
		run.sim.event(run.victim, RLOG_EV_HANDOVER);
		return until(
		    run, [&] { return run.sim.leader() != run.victim; });
	}},
};

struct Fault {
	const char *name;
	std::function<void(Run &, int victim, int variant)> strike;
};

static void
restart(Run &run, int n, int64_t after_us)
{
	run.sim.run_for(after_us);
	run.sim.start(n);
}

static void
rough(Run &run, int64_t low_us, int64_t high_us, unsigned twice, int64_t us)
{
	run.sim.net.delay_min_us = low_us;
	run.sim.net.delay_max_us = high_us;
	run.sim.net.duplicate_percent = twice;
	run.sim.run_for(us);
	run.sim.net.delay_min_us = 500;
	run.sim.net.delay_max_us = 1500;
	run.sim.net.duplicate_percent = 0;
}

static const std::vector<Fault> faults = {
    {"kill",
	[](Run &run, int v, int) {
		run.sim.kill(v);
		restart(run, v, 500000);
	}},
    {"lost disk",
	[](Run &run, int v, int) {
		run.schedule.run({Act::LOSE_DISK, v, 0, 0});
		restart(run, v, 500000);
	}},
    {"lost unsynced tail",
	[](Run &run, int v, int) {
		run.sim.lose_tail(v);
		restart(run, v, 500000);
	}},
    {"cut",
	[](Run &run, int v, int) {
		run.sim.net.isolate(v, 5);
		run.sim.run_for(3000000);
		run.sim.net.mend_all();
	}},
    {"one-way cut",
	[](Run &run, int v, int variant) {
		for (int n = 0; n < 5; n++)
			run.sim.net.cut(variant ? n : v, variant ? v : n);
		run.sim.run_for(3000000);
		run.sim.net.mend_all();
	}},
    {"freeze past the lease",
	[](Run &run, int v, int) {
		run.sim.freeze(v, 3000000);
		run.sim.run_for(3500000);
	}},
    {"duplicated message",
	[](Run &run, int, int) { rough(run, 500, 1500, 100, 2000000); }},
    {"reordered message",
	[](Run &run, int, int) { rough(run, 100, 80000, 0, 2000000); }},
    {"delayed message",
	[](Run &run, int, int) { rough(run, 1500000, 1600000, 0, 300000); }},
    {"failed sync",
	[](Run &run, int v, int) {
		run.sim.fail_sync(v);
		run.sim.run_for(1000000);
		run.sim.lose_tail(v);
		restart(run, v, 500000);
	}},
    {"operator race",
	[](Run &run, int, int) {
		run.sim.change("race", "permits", 0, "other", "bea");
		run.sim.run_for(500000);
	}},
    {"resend",
	[](Run &run, int, int) {
		run.sim.change("main", "permits", 0, "text");
		run.sim.run_for(500000);
	}},
    {"second loss",
	[](Run &run, int v, int) {
		if (run.lost_id == 0)
			run.schedule.run({Act::LOSE_DISK, v, 0, 0});
		restart(run, v, 200000);
		run.schedule.run({Act::LOSE_DISK, run.other, 0, 200});
		run.sim.start(run.other);
	}},
};

/* Clients go on changing and reading while the fault lasts and after it. */
static void
work_on(Run &run)
{
	for (int i = 0; i < 8; i++) {
		run.sim.change("more" + std::to_string(i),
		    "more" + std::to_string(i), 0, std::string(300, 'm'));
		run.sim.read();
		run.sim.run_for(150000);
	}
}

static std::string
judge(Run &run)
{
	std::string seen = run.schedule.finish();
	cfgstore_section section;
	int winners = 0;

	if (!seen.empty())
		return seen;
	for (const auto &op : run.sim.ops) {
		if (op.path != "permits" || op.id == run.op->id)
			continue;
		winners += op.error == 0;
		if (op.error != 0 && op.won_author != "ana")
			return "the loser was not told who won";
	}
	winners += run.op->error == 0;
	if (winners != 1)
		return "not exactly one change won";
	if (!cfgstore_section_get(
		run.sim.nodes[run.sim.leader()].cfgstore, "permits", &section))
		return "the section is missing";
	return "";
}

static std::string
run_cell(const Step &step, const Fault &fault, int variant)
{
	RlogSim::Options options;
	options.seed = 11 + (uint64_t)variant;
	options.rlog.compact_bytes = 2000;
	options.rlog.chunk_bytes = 200;
	Run run(options);

	run.sim.settle();
	for (int i = 0; i < 12; i++)
		if (!run.sim.accept("pre" + std::to_string(i),
			"pre" + std::to_string(i), 0, std::string(300, 'p')))
			break;
	if (!step.reach(run))
		return "the step was not reached";
	if (variant == 1 && run.lost >= 0 && run.lost_id != 0)
		run.victim = run.lost;
	fault.strike(run, run.victim, variant);
	work_on(run);
	return judge(run);
}

static size_t
run_matrix(const char *title, const std::vector<Step> &steps)
{
	struct matrix m;

	m.title = title;
	for (const auto &step : steps)
		m.steps.push_back(step.name);
	for (const auto &fault : faults)
		m.faults.push_back(fault.name);
	m.cell = [&](size_t s, size_t f) {
		std::string seen = run_cell(steps[s], faults[f], 0);

		return seen.empty() ? run_cell(steps[s], faults[f], 1) : seen;
	};
	return matrix_run(m);
}

TEST(RlogMatrix, AcceptChange)
{
	EXPECT_EQ(
	    run_matrix("Accept a change, five replicas", accept_steps), 0u);
}

TEST(RlogMatrix, ReplicaRepair)
{
	EXPECT_EQ(
	    run_matrix("Repair a replica, five replicas", repair_steps), 0u);
}

TEST(RlogMatrix, LeadershipChange)
{
	EXPECT_EQ(
	    run_matrix("Change the leader, five replicas", leader_steps), 0u);
}
