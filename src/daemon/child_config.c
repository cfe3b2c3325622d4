#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "base/log.h"
#include "config/compile.h"
#include "config/delta.h"
#include "daemon/node.h"
#include "daemon/replica_set.h"
#include "daemon/state.h"

/*
 * The config child: this instance's copy of the configuration.  A revision
 * arrives through configuration distribution, is compiled, and is in force once
 * the router has it.  An instance with a data folder keeps a durable copy.
 */

enum {
	CONFIG_TICK_US = 100000,
	NAMES_MAX = 4096, /* workspaces and versions ever named here */
	REVISION_BYTES = 8,
	LARGE_INSTANCES = 16, /* of one data centre, then: */
	LARGE_PERIOD_MS = 4000, /* between questions to the relay */
	LARGE_LEASE_MS = 12000 /* unheard for this long: isolated */
};

struct name {
	uint32_t hash;
	char text[CFG_NAME_BYTES];
};

struct config {
	struct node *node;
	struct cfgsync_node *node_side;
	struct loop_timer *tick;
	struct cfg *cfg;
	struct cfg *old; /* the router may still hold it during a step */
	struct section_list sections;
	struct name *names; /* for bills, which name things by hash */
	uint32_t name_count;
	uint64_t persisting;
};

/* Returns the compiled configuration in force, or NULL. */
const struct cfg *
node_cfg(const struct node *node)
{
	return node->config != NULL ? node->config->cfg : NULL;
}

/* Returns the sections in force, or NULL. */
const struct section_list *
node_sections(const struct node *node)
{
	return node->config != NULL ? &node->config->sections : NULL;
}

/* Returns whether the configuration lease is over. */
bool
node_isolated(const struct node *node)
{
	return node->config == NULL ||
	       cfgsync_node_isolated(
		   node->config->node_side, loop_now_us(node->loop));
}

/* Returns the revision in force. */
uint64_t
node_revision(const struct node *node)
{
	return node->config != NULL && node->config->cfg != NULL
		   ? node->config->cfg->revision
		   : 0;
}

/* Names a workspace, version or server between instances; 0 for no name. */
uint32_t
node_hash_name(const char *name)
{
	return name[0] != '\0' ? XXH32(name, strlen(name), 0) : 0;
}

/* Returns the name behind a hash of a workspace or version, or "?". */
const char *
node_name_of(const struct node *node, uint32_t hash)
{
	const struct config *config = node->config;

	for (uint32_t i = 0; config != NULL && i < config->name_count; i++) {
		if (config->names[i].hash == hash)
			return config->names[i].text;
	}
	return hash == 0 ? "" : "?";
}

static void
learn_name(struct config *config, const char *text)
{
	uint32_t hash = node_hash_name(text);

	for (uint32_t i = 0; i < config->name_count; i++) {
		if (config->names[i].hash == hash)
			return;
	}
	if (config->name_count == NAMES_MAX)
		return;
	config->names[config->name_count].hash = hash;
	snprintf(config->names[config->name_count++].text, CFG_NAME_BYTES, "%s",
	    text);
}

static void
learn_names(struct config *config)
{
	const struct cfg *cfg = config->cfg;

	for (uint16_t i = 0; i < cfg->workspace_count; i++)
		learn_name(config, cfg->workspaces[i].name);
	for (uint16_t i = 0; i < cfg->version_count; i++)
		learn_name(config, cfg->versions[i].name);
}

static void
use_replica_set(struct config *config)
{
	struct claim_replicas set;

	if (config->node->book != NULL &&
	    replica_set_read(&config->sections, &set))
		book_replicas(config->node->book, &set);
}

/* Hands the configuration in force to the children that start after this. */
void
node_in_force(struct node *node)
{
	struct config *config = node->config;

	if (config == NULL || config->cfg == NULL)
		return;
	use_replica_set(config);
	if (node->entry != NULL && entry_configure(node->entry, config->cfg))
		log_event(LOG_LEVEL_ERROR, "data_centre_unknown",
		    "data_centre=%s revision=%" PRIu64,
		    node->settings->data_centre, config->cfg->revision);
}

static void
put_in_force(
    struct config *config, uint64_t revision, const struct buf *document)
{
	const struct alloc *alloc = config->node->alloc;
	struct section_problems problems = {0};
	struct section_list sections;
	struct cfg *cfg = NULL;

