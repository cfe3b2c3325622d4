#include "state/claim_store.h"

#include <string.h>

enum {
	HORIZON_S = 24 * 3600,
	SKEW_S = 300,
	ENTRIES_MAX = 400000,
	UNDATED_MAX = 10000
};

/*
 * Creates a replica's store.  options->replaced must be set for a replica with
 * an empty disk in a set that has run before.
 */
struct claim_store *
claim_store_new(const struct claim_store_options *options)
{
	const struct alloc *alloc;
	struct claim_store *store;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	store = alloc_zero(alloc, 1, sizeof(*store));
	store->options = *options;
	store->options.alloc = alloc;
	if (options->horizon_s == 0)
		store->options.horizon_s = HORIZON_S;
	if (options->skew_s == 0)
		store->options.skew_s = SKEW_S;
	if (options->entries_max == 0)
		store->options.entries_max = ENTRIES_MAX;
	if (options->undated_max == 0)
		store->options.undated_max = UNDATED_MAX;
	store->meta.coverage =
	    options->replaced && !options->unsafe_skip_learning
		? CLAIM_COVERS_NONE
		: CLAIM_COVERS_ALL;
	claim_table_init(&store->table, alloc);
	buf_init(&store->record, alloc);
	return store;
}

void
claim_store_free(struct claim_store *store)
{
	const struct alloc *alloc;

	if (store == NULL)
		return;
	alloc = store->options.alloc;
	claim_table_free(&store->table);
	buf_free(&store->record);
	alloc_free(alloc, store->pending);
	alloc_free(alloc, store);
}

static void
persist_record(struct claim_store *store)
{
	struct claim_store_action action = {0};

	action.kind = CLAIM_STORE_PERSIST;
	action.sequence = ++store->appended;
	action.record = store->record.data;
	action.record_len = store->record.len;
	store->options.emit(store->options.ctx, &action);
}

/* Emits an action to persist an entry. */
void
claim_store_persist(struct claim_store *store, const struct claim_entry *entry)
{
	buf_clear(&store->record);
	claim_entry_encode(entry, &store->record);
	persist_record(store);
}

/* Emits an action to persist the state of the store outside of its entries. */
void
claim_store_persist_meta(
    struct claim_store *store, const struct claim_meta *meta)
{
	buf_clear(&store->record);
	claim_meta_encode(meta, &store->record);
	persist_record(store);
}

/* Sends a message of the present replica set. */
void
claim_store_send(
    struct claim_store *store, uint32_t to, const struct claim_msg *msg)
{
	struct claim_store_action action = {0};

	action.kind = CLAIM_STORE_SEND;
	action.to = to;
	action.msg = msg;
	store->options.emit(store->options.ctx, &action);
}

/*
 * Sets the replica set.  Requests of earlier sets are ignored from now on, so
 * that no majority can form that a learning replica does not know of.
 */
void
claim_store_set_replicas(
    struct claim_store *store, const struct claim_replicas *set)
{
	if (set->epoch < store->meta.epoch)
		return;
	store->set = *set;
	if (set->epoch > store->meta.epoch) {
		store->meta.epoch = set->epoch;
		claim_store_persist_meta(store, &store->meta);
	}
	claim_learn_restart(store);
}

static void
send_reply(struct claim_store *store, const struct claim_pending_reply *reply)
{
	struct claim_msg msg = {0};

	msg.kind = CLAIM_MSG_REPLY;
	msg.epoch = store->meta.epoch;
	msg.op = reply->op;
	msg.error = reply->error;
	msg.ballot = reply->ballot;
	msg.entry = reply->entry;
	claim_store_send(store, reply->to, &msg);
}

/* Sends a reply once all records that it may depend on are durable. */
static void
reply_when_durable(struct claim_store *store, uint32_t to,
    const struct claim_msg *request, int error, const struct claim_entry *entry)
{
	struct claim_pending_reply reply = {0};

	reply.sequence = store->appended;
	reply.to = to;
	reply.op = request->op;
	reply.error = error;
	reply.ballot = request->ballot;
	reply.entry = *entry;
	if (store->appended == store->persisted ||
	    store->options.unsafe_skip_sync) {
		send_reply(store, &reply);
		return;
	}
	if (store->pending_count == store->pending_size) {
		store->pending_size = store->pending_size * 2 + 16;
		store->pending =
		    alloc_resize(store->options.alloc, store->pending,
			store->pending_size * sizeof(*store->pending));
	}
	store->pending[store->pending_count++] = reply;
}

