#include <stdio.h>
#include <string.h>

#include "load.h"

/* Returns true with the given probability. */
static bool
chance_permille(struct load *load, int64_t permille)
{
	return permille > 0 && rng_below(&load->rng, 1000) < (uint32_t)permille;
}

/* Releases a request and its buffers. */
static void
load_request_free(struct load_request *req)
{
	curl_slist_free_all(req->headers);
	buf_free(&req->answer);
	buf_free(&req->text);
	buf_free(&req->body);
	alloc_free(alloc_default(), req);
}

/* Appends a header line. */
static void
load_request_add_header(
    struct load_request *req, const char *name, const char *value)
{
	char line[LOAD_NAME_BYTES * 4];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	req->headers = curl_slist_append(req->headers, line);
}

/*
 * Builds the headers and the body, which every target that the request is
 * sent to receives alike.
 */
static void
load_request_build(struct load_request *req)
{
	const struct load_options *o = &req->load->options;
	char text[LOAD_NAME_BYTES * 2];
	int fill = (int)o->prompt_tokens * 4;

	load_request_add_header(req, "Content-Type", "application/json");
	load_request_add_header(req, "Expect", "");
	if (o->key != NULL) {
		snprintf(text, sizeof(text), "Bearer %s", o->key);
		load_request_add_header(req, "Authorization", text);
	}
	if (req->key[0] != '\0')
		load_request_add_header(req, "Idempotency-Key", req->key);
	if (req->session[0] != '\0')
		load_request_add_header(
		    req, "Celeryford-Session", req->session);
	if (o->deadline_ms > 0) {
		snprintf(text, sizeof(text), "%lld", (long long)o->deadline_ms);
		load_request_add_header(req, "Celeryford-Deadline-Ms", text);
	}
	if (req->kind == LOAD_REQUEST_SERVICE) {
		buf_addf(&req->body, "{\"bundle\":\"%s\"}", req->tag);
		return;
	}
	buf_addf(&req->body,
	    "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%lld,"
	    "\"messages\":[",
	    o->model, req->kind == LOAD_REQUEST_STREAM ? "true" : "false",
	    (long long)o->max_tokens);
	if (req->session[0] != '\0') {
		fill /= 2;
		buf_addf(&req->body,
		    "{\"role\":\"system\",\"content\":\"%s %.*s\"},",
		    req->session, fill, req->load->padding);
	}
	buf_addf(&req->body, "{\"role\":\"user\",\"content\":\"%s %.*s\"}]}",
	    req->tag, fill, req->load->padding);
}

static void load_request_start(struct load_request *req);

/*
 * Completes a request, or sends it to the next target if the connection
 * failed.  The second is safe as the target received no byte of it.
 */
static void
on_transfer_done(void *ctx, CURL *easy, CURLcode code)
{
	struct load_request *req = ctx;
	struct load *load = req->load;
	long status = 0;

	if (code == CURLE_COULDNT_CONNECT) {
		load->counts.targets[req->target].refused++;
		req->target = (req->target + 1) % load->options.targets.count;
		if (++req->failed_connects < load->options.targets.count) {
			load_request_start(req);
			return;
		}
	}
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	answer_count_result(req, code, status);
	load_request_free(req);
}

/* Starts the transfer of a request to its current target. */
static void
load_request_start(struct load_request *req)
{
	const struct load_options *o = &req->load->options;
	CURL *easy = curl_easy_init();
	char url[512];

	if (req->kind == LOAD_REQUEST_SERVICE)
		snprintf(url, sizeof(url), "%s/v1/services/%s/submit",
		    o->targets.items[req->target], o->service);
	else
		snprintf(url, sizeof(url), "%s/v1/chat/completions",
		    o->targets.items[req->target]);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, req->headers);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, buf_text(&req->body));
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)req->body.len);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, answer_read_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, req);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, answer_read_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, req);
	req->load->counts.targets[req->target].sent++;
	tool_loop_start_transfer(req->load->loop, easy, on_transfer_done, req);
}

/* Creates a request to the next target in turn. */
static struct load_request *
load_request_new(
    struct load *load, enum load_request_kind kind, int64_t intended_us)
{
	struct load_request *req = alloc_zero(alloc_default(), 1, sizeof(*req));

	req->load = load;
	req->kind = kind;
	req->intended_us = intended_us;
	req->usage_tokens = -1;
	req->target = load->next_target;
	load->next_target =
	    (load->next_target + 1) % load->options.targets.count;
	buf_init(&req->answer, alloc_default());
	buf_init(&req->text, alloc_default());
	buf_init(&req->body, alloc_default());
	return req;
}

/* Queues a keyed request to be sent again, unless the queue is full. */
static void
schedule_resend(struct load *load, const struct load_request *req)
{
	struct resend *resend;

	if (load->resend_count == load->resend_capacity)
		return;
	resend = &load->resends[(load->resend_first + load->resend_count) %
				load->resend_capacity];
	load->resend_count++;
	resend->due_us = req->intended_us + LOAD_RESEND_DELAY_US;
	resend->kind = req->kind;
	snprintf(resend->key, sizeof(resend->key), "%s", req->key);
	snprintf(resend->tag, sizeof(resend->tag), "%s", req->tag);
}

/* Draws the kind of a new request by the shares of the options. */
static enum load_request_kind
choose_kind(struct load *load)
{
	if (load->options.service != NULL &&
	    chance_permille(load, load->options.service_permille))
		return LOAD_REQUEST_SERVICE;
	return chance_permille(load, load->options.stream_permille)
		   ? LOAD_REQUEST_STREAM
		   : LOAD_REQUEST_CHAT;
}

/*
 * Sends a new request whose latency counts from the intended time; skips it if
 * open_max requests are open.
 */
void
load_request_send_new(struct load *load, int64_t intended_us)
{
	const struct load_options *o = &load->options;
	struct load_request *req;
	unsigned open = tool_loop_running_transfers(load->loop);

	if (open >= o->open_max) {
		load->counts.skipped++;
		return;
	}
	if (open + 1 > load->counts.open_peak)
		load->counts.open_peak = open + 1;
	req = load_request_new(load, choose_kind(load), intended_us);
	req->number = ++load->number;
	snprintf(req->tag, sizeof(req->tag), "%.40s-%llu", load->run,
	    (unsigned long long)req->number);
	if (req->kind == LOAD_REQUEST_SERVICE ||
	    chance_permille(load, o->key_permille))
		snprintf(req->key, sizeof(req->key), "%s", req->tag);
	if (o->sessions > 0 && req->kind != LOAD_REQUEST_SERVICE)
		snprintf(req->session, sizeof(req->session), "%.40s-s%u",
		    load->run, rng_below(&load->rng, (uint32_t)o->sessions));
	if (req->key[0] != '\0' && chance_permille(load, o->resend_permille))
		schedule_resend(load, req);
	load->counts.sent++;
	load_request_build(req);
	load_request_start(req);
}

/* Sends the oldest queued request again, under the same key. */
void
load_request_send_again(struct load *load)
{
	struct resend *resend = &load->resends[load->resend_first];
	struct load_request *req =
	    load_request_new(load, resend->kind, resend->due_us);

	load->resend_first = (load->resend_first + 1) % load->resend_capacity;
	load->resend_count--;
	req->resend = true;
	snprintf(req->key, sizeof(req->key), "%s", resend->key);
	snprintf(req->tag, sizeof(req->tag), "%s", resend->tag);
	load->counts.resent++;
	load_request_build(req);
	load_request_start(req);
}
