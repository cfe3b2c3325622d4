#include <inttypes.h>

#include "state/journal_reader.h"

/*
 * Reads a whole folder and appends a summary; if each is set, also a line for
 * each record.
 */
static int
read_folder(const char *folder, struct buf *out, bool each)
{
	struct jnl_record record;
	struct jreader jreader;
	uint64_t records = 0, images = 0;
	int e;

	e = jreader_open(&jreader, alloc_default(), folder);
	while (e == 0 && (e = jreader_next(&jreader, &record)) > 0) {
		if (record.seq == 0)
			images++;
		else
			records++;
		if (each)
			buf_addf(out,
			    "%s %zu seq %" PRIu64 " kind 0x%04x bytes %zu\n",
			    jreader.path, jreader.record_offset, record.seq,
			    record.kind, record.len);
		e = 0;
	}
	if (e < 0) {
		buf_addf(out, "%s\n", buf_text(&jreader.why));
	} else {
		buf_addf(out,
		    "snapshot %" PRIu64 " images %" PRIu64 " records %" PRIu64
		    " last %" PRIu64 " bytes %" PRIu64 " torn %" PRIu64 "\n",
		    jreader.snapshot_seq, images, records, jreader.next_seq - 1,
		    jreader.read_bytes, jreader.torn_bytes);
	}
	jreader_close(&jreader);
	return e;
}

/*
 * Reads a whole data folder and appends one line to report: its totals, or the
 * file and offset of the first damage.  Returns 0, ERR_CORRUPT, ERR_VERSION or
 * ERR_DISK.  A torn tail does not count as damage; its size is reported.
 */
int
jnl_check(const char *folder, struct buf *report)
{
	return read_folder(folder, report, false);
}

/* Like jnl_check(), with a line for each record before the report. */
int
jnl_dump(const char *folder, struct buf *out)
{
	return read_folder(folder, out, true);
}
