#include "state/member_core.h"

#include <string.h>

enum {
	WINDOW = 64
};

/* Items: told apart by origin and number, passed on a bounded number of times.
 */

static struct mb_origin *
origin_of(struct mb *mb, uint32_t instance)
{
	return &mb->origins[instance * 2654435761U % MB_ORIGINS];
}

/* Notes an item as seen; false: it was before, or is too old to tell. */
static bool
first_sight(struct mb *mb, const struct mb_item *item)
{
	struct mb_origin *origin;
	uint32_t ahead, behind;

	origin = origin_of(mb, item->origin);
	if (origin->instance != item->origin ||
	    origin->incarnation < item->incarnation) {
		origin->instance = item->origin;
		origin->incarnation = item->incarnation;
		origin->highest = item->number;
		origin->window = 1;
		return true;
	}
	if (origin->incarnation > item->incarnation)
		return false;
	if (item->number > origin->highest) {
		ahead = item->number - origin->highest;
		origin->window =
		    ahead < WINDOW ? origin->window << ahead | 1 : 1;
		origin->highest = item->number;
		return true;
	}
	behind = origin->highest - item->number;
	if (behind >= WINDOW || (origin->window >> behind & 1) != 0)
		return false;
	origin->window |= 1ULL << behind;
	return true;
}

/* Keeps an item to pass it on; the one passed on most makes room. */
static void
keep(struct mb *mb, const struct mb_item *item)
{
	struct mb_slot *slot;
	uint32_t i;

	if (mb->slot_count < MB_ITEMS_KEPT) {
		slot = &mb->slots[mb->slot_count++];
	} else {
		slot = &mb->slots[0];
		for (i = 1; i < mb->slot_count; i++)
			if (mb->slots[i].sends < slot->sends)
				slot = &mb->slots[i];
	}
	slot->item = *item;
	slot->sends = mb_sends(mb);
}

/* Takes an item: reports what is new and, unless direct, passes it on. */
void
mb_item_take(struct mb *mb, const struct mb_item *item, bool direct)
{
	struct mb_action action = {0};

	if (item->origin == mb->self.instance || !first_sight(mb, item))
		return;
	if (!direct)
		keep(mb, item);
	if (item->kind != MB_ITEM_SUMMARY) {
		action.kind = MB_GOT_ITEM;
		action.item = item;
		mb->options.emit(mb->options.ctx, &action);
	}
	if (item->wide && mb_peer_find(mb, item->origin) != NULL)
		mb_relay_forward(mb, item);
}

/* Adds the items that were passed on least, and forgets finished ones. */
void
mb_item_fill(struct mb *mb, struct mb_msg *msg)
{
	struct mb_slot *best;
	bool taken[MB_ITEMS_KEPT] = {false};
	uint32_t i;

	while (msg->item_count < MB_ITEMS_BATCH) {
		best = NULL;
		for (i = 0; i < mb->slot_count; i++)
			if (!taken[i] && mb->slots[i].sends > 0 &&
			    (best == NULL || mb->slots[i].sends > best->sends))
				best = &mb->slots[i];
		if (best == NULL)
			break;
		taken[best - mb->slots] = true;
		best->sends--;
		msg->items[msg->item_count++] = best->item;
	}
	for (i = 0; i < mb->slot_count;) {
		if (mb->slots[i].sends > 0)
			i++;
		else
			mb->slots[i] = mb->slots[--mb->slot_count];
	}
}

/*
 * Publishes an item.  to 0: to all of the data centre, and if wide of the
 * others too; otherwise to one instance only.  Returns 0 or ERR_TOO_LARGE.
 */
int
mb_publish(struct mb *mb, int64_t now_us, const struct mb_item *item,
    uint32_t to, bool wide)
{
	struct mb_item copy;
	struct mb_msg msg;

	if (item->len > MB_ITEM_BYTES)
		return ERR_TOO_LARGE;
	copy = *item;
	copy.origin = mb->self.instance;
	copy.incarnation = mb->self.incarnation;
	copy.number = ++mb->item_number;
	copy.wide = wide;
	if (to != 0) {
		memset(&msg, 0, sizeof(msg));
		msg.kind = MB_MSG_ITEMS;
		msg.target = to;
		msg.items[0] = copy;
		msg.item_count = 1;
		mb_send(mb, to, &msg);
		return 0;
	}
	keep(mb, &copy);
	if (wide)
		mb_relay_forward(mb, &copy);
	return 0;
}
