#include "state/bill_store.h"

#include <string.h>

/* Seals, which fix the order of the export. */

static size_t
id_count(const struct buf *list)
{
	return list->len / sizeof(struct bill_id);
}

/* Returns the position of an owner in a list, or where to insert it. */
static size_t
id_position(const struct buf *list, uint64_t owner)
{
	const struct bill_id *ids;
	size_t low, high, middle;

	ids = (const struct bill_id *)list->data;
	low = 0;
	high = id_count(list);
	while (low < high) {
		middle = (low + high) / 2;
		if (ids[middle].owner < owner)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns the sequence that a list has for an owner, 0 if none. */
uint64_t
bill_seal_get_upto(const struct buf *list, uint64_t owner)
{
	const struct bill_id *ids;
	size_t position;

	ids = (const struct bill_id *)list->data;
	position = id_position(list, owner);
	if (position == id_count(list) || ids[position].owner != owner)
		return 0;
	return ids[position].sequence;
}

/* Sets the sequence of an owner in a list. */
void
bill_seal_set_upto(struct buf *list, uint64_t owner, uint64_t sequence)
{
	struct bill_id id, *ids;
	size_t position;

	position = id_position(list, owner);
	ids = (struct bill_id *)list->data;
	if (position < id_count(list) && ids[position].owner == owner) {
		ids[position].sequence = sequence;
		return;
	}
	id.owner = owner;
	id.sequence = sequence;
	buf_add(list, &id, sizeof(id));
	ids = (struct bill_id *)list->data;
	memmove(&ids[position + 1], &ids[position],
	    (id_count(list) - 1 - position) * sizeof(id));
	ids[position] = id;
}

/* Returns the arrival number up to which a majority has all bills durably. */
static uint64_t
majority_arrival(const struct bill_store *store)
{
	uint64_t best, value;
	uint32_t i, j, need, have;

	need = (store->peer_count + 1) / 2; /* others that make a majority */
	if (need == 0)
		return UINT64_MAX;
	best = 0;
	for (i = 0; i < store->peer_count; i++) {
		value = store->peers[i].pulled;
		have = 0;
		for (j = 0; j < store->peer_count; j++)
			if (store->peers[j].pulled >= value)
				have++;
		if (have >= need && value > best)
			best = value;
	}
	return best;
}

static bool
is_sealable(const struct bill_store *store, const struct bill_node *node,
    uint64_t majority_upto)
{
	return node->bill.state >= BILL_SETTLED &&
	       node->record <= store->persisted &&
	       node->arrival <= majority_upto;
}

/* Returns the sequence up to which an owner's bills may be sealed now. */
static uint64_t
sealable_upto(const struct bill_store *store, uint64_t owner,
    uint64_t majority_upto, uint64_t highest)
{
	struct bill_node *node;
	struct bill_id id;

	id.owner = owner;
	id.sequence = bill_seal_get_upto(&store->agreed, owner);
	if (store->options.unsafe_seal_gaps)
		return highest;
	for (;;) {
		id.sequence++;
		node = bill_table_find(&store->table, &id);
		if (node == NULL || !is_sealable(store, node, majority_upto))
			return id.sequence - 1;
	}
}

static bool
seal_has_owner(const struct bill_seal *seal, uint64_t owner)
{
	uint32_t i;

	for (i = 0; i < seal->count; i++)
		if (seal->upto[i].owner == owner)
			return true;
	return false;
}

static void
seal_add_owner(struct bill_seal *seal, uint64_t owner, uint64_t sequence)
{
	uint32_t i;

	for (i = seal->count++; i > 0 && seal->upto[i - 1].owner > owner; i--)
		seal->upto[i] = seal->upto[i - 1];
	seal->upto[i].owner = owner;
	seal->upto[i].sequence = sequence;
}

/*
 * Makes the next seal: for each owner, the sequence up to which all bills are
 * settled and durable at a majority.  Returns false if there is nothing new or
 * an earlier seal still waits for bills.
 */
bool
bill_store_propose_seal(const struct bill_store *store, struct bill_seal *seal)
{
	const struct bill_id *id;
	struct bill_node *node;
	uint64_t end, limit;

	memset(seal, 0, sizeof(*seal));
	if (store->failed || store->waiting.len > 0)
		return false;
	limit = majority_arrival(store);
	seal->number = store->seals + 1;
	for (node = store->table.oldest;
	     node != NULL && seal->count < BILL_SEAL_OWNERS_MAX;
	     node = node->newer) {
		id = &node->bill.id;
		if (!is_sealable(store, node, limit) ||
		    seal_has_owner(seal, id->owner) ||
		    (!store->options.unsafe_seal_gaps &&
			id->sequence !=
			    bill_seal_get_upto(&store->agreed, id->owner) + 1))
			continue;
		end = sealable_upto(store, id->owner, limit, id->sequence);
		seal_add_owner(seal, id->owner, end);
	}
	return seal->count > 0;
}

static bool
has_all_bills(const struct bill_store *store, const struct bill_seal *seal)
{
	const struct bill_node *node;
	struct bill_id id;
	uint32_t i;

	if (store->options.unsafe_seal_gaps)
		return true;
	for (i = 0; i < seal->count; i++) {
		id = seal->upto[i];
		id.sequence = bill_seal_get_upto(&store->upto, id.owner) + 1;
		for (; id.sequence <= seal->upto[i].sequence; id.sequence++) {
			node = bill_table_find(&store->table, &id);
			if (node == NULL || node->bill.state < BILL_SETTLED ||
			    node->record > store->persisted)
				return false;
		}
	}
	return true;
}

static void
archive_bill(struct bill_store *store, const struct bill_seal *seal,
    struct bill_node *node)
{
	struct bill_store_action action = {0};

	action.kind = BILL_STORE_ARCHIVE;
	action.seal = seal->number;
	action.position = ++store->exported;
	action.bill = &node->bill;
	store->options.emit(store->options.ctx, &action);
	node->seal = seal->number;
	store->sealed++;
}

/* Returns the number of the last seal that every peer has archived. */
static uint64_t
archived_by_all(const struct bill_store *store)
{
	uint64_t least;
	uint32_t i;

	least = store->seals;
	for (i = 0; i < store->peer_count; i++)
		if (store->peers[i].seals < least)
			least = store->peers[i].seals;
	return least;
}

/*
 * Removes from memory the bills that every peer has archived, or all archived
 * bills when they take more than half of bills_max.
 */
void
bill_seal_drop_archived(struct bill_store *store)
{
	struct bill_node *node, *next;
	uint64_t upto;

	upto = archived_by_all(store);
	if (store->sealed > store->options.bills_max / 2)
		upto = store->seals;
	if (upto <= store->dropped)
		return;
	for (node = store->table.oldest; node != NULL; node = next) {
		next = node->newer;
		if (node->seal == 0 || node->seal > upto)
			continue;
		bill_table_remove(&store->table, node);
		store->sealed--;
	}
	store->dropped = upto;
}

static void
archive_seal(struct bill_store *store, const struct bill_seal *seal)
{
	struct bill_node *node;
	struct bill_id id;
	uint32_t i;

	for (i = 0; i < seal->count; i++) {
		id = seal->upto[i];
		id.sequence = bill_seal_get_upto(&store->upto, id.owner) + 1;
		for (; id.sequence <= seal->upto[i].sequence; id.sequence++) {
			node = bill_table_find(&store->table, &id);
			if (node != NULL)
				archive_bill(store, seal, node);
		}
		bill_seal_set_upto(
		    &store->upto, id.owner, seal->upto[i].sequence);
	}
	store->seals = seal->number;
	buf_clear(&store->record);
	bill_store_encode_seal_state(store, &store->record);
	bill_store_persist(store, &store->record);
	bill_seal_drop_archived(store);
}

/* Archives the waiting seals in order, up to one that lacks a bill. */
void
bill_seal_apply_waiting(struct bill_store *store)
{
	struct bill_seal seal;

	while (store->waiting.len > 0) {
		memcpy(&seal, store->waiting.data, sizeof(seal));
		if (!has_all_bills(store, &seal))
			return;
		buf_consume(&store->waiting, sizeof(seal));
		archive_seal(store, &seal);
	}
}

static void
add_agreed(struct bill_store *store, const struct bill_seal *seal)
{
	uint32_t i;

	buf_add(&store->waiting, seal, sizeof(*seal));
	for (i = 0; i < seal->count; i++)
		bill_seal_set_upto(&store->agreed, seal->upto[i].owner,
		    seal->upto[i].sequence);
}

static uint64_t
next_seal_number(const struct bill_store *store)
{
	return store->seals + 1 + store->waiting.len / sizeof(struct bill_seal);
}

/*
 * Applies a seal that was agreed through the log.  A seal with any other number
 * than the next one lost a race or is a repetition.  All replicas ignore it
 * alike.
 */
void
bill_store_seal_agreed(struct bill_store *store, const struct bill_seal *seal)
{
	if (seal->number != next_seal_number(store))
		return;
	add_agreed(store, seal);
	buf_clear(&store->record);
	bill_record_encode_seal(seal, &store->record);
	bill_store_persist(store, &store->record);
	bill_seal_apply_waiting(store);
}

/* Replays the record of a seal that waits for bills. */
void
bill_seal_replay_waiting(struct bill_store *store, const struct bill_seal *seal)
{
	if (seal->number == next_seal_number(store))
		add_agreed(store, seal);
}

/* Replays the sealed state; sealed bills are kept for slower peers. */
void
bill_seal_replay_state(
    struct bill_store *store, const struct bill_seal_state *sealed_state)
{
	struct bill_node *node;
	struct bill_seal seal;
	uint32_t i;

	if (sealed_state->seals < store->seals)
		return;
	store->seals = sealed_state->seals;
	store->exported = sealed_state->exported;
	for (i = 0; i < sealed_state->count; i++) {
		bill_seal_set_upto(&store->upto, sealed_state->upto[i].owner,
		    sealed_state->upto[i].sequence);
		if (bill_seal_get_upto(
			&store->agreed, sealed_state->upto[i].owner) <
		    sealed_state->upto[i].sequence)
			bill_seal_set_upto(&store->agreed,
			    sealed_state->upto[i].owner,
			    sealed_state->upto[i].sequence);
	}
	while (store->waiting.len > 0) {
		memcpy(&seal, store->waiting.data, sizeof(seal));
		if (seal.number > store->seals)
			break;
		buf_consume(&store->waiting, sizeof(seal));
	}
	for (node = store->table.oldest; node != NULL; node = node->newer) {
		if (node->seal != 0 ||
		    node->bill.id.sequence >
			bill_seal_get_upto(&store->upto, node->bill.id.owner))
			continue;
		node->seal = store->seals;
		store->sealed++;
	}
	store->behind = false;
}

/* Appends the sealed state to out, as a journal record. */
void
bill_store_encode_seal_state(const struct bill_store *store, struct buf *out)
{
	struct bill_seal_state sealed_state;

	sealed_state.seals = store->seals;
	sealed_state.exported = store->exported;
	sealed_state.upto = (const struct bill_id *)store->upto.data;
	sealed_state.count = (uint32_t)id_count(&store->upto);
	bill_record_encode_seal_state(&sealed_state, out);
}

/*
 * Adopts the sealed state of another replica, at a new or late replica.  The
 * export up to there has to be read from the others.  Returns 0 or
 * ERR_MALFORMED.
 */
int
bill_store_adopt_seal_state(
    struct bill_store *store, const uint8_t *sealed_state, size_t len)
{
	int error;

	error = bill_store_replay(store, sealed_state, len);
	if (error != 0)
		return error;
	buf_clear(&store->record);
	bill_store_encode_seal_state(store, &store->record);
	bill_store_persist(store, &store->record);
	return 0;
}

/*
 * Makes the closed copy of an unsettled bill, for an operator's order.  Returns
 * 0, ERR_NOT_FOUND, or ERR_CONFLICT for a bill that is settled or sealed.
 */
int
bill_store_make_closed(const struct bill_store *store, const struct bill_id *id,
    struct bill_entry *closed)
{
	const struct bill_node *node;

	if (id->sequence <= bill_seal_get_upto(&store->agreed, id->owner))
		return ERR_CONFLICT;
	node = bill_table_find(&store->table, id);
	if (node == NULL)
		return ERR_NOT_FOUND;
	if (node->bill.state != BILL_INTENT)
		return ERR_CONFLICT;
	*closed = node->bill;
	closed->state = BILL_CLOSED;
	return 0;
}

/*
 * Applies a closed bill that was agreed through the log.  It replaces the copy
 * of this replica, so that all replicas have the same bill.
 */
void
bill_store_closed_agreed(
    struct bill_store *store, const struct bill_entry *closed)
{
	struct bill_node *node;

	if (closed->id.sequence <=
	    bill_seal_get_upto(&store->agreed, closed->id.owner))
		return;
	node = bill_table_find(&store->table, &closed->id);
	if (node != NULL && node->bill.state == BILL_CLOSED)
		return;
	if (node == NULL)
		node = bill_table_add(&store->table, &closed->id);
	else
		bill_table_make_newest(&store->table, node);
	node->bill = *closed;
	buf_clear(&store->record);
	bill_encode(&node->bill, &store->record);
	node->record = bill_store_persist(store, &store->record);
}

uint64_t
bill_store_last_seal(const struct bill_store *store)
{
	return store->seals;
}

/* Returns the number of lines of the export. */
uint64_t
bill_store_exported_lines(const struct bill_store *store)
{
	return store->exported;
}
