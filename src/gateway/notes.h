#ifndef CF_GATEWAY_NOTES_H
#define CF_GATEWAY_NOTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "gateway/note_feed.h"
#include "route/server_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A table of notes: short-lived facts that are gossiped to every entry
 * instance.  A note gives a value to a part of what its key names.  A higher
 * value replaces a lower one, so that notes can be merged in any order and any
 * number of times.
 *
 * An instance that receives a new note passes it to the others, once to those
 * that acknowledge what they have heard (gateway/note_feed.h); to others it
 * repeats it for GW_NOTES_REPEAT_US.  An instance that starts later, or was
 * unreachable,
 * misses these messages.  Therefore instances compare summaries of all their
 * notes, and send all of them to an instance whose summary differs.
 *
 * Does no I/O.
 */
enum {
	GW_NOTES_MAX = 8192,
	/* limit for GW_NOTE_SESSION_HELD, so that sessions leave room for other
	 * notes */
	GW_NOTES_HELD_MAX = 4096,
	/* how long a new note is repeated, in case a message is lost */
	GW_NOTES_REPEAT_US = 3000000,
	/* time between two repetitions to the same instance */
	GW_NOTES_REPEAT_INTERVAL_US = 1000000,
	/* longer than any instance repeats a note */
	GW_NOTES_KEEP_US = 60000000,
	GW_NOTES_CRASH_KEEP_US = 600000000, /* as long as crash marks last */
	/* as long as a server's limit is kept without news of it */
	GW_NOTES_LIMIT_KEEP_US = SERVER_LIMIT_KEEP_US,
	/* rounds with a different summary until others' notes are passed on */
	GW_NOTES_RELAY_ROUNDS = 2,
	/* notes this close to their expiry are not in the summary */
	GW_NOTES_SUMMARY_MARGIN_US = 5000000
};

enum gw_note_kind {
	/*
	 * The life (part) of a server ended while it ran a request (key:
	 * fingerprint).  The value is an enum suspects_finding.
	 */
	GW_NOTE_CRASH = 1,
	/*
	 * A session (key) stays with the version that it began on, during the
	 * roll-out whose number is the value.
	 */
	GW_NOTE_SESSION_HELD = 2,
	/*
	 * A server's answers say that it leaves; the key is its life.
	 */
	GW_NOTE_SERVER_LEAVING = 3,
	/* The life (key) of a server has ended without an announcement. */
	GW_NOTE_SERVER_ENDED = 4,
	/*
	 * The limit that the answers of a server's life (key) name.  The value
	 * is that of server_limit_pack().
	 */
	GW_NOTE_SERVER_LIMIT = 5,
	/* As GW_NOTE_CRASH, of a part of prompts (key: its id) */
	GW_NOTE_PART_CRASH = 6,
	/*
	 * As GW_NOTE_SERVER_LIMIT, of the refusals a second that a brittle
	 * server bears
	 */
	GW_NOTE_SERVER_BRITTLE = 7
};

struct gw_note {
	enum gw_note_kind kind;
	uint64_t key;
	uint64_t part; /* 0: everything that the key names */
	uint64_t value;
	int64_t at_us; /* when the value was set, by this instance's clock */
	int64_t heard_us; /* when this instance received it */
	uint32_t told_by; /* number of the instance that it came from */
	uint64_t number; /* in the order in which notes were heard, from 1 */
};

/* A summary of all notes, by which two instances compare their tables. */
struct gw_notes_summary {
	uint64_t digest;
	uint32_t count;
};

/*
 * What was sent to one other instance, and the state of the comparison with its
 * notes.
 */
struct gw_notes_peer {
	struct gw_note_feed feed;
	/*
	 * Notes of other instances than this one wait for GW_NOTES_RELAY_ROUNDS
	 * rounds with a different summary, as they reach it by another way; 0:
	 * none waits.
	 */
	uint32_t own_first;
	uint64_t relayed; /* number of the last note of others sent to it */
	/* of an instance that acknowledges nothing: */
	int64_t sent_us; /* when notes were sent to it last */
	int64_t repeated_us; /* when all new notes were sent to it last */
	/* successive rounds with a different summary */
	uint32_t mismatch_rounds;
	/* index of the note sent last, when all are sent in turn */
	uint32_t next;
	bool lacks_most; /* it has fewer than half as many notes */
};

struct gw_notes;

struct gw_notes *gw_notes_new(const struct alloc *alloc);
void gw_notes_free(struct gw_notes *table);
bool gw_notes_add(
    struct gw_notes *table, const struct gw_note *note, int64_t now_us);
void gw_notes_remove_expired(struct gw_notes *table, int64_t now_us);
size_t gw_notes_count(const struct gw_notes *table);
const struct gw_note *gw_notes_find(
    const struct gw_notes *table, enum gw_note_kind kind, uint64_t key);
const struct gw_note *gw_notes_at(const struct gw_notes *table, size_t i);
const struct gw_note *gw_notes_newest(const struct gw_notes *table);
const struct gw_note *gw_notes_heard_before(
    const struct gw_notes *table, const struct gw_note *note);
const struct gw_note *gw_notes_heard_after(
    const struct gw_notes *table, const struct gw_note *note);
uint64_t gw_notes_last_number(const struct gw_notes *table);
struct gw_notes_summary gw_notes_summarize(
    const struct gw_notes *table, int64_t now_us);
void gw_notes_compare(struct gw_notes_peer *peer,
    const struct gw_notes_summary *own, const struct gw_notes_summary *its);
bool gw_notes_should_send_all(const struct gw_notes *table,
    const struct gw_notes_peer *peer, uint32_t rounds, int64_t now_us);
uint64_t gw_notes_dropped(const struct gw_notes *table);

#ifdef __cplusplus
}
#endif

#endif
