#include "state/claim_wire.h"

#include <string.h>

#include "wire/claim.pb-c.h"

/* Storage for the messages that a packed entry points to. */
struct entry_parts {
	Cfw__ClEntry entry;
	Cfw__ClBallot promised;
	Cfw__ClBallot accepted;
	Cfw__ClBallot resolved;
	Cfw__ClMeta meta;
};

/* Fills wire from ballot.  Returns wire, or NULL for the zero ballot. */
static Cfw__ClBallot *
ballot_pack(const struct claim_ballot *ballot, Cfw__ClBallot *wire)
{
	if (claim_ballot_is_zero(ballot))
		return NULL;
	cfw__cl_ballot__init(wire);
	wire->round = ballot->round;
	wire->instance = ballot->instance;
	wire->incarnation = ballot->incarnation;
	return wire;
}

static void
ballot_unpack(const Cfw__ClBallot *wire, struct claim_ballot *ballot)
{
	if (wire == NULL)
		return;
	ballot->round = wire->round;
	ballot->instance = wire->instance;
	ballot->incarnation = wire->incarnation;
}

static ProtobufCBinaryData
bytes_pack(const uint8_t *data, size_t len)
{
	ProtobufCBinaryData bytes;
	size_t i;

	bytes.len = 0;
	bytes.data = (uint8_t *)data;
	for (i = 0; i < len; i++)
		if (data[i] != 0)
			bytes.len = len;
	return bytes;
}

/* Copies bytes to data; returns false if their length is not 0 or len. */
static bool
bytes_unpack(const ProtobufCBinaryData *bytes, uint8_t *data, size_t len)
{
	if (bytes->len == 0)
		return true;
	if (bytes->len != len)
		return false;
	memcpy(data, bytes->data, len);
	return true;
}

static void
entry_pack(const struct claim_entry *entry, struct entry_parts *parts)
{
	Cfw__ClEntry *wire;

	wire = &parts->entry;
	cfw__cl_entry__init(wire);
	wire->workspace = entry->key.workspace;
	wire->born = entry->key.born;
	wire->hash = bytes_pack(entry->key.hash, sizeof(entry->key.hash));
	wire->promised = ballot_pack(&entry->promised, &parts->promised);
	wire->held = entry->held;
	wire->accepted = ballot_pack(&entry->accepted, &parts->accepted);
	wire->phase = entry->phase;
	wire->status = entry->status;
	wire->digest = bytes_pack(entry->digest, sizeof(entry->digest));
	wire->resolved =
	    ballot_pack(&entry->resolution.attempt, &parts->resolved);
	wire->change_id = entry->resolution.change_id;
	wire->verdict = entry->resolution.verdict;
}

static int
entry_unpack(const Cfw__ClEntry *wire, struct claim_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	if (wire->phase >= CLAIM_PHASE_COUNT ||
	    wire->verdict >= CLAIM_PHASE_COUNT ||
	    !bytes_unpack(&wire->hash, entry->key.hash, CLAIM_KEY_HASH_BYTES) ||
	    !bytes_unpack(&wire->digest, entry->digest, CLAIM_DIGEST_BYTES))
		return ERR_MALFORMED;
	entry->key.workspace = wire->workspace;
	entry->key.born = wire->born;
	ballot_unpack(wire->promised, &entry->promised);
	entry->held = wire->held;
	ballot_unpack(wire->accepted, &entry->accepted);
	entry->phase = (enum claim_phase)wire->phase;
	entry->status = wire->status;
	ballot_unpack(wire->resolved, &entry->resolution.attempt);
	entry->resolution.change_id = wire->change_id;
	entry->resolution.verdict = (enum claim_phase)wire->verdict;
	return 0;
}

/* Appends an entry to out, as a journal record of a replica. */
void
claim_entry_encode(const struct claim_entry *entry, struct buf *out)
{
	struct entry_parts parts;
	size_t size;

	entry_pack(entry, &parts);
	size = cfw__cl_entry__get_packed_size(&parts.entry);
	buf_reserve(out, size);
	cfw__cl_entry__pack(&parts.entry, out->data + out->len);
	out->len += size;
}

/* Appends the journal record of the store's state outside of its entries. */
void
claim_meta_encode(const struct claim_meta *meta, struct buf *out)
{
	struct entry_parts parts;
	size_t size;

	cfw__cl_entry__init(&parts.entry);
	cfw__cl_meta__init(&parts.meta);
	parts.meta.floor = meta->floor;
	parts.meta.epoch = meta->epoch;
	parts.meta.coverage = meta->coverage;
	parts.entry.meta = &parts.meta;
	size = cfw__cl_entry__get_packed_size(&parts.entry);
	buf_reserve(out, size);
	cfw__cl_entry__pack(&parts.entry, out->data + out->len);
	out->len += size;
}

