#include "state/claim_store.h"

#include <string.h>

enum {
	HORIZON_S = 24 * 3600,
	SKEW_S = 300,
	ENTRIES_MAX = 400000,
	UNDATED_MAX = 10000
};

/*
 * Creates a replica's store.  A replica with an empty disk in a set that has
 * run before must say so in options->replaced.
 */
struct cl_store *
cl_store_new(const struct cl_store_options *options)
{
	const struct alloc *alloc;
	struct cl_store *store;

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
	    options->replaced && !options->unsafe_skip_learning ? CL_COVERS_NONE
								: CL_COVERS_ALL;
	cl_table_init(&store->table, alloc);
	buf_init(&store->record, alloc);
	return store;
}

void
cl_store_free(struct cl_store *store)
{
	const struct alloc *alloc;

	if (store == NULL)
		return;
	alloc = store->options.alloc;
	cl_table_free(&store->table);
	buf_free(&store->record);
	alloc_free(alloc, store->pending);
	alloc_free(alloc, store);
}

static void
persist_record(struct cl_store *store)
{
	struct cl_store_action action = {0};

	action.kind = CL_STORE_PERSIST;
	action.sequence = ++store->appended;
	action.record = store->record.data;
	action.record_len = store->record.len;
	store->options.emit(store->options.ctx, &action);
}

/* Asks for an entry to be made durable. */
void
cl_store_persist(struct cl_store *store, const struct cl_entry *entry)
{
	buf_clear(&store->record);
	cl_entry_encode(entry, &store->record);
	persist_record(store);
}

/* Asks for the store's other state to be made durable. */
void
cl_store_persist_meta(struct cl_store *store, const struct cl_meta *meta)
{
	buf_clear(&store->record);
	cl_meta_encode(meta, &store->record);
	persist_record(store);
}

/* Sends a message of the present replica set. */
void
cl_store_send(struct cl_store *store, uint32_t to, const struct cl_msg *msg)
{
	struct cl_store_action action = {0};

	action.kind = CL_STORE_SEND;
	action.to = to;
	action.msg = msg;
	store->options.emit(store->options.ctx, &action);
}

/*
 * Takes a replica set.  From here on requests of earlier sets are refused, so
 * a majority that a learner knows nothing of cannot form any more.
 */
void
cl_store_replicas(struct cl_store *store, const struct cl_replicas *set)
{
	if (set->epoch < store->meta.epoch)
		return;
	store->set = *set;
	if (set->epoch > store->meta.epoch) {
		store->meta.epoch = set->epoch;
		cl_store_persist_meta(store, &store->meta);
	}
	cl_learn_restart(store);
}

static void
send_reply(struct cl_store *store, const struct cl_pending *reply)
{
	struct cl_msg msg = {0};

	msg.kind = CL_MSG_REPLY;
	msg.epoch = store->meta.epoch;
	msg.op = reply->op;
	msg.error = reply->error;
	msg.ballot = reply->ballot;
	msg.entry = reply->entry;
	cl_store_send(store, reply->to, &msg);
}

