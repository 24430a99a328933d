/*
 * Listener for framed TCP connections.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn_priv.h"
#include "net/listener.h"
#include "sock.h"

#define LISTENER_BACKLOG 1024
/* Connections accepted per turn before other descriptors are served. */
#define LISTENER_ACCEPTS_PER_TURN 64
/* Pause of accepting when descriptors or memory have run out. */
#define LISTENER_PAUSE_MS 100

struct listener {
	struct loop *loop;
	struct loop_fd *watch;
	struct loop_timer pause;
	int fd;
	struct listener_options options;
	struct conn_count *count;
	uint64_t refused;
};

struct net_addr
listener_addr(const struct listener *l)
{
	return sock_local(l->fd);
}

uint32_t
listener_conns(const struct listener *l)
{
	return l->count->open;
}

uint64_t
listener_refused(const struct listener *l)
{
	return l->refused;
}

static bool
listener_is_full(const struct listener *l)
{
	return l->options.conns_max != 0 &&
	    l->count->open >= l->options.conns_max;
}

static void
listener_adopt(struct listener *l, int fd, const struct sockaddr_in *sin)
{
	const struct listener_options *o = &l->options;
	struct conn *c;

	if (listener_is_full(l)) {
		l->refused++;
		(void)close(fd);
		return;
	}
	c = conn_adopt(l->loop, fd, sock_from_system(sin), &o->conn, o->handler,
	    o->arg, l->count);
	if (o->on_accept != NULL)
		o->on_accept(c, o->arg);
}

static void
listener_accept_failed(struct listener *l, int error)
{
	if (error != EMFILE && error != ENFILE && error != ENOMEM &&
	    error != ENOBUFS)
		return;
	loop_fd_set(l->watch, 0);
	loop_timer_set(&l->pause, loop_now_ms(l->loop) + LISTENER_PAUSE_MS);
}

static void
listener_on_pause_end(void *arg)
{
	struct listener *l = arg;

	loop_fd_set(l->watch, LOOP_READ);
}

static void
listener_on_ready(uint32_t ready, void *arg)
{
	struct listener *l = arg;
	struct sockaddr_in sin;
	socklen_t len;
	int fd, i;

	(void)ready;
	for (i = 0; i < LISTENER_ACCEPTS_PER_TURN; i++) {
		len = sizeof(sin);
		fd = accept4(l->fd, (struct sockaddr *)&sin, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			listener_accept_failed(l, errno);
			return;
		}
		listener_adopt(l, fd, &sin);
	}
}

static enum status
listener_listen(struct listener *l)
{
	if (listen(l->fd, LISTENER_BACKLOG) < 0)
		return status_set(STATUS_IO,
		    "Can't listen: %s; choose another address or port.",
		    strerror(errno));
	l->watch = loop_fd_add(l->loop, l->fd, LOOP_READ, listener_on_ready, l);
	return l->watch == NULL ? STATUS_IO : STATUS_OK;
}

enum status
listener_new(struct loop *loop, struct net_addr at,
    const struct listener_options *options, struct listener **out)
{
	struct listener *l = g_new0(struct listener, 1);
	enum status st;

	l->loop = loop;
	l->options = *options;
	l->count = g_rc_box_new0(struct conn_count);
	loop_timer_init(&l->pause, loop, listener_on_pause_end, l);
	st = sock_bind(SOCK_STREAM, at, &l->fd);
	if (st == STATUS_OK)
		st = listener_listen(l);
	if (st != STATUS_OK) {
		listener_free(l);
		l = NULL;
	}
	*out = l;
	return st;
}

void
listener_free(struct listener *l)
{
	if (l == NULL)
		return;
	if (l->watch != NULL)
		loop_fd_remove(l->watch);
	if (l->fd >= 0)
		(void)close(l->fd);
	loop_timer_stop(&l->pause);
	g_rc_box_release(l->count);
	g_free(l);
}
