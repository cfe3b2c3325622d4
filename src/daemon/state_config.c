#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "config/compile.h"
#include "config/delta.h"
#include "daemon/directory.h"
#include "daemon/operator.h"
#include "daemon/replica_set.h"
#include "daemon/state.h"

/*
 * The configuration store behind the replicated log, and operators' requests.
 *
 * The leader takes changes one at a time: each is checked against the document
 * that the one before it made, so that what compiles on its own also compiles
 * together.  A change is answered when its entry is applied.
 */

enum {
	REQUESTS_MAX = 64 /* waiting at the leader; more are refused */
};

static const char bootstrap_id[] = "bootstrap";
static const char stop_team[] = "(sequential test)"; /* no team is named so */

static void change_own(
    struct state *state, const char *id, const char *team, json_t *items);

/* The first change of a new set has no team; later ones have an owner. */
static bool
may_change(void *ctx, const struct cfgstore *cfgstore, const char *team,
    const char *path)
{
	struct section_list list;
	struct cfgstore_section section;
	bool owns;

	(void)ctx;
	if (strcmp(path, replica_set_path) == 0)
		return strcmp(team, replica_set_team) == 0;
	if (cfgstore_revision(cfgstore) == 0 || strcmp(team, stop_team) == 0)
		return true;
	section_list_init(&list, alloc_default());
	for (size_t i = 0; cfgstore_section_at(cfgstore, i, &section); i++)
		section_list_add(
		    &list, section.path, section.text, section.len, 1);
	owns = compile_team_owns(&list, team, path);
	section_list_free(&list);
	return owns;
}

/* Creates the store and the source of its distribution. */
void
state_config_new(struct state *state)
{
	struct node *node = state->node;
	struct cfgstore_options store = {
	    .alloc = node->alloc, .may_change = may_change, .ctx = state};
	struct cfgsync_options source = {.alloc = node->alloc,
	    .emit = node_config_emit_source,
	    .ctx = node,
	    .apply = delta_apply,
	    .instance = directory_self(node->directory)->number,
	    .incarnation = node->incarnation};

	state->cfgstore = cfgstore_new(&store);
	state->source = cfgsync_source_new(&source);
	for (uint32_t i = 0; i < directory_count(node->directory); i++)
		cfgsync_source_expect(
		    state->source, directory_at(node->directory, i)->number, 0);
}

/* Forgets a request. */
void
state_drop_request(struct state *state, struct state_request *request)
{
	struct state_request **at = &state->requests;

	while (*at != request)
		at = &(*at)->next;
	*at = request->next;
	buf_free(&request->body);
	alloc_free(state->node->alloc, request);
}

/* Releases the store; requests still waiting are answered by another asking. */
void
state_config_free(struct state *state)
{
	while (state->requests != NULL)
		state_drop_request(state, state->requests);
	cfgstore_free(state->cfgstore);
	cfgsync_source_free(state->source);
}

static void
add_to_delta(void *ctx, const struct cfgstore_section *section)
{
	delta_add(
	    ctx, section->path, section->text, section->len, section->removed);
}

/* Hands the newest document and what changed since a revision to the source. */
static void
publish(struct state *state, uint64_t before)
{
	struct cfgstore_section section;
	struct section_list sections;
	struct claim_replicas set;
	struct buf document, delta;
	bool has_delta;

	buf_init(&document, state->node->alloc);
	buf_init(&delta, state->node->alloc);
	for (size_t i = 0; cfgstore_section_at(state->cfgstore, i, &section);
	     i++)
		add_to_delta(&document, &section);
	has_delta = before > 0 && cfgstore_changes_since(state->cfgstore,
				      before, add_to_delta, &delta) == 0;
	section_list_init(&sections, state->node->alloc);
	if (delta_read(document.data, document.len, &sections) == 0 &&
	    replica_set_read(&sections, &set))
		state_claims_set(state, &set);
	section_list_free(&sections);
	cfgsync_source_accept(state->source, cfgstore_revision(state->cfgstore),
	    document.data, document.len, has_delta ? delta.data : NULL,
	    has_delta ? delta.len : 0);
	buf_free(&document);
	buf_free(&delta);
}

/* Answers a request and forgets it; takes the body over. */
void
state_reply(
    struct state *state, struct state_request *request, int error, json_t *body)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;

	operators_reply(state->node, request->from, request->id, error, "",
	    text, text != NULL ? strlen(text) : 0);
	free(text);
	json_decref(body);
	state_drop_request(state, request);
}

