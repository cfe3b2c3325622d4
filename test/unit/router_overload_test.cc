#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <random>

#include "router_cfg.h"

namespace
{

enum {
	SERVERS = 4,
	SLOTS = 4,
	SERVICE_US = 100000,
	RUN_US = 20000000,
	CAPACITY = SERVERS * SLOTS * (RUN_US / SERVICE_US)
};

struct Outcome {
	std::map<uint16_t, int> in_time; /* by workspace */
	int dispatched_late = 0;
	int refused_late = 0; /* refused less than 100 ms before the deadline */
	int in_time_total = 0;
};

/* Simulates one router with servers of fixed speed in virtual time. */
class Overload
{
      public:
	Outcome out;

	explicit Overload(uint32_t unsafe)
	{
		struct cf_router_options o = {};

		o.max_servers = SERVERS;
		o.max_requests = 4096;
		o.max_sessions = 1;
		o.unsafe = unsafe;
		router_ = cf_router_new(&o);
		TestCfg::find(cfg_.data_centres, "home", true);
		TestCfg::find(cfg_.versions, "a", true);
		workspace("first", 0, 1);
		workspace("small", 1, 1);
		workspace("large", 1, 3);
	}

	~Overload()
	{
		cf_router_free(router_);
	}

	Overload(const Overload &) = delete;

	/* Offers load, given as a multiple of the servers' capacity. */
	void run(double load)
	{
		std::mt19937 random(3);
		std::exponential_distribution<double> gap(
		    load * CAPACITY / RUN_US);
		struct cf_event ev = {};
		double next = 0;

		ev.kind = CF_EV_CONFIG;
		ev.u.config = cfg_.next();
		step(ev);
		while (now_ < RUN_US) {
			int64_t due = (int64_t)next;

			if (!timers_.empty() && timers_.top().at <= due) {
				now_ = timers_.top().at;
				ev = timers_.top().event;
				timers_.pop();
				step(ev);
				continue;
			}
			now_ = due;
			next += gap(random);
			if (now_ >= next_announce_) {
				announce();
				next_announce_ = now_ + 500000;
			}
			request((uint16_t)(random() % 10));
		}
	}

      private:
	struct Timer {
		int64_t at;
		struct cf_event event;
		bool operator<(const Timer &other) const
		{
			return at > other.at;
		}
	};

	TestCfg cfg_;
	struct cf_router *router_;
	std::priority_queue<Timer> timers_;
	std::map<uint32_t, struct cf_request> open_;
	int64_t now_ = 0;
	int64_t next_announce_ = 0;
	uint32_t next_id_ = 1;

	void workspace(const char *name, uint16_t priority, uint16_t weight)
	{
		auto &w =
		    cfg_.workspaces[TestCfg::find(cfg_.workspaces, name, true)];

		w.versions = 1;
		w.data_centres = 1;
		w.priority = priority;
		w.weight = weight;
		w.deadline_ms = 500;
	}

	void announce()
	{
		for (uint16_t s = 0; s < SERVERS; s++) {
			struct cf_event ev = {};
			struct cf_announce &a = ev.u.announce;

			ev.kind = CF_EV_ANNOUNCE;
			a.server = s;
			a.versions = 1;
			a.warmth = CF_WARM;
			a.slots = SLOTS;
			a.running = cf_router_in_flight(router_, s);
			a.reported_us = now_;
			step(ev);
		}
	}

	/*
	 * Of ten requests, one is from workspace first, three are from small
	 * and six from large.
	 */
	void request(uint16_t draw)
	{
		struct cf_event ev = {};
		struct cf_request &q = ev.u.request;

		ev.kind = CF_EV_REQUEST;
		q.id = next_id_++;
		q.workspace = draw == 0 ? 0 : draw < 4 ? 1 : 2;
		q.model = CFG_NONE;
		q.version = CFG_NONE;
		q.deadline_us = now_ + 500000;
		open_[q.id] = q;
		step(ev);
	}

	void step(const struct cf_event &ev)
	{
		struct cf_actions actions;

		cf_router_step(router_, now_, &ev, &actions);
		for (size_t i = 0; i < actions.count; i++)
			execute(actions.items[i]);
	}

	void execute(const struct cf_action &a)
	{
		Timer t = {};

		switch (a.kind) {
		case CF_ACT_DISPATCH:
			t.at = now_ + SERVICE_US;
			t.event.kind = CF_EV_DONE;
			t.event.u.attempt.request = a.request;
			t.event.u.attempt.attempt = a.attempt;
			t.event.u.attempt.score_permille = 0xffff;
			timers_.push(t);
			if (now_ > open_[a.request].deadline_us) {
				out.dispatched_late++;
			} else {
				out.in_time[a.workspace]++;
				out.in_time_total++;
			}
			break;
		case CF_ACT_REFUSE:
			out.refused_late +=
			    now_ > open_[a.request].deadline_us - 100000;
			break;
		case CF_ACT_WAKE:
			t.at = std::max(a.at_us, now_ + 1);
			t.event.kind = CF_EV_WAKE;
			timers_.push(t);
			break;
		default:
			break;
		}
	}
};

Outcome
run_overload(double load, uint32_t unsafe)
{
	Overload o(unsafe);

	o.run(load);
	return o.out;
}

/*
 * Goodput stays near capacity under overload.  Requests are refused at once,
 * except for a few whose wait was underestimated.
 */
TEST(RouterOverload, GoodputStaysFlat)
{
	for (double load : {1.0, 2.0, 4.0}) {
		Outcome o = run_overload(load, 0);

		EXPECT_GE(o.in_time_total, CAPACITY * 93 / 100) << load;
		EXPECT_EQ(o.dispatched_late, 0) << load;
		EXPECT_LE(o.refused_late, load * CAPACITY * 2 / 100) << load;
	}
}

/* Without the deadline check, most requests are dispatched too late. */
TEST(RouterOverload, CollapsesWithoutTheDeadlineRule)
{
	Outcome o = run_overload(2.0, CF_UNSAFE_DEADLINE);

	EXPECT_LT(o.in_time_total, CAPACITY / 2);
	EXPECT_GT(o.dispatched_late, CAPACITY / 3);
}

/* The best priority is served first; weights divide the remaining capacity. */
TEST(RouterOverload, SharesByPriorityAndWeight)
{
	Outcome o = run_overload(4.0, 0);

	EXPECT_GE(o.in_time[0], CAPACITY * 4 / 10 * 95 / 100);
	EXPECT_NEAR(o.in_time[2], 3.0 * o.in_time[1], o.in_time[1]);
}

} // namespace
