#include <inttypes.h>
#include <jansson.h>
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
 * The bills that this replica keeps, and the export: one JSON object a line in
 * a file that only grows.  The replicated log fixes its order through seals,
 * so every replica writes the same file.
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
archive_path(const struct state *state, char *out, size_t size)
{
	snprintf(out, size, "%s/bills-export.jsonl",
	    state->node->settings->data_dir);
}

/* Counts the whole lines and cuts what a crash left of one. */
static int
open_archive(struct state *state)
{
	char path[SETTINGS_PATH_BYTES + 32];
	char line[LINE_BYTES];
	long end = 0;

	archive_path(state, path, sizeof(path));
	state->archive = fopen(path, "a+e");
	if (state->archive == NULL)
		return ERR_DISK;
	rewind(state->archive);
	while (fgets(line, sizeof(line), state->archive) != NULL &&
	       strchr(line, '\n') != NULL) {
		state->archived++;
		end = ftell(state->archive);
	}
	if (ftruncate(fileno(state->archive), end) != 0)
		return ERR_DISK;
	fseek(state->archive, 0, SEEK_END);
	return 0;
}

static void
print_line(const struct state *state, const struct bill_store_action *action,
    char out[LINE_BYTES])
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
	    node_name_of(state->node, bill->workspace),
	    node_name_of(state->node, version), bill->born_s, bill->item_count,
	    tokens, bill_cost_nano(bill),
	    bill->state == BILL_CLOSED ? "closed" : "settled");
}

/*
 * Whether the file lacks lines that the store has archived: the store's record
 * of them outlived a kill, a full disk or a loss of power, and they did not.
 */
static bool
is_export_short(const struct state *state)
{
	return state->archived < bill_store_exported_lines(state->bills);
}

static void
archive(struct state *state, const struct bill_store_action *action)
{
	char line[LINE_BYTES];

	/* Written before a restart already. */
	if (action->position <= state->archived)
		return;
	/* Lines before this one are missing, and asked for with this one. */
	if (action->position > state->archived + 1)
		return;
	print_line(state, action, line);
	if (fputs(line, state->archive) < 0)
		log_event(LOG_LEVEL_ERROR, "export_failed", "line=%" PRIu64,
		    action->position);
	else
		state->archived = action->position;
}

static void
emit(void *ctx, const struct bill_store_action *action)
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
		/* What the record says of the export must be in the file. */
		fflush(state->archive);
		state_append(state, JNL_KIND_BILLS, action->record,
		    action->record_len, OWNER_BILLS, action->sequence);
		break;
	case BILL_STORE_ARCHIVE:
		archive(state, action);
		break;
	}
}

/*
 * Opens the store and the export: at the first of its records, or after the
 * replay.  By then the log knows the identity that this folder lives under.
 */
int
state_bills_new(struct state *state)
{
	const struct directory *directory = state->node->directory;
	struct bill_store_options options = {.alloc = state->node->alloc,
	    .emit = emit,
	    .ctx = state,
	    .instance = directory_self(directory)->number,
	    .life = rlog_replica_id(state->rlog)};
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
	return open_archive(state);
}

/* Closes the export. */
void
state_bills_free(struct state *state)
{
	bill_store_free(state->bills);
	if (state->archive != NULL)
		fclose(state->archive);
	state->archive = NULL;
}

/* Applies a seal that the log has agreed on. */
void
state_bills_seal(struct state *state, const void *data, size_t len)
{
	struct bill_seal seal;

	state->seal_token = 0;
	if (bill_seal_decode(&seal, data, len) == 0)
		bill_store_seal_agreed(state->bills, &seal);
	fflush(state->archive);
}

/* Takes an instance's or another replica's message. */
void
state_bills_message(
    struct state *state, uint32_t from, const struct bill_msg *msg)
{
	bill_store_receive(
	    state->bills, loop_now_us(state->node->loop), from, msg);
}

/* Proposes the next seal, as the leader. */
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
	state->seal_token = state->next_token + 1;
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
	node_send(state->node, to, PEER_EXPORT, &bytes);
	buf_free(&bytes);
}

