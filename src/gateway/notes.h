#ifndef CF_GATEWAY_NOTES_H
#define CF_GATEWAY_NOTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Small facts that every entry instance should know soon, and not for long, as
 * one instance has heard of them: a key of some kind has a value, and a higher
 * value replaces a lower one.  Whoever hears something new repeats it to the
 * others for a while.  Does no I/O.
 */
enum {
	NT_MAX = 4096,
	NT_SPREAD_US = 3000000, /* repeated so long, in case one is lost */
	NT_KEPT_US = 60000000 /* longer than any instance repeats it */
};

enum nt_kind {
	NT_CRASH = 1, /* a request (fingerprint) crashed so many servers */
	NT_HELD = 2, /* a session stays with the version it began on, in the
			roll-out with that number */
	NT_LEAVING = 3 /* a server's answers say that it leaves (its life) */
};

struct nt_note {
	enum nt_kind kind;
	uint64_t key;
	uint32_t value;
	int64_t at_us; /* when this value was heard first */
};

struct nt;

struct nt *nt_new(const struct alloc *alloc);
void nt_free(struct nt *nt);
bool nt_take(struct nt *nt, enum nt_kind kind, uint64_t key, uint32_t value,
    int64_t now_us);
void nt_forget(struct nt *nt, int64_t now_us);
size_t nt_count(const struct nt *nt);
const struct nt_note *nt_at(const struct nt *nt, size_t i);
uint64_t nt_dropped(const struct nt *nt);

#ifdef __cplusplus
}
#endif

#endif
