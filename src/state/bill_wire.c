#include "state/bill_wire.h"

#include <string.h>

#include "wire/bill.pb-c.h"

/* Storage for the messages that a packed bill points to. */
struct bill_parts {
	Cfw__BlBill bill;
	Cfw__BlItem items[BILL_ITEMS_MAX];
	Cfw__BlItem *pointers[BILL_ITEMS_MAX];
};

static void
bill_pack(const struct bill_entry *bill, struct bill_parts *parts)
{
	Cfw__BlItem *item;
	uint8_t i;

	cfw__bl_bill__init(&parts->bill);
	parts->bill.owner = bill->id.owner;
	parts->bill.sequence = bill->id.sequence;
	parts->bill.workspace = bill->workspace;
	parts->bill.service = bill->service;
	parts->bill.request = bill->request;
	parts->bill.state = bill->state;
	parts->bill.born_s = bill->born_s;
	for (i = 0; i < bill->item_count; i++) {
		item = &parts->items[i];
		cfw__bl_item__init(item);
		item->attempt = bill->items[i].attempt;
		item->version = bill->items[i].version;
		item->prompt_tokens = bill->items[i].prompt_tokens;
		item->output_tokens = bill->items[i].output_tokens;
		item->cost_nano = bill->items[i].cost_nano;
		parts->pointers[i] = item;
	}
	parts->bill.n_items = bill->item_count;
	parts->bill.items = parts->pointers;
}

static int
bill_unpack(const Cfw__BlBill *wire, struct bill_entry *bill)
{
	size_t i;

	memset(bill, 0, sizeof(*bill));
	if (wire->n_items > BILL_ITEMS_MAX || wire->state < BILL_INTENT ||
	    wire->state > BILL_CLOSED || wire->sequence == 0)
		return ERR_MALFORMED;
	bill->id.owner = wire->owner;
	bill->id.sequence = wire->sequence;
	bill->workspace = wire->workspace;
	bill->service = wire->service;
	bill->request = wire->request;
	bill->state = (enum bill_state)wire->state;
	bill->born_s = wire->born_s;
	bill->item_count = (uint8_t)wire->n_items;
	for (i = 0; i < wire->n_items; i++) {
		bill->items[i].attempt = (uint8_t)wire->items[i]->attempt;
		bill->items[i].version = wire->items[i]->version;
		bill->items[i].prompt_tokens = wire->items[i]->prompt_tokens;
		bill->items[i].output_tokens = wire->items[i]->output_tokens;
		bill->items[i].cost_nano = wire->items[i]->cost_nano;
	}
	return 0;
}

static void
append_packed(const ProtobufCMessage *message, struct buf *out)
{
	size_t size;

	size = protobuf_c_message_get_packed_size(message);
	buf_reserve(out, size);
	protobuf_c_message_pack(message, out->data + out->len);
	out->len += size;
}

/* Appends an encoded message to out. */
void
bill_msg_encode(const struct bill_msg *msg, struct buf *out)
{
	struct bill_parts parts[BILL_MSG_BILLS_MAX];
	Cfw__BlBill *bills[BILL_MSG_BILLS_MAX];
	Cfw__BlMsg wire;
	uint32_t i;

	cfw__bl_msg__init(&wire);
	wire.kind = msg->kind;
	wire.op = msg->op;
	wire.life = msg->life;
	wire.last = msg->last;
	wire.more = msg->more;
	wire.replica = msg->replica;
	for (i = 0; i < msg->count && i < BILL_MSG_BILLS_MAX; i++) {
		bill_pack(&msg->bills[i], &parts[i]);
		bills[i] = &parts[i].bill;
	}
	wire.n_bills = i;
	wire.bills = bills;
	append_packed(&wire.base, out);
}

static int
msg_unpack(const Cfw__BlMsg *wire, struct bill_msg *msg)
{
	size_t i;

	if (wire->kind < BILL_MSG_PUT || wire->kind > BILL_MSG_BATCH ||
	    wire->n_bills > BILL_MSG_BILLS_MAX)
		return ERR_MALFORMED;
	msg->kind = (enum bill_msg_kind)wire->kind;
	msg->op = wire->op;
	msg->life = wire->life;
	msg->last = wire->last;
	msg->more = wire->more;
	msg->replica = wire->replica;
	for (i = 0; i < wire->n_bills; i++)
		if (bill_unpack(wire->bills[i], &msg->bills[i]) != 0)
			return ERR_MALFORMED;
	msg->count = (uint32_t)wire->n_bills;
	return 0;
}

/* Decodes a message.  Returns 0 or ERR_MALFORMED. */
int
bill_msg_decode(struct bill_msg *msg, const uint8_t *data, size_t len)
{
	Cfw__BlMsg *wire;
	int error;

	memset(msg, 0, sizeof(*msg));
	wire = cfw__bl_msg__unpack(NULL, len, data);
	if (wire == NULL)
		return ERR_MALFORMED;
	error = msg_unpack(wire, msg);
	cfw__bl_msg__free_unpacked(wire, NULL);
	return error;
}

/* Storage for the ids of a packed seal. */
struct id_parts {
	Cfw__BlId ids[BILL_SEAL_OWNERS_MAX];
	Cfw__BlId *pointers[BILL_SEAL_OWNERS_MAX];
};

static void
seal_pack(
    const struct bill_seal *seal, Cfw__BlSeal *wire, struct id_parts *parts)
{
	uint32_t i;

	cfw__bl_seal__init(wire);
	wire->number = seal->number;
	for (i = 0; i < seal->count && i < BILL_SEAL_OWNERS_MAX; i++) {
		cfw__bl_id__init(&parts->ids[i]);
		parts->ids[i].owner = seal->upto[i].owner;
		parts->ids[i].sequence = seal->upto[i].sequence;
		parts->pointers[i] = &parts->ids[i];
	}
	wire->n_upto = i;
	wire->upto = parts->pointers;
}

