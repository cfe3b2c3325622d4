#include "entry/answer.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

enum {
	ANSWER_NUMBER_BYTES = 16,
	ANSWER_HEADERS_MAX = 6,
	MS_PER_S = 1000
};

/* Appends the error as one line of JSON, newline included. */
void
answer_error_body(const struct answer_error *answer, struct buf *out)
{
	const struct err_answer *row = err_answer(answer->error);
	json_t *json = json_pack("{s:{s:s,s:s,s:s,s:s?,s:s?}}", "error", "kind",
	    err_name(answer->error), "message", row->text, "run_state",
	    err_run_state_name(answer->run_state), "param", answer->param,
	    "request", answer->request);
	char *text = json_dumps(json, JSON_COMPACT);

	buf_adds(out, text != NULL ? text : "{}");
	buf_adds(out, "\n");
	free(text);
	json_decref(json);
}

/* Formats a wait in whole seconds, rounded up, at least 1. */
static const char *
print_seconds(char out[ANSWER_NUMBER_BYTES], uint32_t retry_after_ms)
{
	uint32_t seconds = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;

	snprintf(out, ANSWER_NUMBER_BYTES, "%u", seconds > 0 ? seconds : 1);
	return out;
}

/*
 * Answers with an error.  A retryable error always carries Retry-After in whole
 * seconds and Celeryford-Retry-After-Ms with the exact wait in milliseconds.
 */
void
answer_error(struct http_server_exchange *x, const struct answer_error *answer)
{
	const struct err_answer *row = err_answer(answer->error);
	struct http_server_header headers[ANSWER_HEADERS_MAX];
	char seconds[ANSWER_NUMBER_BYTES], ms[ANSWER_NUMBER_BYTES];
	size_t n = 0;
	struct buf body;

	headers[n++] =
	    (struct http_server_header){"Content-Type", "application/json"};
	headers[n++] = (struct http_server_header){
	    "Celeryford-Run", err_run_state_name(answer->run_state)};
	if (answer->request != NULL)
		headers[n++] = (struct http_server_header){
		    "Celeryford-Request", answer->request};
	if (row->try_again) {
		headers[n++] = (struct http_server_header){"Retry-After",
		    print_seconds(seconds, answer->retry_after_ms)};
		snprintf(ms, sizeof(ms), "%u", answer->retry_after_ms);
		headers[n++] = (struct http_server_header){
		    "Celeryford-Retry-After-Ms", ms};
	}
	if (answer->error == ERR_NO_KEY)
		headers[n++] =
		    (struct http_server_header){"WWW-Authenticate", "Bearer"};
	buf_init(&body, alloc_default());
	answer_error_body(answer, &body);
	http_server_answer(
	    x, row->http_status, headers, n, body.data, body.len);
	buf_free(&body);
}

/* Answers with a JSON body. */
void
answer_json(struct http_server_exchange *x, unsigned int status,
    const char *json, size_t len)
{
	const struct http_server_header header = {
	    "Content-Type", "application/json"};

	http_server_answer(x, status, &header, 1, json, len);
}
