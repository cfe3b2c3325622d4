#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "route/centres.h"
#include "route/evidence.h"
#include "route/loads.h"
#include "route/pace.h"
#include "route/sessions.h"
#include "route/verdict.h"

TEST(Sessions, KeepTheirVersion)
{
	struct se *sessions = se_new(alloc_default(), 5000000);
	struct se_query q = {};
	std::set<uint64_t> pinned;
	uint64_t fresh = 0, target = 0;
	bool bound;

	/* Find two sessions that the hash assigns to the new version. */
	for (uint64_t s = 1; target == 0 || fresh == 0; s++) {
		q = (struct se_query){s, 60000000, 60000000, 80, 999, false};
		if (se_role(sessions, &q, &bound) != PL_TARGET)
			continue;
		if (target == 0)
			target = s;
		else
			fresh = s;
	}
	/*
	 * Seen on the old version shortly before the order, it is pinned there.
	 */
	se_note(sessions, target, PL_BASE, 0, 60000000);
	se_begin(
	    sessions, 80, 61000000,
	    [](void *ctx, uint64_t s) {
		    ((std::set<uint64_t> *)ctx)->insert(s);
	    },
	    &pinned);
	EXPECT_EQ(std::set<uint64_t>{target}, pinned);
	se_hold(sessions, target, 61000000);
	q = (struct se_query){target, 80000000, 19000000, 80, 0, false};
	EXPECT_EQ(PL_BASE, se_role(sessions, &q, &bound));
	EXPECT_TRUE(bound);
	/* Unknown sessions wait until all instances know the pinned ones. */
	q = (struct se_query){fresh, 61500000, 500000, 80, 0, false};
	EXPECT_EQ(PL_BASE, se_role(sessions, &q, &bound));
	q = (struct se_query){fresh, 70000000, 9000000, 80, 0, false};
	EXPECT_EQ(PL_TARGET, se_role(sessions, &q, &bound));
	EXPECT_FALSE(bound);
	EXPECT_FALSE(se_note(sessions, fresh, PL_TARGET, 80, 70000000));
	q.now_us += 3000000;
	EXPECT_EQ(PL_TARGET, se_role(sessions, &q, &bound));
	EXPECT_TRUE(bound);
	se_free(sessions);
}

/*
 * A stream may last longer than the idle time after which its session is
 * forgotten.
 */
TEST(Sessions, OneWithALongStreamIsHeldToo)
{
	struct se *sessions = se_new(alloc_default(), 5000000);
	std::set<uint64_t> pinned;
	auto note = [](void *ctx, uint64_t s) {
		((std::set<uint64_t> *)ctx)->insert(s);
	};

	for (uint64_t s = 1; s <= 100; s++)
		se_note(sessions, s, PL_BASE, 0, 1000000);
	se_begin(sessions, 130, 14000000, note, &pinned);
	EXPECT_TRUE(pinned.empty());
	for (uint64_t s = 1; s <= 100; s++)
		se_touch(sessions, s, 13000000);
	se_begin(sessions, 130, 14000000, note, &pinned);
	EXPECT_GT(pinned.size(), 5u);
	se_free(sessions);
}

TEST(Sessions, OneGivenTheOldVersionForLackOfRoomIsToldToOthers)
{
	struct se *sessions = se_new(alloc_default(), 5000000);
	uint64_t target = 0;
	bool bound;

	for (uint64_t s = 1; target == 0; s++) {
		struct se_query q = {s, 60000000, 60000000, 80, 999, false};

		if (se_role(sessions, &q, &bound) == PL_TARGET)
			target = s;
	}
	EXPECT_TRUE(se_note(sessions, target, PL_BASE, 80, 60000000));
	se_hold(sessions, target, 60000000);
	EXPECT_FALSE(se_note(sessions, target, PL_BASE, 80, 61000000));
	se_free(sessions);
}

/*
 * In the load trial more sessions use the new version, including some that
 * began on the old one, and all instances agree on which.
 */
