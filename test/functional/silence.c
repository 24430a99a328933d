/*
 * Silences open TCP connections permanently while new ones work.
 */
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "harness.h"
#include "silence.h"

#define DECIMAL 10

static int
equal_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_family == AF_INET && a->sin_port == b->sin_port &&
	    a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static int
has_address(int fd, enum silence_end end, const struct sockaddr_in *at)
{
	struct sockaddr_in own = {0}, peer = {0};
	socklen_t own_len = sizeof(own), peer_len = sizeof(peer);

	if (getsockname(fd, (struct sockaddr *)&own, &own_len) == -1 ||
	    getpeername(fd, (struct sockaddr *)&peer, &peer_len) == -1)
		return 0;
	return equal_address(end == SILENCE_SERVER ? &own : &peer, at);
}

static void
drop_incoming(int fd)
{
	struct sock_filter drop = {BPF_RET | BPF_K, 0, 0, 0};
	struct sock_fprog program = {1, &drop};

	ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			     sizeof(program)),
	    0);
}

uint32_t
silence_connections(const struct process *p, enum silence_end end,
    const char *address, uint16_t port)
{
	char *path = g_strdup_printf("/proc/%d/fd", process_pid(p));
	const char *name;
	GDir *dir = g_dir_open(path, 0, NULL);
	int fd, pidfd;
	struct sockaddr_in at;
	uint32_t n = 0;

	harness_sockaddr(&at, address, port);
	pidfd = (int)syscall(SYS_pidfd_open, process_pid(p), 0);
	ck_assert_int_ne(pidfd, -1);
	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		fd = (int)syscall(SYS_pidfd_getfd, pidfd,
		    (int)strtol(name, NULL, DECIMAL), 0);
		if (fd == -1)
			continue;
		if (has_address(fd, end, &at)) {
			drop_incoming(fd);
			n++;
		}
		(void)close(fd);
	}
	if (dir != NULL)
		g_dir_close(dir);
	(void)close(pidfd);
	g_free(path);
	return n;
}
