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
 * Claims and bills of this instance's own requests: the claimant's and the
 * entry side of the protocols, between the entry child and the replicas.
 *
 * The state machines must not be called back from their own emit(), so what
 * they tell waits in a list until the next turn of the loop.
 */

enum {
	BOOK_TICK_US = 20000,
	BOOK_BILLS = 65536, /* open at once, and ring of their sequences */
	BOOK_CLAIMS = 16384,
	CLAIM_TIMEOUT_US = 2000000, /* without a quorum: refused after this */
	MARK_TIMEOUT_US = 2000000,
	US_PER_S = 1000000
};

static const uint64_t operator_op = (uint64_t)1 << 63;

enum told_kind {
	TOLD_CLAIM,
	TOLD_MARK,
	TOLD_OUTCOME,
	TOLD_SETTLED
};

struct told {
	enum told_kind kind;
	uint32_t request;
	int error;
};

/* The claim of an open request, by its id. */
struct book_claim_slot {
	uint64_t op;
	bool open;
};

/* An operator's request for the halted keys, or about one. */
struct halt_ask {
	struct http_server_exchange *x;
	uint64_t op;
	json_t *list; /* halts: found so far */
	uint32_t replicas_left;
	int64_t until_us;
	struct claim_resolution order;
	struct halt_ask *next;
};

struct book {
	struct node *node;
	struct claim_client *claims;
	struct bill_client *bills;
	struct claim_replicas set;
	struct book_claim_slot *slots;
	uint32_t *bill_requests; /* by sequence modulo BOOK_BILLS */
	int64_t *bill_sequences; /* by request id; 0: none */
	uint64_t generation;
	struct told *told;
	size_t told_count;
	size_t told_size;
	struct loop_timer *flush;
	struct loop_timer *tick;
	struct halt_ask *asks;
};

static void
flush(void *ctx)
{
	struct book *book = ctx;
	struct entry *entry = book->node->entry;

	book->flush = NULL;
	for (size_t i = 0; i < book->told_count && entry != NULL; i++) {
		struct told t = book->told[i];

		if (t.kind == TOLD_CLAIM)
			entry_claim_done(entry, t.request, t.error);
		else if (t.kind == TOLD_MARK)
			entry_marker_done(entry, t.request, t.error);
		else
			entry_write_done(entry, t.request);
	}
	book->told_count = 0;
}

static void
tell(struct book *book, enum told_kind kind, uint32_t request, int error)
{
	if (book->told_count == book->told_size) {
		book->told_size =
		    book->told_size > 0 ? book->told_size * 2 : 64;
		book->told = alloc_resize(book->node->alloc, book->told,
		    book->told_size * sizeof(*book->told));
	}
	book->told[book->told_count++] = (struct told){kind, request, error};
	if (book->flush == NULL)
		book->flush = loop_after(book->node->loop, 0, flush, book);
}

static void
send_claim(struct book *book, uint32_t to, const struct claim_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, book->node->alloc);
	claim_msg_encode(msg, &bytes);
	node_send(book->node, to, PEER_CLAIM, &bytes);
	buf_free(&bytes);
}

static void resolve_answered(
    struct book *book, const struct claim_client_action *action);
static void halts_arrived(
    struct book *book, const struct claim_client_action *action);
static void finish_halts(struct book *book, struct halt_ask *ask);

static void
claim_answered(struct book *book, const struct claim_client_action *action)
{
	uint32_t request = (uint32_t)action->op;

	if (action->op & operator_op) {
		resolve_answered(book, action);
		return;
	}
	switch (action->step) {
	case CLAIM_STEP_ACQUIRE:
		tell(book, TOLD_CLAIM, request, action->error);
		break;
	case CLAIM_STEP_MARK:
		tell(book, TOLD_MARK, request, action->error);
		break;
	case CLAIM_STEP_DONE:
	case CLAIM_STEP_RELEASE:
		book->slots[request].open = false;
		tell(book, TOLD_OUTCOME, request, action->error);
		break;
	case CLAIM_STEP_RESOLVE:
	case CLAIM_STEP_READ:
		break;
	}
}

static void
emit_claim(void *ctx, const struct claim_client_action *action)
{
	struct book *book = ctx;

	switch (action->kind) {
	case CLAIM_CLIENT_SEND:
		send_claim(book, action->to, action->msg);
		break;
	case CLAIM_CLIENT_STEP_ENDED:
		claim_answered(book, action);
		break;
	case CLAIM_CLIENT_HALTED_LIST:
		halts_arrived(book, action);
		break;
	}
}

