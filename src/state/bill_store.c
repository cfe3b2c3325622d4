#include "state/bill_store.h"

#include <string.h>

enum {
	BILLS_MAX = 200000,
	PULL_MS = 500,
	RECORD_HEAD_BYTES = 4 /* length before each record of an image */
};

/* Creates a replica's store of bills. */
struct bl_store *
bl_store_new(const struct bl_store_options *options)
{
	const struct alloc *alloc;
	struct bl_store *store;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	store = alloc_zero(alloc, 1, sizeof(*store));
	store->options = *options;
	store->options.alloc = alloc;
	if (options->bills_max == 0)
		store->options.bills_max = BILLS_MAX;
	if (options->pull_ms == 0)
		store->options.pull_ms = PULL_MS;
	bl_table_init(&store->table, alloc);
	buf_init(&store->record, alloc);
	buf_init(&store->upto, alloc);
	buf_init(&store->agreed, alloc);
	buf_init(&store->waiting, alloc);
	return store;
}

void
bl_store_free(struct bl_store *store)
{
	const struct alloc *alloc;

	if (store == NULL)
		return;
	alloc = store->options.alloc;
	bl_table_free(&store->table);
	buf_free(&store->record);
	buf_free(&store->upto);
	buf_free(&store->agreed);
	buf_free(&store->waiting);
	alloc_free(alloc, store->acks);
	alloc_free(alloc, store);
}

/* Names the other replicas. */
void
bl_store_peers(
    struct bl_store *store, const uint32_t *instances, uint32_t count)
{
	struct bl_peer old[BL_REPLICAS_MAX];
	uint32_t i, j;

	memcpy(old, store->peers, sizeof(old));
	memset(store->peers, 0, sizeof(store->peers));
	for (i = 0; i < count && i < BL_REPLICAS_MAX; i++) {
		for (j = 0; j < store->peer_count; j++)
			if (old[j].instance == instances[i])
				store->peers[i] = old[j];
		store->peers[i].instance = instances[i];
	}
	store->peer_count = i;
}

/* Asks for a record to be made durable; returns its sequence. */
uint64_t
bl_store_persist(struct bl_store *store, struct buf *record)
{
	struct bl_store_action action = {0};

	action.kind = BL_STORE_PERSIST;
	action.sequence = ++store->appended;
	action.record = record->data;
	action.record_len = record->len;
	store->options.emit(store->options.ctx, &action);
	return store->appended;
}

static void
send(struct bl_store *store, uint32_t to, const struct bl_msg *msg)
{
	struct bl_store_action action = {0};

	action.kind = BL_STORE_SEND;
	action.to = to;
	action.msg = msg;
	store->options.emit(store->options.ctx, &action);
}

static void
send_ack(struct bl_store *store, const struct bl_pending_ack *ack)
{
	struct bl_msg msg = {0};

	msg.kind = BL_MSG_ACK;
	msg.op = ack->op;
	msg.life = ack->id.owner;
	msg.last = ack->id.sequence;
	msg.replica = true;
	send(store, ack->to, &msg);
}

/*
 * Merges a bill and asks for the change to be made durable.  Returns false if
 * there is no room for it.
 */
bool
bl_store_take(struct bl_store *store, const struct bl_bill *bill)
{
	struct bl_node *node;
	bool changed;

	if (bill->id.sequence <= bl_seal_upto(&store->upto, bill->id.owner))
		return true;
	node = bl_table_find(&store->table, &bill->id);
	if (node == NULL) {
		if (store->table.count >= store->options.bills_max)
			return false;
		node = bl_table_add(&store->table, &bill->id);
	}
	if (node->bill.state == BL_CLOSED) {
		store->late++;
		return true;
	}
	if (store->options.unsafe_skip_merge || bill->state == BL_CLOSED) {
		node->bill = *bill;
		changed = true;
	} else {
		changed = bl_bill_merge(&node->bill, bill);
	}
	if (changed) {
		bl_table_touch(&store->table, node);
		buf_clear(&store->record);
		bl_bill_encode(&node->bill, &store->record);
		node->record = bl_store_persist(store, &store->record);
	}
	return true;
}

