#include <apr_strings.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "load.h"

/* Increments the count of a name in a table; a new name starts at 0. */
void
load_count_name(struct load *load, apr_hash_t *table, const char *name)
{
	uint64_t *count = apr_hash_get(table, name, APR_HASH_KEY_STRING);

	if (count == NULL) {
		count = apr_pcalloc(load->pool, sizeof(*count));
		apr_hash_set(table, apr_pstrdup(load->pool, name),
		    APR_HASH_KEY_STRING, count);
	}
	++*count;
}

/*
 * Copies a header's value to a field of LOAD_NAME_BYTES if the line holds that
 * header; a longer value is truncated.
 */
static void
read_header(const char *line, size_t len, const char *name, char *to)
{
	size_t name_len = strlen(name);

	if (len <= name_len || strncasecmp(line, name, name_len) != 0)
		return;
	line += name_len;
	len -= name_len;
	while (len > 0 && *line == ' ') {
		line++;
		len--;
	}
	while (len > 0 && (line[len - 1] == '\n' || line[len - 1] == '\r'))
		len--;
	if (len >= LOAD_NAME_BYTES)
		len = LOAD_NAME_BYTES - 1;
	memcpy(to, line, len);
	to[len] = '\0';
}

/* Header callback of libcurl: reads one header line of an answer. */
size_t
answer_read_header(char *data, size_t size, size_t count, void *ctx)
{
	struct load_request *req = ctx;
	size_t len = size * count;

	read_header(data, len, "Celeryford-Request:", req->request_id);
	read_header(data, len, "Celeryford-Version:", req->version);
	return len;
}

/*
 * Returns the text after a quoted key and its colon, in JSON with or without
 * spaces; NULL if the key is absent.
 */
static const char *
after_key(const char *text, const char *key)
{
	const char *at = strstr(text, key);

	if (at == NULL)
		return NULL;
	at += strlen(key);
	while (*at == ' ' || *at == ':')
		at++;
	return at;
}

/*
 * Stores the kind of an error body or error event.  The first few errors
 * without a kind are printed.
 */
static void
read_error(struct load_request *req, const char *text)
{
	const char *kind = after_key(text, "\"kind\"");
	size_t len;

	if (kind == NULL || *kind != '"') {
		snprintf(req->error, sizeof(req->error), "unnamed");
		if (req->load->counts.unnamed_printed++ <
		    LOAD_PRINTED_ERRORS_MAX)
			fprintf(stderr,
			    "cf-load: error without a kind: %.200s\n", text);
		return;
	}
	len = strcspn(++kind, "\"");
	if (len >= sizeof(req->error))
		len = sizeof(req->error) - 1;
	memcpy(req->error, kind, len);
	req->error[len] = '\0';
}

/*
 * Appends one token to the text of a stream and records the time to the first
 * token or the time since the previous one.
 */
static void
read_token(struct load_request *req, const char *text)
{
	struct load *load = req->load;
	int64_t now_us = tool_loop_now_us();
	size_t len = strcspn(text, "\"");

	if (len == 0)
		return;
	buf_add(&req->text, text, len);
	if (req->first_us == 0) {
		req->first_us = now_us;
		hist_add(&load->first_token, now_us - req->intended_us);
	} else {
		hist_add(&load->between_tokens, now_us - req->last_us);
	}
	req->last_us = now_us;
	load->counts.tokens++;
}

/* Reads one line of a stream of server-sent events. */
static void
read_event_line(struct load_request *req, const char *line)
{
	const char *at;

	if (strncmp(line, "event:", 6) == 0) {
		req->error_event = strstr(line, "error") != NULL;
		return;
	}
	/* The answer to a refused stream is a JSON body without events. */
	if (strncmp(line, "data:", 5) == 0)
		line += 5;
	else if (line[0] != '{')
		return;
	if (req->error_event || strstr(line, "\"error\"") != NULL) {
		read_error(req, line);
		return;
	}
	if (strstr(line, "[DONE]") != NULL) {
		req->done = true;
		return;
	}
	at = after_key(line, "\"completion_tokens\"");
	if (at != NULL)
		req->usage_tokens = strtoll(at, NULL, 10);
	at = after_key(line, "\"content\"");
	if (at != NULL && *at == '"')
		read_token(req, at + 1);
}

/*
 * Write callback of libcurl: buffers a part of an answer's body.  The complete
 * lines of a stream are read at once.
 */
size_t
answer_read_body(char *data, size_t size, size_t count, void *ctx)
{
	struct load_request *req = ctx;
	size_t used = 0;
	char *end;

	buf_add(&req->answer, data, size * count);
	if (req->kind != LOAD_REQUEST_STREAM)
		return size * count;
	while ((end = memchr(req->answer.data + used, '\n',
		    req->answer.len - used)) != NULL) {
		*end = '\0';
		read_event_line(req, (char *)req->answer.data + used);
		used = (size_t)(end - (char *)req->answer.data) + 1;
	}
	buf_consume(&req->answer, used);
	return size * count;
}

/*
 * Counts an answer and its verdict under the version that gave it, and a
 * session move if the session's first answer came from another version.
 */
