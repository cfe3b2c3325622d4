#include "state/member_i.h"

#include <string.h>

/*
 * Items and summaries.  An item spreads in its data centre on probes and their
 * answers; when the relay receives a new wide item, it sends it to the relays
 * of the other data centres.
 */

enum {
	SUMMARY_MS = 2000,
	MEMBER_US = 100000, /* summary period per member */
	SILENT_MS = 30000,
	PUSH_FANOUT = 4, /* members that get a crash mark at once */
	SPARE_MAX = 255
};

static void receive_summary_item(struct mb *mb, const struct mb_item *item);

static struct member_known_item *
find_item(struct mb *mb, const struct mb_item *item)
{
	for (uint32_t i = 0; i < MEMBER_ITEMS_KEPT; i++) {
		struct member_known_item *k = &mb->items[i];

		if (k->item.kind == item->kind &&
		    k->item.origin == item->origin &&
		    k->item.incarnation == item->incarnation &&
		    k->item.number == item->number)
			return k;
	}
	return NULL;
}

/* Stops sending a data centre's summaries that a newer one replaces. */
static void
drop_older_summaries(struct mb *mb, const struct mb_item *item)
{
	for (uint32_t i = 0; i < MEMBER_ITEMS_KEPT; i++) {
		struct member_known_item *k = &mb->items[i];

		if (k->item.kind == MB_ITEM_SUMMARY &&
		    k->item.origin == item->origin &&
		    k->item.incarnation == item->incarnation &&
		    k->item.number < item->number &&
		    k->item.key >> 48 == item->key >> 48)
			k->transmits_left = 0;
	}
}

static void
store_item(struct mb *mb, const struct mb_item *item)
{
	struct member_known_item *slot =
	    &mb->items[mb->item_next++ % MEMBER_ITEMS_KEPT];

	if (item->kind == MB_ITEM_SUMMARY)
		drop_older_summaries(mb, item);
	slot->item = *item;
	slot->transmits_left = member_transmit_limit(mb);
}

/*
 * Sends new items to a few members at once instead of with the next probes.
 * Each receiver of a new crash mark does the same, so the number of steps until
 * all of the data centre have it is logarithmic in its size.
 */
static void
push_items(struct mb *mb)
{
	uint32_t first = mb->count > 0 ? rng_below(&mb->rng, mb->count) : 0;
	uint32_t told = 0;

	for (uint32_t i = 0; i < mb->count && told < PUSH_FANOUT; i++) {
		const struct member_entry *m =
		    &mb->members[(first + i) % mb->count];
		struct mb_msg msg = {.kind = MEMBER_MSG_PING};

		if (m->record.state != MB_ALIVE)
			continue;
		member_send(mb, m->record.instance, &msg);
		told++;
	}
}

/* Returns the relay of another data centre, or a random seed if unknown. */
static uint32_t
contact_of(struct mb *mb, const struct member_data_centre *dc)
{
	uint32_t chosen = dc->relay;
	uint32_t seen = 0;

	if (chosen != 0 && !dc->silent)
		return chosen;
	for (uint32_t i = 0; i < mb->data_centre_seed_count; i++) {
		if (mb->data_centre_seeds[i].data_centre != dc->data_centre)
			continue;
		if (rng_below(&mb->rng, ++seen) == 0)
			chosen = mb->data_centre_seeds[i].instance;
	}
	return chosen;
}

static void
send_wide(struct mb *mb, const struct mb_item *item)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_ITEMS, .item_count = 1};

	msg.items[0] = *item;
	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		if (mb->data_centres[i].known)
			member_send(
			    mb, contact_of(mb, &mb->data_centres[i]), &msg);
	}
}

