#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/node.h"
#include "daemon/state.h"
#include "entry/answer.h"

/*
 * Claims and bills of this instance's own requests: the client side of both
 * protocols, between the entry child and the state replicas.
 *
 * The clients must not be called from within their own emit().  Their results
 * are therefore queued, and the entry child is called on the next iteration of
 * the event loop.
 */

enum {
	RECORDS_TICK_US = 20000,
	/* Bills open at once; also the size of the ring of their sequences. */
	RECORDS_BILLS_MAX = 65536,
	RECORDS_CLAIMS_MAX = 16384,
	/* A claim without a quorum is refused after this time. */
	CLAIM_TIMEOUT_US = 2000000,
	MARK_TIMEOUT_US = 2000000,
	US_PER_S = 1000000
};

/* Set in the operation ids of operators' queries. */
static const uint64_t operator_op_flag = (uint64_t)1 << 63;

enum callback_kind {
	CALLBACK_CLAIM,
	CALLBACK_MARKER,
	CALLBACK_OUTCOME,
	CALLBACK_BILL_SETTLED
};

/* A result for the entry child. */
struct pending_callback {
	enum callback_kind kind;
	uint32_t request;
	int error;
};

/* The claim of one request; the slots are indexed by request id. */
struct claim_slot {
	uint64_t op; /* id of the claim's operation in the client */
	bool open;
};

/* An operator's query: a list of the halted keys, or the resolution of one. */
struct halt_query {
	struct http_server_exchange *x;
	uint64_t op;
	json_t *list; /* halted keys found so far; NULL for a resolution */
	uint32_t replicas_left;
	int64_t deadline_us;
	struct claim_resolution resolution;
	struct halt_query *next;
};

struct request_records {
	struct node *node;
	struct claim_client *claims;
	struct bill_client *bills;
	struct claim_replicas set;
	struct claim_slot *slots;
	uint32_t *bill_requests; /* by sequence modulo RECORDS_BILLS_MAX */
	int64_t *bill_sequences; /* by request id; 0 if none */
	uint64_t op_generation; /* of the newest operation id */
	struct pending_callback *callbacks;
	size_t callback_count;
	size_t callback_capacity;
	struct loop_timer *callback_timer;
	struct loop_timer *tick;
	struct halt_query *queries;
};

/* Passes the queued results to the entry child, if it runs. */
static void
run_callbacks(void *ctx)
{
	struct request_records *records = ctx;
	struct entry *entry = records->node->entry;

	records->callback_timer = NULL;
	for (size_t i = 0; i < records->callback_count && entry != NULL; i++) {
		struct pending_callback t = records->callbacks[i];

		if (t.kind == CALLBACK_CLAIM)
			entry_claim_done(entry, t.request, t.error);
		else if (t.kind == CALLBACK_MARKER)
			entry_marker_done(entry, t.request, t.error);
		else
			entry_write_done(entry, t.request);
	}
	records->callback_count = 0;
}

/* Queues a result; run_callbacks() passes it to the entry child. */
static void
queue_callback(struct request_records *records, enum callback_kind kind,
    uint32_t request, int error)
{
	if (records->callback_count == records->callback_capacity) {
		records->callback_capacity =
		    records->callback_capacity > 0
			? records->callback_capacity * 2
			: 64;
		records->callbacks = alloc_resize(records->node->alloc,
		    records->callbacks,
		    records->callback_capacity * sizeof(*records->callbacks));
	}
	records->callbacks[records->callback_count++] =
	    (struct pending_callback){kind, request, error};
	if (records->callback_timer == NULL)
		records->callback_timer =
		    loop_after(records->node->loop, 0, run_callbacks, records);
}

static void
send_claim_message(
    struct request_records *records, uint32_t to, const struct claim_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, records->node->alloc);
	claim_msg_encode(msg, &bytes);
	node_send(records->node, to, PEER_CLAIM, &bytes);
	buf_free(&bytes);
}

static void finish_resolve_query(
    struct request_records *records, const struct claim_client_action *action);
static void add_halted_entries(
    struct request_records *records, const struct claim_client_action *action);
static void finish_halt_query(
    struct request_records *records, struct halt_query *query);

static void
on_claim_step_ended(
    struct request_records *records, const struct claim_client_action *action)
{
	uint32_t request = (uint32_t)action->op;