/* Sends the replies that waited for the records up to sequence. */
void
claim_store_persisted(
    struct claim_store *store, int64_t now_us, uint64_t sequence)
{
	struct claim_store_action action = {0};
	size_t i;

	if (store->failed || sequence <= store->persisted)
		return;
	store->persisted = sequence;
	for (i = 0; i < store->pending_count; i++) {
		if (store->pending[i].sequence > sequence)
			break;
		send_reply(store, &store->pending[i]);
	}
	store->pending_count -= i;
	if (i > 0)
		memmove(store->pending, store->pending + i,
		    store->pending_count * sizeof(*store->pending));
	if (store->covered_sequence != 0 &&
	    sequence >= store->covered_sequence) {
		store->covered_sequence = 0;
		store->meta.coverage = store->pending_coverage;
		action.kind = CLAIM_STORE_LEARNED;
		store->options.emit(store->options.ctx, &action);
	}
}

/*
 * Stops voting after a failed sync, because it is unknown what the disk holds.
 */
void
claim_store_persist_failed(struct claim_store *store)
{
	store->failed = true;
	store->pending_count = 0;
}

/* Returns whether a key is so old that its entry may have been dropped. */
static bool
key_too_old(const struct claim_store *store, const struct claim_key *key)
{
	return key->born != 0 && key->born < store->meta.floor &&
	       !store->options.unsafe_forget;
}

static bool
key_in_future(const struct claim_store *store, const struct claim_key *key)
{
	return (int64_t)key->born * CLAIM_BIRTH_BUCKET_S >
	       store->wall_s + store->options.skew_s;
}

/* Returns why a new key may not get an entry, or 0 if it may. */
static int
new_key_error(const struct claim_store *store, const struct claim_key *key)
{
	if (key_too_old(store, key))
		return ERR_DUPLICATE;
	if (key_in_future(store, key))
		return ERR_MALFORMED;
	if (store->table.count >= store->options.entries_max)
		return ERR_NO_CAPACITY;
	if (key->born == 0 && claim_table_undated_count(&store->table,
				  key->workspace) >= store->options.undated_max)
		return ERR_NO_CAPACITY;
	return 0;
}

static bool
ballot_same_owner(const struct claim_ballot *a, const struct claim_ballot *b)
{
	return a->instance == b->instance && a->incarnation == b->incarnation;
}

/* Returns why the entry of a key forbids a claim, or 0 to grant it. */
static int
claim_error(const struct claim_store *store, const struct claim_entry *entry,
    const struct claim_msg *msg)
{
	int c;

	if (entry->phase == CLAIM_DONE || entry->phase == CLAIM_RESOLVED_RAN)
		return ERR_DUPLICATE;
	if (entry->phase == CLAIM_MARKED)
		return ERR_IN_PROGRESS;
	if (entry->phase == CLAIM_HALTED)
		return ERR_HALTED;
	c = claim_ballot_compare(&msg->ballot, &entry->promised);
	if (c == 0 && entry->held)
		return 0;
	if (c <= 0)
		return entry->held ? ERR_IN_PROGRESS : ERR_STALE;
	if (entry->held &&
	    claim_ballot_compare(&entry->promised, &msg->takeover) != 0 &&
	    !ballot_same_owner(&entry->promised, &msg->ballot))
		return ERR_IN_PROGRESS;
	return 0;
}

static int
handle_claim(struct claim_store *store, const struct claim_msg *msg,
    struct claim_entry *seen)
{
	struct claim_slot *slot;
	int error;

	slot = claim_table_find(&store->table, &msg->entry.key);
	error = slot != NULL ? claim_error(store, &slot->entry, msg)
			     : new_key_error(store, &msg->entry.key);
	if (slot == NULL && error == 0)
		slot = claim_table_add(&store->table, &msg->entry.key);
	if (error == 0 &&
	    (!slot->entry.held || claim_ballot_compare(&slot->entry.promised,
				      &msg->ballot) != 0)) {
		slot->entry.promised = msg->ballot;
		slot->entry.held = true;
		claim_store_persist(store, &slot->entry);
	}
	if (slot != NULL)
		*seen = slot->entry;
	return error;
}