	section_list_init(&sections, alloc);
	if (delta_read(document->data, document->len, &sections) == 0)
		cfg = compile_sections(
		    alloc, &sections, revision, config->cfg, &problems);
	if (cfg == NULL) {
		log_event(LOG_LEVEL_ERROR, "config_refused",
		    "revision=%" PRIu64 " problem=\"%s\"", revision,
		    problems.count > 0 ? problems.items[0].text : "malformed");
		section_list_free(&sections);
		return;
	}
	section_list_free(&config->sections);
	config->sections = sections;
	compile_free(alloc, config->old);
	config->old = config->cfg;
	config->cfg = cfg;
	learn_names(config);
	node_in_force(config->node);
	log_event(
	    LOG_LEVEL_INFO, "config_in_force", "revision=%" PRIu64, revision);
}

static void
tell_isolated(struct config *config, bool isolated)
{
	struct cf_event event = {.kind = CF_EV_ISOLATED};

	log_event(LOG_LEVEL_WARN, isolated ? "isolated" : "rejoined",
	    "revision=%" PRIu64, node_revision(config->node));
	event.u.isolated = isolated;
	if (config->node->entry != NULL)
		entry_handle_event(config->node->entry, &event);
}

static void
send_message(struct node *node, uint32_t to, const struct cfgsync_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, node->alloc);
	cfgsync_msg_encode(msg, &bytes);
	node_send(node, to, PEER_CONFIG, &bytes);
	buf_free(&bytes);
}

/* The record of a durable copy: the revision, then the document. */
static void
make_copy(uint64_t revision, const struct buf *document, struct buf *out)
{
	buf_add(out, &revision, REVISION_BYTES);
	buf_add(out, document->data, document->len);
}

static void
persist(struct config *config, const struct cfgsync_action *action)
{
	struct buf copy;

	if (config->node->state == NULL)
		return;
	buf_init(&copy, config->node->alloc);
	make_copy(action->revision, action->document, &copy);
	state_append(config->node->state, JNL_KIND_CFGDIST, copy.data, copy.len,
	    OWNER_CONFIG, action->revision);
	buf_free(&copy);
}

/* What the node side asks for; it must not be called back from here. */
static void
emit(void *ctx, const struct cfgsync_action *action)
{
	struct config *config = ctx;

	switch (action->kind) {
	case CFGSYNC_SEND:
		send_message(config->node, action->to, action->msg);
		break;
	case CFGSYNC_IN_FORCE:
		put_in_force(config, action->revision, action->document);
		break;
	case CFGSYNC_PERSIST:
		persist(config, action);
		break;
	case CFGSYNC_ISOLATED:
	case CFGSYNC_REJOINED:
		tell_isolated(config, action->kind == CFGSYNC_ISOLATED);
		break;
	}
}

/* What the source side of this instance's replica asks for. */
void
node_config_emit_source(void *ctx, const struct cfgsync_action *action)
{
	if (action->kind == CFGSYNC_SEND)
		send_message(ctx, action->to, action->msg);
}

/* Confirms what has come into force since the last time. */
static void
confirm(struct config *config)
{
	int64_t now_us = loop_now_us(config->node->loop);
	uint64_t revision = node_revision(config->node);

	if (revision > 0)
		cfgsync_node_set_in_force(config->node_side, now_us, revision);
}

static void
on_tick(void *ctx)
{
	struct config *config = ctx;

	cfgsync_node_tick(config->node_side, loop_now_us(config->node->loop));
	confirm(config);
	config->tick =
	    loop_after(config->node->loop, CONFIG_TICK_US, on_tick, config);
}

static bool
is_for_source(const struct cfgsync_msg *msg)
{
	return msg->kind == CFGSYNC_MSG_HAVE || msg->kind == CFGSYNC_MSG_WANT;
}

/* Whether an instance of this data centre asks this one as its relay. */
static bool
is_for_relay(const struct node *node, uint32_t from)
{
	const struct directory_entry *entry =
	    directory_find(node->directory, from);

	return entry != NULL && !entry->self && node_is_relay(node) &&
	       strcmp(entry->data_centre, node->settings->data_centre) == 0;
}

/* Takes a message of configuration distribution. */
void
node_config_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len)
{
	int64_t now_us = loop_now_us(node->loop);
	struct buf scratch;
	struct cfgsync_msg msg;

	buf_init(&scratch, node->alloc);
	if (cfgsync_msg_decode(&msg, data, len, &scratch) == 0) {
		if (is_for_source(&msg) && node->state != NULL &&
		    !is_for_relay(node, from))
			cfgsync_source_receive(
			    node->state->source, now_us, from, &msg);
		else if (node->config != NULL)
			cfgsync_node_receive(
			    node->config->node_side, now_us, from, &msg);
		if (node->config != NULL)
			confirm(node->config);
	}
	buf_free(&scratch);
}

