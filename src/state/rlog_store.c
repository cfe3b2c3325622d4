#include <string.h>

#include "state/rlog_i.h"
#include "wire/rlog.pb-c.h"

/*
 * Emits a journal record and returns its number.  Records are emitted in the
 * order of the changes in memory, so a replay that stops at any record yields a
 * state that the replica was in.
 */
static uint64_t
persist(struct rlog *rlog, uint16_t kind, const ProtobufCMessage *message)
{
	struct rlog_action *action;
	uint8_t *data;
	size_t len;

	len = protobuf_c_message_get_packed_size(message);
	data = alloc_get(rlog->alloc, len + 1);
	(void)protobuf_c_message_pack(message, data);
	rlog_free_later(rlog, data);
	action = rlog_add_action(rlog, RLOG_ACT_PERSIST);
	action->u.persist.number = ++rlog->number;
	action->u.persist.kind = kind;
	action->u.persist.data = data;
	action->u.persist.len = len;
	if (rlog->options.unsafe_skip_persist)
		rlog->persisted = rlog->number;
	return rlog->number;
}

static size_t
encode_members(const struct rlog_config *config, Rlpb__Member *members,
    Rlpb__Member **pointers)
{
	size_t i;

	for (i = 0; i < config->count; i++) {
		rlpb__member__init(&members[i]);
		members[i].id = config->members[i].id;
		members[i].instance = config->members[i].instance;
		members[i].voter = config->members[i].voter;
		pointers[i] = &members[i];
	}
	return config->count;
}

static int
decode_members(Rlpb__Member **members, size_t count, struct rlog_config *config)
{
	size_t i;

	if (count > RLOG_MEMBERS_MAX)
		return ERR_CORRUPT;
	config->count = count;
	for (i = 0; i < count; i++) {
		config->members[i].id = members[i]->id;
		config->members[i].instance = members[i]->instance;
		config->members[i].voter = members[i]->voter;
	}
	return 0;
}

/* Appends the encoded members, as stored in an entry. */
void
rlog_config_encode(const struct rlog_config *config, struct buf *out)
{
	Rlpb__Member members[RLOG_MEMBERS_MAX];
	Rlpb__Member *pointers[RLOG_MEMBERS_MAX];
	Rlpb__Members message = RLPB__MEMBERS__INIT;
	size_t len;

	message.n_member = encode_members(config, members, pointers);
	message.member = pointers;
	len = rlpb__members__get_packed_size(&message);
	buf_reserve(out, len);
	(void)rlpb__members__pack(&message, out->data + out->len);
	out->len += len;
}

/* Decodes the members from the data of an entry. Returns 0 or ERR_CORRUPT. */
int
rlog_config_decode(const void *data, size_t len, struct rlog_config *config)
{
	Rlpb__Members *message;
	int e;

	message = rlpb__members__unpack(NULL, len, data);
	if (message == NULL)
		return ERR_CORRUPT;
	e = decode_members(message->member, message->n_member, config);
	rlpb__members__free_unpacked(message, NULL);
	return e;
}

static Rlpb__Identity
encode_identity(const struct rlog *rlog)
{
	Rlpb__Identity message = RLPB__IDENTITY__INIT;

	message.id = rlog->id;
	message.was_voter = rlog->was_voter;
	return message;
}

static Rlpb__Vote
encode_vote(const struct rlog *rlog)
{
	Rlpb__Vote message = RLPB__VOTE__INIT;

	message.term = rlog->term;
	message.voted_for = rlog->voted_for;
	return message;
}

static Rlpb__Entry
encode_entry(struct rlog *rlog, uint64_t index)
{
	Rlpb__Entry message = RLPB__ENTRY__INIT;
	const struct rlog_slot *slot = rlog_slot_at(rlog, index);

	message.index = index;
	message.term = slot->term;
	message.kind = (uint32_t)slot->kind;
	message.data.data = slot->data;
	message.data.len = slot->len;
	return message;
}

/* Persists the identity, and whether it has ever been a voter. */
void
rlog_persist_identity(struct rlog *rlog)
{
	Rlpb__Identity message = encode_identity(rlog);

	(void)persist(rlog, RLOG_REC_IDENTITY, &message.base);
}

/* Persists the term and the vote in it. */
void
rlog_persist_vote(struct rlog *rlog)
{
	Rlpb__Vote message = encode_vote(rlog);

	rlog->vote_record = persist(rlog, RLOG_REC_VOTE, &message.base);
}

static void
track_commit_record(struct rlog *rlog, uint64_t number)
{
	rlog->commit_due_us = 0;
	rlog->commit_pending = rlog->commit;
	rlog->commit_record = number;
}

/* Persists one entry of the log, with the current commit index. */
void
rlog_persist_entry(struct rlog *rlog, uint64_t index)
{
	Rlpb__Entry message = encode_entry(rlog, index);
	uint64_t number;

	message.commit = rlog->commit;
	number = persist(rlog, RLOG_REC_ENTRY, &message.base);
	rlog_slot_at(rlog, index)->number = number;
	if (rlog->commit_record == 0 && rlog->commit_pending != rlog->commit)
		track_commit_record(rlog, number);
}

