#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <deque>

#include "quality_world.h"

enum {
	INSTANCES = 4,
	CAP = 24, /* unrated answers of all instances */
	EXPIRY_S = 180, /* of an unrated answer */
	LEARNING = 600 /* ratings before ratings are tested */
};

static void
start_world(quality_world &w, rollout_options options)
{
	w.add_version("stable", 700, 900);
	w.add_version("next", 700, 900, CFG_ROLLING, 1000, CAP);
	w.add_workspace("w", 900);
	options.instances = INSTANCES;
	w.start({}, options);
}

/*
 * Runs random events on a version in roll-out.  Returns the most unrated
 * answers of one instance at once.  An answer no longer counts once a rating
 * that this instance may apply or the expiry has freed its slot.
 */
static size_t
max_unrated(uint64_t seed, rollout_options options)
{
	quality_world w;
	struct rng rng;
	std::deque<int64_t> unrated;
	int64_t now_us = 0;
	size_t most = 0;
	int ratings = 0;

	start_world(w, options);
	rng_init(&rng, seed);
	for (int i = 0; i < 2000; i++) {
		now_us += rng_below(&rng, 3000000);
		while (!unrated.empty() &&
		       now_us - unrated.front() >= EXPIRY_S * 1000000LL)
			unrated.pop_front();
		if (rng_below(&rng, 3) == 0) {
			rollout_add_rating(
			    w.rollout, 1, rng_below(&rng, 9) != 0, 0.9, now_us);
			if (++ratings % INSTANCES == 0 && !unrated.empty())
				unrated.pop_front();
		} else if (rollout_open_versions(
			       w.rollout, rng_below(&rng, 1000)) >>
			       1 &
			   1) {
			rollout_add_served(w.rollout, 1, now_us);
			unrated.push_back(now_us);
		}
		most = std::max(most, unrated.size());
	}
	return most;
}

RC_GTEST_PROP(Rollout, UnratedCapIsNeverExceeded, ())
{
	const auto seed = *rc::gen::arbitrary<uint64_t>();

	RC_ASSERT(max_unrated(seed, {}) <= CAP / INSTANCES);
}

TEST(Rollout, UnratedCapIsExceededWithoutTheCheck)
{
	rollout_options options = {};

	options.unsafe_no_cap = true;
	EXPECT_GT(max_unrated(1, options), (size_t)CAP / INSTANCES);
}

/*
 * Runs random observations and revisions; returns how often a stopped version
 * opened without having been withdrawn.
 */
static int
count_reopened(uint64_t seed, int *stops)
{
	quality_world w;
	struct rng rng;
	int64_t now_us = 0;
	bool stopped[2] = {false, false};
	int wrong = 0;

	start_world(w, {});
	rng_init(&rng, seed);
	for (int i = 0; i < 3000; i++) {
		uint16_t v = (uint16_t)rng_below(&rng, 2);
		bool good = rng_below(&rng, 10) < (i / 300 % 2 ? 4 : 9);

		now_us += rng_below(&rng, 1000000);
		switch (rng_below(&rng, 8)) {
		case 0:
			rollout_add_outcome(w.rollout, v, good, 0.9, now_us);
			break;
		case 1:
			rollout_add_latency(
			    w.rollout, v, good ? 100 : 900, now_us);
			break;
		case 2:
			rollout_add_served(w.rollout, v, now_us);
			break;
		case 3:
			if (rng_below(&rng, 100) != 0)
				break;
			w.versions[v].state = CFG_WITHDRAWN;
			w.configure();
			w.versions[v].state = v ? CFG_ROLLING : CFG_RELEASED;
			w.configure();
			stopped[v] = false;
			break;
		default:
			rollout_add_rating(w.rollout, v, good, 0.9, now_us);
		}
		for (int k = 0; k < 2; k++) {
			*stops +=
			    !stopped[k] && rollout_is_stopped(w.rollout, k);
			wrong +=
			    stopped[k] && !rollout_is_stopped(w.rollout, k);
			stopped[k] |= rollout_is_stopped(w.rollout, k);
			wrong += stopped[k] && (rollout_open_versions(w.rollout,
						    rng_below(&rng, 1000)) >>
						       k &
						   1);
		}
	}
	return wrong;
}