static void
emit_bill(void *ctx, const struct bill_client_action *action)
{
	struct book *book = ctx;
	struct buf bytes;

	if (action->kind == BILL_CLIENT_SEND) {
		buf_init(&bytes, book->node->alloc);
		bill_msg_encode(action->msg, &bytes);
		node_send(book->node, action->to, PEER_BILL, &bytes);
		buf_free(&bytes);
	} else if (action->state == BILL_SETTLED) {
		tell(book, TOLD_SETTLED,
		    book->bill_requests[action->id.sequence % BOOK_BILLS], 0);
	}
}

static void
expire_asks(struct book *book)
{
	int64_t now_us = loop_now_us(book->node->loop);
	struct halt_ask *ask = book->asks, *next;

	for (; ask != NULL; ask = next) {
		next = ask->next;
		if (now_us >= ask->until_us)
			finish_halts(book, ask);
	}
}

static void
on_tick(void *ctx)
{
	struct book *book = ctx;
	int64_t now_us = loop_now_us(book->node->loop);

	claim_client_tick(book->claims, now_us);
	bill_client_tick(book->bills, now_us);
	expire_asks(book);
	book->tick = loop_after(book->node->loop, BOOK_TICK_US, on_tick, book);
}

/* Creates both clients; they know no replica yet. */
struct book *
book_new(struct node *node)
{
	const struct alloc *alloc = node->alloc;
	struct book *book = alloc_zero(alloc, 1, sizeof(*book));
	uint32_t self = directory_self(node->directory)->number;
	struct claim_client_options claims = {.alloc = alloc,
	    .emit = emit_claim,
	    .ctx = book,
	    .instance = self,
	    .incarnation = node->incarnation,
	    .seed = rng_system_seed(),
	    .ops_max = BOOK_CLAIMS};
	struct bill_client_options bills = {.alloc = alloc,
	    .emit = emit_bill,
	    .ctx = book,
	    .instance = self,
	    .owner = node->owner,
	    .bills_max = BOOK_BILLS};

	book->node = node;
	book->claims = claim_client_new(&claims);
	book->bills = bill_client_new(&bills);
	book->slots = alloc_zero(alloc, BOOK_CLAIMS, sizeof(*book->slots));
	book->bill_requests =
	    alloc_zero(alloc, BOOK_BILLS, sizeof(*book->bill_requests));
	book->bill_sequences =
	    alloc_zero(alloc, BOOK_CLAIMS, sizeof(*book->bill_sequences));
	book->tick = loop_after(node->loop, BOOK_TICK_US, on_tick, book);
	return book;
}

/* Releases both; what is not durable yet is lost with the process. */
void
book_free(struct book *book)
{
	const struct alloc *alloc;

	if (book == NULL)
		return;
	alloc = book->node->alloc;
	while (book->asks != NULL) {
		struct halt_ask *ask = book->asks;

		book->asks = ask->next;
		json_decref(ask->list);
		alloc_free(alloc, ask);
	}
	loop_cancel(book->tick);
	loop_cancel(book->flush);
	claim_client_free(book->claims);
	bill_client_free(book->bills);
	alloc_free(alloc, book->slots);
	alloc_free(alloc, book->bill_requests);
	alloc_free(alloc, book->bill_sequences);
	alloc_free(alloc, book->told);
	alloc_free(alloc, book);
}

/* Claims a request's key; entry_claim_done() follows. */
void
book_claim(struct book *book, const struct entry_claim *claim)
{
	struct book_claim_slot *slot = &book->slots[claim->request];
	int64_t now_us = loop_now_us(book->node->loop);
	struct claim_key key;

	if (claim_key_parse(
		node_hash_name(claim->workspace), claim->key, &key) != 0) {
		tell(book, TOLD_CLAIM, claim->request, ERR_MALFORMED);
		return;
	}
	slot->op = (++book->generation << 32 | claim->request) & ~operator_op;
	slot->open = true;
	claim_client_acquire(
	    book->claims, now_us, slot->op, &key, now_us + CLAIM_TIMEOUT_US);
}

/* Makes the attempt marker durable before a dispatch; entry_marker_done()
 * follows.
 */
void
book_mark(struct book *book, uint32_t request)
{
	int64_t now_us = loop_now_us(book->node->loop);

	claim_client_write_marker(book->claims, now_us, book->slots[request].op,
	    now_us + MARK_TIMEOUT_US);
}

/* Returns whether a marker is young enough to dispatch under it now. */
bool
book_may_dispatch(struct book *book, uint32_t request)
{
	return book->slots[request].open &&
	       claim_client_may_dispatch(
		   book->claims, clock_monotonic_us(), book->slots[request].op);
}

