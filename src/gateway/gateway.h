#ifndef CF_GATEWAY_H
#define CF_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/loop.h"
#include "base/metrics.h"
#include "gateway/dialect.h"
#include "gateway/notes.h"
#include "gateway/settings.h"
#include "state/orders.h"
#include "state/registry.h"
#include "sup/sup.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One gateway process: links to the other instances, what all of them know of
 * backend servers and orders, and by its settings an entry for callers, a
 * state replica with the control interface, or both.
 *
 *	main.c		settings, children, signals
 *	links.c		messages between instances
 *	known.c		who serves control
 *	headcount.c	how many entry instances there are
 *	notes.c		what all entry instances should know soon
 *	report.c	notes and what was seen of roll-outs, as they travel
 *	replica.c	the replicated log and its journal
 *	control.c	operators' and backend servers' calls
 *	judge.c		roll-outs, by what instances report of them
 *	follow.c	orders at instances without a replica
 *	entry.c		callers' requests
 *	exchange.c	one caller's request and its attempts
 *	metrics_page.c	counters and histograms for the operators
 *	loads.c		what the instances have under way at the servers
 *
 * An instance's number is its IPv4 address in host byte order.
 */
struct gw_links;
struct gw_loads;
struct gr;
struct gc;
struct gj;
struct gf;
struct gw_entry;
struct gw_metrics_page;

struct gw {
	const struct alloc *alloc;
	struct loop *loop;
	struct sup *sup;
	struct gs *settings;
	const struct dl_dialect *dialect;
	struct metrics *metrics;
	uint32_t self; /* number of this instance */
	uint64_t incarnation;
	struct gw_links *links;
	struct gw_loads *loads;
	struct rg *registry;
	struct gr *replica; /* NULL: none here */
	struct gc *control;
	struct gj *judge; /* NULL: no replica here */
	struct gf *follow; /* NULL: the replica knows the orders */
	struct gw_entry *entry;
	struct gw_metrics_page *metrics_page;
	bool stopping;
};

/* links.c */
struct sup_child_spec gw_child_links(struct gw *gw);
void gw_send(struct gw *gw, uint32_t to, enum peer_channel channel,
    const struct buf *bytes);
uint32_t gw_control_instances(const struct gw *gw, uint32_t *out, uint32_t max);
uint32_t gw_entry_instances(const struct gw *gw);
uint32_t gw_nearest_control(const struct gw *gw);
void gw_server_heard(struct gw *gw, const struct rg_server *server);
void gw_reseed(struct gw *gw);
void gw_measure_links(struct gw *gw);
void gw_address_text(uint32_t instance, char out[GS_NAME_BYTES]);

void gw_spread(struct gw *gw, enum nt_kind kind, uint64_t key, uint64_t part,
    uint32_t value);
void gw_repeat_notes(struct gw *gw, enum nt_kind kind, uint32_t value);

/* replica.c */
struct sup_child_spec gw_child_replica(struct gw *gw);
struct sup_child_spec gw_child_control(struct gw *gw);
struct sup_child_spec gw_child_follow(struct gw *gw);
struct sup_child_spec gw_child_entry(struct gw *gw);

#ifdef __cplusplus
}
#endif

#endif
