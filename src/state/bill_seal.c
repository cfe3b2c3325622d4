#include "state/bill_store.h"

#include <string.h>

/* Seals: the agreed order of the export. */

static size_t
id_count(const struct buf *list)
{
	return list->len / sizeof(struct bl_id);
}

/* Returns the position of an owner in a list, or where it belongs. */
static size_t
id_place(const struct buf *list, uint64_t owner)
{
	const struct bl_id *ids;
	size_t low, high, middle;

	ids = (const struct bl_id *)list->data;
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

/* Returns the sequence up to which a list covers an owner; 0: not at all. */
uint64_t
bl_seal_upto(const struct buf *list, uint64_t owner)
{
	const struct bl_id *ids;
	size_t place;

	ids = (const struct bl_id *)list->data;
	place = id_place(list, owner);
	if (place == id_count(list) || ids[place].owner != owner)
		return 0;
	return ids[place].sequence;
}

/* Moves an owner's sequence on. */
void
bl_seal_set_upto(struct buf *list, uint64_t owner, uint64_t sequence)
{
	struct bl_id id, *ids;
	size_t place;

	place = id_place(list, owner);
	ids = (struct bl_id *)list->data;
	if (place < id_count(list) && ids[place].owner == owner) {
		ids[place].sequence = sequence;
		return;
	}
	id.owner = owner;
	id.sequence = sequence;
	buf_add(list, &id, sizeof(id));
	ids = (struct bl_id *)list->data;
	memmove(&ids[place + 1], &ids[place],
	    (id_count(list) - 1 - place) * sizeof(id));
	ids[place] = id;
}

/* The arrival number up to which a majority has durably what is here. */
static uint64_t
replicated(const struct bl_store *store)
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
sealable(const struct bl_store *store, const struct bl_node *node,
    uint64_t replicated_upto)
{
	return node->bill.state >= BL_SETTLED &&
	       node->record <= store->persisted &&
	       node->arrival <= replicated_upto;
}

/* The end of an owner's row of bills that may be sealed now. */
static uint64_t
prefix_end(const struct bl_store *store, uint64_t owner,
    uint64_t replicated_upto, uint64_t highest)
{
	struct bl_node *node;
	struct bl_id id;

	id.owner = owner;
	id.sequence = bl_seal_upto(&store->agreed, owner);
	if (store->options.unsafe_seal_gaps)
		return highest;
	for (;;) {
		id.sequence++;
		node = bl_table_find(&store->table, &id);
		if (node == NULL || !sealable(store, node, replicated_upto))
			return id.sequence - 1;
	}
}

static bool
seal_has(const struct bl_seal *seal, uint64_t owner)
{
	uint32_t i;

	for (i = 0; i < seal->count; i++)
		if (seal->upto[i].owner == owner)
			return true;
	return false;
}

static void
seal_add(struct bl_seal *seal, uint64_t owner, uint64_t sequence)
{
	uint32_t i;

	for (i = seal->count++; i > 0 && seal->upto[i - 1].owner > owner; i--)
		seal->upto[i] = seal->upto[i - 1];
	seal->upto[i].owner = owner;
	seal->upto[i].sequence = sequence;
}

/*
 * Makes the next seal: for each owner the settled prefix that a majority has.
 * Returns false if there is nothing new, or an earlier seal still waits.
 */
bool
bl_store_propose(const struct bl_store *store, struct bl_seal *seal)
{
	const struct bl_id *id;
	struct bl_node *node;
	uint64_t end, limit;

	memset(seal, 0, sizeof(*seal));
	if (store->failed || store->waiting.len > 0)
		return false;
	limit = replicated(store);
	seal->number = store->seals + 1;
	for (node = store->table.oldest;
	     node != NULL && seal->count < BL_SEAL_MAX; node = node->newer) {
		id = &node->bill.id;
		if (!sealable(store, node, limit) ||
		    seal_has(seal, id->owner) ||
		    (!store->options.unsafe_seal_gaps &&
			id->sequence !=
			    bl_seal_upto(&store->agreed, id->owner) + 1))
			continue;
		end = prefix_end(store, id->owner, limit, id->sequence);
		seal_add(seal, id->owner, end);
	}
	return seal->count > 0;
}

static bool
all_here(const struct bl_store *store, const struct bl_seal *seal)
{
	const struct bl_node *node;
	struct bl_id id;
	uint32_t i;

	if (store->options.unsafe_seal_gaps)
		return true;
	for (i = 0; i < seal->count; i++) {
		id = seal->upto[i];
		id.sequence = bl_seal_upto(&store->upto, id.owner) + 1;
		for (; id.sequence <= seal->upto[i].sequence; id.sequence++) {
			node = bl_table_find(&store->table, &id);
			if (node == NULL || node->bill.state < BL_SETTLED ||
			    node->record > store->persisted)
				return false;
		}
	}
	return true;
}

static void
archive_bill(
    struct bl_store *store, const struct bl_seal *seal, struct bl_node *node)
{
	struct bl_store_action action = {0};

	action.kind = BL_STORE_ARCHIVE;
	action.seal = seal->number;
	action.position = ++store->exported;
	action.bill = &node->bill;
	store->options.emit(store->options.ctx, &action);
	node->seal = seal->number;
	store->sealed++;
}

/* The last seal that every peer has archived. */
static uint64_t
archived_everywhere(const struct bl_store *store)
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
 * Drops the bills that every peer has archived, and all archived ones when
 * they take half of the room.
 */
void
bl_seal_drop(struct bl_store *store)
{
	struct bl_node *node, *next;
	uint64_t upto;

	upto = archived_everywhere(store);
	if (store->sealed > store->options.bills_max / 2)
		upto = store->seals;
	if (upto <= store->dropped)
		return;
	for (node = store->table.oldest; node != NULL; node = next) {
		next = node->newer;
		if (node->seal == 0 || node->seal > upto)
			continue;
		bl_table_remove(&store->table, node);
		store->sealed--;
	}
	store->dropped = upto;
}

static void
archive(struct bl_store *store, const struct bl_seal *seal)
{
	struct bl_node *node;
	struct bl_id id;
	uint32_t i;

	for (i = 0; i < seal->count; i++) {
		id = seal->upto[i];
		id.sequence = bl_seal_upto(&store->upto, id.owner) + 1;
		for (; id.sequence <= seal->upto[i].sequence; id.sequence++) {
			node = bl_table_find(&store->table, &id);
			if (node != NULL)
				archive_bill(store, seal, node);
		}
		bl_seal_set_upto(
		    &store->upto, id.owner, seal->upto[i].sequence);
	}
	store->seals = seal->number;
	buf_clear(&store->record);
	bl_store_tail(store, &store->record);
	bl_store_persist(store, &store->record);
	bl_seal_drop(store);
}

/* Archives the seals whose bills have all arrived, in their order. */
void
bl_seal_apply(struct bl_store *store)
{
	struct bl_seal seal;

	while (store->waiting.len > 0) {
		memcpy(&seal, store->waiting.data, sizeof(seal));
		if (!all_here(store, &seal))
			return;
		buf_consume(&store->waiting, sizeof(seal));
		archive(store, &seal);
	}
}

static void
agree(struct bl_store *store, const struct bl_seal *seal)
{
	uint32_t i;

	buf_add(&store->waiting, seal, sizeof(*seal));
	for (i = 0; i < seal->count; i++)
		bl_seal_set_upto(&store->agreed, seal->upto[i].owner,
		    seal->upto[i].sequence);
}

static uint64_t
next_number(const struct bl_store *store)
{
	return store->seals + 1 + store->waiting.len / sizeof(struct bl_seal);
}

/*
 * A seal was agreed through the log.  One with another number than the next
 * lost a race or is a repetition, on every replica alike.
 */
void
bl_store_sealed(struct bl_store *store, const struct bl_seal *seal)
{
	if (seal->number != next_number(store))
		return;
	agree(store, seal);
	buf_clear(&store->record);
	bl_record_seal(seal, &store->record);
	bl_store_persist(store, &store->record);
	bl_seal_apply(store);
}

/* Replays a seal that waited. */
void
bl_seal_restore_waiting(struct bl_store *store, const struct bl_seal *seal)
{
	if (seal->number == next_number(store))
		agree(store, seal);
}

/* Replays what was sealed; bills before it are kept for slower peers. */
void
bl_seal_restore_tail(struct bl_store *store, const struct bl_tail *tail)
{
	struct bl_node *node;
	struct bl_seal seal;
	uint32_t i;

	if (tail->seals < store->seals)
		return;
	store->seals = tail->seals;
	store->exported = tail->exported;
	for (i = 0; i < tail->count; i++) {
		bl_seal_set_upto(
		    &store->upto, tail->upto[i].owner, tail->upto[i].sequence);
		if (bl_seal_upto(&store->agreed, tail->upto[i].owner) <
		    tail->upto[i].sequence)
			bl_seal_set_upto(&store->agreed, tail->upto[i].owner,
			    tail->upto[i].sequence);
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
			bl_seal_upto(&store->upto, node->bill.id.owner))
			continue;
		node->seal = store->seals;
		store->sealed++;
	}
	store->behind = false;
}

