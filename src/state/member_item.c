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

static void receive_summary_item(
    struct membership *membership, const struct member_item *item);

static struct member_known_item *
find_item(struct membership *membership, const struct member_item *item)
{
	for (uint32_t i = 0; i < MEMBER_ITEMS_KEPT; i++) {
		struct member_known_item *k = &membership->items[i];

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
drop_older_summaries(
    struct membership *membership, const struct member_item *item)
{
	for (uint32_t i = 0; i < MEMBER_ITEMS_KEPT; i++) {
		struct member_known_item *k = &membership->items[i];

		if (k->item.kind == MEMBER_ITEM_SUMMARY &&
		    k->item.origin == item->origin &&
		    k->item.incarnation == item->incarnation &&
		    k->item.number < item->number &&
		    k->item.key >> 48 == item->key >> 48)
			k->transmits_left = 0;
	}
}

static void
store_item(struct membership *membership, const struct member_item *item)
{
	struct member_known_item *slot =
	    &membership->items[membership->item_next++ % MEMBER_ITEMS_KEPT];

	if (item->kind == MEMBER_ITEM_SUMMARY)
		drop_older_summaries(membership, item);
	slot->item = *item;
	slot->transmits_left = member_transmit_limit(membership);
}

/*
 * Sends new items to a few members at once instead of with the next probes.
 * Each receiver of a new crash mark does the same, so the number of steps until
 * all of the data centre have it is logarithmic in its size.
 */
static void
push_items(struct membership *membership)
{
	uint32_t first = membership->count > 0
			     ? rng_below(&membership->rng, membership->count)
			     : 0;
	uint32_t told = 0;

	for (uint32_t i = 0; i < membership->count && told < PUSH_FANOUT; i++) {
		const struct member_entry *m =
		    &membership->members[(first + i) % membership->count];
		struct member_msg msg = {.kind = MEMBER_MSG_PING};

		if (m->record.state != MEMBER_ALIVE)
			continue;
		member_send(membership, m->record.instance, &msg);
		told++;
	}
}

/* Returns the relay of another data centre, or a random seed if unknown. */
static uint32_t
contact_of(struct membership *membership, const struct member_data_centre *dc)
{
	uint32_t chosen = dc->relay;
	uint32_t seen = 0;

	if (chosen != 0 && !dc->silent)
		return chosen;
	for (uint32_t i = 0; i < membership->data_centre_seed_count; i++) {
		if (membership->data_centre_seeds[i].data_centre !=
		    dc->data_centre)
			continue;
		if (rng_below(&membership->rng, ++seen) == 0)
			chosen = membership->data_centre_seeds[i].instance;
	}
	return chosen;
}

static void
send_wide(struct membership *membership, const struct member_item *item)
{
	struct member_msg msg = {.kind = MEMBER_MSG_ITEMS, .item_count = 1};

	msg.items[0] = *item;
	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++) {
		if (membership->data_centres[i].known)
			member_send(membership,
			    contact_of(
				membership, &membership->data_centres[i]),
			    &msg);
	}
}

/* As the relay, tells the other data centres that a life has ended. */
void
member_publish_gone(
    struct membership *membership, const struct member_record *record)
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
 * Handles a received item.  One from another data centre is spread in this one
 * but not sent to others; one for this instance alone is not spread at all.
 */
void
member_receive_item(struct membership *membership,
    const struct member_item *item, const struct member_msg *msg)
{
	struct member_action action = {
	    .kind = MEMBER_ITEM_RECEIVED, .item = item};
	bool from_wide = msg->kind == MEMBER_MSG_ITEMS;
	bool is_for_self =
	    from_wide && msg->target == membership->self.instance;

	if (item->origin == membership->self.instance ||
	    find_item(membership, item) != NULL)
		return;
	store_item(membership, item);
	if (is_for_self)
		find_item(membership, item)->transmits_left = 0;
	if (item->kind == MEMBER_ITEM_SUMMARY) {
		receive_summary_item(membership, item);
		return;
	}
	member_emit(membership, &action);
	if (item->kind == MEMBER_ITEM_CRASH_MARK && !is_for_self)
		push_items(membership);
	if (item->wide && !from_wide &&
	    member_role_held(membership, MEMBER_RELAY, membership->now_us))
		send_wide(membership, item);
}

/* Priority of items when a message cannot carry all of them. */
enum urgency {
	URGENT, /* others would act wrongly without it */
	SUMMARY, /* sent periodically, but must not be delayed for long */
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
	for (uint32_t i = 0; i < MEMBER_ITEMS_KEPT && msg->item_count < max;
	     i++) {
		/* Newest first: an old one has been sent often. */
		struct member_known_item *k =
		    &membership->items[(membership->item_next +
					   MEMBER_ITEMS_KEPT - 1 - i) %
				       MEMBER_ITEMS_KEPT];

		if (k->transmits_left == 0 || urgency_of(&k->item) != urgency)
			continue;
		k->transmits_left--;
		msg->items[msg->item_count++] = k->item;
	}
}

/* Adds the least sent summaries, each once, up to max items. */
static void
add_summaries(
    struct membership *membership, struct member_msg *msg, uint32_t max)
{
	uint8_t told = member_transmit_limit(membership);
	bool added[MEMBER_ITEMS_KEPT] = {false};

	for (; told > 0 && msg->item_count < max; told--) {
		for (uint32_t i = 0;
		     i < MEMBER_ITEMS_KEPT && msg->item_count < max; i++) {
			struct member_known_item *k = &membership->items[i];

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
member_add_items(struct membership *membership, struct member_msg *msg)
{
	add_items(membership, msg, URGENT, MEMBER_ITEMS_BATCH);
	add_summaries(membership, msg, MEMBER_ITEMS_BATCH / 2);
	add_items(membership, msg, BULK, MEMBER_ITEMS_BATCH);
}

/*
 * Publishes an item to one instance (to) or to the data centre (to 0), with
 * wide also to the other data centres.  Returns 0 or ERR_TOO_LARGE.
 */
int
member_publish(struct membership *membership, int64_t now_us,
    const struct member_item *item, uint32_t to, bool wide)
{
	struct member_msg msg = {.kind = MEMBER_MSG_ITEMS, .item_count = 1};
	struct member_item own = *item;

	if (item->len > MEMBER_ITEM_BYTES)
		return ERR_TOO_LARGE;
	membership->now_us = now_us;
	own.origin = membership->self.instance;
	own.incarnation = membership->self.incarnation;
	own.number = ++membership->item_number;
	own.wide = wide;
	if (to != 0) {
		msg.items[0] = own;
		msg.target = to;
		member_send(membership, to, &msg);
		return 0;
	}
	store_item(membership, &own);
	if (own.kind == MEMBER_ITEM_CRASH_MARK)
		push_items(membership);
	if (wide && member_role_held(membership, MEMBER_RELAY, now_us))
		send_wide(membership, &own);
	return 0;
}

/* Sets the spare slots that this instance sees. */
void
member_set_spare(
    struct membership *membership, const uint16_t spare[MEMBER_VERSIONS_MAX])
{
	memcpy(membership->own_spare, spare, sizeof(membership->own_spare));
}

static void
record_spare(struct membership *membership, uint32_t from,
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
 * Computes the data centre's spare slots.  All instances see the same servers,
 * so it is the minimum over the instances, per version.
 */
static void
compute_spare(struct membership *membership, struct member_summary *summary)
{
	memcpy(summary->spare, membership->own_spare, sizeof(summary->spare));
	for (uint32_t i = 0; i < membership->spare_count; i++) {
		if (!member_is_alive(membership, membership->spare_from[i]))
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
	struct member_msg msg = {.kind = MEMBER_MSG_SUMMARY};

	msg.summary.data_centre = membership->options.data_centre;
	msg.summary.number = ++membership->summary_number;
	msg.summary.instances = count_alive(membership);
	msg.summary.relay = membership->self.instance;
	compute_spare(membership, &msg.summary);
	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++) {
		if (membership->data_centres[i].known)
			member_send(membership,
			    contact_of(
				membership, &membership->data_centres[i]),
			    &msg);
	}
}

static void
send_spare(struct membership *membership)
{
	struct member_msg msg = {.kind = MEMBER_MSG_SPARE};
	uint32_t relay = member_role_holder(membership, MEMBER_RELAY);

	if (relay == 0)
		return;
	memcpy(msg.summary.spare, membership->own_spare,
	    sizeof(msg.summary.spare));
	member_send(membership, relay, &msg);
}

static void
report_silent(struct membership *membership)
{
	int64_t limit_us =
	    member_option_us(membership->options.silent_ms, SILENT_MS);

	for (uint32_t i = 0; i < MEMBER_DATA_CENTRES_MAX; i++) {
		struct member_data_centre *p = &membership->data_centres[i];
		struct member_action action = {
		    .kind = MEMBER_DATA_CENTRE_SILENT,
		    .data_centre = p->data_centre};

		if (!p->known || p->silent ||
		    membership->now_us - p->heard_us <= limit_us)
			continue;
		p->silent = true;
		member_emit(membership, &action);
	}
}

/* Sends the summary when due and detects silent data centres. */
void
member_summary_tick(struct membership *membership)
{
	int64_t period_us;

	report_silent(membership);
	if (membership->now_us < membership->summary_due_us)
		return;
	/*
	 * Every member sends to the relay, so the period grows with their
	 * number.
	 */
	period_us = membership->count * (int64_t)MEMBER_US;
	if (period_us <
	    member_option_us(membership->options.summary_ms, SUMMARY_MS))
		period_us = member_option_us(
		    membership->options.summary_ms, SUMMARY_MS);
	membership->summary_due_us = membership->now_us + period_us;
	if (member_role_held(membership, MEMBER_RELAY, membership->now_us))
		send_summary(membership);
	else
		send_spare(membership);
}

/* Returns whether a summary is the first from its relay. */
static bool
is_first_of_relay(
    const struct membership *membership, const struct member_summary *summary)
{
	const struct member_data_centre *dc =
	    &membership
		 ->data_centres[summary->data_centre % MEMBER_DATA_CENTRES_MAX];

	return dc->relay != summary->relay;
}

/* Records a data centre's summary; returns false if it is not newer. */
static bool
record_summary(
    struct membership *membership, const struct member_summary *summary)
{
	struct member_data_centre *dc =
	    &membership
		 ->data_centres[summary->data_centre % MEMBER_DATA_CENTRES_MAX];
	struct member_action action = {.kind = MEMBER_SUMMARY_RECEIVED,
	    .summary = summary,
	    .data_centre = summary->data_centre};

	if (!dc->known ||
	    summary->data_centre == membership->options.data_centre)
		return false;
	/* A new relay starts numbering from one. */
	if (dc->relay == summary->relay && summary->number <= dc->number)
		return false;
	dc->relay = summary->relay;
	dc->number = summary->number;
	dc->heard_us = membership->now_us;
	dc->silent = false;
	member_emit(membership, &action);
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

/* Handles a summary that arrived as an item. */
static void
receive_summary_item(
    struct membership *membership, const struct member_item *item)
{
	struct member_summary summary = {
	    .data_centre = (uint16_t)(item->key >> 48),
	    .relay = (uint32_t)(item->key >> 16),
	    .instances = (uint16_t)item->key};
	struct member_data_centre *dc =
	    &membership
		 ->data_centres[summary.data_centre % MEMBER_DATA_CENTRES_MAX];
	bool first;

	for (int v = 0; v < item->len; v++)
		summary.spare[v] = item->data[v];
	summary.number = dc->relay == summary.relay ? dc->number + 1 : 1;
	first = is_first_of_relay(membership, &summary);
	if (record_summary(membership, &summary) && first)
		push_items(membership);
}

/* Handles a member's spare slots or another data centre's summary. */
void
member_summary_receive(
    struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	bool first;

	if (msg->kind == MEMBER_MSG_SPARE) {
		record_spare(membership, from, &msg->summary);
		return;
	}
	first = is_first_of_relay(membership, &msg->summary);
	if (!record_summary(membership, &msg->summary))
		return;
	spread_summary(membership, &msg->summary);
	if (first)
		push_items(membership);
}