/* Returns why a promise for a resolution is refused, or 0 to promise. */
static int
prepare_error(const struct claim_store *store, const struct claim_slot *slot,
    const struct claim_msg *msg, int64_t now_us)
{
	const struct claim_ballot *attempt;
	const struct claim_entry *entry;
	int64_t since_us;

	entry = &slot->entry;
	since_us = slot->marked_us > store->started_us ? slot->marked_us
						       : store->started_us;
	attempt = &msg->entry.resolution.attempt;
	if (entry->phase == CLAIM_DONE)
		return ERR_DUPLICATE;
	if (claim_ballot_compare(&entry->accepted, attempt) > 0 &&
	    entry->phase != CLAIM_RESOLVED_RAN &&
	    entry->phase != CLAIM_RESOLVED_NOT_RUN)
		return ERR_STALE;
	if (entry->held && claim_ballot_compare(&entry->promised, attempt) > 0)
		return ERR_STALE;
	if (entry->phase == CLAIM_MARKED &&
	    !store->options.unsafe_skip_wait_out &&
	    now_us - since_us < CLAIM_MARKER_RESOLVABLE_MS * (int64_t)1000)
		return ERR_IN_PROGRESS;
	if (claim_ballot_compare(&msg->ballot, &entry->promised) < 0)
		return ERR_CONFLICT;
	return 0;
}

static int
handle_prepare(struct claim_store *store, int64_t now_us,
    const struct claim_msg *msg, struct claim_entry *seen)
{
	struct claim_slot *slot;
	int error;

	slot = claim_table_find(&store->table, &msg->entry.key);
	if (slot == NULL) {
		error = new_key_error(store, &msg->entry.key);
		if (error != 0)
			return error;
		slot = claim_table_add(&store->table, &msg->entry.key);
	}
	error = prepare_error(store, slot, msg, now_us);
	if (error == 0 &&
	    claim_ballot_compare(&msg->ballot, &slot->entry.promised) != 0) {
		slot->entry.promised = msg->ballot;
		slot->entry.held = false;
		claim_store_persist(store, &slot->entry);
	}
	*seen = slot->entry;
	return error;
}

/*
 * Returns why a phase is not accepted, or 0 to accept it.  An outcome (done or
 * halted) needs no promise of its own: its attempt has its marker on a
 * majority, so no later promise can rely on the outcome being absent.
 */
static int
write_error(const struct claim_store *store, const struct claim_entry *entry,
    const struct claim_msg *msg)
{
	int c;

	if (store->options.unsafe_skip_ballots)
		return 0;
	c = claim_ballot_compare(&msg->ballot, &entry->accepted);
	if (c < 0 || (c == 0 && entry->phase > msg->entry.phase))
		return ERR_STALE;
	if (msg->entry.phase != CLAIM_DONE &&
	    msg->entry.phase != CLAIM_HALTED &&
	    claim_ballot_compare(&msg->ballot, &entry->promised) < 0)
		return ERR_STALE;
	return 0;
}

static void
accept_phase(
    struct claim_slot *slot, int64_t now_us, const struct claim_msg *msg)
{
	struct claim_entry *entry;

	entry = &slot->entry;
	entry->accepted = msg->ballot;
	entry->phase = msg->entry.phase;
	entry->status = msg->entry.status;
	memcpy(entry->digest, msg->entry.digest, sizeof(entry->digest));
	entry->resolution = msg->entry.resolution;
	if (claim_ballot_compare(&msg->ballot, &entry->promised) >= 0) {
		entry->promised = msg->ballot;
		entry->held = entry->phase == CLAIM_MARKED;
	}
	if (entry->phase == CLAIM_MARKED)
		slot->marked_us = now_us;
}

static int
handle_write(struct claim_store *store, int64_t now_us,
    const struct claim_msg *msg, struct claim_entry *seen)
{
	struct claim_slot *slot;
	bool renewed;
	int error;

	if (msg->entry.phase == CLAIM_FREE)
		return ERR_MALFORMED;
	slot = claim_table_find(&store->table, &msg->entry.key);
	if (slot == NULL) {
		if (key_too_old(store, &msg->entry.key))
			return msg->entry.phase == CLAIM_MARKED ? ERR_DUPLICATE
								: 0;
		error = new_key_error(store, &msg->entry.key);
		if (error != 0)
			return error;
		slot = claim_table_add(&store->table, &msg->entry.key);
	}
	error = write_error(store, &slot->entry, msg);
	if (error == 0) {
		renewed = slot->entry.phase == msg->entry.phase &&
			  claim_ballot_compare(
			      &slot->entry.accepted, &msg->ballot) == 0;
		accept_phase(slot, now_us, msg);
		if (!renewed)
			claim_store_persist(store, &slot->entry);
	}
	*seen = slot->entry;
	return error;
}

