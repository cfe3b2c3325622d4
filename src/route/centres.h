#ifndef CF_ROUTE_CENTRES_H
#define CF_ROUTE_CENTRES_H

#include <stdbool.h>
#include <stdint.h>

#include "state/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Which data centres this instance can reach.  A server that does not even
 * refuse a connection, or several servers that cannot be reached, may mean that
 * their data centre is cut off.  Its other servers are then not tried one by
 * one while servers elsewhere are available.  No I/O.
 */

enum {
	CENTRES_MAX = 32, /* data centres; any further one replaces the first */
	/*
	 * Different servers that fail before their data centre counts as down
	 */
	CENTRES_FAILURES_MIN = 2,
	/* Failures further apart are unrelated */
	CENTRES_FAILURE_WINDOW_US = 3000000,
	CENTRES_DOWN_US = 1000000 /* then the data centre is tried again */
};

struct centres_row {
	char name[REGISTRY_NAME_BYTES];
	uint16_t last; /* server that last could not be reached */
	/* Failures of different servers since a server there answered */
	uint8_t failures;
	int64_t failed_us;
	int64_t down_until_us;
};

struct centre_table {
	struct centres_row rows[CENTRES_MAX];
	uint32_t count;
};

bool centres_is_down(
    struct centre_table *table, const char *name, int64_t now_us);
void centres_record_failure(struct centre_table *table, const char *name,
    uint16_t server, bool silent, int64_t now_us);
void centres_record_answer(struct centre_table *table, const char *name);

#ifdef __cplusplus
}
#endif

#endif
