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
 * A table of notes: short-lived facts that are gossiped to every entry
 * instance.  A note gives a value to a part of what its key names.  A higher
 * value replaces a lower one, so that notes can be merged in any order and any
 * number of times.
 *
 * An instance that receives a new note repeats it to the others for
 * NT_SPREAD_US.  An instance that starts later, or was unreachable, misses
 * these messages.  Therefore instances compare summaries of all their notes,
 * and send all of them to an instance whose summary differs.
 *
 * Does no I/O.
 */
enum {
	GW_NOTES_MAX = 8192,
	/* limit for NT_HELD, so that sessions leave room for other notes */
	GW_NOTES_HELD_MAX = 4096,
	/* how long a new note is repeated, in case a message is lost */
	NT_SPREAD_US = 3000000,
	/* longer than any instance repeats a note */
	GW_NOTES_KEEP_US = 60000000,
	GW_NOTES_CRASH_KEEP_US = 600000000, /* as long as crash marks last */
	/* notes this close to their expiry are not in the summary */
	GW_NOTES_SUMMARY_MARGIN_US = 5000000
};

enum nt_kind {
	/*
	 * The life (part) of a server ended while it ran a request (key:
	 * fingerprint).  The value is an enum su_state.
	 */
	NT_CRASH = 1,
	/*
	 * A session (key) stays with the version that it began on, during the
	 * roll-out whose number is the value.
	 */
	NT_HELD = 2,
	/*
	 * A server's answers say that it leaves; the key is its life.
	 */
	NT_LEAVING = 3,
	/* The life (key) of a server has ended without an announcement. */
	NT_ENDED = 4
};

struct nt_note {
	enum nt_kind kind;
	uint64_t key;
	uint64_t part; /* 0: everything that the key names */
	uint32_t value;
	int64_t at_us; /* when the value was set, by this instance's clock */
	int64_t heard_us; /* when this instance received it */
};

/* A summary of all notes, by which two instances compare their tables. */
struct gw_notes_summary {
	uint64_t digest;
	uint32_t count;
};

/* State of the comparison with the notes of one other instance. */
struct nt_peer {
	/* successive rounds with a different summary */
	uint32_t mismatch_rounds;
	/* index of the note sent last, when all are sent in turn */
	uint32_t next;
	bool lacks_most; /* it has fewer than half as many notes */
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
