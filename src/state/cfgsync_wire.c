#include "state/cfgsync.h"

#include <string.h>

#include "wire/cfgsync.pb-c.h"

/* Appends a message. */
void
cy_msg_encode(const struct cy_msg *msg, struct buf *out)
{
	Cfw__CyConfirm confirms[CY_CONFIRMS_MAX], *list[CY_CONFIRMS_MAX];
	Cfw__CyMsg wire;
	uint32_t i;
	size_t size;

	cfw__cy_msg__init(&wire);
	wire.kind = msg->kind;
	wire.round = msg->round;
	wire.instance = msg->instance;
	wire.incarnation = msg->incarnation;
	wire.revision = msg->revision;
	wire.base_revision = msg->base;
	wire.lease_ms = msg->lease_ms;
	wire.offset = msg->offset;
	wire.total = msg->total;
	for (i = 0; i < msg->confirm_count && i < CY_CONFIRMS_MAX; i++) {
		cfw__cy_confirm__init(&confirms[i]);
		confirms[i].instance = msg->confirms[i].instance;
		confirms[i].incarnation = msg->confirms[i].incarnation;
		confirms[i].revision = msg->confirms[i].revision;
		list[i] = &confirms[i];
	}
	wire.n_confirms = i;
	wire.confirms = list;
	wire.data.data = (uint8_t *)msg->data;
	wire.data.len = msg->len;
	size = cfw__cy_msg__get_packed_size(&wire);
	buf_reserve(out, size);
	cfw__cy_msg__pack(&wire, out->data + out->len);
	out->len += size;
}

static int
msg_unpack(const Cfw__CyMsg *wire, struct cy_msg *msg)
{
	size_t i;

	if (wire->kind < CY_MSG_HAVE || wire->kind > CY_MSG_WANT ||
	    wire->n_confirms > CY_CONFIRMS_MAX)
		return ERR_MALFORMED;
	msg->kind = (enum cy_msg_kind)wire->kind;
	msg->round = wire->round;
	msg->instance = wire->instance;
	msg->incarnation = wire->incarnation;
	msg->revision = wire->revision;
	msg->base = wire->base_revision;
	msg->lease_ms = wire->lease_ms;
	msg->offset = wire->offset;
	msg->total = wire->total;
	for (i = 0; i < wire->n_confirms; i++) {
		msg->confirms[i].instance = wire->confirms[i]->instance;
		msg->confirms[i].incarnation = wire->confirms[i]->incarnation;
		msg->confirms[i].revision = wire->confirms[i]->revision;
	}
	msg->confirm_count = (uint32_t)wire->n_confirms;
	return 0;
}

/* Reads a message; its data is copied to scratch.  0 or ERR_MALFORMED. */
int
cy_msg_decode(
    struct cy_msg *msg, const uint8_t *data, size_t len, struct buf *scratch)
{
	Cfw__CyMsg *wire;
	int error;

	memset(msg, 0, sizeof(*msg));
	wire = cfw__cy_msg__unpack(NULL, len, data);
	if (wire == NULL)
		return ERR_MALFORMED;
	error = msg_unpack(wire, msg);
	buf_clear(scratch);
	buf_add(scratch, wire->data.data, wire->data.len);
	msg->data = scratch->data;
	msg->len = scratch->len;
	cfw__cy_msg__free_unpacked(wire, NULL);
	return error;
}
