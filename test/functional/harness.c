/*
 * Harness of process-level tests.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "base/clock.h"
#include "harness.h"
#include "test_run.h"

#define HARNESS_POLL_US 5000
#define HARNESS_NET_FIRST 16
#define HARNESS_NETS 200

static char *dir;

const char *
harness_dir(void)
{
	if (dir == NULL) {
		dir = g_dir_make_tmp("bramley-test-XXXXXX", NULL);
		ck_assert_ptr_nonnull(dir);
	}
	return dir;
}

char *
harness_path(const char *name)
{
	return g_build_filename(harness_dir(), name, NULL);
}

char *
harness_write(const char *name, const char *text)
{
	char *path = harness_path(name);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

void
harness_cleanup(void)
{
	const char *name;
	char *path;
	GDir *d;

	if (dir == NULL || g_getenv("BRAMLEY_KEEP_LOGS") != NULL)
		return;
	d = g_dir_open(dir, 0, NULL);
	while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
		path = harness_path(name);
		(void)g_unlink(path);
		g_free(path);
	}
	g_dir_close(d);
	(void)g_rmdir(dir);
	g_free(dir);
	dir = NULL;
}

void
harness_host_address(
    uint32_t data_centre, uint32_t host, char out[HARNESS_ADDRESS_BYTES])
{
	uint32_t net = HARNESS_NET_FIRST + (uint32_t)getpid() % HARNESS_NETS;

	(void)g_snprintf(out, HARNESS_ADDRESS_BYTES, "127.%u.%u.%u", net,
	    data_centre + 1, host + 1);
}

void
harness_sockaddr(struct sockaddr_in *out, const char *address, uint16_t port)
{
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons(port);
	ck_assert_int_eq(inet_pton(AF_INET, address, &out->sin_addr), 1);
}

static int
bind_socket(const char *address, int type, uint16_t *port)
{
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);

	harness_sockaddr(&addr, address, *port);
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == -1) {
		(void)close(fd);
		return -1;
	}
	(void)getsockname(fd, (struct sockaddr *)&addr, &len);
	*port = ntohs(addr.sin_port);
	return fd;
}

/* All TCP sockets stay bound until the end, so that no port is chosen twice. */
void
harness_choose_ports(const char *address, uint16_t *ports, uint32_t n)
{
	int *fds = g_new(int, n), udp;
	uint32_t i = 0, j;

	while (i < n) {
		ports[i] = 0;
		fds[i] = bind_socket(address, SOCK_STREAM, &ports[i]);
		ck_assert_int_ne(fds[i], -1);
		udp = bind_socket(address, SOCK_DGRAM, &ports[i]);
		if (udp == -1) {
			(void)close(fds[i]);
			continue;
		}
		(void)close(udp);
		i++;
	}
	for (j = 0; j < n; j++)
		(void)close(fds[j]);
	g_free(fds);
}

int
harness_wait_until(int (*condition)(void *arg), void *arg, uint32_t timeout_ms)
{
	uint64_t until_ms = clock_now_ms() + timeout_ms;

	while (!condition(arg)) {
		if (clock_now_ms() >= until_ms)
			return 0;
		g_usleep(HARNESS_POLL_US);
	}
	return 1;
}

int
harness_run(TCase *tc, double timeout_s)
{
	Suite *s = suite_create("functional");

	tcase_set_timeout(tc, timeout_s);
	suite_add_tcase(s, tc);
	return test_run(s);
}
