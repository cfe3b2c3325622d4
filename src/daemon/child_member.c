#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "config/compile.h"
#include "daemon/node.h"
#include "daemon/operator.h"
#include "daemon/state.h"
#include "state/member.h"

/*
 * The member child: which instances are alive in this data centre, which of
 * them is the relay and which the granter, and the items that instances
 * exchange: ratings, crash marks, session bindings and spare capacity.
 */

enum {
	MEMBER_TICK_US = 100000,
	ROLE_VOTERS = 3, /* on the roles of relay and granter */
	SPARE_TICKS = 10, /* ticks between updates of the spare capacity */
	/* Ended lives are published after this many ticks and twice that. */
	ENDED_LIVES_TICKS = 20
};

struct member {
	struct node *node;
	struct membership *membership;
	struct loop_timer *tick;
	bool is_relay;
	uint32_t relay;
	uint32_t ticks;
	bool silent[MEMBER_DATA_CENTRES_MAX]; /* by rank: nothing heard of it */
};

static void
send_member_message(
    struct node *node, uint32_t to, const struct member_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, node->alloc);
	member_msg_encode(msg, &bytes);
	node_send(node, to, PEER_MEMBERSHIP, &bytes);
	buf_free(&bytes);
}

static const char *
instance_name(const struct node *node, uint32_t number)
{
	const struct directory_entry *e =
	    directory_find(node->directory, number);

	return e != NULL ? e->name : "?";
}

/*
 * Reports the spare slots of a data centre to the router; without a summary,
 * that the data centre is cut off.
 */
static void
report_neighbour(
    struct member *member, uint16_t rank, const struct member_summary *summary)
{
	const struct cfg *cfg = node_cfg(member->node);
	const char *name =
	    directory_data_centre_name(member->node->directory, rank);
	struct cf_event event = {.kind = CF_EV_NEIGHBOUR};
	int dc =
	    cfg != NULL && name != NULL ? cfg_find_data_centre(cfg, name) : -1;

	if (dc < 0 || member->node->entry == NULL)
		return;
	event.u.neighbour.data_centre = (uint16_t)dc;
	event.u.neighbour.cut_off = summary == NULL;
	for (uint16_t v = 0; summary != NULL && v < MEMBER_VERSIONS_MAX; v++) {
		if (summary->spare[v] == 0)
			continue;
		event.u.neighbour.versions |= (uint64_t)1 << v;
		if (summary->spare[v] > event.u.neighbour.spare_slots)
			event.u.neighbour.spare_slots = summary->spare[v];
	}
	entry_handle_event(member->node->entry, &event);
}

/* Reports the instances that are alive to the router and the claims. */
static void
report_instances(struct member *member)
{
	struct member_record records[MEMBER_COUNT_MAX];
	uint32_t peers[MEMBER_COUNT_MAX];
	uint32_t count = 0;
	uint16_t alive = 1;
	size_t n =
	    member_copy_records(member->membership, records, MEMBER_COUNT_MAX);
	uint32_t self = directory_self(member->node->directory)->number;
	struct cf_event event = {.kind = CF_EV_INSTANCES};

	for (size_t i = 0; i < n; i++) {
		if (records[i].state != MEMBER_ALIVE ||
		    records[i].instance == self)
			continue;
		peers[count++] = records[i].instance;
		alive++;
	}
	event.u.instances = alive;
	if (member->node->entry != NULL)
		entry_handle_event(member->node->entry, &event);
	if (member->node->request_records != NULL)
		request_records_set_peers(
		    member->node->request_records, peers, count);
}

static void
on_member_record(struct member *member, const struct member_action *action)
{
	struct node *node = member->node;
	const struct member_record *r = action->record;
	bool ended = action->kind == MEMBER_ENDED;

	log_event(LOG_LEVEL_INFO, ended ? "instance_ended" : "instance_joined",
	    "instance=%s incarnation=%" PRIu64,
	    instance_name(node, r->instance), r->incarnation);
	if (ended && node->request_records != NULL)
		request_records_set_life_ended(
		    node->request_records, r->instance, r->incarnation);
}

static void
on_role_change(struct member *member, const struct member_action *action)
{
	bool won = action->kind == MEMBER_ROLE_WON;

	log_event(LOG_LEVEL_INFO, won ? "role_won" : "role_lost", "role=%s",
	    action->role == MEMBER_RELAY ? "relay" : "granter");
	if (action->role == MEMBER_GRANTER && member->node->credits != NULL)
		credits_set_granter_role(member->node->credits, won);
}

