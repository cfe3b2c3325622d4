#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

extern "C" {
#include "base/rng.h"
#include "gateway/notes.h"
#include "route/suspects.h"
}

namespace
{

enum {
	REFUSED = 3, /* crashes from which a request is refused */
	MS = 1000,
	S = 1000000
};

/*
 * An instance with its suspects and its crash notes.  Its own findings become
 * notes; hear() takes over the notes of another instance.
 */
struct instance {
	struct suspect_table *suspects;
	struct gw_notes *notes;
	int64_t now_us = S;

	instance()
	{
		struct suspects_options options = {
		    alloc_default(), proved, this};

		suspects = suspects_new(&options);
		notes = gw_notes_new(alloc_default());
	}
	~instance()
	{
		suspects_free(suspects);
		gw_notes_free(notes);
	}
	instance(const instance &) = delete;
	instance &operator=(const instance &) = delete;

	void apply_note(const struct gw_note *note)
	{
		if (gw_notes_add(notes, note, now_us))
			suspects_apply_finding(suspects, note->key, note->part,
			    (enum suspects_finding)note->value, note->at_us);
	}
	static void proved(void *ctx, uint64_t fingerprint, uint64_t life,
	    enum suspects_finding state)
	{
		auto *i = (instance *)ctx;
		struct gw_note note = {
		    GW_NOTE_CRASH, fingerprint, life, state, i->now_us, 0, 0};

		i->apply_note(&note);
	}

	void add_broken_run(
	    uint64_t life, uint64_t fingerprint, bool closed = true)
	{
		/* Two lives of a server share its address but not its name. */
		struct suspects_life l = {life, life, life / 100};

		suspects_add_broken_run(
		    suspects, &l, fingerprint, closed, now_us);
	}
	void crash(uint64_t life, std::vector<uint64_t> fingerprints)
	{
		for (uint64_t f : fingerprints)
			add_broken_run(life, f);
		suspects_life_ended(suspects, life, now_us);
	}
	struct suspects_summary lookup(uint64_t fingerprint)
	{
		struct suspects_summary record;

		suspects_lookup(suspects, fingerprint, now_us, &record);
		return record;
	}
	int crashes(uint64_t fingerprint)
	{
		return lookup(fingerprint).crashes;
	}
	int pending(uint64_t fingerprint)
	{
		return lookup(fingerprint).pending;
	}
	void hear(const instance &other)
	{
		for (size_t i = 0; i < gw_notes_count(other.notes); i++)
			apply_note(gw_notes_at(other.notes, i));
	}
};

} // namespace

TEST(Suspects, AreMarkedOnceTheirServerRefusesConnections)
{
	instance a;

	a.add_broken_run(300, 7);
	a.add_broken_run(300, 8);
	a.add_broken_run(400, 9);
	EXPECT_EQ(0, a.crashes(7));
	EXPECT_EQ(1, a.pending(7));
	suspects_life_ended(a.suspects, 300, a.now_us);
	EXPECT_EQ(1, a.crashes(7));
	EXPECT_EQ(0, a.pending(7));
	EXPECT_EQ(1, a.crashes(8));
	EXPECT_EQ(0, a.crashes(9));
	/*
	 * The same end, seen again or reported for a run that is recorded later
	 */
	suspects_life_ended(a.suspects, 300, a.now_us);
	EXPECT_EQ(1, a.crashes(7));
	a.add_broken_run(300, 10);
	EXPECT_EQ(1, a.crashes(10));
}

TEST(Suspects, AreClearedByAnAnswerToALaterRequestOnly)
{
	instance a;

	a.add_broken_run(300, 7);
	EXPECT_EQ(0u, suspects_record_answer(
			  a.suspects, 300, a.now_us - 10 * MS, a.now_us));
	EXPECT_EQ(1, a.pending(7));
	EXPECT_EQ(1u, suspects_record_answer(
			  a.suspects, 300, a.now_us + 1, a.now_us + 5 * MS));
	EXPECT_EQ(0, a.pending(7));
	a.now_us += 10 * MS;
	suspects_life_ended(a.suspects, 300, a.now_us);
	EXPECT_EQ(0, a.crashes(7));
}