static json_t *
result_json(const struct cfgstore_result *result)
{
	json_t *json = json_pack("{s:s,s:I,s:b}", "result",
	    err_name(result->error), "revision", (json_int_t)result->revision,
	    "repeated", result->repeated);

	if (result->error != 0)
		json_object_set_new(json, "section", json_string(result->path));
	if (result->error == ERR_CONFLICT) {
		json_object_set_new(
		    json, "won_by", json_string(result->won_author));
		json_object_set_new(json, "won_revision",
		    json_integer((json_int_t)result->won_revision));
	}
	return json;
}

static void advance(struct state *state);

static struct state_request *
find_token(const struct state *state, uint64_t token)
{
	struct state_request *request = state->requests;

	while (request != NULL && (token == 0 || request->token != token))
		request = request->next;
	return request;
}

/* Applies a committed change, here as on every other replica. */
void
state_config_apply(struct state *state, uint64_t index, const void *data,
    size_t len, uint64_t token)
{
	struct state_request *request = find_token(state, token);
	uint64_t before = cfgstore_revision(state->cfgstore);
	struct cfgstore_result result;

	cfgstore_apply(state->cfgstore, index, data, len, &result);
	if (cfgstore_revision(state->cfgstore) != before) {
		log_event(LOG_LEVEL_INFO, "config_accepted",
		    "revision=%" PRIu64 " index=%" PRIu64,
		    cfgstore_revision(state->cfgstore), index);
		publish(state, before);
	}
	if (request != NULL)
		state_reply(state, request, result.error, result_json(&result));
	advance(state);
}

/* Replaces the store by an image of another replica or of a snapshot. */
int
state_config_restore(struct state *state, const void *data, size_t len)
{
	int error = cfgstore_restore_image(state->cfgstore, data, len);

	if (error == 0 && cfgstore_revision(state->cfgstore) > 0)
		publish(state, 0);
	return error;
}

/* A proposal ended without being applied here. */
void
state_config_refused(struct state *state, uint64_t token, int error)
{
	struct state_request *request = find_token(state, token);

	if (token == state->seal_token)
		state->seal_token = 0;
	if (request != NULL)
		state_reply(state, request,
		    error == ERR_NOT_LEADER ? ERR_NO_QUORUM : error, NULL);
}

static void
sections_of_store(const struct state *state, struct section_list *list)
{
	struct cfgstore_section section;

	section_list_init(list, state->node->alloc);
	for (size_t i = 0; cfgstore_section_at(state->cfgstore, i, &section);
	     i++)
		section_list_add(
		    list, section.path, section.text, section.len, 1);
}

static void
replace_section(struct section_list *list, const struct cfgstore_item *item)
{
	struct section_list next;

	section_list_init(&next, list->alloc);
	for (size_t i = 0; i < list->count; i++) {
		const struct section *s = &list->items[i];

		if (strcmp(s->path, item->path) != 0)
			section_list_add(
			    &next, s->path, s->text, strlen(s->text), s->line);
	}
	if (!item->remove)
		section_list_add(&next, item->path, item->text, item->len, 1);
	section_list_free(list);
	*list = next;
}

/* Compiles the document as a change would make it. */
static int
check_change(const struct state *state, const struct cfgstore_change *change,
    struct buf *report)
{
	struct section_problems problems = {0};
	struct section_list list;
	struct cfg *cfg;

	sections_of_store(state, &list);
	for (size_t i = 0; i < change->item_count; i++)
		replace_section(&list, &change->items[i]);
	cfg = compile_sections(state->node->alloc, &list, 0, NULL, &problems);
	section_list_free(&list);
	if (cfg == NULL) {
		section_problems_print(&problems, report);
		return ERR_INVALID;
	}
	compile_free(state->node->alloc, cfg);
	return 0;
}

struct parsed_change {
	json_t *json;
	struct cfgstore_item items[CFGSTORE_ITEMS_MAX];
	struct cfgstore_change change;
};

static int
parse_items(struct parsed_change *parsed, const json_t *list)
{
	size_t i;
	json_t *entry;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > CFGSTORE_ITEMS_MAX)
		return ERR_MALFORMED;
	json_array_foreach(list, i, entry)
	{
		struct cfgstore_item *item = &parsed->items[i];
		const json_t *text = json_object_get(entry, "text");

		item->path = json_string_value(json_object_get(entry, "path"));
		item->base_revision = (uint64_t)json_integer_value(
		    json_object_get(entry, "base_revision"));
		item->remove = json_is_null(text);
		item->text = json_string_value(text);
		item->len = json_string_length(text);
		if (item->path == NULL || strchr(item->path, '/') == NULL ||
		    (!item->remove && item->text == NULL))
			return ERR_MALFORMED;
	}
	parsed->change.items = parsed->items;
	parsed->change.item_count = json_array_size(list);
	return 0;
}