/* The durable copy of a revision is synced. */
void
node_config_persisted(struct node *node, uint64_t revision)
{
	if (node->config != NULL)
		cfgsync_node_set_persisted(
		    node->config->node_side, loop_now_us(node->loop), revision);
}

/* Appends the durable copy for a journal snapshot; nothing if there is none. */
void
node_config_copy(const struct node *node, struct buf *out)
{
	if (node_revision(node) > 0)
		make_copy(node_revision(node),
		    cfgsync_node_document(node->config->node_side), out);
}

/* Counts the instances of this data centre. */
static uint32_t
count_here(const struct node *node)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < directory_count(node->directory); i++) {
		const struct directory_entry *e =
		    directory_at(node->directory, i);

		count +=
		    strcmp(e->data_centre, node->settings->data_centre) == 0;
	}
	return count;
}

static struct config *
config_new(struct node *node)
{
	struct config *config = alloc_zero(node->alloc, 1, sizeof(*config));
	struct cfgsync_options options = {.alloc = node->alloc,
	    .emit = emit,
	    .ctx = config,
	    .apply = delta_apply,
	    .instance = directory_self(node->directory)->number,
	    .incarnation = node->incarnation,
	    .disk = node->settings->data_dir[0] != '\0'};

	/* A relay answers each instance once a period. */
	if (count_here(node) > LARGE_INSTANCES) {
		options.period_ms = LARGE_PERIOD_MS;
		options.lease_ms = LARGE_LEASE_MS;
	}
	config->node = node;
	config->names = alloc_zero(node->alloc, NAMES_MAX, sizeof(struct name));
	section_list_init(&config->sections, node->alloc);
	config->node_side = cfgsync_node_new(&options);
	return config;
}

/* Takes a durable copy of the journal; the newest one stays. */
int
node_config_replay(struct node *node, const uint8_t *data, size_t len)
{
	struct buf document;
	uint64_t revision;

	if (len < REVISION_BYTES)
		return ERR_CORRUPT;
	memcpy(&revision, data, REVISION_BYTES);
	if (node->config == NULL)
		node->config = config_new(node);
	if (cfgsync_node_restore(node->config->node_side, revision,
		data + REVISION_BYTES, len - REVISION_BYTES) != 0)
		return 0;
	buf_init(&document, node->alloc);
	buf_add(&document, data + REVISION_BYTES, len - REVISION_BYTES);
	put_in_force(node->config, revision, &document);
	buf_free(&document);
	return 0;
}

/* Sets where this instance asks: its relay, or the replicas as the relay. */
void
node_config_relay(struct node *node, bool is_relay, uint32_t relay)
{
	uint32_t upstream[RLOG_INSTANCES_MAX];
	uint32_t count = 0;

	if (node->config == NULL)
		return;
	for (uint32_t i = 0; i < directory_count(node->directory); i++) {
		const struct directory_entry *e =
		    directory_at(node->directory, i);

		if (e->rank != DIRECTORY_NO_RANK && count < RLOG_INSTANCES_MAX)
			upstream[count++] = e->number;
	}
	/* Without a relay in sight, the replicas are asked directly. */
	if (!is_relay && relay != 0) {
		upstream[0] = relay;
		count = 1;
	}
	cfgsync_node_set_relay(node->config->node_side, is_relay);
	cfgsync_node_set_upstream(node->config->node_side, upstream, count);
}

static int
start(void *ctx)
{
	struct node *node = ctx;

	/* The replay of the state child may have made it already. */
	if (node->config == NULL)
		node->config = config_new(node);
	node_config_relay(node, false, 0);
	node->config->tick =
	    loop_after(node->loop, CONFIG_TICK_US, on_tick, node->config);
	return 0;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;
	struct config *config = node->config;

	node->config = NULL;
	loop_cancel(config->tick);
	cfgsync_node_free(config->node_side);
	compile_free(node->alloc, config->cfg);
	compile_free(node->alloc, config->old);
	section_list_free(&config->sections);
	alloc_free(node->alloc, config->names);
	alloc_free(node->alloc, config);
}

struct sup_child_spec
child_config(struct node *node)
{
	return (struct sup_child_spec){"config", start, stop, node};
}
