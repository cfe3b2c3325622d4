#include "state/bill_store.h"

#include <string.h>

enum {
	BILLS_DEFAULT_MAX = 200000,
	PULL_DEFAULT_MS = 500,
	RECORD_HEAD_BYTES = 4 /* length before each record of a snapshot */
};

/* Creates a replica's store of bills. */
struct bill_store *
bill_store_new(const struct bill_store_options *options)
{
	const struct alloc *alloc;
	struct bill_store *store;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	store = alloc_zero(alloc, 1, sizeof(*store));
	store->options = *options;
	store->options.alloc = alloc;
	if (options->bills_max == 0)
		store->options.bills_max = BILLS_DEFAULT_MAX;
	if (options->pull_ms == 0)
		store->options.pull_ms = PULL_DEFAULT_MS;
	bill_table_init(&store->table, alloc);
	buf_init(&store->record, alloc);
	buf_init(&store->upto, alloc);
	buf_init(&store->agreed, alloc);
	buf_init(&store->waiting, alloc);
	return store;
}

void
bill_store_free(struct bill_store *store)
{
	const struct alloc *alloc;

	if (store == NULL)
		return;
	alloc = store->options.alloc;
	bill_table_free(&store->table);
	buf_free(&store->record);
	buf_free(&store->upto);
	buf_free(&store->agreed);
	buf_free(&store->waiting);
	alloc_free(alloc, store->acks);
	alloc_free(alloc, store);
}

/* Sets the other replicas; known ones keep their cursors. */
void
bill_store_set_peers(
    struct bill_store *store, const uint32_t *instances, uint32_t count)
{
	struct bill_peer old[BILL_REPLICAS_MAX];
	uint32_t i, j;

	memcpy(old, store->peers, sizeof(old));
	memset(store->peers, 0, sizeof(store->peers));
	for (i = 0; i < count && i < BILL_REPLICAS_MAX; i++) {
		for (j = 0; j < store->peer_count; j++)
			if (old[j].instance == instances[i])
				store->peers[i] = old[j];
		store->peers[i].instance = instances[i];
	}
	store->peer_count = i;
}

/* Emits an action to persist a record.  Returns the record's sequence. */
uint64_t
bill_store_persist(struct bill_store *store, struct buf *record)
{
	struct bill_store_action action = {0};

	action.kind = BILL_STORE_PERSIST;
	action.sequence = ++store->appended;
	action.record = record->data;
	action.record_len = record->len;
	store->options.emit(store->options.ctx, &action);
	return store->appended;
}

static void
send_msg(struct bill_store *store, uint32_t to, const struct bill_msg *msg)
{
	struct bill_store_action action = {0};

	action.kind = BILL_STORE_SEND;
	action.to = to;
	action.msg = msg;
	store->options.emit(store->options.ctx, &action);
}

static void
send_ack(struct bill_store *store, const struct bill_pending_ack *ack)
{
	struct bill_msg msg = {0};

	msg.kind = BILL_MSG_ACK;
	msg.op = ack->op;
	msg.life = ack->id.owner;
	msg.last = ack->id.sequence;
	msg.replica = true;
	send_msg(store, ack->to, &msg);
}

/*
 * Merges a bill and persists the change.  Returns false if the store is full.
 */
bool
bill_store_merge_bill(struct bill_store *store, const struct bill_entry *bill)
{
	struct bill_node *node;
	bool changed;

	if (bill->id.sequence <=
	    bill_seal_get_upto(&store->upto, bill->id.owner))
		return true;
	node = bill_table_find(&store->table, &bill->id);
	if (node == NULL) {
		if (store->table.count >= store->options.bills_max)
			return false;
		node = bill_table_add(&store->table, &bill->id);
	}
	if (node->bill.state == BILL_CLOSED) {
		store->late++;
		return true;
	}
	if (store->options.unsafe_skip_merge || bill->state == BILL_CLOSED) {
		node->bill = *bill;
		changed = true;
	} else {
		changed = bill_merge(&node->bill, bill);
	}
	if (changed) {
		bill_table_make_newest(&store->table, node);
		buf_clear(&store->record);
		bill_encode(&node->bill, &store->record);
		node->record = bill_store_persist(store, &store->record);
	}
	return true;
}

