#ifndef CF_ANSWER_ROOM_H
#define CF_ANSWER_ROOM_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Memory for large answers that arrive.  An answer gets room for all of it, so
 * that those that are being read end, or waits for its turn.
 */
struct answer_place {
	size_t bytes; /* wanted, or held */
	bool held;
	bool waiting;
	struct answer_place *prev;
	struct answer_place *next;
};

struct answer_room {
	size_t max_bytes; /* 0: no limit */
	size_t held_bytes;
	struct answer_place *first; /* waiting, in order */
	struct answer_place *last;
};

bool answer_room_take(
    struct answer_room *room, struct answer_place *place, size_t bytes);
void answer_room_release(struct answer_room *room, struct answer_place *place);
struct answer_place *answer_room_next(struct answer_room *room);

#ifdef __cplusplus
}
#endif

#endif
