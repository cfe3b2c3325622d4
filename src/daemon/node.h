#ifndef CF_NODE_H
#define CF_NODE_H

#include "base/loop.h"
#include "base/metrics.h"
#include "config/section.h"
#include "daemon/settings.h"
#include "entry/entry.h"
#include "ops/ops.h"
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
struct node {
	const struct alloc *alloc;
	const struct settings *settings;
	struct loop *loop;
	struct metrics *metrics;
	struct sup *root;
	struct secure_keys keys;
	uint64_t incarnation;
	struct peer_hub *hub;
	struct ops *ops;
	struct entry *entry;
	struct cfg *cfg;
	struct cfg *old_cfg; /* kept until the router has let go of it */
	struct section_list sections;
	int64_t drain_until_us;
	bool draining;
	int status; /* exit status of the process */
};

/* Children, in the order of the tree. */
struct sup_child_spec child_peer(struct node *node);
struct sup_child_spec child_ops(struct node *node);
struct sup_child_spec child_entry(struct node *node);

int node_load_document(struct node *node, const char *path);
void node_drain(struct node *node);
void node_settle(struct node *node, const struct entry_bill *bill);
void node_bill_message(struct node *node, const struct secure_peer *from,
    const uint8_t *data, uint32_t len);
void node_export_bills(struct node *node, struct hs_exchange *x);

#ifdef __cplusplus
}
#endif

#endif
