#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

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
 * The member child: who is alive in this data centre, which instance is its
 * relay and its granter, and the small things that instances tell each other:
 * ratings, crash marks, session bindings, spare capacity.
 */

static const float digest_least = 0.5f; /* evidence worth telling of */

static void publish(struct node *node, enum mb_item_kind kind, uint64_t key,
    const void *data, size_t len, bool wide);

enum {
	MEMBER_TICK_US = 100000,
	VOTERS = 3,
	SPARE_TICKS = 10, /* ticks between looks at the spare capacity */
	EARLIER_TICKS = 20 /* ticks after the start, and twice that */
};

/* Evidence is gathered here until there is enough to tell of. */
struct digest_item {
	float quick[CF_DROPS];
};

struct member {
	struct node *node;
	struct mb *mb;
	struct loop_timer *tick;
	bool is_relay;
	uint32_t relay;
	uint32_t ticks;
	struct digest_item digests[CFG_VERSIONS_MAX]; /* not yet told */
	bool silent[MB_DATA_CENTRES_MAX];
};

/* What a rating says, as it travels between instances. */
struct rating_item {
	uint32_t workspace; /* hashes of the names */
	uint32_t version;
	uint16_t task_class;
	uint8_t passed;
	uint8_t place;
};

struct bind_item {
	uint32_t workspace;
	uint32_t version;
};

static uint32_t
hash_name(const char *name)
{
	return XXH32(name, strlen(name), 0);
}

static int
find_workspace(const struct cfg *cfg, uint32_t hash)
{
	for (uint16_t i = 0; i < cfg->workspace_count; i++) {
		if (hash_name(cfg->workspaces[i].name) == hash)
			return i;
	}
	return -1;
}

static int
find_version(const struct cfg *cfg, uint32_t hash)
{
	for (uint16_t i = 0; i < cfg->version_count; i++) {
		if (hash_name(cfg->versions[i].name) == hash)
			return i;
	}
	return -1;
}

static void
send_message(struct node *node, uint32_t to, const struct mb_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, node->alloc);
	mb_msg_encode(msg, &bytes);
	node_send(node, to, PEER_MEMBER, &bytes);
	buf_free(&bytes);
}

static const char *
name_of_instance(const struct node *node, uint32_t number)
{
	const struct directory_entry *e =
	    directory_find(node->directory, number);

	return e != NULL ? e->name : "?";
}

static void
take_rating(struct node *node, const struct mb_item *item)
{
	const struct cfg *cfg = node_cfg(node);
	struct cf_event event = {.kind = CF_EV_RATING};
	struct rating_item rating;
	int workspace, version;

	if (item->len < sizeof(rating))
		return;
	memcpy(&rating, item->data, sizeof(rating));
	workspace = find_workspace(cfg, rating.workspace);
	version = find_version(cfg, rating.version);
	if (workspace < 0 || version < 0)
		return;
	event.u.rating.workspace = (uint16_t)workspace;
	event.u.rating.version = (uint16_t)version;
	event.u.rating.task_class = rating.task_class;
	event.u.rating.passed = rating.passed != 0;
	event.u.rating.place = (enum cf_place)(rating.place % 3);
	entry_event(node->entry, &event);
}

static void
take_digest(struct node *node, const struct mb_item *item)
{
	int version = find_version(node_cfg(node), (uint32_t)item->key);
	struct cf_event event = {.kind = CF_EV_DIGEST};
	struct digest_item digest;

	if (version < 0 || item->len < sizeof(digest))
		return;
	memcpy(&digest, item->data, sizeof(digest));
	event.u.digest.version = (uint16_t)version;
	memcpy(event.u.digest.quick, digest.quick, sizeof(digest.quick));
	entry_event(node->entry, &event);
}

static void
take_bind(struct node *node, const struct mb_item *item)
{
	const struct cfg *cfg = node_cfg(node);
	struct cf_event event = {.kind = CF_EV_BIND};
	struct bind_item bind;
	int workspace, version;

	if (item->len < sizeof(bind))
		return;
	memcpy(&bind, item->data, sizeof(bind));
	workspace = find_workspace(cfg, bind.workspace);
	version = find_version(cfg, bind.version);
	if (workspace < 0 || version < 0)
		return;
	event.u.bind.session = item->key;
	event.u.bind.workspace = (uint16_t)workspace;
	event.u.bind.version = (uint16_t)version;
	entry_event(node->entry, &event);
}

/* A life of an instance of another data centre has ended. */
static void
take_gone(struct node *node, const struct mb_item *item)
{
	uint64_t incarnation;

	if (item->len != sizeof(incarnation) || node->book == NULL)
		return;
	memcpy(&incarnation, item->data, sizeof(incarnation));
	book_ended(node->book, (uint32_t)item->key, incarnation);
}

