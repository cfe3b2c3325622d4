#include <fcntl.h>
#include <stdio.h>

#include "state/journal.h"
#include "state/journal_reader.h"
#include "state/snapshot.h"

enum {
	PROBE_BYTES = 64 * 1024
};

/*
 * Tells whether a folder takes writes: writes a file, syncs and removes it.
 * Cheaper than opening a large journal of a disk that still fails.  Returns 0
 * or ERR_DISK.
 */
int
jnl_probe(const struct jnl_options *options)
{
	static const uint8_t bytes[PROBE_BYTES];
	struct jnl_files *files =
	    options->files != NULL ? options->files : jnl_files_system();
	char path[JREADER_PATH_BYTES];
	int fd, error;

	(void)snprintf(path, sizeof(path), "%s/probe.tmp", options->folder);
	fd = files->ops->open(files, path, O_RDWR | O_CREAT | O_TRUNC);
	if (fd < 0)
		return ERR_DISK;
	error = snapshot_write_all(files, fd, bytes, sizeof(bytes), 0);
	if (error == 0 && files->ops->fsync(files, fd) != 0)
		error = ERR_DISK;
	if (files->ops->close(files, fd) != 0)
		error = ERR_DISK;
	if (files->ops->unlink(files, path) != 0)
		error = ERR_DISK;
	return error;
}