static void
handle_put(struct bill_store *store, uint32_t from, const struct bill_msg *msg)
{
	struct bill_pending_ack ack = {0};
	uint32_t i;

	for (i = 0; i < msg->count; i++) {
		if (msg->bills[i].state == BILL_CLOSED)
			return;
		if (msg->bills[i].id.sequence <=
		    bill_seal_get_upto(&store->upto, msg->bills[i].id.owner))
			store->late++;
		if (!bill_store_merge_bill(store, &msg->bills[i]))
			return;
	}
	if (msg->count == 0)
		return;
	ack.record = store->appended;
	ack.to = from;
	ack.op = msg->op;
	ack.id = msg->bills[0].id;
	if (store->appended == store->persisted ||
	    store->options.unsafe_skip_sync) {
		send_ack(store, &ack);
		return;
	}
	if (store->ack_count == store->ack_size) {
		store->ack_size = store->ack_size * 2 + 16;
		store->acks = alloc_resize(store->options.alloc, store->acks,
		    store->ack_size * sizeof(*store->acks));
	}
	store->acks[store->ack_count++] = ack;
}

static struct bill_peer *
find_peer(struct bill_store *store, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < store->peer_count; i++)
		if (store->peers[i].instance == instance)
			return &store->peers[i];
	return NULL;
}

/* Sends a peer the next bills that have changed since its last pull. */
static void
handle_pull(
    struct bill_store *store, uint32_t from, const struct bill_msg *pull)
{
	struct bill_msg msg = {0};
	struct bill_node *node;
	struct bill_peer *peer;
	uint64_t after;

	after = pull->life == store->options.life ? pull->last : 0;
	peer = find_peer(store, from);
	if (peer != NULL) {
		peer->pulled = after;
		peer->seals = pull->op;
		bill_seal_drop_archived(store);
	}
	msg.kind = BILL_MSG_BATCH;
	msg.op = store->dropped;
	msg.life = store->options.life;
	msg.last = after;
	node = store->table.newest;
	if (node == NULL || node->arrival <= after)
		return;
	while (node->older != NULL && node->older->arrival > after)
		node = node->older;
	for (; node != NULL && msg.count < BILL_MSG_BILLS_MAX;
	     node = node->newer) {
		if (node->seal == 0 || node->seal > pull->op)
			msg.bills[msg.count++] = node->bill;
		msg.last = node->arrival;
	}
	msg.more = node != NULL;
	send_msg(store, from, &msg);
}

static void
send_pull(struct bill_store *store, const struct bill_peer *peer)
{
	struct bill_msg msg = {0};

	msg.kind = BILL_MSG_PULL;
	msg.op = store->seals;
	msg.life = peer->life;
	msg.last = peer->cursor;
	send_msg(store, peer->instance, &msg);
}

/* Advances a peer's cursor once its last batch is durable here. */
static void
advance_cursor(struct bill_store *store, struct bill_peer *peer, bool again)
{
	if (peer->batch_last == 0 || peer->batch_record > store->persisted)
		return;
	peer->cursor = peer->batch_last;
	peer->batch_last = 0;
	if (again)
		send_pull(store, peer);
}

static void
handle_batch(
    struct bill_store *store, uint32_t from, const struct bill_msg *msg)
{
	struct bill_peer *peer;
	uint32_t i;

	peer = find_peer(store, from);
	if (peer == NULL)
		return;
	if (msg->op > store->seals)
		store->behind = true;
	for (i = 0; i < msg->count; i++)
		if (!bill_store_merge_bill(store, &msg->bills[i]))
			return;
	if (peer->life != msg->life) {
		peer->life = msg->life;
		peer->cursor = 0; /* each life counts arrivals anew */
	}
	peer->batch_last = msg->last;
	peer->batch_record = store->appended;
	advance_cursor(store, peer, msg->more);
	bill_seal_apply_waiting(store);
}

/* Processes a message of an instance or of another replica. */
void
bill_store_receive(struct bill_store *store, int64_t now_us, uint32_t from,
    const struct bill_msg *msg)
{
	if (store->failed)
		return;
	if (msg->kind == BILL_MSG_PUT) {
		handle_put(store, from, msg);
		bill_seal_apply_waiting(store);
	} else if (msg->kind == BILL_MSG_PULL) {
		handle_pull(store, from, msg);
	} else if (msg->kind == BILL_MSG_BATCH) {
		handle_batch(store, from, msg);
	}
}

/* Sends the acknowledgements that waited for the records up to sequence. */
void
bill_store_persisted(struct bill_store *store, uint64_t sequence)
{
	size_t i;

	if (store->failed || sequence <= store->persisted)
		return;
	store->persisted = sequence;
	for (i = 0; i < store->ack_count; i++) {
		if (store->acks[i].record > sequence)
			break;
		send_ack(store, &store->acks[i]);
	}
	store->ack_count -= i;
	if (i > 0)
		memmove(store->acks, store->acks + i,
		    store->ack_count * sizeof(*store->acks));
	for (i = 0; i < store->peer_count; i++)
		advance_cursor(store, &store->peers[i], true);
	bill_seal_apply_waiting(store);
}