static Rlpb__Snapshot
encode_snapshot(
    const struct rlog *rlog, Rlpb__Member *members, Rlpb__Member **pointers)
{
	Rlpb__Snapshot message = RLPB__SNAPSHOT__INIT;

	message.index = rlog->snapshot.index;
	message.term = rlog->snapshot.term;
	message.n_member =
	    encode_members(&rlog->snapshot.config, members, pointers);
	message.member = pointers;
	message.data.data = rlog->snapshot.data.data;
	message.data.len = rlog->snapshot.data.len;
	return message;
}

/* Persists a snapshot that the leader has sent. */
void
rlog_persist_snapshot(struct rlog *rlog)
{
	Rlpb__Member members[RLOG_MEMBERS_MAX];
	Rlpb__Member *pointers[RLOG_MEMBERS_MAX];
	Rlpb__Snapshot message = encode_snapshot(rlog, members, pointers);

	rlog->snapshot_record = persist(rlog, RLOG_REC_SNAPSHOT, &message.base);
}

/*
 * Persists the commit index, so that a replica that restarts alone continues
 * from there.  Normally the next entry carries it and no separate sync is
 * needed; it gets its own record only if no entry follows within
 * RLOG_COMMIT_RECORD_DELAY_US.
 */
void
rlog_persist_commit(struct rlog *rlog)
{
	Rlpb__Commit message = RLPB__COMMIT__INIT;

	if (rlog->commit_record != 0 || rlog->commit_pending == rlog->commit)
		return;
	if (rlog->commit_due_us == 0)
		rlog->commit_due_us =
		    rlog->now_us + RLOG_COMMIT_RECORD_DELAY_US;
	if (rlog->now_us < rlog->commit_due_us)
		return;
	message.index = rlog->commit;
	track_commit_record(
	    rlog, persist(rlog, RLOG_REC_COMMIT, &message.base));
}

static int
replay_entry(struct rlog *rlog, const Rlpb__Entry *entry)
{
	if (entry->index <= rlog->base_index ||
	    entry->index > rlog_last_index(rlog) + 1 ||
	    entry->kind > RLOG_ENTRY_MEMBERS)
		return ERR_CORRUPT;
	if (entry->index <= rlog_last_index(rlog))
		rlog_log_truncate(rlog, entry->index);
	(void)rlog_log_append(rlog, entry->term,
	    (enum rlog_entry_kind)entry->kind, entry->data.data,
	    entry->data.len);
	if (entry->term > rlog->term) {
		rlog->term = entry->term;
		rlog->voted_for = 0;
	}
	if (entry->commit > rlog_last_index(rlog))
		return ERR_CORRUPT;
	if (entry->commit > rlog->commit)
		rlog->commit = entry->commit;
	return 0;
}

static int
replay_snapshot(struct rlog *rlog, const Rlpb__Snapshot *snapshot)
{
	struct rlog_config config;
	int e;

	e = decode_members(snapshot->member, snapshot->n_member, &config);
	if (e != 0)
		return e;
	rlog->snapshot.index = snapshot->index;
	rlog->snapshot.term = snapshot->term;
	rlog->snapshot.config = config;
	buf_clear(&rlog->snapshot.data);
	buf_add(&rlog->snapshot.data, snapshot->data.data, snapshot->data.len);
	rlog->restore_pending = true;
	if (rlog->commit < snapshot->index)
		rlog->commit = snapshot->index;
	rlog->applied = snapshot->index;
	return 0;
}

static int
replay_image(struct rlog *rlog, const Rlpb__Image *image)
{
	struct rlog_config config;
	size_t i;
	int e;

	if (image->identity == NULL || image->vote == NULL)
		return ERR_CORRUPT;
	rlog->id = image->identity->id;
	rlog->was_voter = image->identity->was_voter;
	rlog->term = image->vote->term;
	rlog->voted_for = image->vote->voted_for;
	if (image->snapshot != NULL &&
	    (e = replay_snapshot(rlog, image->snapshot)) != 0)
		return e;
	e = decode_members(image->base_member, image->n_base_member, &config);
	if (e != 0)
		return e;
	rlog_log_reset(rlog, image->base_index, image->base_term, &config);
	for (i = 0; i < image->n_entry; i++)
		if ((e = replay_entry(rlog, image->entry[i])) != 0)
			return e;
	rlog->commit = image->commit;
	return 0;
}

static int
replay_image_bytes(struct rlog *rlog, const void *data, size_t len)
{
	Rlpb__Image *image = rlpb__image__unpack(NULL, len, data);
	int e;

	if (image == NULL)
		return ERR_CORRUPT;
	e = replay_image(rlog, image);
	rlpb__image__free_unpacked(image, NULL);
	return e;
}

static int
replay_entry_bytes(struct rlog *rlog, const void *data, size_t len)
{
	Rlpb__Entry *entry = rlpb__entry__unpack(NULL, len, data);
	int e;

	if (entry == NULL)
		return ERR_CORRUPT;
	e = replay_entry(rlog, entry);
	rlpb__entry__free_unpacked(entry, NULL);
	return e;
}

