#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "state/cfgstore.h"
#include "state/journal.h"
#include "state/rlog.h"

/*
 * Feeds bytes to all that reads them back: a segment of a data folder, a
 * record of the replicated log, a message, and an image and a change of the
 * configuration store.  The first byte chooses which.
 */

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static char folder[] = "/tmp/cf-fuzz-journal-XXXXXX";

static void
write_segment(const uint8_t *data, size_t size)
{
	char path[64];
	FILE *file;

	(void)snprintf(path, sizeof(path), "%s/journal-%016x.log", folder, 1);
	file = fopen(path, "wb");
	if (file == NULL)
		abort();
	(void)fwrite(data, 1, size, file);
	(void)fclose(file);
}

static void
fuzz_segment(const uint8_t *data, size_t size)
{
	static bool made;
	struct buf report;

	/* The name that mkdtemp() chooses may have an X in it, too. */
	if (!made && mkdtemp(folder) == NULL)
		abort();
	made = true;
	write_segment(data, size);
	buf_init(&report, NULL);
	(void)jnl_dump(folder, &report);
	buf_free(&report);
}

static void
fuzz_replay(const uint8_t *data, size_t size)
{
	struct rlog_options options = {.fresh_id = 1};
	struct rlog_event tick = {.kind = RLOG_EV_TICK};
	struct rlog_actions actions = {0};
	struct rlog *rlog = rlog_new(&options);
	struct buf image;

	if (rlog_replay(rlog, (uint16_t)(JNL_KIND_RLOG + data[0] % 6), data + 1,
		size - 1) == 0) {
		rlog_start(rlog, 1);
		rlog_step(rlog, 2, &tick, &actions);
		buf_init(&image, NULL);
		rlog_image(rlog, &image);
		buf_free(&image);
	}
	rlog_actions_free(rlog, &actions);
	rlog_free(rlog);
}

static void
fuzz_message(const uint8_t *data, size_t size)
{
	struct rlog_options options = {.fresh_id = 1, .instances = 7};
	struct rlog_event event = {.kind = RLOG_EV_MESSAGE};
	struct rlog_actions actions = {0};
	struct rlog *rlog = rlog_new(&options);
	struct rlog_msg msg;

	rlog_start(rlog, 1);
	if (rlog_msg_decode(data, size, &msg) == 0) {
		event.u.message = &msg;
		rlog_step(rlog, 2, &event, &actions);
		rlog_step(rlog, 3, &event, &actions);
		rlog_msg_release(&msg);
	}
	rlog_actions_free(rlog, &actions);
	rlog_free(rlog);
}

static void
fuzz_store(const uint8_t *data, size_t size)
{
	struct cfgstore_options options = {0};
	struct cfgstore *cfgstore = cfgstore_new(&options);
	struct cfgstore_result result;
	struct buf image;

	cfgstore_apply(cfgstore, 1, data, size, &result);
	if (cfgstore_restore_image(cfgstore, data, size) == 0) {
		buf_init(&image, NULL);
		cfgstore_encode_image(cfgstore, &image);
		buf_free(&image);
	}
	cfgstore_free(cfgstore);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size < 2)
		return 0;
	switch (data[0] % 4) {
	case 0:
		fuzz_segment(data + 1, size - 1);
		break;
	case 1:
		fuzz_replay(data + 1, size - 1);
		break;
	case 2:
		fuzz_message(data + 1, size - 1);
		break;
	default:
		fuzz_store(data + 1, size - 1);
		break;
	}
	return 0;
}
