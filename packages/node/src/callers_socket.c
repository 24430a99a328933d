/*
 * Sockets behind CivetWeb, which does not tell them: they are looked up among
 * the process's descriptors by their addresses.
 *
 * They are needed to notice a caller who hangs up while its call runs, and to
 * let the system hand over connections only when a first byte has come.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "base/clock.h"

#include "callers_priv.h"

#define FD_DIRECTORY "/proc/self/fd"
#define DECIMAL 10

#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN_BIT 2

/* The system drops a connection that says nothing for this long. */
#define DEFER_S 10

#define LINGER_MS 1000
#define LINGER_READ_BYTES 16384

typedef bool socket_match_fn(int fd, const void *arg);

static int
find_socket(socket_match_fn *match, const void *arg)
{
	DIR *dir = opendir(FD_DIRECTORY);
	struct dirent *entry;
	int found = -1;
	int fd;

	if (dir == NULL)
		return -1;
	while (found < 0 && (entry = readdir(dir)) != NULL) {
		if (entry->d_name[0] == '.')
			continue;
		fd = (int)strtol(entry->d_name, NULL, DECIMAL);
		if (match(fd, arg))
			found = fd;
	}
	closedir(dir);
	return found;
}

static bool
is_peer(int fd, const void *arg)
{
	const struct mg_request_info *info = arg;
	struct sockaddr_in peer = {0}, own = {0};
	socklen_t peer_len = sizeof(peer), own_len = sizeof(own);
	char text[INET_ADDRSTRLEN];

	if (getpeername(fd, (struct sockaddr *)&peer, &peer_len) != 0 ||
	    peer.sin_family != AF_INET ||
	    ntohs(peer.sin_port) != info->remote_port)
		return false;
	if (getsockname(fd, (struct sockaddr *)&own, &own_len) != 0 ||
	    ntohs(own.sin_port) != info->server_port)
		return false;
	(void)inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
	return g_strcmp0(text, info->remote_addr) == 0;
}

int
callers_socket_find(const struct mg_request_info *info)
{
	return find_socket(is_peer, info);
}

int
callers_socket(struct mg_connection *conn)
{
	struct caller_conn *cc = mg_get_user_connection_data(conn);

	if (cc == NULL)
		return -1;
	if (cc->fd < 0)
		cc->fd = callers_socket_find(mg_get_request_info(conn));
	return cc->fd;
}

void
callers_socket_abort(struct mg_connection *conn)
{
	const struct sockaddr none = {.sa_family = AF_UNSPEC};
	int fd = callers_socket(conn);

	if (fd >= 0)
		(void)connect(fd, &none, sizeof(none));
}

bool
callers_socket_gone(struct mg_connection *conn)
{
	struct pollfd p = {.events = POLLRDHUP};

	p.fd = callers_socket(conn);
	return p.fd >= 0 && poll(&p, 1, 0) == 1;
}

void
callers_socket_linger(struct mg_connection *conn)
{
	uint64_t until_ms = clock_now_ms() + LINGER_MS;
	struct pollfd p = {.events = POLLIN};
	uint8_t buf[LINGER_READ_BYTES];
	uint64_t left_ms;

	p.fd = callers_socket(conn);
	if (p.fd < 0)
		return;
	(void)shutdown(p.fd, SHUT_WR);
	for (;;) {
		left_ms = clock_left_ms(until_ms, clock_now_ms());
		if (left_ms == 0 || poll(&p, 1, (int)left_ms) != 1)
			return;
		if (recv(p.fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0)
			return;
	}
}

static bool
is_listener(int fd, const void *arg)
{
	const uint16_t *port = arg;
	struct sockaddr_in own = {0};
	socklen_t own_len = sizeof(own);
	int listening = 0;
	socklen_t len = sizeof(listening);

	if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &len) != 0 ||
	    !listening)
		return false;
	return getsockname(fd, (struct sockaddr *)&own, &own_len) == 0 &&
	    own.sin_family == AF_INET && ntohs(own.sin_port) == *port;
}

int
callers_socket_listener(uint16_t port)
{
	int fd = find_socket(is_listener, &port);
	int seconds = DEFER_S;

	if (fd >= 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_DEFER_ACCEPT, &seconds,
		    sizeof(seconds));
	return fd;
}

/* Drops the first segment of each new connection; offsets are TCP's. */
static struct sock_filter no_syn[] = {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN_BIT, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
};

void
callers_socket_no_more(int listener)
{
	const struct sock_fprog program = {
	    .len = G_N_ELEMENTS(no_syn), .filter = no_syn};
	int seconds = 0;

	if (listener < 0)
		return;
	(void)setsockopt(
	    listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &seconds, sizeof(seconds));
	(void)setsockopt(
	    listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

bool
callers_socket_waiting(int listener)
{
	struct pollfd p = {.fd = listener, .events = POLLIN};

	return listener >= 0 && poll(&p, 1, 0) == 1;
}
