#ifndef CF_OPERATOR_H
#define CF_OPERATOR_H

#include <stdint.h>

#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Operators' requests that a state replica answers.  The instance that was
 * asked sends them to the replica that it takes for the leader, and to others
 * until one answers; an asker that hears nothing may ask again with the same
 * change id.
 */
enum operator_kind {
	OPERATOR_APPLY = 1, /* a configuration change */
	OPERATOR_DOCUMENT, /* the sections with their revisions */
	OPERATOR_HISTORY, /* who changed what, when */
	OPERATOR_UNCONFIRMED, /* who has not confirmed a revision */
	OPERATOR_BILLS, /* the export after a line number */
	OPERATOR_UNSETTLED, /* intents without settlement */
	OPERATOR_STOP, /* the sequential test failed a version */
	OPERATOR_LOG /* the replicated log's own state */
};

struct node;
struct operators;

struct operators *operators_new(struct node *node);
void operators_free(struct operators *operators);
void operators_ask(struct operators *operators, struct http_server_exchange *x,
    enum operator_kind kind, const char *team, const void *body, size_t len);
void operators_tell(struct operators *operators, enum operator_kind kind,
    const void *body, size_t len);
void operators_message(struct operators *operators, uint32_t from,
    const uint8_t *data, uint32_t len);
void operators_reply(struct node *node, uint32_t to, uint64_t id, int error,
    const char *leader, const void *body, size_t len);
void operators_gone(
    struct operators *operators, struct http_server_exchange *x);

#ifdef __cplusplus
}
#endif

#endif
