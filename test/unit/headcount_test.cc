#include <gtest/gtest.h>

extern "C" {
#include "gateway/headcount.h"
}

namespace
{

const int64_t S = 1000000;

struct gw_entry_count
make(bool receives_hellos)
{
	struct gw_entry_count counter;

	gw_entry_count_init(&counter, receives_hellos, 0);
	return counter;
}

} // namespace

TEST(Headcount, IsNotToldBeforeAllHadTimeToGreet)
{
	struct gw_entry_count control = make(true), entry = make(false);

	gw_entry_count_mark_heard(&control, 1, S / 10);
	EXPECT_EQ(gw_entry_count_own(&control, S / 10), 0U);
	gw_entry_count_add_report(
	    &entry, gw_entry_count_own(&control, S / 10), S / 10);
	EXPECT_EQ(gw_entry_count_get(&entry, S / 10), 0U);
	for (uint32_t instance = 1; instance <= 7; instance++)
		gw_entry_count_mark_heard(&control, instance, S);
	EXPECT_EQ(gw_entry_count_own(&control, GW_ENTRY_COUNT_SETTLE_US), 7U);
}

TEST(Headcount, DoesNotFallWhenAControlInstanceStartsAgain)
{
	struct gw_entry_count entry = make(false);

	gw_entry_count_add_report(&entry, 7, S);
	gw_entry_count_add_report(&entry, 0, 2 * S);
	gw_entry_count_add_report(&entry, 2, 3 * S);
	EXPECT_EQ(gw_entry_count_get(&entry, 3 * S), 7U);
}

TEST(Headcount, KeepsThoseThatAreCutOff)
{
	struct gw_entry_count control = make(true);

	gw_entry_count_mark_heard(&control, 1, 4 * S);
	gw_entry_count_mark_heard(&control, 2, 4 * S);
	for (int64_t now_us = 4 * S; now_us < 300 * S; now_us += S)
		gw_entry_count_mark_heard(&control, 1, now_us);
	EXPECT_EQ(gw_entry_count_own(&control, 300 * S), 2U);
}

TEST(Headcount, FallsOnceInstancesAreGone)
{
	struct gw_entry_count control = make(true), entry = make(false);
	uint32_t last = 0;

	gw_entry_count_mark_heard(&control, 1, 0);
	gw_entry_count_mark_heard(&control, 2, 0);
	for (int64_t now_us = 0; now_us < 900 * S; now_us += S) {
		gw_entry_count_mark_heard(&control, 1, now_us);
		gw_entry_count_add_report(
		    &entry, gw_entry_count_own(&control, now_us), now_us);
		last = gw_entry_count_get(&entry, now_us);
	}
	EXPECT_EQ(last, 1U);
}

TEST(Headcount, CountsAnInstanceOnce)
{
	struct gw_entry_count control = make(true);

	for (int i = 0; i < 3; i++)
		gw_entry_count_mark_heard(&control, 9, i * S);
	EXPECT_EQ(gw_entry_count_own(&control, 4 * S), 1U);
}

TEST(Headcount, OfAnEntryAloneIsNotKnown)
{
	struct gw_entry_count entry = make(false);

	gw_entry_count_mark_heard(&entry, 1, S);
	EXPECT_EQ(gw_entry_count_get(&entry, 10 * S), 0U);
}
