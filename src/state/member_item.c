#include "state/member_i.h"

#include <string.h>

/*
 * Items and summaries.  An item spreads in its data centre on probes and their
 * answers; the relay that hears a wide one for the first time hands it to the
 * relays of the other data centres.
 */

enum {
	SUMMARY_MS = 2000,
	MEMBER_US = 100000, /* of a summary's period, for each member */
	SILENT_MS = 30000,
	PUSH_FANOUT = 4, /* members told of a crash mark at once */
	SPARE_MAX = 255
};

static void take_summary_item(struct mb *mb, const struct mb_item *item);

static struct mb_known_item *
find_item(struct mb *mb, const struct mb_item *item)
{
	for (uint32_t i = 0; i < MB_ITEMS_KEPT; i++) {
		struct mb_known_item *k = &mb->items[i];

		if (k->item.kind == item->kind &&
		    k->item.origin == item->origin &&
		    k->item.incarnation == item->incarnation &&
		    k->item.number == item->number)
			return k;
	}
	return NULL;
}

/* A data centre's newer summary takes the place of those before it. */
static void
drop_older_summaries(struct mb *mb, const struct mb_item *item)
{
	for (uint32_t i = 0; i < MB_ITEMS_KEPT; i++) {
		struct mb_known_item *k = &mb->items[i];

		if (k->item.kind == MB_ITEM_SUMMARY &&
		    k->item.origin == item->origin &&
		    k->item.incarnation == item->incarnation &&
		    k->item.number < item->number &&
		    k->item.key >> 48 == item->key >> 48)
			k->tell = 0;
	}
}

static void
keep_item(struct mb *mb, const struct mb_item *item)
{
	struct mb_known_item *slot =
	    &mb->items[mb->item_next++ % MB_ITEMS_KEPT];

	if (item->kind == MB_ITEM_SUMMARY)
		drop_older_summaries(mb, item);
	slot->item = *item;
	slot->tell = mb_tell_count(mb);
}

/*
 * Sends what is news to a few members at once instead of with the next probes.
 * Whoever hears a crash mark for the first time does the same, so it reaches
 * the data centre in as many steps as the logarithm of its size.
 */
static void
push_news(struct mb *mb)
{
	uint32_t first = mb->count > 0 ? rng_below(&mb->rng, mb->count) : 0;
	uint32_t told = 0;

	for (uint32_t i = 0; i < mb->count && told < PUSH_FANOUT; i++) {
		const struct mb_member *m =
		    &mb->members[(first + i) % mb->count];
		struct mb_msg msg = {.kind = MB_MSG_PING};

		if (m->record.state != MB_ALIVE)
			continue;
		mb_send(mb, m->record.instance, &msg);
		told++;
	}
}

/* Returns whom to send to in another data centre: its relay, or any. */
static uint32_t
reach_place(struct mb *mb, const struct mb_place *place)
{
	uint32_t chosen = place->relay;
	uint32_t seen = 0;

	if (chosen != 0 && !place->silent)
		return chosen;
	for (uint32_t i = 0; i < mb->place_seed_count; i++) {
		if (mb->place_seeds[i].data_centre != place->data_centre)
			continue;
		if (rng_below(&mb->rng, ++seen) == 0)
			chosen = mb->place_seeds[i].instance;
	}
	return chosen;
}

static void
send_wide(struct mb *mb, const struct mb_item *item)
{
	struct mb_msg msg = {.kind = MB_MSG_ITEMS, .item_count = 1};

	msg.items[0] = *item;
	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		if (mb->places[i].known)
			mb_send(mb, reach_place(mb, &mb->places[i]), &msg);
	}
}

/* The relay tells the other data centres that a life has ended. */
void
mb_tell_gone(struct mb *mb, const struct mb_record *record)
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
 * Takes an item.  One that crossed from another data centre is spread in this
 * one and goes no further; one for this instance alone is not spread at all.
 */
void
mb_take_item(
    struct mb *mb, const struct mb_item *item, const struct mb_msg *msg)
{
	struct mb_action action = {.kind = MB_GOT_ITEM, .item = item};
	bool from_wide = msg->kind == MB_MSG_ITEMS;
	bool alone = from_wide && msg->target == mb->self.instance;