static void
take_put(struct bl_store *store, uint32_t from, const struct bl_msg *msg)
{
	struct bl_pending_ack ack = {0};
	uint32_t i;

	for (i = 0; i < msg->count; i++) {
		if (msg->bills[i].state == BL_CLOSED)
			return;
		if (msg->bills[i].id.sequence <=
		    bl_seal_upto(&store->upto, msg->bills[i].id.owner))
			store->late++;
		if (!bl_store_take(store, &msg->bills[i]))
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

static struct bl_peer *
find_peer(struct bl_store *store, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < store->peer_count; i++)
		if (store->peers[i].instance == instance)
			return &store->peers[i];
	return NULL;
}

/* Sends a peer the next bills that changed here since its last pull. */
static void
take_pull(struct bl_store *store, uint32_t from, const struct bl_msg *pull)
{
	struct bl_msg msg = {0};
	struct bl_node *node;
	struct bl_peer *peer;
	uint64_t after;

	after = pull->life == store->options.life ? pull->last : 0;
	peer = find_peer(store, from);
	if (peer != NULL) {
		peer->pulled = after;
		peer->seals = pull->op;
		bl_seal_drop(store);
	}
	msg.kind = BL_MSG_BATCH;
	msg.op = store->dropped;
	msg.life = store->options.life;
	msg.last = after;
	node = store->table.newest;
	if (node == NULL || node->arrival <= after)
		return;
	while (node->older != NULL && node->older->arrival > after)
		node = node->older;
	for (; node != NULL && msg.count < BL_BATCH; node = node->newer) {
		if (node->seal == 0 || node->seal > pull->op)
			msg.bills[msg.count++] = node->bill;
		msg.last = node->arrival;
	}
	msg.more = node != NULL;
	send(store, from, &msg);
}

static void
pull(struct bl_store *store, const struct bl_peer *peer)
{
	struct bl_msg msg = {0};

	msg.kind = BL_MSG_PULL;
	msg.op = store->seals;
	msg.life = peer->life;
	msg.last = peer->cursor;
	send(store, peer->instance, &msg);
}

/* The cursor of a peer moves once what it brought is durable here. */
static void
advance(struct bl_store *store, struct bl_peer *peer, bool again)
{
	if (peer->batch_last == 0 || peer->batch_record > store->persisted)
		return;
	peer->cursor = peer->batch_last;
	peer->batch_last = 0;
	if (again)
		pull(store, peer);
}

static void
take_batch(struct bl_store *store, uint32_t from, const struct bl_msg *msg)
{
	struct bl_peer *peer;
	uint32_t i;

	peer = find_peer(store, from);
	if (peer == NULL)
		return;
	if (msg->op > store->seals)
		store->behind = true;
	for (i = 0; i < msg->count; i++)
		if (!bl_store_take(store, &msg->bills[i]))
			return;
	if (peer->life != msg->life) {
		peer->life = msg->life;
		peer->cursor = 0; /* numbers of another life mean nothing */
	}
	peer->batch_last = msg->last;
	peer->batch_record = store->appended;
	advance(store, peer, msg->more);
	bl_seal_apply(store);
}

/* Takes a message of an instance or of another replica. */
void
bl_store_message(struct bl_store *store, int64_t now_us, uint32_t from,
    const struct bl_msg *msg)
{
	if (store->failed)
		return;
	if (msg->kind == BL_MSG_PUT) {
		take_put(store, from, msg);
		bl_seal_apply(store);
	} else if (msg->kind == BL_MSG_PULL) {
		take_pull(store, from, msg);
	} else if (msg->kind == BL_MSG_BATCH) {
		take_batch(store, from, msg);
	}
}

/* The records up to a sequence are durable. */
void
bl_store_persisted(struct bl_store *store, uint64_t sequence)
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
		advance(store, &store->peers[i], true);
	bl_seal_apply(store);
}

