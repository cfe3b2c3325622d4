#include "state/bill.h"

/* Returns the position of an attempt's item, or where to insert it. */
static uint8_t
item_position(const struct bill_entry *bill, uint8_t attempt)
{
	uint8_t i;

	for (i = 0; i < bill->item_count; i++)
		if (bill->items[i].attempt >= attempt)
			break;
	return i;
}

/* Adds an item unless the attempt has one.  Returns whether it was added. */
static bool
add_item(struct bill_entry *bill, const struct bill_item *item)
{
	uint8_t i, position;

	position = item_position(bill, item->attempt);
	if (position < bill->item_count &&
	    bill->items[position].attempt == item->attempt)
		return false;
	if (bill->item_count == BILL_ITEMS_MAX)
		return false;
	for (i = bill->item_count; i > position; i--)
		bill->items[i] = bill->items[i - 1];
	bill->items[position] = *item;
	bill->item_count++;
	return true;
}

/*
 * Merges a copy of a bill: the union of the items and the later state.  Merges
 * in any order give the same bill.  Returns whether to changed.
 */
bool
bill_merge(struct bill_entry *to, const struct bill_entry *from)
{
	bool changed;
	uint8_t i;

	changed = false;
	if (to->state == 0) {
		to->workspace = from->workspace;
		to->service = from->service;
		to->request = from->request;
		to->born_s = from->born_s;
	}
	if (from->state > to->state) {
		to->state = from->state;
		changed = true;
	}
	for (i = 0; i < from->item_count; i++)
		if (add_item(to, &from->items[i]))
			changed = true;
	return changed;
}

/* Returns the sum of the items, in billionths of the currency's unit. */
uint64_t
bill_cost_nano(const struct bill_entry *bill)
{
	uint64_t sum;
	uint8_t i;

	sum = 0;
	for (i = 0; i < bill->item_count; i++)
		sum += bill->items[i].cost_nano;
	return sum;
}
