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
 * Which version a session runs on.  Bindings are kept in bounded memory, the
 * least recently used one goes first.  A session's first version follows from
 * its id and the configuration at its birth alone, so a lost binding is found
 * again by the same rule.  The rule goes back a bounded number of changes to a
 * workspace's versions, and does not know when the cap of a roll-out was full:
 * a session that got another version for that reason alone, and whose binding
 * is lost at all its keepers, may move.
 */
struct session_key {
	uint16_t workspace;
	uint64_t id;
	uint64_t birth; /* revision; 0: unknown, the newest is taken */
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
