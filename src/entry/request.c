#include "entry/request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "config/compile.h"

enum {
	BYTES_PER_TOKEN = 4, /* to estimate prompt tokens */
	OUTPUT_TOKENS_DEFAULT = 512,
	TASK_CLASSES = 16,
	SERVICE_PREFIX_BYTES = 13, /* "/v1/services/" */
	US_PER_MS = 1000
};

static const char bearer[] = "Bearer ";

/* Returns the workspace of the request's API key, or ERR_NO_KEY. */
int
request_workspace(const struct http_server_exchange *x, const struct cfg *cfg)
{
	const char *auth = http_server_header(x, "Authorization");
	int workspace;

	if (auth == NULL || strncmp(auth, bearer, sizeof(bearer) - 1) != 0)
		return ERR_NO_KEY;
	workspace = cfg_find_workspace_by_key(cfg, auth + sizeof(bearer) - 1);
	return workspace >= 0 ? workspace : ERR_NO_KEY;
}

/*
 * Parses a header as a decimal integer of at most max; a missing header yields
 * fallback.  Returns 0 or ERR_MALFORMED.
 */
static int
header_number(const struct http_server_exchange *x, const char *name,
    uint32_t max, uint32_t fallback, uint32_t *out)
{
	const char *text = http_server_header(x, name);
	char *end;
	unsigned long value;

	*out = fallback;
	if (text == NULL)
		return 0;
	value = strtoul(text, &end, 10);
	if (text[0] < '0' || text[0] > '9' || *end != '\0' || value > max)
		return ERR_MALFORMED;
	*out = (uint32_t)value;
	return 0;
}

/*
 * Parses "ID" or "ID@REVISION".  The answer names the configuration revision at
 * which the session began.  If the caller sends it back, any instance chooses
 * the same version, even one that has no binding for the session.
 */
static void
parse_session(
    const char *text, const struct cfg *cfg, struct request_parse *parse)
{
	const char *at = strrchr(text, '@');
	struct cf_request *out = &parse->out;
	char *end = NULL;

	out->session_birth = cfg->revision;
	if (at != NULL && at[1] >= '0' && at[1] <= '9') {
		unsigned long long birth = strtoull(at + 1, &end, 10);

		if (*end == '\0' && birth <= cfg->revision)
			out->session_birth = birth;
	}
	snprintf(parse->session, sizeof(parse->session), "%.*s",
	    (int)(end != NULL && *end == '\0' ? (size_t)(at - text)
					      : strlen(text)),
	    text);
	out->session =
	    XXH64(parse->session, strlen(parse->session), out->workspace + 1);
}

static int
parse_headers(const struct http_server_exchange *x, const struct cfg *cfg,
    int64_t now_us, struct request_parse *parse)
{
	struct cf_request *out = &parse->out;
	const char *session = http_server_header(x, "Celeryford-Session");
	uint32_t deadline_ms, task_class;
	int workspace = request_workspace(x, cfg);

	parse->param = "Authorization";
	if (workspace < 0)
		return workspace;
	out->workspace = (uint16_t)workspace;
	parse->param = "Celeryford-Deadline-Ms";
	if (header_number(x, parse->param, REQUEST_DEADLINE_MAX_MS,
		cfg->workspaces[workspace].deadline_ms, &deadline_ms) != 0)
		return ERR_MALFORMED;
	out->deadline_us = now_us + (int64_t)deadline_ms * US_PER_MS;
	parse->param = "Celeryford-Task-Class";
	if (header_number(x, parse->param, TASK_CLASSES - 1, 0, &task_class) !=
	    0)
		return ERR_MALFORMED;
	out->task_class = (uint16_t)task_class;
	parse->param = "Celeryford-Session";
	if (session != NULL && strlen(session) > REQUEST_SESSION_BYTES)
		return ERR_HEADER;
	if (session != NULL)
		parse_session(session, cfg, parse);
	parse->key = http_server_header(x, "Idempotency-Key");
	parse->param = "Idempotency-Key";
	if (parse->key != NULL &&
	    (parse->key[0] == '\0' || strlen(parse->key) > REQUEST_KEY_BYTES))
		return ERR_HEADER;
	out->once = parse->key != NULL;
	out->fingerprint =
	    XXH64(http_server_body(x)->data, http_server_body(x)->len, 0);
	parse->param = NULL;
	return 0;
}

/* Resolves "auto", "MODEL" or "MODEL/VERSION". */
static int
parse_model(const json_t *root, const struct cfg *cfg, struct cf_request *out)
{
	const char *name = json_string_value(json_object_get(root, "model"));
	int found;

	out->model = CFG_NONE;
	out->version = CFG_NONE;
	if (name == NULL)
		return ERR_MALFORMED;
	if (strcmp(name, "auto") == 0)
		return 0;
	found = cfg_find_version(cfg, name);
	if (found >= 0 && cfg->versions[found].present) {
		out->version = (uint16_t)found;
		out->model = cfg->versions[found].model;
		return 0;
	}
	found = cfg_find_model(cfg, name);
	if (found < 0 || !cfg->models[found].present)
		return ERR_UNKNOWN_MODEL;
	out->model = (uint16_t)found;
	return 0;
}