/* Ends a claim; entry_write_done() follows once that is durable. */
void
book_outcome(
    struct book *book, uint32_t request, enum entry_claim_outcome outcome)
{
	struct book_claim_slot *slot = &book->slots[request];
	int64_t now_us = loop_now_us(book->node->loop);
	static const uint8_t digest[CLAIM_DIGEST_BYTES];

	if (!slot->open) {
		tell(book, TOLD_OUTCOME, request, 0);
		return;
	}
	switch (outcome) {
	case ENTRY_OUTCOME_DONE:
		claim_client_write_outcome(
		    book->claims, now_us, slot->op, 0, digest);
		break;
	case ENTRY_OUTCOME_RELEASED:
		claim_client_release(book->claims, now_us, slot->op);
		break;
	case ENTRY_OUTCOME_UNKNOWN:
		/* The marker stays: the key is halted until operators decide.
		 */
		claim_client_drop_op(book->claims, slot->op);
		slot->open = false;
		tell(book, TOLD_OUTCOME, request, 0);
		break;
	}
}

/* Notes a request's intent; false if no more bills can be kept. */
bool
book_intend(struct book *book, const struct entry_bill *bill)
{
	int64_t sequence = bill_client_add_intent(book->bills,
	    loop_now_us(book->node->loop), clock_wall_us() / US_PER_S,
	    node_hash_name(bill->workspace), UINT16_MAX, bill->sequence);

	if (sequence < 0)
		return false;
	book->bill_sequences[bill->request] = sequence;
	book->bill_requests[(uint64_t)sequence % BOOK_BILLS] = bill->request;
	return true;
}

/* Settles a request's one bill; entry_write_done() follows when it is durable.
 */
void
book_settle(struct book *book, const struct entry_bill *bill)
{
	uint64_t sequence = (uint64_t)book->bill_sequences[bill->request];
	struct bill_item item = {.version = node_hash_name(bill->version),
	    .prompt_tokens = bill->prompt_tokens,
	    .output_tokens = bill->output_tokens,
	    .cost_nano = bill->cost_nano};

	if (bill->attempts > 0)
		bill_client_add_item(book->bills, sequence, &item);
	bill_client_settle(
	    book->bills, loop_now_us(book->node->loop), sequence);
}

/* Takes a replica's answer about claims. */
void
book_claim_message(
    struct book *book, uint32_t from, const struct claim_msg *msg)
{
	claim_client_receive(
	    book->claims, loop_now_us(book->node->loop), from, msg);
}

/* Takes a message about bills. */
void
book_bill_message(struct book *book, uint32_t from, const struct bill_msg *msg)
{
	bill_client_receive(
	    book->bills, loop_now_us(book->node->loop), from, msg);
}

/* Takes the set of state replicas that the configuration names. */
void
book_replicas(struct book *book, const struct claim_replicas *set)
{
	book->set = *set;
	claim_client_set_replicas(book->claims, set);
	bill_client_set_replicas(book->bills, set->instances, set->count);
}

/* Takes the other instances of the data centre. */
void
book_peers(struct book *book, const uint32_t *instances, uint32_t count)
{
	bill_client_set_peers(book->bills, instances, count);
}

/* A life of an instance has ended: its unmarked claims may be taken over. */
void
book_ended(struct book *book, uint32_t instance, uint64_t incarnation)
{
	claim_client_set_life_ended(book->claims, instance, incarnation);
}

/* Returns how many bills are not durable yet. */
uint32_t
book_open(const struct book *book)
{
	return bill_client_bill_count(book->bills);
}

static struct halt_ask *
new_ask(struct book *book, struct http_server_exchange *x)
{
	struct halt_ask *ask = alloc_zero(book->node->alloc, 1, sizeof(*ask));

	ask->x = x;
	ask->until_us = loop_now_us(book->node->loop) + CLAIM_TIMEOUT_US;
	ask->op = ++book->generation | operator_op;
	ask->next = book->asks;
	book->asks = ask;
	return ask;
}

static void
drop_ask(struct book *book, struct halt_ask *ask)
{
	struct halt_ask **at = &book->asks;

	while (*at != ask)
		at = &(*at)->next;
	*at = ask->next;
	json_decref(ask->list);
	alloc_free(book->node->alloc, ask);
}

