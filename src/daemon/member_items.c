#include <math.h>
#include <string.h>

#include "daemon/node.h"
#include "daemon/operator.h"
#include "state/member.h"

/*
 * Small facts that instances publish as items of the membership protocol:
 * ratings, evidence on versions, session bindings, crash marks, ended lives.
 * An item carries hashes of names, because indices are private to a process.
 */

/* Smallest absolute evidence on a version that is published. */
static const float digest_evidence_min = 0.5f;

/* Evidence on one version, also summed here until it is published. */
struct digest_item {
	float quick[CF_DROPS];
};

/* A rating as it is sent between instances. */
struct rating_item {
	uint32_t workspace; /* hash of the name, as in version */
	uint32_t version;
	uint16_t task_class;
	uint8_t passed;
	uint8_t place;
};

/* A session binding; the item's key is the session. */
struct bind_item {
	uint32_t workspace; /* hashes of the names */
	uint32_t version;
};

/* Returns the index of a workspace by the hash of its name, or -1. */
static int
find_workspace(const struct cfg *cfg, uint32_t hash)
{
	for (uint16_t i = 0; i < cfg->workspace_count; i++) {
		if (node_hash_name(cfg->workspaces[i].name) == hash)
			return i;
	}
	return -1;
}

/* Returns the index of a version by the hash of its name, or -1. */
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
handle_rating(struct node *node, const struct member_item *item)
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
handle_digest(struct node *node, const struct member_item *item)
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
handle_bind(struct node *node, const struct member_item *item)
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

/* Handles the end of a life of an instance of another data centre. */
static void
handle_ended_life(struct node *node, const struct member_item *item)
{
	uint64_t incarnation;

	if (item->len != sizeof(incarnation) || node->request_records == NULL)
		return;
	memcpy(&incarnation, item->data, sizeof(incarnation));
	request_records_set_life_ended(
	    node->request_records, (uint32_t)item->key, incarnation);
}

/*
 * Handles an item that another instance published.  It is dropped while there
 * is no entry child or no configuration.
 */
void
member_items_receive(struct node *node, const struct member_item *item)
{
	struct cf_event event = {.kind = CF_EV_CRASH_MARK};

	if (node->entry == NULL || node_cfg(node) == NULL)
		return;
	switch (item->kind) {
	case MEMBER_ITEM_RATING:
		handle_rating(node, item);
		break;
	case MEMBER_ITEM_BIND:
		handle_bind(node, item);
		break;
	case MEMBER_ITEM_CRASH_MARK:
		event.u.crash_mark.fingerprint = item->key;
		event.u.crash_mark.crashes = item->data[0];
		entry_handle_event(node->entry, &event);
		break;
	case MEMBER_ITEM_DIGEST:
		handle_digest(node, item);
		break;
	case MEMBER_ITEM_GONE:
		handle_ended_life(node, item);
		break;
	case MEMBER_ITEM_SUMMARY:
		break;
	}
}

/*
 * Publishes this instance's evidence on versions.  Evidence below the minimum
 * is summed until it reaches it, so that a fleet with little traffic publishes
 * nothing.
 */
void
member_items_publish_digests(struct node *node)
{
	static struct digest_item unpublished[CFG_VERSIONS_MAX];
	struct cf_digest found[CFG_VERSIONS_MAX];
	const struct cfg *cfg = node_cfg(node);
	size_t n = entry_take_digests(node->entry, found, CFG_VERSIONS_MAX);

	for (size_t i = 0; i < n; i++) {
		struct digest_item *sum = &unpublished[found[i].version];
		float largest = 0;

		for (int d = 0; d < CF_DROPS; d++) {
			sum->quick[d] += found[i].quick[d];
			largest = fmaxf(largest, fabsf(sum->quick[d]));
		}
		if (largest < digest_evidence_min)
			continue;
		node_publish(node, MEMBER_ITEM_DIGEST,
		    node_hash_name(cfg->versions[found[i].version].name), sum,
		    sizeof(*sum), true);
		memset(sum, 0, sizeof(*sum));
	}
}

/* Publishes or sends an action of the router that concerns other instances. */
void
member_items_publish_action(struct node *node, const struct cf_action *action)
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
		operators_notify_leader(node->operators, OPERATOR_STOP,
		    cfg->versions[action->version].name,
		    strlen(cfg->versions[action->version].name));
		break;
	case CF_ACT_CREDIT_ASK:
	case CF_ACT_CREDIT_GIVE:
		if (node->credits != NULL)
			credits_send_action(node->credits, action);
		break;
	default:
		break;
	}
}

/* Publishes a rating that the rating service sent to this instance. */
void
member_items_publish_rating(struct node *node, const struct cf_rating *rating)
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