	if (action->op & operator_op_flag) {
		finish_resolve_query(records, action);
		return;
	}
	switch (action->step) {
	case CLAIM_STEP_ACQUIRE:
		queue_callback(records, CALLBACK_CLAIM, request, action->error);
		break;
	case CLAIM_STEP_MARK:
		queue_callback(
		    records, CALLBACK_MARKER, request, action->error);
		break;
	case CLAIM_STEP_DONE:
	case CLAIM_STEP_RELEASE:
		records->slots[request].open = false;
		queue_callback(
		    records, CALLBACK_OUTCOME, request, action->error);
		break;
	case CLAIM_STEP_RESOLVE:
	case CLAIM_STEP_READ:
		break;
	}
}

static void
emit_claim(void *ctx, const struct claim_client_action *action)
{
	struct request_records *records = ctx;

	switch (action->kind) {
	case CLAIM_CLIENT_SEND:
		send_claim_message(records, action->to, action->msg);
		break;
	case CLAIM_CLIENT_STEP_ENDED:
		on_claim_step_ended(records, action);
		break;
	case CLAIM_CLIENT_HALTED_LIST:
		add_halted_entries(records, action);
		break;
	}
}

static void
emit_bill(void *ctx, const struct bill_client_action *action)
{
	struct request_records *records = ctx;
	struct buf bytes;

	if (action->kind == BILL_CLIENT_SEND) {
		buf_init(&bytes, records->node->alloc);
		bill_msg_encode(action->msg, &bytes);
		node_send(records->node, action->to, PEER_BILL, &bytes);
		buf_free(&bytes);
	} else if (action->state == BILL_SETTLED) {
		queue_callback(records, CALLBACK_BILL_SETTLED,
		    records->bill_requests[action->id.sequence %
					   RECORDS_BILLS_MAX],
		    0);
	}
}

static void
expire_halt_queries(struct request_records *records)
{
	int64_t now_us = loop_now_us(records->node->loop);
	struct halt_query *query = records->queries, *next;

	for (; query != NULL; query = next) {
		next = query->next;
		if (now_us >= query->deadline_us)
			finish_halt_query(records, query);
	}
}

static void
on_tick(void *ctx)
{
	struct request_records *records = ctx;
	int64_t now_us = loop_now_us(records->node->loop);

	claim_client_tick(records->claims, now_us);
	bill_client_tick(records->bills, now_us);
	expire_halt_queries(records);
	records->tick =
	    loop_after(records->node->loop, RECORDS_TICK_US, on_tick, records);
}

/* Creates the claim and the bill client, both without replicas as yet. */
struct request_records *
request_records_new(struct node *node)
{
	const struct alloc *alloc = node->alloc;
	struct request_records *records =
	    alloc_zero(alloc, 1, sizeof(*records));
	uint32_t self = directory_self(node->directory)->number;
	struct claim_client_options claims = {.alloc = alloc,
	    .emit = emit_claim,
	    .ctx = records,
	    .instance = self,
	    .incarnation = node->incarnation,
	    .seed = rng_system_seed(),
	    .ops_max = RECORDS_CLAIMS_MAX};
	struct bill_client_options bills = {.alloc = alloc,
	    .emit = emit_bill,
	    .ctx = records,
	    .instance = self,
	    .owner = node->owner,
	    .bills_max = RECORDS_BILLS_MAX};

	records->node = node;
	records->claims = claim_client_new(&claims);
	records->bills = bill_client_new(&bills);
	records->slots =
	    alloc_zero(alloc, RECORDS_CLAIMS_MAX, sizeof(*records->slots));
	records->bill_requests = alloc_zero(
	    alloc, RECORDS_BILLS_MAX, sizeof(*records->bill_requests));
	records->bill_sequences = alloc_zero(
	    alloc, RECORDS_CLAIMS_MAX, sizeof(*records->bill_sequences));
	records->tick =
	    loop_after(node->loop, RECORDS_TICK_US, on_tick, records);
	return records;
}

/*
 * Releases both clients.  Records that aren't durable yet are lost; operators'
 * queries get no answer.
 */