TEST(Sessions, GoOverToTheNewVersionInTheLoadTrialOnly)
{
	struct se *knows = se_new(alloc_default(), 5000000);
	struct se *other = se_new(alloc_default(), 5000000);
	uint32_t gone_over = 0;

	for (uint64_t s = 1; s <= 1000; s++) {
		struct se_query q = {s, 70000000, 9000000, 130, 999, false};
		bool bound;

		se_note(knows, s, PL_BASE, 0, 69000000);
		EXPECT_EQ(PL_BASE, se_role(knows, &q, &bound));
		q.permille = 260;
		q.may_go_over = true;
		gone_over += se_role(knows, &q, &bound) == PL_TARGET;
		EXPECT_EQ(
		    se_role(other, &q, &bound), se_role(knows, &q, &bound));
		/* No session switches back. */
		if (se_role(knows, &q, &bound) != PL_TARGET)
			continue;
		se_note(knows, s, PL_TARGET, 260, 70000000);
		q.may_go_over = false;
		q.permille = 130;
		EXPECT_EQ(PL_TARGET, se_role(knows, &q, &bound));
		EXPECT_TRUE(bound);
	}
	EXPECT_GT(gone_over, 200u);
	EXPECT_LT(gone_over, 320u);
	se_free(knows);
	se_free(other);
}

static enum ord_rollout_state
judge(struct vd_counts fresh, struct vd_counts known, int64_t elapsed_ms,
    enum ord_rollout_state state = ORD_RUNNING, int64_t finishing_ms = 0)
{
	struct vd_input in = {};

	in.state = state;
	in.elapsed_ms = elapsed_ms;
	in.finishing_ms = finishing_ms;
	in.duration_ms = 24000;
	in.fresh = fresh;
	in.known = known;
	in.is_worse = verdict_is_worse(&fresh, &known);
	in.has_servers = true;
	return vd_next(&in);
}

TEST(Verdict, AGoodVersionIsCompletedInTime)
{
	EXPECT_EQ(ORD_RUNNING,
	    judge({30, 0, 0, 0, 0, 0, 0, 0}, {300, 1, 0, 0, 0, 0, 0, 0}, 5000));
	EXPECT_EQ(ORD_RUNNING, judge({30, 0, 0, 0, 0, 0, 0, 0},
				   {300, 1, 0, 0, 0, 0, 0, 0}, 13000));
	EXPECT_EQ(ORD_FINISHING, judge({30, 0, 0, 0, 0, 0, 15, 0},
				     {300, 1, 0, 0, 0, 0, 0, 0}, 15000));
	/*
	 * It waits longer if it has not been seen under load or has few
	 * answers.
	 */
	EXPECT_EQ(ORD_RUNNING, judge({90, 0, 0, 0, 0, 0, 14, 0},
				   {300, 1, 0, 0, 0, 0, 0, 0}, 15000));
	EXPECT_EQ(ORD_FINISHING, judge({90, 0, 0, 0, 0, 0, 0, 0},
				     {300, 1, 0, 0, 0, 0, 0, 0}, 17300));
	EXPECT_EQ(ORD_RUNNING,
	    judge({9, 0, 0, 0, 0, 0, 9, 0}, {300, 1, 0, 0, 0, 0, 0, 0}, 15000));
	EXPECT_EQ(ORD_FINISHING,
	    judge({9, 0, 0, 0, 0, 0, 0, 0}, {300, 1, 0, 0, 0, 0, 0, 0}, 17300));
	EXPECT_EQ(ORD_RUNNING,
	    judge({0, 0, 0, 0, 0, 0, 0, 0}, {300, 1, 0, 0, 0, 0, 0, 0}, 20000));
	EXPECT_EQ(ORD_FINISHING,
	    judge({300, 0, 0, 0, 0, 0, 0, 0}, {300, 1, 0, 0, 0, 0, 0, 0}, 16000,
		ORD_FINISHING, 1000));
	EXPECT_EQ(ORD_COMPLETED,
	    judge({300, 0, 0, 0, 0, 0, 0, 0}, {300, 1, 0, 0, 0, 0, 0, 0}, 19000,
		ORD_FINISHING, 6000));
	EXPECT_EQ(ORD_COMPLETED,
	    judge({300, 200, 0, 0, 0, 0, 0, 0}, {300, 1, 0, 0, 0, 0, 0, 0},
		23000, ORD_COMPLETED));
}