/* The server restarts at once, or it ended without closing its connections. */
TEST(Suspects, AreMarkedByALaterLifeOfTheirServer)
{
	instance a;
	struct suspects_life same_name = {301, 300, 99};
	struct suspects_life same_address = {402, 402, 4};
	struct suspects_life other = {500, 500, 5};

	a.add_broken_run(300, 7);
	a.add_broken_run(400, 7);
	a.add_broken_run(400, 8);
	suspects_record_answer(
	    a.suspects, 300, a.now_us + 1, a.now_us + 50 * MS);
	suspects_record_answer(
	    a.suspects, 400, a.now_us + 1, a.now_us + 50 * MS);
	a.add_broken_run(400, 9);
	a.now_us += 100 * MS;
	EXPECT_EQ(0u, suspects_later_life_seen(a.suspects, &other, a.now_us));
	/* The answers may have come from the new life with the same id. */
	EXPECT_EQ(
	    1u, suspects_later_life_seen(a.suspects, &same_name, a.now_us));
	EXPECT_EQ(1, a.crashes(7));
	/* A life with another id would not have answered under the old one. */
	EXPECT_EQ(
	    1u, suspects_later_life_seen(a.suspects, &same_address, a.now_us));
	EXPECT_EQ(0, a.crashes(8));
	EXPECT_EQ(1, a.crashes(9));
}

/*
 * A run that only fell silent, as at a server that is busy for long, is no
 * reason to refuse the request.
 */
TEST(Suspects, SilenceCountsOnlyWithProof)
{
	instance a;
	struct suspects_life next = {301, 301, 3};

	for (uint64_t life : {300, 400, 500})
		a.add_broken_run(life, 7, false);
	EXPECT_EQ(0, a.pending(7));
	EXPECT_EQ(1u, suspects_later_life_seen(a.suspects, &next, a.now_us));
	EXPECT_EQ(1, a.crashes(7));
}

TEST(Suspects, AreForgottenWithoutProof)
{
	instance a;

	a.add_broken_run(300, 7);
	a.now_us += SUSPECTS_RUN_TTL_US;
	EXPECT_EQ(0, a.pending(7));
	suspects_life_ended(a.suspects, 300, a.now_us);
	EXPECT_EQ(0, a.crashes(7));
}

/* Connections were refused, but the server was alive the whole time. */
TEST(Suspects, MarksOfALifeThatGoesOnAreTakenBack)
{
	instance a, b;

	a.crash(300, {7, 8});
	b.hear(a);
	EXPECT_EQ(1, b.crashes(7));
	a.now_us += 8 * S;
	suspects_record_answer(a.suspects, 300, a.now_us - MS, a.now_us);
	EXPECT_EQ(0, a.crashes(7));
	b.hear(a);
	EXPECT_EQ(0, b.crashes(7));
	EXPECT_EQ(0, b.crashes(8));
}

/*
 * One crash seen by several instances counts once; two crashes seen by two
 * instances at the same time count as two.
 */
TEST(Suspects, CrashesAreCountedByTheLivesThatEnded)
{
	instance a, b, c;

	a.crash(300, {7});
	b.crash(300, {7});
	c.crash(400, {7});
	for (const instance *from : {&a, &b, &c})
		for (instance *to : {&a, &b, &c})
			to->hear(*from);
	EXPECT_EQ(2, a.crashes(7));
	EXPECT_EQ(2, b.crashes(7));
	EXPECT_EQ(2, c.crashes(7));
}

TEST(Suspects, ARunThatEndsWellTakesBackWhatWasBefore)
{
	instance a, b;

	a.crash(300, {7});
	a.crash(400, {7});
	a.add_broken_run(500, 7);
	b.hear(a);
	suspects_acquit(b.suspects, 7, b.now_us);
	suspects_acquit(a.suspects, 7, a.now_us);
	a.hear(b);
	b.hear(a);
	EXPECT_EQ(0, a.crashes(7) + a.pending(7));
	EXPECT_EQ(0, b.crashes(7));
	/* A completed run does not clear crashes that come later. */
	a.crash(600, {7});
	EXPECT_EQ(1, a.crashes(7));
}

TEST(Suspects, AMarkHasRoomForCrashesAfterManyThatWereTakenBack)
{
	instance a;

	for (uint64_t life = 100; life <= 2000; life += 100) {
		a.crash(life, {7});
		suspects_acquit(a.suspects, 7, a.now_us);
	}
	for (uint64_t life = 3000; life <= 3200; life += 100)
		a.crash(life, {7});
	EXPECT_EQ(REFUSED, a.crashes(7));
}

