#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <vector>

extern "C" {
#include "gateway/known.h"
}

namespace
{

/* What the callback was told last, as the replica and the follower take it. */
struct listener {
	struct kn *kn;
	std::vector<uint32_t> list;
};

void
take(void *ctx)
{
	auto *listener = static_cast<struct listener *>(ctx);
	uint32_t list[KN_MAX];
	uint32_t count = kn_list(listener->kn, list, KN_MAX);

	listener->list.assign(list, list + count);
}

std::vector<uint32_t>
listed(const struct kn &kn)
{
	uint32_t list[KN_MAX];
	uint32_t count = kn_list(&kn, list, KN_MAX);

	return {list, list + count};
}

} // namespace

/*
 * An instance without its seeds' knowledge of the leader learns of it by being
 * spoken to; its replica has to introduce itself there.
 */
TEST(Known, TellsOfAnInstanceThatSpeaksFirst)
{
	struct kn kn = {};
	struct listener listener = {&kn, {}};
	const uint32_t seeds[] = {2, 3};

	kn.self = 1;
	kn.changed = take;
	kn.ctx = &listener;
	kn_set_seeds(&kn, seeds, 2);
	EXPECT_EQ(listener.list, (std::vector<uint32_t>{2, 3}));
	ASSERT_NE(kn_heard(&kn, 4, false, 1000), nullptr);
	EXPECT_EQ(listener.list, (std::vector<uint32_t>{2, 3, 4}));
}

TEST(Known, PrefersANearInstanceHeardLately)
{
	struct kn kn = {};

	kn.self = 1;
	EXPECT_EQ(kn_nearest(&kn, 0), 0u);
	EXPECT_FALSE(kn_anybody_heard(&kn));
	kn_heard(&kn, 2, false, 1000);
	kn_heard(&kn, 9, true, 1000);
	EXPECT_EQ(kn_nearest(&kn, 2000), 9u);
	kn_heard(&kn, 2, false, 1000 + KN_ALIVE_US);
	EXPECT_EQ(kn_nearest(&kn, 1001 + KN_ALIVE_US), 2u);
	EXPECT_TRUE(kn_anybody_heard(&kn));
}

TEST(Known, KeepsSeedsAndForgetsTheRest)
{
	struct kn kn = {};
	const uint32_t first[] = {2}, second[] = {3};

	kn.self = 1;
	kn_set_seeds(&kn, first, 1);
	kn_heard(&kn, 4, false, 5);
	kn_set_seeds(&kn, second, 1);
	kn_forget_silent(&kn, 5 + KN_FORGET_US);
	EXPECT_EQ(listed(kn), (std::vector<uint32_t>{3}));
}

/* Whatever happens, the callback has told what the list holds. */
RC_GTEST_PROP(Known, TheListenerIsNeverBehind, ())
{
	struct kn kn = {};
	struct listener listener = {&kn, {}};
	int64_t now_us = 1;

	kn.self = 1;
	kn.changed = take;
	kn.ctx = &listener;
	for (int i = 0; i < 200; i++) {
		uint32_t instance = *rc::gen::inRange<uint32_t>(0, 90);

		now_us += *rc::gen::inRange<int64_t>(0, KN_FORGET_US / 8);
		switch (*rc::gen::inRange(0, 4)) {
		case 0:
			kn_get(&kn, instance);
			break;
		case 1:
			kn_heard(&kn, instance, instance % 2 == 0, now_us);
			break;
		case 2:
			kn_set_seeds(&kn, &instance, 1);
			break;
		default:
			kn_forget_silent(&kn, now_us);
		}
		RC_ASSERT(listener.list == listed(kn));
		RC_ASSERT(kn.count <= KN_MAX);
		RC_ASSERT(kn_get(&kn, 0) == nullptr);
	}
}

/* Each instance listens to a few of those alive, and to all when few are. */
RC_GTEST_PROP(Known, SubscribesToAFewOfThoseAlive, ())
{
	struct kn kn = {};
	uint32_t count = *rc::gen::inRange<uint32_t>(1, 20);
	uint32_t subscribed = 0;

	kn.self = *rc::gen::inRange<uint32_t>(100, 200);
	for (uint32_t i = 1; i <= count; i++)
		kn_heard(&kn, i, false, 1000);
	for (uint32_t i = 1; i <= count; i++)
		subscribed += kn_is_subscribed(&kn, i, 2000);
	RC_ASSERT(subscribed ==
		  (count < KN_SUBSCRIBED ? count : (uint32_t)KN_SUBSCRIBED));
}
