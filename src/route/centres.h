#ifndef CF_ROUTE_CENTRES_H
#define CF_ROUTE_CENTRES_H

#include <stdbool.h>
#include <stdint.h>

#include "state/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Which data centres' servers can be reached, as far as this instance has
 * found.  A server that does not even refuse a connection, or several that
 * can't be reached, may mean that their data centre is cut off: the rest of it
 * is not tried one by one while there are others.  No I/O.
 */

enum {
	CENTRES_MAX =
	    32, /* data centres; one more takes the first one's place */
	CENTRES_FAILURES_MIN =
	    2, /* different servers, before all are doubted */
	CENTRES_FAILURE_WINDOW_US =
	    3000000, /* failures further apart are unrelated */
	CENTRES_DOWN_US = 1000000 /* then one request tries it again */
};

struct centres_row {
	char name[RG_NAME_BYTES];
	uint16_t last; /* server that could not be reached last */
	uint8_t failures; /* of different servers, without one that answered */
	int64_t failed_us;
	int64_t down_until_us;
};

struct centre_table {
	struct centres_row rows[CENTRES_MAX];
	uint32_t count;
};

bool centres_is_down(
    struct centre_table *centre_table, const char *name, int64_t now_us);
void centres_record_failure(struct centre_table *centre_table, const char *name,
    uint16_t server, bool silent, int64_t now_us);
void centres_record_answer(struct centre_table *centre_table, const char *name);

#ifdef __cplusplus
}
#endif

#endif
