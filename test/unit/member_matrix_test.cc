#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "matrix.h"
#include "member_world.h"

TEST(Member, JoinAndDeath)
{
	struct member_record records[16];
	Members w(1, 1, 8);

	w.start();
	w.step(10000);
	for (auto &n : w.nodes)
		EXPECT_EQ(
		    8u, member_copy_records(n.second.membership, records, 16));
	w.kill(105);
	int64_t began = w.net.now_us;
	while (w.saw_end(105) < 7 && w.net.now_us < began + 30000000)
		w.step(100);
	printf("a death is known everywhere after %lld ms\n",
	    (long long)(w.net.now_us - began) / 1000);
	EXPECT_EQ(7, w.saw_end(105));
	EXPECT_EQ(0, w.false_ends({105}));
	w.start_node(105);
	w.step(8000);
	EXPECT_EQ(0, w.saw_end(105));
}

/* A process that was stopped must not declare the others dead. */
static int
observer_is_paused(bool skip)
{
	Members w(1, 1, 8);
	int worst = 0;

	w.options.unsafe_skip_pause = skip;
	w.start();
	w.step(10000);
	for (int i = 0; i < 10; i++) {
		w.nodes[103].frozen = true;
		/* Shorter than its own death takes. */
		w.step(2500);
		w.wake(103);
		w.step(50);
		worst = std::max(worst, w.nodes[103].ends);
		w.step(3000);
	}
	EXPECT_EQ(0, w.false_ends({103}));
	return worst;
}

TEST(Member, PauseIsNoDeathStorm)
{
	EXPECT_EQ(0, observer_is_paused(false));
}

/* Many suspects are pending when the observer is stopped for long. */
static int
paused_with_suspects(bool skip)
{
	Members w(1, 1, 8);

	w.options.unsafe_skip_pause = skip;
	w.start();
	w.step(10000);
	/* Nothing reaches 103 for a moment, so it suspects some. */
	for (int n = 101; n <= 108; n++)
		w.net.cut(n, 103);
	w.step(2500);
	w.nodes[103].frozen = true;
	w.net.mend_all();
	w.step(20000);
	w.wake(103);
	int seen = w.nodes[103].ends;
	w.step(20000);
	EXPECT_EQ(0, w.false_ends({}));
	return seen;
}

TEST(Member, PauseWithSuspects)
{
	EXPECT_EQ(0, paused_with_suspects(false));
	EXPECT_GT(paused_with_suspects(true), 0) << "mechanism off";
}

TEST(Member, FrozenMemberReturns)
{
	Members w(1, 1, 8);

	w.start();
	w.step(10000);
	w.nodes[104].frozen = true;
	w.step(25000);
	EXPECT_EQ(7, w.saw_end(104));
	w.wake(104);
	w.step(15000);
	EXPECT_EQ(0, w.saw_end(104));
	EXPECT_EQ(0, w.false_ends({}));
}

/* Two members that cannot reach each other, but all others. */
static int
cut_pair(bool skip_helpers)
{
	Members w(1, 1, 8);
	int most = 0;

	w.options.unsafe_skip_helpers = skip_helpers;
	w.options.suspect_ms = 700;
	w.start();
	w.step(10000);
	w.net.cut(102, 106);
	w.net.cut(106, 102);
	for (int i = 0; i < 600; i++) {
		w.step(100);
		most = std::max(most, w.false_ends({}));
	}
	return most;
}

TEST(Member, HelpersReachAroundACut)
{
	EXPECT_EQ(0, cut_pair(false));
	EXPECT_GT(cut_pair(true), 0) << "mechanism off";
}

TEST(Member, GracefulLeaveIsKnownAtOnce)
{
	Members w(1, 1, 8);

	w.start();
	w.step(15000);
	int id = w.holder(1, MEMBER_GRANTER);
	ASSERT_NE(0, id);
	member_leave(w.nodes[id].membership, w.net.now_us);
	w.step(2100);
	EXPECT_TRUE(w.nodes[id].left);
	w.kill(id);
	w.step(1500);
	EXPECT_EQ(7, w.saw_end(id));
	w.step(1500);
	EXPECT_NE(0, w.holder(1, MEMBER_GRANTER));
	EXPECT_EQ(1u, w.most_holders);
}

TEST(Member, RolesMoveAfterADeath)
{
	Members w(1, 2, 2);

	w.start();
	w.step(15000);
	for (int r = 0; r < MB_ROLES; r++) {
		EXPECT_EQ(1u, w.holders(1, (enum mb_role)r));
		EXPECT_EQ(1u, w.holders(2, (enum mb_role)r));
	}
	int id = w.holder(1, MEMBER_RELAY);
	w.kill(id);
	int64_t began = w.net.now_us;
	while (
	    w.holder(1, MEMBER_RELAY) == 0 && w.net.now_us < began + 30000000)
		w.step(100);
	printf("a dead relay is replaced after %lld ms\n",
	    (long long)(w.net.now_us - began) / 1000);
	EXPECT_NE(0, w.holder(1, MEMBER_RELAY));
	EXPECT_EQ(1u, w.most_holders);
}

