#include <string.h>

#include "state/rlog.h"
#include "wire/rlog.pb-c.h"

static void
encode_fields(const struct rlog_msg *msg, Rlpb__Message *out)
{
	out->kind = (uint32_t)msg->kind;
	out->from_id = msg->from_id;
	out->to_id = msg->to_id;
	out->from_instance = msg->from_instance;
	out->term = msg->term;
	out->log_index = msg->log_index;
	out->log_term = msg->log_term;
	out->commit = msg->commit;
	out->round = msg->round;
	out->match = msg->match;
	out->ok = msg->ok;
	out->joinable = msg->joinable;
	out->transfer = msg->transfer;
	out->replaces_voters = msg->replaces_voters;
	out->offset = msg->offset;
	out->total = msg->total;
	out->chunk.data = (uint8_t *)msg->chunk;
	out->chunk.len = msg->chunk_len;
}

static void
decode_fields(const Rlpb__Message *in, struct rlog_msg *msg)
{
	msg->kind = (enum rlog_msg_kind)in->kind;
	msg->from_id = in->from_id;
	msg->to_id = in->to_id;
	msg->from_instance = in->from_instance;
	msg->term = in->term;
	msg->log_index = in->log_index;
	msg->log_term = in->log_term;
	msg->commit = in->commit;
	msg->round = in->round;
	msg->match = in->match;
	msg->ok = in->ok;
	msg->joinable = in->joinable;
	msg->transfer = in->transfer;
	msg->replaces_voters = in->replaces_voters;
	msg->offset = in->offset;
	msg->total = in->total;
}

static Rlpb__Entry **
encode_entries(const struct rlog_msg *msg, Rlpb__Entry *entries)
{
	Rlpb__Entry **pointers =
	    alloc_get(alloc_default(), (msg->entry_count + 1) * sizeof(void *));
	size_t i;

	for (i = 0; i < msg->entry_count; i++) {
		rlpb__entry__init(&entries[i]);
		entries[i].index = msg->entries[i].index;
		entries[i].term = msg->entries[i].term;
		entries[i].kind = (uint32_t)msg->entries[i].kind;
		entries[i].data.data = (uint8_t *)msg->entries[i].data;
		entries[i].data.len = msg->entries[i].len;
		pointers[i] = &entries[i];
	}
	return pointers;
}

/*
 * Appends the wire encoding of a message.  Returns 0, or ERR_TOO_LARGE for too
 * many members.
 */
int
rlog_msg_encode(const struct rlog_msg *msg, struct buf *out)
{
	const struct alloc *alloc = alloc_default();
	Rlpb__Message message = RLPB__MESSAGE__INIT;
	Rlpb__Member members[RLOG_MEMBERS_MAX], *pointers[RLOG_MEMBERS_MAX];
	Rlpb__Entry *entries;
	size_t i, len;

	if (msg->member_count > RLOG_MEMBERS_MAX)
		return ERR_TOO_LARGE;
	encode_fields(msg, &message);
	for (i = 0; i < msg->member_count; i++) {
		rlpb__member__init(&members[i]);
		members[i].id = msg->members[i].id;
		members[i].instance = msg->members[i].instance;
		members[i].voter = msg->members[i].voter;
		pointers[i] = &members[i];
	}
	message.n_member = msg->member_count;
	message.member = pointers;
	entries = alloc_get(alloc, (msg->entry_count + 1) * sizeof(*entries));
	message.n_entry = msg->entry_count;
	message.entry = encode_entries(msg, entries);
	len = rlpb__message__get_packed_size(&message);
	buf_reserve(out, len);
	(void)rlpb__message__pack(&message, out->data + out->len);
	out->len += len;
	out->data[out->len] = '\0';
	alloc_free(alloc, (void *)message.entry);
	alloc_free(alloc, entries);
	return 0;
}

static bool
is_valid(const Rlpb__Message *in)
{
	size_t i;

	if (in->kind < RLOG_MSG_HELLO || in->kind > RLOG_MSG_TIMEOUT_NOW ||
	    in->from_instance == RLOG_NO_INSTANCE || in->from_id == 0 ||
	    in->n_member > RLOG_MEMBERS_MAX)
		return false;
	for (i = 0; i < in->n_entry; i++)
		if (in->entry[i]->kind > RLOG_ENTRY_MEMBERS ||
		    in->entry[i]->term > in->term)
			return false;
	return true;
}

static void *
duplicate(const void *data, size_t len)
{
	void *block;

	if (len == 0)
		return NULL;
	block = alloc_get(alloc_default(), len);
	memcpy(block, data, len);
	return block;
}

static void
decode_lists(const Rlpb__Message *in, struct rlog_msg *msg)
{
	const struct alloc *alloc = alloc_default();
	struct rlog_member *members;
	struct rlog_entry *entries;
	size_t i;

	msg->chunk = duplicate(in->chunk.data, in->chunk.len);
	msg->chunk_len = in->chunk.len;
	members = alloc_zero(alloc, in->n_member + 1, sizeof(*members));
	for (i = 0; i < in->n_member; i++) {
		members[i].id = in->member[i]->id;
		members[i].instance = in->member[i]->instance;
		members[i].voter = in->member[i]->voter;
	}
	msg->members = members;
	msg->member_count = in->n_member;
	entries = alloc_zero(alloc, in->n_entry + 1, sizeof(*entries));
	for (i = 0; i < in->n_entry; i++) {
		entries[i].index = in->entry[i]->index;
		entries[i].term = in->entry[i]->term;
		entries[i].kind = (enum rlog_entry_kind)in->entry[i]->kind;
		entries[i].len = in->entry[i]->data.len;
		entries[i].data =
		    duplicate(in->entry[i]->data.data, in->entry[i]->data.len);
	}
	msg->entries = entries;
	msg->entry_count = in->n_entry;
}

/* Decodes a message. Returns 0, or ERR_MALFORMED with nothing to release. */
int
rlog_msg_decode(const void *data, size_t len, struct rlog_msg *msg)
{
	Rlpb__Message *in;

	memset(msg, 0, sizeof(*msg));
	in = rlpb__message__unpack(NULL, len, data);
	if (in == NULL)
		return ERR_MALFORMED;
	if (!is_valid(in)) {
		rlpb__message__free_unpacked(in, NULL);
		return ERR_MALFORMED;
	}
	decode_fields(in, msg);
	decode_lists(in, msg);
	rlpb__message__free_unpacked(in, NULL);
	return 0;
}

/* Releases a message that rlog_msg_decode() filled in. */
void
rlog_msg_release(struct rlog_msg *msg)
{
	const struct alloc *alloc = alloc_default();
	size_t i;

	for (i = 0; i < msg->entry_count; i++)
		alloc_free(alloc, (void *)msg->entries[i].data);
	alloc_free(alloc, (void *)msg->entries);
	alloc_free(alloc, (void *)msg->members);
	alloc_free(alloc, (void *)msg->chunk);
	memset(msg, 0, sizeof(*msg));
}