static int
seal_unpack(const Cfw__BlSeal *wire, struct bill_seal *seal)
{
	size_t i;

	memset(seal, 0, sizeof(*seal));
	if (wire->n_upto > BILL_SEAL_OWNERS_MAX || wire->number == 0)
		return ERR_MALFORMED;
	seal->number = wire->number;
	seal->count = (uint32_t)wire->n_upto;
	for (i = 0; i < wire->n_upto; i++) {
		seal->upto[i].owner = wire->upto[i]->owner;
		seal->upto[i].sequence = wire->upto[i]->sequence;
	}
	return 0;
}

/* Appends an encoded seal to out, for the replicated log. */
void
bill_seal_encode(const struct bill_seal *seal, struct buf *out)
{
	struct id_parts parts;
	Cfw__BlSeal wire;

	seal_pack(seal, &wire, &parts);
	append_packed(&wire.base, out);
}

/* Decodes a seal.  Returns 0 or ERR_MALFORMED. */
int
bill_seal_decode(struct bill_seal *seal, const uint8_t *data, size_t len)
{
	Cfw__BlSeal *wire;
	int error;

	wire = cfw__bl_seal__unpack(NULL, len, data);
	if (wire == NULL)
		return ERR_MALFORMED;
	error = seal_unpack(wire, seal);
	cfw__bl_seal__free_unpacked(wire, NULL);
	return error;
}

/* Appends a bill to out, as a journal record. */
void
bill_encode(const struct bill_entry *bill, struct buf *out)
{
	struct bill_parts parts;
	Cfw__BlRecord wire;

	cfw__bl_record__init(&wire);
	bill_pack(bill, &parts);
	wire.bill = &parts.bill;
	append_packed(&wire.base, out);
}

/* Appends the journal record of a seal that waits for its bills. */
void
bill_record_encode_seal(const struct bill_seal *seal, struct buf *out)
{
	struct id_parts parts;
	Cfw__BlRecord wire;
	Cfw__BlSeal part;

	cfw__bl_record__init(&wire);
	seal_pack(seal, &part, &parts);
	wire.seal = &part;
	append_packed(&wire.base, out);
}

/* Appends the journal record of the sealed state. */
void
bill_record_encode_seal_state(
    const struct bill_seal_state *sealed_state, struct buf *out)
{
	Cfw__BlId **pointers, *ids;
	Cfw__BlRecord wire;
	Cfw__BlTail part;
	uint32_t i;

	cfw__bl_record__init(&wire);
	cfw__bl_tail__init(&part);
	ids = alloc_zero(out->alloc, sealed_state->count + 1, sizeof(*ids));
	pointers = alloc_zero(
	    out->alloc, sealed_state->count + 1, sizeof(Cfw__BlId *));
	for (i = 0; i < sealed_state->count; i++) {
		cfw__bl_id__init(&ids[i]);
		ids[i].owner = sealed_state->upto[i].owner;
		ids[i].sequence = sealed_state->upto[i].sequence;
		pointers[i] = &ids[i];
	}
	part.seals = sealed_state->seals;
	part.exported = sealed_state->exported;
	part.n_upto = sealed_state->count;
	part.upto = pointers;
	wire.tail = &part;
	append_packed(&wire.base, out);
	alloc_free(out->alloc, ids);
	alloc_free(out->alloc, pointers);
}

static void
seal_state_unpack(const Cfw__BlTail *wire, struct bill_journal_record *record)
{
	struct bill_id id;
	size_t i;

	buf_clear(&record->ids);
	for (i = 0; i < wire->n_upto; i++) {
		id.owner = wire->upto[i]->owner;
		id.sequence = wire->upto[i]->sequence;
		buf_add(&record->ids, &id, sizeof(id));
	}
	record->sealed_state.seals = wire->seals;
	record->sealed_state.exported = wire->exported;
	record->sealed_state.count = (uint32_t)wire->n_upto;
	record->sealed_state.upto = (const struct bill_id *)record->ids.data;
}

/*
 * Decodes a journal record; record->ids must be initialised.  Returns 0 or
 * ERR_MALFORMED.
 */
int
bill_record_decode(
    struct bill_journal_record *record, const uint8_t *data, size_t len)
{
	Cfw__BlRecord *wire;
	int error;

	wire = cfw__bl_record__unpack(NULL, len, data);
	if (wire == NULL)
		return ERR_MALFORMED;
	error = 0;
	if (wire->bill != NULL) {
		record->kind = BILL_RECORD_BILL;
		error = bill_unpack(wire->bill, &record->bill);
	} else if (wire->seal != NULL) {
		record->kind = BILL_RECORD_SEAL;
		error = seal_unpack(wire->seal, &record->seal);
	} else if (wire->tail != NULL) {
		record->kind = BILL_RECORD_SEAL_STATE;
		seal_state_unpack(wire->tail, record);
	} else {
		error = ERR_MALFORMED;
	}
	cfw__bl_record__free_unpacked(wire, NULL);
	return error;
}

/* Decodes a bill.  Returns 0 or ERR_MALFORMED. */
int
bill_decode(struct bill_entry *bill, const uint8_t *data, size_t len)
{
	struct bill_journal_record record;
	int error;

	buf_init(&record.ids, NULL);
	error = bill_record_decode(&record, data, len);
	if (error == 0 && record.kind != BILL_RECORD_BILL)
		error = ERR_MALFORMED;
	if (error == 0)
		*bill = record.bill;
	buf_free(&record.ids);
	return error;
}
