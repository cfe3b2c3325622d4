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
 * Fuzzes the decoders of stored and replicated data: journal segments, records
 * and messages of the replicated log, and changes and images of the
 * configuration store.  The first byte selects the decoder.
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
	static bool folder_created;
	struct buf report;

	/*
	 * A flag is needed, as the name itself doesn't tell whether mkdtemp()
	 * has filled it in: the random part may contain an X, too.
	 */
	if (!folder_created && mkdtemp(folder) == NULL)
		abort();
	folder_created = true;
	write_segment(data, size);
	buf_init(&report, NULL);
	(void)jn_dump(folder, &report);
	buf_free(&report);
}

static void
fuzz_replay(const uint8_t *data, size_t size)
{
	struct rl_options options = {.fresh_id = 1};
	struct rl_event tick = {.kind = RL_EV_TICK};
	struct rl_actions actions = {0};
	struct rl *rl = rl_new(&options);
	struct buf image;

	if (rl_replay(rl, (uint16_t)(JN_KIND_RLOG + data[0] % 6), data + 1,
		size - 1) == 0) {
		rl_start(rl, 1);
		rl_step(rl, 2, &tick, &actions);
		buf_init(&image, NULL);
		rl_image(rl, &image);
		buf_free(&image);
	}
	rl_actions_free(rl, &actions);
	rl_free(rl);
}

static void
fuzz_message(const uint8_t *data, size_t size)
{
	struct rl_options options = {.fresh_id = 1, .instances = 7};
	struct rl_event event = {.kind = RL_EV_MESSAGE};
	struct rl_actions actions = {0};
	struct rl *rl = rl_new(&options);
	struct rl_msg msg;

	rl_start(rl, 1);
	if (rl_msg_decode(data, size, &msg) == 0) {
		event.u.message = &msg;
		rl_step(rl, 2, &event, &actions);
		rl_step(rl, 3, &event, &actions);
		rl_msg_release(&msg);
	}
	rl_actions_free(rl, &actions);
	rl_free(rl);
}

static void
fuzz_store(const uint8_t *data, size_t size)
{
	struct cs_options options = {0};
	struct cs *cs = cs_new(&options);
	struct cs_result result;
	struct buf image;

	cs_apply(cs, 1, data, size, &result);
	if (cs_restore(cs, data, size) == 0) {
		buf_init(&image, NULL);
		cs_image(cs, &image);
		buf_free(&image);
	}
	cs_free(cs);
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
