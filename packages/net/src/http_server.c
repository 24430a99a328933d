/*
 * HTTP server: listening socket and connections.
 */
#include <string.h>
#include <sys/socket.h>

#include "http_server_priv.h"
#include "sock.h"

static void
free_closed(void *arg)
{
	struct http_server *s = arg;
	GList *link;

	while ((link = g_queue_pop_head_link(&s->dead)) != NULL)
		http_server_conn_free(link->data);
}

/* Sends the answer without reading the request, then closes the socket. */
static void
refuse(struct http_server *s, int fd)
{
	const char *text = s->full_answer;

	if (text != NULL && send(fd, text, strlen(text), MSG_NOSIGNAL) > 0)
		(void)shutdown(fd, SHUT_WR);
	acceptor_refuse(&s->acceptor, fd);
}

static void
on_accept(int fd, struct net_addr caller, void *arg)
{
	struct http_server *s = arg;
	bool tight = http_server_room_is_tight(s);

	if (tight && http_server_room_make(s))
		tight = false;
	if (s->conns.length < s->limits.conns_max &&
	    descriptors_take(s->acceptor.use))
		http_server_conn_accept(s, fd, caller, tight);
	else
		refuse(s, fd);
}

static bool
make_room(void *arg)
{
	return http_server_room_make(arg);
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
	if (l.buffer_max_bytes == 0)
		l.buffer_max_bytes = HTTP_SERVER_BUFFER_MAX_BYTES;
	buffer_pool_set_max(s->pool, l.buffer_max_bytes);
	s->limits = l;
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
	loop_task_init(&s->task, loop, free_closed, s);
	s->pool = buffer_pool_new(
	    loop, "connections with requests", HTTP_SERVER_BUFFER_MAX_BYTES);
	http_server_limits_set(s, limits);
	http_server_room_init(s);
	acceptor_init(&s->acceptor, loop, s->limits.use, on_accept, s);
	s->acceptor.make_room = make_room;
	st = acceptor_open(&s->acceptor, at);
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
	if (s->acceptor.fd >= 0)
		sock_drop_new_conns(s->acceptor.fd);
}

void
http_server_unlisten(struct http_server *s)
{
	acceptor_close(&s->acceptor);
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
	buffer_pool_free(s->pool);
	g_free(s->full_answer);
	g_free(s);
}

void
http_server_set_full_answer(struct http_server *s, const char *text)
{
	g_free(s->full_answer);
	s->full_answer = g_strdup(text);
}

struct net_addr
http_server_addr(const struct http_server *s)
{
	return sock_local(s->acceptor.fd);
}

uint64_t
http_server_closed_since_ms(const struct http_server *s)
{
	return s->acceptor.paused_since_ms;
}

uint64_t
http_server_buffered_bytes(const struct http_server *s)
{
	return buffer_pool_bytes(s->pool);
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
			http_server_conn_end_idle(c);
	}
}
