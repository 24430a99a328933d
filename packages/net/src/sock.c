/*
 * Helpers for IPv4 sockets.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "sock.h"

/* Offset of the flags in a TCP header, and the SYN flag. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN_BIT 0x02

struct sockaddr_in
sock_to_system(struct net_addr a)
{
	struct sockaddr_in sin = {0};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(a.ip);
	sin.sin_port = htons(a.port);
	return sin;
}

struct net_addr
sock_from_system(const struct sockaddr_in *sin)
{
	struct net_addr a = {0};

	a.ip = ntohl(sin->sin_addr.s_addr);
	a.port = ntohs(sin->sin_port);
	return a;
}

struct net_addr
sock_local(int fd)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	(void)getsockname(fd, (struct sockaddr *)&sin, &len);
	return sock_from_system(&sin);
}

static int
sock_bind_fd(int fd, struct net_addr at)
{
	struct sockaddr_in sin = sock_to_system(at);
	int on = 1;

	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) < 0)
		return -1;
	return bind(fd, (struct sockaddr *)&sin, sizeof(sin));
}

enum status
sock_bind(int type, struct net_addr at, int *fd)
{
	char text[ADDR_TEXT_BYTES];
	enum status st;

	*fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd >= 0 && sock_bind_fd(*fd, at) == 0)
		return STATUS_OK;
	st = status_set(STATUS_IO,
	    "Can't bind %s: %s; choose another address or port, or stop the "
	    "process that uses it.",
	    addr_format(&at, text), strerror(errno));
	if (*fd >= 0)
		(void)close(*fd);
	*fd = -1;
	return st;
}

/* Drops segments with the SYN flag; offsets are relative to the TCP header. */
static struct sock_filter drop_syn[] = {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN_BIT, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
};

void
sock_drop_new_conns(int fd)
{
	const struct sock_fprog program = {
	    .len = G_N_ELEMENTS(drop_syn), .filter = drop_syn};

	(void)setsockopt(
	    fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}
