#ifndef CF_FLEET_H
#define CF_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "celeryford.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The backend servers of one data centre, as one entry instance knows them. */
struct fl_server {
	struct cf_announce said; /* its last announcement */
	bool known; /* announced and neither silent nor gone */
	uint16_t in_flight; /* attempts of this instance */
	int64_t heard_us;
};

struct fl;

struct fl *fl_new(const struct alloc *alloc, uint16_t max_servers);
void fl_free(struct fl *fl);
bool fl_announce(struct fl *fl, const struct cf_announce *said, int64_t now_us);
void fl_gone(struct fl *fl, uint16_t server);
struct fl_server *fl_server(struct fl *fl, uint16_t server);

/* What a request needs of its server. */
struct fl_need {
	uint16_t version; /* CFG_NONE: a plain service */
	uint16_t service;
	const uint16_t *avoid; /* servers already tried */
	uint8_t avoid_count;
};

bool fl_runs(const struct fl_server *server, const struct fl_need *need);
uint16_t fl_pick(struct fl *fl, struct rng *rng, const struct fl_need *need,
    int64_t now_us, uint16_t *candidates);

#ifdef __cplusplus
}
#endif

#endif
