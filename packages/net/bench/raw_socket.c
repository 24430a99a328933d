/*
 * Plain blocking sockets for the benchmarks.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "raw_socket.h"

#define RAW_LOOPBACK 0x7f000001U
#define RAW_BACKLOG 128
#define US_PER_SECOND 1000000
#define NS_PER_US 1000

static void
raw_no_delay(int fd)
{
	int on = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int
raw_connect(struct net_addr to)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in sin = {0};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(to.ip);
	sin.sin_port = htons(to.port);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0)
		g_error("The benchmark can't connect.");
	raw_no_delay(fd);
	return fd;
}

int
raw_listen(struct net_addr *at)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(RAW_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    listen(fd, RAW_BACKLOG) < 0)
		g_error("The benchmark can't listen.");
	raw_no_delay(fd);
	(void)getsockname(fd, (struct sockaddr *)&sin, &len);
	at->ip = RAW_LOOPBACK;
	at->port = ntohs(sin.sin_port);
	return fd;
}

void
raw_write_all(int fd, const void *data, size_t len)
{
	const uint8_t *p = data;
	ssize_t n;

	while (len > 0) {
		n = send(fd, p, len, MSG_NOSIGNAL);
		if (n <= 0)
			g_error("The benchmark can't write.");
		p += n;
		len -= (size_t)n;
	}
}

int
raw_read_all(int fd, void *data, size_t len)
{
	uint8_t *p = data;
	ssize_t n;

	while (len > 0) {
		n = read(fd, p, len);
		if (n <= 0)
			return 0;
		p += n;
		len -= (size_t)n;
	}
	return 1;
}

uint64_t
raw_thread_cpu_us(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * US_PER_SECOND +
	    (uint64_t)ts.tv_nsec / NS_PER_US;
}

static gint
compare_u64(gconstpointer a, gconstpointer b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

uint64_t
raw_quantile(GArray *values, double q)
{
	guint i = (guint)(q * (double)(values->len - 1));

	g_array_sort(values, compare_u64);
	return g_array_index(values, uint64_t, i);
}
