#include "state/claim_store.h"

#include <string.h>

enum {
	LEARN_RESEND_MS = 500,
	CURSOR_POSITION_BITS = 32 /* a cursor is generation and position */
};

/*
 * A replaced replica learns all entries of enough others, and lists of halted
 * entries.
 *
 * A lost replica voted in majorities of which it was one.  Each of them had
 * majority - 1 other members, so any count - majority + 1 of the others meet
 * every one of them.  The others have stopped to serve the earlier replica
 * set by then, so no majority with the lost replica forms later.
 */

static uint32_t
majority(const struct cl_store *store)
{
	return store->set.count / 2 + 1;
}

/* Begins to learn anew from everyone of a changed set. */
void
cl_learn_restart(struct cl_store *store)
{
	uint32_t i;

	memset(store->peers, 0, sizeof(store->peers));
	for (i = 0; i < store->set.count; i++)
		store->peers[i].instance = store->set.instances[i];
	store->learn_due_us = 0;
}

static void
ask(struct cl_store *store, const struct cl_learn_peer *peer)
{
	struct cl_msg msg = {0};

	msg.kind = CL_MSG_LEARN;
	msg.epoch = store->meta.epoch;
	msg.cursor = peer->cursor;
	cl_store_send(store, peer->instance, &msg);
}

static void
finish(struct cl_store *store, enum cl_coverage coverage)
{
	struct cl_meta meta;

	if (store->covered_at != 0)
		return;
	meta = store->meta;
	meta.coverage = coverage;
	cl_store_persist_meta(store, &meta);
	store->covering = coverage;
	store->covered_at = store->appended;
}

/*
 * Two losses at once leave too few to learn from.  Dated keys that were ever
 * claimed before are refused by their age once a horizon has passed, so then
 * a replica may vote on dated keys again.
 */
static bool
forgotten_is_past_horizon(struct cl_store *store)
{
	if (store->wall_s == 0)
		return false;
	if (store->learn_wall_s == 0)
		store->learn_wall_s = store->wall_s;
	return store->wall_s >
	       store->learn_wall_s + (int64_t)store->options.horizon_s +
		   2 * (int64_t)store->options.skew_s + CL_BORN_S;
}

/* Asks the peers that have not told everything yet. */
void
cl_learn_tick(struct cl_store *store, int64_t now_us)
{
	uint32_t i;

	if (store->meta.coverage != CL_COVERS_NONE)
		return;
	if (forgotten_is_past_horizon(store)) {
		finish(store, CL_COVERS_DATED);
		return;
	}
	if (now_us < store->learn_due_us)
		return;
	store->learn_due_us = now_us + LEARN_RESEND_MS * (int64_t)1000;
	for (i = 0; i < store->set.count; i++)
		if (!store->peers[i].done &&
		    store->peers[i].instance != store->options.instance)
			ask(store, &store->peers[i]);
}

static bool
listed(const struct cl_entry *entry, enum cl_msg_kind kind)
{
	return kind == CL_MSG_LEARN || entry->phase == CL_MARKED ||
	       entry->phase == CL_HALTED;
}

/* Sends the entries from a cursor; a cursor of another generation restarts. */
static void
tell(struct cl_store *store, uint32_t to, const struct cl_msg *request)
{
	struct cl_msg msg = {0};
	uint64_t generation;
	uint32_t i;

	generation = (uint64_t)store->table.generation << CURSOR_POSITION_BITS;
	i = (uint32_t)request->cursor;
	if (request->cursor >> CURSOR_POSITION_BITS !=
	    generation >> CURSOR_POSITION_BITS)
		i = 0;
	msg.kind = CL_MSG_ENTRIES;
	msg.epoch = store->meta.epoch;
	msg.op = request->kind;
	msg.floor = store->meta.floor;
	for (; i < store->table.count && msg.entry_count < CL_BATCH; i++)
		if (listed(&store->table.slots[i].entry, request->kind))
			msg.entries[msg.entry_count++] =
			    store->table.slots[i].entry;
	msg.cursor = i < store->table.count ? generation | i : 0;
	cl_store_send(store, to, &msg);
}

static void
learn_entry(
    struct cl_store *store, int64_t now_us, const struct cl_entry *entry)
{
	struct cl_slot *slot;

	if (entry->key.born != 0 && entry->key.born < store->meta.floor)
		return;
	slot = cl_table_find(&store->table, &entry->key);
	if (slot == NULL)
		slot = cl_table_add(&store->table, &entry->key);
	if (cl_entry_merge(&slot->entry, entry)) {
		slot->marked_us = now_us;
		cl_store_persist(store, &slot->entry);
	}
}

static void
learn(struct cl_store *store, int64_t now_us, uint32_t from,
    const struct cl_msg *msg)
{
	uint32_t i, done;

	if (store->meta.coverage != CL_COVERS_NONE)
		return;
	if (msg->floor > store->meta.floor)
		store->meta.floor = msg->floor;
	for (i = 0; i < msg->entry_count; i++)
		learn_entry(store, now_us, &msg->entries[i]);
	done = 0;
	for (i = 0; i < store->set.count; i++) {
		if (store->peers[i].instance == from && !store->peers[i].done) {
			store->peers[i].cursor = msg->cursor;
			store->peers[i].done = msg->cursor == 0;
			if (!store->peers[i].done)
				ask(store, &store->peers[i]);
		}
		if (store->peers[i].done)
			done++;
	}
	if (done >= store->set.count - majority(store) + 1)
		finish(store, CL_COVERS_ALL);
}

/* Takes a request for entries, or the answer to an own one. */
void
cl_learn_message(struct cl_store *store, int64_t now_us, uint32_t from,
    const struct cl_msg *msg)
{
	if (msg->kind == CL_MSG_ENTRIES && msg->op == CL_MSG_LEARN)
		learn(store, now_us, from, msg);
	else if (msg->kind != CL_MSG_ENTRIES &&
		 store->meta.coverage == CL_COVERS_ALL)
		tell(store, from, msg);
}
