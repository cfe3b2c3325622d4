#include <gtest/gtest.h>

#include "route/ending.h"

/* Guards against half answers that are taken for whole ones. */
TEST(Ending, OnlyALiveServerMakesAnAnswerWhole)
{
	EXPECT_TRUE(ending_is_whole(ENDING_SERVER_GOES_ON, true));
	for (enum ending_sign sign : {ENDING_SERVER_ENDED, ENDING_NO_SIGN}) {
		EXPECT_FALSE(ending_is_whole(sign, true));
		EXPECT_FALSE(ending_is_whole(sign, false));
	}
}

TEST(Ending, AnotherLifeAtTheAddressProvesNothing)
{
	EXPECT_FALSE(ending_is_whole(ENDING_SERVER_GOES_ON, false));
}