TEST(Member, ItemsReachAllOnce)
{
	struct member_item item = {};
	Members w(1, 3, 8);

	w.start();
	w.step(15000);
	item.kind = MEMBER_ITEM_CRASH_MARK;
	item.key = 4711;
	item.len = 1;
	member_publish(w.nodes[203].membership, w.net.now_us, &item, 0, true);
	item.key = 4712;
	member_publish(w.nodes[203].membership, w.net.now_us, &item, 0, false);
	item.key = 4713;
	member_publish(
	    w.nodes[203].membership, w.net.now_us, &item, 207, false);
	w.step(8000);
	for (auto &n : w.nodes) {
		bool near = n.first / 100 == 2, self = n.first == 203;

		EXPECT_EQ(self ? 0 : 1, n.second.items[4711]) << n.first;
		EXPECT_EQ(near && !self, n.second.items[4712]) << n.first;
		EXPECT_EQ(n.first == 207, n.second.items[4713]) << n.first;
	}
}

TEST(Member, SummariesAndSilence)
{
	uint16_t spare[MEMBER_VERSIONS_MAX] = {0, 5, 0, 7};
	Members w(1, 3, 4);

	w.start();
	for (auto &n : w.nodes)
		if (n.first / 100 == 2)
			member_set_spare(n.second.membership, spare);
	w.step(20000);
	EXPECT_EQ(5, w.nodes[101].summaries[2].spare[1]);
	EXPECT_EQ(7, w.nodes[304].summaries[2].spare[3]);
	EXPECT_EQ(4, w.nodes[304].summaries[2].instances);
	EXPECT_EQ(0u, w.nodes[304].silent.size());
	/* A death crosses to the other data centres. */
	int id = w.holder(2, MEMBER_RELAY) == 202 ? 203 : 202;
	w.kill(id);
	w.step(20000);
	EXPECT_EQ(1, w.nodes[101].items[id]);
	EXPECT_EQ(1, w.nodes[304].items[id]);
	for (auto &n : w.nodes)
		if (n.first / 100 == 2)
			w.kill(n.first);
	w.step(40000);
	EXPECT_EQ(1u, w.nodes[304].silent.count(2));
	EXPECT_EQ(0u, w.nodes[304].silent.count(1));
}

/* Returns the most instances that held one role at once. */
static unsigned
role_schedule(uint64_t seed, bool skip_wait)
{
	std::mt19937_64 random(seed);
	Members w(random(), 1, 5);

	w.options.lease.unsafe_skip_wait = skip_wait;
	w.net.lose_percent = 2;
	w.start();
	for (int i = 0; i < 40; i++) {
		int id = 101 + random() % 5, other = 101 + random() % 5;

		switch (random() % 6) {
		case 0:
			w.kill(id);
			break;
		case 1:
			if (w.nodes[id].down)
				w.start_node(id);
			break;
		case 2:
			w.nodes[id].frozen = true;
			break;
		case 3:
			if (w.nodes[id].frozen && !w.nodes[id].down)
				w.wake(id);
			break;
		case 4:
			w.net.cut(id, other);
			break;
		default:
			w.net.mend_all();
			break;
		}
		w.step(random() % 4000);
	}
	return w.most_holders;
}

RC_GTEST_PROP(MemberSchedules, OneHolderOfARole, ())
{
	uint64_t seed = *rc::gen::arbitrary<uint64_t>();

	RC_ASSERT(role_schedule(seed, false) <= 1u);
}

TEST(MemberSchedules, TwoHoldersWithoutWaiting)
{
	int two = 0;

	for (uint64_t seed = 1; seed <= 20; seed++)
		two += role_schedule(seed, true) > 1;
	printf("without waiting out: two holders in %d of 20 schedules\n", two);
	EXPECT_GT(two, 0) << "mechanism off";
}

/*
 * Graceful leave: every fault at every step.  What must hold: the roles are
 * held by one at most, the leaver ends, everyone learns of it, and nobody else
 * is taken for gone in the end.
 */