static void
add_prefix(struct cf_request *out, uint64_t hash)
{
	if (out->prefix_count < CF_PREFIXES_MAX)
		out->prefixes[out->prefix_count++] = hash;
}

/*
 * Hashes the prompt prefix that ends with each message, shortest first, and
 * estimates the number of prompt tokens.  Returns 0 or ERR_MALFORMED.
 */
static int
parse_messages(const json_t *root, struct cf_request *out)
{
	const json_t *messages = json_object_get(root, "messages");
	uint64_t hash = 0;
	size_t bytes = 0, i;
	json_t *message;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return ERR_MALFORMED;
	json_array_foreach(messages, i, message)
	{
		const json_t *content = json_object_get(message, "content");
		const char *role =
		    json_string_value(json_object_get(message, "role"));

		if (role == NULL)
			return ERR_MALFORMED;
		hash = XXH64(role, strlen(role), hash);
		hash = XXH64(json_string_value(content),
		    json_string_length(content), hash);
		bytes += json_string_length(content);
		add_prefix(out, hash);
	}
	out->prompt_tokens = (uint32_t)(bytes / BYTES_PER_TOKEN) + 1;
	return 0;
}

static int
parse_chat_body(
    const json_t *root, const struct cfg *cfg, struct request_parse *parse)
{
	const json_t *max = json_object_get(root, "max_tokens");
	const json_t *stream = json_object_get(root, "stream");
	int error;

	parse->param = "model";
	error = parse_model(root, cfg, &parse->out);
	if (error != 0)
		return error;
	parse->param = "messages";
	if (parse_messages(root, &parse->out) != 0)
		return ERR_MALFORMED;
	parse->param = "max_tokens";
	if (max != NULL &&
	    (!json_is_integer(max) || json_integer_value(max) <= 0 ||
		json_integer_value(max) > UINT16_MAX))
		return ERR_MALFORMED;
	parse->out.output_tokens_max = max != NULL
					   ? (uint32_t)json_integer_value(max)
					   : OUTPUT_TOKENS_DEFAULT;
	parse->param = "stream";
	if (stream != NULL && !json_is_boolean(stream))
		return ERR_MALFORMED;
	parse->out.streaming = json_is_true(stream);
	parse->param = NULL;
	return 0;
}

/*
 * Validates a chat completion request.  Returns 0, ERR_NO_KEY, ERR_MALFORMED,
 * ERR_HEADER or ERR_UNKNOWN_MODEL.
 */
int
request_parse_chat(const struct http_server_exchange *x, const struct cfg *cfg,
    int64_t now_us, struct request_parse *parse)
{
	int error;

	memset(parse, 0, sizeof(*parse));
	error = parse_headers(x, cfg, now_us, parse);
	if (error != 0)
		return error;
	parse->out.kind = CF_CHAT;
	parse->out.service = CFG_NONE;
	parse->param = "body";
	parse->json = json_loadb(buf_text(http_server_body(x)),
	    http_server_body(x)->len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(parse->json))
		return ERR_MALFORMED;
	return parse_chat_body(parse->json, cfg, parse);
}

/*
 * Validates a call of a plain service, "/v1/services/NAME/...".  Returns 0,
 * ERR_NO_KEY, ERR_MALFORMED, ERR_HEADER, ERR_NOT_FOUND, or ERR_FORBIDDEN for a
 * service that the workspace may not call.
 */
int
request_parse_service(const struct http_server_exchange *x,
    const struct cfg *cfg, int64_t now_us, struct request_parse *parse)
{
	const char *name = http_server_path(x) + SERVICE_PREFIX_BYTES;
	char service[CFG_NAME_BYTES];
	int error, found;

	memset(parse, 0, sizeof(*parse));
	error = parse_headers(x, cfg, now_us, parse);
	if (error != 0)
		return error;
	parse->param = "service";
	snprintf(
	    service, sizeof(service), "%.*s", (int)strcspn(name, "/"), name);
	found = cfg_find_service(cfg, service);
	if (found < 0 || !cfg->services[found].present)
		return ERR_NOT_FOUND;
	if ((cfg->workspaces[parse->out.workspace].services >> found & 1) == 0)
		return ERR_FORBIDDEN;
	parse->out.kind = CF_SERVICE;
	parse->out.service = (uint16_t)found;
	parse->out.model = CFG_NONE;
	parse->out.version = CFG_NONE;
	parse->out.once |= !cfg->services[found].idempotent;
	parse->out.output_tokens_max = 1;
	parse->param = NULL;
	return 0;
}