/* A sync failed: what the disk holds is unknown, so nothing more is said. */
void
bl_store_persist_failed(struct bl_store *store)
{
	store->failed = true;
	store->ack_count = 0;
}

/* Pulls from the peers every pull_ms. */
void
bl_store_tick(struct bl_store *store, int64_t now_us)
{
	uint32_t i;

	if (store->failed || now_us < store->pull_due_us)
		return;
	store->pull_due_us = now_us + store->options.pull_ms * (int64_t)1000;
	for (i = 0; i < store->peer_count; i++)
		pull(store, &store->peers[i]);
}

static void
restore_bill(struct bl_store *store, const struct bl_bill *bill)
{
	struct bl_node *node;

	node = bl_table_find(&store->table, &bill->id);
	if (node == NULL)
		node = bl_table_add(&store->table, &bill->id);
	else
		bl_table_touch(&store->table, node);
	node->bill = *bill;
	if (bill->id.sequence <= bl_seal_upto(&store->upto, bill->id.owner) &&
	    node->seal == 0) {
		node->seal = store->seals;
		store->sealed++;
	}
}

/* Replays one journal record; 0 or ERR_MALFORMED. */
int
bl_store_restore(struct bl_store *store, const uint8_t *record, size_t len)
{
	struct bl_record parsed;
	int error;

	buf_init(&parsed.ids, store->options.alloc);
	error = bl_record_decode(&parsed, record, len);
	if (error == 0 && parsed.kind == BL_RECORD_BILL)
		restore_bill(store, &parsed.bill);
	else if (error == 0 && parsed.kind == BL_RECORD_SEAL)
		bl_seal_restore_waiting(store, &parsed.seal);
	else if (error == 0)
		bl_seal_restore_tail(store, &parsed.tail);
	buf_free(&parsed.ids);
	return error;
}

static void
image_add(struct buf *out, const struct buf *record)
{
	uint32_t len;

	len = (uint32_t)record->len;
	buf_add(out, &len, RECORD_HEAD_BYTES);
	buf_add(out, record->data, record->len);
}

/* Appends a snapshot: rows of a record's length and the record. */
void
bl_store_image(const struct bl_store *store, struct buf *out)
{
	const struct bl_seal *seals;
	struct bl_node *node;
	struct buf record;
	size_t i;

	buf_init(&record, store->options.alloc);
	bl_store_tail(store, &record);
	image_add(out, &record);
	for (node = store->table.oldest; node != NULL; node = node->newer) {
		buf_clear(&record);
		bl_bill_encode(&node->bill, &record);
		image_add(out, &record);
	}
	seals = (const struct bl_seal *)store->waiting.data;
	for (i = 0; i < store->waiting.len / sizeof(*seals); i++) {
		buf_clear(&record);
		bl_record_seal(&seals[i], &record);
		image_add(out, &record);
	}
	buf_free(&record);
}

/* Reads a snapshot into an empty store; 0 or ERR_MALFORMED. */
int
bl_store_restore_image(struct bl_store *store, const uint8_t *image, size_t len)
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
		error = bl_store_restore(store, image, record);
		if (error != 0)
			return error;
		image += record;
		len -= record;
	}
	return 0;
}

/* Returns how many bills are not sealed yet. */
uint32_t
bl_store_count(const struct bl_store *store)
{
	return store->table.count - store->sealed;
}

bool
bl_store_behind(const struct bl_store *store)
{
	return store->behind;
}

uint64_t
bl_store_late(const struct bl_store *store)
{
	return store->late;
}

/*
 * Lists unsettled bills whose intent is older than a time of the wall clock.
 * Returns how many there are; bills takes the first max of them.
 */
size_t
bl_store_unsettled(const struct bl_store *store, int64_t before_s,
    struct bl_bill *bills, size_t max)
{
	struct bl_node *node;
	size_t count;

	count = 0;
	for (node = store->table.oldest; node != NULL; node = node->newer) {
		if (node->bill.state != BL_INTENT ||
		    node->bill.born_s >= before_s)
			continue;
		if (count < max)
			bills[count] = node->bill;
		count++;
	}
	return count;
}
