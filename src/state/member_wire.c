#include "state/member.h"

#include <string.h>

#include "wire/member.pb-c.h"

static void
fill_record(Mbpb__Record *pb, const struct member_record *record)
{
	mbpb__record__init(pb);
	pb->instance = record->instance;
	pb->incarnation = record->incarnation;
	pb->version = record->version;
	pb->state = record->state;
	pb->roles = record->roles;
}

static void
fill_item(Mbpb__Item *pb, const struct member_item *item)
{
	mbpb__item__init(pb);
	pb->kind = item->kind;
	pb->origin = item->origin;
	pb->incarnation = item->incarnation;
	pb->number = item->number;
	pb->wide = item->wide;
	pb->key = item->key;
	pb->data.data = (uint8_t *)item->data;
	pb->data.len = item->len;
}

/* Trailing zeros of the spare slots are left out. */
static void
fill_summary(Mbpb__Summary *pb, const struct member_summary *summary,
    uint32_t spare[MEMBER_VERSIONS_MAX])
{
	mbpb__summary__init(pb);
	pb->data_centre = summary->data_centre;
	pb->number = summary->number;
	pb->instances = summary->instances;
	pb->relay = summary->relay;
	for (size_t i = 0; i < MEMBER_VERSIONS_MAX; i++) {
		spare[i] = summary->spare[i];
		if (spare[i] != 0)
			pb->n_spare = i + 1;
	}
	pb->spare = spare;
}

static bool
has_summary(const struct member_msg *msg)
{
	return msg->kind == MB_MSG_SPARE || msg->kind == MB_MSG_SUMMARY;
}

/* Appends a message's bytes. */
void
member_msg_encode(const struct member_msg *msg, struct buf *out)
{
	Mbpb__Record self, records[MB_RECORDS_BATCH];
	Mbpb__Record *record_list[MB_RECORDS_BATCH];
	Mbpb__Item items[MB_ITEMS_BATCH];
	Mbpb__Item *item_list[MB_ITEMS_BATCH];
	Mbpb__Summary summary;
	uint32_t spare[MEMBER_VERSIONS_MAX];
	Mbpb__Message pb = MBPB__MESSAGE__INIT;

	fill_record(&self, &msg->self);
	for (uint32_t i = 0; i < msg->record_count; i++) {
		fill_record(&records[i], &msg->records[i]);
		record_list[i] = &records[i];
	}
	for (uint32_t i = 0; i < msg->item_count; i++) {
		fill_item(&items[i], &msg->items[i]);
		item_list[i] = &items[i];
	}
	pb.kind = msg->kind;
	pb.probe = msg->probe;
	pb.target = msg->target;
	pb.self = &self;
	pb.role = msg->role;
	pb.round = msg->round;
	pb.fence = msg->fence;
	pb.granted = msg->granted;
	pb.n_records = msg->record_count;
	pb.records = record_list;
	pb.n_items = msg->item_count;
	pb.items = item_list;
	if (has_summary(msg)) {
		fill_summary(&summary, &msg->summary, spare);
		pb.summary = &summary;
	}
	buf_reserve(out, mbpb__message__get_packed_size(&pb));
	out->len += mbpb__message__pack(&pb, out->data + out->len);
}

static bool
read_record(struct member_record *record, const Mbpb__Record *pb)
{
	if (pb == NULL || pb->state < MEMBER_ALIVE || pb->state > MB_GONE)
		return false;
	record->instance = pb->instance;
	record->incarnation = pb->incarnation;
	record->version = pb->version;
	record->state = (enum mb_state)pb->state;
	record->roles = (uint8_t)pb->roles;
	return true;
}

static bool
read_item(struct member_item *item, const Mbpb__Item *pb)
{
	if (pb->data.len > MB_ITEM_BYTES)
		return false;
	item->kind = (enum member_item_kind)pb->kind;
	item->origin = pb->origin;
	item->incarnation = pb->incarnation;
	item->number = pb->number;
	item->wide = pb->wide;
	item->key = pb->key;
	item->len = (uint8_t)pb->data.len;
	if (pb->data.len > 0)
		memcpy(item->data, pb->data.data, pb->data.len);
	return true;
}

static void
read_summary(struct member_summary *summary, const Mbpb__Summary *pb)
{
	if (pb == NULL)
		return;
	summary->data_centre = (uint16_t)pb->data_centre;
	summary->number = pb->number;
	summary->instances = (uint16_t)pb->instances;
	summary->relay = pb->relay;
	for (size_t i = 0; i < pb->n_spare && i < MEMBER_VERSIONS_MAX; i++)
		summary->spare[i] = (uint16_t)pb->spare[i];
}

static bool
read_lists(struct member_msg *msg, const Mbpb__Message *pb)
{
	if (pb->n_records > MB_RECORDS_BATCH || pb->n_items > MB_ITEMS_BATCH)
		return false;
	for (size_t i = 0; i < pb->n_records; i++) {
		if (!read_record(
			&msg->records[msg->record_count++], pb->records[i]))
			return false;
	}
	for (size_t i = 0; i < pb->n_items; i++) {
		if (!read_item(&msg->items[msg->item_count++], pb->items[i]))
			return false;
	}
	return true;
}

/* Reads a message.  0 or ERR_MALFORMED. */
int
member_msg_decode(struct member_msg *msg, const uint8_t *data, size_t len)
{
	Mbpb__Message *pb = mbpb__message__unpack(NULL, len, data);
	bool good;

	memset(msg, 0, sizeof(*msg));
	if (pb == NULL)
		return ERR_MALFORMED;
	msg->kind = (enum mb_msg_kind)pb->kind;
	msg->probe = pb->probe;
	msg->target = pb->target;
	msg->role = (enum mb_role)pb->role;
	msg->round = pb->round;
	msg->fence = pb->fence;
	msg->granted = pb->granted;
	read_summary(&msg->summary, pb->summary);
	good = pb->kind >= MB_MSG_PING && pb->kind <= MB_MSG_LEASE_RELEASE &&
	       pb->role < MB_ROLES && read_record(&msg->self, pb->self) &&
	       read_lists(msg, pb);
	mbpb__message__free_unpacked(pb, NULL);
	return good ? 0 : ERR_MALFORMED;
}
