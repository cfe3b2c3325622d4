#ifndef CF_CFGSTORE_I_H
#define CF_CFGSTORE_I_H

/* Internals of the configuration store; see cfgstore.h. */

#include "state/cfgstore.h"

enum {
	CFGSTORE_ANSWER_BUCKETS = 4096
};

struct cfgstore_stored_section {
	char *path;
	char *text;
	size_t len;
	uint64_t revision;
	char *author;
	int64_t when_us;
	bool removed; /* kept so that deltas report the removal */
};

struct cfgstore_answer {
	struct cfgstore_answer *next_in_bucket;
	struct cfgstore_answer *next; /* next higher log index */
	char *id;
	uint64_t log_index;
	struct cfgstore_result result;
};

struct cfgstore_history_record {
	uint64_t revision;
	uint64_t log_index;
	int64_t when_us;
	char *id;
	char *author;
	char *team;
	char *paths;
};

struct cfgstore {
	struct cfgstore_options options;
	const struct alloc *alloc;
	uint64_t revision;
	uint64_t log_index;
	/* Oldest revision from which a delta can be made. */
	uint64_t delta_base_min;
	/* Sorted by path; includes removed sections. */
	struct cfgstore_stored_section *sections;
	size_t section_count;
	size_t section_capacity;
	size_t present_count; /* sections that are not removed */
	struct cfgstore_history_record *history; /* oldest first */
	size_t history_count;
	struct cfgstore_answer *oldest;
	struct cfgstore_answer *newest;
	struct cfgstore_answer *buckets[CFGSTORE_ANSWER_BUCKETS];
};

void cfgstore_clear(struct cfgstore *cfgstore);
size_t cfgstore_find_index(
    const struct cfgstore *cfgstore, const char *path, bool *found);
struct cfgstore_answer *cfgstore_find_answer(
    const struct cfgstore *cfgstore, const char *id);
struct cfgstore_stored_section *cfgstore_find_section(
    struct cfgstore *cfgstore, const char *path, bool create);
void cfgstore_set_text(struct cfgstore *cfgstore,
    struct cfgstore_stored_section *stored, const void *text, size_t len);
void cfgstore_set_author(struct cfgstore *cfgstore,
    struct cfgstore_stored_section *stored, const char *author);
struct cfgstore_answer *cfgstore_add_answer(struct cfgstore *cfgstore,
    const char *id, uint64_t log_index, const struct cfgstore_result *result);
void cfgstore_history_add(
    struct cfgstore *cfgstore, const struct cfgstore_history *entry);

#endif