void
request_records_free(struct request_records *records)
{
	const struct alloc *alloc;

	if (records == NULL)
		return;
	alloc = records->node->alloc;
	while (records->queries != NULL) {
		struct halt_query *query = records->queries;

		records->queries = query->next;
		json_decref(query->list);
		alloc_free(alloc, query);
	}
	loop_cancel(records->tick);
	loop_cancel(records->callback_timer);
	claim_client_free(records->claims);
	bill_client_free(records->bills);
	alloc_free(alloc, records->slots);
	alloc_free(alloc, records->bill_requests);
	alloc_free(alloc, records->bill_sequences);
	alloc_free(alloc, records->callbacks);
	alloc_free(alloc, records);
}

/*
 * Claims a request's key.  entry_claim_done() is called with the result,
 * ERR_MALFORMED if the key can't be parsed.
 */
void
request_records_claim(
    struct request_records *records, const struct entry_claim *claim)
{
	struct claim_slot *slot = &records->slots[claim->request];
	int64_t now_us = loop_now_us(records->node->loop);
	struct claim_key key;

	if (claim_key_parse(
		node_hash_name(claim->workspace), claim->key, &key) != 0) {
		queue_callback(
		    records, CALLBACK_CLAIM, claim->request, ERR_MALFORMED);
		return;
	}
	slot->op = (++records->op_generation << 32 | claim->request) &
		   ~operator_op_flag;
	slot->open = true;
	claim_client_acquire(
	    records->claims, now_us, slot->op, &key, now_us + CLAIM_TIMEOUT_US);
}

/*
 * Writes the attempt marker, which must be durable before a dispatch.
 * entry_marker_done() is called with the result.
 */
void
request_records_write_marker(struct request_records *records, uint32_t request)
{
	int64_t now_us = loop_now_us(records->node->loop);

	claim_client_write_marker(records->claims, now_us,
	    records->slots[request].op, now_us + MARK_TIMEOUT_US);
}

/* Returns whether the request's marker is recent enough for a dispatch now. */
bool
request_records_may_dispatch(struct request_records *records, uint32_t request)
{
	return records->slots[request].open &&
	       claim_client_may_dispatch(records->claims, clock_monotonic_us(),
		   records->slots[request].op);
}

/*
 * Ends a request's claim with an outcome.  entry_write_done() is called once
 * the outcome is durable; nothing is written if the claim is already closed or
 * the outcome is unknown.
 */
void
request_records_write_outcome(struct request_records *records, uint32_t request,
    enum entry_claim_outcome outcome)
{
	struct claim_slot *slot = &records->slots[request];
	int64_t now_us = loop_now_us(records->node->loop);
	static const uint8_t digest[CLAIM_DIGEST_BYTES];

	if (!slot->open) {
		queue_callback(records, CALLBACK_OUTCOME, request, 0);
		return;
	}
	switch (outcome) {
	case ENTRY_OUTCOME_DONE:
		claim_client_write_outcome(
		    records->claims, now_us, slot->op, 0, digest);
		break;
	case ENTRY_OUTCOME_RELEASED:
		claim_client_release(records->claims, now_us, slot->op);
		break;
	case ENTRY_OUTCOME_UNKNOWN:
		/*
		 * The marker stays, so the key is halted until an operator
		 * resolves it.
		 */
		claim_client_drop_op(records->claims, slot->op);
		slot->open = false;
		queue_callback(records, CALLBACK_OUTCOME, request, 0);
		break;
	}
}

/*
 * Records the intent of a request's bill.  Returns false if the table of open
 * bills is full.
 */
bool
request_records_add_intent(
    struct request_records *records, const struct entry_bill *bill)
{
	int64_t sequence = bill_client_add_intent(records->bills,
	    loop_now_us(records->node->loop), clock_wall_us() / US_PER_S,
	    node_hash_name(bill->workspace), UINT16_MAX, bill->sequence);

	if (sequence < 0)
		return false;
	records->bill_sequences[bill->request] = sequence;
	records->bill_requests[(uint64_t)sequence % RECORDS_BILLS_MAX] =
	    bill->request;
	return true;
}

/*
 * Settles the single bill of a request.  entry_write_done() is called once the
 * settlement is durable.
 */
void
request_records_settle_bill(
    struct request_records *records, const struct entry_bill *bill)
{
	uint64_t sequence = (uint64_t)records->bill_sequences[bill->request];
	struct bill_item item = {.version = node_hash_name(bill->version),
	    .prompt_tokens = bill->prompt_tokens,
	    .output_tokens = bill->output_tokens,
	    .cost_nano = bill->cost_nano};

