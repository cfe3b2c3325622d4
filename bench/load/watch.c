#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "load.h"

/* A process whose processor time and memory are read, as NAME=PID. */
struct watch {
	const char *name;
	size_t name_len;
	int pid;
	double cpu_start_s, cpu_end_s;
	long rss_start_kib, rss_kib;
	unsigned open; /* open requests when rss_kib was read */
};

enum {
	STAT_USER_TIME =
	    11, /* index among the fields after the name's bracket */
	STAT_KERNEL_TIME = 12
};

/* Returns the processor time of a process in seconds; 0 if it has ended. */
static double
read_cpu_s(int pid)
{
	char path[64], line[1024];
	unsigned long ticks = 0;
	char *at = NULL, *rest = NULL;
	FILE *file;
	int i;

	snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fgets(line, sizeof(line), file) != NULL)
		at = strrchr(line, ')');
	fclose(file);
	if (at == NULL)
		return 0;
	at = strtok_r(at + 1, " ", &rest);
	for (i = 0; at != NULL && i <= STAT_KERNEL_TIME; i++) {
		if (i == STAT_USER_TIME || i == STAT_KERNEL_TIME)
			ticks += strtoul(at, NULL, 10);
		at = strtok_r(NULL, " ", &rest);
	}
	return (double)ticks / (double)sysconf(_SC_CLK_TCK);
}

/* Returns the resident memory of a process in KiB; 0 if it has ended. */
static long
read_rss_kib(int pid)
{
	char path[64], line[256], *pages = NULL;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fgets(line, sizeof(line), file) != NULL)
		pages = strchr(line, ' ');
	fclose(file);
	if (pages == NULL)
		return 0;
	return strtol(pages, NULL, 10) * (sysconf(_SC_PAGESIZE) / 1024);
}

/* Reads the watched processes before the first request. */
void
watch_start(struct load *load)
{
	const struct flag_list *list = &load->options.watch;
	struct watch *watch;
	const char *equals;
	int i;

	load->watches =
	    alloc_zero(alloc_default(), FLAG_LIST_ITEMS_MAX, sizeof(*watch));
	for (i = 0; i < list->count; i++) {
		watch = &load->watches[i];
		watch->name = list->items[i];
		equals = strchr(watch->name, '=');
		if (equals == NULL) {
			watch->name_len = strlen(watch->name);
			continue;
		}
		watch->name_len = (size_t)(equals - watch->name);
		watch->pid = (int)strtol(equals + 1, NULL, 10);
		watch->cpu_start_s = read_cpu_s(watch->pid);
		watch->rss_start_kib = read_rss_kib(watch->pid);
	}
}

/*
 * Reads the watched processes again after the last new request, while requests
 * are still open.
 */
void
watch_sample(struct load *load)
{
	struct watch *watch;
	int i;

	for (i = 0; i < load->options.watch.count; i++) {
		watch = &load->watches[i];
		watch->cpu_end_s = read_cpu_s(watch->pid);
		watch->rss_kib = read_rss_kib(watch->pid);
		watch->open = tool_loop_running_transfers(load->loop);
	}
}

/* Prints the readings and adds them to the JSON report as "watched". */
void
watch_report(struct load *load, void *json)
{
	json_t *list = json_array();
	struct watch *watch;
	double cpu_s;
	int i;

	for (i = 0; i < load->options.watch.count; i++) {
		watch = &load->watches[i];
		cpu_s = watch->cpu_end_s - watch->cpu_start_s;
		printf("watched %.*s: cpu_s %.2f rss_kib %ld (before %ld) with "
		       "%u open\n",
		    (int)watch->name_len, watch->name, cpu_s, watch->rss_kib,
		    watch->rss_start_kib, watch->open);
		json_array_append_new(
		    list, json_pack("{s:s%, s:f, s:I, s:I, s:i}", "name",
			      watch->name, watch->name_len, "cpu_s", cpu_s,
			      "rss_kib", (json_int_t)watch->rss_kib,
			      "rss_start_kib", (json_int_t)watch->rss_start_kib,
			      "open", (int)watch->open));
	}
	json_object_set_new(json, "watched", list);
}
