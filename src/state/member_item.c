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

static void take_summary_item(
    struct membership *membership, const struct member_item *item);

static struct mb_known_item *
find_item(struct membership *membership, const struct member_item *item)
{
	for (uint32_t i = 0; i < MB_ITEMS_KEPT; i++) {
		struct mb_known_item *k = &membership->items[i];

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
drop_older_summaries(
    struct membership *membership, const struct member_item *item)
{
	for (uint32_t i = 0; i < MB_ITEMS_KEPT; i++) {
		struct mb_known_item *k = &membership->items[i];

		if (k->item.kind == MEMBER_ITEM_SUMMARY &&
		    k->item.origin == item->origin &&
		    k->item.incarnation == item->incarnation &&
		    k->item.number < item->number &&
		    k->item.key >> 48 == item->key >> 48)
			k->tell = 0;
	}
}

static void
keep_item(struct membership *membership, const struct member_item *item)
{
	struct mb_known_item *slot =
	    &membership->items[membership->item_next++ % MB_ITEMS_KEPT];

	if (item->kind == MEMBER_ITEM_SUMMARY)
		drop_older_summaries(membership, item);
	slot->item = *item;
	slot->tell = mb_tell_count(membership);
}

/*
 * Sends what is news to a few members at once instead of with the next probes.
 * Whoever hears a crash mark for the first time does the same, so it reaches
 * the data centre in as many steps as the logarithm of its size.
 */
static void
push_news(struct membership *membership)
{
	uint32_t first = membership->count > 0
			     ? rng_below(&membership->rng, membership->count)
			     : 0;
	uint32_t told = 0;

	for (uint32_t i = 0; i < membership->count && told < PUSH_FANOUT; i++) {
		const struct mb_member *m =
		    &membership->members[(first + i) % membership->count];
		struct member_msg msg = {.kind = MB_MSG_PING};

		if (m->record.state != MEMBER_ALIVE)
			continue;
		mb_send(membership, m->record.instance, &msg);
		told++;
	}
}

/* Returns whom to send to in another data centre: its relay, or any. */
static uint32_t
reach_place(struct membership *membership, const struct mb_place *place)
{
	uint32_t chosen = place->relay;
	uint32_t seen = 0;

	if (chosen != 0 && !place->silent)
		return chosen;
	for (uint32_t i = 0; i < membership->place_seed_count; i++) {
		if (membership->place_seeds[i].data_centre !=
		    place->data_centre)
			continue;
		if (rng_below(&membership->rng, ++seen) == 0)
			chosen = membership->place_seeds[i].instance;
	}
	return chosen;
}

static void
send_wide(struct membership *membership, const struct member_item *item)
{
	struct member_msg msg = {.kind = MB_MSG_ITEMS, .item_count = 1};

	msg.items[0] = *item;
	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++) {
		if (membership->places[i].known)
			mb_send(membership,
			    reach_place(membership, &membership->places[i]),
			    &msg);
	}
}

/* The relay tells the other data centres that a life has ended. */
void
mb_tell_gone(struct membership *membership, const struct member_record *record)
{
	struct member_item item = {.kind = MEMBER_ITEM_GONE,
	    .key = record->instance,
	    .len = sizeof(record->incarnation)};

	if (!member_role_held(membership, MEMBER_RELAY, membership->now_us))
		return;
	memcpy(item.data, &record->incarnation, sizeof(record->incarnation));
	member_publish(membership, membership->now_us, &item, 0, true);
}

/*
 * Takes an item.  One that crossed from another data centre is spread in this
 * one and goes no further; one for this instance alone is not spread at all.
 */
void
mb_take_item(struct membership *membership, const struct member_item *item,
    const struct member_msg *msg)
{
	struct member_action action = {
	    .kind = MEMBER_ITEM_RECEIVED, .item = item};
	bool from_wide = msg->kind == MB_MSG_ITEMS;
	bool alone = from_wide && msg->target == membership->self.instance;

	if (item->origin == membership->self.instance ||
	    find_item(membership, item) != NULL)
		return;
	keep_item(membership, item);
	if (alone)
		find_item(membership, item)->tell = 0;
	if (item->kind == MEMBER_ITEM_SUMMARY) {
		take_summary_item(membership, item);
		return;
	}
	mb_emit(membership, &action);
	if (item->kind == MEMBER_ITEM_CRASH_MARK && !alone)
		push_news(membership);
	if (item->wide && !from_wide &&
	    member_role_held(membership, MEMBER_RELAY, membership->now_us))
		send_wide(membership, item);
}

/* What goes first on a message when there is not room for all. */
enum urgency {
	URGENT, /* others act wrongly without it */
	SUMMARY, /* comes again, but must not stay out for long */
	BULK
};

static enum urgency
urgency_of(const struct member_item *item)
{
	switch (item->kind) {
	case MEMBER_ITEM_CRASH_MARK:
	case MEMBER_ITEM_GONE:
		return URGENT;
	case MEMBER_ITEM_SUMMARY:
		return SUMMARY;
	default:
		return BULK;
	}
}

static void
add_items(struct membership *membership, struct member_msg *msg,
    enum urgency urgency, uint32_t max)
{
	for (uint32_t i = 0; i < MB_ITEMS_KEPT && msg->item_count < max; i++) {
		/* The newest first: an old one has been told often. */
		struct mb_known_item *k =
		    &membership->items[(membership->item_next + MB_ITEMS_KEPT -
					   1 - i) %
				       MB_ITEMS_KEPT];

		if (k->tell == 0 || urgency_of(&k->item) != urgency)
			continue;
		k->tell--;
		msg->items[msg->item_count++] = k->item;
	}
}

/* Adds the summaries told least, each once, as far as there is room. */
static void
add_summaries(
    struct membership *membership, struct member_msg *msg, uint32_t max)
{
	uint8_t told = mb_tell_count(membership);
	bool added[MB_ITEMS_KEPT] = {false};

	for (; told > 0 && msg->item_count < max; told--) {
		for (uint32_t i = 0; i < MB_ITEMS_KEPT && msg->item_count < max;
		     i++) {
			struct mb_known_item *k = &membership->items[i];

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
mb_add_items(struct membership *membership, struct member_msg *msg)
{
	add_items(membership, msg, URGENT, MB_ITEMS_BATCH);
	add_summaries(membership, msg, MB_ITEMS_BATCH / 2);
	add_items(membership, msg, BULK, MB_ITEMS_BATCH);
}

/*
 * Publishes a fact: to one instance, or to the data centre, and with wide also
 * to the others.  Returns 0 or ERR_TOO_LARGE.
 */
int
member_publish(struct membership *membership, int64_t now_us,
    const struct member_item *item, uint32_t to, bool wide)
{
	struct member_msg msg = {.kind = MB_MSG_ITEMS, .item_count = 1};
	struct member_item own = *item;

	if (item->len > MB_ITEM_BYTES)
		return ERR_TOO_LARGE;
	membership->now_us = now_us;
	own.origin = membership->self.instance;
	own.incarnation = membership->self.incarnation;
	own.number = ++membership->item_number;
	own.wide = wide;
	if (to != 0) {
		msg.items[0] = own;
		msg.target = to;
		mb_send(membership, to, &msg);
		return 0;
	}
	keep_item(membership, &own);
	if (own.kind == MEMBER_ITEM_CRASH_MARK)
		push_news(membership);
	if (wide && member_role_held(membership, MEMBER_RELAY, now_us))
		send_wide(membership, &own);
	return 0;
}

/* Notes this instance's own share of the spare slots. */
void
member_set_spare(
    struct membership *membership, const uint16_t spare[MEMBER_VERSIONS_MAX])
{
	memcpy(membership->own_spare, spare, sizeof(membership->own_spare));
}

static void
note_spare(struct membership *membership, uint32_t from,
    const struct member_summary *summary)
{
	uint32_t i = 0;

	while (i < membership->spare_count && membership->spare_from[i] != from)
		i++;
	if (i == MEMBER_COUNT_MAX)
		return;
	if (i == membership->spare_count)
		membership->spare_count++;
	membership->spare_from[i] = from;
	memcpy(membership->spare_of[i], summary->spare,
	    sizeof(membership->spare_of[i]));
}

static uint16_t
count_alive(const struct membership *membership)
{
	uint16_t alive = 1;

	for (uint32_t i = 0; i < membership->count; i++)
		alive += membership->members[i].record.state == MEMBER_ALIVE;
	return alive;
}

/*
 * The data centre's spare slots.  Every instance sees the same servers, so
 * the least that any of them sees is what is left.
 */
static void
add_up(struct membership *membership, struct member_summary *summary)
{
	memcpy(summary->spare, membership->own_spare, sizeof(summary->spare));
	for (uint32_t i = 0; i < membership->spare_count; i++) {
		if (!mb_alive(membership, membership->spare_from[i]))
			continue;
		for (int v = 0; v < MEMBER_VERSIONS_MAX; v++) {
			if (membership->spare_of[i][v] < summary->spare[v])
				summary->spare[v] = membership->spare_of[i][v];
		}
	}
}

static void
send_summary(struct membership *membership)
{
	struct member_msg msg = {.kind = MB_MSG_SUMMARY};

	msg.summary.data_centre = membership->options.data_centre;
	msg.summary.number = ++membership->summary_number;
	msg.summary.instances = count_alive(membership);
	msg.summary.relay = membership->self.instance;
	add_up(membership, &msg.summary);
	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++) {
		if (membership->places[i].known)
			mb_send(membership,
			    reach_place(membership, &membership->places[i]),
			    &msg);
	}
}

static void
send_spare(struct membership *membership)
{
	struct member_msg msg = {.kind = MB_MSG_SPARE};
	uint32_t relay = member_role_holder(membership, MEMBER_RELAY);

	if (relay == 0)
		return;
	memcpy(msg.summary.spare, membership->own_spare,
	    sizeof(msg.summary.spare));
	mb_send(membership, relay, &msg);
}

static void
find_silent(struct membership *membership)
{
	int64_t limit_us = mb_ms(membership->options.silent_ms, SILENT_MS);

	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++) {
		struct mb_place *p = &membership->places[i];
		struct member_action action = {
		    .kind = MEMBER_DATA_CENTRE_SILENT,
		    .data_centre = p->data_centre};

		if (!p->known || p->silent ||
		    membership->now_us - p->heard_us <= limit_us)
			continue;
		p->silent = true;
		mb_emit(membership, &action);
	}
}

/* Sends what is due, and notices data centres that fell silent. */
void
mb_summary_tick(struct membership *membership)
{
	int64_t period_us;

	find_silent(membership);
	if (membership->now_us < membership->summary_due_us)
		return;
	/* The relay hears every member: many members, seldom each. */
	period_us = membership->count * (int64_t)MEMBER_US;
	if (period_us < mb_ms(membership->options.summary_ms, SUMMARY_MS))
		period_us = mb_ms(membership->options.summary_ms, SUMMARY_MS);
	membership->summary_due_us = membership->now_us + period_us;
	if (member_role_held(membership, MEMBER_RELAY, membership->now_us))
		send_summary(membership);
	else
		send_spare(membership);
}

/* Whether a summary is the first of its relay here. */
static bool
is_first_of_relay(
    const struct membership *membership, const struct member_summary *summary)
{
	const struct mb_place *place =
	    &membership->places[summary->data_centre % MEMBER_DATA_CENTRES_MAX];

	return place->relay != summary->relay;
}

/* Takes a data centre's summary; false for one that is no news. */
static bool
take_summary(
    struct membership *membership, const struct member_summary *summary)
{
	struct mb_place *place =
	    &membership->places[summary->data_centre % MEMBER_DATA_CENTRES_MAX];
	struct member_action action = {.kind = MEMBER_SUMMARY_RECEIVED,
	    .summary = summary,
	    .data_centre = summary->data_centre};

	if (!place->known ||
	    summary->data_centre == membership->options.data_centre)
		return false;
	/* A new relay counts from one again. */
	if (place->relay == summary->relay && summary->number <= place->number)
		return false;
	place->relay = summary->relay;
	place->number = summary->number;
	place->heard_us = membership->now_us;
	place->silent = false;
	mb_emit(membership, &action);
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
spread_summary(
    struct membership *membership, const struct member_summary *summary)
{
	struct member_item item = {.kind = MEMBER_ITEM_SUMMARY,
	    .key = (uint64_t)summary->data_centre << 48 |
		   (uint64_t)summary->relay << 16 | summary->instances};

	for (int v = 0; v < MEMBER_VERSIONS_MAX; v++) {
		item.data[v] =
		    (uint8_t)(summary->spare[v] < SPARE_MAX ? summary->spare[v]
							    : SPARE_MAX);
		if (item.data[v] != 0)
			item.len = (uint8_t)(v + 1);
	}
	member_publish(membership, membership->now_us, &item, 0, false);
}

/* Takes a summary that came as an item. */
static void
take_summary_item(struct membership *membership, const struct member_item *item)
{
	struct member_summary summary = {
	    .data_centre = (uint16_t)(item->key >> 48),
	    .relay = (uint32_t)(item->key >> 16),
	    .instances = (uint16_t)item->key};
	struct mb_place *place =
	    &membership->places[summary.data_centre % MEMBER_DATA_CENTRES_MAX];
	bool first;

	for (int v = 0; v < item->len; v++)
		summary.spare[v] = item->data[v];
	summary.number = place->relay == summary.relay ? place->number + 1 : 1;
	first = is_first_of_relay(membership, &summary);
	if (take_summary(membership, &summary) && first)
		push_news(membership);
}

/* Takes a share of the spare slots, or a data centre's summary. */
void
mb_summary_message(
    struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	bool first;

	if (msg->kind == MB_MSG_SPARE) {
		note_spare(membership, from, &msg->summary);
		return;
	}
	first = is_first_of_relay(membership, &msg->summary);
	if (!take_summary(membership, &msg->summary))
		return;
	spread_summary(membership, &msg->summary);
	if (first)
		push_news(membership);
}
