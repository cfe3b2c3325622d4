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
	REFUSED = 3, /* crashes from which on a request is refused */
	MS = 1000,
	S = 1000000
};

/* An instance with its notes; what it proves or hears is told by hear(). */
struct instance {
	struct su *su;
	struct nt *notes;
	int64_t now_us = S;

	instance()
	{
		struct su_options options = {alloc_default(), proved, this};

		su = su_new(&options);
		notes = nt_new(alloc_default());
	}
	~instance()
	{
		su_free(su);
		nt_free(notes);
	}
	instance(const instance &) = delete;
	instance &operator=(const instance &) = delete;

	void take(const struct nt_note *note)
	{
		if (nt_take(notes, note, now_us))
			su_take(su, note->key, note->part,
			    (enum su_state)note->value, note->at_us);
	}
	static void proved(
	    void *ctx, uint64_t fingerprint, uint64_t life, enum su_state state)
	{
		auto *i = (instance *)ctx;
		struct nt_note note = {
		    NT_CRASH, fingerprint, life, state, i->now_us, 0};

		i->take(&note);
	}

	void broken(uint64_t life, uint64_t fingerprint, bool closed = true)
	{
		/* Two lives of a server share its address, not its name. */
		struct su_life l = {life, life, life / 100};

		su_broken(su, &l, fingerprint, closed, now_us);
	}
	void crash(uint64_t life, std::vector<uint64_t> fingerprints)
	{
		for (uint64_t f : fingerprints)
			broken(life, f);
		su_ended(su, life, now_us);
	}
	struct su_record look(uint64_t fingerprint)
	{
		struct su_record record;

		su_look(su, fingerprint, now_us, &record);
		return record;
	}
	int crashes(uint64_t fingerprint)
	{
		return look(fingerprint).crashes;
	}
	int pending(uint64_t fingerprint)
	{
		return look(fingerprint).pending;
	}
	void hear(const instance &other)
	{
		for (size_t i = 0; i < nt_count(other.notes); i++)
			take(nt_at(other.notes, i));
	}
};

} // namespace

TEST(Suspects, AreMarkedOnceTheirServerRefusesConnections)
{
	instance a;

	a.broken(300, 7);
	a.broken(300, 8);
	a.broken(400, 9);
	EXPECT_EQ(0, a.crashes(7));
	EXPECT_EQ(1, a.pending(7));
	su_ended(a.su, 300, a.now_us);
	EXPECT_EQ(1, a.crashes(7));
	EXPECT_EQ(0, a.pending(7));
	EXPECT_EQ(1, a.crashes(8));
	EXPECT_EQ(0, a.crashes(9));
	/* The same end, seen once more, or of a run that is heard of later. */
	su_ended(a.su, 300, a.now_us);
	EXPECT_EQ(1, a.crashes(7));
	a.broken(300, 10);
	EXPECT_EQ(1, a.crashes(10));
}

TEST(Suspects, AreClearedByAnAnswerToALaterRequestOnly)
{
	instance a;

	a.broken(300, 7);
	EXPECT_EQ(0u, su_answered(a.su, 300, a.now_us - 10 * MS, a.now_us));
	EXPECT_EQ(1, a.pending(7));
	EXPECT_EQ(1u, su_answered(a.su, 300, a.now_us + 1, a.now_us + 5 * MS));
	EXPECT_EQ(0, a.pending(7));
	a.now_us += 10 * MS;
	su_ended(a.su, 300, a.now_us);
	EXPECT_EQ(0, a.crashes(7));
}

/* A server that is back at once, or that ended without a word. */
TEST(Suspects, AreMarkedByALaterLifeOfTheirServer)
{
	instance a;
	struct su_life same_name = {301, 300, 99};
	struct su_life same_address = {402, 402, 4};
	struct su_life other = {500, 500, 5};

	a.broken(300, 7);
	a.broken(400, 7);
	a.broken(400, 8);
	su_answered(a.su, 300, a.now_us + 1, a.now_us + 50 * MS);
	su_answered(a.su, 400, a.now_us + 1, a.now_us + 50 * MS);
	a.broken(400, 9);
	a.now_us += 100 * MS;
	EXPECT_EQ(0u, su_succeeded(a.su, &other, a.now_us));
	/* The answers may have been those of the new life under the old id. */
	EXPECT_EQ(1u, su_succeeded(a.su, &same_name, a.now_us));
	EXPECT_EQ(1, a.crashes(7));
	/* One with an id of its own would not have answered to the other. */
	EXPECT_EQ(1u, su_succeeded(a.su, &same_address, a.now_us));
	EXPECT_EQ(0, a.crashes(8));
	EXPECT_EQ(1, a.crashes(9));
}

/* Requests at servers that are busy for long are no reason to refuse them. */
TEST(Suspects, SilenceCountsOnlyWithProof)
{
	instance a;
	struct su_life next = {301, 301, 3};

	for (uint64_t life : {300, 400, 500})
		a.broken(life, 7, false);
	EXPECT_EQ(0, a.pending(7));
	EXPECT_EQ(1u, su_succeeded(a.su, &next, a.now_us));
	EXPECT_EQ(1, a.crashes(7));
}

