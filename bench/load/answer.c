#include <apr_strings.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "load.h"

/* Counts a name in a table of names. */
void
load_count(struct load *load, apr_hash_t *table, const char *name)
{
	uint64_t *count = apr_hash_get(table, name, APR_HASH_KEY_STRING);

	if (count == NULL) {
		count = apr_pcalloc(load->pool, sizeof(*count));
		apr_hash_set(table, apr_pstrdup(load->pool, name),
		    APR_HASH_KEY_STRING, count);
	}
	++*count;
}

/* Copies a header's value if the line is that header's. */
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

/* Takes one header line of an answer. */
size_t
answer_header(char *data, size_t size, size_t count, void *ctx)
{
	struct shot *shot = ctx;
	size_t len = size * count;

	read_header(data, len, "Celeryford-Request:", shot->request);
	read_header(data, len, "Celeryford-Version:", shot->version);
	return len;
}

/* Returns what follows a key and its colon in compact or spaced JSON. */
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

/* Notes the kind of an error body or error event. */
static void
read_error(struct shot *shot, const char *text)
{
	const char *kind = after_key(text, "\"kind\"");
	size_t len;

	if (kind == NULL || *kind != '"') {
		snprintf(shot->error, sizeof(shot->error), "unnamed");
		if (shot->load->counts.shown++ < LOAD_SHOWN_MAX)
			fprintf(stderr,
			    "cf-load: error without a kind: %.200s\n", text);
		return;
	}
	len = strcspn(++kind, "\"");
	if (len >= sizeof(shot->error))
		len = sizeof(shot->error) - 1;
	memcpy(shot->error, kind, len);
	shot->error[len] = '\0';
}

/* Takes one token's text: it starts or continues the latencies. */
static void
read_token(struct shot *shot, const char *text)
{
	struct load *load = shot->load;
	int64_t now_us = tool_loop_now_us();
	size_t len = strcspn(text, "\"");

	if (len == 0)
		return;
	buf_add(&shot->text, text, len);
	if (shot->first_us == 0) {
		shot->first_us = now_us;
		hist_add(&load->first_token, now_us - shot->intended_us);
	} else {
		hist_add(&load->between_tokens, now_us - shot->last_us);
	}
	shot->last_us = now_us;
	load->counts.tokens++;
}

/* Takes one line of a stream of server-sent events. */
static void
read_line(struct shot *shot, const char *line)
{
	const char *at;

	if (strncmp(line, "event:", 6) == 0) {
		shot->error_event = strstr(line, "error") != NULL;
		return;
	}
	/* A refused stream is answered with a JSON body instead. */
	if (strncmp(line, "data:", 5) == 0)
		line += 5;
	else if (line[0] != '{')
		return;
	if (shot->error_event || strstr(line, "\"error\"") != NULL) {
		read_error(shot, line);
		return;
	}
	if (strstr(line, "[DONE]") != NULL) {
		shot->done = true;
		return;
	}
	at = after_key(line, "\"completion_tokens\"");
	if (at != NULL)
		shot->usage_tokens = strtoll(at, NULL, 10);
	at = after_key(line, "\"content\"");
	if (at != NULL && *at == '"')
		read_token(shot, at + 1);
}

/* Takes a piece of an answer's body; a stream is read line by line. */
size_t
answer_data(char *data, size_t size, size_t count, void *ctx)
{
	struct shot *shot = ctx;
	size_t used = 0;
	char *end;

	buf_add(&shot->answer, data, size * count);
	if (shot->kind != SHOT_STREAM)
		return size * count;
	while ((end = memchr(shot->answer.data + used, '\n',
		    shot->answer.len - used)) != NULL) {
		*end = '\0';
		read_line(shot, (char *)shot->answer.data + used);
		used = (size_t)(end - (char *)shot->answer.data) + 1;
	}
	buf_consume(&shot->answer, used);
	return size * count;
}

/* Counts an answer for its version, and its verdict. */
static void
count_version(struct shot *shot, const char *text)
{
	struct load *load = shot->load;
	const char *name = shot->version[0] != '\0' ? shot->version : "unnamed";
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
	if (shot->session[0] == '\0' || shot->version[0] == '\0')
		return;
	known = apr_hash_get(
	    load->session_versions, shot->session, APR_HASH_KEY_STRING);
	if (known == NULL)
		apr_hash_set(load->session_versions,
		    apr_pstrdup(load->pool, shot->session), APR_HASH_KEY_STRING,
		    apr_pstrdup(load->pool, shot->version));
	else if (strcmp(known, shot->version) != 0)
		load->counts.session_moves++;
}