TEST(Suspects, MarksLastForTheirTimeAfterTheLastCrash)
{
	instance a;

	a.crash(300, {7});
	a.now_us += SUSPECTS_MARK_TTL_US / 2;
	a.crash(400, {7});
	a.now_us += SUSPECTS_MARK_TTL_US - 1;
	EXPECT_EQ(2, a.crashes(7));
	EXPECT_EQ(1u, suspects_mark_count(a.suspects, 2, a.now_us));
	a.now_us += 1;
	EXPECT_EQ(0, a.crashes(7));
	EXPECT_EQ(0u, suspects_mark_count(a.suspects, 1, a.now_us));
}

/*
 * More requests than one server has slots are all broken off by the crashing
 * one.
 */
TEST(Suspects, TheCauseIsMarkedAmongManyThatBrokeWithIt)
{
	instance a;
	std::vector<uint64_t> aboard;

	for (int server = 1; server <= 4; server++) {
		aboard.clear();
		for (uint64_t i = 0; i < 400; i++)
			aboard.push_back((uint64_t)server * 1000 + i);
		aboard.insert(aboard.begin(), 7);
		/* Happens to run beside the cause at three of four servers. */
		if (server != 2)
			aboard.push_back(8);
		a.crash((uint64_t)server * 100, aboard);
		a.now_us += S;
	}
	EXPECT_EQ(4, a.crashes(7));
	EXPECT_LT(a.crashes(8), REFUSED);
	EXPECT_EQ(0u, suspects_dropped_count(a.suspects));
}

TEST(Suspects, NoTableOverflowsInSilence)
{
	instance a;

	for (uint64_t i = 0; i < SUSPECTS_RUNS_MAX + 5; i++)
		a.add_broken_run(300, 1000 + i);
	EXPECT_EQ(5u, suspects_dropped_count(a.suspects));
	suspects_life_ended(a.suspects, 300, a.now_us);
	EXPECT_EQ((uint32_t)SUSPECTS_RUNS_MAX,
	    suspects_mark_count(a.suspects, 1, a.now_us));
	for (uint64_t i = 0; i < SUSPECTS_MARKS_MAX; i++)
		suspects_apply_finding(
		    a.suspects, 1 << 20 | i, 400, SUSPECTS_CRASHED, a.now_us);
	EXPECT_EQ((uint32_t)SUSPECTS_MARKS_MAX,
	    suspects_mark_count(a.suspects, 1, a.now_us));
	EXPECT_EQ(0, a.crashes(1005));
	for (uint64_t life = 1; life < 50; life++)
		suspects_apply_finding(
		    a.suspects, 7, life, SUSPECTS_CRASHED, a.now_us);
	EXPECT_EQ(SUSPECTS_LIVES_MAX, a.crashes(7));
}

/*
 * Random crashes under requests at several instances, exchanged in any order
 * and repeatedly.  In the end every instance must count the lives that ended
 * since the request last completed.
 */
RC_GTEST_PROP(Suspects, InstancesAgreeOnTheNumberOfCrashes, ())
{
	instance i[3];
	std::map<uint64_t, std::set<uint64_t>> model;
	std::map<uint64_t, int> used; /* a mark holds no more lives than this */
	struct rng rng;
	uint64_t life = 100;

	rng_init(&rng, *rc::gen::arbitrary<uint64_t>());
	for (int step = 0; step < 25; step++) {
		uint64_t f = 1 + rng_below(&rng, 4);
		uint32_t at = rng_below(&rng, 3);

		for (instance &each : i)
			each.now_us += 10 * MS;
		if (rng_below(&rng, 6) == 0) {
			for (instance &from : i)
				i[at].hear(from);
			suspects_acquit(i[at].suspects, f, i[at].now_us);
			model[f].clear();
		} else if (used[f] < SUSPECTS_LIVES_MAX) {
			used[f]++;
			life += 100;
			i[at].crash(life, {f});
			if (rng_below(&rng, 2) == 0)
				i[(at + 1) % 3].crash(life, {f});
			model[f].insert(life);
		}
		i[rng_below(&rng, 3)].hear(i[rng_below(&rng, 3)]);
	}
	for (int round = 0; round < 2; round++)
		for (instance &to : i)
			for (instance &from : i)
				to.hear(from);
	for (const auto &m : model)
		for (instance &each : i)
			RC_ASSERT(
			    (size_t)each.crashes(m.first) == m.second.size());
}