TEST(Verdict, ABadVersionIsRolledBack)
{
	/* Half of its answers fail. */
	EXPECT_EQ(ORD_ROLLED_BACK,
	    judge({12, 6, 0, 0, 0, 0, 0, 0}, {100, 1, 0, 0, 0, 0, 0, 0}, 3000));
	/* Few errors, but the old version makes none. */
	EXPECT_EQ(ORD_ROLLED_BACK, judge({130, 6, 6, 0, 0, 0, 0, 0},
				       {1536, 0, 0, 0, 0, 0, 0, 0}, 3000));
	/* A crashed server breaks off as many answers, which are no errors. */
	EXPECT_EQ(ORD_RUNNING, judge({130, 6, 0, 0, 0, 0, 0, 0},
				   {1536, 0, 0, 0, 0, 0, 0, 0}, 3000));
	/* Half of its answers begin far too late. */
	EXPECT_EQ(ORD_ROLLED_BACK,
	    judge({12, 0, 0, 6, 0, 0, 0, 0}, {100, 1, 0, 4, 0, 0, 0, 0}, 3000));
	/* It begins in time, but its events come late. */
	EXPECT_EQ(ORD_ROLLED_BACK, judge({12, 0, 0, 0, 500, 220, 0, 0},
				       {100, 1, 0, 4, 3000, 60, 0, 0}, 3000));
	/* Few gaps, but nearly all of them slow. */
	EXPECT_EQ(
	    ORD_ROLLED_BACK, judge({26, 0, 0, 0, 82, 82, 0, 0},
				 {732, 0, 0, 30, 18000, 800, 0, 0}, 3000));
	EXPECT_EQ(ORD_RUNNING, judge({22, 0, 0, 0, 107, 38, 0, 0},
				   {307, 0, 0, 10, 7615, 284, 0, 0}, 3000));
	/*
	 * It is so slow that few of its gaps were seen before the decision is
	 * due.
	 */
	EXPECT_EQ(ORD_RUNNING, judge({29, 0, 0, 3, 15, 15, 0, 0},
				   {575, 0, 0, 31, 15882, 547, 0, 0}, 13000));
	EXPECT_EQ(
	    ORD_ROLLED_BACK, judge({29, 0, 0, 3, 15, 15, 0, 0},
				 {575, 0, 0, 31, 15882, 547, 0, 0}, 17300));
	/* It fails only once it gets all requests. */
	EXPECT_EQ(ORD_ROLLED_BACK,
	    judge({200, 60, 0, 0, 0, 0, 0, 0}, {300, 2, 0, 0, 0, 0, 0, 0},
		15000, ORD_FINISHING));
}

/*
 * A version that may be slower waits for more answers instead of getting all
 * requests, and is rolled back when time runs out.
 */
TEST(Verdict, AVersionThatMayBeSlowerIsNotCompleted)
{
	struct vd_input in = {};

	in.duration_ms = 24000;
	in.fresh = {90, 0, 0, 0, 0, 0, 30, 0};
	in.known = {300, 1, 0, 0, 0, 0, 0, 0};
	in.has_servers = true;
	in.elapsed_ms = 15000;
	EXPECT_EQ(ORD_FINISHING, vd_next(&in));
	in.may_be_slower = true;
	EXPECT_EQ(ORD_RUNNING, vd_next(&in));
	in.elapsed_ms = 17300;
	EXPECT_EQ(ORD_ROLLED_BACK, vd_next(&in));
	in.elapsed_ms = 3000;
	EXPECT_EQ(ORD_RUNNING, vd_next(&in));
}

