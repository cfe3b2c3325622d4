#ifndef CF_ROUTE_URGENCY_H
#define CF_ROUTE_URGENCY_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How soon an engine should begin a request: 0 first, 9 last.  Prompts are read
 * one after the other, so that under load a short draft waits behind every long
 * document that came to its engine before it.
 *
 * The route's priority decides, and not the workspace's: that says who is
 * served where not all can be.  A prompt that is read in a small part of the
 * time in which its answer is wanted goes before those of the next priority,
 * which it delays by little; so short requests of a low priority don't starve
 * behind long ones of a higher.  No I/O and no state.
 */
enum {
	URGENCY_LAST = 9
};

struct ur_input {
	uint8_t priority; /* of the route, 0 first */
	uint32_t goal_ms; /* an answer is worth most until then */
	double work_ms; /* of reading the prompt */
};

int ur_of(const struct ur_input *in);

#ifdef __cplusplus
}
#endif

#endif
