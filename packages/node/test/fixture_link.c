/*
 * A proxy between entry and guard with fault injection at a chosen frame.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fixture.h"

#define HEAD_BYTES 5
#define BUF_BYTES (1024 * 1024)

struct fake_link {
	_Atomic int refs;
	pthread_t thread;
	int fd;
	uint16_t port;
	uint16_t to;
	_Atomic int connections;
	_Atomic int armed_type;
	_Atomic int fault;
	_Atomic bool hit;
};

/* Both directions of one connection. */
struct link_conn {
	struct fake_link *l;
	int fds[2];
	_Atomic bool blackholed;
	_Atomic int open_directions;
};

struct link_direction {
	struct link_conn *conn;
	int from;
};

static void
link_unref(struct fake_link *l)
{
	if (atomic_fetch_sub(&l->refs, 1) == 1)
		g_free(l);
}

static bool
read_all(int fd, uint8_t *buf, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = recv(fd, buf, len, 0);
		if (n <= 0)
			return false;
		buf += n;
		len -= (size_t)n;
	}
	return true;
}

static bool
write_all(int fd, const uint8_t *buf, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, buf, len, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		buf += n;
		len -= (size_t)n;
	}
	return true;
}

static bool
forward_frame(struct link_direction *w, const uint8_t *frame, size_t len)
{
	struct link_conn *p = w->conn;
	int type = frame[HEAD_BYTES - 1];
	int armed = type;
	int fault;

	if (p->blackholed)
		return true;
	if (!atomic_compare_exchange_strong(&p->l->armed_type, &armed, 0))
		return write_all(p->fds[1 - w->from], frame, len);
	fault = p->l->fault;
	if (fault == LINK_CUT_AFTER || fault == LINK_BLACKHOLE_AFTER)
		(void)write_all(p->fds[1 - w->from], frame, len);
	p->blackholed =
	    fault == LINK_BLACKHOLE_BEFORE || fault == LINK_BLACKHOLE_AFTER;
	p->l->hit = true;
	return p->blackholed;
}

static void *
forward(void *arg)
{
	struct link_direction *w = arg;
	struct link_conn *p = w->conn;
	uint8_t *buf = g_malloc(BUF_BYTES);
	uint32_t len;

	while (read_all(p->fds[w->from], buf, HEAD_BYTES)) {
		memcpy(&len, buf, sizeof(len));
		len = ntohl(len);
		if (len > BUF_BYTES - HEAD_BYTES || len == 0 ||
		    !read_all(p->fds[w->from], buf + HEAD_BYTES, len - 1))
			break;
		if (!forward_frame(w, buf, HEAD_BYTES + len - 1))
			break;
	}
	if (!p->blackholed) {
		(void)shutdown(p->fds[0], SHUT_RDWR);
		(void)shutdown(p->fds[1], SHUT_RDWR);
	}
	g_free(buf);
	g_free(w);
	if (atomic_fetch_sub(&p->open_directions, 1) == 1) {
		close(p->fds[0]);
		close(p->fds[1]);
		link_unref(p->l);
		g_free(p);
	}
	return NULL;
}

static void
start_direction(struct link_conn *p, int from)
{
	struct link_direction *w = g_new0(struct link_direction, 1);
	pthread_t thread;

	w->conn = p;
	w->from = from;
	must(pthread_create(&thread, NULL, forward, w) == 0);
	(void)pthread_detach(thread);
}

static void *
accept_all(void *arg)
{
	struct fake_link *l = arg;
	struct link_conn *p;
	int fd;

	while ((fd = accept(l->fd, NULL, NULL)) >= 0) {
		l->connections++;
		p = g_new0(struct link_conn, 1);
		p->l = l;
		p->open_directions = 2;
		p->fds[0] = fd;
		p->fds[1] = caller_connect(l->to);
		if (p->fds[1] < 0) {
			close(fd);
			g_free(p);
			continue;
		}
		l->refs++;
		start_direction(p, 0);
		start_direction(p, 1);
	}
	return NULL;
}

struct fake_link *
fake_link_start(uint16_t to)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	struct fake_link *l = g_new0(struct fake_link, 1);
	pthread_t thread;

	l->refs = 1;
	l->to = to;
	l->fd = socket(AF_INET, SOCK_STREAM, 0);
	must(bind(l->fd, (struct sockaddr *)&sin, len) == 0);
	must(listen(l->fd, 64) == 0);
	(void)getsockname(l->fd, (struct sockaddr *)&sin, &len);
	l->port = ntohs(sin.sin_port);
	must(pthread_create(&thread, NULL, accept_all, l) == 0);
	l->thread = thread;
	return l;
}

void
fake_link_stop(struct fake_link *l)
{
	(void)shutdown(l->fd, SHUT_RDWR);
	(void)pthread_join(l->thread, NULL);
	close(l->fd);
	link_unref(l);
}

uint16_t
fake_link_port(const struct fake_link *l)
{
	return l->port;
}

void
fake_link_arm(struct fake_link *l, uint8_t type, enum link_fault fault)
{
	l->fault = (int)fault;
	l->hit = false;
	l->armed_type = type;
}

bool
fake_link_hit(struct fake_link *l)
{
	return l->hit;
}

int
fake_link_connections(struct fake_link *l)
{
	return l->connections;
}
