/*
 * Helpers for the tests of this package, the store and the platform adapter.
 */
#include <string.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support.h"
#include "test_run.h"

#define CASE_TIMEOUT_S 30

int
support_run(const char *name, TCase *tc)
{
	Suite *s = suite_create(name);

	tcase_set_timeout(tc, CASE_TIMEOUT_S);
	suite_add_tcase(s, tc);
	return test_run(s);
}

void
support_run_for(struct loop *loop, uint64_t ms)
{
	uint64_t end_ms = clock_now_ms() + ms;

	while (clock_now_ms() < end_ms)
		loop_run_once(loop, end_ms);
}

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in sin = {0};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(LOOPBACK);
	sin.sin_port = htons(port);
	return sin;
}

int
support_connect(uint16_t port)
{
	struct sockaddr_in sin = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

void
support_send(int fd, const void *data, size_t len)
{
	ck_assert_int_eq(send(fd, data, len, MSG_NOSIGNAL), (ssize_t)len);
}

int
support_code(int fd)
{
	char buf[64] = "";
	ssize_t n = recv(fd, buf, sizeof(buf) - 1, MSG_PEEK | MSG_DONTWAIT);

	if (n < 0)
		return errno == EAGAIN ? 0 : -1;
	return n > 0 ? (int)strtol(buf + strlen("HTTP/1.1 "), NULL, 10) : -1;
}

void
support_reset(int fd)
{
	struct linger hard = {1, 0};

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	(void)close(fd);
}

void
support_silent_open(struct silent *s)
{
	struct sockaddr_in sin = loopback(0);
	socklen_t len = sizeof(sin);
	int i;

	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(s->fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(s->fd, 0), 0);
	(void)getsockname(s->fd, (struct sockaddr *)&sin, &len);
	s->port = ntohs(sin.sin_port);
	for (i = 0; i < SILENT_FDS; i++) {
		s->fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(s->fds[i], (struct sockaddr *)&sin, sizeof(sin));
	}
}

void
support_silent_close(struct silent *s)
{
	int i;

	for (i = 0; i < SILENT_FDS; i++)
		(void)close(s->fds[i]);
	(void)close(s->fd);
}
