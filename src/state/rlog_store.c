#include <string.h>

#include "state/rlog_i.h"
#include "wire/rlog.pb-c.h"

/*
 * Emits a journal record and returns its number.  Records are emitted in the
 * order of the changes in memory, so a replay that stops at any record yields a
 * state that the replica was in.
 */
static uint64_t
persist(struct rl *rl, uint16_t kind, const ProtobufCMessage *message)
{
	struct rl_action *action;
	uint8_t *data;
	size_t len;

	len = protobuf_c_message_get_packed_size(message);
	data = alloc_get(rl->alloc, len + 1);
	(void)protobuf_c_message_pack(message, data);
	rlog_free_later(rl, data);
	action = rlog_add_action(rl, RL_ACT_PERSIST);
	action->u.persist.number = ++rl->number;
	action->u.persist.kind = kind;
	action->u.persist.data = data;
	action->u.persist.len = len;
	if (rl->options.unsafe_skip_persist)
		rl->persisted = rl->number;
	return rl->number;
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
encode_identity(const struct rl *rl)
{
	Rlpb__Identity message = RLPB__IDENTITY__INIT;

	message.id = rl->id;
	message.was_voter = rl->was_voter;
	return message;
}

static Rlpb__Vote
encode_vote(const struct rl *rl)
{
	Rlpb__Vote message = RLPB__VOTE__INIT;

	message.term = rl->term;
	message.voted_for = rl->voted_for;
	return message;
}

static Rlpb__Entry
encode_entry(struct rl *rl, uint64_t index)
{
	Rlpb__Entry message = RLPB__ENTRY__INIT;
	const struct rlog_slot *slot = rlog_slot_at(rl, index);

	message.index = index;
	message.term = slot->term;
	message.kind = (uint32_t)slot->kind;
	message.data.data = slot->data;
	message.data.len = slot->len;
	return message;
}

/* Persists the identity, and whether it has ever been a voter. */
void
rlog_persist_identity(struct rl *rl)
{
	Rlpb__Identity message = encode_identity(rl);

	(void)persist(rl, RLOG_REC_IDENTITY, &message.base);
}

/* Persists the term and the vote in it. */
void
rlog_persist_vote(struct rl *rl)
{
	Rlpb__Vote message = encode_vote(rl);

	rl->vote_record = persist(rl, RLOG_REC_VOTE, &message.base);
}

static void
track_commit_record(struct rl *rl, uint64_t number)
{
	rl->commit_due_us = 0;
	rl->commit_pending = rl->commit;
	rl->commit_record = number;
}

/* Persists one entry of the log, with the current commit index. */
void
rlog_persist_entry(struct rl *rl, uint64_t index)
{
	Rlpb__Entry message = encode_entry(rl, index);
	uint64_t number;

	message.commit = rl->commit;
	number = persist(rl, RLOG_REC_ENTRY, &message.base);
	rlog_slot_at(rl, index)->number = number;
	if (rl->commit_record == 0 && rl->commit_pending != rl->commit)
		track_commit_record(rl, number);
}

static Rlpb__Snapshot
encode_snapshot(
    const struct rl *rl, Rlpb__Member *members, Rlpb__Member **pointers)
{
	Rlpb__Snapshot message = RLPB__SNAPSHOT__INIT;

	message.index = rl->snapshot.index;
	message.term = rl->snapshot.term;
	message.n_member =
	    encode_members(&rl->snapshot.config, members, pointers);
	message.member = pointers;
	message.data.data = rl->snapshot.data.data;
	message.data.len = rl->snapshot.data.len;
	return message;
}

/* Persists a snapshot that the leader has sent. */
void
rlog_persist_snapshot(struct rl *rl)
{
	Rlpb__Member members[RLOG_MEMBERS_MAX];
	Rlpb__Member *pointers[RLOG_MEMBERS_MAX];
	Rlpb__Snapshot message = encode_snapshot(rl, members, pointers);

	rl->snapshot_record = persist(rl, RLOG_REC_SNAPSHOT, &message.base);
}

/*
 * Persists the commit index, so that a replica that restarts alone continues
 * from there.  Normally the next entry carries it and no separate sync is
 * needed; it gets its own record only if no entry follows within
 * RLOG_COMMIT_RECORD_DELAY_US.
 */
void
rlog_persist_commit(struct rl *rl)
{
	Rlpb__Commit message = RLPB__COMMIT__INIT;

	if (rl->commit_record != 0 || rl->commit_pending == rl->commit)
		return;
	if (rl->commit_due_us == 0)
		rl->commit_due_us = rl->now_us + RLOG_COMMIT_RECORD_DELAY_US;
	if (rl->now_us < rl->commit_due_us)
		return;
	message.index = rl->commit;
	track_commit_record(rl, persist(rl, RLOG_REC_COMMIT, &message.base));
}

static int
replay_entry(struct rl *rl, const Rlpb__Entry *entry)
{
	if (entry->index <= rl->base_index ||
	    entry->index > rlog_last_index(rl) + 1 ||
	    entry->kind > RLOG_ENTRY_MEMBERS)
		return ERR_CORRUPT;
	if (entry->index <= rlog_last_index(rl))
		rlog_log_truncate(rl, entry->index);
	(void)rlog_log_append(rl, entry->term,
	    (enum rlog_entry_kind)entry->kind, entry->data.data,
	    entry->data.len);
	if (entry->term > rl->term) {
		rl->term = entry->term;
		rl->voted_for = 0;
	}
	if (entry->commit > rlog_last_index(rl))
		return ERR_CORRUPT;
	if (entry->commit > rl->commit)
		rl->commit = entry->commit;
	return 0;
}

static int
replay_snapshot(struct rl *rl, const Rlpb__Snapshot *snapshot)
{
	struct rlog_config config;
	int e;

	e = decode_members(snapshot->member, snapshot->n_member, &config);
	if (e != 0)
		return e;
	rl->snapshot.index = snapshot->index;
	rl->snapshot.term = snapshot->term;
	rl->snapshot.config = config;
	buf_clear(&rl->snapshot.data);
	buf_add(&rl->snapshot.data, snapshot->data.data, snapshot->data.len);
	rl->restore_pending = true;
	if (rl->commit < snapshot->index)
		rl->commit = snapshot->index;
	rl->applied = snapshot->index;
	return 0;
}

static int
replay_image(struct rl *rl, const Rlpb__Image *image)
{
	struct rlog_config config;
	size_t i;
	int e;

	if (image->identity == NULL || image->vote == NULL)
		return ERR_CORRUPT;
	rl->id = image->identity->id;
	rl->was_voter = image->identity->was_voter;
	rl->term = image->vote->term;
	rl->voted_for = image->vote->voted_for;
	if (image->snapshot != NULL &&
	    (e = replay_snapshot(rl, image->snapshot)) != 0)
		return e;
	e = decode_members(image->base_member, image->n_base_member, &config);
	if (e != 0)
		return e;
	rlog_log_reset(rl, image->base_index, image->base_term, &config);
	for (i = 0; i < image->n_entry; i++)
		if ((e = replay_entry(rl, image->entry[i])) != 0)
			return e;
	rl->commit = image->commit;
	return 0;
}

static int
replay_image_bytes(struct rl *rl, const void *data, size_t len)
{
	Rlpb__Image *image = rlpb__image__unpack(NULL, len, data);
	int e;

	if (image == NULL)
		return ERR_CORRUPT;
	e = replay_image(rl, image);
	rlpb__image__free_unpacked(image, NULL);
	return e;
}

static int
replay_entry_bytes(struct rl *rl, const void *data, size_t len)
{
	Rlpb__Entry *entry = rlpb__entry__unpack(NULL, len, data);
	int e;

	if (entry == NULL)
		return ERR_CORRUPT;
	e = replay_entry(rl, entry);
	rlpb__entry__free_unpacked(entry, NULL);
	return e;
}

static int
replay_snapshot_bytes(struct rl *rl, const void *data, size_t len)
{
	Rlpb__Snapshot *snapshot = rlpb__snapshot__unpack(NULL, len, data);
	int e;

	if (snapshot == NULL)
		return ERR_CORRUPT;
	e = replay_snapshot(rl, snapshot);
	if (e == 0)
		rlog_log_reset(rl, rl->snapshot.index, rl->snapshot.term,
		    &rl->snapshot.config);
	rlpb__snapshot__free_unpacked(snapshot, NULL);
	return e;
}

static int
replay_identity_bytes(struct rl *rl, const void *data, size_t len)
{
	Rlpb__Identity *identity = rlpb__identity__unpack(NULL, len, data);

	if (identity == NULL)
		return ERR_CORRUPT;
	rl->id = identity->id;
	rl->was_voter = identity->was_voter;
	rlpb__identity__free_unpacked(identity, NULL);
	return 0;
}

static int
replay_vote_bytes(struct rl *rl, const void *data, size_t len)
{
	Rlpb__Vote *vote = rlpb__vote__unpack(NULL, len, data);

	if (vote == NULL)
		return ERR_CORRUPT;
	rl->term = vote->term;
	rl->voted_for = vote->voted_for;
	rlpb__vote__free_unpacked(vote, NULL);
	return 0;
}

static int
replay_commit_bytes(struct rl *rl, const void *data, size_t len)
{
	Rlpb__Commit *commit = rlpb__commit__unpack(NULL, len, data);
	int e = 0;

	if (commit == NULL)
		return ERR_CORRUPT;
	if (commit->index > rlog_last_index(rl))
		e = ERR_CORRUPT;
	else if (commit->index > rl->commit)
		rl->commit = commit->index;
	rlpb__commit__free_unpacked(commit, NULL);
	return e;
}

/*
 * Replays one journal record, before rl_start().  Returns 0, ERR_CORRUPT for
 * bytes that are not a record of this kind or don't follow from the earlier
 * records, or ERR_VERSION for a kind that this release doesn't know.
 */
int
rl_replay(struct rl *rl, uint16_t kind, const void *data, size_t len)
{
	switch (kind) {
	case RL_REC_IMAGE:
		return replay_image_bytes(rl, data, len);
	case RLOG_REC_IDENTITY:
		return replay_identity_bytes(rl, data, len);
	case RLOG_REC_VOTE:
		return replay_vote_bytes(rl, data, len);
	case RLOG_REC_ENTRY:
		return replay_entry_bytes(rl, data, len);
	case RLOG_REC_SNAPSHOT:
		return replay_snapshot_bytes(rl, data, len);
	case RLOG_REC_COMMIT:
		return replay_commit_bytes(rl, data, len);
	default:
		return ERR_VERSION;
	}
}

/*
 * Appends an image that replaces all records emitted so far.  The caller writes
 * it to a journal snapshot as RL_REC_IMAGE.
 */
void
rl_image(const struct rl *rl_const, struct buf *out)
{
	struct rl *rl = (struct rl *)rl_const; /* only read from */
	Rlpb__Member members[2][RLOG_MEMBERS_MAX];
	Rlpb__Member *pointers[2][RLOG_MEMBERS_MAX];
	Rlpb__Identity identity = encode_identity(rl);
	Rlpb__Vote vote = encode_vote(rl);
	Rlpb__Snapshot snapshot;
	Rlpb__Image image = RLPB__IMAGE__INIT;
	Rlpb__Entry *entries;
	size_t i, len;

	image.identity = &identity;
	image.vote = &vote;
	image.commit = rl->commit;
	snapshot = encode_snapshot(rl, members[0], pointers[0]);
	if (rl->snapshot.index > 0)
		image.snapshot = &snapshot;
	image.base_index = rl->base_index;
	image.base_term = rl->base_term;
	image.n_base_member =
	    encode_members(&rl->base_config, members[1], pointers[1]);
	image.base_member = pointers[1];
	image.n_entry = rl->slot_count;
	entries = alloc_get(rl->alloc, (rl->slot_count + 1) * sizeof(*entries));
	image.entry =
	    alloc_get(rl->alloc, (rl->slot_count + 1) * sizeof(void *));
	for (i = 0; i < rl->slot_count; i++) {
		entries[i] = encode_entry(rl, rl->base_index + 1 + i);
		image.entry[i] = &entries[i];
	}
	len = rlpb__image__get_packed_size(&image);
	buf_reserve(out, len);
	(void)rlpb__image__pack(&image, out->data + out->len);
	out->len += len;
	out->data[out->len] = '\0';
	alloc_free(rl->alloc, (void *)image.entry);
	alloc_free(rl->alloc, entries);
}
