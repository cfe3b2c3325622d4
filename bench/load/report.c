#include <jansson.h>
#include <stdio.h>

#include "load.h"

/* Prints the percentiles of a histogram and adds them to the JSON report. */
static void
report_hist(json_t *json, const char *name, const struct hist *hist)
{
	uint64_t p50 = hist_percentile(hist, 50);
	uint64_t p95 = hist_percentile(hist, 95);
	uint64_t p99 = hist_percentile(hist, 99);

	printf("%s_us: p50 %llu p95 %llu p99 %llu max %llu (%llu)\n", name,
	    (unsigned long long)p50, (unsigned long long)p95,
	    (unsigned long long)p99, (unsigned long long)hist->max_us,
	    (unsigned long long)hist->count);
	json_object_set_new(json, name,
	    json_pack("{s:I, s:I, s:I, s:I, s:I}", "p50_us", (json_int_t)p50,
		"p95_us", (json_int_t)p95, "p99_us", (json_int_t)p99, "max_us",
		(json_int_t)hist->max_us, "count", (json_int_t)hist->count));
}

/* Prints one number and adds it to the JSON report. */
static void
report_number(json_t *json, const char *name, uint64_t value)
{
	printf("%s: %llu\n", name, (unsigned long long)value);
	json_object_set_new(json, name, json_integer((json_int_t)value));
}

/* Prints the count of each HTTP status that was received. */
static void
report_statuses(struct load *load, json_t *json)
{
	json_t *object = json_object();
	char name[16];
	int i;

	for (i = 0; i < LOAD_STATUS_MAX; i++) {
		if (load->counts.status[i] == 0)
			continue;
		snprintf(name, sizeof(name), "%d", i);
		printf("status %s: %llu\n", name,
		    (unsigned long long)load->counts.status[i]);
		json_object_set_new(object, name,
		    json_integer((json_int_t)load->counts.status[i]));
	}
	json_object_set_new(json, "status", object);
}

/* Prints the count of each kind of error. */
static void
report_errors(struct load *load, json_t *json)
{
	json_t *object = json_object();
	apr_hash_index_t *at;
	const void *name;
	void *count;

	for (at = apr_hash_first(load->pool, load->errors); at != NULL;
	     at = apr_hash_next(at)) {
		apr_hash_this(at, &name, NULL, &count);
		printf("error %s: %llu\n", (const char *)name,
		    (unsigned long long)*(uint64_t *)count);
		json_object_set_new(object, name,
		    json_integer((json_int_t) * (uint64_t *)count));
	}
	json_object_set_new(json, "errors", object);
}

/* Prints the answers of each model version, and how many passed. */
static void
report_versions(struct load *load, json_t *json)
{
	json_t *object = json_object();
	struct version_counts *counts;
	apr_hash_index_t *at;
	const void *name;
	void *value;

	for (at = apr_hash_first(load->pool, load->versions); at != NULL;
	     at = apr_hash_next(at)) {
		apr_hash_this(at, &name, NULL, &value);
		counts = value;
		printf("version %s: %llu answers, %llu passed\n",
		    (const char *)name, (unsigned long long)counts->answers,
		    (unsigned long long)counts->passed);
		json_object_set_new(object, name,
		    json_pack("{s:I, s:I}", "answers",
			(json_int_t)counts->answers, "passed",
			(json_int_t)counts->passed));
	}
	json_object_set_new(json, "versions", object);
}

/* Prints the results of each target. */
static void
report_targets(struct load *load, json_t *json)
{
	const struct target_counts *t;
	json_t *list = json_array();
	int i;

	for (i = 0; i < load->options.targets.count; i++) {
		t = &load->counts.targets[i];
		printf("target %s: sent %llu whole %llu errors %llu lost %llu "
		       "not_connected %llu\n",
		    load->options.targets.items[i], (unsigned long long)t->sent,
		    (unsigned long long)t->whole, (unsigned long long)t->errors,
		    (unsigned long long)t->lost,
		    (unsigned long long)t->refused);
		json_array_append_new(list,
		    json_pack("{s:s, s:I, s:I, s:I, s:I, s:I}", "url",
			load->options.targets.items[i], "sent",
			(json_int_t)t->sent, "whole", (json_int_t)t->whole,
			"errors", (json_int_t)t->errors, "lost",
			(json_int_t)t->lost, "not_connected",
			(json_int_t)t->refused));
	}
	json_object_set_new(json, "targets", list);
}

/* Prints the totals of the run. */
static void
report_counts(struct load *load, json_t *json)
{
	const struct load_counts *c = &load->counts;

	report_number(json, "sent", c->sent);
	report_number(json, "answered_whole", c->ok);
	report_number(json, "resent", c->resent);
	report_number(json, "lost", c->lost);
	report_number(json, "timeouts", c->timeouts);
	report_number(json, "skipped", c->skipped);
	report_number(json, "cut_as_whole", c->cut_as_whole);
	report_number(json, "crossed", c->crossed);
	report_number(json, "session_moves", c->session_moves);
	report_number(json, "tokens", c->tokens);
	report_number(json, "open_peak", c->open_peak);
}

/* Prints the results of the checks that the options ask for. */
static void
report_checks(struct load *load, const struct check *check, json_t *json)
{
	if (load->options.engine_stats.count > 0) {
		report_number(json, "engines_read", check->engines_read);
		report_number(json, "engines_unread", check->engines_unread);
		report_number(json, "double_runs", check->double_runs);
		report_number(json, "chat_reruns", check->chat_reruns);
		report_number(json, "cold_peak", check->cold_peak);
		report_number(json, "cancelled", check->cancelled);
	}
	if (load->options.bills == NULL)
		return;
	if (!check->bills_read) {
		printf("bills: could not be read\n");
		return;
	}
	report_number(json, "bills", check->bills);
	report_number(json, "double_bills", check->double_bills);
	report_number(json, "answers_unbilled", check->answers_unbilled);
}

/* Writes the ids of the requests with a complete answer, one a line. */
static void
write_answered(struct load *load)
{
	apr_hash_index_t *at;
	const void *id;
	FILE *file;

	if (load->options.answered == NULL)
		return;
	file = fopen(load->options.answered, "w");
	if (file == NULL) {
		fprintf(stderr, "can't write %s\n", load->options.answered);
		return;
	}
	for (at = apr_hash_first(load->pool, load->requests); at != NULL;
	     at = apr_hash_next(at)) {
		apr_hash_this(at, &id, NULL, NULL);
		fprintf(file, "%s\n", (const char *)id);
	}
	fclose(file);
}

/*
 * Reads the engines' counters and the bills, prints the results and writes
 * them as JSON.  Returns 0, or 1 if a guarantee was violated: a truncated
 * answer presented as complete, an answer to another request, a double run or
 * a double bill.
 */
int
report_results(struct load *load)
{
	struct check check = {0};
	json_t *json = json_object();

	report_counts(load, json);
	report_statuses(load, json);
	report_errors(load, json);
	report_versions(load, json);
	report_targets(load, json);
	report_hist(json, "first_token", &load->first_token);
	report_hist(json, "between_tokens", &load->between_tokens);
	report_hist(json, "whole", &load->whole);
	watch_report(load, json);
	write_answered(load);
	check_engines(load, &check);
	check_bills(load, &check);
	report_checks(load, &check, json);
	if (load->options.json != NULL &&
	    json_dump_file(json, load->options.json, JSON_INDENT(2)) != 0)
		fprintf(stderr, "can't write %s\n", load->options.json);
	json_decref(json);
	return load->counts.cut_as_whole + load->counts.crossed +
		   check.double_runs + check.double_bills >
	       0;
}