static std::string
leave_cell(size_t step, size_t fault)
{
	Members w(7, 1, 6);
	int id, other;

	w.start();
	w.step(15000);
	id = w.holder(1, MEMBER_GRANTER);
	other = id == 104 ? 105 : 104;
	if (step > 0)
		member_leave(w.nodes[id].membership, w.net.now_us);
	if (step == 2)
		w.step(1000);
	switch (fault) {
	case 0: /* kill of the leaver */
		w.kill(id);
		break;
	case 1: /* kill of another */
		w.kill(other);
		break;
	case 2: /* cut */
		w.net.isolate(id, 200);
		break;
	case 3: /* one-way cut */
		for (int n = 101; n <= 106; n++)
			w.net.cut(id, n);
		break;
	case 4: /* freeze past the lease */
		w.nodes[id].frozen = true;
		w.step(8000);
		w.wake(id);
		break;
	case 5:
		w.net.duplicate_percent = 100;
		break;
	case 6: /* reordered */
		w.net.delay_max_us = 200000;
		break;
	case 7: /* delayed */
		w.net.delay_min_us = w.net.delay_max_us = 800000;
		break;
	case 8: /* second loss */
		w.kill(other);
		w.step(500);
		w.kill(other + 1);
		break;
	case 9: /* resend: the order to leave comes twice */
		member_leave(w.nodes[id].membership, w.net.now_us);
		break;
	}
	if (step == 0 && !w.nodes[id].down)
		member_leave(w.nodes[id].membership, w.net.now_us);
	w.step(3000);
	if (!w.nodes[id].down && !w.nodes[id].left)
		return "the leaver does not end";
	w.kill(id);
	w.net.mend_all();
	w.net.duplicate_percent = 0;
	w.net.delay_min_us = 500;
	w.net.delay_max_us = 1500;
	w.step(25000);
	std::set<int> really = {id};
	for (auto &n : w.nodes)
		if (n.second.down)
			really.insert(n.first);
	if (w.false_ends(really) > 0)
		return "a live member is taken for gone";
	for (auto &n : w.nodes)
		if (!n.second.down && n.second.ended.count(id) == 0)
			return "not everyone knows";
	if (w.most_holders > 1)
		return "two holders of a role";
	if (w.holder(1, MEMBER_GRANTER) == 0)
		return "no granter";
	return "";
}

TEST(MemberMatrix, GracefulLeave)
{
	struct matrix m;

	m.title = "Graceful leave";
	m.steps = {"order", "told", "roles given back"};
	m.faults = {"kill leaver", "kill other", "cut", "one-way cut", "freeze",
	    "duplicated", "reordered", "delayed", "second loss", "resend"};
	m.cell = leave_cell;
	EXPECT_EQ(0u, matrix_run(m));
}

/* Spare slots of 26 versions, which change every second. */
static const uint16_t *
spare_at(int second)
{
	static uint16_t spare[MEMBER_VERSIONS_MAX];

	for (int v = 0; v < 26; v++)
		spare[v] = 300 + (v * 7 + second * 13) % 50;
	return spare;
}

/* Bytes a second of an instance; most: with what TCP and a frame add. */
static void
measure(Members &w, int seconds, const char *name, double limit)
{
	const unsigned overhead = 80; /* TCP/IP headers, frame, authenticator */
	double most = 0, sum = 0, most_payload = 0;

	for (auto &n : w.nodes)
		n.second.bytes = n.second.messages = 0;
	for (int s = 0; s < seconds; s++) {
		for (auto &n : w.nodes) {
			struct member_item item = {};

			if (w.size < 50)
				continue;
			member_set_spare(n.second.membership, spare_at(s));
			if ((n.first + s) % 10 != 0)
				continue;
			/* Each instance publishes an item in 10 s. */
			item.kind = MEMBER_ITEM_RATING;
			item.key = n.first * 1000 + s;
			item.len = 16;
			member_publish(n.second.membership, w.net.now_us, &item,
			    0, s % 20 == 0);
		}
		w.step(1000);
	}
	for (auto &n : w.nodes) {
		double payload = (double)n.second.bytes / seconds;
		double b =
		    payload + (double)n.second.messages * overhead / seconds;

		most = std::max(most, b);
		most_payload = std::max(most_payload, payload);
		sum += b;
	}
	printf("%s: bytes/s of an instance, sent and received: mean %.0f, "
	       "most %.0f (payload %.0f)\n",
	    name, sum / w.nodes.size(), most, most_payload);
	EXPECT_LT(w.size < 50 ? most_payload : most, limit);
}

TEST(MemberBytes, IdleAtEightInstances)
{
	Members w(1, 4, 2);

	w.start();
	w.step(20000);
	measure(w, 60, "8 instances, idle", 1000);
}

TEST(MemberBytes, LoadedAt420Instances)
{
	Members w(1, 5, 84);

	w.start();
	for (auto &n : w.nodes)
		member_set_spare(n.second.membership, spare_at(0));
	w.step(30000);
	measure(w, 20, "420 instances, 42 items/s", 11000);
	EXPECT_EQ(0, w.false_ends({}));
}