static int
replay_snapshot_bytes(struct rlog *rlog, const void *data, size_t len)
{
	Rlpb__Snapshot *snapshot = rlpb__snapshot__unpack(NULL, len, data);
	int e;

	if (snapshot == NULL)
		return ERR_CORRUPT;
	e = replay_snapshot(rlog, snapshot);
	if (e == 0)
		rlog_log_reset(rlog, rlog->snapshot.index, rlog->snapshot.term,
		    &rlog->snapshot.config);
	rlpb__snapshot__free_unpacked(snapshot, NULL);
	return e;
}

static int
replay_identity_bytes(struct rlog *rlog, const void *data, size_t len)
{
	Rlpb__Identity *identity = rlpb__identity__unpack(NULL, len, data);

	if (identity == NULL)
		return ERR_CORRUPT;
	rlog->id = identity->id;
	rlog->was_voter = identity->was_voter;
	rlpb__identity__free_unpacked(identity, NULL);
	return 0;
}

static int
replay_vote_bytes(struct rlog *rlog, const void *data, size_t len)
{
	Rlpb__Vote *vote = rlpb__vote__unpack(NULL, len, data);

	if (vote == NULL)
		return ERR_CORRUPT;
	rlog->term = vote->term;
	rlog->voted_for = vote->voted_for;
	rlpb__vote__free_unpacked(vote, NULL);
	return 0;
}

static int
replay_commit_bytes(struct rlog *rlog, const void *data, size_t len)
{
	Rlpb__Commit *commit = rlpb__commit__unpack(NULL, len, data);
	int e = 0;

	if (commit == NULL)
		return ERR_CORRUPT;
	if (commit->index > rlog_last_index(rlog))
		e = ERR_CORRUPT;
	else if (commit->index > rlog->commit)
		rlog->commit = commit->index;
	rlpb__commit__free_unpacked(commit, NULL);
	return e;
}

/*
 * Replays one journal record, before rlog_start().  Returns 0, ERR_CORRUPT for
 * bytes that are not a record of this kind or don't follow from the earlier
 * records, or ERR_VERSION for a kind that this release doesn't know.
 */
int
rlog_replay(struct rlog *rlog, uint16_t kind, const void *data, size_t len)
{
	switch (kind) {
	case RLOG_REC_IMAGE:
		return replay_image_bytes(rlog, data, len);
	case RLOG_REC_IDENTITY:
		return replay_identity_bytes(rlog, data, len);
	case RLOG_REC_VOTE:
		return replay_vote_bytes(rlog, data, len);
	case RLOG_REC_ENTRY:
		return replay_entry_bytes(rlog, data, len);
	case RLOG_REC_SNAPSHOT:
		return replay_snapshot_bytes(rlog, data, len);
	case RLOG_REC_COMMIT:
		return replay_commit_bytes(rlog, data, len);
	default:
		return ERR_VERSION;
	}
}

/*
 * Appends an image that replaces all records emitted so far.  The caller writes
 * it to a journal snapshot as RLOG_REC_IMAGE.
 */
void
rlog_image(const struct rlog *rlog_const, struct buf *out)
{
	struct rlog *rlog = (struct rlog *)rlog_const; /* only read from */
	Rlpb__Member members[2][RLOG_MEMBERS_MAX];
	Rlpb__Member *pointers[2][RLOG_MEMBERS_MAX];
	Rlpb__Identity identity = encode_identity(rlog);
	Rlpb__Vote vote = encode_vote(rlog);
	Rlpb__Snapshot snapshot;
	Rlpb__Image image = RLPB__IMAGE__INIT;
	Rlpb__Entry *entries;
	size_t i, len;

	image.identity = &identity;
	image.vote = &vote;
	image.commit = rlog->commit;
	snapshot = encode_snapshot(rlog, members[0], pointers[0]);
	if (rlog->snapshot.index > 0)
		image.snapshot = &snapshot;
	image.base_index = rlog->base_index;
	image.base_term = rlog->base_term;
	image.n_base_member =
	    encode_members(&rlog->base_config, members[1], pointers[1]);
	image.base_member = pointers[1];
	image.n_entry = rlog->slot_count;
	entries =
	    alloc_get(rlog->alloc, (rlog->slot_count + 1) * sizeof(*entries));
	image.entry =
	    alloc_get(rlog->alloc, (rlog->slot_count + 1) * sizeof(void *));
	for (i = 0; i < rlog->slot_count; i++) {
		entries[i] = encode_entry(rlog, rlog->base_index + 1 + i);
		image.entry[i] = &entries[i];
	}
	len = rlpb__image__get_packed_size(&image);
	buf_reserve(out, len);
	(void)rlpb__image__pack(&image, out->data + out->len);
	out->len += len;
	out->data[out->len] = '\0';
	alloc_free(rlog->alloc, (void *)image.entry);
	alloc_free(rlog->alloc, entries);
}
