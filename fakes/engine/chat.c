#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "engine.h"

enum {
	CHAT_BLOCK_BYTES = 1024, /* larger than any single event */
	CHAT_TOKENS_MIN = 3, /* tag, verdict and end */
	CHAT_TOKENS_MAX = 65536,
	CHAT_BYTES_PER_TOKEN = 4, /* of prompt text */
	CHAT_PREFIXES_MAX = 8 /* cached per prompt */
};

static void
copy_text(char *to, const char *from)
{
	snprintf(to, ENGINE_TAG_BYTES, "%s", from);
}

/*
 * Sets the call's tag to the first word of a message.  Called for each message
 * in order, so the last message determines the tag.
 */
static void
chat_read_tag(struct call *call, const char *text)
{
	size_t len = strcspn(text, " \t\n\"\\");

	if (len >= sizeof(call->tag))
		len = sizeof(call->tag) - 1;
	memcpy(call->tag, text, len);
	call->tag[len] = '\0';
}

/*
 * Reads the tag from the messages, and how much of the prompt is cached.  Each
 * of the first CHAT_PREFIXES_MAX messages ends a prefix, whose key is the
 * chained XXH64 of the roles and contents up to and including that message.
 */
static int
chat_read_messages(struct engine *engine, struct call *call, json_t *list)
{
	size_t i, len = 0, cached = 0;
	const char *role, *content;
	uint64_t prefix = 0;
	json_t *message;

	if (!json_is_array(list) || json_array_size(list) == 0)
		return ERR_MALFORMED;
	json_array_foreach(list, i, message)
	{
		role = json_string_value(json_object_get(message, "role"));
		content =
		    json_string_value(json_object_get(message, "content"));
		if (role == NULL || content == NULL)
			return ERR_MALFORMED;
		prefix = XXH64(role, strlen(role), prefix);
		prefix = XXH64(content, strlen(content), prefix);
		len += strlen(content);
		if (i < CHAT_PREFIXES_MAX &&
		    announce_lookup_prefix(engine, prefix))
			cached = len;
		chat_read_tag(call, content);
	}
	call->prompt_tokens = (uint32_t)(len / CHAT_BYTES_PER_TOKEN + 1);
	call->first_due_us = (int64_t)((len - cached) / CHAT_BYTES_PER_TOKEN) *
			     engine->options.prompt_token_us;
	return 0;
}

static bool
chat_serves_model(const struct engine *engine, const char *model)
{
	int i;

	for (i = 0; i < engine->options.versions.count; i++)
		if (strcmp(engine->options.versions.items[i], model) == 0)
			return true;
	return false;
}

/*
 * Under FAULT_CROSS, replaces the id and tag of a call by those of the previous
 * call, so that its answer belongs to another request.
 */
static void
chat_apply_cross_fault(struct engine *engine, struct call *call)
{
	char id[ENGINE_TAG_BYTES], tag[ENGINE_TAG_BYTES];

	copy_text(id, call->id);
	copy_text(tag, call->tag);
	if (call->fault == FAULT_CROSS) {
		copy_text(call->id, engine->previous_id);
		copy_text(call->tag, engine->previous_tag);
	}
	copy_text(engine->previous_id, id);
	copy_text(engine->previous_tag, tag);
}

/*
 * Parses the body of a chat completion.  Returns 0, ERR_MALFORMED, or
 * ERR_UNKNOWN_MODEL if the version is not loaded.
 */
int
chat_parse(struct engine *engine, struct call *call)
{
	json_t *root =
	    json_loadb(buf_text(&call->body), call->body.len, 0, NULL);
	const char *model = json_string_value(json_object_get(root, "model"));
	json_int_t tokens =
	    json_integer_value(json_object_get(root, "max_tokens"));
	int error;

	if (model == NULL) {
		json_decref(root);
		return ERR_MALFORMED;
	}
	copy_text(call->model, model);
	call->stream = json_is_true(json_object_get(root, "stream"));
	error =
	    chat_read_messages(engine, call, json_object_get(root, "messages"));
	json_decref(root);
	if (error != 0)
		return error;
	if (!chat_serves_model(engine, call->model))
		return ERR_UNKNOWN_MODEL;
	if (tokens <= 0)
		tokens = engine->options.tokens;
	if (tokens < CHAT_TOKENS_MIN)
		tokens = CHAT_TOKENS_MIN;
	if (tokens > CHAT_TOKENS_MAX)
		tokens = CHAT_TOKENS_MAX;
	call->tokens = (uint32_t)tokens;
	call->pass = rng_below(&engine->rng, 1000) <
		     (uint32_t)engine->options.pass_permille;
	chat_apply_cross_fault(engine, call);
	return 0;
}

/* Appends token i: the tag, the verdict, numbered words, and a final "end". */
static void
chat_add_token(const struct call *call, uint32_t i, struct buf *out)
{
	if (i == 0)
		buf_addf(out, "re:%s", call->tag);
	else if (i == 1)
		buf_adds(out, call->pass ? " pass" : " fail");
	else if (i + 1 == call->tokens)
		buf_adds(out, " end");
	else
		buf_addf(out, " w%u", i);
}

static void
chat_add_usage(const struct call *call, struct buf *out)
{
	buf_addf(out,
	    "\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
	    "\"total_tokens\":%u}",
	    call->prompt_tokens, call->tokens,
	    call->prompt_tokens + call->tokens);
}

