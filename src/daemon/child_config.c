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
 * The config child: this instance's copy of the configuration.  Configuration
 * distribution delivers a revision, which is compiled and is in force once the
 * router has it.  An instance with a data folder keeps a durable copy.
 */

enum {
	CONFIG_TICK_US = 100000,
	NAMES_MAX = 4096, /* workspaces and versions, also removed ones */
	REVISION_BYTES = 8,
	/* A data centre with more instances than this uses LARGE_*_MS. */
	LARGE_DATA_CENTRE_INSTANCES = 16,
	LARGE_PERIOD_MS = 4000, /* between requests to the relay */
	LARGE_LEASE_MS = 12000 /* isolated after this long without an answer */
};

/* A name with its hash; bills contain only the hash. */
struct hashed_name {
	uint32_t hash;
	char text[CFG_NAME_BYTES];
};

struct config {
	struct node *node;
	struct cfgsync_node *node_side;
	struct loop_timer *tick;
	struct cfg *cfg;
	struct cfg *old; /* previous; the router may use it during a step */
	struct section_list sections;
	struct hashed_name *names; /* for the export of bills */
	uint32_t name_count;
	uint64_t persisting; /* not used */
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

/* Returns whether the configuration lease has expired. */
bool
node_is_isolated(const struct node *node)
{
	return node->config == NULL ||
	       cfgsync_node_isolated(
		   node->config->node_side, loop_now_us(node->loop));
}

/* Returns the revision in force, 0 if there is none. */
uint64_t
node_config_revision(const struct node *node)
{
	return node->config != NULL && node->config->cfg != NULL
		   ? node->config->cfg->revision
		   : 0;
}

/*
 * Returns the hash by which instances refer to a workspace, version or server;
 * 0 for an empty name.
 */
uint32_t
node_hash_name(const char *name)
{
	return name[0] != '\0' ? XXH32(name, strlen(name), 0) : 0;
}

/*
 * Returns the name of the workspace or version with a hash, "" for hash 0, "?"
 * if it is unknown.
 */
const char *
node_name_from_hash(const struct node *node, uint32_t hash)
{
	const struct config *config = node->config;

	for (uint32_t i = 0; config != NULL && i < config->name_count; i++) {
		if (config->names[i].hash == hash)
			return config->names[i].text;
	}
	return hash == 0 ? "" : "?";
}

static void
add_name(struct config *config, const char *text)
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
add_config_names(struct config *config)
{
	const struct cfg *cfg = config->cfg;

	for (uint16_t i = 0; i < cfg->workspace_count; i++)
		add_name(config, cfg->workspaces[i].name);
	for (uint16_t i = 0; i < cfg->version_count; i++)
		add_name(config, cfg->versions[i].name);
}

static void
update_replica_set(struct config *config)
{
	struct claim_replicas set;

	if (config->node->request_records != NULL &&
	    replica_set_read(&config->sections, &set))
		request_records_set_replicas(
		    config->node->request_records, &set);
}

/* Gives the configuration in force to the claims and the entry child. */
void
node_distribute_config(struct node *node)
{
	struct config *config = node->config;

	if (config == NULL || config->cfg == NULL)
		return;
	update_replica_set(config);
	if (node->entry != NULL && entry_configure(node->entry, config->cfg))
		log_event(LOG_LEVEL_ERROR, "data_centre_unknown",
		    "data_centre=%s revision=%" PRIu64,
		    node->settings->data_centre, config->cfg->revision);
}

/*
 * Compiles a revision and puts it in force; a revision that does not compile is
 * logged and the previous one stays.
 */
static void
install_revision(
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
	add_config_names(config);
	node_distribute_config(config->node);
	log_event(
	    LOG_LEVEL_INFO, "config_in_force", "revision=%" PRIu64, revision);
}

static void
report_isolation(struct config *config, bool isolated)
{
	struct cf_event event = {.kind = CF_EV_ISOLATED};

	log_event(LOG_LEVEL_WARN, isolated ? "isolated" : "rejoined",
	    "revision=%" PRIu64, node_config_revision(config->node));
	event.u.isolated = isolated;
	if (config->node->entry != NULL)
		entry_handle_event(config->node->entry, &event);
}

static void
send_config_message(
    struct node *node, uint32_t to, const struct cfgsync_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, node->alloc);
	cfgsync_msg_encode(msg, &bytes);
	node_send(node, to, PEER_CONFIG, &bytes);
	buf_free(&bytes);
}

/* Appends the record of a durable copy: the revision, then the document. */
static void
append_copy(uint64_t revision, const struct buf *document, struct buf *out)
{
	buf_add(out, &revision, REVISION_BYTES);
	buf_add(out, document->data, document->len);
}

static void
persist_copy(
    struct config *config, uint64_t revision, const struct buf *document)
{
	struct buf copy;

	if (config->node->state == NULL)
		return;
	buf_init(&copy, config->node->alloc);
	append_copy(revision, document, &copy);
	state_append_record(config->node->state, JNL_KIND_CFGDIST, copy.data,
	    copy.len, OWNER_CONFIG, revision);
	buf_free(&copy);
}

