#ifndef CF_GATEWAY_NOTE_FEED_H
#define CF_GATEWAY_NOTE_FEED_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How notes travel between this instance and one other: each numbers its notes
 * as it hears them, sends those after the last that it has sent, and is told
 * the last that has arrived.  Only what was lost is sent again.
 *
 * And how often messages go out early for notes of crashes.
 *
 * Does no I/O.  Times are of the monotonic clock.
 */
enum {
	/* A note not acknowledged this long after it was sent was lost */
	NOTE_FEED_ROUND_TRIP_US = 500000,
	/* Older notes are not sent, though not acknowledged */
	NOTE_FEED_KEEP_US = 20000000,
	/* Delay of a message for a note, in which others may join it */
	NOTE_PACE_URGENT_US = 10000,
	/*
	 * The same for an acquittal, and the time in which one message more may
	 * go out early
	 */
	NOTE_PACE_INTERVAL_US = 100000,
	NOTE_PACE_BURST = 4 /* messages that may go out early at once */
};

struct gw_note_feed {
	bool is_answered; /* the other instance numbers and acknowledges */
	uint64_t sent; /* number of the last note sent to it */
	uint64_t known; /* number of the last note that it acknowledged */
	/* a number that was sent at probe_us and awaits its acknowledgement */
	uint64_t probe;
	int64_t probe_us;
	bool has_lost; /* what follows known is to be sent again */
	/* the other instance's incarnation, and its last note received here */
	uint64_t incarnation;
	uint64_t heard;
};

/* Messages that went out early, less those of the time since. */
struct gw_note_pace {
	int64_t paid_us; /* until when the past messages take up the rate */
};

uint64_t gw_note_feed_after(const struct gw_note_feed *feed);
void gw_note_feed_sent(struct gw_note_feed *feed, uint64_t to, int64_t now_us);
void gw_note_feed_restart(struct gw_note_feed *feed);
void gw_note_feed_acknowledged(
    struct gw_note_feed *feed, uint64_t heard, int64_t now_us);
void gw_note_feed_arrived(struct gw_note_feed *feed, uint64_t incarnation,
    uint64_t after, uint64_t to);
int64_t gw_note_pace_delay_us(const struct gw_note_pace *pace, int64_t now_us);
void gw_note_pace_spend(struct gw_note_pace *pace, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
