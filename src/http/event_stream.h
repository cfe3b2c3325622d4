#ifndef CF_EVENT_STREAM_H
#define CF_EVENT_STREAM_H

/*
 * Finds the ends of the events in a stream of type text/event-stream that
 * arrives in parts of any size:
 *
 *	buf_add(&buf, data, len);
 *	while ((n = event_stream_next(&buf, &scanned)) > 0) {
 *		handle(buf.data, n);
 *		buf_consume(&buf, n);
 *	}
 */

#include <stddef.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	/*
	 * Largest event.  The last event of some model servers repeats the
	 * whole answer.
	 */
	EVENT_STREAM_EVENT_MAX_BYTES = 256 * 1024
};

size_t event_stream_next(const struct buf *buf, size_t *scanned_bytes);

#ifdef __cplusplus
}
#endif

#endif
