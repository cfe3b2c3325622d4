#ifndef CF_ROUTE_SUSPECTS_H
#define CF_ROUTE_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Which requests may have crashed a backend server: those whose connections it
 * ended without a word shortly before it could not be reached any more.  A
 * server that answers in between has not crashed.  No I/O.
 */
enum {
	SU_SERVERS_MAX = 2048,
	SU_REQUESTS_MAX = 8 /* suspects of one server; the latest count */
};

struct su;

struct su *su_new(const struct alloc *alloc);
void su_free(struct su *su);
void su_broken(
    struct su *su, uint16_t server, uint64_t fingerprint, int64_t now_us);
uint32_t su_answered(struct su *su, uint16_t server);
/* Calls crashed for each suspect of a server that is down, and forgets them. */
void su_down(struct su *su, uint16_t server, int64_t now_us,
    void (*crashed)(void *ctx, uint64_t fingerprint), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
