#include "state/member_core.h"

#include <string.h>

enum {
	IDLE_MS = 10000, /* between two summaries that say the same */
	MEMBER_MS = 100, /* more members, longer between two shares */
	SPARE_PERIODS = 4, /* a share older than so many periods is void */
	SUMMARY_HEAD_BYTES = 12,
	REORDER_MAX = 16 /* a number further back is of a restarted relay */
};

/* Between data centres: summaries and wide items, through the relay only. */

/* Names an instance of another data centre to begin with. */
void
mb_seed_data_centre(struct mb *mb, uint16_t data_centre, uint32_t instance)
{
	if (data_centre < MB_DATA_CENTRES_MAX &&
	    data_centre != mb->options.data_centre)
		mb->remotes[data_centre].contact = instance;
}

/* Time between two summaries or shares, so that a relay is not swamped. */
static int64_t
period_us(const struct mb *mb)
{
	uint32_t ms;

	ms = mb->peer_count * MEMBER_MS;
	if (ms < mb->options.summary_ms)
		ms = mb->options.summary_ms;
	return ms * (int64_t)1000;
}

/* Whether numbers have to be sent now: changed, or not for long. */
static bool
due(struct mb *mb, int64_t now_us, uint16_t instances,
    const uint16_t spare[MB_VERSIONS_MAX], uint32_t relay)
{
	if (now_us < mb->idle_us && relay == mb->sent_relay &&
	    instances == mb->sent_instances &&
	    memcmp(spare, mb->sent_spare, sizeof(mb->sent_spare)) == 0)
		return false;
	mb->idle_us = now_us + IDLE_MS * (int64_t)1000;
	mb->sent_relay = relay;
	mb->sent_instances = instances;
	memcpy(mb->sent_spare, spare, sizeof(mb->sent_spare));
	return true;
}

/* Takes this instance's share of the spare slots. */
void
mb_spare(struct mb *mb, const uint16_t spare[MB_VERSIONS_MAX])
{
	memcpy(mb->spare, spare, sizeof(mb->spare));
}

static bool
is_relay(const struct mb *mb)
{
	return (mb->self.roles >> MB_RELAY & 1) != 0;
}

/* Sends a wide item of this data centre to the others. */
void
mb_relay_forward(struct mb *mb, const struct mb_item *item)
{
	struct mb_msg msg;
	uint32_t i;

	if (!is_relay(mb))
		return;
	for (i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		if (mb->remotes[i].contact == 0)
			continue;
		memset(&msg, 0, sizeof(msg));
		msg.kind = MB_MSG_ITEMS;
		msg.items[0] = *item;
		msg.item_count = 1;
		mb_send(mb, mb->remotes[i].contact, &msg);
	}
}

/* The relay tells the other data centres that a life of a member ended. */
void
mb_relay_ended(struct mb *mb, int64_t now_us, const struct mb_record *record)
{
	struct mb_item item = {0};

	if (!is_relay(mb))
		return;
	item.kind = MB_ITEM_GONE;
	item.key = record->instance;
	item.len = sizeof(record->incarnation);
	memcpy(item.data, &record->incarnation, sizeof(record->incarnation));
	mb_publish(mb, now_us, &item, 0, true);
}

static void
add_spare(struct mb_summary *summary, const uint16_t spare[MB_VERSIONS_MAX])
{
	uint32_t i, sum;

	for (i = 0; i < MB_VERSIONS_MAX; i++) {
		sum = (uint32_t)summary->spare[i] + spare[i];
		summary->spare[i] =
		    sum < UINT16_MAX ? (uint16_t)sum : UINT16_MAX;
	}
}

static void
sum_up(struct mb *mb, int64_t now_us, struct mb_summary *summary)
{
	const struct mb_peer *peer;
	int64_t oldest_us;
	uint32_t i;

	oldest_us =
	    now_us - IDLE_MS * (int64_t)1000 - period_us(mb) * SPARE_PERIODS;
	summary->data_centre = mb->options.data_centre;
	summary->relay = mb->self.instance;
	summary->instances = 1;
	add_spare(summary, mb->spare);
	for (i = 0; i < mb->peer_count; i++) {
		peer = &mb->peers[i];
		if (!mb_up(&peer->record))
			continue;
		summary->instances++;
		if (peer->spare_us > oldest_us)
			add_spare(summary, peer->spare);
	}
}

static void
send_summaries(struct mb *mb, int64_t now_us)
{
	struct mb_summary summary = {0};
	struct mb_msg msg;
	uint32_t i;

	sum_up(mb, now_us, &summary);
	if (!due(mb, now_us, summary.instances, summary.spare,
		mb->self.instance))
		return;
	summary.number = ++mb->summary_number;
	for (i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		if (mb->remotes[i].contact == 0)
			continue;
		memset(&msg, 0, sizeof(msg));
		msg.kind = MB_MSG_SUMMARY;
		msg.summary = summary;
		mb_send(mb, mb->remotes[i].contact, &msg);
	}
}