static void
take_item(struct node *node, const struct mb_item *item)
{
	struct cf_event event = {.kind = CF_EV_CRASH_MARK};

	if (node->entry == NULL || node_cfg(node) == NULL)
		return;
	switch (item->kind) {
	case MB_ITEM_RATING:
		take_rating(node, item);
		break;
	case MB_ITEM_BIND:
		take_bind(node, item);
		break;
	case MB_ITEM_CRASH_MARK:
		event.u.crash_mark.fingerprint = item->key;
		event.u.crash_mark.crashes = item->data[0];
		entry_event(node->entry, &event);
		break;
	case MB_ITEM_DIGEST:
		take_digest(node, item);
		break;
	case MB_ITEM_GONE:
		take_gone(node, item);
		break;
	case MB_ITEM_SUMMARY:
		break;
	}
}

/* A data centre's spare slots, or that nothing is heard of it. */
static void
tell_neighbour(
    struct member *member, uint16_t rank, const struct mb_summary *summary)
{
	const struct cfg *cfg = node_cfg(member->node);
	const char *name = directory_data_centre(member->node->directory, rank);
	struct cf_event event = {.kind = CF_EV_NEIGHBOUR};
	int dc =
	    cfg != NULL && name != NULL ? cfg_find_data_centre(cfg, name) : -1;

	if (dc < 0 || member->node->entry == NULL)
		return;
	event.u.neighbour.data_centre = (uint16_t)dc;
	event.u.neighbour.cut_off = summary == NULL;
	for (uint16_t v = 0; summary != NULL && v < MB_VERSIONS_MAX; v++) {
		if (summary->spare[v] == 0)
			continue;
		event.u.neighbour.versions |= (uint64_t)1 << v;
		if (summary->spare[v] > event.u.neighbour.spare_slots)
			event.u.neighbour.spare_slots = summary->spare[v];
	}
	entry_event(member->node->entry, &event);
}

static void
tell_instances(struct member *member)
{
	struct mb_record records[MB_MEMBERS_MAX];
	uint32_t peers[MB_MEMBERS_MAX];
	uint32_t count = 0;
	uint16_t alive = 1;
	size_t n = mb_members(member->mb, records, MB_MEMBERS_MAX);
	uint32_t self = directory_self(member->node->directory)->number;
	struct cf_event event = {.kind = CF_EV_INSTANCES};

	for (size_t i = 0; i < n; i++) {
		if (records[i].state != MB_ALIVE || records[i].instance == self)
			continue;
		peers[count++] = records[i].instance;
		alive++;
	}
	event.u.instances = alive;
	if (member->node->entry != NULL)
		entry_event(member->node->entry, &event);
	if (member->node->book != NULL)
		book_peers(member->node->book, peers, count);
}

static void
take_record(struct member *member, const struct mb_action *action)
{
	struct node *node = member->node;
	const struct mb_record *r = action->record;
	bool ended = action->kind == MB_ENDED;

	log_event(LOG_LEVEL_INFO, ended ? "instance_ended" : "instance_joined",
	    "instance=%s incarnation=%" PRIu64,
	    name_of_instance(node, r->instance), r->incarnation);
	if (ended && node->book != NULL)
		book_ended(node->book, r->instance, r->incarnation);
}

static void
set_role(struct member *member, const struct mb_action *action)
{
	bool won = action->kind == MB_ROLE_WON;

	log_event(LOG_LEVEL_INFO, won ? "role_won" : "role_lost", "role=%s",
	    action->role == MB_RELAY ? "relay" : "granter");
	if (action->role == MB_GRANTER && member->node->credits != NULL)
		credits_role(member->node->credits, won);
}

static void
emit(void *ctx, const struct mb_action *action)
{
	struct member *member = ctx;

	switch (action->kind) {
	case MB_SEND:
		send_message(member->node, action->to, action->msg);
		break;
	case MB_JOINED:
	case MB_ENDED:
		take_record(member, action);
		break;
	case MB_GOT_ITEM:
		take_item(member->node, action->item);
		break;
	case MB_GOT_SUMMARY:
		member->silent[action->data_centre % MB_DATA_CENTRES_MAX] =
		    false;
		tell_neighbour(member, action->data_centre, action->summary);
		break;
	case MB_DC_SILENT:
		member->silent[action->data_centre % MB_DATA_CENTRES_MAX] =
		    true;
		tell_neighbour(member, action->data_centre, NULL);
		break;
	case MB_ROLE_WON:
	case MB_ROLE_LOST:
		set_role(member, action);
		break;
	case MB_LEAVE_DONE:
		member->node->left = true;
		break;
	}
}

