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
 * The leader processes one change at a time and checks each against the
 * document that results from the previous one.  Otherwise two changes that
 * compile on their own might not compile together.  A change is answered when
 * its log entry is applied.
 */

enum {
	REQUESTS_MAX = 64 /* unanswered at the leader; more are refused */
};

static const char bootstrap_id[] = "bootstrap";
/* The team that withdraws versions; not a valid name of a team. */
static const char sequential_test_team[] = "(sequential test)";

static void submit_own_change(
    struct state *state, const char *id, const char *team, json_t *items);

/*
 * Returns whether a team may change a section.  The first change of a new
 * replica set has no team that owns sections yet and is allowed; after it the
 * team must own the section.  Only the leader itself writes the replica set,
 * and the sequential test may withdraw any version.
 */
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
	if (cfgstore_revision(cfgstore) == 0 ||
	    strcmp(team, sequential_test_team) == 0)
		return true;
	section_list_init(&list, alloc_default());
	for (size_t i = 0; cfgstore_section_at(cfgstore, i, &section); i++)
		section_list_add(
		    &list, section.path, section.text, section.len, 1);
	owns = compile_team_owns(&list, team, path);
	section_list_free(&list);
	return owns;
}

/* Creates the store and the source that distributes its revisions. */
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

/* Removes a request from the list and frees it, without an answer. */
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

/*
 * Frees the store and the unanswered requests; the instances that sent them
 * ask again.
 */
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

/*
 * Passes the newest document to the source, with the delta since a revision if
 * the store still has it (0: no delta), and updates the claims' replica set.
 */
static void
publish_document(struct state *state, uint64_t before)
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
		state_claims_set_replicas(state, &set);
	section_list_free(&sections);
	cfgsync_source_accept(state->source, cfgstore_revision(state->cfgstore),
	    document.data, document.len, has_delta ? delta.data : NULL,
	    has_delta ? delta.len : 0);
	buf_free(&document);
	buf_free(&delta);
}

/* Answers a request and frees it; takes ownership of body. */
void
state_reply(
    struct state *state, struct state_request *request, int error, json_t *body)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;

	operators_send_reply(state->node, request->from, request->id, error, "",
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

static void start_requests(struct state *state);

static struct state_request *
find_request_by_token(const struct state *state, uint64_t token)
{
	struct state_request *request = state->requests;

	while (request != NULL && (token == 0 || request->token != token))
		request = request->next;
	return request;
}

/* Applies a committed change, which every replica does in the same order. */
void
state_config_apply(struct state *state, uint64_t index, const void *data,
    size_t len, uint64_t token)
{
	struct state_request *request = find_request_by_token(state, token);
	uint64_t before = cfgstore_revision(state->cfgstore);
	struct cfgstore_result result;

	cfgstore_apply(state->cfgstore, index, data, len, &result);
	if (cfgstore_revision(state->cfgstore) != before) {
		log_event(LOG_LEVEL_INFO, "config_accepted",
		    "revision=%" PRIu64 " index=%" PRIu64,
		    cfgstore_revision(state->cfgstore), index);
		publish_document(state, before);
	}
	if (request != NULL)
		state_reply(state, request, result.error, result_json(&result));
	start_requests(state);
}

/* Replaces the store by the image of another replica or of a snapshot. */
int
state_config_restore(struct state *state, const void *data, size_t len)
{
	int error = cfgstore_restore_image(state->cfgstore, data, len);

	if (error == 0 && cfgstore_revision(state->cfgstore) > 0)
		publish_document(state, 0);
	return error;
}

/*
 * Ends the change or the seal whose proposal was refused or ended without being
 * applied here.
 */
void
state_config_end_proposal(struct state *state, uint64_t token, int error)
{
	struct state_request *request = find_request_by_token(state, token);

	if (token == state->seal_token)
		state->seal_token = 0;
	if (request != NULL)
		state_reply(state, request,
		    error == ERR_NOT_LEADER ? ERR_NO_QUORUM : error, NULL);
}

static void
copy_store_sections(const struct state *state, struct section_list *list)
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

/*
 * Compiles the document that a change results in.  Returns ERR_INVALID, with
 * the problems in report, if it does not compile.
 */
static int
check_change(const struct state *state, const struct cfgstore_change *change,
    struct buf *report)
{
	struct section_problems problems = {0};
	struct section_list list;
	struct cfg *cfg;

	copy_store_sections(state, &list);
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
propose_change(struct state *state, struct state_request *request,
    const struct cfgstore_change *change)
{
	struct buf bytes;

	buf_init(&bytes, state->node->alloc);
	/* Set first: the proposal may be refused within the call below. */
	request->token = state->last_token + 1;
	if (cfgstore_change_encode(change, &bytes) != 0)
		state_reply(state, request, ERR_MALFORMED, NULL);
	else
		state_log_propose(state, ENTRY_CHANGE, &bytes);
	buf_free(&bytes);
}

/*
 * Checks and proposes a change.  A change id that was applied before gets its
 * earlier answer.
 */
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
		propose_change(state, request, &parsed.change);
	json_decref(parsed.json);
	buf_free(&report);
}

/*
 * Withdraws a version everywhere after it failed the sequential test of an
 * instance.  Several instances may report the failure; they get the same change
 * id, so that only one change is made.
 */
static void
withdraw_version(struct state *state, const char *name)
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
		submit_own_change(state, id, sequential_test_team,
		    json_pack("[{s:s,s:I,s:s%}]", "path", path, "base_revision",
			(json_int_t)section.revision, "text", text.data,
			text.len));
	}
	buf_free(&text);
}

