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
 * Small facts that every entry instance should know soon, and not for ever: a
 * part of what a key names has a value, and a higher value replaces a lower
 * one, so that notes may be merged in any order and any number of times.
 *
 * Whoever hears something new repeats it to the others for a while.  An
 * instance that starts later, or was out of reach, has missed that: instances
 * compare the sums of all their notes, and those that differ are told all of
 * them. Does no I/O.
 */
enum {
	GW_NOTES_MAX = 8192,
	GW_NOTES_HELD_MAX =
	    4096, /* so that sessions leave room for the others */
	NT_SPREAD_US = 3000000, /* repeated so long, in case one is lost */
	GW_NOTES_KEEP_US = 60000000, /* longer than any instance repeats it */
	GW_NOTES_CRASH_KEEP_US = 600000000, /* as long as requests are marked */
	GW_NOTES_SUMMARY_MARGIN_US =
	    5000000 /* before their end, notes are not in sums */
};

enum nt_kind {
	NT_CRASH = 1, /* a request (fingerprint) and a life of a server that
			 ended under it (part): an enum su_state */
	NT_HELD = 2, /* a session stays with the version it began on, in the
			roll-out with that number */
	NT_LEAVING = 3, /* a server's answers say that it leaves (its life) */
	NT_ENDED = 4 /* a server's life has ended without notice */
};

struct nt_note {
	enum nt_kind kind;
	uint64_t key;
	uint64_t part; /* 0: the whole */
	uint32_t value;
	int64_t at_us; /* when the value was set, of the own clock */
	int64_t heard_us; /* when this instance heard of it */
};

/* What two instances compare. */
struct gw_notes_summary {
	uint64_t digest;
	uint32_t count;
};

/* How the notes of another instance compare, and what it was told of them. */
struct nt_peer {
	uint32_t mismatch_rounds; /* in a row in which its sum was another */
	uint32_t next; /* of the notes that it is told when it is told all */
	bool lacks_most;
};

struct nt;

struct nt *nt_new(const struct alloc *alloc);
void nt_free(struct nt *table);
bool nt_take(struct nt *table, const struct nt_note *note, int64_t now_us);
void gw_notes_remove_expired(struct nt *table, int64_t now_us);
size_t nt_count(const struct nt *table);
const struct nt_note *nt_at(const struct nt *table, size_t i);
struct gw_notes_summary gw_notes_summarize(
    const struct nt *table, int64_t now_us);
void gw_notes_compare(struct nt_peer *peer, const struct gw_notes_summary *own,
    const struct gw_notes_summary *its);
bool gw_notes_should_send_all(const struct nt *table,
    const struct nt_peer *peer, uint32_t rounds, int64_t now_us);
uint64_t gw_notes_dropped(const struct nt *table);

#ifdef __cplusplus
}
#endif

#endif
