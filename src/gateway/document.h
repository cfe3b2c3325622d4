#ifndef CF_GATEWAY_DOCUMENT_H
#define CF_GATEWAY_DOCUMENT_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Reads operators' documents.  Reading a large one takes longer than a leader
 * may be silent or a caller should wait, so that a thread does it.  Documents
 * are reported in the order in which they were passed.
 */
struct gw_document_reader;

struct gw_document {
	struct buf text; /* as the operator sent it */
	/* NULL after an error; a callback that keeps it sets it to NULL */
	struct route_table *routes;
	uint64_t number;
	int error; /* see read_document in dialect.h */
	struct buf why; /* reason of an error */
};

struct gw_document_reader_options {
	const struct alloc *alloc;
	struct loop *loop;
	const struct gw_dialect *dialect;
	bool from_operators; /* see read_document in dialect.h */
};

/* The document is freed after the callback. */
typedef void (*gw_document_fn)(void *ctx, struct gw_document *document);

struct gw_document_reader *gw_document_reader_new(
    const struct gw_document_reader_options *options);
void gw_document_read(struct gw_document_reader *reader, const struct buf *text,
    gw_document_fn done, void *ctx);
void gw_document_reader_free(struct gw_document_reader *reader);

#ifdef __cplusplus
}
#endif

#endif
