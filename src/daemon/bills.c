#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/log.h"
#include "daemon/node.h"
#include "entry/answer.h"

/*
 * Bills on their way: the entry side sends each to the first replica, which
 * appends it to a file, syncs, and acknowledges.
 */

static void
bills_path(const struct node *node, char *out, size_t size)
{
	snprintf(out, size, "%s/bills.jsonl", node->settings->data_dir);
}

static int
append_line(const struct node *node, const char *line, size_t len)
{
	char path[SETTINGS_PATH_BYTES + 32];
	int fd, error = 0;

	bills_path(node, path, sizeof(path));
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (fd < 0)
		return ERR_DISK;
	if (write(fd, line, len) != (ssize_t)len || fsync(fd) != 0)
		error = ERR_DISK;
	close(fd);
	return error;
}

static const char *
replica_of(const struct node *node)
{
	for (uint32_t i = 0; i < node->settings->peer_count; i++) {
		if (node->settings->peers[i].replica)
			return node->settings->peers[i].instance;
	}
	return NULL;
}

/* Makes a bill durable; entry_settled() follows. */
void
node_settle(struct node *node, const struct entry_bill *bill)
{
	const char *replica = replica_of(node);
	json_t *json = json_pack("{s:i,s:s,s:s,s:s,s:i,s:i,s:I,s:i}", "flight",
	    bill->request, "workspace", bill->workspace, "request", bill->id,
	    "version", bill->version, "prompt_tokens", bill->prompt_tokens,
	    "output_tokens", bill->output_tokens, "cost_micro",
	    (json_int_t)bill->cost_micro, "attempts", bill->attempts);
	char *text = json_dumps(json, JSON_COMPACT);
	struct buf line;

	json_decref(json);
	buf_init(&line, node->alloc);
	buf_addf(&line, "%s\n", text);
	free(text);
	if (node->settings->data_dir[0] != '\0') {
		if (append_line(node, buf_text(&line), line.len) == 0)
			entry_settled(node->entry, bill->request);
	} else if (replica != NULL) {
		peer_send(node->hub, replica, PEER_BILL, line.data,
		    (uint32_t)line.len);
	}
	buf_free(&line);
}

/* A bill to keep, or the acknowledgement of one that was sent. */
void
node_bill_message(struct node *node, const struct secure_peer *from,
    const uint8_t *data, uint32_t len)
{
	json_t *json = json_loadb((const char *)data, len, 0, NULL);
	json_int_t flight = json_integer_value(json_object_get(json, "flight"));
	bool is_ack = json_object_get(json, "ack") != NULL;
	char ack[64];

	json_decref(json);
	if (is_ack) {
		entry_settled(node->entry, (uint32_t)flight);
		return;
	}
	if (append_line(node, (const char *)data, len) != 0)
		return;
	snprintf(ack, sizeof(ack), "{\"flight\":%lld,\"ack\":true}",
	    (long long)flight);
	peer_send(
	    node->hub, from->instance, PEER_BILL, ack, (uint32_t)strlen(ack));
}

/* Answers with every bill, one JSON object a line. */
void
node_export_bills(struct node *node, struct hs_exchange *x)
{
	char path[SETTINGS_PATH_BYTES + 32];
	char block[4096];
	struct buf text;
	FILE *file;
	size_t n;

	bills_path(node, path, sizeof(path));
	buf_init(&text, node->alloc);
	file = fopen(path, "re");
	while (file != NULL && (n = fread(block, 1, sizeof(block), file)) > 0)
		buf_add(&text, block, n);
	if (file != NULL)
		fclose(file);
	hs_answer(x, 200, NULL, 0, buf_text(&text), text.len);
	buf_free(&text);
}
