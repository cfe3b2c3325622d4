#ifndef CF_CFGSTORE_I_H
#define CF_CFGSTORE_I_H

/* What the files of the configuration store share; see cfgstore.h. */

#include "state/cfgstore.h"

enum {
	CS_BUCKETS = 4096
};

struct cs_stored {
	char *path;
	char *text;
	size_t len;
	uint64_t revision;
	char *author;
	int64_t when_us;
	bool removed; /* kept for those who ask what changed */
};

struct cs_answered {
	struct cs_answered *next_in_bucket;
	struct cs_answered *next; /* by log index */
	char *id;
	uint64_t log_index;
	struct cfgstore_result result;
};

struct cs_event {
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
	uint64_t floor; /* deltas reach back to here */
	struct cs_stored *sections; /* by path */
	size_t section_count;
	size_t section_size;
	size_t present_count;
	struct cs_event *history; /* oldest first */
	size_t history_count;
	struct cs_answered *oldest;
	struct cs_answered *newest;
	struct cs_answered *buckets[CS_BUCKETS];
};

void cs_clear(struct cfgstore *cfgstore);
size_t cs_find(const struct cfgstore *cfgstore, const char *path, bool *found);
struct cs_answered *cs_recall(const struct cfgstore *cfgstore, const char *id);
struct cs_stored *cs_store(
    struct cfgstore *cfgstore, const char *path, bool create);
void cs_set_text(struct cfgstore *cfgstore, struct cs_stored *stored,
    const void *text, size_t len);
void cs_set_author(
    struct cfgstore *cfgstore, struct cs_stored *stored, const char *author);
struct cs_answered *cs_remember(struct cfgstore *cfgstore, const char *id,
    uint64_t log_index, const struct cfgstore_result *result);
void cs_history_add(
    struct cfgstore *cfgstore, const struct cfgstore_history *entry);

#endif
