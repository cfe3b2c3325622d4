#ifndef CF_RELAY_H
#define CF_RELAY_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "tool_loop.h"

/*
 * A TCP relay for one link between two places, which may carry several
 * addresses.  Bytes go straight from a receive to a send; only
 * what the other side does not take yet, or what is delayed, is kept.  A way
 * that is held keeps its bytes and stays silent until it is mended; a relay
 * that is cut resets its connections and every new one.
 */
enum relay_way {
	RELAY_UP, /* from those who connect */
	RELAY_DOWN,
	RELAY_WAYS
};

struct relay_counts {
	uint64_t connections;
	uint64_t open;
	uint64_t resets; /* connections ended by a cut */
	uint64_t bytes[RELAY_WAYS];
};

struct relay;

struct relay *relay_new(struct tool_loop *loop);
int relay_add(struct relay *relay, const struct sockaddr_in *listen_on,
    const struct sockaddr_in *to);
void relay_free(struct relay *relay);
int64_t relay_tick(struct relay *relay, int64_t now_us);
void relay_cut(struct relay *relay);
void relay_hold(struct relay *relay, enum relay_way way);
void relay_mend(struct relay *relay);
void relay_delay(struct relay *relay, int64_t delay_us);
const struct relay_counts *relay_counts(const struct relay *relay);

#endif