/* Follows who holds the relay's role; a new holder is asked from now on. */
static void
follow_relay(struct member *member)
{
	int64_t now_us = loop_now_us(member->node->loop);
	bool is_relay = mb_role_held(member->mb, MB_RELAY, now_us);
	uint32_t relay = mb_role_holder(member->mb, MB_RELAY);

	if (relay == member->relay && is_relay == member->is_relay)
		return;
	member->relay = relay;
	member->is_relay = is_relay;
	node_config_relay(member->node, is_relay, relay);
}

/*
 * Spreads this instance's evidence on versions.  What is too little to matter
 * waits and adds up, so that a quiet fleet tells nothing.
 */
static void
spread_digests(struct member *member)
{
	struct cf_digest found[CFG_VERSIONS_MAX];
	const struct cfg *cfg = node_cfg(member->node);
	size_t n = entry_digests(member->node->entry, found, CFG_VERSIONS_MAX);

	for (size_t i = 0; i < n; i++) {
		struct digest_item *sum = &member->digests[found[i].version];
		float largest = 0;

		for (int d = 0; d < CF_DROPS; d++) {
			sum->quick[d] += found[i].quick[d];
			largest = fmaxf(largest, fabsf(sum->quick[d]));
		}
		if (largest < digest_least)
			continue;
		publish(member->node, MB_ITEM_DIGEST,
		    hash_name(cfg->versions[found[i].version].name), sum,
		    sizeof(*sum), true);
		memset(sum, 0, sizeof(*sum));
	}
}

static void
publish(struct node *node, enum mb_item_kind kind, uint64_t key,
    const void *data, size_t len, bool wide)
{
	struct mb_item item = {.kind = kind, .key = key, .len = (uint8_t)len};

	if (node->member == NULL)
		return;
	memcpy(item.data, data, len);
	mb_publish(node->member->mb, loop_now_us(node->loop), &item, 0, wide);
}

/*
 * Tells every instance that the earlier lives of this one have ended.  Where
 * the relay of the data centre is what ended, nobody else tells the others.
 */
static void
tell_earlier_lives(const struct member *member)
{
	struct node *node = member->node;
	uint64_t earlier = node->incarnation - 1;

	if (member->ticks == EARLIER_TICKS ||
	    member->ticks == 2 * EARLIER_TICKS)
		publish(node, MB_ITEM_GONE,
		    directory_self(node->directory)->number, &earlier,
		    sizeof(earlier), true);
}

static void
on_tick(void *ctx)
{
	struct member *member = ctx;

	mb_tick(member->mb, loop_now_us(member->node->loop));
	follow_relay(member);
	tell_earlier_lives(member);
	if (member->ticks++ % SPARE_TICKS == 0) {
		uint16_t spare[MB_VERSIONS_MAX] = {0};

		tell_instances(member);
		if (member->node->entry != NULL &&
		    node_cfg(member->node) != NULL)
			spread_digests(member);
		if (member->node->entry != NULL && !member->node->draining)
			entry_spare(
			    member->node->entry, spare, MB_VERSIONS_MAX);
		mb_spare(member->mb, spare);
	}
	member->tick =
	    loop_after(member->node->loop, MEMBER_TICK_US, on_tick, member);
}

/*
 * The voters on roles: the first instances of the data centre by name, and one
 * of another data centre where there are only two.
 */
static uint32_t
choose_voters(const struct node *node, uint32_t voters[MB_VOTERS_MAX])
{
	uint32_t count = 0, other = 0;

	for (uint32_t i = 0; i < directory_count(node->directory); i++) {
		const struct directory_entry *e =
		    directory_at(node->directory, i);
		bool here =
		    strcmp(e->data_centre, node->settings->data_centre) == 0;

		if (here && count < VOTERS)
			voters[count++] = e->number;
		else if (!here && other == 0)
			other = e->number;
	}
	if (count == 2 && other != 0)
		voters[count++] = other;
	return count;
}

