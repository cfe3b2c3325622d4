#include "state/member.h"

#include <string.h>

#include "wire/member.pb-c.h"

static void
record_pack(const struct mb_record *record, Cfw__MbRecord *wire)
{
	cfw__mb_record__init(wire);
	wire->instance = record->instance;
	wire->incarnation = record->incarnation;
	wire->version = record->version;
	wire->state = record->state;
	wire->roles = record->roles;
}

static int
record_unpack(const Cfw__MbRecord *wire, struct mb_record *record)
{
	if (wire->instance == 0 || wire->state < MB_ALIVE ||
	    wire->state > MB_GONE)
		return ERR_MALFORMED;
	record->instance = wire->instance;
	record->incarnation = wire->incarnation;
	record->version = wire->version;
	record->state = (enum mb_state)wire->state;
	record->roles = (uint8_t)wire->roles;
	return 0;
}

static void
item_pack(const struct mb_item *item, Cfw__MbItem *wire)
{
	cfw__mb_item__init(wire);
	wire->kind = item->kind;
	wire->origin = item->origin;
	wire->incarnation = item->incarnation;
	wire->number = item->number;
	wire->wide = item->wide;
	wire->key = item->key;
	wire->data.len = item->len;
	wire->data.data = (uint8_t *)item->data;
}

static int
item_unpack(const Cfw__MbItem *wire, struct mb_item *item)
{
	if (wire->kind < MB_ITEM_CRASH_MARK || wire->kind > MB_ITEM_SUMMARY ||
	    wire->data.len > MB_ITEM_BYTES)
		return ERR_MALFORMED;
	item->kind = (enum mb_item_kind)wire->kind;
	item->origin = wire->origin;
	item->incarnation = wire->incarnation;
	item->number = wire->number;
	item->wide = wire->wide;
	item->key = wire->key;
	item->len = (uint8_t)wire->data.len;
	if (item->len > 0)
		memcpy(item->data, wire->data.data, item->len);
	return 0;
}

/* Spare slots after the last version that has any are left out. */
static void
summary_pack(const struct mb_summary *summary, Cfw__MbSummary *wire,
    uint32_t spare[MB_VERSIONS_MAX])
{
	size_t i;

	cfw__mb_summary__init(wire);
	wire->data_centre = summary->data_centre;
	wire->number = summary->number;
	wire->instances = summary->instances;
	wire->relay = summary->relay;
	wire->spare = spare;
	for (i = 0; i < MB_VERSIONS_MAX; i++) {
		spare[i] = summary->spare[i];
		if (spare[i] != 0)
			wire->n_spare = i + 1;
	}
}

static int
summary_unpack(const Cfw__MbSummary *wire, struct mb_summary *summary)
{
	size_t i;

	if (wire->n_spare > MB_VERSIONS_MAX ||
	    wire->data_centre >= MB_DATA_CENTRES_MAX)
		return ERR_MALFORMED;
	summary->data_centre = (uint16_t)wire->data_centre;
	summary->number = wire->number;
	summary->instances = (uint16_t)wire->instances;
	summary->relay = wire->relay;
	for (i = 0; i < wire->n_spare; i++)
		summary->spare[i] = (uint16_t)wire->spare[i];
	return 0;
}

static bool
has_summary(enum mb_msg_kind kind)
{
	return kind == MB_MSG_SPARE || kind == MB_MSG_SUMMARY;
}

/* Appends a message. */
void
mb_msg_encode(const struct mb_msg *msg, struct buf *out)
{
	Cfw__MbRecord self, records[MB_RECORDS_BATCH];
	Cfw__MbRecord *record_list[MB_RECORDS_BATCH];
	Cfw__MbItem items[MB_ITEMS_BATCH], *item_list[MB_ITEMS_BATCH];
	uint32_t i, spare[MB_VERSIONS_MAX];
	Cfw__MbSummary summary;
	Cfw__MbMsg wire;
	size_t size;

	cfw__mb_msg__init(&wire);
	wire.kind = msg->kind;
	wire.probe = msg->probe;
	wire.target = msg->target;
	record_pack(&msg->self, &self);
	wire.self = &self;
	wire.role = msg->role;
	wire.round = msg->round;
	wire.fence = msg->fence;
	wire.granted = msg->granted;
	if (has_summary(msg->kind)) {
		summary_pack(&msg->summary, &summary, spare);
		wire.summary = &summary;
	}
	for (i = 0; i < msg->record_count; i++) {
		record_pack(&msg->records[i], &records[i]);
		record_list[i] = &records[i];
	}
	wire.n_records = i;
	wire.records = record_list;
	for (i = 0; i < msg->item_count; i++) {
		item_pack(&msg->items[i], &items[i]);
		item_list[i] = &items[i];
	}
	wire.n_items = i;
	wire.items = item_list;
	size = cfw__mb_msg__get_packed_size(&wire);
	buf_reserve(out, size);
	cfw__mb_msg__pack(&wire, out->data + out->len);
	out->len += size;
}

static int
lists_unpack(const Cfw__MbMsg *wire, struct mb_msg *msg)
{
	size_t i;

	if (wire->n_records > MB_RECORDS_BATCH ||
	    wire->n_items > MB_ITEMS_BATCH)
		return ERR_MALFORMED;
	for (i = 0; i < wire->n_records; i++)
		if (record_unpack(wire->records[i], &msg->records[i]) != 0)
			return ERR_MALFORMED;
	for (i = 0; i < wire->n_items; i++)
		if (item_unpack(wire->items[i], &msg->items[i]) != 0)
			return ERR_MALFORMED;
	msg->record_count = (uint32_t)wire->n_records;
	msg->item_count = (uint32_t)wire->n_items;
	return 0;
}

static int
msg_unpack(const Cfw__MbMsg *wire, struct mb_msg *msg)
{
	if (wire->kind < MB_MSG_PING || wire->kind > MB_MSG_LEASE_RELEASE ||
	    wire->self == NULL || wire->role >= MB_ROLES)
		return ERR_MALFORMED;
	msg->kind = (enum mb_msg_kind)wire->kind;
	msg->probe = wire->probe;
	msg->target = wire->target;
	msg->role = (enum mb_role)wire->role;
	msg->round = wire->round;
	msg->fence = wire->fence;
	msg->granted = wire->granted;
	if (record_unpack(wire->self, &msg->self) != 0 ||
	    (has_summary(msg->kind) && wire->summary == NULL))
		return ERR_MALFORMED;
	if (wire->summary != NULL &&
	    summary_unpack(wire->summary, &msg->summary) != 0)
		return ERR_MALFORMED;
	return lists_unpack(wire, msg);
}

/* Reads a message; 0 or ERR_MALFORMED. */
int
mb_msg_decode(struct mb_msg *msg, const uint8_t *data, size_t len)
{
	Cfw__MbMsg *wire;
	int error;

	memset(msg, 0, sizeof(*msg));
	wire = cfw__mb_msg__unpack(NULL, len, data);
	if (wire == NULL)
		return ERR_MALFORMED;
	error = msg_unpack(wire, msg);
	cfw__mb_msg__free_unpacked(wire, NULL);
	return error;
}
