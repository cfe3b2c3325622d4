#ifndef CF_CFGSYNC_STORE_H
#define CF_CFGSYNC_STORE_H

#include "state/cfgsync.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The document of the newest revision and the last deltas to it, as a source
 * or a relay serves them to those below.
 */
struct cy_delta {
	uint64_t base;
	uint64_t revision;
	struct buf bytes;
};

struct cy_store {
	const struct alloc *alloc;
	uint64_t revision;
	struct buf document;
	struct cy_delta deltas[CY_DELTAS_MAX]; /* a ring */
	uint32_t delta_count; /* ever added */
};

typedef void cy_send_fn(void *ctx, uint32_t to, struct cy_msg *msg);

void cy_store_init(struct cy_store *store, const struct alloc *alloc);
void cy_store_free(struct cy_store *store);
void cy_store_set(struct cy_store *store, uint64_t revision,
    const uint8_t *document, size_t len);
void cy_store_add_delta(struct cy_store *store, uint64_t base,
    uint64_t revision, const uint8_t *data, size_t len);
/* Brings one below from its revision up to date. */
void cy_store_serve(const struct cy_store *store, uint32_t to, uint64_t have,
    cy_send_fn *send, void *ctx);
void cy_store_chunk(const struct cy_store *store, uint32_t to,
    uint64_t revision, uint64_t offset, cy_send_fn *send, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