TEST(Verdict, AVersionThatFailsOnBusyServersOnlyIsRolledBack)
{
	/* Over all answers, too few errors for the error margin. */
	EXPECT_EQ(ORD_ROLLED_BACK, judge({200, 3, 3, 0, 0, 0, 8, 3},
				       {900, 1, 0, 0, 0, 0, 0, 0}, 13000));
	EXPECT_EQ(ORD_RUNNING, judge({200, 2, 2, 0, 0, 0, 8, 2},
				   {900, 1, 0, 0, 0, 0, 0, 0}, 13000));
	EXPECT_EQ(ORD_RUNNING, judge({200, 3, 3, 0, 0, 0, 60, 3},
				   {900, 1, 0, 0, 0, 0, 0, 0}, 13000));
	EXPECT_FALSE(vd_is_load_trial(12000, 24000));
	EXPECT_TRUE(vd_is_load_trial(12500, 24000));
}

/* The longest possible trials together stay below the permitted exposure. */
TEST(Verdict, TrialsKeepTheExposure)
{
	for (uint32_t most : {50u, 120u, 150u, 300u}) {
		uint32_t exposed = 0;

		for (int64_t ms = 0; ms < 10000; ms++) {
			struct vd_input in = {};

			in.state = ORD_RUNNING;
			in.elapsed_ms = ms;
			in.duration_ms = 10000;
			in.fresh.answers = 30;
			in.has_servers = true;
			if (vd_next(&in) != ORD_RUNNING)
				break;
			exposed += vd_trial_permille(
			    most, vd_is_load_trial(ms, 10000));
		}
		EXPECT_LT(exposed / 10000, most * 8 / 10);
		EXPECT_GT(exposed / 10000, most * 7 / 10);
	}
}

TEST(Verdict, ChanceAloneIsNoReason)
{
	EXPECT_EQ(ORD_RUNNING,
	    judge({20, 3, 0, 0, 0, 0, 0, 0}, {100, 1, 0, 0, 0, 0, 0, 0}, 3000));
	/* One stream that had to wait beside long prompts. */
	EXPECT_EQ(ORD_RUNNING, judge({30, 0, 0, 3, 900, 60, 0, 0},
				   {300, 1, 0, 9, 9000, 90, 0, 0}, 3000));
	/* A service that often fails with its old version too. */
	EXPECT_EQ(ORD_RUNNING, judge({40, 8, 0, 0, 0, 0, 0, 0},
				   {400, 56, 0, 0, 0, 0, 0, 0}, 3000));
}

TEST(Loads, SumsLeaveOutTheOneThatAsks)
{
	struct ld *reports = ld_new(alloc_default(), 1000000);
	struct ld_load a[] = {{1, 100, 2}, {2, 50, 1}}, b[] = {{1, 30, 1}};
	struct ld_load out[8];

	ld_report(reports, 10, a, 2, 0);
	ld_report(reports, 11, b, 1, 0);
	ASSERT_EQ(2u, ld_sum(reports, 0, 500000, out, 8));
	EXPECT_EQ(130u, out[0].pending_ms);
	EXPECT_EQ(3u, out[0].running);
	ASSERT_EQ(1u, ld_sum(reports, 10, 500000, out, 8));
	EXPECT_EQ(30u, out[0].pending_ms);
	EXPECT_EQ(0u, ld_sum(reports, 0, 2000000, out, 8));
	ld_free(reports);
}

TEST(Pace, FollowsFastSamplesAndDoubtsSlowOnes)
{
	struct pc rate = {};

	EXPECT_GT(pc_work_ms(&rate, 1000), 0);
	for (int i = 0; i < 50; i++)
		pc_sample(&rate, 10000, 30000 + 100000);
	double learned = pc_work_ms(&rate, 10000);
	EXPECT_NEAR(100, learned, 1);
	pc_sample(&rate, 10000, 5000000);
	EXPECT_LT(pc_work_ms(&rate, 10000), 4 * learned);
	pc_sample(&rate, 10, 5000000);
	EXPECT_GT(pc_work_ms(&rate, 50000), 5 * pc_work_ms(&rate, 10000) * 0.9);
}

