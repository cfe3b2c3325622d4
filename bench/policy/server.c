#include "policy/server.h"

#include <string.h>

/* Initialises a server that is warm and has no attempts. */
void
server_init(struct server_fake *s)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->incarnation = 1;
	for (i = 0; i < SERVER_SLOTS; i++)
		s->attempts[i] = SERVER_NO_ATTEMPT;
}

bool
server_enqueue(struct server_fake *s, uint32_t attempt, int64_t now_us)
{
	if (now_us < s->down_until_us || s->queued == SERVER_QUEUE_MAX)
		return false;
	if (now_us < s->cold_until_us &&
	    s->running + s->queued >= SERVER_COLD_SLOTS)
		s->overloads++;
	s->queue[(s->head + s->queued++) % SERVER_QUEUE_MAX] = attempt;
	return true;
}

uint32_t
server_start_next(struct server_fake *s)
{
	uint32_t attempt;
	uint32_t i;

	if (s->queued == 0 || s->running == SERVER_SLOTS)
		return SERVER_NO_ATTEMPT;
	attempt = s->queue[s->head];
	s->head = (s->head + 1) % SERVER_QUEUE_MAX;
	s->queued--;
	s->running++;
	for (i = 0; s->attempts[i] != SERVER_NO_ATTEMPT; i++)
		continue;
	s->attempts[i] = attempt;
	return attempt;
}

/* Frees the slot of an attempt; ignores one that has none. */
void
server_free_slot(struct server_fake *s, uint32_t attempt)
{
	uint32_t i;

	for (i = 0; i < SERVER_SLOTS; i++) {
		if (s->attempts[i] != attempt)
			continue;
		s->attempts[i] = SERVER_NO_ATTEMPT;
		s->running--;
		return;
	}
}

uint32_t
server_restart_cold(struct server_fake *s, int64_t now_us, int64_t down_us,
    uint32_t *out, uint32_t max)
{
	uint64_t incarnation = s->incarnation;
	uint32_t overloads = s->overloads, n = 0, i;

	for (i = 0; i < SERVER_SLOTS && n < max; i++)
		if (s->attempts[i] != SERVER_NO_ATTEMPT)
			out[n++] = s->attempts[i];
	for (i = 0; i < s->queued && n < max; i++)
		out[n++] = s->queue[(s->head + i) % SERVER_QUEUE_MAX];
	server_init(s);
	s->incarnation = incarnation + 1;
	s->overloads = overloads;
	s->down_until_us = now_us + down_us;
	s->cold_until_us = s->down_until_us + SERVER_COLD_US;
	return n;
}
