#ifndef CF_GATEWAY_EXCHANGE_H
#define CF_GATEWAY_EXCHANGE_H

#include "base/log.h"
#include "gateway/entry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One caller's request, shared by the files that carry it:
 *
 *	exchange.c		taken in, timed, ended
 *	exchange_send.c		placed and sent to a backend server
 *	exchange_answer.c	the server's answer, passed on or tried again
 *
 * Where it goes is route/pool.c's choice, what follows an attempt is
 * route/course.c's; these files carry that out and keep the promises about
 * what was sent.
 */
enum {
	GX_TRIED_MAX = 8,
	GX_AWAIT_US = 700000, /* for orders and servers, after a start */
	GX_RETRY_MIN_MS = 50,
	GX_RETRY_FULL_MS = 300,
	GX_RETRY_UNKNOWN_MS = 1500, /* while no document or server is known */
	US_PER_MS = 1000
};

/* The attempt under way, or the last one. */
struct gx_attempt {
	struct hu_call *call; /* NULL: none under way */
	uint16_t server;
	enum pl_role role;
	uint64_t born_ms; /* of the server's life that it was sent to */
	int64_t sent_us;
	bool answered; /* the header has come */
	bool not_run; /* the server says so */
	bool defective;
	bool leaving; /* the server says that it is about to end */
	uint32_t pause_ms; /* it refused, and wants nothing for so long */
	bool dropped; /* a larger model answers instead */
	bool other_logged; /* an answer to another request came first */
	int64_t progress_us; /* when it was sent, or a byte came */
	double expected_ms; /* until the first byte */
	double work_ms; /* expected, until its first byte; then 0 */
	double backlog_ms; /* at the server when it was sent */
	uint32_t tokens; /* of the prompt that the server has to read */
	uint32_t load; /* requests at the server when it was sent */
	bool cold; /* the server was, then */
	uint8_t gaps; /* between events, of those that are timed */
	int64_t gaps_us; /* their sum */
	double reading_ms; /* most that the server had to read meanwhile */
	unsigned int status;
};

struct gx {
	struct ge *ge;
	struct hf_exchange *x; /* NULL: the caller has left */
	struct ge_table *table;
	const struct rt_route *route;
	const struct rt_workspace *workspace; /* NULL: none is needed */
	struct ge_service *service;
	const struct rt_service *target;
	struct dl_request request;
	uint64_t fingerprint; /* of what may crash a server */
	uint8_t priority;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t first_us; /* 0: no byte has come yet */
	struct loop_timer *timer;
	struct gx_attempt now;
	uint16_t model; /* index in the route's list */
	uint16_t tried[GX_TRIED_MAX];
	uint8_t tried_count;
	uint8_t sends;
	uint8_t runs;
	bool may_have_run;
	bool arrived; /* a server has got it, or may have */
	bool begun; /* the caller has part of an answer */
	bool waiting;
	bool queued; /* has waited, or does */
	struct buf lines; /* header of a plain answer */
	struct buf body; /* its body, or the beginning of an event */
	size_t buffered; /* bytes of it that the entry counts */
	bool paused; /* nothing is read until the caller has taken more */
	bool has_event;
	uint64_t last_event; /* passed on */
	bool log_kept_back; /* its lines are written only if it fails */
	struct buf log;
	struct gx *prev;
	struct gx *next;
	struct gx *next_waiting;
};

int64_t gx_now(const struct gx *gx);
void gx_free(struct gx *gx);
void gx_log(struct gx *gx, enum log_level level, const char *event,
    const char *format, ...) __attribute__((format(printf, 4, 5)));
void gx_log_end(struct gx *gx, const char *outcome, unsigned int status);
void gx_answer_error(struct gx *gx, int error, int64_t retry_ms);
void gx_cut(struct gx *gx);
void gx_set_timer(struct gx *gx);
void gx_begin_work(struct gx *gx);

/* exchange_send.c */
void gx_place(struct gx *gx);
void gx_refuse(struct gx *gx, int error, int64_t retry_ms);
void gx_log_no_budget(struct gx *gx);
void gx_move_on(struct gx *gx);
int64_t gx_patience_us(const struct gx *gx);
bool gx_is_load_trial(const struct gx *gx, const struct ord_rollout *rollout);
void gx_suspect(struct gx *gx, bool closed);
bool gx_expect(
    struct gx *gx, uint16_t model, int64_t *work_us, int64_t *backlog_us);

/* exchange_answer.c */
extern const struct hu_handler gx_call_handler;

#ifdef __cplusplus
}
#endif

#endif