/* Returns the promise of a claimant that sent no marker.  Never fails. */
static int
handle_release(struct claim_store *store, const struct claim_msg *msg,
    struct claim_entry *seen)
{
	struct claim_slot *slot;

	slot = claim_table_find(&store->table, &msg->entry.key);
	if (slot == NULL)
		return 0;
	if (slot->entry.held &&
	    claim_ballot_compare(&slot->entry.promised, &msg->ballot) == 0 &&
	    claim_ballot_compare(&slot->entry.accepted, &msg->ballot) < 0) {
		slot->entry.held = false;
		claim_store_persist(store, &slot->entry);
	}
	*seen = slot->entry;
	return 0;
}

static int
handle_read(struct claim_store *store, const struct claim_msg *msg,
    struct claim_entry *seen)
{
	struct claim_slot *slot;

	slot = claim_table_find(&store->table, &msg->entry.key);
	if (slot == NULL)
		return key_too_old(store, &msg->entry.key) ? ERR_DUPLICATE : 0;
	*seen = slot->entry;
	return 0;
}

static bool
may_vote_on(const struct claim_store *store, const struct claim_key *key)
{
	if (store->meta.coverage == CLAIM_COVERS_DATED)
		return key->born != 0;
	return store->meta.coverage == CLAIM_COVERS_ALL;
}

/* Processes a request of a claimant or a message of another replica. */
void
claim_store_receive(struct claim_store *store, int64_t now_us, uint32_t from,
    const struct claim_msg *msg)
{
	struct claim_entry seen = {0};
	int error;

	if (store->started_us == 0)
		store->started_us = now_us;
	if (store->failed || msg->epoch != store->meta.epoch ||
	    msg->kind == CLAIM_MSG_REPLY)
		return;
	if (msg->kind >= CLAIM_MSG_LIST_HALTED) {
		claim_learn_receive(store, now_us, from, msg);
		return;
	}
	seen.key = msg->entry.key;
	if (!may_vote_on(store, &msg->entry.key))
		error = ERR_NO_QUORUM;
	else if (msg->kind == CLAIM_MSG_ACQUIRE)
		error = handle_claim(store, msg, &seen);
	else if (msg->kind == CLAIM_MSG_PREPARE)
		error = handle_prepare(store, now_us, msg, &seen);
	else if (msg->kind == CLAIM_MSG_WRITE)
		error = handle_write(store, now_us, msg, &seen);
	else if (msg->kind == CLAIM_MSG_RELEASE)
		error = handle_release(store, msg, &seen);
	else
		error = handle_read(store, msg, &seen);
	reply_when_durable(store, from, msg, error, &seen);
}

/*
 * Advances the time.  wall_s is Unix time in seconds.  Keys born before the
 * horizon are refused from now on, even if the wall clock is set back, and
 * their entries are dropped.
 */
void
claim_store_tick(struct claim_store *store, int64_t now_us, int64_t wall_s)
{
	int64_t floor;

	if (store->started_us == 0)
		store->started_us = now_us;
	store->wall_s = wall_s;
	floor = (wall_s - store->options.horizon_s) / CLAIM_BIRTH_BUCKET_S;
	if (floor > (int64_t)store->meta.floor && floor < UINT32_MAX) {
		store->meta.floor = (uint32_t)floor;
		claim_store_persist_meta(store, &store->meta);
		claim_table_expire(&store->table, store->meta.floor);
	}
	if (!store->failed)
		claim_learn_tick(store, now_us);
}

bool
claim_store_can_vote(const struct claim_store *store)
{
	return !store->failed && store->meta.coverage != CLAIM_COVERS_NONE;
}

uint32_t
claim_store_entry_count(const struct claim_store *store)
{
	return store->table.count;
}

/* Returns the memory size of the entries in bytes. */
size_t
claim_store_memory_bytes(const struct claim_store *store)
{
	return claim_table_bytes(&store->table);
}

/* Copies the entry of a key.  Returns false if there is none. */
bool
claim_store_get(const struct claim_store *store, const struct claim_key *key,
    struct claim_entry *entry)
{
	const struct claim_slot *slot;

	slot = claim_table_find(&store->table, key);
	if (slot == NULL)
		return false;
	*entry = slot->entry;
	return true;
}