/*
 * Asks another replica for the lines that this one lacks.  A replica that lost
 * its disk or the end of its export, or was away while the others dropped what
 * they had archived, can't make them from bills any more.
 */
static void
ask_for_lines(struct state *state)
{
	const struct directory *directory = state->node->directory;
	Opr__Export wanted = OPR__EXPORT__INIT;
	uint32_t first = (uint32_t)rng_system_seed();
	uint32_t count = directory_count(directory);

	wanted.wanted = true;
	wanted.after = state->archived;
	for (uint32_t i = 0; i < count; i++) {
		const struct directory_entry *e =
		    directory_at(directory, (first + i) % count);

		if (!e->self && e->rank != DIRECTORY_NO_RANK) {
			send_export(state, e->number, &wanted);
			return;
		}
	}
}

/* Answers with lines; with the last of them goes the store's tail. */
static void
answer_lines(struct state *state, uint32_t from, uint64_t after)
{
	Opr__Export answer = OPR__EXPORT__INIT;
	struct buf lines, tail;

	if (bill_store_is_behind(state->bills))
		return;
	buf_init(&lines, state->node->alloc);
	buf_init(&tail, state->node->alloc);
	state_bills_export(state, after, &lines);
	if (lines.len < EXPORT_MAX_BYTES)
		bill_store_encode_seal_state(state->bills, &tail);
	answer.after = after;
	answer.lines.data = lines.data;
	answer.lines.len = lines.len;
	answer.tail.data = tail.data;
	answer.tail.len = tail.len;
	send_export(state, from, &answer);
	buf_free(&lines);
	buf_free(&tail);
}

static void
take_lines(struct state *state, const Opr__Export *answer)
{
	if (!(bill_store_is_behind(state->bills) || is_export_short(state)) ||
	    answer->after != state->archived)
		return;
	if (fwrite(answer->lines.data, 1, answer->lines.len, state->archive) !=
		answer->lines.len ||
	    fflush(state->archive) != 0 || fsync(fileno(state->archive)) != 0)
		return;
	for (size_t i = 0; i < answer->lines.len; i++)
		state->archived += answer->lines.data[i] == '\n';
	state->next_export_us = 0;
	if (answer->tail.len == 0 || !bill_store_is_behind(state->bills))
		return;
	if (bill_store_adopt_seal_state(
		state->bills, answer->tail.data, answer->tail.len) == 0)
		log_event(LOG_LEVEL_INFO, "export_adopted", "lines=%" PRIu64,
		    state->archived);
}

/* Takes another replica's question for lines, or its answer. */
void
state_bills_export_message(
    struct state *state, uint32_t from, const uint8_t *data, uint32_t len)
{
	Opr__Export *message = opr__export__unpack(NULL, len, data);

	if (message == NULL)
		return;
	if (message->wanted)
		answer_lines(state, from, message->after);
	else
		take_lines(state, message);
	opr__export__free_unpacked(message, NULL);
}

/* Lets time pass. */
void
state_bills_tick(struct state *state)
{
	int64_t now_us = loop_now_us(state->node->loop);

	bill_store_tick(state->bills, now_us);
	if ((bill_store_is_behind(state->bills) || is_export_short(state)) &&
	    now_us >= state->next_export_us) {
		state->next_export_us = now_us + SEAL_EVERY_US;
		ask_for_lines(state);
	}
	if (now_us < state->next_seal_us || !rlog_is_leader(state->rlog))
		return;
	state->next_seal_us = now_us + SEAL_EVERY_US;
	propose_seal(state);
}

/* Appends lines of the export after a line number, as many as fit. */
void
state_bills_export(struct state *state, uint64_t after, struct buf *out)
{
	char path[SETTINGS_PATH_BYTES + 32];
	char line[LINE_BYTES];
	FILE *file;

	fflush(state->archive);
	archive_path(state, path, sizeof(path));
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

/* Appends the audit: a JSON array of intents without settlement. */
void
state_bills_unsettled(struct state *state, struct buf *out)
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
		    node_name_of(state->node, bills[i].workspace),
		    now_s - bills[i].born_s);
	buf_adds(out, "]");
}
