#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

extern "C" {
#include "base/rng.h"
#include "gateway/notes.h"
}

static struct nt_note
note(int kind, uint64_t key, uint32_t value, int64_t at_us, uint64_t part = 0)
{
	struct nt_note note = {};

	note.kind = (enum nt_kind)kind;
	note.key = key;
	note.part = part;
	note.value = value;
	note.at_us = at_us;
	return note;
}

static bool
take(struct nt *nt, int kind, uint64_t key, uint32_t value, int64_t at_us,
    uint64_t part = 0)
{
	struct nt_note n = note(kind, key, value, at_us, part);

	return nt_take(nt, &n, at_us);
}

/* A session that was held in one roll-out has to be held anew in the next. */
TEST(Notes, AHigherValueIsNewsAndALowerOneIsNot)
{
	struct nt *nt = nt_new(alloc_default());

	EXPECT_TRUE(take(nt, NT_HELD, 7, 12, 1000));
	EXPECT_FALSE(take(nt, NT_HELD, 7, 12, 2000));
	EXPECT_TRUE(take(nt, NT_HELD, 7, 40, 3000));
	EXPECT_FALSE(take(nt, NT_HELD, 7, 12, 4000));
	EXPECT_TRUE(take(nt, NT_CRASH, 7, 1, 5000));
	ASSERT_EQ(2u, nt_count(nt));
	EXPECT_EQ(40u, nt_at(nt, 0)->value);
	EXPECT_EQ(3000, nt_at(nt, 0)->at_us);
	nt_forget(nt, 3000 + NT_KEPT_US);
	ASSERT_EQ(1u, nt_count(nt));
	EXPECT_EQ(NT_CRASH, nt_at(nt, 0)->kind);
	EXPECT_TRUE(take(nt, NT_HELD, 7, 12, 3000 + NT_KEPT_US));
	nt_free(nt);
}

TEST(Notes, WhatFindsNoRoomIsCounted)
{
	struct nt *nt = nt_new(alloc_default());

	for (uint64_t key = 0; key < NT_HELD_MAX + 3; key++)
		EXPECT_EQ(key < NT_HELD_MAX, take(nt, NT_HELD, key, 1, 1000));
	EXPECT_EQ(3u, nt_dropped(nt));
	EXPECT_TRUE(take(nt, NT_HELD, 5, 2, 1000));
	/* Sessions leave room for what else has to be known. */
	for (uint64_t key = 0; key < NT_MAX - NT_HELD_MAX + 3; key++)
		EXPECT_EQ(key < NT_MAX - NT_HELD_MAX,
		    take(nt, NT_CRASH, key, 1, 1000));
	EXPECT_EQ(6u, nt_dropped(nt));
	nt_free(nt);
}

/* Against a map: the highest value of each key that is not too old. */
RC_GTEST_PROP(Notes, AreThoseOfAMap, ())
{
	struct nt *nt = nt_new(alloc_default());
	std::map<std::pair<int, uint64_t>, std::pair<uint32_t, int64_t>> model;
	int64_t now_us = 0;

	for (int i = 0; i < 300; i++) {
		int kind = *rc::gen::inRange(2, 4);
		uint64_t key = (uint64_t)*rc::gen::inRange(0, 40);
		uint32_t value = (uint32_t)*rc::gen::inRange(1, 6);
		auto at = model.find({kind, key});

		now_us += *rc::gen::inRange(0, 1000000);
		if (*rc::gen::inRange(0, 10) == 0) {
			nt_forget(nt, now_us);
			for (auto m = model.begin(); m != model.end();)
				m = now_us - m->second.second >= NT_KEPT_US
					? model.erase(m)
					: std::next(m);
			continue;
		}
		RC_ASSERT(take(nt, kind, key, value, now_us) ==
			  (at == model.end() || at->second.first < value));
		if (at == model.end() || at->second.first < value)
			model[{kind, key}] = {value, now_us};
	}
	RC_ASSERT(nt_count(nt) == model.size());
	for (size_t i = 0; i < nt_count(nt); i++) {
		const struct nt_note *n = nt_at(nt, i);

		RC_ASSERT(model.at({n->kind, n->key}).first == n->value);
	}
	nt_free(nt);
}

