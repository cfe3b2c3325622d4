#include "ctl.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* HTTP requests to the operators' listener of an instance. */

enum {
	REQUEST_TIMEOUT_MS = 15000,
	HTTP_OK = 200,
	HTTP_CONFLICT = 409,
	HTTP_INVALID = 422
};

/* The write callback of libcurl, which always passes a size of 1. */
static size_t
append_body(char *data, size_t size, size_t len, void *ctx)
{
	(void)size;
	buf_add(ctx, data, len);
	return len;
}

static struct curl_slist *
make_headers(const struct ctl *ctl)
{
	struct curl_slist *list =
	    curl_slist_append(NULL, "Content-Type: application/json");
	struct buf line;

	if (ctl->operator_key == NULL)
		return list;
	buf_init(&line, alloc_default());
	buf_addf(&line, "Authorization: Bearer %s", ctl->operator_key);
	list = curl_slist_append(list, buf_text(&line));
	buf_free(&line);
	return list;
}

/* Sends one request; returns the HTTP status, or 0 if no answer came. */
static long
send_request(
    const struct ctl *ctl, const char *path, const char *body, struct buf *out)
{
	struct curl_slist *headers = make_headers(ctl);
	CURL *easy = curl_easy_init();
	struct buf url;
	long status = 0;

	buf_init(&url, alloc_default());
	buf_addf(&url, "%s%s", ctl->ops_url, path);
	curl_easy_setopt(easy, CURLOPT_URL, buf_text(&url));
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	buf_free(&url);
	return status;
}

/* Returns the exit status for the HTTP status of an error. */
static int
exit_status(long http)
{
	switch (http) {
	case HTTP_CONFLICT:
		return CTL_CONFLICT;
	case HTTP_INVALID:
		return CTL_INVALID;
	default:
		return CTL_REFUSED;
	}
}

/*
 * Prints an error answer: the problems of a document, the change that won a
 * conflict, or the error's message.
 */
static void
print_error(const char *text)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *error = json_object_get(root, "error");
	const char *problems =
	    json_string_value(json_object_get(root, "problems"));
	const char *message =
	    json_string_value(json_object_get(error, "message"));
	const char *param = json_string_value(json_object_get(error, "param"));
	const char *winner = json_string_value(json_object_get(root, "won_by"));
	const char *section =
	    json_string_value(json_object_get(root, "section"));

	if (problems != NULL)
		fputs(problems, stderr);
	else if (winner != NULL)
		fprintf(stderr,
		    "celeryfordctl: %s was changed by %s meanwhile, in revision "
		    "%lld; review that change and apply again\n",
		    section, winner,
		    (long long)json_integer_value(
			json_object_get(root, "won_revision")));
	else if (message != NULL)
		fprintf(stderr, "celeryfordctl: %s%s%s\n", message,
		    param != NULL ? ": " : "", param != NULL ? param : "");
	else
		fprintf(stderr, "celeryfordctl: refused: %s\n", text);
	json_decref(root);
}

/* Sends a request and appends the body of the answer; prints errors. */
static int
perform(
    const struct ctl *ctl, const char *path, const char *body, struct buf *out)
{
	long http;

	if (ctl->ops_url == NULL)
		return ctl_fail(CTL_USAGE,
		    "--ops or CELERYFORD_OPS must name an instance, such as "
		    "http://127.0.0.1:8081");
	http = send_request(ctl, path, body, out);
	if (http == HTTP_OK)
		return CTL_OK;
	if (http == 0)
		return ctl_fail(
		    CTL_UNREACHABLE, "no answer from %s", ctl->ops_url);
	print_error(buf_text(out));
	return exit_status(http);
}

/*
 * Appends the body of the answer to a GET request.  Prints errors and returns
 * an exit status.
 */
int
ctl_get_text(const struct ctl *ctl, const char *path, struct buf *out)
{
	return perform(ctl, path, NULL, out);
}

static int
perform_json(
    const struct ctl *ctl, const char *path, const char *body, json_t **out)
{
	struct buf text;
	int status;

	buf_init(&text, alloc_default());
	status = perform(ctl, path, body, &text);
	*out = NULL;
	if (status == CTL_OK) {
		*out = json_loadb(buf_text(&text), text.len, 0, NULL);
		if (*out == NULL)
			status =
			    ctl_fail(CTL_REFUSED, "the answer is not JSON");
	}
	buf_free(&text);
	return status;
}

/*
 * Reads JSON by a GET request.  The caller releases out, which is NULL after
 * an error.
 */
int
ctl_get_json(const struct ctl *ctl, const char *path, json_t **out)
{
	return perform_json(ctl, path, NULL, out);
}

/*
 * Sends JSON in a POST request and reads the JSON answer.  The caller releases
 * out, which is NULL after an error.
 */
int
ctl_post_json(
    const struct ctl *ctl, const char *path, const json_t *body, json_t **out)
{
	char *text = json_dumps(body, JSON_COMPACT);
	int status = perform_json(ctl, path, text, out);

	free(text);
	return status;
}
