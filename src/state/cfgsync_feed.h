#ifndef CF_CFGSYNC_FEED_H
#define CF_CFGSYNC_FEED_H

#include "state/cfgsync.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What a replica's source and a data centre's relay have in common: the newest
 * document, the deltas that led to it, and the instances that are fed from it.
 */
enum {
	CY_FED_SILENT_PERIODS = 5 /* unheard: not pushed to any more */
};

struct cy_delta {
	uint64_t base;
	uint64_t revision;
	struct buf bytes;
};

struct cy_fed {
	uint32_t instance;
	uint64_t incarnation;
	uint64_t revision; /* in force there, as it last said */
	uint64_t confirmed; /* and durable where it has a disk */
	int64_t heard_us;
	bool dirty; /* confirmation not yet passed on */
};

struct cy_feed {
	const struct cfgsync_options *options;
	uint64_t revision;
	struct buf document;
	struct cy_delta deltas[CY_DELTAS_MAX]; /* a ring, by use */
	uint32_t delta_count;
	uint32_t delta_next;
	struct cy_fed *fed;
	uint32_t fed_count;
	uint32_t fed_size;
};

void cy_feed_init(struct cy_feed *feed, const struct cfgsync_options *options);
void cy_feed_free(struct cy_feed *feed);
void cy_feed_set(struct cy_feed *feed, uint64_t revision,
    const uint8_t *document, size_t len);
void cy_feed_add_delta(struct cy_feed *feed, uint64_t base, uint64_t revision,
    const uint8_t *delta, size_t len);
struct cy_fed *cy_feed_find(struct cy_feed *feed, uint32_t instance);
struct cy_fed *cy_feed_get(struct cy_feed *feed, uint32_t instance);
void cy_feed_remove(struct cy_feed *feed, uint32_t instance);
void cy_feed_send(struct cy_feed *feed, uint32_t to, uint64_t from_revision);
void cy_feed_push(struct cy_feed *feed, int64_t now_us);
void cy_feed_chunk(
    struct cy_feed *feed, uint32_t to, uint64_t revision, uint64_t offset);
void cy_emit_send(const struct cfgsync_options *options, uint32_t to,
    const struct cfgsync_msg *msg);
int64_t cy_period_us(const struct cfgsync_options *options);
int64_t cy_lease_us(const struct cfgsync_options *options);

#ifdef __cplusplus
}
#endif

#endif