static void
run_member_action(void *ctx, const struct member_action *action)
{
	struct member *member = ctx;

	switch (action->kind) {
	case MEMBER_SEND:
		send_member_message(member->node, action->to, action->msg);
		break;
	case MEMBER_JOINED:
	case MEMBER_ENDED:
		on_member_record(member, action);
		break;
	case MEMBER_ITEM_RECEIVED:
		member_items_receive(member->node, action->item);
		break;
	case MEMBER_SUMMARY_RECEIVED:
		member->silent[action->data_centre % MEMBER_DATA_CENTRES_MAX] =
		    false;
		report_neighbour(member, action->data_centre, action->summary);
		break;
	case MEMBER_DATA_CENTRE_SILENT:
		member->silent[action->data_centre % MEMBER_DATA_CENTRES_MAX] =
		    true;
		report_neighbour(member, action->data_centre, NULL);
		break;
	case MEMBER_ROLE_WON:
	case MEMBER_ROLE_LOST:
		on_role_change(member, action);
		break;
	case MEMBER_LEAVE_DONE:
		member->node->left = true;
		break;
	}
}

/* Asks the new holder for the configuration when the relay changes. */
static void
update_relay(struct member *member)
{
	int64_t now_us = loop_now_us(member->node->loop);
	bool is_relay =
	    member_role_held(member->membership, MEMBER_RELAY, now_us);
	uint32_t relay = member_role_holder(member->membership, MEMBER_RELAY);

	if (relay == member->relay && is_relay == member->is_relay)
		return;
	member->relay = relay;
	member->is_relay = is_relay;
	node_config_set_relay(member->node, is_relay, relay);
}

/* Publishes an item in this data centre; if wide, in the others too. */
void
node_publish(struct node *node, enum member_item_kind kind, uint64_t key,
    const void *data, size_t len, bool wide)
{
	struct member_item item = {
	    .kind = kind, .key = key, .len = (uint8_t)len};

	if (node->member == NULL)
		return;
	memcpy(item.data, data, len);
	member_publish(
	    node->member->membership, loop_now_us(node->loop), &item, 0, wide);
}

/*
 * Tells every instance that the earlier lives of this one have ended. If
 * this instance was the relay of its data centre in an earlier life, no other
 * instance tells the other data centres.
 */
static void
publish_ended_lives(const struct member *member)
{
	struct node *node = member->node;
	uint64_t earlier = node->incarnation - 1;

	if (member->ticks == ENDED_LIVES_TICKS ||
	    member->ticks == 2 * ENDED_LIVES_TICKS)
		node_publish(node, MEMBER_ITEM_GONE,
		    directory_self(node->directory)->number, &earlier,
		    sizeof(earlier), true);
}

static void
on_tick(void *ctx)
{
	struct member *member = ctx;

	member_tick(member->membership, loop_now_us(member->node->loop));
	update_relay(member);
	publish_ended_lives(member);
	if (member->ticks++ % SPARE_TICKS == 0) {
		uint16_t spare[MEMBER_VERSIONS_MAX] = {0};

		report_instances(member);
		if (member->node->entry != NULL &&
		    node_cfg(member->node) != NULL)
			member_items_publish_digests(member->node);
		if (member->node->entry != NULL && !member->node->draining)
			entry_add_spare_slots(
			    member->node->entry, spare, MEMBER_VERSIONS_MAX);
		member_set_spare(member->membership, spare);
	}
	member->tick =
	    loop_after(member->node->loop, MEMBER_TICK_US, on_tick, member);
}

/*
 * Chooses the voters on roles and returns their count: the first instances of
 * this data centre by name, and one of another data centre if this one has only
 * two.
 */
static uint32_t
choose_voters(const struct node *node, uint32_t voters[MEMBER_VOTERS_MAX])
{
	uint32_t count = 0, other = 0;

	for (uint32_t i = 0; i < directory_count(node->directory); i++) {
		const struct directory_entry *e =
		    directory_at(node->directory, i);
		bool here =
		    strcmp(e->data_centre, node->settings->data_centre) == 0;

		if (here && count < ROLE_VOTERS)
			voters[count++] = e->number;
		else if (!here && other == 0)
			other = e->number;
	}
	if (count == 2 && other != 0)
		voters[count++] = other;
	return count;
}

/* Adds all other instances as first contacts of the membership protocol. */
static void
add_first_contacts(struct member *member)
{
	const struct directory *directory = member->node->directory;
	uint16_t own = directory_self(directory)->data_centre_rank;

	for (uint32_t i = 0; i < directory_count(directory); i++) {
		const struct directory_entry *e = directory_at(directory, i);

		if (e->self)
			continue;
		if (e->data_centre_rank == own)
			member_add_seed(member->membership, e->number);
		else
			member_add_data_centre_seed(
			    member->membership, e->data_centre_rank, e->number);
	}
}

