#ifndef CF_SESSION_H
#define CF_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Session bindings: the version that each session runs on.  The table is
 * bounded; the least recently used binding is evicted first.
 *
 * The first version of a session depends only on its id and on the
 * configuration at its birth, so that session_choose_version() returns the same
 * version again after a binding was lost.  There are two limits.  Only a
 * bounded number of changes to a workspace's versions is kept.  And it is not
 * recorded when the cap of a roll-out was full: a session that got another
 * version only for that reason may move if its binding is lost on every
 * instance that keeps it.
 */
struct session_key {
	uint16_t workspace;
	uint64_t id;
	uint64_t birth; /* revision; 0: unknown, the newest is used */
};

struct session_table;

struct session_table *session_new(const struct alloc *alloc, uint32_t capacity);
void session_free(struct session_table *sessions);
void session_configure(struct session_table *sessions, const struct cfg *cfg);
uint16_t session_find_binding(
    struct session_table *sessions, const struct session_key *key);
void session_bind(struct session_table *sessions, const struct session_key *key,
    uint16_t version);
uint16_t session_choose_version(const struct session_table *sessions,
    const struct session_key *key, uint64_t candidates);

#ifdef __cplusplus
}
#endif

#endif
