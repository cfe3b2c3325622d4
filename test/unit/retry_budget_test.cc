#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "route/budget.h"
}

namespace
{

const uint32_t WINDOW_MS = 10000;
const uint32_t PERMILLE = 900;
const uint32_t SLACK = 54;

/* Requests and repeats of one service at all instances, in order of time. */
struct record {
	std::vector<int64_t> requests;
	std::vector<int64_t> repeats;

	static size_t count(
	    const std::vector<int64_t> &times, int64_t from_us, int64_t to_us)
	{
		size_t n = 0;

		for (int64_t at_us : times)
			n += at_us >= from_us && at_us < to_us;
		return n;
	}

	/*
	 * Returns by how many repeats the worst window exceeds its bound.  The
	 * bound of a window counts the requests in it or in the one before,
	 * whichever has more.
	 */
	double excess() const
	{
		const int64_t window_us = WINDOW_MS * 1000LL;
		double worst = 0;

		for (int64_t from_us : repeats) {
			size_t in =
			    count(requests, from_us, from_us + window_us);
			size_t before =
			    count(requests, from_us - window_us, from_us);
			double allowed = (double)(in > before ? in : before) *
					     PERMILLE / 1000 +
					 SLACK;
			double beyond = (double)count(repeats, from_us,
					    from_us + window_us) -
					allowed;

			if (beyond > worst)
				worst = beyond;
		}
		return worst;
	}
};

struct retry_budget
make_budget(uint32_t instances, int64_t now_us)
{
	struct retry_budget_options options = {};
	struct retry_budget budget;

	options.permille = PERMILLE;
	options.slack = SLACK;
	options.instances = instances;
	options.window_ms = WINDOW_MS;
	options.begun_us = now_us;
	retry_budget_init(&budget, &options, now_us);
	return budget;
}

/* Repeats as often as the budget allows. */
void
take_all(struct retry_budget *budget, int64_t now_us, struct record *record)
{
	while (retry_budget_consume(budget, now_us))
		record->repeats.push_back(now_us);
}

void
request(struct retry_budget *budget, int64_t now_us, struct record *record)
{
	retry_budget_add_request(budget, now_us);
	record->requests.push_back(now_us);
}

} // namespace

TEST(RetryBudget, NoWindowHasMoreRepeatsThanItsRequestsAllow)
{
	struct retry_budget budget = make_budget(1, 0);
	struct record record;

	for (int64_t now_us = 0; now_us < 30000000; now_us += 10000) {
		request(&budget, now_us, &record);
		if (now_us > 9000000)
			take_all(&budget, now_us, &record);
	}
	EXPECT_EQ(record.excess(), 0);
}

TEST(RetryBudget, RestartsDoNotRenewIt)
{
	const uint32_t instances = 4;
	std::vector<struct retry_budget> budgets(
	    instances, make_budget(instances, 0));
	struct record record;

	for (int64_t now_us = 0; now_us < 40000000; now_us += 10000) {
		struct retry_budget &budget =
		    budgets[(size_t)(now_us / 10000) % instances];

		/*
		 * The instances restart one after the other, one each second.
		 */
		if (now_us > 20000000 && now_us % 1000000 == 0)
			budgets[(size_t)(now_us / 1000000) % instances] =
			    make_budget(instances, now_us);
		request(&budget, now_us, &record);
		if (now_us > 9000000) {
			for (auto &each : budgets)
				take_all(&each, now_us, &record);
		}
	}
	EXPECT_EQ(record.excess(), 0);
}

TEST(RetryBudget, CrashLoopDoesNotRenewTheSlack)
{
	struct record record;

	for (int64_t life_us = 0; life_us < 20000000; life_us += 1000000) {
		struct retry_budget budget = make_budget(1, life_us);

		for (int64_t age_us = 0; age_us < 1000000; age_us += 100000)
			take_all(&budget, life_us + age_us, &record);
	}
	EXPECT_EQ(record.excess(), 0);
}

/* Any traffic, failures in any order, and any lives of any instances. */
RC_GTEST_PROP(RetryBudget, TheSumOfAllLivesKeepsTheBound, ())
{
	const uint32_t instances = 5;
	std::mt19937 draw(*rc::gen::noShrink(rc::gen::arbitrary<uint32_t>()));
	std::vector<struct retry_budget> budgets(
	    instances, make_budget(instances, 0));
	struct record record;
	int64_t now_us = 0;

	for (int i = 0; i < 2500; i++) {
		size_t at = draw() % instances;
		uint32_t action = draw() % 100;

		now_us += draw() % 30000;
		if (action == 0)
			budgets[at] = make_budget(instances, now_us);
		else if (action == 1)
			now_us += draw() % 8000000;
		else if (action < 60)
			request(&budgets[at], now_us, &record);
		else
			take_all(&budgets[at], now_us, &record);
	}
	RC_ASSERT(record.excess() == 0);
}

TEST(RetryBudget, UnknownNumberOfInstancesGivesNoSlack)
{
	struct retry_budget budget = make_budget(0, 0);

	EXPECT_EQ(retry_budget_read(&budget, 0).left, 0);
	EXPECT_FALSE(retry_budget_consume(&budget, 0));
}

/*
 * The slack is available even if too few requests arrive to pay for a repeat.
 */
TEST(RetryBudget, GivesALifeItsSlackOnceAfterAWindow)
{
	const int64_t window_us = WINDOW_MS * 1000LL;
	struct retry_budget budget = make_budget(9, 0);
	int taken = 0;

	retry_budget_add_request(&budget, window_us - 1);
	EXPECT_FALSE(retry_budget_consume(&budget, window_us - 1));
	for (int64_t now_us = window_us; now_us < 10 * window_us;
	     now_us += window_us)
		taken += retry_budget_consume(&budget, now_us);
	EXPECT_EQ(taken, (int)SLACK / 9 / 2);
}

TEST(RetryBudget, CountsTheLifeFromItsBeginningNotFromTheFirstRequest)
{
	struct retry_budget_options options = {};
	struct retry_budget budget;

	options.permille = PERMILLE;
	options.slack = SLACK;
	options.instances = 9;
	options.window_ms = WINDOW_MS;
	retry_budget_init(&budget, &options, WINDOW_MS * 1000LL);
	EXPECT_TRUE(retry_budget_consume(&budget, WINDOW_MS * 1000LL));
}

/* A third of the share of a window's requests can be used at once. */
TEST(RetryBudget, SavesForMomentsInWhichManyFail)
{
	struct retry_budget budget = make_budget(0, 0);
	int64_t now_us = 0;
	int taken = 0;

	for (int i = 0; i < 1000; i++) {
		now_us += 10000;
		retry_budget_add_request(&budget, now_us);
	}
	while (retry_budget_consume(&budget, now_us))
		taken++;
	EXPECT_GE(taken, 280);
	EXPECT_LE(taken, 300);
	retry_budget_add_request(&budget, now_us);
	retry_budget_add_request(&budget, now_us);
	EXPECT_TRUE(retry_budget_consume(&budget, now_us));
	EXPECT_FALSE(retry_budget_consume(&budget, now_us));
}

TEST(RetryBudget, ForgetsWhatWasSavedBeforeAPause)
{
	struct retry_budget budget = make_budget(0, 0);

	for (int i = 0; i < 100; i++)
		retry_budget_add_request(&budget, 0);
	EXPECT_TRUE(retry_budget_allows(&budget, 5000000));
	EXPECT_FALSE(retry_budget_allows(&budget, 2 * WINDOW_MS * 1000LL));
}
