#include <gtest/gtest.h>

extern "C" {
#include "gateway/instance_count.h"
}

namespace
{

const int64_t SECOND_US = 1000000;

struct gw_instance_count
make_counter(bool receives_hellos)
{
	struct gw_instance_count counter;

	gw_instance_count_init(&counter, receives_hellos, 0);
	return counter;
}

} // namespace

TEST(Headcount, IsNotToldBeforeAllHadTimeToGreet)
{
	struct gw_instance_count control = make_counter(true),
				 entry = make_counter(false);

	gw_instance_count_mark_heard(&control, 1, SECOND_US / 10);
	EXPECT_EQ(gw_instance_count_own(&control, SECOND_US / 10), 0U);
	gw_instance_count_add_report(&entry,
	    gw_instance_count_own(&control, SECOND_US / 10), SECOND_US / 10);
	EXPECT_EQ(gw_instance_count_get(&entry, SECOND_US / 10), 0U);
	for (uint32_t instance = 1; instance <= 7; instance++)
		gw_instance_count_mark_heard(&control, instance, SECOND_US);
	EXPECT_EQ(
	    gw_instance_count_own(&control, GW_INSTANCE_COUNT_SETTLE_US), 7U);
}

TEST(Headcount, DoesNotFallWhenAControlInstanceStartsAgain)
{
	struct gw_instance_count entry = make_counter(false);

	gw_instance_count_add_report(&entry, 7, SECOND_US);
	gw_instance_count_add_report(&entry, 0, 2 * SECOND_US);
	gw_instance_count_add_report(&entry, 2, 3 * SECOND_US);
	EXPECT_EQ(gw_instance_count_get(&entry, 3 * SECOND_US), 7U);
}

TEST(Headcount, KeepsThoseThatAreCutOff)
{
	struct gw_instance_count control = make_counter(true);

	gw_instance_count_mark_heard(&control, 1, 4 * SECOND_US);
	gw_instance_count_mark_heard(&control, 2, 4 * SECOND_US);
	for (int64_t now_us = 4 * SECOND_US; now_us < 300 * SECOND_US;
	     now_us += SECOND_US)
		gw_instance_count_mark_heard(&control, 1, now_us);
	EXPECT_EQ(gw_instance_count_own(&control, 300 * SECOND_US), 2U);
}

TEST(Headcount, FallsOnceInstancesAreGone)
{
	struct gw_instance_count control = make_counter(true),
				 entry = make_counter(false);
	uint32_t last = 0;

	gw_instance_count_mark_heard(&control, 1, 0);
	gw_instance_count_mark_heard(&control, 2, 0);
	for (int64_t now_us = 0; now_us < 900 * SECOND_US;
	     now_us += SECOND_US) {
		gw_instance_count_mark_heard(&control, 1, now_us);
		gw_instance_count_add_report(
		    &entry, gw_instance_count_own(&control, now_us), now_us);
		last = gw_instance_count_get(&entry, now_us);
	}
	EXPECT_EQ(last, 1U);
}

TEST(Headcount, CountsAnInstanceOnce)
{
	struct gw_instance_count control = make_counter(true);

	for (int i = 0; i < 3; i++)
		gw_instance_count_mark_heard(&control, 9, i * SECOND_US);
	EXPECT_EQ(gw_instance_count_own(&control, 4 * SECOND_US), 1U);
}

TEST(Headcount, OfAnEntryAloneIsNotKnown)
{
	struct gw_instance_count entry = make_counter(false);

	gw_instance_count_mark_heard(&entry, 1, SECOND_US);
	EXPECT_EQ(gw_instance_count_get(&entry, 10 * SECOND_US), 0U);
}
