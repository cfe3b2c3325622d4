#include "daemon/operator.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "daemon/directory.h"
#include "daemon/node.h"
#include "daemon/state.h"
#include "entry/answer.h"
#include "wire/operator.pb-c.h"

enum {
	REQUEST_TIMEOUT_US = 8000000, /* the operator then gets no_quorum */
	/* Without a reply in this time the next replica is tried. */
	REQUEST_RETRY_US = 400000,
	HTTP_OK = 200
};

/* An operator's request that waits for a replica's reply. */
struct pending_request {
	struct operators *operators;
	struct http_server_exchange *x; /* NULL if nobody waits */
	uint64_t id;
	enum operator_kind kind;
	char team[CFGSTORE_NAME_BYTES];
	struct buf body;
	int64_t deadline_us;
	struct loop_timer *retry;
	struct pending_request *next;
};

struct operators {
	struct node *node;
	struct pending_request *pending;
	uint64_t next_id;
	uint16_t leader; /* rank of the replica to try next */
};

/* Creates an empty list of pending requests. */
struct operators *
operators_new(struct node *node)
{
	struct operators *operators =
	    alloc_zero(node->alloc, 1, sizeof(*operators));

	operators->node = node;
	return operators;
}

static void
remove_request(struct pending_request *request)
{
	struct pending_request **at = &request->operators->pending;

	while (*at != request)
		at = &(*at)->next;
	*at = request->next;
	loop_cancel(request->retry);
	buf_free(&request->body);
	alloc_free(request->operators->node->alloc, request);
}

/* Drops all pending requests without an answer. */
void
operators_free(struct operators *operators)
{
	if (operators == NULL)
		return;
	while (operators->pending != NULL)
		remove_request(operators->pending);
	alloc_free(operators->node->alloc, operators);
}

/* Answers a request's exchange, if there is one, and drops the request. */
static void
finish_request(
    struct pending_request *request, int error, const void *body, size_t len)
{
	struct answer_error answer = {.error = error, .retry_after_ms = 500};
	struct http_server_exchange *x = request->x;

	remove_request(request);
	if (x == NULL)
		return;
	if (error == 0 || len > 0)
		answer_json(x,
		    error == 0 ? HTTP_OK : err_answer(error)->http_status, body,
		    len);
	else
		answer_error(x, &answer);
}

/* Sends a request to a replica, or handles it in this process. */
static void
send_to_replica(
    const struct pending_request *request, const struct directory_entry *to)
{
	struct node *node = request->operators->node;
	Opr__Request message = OPR__REQUEST__INIT;
	struct buf bytes;

	if (to->self) {
		if (node->state != NULL)
			state_receive_request(node->state, to->number,
			    request->id, request->kind, request->team,
			    request->team, request->body.data,
			    request->body.len);
		return;
	}
	message.id = request->id;
	message.kind = request->kind;
	message.team = (char *)request->team;
	message.author = (char *)request->team;
	message.body.data = request->body.data;
	message.body.len = request->body.len;
	buf_init(&bytes, node->alloc);
	buf_reserve(&bytes, opr__request__get_packed_size(&message));
	bytes.len = opr__request__pack(&message, bytes.data);
	peer_send(node->hub, to->name, PEER_OPERATOR, bytes.data,
	    (uint32_t)bytes.len);
	buf_free(&bytes);
}

/*
 * Sends a request to the next replica by rank and sets the retry timer; ends it
 * with ERR_NO_QUORUM past its deadline.
 */
static void
send_to_next_replica(void *ctx)
{
	struct pending_request *request = ctx;
	struct operators *operators = request->operators;
	const struct directory *directory = operators->node->directory;
	const struct directory_entry *to;

	request->retry = NULL;
	if (loop_now_us(operators->node->loop) >= request->deadline_us) {
		finish_request(request, ERR_NO_QUORUM, NULL, 0);
		return;
	}
	to = directory_find_rank(directory, operators->leader);
	if (to == NULL) {
		operators->leader = 0;
		to = directory_find_rank(directory, 0);
	}
	operators->leader++;
	request->retry = loop_after(operators->node->loop, REQUEST_RETRY_US,
	    send_to_next_replica, request);
	if (to != NULL)
		send_to_replica(request, to);
}

