#include <jansson.h>
#include <string.h>

#include "base/err.h"
#include "daemon/directory.h"
#include "daemon/operator.h"
#include "daemon/state.h"

/*
 * Operators' requests that only read; the leader answers them in JSON, and the
 * export of bills as JSON lines.
 */

enum {
	UNCONFIRMED_MAX = 512,
	HISTORY_MAX = 200
};

static json_t *
section_json(const struct cfgstore_section *s)
{
	return json_pack("{s:s,s:s%,s:I,s:s,s:I}", "path", s->path, "text",
	    s->text, s->len, "revision", (json_int_t)s->revision, "author",
	    s->author, "when_us", (json_int_t)s->when_us);
}

static json_t *
document_json(const struct state *state)
{
	struct cfgstore_section section;
	json_t *list = json_array();

	for (size_t i = 0; cfgstore_section_at(state->cfgstore, i, &section);
	     i++)
		json_array_append_new(list, section_json(&section));
	return json_pack("{s:I,s:o}", "revision",
	    (json_int_t)cfgstore_revision(state->cfgstore), "sections", list);
}

static json_t *
history_json(const struct state *state)
{
	size_t count = cfgstore_history_count(state->cfgstore);
	size_t first = count > HISTORY_MAX ? count - HISTORY_MAX : 0;
	struct cfgstore_history entry;
	json_t *list = json_array();

	for (size_t i = first; cfgstore_history_at(state->cfgstore, i, &entry);
	     i++)
		json_array_append_new(
		    list, json_pack("{s:I,s:I,s:s,s:s,s:s,s:s}", "revision",
			      (json_int_t)entry.revision, "when_us",
			      (json_int_t)entry.when_us, "change_id", entry.id,
			      "author", entry.author, "team", entry.team,
			      "sections", entry.paths));
	return list;
}

/* Lists the instances that have not confirmed the revision asked for. */
static json_t *
unconfirmed_json(const struct state *state, const struct state_request *request)
{
	uint32_t numbers[UNCONFIRMED_MAX];
	json_t *body =
	    json_loadb(buf_text(&request->body), request->body.len, 0, NULL);
	uint64_t revision =
	    (uint64_t)json_integer_value(json_object_get(body, "revision"));
	size_t count = cfgsync_source_list_unconfirmed(
	    state->source, revision, numbers, UNCONFIRMED_MAX);
	json_t *list = json_array();

	for (size_t i = 0; i < count && i < UNCONFIRMED_MAX; i++) {
		const struct directory_entry *entry =
		    directory_find(state->node->directory, numbers[i]);

		if (entry != NULL)
			json_array_append_new(list, json_string(entry->name));
	}
	json_decref(body);
	return json_pack(
	    "{s:I,s:o}", "revision", (json_int_t)revision, "unconfirmed", list);
}

static json_t *
log_json(const struct state *state)
{
	static const char *const roles[] = {
	    "follower", "precandidate", "candidate", "leader"};
	struct rlog_status status;
	json_t *members = json_array();

	rlog_status(state->rlog, &status);
	for (size_t i = 0; i < status.member_count; i++) {
		const struct directory_entry *entry = directory_find_rank(
		    state->node->directory, status.members[i].instance);

		json_array_append_new(
		    members, json_pack("{s:s,s:b}", "instance",
				 entry != NULL ? entry->name : "?", "voter",
				 status.members[i].voter));
	}
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:o}", "role",
	    roles[status.role], "term", (json_int_t)status.term, "commit",
	    (json_int_t)status.commit, "applied", (json_int_t)status.applied,
	    "log_bytes", (json_int_t)status.log_bytes, "members", members);
}

static void
reply_text(
    struct state *state, struct state_request *request, const struct buf *text)
{
	operators_send_reply(state->node, request->from, request->id, 0, "",
	    text->data, text->len);
	state_drop_request(state, request);
}

static void
reply_bills(struct state *state, struct state_request *request)
{
	json_t *body =
	    json_loadb(buf_text(&request->body), request->body.len, 0, NULL);
	uint64_t after =
	    (uint64_t)json_integer_value(json_object_get(body, "after"));
	struct buf text;

	json_decref(body);
	buf_init(&text, state->node->alloc);
	if (request->kind == OPERATOR_BILLS)
		state_bills_append_export(state, after, &text);
	else
		state_bills_append_unsettled(state, &text);
	reply_text(state, request, &text);
	buf_free(&text);
}

/* Answers a read-only request and frees it; ERR_MALFORMED if unknown. */
void
state_answer_read(struct state *state, struct state_request *request)
{
	switch (request->kind) {
	case OPERATOR_DOCUMENT:
		state_reply(state, request, 0, document_json(state));
		break;
	case OPERATOR_HISTORY:
		state_reply(state, request, 0, history_json(state));
		break;
	case OPERATOR_UNCONFIRMED:
		state_reply(
		    state, request, 0, unconfirmed_json(state, request));
		break;
	case OPERATOR_LOG:
		state_reply(state, request, 0, log_json(state));
		break;
	case OPERATOR_BILLS:
	case OPERATOR_UNSETTLED:
		reply_bills(state, request);
		break;
	default:
		state_reply(state, request, ERR_MALFORMED, NULL);
		break;
	}
}
