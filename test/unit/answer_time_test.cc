#include <gtest/gtest.h>

#include "route/answer_time.h"

/*
 * Guards against requests that are taken shortly before a planned end and cut
 * off by it: the time that most answers take has to be left.
 */
TEST(AnswerTime, MostAnswersFitIntoTheTimeLeft)
{
	struct answer_time time = {};

	EXPECT_TRUE(answer_time_fits(&time, 1000)) << "nothing is known";
	for (int i = 0; i < 100; i++)
		answer_time_add(&time, 1000000);
	EXPECT_TRUE(answer_time_fits(&time, 1100000));
	EXPECT_FALSE(answer_time_fits(&time, 900000));
	/* One in four takes 3 s: that much has to be left. */
	for (int i = 0; i < 100; i++)
		answer_time_add(&time, i % 4 == 3 ? 3000000 : 1000000);
	EXPECT_FALSE(answer_time_fits(&time, 2000000));
	EXPECT_TRUE(answer_time_fits(&time, 4500000));
}