static void
count_version(struct load_request *req, const char *text)
{
	struct load *load = req->load;
	const char *name = req->version[0] != '\0' ? req->version : "unnamed";
	struct version_counts *counts =
	    apr_hash_get(load->versions, name, APR_HASH_KEY_STRING);
	char *known;

	if (counts == NULL) {
		counts = apr_pcalloc(load->pool, sizeof(*counts));
		apr_hash_set(load->versions, apr_pstrdup(load->pool, name),
		    APR_HASH_KEY_STRING, counts);
	}
	counts->answers++;
	counts->passed += strstr(text, " pass") != NULL;
	if (req->session[0] == '\0' || req->version[0] == '\0')
		return;
	known = apr_hash_get(
	    load->session_versions, req->session, APR_HASH_KEY_STRING);
	if (known == NULL)
		apr_hash_set(load->session_versions,
		    apr_pstrdup(load->pool, req->session), APR_HASH_KEY_STRING,
		    apr_pstrdup(load->pool, req->version));
	else if (strcmp(known, req->version) != 0)
		load->counts.session_moves++;
}

/* Posts an answer to the rating service, if there is one, to be rated. */
static void
send_to_rater(struct load_request *req, const char *text)
{
	const struct load_options *o = &req->load->options;
	char url[512], body[LOAD_NAME_BYTES * 4];

	if (o->rater == NULL)
		return;
	snprintf(url, sizeof(url), "%s/v1/answers", o->rater);
	snprintf(body, sizeof(body),
	    "{\"workspace\":\"%.64s\",\"version\":\"%s\",\"task_class\":0,"
	    "\"text\":\"%.120s\"}",
	    o->workspace, req->version, text);
	tool_loop_post_json(req->load->loop, url, body, 5000, NULL, NULL);
}

/*
 * Checks that a text is the complete answer to its own request: the engine
 * starts it with "re:" and the request's tag, ends it with "end", and reports
 * the number of its words as the usage.
 */
static void
check_text(struct load_request *req, const char *text)
{
	struct load_counts *counts = &req->load->counts;
	size_t len = strlen(text), tag_len = strlen(req->tag);
	int64_t words = len > 0;
	const char *at;

	for (at = text; *at != '\0'; at++)
		words += *at == ' ';
	if (strncmp(text, "re:", 3) != 0 ||
	    strncmp(text + 3, req->tag, tag_len) != 0 ||
	    text[3 + tag_len] != ' ')
		counts->crossed++;
	if (len < 4 || strcmp(text + len - 4, " end") != 0 ||
	    (req->usage_tokens >= 0 && words != req->usage_tokens))
		counts->cut_as_whole++;
	count_version(req, text);
	send_to_rater(req, text);
}

/* Parses the chat completion of a request without a stream; checks its text. */
static void
check_whole_chat(struct load_request *req)
{
	json_t *root =
	    json_loadb(buf_text(&req->answer), req->answer.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const char *text = json_string_value(
	    json_object_get(json_object_get(choice, "message"), "content"));
	json_t *usage = json_object_get(
	    json_object_get(root, "usage"), "completion_tokens");

	if (usage != NULL)
		req->usage_tokens = json_integer_value(usage);
	if (text == NULL) {
		req->load->counts.cut_as_whole++;
	} else {
		req->load->counts.tokens += (uint64_t)req->usage_tokens;
		check_text(req, text);
	}
	json_decref(root);
}

/* Counts an answer that was presented as complete, and checks that it is. */
static void
count_whole_answer(struct load_request *req)
{
	struct load *load = req->load;

	load->counts.ok++;
	hist_add(&load->whole, tool_loop_now_us() - req->intended_us);
	if (req->request_id[0] != '\0' && !req->resend)
		load_count_name(load, load->requests, req->request_id);
	if (req->kind == LOAD_REQUEST_CHAT)
		check_whole_chat(req);
	else if (req->kind == LOAD_REQUEST_STREAM && req->done)
		check_text(req, buf_text(&req->text));
	else if (req->kind == LOAD_REQUEST_STREAM)
		load->counts.cut_as_whole++;
}

/* Returns the report's name for a transfer that failed with this code. */
static const char *
transport_error(CURLcode code)
{
	switch (code) {
	case CURLE_COULDNT_CONNECT:
		return "no_target";
	case CURLE_OPERATION_TIMEDOUT:
		return "timeout_of_caller";
	case CURLE_GOT_NOTHING:
		return "no_answer";
	default:
		return "cut";
	}
}

/*
 * Counts the result of a finished request: a complete answer, an error answer
 * or event, or a failed transfer.
 */
void
answer_count_result(struct load_request *req, CURLcode code, long status)
{
	struct load *load = req->load;
	struct target_counts *target = &load->counts.targets[req->target];
	char name[LOAD_NAME_BYTES * 2];

	if (status > 0 && status < LOAD_STATUS_MAX)
		load->counts.status[status]++;
	if (status >= 400 && code == CURLE_OK && req->error[0] == '\0')
		read_error(req, buf_text(&req->answer));
	if (req->error[0] != '\0') {
		target->errors++;
		snprintf(name, sizeof(name), "%s%s",
		    req->resend ? "resend:" : "", req->error);
	} else if (code != CURLE_OK) {
		target->lost++;
		load->counts.lost++;
		if (code == CURLE_OPERATION_TIMEDOUT)
			load->counts.timeouts++;
		snprintf(name, sizeof(name), "%s", transport_error(code));
	} else {
		target->whole++;
		count_whole_answer(req);
		return;
	}
	load_count_name(load, load->errors, name);
}
