#ifndef CF_CFGSYNC_FEED_H
#define CF_CFGSYNC_FEED_H

#include "state/cfgsync.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The part that a replica's source and a data centre's relay share: the newest
 * document, the deltas that led to it, and the instances that receive it.
 */
enum {
	CFGSYNC_SILENT_PERIODS = 5 /* without a message: no more pushes */
};

struct cfgsync_delta {
	uint64_t base;
	uint64_t revision;
	struct buf bytes;
};

struct cfgsync_subscriber {
	uint32_t instance;
	uint64_t incarnation;
	uint64_t revision; /* as it last reported */
	uint64_t confirmed; /* in force, and durable if it has a disk */
	int64_t heard_us;
	bool forward_due; /* confirmation not yet forwarded upstream */
};

struct cfgsync_feed {
	const struct cfgsync_options *options;
	uint64_t revision;
	struct buf document;
	struct cfgsync_delta deltas[CFGSYNC_DELTAS_MAX]; /* ring buffer */
	uint32_t delta_count;
	uint32_t delta_next;
	struct cfgsync_subscriber *subscribers;
	uint32_t subscriber_count;
	uint32_t subscriber_capacity;
};

void cfgsync_feed_init(
    struct cfgsync_feed *feed, const struct cfgsync_options *options);
void cfgsync_feed_free(struct cfgsync_feed *feed);
void cfgsync_feed_set_document(struct cfgsync_feed *feed, uint64_t revision,
    const uint8_t *document, size_t len);
void cfgsync_feed_add_delta(struct cfgsync_feed *feed, uint64_t base,
    uint64_t revision, const uint8_t *delta, size_t len);
struct cfgsync_subscriber *cfgsync_feed_find(
    struct cfgsync_feed *feed, uint32_t instance);
struct cfgsync_subscriber *cfgsync_feed_find_or_add(
    struct cfgsync_feed *feed, uint32_t instance);
void cfgsync_feed_remove(struct cfgsync_feed *feed, uint32_t instance);
void cfgsync_feed_send_updates(
    struct cfgsync_feed *feed, uint32_t to, uint64_t from_revision);
void cfgsync_feed_push_all(struct cfgsync_feed *feed, int64_t now_us);
void cfgsync_feed_send_chunk(
    struct cfgsync_feed *feed, uint32_t to, uint64_t revision, uint64_t offset);
void cfgsync_emit_send(const struct cfgsync_options *options, uint32_t to,
    const struct cfgsync_msg *msg);
int64_t cfgsync_period_us(const struct cfgsync_options *options);
int64_t cfgsync_lease_us(const struct cfgsync_options *options);

#ifdef __cplusplus
}
#endif

#endif