static void
send_share(struct mb *mb, int64_t now_us)
{
	struct mb_msg msg = {0};
	uint32_t relay;

	relay = mb_role_holder(mb, MB_RELAY);
	if (relay == 0 || !due(mb, now_us, 0, mb->spare, relay))
		return;
	msg.kind = MB_MSG_SPARE;
	msg.summary.data_centre = mb->options.data_centre;
	memcpy(msg.summary.spare, mb->spare, sizeof(mb->spare));
	mb_send(mb, relay, &msg);
}

static void
check_silence(struct mb *mb, int64_t now_us)
{
	struct mb_action action = {0};
	struct mb_remote *remote;
	uint32_t i;

	for (i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		remote = &mb->remotes[i];
		if (remote->heard_us == 0 || remote->silent ||
		    now_us - remote->heard_us <
			mb->options.silent_ms * (int64_t)1000)
			continue;
		remote->silent = true;
		action.kind = MB_DC_SILENT;
		action.data_centre = (uint16_t)i;
		mb->options.emit(mb->options.ctx, &action);
	}
}

/* Sends the summaries, or the own share of them, when due. */
void
mb_relay_tick(struct mb *mb, int64_t now_us)
{
	check_silence(mb, now_us);
	if (now_us < mb->summary_us)
		return;
	mb->summary_us = now_us + period_us(mb);
	if (is_relay(mb))
		send_summaries(mb, now_us);
	else
		send_share(mb, now_us);
}

/* This instance was paused: the silence of the others was its own. */
void
mb_relay_paused(struct mb *mb, int64_t gap_us)
{
	uint32_t i;

	for (i = 0; i < MB_DATA_CENTRES_MAX; i++)
		if (mb->remotes[i].heard_us != 0)
			mb->remotes[i].heard_us += gap_us;
}

/* Takes a summary; false: it is not newer than the last one. */
static bool
take_summary(struct mb *mb, int64_t now_us, const struct mb_summary *summary)
{
	struct mb_action action = {0};
	struct mb_remote *remote;

	if (summary->data_centre == mb->options.data_centre ||
	    summary->data_centre >= MB_DATA_CENTRES_MAX)
		return false;
	remote = &mb->remotes[summary->data_centre];
	if (remote->relay == summary->relay &&
	    summary->number <= remote->number && !remote->silent &&
	    remote->number - summary->number < REORDER_MAX)
		return false;
	remote->relay = summary->relay;
	remote->number = summary->number;
	remote->contact = summary->relay;
	remote->heard_us = now_us;
	remote->silent = false;
	action.kind = MB_GOT_SUMMARY;
	action.summary = summary;
	mb->options.emit(mb->options.ctx, &action);
	return true;
}

/* Tells the own data centre about another one. */
static void
spread_summary(struct mb *mb, int64_t now_us, const struct mb_summary *summary)
{
	struct mb_item item = {0};
	uint8_t *at;
	size_t i;

	item.kind = MB_ITEM_SUMMARY;
	item.key = summary->data_centre;
	memcpy(item.data, &summary->number, sizeof(uint32_t));
	memcpy(item.data + 4, &summary->relay, sizeof(uint32_t));
	memcpy(item.data + 8, &summary->instances, sizeof(uint16_t));
	item.len = SUMMARY_HEAD_BYTES;
	for (i = 0; i < MB_VERSIONS_MAX; i++) {
		at = item.data + SUMMARY_HEAD_BYTES + 2 * i;
		memcpy(at, &summary->spare[i], sizeof(uint16_t));
		if (summary->spare[i] != 0)
			item.len = (uint8_t)(SUMMARY_HEAD_BYTES + 2 * i + 2);
	}
	mb_publish(mb, now_us, &item, 0, false);
}

/* Takes a summary that another instance of the data centre spread. */
void
mb_relay_item(struct mb *mb, int64_t now_us, const struct mb_item *item)
{
	struct mb_summary summary = {0};

	if (item->kind != MB_ITEM_SUMMARY || item->len < SUMMARY_HEAD_BYTES)
		return;
	summary.data_centre = (uint16_t)item->key;
	memcpy(&summary.number, item->data, sizeof(uint32_t));
	memcpy(&summary.relay, item->data + 4, sizeof(uint32_t));
	memcpy(&summary.instances, item->data + 8, sizeof(uint16_t));
	memcpy(summary.spare, item->data + SUMMARY_HEAD_BYTES,
	    item->len - SUMMARY_HEAD_BYTES);
	take_summary(mb, now_us, &summary);
}

/* Takes a member's share or another data centre's summary. */
void
mb_relay_message(
    struct mb *mb, int64_t now_us, uint32_t from, const struct mb_msg *msg)
{
	struct mb_peer *peer;

	if (msg->kind == MB_MSG_SPARE) {
		peer = mb_peer_find(mb, from);
		if (peer == NULL)
			return;
		memcpy(peer->spare, msg->summary.spare, sizeof(peer->spare));
		peer->spare_us = now_us;
	} else if (take_summary(mb, now_us, &msg->summary)) {
		spread_summary(mb, now_us, &msg->summary);
	}
}
