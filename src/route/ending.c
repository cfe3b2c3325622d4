#include "route/ending.h"

/*
 * Returns whether the answer is whole.  same_life: no other life is known at
 * the address of the server.
 */
bool
ending_is_whole(enum ending_sign sign, bool same_life)
{
	return sign == ENDING_SERVER_GOES_ON && same_life;
}

/* Returns a name of the sign for logs. */
const char *
ending_sign_name(enum ending_sign sign)
{
	static const char *const names[] = {"accepts", "refuses", "unclear"};

	return names[sign];
}
