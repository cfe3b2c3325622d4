#ifndef CF_TEST_RLOG_SCHEDULE_H
#define CF_TEST_RLOG_SCHEDULE_H

#include <set>

#include "rlog_sim.h"

/* Random or written-down schedules of faults and client work. */
enum class Act {
	CHANGE,
	READ,
	KILL,
	START,
	LOSE_TAIL,
	LOSE_DISK,
	FAIL_SYNC,
	CUT,
	CUT_ONE_WAY,
	MEND,
	FREEZE,
	HANDOVER,
	REMOVE,
	ROUGH_NET,
	CALM_NET,
	WAIT,
	ACTS
};

struct ScheduleStep {
	Act act;
	int node;
	int other;
	int wait_ms;
};

class Schedule
{
      public:
	explicit Schedule(const RlogSim::Options &options) : sim(options)
	{
	}

	RlogSim sim;

	void run(const ScheduleStep &step)
	{
		int n = step.node % (int)sim.nodes.size();
		int m = step.other % (int)sim.nodes.size();

		forget_repaired();
		switch (step.act) {
		case Act::CHANGE:
			change(step.other);
			break;
		case Act::READ:
			sim.read();
			break;
		case Act::KILL:
			sim.kill(n);
			break;
		case Act::START:
			sim.start(n);
			break;
		case Act::LOSE_TAIL:
			sim.lose_tail(n);
			break;
		case Act::LOSE_DISK:
			lose_disk(n);
			break;
		case Act::FAIL_SYNC:
			sim.fail_sync(n);
			break;
		case Act::CUT:
			sim.net.isolate(n, (int)sim.nodes.size());
			break;
		case Act::CUT_ONE_WAY:
			sim.net.cut(n, m);
			break;
		case Act::MEND:
			sim.net.mend_all();
			break;
		case Act::FREEZE:
			sim.freeze(n, 3000LL * step.wait_ms);
			break;
		case Act::HANDOVER:
			if (sim.leader() >= 0)
				sim.event(sim.leader(), RLOG_EV_HANDOVER);
			break;
		case Act::REMOVE:
			remove(n);
			break;
		case Act::ROUGH_NET:
			sim.net.delay_max_us = 150000;
			sim.net.lose_percent = 5;
			sim.net.duplicate_percent = 10;
			break;
		case Act::CALM_NET:
			calm();
			break;
		case Act::WAIT:
		case Act::ACTS:
			break;
		}
		sim.run_for(1000LL * step.wait_ms);
	}

	/* Mends everything; then all clients must be answered. */
	std::string finish(int64_t us = 30000000)
	{
		calm();
		sim.net.mend_all();
		for (size_t n = 0; n < sim.nodes.size(); n++) {
			sim.nodes[n].frozen_until_us = 0;
			if (sim.nodes[n].sync_stuck)
				sim.lose_tail((int)n);
			sim.start((int)n);
		}
		if (!sim.run_until([this] { return all_answered(); }, us) &&
		    sim.broken.empty())
			sim.broken = "a client had no answer";
		if (!sim.run_until([this] { return converged(); }, us) &&
		    sim.broken.empty())
			sim.broken = "the replicas did not converge";
		return sim.check_end();
	}

      private:
	std::set<int> lost;
	std::set<int> removed;
	int changes = 0;

	void calm()
	{
		sim.net.delay_max_us = 1500;
		sim.net.lose_percent = 0;
		sim.net.duplicate_percent = 0;
	}

	bool all_answered() const
	{
		for (const auto &op : sim.ops)
			if (!op.answered)
				return false;
		return true;
	}

	/* Every replica that takes part has applied all that the leader has. */
	bool converged() const
	{
		int leader = sim.leader();

		if (leader < 0 ||
		    rlog_lease_until_us(sim.nodes[leader].rlog) <= sim.now())
			return false;
		uint64_t last = sim.status(leader).last_index;
		for (size_t n = 0; n < sim.nodes.size(); n++)
			if ((removed.count((int)n) == 0 ||
				sim.is_member((int)n)) &&
			    sim.status((int)n).applied != last)
				return false;
		return true;
	}

	/* Operators race: the base is what some replica shows just now. */
	void change(int path)
	{
		std::string name = "s" + std::to_string(path % 3);
		uint64_t base = 0;
		cfgstore_section section;
		int n = sim.leader();

		if (n >= 0 && cfgstore_section_get(sim.nodes[n].cfgstore,
				  name.c_str(), &section))
			base = section.revision;
		sim.change("c" + std::to_string(++changes), name, base,
		    std::string(200, 'x'));
	}

	bool is_repaired(int n, int leader) const
	{
		struct rlog_status s = sim.status(leader);
		int others = 0, voters = 0;

		if (!sim.nodes[n].up())
			return false;
		for (size_t i = 0; i < s.member_count; i++) {
			if (s.members[i].instance != (uint64_t)n)
				continue;
			if (s.members[i].id == sim.nodes[n].id)
				voters += s.members[i].voter;
			else
				others++;
		}
		return voters == 1 && others == 0 && s.commit == s.last_index;
	}

	void forget_repaired()
	{
		int leader = sim.leader();

		for (auto it = lost.begin(); leader >= 0 && it != lost.end();)
			it = is_repaired(*it, leader) ? lost.erase(it)
						      : std::next(it);
	}

	/* A removed replica counts as lost for good. */
	void remove(int n)
	{
		int leader = sim.leader();

		if (leader < 0 || !lost.empty())
			return;
		lost.insert(n);
		removed.insert(n);
		sim.remove(leader, n);
	}

	/* Beyond two at a time no quorum could ever meet again. */
	void lose_disk(int n)
	{
		if (lost.size() >= (sim.nodes.size() - 1) / 2 &&
		    lost.count(n) == 0)
			return;
		lost.insert(n);
		removed.erase(n); /* it may join anew */
		sim.lose_disk(n);
	}
};

#endif