/* Answers once everything that the answer may rest on is durable. */
static void
answer(struct cl_store *store, uint32_t to, const struct cl_msg *request,
    int error, const struct cl_entry *entry)
{
	struct cl_pending reply = {0};

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

/* The records up to a sequence are durable: what rests on them goes out. */
void
cl_store_persisted(struct cl_store *store, int64_t now_us, uint64_t sequence)
{
	struct cl_store_action action = {0};
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
	if (store->covered_at != 0 && sequence >= store->covered_at) {
		store->covered_at = 0;
		store->meta.coverage = store->covering;
		action.kind = CL_STORE_READY;
		store->options.emit(store->options.ctx, &action);
	}
}

/* A sync failed: what the disk holds is unknown, so there are no more votes. */
void
cl_store_persist_failed(struct cl_store *store)
{
	store->failed = true;
	store->pending_count = 0;
}

/* Whether a key was born before everything that is remembered. */
static bool
key_too_old(const struct cl_store *store, const struct cl_key *key)
{
	return key->born != 0 && key->born < store->meta.floor &&
	       !store->options.unsafe_forget;
}

static bool
key_in_future(const struct cl_store *store, const struct cl_key *key)
{
	return (int64_t)key->born * CL_BORN_S >
	       store->wall_s + store->options.skew_s;
}

/* Why no entry can be made for a new key; 0 if it can. */
static int
new_key_error(const struct cl_store *store, const struct cl_key *key)
{
	if (key_too_old(store, key))
		return ERR_DUPLICATE;
	if (key_in_future(store, key))
		return ERR_MALFORMED;
	if (store->table.count >= store->options.entries_max)
		return ERR_NO_CAPACITY;
	if (key->born == 0 && cl_table_undated(&store->table, key->workspace) >=
				  store->options.undated_max)
		return ERR_NO_CAPACITY;
	return 0;
}

static bool
ballot_same_owner(const struct cl_ballot *a, const struct cl_ballot *b)
{
	return a->instance == b->instance && a->incarnation == b->incarnation;
}

/* Why a claim is not granted on what is known of its key; 0: granted. */
static int
claim_error(const struct cl_store *store, const struct cl_entry *entry,
    const struct cl_msg *msg)
{
	int c;

	if (entry->phase == CL_DONE || entry->phase == CL_RESOLVED_RAN)
		return ERR_DUPLICATE;
	if (entry->phase == CL_MARKED)
		return ERR_IN_PROGRESS;
	if (entry->phase == CL_HALTED)
		return ERR_HALTED;
	c = cl_ballot_compare(&msg->ballot, &entry->promised);
	if (c == 0 && entry->held)
		return 0;
	if (c <= 0)
		return entry->held ? ERR_IN_PROGRESS : ERR_STALE;
	if (entry->held &&
	    cl_ballot_compare(&entry->promised, &msg->takeover) != 0 &&
	    !ballot_same_owner(&entry->promised, &msg->ballot))
		return ERR_IN_PROGRESS;
	return 0;
}

static int
do_claim(
    struct cl_store *store, const struct cl_msg *msg, struct cl_entry *seen)
{
	struct cl_slot *slot;
	int error;

	slot = cl_table_find(&store->table, &msg->entry.key);
	error = slot != NULL ? claim_error(store, &slot->entry, msg)
			     : new_key_error(store, &msg->entry.key);
	if (slot == NULL && error == 0)
		slot = cl_table_add(&store->table, &msg->entry.key);
	if (error == 0 &&
	    (!slot->entry.held ||
		cl_ballot_compare(&slot->entry.promised, &msg->ballot) != 0)) {
		slot->entry.promised = msg->ballot;
		slot->entry.held = true;
		cl_store_persist(store, &slot->entry);
	}
	if (slot != NULL)
		*seen = slot->entry;
	return error;
}

/* Why a promise to resolve is refused; 0: promised. */
static int
prepare_error(const struct cl_store *store, const struct cl_slot *slot,
    const struct cl_msg *msg, int64_t now_us)
{
	const struct cl_ballot *attempt;
	const struct cl_entry *entry;
	int64_t since_us;

	entry = &slot->entry;
	since_us = slot->marked_us > store->started_us ? slot->marked_us
						       : store->started_us;
	attempt = &msg->entry.resolution.attempt;
	if (entry->phase == CL_DONE)
		return ERR_DUPLICATE;
	if (cl_ballot_compare(&entry->accepted, attempt) > 0 &&
	    entry->phase != CL_RESOLVED_RAN &&
	    entry->phase != CL_RESOLVED_NOT_RUN)
		return ERR_STALE;
	if (entry->held && cl_ballot_compare(&entry->promised, attempt) > 0)
		return ERR_STALE;
	if (entry->phase == CL_MARKED && !store->options.unsafe_skip_wait_out &&
	    now_us - since_us < CL_MARK_WAIT_MS * (int64_t)1000)
		return ERR_IN_PROGRESS;
	if (cl_ballot_compare(&msg->ballot, &entry->promised) < 0)
		return ERR_CONFLICT;
	return 0;
}

static int
do_prepare(struct cl_store *store, int64_t now_us, const struct cl_msg *msg,
    struct cl_entry *seen)
{
	struct cl_slot *slot;
	int error;

	slot = cl_table_find(&store->table, &msg->entry.key);
	if (slot == NULL) {
		error = new_key_error(store, &msg->entry.key);
		if (error != 0)
			return error;
		slot = cl_table_add(&store->table, &msg->entry.key);
	}
	error = prepare_error(store, slot, msg, now_us);
	if (error == 0 &&
	    cl_ballot_compare(&msg->ballot, &slot->entry.promised) != 0) {
		slot->entry.promised = msg->ballot;
		slot->entry.held = false;
		cl_store_persist(store, &slot->entry);
	}
	*seen = slot->entry;
	return error;
}

/*
 * Why a phase is not accepted; 0: accepted.  An outcome is a fact of an
 * attempt that had its marker on a majority, so no later promise can rest on
 * its absence and it needs none of its own.
 */
static int
write_error(const struct cl_store *store, const struct cl_entry *entry,
    const struct cl_msg *msg)
{
	int c;

	if (store->options.unsafe_skip_ballots)
		return 0;
	c = cl_ballot_compare(&msg->ballot, &entry->accepted);
	if (c < 0 || (c == 0 && entry->phase > msg->entry.phase))
		return ERR_STALE;
	if (msg->entry.phase != CL_DONE && msg->entry.phase != CL_HALTED &&
	    cl_ballot_compare(&msg->ballot, &entry->promised) < 0)
		return ERR_STALE;
	return 0;
}

static void
accept_phase(struct cl_slot *slot, int64_t now_us, const struct cl_msg *msg)
{
	struct cl_entry *entry;

	entry = &slot->entry;
	entry->accepted = msg->ballot;
	entry->phase = msg->entry.phase;
	entry->status = msg->entry.status;
	memcpy(entry->digest, msg->entry.digest, sizeof(entry->digest));
	entry->resolution = msg->entry.resolution;
	if (cl_ballot_compare(&msg->ballot, &entry->promised) >= 0) {
		entry->promised = msg->ballot;
		entry->held = entry->phase == CL_MARKED;
	}
	if (entry->phase == CL_MARKED)
		slot->marked_us = now_us;
}

static int
do_write(struct cl_store *store, int64_t now_us, const struct cl_msg *msg,
    struct cl_entry *seen)
{
	struct cl_slot *slot;
	bool renewed;
	int error;

	if (msg->entry.phase == CL_FREE)
		return ERR_MALFORMED;
	slot = cl_table_find(&store->table, &msg->entry.key);
	if (slot == NULL) {
		if (key_too_old(store, &msg->entry.key))
			return msg->entry.phase == CL_MARKED ? ERR_DUPLICATE
							     : 0;
		error = new_key_error(store, &msg->entry.key);
		if (error != 0)
			return error;
		slot = cl_table_add(&store->table, &msg->entry.key);
	}
	error = write_error(store, &slot->entry, msg);
	if (error == 0) {
		renewed =
		    slot->entry.phase == msg->entry.phase &&
		    cl_ballot_compare(&slot->entry.accepted, &msg->ballot) == 0;
		accept_phase(slot, now_us, msg);
		if (!renewed)
			cl_store_persist(store, &slot->entry);
	}
	*seen = slot->entry;
	return error;
}

/* A claimant without marker gives its promise back; always succeeds. */
static int
do_release(
    struct cl_store *store, const struct cl_msg *msg, struct cl_entry *seen)
{
	struct cl_slot *slot;

	slot = cl_table_find(&store->table, &msg->entry.key);
	if (slot == NULL)
		return 0;
	if (slot->entry.held &&
	    cl_ballot_compare(&slot->entry.promised, &msg->ballot) == 0 &&
	    cl_ballot_compare(&slot->entry.accepted, &msg->ballot) < 0) {
		slot->entry.held = false;
		cl_store_persist(store, &slot->entry);
	}
	*seen = slot->entry;
	return 0;
}

static int
do_read(struct cl_store *store, const struct cl_msg *msg, struct cl_entry *seen)
{
	struct cl_slot *slot;

	slot = cl_table_find(&store->table, &msg->entry.key);
	if (slot == NULL)
		return key_too_old(store, &msg->entry.key) ? ERR_DUPLICATE : 0;
	*seen = slot->entry;
	return 0;
}

static bool
votes_on(const struct cl_store *store, const struct cl_key *key)
{
	if (store->meta.coverage == CL_COVERS_DATED)
		return key->born != 0;
	return store->meta.coverage == CL_COVERS_ALL;
}

/* Takes a request, or a message between replicas. */
void
cl_store_message(struct cl_store *store, int64_t now_us, uint32_t from,
    const struct cl_msg *msg)
{
	struct cl_entry seen = {0};
	int error;

	if (store->started_us == 0)
		store->started_us = now_us;
	if (store->failed || msg->epoch != store->meta.epoch ||
	    msg->kind == CL_MSG_REPLY)
		return;
	if (msg->kind >= CL_MSG_HALTS) {
		cl_learn_message(store, now_us, from, msg);
		return;
	}
	seen.key = msg->entry.key;
	if (!votes_on(store, &msg->entry.key))
		error = ERR_NO_QUORUM;
	else if (msg->kind == CL_MSG_CLAIM)
		error = do_claim(store, msg, &seen);
	else if (msg->kind == CL_MSG_PREPARE)
		error = do_prepare(store, now_us, msg, &seen);
	else if (msg->kind == CL_MSG_WRITE)
		error = do_write(store, now_us, msg, &seen);
	else if (msg->kind == CL_MSG_RELEASE)
		error = do_release(store, msg, &seen);
	else
		error = do_read(store, msg, &seen);
	answer(store, from, msg, error, &seen);
}

/*
 * Moves time on.  wall_s is Unix time: births older than the horizon are
 * refused from here on, also if the wall clock goes back, and their entries
 * are dropped.
 */
void
cl_store_tick(struct cl_store *store, int64_t now_us, int64_t wall_s)
{
	int64_t floor;

	if (store->started_us == 0)
		store->started_us = now_us;
	store->wall_s = wall_s;
	floor = (wall_s - store->options.horizon_s) / CL_BORN_S;
	if (floor > (int64_t)store->meta.floor && floor < UINT32_MAX) {
		store->meta.floor = (uint32_t)floor;
		cl_store_persist_meta(store, &store->meta);
		cl_table_expire(&store->table, store->meta.floor);
	}
	if (!store->failed)
		cl_learn_tick(store, now_us);
}

bool
cl_store_ready(const struct cl_store *store)
{
	return !store->failed && store->meta.coverage != CL_COVERS_NONE;
}

uint32_t
cl_store_count(const struct cl_store *store)
{
	return store->table.count;
}

/* Returns the bytes of memory that the entries take. */
size_t
cl_store_bytes(const struct cl_store *store)
{
	return cl_table_bytes(&store->table);
}

/* Copies the entry of a key; false: there is none. */
bool
cl_store_get(const struct cl_store *store, const struct cl_key *key,
    struct cl_entry *entry)
{
	const struct cl_slot *slot;

	slot = cl_table_find(&store->table, key);
	if (slot == NULL)
		return false;
	*entry = slot->entry;
	return true;
}