static int
parse_change(const struct state_request *request, struct parsed_change *parsed)
{
	parsed->json =
	    json_loadb(buf_text(&request->body), request->body.len, 0, NULL);
	parsed->change = (struct cfgstore_change){
	    .id = json_string_value(json_object_get(parsed->json, "change_id")),
	    .author = request->author,
	    .team = request->team,
	    .when_us = clock_wall_us()};
	if (parsed->change.id == NULL || parsed->change.id[0] == '\0' ||
	    strlen(parsed->change.id) >= CFGSTORE_NAME_BYTES)
		return ERR_MALFORMED;
	return parse_items(parsed, json_object_get(parsed->json, "items"));
}

static json_t *
problems_json(const char *problems)
{
	return json_pack(
	    "{s:s,s:s}", "result", err_name(ERR_INVALID), "problems", problems);
}

static void
propose(struct state *state, struct state_request *request,
    const struct cfgstore_change *change)
{
	struct buf bytes;

	buf_init(&bytes, state->node->alloc);
	/* The token must be known before the step that may refuse it. */
	request->token = state->next_token + 1;
	if (cfgstore_change_encode(change, &bytes) != 0)
		state_reply(state, request, ERR_MALFORMED, NULL);
	else
		state_log_propose(state, ENTRY_CHANGE, &bytes);
	buf_free(&bytes);
}

/* Checks and proposes the oldest change, if none is under way. */
static void
start_change(struct state *state, struct state_request *request)
{
	static struct parsed_change parsed;
	struct cfgstore_result earlier;
	struct buf report;
	int error = parse_change(request, &parsed);

	buf_init(&report, state->node->alloc);
	if (error != 0)
		state_reply(state, request, error, NULL);
	else if (cfgstore_get_answer(
		     state->cfgstore, parsed.change.id, &earlier))
		state_reply(
		    state, request, earlier.error, result_json(&earlier));
	else if (check_change(state, &parsed.change, &report) != 0)
		state_reply(state, request, ERR_INVALID,
		    problems_json(buf_text(&report)));
	else
		propose(state, request, &parsed.change);
	json_decref(parsed.json);
	buf_free(&report);
}

/*
 * An instance's sequential test failed a version: it is withdrawn everywhere.
 * Several instances may say so; the change id makes it one change.
 */
static void
stop_version(struct state *state, const char *name)
{
	const char *slash = strchr(name, '/');
	struct cfgstore_section section;
	char path[CFGSTORE_PATH_BYTES], id[CFGSTORE_NAME_BYTES];
	struct buf text;

	snprintf(path, sizeof(path), "versions/%s",
	    slash != NULL ? slash + 1 : name);
	if (!cfgstore_section_get(state->cfgstore, path, &section))
		return;
	buf_init(&text, state->node->alloc);
	if (delta_set_key(section.text, "state", "withdrawn", &text) == 0 &&
	    (text.len != section.len ||
		memcmp(text.data, section.text, text.len) != 0)) {
		snprintf(id, sizeof(id), "stop-%016" PRIx64,
		    XXH64(path, strlen(path), section.revision));
		log_event(LOG_LEVEL_WARN, "version_stopped",
		    "version=%s revision=%" PRIu64, name, section.revision);
		change_own(state, id, stop_team,
		    json_pack("[{s:s,s:I,s:s%}]", "path", path, "base_revision",
			(json_int_t)section.revision, "text", text.data,
			text.len));
	}
	buf_free(&text);
}

static bool
change_under_way(const struct state *state)
{
	for (const struct state_request *r = state->requests; r; r = r->next) {
		if (r->token != 0)
			return true;
	}
	return false;
}

/* Returns the oldest request that can be started now. */
static struct state_request *
next_request(const struct state *state)
{
	bool busy = change_under_way(state);
	struct state_request *r = state->requests;

	while (
	    r != NULL && (r->token != 0 || (busy && r->kind == OPERATOR_APPLY)))
		r = r->next;
	return r;
}

/* Starts what can be: reads at once, changes one after the other. */
static void
advance(struct state *state)
{
	struct state_request *request;

	while ((request = next_request(state)) != NULL) {
		if (request->kind == OPERATOR_APPLY) {
			start_change(state, request);
		} else if (request->kind == OPERATOR_STOP) {
			stop_version(state, buf_text(&request->body));
			state_reply(state, request, 0, NULL);
		} else {
			state_read(state, request);
		}
	}
}

