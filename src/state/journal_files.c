#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include "state/journal.h"

enum {
	FILE_MODE = 0600
};

static int
system_open(struct jnl_files *files, const char *path, int flags)
{
	int fd;

	(void)files;
	fd = open(path, flags | O_CLOEXEC, FILE_MODE);
	return fd < 0 ? -errno : fd;
}

static int
system_close(struct jnl_files *files, int fd)
{
	(void)files;
	return close(fd) != 0 ? -errno : 0;
}

static ssize_t
system_pwrite(
    struct jnl_files *files, int fd, const void *data, size_t len, off_t offset)
{
	ssize_t n;

	(void)files;
	do
		n = pwrite(fd, data, len, offset);
	while (n < 0 && errno == EINTR);
	return n < 0 ? -errno : n;
}

static int
system_fsync(struct jnl_files *files, int fd)
{
	(void)files;
	return fdatasync(fd) != 0 ? -errno : 0;
}

static int
system_rename(struct jnl_files *files, const char *from, const char *to)
{
	(void)files;
	return rename(from, to) != 0 ? -errno : 0;
}

static int
system_unlink(struct jnl_files *files, const char *path)
{
	(void)files;
	return unlink(path) != 0 ? -errno : 0;
}

static int
system_syncdir(struct jnl_files *files, const char *path)
{
	int fd, e;

	(void)files;
	fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (fd < 0)
		return -errno;
	e = fsync(fd) != 0 ? -errno : 0;
	(void)close(fd);
	return e;
}

/* Returns the operations of the system's own files. */
struct jnl_files *
jnl_files_system(void)
{
	static const struct jnl_file_ops ops = {system_open, system_close,
	    system_pwrite, system_fsync, system_rename, system_unlink,
	    system_syncdir};
	static struct jnl_files files = {&ops};

	return &files;
}
