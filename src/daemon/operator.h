#ifndef CF_OPERATOR_H
#define CF_OPERATOR_H

#include <stdint.h>

#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Operators' requests that a state replica answers.  The instance that gets a
 * request sends it to the replica that it believes to be the leader, then to
 * others until one answers.  An operator who gets no answer may repeat the
 * request with the same change id.
 */
enum operator_kind {
	OPERATOR_APPLY = 1, /* a configuration change */
	OPERATOR_DOCUMENT, /* the sections with their revisions */
	OPERATOR_HISTORY, /* changes with their author and time */
	OPERATOR_UNCONFIRMED, /* instances that haven't confirmed a revision */
	OPERATOR_BILLS, /* the lines of the export after a line number */
	OPERATOR_UNSETTLED, /* bills with an intent but no settlement */
	OPERATOR_STOP, /* the sequential test failed a version */
	OPERATOR_LOG /* the state of the replicated log */
};

struct node;
struct operators;

struct operators *operators_new(struct node *node);
void operators_free(struct operators *operators);
void operators_send_request(struct operators *operators,
    struct http_server_exchange *x, enum operator_kind kind, const char *team,
    const void *body, size_t len);
void operators_notify_leader(struct operators *operators,
    enum operator_kind kind, const void *body, size_t len);
void operators_receive_reply(struct operators *operators, uint32_t from,
    const uint8_t *data, uint32_t len);
void operators_send_reply(struct node *node, uint32_t to, uint64_t id,
    int error, const char *leader, const void *body, size_t len);
void operators_cancel_request(
    struct operators *operators, struct http_server_exchange *x);

#ifdef __cplusplus
}
#endif

#endif
