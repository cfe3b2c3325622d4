#include "state/cfgsync.h"

#include <string.h>

#include "wire/cfgsync.pb-c.h"

/* Appends a message's bytes. */
void
cfgsync_msg_encode(const struct cfgsync_msg *msg, struct buf *out)
{
	Cypb__Confirm confirms[CY_CONFIRMS_MAX];
	Cypb__Confirm *list[CY_CONFIRMS_MAX];
	Cypb__Message pb = CYPB__MESSAGE__INIT;

	for (uint32_t i = 0; i < msg->confirm_count; i++) {
		cypb__confirm__init(&confirms[i]);
		confirms[i].instance = msg->confirms[i].instance;
		confirms[i].incarnation = msg->confirms[i].incarnation;
		confirms[i].revision = msg->confirms[i].revision;
		list[i] = &confirms[i];
	}
	pb.kind = msg->kind;
	pb.round = msg->round;
	pb.instance = msg->instance;
	pb.incarnation = msg->incarnation;
	pb.revision = msg->revision;
	pb.base_revision = msg->base;
	pb.lease_ms = msg->lease_ms;
	pb.offset = msg->offset;
	pb.total = msg->total;
	pb.n_confirms = msg->confirm_count;
	pb.confirms = list;
	pb.data.data = (uint8_t *)msg->data;
	pb.data.len = msg->len;
	buf_reserve(out, cypb__message__get_packed_size(&pb));
	out->len += cypb__message__pack(&pb, out->data + out->len);
}

static void
copy_message(
    struct cfgsync_msg *msg, const Cypb__Message *pb, struct buf *scratch)
{
	msg->kind = (enum cy_msg_kind)pb->kind;
	msg->round = pb->round;
	msg->instance = pb->instance;
	msg->incarnation = pb->incarnation;
	msg->revision = pb->revision;
	msg->base = pb->base_revision;
	msg->lease_ms = pb->lease_ms;
	msg->offset = pb->offset;
	msg->total = pb->total;
	for (size_t i = 0; i < pb->n_confirms && i < CY_CONFIRMS_MAX; i++) {
		struct cy_confirm *c = &msg->confirms[msg->confirm_count++];

		c->instance = pb->confirms[i]->instance;
		c->incarnation = pb->confirms[i]->incarnation;
		c->revision = pb->confirms[i]->revision;
	}
	buf_clear(scratch);
	buf_add(scratch, pb->data.data, pb->data.len);
	msg->data = scratch->data;
	msg->len = scratch->len;
}

/* Reads a message; its data stays in scratch.  0 or ERR_MALFORMED. */
int
cfgsync_msg_decode(struct cfgsync_msg *msg, const uint8_t *data, size_t len,
    struct buf *scratch)
{
	Cypb__Message *pb = cypb__message__unpack(NULL, len, data);

	memset(msg, 0, sizeof(*msg));
	if (pb == NULL)
		return ERR_MALFORMED;
	copy_message(msg, pb, scratch);
	cypb__message__free_unpacked(pb, NULL);
	if (msg->kind < CFGSYNC_MSG_HAVE || msg->kind > CFGSYNC_MSG_WANT)
		return ERR_MALFORMED;
	return 0;
}
