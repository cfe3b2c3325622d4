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

uint32_t
own_count(struct gw_instance_count *counter, int64_t now_us)
{
	return gw_instance_count_own(counter, 1, now_us).count;
}

uint32_t
count_of(struct gw_instance_count *counter, int64_t now_us)
{
	return gw_instance_count_get(counter, 1, now_us).count;
}

void
report(struct gw_instance_count *counter, uint32_t count, int64_t now_us,
    uint32_t place = 1)
{
	struct rate_members members = {count, place};

	gw_instance_count_add_report(counter, &members, now_us);
}

} // namespace

TEST(Headcount, IsNotToldBeforeAllHadTimeToGreet)
{
	struct gw_instance_count control = make_counter(true),
				 entry = make_counter(false);

	gw_instance_count_mark_heard(&control, 1, SECOND_US / 10);
	EXPECT_EQ(own_count(&control, SECOND_US / 10), 0U);
	report(&entry, own_count(&control, SECOND_US / 10), SECOND_US / 10);
	EXPECT_EQ(count_of(&entry, SECOND_US / 10), 0U);
	for (uint32_t instance = 1; instance <= 7; instance++)
		gw_instance_count_mark_heard(&control, instance, SECOND_US);
	EXPECT_EQ(own_count(&control, GW_INSTANCE_COUNT_SETTLE_US), 7U);
}

TEST(Headcount, DoesNotFallWhenAControlInstanceStartsAgain)
{
	struct gw_instance_count entry = make_counter(false);

	report(&entry, 7, SECOND_US);
	report(&entry, 0, 2 * SECOND_US);
	report(&entry, 2, 3 * SECOND_US);
	EXPECT_EQ(count_of(&entry, 3 * SECOND_US), 7U);
}

TEST(Headcount, KeepsThoseThatAreCutOff)
{
	struct gw_instance_count control = make_counter(true);

	gw_instance_count_mark_heard(&control, 1, 4 * SECOND_US);
	gw_instance_count_mark_heard(&control, 2, 4 * SECOND_US);
	for (int64_t now_us = 4 * SECOND_US; now_us < 300 * SECOND_US;
	     now_us += SECOND_US)
		gw_instance_count_mark_heard(&control, 1, now_us);
	EXPECT_EQ(own_count(&control, 300 * SECOND_US), 2U);
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
		report(&entry, own_count(&control, now_us), now_us);
		last = count_of(&entry, now_us);
	}
	EXPECT_EQ(last, 1U);
}

TEST(Headcount, CountsAnInstanceOnce)
{
	struct gw_instance_count control = make_counter(true);

	for (int i = 0; i < 3; i++)
		gw_instance_count_mark_heard(&control, 9, i * SECOND_US);
	EXPECT_EQ(own_count(&control, 4 * SECOND_US), 1U);
}

TEST(Headcount, OfAnEntryAloneIsNotKnown)
{
	struct gw_instance_count entry = make_counter(false);

	gw_instance_count_mark_heard(&entry, 1, SECOND_US);
	EXPECT_EQ(count_of(&entry, 10 * SECOND_US), 0U);
}

TEST(Headcount, EachInstanceHasAPlaceOfItsOwn)
{
	struct gw_instance_count control = make_counter(true),
				 entry = make_counter(false);

	for (uint32_t instance : {30U, 10U, 40U, 20U})
		gw_instance_count_mark_heard(&control, instance, SECOND_US);
	for (uint32_t place = 1; place <= 4; place++) {
		struct rate_members members = gw_instance_count_own(
		    &control, place * 10, GW_INSTANCE_COUNT_SETTLE_US);

		EXPECT_EQ(place, members.place);
		EXPECT_EQ(4U, members.count);
	}
	EXPECT_EQ(
	    0U, gw_instance_count_own(&control, 15, GW_INSTANCE_COUNT_SETTLE_US)
		    .place);
	/* The place belongs to the count that it was reported with. */
	report(&entry, 4, SECOND_US, 3);
	report(&entry, 2, 2 * SECOND_US, 1);
	EXPECT_EQ(3U, gw_instance_count_get(&entry, 1, 2 * SECOND_US).place);
	EXPECT_EQ(4U, gw_instance_count_get(&entry, 1, 2 * SECOND_US).count);
}