/* As the relay, tells the other data centres that a life has ended. */
void
member_publish_gone(struct mb *mb, const struct mb_record *record)
{
	struct mb_item item = {.kind = MB_ITEM_GONE,
	    .key = record->instance,
	    .len = sizeof(record->incarnation)};

	if (!mb_role_held(mb, MB_RELAY, mb->now_us))
		return;
	memcpy(item.data, &record->incarnation, sizeof(record->incarnation));
	mb_publish(mb, mb->now_us, &item, 0, true);
}

/*
 * Handles a received item.  One from another data centre is spread in this one
 * but not sent to others; one for this instance alone is not spread at all.
 */
void
member_receive_item(
    struct mb *mb, const struct mb_item *item, const struct mb_msg *msg)
{
	struct mb_action action = {.kind = MB_GOT_ITEM, .item = item};
	bool from_wide = msg->kind == MEMBER_MSG_ITEMS;
	bool is_for_self = from_wide && msg->target == mb->self.instance;

	if (item->origin == mb->self.instance || find_item(mb, item) != NULL)
		return;
	store_item(mb, item);
	if (is_for_self)
		find_item(mb, item)->transmits_left = 0;
	if (item->kind == MB_ITEM_SUMMARY) {
		receive_summary_item(mb, item);
		return;
	}
	member_emit(mb, &action);
	if (item->kind == MB_ITEM_CRASH_MARK && !is_for_self)
		push_items(mb);
	if (item->wide && !from_wide && mb_role_held(mb, MB_RELAY, mb->now_us))
		send_wide(mb, item);
}

/* Priority of items when a message cannot carry all of them. */
enum urgency {
	URGENT, /* others would act wrongly without it */
	SUMMARY, /* sent periodically, but must not be delayed for long */
	BULK
};

static enum urgency
urgency_of(const struct mb_item *item)
{
	switch (item->kind) {
	case MB_ITEM_CRASH_MARK:
	case MB_ITEM_GONE:
		return URGENT;
	case MB_ITEM_SUMMARY:
		return SUMMARY;
	default:
		return BULK;
	}
}

static void
add_items(struct mb *mb, struct mb_msg *msg, enum urgency urgency, uint32_t max)
{
	for (uint32_t i = 0; i < MEMBER_ITEMS_KEPT && msg->item_count < max;
	     i++) {
		/* Newest first: an old one has been sent often. */
		struct member_known_item *k =
		    &mb->items[(mb->item_next + MEMBER_ITEMS_KEPT - 1 - i) %
			       MEMBER_ITEMS_KEPT];

		if (k->transmits_left == 0 || urgency_of(&k->item) != urgency)
			continue;
		k->transmits_left--;
		msg->items[msg->item_count++] = k->item;
	}
}

/* Adds the least sent summaries, each once, up to max items. */
static void
add_summaries(struct mb *mb, struct mb_msg *msg, uint32_t max)
{
	uint8_t told = member_transmit_limit(mb);
	bool added[MEMBER_ITEMS_KEPT] = {false};

	for (; told > 0 && msg->item_count < max; told--) {
		for (uint32_t i = 0;
		     i < MEMBER_ITEMS_KEPT && msg->item_count < max; i++) {
			struct member_known_item *k = &mb->items[i];

			if (k->transmits_left != told || added[i] ||
			    urgency_of(&k->item) != SUMMARY)
				continue;
			added[i] = true;
			k->transmits_left--;
			msg->items[msg->item_count++] = k->item;
		}
	}
}

/*
 * Adds items to a message by priority.  Summaries may fill up to half of the
 * message, so that neither they nor a flood of ratings delay the other.
 */
void
member_add_items(struct mb *mb, struct mb_msg *msg)
{
	add_items(mb, msg, URGENT, MEMBER_ITEMS_BATCH);
	add_summaries(mb, msg, MEMBER_ITEMS_BATCH / 2);
	add_items(mb, msg, BULK, MEMBER_ITEMS_BATCH);
}

/*
 * Publishes an item to one instance (to) or to the data centre (to 0), with
 * wide also to the other data centres.  Returns 0 or ERR_TOO_LARGE.
 */
