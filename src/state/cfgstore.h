#ifndef CF_CFGSTORE_H
#define CF_CFGSTORE_H

/*
 * The configuration store: the state machine that the replicated log feeds.
 *
 * The document is a set of sections, each a path ("workspaces/permits") with
 * YAML text and the revision of its last change.  A change names the revision
 * that its author had read of every section it touches, so the loser of a race
 * is told who won.  A change sent again under its id gets its first answer.
 * The same entries in the same order give the same state and the same answers
 * on every replica: times and authors come from the change itself.
 *
 *	cfgstore_change_encode(&change, &buf);		at the leader
 *	rlog_step(... RLOG_EV_PROPOSE buf ...);
 *	cfgstore_apply(cs, entry.index, entry.data, entry.len, &result);
 *							at every replica
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	CFGSTORE_NAME_BYTES = 64, /* change ids, authors, teams; NUL included */
	CFGSTORE_PATH_BYTES = 128,
	CFGSTORE_ITEMS_MAX = 256, /* sections in one change */
	CS_TEXT_MAX_BYTES = 1024 * 1024
};

struct cfgstore_item {
	const char *path;
	uint64_t base_revision; /* 0: the section does not exist */
	bool remove;
	const char *text;
	size_t len;
};

struct cfgstore_change {
	const char *id; /* chosen by the sender, unique */
	const char *author;
	const char *team;
	int64_t when_us; /* wall clock of the leader that took it */
	const struct cfgstore_item *items;
	size_t item_count;
};

struct cfgstore_result {
	int error; /* 0, ERR_CONFLICT, ERR_FORBIDDEN, ERR_MALFORMED */
	uint64_t revision; /* accepted: the new one; else the current one */
	bool repeated; /* the answer to an earlier sending */
	char path[CFGSTORE_PATH_BYTES]; /* the section an error is about */
	uint64_t won_revision; /* ERR_CONFLICT: that section's */
	char won_author[CFGSTORE_NAME_BYTES];
};

struct cfgstore_section {
	const char *path;
	const char *text;
	size_t len;
	uint64_t revision;
	const char *author;
	int64_t when_us;
	bool removed; /* only from cfgstore_changes_since() */
};

struct cfgstore_history {
	uint64_t revision;
	uint64_t log_index;
	int64_t when_us;
	const char *id;
	const char *author;
	const char *team;
	const char *paths; /* one a line; "-" before a removed one */
};

struct cfgstore;

struct cfgstore_options {
	const struct alloc *alloc; /* NULL: the C library's */
	/* May this team change this section?  The same on every replica. */
	bool (*may_change)(void *ctx, const struct cfgstore *cfgstore,
	    const char *team, const char *path);
	void *ctx;
	uint32_t history_max; /* 0: 1,000 changes */
	uint64_t id_window; /* 0: ids are known for 10,000 log entries */

	/* Tests only: switch one mechanism off. */
	bool unsafe_skip_base_check;
	bool unsafe_skip_ids;
};

struct cfgstore *cfgstore_new(const struct cfgstore_options *options);
void cfgstore_free(struct cfgstore *cfgstore);

int cfgstore_change_encode(
    const struct cfgstore_change *change, struct buf *out);
void cfgstore_apply(struct cfgstore *cfgstore, uint64_t log_index,
    const void *data, size_t len, struct cfgstore_result *result);
bool cfgstore_get_answer(const struct cfgstore *cfgstore, const char *id,
    struct cfgstore_result *result);

uint64_t cfgstore_revision(const struct cfgstore *cfgstore);
uint64_t cfgstore_applied_index(const struct cfgstore *cfgstore);
size_t cs_section_count(const struct cfgstore *cfgstore);
bool cfgstore_section_at(const struct cfgstore *cfgstore, size_t i,
    struct cfgstore_section *section);
bool cfgstore_section_get(const struct cfgstore *cfgstore, const char *path,
    struct cfgstore_section *section);
size_t cfgstore_history_count(const struct cfgstore *cfgstore);
bool cfgstore_history_at(
    const struct cfgstore *cfgstore, size_t i, struct cfgstore_history *entry);

/*
 * Delta distribution: calls visit for each section that changed after a
 * revision, oldest change first.  ERR_STALE: too old, send the whole.
 */
int cfgstore_changes_since(const struct cfgstore *cfgstore, uint64_t revision,
    void (*visit)(void *ctx, const struct cfgstore_section *section),
    void *ctx);

void cfgstore_encode_image(const struct cfgstore *cfgstore, struct buf *out);
int cfgstore_restore_image(
    struct cfgstore *cfgstore, const void *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