TEST(Notes, CrashesAreKeptAsLongAsRequestsAreMarked)
{
	struct nt *nt = nt_new(alloc_default());

	take(nt, NT_CRASH, 7, 1, 1000, 3);
	take(nt, NT_CRASH, 7, 1, 1000, 4);
	take(nt, NT_LEAVING, 7, 1, 1000);
	nt_forget(nt, 1000 + NT_KEPT_US);
	EXPECT_EQ(2u, nt_count(nt));
	nt_forget(nt, 1000 + NT_CRASH_KEPT_US);
	EXPECT_EQ(0u, nt_count(nt));
	/* One that comes late is no news that would be spread for ever. */
	struct nt_note late = note(NT_CRASH, 7, 1, 1000, 3);
	EXPECT_FALSE(nt_take(nt, &late, 1000 + NT_CRASH_KEPT_US));
	nt_free(nt);
}

/*
 * Instances that hear some of the notes, in any order and more than once, and
 * start again, have all of them soon after the last one: by their sums alone.
 */
RC_GTEST_PROP(Notes, AreTheSameEverywhereInTheEnd, ())
{
	enum {
		INSTANCES = 5,
		CHUNK = 7
	};
	struct nt *nt[INSTANCES];
	struct rng rng;
	int64_t now_us = 1000000;
	int rounds = 0;

	rng_init(&rng, *rc::gen::arbitrary<uint64_t>());
	for (auto &table : nt)
		table = nt_new(alloc_default());
	for (int i = 0; i < 60; i++) {
		int at = (int)rng_below(&rng, INSTANCES);

		now_us += 100000;
		take(nt[at], NT_CRASH, rng_below(&rng, 9),
		    1 + rng_below(&rng, 2), now_us, rng_below(&rng, 9));
		if (rng_below(&rng, 20) == 0) {
			nt_free(nt[at]);
			nt[at] = nt_new(alloc_default());
		}
	}
	now_us += NT_SPREAD_US;
	struct nt_peer peers[INSTANCES][INSTANCES] = {};
	for (bool differ = true; differ; rounds++) {
		differ = false;
		RC_ASSERT(rounds < 40);
		now_us += 1000000;
		for (int from = 0; from < INSTANCES; from++) {
			int to = (from + 1) % INSTANCES;
			struct nt_sum own = nt_sum(nt[from], now_us);
			struct nt_sum its = nt_sum(nt[to], now_us);
			struct nt_peer *peer = &peers[from][to];

			nt_compare(peer, &own, &its);
			differ |= peer->rounds > 0;
			/* Others' news makes a table unsettled for a while. */
			if (!nt_should_tell_all(
				nt[from], peer, 1, now_us + NT_SPREAD_US))
				continue;
			for (int i = 0; i < CHUNK; i++) {
				peer->next = (peer->next + 1) %
					     (uint32_t)nt_count(nt[from]);
				nt_take(nt[to], nt_at(nt[from], peer->next),
				    now_us);
			}
		}
	}
	for (auto &table : nt)
		nt_free(table);
}

TEST(Notes, OneThatHasJustBegunToHearIsToldAtOnce)
{
	struct nt *nt = nt_new(alloc_default());
	struct nt_peer peer = {};
	struct nt_sum own, none = {0, 0};

	take(nt, NT_CRASH, 7, 1, 1000, 3);
	own = nt_sum(nt, 2000);
	nt_compare(&peer, &own, &none);
	EXPECT_TRUE(nt_should_tell_all(nt, &peer, 1, 2000));
	EXPECT_FALSE(nt_should_tell_all(nt, &peer, 3, 2000));
	nt_compare(&peer, &own, &own);
	EXPECT_FALSE(nt_should_tell_all(nt, &peer, 1, 2000));
	/* What finds no room would be told again and again. */
	nt_compare(&peer, &own, &none);
	for (uint64_t key = 0; key < NT_HELD_MAX; key++)
		take(nt, NT_HELD, key, 1, 1000);
	EXPECT_FALSE(nt_should_tell_all(nt, &peer, 1, 9000000));
	nt_free(nt);
}