/* Appends the next event of a stream to the call's pending text. */
static void
chat_add_event(struct call *call)
{
	struct buf *out = &call->pending;

	buf_addf(out,
	    "data: {\"id\":\"chatcmpl-%s\",\"object\":"
	    "\"chat.completion.chunk\",\"model\":\"%s\",\"choices\":[",
	    call->id, call->model);
	if (call->sent == call->tokens) {
		buf_adds(out, "],");
		chat_add_usage(call, out);
		buf_adds(out, "}\n\ndata: [DONE]\n\n");
		call->usage_sent = true;
		return;
	}
	buf_adds(out, "{\"index\":0,\"delta\":{\"content\":\"");
	chat_add_token(call, call->sent, out);
	call->sent++;
	buf_addf(out, "\"},\"finish_reason\":%s}]}\n\n",
	    call->sent == call->tokens ? "\"stop\"" : "null");
}

/* Returns whether FAULT_CUT now ends the stream: half of it is written. */
static bool
chat_reached_cut(const struct call *call)
{
	return call->fault == FAULT_CUT && call->sent >= call->tokens / 2;
}

/* Moves up to max bytes of pending text to a buffer; returns their number. */
static ssize_t
chat_copy_pending(struct call *call, char *to, size_t max)
{
	size_t len = call->pending.len - call->pending_offset;

	if (len > max)
		len = max;
	memcpy(to, call->pending.data + call->pending_offset, len);
	call->pending_offset += len;
	if (call->pending_offset == call->pending.len) {
		buf_clear(&call->pending);
		call->pending_offset = 0;
	}
	return (ssize_t)len;
}

/*
 * Content reader of a stream.  Writes one event at a time and suspends the
 * connection until the next token is due.
 */
static ssize_t
chat_read_stream(void *ctx, uint64_t pos, char *to, size_t max)
{
	struct call *call = ctx;
	struct engine *engine = call->engine;

	if (call->disconnected)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (call->pending.len > 0)
		return chat_copy_pending(call, to, max);
	if (chat_reached_cut(call))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (call->usage_sent)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (call->conn->silent || work_tokens_due(engine, call) <= call->sent) {
		if (call->sent < call->tokens || call->conn->silent) {
			work_suspend(call);
			return 0;
		}
	}
	if (call->sent < call->tokens)
		engine->stats.tokens++;
	chat_add_event(call);
	return chat_copy_pending(call, to, max);
}

/* Content reader for FAULT_CUT: sends half of the body, then disconnects. */
static ssize_t
chat_read_half(void *ctx, uint64_t pos, char *to, size_t max)
{
	struct call *call = ctx;
	size_t half = call->pending.len / 2;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (max > half - pos)
		max = half - pos;
	memcpy(to, call->pending.data + pos, max);
	return (ssize_t)max;
}

/* Appends a complete, not streamed answer to the call's pending text. */
static void
chat_add_completion(struct call *call)
{
	struct buf *out = &call->pending;
	uint32_t i;

	buf_addf(out,
	    "{\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion\","
	    "\"model\":\"%s\",\"choices\":[{\"index\":0,\"message\":"
	    "{\"role\":\"assistant\",\"content\":\"",
	    call->id, call->model);
	for (i = 0; i < call->tokens; i++)
		chat_add_token(call, i, out);
	buf_adds(out, "\"},\"finish_reason\":\"stop\"}],");
	chat_add_usage(call, out);
	buf_adds(out, "}\n");
}

static enum MHD_Result
chat_queue_response(
    struct call *call, struct MHD_Response *response, const char *type)
{
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", type);
	if (call->id[0] != '\0')
		MHD_add_response_header(
		    response, "Celeryford-Request", call->id);
	call->answered = true;
	result = MHD_queue_response(call->connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

/*
 * Queues the answer of a chat completion.  The first token of a stream, or all
 * tokens of another answer, must be due.
 */
enum MHD_Result
chat_answer(struct engine *engine, struct call *call)
{
	if (call->stream)
		return chat_queue_response(call,
		    MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
			CHAT_BLOCK_BYTES, chat_read_stream, call, NULL),
		    "text/event-stream");
	engine->stats.tokens += call->tokens;
	chat_add_completion(call);
	if (call->fault == FAULT_CUT)
		return chat_queue_response(call,
		    MHD_create_response_from_callback(call->pending.len,
			CHAT_BLOCK_BYTES, chat_read_half, call, NULL),
		    "application/json");
	return chat_queue_response(call,
	    MHD_create_response_from_buffer(
		call->pending.len, call->pending.data, MHD_RESPMEM_PERSISTENT),
	    "application/json");
}

/* Queues the answer to a call of a plain service. */
enum MHD_Result
service_answer(struct engine *engine, struct call *call)
{
	buf_addf(&call->pending,
	    "{\"service\":\"%s\",\"server\":\"%s\",\"run\":%llu}\n", call->path,
	    engine->options.name,
	    (unsigned long long)engine->stats.service_runs);
	if (call->fault == FAULT_CUT)
		return chat_queue_response(call,
		    MHD_create_response_from_callback(call->pending.len,
			CHAT_BLOCK_BYTES, chat_read_half, call, NULL),
		    "application/json");
	return chat_queue_response(call,
	    MHD_create_response_from_buffer(
		call->pending.len, call->pending.data, MHD_RESPMEM_PERSISTENT),
	    "application/json");
}