static const char *
leader_name(const struct state *state)
{
	const struct directory_entry *leader = directory_find_rank(
	    state->node->directory, rlog_leader_instance(state->rlog));

	return leader != NULL ? leader->name : "";
}

/* Whether this replica leads and nobody else can. */
static bool
leads_now(const struct state *state)
{
	return !state->lost &&
	       rlog_lease_until_us(state->rlog) > clock_monotonic_us();
}

/* Takes an operator's request from an instance. */
void
state_operator(struct state *state, uint32_t from, uint64_t id, uint32_t kind,
    const char *team, const char *author, const void *body, size_t len)
{
	struct state_request *request, **at = &state->requests;
	size_t waiting = 0;

	if (!leads_now(state)) {
		operators_reply(state->node, from, id, ERR_NOT_LEADER,
		    leader_name(state), NULL, 0);
		return;
	}
	for (; *at != NULL; at = &(*at)->next) {
		waiting++;
		if (from != 0 && (*at)->from == from && (*at)->id == id)
			return;
	}
	if (waiting >= REQUESTS_MAX) {
		operators_reply(
		    state->node, from, id, ERR_NO_CAPACITY, "", NULL, 0);
		return;
	}
	request = alloc_zero(state->node->alloc, 1, sizeof(*request));
	request->from = from;
	request->id = id;
	request->kind = kind;
	snprintf(request->team, sizeof(request->team), "%s", team);
	snprintf(request->author, sizeof(request->author), "%s", author);
	buf_init(&request->body, state->node->alloc);
	buf_add(&request->body, body, len);
	*at = request;
	advance(state);
}

/* Lets the leader itself make a change, as an operator would. */
static void
change_own(struct state *state, const char *id, const char *team, json_t *items)
{
	json_t *json = json_pack("{s:s,s:o}", "change_id", id, "items", items);
	char *text = json_dumps(json, JSON_COMPACT);

	state_operator(
	    state, 0, 0, OPERATOR_APPLY, team, team, text, strlen(text));
	free(text);
	json_decref(json);
}

/* The leader of a set without a document proposes that of its settings. */
static void
bootstrap(struct state *state)
{
	const struct section_list *sections = &state->node->first;
	json_t *items;

	if (cfgstore_revision(state->cfgstore) > 0 || sections->count == 0)
		return;
	items = json_array();
	for (size_t i = 0; i < sections->count; i++)
		json_array_append_new(items,
		    json_pack("{s:s,s:i,s:s}", "path", sections->items[i].path,
			"base_revision", 0, "text", sections->items[i].text));
	change_own(state, bootstrap_id, bootstrap_id, items);
}

/* The leader writes down who the voters are, after each change of them. */
static void
record_voters(struct state *state)
{
	struct cfgstore_section current = {0};
	struct rlog_status status;
	char id[CFGSTORE_NAME_BYTES];
	struct buf text;

	if (cfgstore_revision(state->cfgstore) == 0)
		return;
	rlog_status(state->rlog, &status);
	cfgstore_section_get(state->cfgstore, replica_set_path, &current);
	buf_init(&text, state->node->alloc);
	if (replica_set_text(state->node->directory, &status, &text) &&
	    (current.len != text.len ||
		memcmp(current.text, text.data, text.len) != 0)) {
		snprintf(id, sizeof(id), "replicas-%" PRIu64 "-%" PRIu64,
		    status.members_index, current.revision);
		change_own(state, id, replica_set_team,
		    json_pack("[{s:s,s:I,s:s%}]", "path", replica_set_path,
			"base_revision", (json_int_t)current.revision, "text",
			text.data, text.len));
	}
	buf_free(&text);
}

/* Leadership came or went; who waited at the old leader asks the new one. */
void
state_config_leader(struct state *state, bool is_leader)
{
	if (is_leader)
		return;
	state->seal_token = 0;
	while (state->requests != NULL) {
		struct state_request *request = state->requests;

		operators_reply(state->node, request->from, request->id,
		    request->token == 0 ? ERR_NOT_LEADER : ERR_TIMEOUT,
		    leader_name(state), NULL, 0);
		state_drop_request(state, request);
	}
}

/* Does what the leader owes from time to time. */
void
state_config_tick(struct state *state)
{
	if (!leads_now(state))
		return;
	cfgsync_source_set_fresh_until(
	    state->source, rlog_lease_until_us(state->rlog));
	if (!change_under_way(state)) {
		bootstrap(state);
		record_voters(state);
	}
	advance(state);
}
