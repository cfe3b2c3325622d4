#include <inttypes.h>

#include "state/journal_reader.h"

static int
walk(const char *folder, struct buf *out, bool each)
{
	struct jnl_record record;
	struct jr jr;
	uint64_t records = 0, images = 0;
	int e;

	e = jr_open(&jr, alloc_default(), folder);
	while (e == 0 && (e = jr_next(&jr, &record)) > 0) {
		if (record.seq == 0)
			images++;
		else
			records++;
		if (each)
			buf_addf(out,
			    "%s %zu seq %" PRIu64 " kind 0x%04x bytes %zu\n",
			    jr.path, jr.record_offset, record.seq, record.kind,
			    record.len);
		e = 0;
	}
	if (e < 0) {
		buf_addf(out, "%s\n", buf_text(&jr.why));
	} else {
		buf_addf(out,
		    "snapshot %" PRIu64 " images %" PRIu64 " records %" PRIu64
		    " last %" PRIu64 " bytes %" PRIu64 " torn %" PRIu64 "\n",
		    jr.snapshot_seq, images, records, jr.next_seq - 1,
		    jr.read_bytes, jr.torn_bytes);
	}
	jr_close(&jr);
	return e;
}

/*
 * Reads a whole data folder and reports in one line what it holds, or the file
 * and offset of the first damage.  Returns 0, ERR_CORRUPT, ERR_VERSION or
 * ERR_DISK.  A torn tail is no damage; its bytes are reported.
 */
int
jnl_check(const char *folder, struct buf *report)
{
	return walk(folder, report, false);
}

/* As jnl_check(), with a line for each record before the report. */
int
jnl_dump(const char *folder, struct buf *out)
{
	return walk(folder, out, true);
}
