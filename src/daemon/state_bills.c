#include <inttypes.h>
#include <jansson.h>
#include <stdio_ext.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/directory.h"
#include "daemon/state.h"
#include "wire/operator.pb-c.h"

/*
 * The bills that this replica keeps, and their export: an append-only file with
 * one JSON object per line.  Seals, agreed on through the replicated log, fix
 * the order of the lines, so every replica writes the same file.
 */

enum {
	SEAL_EVERY_US = 1000000,
	LINE_BYTES = 1024,
	EXPORT_MAX_BYTES = 512 * 1024,
	UNSETTLED_MAX = 200,
	UNSETTLED_AGE_S = 60,
	US_PER_S = 1000000
};

static void
make_export_path(const struct state *state, char *out, size_t size)
{
	snprintf(out, size, "%s/bills-export.jsonl",
	    state->node->settings->data_dir);
}

/*
 * Opens the export file, counts its whole lines and truncates a partial line
 * that a crash left at the end.  Fails with ERR_DISK.
 */
static int
open_export_file(struct state *state)
{
	char path[SETTINGS_PATH_BYTES + 32];
	char line[LINE_BYTES];
	long end = 0;

	make_export_path(state, path, sizeof(path));
	state->export_file = fopen(path, "a+e");
	if (state->export_file == NULL)
		return ERR_DISK;
	rewind(state->export_file);
	while (fgets(line, sizeof(line), state->export_file) != NULL &&
	       strchr(line, '\n') != NULL) {
		state->export_line_count++;
		end = ftell(state->export_file);
	}
	if (ftruncate(fileno(state->export_file), end) != 0)
		return ERR_DISK;
	fseek(state->export_file, 0, SEEK_END);
	return 0;
}

/* Formats one line of the export; costs are in 1e-9 units of currency. */
static void
format_export_line(const struct state *state,
    const struct bill_store_action *action, char out[LINE_BYTES])
{
	const struct bill_entry *bill = action->bill;
	uint32_t tokens = 0;
	uint32_t version = 0;

	for (uint8_t i = 0; i < bill->item_count; i++) {
		tokens += bill->items[i].output_tokens;
		version = bill->items[i].version;
	}
	snprintf(out, LINE_BYTES,
	    "{\"line\":%" PRIu64 ",\"request\":\"%016" PRIx64 "-%" PRIu64
	    "\",\"workspace\":\"%s\",\"version\":\"%s\",\"born_s\":%" PRId64
	    ",\"attempts\":%u,\"output_tokens\":%u,\"cost_nano\":%" PRIu64
	    ",\"state\":\"%s\"}\n",
	    action->position, bill->id.owner, bill->request,
	    node_name_from_hash(state->node, bill->workspace),
	    node_name_from_hash(state->node, version), bill->born_s,
	    bill->item_count, tokens, bill_cost_nano(bill),
	    bill->state == BILL_CLOSED ? "closed" : "settled");
}

/*
 * Returns whether the file lacks lines that the store counts as exported. After
 * a kill, a full disk or a loss of power, the store's record of the lines can
 * be durable while the lines themselves are lost.
 */
static bool
is_export_short(const struct state *state)
{
	return state->export_line_count <
	       bill_store_exported_lines(state->bills);
}

/* Appends the line of a bill, unless it is written or out of order. */
static void
write_export_line(struct state *state, const struct bill_store_action *action)
{
	char line[LINE_BYTES];

	/* After an error it is unknown what the file holds. */
	if (state->journal_failed)
		return;
	/* The line was written before a restart. */
	if (action->position <= state->export_line_count)
		return;
	/*
	 * Lines before this one are missing; request_missing_lines() requests
	 * them from another replica together with this one.
	 */
	if (action->position > state->export_line_count + 1)
		return;
	format_export_line(state, action, line);
	if (fputs(line, state->export_file) < 0)
		state_folder_failed(state, "export");
	else
		state->export_line_count = action->position;
}

/*
 * Writes the buffered lines.  After an error part of a line may be in the file
 * and others lost; opening the folder again cuts and counts them.  Returns
 * whether it succeeded.
 */
static bool
flush_export(struct state *state)
{
	if (state->journal_failed)
		return false;
	if (fflush(state->export_file) == 0)
		return true;
	state_folder_failed(state, "export");
	return false;
}

