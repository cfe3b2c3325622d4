#ifndef CF_ROUTE_URGENCY_H
#define CF_ROUTE_URGENCY_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How soon an engine should start a request: 0 first, 9 last.  Engines process
 * prompts one after the other, so that under load a short draft would wait
 * behind every long document that reached its engine earlier.
 *
 * The route's priority decides.  The workspace's priority does not: it decides
 * who is served when not all can be.  A prompt whose work is a small part of
 * the time in which its answer is wanted goes ahead of the next higher
 * priority, which it hardly delays.  Short requests of a low priority therefore
 * do not starve behind long requests of a higher one.  No I/O and no state.
 */
enum {
	URGENCY_LAST = 9
};

struct urgency_input {
	uint8_t priority; /* of the route; 0 is the highest */
	uint32_t goal_ms; /* an answer is worth most within this time */
	double work_ms; /* of processing the prompt */
};

int urgency_of_request(const struct urgency_input *in);

#ifdef __cplusplus
}
#endif

#endif
