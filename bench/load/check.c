#include <apr_strings.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

enum {
	CHECK_TIMEOUT_MS = 5000
};

/* Write callback of libcurl: appends to a buffer. */
static size_t
append_body(char *data, size_t size, size_t count, void *ctx)
{
	buf_add(ctx, data, size * count);
	return size * count;
}

/* Appends the contents of an http or file URL; returns whether it was read. */
static bool
fetch_url(const char *url, struct buf *out)
{
	CURL *easy = curl_easy_init();
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CHECK_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
	code = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	return code == CURLE_OK;
}

/* Adds an engine's run counts to the sums by key, for keys of this load. */
static void
add_runs(struct load *load, apr_hash_t *sums, json_t *keys)
{
	size_t prefix = strlen(load->run);
	const char *key;
	json_t *runs;
	uint64_t *sum;

	json_object_foreach(keys, key, runs)
	{
		if (strncmp(key, load->run, prefix) != 0)
			continue;
		sum = apr_hash_get(sums, key, APR_HASH_KEY_STRING);
		if (sum == NULL) {
			sum = apr_pcalloc(load->pool, sizeof(*sum));
			apr_hash_set(sums, apr_pstrdup(load->pool, key),
			    APR_HASH_KEY_STRING, sum);
		}
		*sum += (uint64_t)json_integer_value(runs);
	}
}

/* Returns the number of runs beyond the first of each key. */
static uint64_t
count_duplicate_runs(struct load *load, apr_hash_t *sums)
{
	apr_hash_index_t *at;
	uint64_t doubles = 0;
	void *sum;

	for (at = apr_hash_first(load->pool, sums); at != NULL;
	     at = apr_hash_next(at)) {
		apr_hash_this(at, NULL, NULL, &sum);
		if (*(uint64_t *)sum > 1)
			doubles += *(uint64_t *)sum - 1;
	}
	return doubles;
}

/*
 * Reads one engine's counters; an engine that can't be read is counted as
 * unread.
 */
static void
check_engine(struct load *load, struct check *check, const char *base,
    apr_hash_t *calls, apr_hash_t *chats)
{
	struct buf text;
	json_t *root = NULL;
	char url[512];
	uint64_t peak;

	if (strncmp(base, "file:", 5) == 0)
		snprintf(url, sizeof(url), "%s", base);
	else
		snprintf(url, sizeof(url), "%s/fake/stats?keys=1", base);
	buf_init(&text, alloc_default());
	if (fetch_url(url, &text))
		root = json_loadb(buf_text(&text), text.len, 0, NULL);
	buf_free(&text);
	if (root == NULL) {
		check->engines_unread++;
		return;
	}
	check->engines_read++;
	add_runs(load, calls, json_object_get(root, "keys"));
	add_runs(load, chats, json_object_get(root, "chat_keys"));
	check->cancelled +=
	    (uint64_t)json_integer_value(json_object_get(root, "cancelled"));
	peak = (uint64_t)json_integer_value(json_object_get(root, "cold_peak"));
	if (peak > check->cold_peak)
		check->cold_peak = peak;
	json_decref(root);
}

/*
 * Sums the runs of each key of this load over all engines, so that a plain
 * call that ran at two engines also counts as a double run.
 */
void
check_engines(struct load *load, struct check *check)
{
	const struct flag_list *urls = &load->options.engine_stats;
	apr_hash_t *calls = apr_hash_make(load->pool);
	apr_hash_t *chats = apr_hash_make(load->pool);
	int i;

	for (i = 0; i < urls->count; i++)
		check_engine(load, check, urls->items[i], calls, chats);
	check->double_runs = count_duplicate_runs(load, calls);
	check->chat_reruns = count_duplicate_runs(load, chats);
}

/*
 * Counts one bill, and a double bill if its request was billed before; removes
 * the request from load->requests.
 */
static void
check_bill(
    struct load *load, struct check *check, apr_hash_t *seen, json_t *bill)
{
	const char *workspace =
	    json_string_value(json_object_get(bill, "workspace"));
	const char *request =
	    json_string_value(json_object_get(bill, "request"));
	char *name;

	if (request == NULL)
		return;
	name = apr_pstrcat(
	    load->pool, workspace != NULL ? workspace : "", "/", request, NULL);
	check->bills++;
	if (apr_hash_get(seen, name, APR_HASH_KEY_STRING) != NULL)
		check->double_bills++;
	apr_hash_set(seen, name, APR_HASH_KEY_STRING, name);
	apr_hash_set(load->requests, apr_pstrdup(load->pool, request),
	    APR_HASH_KEY_STRING, NULL);
}

/*
 * Reads the bills, one JSON object a line.  The requests that remain in
 * load->requests had a complete answer but no bill.
 */
void
check_bills(struct load *load, struct check *check)
{
	apr_hash_t *seen = apr_hash_make(load->pool);
	struct buf text;
	char *line, *rest = NULL;
	json_t *bill;

	if (load->options.bills == NULL)
		return;
	buf_init(&text, alloc_default());
	if (fetch_url(load->options.bills, &text) && text.len > 0) {
		check->bills_read = true;
		for (line = strtok_r((char *)text.data, "\n", &rest);
		     line != NULL; line = strtok_r(NULL, "\n", &rest)) {
			bill = json_loads(line, 0, NULL);
			check_bill(load, check, seen, bill);
			json_decref(bill);
		}
	}
	buf_free(&text);
	check->answers_unbilled = apr_hash_count(load->requests);
}