	if (bill->attempts > 0)
		bill_client_add_item(records->bills, sequence, &item);
	bill_client_settle(
	    records->bills, loop_now_us(records->node->loop), sequence);
}

/* Handles a replica's reply about claims. */
void
request_records_receive_claim(
    struct request_records *records, uint32_t from, const struct claim_msg *msg)
{
	claim_client_receive(
	    records->claims, loop_now_us(records->node->loop), from, msg);
}

/* Handles a message about bills. */
void
request_records_receive_bill(
    struct request_records *records, uint32_t from, const struct bill_msg *msg)
{
	bill_client_receive(
	    records->bills, loop_now_us(records->node->loop), from, msg);
}

/* Sets the state replicas that the configuration names. */
void
request_records_set_replicas(
    struct request_records *records, const struct claim_replicas *set)
{
	records->set = *set;
	claim_client_set_replicas(records->claims, set);
	bill_client_set_replicas(records->bills, set->instances, set->count);
}

/* Sets the other instances of the data centre. */
void
request_records_set_peers(
    struct request_records *records, const uint32_t *instances, uint32_t count)
{
	bill_client_set_peers(records->bills, instances, count);
}

/*
 * Notes that a life of an instance ended: its claims without a marker may be
 * taken over.
 */
void
request_records_set_life_ended(
    struct request_records *records, uint32_t instance, uint64_t incarnation)
{
	claim_client_set_life_ended(records->claims, instance, incarnation);
}

/* Returns the number of bills that aren't durable yet. */
uint32_t
request_records_open_bills(const struct request_records *records)
{
	return bill_client_bill_count(records->bills);
}

static struct halt_query *
add_halt_query(struct request_records *records, struct http_server_exchange *x)
{
	struct halt_query *query =
	    alloc_zero(records->node->alloc, 1, sizeof(*query));

	query->x = x;
	query->deadline_us =
	    loop_now_us(records->node->loop) + CLAIM_TIMEOUT_US;
	query->op = ++records->op_generation | operator_op_flag;
	query->next = records->queries;
	records->queries = query;
	return query;
}

static void
remove_halt_query(struct request_records *records, struct halt_query *query)
{
	struct halt_query **at = &records->queries;

	while (*at != query)
		at = &(*at)->next;
	*at = query->next;
	json_decref(query->list);
	alloc_free(records->node->alloc, query);
}

/*
 * Answers a query and removes it: with the halted keys found so far, or with
 * ERR_NO_QUORUM for a resolution, whose result didn't arrive in time.
 */
static void
finish_halt_query(struct request_records *records, struct halt_query *query)
{
	struct answer_error late = {
	    .error = ERR_NO_QUORUM, .retry_after_ms = 1000};
	struct http_server_exchange *x = query->x;
	char *text;

	if (query->list == NULL) {
		remove_halt_query(records, query);
		answer_error(x, &late);
		return;
	}
	text = json_dumps(query->list, JSON_COMPACT);
	remove_halt_query(records, query);
	answer_json(x, 200, text, strlen(text));
	free(text);
}

/*
 * Answers an operator with the halted keys of all replicas.  Several replicas
 * may report the same key; it is listed once.
 */
void
request_records_list_halted(
    struct request_records *records, struct http_server_exchange *x)
{
	struct halt_query *query = add_halt_query(records, x);

	query->list = json_array();
	query->replicas_left = records->set.count;
	for (uint32_t i = 0; i < records->set.count; i++)
		claim_client_list_halted(
		    records->claims, records->set.instances[i], 0);
}

/* Writes a halted key and the ballot of its attempt as one id. */
static void
format_halt_id(const struct claim_entry *entry, char out[128])
{
	char hash[2 * CLAIM_KEY_HASH_BYTES + 1];

	sodium_bin2hex(
	    hash, sizeof(hash), entry->key.hash, CLAIM_KEY_HASH_BYTES);
	snprintf(out, 128, "%08x-%u-%s-%" PRIu64 "-%u-%" PRIu64,
	    entry->key.workspace, entry->key.born, hash, entry->accepted.round,
	    entry->accepted.instance, entry->accepted.incarnation);
}