static void
add_seeds(struct member *member)
{
	const struct directory *directory = member->node->directory;
	uint16_t own = directory_self(directory)->data_centre_rank;

	for (uint32_t i = 0; i < directory_count(directory); i++) {
		const struct directory_entry *e = directory_at(directory, i);

		if (e->self)
			continue;
		if (e->data_centre_rank == own)
			mb_seed_member(member->mb, e->number);
		else
			mb_seed_data_centre(
			    member->mb, e->data_centre_rank, e->number);
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
	       mb_role_held(node->member->mb, MB_GRANTER, clock_monotonic_us());
}

/* Returns the data centre's granter, 0 if none is known. */
uint32_t
node_granter(const struct node *node)
{
	return node->member != NULL
		   ? mb_role_holder(node->member->mb, MB_GRANTER)
		   : 0;
}

static int
compare_numbers(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Lists the instances alive in this data centre, this one too, sorted. */
uint32_t
node_alive(const struct node *node, uint32_t *instances, uint32_t max)
{
	struct mb_record records[MB_MEMBERS_MAX];
	uint32_t count = 0;
	size_t n = 0;

	if (node->member != NULL)
		n = mb_members(node->member->mb, records, MB_MEMBERS_MAX);
	for (size_t i = 0; i < n && count < max; i++) {
		if (records[i].state == MB_ALIVE ||
		    records[i].state == MB_SUSPECT)
			instances[count++] = records[i].instance;
	}
	qsort(instances, count, sizeof(*instances), compare_numbers);
	return count;
}

/* Takes a message of membership. */
void
node_member_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len)
{
	static struct mb_msg msg;

	if (node->member != NULL && mb_msg_decode(&msg, data, len) == 0)
		mb_message(
		    node->member->mb, loop_now_us(node->loop), from, &msg);
}

/* Spreads what the router asks to be told to others. */
void
node_spread(struct node *node, const struct cf_action *action)
{
	const struct cfg *cfg = node_cfg(node);
	uint8_t crashes = (uint8_t)action->count;
	struct bind_item bind;

	switch (action->kind) {
	case CF_ACT_CRASH_MARK:
		publish(
		    node, MB_ITEM_CRASH_MARK, action->key, &crashes, 1, true);
		break;
	case CF_ACT_BIND:
		bind.workspace =
		    hash_name(cfg->workspaces[action->workspace].name);
		bind.version = hash_name(cfg->versions[action->version].name);
		publish(node, MB_ITEM_BIND, action->key, &bind, sizeof(bind),
		    false);
		break;
	case CF_ACT_STOP_VERSION:
		operators_tell(node->operators, OPERATOR_STOP,
		    cfg->versions[action->version].name,
		    strlen(cfg->versions[action->version].name));
		break;
	case CF_ACT_CREDIT_ASK:
	case CF_ACT_CREDIT_GIVE:
		if (node->credits != NULL)
			credits_act(node->credits, action);
		break;
	default:
		break;
	}
}

/* Spreads a rating that the rating service gave to this instance. */
void
node_spread_rating(struct node *node, const struct cf_rating *rating)
{
	const struct cfg *cfg = node_cfg(node);
	struct rating_item item = {
	    .workspace = hash_name(cfg->workspaces[rating->workspace].name),
	    .version = hash_name(cfg->versions[rating->version].name),
	    .task_class = rating->task_class,
	    .passed = rating->passed,
	    .place = (uint8_t)rating->place};

	publish(node, MB_ITEM_RATING, 0, &item, sizeof(item), true);
}

/* Tells the others that this instance leaves; node->left follows. */
void
node_leave(struct node *node)
{
	if (node->member != NULL)
		mb_leave(node->member->mb, loop_now_us(node->loop));
	else
		node->left = true;
}

/* Returns the HTTP address of an instance of a data centre, or NULL. */
const char *
node_neighbour(struct node *node, uint16_t data_centre)
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
node_member_status(const struct node *node, struct buf *out)
{
	static const char *const states[] = {
	    "?", "alive", "suspect", "left", "gone"};
	struct mb_record records[MB_MEMBERS_MAX];
	size_t n = node->member != NULL
		       ? mb_members(node->member->mb, records, MB_MEMBERS_MAX)
		       : 0;

	buf_adds(out, "[");
	for (size_t i = 0; i < n; i++)
		buf_addf(out,
		    "%s{\"instance\":\"%s\",\"state\":\"%s\",\"relay\":%s,"
		    "\"granter\":%s}",
		    i > 0 ? "," : "",
		    name_of_instance(node, records[i].instance),
		    states[records[i].state],
		    records[i].roles >> MB_RELAY & 1 ? "true" : "false",
		    records[i].roles >> MB_GRANTER & 1 ? "true" : "false");
	buf_adds(out, "]");
}

static int
start(void *ctx)
{
	struct node *node = ctx;
	const struct directory_entry *self = directory_self(node->directory);
	struct member *member = alloc_zero(node->alloc, 1, sizeof(*member));
	struct mb_options options = {.alloc = node->alloc,
	    .emit = emit,
	    .ctx = member,
	    .seed = rng_system_seed(),
	    .instance = self->number,
	    .incarnation = node->incarnation,
	    .data_centre = self->data_centre_rank};

	member->node = node;
	options.voter_count = choose_voters(node, options.voters);
	member->mb = mb_new(&options, loop_now_us(node->loop));
	node->member = member;
	add_seeds(member);
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
	mb_free(member->mb);
	alloc_free(node->alloc, member);
}

struct sup_child_spec
child_member(struct node *node)
{
	return (struct sup_child_spec){"member", start, stop, node};
}