/*
 * Sends an operator's request to the replicas until one replies, then answers
 * the exchange.
 */
void
operators_send_request(struct operators *operators,
    struct http_server_exchange *x, enum operator_kind kind, const char *team,
    const void *body, size_t len)
{
	struct node *node = operators->node;
	struct pending_request *request =
	    alloc_zero(node->alloc, 1, sizeof(*request));

	request->operators = operators;
	request->x = x;
	request->id = ++operators->next_id;
	request->kind = kind;
	snprintf(request->team, sizeof(request->team), "%s", team);
	buf_init(&request->body, node->alloc);
	buf_add(&request->body, body, len);
	request->deadline_us = loop_now_us(node->loop) + REQUEST_TIMEOUT_US;
	request->next = operators->pending;
	operators->pending = request;
	request->retry =
	    loop_after(node->loop, 0, send_to_next_replica, request);
}

/*
 * Sends the leader a notice that nobody waits for.  It is retried until a
 * replica accepts it or the request times out.
 */
void
operators_notify_leader(struct operators *operators, enum operator_kind kind,
    const void *body, size_t len)
{
	operators_send_request(operators, NULL, kind, "", body, len);
}

static struct pending_request *
find_request(const struct operators *operators, uint64_t id)
{
	struct pending_request *request = operators->pending;

	while (request != NULL && request->id != id)
		request = request->next;
	return request;
}

/*
 * Handles a reply.  ERR_NOT_LEADER leads to a retry, at once if the reply names
 * a known leader; any other reply ends the request.
 */
static void
handle_reply(struct operators *operators, uint32_t from, uint64_t id, int error,
    const char *leader, const void *body, size_t len)
{
	const struct directory *directory = operators->node->directory;
	const struct directory_entry *hint =
	    directory_find_name(directory, leader);
	const struct directory_entry *answered =
	    directory_find(directory, from);
	struct pending_request *request = find_request(operators, id);

	if (request == NULL)
		return;
	if (error == ERR_NOT_LEADER) {
		if (hint != NULL && hint->rank != DIRECTORY_NO_RANK)
			operators->leader = hint->rank;
		loop_cancel(request->retry);
		request->retry = loop_after(operators->node->loop,
		    hint != NULL ? 0 : REQUEST_RETRY_US, send_to_next_replica,
		    request);
		return;
	}
	if (answered != NULL && answered->rank != DIRECTORY_NO_RANK)
		operators->leader = answered->rank;
	finish_request(request, error, body, len);
}

/* Replies to an instance's request, over its link or within this process. */
void
operators_send_reply(struct node *node, uint32_t to, uint64_t id, int error,
    const char *leader, const void *body, size_t len)
{
	const struct directory_entry *entry =
	    directory_find(node->directory, to);
	Opr__Reply reply = OPR__REPLY__INIT;
	struct buf bytes;

	if (entry == NULL)
		return;
	if (entry->self) {
		handle_reply(node->operators, to, id, error, leader, body, len);
		return;
	}
	reply.id = id;
	reply.error = error;
	reply.leader = (char *)leader;
	reply.body.data = (uint8_t *)body;
	reply.body.len = len;
	buf_init(&bytes, node->alloc);
	buf_reserve(&bytes, opr__reply__get_packed_size(&reply));
	bytes.len = opr__reply__pack(&reply, bytes.data);
	peer_send(node->hub, entry->name, PEER_OPERATOR_REPLY, bytes.data,
	    (uint32_t)bytes.len);
	buf_free(&bytes);
}

/* Handles the reply of a replica. */
void
operators_receive_reply(struct operators *operators, uint32_t from,
    const uint8_t *data, uint32_t len)
{
	Opr__Reply *reply = opr__reply__unpack(NULL, len, data);

	if (reply == NULL)
		return;
	handle_reply(operators, from, reply->id, reply->error, reply->leader,
	    reply->body.data, reply->body.len);
	opr__reply__free_unpacked(reply, NULL);
}

/* Cancels the request of an operator who closed the connection. */
void
operators_cancel_request(
    struct operators *operators, struct http_server_exchange *x)
{
	for (struct pending_request *request = operators->pending;
	     request != NULL; request = request->next) {
		if (request->x == x) {
			remove_request(request);
			return;
		}
	}
}
