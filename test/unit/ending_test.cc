#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "route/ending.h"

/* Guards against half answers that are taken for whole ones, and the reverse.
 */
static struct ending_input
any_input()
{
	struct ending_input in = {};

	in.sign = (enum ending_sign) * rc::gen::inRange(0, 3);
	in.same_life = *rc::gen::arbitrary<bool>();
	in.may_rerun = *rc::gen::arbitrary<bool>();
	in.waited_us = *rc::gen::inRange(0, 3000000);
	in.left_us = *rc::gen::inRange(-1000000, 10000000);
	return in;
}

RC_GTEST_PROP(Ending, OnlyALiveServerMakesAnAnswerWhole, ())
{
	struct ending_input in = any_input();

	RC_ASSERT((ending_next_step(&in) == ENDING_WHOLE) ==
		  (in.sign == ENDING_SERVER_GOES_ON && in.same_life));
}

RC_GTEST_PROP(Ending, TheWaitForASignIsBounded, ())
{
	struct ending_input in = any_input();

	if (ending_next_step(&in) == ENDING_ASK_AGAIN)
		RC_ASSERT(in.sign == ENDING_NO_SIGN && !in.may_rerun &&
			  in.waited_us < ENDING_WAIT_MAX_US && in.left_us > 0);
}

/* What may run again is not kept waiting for a server that is silent. */
TEST(Ending, ASilentServerIsAskedAgainOnlyWhereNothingElseHelps)
{
	struct ending_input in = {};

	in.sign = ENDING_NO_SIGN;
	in.same_life = true;
	in.waited_us = 250000;
	in.left_us = 5000000;
	EXPECT_EQ(ENDING_ASK_AGAIN, ending_next_step(&in));
	in.may_rerun = true;
	EXPECT_EQ(ENDING_BROKEN_OFF, ending_next_step(&in));
	in.may_rerun = false;
	in.waited_us = ENDING_WAIT_MAX_US;
	EXPECT_EQ(ENDING_BROKEN_OFF, ending_next_step(&in));
}