	if (item->origin == mb->self.instance || find_item(mb, item) != NULL)
		return;
	keep_item(mb, item);
	if (alone)
		find_item(mb, item)->tell = 0;
	if (item->kind == MB_ITEM_SUMMARY) {
		take_summary_item(mb, item);
		return;
	}
	mb_emit(mb, &action);
	if (item->kind == MB_ITEM_CRASH_MARK && !alone)
		push_news(mb);
	if (item->wide && !from_wide && mb_role_held(mb, MB_RELAY, mb->now_us))
		send_wide(mb, item);
}

/* What goes first on a message when there is not room for all. */
enum urgency {
	URGENT, /* others act wrongly without it */
	SUMMARY, /* comes again, but must not stay out for long */
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
	for (uint32_t i = 0; i < MB_ITEMS_KEPT && msg->item_count < max; i++) {
		/* The newest first: an old one has been told often. */
		struct mb_known_item *k =
		    &mb->items[(mb->item_next + MB_ITEMS_KEPT - 1 - i) %
			       MB_ITEMS_KEPT];

		if (k->tell == 0 || urgency_of(&k->item) != urgency)
			continue;
		k->tell--;
		msg->items[msg->item_count++] = k->item;
	}
}

/* Adds the summaries told least, each once, as far as there is room. */
static void
add_summaries(struct mb *mb, struct mb_msg *msg, uint32_t max)
{
	uint8_t told = mb_tell_count(mb);
	bool added[MB_ITEMS_KEPT] = {false};

	for (; told > 0 && msg->item_count < max; told--) {
		for (uint32_t i = 0; i < MB_ITEMS_KEPT && msg->item_count < max;
		     i++) {
			struct mb_known_item *k = &mb->items[i];

			if (k->tell != told || added[i] ||
			    urgency_of(&k->item) != SUMMARY)
				continue;
			added[i] = true;
			k->tell--;
			msg->items[msg->item_count++] = k->item;
		}
	}
}

/*
 * Puts items that are news on a message.  Summaries get half of the room,
 * so that they and a flood of ratings do not keep each other back.
 */
void
mb_add_items(struct mb *mb, struct mb_msg *msg)
{
	add_items(mb, msg, URGENT, MB_ITEMS_BATCH);
	add_summaries(mb, msg, MB_ITEMS_BATCH / 2);
	add_items(mb, msg, BULK, MB_ITEMS_BATCH);
}

/*
 * Publishes a fact: to one instance, or to the data centre, and with wide also
 * to the others.  Returns 0 or ERR_TOO_LARGE.
 */
int
mb_publish(struct mb *mb, int64_t now_us, const struct mb_item *item,
    uint32_t to, bool wide)
{
	struct mb_msg msg = {.kind = MB_MSG_ITEMS, .item_count = 1};
	struct mb_item own = *item;

	if (item->len > MB_ITEM_BYTES)
		return ERR_TOO_LARGE;
	mb->now_us = now_us;
	own.origin = mb->self.instance;
	own.incarnation = mb->self.incarnation;
	own.number = ++mb->item_number;
	own.wide = wide;
	if (to != 0) {
		msg.items[0] = own;
		msg.target = to;
		mb_send(mb, to, &msg);
		return 0;
	}
	keep_item(mb, &own);
	if (own.kind == MB_ITEM_CRASH_MARK)
		push_news(mb);
	if (wide && mb_role_held(mb, MB_RELAY, now_us))
		send_wide(mb, &own);
	return 0;
}

/* Notes this instance's own share of the spare slots. */
void
mb_spare(struct mb *mb, const uint16_t spare[MB_VERSIONS_MAX])
{
	memcpy(mb->own_spare, spare, sizeof(mb->own_spare));
}

static void
note_spare(struct mb *mb, uint32_t from, const struct mb_summary *summary)
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
 * The data centre's spare slots.  Every instance sees the same servers, so
 * the least that any of them sees is what is left.
 */
static void
add_up(struct mb *mb, struct mb_summary *summary)
{
	memcpy(summary->spare, mb->own_spare, sizeof(summary->spare));
	for (uint32_t i = 0; i < mb->spare_count; i++) {
		if (!mb_alive(mb, mb->spare_from[i]))
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
	struct mb_msg msg = {.kind = MB_MSG_SUMMARY};

	msg.summary.data_centre = mb->options.data_centre;
	msg.summary.number = ++mb->summary_number;
	msg.summary.instances = count_alive(mb);
	msg.summary.relay = mb->self.instance;
	add_up(mb, &msg.summary);
	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		if (mb->places[i].known)
			mb_send(mb, reach_place(mb, &mb->places[i]), &msg);
	}
}

