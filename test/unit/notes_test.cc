#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

extern "C" {
#include "base/rng.h"
#include "gateway/notes.h"
#include "gateway/report.h"
}

static struct gw_note
note(int kind, uint64_t key, uint32_t value, int64_t at_us, uint64_t part = 0)
{
	struct gw_note note = {};

	note.kind = (enum gw_note_kind)kind;
	note.key = key;
	note.part = part;
	note.value = value;
	note.at_us = at_us;
	return note;
}

static bool
add_note(struct gw_notes *table, int kind, uint64_t key, uint32_t value,
    int64_t at_us, uint64_t part = 0)
{
	struct gw_note n = note(kind, key, value, at_us, part);

	return gw_notes_add(table, &n, at_us);
}

/*
 * Guards against a session that was held in one roll-out and then can't be
 * held in the next: the later roll-out's higher number has to count as new.
 */
TEST(Notes, AHigherValueIsNewsAndALowerOneIsNot)
{
	struct gw_notes *table = gw_notes_new(alloc_default());

	EXPECT_TRUE(add_note(table, GW_NOTE_SESSION_HELD, 7, 12, 1000));
	EXPECT_FALSE(add_note(table, GW_NOTE_SESSION_HELD, 7, 12, 2000));
	EXPECT_TRUE(add_note(table, GW_NOTE_SESSION_HELD, 7, 40, 3000));
	EXPECT_FALSE(add_note(table, GW_NOTE_SESSION_HELD, 7, 12, 4000));
	EXPECT_TRUE(add_note(table, GW_NOTE_CRASH, 7, 1, 5000));
	ASSERT_EQ(2u, gw_notes_count(table));
	EXPECT_EQ(40u, gw_notes_at(table, 0)->value);
	EXPECT_EQ(3000, gw_notes_at(table, 0)->at_us);
	gw_notes_remove_expired(table, 3000 + GW_NOTES_KEEP_US);
	ASSERT_EQ(1u, gw_notes_count(table));
	EXPECT_EQ(GW_NOTE_CRASH, gw_notes_at(table, 0)->kind);
	EXPECT_TRUE(add_note(
	    table, GW_NOTE_SESSION_HELD, 7, 12, 3000 + GW_NOTES_KEEP_US));
	gw_notes_free(table);
}

TEST(Notes, WhatFindsNoRoomIsCounted)
{
	struct gw_notes *table = gw_notes_new(alloc_default());

	for (uint64_t key = 0; key < GW_NOTES_HELD_MAX + 3; key++)
		EXPECT_EQ(key < GW_NOTES_HELD_MAX,
		    add_note(table, GW_NOTE_SESSION_HELD, key, 1, 1000));
	EXPECT_EQ(3u, gw_notes_dropped(table));
	EXPECT_TRUE(add_note(table, GW_NOTE_SESSION_HELD, 5, 2, 1000));
	/*
	 * Session notes have a limit of their own, which leaves room for
	 * others.
	 */
	for (uint64_t key = 0; key < GW_NOTES_MAX - GW_NOTES_HELD_MAX + 3;
	     key++)
		EXPECT_EQ(key < GW_NOTES_MAX - GW_NOTES_HELD_MAX,
		    add_note(table, GW_NOTE_CRASH, key, 1, 1000));
	EXPECT_EQ(6u, gw_notes_dropped(table));
	gw_notes_free(table);
}

/*
 * Compares the table with a map of the highest value of each key that has not
 * expired.
 */
RC_GTEST_PROP(Notes, AreThoseOfAMap, ())
{
	struct gw_notes *table = gw_notes_new(alloc_default());
	std::map<std::pair<int, uint64_t>, std::pair<uint32_t, int64_t>> model;
	int64_t now_us = 0;

	for (int i = 0; i < 300; i++) {
		int kind = *rc::gen::inRange(2, 4);
		uint64_t key = (uint64_t)*rc::gen::inRange(0, 40);
		uint32_t value = (uint32_t)*rc::gen::inRange(1, 6);
		auto at = model.find({kind, key});

		now_us += *rc::gen::inRange(0, 1000000);
		if (*rc::gen::inRange(0, 10) == 0) {
			gw_notes_remove_expired(table, now_us);
			for (auto m = model.begin(); m != model.end();)
				m = now_us - m->second.second >=
					    GW_NOTES_KEEP_US
					? model.erase(m)
					: std::next(m);
			continue;
		}
		RC_ASSERT(add_note(table, kind, key, value, now_us) ==
			  (at == model.end() || at->second.first < value));
		if (at == model.end() || at->second.first < value)
			model[{kind, key}] = {value, now_us};
	}
	RC_ASSERT(gw_notes_count(table) == model.size());
	for (size_t i = 0; i < gw_notes_count(table); i++) {
		const struct gw_note *n = gw_notes_at(table, i);

		RC_ASSERT(model.at({n->kind, n->key}).first == n->value);
	}
	gw_notes_free(table);
}

TEST(Notes, CrashesAreKeptAsLongAsRequestsAreMarked)
{
	struct gw_notes *table = gw_notes_new(alloc_default());

	add_note(table, GW_NOTE_CRASH, 7, 1, 1000, 3);
	add_note(table, GW_NOTE_CRASH, 7, 1, 1000, 4);
	add_note(table, GW_NOTE_SERVER_LEAVING, 7, 1, 1000);
	gw_notes_remove_expired(table, 1000 + GW_NOTES_KEEP_US);
	EXPECT_EQ(2u, gw_notes_count(table));
	gw_notes_remove_expired(table, 1000 + GW_NOTES_CRASH_KEEP_US);
	EXPECT_EQ(0u, gw_notes_count(table));
	/*
	 * An expired note is not new; otherwise it would be repeated for ever.
	 */
	struct gw_note late = note(GW_NOTE_CRASH, 7, 1, 1000, 3);
	EXPECT_FALSE(gw_notes_add(table, &late, 1000 + GW_NOTES_CRASH_KEEP_US));
	gw_notes_free(table);
}

