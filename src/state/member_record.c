#include "state/member_core.h"

#include <string.h>

enum {
	UNCONFIRMED_FACTOR = 3 /* longer suspicion while nobody else agrees */
};

/* Records of the members: which one is newer, suspicion, and passing on. */

static bool
newer(const struct mb_record *a, const struct mb_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->version != b->version)
		return a->version > b->version;
	return a->state > b->state;
}

/* Others believe something wrong about this instance: objects. */
static void
object(struct mb *mb, const struct mb_record *record)
{
	if (record->incarnation != mb->self.incarnation ||
	    record->version < mb->self.version || mb->leaving ||
	    record->state == MB_ALIVE)
		return;
	mb->self.version = record->version;
	mb_self_changed(mb);
}

static void
add_peer(struct mb *mb, const struct mb_record *record)
{
	struct mb_peer *peer;
	uint32_t i;

	if (!mb_up(record))
		return;
	peer = NULL;
	if (mb->peer_count < MB_MEMBERS_MAX) {
		peer = &mb->peers[mb->peer_count++];
	} else {
		for (i = 0; i < mb->peer_count && peer == NULL; i++)
			if (!mb_up(&mb->peers[i].record))
				peer = &mb->peers[i];
	}
	if (peer == NULL)
		return;
	memset(peer, 0, sizeof(*peer));
	peer->record = *record;
	peer->record.state = MB_ALIVE;
	peer->sends = mb_sends(mb);
	mb_emit_record(mb, MB_JOINED, &peer->record);
}

static void
replace(struct mb *mb, int64_t now_us, struct mb_peer *peer,
    const struct mb_record *record)
{
	struct mb_record old;

	old = peer->record;
	peer->record = *record;
	peer->sends = mb_sends(mb);
	peer->confirmed = false;
	if (record->state == MB_SUSPECT)
		peer->suspected_us = now_us;
	if (mb_up(&old) &&
	    (!mb_up(record) || old.incarnation != record->incarnation)) {
		mb_emit_record(mb, MB_ENDED, &old);
		mb_relay_ended(mb, now_us, &old);
	}
	if (mb_up(record) &&
	    (!mb_up(&old) || old.incarnation != record->incarnation)) {
		peer->spare_us = 0;
		mb_emit_record(mb, MB_JOINED, &peer->record);
	}
}

/*
 * Takes a record; own: it came from the member itself.  A second suspicion of
 * a suspect confirms it.
 */
void
mb_record_apply(
    struct mb *mb, int64_t now_us, const struct mb_record *record, bool own)
{
	struct mb_peer *peer;

	if (record->instance == mb->self.instance) {
		object(mb, record);
		return;
	}
	peer = mb_peer_find(mb, record->instance);
	if (peer == NULL) {
		add_peer(mb, record);
		return;
	}
	if (newer(record, &peer->record)) {
		replace(mb, now_us, peer, record);
		return;
	}
	if (!own && record->state == MB_SUSPECT &&
	    peer->record.state == MB_SUSPECT &&
	    record->incarnation == peer->record.incarnation &&
	    record->version == peer->record.version)
		peer->confirmed = true;
	/* The member does not know yet that it has to object. */
	if (own && newer(&peer->record, record))
		peer->sends = mb_sends(mb);
}

/* A probe failed: suspects the member. */
void
mb_record_suspect(struct mb *mb, int64_t now_us, struct mb_peer *peer)
{
	struct mb_record record;

	record = peer->record;
	if (record.state == MB_SUSPECT)
		peer->confirmed =
		    peer->confirmed || now_us > peer->suspected_us;
	if (record.state != MB_ALIVE)
		return;
	record.state = MB_SUSPECT;
	replace(mb, now_us, peer, &record);
}

static uint32_t
up_count(const struct mb *mb)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < mb->peer_count; i++)
		if (mb_up(&mb->peers[i].record))
			n++;
	return n;
}

/* Suspects that did not object in time are gone. */
void
mb_record_tick(struct mb *mb, int64_t now_us)
{
	struct mb_record record;
	struct mb_peer *peer;
	int64_t wait_us;
	bool alone;
	uint32_t i;

	alone = up_count(mb) <= 1;
	for (i = 0; i < mb->peer_count; i++) {
		peer = &mb->peers[i];
		if (peer->record.state != MB_SUSPECT)
			continue;
		wait_us = mb->options.suspect_ms * (int64_t)1000;
		if (!peer->confirmed && !alone)
			wait_us *= UNCONFIRMED_FACTOR;
		if (now_us - peer->suspected_us < wait_us)
			continue;
		record = peer->record;
		record.state = MB_GONE;
		record.roles = 0;
		replace(mb, now_us, peer, &record);
	}
}

/* Adds the records that were passed on least, each once. */
void
mb_record_fill(struct mb *mb, struct mb_msg *msg)
{
	bool taken[MB_MEMBERS_MAX] = {false};
	struct mb_peer *best;
	uint32_t i;

	while (msg->record_count < MB_RECORDS_BATCH) {
		best = NULL;
		for (i = 0; i < mb->peer_count; i++)
			if (!taken[i] && mb->peers[i].sends > 0 &&
			    (best == NULL || mb->peers[i].sends > best->sends))
				best = &mb->peers[i];
		if (best == NULL)
			return;
		taken[best - mb->peers] = true;
		best->sends--;
		msg->records[msg->record_count++] = best->record;
	}
}
