#include "http/listener.h"

#include <unistd.h>

enum {
	LISTENER_BACKLOG = 511
};

/*
 * Opens a listening socket that does not block.  share_port: another process
 * that also shares the port may listen there too.  Returns -1 on failure, for
 * example because the address is in use.
 */
int
listener_open(const struct sockaddr *address, socklen_t len, bool share_port)
{
	int one = 1;
	int fd = socket(
	    address->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (share_port)
		setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
	if (bind(fd, address, len) != 0 || listen(fd, LISTENER_BACKLOG) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}