/* Writes the durable copy that a failed data folder has not taken. */
void
node_config_persist_again(struct node *node)
{
	const struct cfgsync_node *side;

	if (node->config == NULL)
		return;
	side = node->config->node_side;
	if (cfgsync_node_persisted(side) < cfgsync_node_revision(side))
		persist_copy(node->config, cfgsync_node_revision(side),
		    cfgsync_node_document(side));
}

/*
 * Carries out an action of the receiving side of configuration distribution,
 * which must not be called from here.
 */
static void
run_node_action(void *ctx, const struct cfgsync_action *action)
{
	struct config *config = ctx;

	switch (action->kind) {
	case CFGSYNC_SEND:
		send_config_message(config->node, action->to, action->msg);
		break;
	case CFGSYNC_IN_FORCE:
		install_revision(config, action->revision, action->document);
		break;
	case CFGSYNC_PERSIST:
		persist_copy(config, action->revision, action->document);
		break;
	case CFGSYNC_ISOLATED:
	case CFGSYNC_REJOINED:
		report_isolation(config, action->kind == CFGSYNC_ISOLATED);
		break;
	}
}

/* Carries out an action of the configuration source of this replica. */
void
node_config_emit_source(void *ctx, const struct cfgsync_action *action)
{
	if (action->kind == CFGSYNC_SEND)
		send_config_message(ctx, action->to, action->msg);
}

/* Reports the revision in force to configuration distribution. */
static void
confirm_revision(struct config *config)
{
	int64_t now_us = loop_now_us(config->node->loop);
	uint64_t revision = node_config_revision(config->node);

	if (revision > 0)
		cfgsync_node_set_in_force(config->node_side, now_us, revision);
}

static void
on_tick(void *ctx)
{
	struct config *config = ctx;

	cfgsync_node_tick(config->node_side, loop_now_us(config->node->loop));
	confirm_revision(config);
	config->tick =
	    loop_after(config->node->loop, CONFIG_TICK_US, on_tick, config);
}

static bool
is_for_source(const struct cfgsync_msg *msg)
{
	return msg->kind == CFGSYNC_MSG_HAVE || msg->kind == CFGSYNC_MSG_WANT;
}

/*
 * Returns whether this instance is the relay and the sender is another
 * instance of its data centre.
 */
static bool
is_for_relay(const struct node *node, uint32_t from)
{
	const struct directory_entry *entry =
	    directory_find(node->directory, from);

	return entry != NULL && !entry->self && node_is_relay(node) &&
	       strcmp(entry->data_centre, node->settings->data_centre) == 0;
}

/*
 * Handles a message of configuration distribution: requests go to the source if
 * this instance has one and is not asked as a relay, all else to the receiving
 * side.
 */
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
			confirm_revision(node->config);
	}
	buf_free(&scratch);
}

/* Called when the durable copy of a revision is synced to disk. */
void
node_config_persisted(struct node *node, uint64_t revision)
{
	if (node->config != NULL)
		cfgsync_node_set_persisted(
		    node->config->node_side, loop_now_us(node->loop), revision);
}

/* Appends the durable copy for a journal snapshot; nothing if there is none. */
void
node_config_append_copy(const struct node *node, struct buf *out)
{
	if (node_config_revision(node) > 0)
		append_copy(node_config_revision(node),
		    cfgsync_node_document(node->config->node_side), out);
}

/* Counts the instances of this data centre. */
static uint32_t
count_local_instances(const struct node *node)
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
	    .emit = run_node_action,
	    .ctx = config,
	    .apply = delta_apply,
	    .instance = directory_self(node->directory)->number,
	    .incarnation = node->incarnation,
	    .disk = node->settings->data_dir[0] != '\0'};

	/*
	 * A relay answers each instance once per period, so a longer period
	 * limits its load.
	 */
	if (count_local_instances(node) > LARGE_DATA_CENTRE_INSTANCES) {
		options.period_ms = LARGE_PERIOD_MS;
		options.lease_ms = LARGE_LEASE_MS;
	}
	config->node = node;
	config->names =
	    alloc_zero(node->alloc, NAMES_MAX, sizeof(struct hashed_name));
	section_list_init(&config->sections, node->alloc);
	config->node_side = cfgsync_node_new(&options);
	return config;
}

/* Restores a durable copy from the journal; older ones are ignored. */
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
	install_revision(node->config, revision, &document);
	buf_free(&document);
	return 0;
}

/*
 * Sets which instances this one asks for revisions: its relay, or the replicas
 * if it is the relay itself or knows none (relay 0).
 */
void
node_config_set_relay(struct node *node, bool is_relay, uint32_t relay)
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
	/* If no relay is known, the replicas are asked directly. */
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

	/* The state child may have created it during its replay. */
	if (node->config == NULL)
		node->config = config_new(node);
	node_config_set_relay(node, false, 0);
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