/* Carries out an action of the bill store. */
static void
run_store_action(void *ctx, const struct bill_store_action *action)
{
	struct state *state = ctx;
	struct buf bytes;

	switch (action->kind) {
	case BILL_STORE_SEND:
		buf_init(&bytes, state->node->alloc);
		bill_msg_encode(action->msg, &bytes);
		node_send(state->node, action->to, PEER_BILL, &bytes);
		buf_free(&bytes);
		break;
	case BILL_STORE_PERSIST:
		/* Lines that the record counts as exported must be written. */
		if (!flush_export(state))
			break;
		state_append_record(state, JNL_KIND_BILLS, action->record,
		    action->record_len, OWNER_BILLS, action->sequence);
		break;
	case BILL_STORE_ARCHIVE:
		write_export_line(state, action);
		break;
	}
}

/*
 * Opens the store and the export.  Called at the first bill record of the
 * replay, or after the replay if there is none.  The store's life is a new one
 * each time, since arrivals are counted anew: the other replicas then pull from
 * the first one on.  Fails with ERR_DISK.
 */
int
state_bills_new(struct state *state)
{
	const struct directory *directory = state->node->directory;
	struct bill_store_options options = {.alloc = state->node->alloc,
	    .emit = run_store_action,
	    .ctx = state,
	    .instance = directory_self(directory)->number,
	    .life = rng_system_seed()};
	uint32_t others[BILL_REPLICAS_MAX];
	uint32_t count = 0;

	state->bills = bill_store_new(&options);
	for (uint32_t i = 0; i < directory_count(directory); i++) {
		const struct directory_entry *e = directory_at(directory, i);

		if (!e->self && e->rank != DIRECTORY_NO_RANK &&
		    count < BILL_REPLICAS_MAX)
			others[count++] = e->number;
	}
	bill_store_set_peers(state->bills, others, count);
	return open_export_file(state);
}

/*
 * Frees the store and closes the export file.  What an error has left in its
 * buffer is dropped: lines before it may be lost.
 */
void
state_bills_free(struct state *state)
{
	bill_store_free(state->bills);
	if (state->export_file != NULL) {
		if (state->journal_failed)
			__fpurge(state->export_file);
		fclose(state->export_file);
	}
	state->export_file = NULL;
}

/* Applies a seal that the replicated log has committed. */
void
state_bills_apply_seal(struct state *state, const void *data, size_t len)
{
	struct bill_seal seal;

	state->seal_token = 0;
	if (bill_seal_decode(&seal, data, len) == 0)
		bill_store_seal_agreed(state->bills, &seal);
	(void)flush_export(state);
}

/* Handles a message of an instance or of another replica. */
void
state_bills_receive(
    struct state *state, uint32_t from, const struct bill_msg *msg)
{
	bill_store_receive(
	    state->bills, loop_now_us(state->node->loop), from, msg);
}

/* Proposes the next seal, unless one is proposed already; leader only. */
static void
propose_seal(struct state *state)
{
	struct bill_seal seal;
	struct buf bytes;

	if (state->seal_token != 0 ||
	    !bill_store_propose_seal(state->bills, &seal))
		return;
	buf_init(&bytes, state->node->alloc);
	bill_seal_encode(&seal, &bytes);
	state->seal_token = state->last_token + 1;
	state_log_propose(state, ENTRY_SEAL, &bytes);
	buf_free(&bytes);
}

static void
send_export(struct state *state, uint32_t to, const Opr__Export *message)
{
	struct buf bytes;

	buf_init(&bytes, state->node->alloc);
	buf_reserve(&bytes, opr__export__get_packed_size(message));
	bytes.len = opr__export__pack(message, bytes.data);
	node_send(state->node, to, PEER_BILL_EXPORT, &bytes);
	buf_free(&bytes);
}

/*
 * Asks another replica, chosen at random, for the export lines that this one
 * lacks.  A replica can't derive them from its bills after it lost its disk or
 * the end of its export, or was unavailable while the others dropped bills that
 * they had exported.
 */
static void
request_missing_lines(struct state *state)
{
	const struct directory *directory = state->node->directory;
	Opr__Export wanted = OPR__EXPORT__INIT;
	uint32_t first = (uint32_t)rng_system_seed();
	uint32_t count = directory_count(directory);

	wanted.wanted = true;
	wanted.after = state->export_line_count;
	for (uint32_t i = 0; i < count; i++) {
		const struct directory_entry *e =
		    directory_at(directory, (first + i) % count);

		if (!e->self && e->rank != DIRECTORY_NO_RANK) {
			send_export(state, e->number, &wanted);
			return;
		}
	}
}

/*
 * Answers a request for lines.  The answer that reaches the end of the export
 * also carries the store's seal state.  A replica that is behind itself doesn't
 * answer.
 */