RC_GTEST_PROP(Rollout, StoppedVersionNeverOpens, ())
{
	const auto seed = *rc::gen::arbitrary<uint64_t>();
	int stops = 0;

	RC_ASSERT(count_reopened(seed, &stops) == 0);
	RC_ASSERT(stops > 0);
}

/*
 * Returns how many ratings with this pass share, instead of 0.9, a released
 * version gets until it is stopped, not counting the LEARNING ones; 2000 if it
 * is not stopped, -1 if it is stopped too early.
 */
static int
ratings_to_stop(uint64_t seed, double share, rollout_options options)
{
	quality_world w;
	struct rng rng;
	int n;

	start_world(w, options);
	rng_init(&rng, seed);
	for (n = 0; n < LEARNING; n++)
		rollout_add_rating(
		    w.rollout, 0, rng_unit(&rng) < share, 0.9, n);
	if (rollout_is_stopped(w.rollout, 0))
		return -1; /* the first ratings must not be tested */
	for (n = 0; n < 2000 && !rollout_is_stopped(w.rollout, 0); n++)
		rollout_add_rating(
		    w.rollout, 0, rng_unit(&rng) < share, 0.9, n * 1000000LL);
	return n;
}

RC_GTEST_PROP(Rollout, DropOfThirtyPointsIsStopped, ())
{
	const auto seed = *rc::gen::arbitrary<uint64_t>();

	const int ratings = ratings_to_stop(seed, 0.6, {});

	RC_ASSERT(ratings > 0);
	RC_ASSERT(ratings < 400);
}

TEST(Rollout, BadVersionStaysOpenWithoutTheTest)
{
	rollout_options options = {};

	options.unsafe_no_test = true;
	EXPECT_EQ(ratings_to_stop(1, 0.6, options), 2000);
}

/*
 * Returns the stops in days without a drop, with 100,000 ratings and as many
 * quick outcomes each.
 */
static int
count_false_stops(uint64_t seed, int days, rollout_options options)
{
	quality_world w;
	struct rng rng;
	int64_t now_us = 0;
	int stops = 0;

	start_world(w, options);
	rng_init(&rng, seed);
	for (int i = 0; i < days * 100000; i++) {
		now_us += 864000;
		rollout_add_outcome(
		    w.rollout, 0, rng_unit(&rng) < 0.92, 0.92, now_us);
		rollout_add_rating(
		    w.rollout, 0, rng_unit(&rng) < 0.9, 0.9, now_us);
		if (!rollout_is_stopped(w.rollout, 0))
			continue;
		stops++;
		w.versions[0].state = CFG_WITHDRAWN;
		w.configure();
		w.versions[0].state = CFG_RELEASED;
		w.configure();
	}
	return stops;
}

TEST(Rollout, QuietDaysStopNothing)
{
	rollout_options low = {};
	int days = getenv("CF_TEST_SHORT") != nullptr ? 5 : 100;

	low.unsafe_low_stop = true;
	EXPECT_EQ(count_false_stops(1, days, {}), 0);
	EXPECT_GT(count_false_stops(1, 5, low), 10);
}

TEST(Rollout, DigestsCarryOutcomesToOtherInstances)
{
	quality_world a, b;
	struct cf_digest digests[2];
	size_t n;

	start_world(a, {});
	start_world(b, {});
	for (int i = 0; i < 60; i++)
		rollout_add_outcome(a.rollout, 0, false, 0.9, i);
	n = rollout_take_digests(a.rollout, digests, 2);
	ASSERT_EQ(n, 1u);
	EXPECT_EQ(rollout_take_digests(a.rollout, digests + 1, 1), 0u);
	EXPECT_FALSE(rollout_is_stopped(b.rollout, 0));
	rollout_merge_digest(b.rollout, &digests[0], 100);
	EXPECT_TRUE(rollout_is_stopped(b.rollout, 0));
}
