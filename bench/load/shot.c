#include <stdio.h>
#include <string.h>

#include "load.h"

static bool
chance(struct load *load, int64_t permille)
{
	return permille > 0 && rng_below(&load->rng, 1000) < (uint32_t)permille;
}

static void
shot_free(struct shot *shot)
{
	curl_slist_free_all(shot->headers);
	buf_free(&shot->answer);
	buf_free(&shot->text);
	buf_free(&shot->body);
	alloc_free(alloc_default(), shot);
}

static void
shot_header(struct shot *shot, const char *name, const char *value)
{
	char line[LOAD_NAME_BYTES * 4];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	shot->headers = curl_slist_append(shot->headers, line);
}

/* Builds the headers and the body once; a moved request reuses them. */
static void
shot_build(struct shot *shot)
{
	const struct load_options *o = &shot->load->options;
	char text[LOAD_NAME_BYTES * 2];
	int fill = (int)o->prompt_tokens * 4;

	shot_header(shot, "Content-Type", "application/json");
	shot_header(shot, "Expect", "");
	if (o->key != NULL) {
		snprintf(text, sizeof(text), "Bearer %s", o->key);
		shot_header(shot, "Authorization", text);
	}
	if (shot->key[0] != '\0')
		shot_header(shot, "Idempotency-Key", shot->key);
	if (shot->session[0] != '\0')
		shot_header(shot, "Celeryford-Session", shot->session);
	if (o->deadline_ms > 0) {
		snprintf(text, sizeof(text), "%lld", (long long)o->deadline_ms);
		shot_header(shot, "Celeryford-Deadline-Ms", text);
	}
	if (shot->kind == SHOT_SERVICE) {
		buf_addf(&shot->body, "{\"bundle\":\"%s\"}", shot->tag);
		return;
	}
	buf_addf(&shot->body,
	    "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%lld,"
	    "\"messages\":[",
	    o->model, shot->kind == SHOT_STREAM ? "true" : "false",
	    (long long)o->max_tokens);
	if (shot->session[0] != '\0') {
		fill /= 2;
		buf_addf(&shot->body,
		    "{\"role\":\"system\",\"content\":\"%s %.*s\"},",
		    shot->session, fill, shot->load->padding);
	}
	buf_addf(&shot->body, "{\"role\":\"user\",\"content\":\"%s %.*s\"}]}",
	    shot->tag, fill, shot->load->padding);
}

static void shot_send(struct shot *shot);

/*
 * Ends a request, or sends it to the next target if its own could not be
 * connected to: then no byte of it was received.
 */
static void
on_done(void *ctx, CURL *easy, CURLcode code)
{
	struct shot *shot = ctx;
	struct load *load = shot->load;
	long status = 0;

	if (code == CURLE_COULDNT_CONNECT) {
		load->counts.targets[shot->target].refused++;
		shot->target = (shot->target + 1) % load->options.targets.count;
		if (++shot->moves < load->options.targets.count) {
			shot_send(shot);
			return;
		}
	}
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	answer_end(shot, code, status);
	shot_free(shot);
}

/* Starts the transfer of a request to its target. */
static void
shot_send(struct shot *shot)
{
	const struct load_options *o = &shot->load->options;
	CURL *easy = curl_easy_init();
	char url[512];

	if (shot->kind == SHOT_SERVICE)
		snprintf(url, sizeof(url), "%s/v1/services/%s/submit",
		    o->targets.items[shot->target], o->service);
	else
		snprintf(url, sizeof(url), "%s/v1/chat/completions",
		    o->targets.items[shot->target]);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, shot->headers);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, buf_text(&shot->body));
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)shot->body.len);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, answer_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, shot);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, answer_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, shot);
	shot->load->counts.targets[shot->target].sent++;
	tool_loop_start_transfer(shot->load->loop, easy, on_done, shot);
}

static struct shot *
shot_new(struct load *load, enum shot_kind kind, int64_t intended_us)
{
	struct shot *shot = alloc_zero(alloc_default(), 1, sizeof(*shot));

	shot->load = load;
	shot->kind = kind;
	shot->intended_us = intended_us;
	shot->usage_tokens = -1;
	shot->target = load->next_target;
	load->next_target =
	    (load->next_target + 1) % load->options.targets.count;
	buf_init(&shot->answer, alloc_default());
	buf_init(&shot->text, alloc_default());
	buf_init(&shot->body, alloc_default());
	return shot;
}

/* Remembers to send a keyed request again. */
static void
resend_later(struct load *load, const struct shot *shot)
{
	struct resend *resend;

	if (load->resend_count == load->resend_size)
		return;
	resend = &load->resends[(load->resend_first + load->resend_count) %
				load->resend_size];
	load->resend_count++;
	resend->due_us = shot->intended_us + LOAD_RESEND_US;
	resend->kind = shot->kind;
	snprintf(resend->key, sizeof(resend->key), "%s", shot->key);
	snprintf(resend->tag, sizeof(resend->tag), "%s", shot->tag);
}

static enum shot_kind
choose_kind(struct load *load)
{
	if (load->options.service != NULL &&
	    chance(load, load->options.service_permille))
		return SHOT_SERVICE;
	return chance(load, load->options.stream_permille) ? SHOT_STREAM
							   : SHOT_CHAT;
}

/* Sends a new request; its latency counts from the intended time. */
void
shot_fire(struct load *load, int64_t intended_us)
{
	const struct load_options *o = &load->options;
	struct shot *shot;
	unsigned open = tool_loop_running_transfers(load->loop);

	if (open >= o->open_max) {
		load->counts.skipped++;
		return;
	}
	if (open + 1 > load->counts.open_peak)
		load->counts.open_peak = open + 1;
	shot = shot_new(load, choose_kind(load), intended_us);
	shot->number = ++load->number;
	snprintf(shot->tag, sizeof(shot->tag), "%.40s-%llu", load->run,
	    (unsigned long long)shot->number);
	if (shot->kind == SHOT_SERVICE || chance(load, o->key_permille))
		snprintf(shot->key, sizeof(shot->key), "%s", shot->tag);
	if (o->sessions > 0 && shot->kind != SHOT_SERVICE)
		snprintf(shot->session, sizeof(shot->session), "%.40s-s%u",
		    load->run, rng_below(&load->rng, (uint32_t)o->sessions));
	if (shot->key[0] != '\0' && chance(load, o->resend_permille))
		resend_later(load, shot);
	load->counts.sent++;
	shot_build(shot);
	shot_send(shot);
}

/* Sends the oldest remembered request again, under the same key. */
void
shot_resend(struct load *load)
{
	struct resend *resend = &load->resends[load->resend_first];
	struct shot *shot = shot_new(load, resend->kind, resend->due_us);

	load->resend_first = (load->resend_first + 1) % load->resend_size;
	load->resend_count--;
	shot->resend = true;
	snprintf(shot->key, sizeof(shot->key), "%s", resend->key);
	snprintf(shot->tag, sizeof(shot->tag), "%s", resend->tag);
	load->counts.resent++;
	shot_build(shot);
	shot_send(shot);
}
