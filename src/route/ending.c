#include "route/ending.h"

/* Returns what to do with the answer once there is a sign of its server. */
enum ending_step
ending_next_step(const struct ending_input *in)
{
	switch (in->sign) {
	case ENDING_SERVER_GOES_ON:
		return in->same_life ? ENDING_WHOLE : ENDING_BROKEN_OFF;
	case ENDING_SERVER_ENDED:
		return ENDING_BROKEN_OFF;
	case ENDING_NO_SIGN:
		if (in->same_life && !in->may_rerun && in->left_us > 0 &&
		    in->waited_us < ENDING_WAIT_MAX_US)
			return ENDING_ASK_AGAIN;
		return ENDING_BROKEN_OFF;
	}
	return ENDING_BROKEN_OFF;
}

/* Returns a name of the sign for logs. */
const char *
ending_sign_name(enum ending_sign sign)
{
	static const char *const names[] = {"accepts", "refuses", "silent"};

	return names[sign];
}