/*
 * Instances that receive some of the notes, in any order and repeatedly, and
 * that restart in between, have the same notes soon after the last one.  Only
 * the comparison of summaries achieves that here.
 */
RC_GTEST_PROP(Notes, AreTheSameEverywhereInTheEnd, ())
{
	enum {
		INSTANCES = 5,
		CHUNK = 7
	};
	struct gw_notes *tables[INSTANCES];
	struct rng rng;
	int64_t now_us = 1000000;
	int rounds = 0;

	rng_init(&rng, *rc::gen::arbitrary<uint64_t>());
	for (auto &table : tables)
		table = gw_notes_new(alloc_default());
	for (int i = 0; i < 60; i++) {
		int at = (int)rng_below(&rng, INSTANCES);

		now_us += 100000;
		add_note(tables[at], GW_NOTE_CRASH, rng_below(&rng, 9),
		    1 + rng_below(&rng, 2), now_us, rng_below(&rng, 9));
		if (rng_below(&rng, 20) == 0) {
			gw_notes_free(tables[at]);
			tables[at] = gw_notes_new(alloc_default());
		}
	}
	now_us += GW_NOTES_REPEAT_US;
	struct gw_notes_peer peers[INSTANCES][INSTANCES] = {};
	for (bool differ = true; differ; rounds++) {
		differ = false;
		RC_ASSERT(rounds < 40);
		now_us += 1000000;
		for (int from = 0; from < INSTANCES; from++) {
			int to = (from + 1) % INSTANCES;
			struct gw_notes_summary own =
			    gw_notes_summarize(tables[from], now_us);
			struct gw_notes_summary its =
			    gw_notes_summarize(tables[to], now_us);
			struct gw_notes_peer *peer = &peers[from][to];

			gw_notes_compare(peer, &own, &its);
			differ |= peer->mismatch_rounds > 0;
			/*
			 * A table that has received new notes sends none for a
			 * while; the later time skips that wait.
			 */
			if (!gw_notes_should_send_all(tables[from], peer, 1,
				now_us + GW_NOTES_REPEAT_US))
				continue;
			for (int i = 0; i < CHUNK; i++) {
				peer->next =
				    (peer->next + 1) %
				    (uint32_t)gw_notes_count(tables[from]);
				gw_notes_add(tables[to],
				    gw_notes_at(tables[from], peer->next),
				    now_us);
			}
		}
	}
	for (auto &table : tables)
		gw_notes_free(table);
}

TEST(Notes, OneThatHasJustBegunToHearIsToldAtOnce)
{
	struct gw_notes *table = gw_notes_new(alloc_default());
	struct gw_notes_peer peer = {};
	struct gw_notes_summary own, none = {0, 0};

	add_note(table, GW_NOTE_CRASH, 7, 1, 1000, 3);
	own = gw_notes_summarize(table, 2000);
	gw_notes_compare(&peer, &own, &none);
	EXPECT_TRUE(gw_notes_should_send_all(table, &peer, 1, 2000));
	EXPECT_FALSE(gw_notes_should_send_all(table, &peer, 3, 2000));
	gw_notes_compare(&peer, &own, &own);
	EXPECT_FALSE(gw_notes_should_send_all(table, &peer, 1, 2000));
	/*
	 * A full table can't be made equal to others; otherwise all notes
	 * would be sent again and again.
	 */
	gw_notes_compare(&peer, &own, &none);
	for (uint64_t key = 0; key < GW_NOTES_HELD_MAX; key++)
		add_note(table, GW_NOTE_SESSION_HELD, key, 1, 1000);
	EXPECT_FALSE(gw_notes_should_send_all(table, &peer, 1, 9000000));
	gw_notes_free(table);
}

/*
 * A crowd of new notes must not be sent with every message: with many instances
 * that fills the links.
 */
TEST(Notes, ANewNoteIsSentOnceAndThenRepeatedAtIntervals)
{
	const uint32_t instance = 21;
	static struct gw_report report;
	struct gw_notes *notes = gw_notes_new(alloc_default());
	struct gw_notes_peer peer = {};
	struct gw_note its_own;
	int64_t now_us = 10000000, end_us = now_us + 2 * GW_NOTES_REPEAT_US;
	size_t sent = 0;

	gw_report_set_new_notes(&report, notes, &peer, instance, now_us);
	EXPECT_EQ(0u, report.note_count);
	EXPECT_TRUE(add_note(notes, GW_NOTE_CRASH, 7, 1, now_us));
	while (now_us < end_us) {
		now_us += 20000;
		gw_report_set_new_notes(
		    &report, notes, &peer, instance, now_us);
		sent += report.note_count;
		ASSERT_NE(0u, sent);
	}
	EXPECT_GE(sent, 2u);
	EXPECT_LE(sent, GW_NOTES_REPEAT_US / GW_NOTES_REPEAT_INTERVAL_US + 1u);

	/* One that the instance has told itself is not sent back to it. */
	its_own = note(GW_NOTE_CRASH, 8, 1, now_us);
	its_own.told_by = instance;
	EXPECT_TRUE(gw_notes_add(notes, &its_own, now_us));
	gw_report_set_new_notes(&report, notes, &peer, instance, now_us);
	EXPECT_EQ(0u, report.note_count);
	/* It lacks both if it restarts. */
	gw_report_set_all_notes(&report, notes, &peer, now_us);
	EXPECT_EQ(2u, report.note_count);
	gw_notes_free(notes);
}
