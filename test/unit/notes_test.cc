#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

extern "C" {
#include "gateway/notes.h"
}

/* A session that was held in one roll-out has to be held anew in the next. */
TEST(Notes, AHigherValueIsNewsAndALowerOneIsNot)
{
	struct nt *nt = nt_new(alloc_default());

	EXPECT_TRUE(nt_take(nt, NT_HELD, 7, 12, 1000));
	EXPECT_FALSE(nt_take(nt, NT_HELD, 7, 12, 2000));
	EXPECT_TRUE(nt_take(nt, NT_HELD, 7, 40, 3000));
	EXPECT_FALSE(nt_take(nt, NT_HELD, 7, 12, 4000));
	EXPECT_TRUE(nt_take(nt, NT_CRASH, 7, 1, 5000));
	ASSERT_EQ(2u, nt_count(nt));
	EXPECT_EQ(40u, nt_at(nt, 0)->value);
	EXPECT_EQ(3000, nt_at(nt, 0)->at_us);
	nt_forget(nt, 3000 + NT_KEPT_US);
	ASSERT_EQ(1u, nt_count(nt));
	EXPECT_EQ(NT_CRASH, nt_at(nt, 0)->kind);
	EXPECT_TRUE(nt_take(nt, NT_HELD, 7, 12, 3000 + NT_KEPT_US));
	nt_free(nt);
}

TEST(Notes, WhatFindsNoRoomIsCounted)
{
	struct nt *nt = nt_new(alloc_default());

	for (uint64_t key = 0; key < NT_MAX + 3; key++)
		EXPECT_EQ(key < NT_MAX, nt_take(nt, NT_HELD, key, 1, 1000));
	EXPECT_EQ(3u, nt_dropped(nt));
	EXPECT_TRUE(nt_take(nt, NT_HELD, 5, 2, 1000));
	nt_free(nt);
}

/* Against a map: the highest value of each key that is not too old. */
RC_GTEST_PROP(Notes, AreThoseOfAMap, ())
{
	struct nt *nt = nt_new(alloc_default());
	std::map<std::pair<int, uint64_t>, std::pair<uint32_t, int64_t>> model;
	int64_t now_us = 0;

	for (int i = 0; i < 300; i++) {
		int kind = *rc::gen::inRange(1, 3);
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
		RC_ASSERT(nt_take(nt, (enum nt_kind)kind, key, value, now_us) ==
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