/* Appends what is sealed and archived, as a journal record. */
void
bl_store_tail(const struct bl_store *store, struct buf *out)
{
	struct bl_tail tail;

	tail.seals = store->seals;
	tail.exported = store->exported;
	tail.upto = (const struct bl_id *)store->upto.data;
	tail.count = (uint32_t)id_count(&store->upto);
	bl_record_tail(&tail, out);
}

/*
 * Starts a new replica after what the others have archived; the export before
 * it is theirs.  Returns 0 or ERR_MALFORMED.
 */
int
bl_store_adopt(struct bl_store *store, const uint8_t *tail, size_t len)
{
	int error;

	error = bl_store_restore(store, tail, len);
	if (error != 0)
		return error;
	buf_clear(&store->record);
	bl_store_tail(store, &store->record);
	bl_store_persist(store, &store->record);
	return 0;
}

/*
 * Makes the bill by which operators give up an unsettled one.  Returns 0,
 * ERR_NOT_FOUND, or ERR_CONFLICT for a bill that is settled or sealed.
 */
int
bl_store_close(const struct bl_store *store, const struct bl_id *id,
    struct bl_bill *closed)
{
	const struct bl_node *node;

	if (id->sequence <= bl_seal_upto(&store->agreed, id->owner))
		return ERR_CONFLICT;
	node = bl_table_find(&store->table, id);
	if (node == NULL)
		return ERR_NOT_FOUND;
	if (node->bill.state != BL_INTENT)
		return ERR_CONFLICT;
	*closed = node->bill;
	closed->state = BL_CLOSED;
	return 0;
}

/* A closed bill was agreed through the log; every replica takes it as it is. */
void
bl_store_closed(struct bl_store *store, const struct bl_bill *closed)
{
	struct bl_node *node;

	if (closed->id.sequence <=
	    bl_seal_upto(&store->agreed, closed->id.owner))
		return;
	node = bl_table_find(&store->table, &closed->id);
	if (node != NULL && node->bill.state == BL_CLOSED)
		return;
	if (node == NULL)
		node = bl_table_add(&store->table, &closed->id);
	else
		bl_table_touch(&store->table, node);
	node->bill = *closed;
	buf_clear(&store->record);
	bl_bill_encode(&node->bill, &store->record);
	node->record = bl_store_persist(store, &store->record);
}

uint64_t
bl_store_seal_number(const struct bl_store *store)
{
	return store->seals;
}

/* Returns how many lines the export has. */
uint64_t
bl_store_exported(const struct bl_store *store)
{
	return store->exported;
}