/*
 * Stops all messages after a failed sync, because it is unknown what the disk
 * holds.
 */
void
bill_store_persist_failed(struct bill_store *store)
{
	store->failed = true;
	store->ack_count = 0;
}

/* Pulls from the peers every pull_ms. */
void
bill_store_tick(struct bill_store *store, int64_t now_us)
{
	uint32_t i;

	if (store->failed || now_us < store->pull_due_us)
		return;
	store->pull_due_us = now_us + store->options.pull_ms * (int64_t)1000;
	for (i = 0; i < store->peer_count; i++)
		send_pull(store, &store->peers[i]);
}

static void
restore_bill(struct bill_store *store, const struct bill_entry *bill)
{
	struct bill_node *node;

	node = bill_table_find(&store->table, &bill->id);
	if (node == NULL)
		node = bill_table_add(&store->table, &bill->id);
	else
		bill_table_make_newest(&store->table, node);
	node->bill = *bill;
	if (bill->id.sequence <=
		bill_seal_get_upto(&store->upto, bill->id.owner) &&
	    node->seal == 0) {
		node->seal = store->seals;
		store->sealed++;
	}
}

/* Replays one journal record.  Returns 0 or ERR_MALFORMED. */
int
bill_store_replay(struct bill_store *store, const uint8_t *record, size_t len)
{
	struct bill_journal_record parsed;
	int error;

	buf_init(&parsed.ids, store->options.alloc);
	error = bill_record_decode(&parsed, record, len);
	if (error == 0 && parsed.kind == BILL_RECORD_BILL)
		restore_bill(store, &parsed.bill);
	else if (error == 0 && parsed.kind == BILL_RECORD_SEAL)
		bill_seal_replay_waiting(store, &parsed.seal);
	else if (error == 0)
		bill_seal_replay_state(store, &parsed.sealed_state);
	buf_free(&parsed.ids);
	return error;
}

static void
snapshot_add(struct buf *out, const struct buf *record)
{
	uint32_t len;

	len = (uint32_t)record->len;
	buf_add(out, &len, RECORD_HEAD_BYTES);
	buf_add(out, record->data, record->len);
}

/* Appends a snapshot to out: each record with its length before it. */
void
bill_store_snapshot(const struct bill_store *store, struct buf *out)
{
	const struct bill_seal *seals;
	struct bill_node *node;
	struct buf record;
	size_t i;

	buf_init(&record, store->options.alloc);
	bill_store_encode_seal_state(store, &record);
	snapshot_add(out, &record);
	for (node = store->table.oldest; node != NULL; node = node->newer) {
		buf_clear(&record);
		bill_encode(&node->bill, &record);
		snapshot_add(out, &record);
	}
	seals = (const struct bill_seal *)store->waiting.data;
	for (i = 0; i < store->waiting.len / sizeof(*seals); i++) {
		buf_clear(&record);
		bill_record_encode_seal(&seals[i], &record);
		snapshot_add(out, &record);
	}
	buf_free(&record);
}

/* Reads a snapshot into an empty store.  Returns 0 or ERR_MALFORMED. */
int
bill_store_restore_snapshot(
    struct bill_store *store, const uint8_t *image, size_t len)
{
	uint32_t record;
	int error;

	while (len > 0) {
		if (len < RECORD_HEAD_BYTES)
			return ERR_MALFORMED;
		memcpy(&record, image, sizeof(record));
		image += RECORD_HEAD_BYTES;
		len -= RECORD_HEAD_BYTES;
		if (record > len)
			return ERR_MALFORMED;
		error = bill_store_replay(store, image, record);
		if (error != 0)
			return error;
		image += record;
		len -= record;
	}
	return 0;
}

/* Returns the number of bills in memory that are not sealed yet. */
uint32_t
bill_store_unsealed_count(const struct bill_store *store)
{
	return store->table.count - store->sealed;
}

bool
bill_store_is_behind(const struct bill_store *store)
{
	return store->behind;
}

uint64_t
bill_store_late_count(const struct bill_store *store)
{
	return store->late;
}

/*
 * Lists the unsettled bills whose intent is older than before_s (Unix time),
 * least recently changed first.  Returns how many there are; bills gets the
 * first max of them.
 */
size_t
bill_store_list_unsettled(const struct bill_store *store, int64_t before_s,
    struct bill_entry *bills, size_t max)
{
	struct bill_node *node;
	size_t count;

	count = 0;
	for (node = store->table.oldest; node != NULL; node = node->newer) {
		if (node->bill.state != BILL_INTENT ||
		    node->bill.born_s >= before_s)
			continue;
		if (count < max)
			bills[count] = node->bill;
		count++;
	}
	return count;
}
