#include "celeryford.h"

static const char *const reason_names[] = {
    [CF_WHY_CHEAPEST] = "cheapest",
    [CF_WHY_REQUESTED] = "requested",
    [CF_WHY_SESSION] = "session",
    [CF_WHY_EXPLORE] = "explore",
    [CF_WHY_ROLLOUT] = "rollout",
    [CF_WHY_BEST] = "best",
    [CF_WHY_ESCALATE] = "escalate",
    [CF_WHY_RETRY] = "retry",
    [CF_WHY_HEDGE] = "hedge",
    [CF_WHY_ONLY] = "only",
    [CF_WHY_LIMIT] = "limit",
    [CF_WHY_NOT_ALLOWED] = "not_allowed",
    [CF_WHY_NO_SERVER] = "no_server",
    [CF_WHY_CRASHES] = "crashes",
    [CF_WHY_BUDGET] = "budget",
    [CF_WHY_OUTCOME] = "outcome",
    [CF_WHY_ABSORB] = "absorb",
    [CF_WHY_REBOUND] = "rebound",
};

/* Returns the name of a reason in the decision log, or "unknown". */
const char *
cf_reason_name(enum cf_reason reason)
{
	if ((size_t)reason >= sizeof(reason_names) / sizeof(*reason_names))
		return "unknown";
	return reason_names[reason];
}