/*
 * Handles a report that a version failed.  The request is answered, and so
 * forgotten, first: the change that withdraws the version starts requests too.
 */
static void
stop_version(struct state *state, struct state_request *request)
{
	struct buf name = request->body;

	buf_init(&request->body, state->node->alloc);
	state_reply(state, request, 0, NULL);
	withdraw_version(state, buf_text(&name));
	buf_free(&name);
}

static bool
is_change_in_progress(const struct state *state)
{
	for (const struct state_request *r = state->requests; r; r = r->next) {
		if (r->token != 0)
			return true;
	}
	return false;
}

/*
 * Returns the oldest request that can be started now, or NULL: a change waits
 * while another is in progress.
 */
static struct state_request *
next_request(const struct state *state)
{
	bool changing = is_change_in_progress(state);
	struct state_request *r = state->requests;

	while (r != NULL &&
	       (r->token != 0 || (changing && r->kind == OPERATOR_APPLY)))
		r = r->next;
	return r;
}

/* Answers reads at once, and starts a change if none is in progress. */
static void
start_requests(struct state *state)
{
	struct state_request *request;

	while ((request = next_request(state)) != NULL) {
		if (request->kind == OPERATOR_APPLY) {
			start_change(state, request);
		} else if (request->kind == OPERATOR_STOP) {
			stop_version(state, request);
		} else {
			state_answer_read(state, request);
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

/* Returns whether this replica leads and its lease excludes other leaders. */
static bool
has_leader_lease(const struct state *state)
{
	return !state->journal_failed &&
	       rlog_lease_until_us(state->rlog) > clock_monotonic_us();
}

/*
 * Handles an operator's request that an instance (from 0: the leader itself)
 * sent.  Answers ERR_NOT_LEADER with the leader's name if this replica does not
 * lead, ERR_NO_CAPACITY if REQUESTS_MAX wait; ignores a request that waits
 * already.
 */
void
state_receive_request(struct state *state, uint32_t from, uint64_t id,
    uint32_t kind, const char *team, const char *author, const void *body,
    size_t len)
{
	struct state_request *request, **at = &state->requests;
	size_t waiting = 0;

	if (!has_leader_lease(state)) {
		operators_send_reply(state->node, from, id, ERR_NOT_LEADER,
		    leader_name(state), NULL, 0);
		return;
	}
	for (; *at != NULL; at = &(*at)->next) {
		waiting++;
		if (from != 0 && (*at)->from == from && (*at)->id == id)
			return;
	}
	if (waiting >= REQUESTS_MAX) {
		operators_send_reply(
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
	start_requests(state);
}

/* Submits a change of the leader itself; takes ownership of items. */
static void
submit_own_change(
    struct state *state, const char *id, const char *team, json_t *items)
{
	json_t *json = json_pack("{s:s,s:o}", "change_id", id, "items", items);
	char *text = json_dumps(json, JSON_COMPACT);

	state_receive_request(
	    state, 0, 0, OPERATOR_APPLY, team, team, text, strlen(text));
	free(text);
	json_decref(json);
}

/* Proposes the document of --config if the replica set has none yet. */
static void
propose_initial_document(struct state *state)
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
	submit_own_change(state, bootstrap_id, bootstrap_id, items);
}

/* Proposes the section of the replica set if the voters have changed. */
static void
propose_replica_set(struct state *state)
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
	if (replica_set_append_text(state->node->directory, &status, &text) &&
	    (current.len != text.len ||
		memcmp(current.text, text.data, text.len) != 0)) {
		snprintf(id, sizeof(id), "replicas-%" PRIu64 "-%" PRIu64,
		    status.members_index, current.revision);
		submit_own_change(state, id, replica_set_team,
		    json_pack("[{s:s,s:I,s:s%}]", "path", replica_set_path,
			"base_revision", (json_int_t)current.revision, "text",
			text.data, text.len));
	}
	buf_free(&text);
}

/*
 * Called when the leader changes.  A replica that does not lead answers its
 * waiting requests: ERR_NOT_LEADER if not proposed yet, else ERR_TIMEOUT since
 * the outcome is unknown.  The askers turn to the new leader.
 */
void
state_config_on_leader_change(struct state *state, bool is_leader)
{
	if (is_leader)
		return;
	state->seal_token = 0;
	while (state->requests != NULL) {
		struct state_request *request = state->requests;

		operators_send_reply(state->node, request->from, request->id,
		    request->token == 0 ? ERR_NOT_LEADER : ERR_TIMEOUT,
		    leader_name(state), NULL, 0);
		state_drop_request(state, request);
	}
}

/*
 * Periodic work of the leader: extends the lease of the configuration source,
 * makes its own changes and starts waiting requests.
 */
void
state_config_tick(struct state *state)
{
	if (!has_leader_lease(state))
		return;
	cfgsync_source_set_fresh_until(
	    state->source, rlog_lease_until_us(state->rlog));
	if (!is_change_in_progress(state)) {
		propose_initial_document(state);
		propose_replica_set(state);
	}
	start_requests(state);
}