static void
send_export_lines(struct state *state, uint32_t from, uint64_t after)
{
	Opr__Export answer = OPR__EXPORT__INIT;
	struct buf lines, tail;

	if (bill_store_is_behind(state->bills))
		return;
	buf_init(&lines, state->node->alloc);
	buf_init(&tail, state->node->alloc);
	state_bills_append_export(state, after, &lines);
	if (lines.len < EXPORT_MAX_BYTES)
		bill_store_encode_seal_state(state->bills, &tail);
	answer.after = after;
	answer.lines.data = lines.data;
	answer.lines.len = lines.len;
	answer.tail.data = tail.data;
	answer.tail.len = tail.len;
	/* The receiver takes the seal state for that of the lines. */
	if (!state->journal_failed)
		send_export(state, from, &answer);
	buf_free(&lines);
	buf_free(&tail);
}

/*
 * Appends the lines of another replica's answer, and adopts its seal state if
 * the answer has it.  Ignores an answer that isn't needed or that doesn't start
 * at the end of this file.
 */
static void
append_received_lines(struct state *state, const Opr__Export *answer)
{
	if (state->journal_failed ||
	    !(bill_store_is_behind(state->bills) || is_export_short(state)) ||
	    answer->after != state->export_line_count)
		return;
	if (fwrite(answer->lines.data, 1, answer->lines.len,
		state->export_file) != answer->lines.len ||
	    !flush_export(state) || fsync(fileno(state->export_file)) != 0) {
		state_folder_failed(state, "export");
		return;
	}
	for (size_t i = 0; i < answer->lines.len; i++)
		state->export_line_count += answer->lines.data[i] == '\n';
	state->next_export_us = 0;
	if (answer->tail.len == 0 || !bill_store_is_behind(state->bills))
		return;
	if (bill_store_adopt_seal_state(
		state->bills, answer->tail.data, answer->tail.len) == 0)
		log_event(LOG_LEVEL_INFO, "export_adopted", "lines=%" PRIu64,
		    state->export_line_count);
}

/* Handles another replica's request for export lines, or its answer. */
void
state_bills_receive_export(
    struct state *state, uint32_t from, const uint8_t *data, uint32_t len)
{
	Opr__Export *message = opr__export__unpack(NULL, len, data);

	if (message == NULL)
		return;
	if (message->wanted)
		send_export_lines(state, from, message->after);
	else
		append_received_lines(state, message);
	opr__export__free_unpacked(message, NULL);
}

/*
 * Advances the store to the current time, asks for missing lines and, on the
 * leader, proposes a seal every SEAL_EVERY_US.
 */
void
state_bills_tick(struct state *state)
{
	int64_t now_us = loop_now_us(state->node->loop);

	bill_store_tick(state->bills, now_us);
	if ((bill_store_is_behind(state->bills) || is_export_short(state)) &&
	    now_us >= state->next_export_us) {
		state->next_export_us = now_us + SEAL_EVERY_US;
		request_missing_lines(state);
	}
	if (now_us < state->next_seal_us || !rlog_is_leader(state->rlog))
		return;
	state->next_seal_us = now_us + SEAL_EVERY_US;
	propose_seal(state);
}

/*
 * Appends the lines of the export after a line number, until out has at least
 * EXPORT_MAX_BYTES.
 */
void
state_bills_append_export(struct state *state, uint64_t after, struct buf *out)
{
	char path[SETTINGS_PATH_BYTES + 32];
	char line[LINE_BYTES];
	FILE *file;

	if (!flush_export(state))
		return;
	make_export_path(state, path, sizeof(path));
	file = fopen(path, "re");
	for (uint64_t n = 1; file != NULL && out->len < EXPORT_MAX_BYTES &&
			     fgets(line, sizeof(line), file) != NULL;
	     n++) {
		if (n > after)
			buf_adds(out, line);
	}
	if (file != NULL)
		fclose(file);
}

/*
 * Appends a JSON array of at most UNSETTLED_MAX bills that are older than
 * UNSETTLED_AGE_S and have no settlement.
 */
void
state_bills_append_unsettled(struct state *state, struct buf *out)
{
	static struct bill_entry bills[UNSETTLED_MAX];
	int64_t now_s = clock_wall_us() / US_PER_S;
	size_t count = bill_store_list_unsettled(
	    state->bills, now_s - UNSETTLED_AGE_S, bills, UNSETTLED_MAX);

	buf_adds(out, "[");
	for (size_t i = 0; i < count && i < UNSETTLED_MAX; i++)
		buf_addf(out,
		    "%s{\"request\":\"%016" PRIx64 "-%" PRIu64
		    "\",\"workspace\":\"%s\",\"age_s\":%" PRId64 "}",
		    i > 0 ? "," : "", bills[i].id.owner, bills[i].request,
		    node_name_from_hash(state->node, bills[i].workspace),
		    now_s - bills[i].born_s);
	buf_adds(out, "]");
}
