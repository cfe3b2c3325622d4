#include <math.h>
#include <string.h>

#include "daemon/node.h"
#include "daemon/operator.h"
#include "state/member.h"

/*
 * The small facts that instances tell each other as items of membership:
 * ratings, evidence on versions, session bindings, crash marks, ended lives.
 * Indices are private to a process, so names travel as hashes.
 */

static const float digest_least = 0.5f; /* evidence worth telling of */

/* Evidence is gathered here until there is enough to tell of. */
struct digest_item {
	float quick[CF_DROPS];
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

static int
find_workspace(const struct cfg *cfg, uint32_t hash)
{
	for (uint16_t i = 0; i < cfg->workspace_count; i++) {
		if (node_hash_name(cfg->workspaces[i].name) == hash)
			return i;
	}
	return -1;
}

static int
find_version(const struct cfg *cfg, uint32_t hash)
{
	for (uint16_t i = 0; i < cfg->version_count; i++) {
		if (node_hash_name(cfg->versions[i].name) == hash)
			return i;
	}
	return -1;
}

static void
take_rating(struct node *node, const struct member_item *item)
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
	entry_handle_event(node->entry, &event);
}

static void
take_digest(struct node *node, const struct member_item *item)
{
	int version = find_version(node_cfg(node), (uint32_t)item->key);
	struct cf_event event = {.kind = CF_EV_DIGEST};
	struct digest_item digest;

	if (version < 0 || item->len < sizeof(digest))
		return;
	memcpy(&digest, item->data, sizeof(digest));
	event.u.digest.version = (uint16_t)version;
	memcpy(event.u.digest.quick, digest.quick, sizeof(digest.quick));
	entry_handle_event(node->entry, &event);
}

static void
take_bind(struct node *node, const struct member_item *item)
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
	entry_handle_event(node->entry, &event);
}

/* A life of an instance of another data centre has ended. */
static void
take_gone(struct node *node, const struct member_item *item)
{
	uint64_t incarnation;

	if (item->len != sizeof(incarnation) || node->book == NULL)
		return;
	memcpy(&incarnation, item->data, sizeof(incarnation));
	book_ended(node->book, (uint32_t)item->key, incarnation);
}

/* Takes an item that another instance published. */
void
spread_take(struct node *node, const struct member_item *item)
{
	struct cf_event event = {.kind = CF_EV_CRASH_MARK};

	if (node->entry == NULL || node_cfg(node) == NULL)
		return;
	switch (item->kind) {
	case MEMBER_ITEM_RATING:
		take_rating(node, item);
		break;
	case MEMBER_ITEM_BIND:
		take_bind(node, item);
		break;
	case MEMBER_ITEM_CRASH_MARK:
		event.u.crash_mark.fingerprint = item->key;
		event.u.crash_mark.crashes = item->data[0];
		entry_handle_event(node->entry, &event);
		break;
	case MEMBER_ITEM_DIGEST:
		take_digest(node, item);
		break;
	case MEMBER_ITEM_GONE:
		take_gone(node, item);
		break;
	case MEMBER_ITEM_SUMMARY:
		break;
	}
}

/*
 * Spreads this instance's evidence on versions.  What is too little to matter
 * waits and adds up, so that a quiet fleet tells nothing.
 */
void
spread_digests(struct node *node)
{
	static struct digest_item untold[CFG_VERSIONS_MAX];
	struct cf_digest found[CFG_VERSIONS_MAX];
	const struct cfg *cfg = node_cfg(node);
	size_t n = entry_take_digests(node->entry, found, CFG_VERSIONS_MAX);

	for (size_t i = 0; i < n; i++) {
		struct digest_item *sum = &untold[found[i].version];
		float largest = 0;

		for (int d = 0; d < CF_DROPS; d++) {
			sum->quick[d] += found[i].quick[d];
			largest = fmaxf(largest, fabsf(sum->quick[d]));
		}
		if (largest < digest_least)
			continue;
		node_publish(node, MEMBER_ITEM_DIGEST,
		    node_hash_name(cfg->versions[found[i].version].name), sum,
		    sizeof(*sum), true);
		memset(sum, 0, sizeof(*sum));
	}
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
		node_publish(node, MEMBER_ITEM_CRASH_MARK, action->key,
		    &crashes, 1, true);
		break;
	case CF_ACT_BIND:
		bind.workspace =
		    node_hash_name(cfg->workspaces[action->workspace].name);
		bind.version =
		    node_hash_name(cfg->versions[action->version].name);
		node_publish(node, MEMBER_ITEM_BIND, action->key, &bind,
		    sizeof(bind), false);
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
	struct rating_item item = {.workspace = node_hash_name(
				       cfg->workspaces[rating->workspace].name),
	    .version = node_hash_name(cfg->versions[rating->version].name),
	    .task_class = rating->task_class,
	    .passed = rating->passed,
	    .place = (uint8_t)rating->place};

	node_publish(node, MEMBER_ITEM_RATING, 0, &item, sizeof(item), true);
}
