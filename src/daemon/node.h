#ifndef CF_NODE_H
#define CF_NODE_H

#include <stdio.h>

#include "base/loop.h"
#include "base/metrics.h"
#include "config/section.h"
#include "daemon/directory.h"
#include "daemon/settings.h"
#include "entry/entry.h"
#include "entry/servers.h"
#include "ops/ops.h"
#include "state/bill.h"
#include "state/cfgsync.h"
#include "state/claim.h"
#include "state/member.h"
#include "sup/sup.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One running instance: what the children of the supervisor tree share.  Each
 * child lives in a file of its own, child_NAME.c, and owns the pointer of its
 * name; the others reach it only through node_ functions.
 */
struct state;
struct operators;
struct config;
struct member;
struct book;
struct feed;
struct credits;

enum {
	NODE_MEMBERS_MAX = 128 /* instances of one data centre */
};

struct node {
	const struct alloc *alloc;
	const struct settings *settings;
	struct directory *directory;
	struct loop *loop;
	struct metrics *metrics;
	struct sup *root;
	struct secure_keys keys;
	uint64_t incarnation;
	uint64_t owner; /* of this life's bills and request ids */
	struct section_list first; /* the document of --config */

	struct peer_hub *hub;
	struct state *state; /* NULL without a data folder */
	struct config *config;
	struct member *member;
	struct book *book;
	struct feed *feed;
	struct credits *credits;
	struct entry *entry;
	struct ops *ops;
	struct operators *operators;

	int64_t drain_until_us;
	bool draining;
	bool leaving;
	bool left; /* the others know that this instance leaves */
	int status; /* exit status of the process */
};

/* Children, in the order of the tree. */
struct sup_child_spec child_peer(struct node *node);
struct sup_child_spec child_state(struct node *node);
struct sup_child_spec child_config(struct node *node);
struct sup_child_spec child_member(struct node *node);
struct sup_child_spec child_entry(struct node *node);
struct sup_child_spec child_ops(struct node *node);

/* main.c */
void node_drain(struct node *node);

/* child_peer.c: to an instance by number, this one included. */
void node_send(struct node *node, uint32_t to, enum peer_channel channel,
    const struct buf *bytes);

/* child_state.c: a leader gives its role away. */
void node_hand_over(struct node *node);

/* child_config.c: the configuration in force here. */
const struct cfg *node_cfg(const struct node *node);
const struct section_list *node_sections(const struct node *node);
uint32_t node_hash_name(const char *name);
const char *node_name_of(const struct node *node, uint32_t hash);
bool node_isolated(const struct node *node);
uint64_t node_revision(const struct node *node);
void node_config_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len);
void node_config_emit_source(void *ctx, const struct cfgsync_action *action);
void node_config_persisted(struct node *node, uint64_t revision);
void node_config_copy(const struct node *node, struct buf *out);
int node_config_replay(struct node *node, const uint8_t *data, size_t len);
void node_config_relay(struct node *node, bool is_relay, uint32_t relay);
void node_in_force(struct node *node);

/* child_member.c: who is alive, and what is spread among them. */
void node_member_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len);
void node_publish(struct node *node, enum member_item_kind kind, uint64_t key,
    const void *data, size_t len, bool wide);
bool node_is_relay(const struct node *node);
bool node_is_granter(const struct node *node);
uint32_t node_granter(const struct node *node);
uint32_t node_alive(const struct node *node, uint32_t *instances, uint32_t max);
void node_leave(struct node *node);
const char *node_neighbour(struct node *node, uint16_t data_centre);
void node_member_status(const struct node *node, struct buf *out);

/* spread.c: what instances tell each other. */
void node_spread(struct node *node, const struct cf_action *action);
void node_spread_rating(struct node *node, const struct cf_rating *rating);
void spread_take(struct node *node, const struct member_item *item);
void spread_digests(struct node *node);

/* feed.c: announcements within the data centre. */
struct feed *feed_new(struct node *node);
void feed_free(struct feed *feed);
void feed_announced(struct feed *feed, const struct server_announcement *news);
void feed_message(struct feed *feed, const uint8_t *data, uint32_t len);

/* credits.c: warm-up credits of cold servers. */
struct credits *credits_new(struct node *node);
void credits_free(struct credits *credits);
void credits_role(struct credits *credits, bool won);
void credits_announced(
    struct credits *credits, const struct cf_announce *announce);
void credits_act(struct credits *credits, const struct cf_action *action);
void credits_message(
    struct credits *credits, uint32_t from, const uint8_t *data, uint32_t len);

/* book.c: claims and bills of this instance's requests. */
struct book *book_new(struct node *node);
void book_free(struct book *book);
void book_claim(struct book *book, const struct entry_claim *claim);
void book_mark(struct book *book, uint32_t request);
bool book_may_dispatch(struct book *book, uint32_t request);
void book_outcome(
    struct book *book, uint32_t request, enum entry_claim_outcome outcome);
bool book_intend(struct book *book, const struct entry_bill *bill);
void book_settle(struct book *book, const struct entry_bill *bill);
void book_claim_message(
    struct book *book, uint32_t from, const struct claim_msg *msg);
void book_bill_message(
    struct book *book, uint32_t from, const struct bill_msg *msg);
void book_replicas(struct book *book, const struct claim_replicas *set);
void book_peers(struct book *book, const uint32_t *instances, uint32_t count);
void book_ended(struct book *book, uint32_t instance, uint64_t incarnation);
uint32_t book_open(const struct book *book);
void book_halts(struct book *book, struct http_server_exchange *x);
void book_resolve(struct book *book, struct http_server_exchange *x);
void book_gone(struct book *book, struct http_server_exchange *x);

#ifdef __cplusplus
}
#endif

#endif
