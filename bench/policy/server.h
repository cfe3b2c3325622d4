#ifndef BENCH_SERVER_H
#define BENCH_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A simulated backend server with a fixed number of slots, a queue in order of
 * arrival, and fewer usable slots during its cold start.
 */
enum {
	SERVER_SLOTS = 4,
	SERVER_COLD_SLOTS = 2,
	SERVER_QUEUE_MAX = 4096,
	SERVER_COLD_US = 60 * 1000000,
	SERVER_NO_ATTEMPT = 0xffffffff
};

struct server_fake {
	uint64_t incarnation;
	int64_t cold_until_us;
	int64_t down_until_us;
	uint16_t running;
	uint32_t attempts[SERVER_SLOTS];
	uint32_t queue[SERVER_QUEUE_MAX];
	uint32_t head;
	uint32_t queued;
	uint32_t overloads; /* attempts beyond the slots of a cold server */
};

void server_init(struct server_fake *server);

/* Queues an attempt; returns false if the server is down or the queue full. */
bool server_enqueue(
    struct server_fake *server, uint32_t attempt, int64_t now_us);

/*
 * Starts the next queued attempt and returns it, or SERVER_NO_ATTEMPT if none
 * waits or no slot is free.
 */
uint32_t server_start_next(struct server_fake *server);
void server_free_slot(struct server_fake *server, uint32_t attempt);

/*
 * Restarts the server cold after down_us.  The running and queued attempts are
 * lost; writes up to max of them to out and returns their number.
 */
uint32_t server_restart_cold(struct server_fake *server, int64_t now_us,
    int64_t down_us, uint32_t *out, uint32_t max);

#endif