TEST(Suspects, AreForgottenWithoutProof)
{
	instance a;

	a.broken(300, 7);
	a.now_us += SU_SUSPECT_US;
	EXPECT_EQ(0, a.pending(7));
	su_ended(a.su, 300, a.now_us);
	EXPECT_EQ(0, a.crashes(7));
}

/* Connections that were refused by a server that was there all the time. */
TEST(Suspects, MarksOfALifeThatGoesOnAreTakenBack)
{
	instance a, b;

	a.crash(300, {7, 8});
	b.hear(a);
	EXPECT_EQ(1, b.crashes(7));
	a.now_us += 8 * S;
	su_answered(a.su, 300, a.now_us - MS, a.now_us);
	EXPECT_EQ(0, a.crashes(7));
	b.hear(a);
	EXPECT_EQ(0, b.crashes(7));
	EXPECT_EQ(0, b.crashes(8));
}

/* One crash that many see is one; two that two see at once are two. */
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
	a.broken(500, 7);
	b.hear(a);
	su_ran_well(b.su, 7, b.now_us);
	su_ran_well(a.su, 7, a.now_us);
	a.hear(b);
	b.hear(a);
	EXPECT_EQ(0, a.crashes(7) + a.pending(7));
	EXPECT_EQ(0, b.crashes(7));
	/* It does not vouch for what comes later. */
	a.crash(600, {7});
	EXPECT_EQ(1, a.crashes(7));
}

TEST(Suspects, AMarkHasRoomForCrashesAfterManyThatWereTakenBack)
{
	instance a;

	for (uint64_t life = 100; life <= 2000; life += 100) {
		a.crash(life, {7});
		su_ran_well(a.su, 7, a.now_us);
	}
	for (uint64_t life = 3000; life <= 3200; life += 100)
		a.crash(life, {7});
	EXPECT_EQ(REFUSED, a.crashes(7));
}

TEST(Suspects, MarksLastForTheirTimeAfterTheLastCrash)
{
	instance a;

	a.crash(300, {7});
	a.now_us += SU_MARK_US / 2;
	a.crash(400, {7});
	a.now_us += SU_MARK_US - 1;
	EXPECT_EQ(2, a.crashes(7));
	EXPECT_EQ(1u, su_marks(a.su, 2, a.now_us));
	a.now_us += 1;
	EXPECT_EQ(0, a.crashes(7));
	EXPECT_EQ(0u, su_marks(a.su, 1, a.now_us));
}

/* More requests than one server has slots, all of them broken off by one. */
TEST(Suspects, TheCauseIsMarkedAmongManyThatBrokeWithIt)
{
	instance a;
	std::vector<uint64_t> aboard;

	for (int server = 1; server <= 4; server++) {
		aboard.clear();
		for (uint64_t i = 0; i < 400; i++)
			aboard.push_back((uint64_t)server * 1000 + i);
		aboard.insert(aboard.begin(), 7);
		/* Unlucky: beside it at three of the four. */
		if (server != 2)
			aboard.push_back(8);
		a.crash((uint64_t)server * 100, aboard);
		a.now_us += S;
	}
	EXPECT_EQ(4, a.crashes(7));
	EXPECT_LT(a.crashes(8), REFUSED);
	EXPECT_EQ(0u, su_dropped(a.su));
}

TEST(Suspects, NoTableOverflowsInSilence)
{
	instance a;

	for (uint64_t i = 0; i < SUSPECTS_RUNS_MAX + 5; i++)
		a.broken(300, 1000 + i);
	EXPECT_EQ(5u, su_dropped(a.su));
	su_ended(a.su, 300, a.now_us);
	EXPECT_EQ((uint32_t)SUSPECTS_RUNS_MAX, su_marks(a.su, 1, a.now_us));
	for (uint64_t i = 0; i < SUSPECTS_MARKS_MAX; i++)
		su_take(a.su, 1 << 20 | i, 400, SUSPECTS_CRASHED, a.now_us);
	EXPECT_EQ((uint32_t)SUSPECTS_MARKS_MAX, su_marks(a.su, 1, a.now_us));
	EXPECT_EQ(0, a.crashes(1005));
	for (uint64_t life = 1; life < 50; life++)
		su_take(a.su, 7, life, SUSPECTS_CRASHED, a.now_us);
	EXPECT_EQ(SUSPECTS_LIVES_MAX, a.crashes(7));
}

/*
 * Random crashes under requests at several instances, told in any order and
 * more than once: what is known in the end is the number of lives that ended
 * since a request ran well, at every instance.
 */
RC_GTEST_PROP(Suspects, InstancesAgreeOnTheNumberOfCrashes, ())
{
	instance i[3];
	std::map<uint64_t, std::set<uint64_t>> model;
	std::map<uint64_t, int> used; /* a mark holds no more */
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
			su_ran_well(i[at].su, f, i[at].now_us);
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
