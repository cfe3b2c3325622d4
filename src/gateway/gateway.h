#ifndef CF_GATEWAY_H
#define CF_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/loop.h"
#include "base/metrics.h"
#include "gateway/dialect.h"
#include "gateway/forwarders.h"
#include "gateway/memory.h"
#include "gateway/notes.h"
#include "gateway/settings.h"
#include "route/rate_share.h"
#include "state/orders.h"
#include "state/registry.h"
#include "sup/sup.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One gateway process.  It keeps links to the other instances and the state
 * that all instances share about backend servers and orders.  Depending on its
 * settings it also runs an entry for callers, a state replica with the control
 * interface, or both.
 *
 *	main.c		settings, supervised children, signals
 *	links.c		messages between instances
 *	control_peers.c	the instances that serve control
 *	instance_count.c	the number of entry instances
 *	notes.c		short-lived facts that all entry instances need soon
 *	note_feed.c	how notes travel to one other instance
 *	report.c	messages with notes and outcomes of roll-outs
 *	farewells.c	servers that leave, kept over restarts
 *	server_message.c	what instances tell each other of a server
 *	replica.c	the replicated log and its journal
 *	control.c	calls of operators and backend servers
 *	judge.c		decisions on roll-outs, by the instances' reports
 *	document.c	reading of operators' documents, without delay of the
 *rest follow.c	orders at instances with an entry entry.c		callers'
 *connections and the waiting queue exchange.c	one caller's request and its
 *attempts path_check.c	whether this instance reaches the servers forward.c
 *requests that one instance forwards to another forwarders.c	the choice of
 *the other instance metrics_page.c	counters and histograms for operators
 *	explain.c	where a request would go, without sending it
 *	memory.c	the budget of what is held for callers and servers
 *	loads.c		exchange of load reports between instances
 *	dialect.h	translation of a platform's wire format
 *
 * An instance is identified by its IPv4 address in host byte order, which is
 * called its number.
 */
struct gw_links;
struct gw_loads;
struct gw_farewells;
struct gw_replica;
struct gw_control;
struct gw_judge;
struct gw_follower;
struct gw_entry;
struct gw_metrics_page;

struct gw {
	const struct alloc *alloc;
	struct loop *loop;
	struct sup *sup;
	struct gw_settings *settings;
	const struct gw_dialect *dialect;
	struct metrics *metrics;
	struct gw_memory memory;
	uint32_t self; /* number of this instance */
	uint64_t incarnation; /* of this process */
	struct gw_links *links;
	struct gw_loads *loads;
	struct server_registry *registry;
	struct gw_farewells *farewells; /* NULL: no data folder */
	struct gw_replica *replica; /* NULL: this instance has no replica */
	/* NULL: this instance does not serve control */
	struct gw_control *control;
	struct gw_judge *judge; /* NULL: this instance has no replica */
	/* NULL: this instance has no entry; its replica has the orders */
	struct gw_follower *order_follower;
	struct gw_entry *entry; /* NULL: this instance has no entry */
	struct gw_metrics_page *metrics_page; /* NULL: not configured */
	bool stopping; /* the shutdown has begun */
};

/* links.c */
struct sup_child_spec gw_child_links(struct gw *gw);
void gw_send_message(struct gw *gw, uint32_t to, enum peer_channel channel,
    const struct buf *bytes);
uint32_t gw_list_control_instances(
    const struct gw *gw, uint32_t *out, uint32_t max);
struct rate_members gw_entry_members(const struct gw *gw);
uint32_t gw_nearest_control_instance(const struct gw *gw);
void gw_server_announced(struct gw *gw, const struct registry_server *server);
void gw_update_seeds(struct gw *gw);
void gw_update_link_metrics(struct gw *gw);
void gw_format_address(uint32_t instance, char out[GW_NAME_BYTES]);
void gw_set_cut_off(struct gw *gw, bool cut_off);
uint32_t gw_list_forwarders(
    const struct gw *gw, uint32_t out[GW_FORWARDERS_MAX]);

/* Notes to all entry instances, also defined in links.c. */
void gw_publish_note(struct gw *gw, enum gw_note_kind kind, uint64_t key,
    uint64_t part, uint64_t value);
void gw_publish_dated_note(struct gw *gw, const struct gw_note *note);
void gw_redeliver_notes(struct gw *gw, enum gw_note_kind kind, uint32_t value);

void gw_redeliver_note(struct gw *gw, enum gw_note_kind kind, uint64_t key);

/* The supervised children, each defined in the file of its name. */
struct sup_child_spec gw_child_farewells(struct gw *gw);
struct sup_child_spec gw_child_replica(struct gw *gw);
struct sup_child_spec gw_child_control(struct gw *gw);
struct sup_child_spec gw_child_follow(struct gw *gw);
struct sup_child_spec gw_child_entry(struct gw *gw);

#ifdef __cplusplus
}
#endif

#endif