/* Returns whether this instance is the relay of its data centre. */
bool
node_is_relay(const struct node *node)
{
	return node->member != NULL && node->member->is_relay;
}

/* Returns whether this instance may grant warm-up credits now. */
bool
node_is_granter(const struct node *node)
{
	return node->member != NULL &&
	       member_role_held(node->member->membership, MEMBER_GRANTER,
		   clock_monotonic_us());
}

/* Returns the data centre's granter, 0 if none is known. */
uint32_t
node_granter_instance(const struct node *node)
{
	return node->member != NULL
		   ? member_role_holder(
			 node->member->membership, MEMBER_GRANTER)
		   : 0;
}

static int
compare_numbers(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Lists the numbers of the instances in this data centre that are alive or
 * suspect, this one included, in ascending order.  Returns their count.
 */
uint32_t
node_list_alive(const struct node *node, uint32_t *instances, uint32_t max)
{
	struct member_record records[MEMBER_COUNT_MAX];
	uint32_t count = 0;
	size_t n = 0;

	if (node->member != NULL)
		n = member_copy_records(
		    node->member->membership, records, MEMBER_COUNT_MAX);
	for (size_t i = 0; i < n && count < max; i++) {
		if (records[i].state == MEMBER_ALIVE ||
		    records[i].state == MEMBER_SUSPECT)
			instances[count++] = records[i].instance;
	}
	qsort(instances, count, sizeof(*instances), compare_numbers);
	return count;
}

/* Handles a message of the membership protocol. */
void
node_member_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len)
{
	static struct member_msg msg;

	if (node->member != NULL && member_msg_decode(&msg, data, len) == 0)
		member_receive(node->member->membership,
		    loop_now_us(node->loop), from, &msg);
}

/* Tells the others that this instance leaves, then sets node->left. */
void
node_leave(struct node *node)
{
	if (node->member != NULL)
		member_leave(node->member->membership, loop_now_us(node->loop));
	else
		node->left = true;
}

/*
 * Returns the HTTP address of another instance of a data centre, searched from
 * a random start, or NULL.
 */
const char *
node_neighbour_address(struct node *node, uint16_t data_centre)
{
	const char *name = node_cfg(node)->data_centres[data_centre].name;
	uint32_t count = directory_count(node->directory);
	uint32_t first = (uint32_t)rng_system_seed() % count;

	for (uint32_t i = 0; i < count; i++) {
		const struct directory_entry *e =
		    directory_at(node->directory, (first + i) % count);

		if (!e->self && e->http[0] != '\0' &&
		    strcmp(e->data_centre, name) == 0)
			return e->http;
	}
	return NULL;
}

/* Appends a JSON array of the instances of this data centre. */
void
node_append_member_status(const struct node *node, struct buf *out)
{
	static const char *const states[] = {
	    "?", "alive", "suspect", "left", "gone"};
	struct member_record records[MEMBER_COUNT_MAX];
	size_t n = node->member != NULL
		       ? member_copy_records(node->member->membership, records,
			     MEMBER_COUNT_MAX)
		       : 0;

	buf_adds(out, "[");
	for (size_t i = 0; i < n; i++)
		buf_addf(out,
		    "%s{\"instance\":\"%s\",\"state\":\"%s\",\"relay\":%s,"
		    "\"granter\":%s}",
		    i > 0 ? "," : "", instance_name(node, records[i].instance),
		    states[records[i].state],
		    records[i].roles >> MEMBER_RELAY & 1 ? "true" : "false",
		    records[i].roles >> MEMBER_GRANTER & 1 ? "true" : "false");
	buf_adds(out, "]");
}

static int
start(void *ctx)
{
	struct node *node = ctx;
	const struct directory_entry *self = directory_self(node->directory);
	struct member *member = alloc_zero(node->alloc, 1, sizeof(*member));
	struct member_options options = {.alloc = node->alloc,
	    .emit = run_member_action,
	    .ctx = member,
	    .seed = rng_system_seed(),
	    .instance = self->number,
	    .incarnation = node->incarnation,
	    .data_centre = self->data_centre_rank};

	member->node = node;
	options.voter_count = choose_voters(node, options.voters);
	member->membership = member_new(&options, loop_now_us(node->loop));
	node->member = member;
	add_first_contacts(member);
	member->tick = loop_after(node->loop, MEMBER_TICK_US, on_tick, member);
	return 0;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;
	struct member *member = node->member;

	node->member = NULL;
	loop_cancel(member->tick);
	member_free(member->membership);
	alloc_free(node->alloc, member);
}

struct sup_child_spec
child_member(struct node *node)
{
	return (struct sup_child_spec){"member", start, stop, node};
}