/* Answers with the halted keys found so far. */
static void
finish_halts(struct book *book, struct halt_ask *ask)
{
	struct answer_error late = {
	    .error = ERR_NO_QUORUM, .retry_after_ms = 1000};
	struct http_server_exchange *x = ask->x;
	char *text;

	if (ask->list == NULL) {
		drop_ask(book, ask);
		answer_error(x, &late);
		return;
	}
	text = json_dumps(ask->list, JSON_COMPACT);
	drop_ask(book, ask);
	answer_json(x, 200, text, strlen(text));
	free(text);
}

/* Asks every replica for its halted keys; each key may be known to several. */
void
book_halts(struct book *book, struct http_server_exchange *x)
{
	struct halt_ask *ask = new_ask(book, x);

	ask->list = json_array();
	ask->replicas_left = book->set.count;
	for (uint32_t i = 0; i < book->set.count; i++)
		claim_client_list_halted(
		    book->claims, book->set.instances[i], 0);
}

static void
print_id(const struct claim_entry *entry, char out[128])
{
	char hash[2 * CLAIM_KEY_HASH_BYTES + 1];

	sodium_bin2hex(
	    hash, sizeof(hash), entry->key.hash, CLAIM_KEY_HASH_BYTES);
	snprintf(out, 128, "%08x-%u-%s-%" PRIu64 "-%u-%" PRIu64,
	    entry->key.workspace, entry->key.born, hash, entry->accepted.round,
	    entry->accepted.instance, entry->accepted.incarnation);
}

static void
add_halt(struct book *book, json_t *list, const struct claim_entry *entry)
{
	char id[128];
	size_t i;
	json_t *known;

	print_id(entry, id);
	json_array_foreach(list, i, known)
	{
		if (strcmp(json_string_value(json_object_get(known, "halt")),
			id) == 0)
			return;
	}
	json_array_append_new(
	    list, json_pack("{s:s,s:s,s:s}", "halt", id, "workspace",
		      node_name_of(book->node, entry->key.workspace), "phase",
		      claim_phase_name(entry->phase)));
}

static void
halts_arrived(struct book *book, const struct claim_client_action *action)
{
	const struct claim_msg *msg = action->msg;
	struct halt_ask *ask, *next;

	for (ask = book->asks; ask != NULL; ask = next) {
		next = ask->next;
		if (ask->list == NULL)
			continue;
		for (uint32_t i = 0; i < msg->entry_count; i++)
			add_halt(book, ask->list, &msg->entries[i]);
		if (msg->cursor == 0 && ask->replicas_left > 0 &&
		    --ask->replicas_left == 0)
			ask->until_us = 0; /* answered at the next tick */
	}
	if (msg->cursor != 0)
		claim_client_list_halted(book->claims, action->to, msg->cursor);
}

/* Reads what print_id() wrote. */
static bool
parse_id(const char *text, struct claim_key *key, struct claim_ballot *ballot)
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

/* Resolves a halted key: {"halt", "verdict": "ran"|"not_run", "change_id"}. */
void
book_resolve(struct book *book, struct http_server_exchange *x)
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
	struct halt_ask *ask;
	struct claim_resolution order = {0};

	if (halt == NULL || verdict == NULL || change == NULL ||
	    (strcmp(verdict, "ran") != 0 && strcmp(verdict, "not_run") != 0) ||
	    !parse_id(halt, &key, &order.attempt)) {
		json_decref(root);
		answer_error(x, &bad);
		return;
	}
	order.change_id = XXH64(change, strlen(change), 0) | 1;
	order.verdict = strcmp(verdict, "ran") == 0 ? CLAIM_RESOLVED_RAN
						    : CLAIM_RESOLVED_NOT_RUN;
	json_decref(root);
	ask = new_ask(book, x);
	ask->order = order;
	claim_client_resolve(book->claims, loop_now_us(book->node->loop),
	    ask->op, &key, &order, ask->until_us);
}

static void
resolve_answered(struct book *book, const struct claim_client_action *action)
{
	struct answer_error refused = {
	    .error = action->error, .retry_after_ms = 1000};
	struct halt_ask *ask = book->asks;
	struct http_server_exchange *x;

	while (ask != NULL && ask->op != action->op)
		ask = ask->next;
	if (ask == NULL)
		return;
	x = ask->x;
	drop_ask(book, ask);
	if (action->error != 0)
		answer_error(x, &refused);
	else
		answer_json(x, 200, "{\"result\":\"ok\"}\n", 16);
}

/* The operator went away. */
void
book_gone(struct book *book, struct http_server_exchange *x)
{
	for (struct halt_ask *ask = book->asks; ask != NULL; ask = ask->next) {
		if (ask->x == x) {
			drop_ask(book, ask);
			return;
		}
	}
}
