/*
 * HTTP server: listening socket and connections.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_server_priv.h"
#include "sock.h"

#define SERVER_BACKLOG 1024
/* Connections accepted per turn before other descriptors are served. */
#define SERVER_ACCEPTS_PER_TURN 64
/* Pause of accepting when descriptors or memory have run out. */
#define SERVER_PAUSE_MS 100

static void
free_closed(void *arg)
{
	struct http_server *s = arg;
	GList *link;

	while ((link = g_queue_pop_head_link(&s->dead)) != NULL)
		http_server_conn_free(link->data);
}

static void
accept_failed(struct http_server *s, int error)
{
	if (error != EMFILE && error != ENFILE && error != ENOMEM &&
	    error != ENOBUFS)
		return;
	loop_fd_set(s->watch, 0);
	loop_timer_set(&s->pause, loop_now_ms(s->loop) + SERVER_PAUSE_MS);
}

static void
on_pause_end(void *arg)
{
	struct http_server *s = arg;

	if (s->watch != NULL)
		loop_fd_set(s->watch, LOOP_READ);
}

static void
on_ready(uint32_t ready, void *arg)
{
	struct http_server *s = arg;
	struct sockaddr_in sin;
	socklen_t len;
	int fd, i;

	(void)ready;
	for (i = 0; i < SERVER_ACCEPTS_PER_TURN; i++) {
		len = sizeof(sin);
		fd = accept4(s->fd, (struct sockaddr *)&sin, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			accept_failed(s, errno);
			return;
		}
		if (s->conns.length >= s->limits.conns_max)
			(void)close(fd);
		else
			http_server_conn_accept(s, fd, sock_from_system(&sin));
	}
}

static uint32_t
limit_or(uint32_t value, uint32_t fallback)
{
	return value != 0 ? value : fallback;
}

void
http_server_limits_set(
    struct http_server *s, const struct http_server_limits *limits)
{
	struct http_server_limits l = {0};

	if (limits != NULL)
		l = *limits;
	l.head_max_bytes =
	    limit_or(l.head_max_bytes, HTTP_SERVER_HEAD_MAX_BYTES);
	l.head_ms = limit_or(l.head_ms, HTTP_SERVER_HEAD_MS);
	l.idle_ms = limit_or(l.idle_ms, HTTP_SERVER_IDLE_MS);
	l.stall_ms = limit_or(l.stall_ms, HTTP_SERVER_STALL_MS);
	l.conns_max = limit_or(l.conns_max, HTTP_SERVER_CONNS_MAX);
	l.overlap_max = limit_or(l.overlap_max, HTTP_SERVER_OVERLAP_MAX);
	s->limits = l;
}

static enum status
start_listening(struct http_server *s)
{
	if (listen(s->fd, SERVER_BACKLOG) < 0)
		return status_set(STATUS_IO,
		    "Can't listen: %s; choose another address or port.",
		    strerror(errno));
	s->watch = loop_fd_add(s->loop, s->fd, LOOP_READ, on_ready, s);
	return s->watch == NULL ? STATUS_IO : STATUS_OK;
}

enum status
http_server_new(struct loop *loop, struct net_addr at,
    const struct http_server_limits *limits,
    const struct http_server_handler *handler, void *arg,
    struct http_server **out)
{
	struct http_server *s = g_new0(struct http_server, 1);
	enum status st;

	s->loop = loop;
	s->handler = handler;
	s->arg = arg;
	loop_timer_init(&s->pause, loop, on_pause_end, s);
	loop_task_init(&s->task, loop, free_closed, s);
	http_server_limits_set(s, limits);
	st = sock_bind(SOCK_STREAM, at, &s->fd);
	if (st == STATUS_OK)
		st = start_listening(s);
	if (st != STATUS_OK) {
		http_server_free(s);
		return st;
	}
	*out = s;
	return STATUS_OK;
}

void
http_server_drop_new_conns(struct http_server *s)
{
	if (s->fd >= 0)
		sock_drop_new_conns(s->fd);
}

void
http_server_unlisten(struct http_server *s)
{
	if (s->watch != NULL)
		loop_fd_remove(s->watch);
	s->watch = NULL;
	loop_timer_stop(&s->pause);
	if (s->fd >= 0)
		(void)close(s->fd);
	s->fd = -1;
}

void
http_server_free(struct http_server *s)
{
	if (s == NULL)
		return;
	http_server_unlisten(s);
	while (s->conns.head != NULL)
		http_server_conn_close(s->conns.head->data, false);
	loop_task_cancel(&s->task);
	free_closed(s);
	g_free(s);
}

struct net_addr
http_server_addr(const struct http_server *s)
{
	return sock_local(s->fd);
}

uint32_t
http_server_conns(const struct http_server *s)
{
	return s->conns.length;
}

void
http_server_close_idle(struct http_server *s, bool now)
{
	struct http_server_conn *c;
	GList *l, *next;

	s->closing = true;
	for (l = s->conns.head; now && l != NULL; l = next) {
		next = l->next;
		c = l->data;
		if (http_server_conn_is_idle(c) &&
		    !http_server_conn_has_unread(c))
			http_server_conn_close(c, false);
	}
}
