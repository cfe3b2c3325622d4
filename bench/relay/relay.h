#ifndef CF_RELAY_H
#define CF_RELAY_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "tool_loop.h"

/*
 * A TCP relay that simulates the network link between two sites, with one or
 * more routes.  Bytes are sent as soon as they are received; only bytes that
 * the receiver does not accept yet, or that are delayed, are buffered.  A held
 * direction forwards nothing until relay_mend() and then delivers its bytes; a
 * cut relay resets its connections and every new one.  A relay can also isolate
 * one client address: its packets are dropped, as on a broken network path.
 */
enum relay_direction {
	RELAY_UP, /* from the connecting side to the target */
	RELAY_DOWN,
	RELAY_DIRECTIONS
};

/* What happens to the connections of an isolated address. */
enum relay_isolation {
	RELAY_ISOLATE_SILENT, /* open and new ones hang */
	RELAY_ISOLATE_RESET, /* open ones are reset, new ones hang */
	RELAY_ISOLATE_NEW /* open ones go on, new ones hang */
};

struct relay_counts {
	uint64_t connections;
	uint64_t open;
	uint64_t resets; /* connections reset by a cut or a failed connect */
	uint64_t bytes[RELAY_DIRECTIONS];
};

struct relay;

struct relay *relay_new(struct tool_loop *loop);
int relay_add_route(struct relay *relay, const struct sockaddr_in *listen_on,
    const struct sockaddr_in *to);
void relay_free(struct relay *relay);
int64_t relay_flush_due(struct relay *relay, int64_t now_us);
void relay_cut(struct relay *relay);
void relay_hold(struct relay *relay, enum relay_direction direction);
int relay_isolate(struct relay *relay, const struct in_addr *from,
    enum relay_isolation isolation);
void relay_mend(struct relay *relay);
void relay_set_delay(struct relay *relay, int64_t delay_us);
const struct relay_counts *relay_counts(const struct relay *relay);

#endif
