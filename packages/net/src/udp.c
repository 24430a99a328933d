/*
 * UDP socket.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/udp.h"
#include "sock.h"

/* Datagrams read per turn before other descriptors are served. */
#define UDP_DATAGRAMS_PER_TURN 128

struct udp {
	struct loop_fd *watch;
	int fd;
	struct udp_options options;
};

static void
udp_count(struct metric *m, int64_t n)
{
	if (m != NULL)
		metric_add(m, n);
}

struct net_addr
udp_addr(const struct udp *u)
{
	return sock_local(u->fd);
}

static void
udp_deliver(struct udp *u, const struct sockaddr_in *sin, const uint8_t *data,
    size_t len)
{
	udp_count(u->options.received_bytes, (int64_t)len);
	if (len == 0 || len > UDP_MAX_BYTES) {
		udp_count(u->options.dropped, 1);
		return;
	}
	u->options.on_datagram(
	    sock_from_system(sin), data[0], data + 1, len - 1, u->options.arg);
}

static void
udp_on_ready(uint32_t ready, void *arg)
{
	uint8_t data[UDP_MAX_BYTES + 1];
	struct udp *u = arg;
	struct sockaddr_in sin;
	socklen_t sin_len;
	ssize_t n;
	int i;

	(void)ready;
	for (i = 0; i < UDP_DATAGRAMS_PER_TURN; i++) {
		sin_len = sizeof(sin);
		n = recvfrom(u->fd, data, sizeof(data), 0,
		    (struct sockaddr *)&sin, &sin_len);
		if (n >= 0)
			udp_deliver(u, &sin, data, (size_t)n);
		else if (errno == EAGAIN)
			return;
	}
}

enum status
udp_new(struct loop *loop, struct net_addr at,
    const struct udp_options *options, struct udp **out)
{
	struct udp *u = g_new0(struct udp, 1);
	enum status st;

	u->options = *options;
	st = sock_bind(SOCK_DGRAM, at, &u->fd);
	if (st == STATUS_OK) {
		u->watch = loop_fd_add(loop, u->fd, LOOP_READ, udp_on_ready, u);
		st = u->watch == NULL ? STATUS_IO : STATUS_OK;
	}
	if (st != STATUS_OK) {
		udp_free(u);
		u = NULL;
	}
	*out = u;
	return st;
}

void
udp_free(struct udp *u)
{
	if (u == NULL)
		return;
	if (u->watch != NULL)
		loop_fd_remove(u->watch);
	if (u->fd >= 0)
		(void)close(u->fd);
	g_free(u);
}

enum status
udp_send(struct udp *u, struct net_addr to, uint8_t type, const uint8_t *body,
    size_t len)
{
	struct sockaddr_in sin = sock_to_system(to);
	struct iovec iov[] = {{&type, sizeof(type)}, {(void *)body, len}};
	struct msghdr msg = {0};
	ssize_t n;

	if (len + sizeof(type) > UDP_MAX_BYTES)
		return status_set(STATUS_TOO_LARGE,
		    "A datagram of %zu bytes exceeds the limit of %d; send "
		    "less or use a connection.",
		    len + sizeof(type), UDP_MAX_BYTES);
	msg.msg_name = &sin;
	msg.msg_namelen = sizeof(sin);
	msg.msg_iov = iov;
	msg.msg_iovlen = G_N_ELEMENTS(iov);
	n = sendmsg(u->fd, &msg, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0) {
		udp_count(u->options.dropped, 1);
		return status_set(STATUS_UNAVAILABLE,
		    "A datagram was not sent: %s.", strerror(errno));
	}
	udp_count(u->options.sent_bytes, n);
	return STATUS_OK;
}