int
mb_publish(struct mb *mb, int64_t now_us, const struct mb_item *item,
    uint32_t to, bool wide)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_ITEMS, .item_count = 1};
	struct mb_item own = *item;

	if (item->len > MEMBER_ITEM_BYTES)
		return ERR_TOO_LARGE;
	mb->now_us = now_us;
	own.origin = mb->self.instance;
	own.incarnation = mb->self.incarnation;
	own.number = ++mb->item_number;
	own.wide = wide;
	if (to != 0) {
		msg.items[0] = own;
		msg.target = to;
		member_send(mb, to, &msg);
		return 0;
	}
	store_item(mb, &own);
	if (own.kind == MB_ITEM_CRASH_MARK)
		push_items(mb);
	if (wide && mb_role_held(mb, MB_RELAY, now_us))
		send_wide(mb, &own);
	return 0;
}

/* Sets the spare slots that this instance sees. */
void
mb_spare(struct mb *mb, const uint16_t spare[MB_VERSIONS_MAX])
{
	memcpy(mb->own_spare, spare, sizeof(mb->own_spare));
}

static void
record_spare(struct mb *mb, uint32_t from, const struct mb_summary *summary)
{
	uint32_t i = 0;

	while (i < mb->spare_count && mb->spare_from[i] != from)
		i++;
	if (i == MB_MEMBERS_MAX)
		return;
	if (i == mb->spare_count)
		mb->spare_count++;
	mb->spare_from[i] = from;
	memcpy(mb->spare_of[i], summary->spare, sizeof(mb->spare_of[i]));
}

static uint16_t
count_alive(const struct mb *mb)
{
	uint16_t alive = 1;

	for (uint32_t i = 0; i < mb->count; i++)
		alive += mb->members[i].record.state == MB_ALIVE;
	return alive;
}

/*
 * Computes the data centre's spare slots.  All instances see the same servers,
 * so it is the minimum over the instances, per version.
 */
static void
compute_spare(struct mb *mb, struct mb_summary *summary)
{
	memcpy(summary->spare, mb->own_spare, sizeof(summary->spare));
	for (uint32_t i = 0; i < mb->spare_count; i++) {
		if (!member_is_alive(mb, mb->spare_from[i]))
			continue;
		for (int v = 0; v < MB_VERSIONS_MAX; v++) {
			if (mb->spare_of[i][v] < summary->spare[v])
				summary->spare[v] = mb->spare_of[i][v];
		}
	}
}

static void
send_summary(struct mb *mb)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_SUMMARY};

	msg.summary.data_centre = mb->options.data_centre;
	msg.summary.number = ++mb->summary_number;
	msg.summary.instances = count_alive(mb);
	msg.summary.relay = mb->self.instance;
	compute_spare(mb, &msg.summary);
	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		if (mb->data_centres[i].known)
			member_send(
			    mb, contact_of(mb, &mb->data_centres[i]), &msg);
	}
}

static void
send_spare(struct mb *mb)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_SPARE};
	uint32_t relay = mb_role_holder(mb, MB_RELAY);

	if (relay == 0)
		return;
	memcpy(msg.summary.spare, mb->own_spare, sizeof(msg.summary.spare));
	member_send(mb, relay, &msg);
}

static void
report_silent(struct mb *mb)
{
	int64_t limit_us = member_option_us(mb->options.silent_ms, SILENT_MS);

	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		struct member_data_centre *p = &mb->data_centres[i];
		struct mb_action action = {
		    .kind = MB_DC_SILENT, .data_centre = p->data_centre};

		if (!p->known || p->silent ||
		    mb->now_us - p->heard_us <= limit_us)
			continue;
		p->silent = true;
		member_emit(mb, &action);
	}
}

