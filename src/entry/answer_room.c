#include "entry/answer_room.h"

/* Tells whether there is room.  A single answer may be larger than the limit.
 */
static bool
has_room(const struct answer_room *room, size_t bytes)
{
	return room->max_bytes == 0 || room->held_bytes == 0 ||
	       room->held_bytes + bytes <= room->max_bytes;
}

static void
hold(struct answer_room *room, struct answer_place *place)
{
	place->held = true;
	room->held_bytes += place->bytes;
}

static void
leave_queue(struct answer_room *room, struct answer_place *place)
{
	if (place->prev != NULL)
		place->prev->next = place->next;
	else
		room->first = place->next;
	if (place->next != NULL)
		place->next->prev = place->prev;
	else
		room->last = place->prev;
	place->prev = place->next = NULL;
	place->waiting = false;
}

/*
 * Asks for room for an answer, after those that wait.  Returns whether it has
 * it; else the place waits until answer_room_next() returns it.
 */
bool
answer_room_take(
    struct answer_room *room, struct answer_place *place, size_t bytes)
{
	place->bytes = bytes;
	if (room->first == NULL && has_room(room, bytes)) {
		hold(room, place);
		return true;
	}
	place->waiting = true;
	place->prev = room->last;
	if (room->last != NULL)
		room->last->next = place;
	else
		room->first = place;
	room->last = place;
	return false;
}

/* Gives the room of an answer back, or its turn; does nothing without either.
 */
void
answer_room_release(struct answer_room *room, struct answer_place *place)
{
	if (place->waiting)
		leave_queue(room, place);
	if (place->held)
		room->held_bytes -= place->bytes;
	place->held = false;
}

/* Gives the place that has waited longest its room.  NULL: there is none. */
struct answer_place *
answer_room_next(struct answer_room *room)
{
	struct answer_place *place = room->first;

	if (place == NULL || !has_room(room, place->bytes))
		return NULL;
	leave_queue(room, place);
	hold(room, place);
	return place;
}
