#include "gateway/note_feed.h"

/* Returns the number after which the next message's notes begin. */
uint64_t
gw_note_feed_after(const struct gw_note_feed *feed)
{
	return feed->has_lost ? feed->known : feed->sent;
}

/* Records that the notes up to a number were sent. */
void
gw_note_feed_sent(struct gw_note_feed *feed, uint64_t to, int64_t now_us)
{
	if (to > feed->known &&
	    (feed->has_lost || feed->probe <= feed->known)) {
		feed->probe = to;
		feed->probe_us = now_us;
	}
	feed->has_lost = false;
	feed->sent = to;
}

/* Begins again from the first note, as the other instance lacks some. */
void
gw_note_feed_restart(struct gw_note_feed *feed)
{
	feed->sent = feed->known = feed->probe = 0;
	feed->has_lost = false;
}

/*
 * Records the number of the last note that the other instance has; 0 if it has
 * heard none of this incarnation.
 */
void
gw_note_feed_acknowledged(
    struct gw_note_feed *feed, uint64_t heard, int64_t now_us)
{
	feed->is_answered = true;
	feed->known = heard;
	if (feed->sent < heard)
		feed->sent = heard;
	feed->has_lost |= heard < feed->probe &&
			  now_us - feed->probe_us >= NOTE_FEED_ROUND_TRIP_US;
}

/*
 * Records the arrival of the other instance's notes after one number up to
 * another.  They don't count if earlier ones are missing.
 */
void
gw_note_feed_arrived(struct gw_note_feed *feed, uint64_t incarnation,
    uint64_t after, uint64_t to)
{
	if (feed->incarnation != incarnation) {
		feed->incarnation = incarnation;
		feed->heard = 0;
	}
	if (after <= feed->heard && to > feed->heard)
		feed->heard = to;
}

/*
 * Returns the delay of the next early message: NOTE_PACE_URGENT_US, or longer
 * once NOTE_PACE_BURST of them went out in a short time.
 */
int64_t
gw_note_pace_delay_us(const struct gw_note_pace *pace, int64_t now_us)
{
	int64_t wait_us = pace->paid_us - now_us -
			  (NOTE_PACE_BURST - 1) * NOTE_PACE_INTERVAL_US;

	return wait_us > NOTE_PACE_URGENT_US ? wait_us : NOTE_PACE_URGENT_US;
}

/*
 * Counts a message that went out early.  Those for other kinds of notes are not
 * paced, and delay the next one no longer than the burst takes up.
 */
void
gw_note_pace_spend(struct gw_note_pace *pace, int64_t now_us)
{
	int64_t latest_us = now_us + NOTE_PACE_BURST * NOTE_PACE_INTERVAL_US;

	if (pace->paid_us < now_us)
		pace->paid_us = now_us;
	pace->paid_us += NOTE_PACE_INTERVAL_US;
	if (pace->paid_us > latest_us)
		pace->paid_us = latest_us;
}
