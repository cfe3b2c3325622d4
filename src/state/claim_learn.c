#include "state/claim_store.h"

#include <string.h>

enum {
	LEARN_RESEND_MS = 500,
	CURSOR_POSITION_BITS = 32 /* the bits above hold the generation */
};

/*
 * How a replaced replica learns the entries of other replicas, and how a
 * replica lists its halted entries.
 *
 * The lost replica voted in majorities.  Each of them had majority - 1 other
 * members, so any count - majority + 1 of the other replicas intersect every
 * one of them, and learning from that many is enough.  By then the others have
 * stopped serving the earlier replica set, so no majority that includes the
 * lost replica can form later.
 */

static uint32_t
majority(const struct claim_store *store)
{
	return store->set.count / 2 + 1;
}

/* Restarts learning from all replicas, after a change of the set. */
void
claim_learn_restart(struct claim_store *store)
{
	uint32_t i;

	memset(store->peers, 0, sizeof(store->peers));
	for (i = 0; i < store->set.count; i++)
		store->peers[i].instance = store->set.instances[i];
	store->learn_due_us = 0;
}

static void
request_entries(struct claim_store *store, const struct claim_learn_peer *peer)
{
	struct claim_msg msg = {0};

	msg.kind = CLAIM_MSG_LEARN;
	msg.epoch = store->meta.epoch;
	msg.cursor = peer->cursor;
	claim_store_send(store, peer->instance, &msg);
}

static void
end_learning(struct claim_store *store, enum claim_coverage coverage)
{
	struct claim_meta meta;

	if (store->covered_sequence != 0)
		return;
	meta = store->meta;
	meta.coverage = coverage;
	claim_store_persist_meta(store, &meta);
	store->pending_coverage = coverage;
	store->covered_sequence = store->appended;
}

/*
 * Returns whether all dated keys that this replica may have lost are too old to
 * be claimed.  After two losses at once there are too few replicas to learn
 * from.  Once a horizon has passed since, every dated key that was claimed
 * before is refused for its age, so the replica may vote on dated keys again.
 */
static bool
forgotten_is_past_horizon(struct claim_store *store)
{
	if (store->wall_s == 0)
		return false;
	if (store->learn_start_wall_s == 0)
		store->learn_start_wall_s = store->wall_s;
	return store->wall_s >
	       store->learn_start_wall_s + (int64_t)store->options.horizon_s +
		   2 * (int64_t)store->options.skew_s + CLAIM_BIRTH_BUCKET_S;
}

/* Requests entries from the replicas that have not sent all of theirs. */
void
claim_learn_tick(struct claim_store *store, int64_t now_us)
{
	uint32_t i;

	if (store->meta.coverage != CLAIM_COVERS_NONE)
		return;
	if (forgotten_is_past_horizon(store)) {
		end_learning(store, CLAIM_COVERS_DATED);
		return;
	}
	if (now_us < store->learn_due_us)
		return;
	store->learn_due_us = now_us + LEARN_RESEND_MS * (int64_t)1000;
	for (i = 0; i < store->set.count; i++)
		if (!store->peers[i].done &&
		    store->peers[i].instance != store->options.instance)
			request_entries(store, &store->peers[i]);
}

static bool
is_listed(const struct claim_entry *entry, enum claim_msg_kind kind)
{
	return kind == CLAIM_MSG_LEARN || entry->phase == CLAIM_MARKED ||
	       entry->phase == CLAIM_HALTED;
}

/*
 * Sends the entries from a cursor on.  A cursor of an earlier generation starts
 * again at the first entry.
 */
static void
send_entries(
    struct claim_store *store, uint32_t to, const struct claim_msg *request)
{
	struct claim_msg msg = {0};
	uint64_t generation;
	uint32_t i;

	generation = (uint64_t)store->table.generation << CURSOR_POSITION_BITS;
	i = (uint32_t)request->cursor;
	if (request->cursor >> CURSOR_POSITION_BITS !=
	    generation >> CURSOR_POSITION_BITS)
		i = 0;
	msg.kind = CLAIM_MSG_ENTRIES;
	msg.epoch = store->meta.epoch;
	msg.op = request->kind;
	msg.floor = store->meta.floor;
	for (;
	     i < store->table.count && msg.entry_count < CLAIM_MSG_ENTRIES_MAX;
	     i++)
		if (is_listed(&store->table.slots[i].entry, request->kind))
			msg.entries[msg.entry_count++] =
			    store->table.slots[i].entry;
	msg.cursor = i < store->table.count ? generation | i : 0;
	claim_store_send(store, to, &msg);
}

static void
merge_entry(
    struct claim_store *store, int64_t now_us, const struct claim_entry *entry)
{
	struct claim_slot *slot;

	if (entry->key.born != 0 && entry->key.born < store->meta.floor)
		return;
	slot = claim_table_find(&store->table, &entry->key);
	if (slot == NULL)
		slot = claim_table_add(&store->table, &entry->key);
	if (claim_entry_merge(&slot->entry, entry)) {
		slot->marked_us = now_us;
		claim_store_persist(store, &slot->entry);
	}
}

static void
merge_entries(struct claim_store *store, int64_t now_us, uint32_t from,
    const struct claim_msg *msg)
{
	uint32_t i, done;

	if (store->meta.coverage != CLAIM_COVERS_NONE)
		return;
	if (msg->floor > store->meta.floor)
		store->meta.floor = msg->floor;
	for (i = 0; i < msg->entry_count; i++)
		merge_entry(store, now_us, &msg->entries[i]);
	done = 0;
	for (i = 0; i < store->set.count; i++) {
		if (store->peers[i].instance == from && !store->peers[i].done) {
			store->peers[i].cursor = msg->cursor;
			store->peers[i].done = msg->cursor == 0;
			if (!store->peers[i].done)
				request_entries(store, &store->peers[i]);
		}
		if (store->peers[i].done)
			done++;
	}
	if (done >= store->set.count - majority(store) + 1)
		end_learning(store, CLAIM_COVERS_ALL);
}

/* Processes a request for entries, or the reply to one of this replica. */
void
claim_learn_receive(struct claim_store *store, int64_t now_us, uint32_t from,
    const struct claim_msg *msg)
{
	if (msg->kind == CLAIM_MSG_ENTRIES && msg->op == CLAIM_MSG_LEARN)
		merge_entries(store, now_us, from, msg);
	else if (msg->kind != CLAIM_MSG_ENTRIES &&
		 store->meta.coverage == CLAIM_COVERS_ALL)
		send_entries(store, from, msg);
}