TEST(Evidence, OneBadRouteIsSeenAmongGoodOnes)
{
	struct ev *table = ev_new(alloc_default());
	struct ev_summary sum;
	struct ev_row *row;

	for (uint64_t instance = 0; instance < 4; instance++) {
		for (const char *r : {"a", "b", "c"}) {
			row = ev_row(table, instance, "s", "v2", r);
			row->fresh = {20, 0, 0, 0, 0, 0, 0, 0};
			row->known = {200, 2, 0, 0, 0, 0, 0, 0};
		}
		row = ev_row(table, instance, "s", "v2", "d");
		row->fresh = {2, 1, 0, 0, 0, 0, 0, 0};
		row->known = {20, 0, 0, 0, 0, 0, 0, 0};
	}
	ev_sum_up(table, "s", "v2", TI_LOADS, &sum);
	EXPECT_TRUE(sum.is_worse);
	EXPECT_FALSE(sum.is_slower);
	EXPECT_STREQ("d", sum.route);
	EXPECT_EQ(248u, sum.fresh.answers);
	ev_sum_up(table, "s", "v3", TI_LOADS, &sum);
	EXPECT_FALSE(sum.is_worse);
	ev_drop(table, "s", "v2");
	EXPECT_EQ(0u, ev_count(table));
	ev_free(table);
}

/* Each instance alone has too few answers to compare the times. */
TEST(Evidence, ASlowVersionIsSeenByItsTimes)
{
	struct ev *table = ev_new(alloc_default());
	struct ev_summary sum;

	for (uint64_t instance = 0; instance < 7; instance++) {
		struct ev_row *row = ev_row(table, instance, "s", "v2", "a");

		row->fresh = {4, 0, 0, 0, 0, 0, 0, 0};
		row->known = {24, 0, 0, 0, 0, 0, 0, 0};
		for (int i = 0; i < 24; i++)
			ti_add(&row->known_times, 0, 15 + i % 5);
		for (int i = 0; i < 4; i++)
			ti_add(&row->fresh_times, 0, (i % 2 ? 45 : 15) + i);
	}
	ev_sum_up(table, "s", "v2", TI_LOADS, &sum);
	EXPECT_TRUE(sum.is_worse);
	EXPECT_TRUE(sum.is_slower);
	EXPECT_STREQ("a", sum.route);
	EXPECT_EQ(28u, sum.fresh_timed);
	EXPECT_EQ(168u, sum.known_timed);
	ev_free(table);
}

/*
 * One server that refuses connections does not make its data centre count as
 * down; two such servers, or one that does not respond, do.
 */
TEST(Centres, SeveralServersOrASilentOneMakeADoubt)
{
	struct centre_table centres = {};

	centres_record_failure(&centres, "a", 1, false, 1000);
	centres_record_failure(&centres, "a", 1, false, 2000);
	EXPECT_FALSE(centres_is_down(&centres, "a", 2000));
	centres_record_failure(&centres, "a", 2, false, 3000);
	EXPECT_TRUE(centres_is_down(&centres, "a", 3000));
	EXPECT_FALSE(centres_is_down(&centres, "a", 3000 + CENTRES_DOWN_US));
	centres_record_answer(&centres, "a");
	EXPECT_FALSE(centres_is_down(&centres, "a", 3000));
	centres_record_failure(&centres, "b", 3, true, 4000);
	EXPECT_TRUE(centres_is_down(&centres, "b", 4000));
	EXPECT_FALSE(centres_is_down(&centres, "a", 4000));
	centres_record_failure(&centres, "c", 4, false, 5000);
	centres_record_failure(
	    &centres, "c", 5, false, 5001 + CENTRES_FAILURE_WINDOW_US);
	EXPECT_FALSE(
	    centres_is_down(&centres, "c", 5001 + CENTRES_FAILURE_WINDOW_US));
}