static void
send_spare(struct mb *mb)
{
	struct mb_msg msg = {.kind = MB_MSG_SPARE};
	uint32_t relay = mb_role_holder(mb, MB_RELAY);

	if (relay == 0)
		return;
	memcpy(msg.summary.spare, mb->own_spare, sizeof(msg.summary.spare));
	mb_send(mb, relay, &msg);
}

static void
find_silent(struct mb *mb)
{
	int64_t limit_us = mb_ms(mb->options.silent_ms, SILENT_MS);

	for (uint32_t i = 0; i < MB_DATA_CENTRES_MAX; i++) {
		struct mb_place *p = &mb->places[i];
		struct mb_action action = {
		    .kind = MB_DC_SILENT, .data_centre = p->data_centre};

		if (!p->known || p->silent ||
		    mb->now_us - p->heard_us <= limit_us)
			continue;
		p->silent = true;
		mb_emit(mb, &action);
	}
}

/* Sends what is due, and notices data centres that fell silent. */
void
mb_summary_tick(struct mb *mb)
{
	int64_t period_us;

	find_silent(mb);
	if (mb->now_us < mb->summary_due_us)
		return;
	/* The relay hears every member: many members, seldom each. */
	period_us = mb->count * (int64_t)MEMBER_US;
	if (period_us < mb_ms(mb->options.summary_ms, SUMMARY_MS))
		period_us = mb_ms(mb->options.summary_ms, SUMMARY_MS);
	mb->summary_due_us = mb->now_us + period_us;
	if (mb_role_held(mb, MB_RELAY, mb->now_us))
		send_summary(mb);
	else
		send_spare(mb);
}

/* Whether a summary is the first of its relay here. */
static bool
is_first_of_relay(const struct mb *mb, const struct mb_summary *summary)
{
	const struct mb_place *place =
	    &mb->places[summary->data_centre % MB_DATA_CENTRES_MAX];

	return place->relay != summary->relay;
}

/* Takes a data centre's summary; false for one that is no news. */
static bool
take_summary(struct mb *mb, const struct mb_summary *summary)
{
	struct mb_place *place =
	    &mb->places[summary->data_centre % MB_DATA_CENTRES_MAX];
	struct mb_action action = {.kind = MB_GOT_SUMMARY,
	    .summary = summary,
	    .data_centre = summary->data_centre};

	if (!place->known || summary->data_centre == mb->options.data_centre)
		return false;
	/* A new relay counts from one again. */
	if (place->relay == summary->relay && summary->number <= place->number)
		return false;
	place->relay = summary->relay;
	place->number = summary->number;
	place->heard_us = mb->now_us;
	place->silent = false;
	mb_emit(mb, &action);
	return true;
}

/*
 * A summary from another relay spreads here as an item does: to hand it to
 * every member would cost the relay more, the more members there are.  An item
 * has a byte a version; more spare slots than that make no difference.  The
 * first one of a relay does not wait for probes: without any, no work can be
 * handed to that data centre.
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

/* Takes a summary that came as an item. */
static void
take_summary_item(struct mb *mb, const struct mb_item *item)
{
	struct mb_summary summary = {.data_centre = (uint16_t)(item->key >> 48),
	    .relay = (uint32_t)(item->key >> 16),
	    .instances = (uint16_t)item->key};
	struct mb_place *place =
	    &mb->places[summary.data_centre % MB_DATA_CENTRES_MAX];
	bool first;

	for (int v = 0; v < item->len; v++)
		summary.spare[v] = item->data[v];
	summary.number = place->relay == summary.relay ? place->number + 1 : 1;
	first = is_first_of_relay(mb, &summary);
	if (take_summary(mb, &summary) && first)
		push_news(mb);
}

/* Takes a share of the spare slots, or a data centre's summary. */
void
mb_summary_message(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	bool first;

	if (msg->kind == MB_MSG_SPARE) {
		note_spare(mb, from, &msg->summary);
		return;
	}
	first = is_first_of_relay(mb, &msg->summary);
	if (!take_summary(mb, &msg->summary))
		return;
	spread_summary(mb, &msg->summary);
	if (first)
		push_news(mb);
}