/* Hands the answer to the rating service, which judges its text. */
static void
send_to_rater(struct shot *shot, const char *text)
{
	const struct load_options *o = &shot->load->options;
	char url[512], body[LOAD_NAME_BYTES * 4];

	if (o->rater == NULL)
		return;
	snprintf(url, sizeof(url), "%s/v1/answers", o->rater);
	snprintf(body, sizeof(body),
	    "{\"workspace\":\"%.64s\",\"version\":\"%s\",\"task_class\":0,"
	    "\"text\":\"%.120s\"}",
	    o->workspace, shot->version, text);
	tool_loop_post_json(shot->load->loop, url, body, 5000, NULL, NULL);
}

/*
 * Checks that a text is the whole answer to its request: the engine starts it
 * with "re:" and the request's tag, ends it with "end", and counts its words.
 */
static void
check_text(struct shot *shot, const char *text)
{
	struct load_counts *counts = &shot->load->counts;
	size_t len = strlen(text), tag_len = strlen(shot->tag);
	int64_t words = len > 0;
	const char *at;

	for (at = text; *at != '\0'; at++)
		words += *at == ' ';
	if (strncmp(text, "re:", 3) != 0 ||
	    strncmp(text + 3, shot->tag, tag_len) != 0 ||
	    text[3 + tag_len] != ' ')
		counts->crossed++;
	if (len < 4 || strcmp(text + len - 4, " end") != 0 ||
	    (shot->usage_tokens >= 0 && words != shot->usage_tokens))
		counts->cut_as_whole++;
	count_version(shot, text);
	send_to_rater(shot, text);
}

/* Reads a whole chat completion and checks its text. */
static void
check_whole(struct shot *shot)
{
	json_t *root =
	    json_loadb(buf_text(&shot->answer), shot->answer.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const char *text = json_string_value(
	    json_object_get(json_object_get(choice, "message"), "content"));
	json_t *usage = json_object_get(
	    json_object_get(root, "usage"), "completion_tokens");

	if (usage != NULL)
		shot->usage_tokens = json_integer_value(usage);
	if (text == NULL) {
		shot->load->counts.cut_as_whole++;
	} else {
		shot->load->counts.tokens += (uint64_t)shot->usage_tokens;
		check_text(shot, text);
	}
	json_decref(root);
}

/* Counts an answer that came as a whole one, after checking that it is. */
static void
end_whole(struct shot *shot)
{
	struct load *load = shot->load;

	load->counts.ok++;
	hist_add(&load->whole, tool_loop_now_us() - shot->intended_us);
	if (shot->request[0] != '\0' && !shot->resend)
		load_count(load, load->requests, shot->request);
	if (shot->kind == SHOT_CHAT)
		check_whole(shot);
	else if (shot->kind == SHOT_STREAM && shot->done)
		check_text(shot, buf_text(&shot->text));
	else if (shot->kind == SHOT_STREAM)
		load->counts.cut_as_whole++;
}

/* Names the error of a transfer that brought no whole answer. */
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

/* Counts the end of a request: answered, refused with an error, or lost. */
void
answer_end(struct shot *shot, CURLcode code, long status)
{
	struct load *load = shot->load;
	struct target_counts *target = &load->counts.targets[shot->target];
	char name[LOAD_NAME_BYTES * 2];

	if (status > 0 && status < LOAD_STATUS_MAX)
		load->counts.status[status]++;
	if (status >= 400 && code == CURLE_OK && shot->error[0] == '\0')
		read_error(shot, buf_text(&shot->answer));
	if (shot->error[0] != '\0') {
		target->errors++;
		snprintf(name, sizeof(name), "%s%s",
		    shot->resend ? "resend:" : "", shot->error);
	} else if (code != CURLE_OK) {
		target->lost++;
		load->counts.lost++;
		if (code == CURLE_OPERATION_TIMEDOUT)
			load->counts.timeouts++;
		snprintf(name, sizeof(name), "%s", transport_error(code));
	} else {
		target->whole++;
		end_whole(shot);
		return;
	}
	load_count(load, load->errors, name);
}
