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
	ASK_TIMEOUT_US = 8000000, /* then the operator is told no_quorum */
	ASK_RETRY_US = 400000, /* a replica that is silent is passed over */
	HTTP_OK = 200
};

/* One operator's request that waits for a replica's reply. */
struct ask {
	struct operators *operators;
	struct http_server_exchange *x;
	uint64_t id;
	enum operator_kind kind;
	char team[CFGSTORE_NAME_BYTES];
	struct buf body;
	int64_t until_us;
	struct loop_timer *retry;
	struct ask *next;
};

struct operators {
	struct node *node;
	struct ask *asks;
	uint64_t next_id;
	uint16_t leader; /* rank asked first */
};

/* Creates the table of requests that wait. */
struct operators *
operators_new(struct node *node)
{
	struct operators *operators =
	    alloc_zero(node->alloc, 1, sizeof(*operators));

	operators->node = node;
	return operators;
}

static void
drop(struct ask *ask)
{
	struct ask **at = &ask->operators->asks;

	while (*at != ask)
		at = &(*at)->next;
	*at = ask->next;
	loop_cancel(ask->retry);
	buf_free(&ask->body);
	alloc_free(ask->operators->node->alloc, ask);
}

/* Forgets every request without an answer. */
void
operators_free(struct operators *operators)
{
	if (operators == NULL)
		return;
	while (operators->asks != NULL)
		drop(operators->asks);
	alloc_free(operators->node->alloc, operators);
}

static void
finish(struct ask *ask, int error, const void *body, size_t len)
{
	struct answer_error answer = {.error = error, .retry_after_ms = 500};
	struct http_server_exchange *x = ask->x;

	drop(ask);
	if (x == NULL)
		return;
	if (error == 0 || len > 0)
		answer_json(x,
		    error == 0 ? HTTP_OK : err_answer(error)->http_status, body,
		    len);
	else
		answer_error(x, &answer);
}

static void
send_to(const struct ask *ask, const struct directory_entry *to)
{
	struct node *node = ask->operators->node;
	Opr__Request request = OPR__REQUEST__INIT;
	struct buf bytes;

	if (to->self) {
		if (node->state != NULL)
			state_operator(node->state, to->number, ask->id,
			    ask->kind, ask->team, ask->team, ask->body.data,
			    ask->body.len);
		return;
	}
	request.id = ask->id;
	request.kind = ask->kind;
	request.team = (char *)ask->team;
	request.author = (char *)ask->team;
	request.body.data = ask->body.data;
	request.body.len = ask->body.len;
	buf_init(&bytes, node->alloc);
	buf_reserve(&bytes, opr__request__get_packed_size(&request));
	bytes.len = opr__request__pack(&request, bytes.data);
	peer_send(node->hub, to->name, PEER_OPERATOR, bytes.data,
	    (uint32_t)bytes.len);
	buf_free(&bytes);
}

static void
try_next(void *ctx)
{
	struct ask *ask = ctx;
	struct operators *operators = ask->operators;
	const struct directory *directory = operators->node->directory;
	const struct directory_entry *to;

	ask->retry = NULL;
	if (loop_now_us(operators->node->loop) >= ask->until_us) {
		finish(ask, ERR_NO_QUORUM, NULL, 0);
		return;
	}
	to = directory_find_rank(directory, operators->leader);
	if (to == NULL) {
		operators->leader = 0;
		to = directory_find_rank(directory, 0);
	}
	operators->leader++;
	ask->retry =
	    loop_after(operators->node->loop, ASK_RETRY_US, try_next, ask);
	if (to != NULL)
		send_to(ask, to);
}

/* Asks the replicas on an operator's behalf and answers the exchange. */
void
operators_ask(struct operators *operators, struct http_server_exchange *x,
    enum operator_kind kind, const char *team, const void *body, size_t len)
{
	struct node *node = operators->node;
	struct ask *ask = alloc_zero(node->alloc, 1, sizeof(*ask));

	ask->operators = operators;
	ask->x = x;
	ask->id = ++operators->next_id;
	ask->kind = kind;
	snprintf(ask->team, sizeof(ask->team), "%s", team);
	buf_init(&ask->body, node->alloc);
	buf_add(&ask->body, body, len);
	ask->until_us = loop_now_us(node->loop) + ASK_TIMEOUT_US;
	ask->next = operators->asks;
	operators->asks = ask;
	ask->retry = loop_after(node->loop, 0, try_next, ask);
}

/* Tells the leader something; it is sent again until a replica has it. */
void
operators_tell(struct operators *operators, enum operator_kind kind,
    const void *body, size_t len)
{
	operators_ask(operators, NULL, kind, "", body, len);
}

static struct ask *
find_ask(const struct operators *operators, uint64_t id)
{
	struct ask *ask = operators->asks;

	while (ask != NULL && ask->id != id)
		ask = ask->next;
	return ask;
}

static void
take_reply(struct operators *operators, uint32_t from, uint64_t id, int error,
    const char *leader, const void *body, size_t len)
{
	const struct directory *directory = operators->node->directory;
	const struct directory_entry *hint =
	    directory_find_name(directory, leader);
	const struct directory_entry *answered =
	    directory_find(directory, from);
	struct ask *ask = find_ask(operators, id);

	if (ask == NULL)
		return;
	if (error == ERR_NOT_LEADER) {
		if (hint != NULL && hint->rank != DIRECTORY_NO_RANK)
			operators->leader = hint->rank;
		loop_cancel(ask->retry);
		ask->retry = loop_after(operators->node->loop,
		    hint != NULL ? 0 : ASK_RETRY_US, try_next, ask);
		return;
	}
	if (answered != NULL && answered->rank != DIRECTORY_NO_RANK)
		operators->leader = answered->rank;
	finish(ask, error, body, len);
}

/* Replies to an instance's request, over the link or in this process. */
void
operators_reply(struct node *node, uint32_t to, uint64_t id, int error,
    const char *leader, const void *body, size_t len)
{
	const struct directory_entry *entry =
	    directory_find(node->directory, to);
	Opr__Reply reply = OPR__REPLY__INIT;
	struct buf bytes;

	if (entry == NULL)
		return;
	if (entry->self) {
		take_reply(node->operators, to, id, error, leader, body, len);
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

/* Takes the reply of a replica. */
void
operators_message(struct operators *operators, uint32_t from,
    const uint8_t *data, uint32_t len)
{
	Opr__Reply *reply = opr__reply__unpack(NULL, len, data);

	if (reply == NULL)
		return;
	take_reply(operators, from, reply->id, reply->error, reply->leader,
	    reply->body.data, reply->body.len);
	opr__reply__free_unpacked(reply, NULL);
}

/* The operator went away. */
void
operators_gone(struct operators *operators, struct http_server_exchange *x)
{
	for (struct ask *ask = operators->asks; ask != NULL; ask = ask->next) {
		if (ask->x == x) {
			drop(ask);
			return;
		}
	}
}