static void
add_halted_key(struct request_records *records, json_t *list,
    const struct claim_entry *entry)
{
	char id[128];
	size_t i;
	json_t *known;

	format_halt_id(entry, id);
	json_array_foreach(list, i, known)
	{
		if (strcmp(json_string_value(json_object_get(known, "halt")),
			id) == 0)
			return;
	}
	json_array_append_new(
	    list, json_pack("{s:s,s:s,s:s}", "halt", id, "workspace",
		      node_name_from_hash(records->node, entry->key.workspace),
		      "phase", claim_phase_name(entry->phase)));
}

static void
add_halted_entries(
    struct request_records *records, const struct claim_client_action *action)
{
	const struct claim_msg *msg = action->msg;
	struct halt_query *query, *next;

	for (query = records->queries; query != NULL; query = next) {
		next = query->next;
		if (query->list == NULL)
			continue;
		for (uint32_t i = 0; i < msg->entry_count; i++)
			add_halted_key(records, query->list, &msg->entries[i]);
		if (msg->cursor == 0 && query->replicas_left > 0 &&
		    --query->replicas_left == 0)
			query->deadline_us = 0; /* on_tick() answers it */
	}
	if (msg->cursor != 0)
		claim_client_list_halted(
		    records->claims, action->to, msg->cursor);
}

/* Parses the output of format_halt_id(); returns false if it is malformed. */
static bool
parse_halt_id(
    const char *text, struct claim_key *key, struct claim_ballot *ballot)
{
	char hash[2 * CLAIM_KEY_HASH_BYTES + 1];

	return sscanf(text,
		   "%8" SCNx32 "-%" SCNu32 "-%32[0-9a-f]-%" SCNu64 "-%" SCNu32
		   "-%" SCNu64,
		   &key->workspace, &key->born, hash, &ballot->round,
		   &ballot->instance, &ballot->incarnation) == 6 &&
	       sodium_hex2bin(key->hash, CLAIM_KEY_HASH_BYTES, hash,
		   strlen(hash), NULL, NULL, NULL) == 0;
}

/*
 * Resolves a halted key for an operator.  The body is
 * {"halt", "verdict": "ran"|"not_run", "change_id"}.
 */
void
request_records_resolve_halted(
    struct request_records *records, struct http_server_exchange *x)
{
	struct answer_error bad = {.error = ERR_MALFORMED, .param = "halt"};
	const struct buf *body = http_server_body(x);
	json_t *root = json_loadb(buf_text(body), body->len, 0, NULL);
	const char *halt = json_string_value(json_object_get(root, "halt"));
	const char *verdict =
	    json_string_value(json_object_get(root, "verdict"));
	const char *change =
	    json_string_value(json_object_get(root, "change_id"));
	struct claim_key key = {0};
	struct halt_query *query;
	struct claim_resolution resolution = {0};

	if (halt == NULL || verdict == NULL || change == NULL ||
	    (strcmp(verdict, "ran") != 0 && strcmp(verdict, "not_run") != 0) ||
	    !parse_halt_id(halt, &key, &resolution.attempt)) {
		json_decref(root);
		answer_error(x, &bad);
		return;
	}
	resolution.change_id = XXH64(change, strlen(change), 0) | 1;
	resolution.verdict = strcmp(verdict, "ran") == 0
				 ? CLAIM_RESOLVED_RAN
				 : CLAIM_RESOLVED_NOT_RUN;
	json_decref(root);
	query = add_halt_query(records, x);
	query->resolution = resolution;
	claim_client_resolve(records->claims, loop_now_us(records->node->loop),
	    query->op, &key, &resolution, query->deadline_us);
}

static void
finish_resolve_query(
    struct request_records *records, const struct claim_client_action *action)
{
	struct answer_error refused = {
	    .error = action->error, .retry_after_ms = 1000};
	struct halt_query *query = records->queries;
	struct http_server_exchange *x;

	while (query != NULL && query->op != action->op)
		query = query->next;
	if (query == NULL)
		return;
	x = query->x;
	remove_halt_query(records, query);
	if (action->error != 0)
		answer_error(x, &refused);
	else
		answer_json(x, 200, "{\"result\":\"ok\"}\n", 16);
}

/* Cancels the query of an operator who closed the connection. */
void
request_records_cancel_query(
    struct request_records *records, struct http_server_exchange *x)
{
	for (struct halt_query *query = records->queries; query != NULL;
	     query = query->next) {
		if (query->x == x) {
			remove_halt_query(records, query);
			return;
		}
	}
}
