#include "http/undelivered.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/*
 * Tells whether the other side's system lacks bytes that were written to a
 * connection.  Once the end of the input was read, these were lacking when the
 * other side closed: its last segment acknowledges all that it had received.
 * False if that is not known.
 */
bool
http_has_undelivered(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/* Returns the local port of a connection; 0 if it has none. */
uint16_t
http_local_port(int fd)
{
	struct sockaddr_storage address = {0};
	socklen_t len = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	if (address.ss_family == AF_INET)
		return ntohs(((struct sockaddr_in *)&address)->sin_port);
	if (address.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
	return 0;
}
