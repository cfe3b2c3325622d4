#include "route/reach.h"

/*
 * Records that a connection to a server was established.  Returns whether the
 * path had been lost before.
 */
bool
reach_record_success(struct reach *reach, int64_t now_us)
{
	reach->heard_us = now_us;
	return reach_forget(reach);
}

/*
 * Forgets all failures, as the service has no servers any more.  Returns
 * whether the path had been lost.
 */
bool
reach_forget(struct reach *reach)
{
	bool was_lost = reach->lost;

	reach->failed_count = reach->probed = 0;
	reach->lost = false;
	return was_lost;
}

/* Tells whether a server failed since a connection was established last. */
bool
reach_has_failed(const struct reach *reach, uint64_t life)
{
	for (uint8_t i = 0; i < reach->failed_count; i++) {
		if (reach->failed[i] == life)
			return true;
	}
	return false;
}

/*
 * Records that a life of a server could not be connected to.  server_count:
 * servers of the service that are announced.  Returns whether the path counts
 * as lost from now on.
 */
bool
reach_record_failure(
    struct reach *reach, uint64_t life, uint32_t server_count, int64_t now_us)
{
	uint32_t needed = server_count < REACH_FAILURES_MIN
			      ? server_count
			      : REACH_FAILURES_MIN;

	if (now_us - reach->failed_us > REACH_FAILURE_TTL_US)
		reach->failed_count = 0;
	reach->failed_us = now_us;
	if (!reach_has_failed(reach, life) &&
	    reach->failed_count < REACH_FAILURES_MIN)
		reach->failed[reach->failed_count++] = life;
	if (reach->lost || reach->failed_count < needed)
		return false;
	reach->lost = true;
	reach->lost_us = now_us;
	return true;
}

/* Tells whether no server has sent anything for REACH_SILENCE_US. */
bool
reach_is_silent(const struct reach *reach, int64_t now_us)
{
	return now_us - reach->heard_us >= REACH_SILENCE_US;
}

/*
 * Begins a round of probes.  Returns how many servers to probe; 0 if none is
 * needed, or the last round may still be under way.  One probe shows in most
 * cases that there is a path.  If it fails, all others that are needed follow
 * at once.  requests_wait: requests were sent and have made no progress for
 * REACH_SILENCE_US.
 */
uint8_t
reach_begin_probes(struct reach *reach, bool requests_wait, int64_t now_us)
{
	uint8_t wanted = 0;

	if (reach->lost)
		wanted = REACH_LOST_PROBES;
	else if (reach->failed_count > 1)
		wanted = REACH_FAILURES_MIN;
	else if (reach->failed_count == 1 ||
		 (requests_wait && reach_is_silent(reach, now_us)))
		wanted = 1;
	if (wanted == 0 || (wanted <= reach->probed &&
			       now_us - reach->probed_us < REACH_PROBE_US))
		return 0;
	reach->probed = wanted;
	reach->probed_us = now_us;
	return wanted;
}
