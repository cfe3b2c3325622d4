#ifndef BENCH_SERVER_H
#define BENCH_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A stand-in of a backend server: a number of slots, a queue in order of
 * arrival, and a cold start that bears less.
 */
enum {
	SERVER_SLOTS = 4,
	SERVER_COLD_SLOTS = 2,
	SERVER_QUEUE = 4096,
	SERVER_COLD_US = 60 * 1000000,
	SERVER_NONE = 0xffffffff /* no attempt */
};

struct server_fake {
	uint64_t incarnation;
	int64_t cold_until_us;
	int64_t down_until_us;
	uint16_t running;
	uint32_t attempts[SERVER_SLOTS];
	uint32_t queue[SERVER_QUEUE];
	uint32_t head;
	uint32_t queued;
	uint32_t overloads; /* attempts that came to a cold server in excess */
};

void server_init(struct server_fake *server);

/* Takes an attempt; false if it cannot hold it. */
bool server_add(struct server_fake *server, uint32_t attempt, int64_t now_us);

/* The next queued attempt that may start now, or SERVER_NONE. */
uint32_t server_start(struct server_fake *server);
void server_end(struct server_fake *server, uint32_t attempt);

/* Restarts cold; what ran or waited is lost and is listed in out. */
uint32_t server_restart(struct server_fake *server, int64_t now_us,
    int64_t down_us, uint32_t *out, uint32_t max);

#endif
