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
 * The state of a running instance that the children of the supervisor tree
 * share.  Each child is in a file child_NAME.c and owns the member NAME of
 * struct node; the other children use it only through node_ functions.
 */
struct state;
struct operators;
struct config;
struct member;
struct request_records;
struct feed;
struct credits;

enum {
	NODE_MEMBERS_MAX = 128 /* instances of a data centre */
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
	uint64_t owner; /* owner id of this life's bills and request ids */
	struct section_list first; /* document of --config for a new set */

	struct peer_hub *hub;
	struct state *state; /* NULL while there is no data folder */
	struct loop_timer *state_reopen; /* a failed folder is tried again */
	uint32_t state_reopen_tries; /* since the folder was open */
	struct config *config;
	struct member *member;
	struct request_records *request_records;
	struct feed *feed;
	struct credits *credits;
	struct entry *entry;
	struct ops *ops;
	struct operators *operators;

	int64_t drain_until_us; /* deadline of the drain, on the loop's clock */
	bool draining;
	bool leaving; /* began to tell the others that it leaves */
	bool left; /* the others know that this instance leaves */
	int status; /* exit status of the process */
};

/* Children, in the order in which the supervisor starts them. */
struct sup_child_spec child_peer(struct node *node);
struct sup_child_spec child_state(struct node *node);
struct sup_child_spec child_config(struct node *node);
struct sup_child_spec child_member(struct node *node);
struct sup_child_spec child_entry(struct node *node);
struct sup_child_spec child_ops(struct node *node);

/* main.c */
void node_drain(struct node *node);

/* child_peer.c: sends to an instance by number, which may be this one. */
void node_send(struct node *node, uint32_t to, enum peer_channel channel,
    const struct buf *bytes);

/* child_state.c: if this replica leads, hands leadership to another. */
void node_transfer_leadership(struct node *node);

/* child_config.c: the configuration in force on this instance. */
const struct cfg *node_cfg(const struct node *node);
const struct section_list *node_sections(const struct node *node);
uint32_t node_hash_name(const char *name);
const char *node_name_from_hash(const struct node *node, uint32_t hash);
bool node_is_isolated(const struct node *node);
uint64_t node_config_revision(const struct node *node);
void node_config_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len);
void node_config_emit_source(void *ctx, const struct cfgsync_action *action);
void node_config_persisted(struct node *node, uint64_t revision);
void node_config_persist_again(struct node *node);
void node_config_append_copy(const struct node *node, struct buf *out);
int node_config_replay(struct node *node, const uint8_t *data, size_t len);
void node_config_set_relay(struct node *node, bool is_relay, uint32_t relay);
void node_distribute_config(struct node *node);

/* child_member.c: the instances alive, roles and published items. */
void node_member_message(
    struct node *node, uint32_t from, const uint8_t *data, uint32_t len);
void node_publish(struct node *node, enum member_item_kind kind, uint64_t key,
    const void *data, size_t len, bool wide);
bool node_is_relay(const struct node *node);
bool node_is_granter(const struct node *node);
uint32_t node_granter_instance(const struct node *node);
uint32_t node_list_alive(
    const struct node *node, uint32_t *instances, uint32_t max);
void node_leave(struct node *node);
const char *node_neighbour_address(struct node *node, uint16_t data_centre);
void node_append_member_status(const struct node *node, struct buf *out);

/* member_items.c: facts that instances publish as membership items. */
void member_items_publish_action(
    struct node *node, const struct cf_action *action);
void member_items_publish_rating(
    struct node *node, const struct cf_rating *rating);
void member_items_receive(struct node *node, const struct member_item *item);
void member_items_publish_digests(struct node *node);

/* feed.c: distribution of announcements within the data centre. */
struct feed *feed_new(struct node *node);
void feed_free(struct feed *feed);
void feed_queue_announcement(
    struct feed *feed, const struct server_announcement *news);
void feed_receive_batch(struct feed *feed, const uint8_t *data, uint32_t len);

/* credits.c: warm-up credits for cold servers. */
struct credits *credits_new(struct node *node);
void credits_free(struct credits *credits);
void credits_set_granter_role(struct credits *credits, bool won);
void credits_update_server(
    struct credits *credits, const struct cf_announce *announce);
void credits_send_action(
    struct credits *credits, const struct cf_action *action);
void credits_receive(
    struct credits *credits, uint32_t from, const uint8_t *data, uint32_t len);

/* request_records.c: claims and bills of this instance's requests. */
struct request_records *request_records_new(struct node *node);
void request_records_free(struct request_records *records);
void request_records_claim(
    struct request_records *records, const struct entry_claim *claim);
void request_records_write_marker(
    struct request_records *records, uint32_t request);
bool request_records_may_dispatch(
    struct request_records *records, uint32_t request);
void request_records_write_outcome(struct request_records *records,
    uint32_t request, enum entry_claim_outcome outcome);
bool request_records_add_intent(
    struct request_records *records, const struct entry_bill *bill);
void request_records_settle_bill(
    struct request_records *records, const struct entry_bill *bill);
void request_records_receive_claim(struct request_records *records,
    uint32_t from, const struct claim_msg *msg);
void request_records_receive_bill(
    struct request_records *records, uint32_t from, const struct bill_msg *msg);
void request_records_set_replicas(
    struct request_records *records, const struct claim_replicas *set);
void request_records_set_peers(
    struct request_records *records, const uint32_t *instances, uint32_t count);
void request_records_set_life_ended(
    struct request_records *records, uint32_t instance, uint64_t incarnation);
uint32_t request_records_open_bills(const struct request_records *records);
void request_records_list_halted(
    struct request_records *records, struct http_server_exchange *x);
void request_records_resolve_halted(
    struct request_records *records, struct http_server_exchange *x);
void request_records_cancel_query(
    struct request_records *records, struct http_server_exchange *x);

#ifdef __cplusplus
}
#endif

#endif