/* Sends the summary when due and detects silent data centres. */
void
member_summary_tick(struct mb *mb)
{
	int64_t period_us;

	report_silent(mb);
	if (mb->now_us < mb->summary_due_us)
		return;
	/*
	 * Every member sends to the relay, so the period grows with their
	 * number.
	 */
	period_us = mb->count * (int64_t)MEMBER_US;
	if (period_us < member_option_us(mb->options.summary_ms, SUMMARY_MS))
		period_us =
		    member_option_us(mb->options.summary_ms, SUMMARY_MS);
	mb->summary_due_us = mb->now_us + period_us;
	if (mb_role_held(mb, MB_RELAY, mb->now_us))
		send_summary(mb);
	else
		send_spare(mb);
}

/* Returns whether a summary is the first from its relay. */
static bool
is_first_of_relay(const struct mb *mb, const struct mb_summary *summary)
{
	const struct member_data_centre *dc =
	    &mb->data_centres[summary->data_centre % MB_DATA_CENTRES_MAX];

	return dc->relay != summary->relay;
}

/* Records a data centre's summary; returns false if it is not newer. */
static bool
record_summary(struct mb *mb, const struct mb_summary *summary)
{
	struct member_data_centre *dc =
	    &mb->data_centres[summary->data_centre % MB_DATA_CENTRES_MAX];
	struct mb_action action = {.kind = MB_GOT_SUMMARY,
	    .summary = summary,
	    .data_centre = summary->data_centre};

	if (!dc->known || summary->data_centre == mb->options.data_centre)
		return false;
	/* A new relay starts numbering from one. */
	if (dc->relay == summary->relay && summary->number <= dc->number)
		return false;
	dc->relay = summary->relay;
	dc->number = summary->number;
	dc->heard_us = mb->now_us;
	dc->silent = false;
	member_emit(mb, &action);
	return true;
}

/*
 * Spreads a summary from another relay as an item: if the relay sent it to
 * every member, its cost would grow with their number.  An item has one byte
 * per version; spare slots beyond 255 make no difference.  The caller pushes
 * the first summary of a relay without waiting for probes, because without one
 * no work can be sent to that data centre.
 */
static void
spread_summary(struct mb *mb, const struct mb_summary *summary)
{
	struct mb_item item = {.kind = MB_ITEM_SUMMARY,
	    .key = (uint64_t)summary->data_centre << 48 |
		   (uint64_t)summary->relay << 16 | summary->instances};

	for (int v = 0; v < MB_VERSIONS_MAX; v++) {
		item.data[v] =
		    (uint8_t)(summary->spare[v] < SPARE_MAX ? summary->spare[v]
							    : SPARE_MAX);
		if (item.data[v] != 0)
			item.len = (uint8_t)(v + 1);
	}
	mb_publish(mb, mb->now_us, &item, 0, false);
}

/* Handles a summary that arrived as an item. */
static void
receive_summary_item(struct mb *mb, const struct mb_item *item)
{
	struct mb_summary summary = {.data_centre = (uint16_t)(item->key >> 48),
	    .relay = (uint32_t)(item->key >> 16),
	    .instances = (uint16_t)item->key};
	struct member_data_centre *dc =
	    &mb->data_centres[summary.data_centre % MB_DATA_CENTRES_MAX];
	bool first;

	for (int v = 0; v < item->len; v++)
		summary.spare[v] = item->data[v];
	summary.number = dc->relay == summary.relay ? dc->number + 1 : 1;
	first = is_first_of_relay(mb, &summary);
	if (record_summary(mb, &summary) && first)
		push_items(mb);
}

/* Handles a member's spare slots or another data centre's summary. */
void
member_summary_receive(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	bool first;

	if (msg->kind == MEMBER_MSG_SPARE) {
		record_spare(mb, from, &msg->summary);
		return;
	}
	first = is_first_of_relay(mb, &msg->summary);
	if (!record_summary(mb, &msg->summary))
		return;
	spread_summary(mb, &msg->summary);
	if (first)
		push_items(mb);
}