/*
 * Decodes a journal record.  Returns 0 with entry filled in, 1 with meta filled
 * in, or ERR_MALFORMED.
 */
int
claim_record_decode(struct claim_entry *entry, struct claim_meta *meta,
    const uint8_t *data, size_t len)
{
	Cfw__ClEntry *wire;
	int error;

	wire = cfw__cl_entry__unpack(NULL, len, data);
	if (wire == NULL)
		return ERR_MALFORMED;
	if (wire->meta != NULL) {
		meta->floor = wire->meta->floor;
		meta->epoch = wire->meta->epoch;
		meta->coverage = (enum claim_coverage)wire->meta->coverage;
		error = meta->coverage <= CLAIM_COVERS_ALL ? 1 : ERR_MALFORMED;
	} else {
		error = entry_unpack(wire, entry);
	}
	cfw__cl_entry__free_unpacked(wire, NULL);
	return error;
}

/* Decodes one entry.  Returns 0 or ERR_MALFORMED. */
int
claim_entry_decode(struct claim_entry *entry, const uint8_t *data, size_t len)
{
	struct claim_meta meta;

	return claim_record_decode(entry, &meta, data, len) == 0
		   ? 0
		   : ERR_MALFORMED;
}

/* Appends an encoded message to out. */
void
claim_msg_encode(const struct claim_msg *msg, struct buf *out)
{
	struct entry_parts parts[CLAIM_MSG_ENTRIES_MAX + 1];
	Cfw__ClEntry *entries[CLAIM_MSG_ENTRIES_MAX];
	Cfw__ClBallot ballot, takeover;
	Cfw__ClMsg wire;
	uint32_t i;
	size_t size;

	cfw__cl_msg__init(&wire);
	wire.kind = msg->kind;
	wire.epoch = msg->epoch;
	wire.op = msg->op;
	wire.error = msg->error;
	wire.ballot = ballot_pack(&msg->ballot, &ballot);
	wire.takeover = ballot_pack(&msg->takeover, &takeover);
	if (msg->kind < CLAIM_MSG_LIST_HALTED) {
		entry_pack(&msg->entry, &parts[CLAIM_MSG_ENTRIES_MAX]);
		wire.entry = &parts[CLAIM_MSG_ENTRIES_MAX].entry;
	}
	wire.cursor = msg->cursor;
	wire.floor = msg->floor;
	for (i = 0; i < msg->entry_count && i < CLAIM_MSG_ENTRIES_MAX; i++) {
		entry_pack(&msg->entries[i], &parts[i]);
		entries[i] = &parts[i].entry;
	}
	wire.n_entries = i;
	wire.entries = entries;
	size = cfw__cl_msg__get_packed_size(&wire);
	buf_reserve(out, size);
	cfw__cl_msg__pack(&wire, out->data + out->len);
	out->len += size;
}

static int
msg_unpack(const Cfw__ClMsg *wire, struct claim_msg *msg)
{
	size_t i;

	if (wire->kind < CLAIM_MSG_ACQUIRE || wire->kind > CLAIM_MSG_ENTRIES ||
	    wire->n_entries > CLAIM_MSG_ENTRIES_MAX)
		return ERR_MALFORMED;
	msg->kind = (enum claim_msg_kind)wire->kind;
	msg->epoch = wire->epoch;
	msg->op = wire->op;
	msg->error = wire->error;
	ballot_unpack(wire->ballot, &msg->ballot);
	ballot_unpack(wire->takeover, &msg->takeover);
	msg->cursor = wire->cursor;
	msg->floor = wire->floor;
	if (wire->entry != NULL && entry_unpack(wire->entry, &msg->entry) != 0)
		return ERR_MALFORMED;
	for (i = 0; i < wire->n_entries; i++)
		if (entry_unpack(wire->entries[i], &msg->entries[i]) != 0)
			return ERR_MALFORMED;
	msg->entry_count = (uint32_t)wire->n_entries;
	return 0;
}

/* Decodes a message.  Returns 0 or ERR_MALFORMED. */
int
claim_msg_decode(struct claim_msg *msg, const uint8_t *data, size_t len)
{
	Cfw__ClMsg *wire;
	int error;

	memset(msg, 0, sizeof(*msg));
	wire = cfw__cl_msg__unpack(NULL, len, data);
	if (wire == NULL)
		return ERR_MALFORMED;
	error = msg_unpack(wire, msg);
	cfw__cl_msg__free_unpacked(wire, NULL);
	return error;
}
