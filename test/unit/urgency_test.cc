#include <gtest/gtest.h>

#include <queue>
#include <random>
#include <vector>

#include "route/urgency.h"

namespace
{

struct Kind {
	uint8_t priority;
	double work_ms; /* of processing the prompt */
	double goal_ms; /* until the first event */
	double limit_ms; /* how long callers wait */
	double per_s;
};

int
urgency_of(const Kind &kind)
{
	struct urgency_input in = {
	    kind.priority, (uint32_t)kind.goal_ms, kind.work_ms};

	return urgency_of_request(&in);
}

struct Request {
	int64_t at_ms;
	int kind;
	int urgency;
};

struct Later {
	bool operator()(const Request &a, const Request &b) const
	{
		return a.urgency != b.urgency ? a.urgency > b.urgency
					      : a.at_ms > b.at_ms;
	}
};

struct Shares {
	std::vector<double> in_time = {0, 0, 0};
	std::vector<double> served = {0, 0, 0}; /* including late ones */
};

/*
 * Simulates a burst on one engine that processes prompts one after the other,
 * at a load of 95% of the engine's time.  Returns for each kind of request the
 * shares that are served in time and served at all.
 */
Shares
simulate(const std::vector<Kind> &kinds, bool by_urgency, unsigned int seed)
{
	std::mt19937 random(seed);
	std::priority_queue<Request, std::vector<Request>, Later> waiting;
	std::vector<double> requested(kinds.size());
	Shares shares;
	double free_ms = 0;

	for (int64_t now_ms = 0; now_ms < 120000; now_ms++) {
		for (size_t k = 0; k < kinds.size(); k++) {
			std::bernoulli_distribution arrival(
			    kinds[k].per_s / 1000);

			if (!arrival(random))
				continue;
			requested[k]++;
			waiting.push({now_ms, (int)k,
			    by_urgency ? urgency_of(kinds[k]) : 0});
		}
		while (!waiting.empty() && free_ms <= (double)now_ms) {
			Request r = waiting.top();
			const Kind &kind = kinds[r.kind];
			double waited_ms = (double)(now_ms - r.at_ms);

			waiting.pop();
			if (waited_ms + kind.work_ms > kind.limit_ms)
				continue;
			free_ms = (double)now_ms + kind.work_ms;
			shares.in_time[r.kind] +=
			    waited_ms + kind.work_ms <= kind.goal_ms;
			shares.served[r.kind]++;
		}
	}
	for (size_t k = 0; k < kinds.size(); k++) {
		shares.in_time[k] /= requested[k];
		shares.served[k] /= requested[k];
	}
	return shares;
}

} // namespace

TEST(Urgency, ShortDraftsDoNotWaitBehindLongDocuments)
{
	/*
	 * documents, drafts and status answers: 0.95 s of prompt processing a
	 * second
	 */
	const std::vector<Kind> kinds = {{1, 590, 3000, 25000, 1.1},
	    {0, 40, 1000, 20000, 4}, {2, 60, 1500, 5000, 2.3}};
	std::vector<double> fifo(3), urgent(3);

	for (unsigned int seed = 1; seed <= 10; seed++) {
		Shares f = simulate(kinds, false, seed);
		Shares u = simulate(kinds, true, seed);

		for (int k = 0; k < 3; k++) {
			fifo[k] += f.in_time[k] / 10;
			urgent[k] += u.in_time[k] / 10;
			/*
			 * No kind starves: each gets at least a quarter of the
			 * mean.
			 */
			EXPECT_GT(u.served[k] * 12,
			    u.served[0] + u.served[1] + u.served[2])
			    << "seed " << seed << " kind " << k;
		}
	}
	EXPECT_LT(fifo[1], 0.6);
	EXPECT_GT(urgent[1], 0.95);
	EXPECT_GT(urgent[2], fifo[2]);
	EXPECT_GT(urgent[0] + urgent[1] + urgent[2],
	    fifo[0] + fifo[1] + fifo[2] + 0.5);
}

TEST(Urgency, FollowsThePriorityAndEndsAtTheLast)
{
	auto of = [](int priority, double work_ms) {
		struct urgency_input in = {(uint8_t)priority, 1000, work_ms};

		return urgency_of_request(&in);
	};

	for (double work_ms : {0.0, 49.0, 51.0, 900.0}) {
		for (int priority = 0; priority < 255; priority++) {
			EXPECT_LE(
			    of(priority, work_ms), of(priority + 1, work_ms));
			EXPECT_LE(of(priority, work_ms), URGENCY_LAST);
			EXPECT_GE(of(priority, work_ms), 0);
		}
		EXPECT_LT(of(0, work_ms), of(1, work_ms));
		EXPECT_LT(of(1, work_ms), of(2, work_ms));
	}
	EXPECT_LT(of(2, 10), of(1, 500));
	EXPECT_LT(of(0, 500), of(2, 10));
}
