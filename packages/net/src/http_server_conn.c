/*
 * HTTP server: a connection.
 */
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_server_priv.h"

#define READ_BYTES 32768
/* Limit of pipelined data; above it the connection is not read. */
#define PIPELINED_MAX_BYTES 65536U
/* Time for which input is discarded after an answer that was sent before the
 * end of the request. */
#define LINGER_MS 1000U
/* Most input that is discarded then. */
#define LINGER_MAX_BYTES (4U << 20)
/* A body or an answer that moves on more slowly than this counts as stalled:
 * the time limit grows by what was received or sent at this rate. */
#define PROGRESS_MIN_BYTES_PER_S 1024U
#define MS_PER_S 1000U

/* Closing */

static void
close_socket(struct http_server_conn *c, bool reset)
{
	struct linger abort_linger = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		(void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &abort_linger,
		    sizeof(abort_linger));
	loop_fd_remove(c->watch);
	(void)close(c->fd);
	c->fd = -1;
	descriptors_release(c->server->acceptor.use);
}

static void
drop_requests(struct http_server_conn *c)
{
	struct http_incoming *q;

	while ((q = http_incoming_first(c)) != NULL) {
		g_queue_unlink(&c->requests, &q->link);
		if (!q->ended)
			c->server->handler->on_gone(q);
		http_incoming_free(q);
	}
}

void
http_server_conn_close(struct http_server_conn *c, bool reset)
{
	struct http_server *s = c->server;

	if (c->life == CONN_DEAD)
		return;
	c->life = CONN_DEAD;
	c->reading = NULL;
	http_server_conn_restart_timer(c);
	buffer_holder_set(&c->holder, 0, false);
	g_queue_unlink(&s->conns, &c->link);
	g_queue_push_tail_link(&s->dead, &c->link);
	loop_task_defer(&s->task);
	loop_task_cancel(&c->task);
	close_socket(c, reset);
	drop_requests(c);
}

static void
free_buffers(struct http_server_conn *c)
{
	http_request_clear(c);
	if (c->pipelined != NULL)
		g_byte_array_free(c->pipelined, TRUE);
	c->pipelined = NULL;
	if (c->out != NULL)
		g_byte_array_free(c->out, TRUE);
	c->out = NULL;
}

void
http_server_conn_free(struct http_server_conn *c)
{
	free_buffers(c);
	g_free(c);
}

/* Memory */

static uint64_t
head_bytes(const struct http_server_conn *c)
{
	uint64_t bytes = 0;

	if (c->target != NULL)
		bytes += c->target->allocated_len;
	if (c->head.text != NULL)
		bytes += c->head.text->allocated_len +
		    c->head.offsets->len * sizeof(uint32_t);
	return bytes;
}

static uint64_t
request_bytes(const struct http_incoming *q)
{
	uint64_t bytes = q->held_bytes + q->request_head_bytes;

	return q->out != NULL ? bytes + q->out->len : bytes;
}

static uint64_t
held_bytes(const struct http_server_conn *c)
{
	uint64_t bytes = head_bytes(c);
	const GList *l;

	if (c->pipelined != NULL)
		bytes += c->pipelined->len;
	if (c->out != NULL)
		bytes += c->out->len;
	for (l = c->requests.head; l != NULL; l = l->next)
		bytes += request_bytes(l->data);
	return bytes;
}

/* Whether the connection waits for its caller, or holds what a request that
 * runs does not need. */
static bool
waits_for_caller(const struct http_server_conn *c)
{
	return c->input == CONN_INPUT_HEAD || c->pipelined != NULL ||
	    (c->reading != NULL && !c->reading->body_done) ||
	    http_server_conn_output_bytes(c) > 0;
}

void
http_server_conn_update_held(struct http_server_conn *c)
{
	if (c->life != CONN_DEAD)
		buffer_holder_set(
		    &c->holder, held_bytes(c), waits_for_caller(c));
}

static void
evict(struct buffer_holder *h)
{
	struct http_server_conn *c = (struct http_server_conn *)((char *)h -
	    offsetof(struct http_server_conn, holder));

	c->evicted = true;
	http_server_conn_close(c, true);
	if (!c->parsing)
		free_buffers(c);
}

static const struct buffer_holder_ops holder_ops = {.evict = evict};

/* Watched events */

static bool
wants_read(const struct http_server_conn *c)
{
	uint32_t pipelined = c->pipelined != NULL ? c->pipelined->len : 0;

	if (c->peer_ended)
		return false;
	if (c->reading != NULL && c->reading->paused)
		return false;
	return pipelined < PIPELINED_MAX_BYTES;
}

/* With serve_departed, the end is noticed in its place behind the data. */
static bool
watches_end(const struct http_server_conn *c)
{
	return !c->peer_ended && !c->server->handler->serve_departed;
}

/* The end of the stream is watched even while nothing is read. */
static void
update_watch(struct http_server_conn *c)
{
	uint32_t events = watches_end(c) ? LOOP_HANGUP : 0;

	if (wants_read(c))
		events |= LOOP_READ;
	if (http_server_conn_output_bytes(c) > 0)
		events |= LOOP_WRITE;
	loop_fd_set(c->watch, events);
}

/* Timer */

/* A finished answer that waits for an earlier one does not stall: its caller
 * can't take it yet. */
static enum conn_timing
timing_of(const struct http_server_conn *c)
{
	if (c->life == CONN_LINGERING)
		return CONN_TIMING_LINGER;
	if (http_server_conn_output_bytes(c) > 0)
		return CONN_TIMING_STALL;
	if (c->reading != NULL && !c->reading->body_done)
		return c->reading->paused ? CONN_TIMING_NONE
					  : CONN_TIMING_STALL;
	if (c->requests.length > 0 || c->input == CONN_INPUT_HELD)
		return CONN_TIMING_NONE;
	return c->input == CONN_INPUT_HEAD ? CONN_TIMING_HEAD
					   : CONN_TIMING_IDLE;
}

uint32_t
http_server_conn_limit_ms(
    const struct http_server_limits *l, enum conn_timing timing)
{
	switch (timing) {
	case CONN_TIMING_IDLE:
		return l->idle_ms;
	case CONN_TIMING_HEAD:
		return l->head_ms;
	case CONN_TIMING_STALL:
		return l->stall_ms;
	case CONN_TIMING_NONE:
	case CONN_TIMING_LINGER:
	case CONN_TIMINGS:
		break;
	}
	return LINGER_MS;
}

static void
update_timer(struct http_server_conn *c)
{
	struct http_server *s = c->server;
	enum conn_timing timing = timing_of(c);

	if (timing == c->timing)
		return;
	http_server_conn_restart_timer(c);
	if (timing == CONN_TIMING_NONE)
		return;
	c->timing = timing;
	c->timing_since_ms = loop_now_ms(s->loop);
	c->progress_bytes = 0;
	g_queue_push_tail_link(&s->by_timing[timing], &c->timing_link);
	c->stall_ms =
	    c->timing_since_ms + http_server_conn_limit_ms(&s->limits, timing);
	loop_timer_set(&c->timer, c->stall_ms);
}

/* Each byte renews the time limit of a stall, but slow progress does not renew
 * it without end. */
static void
note_progress(struct http_server_conn *c, size_t bytes)
{
	struct http_server *s = c->server;
	uint64_t now_ms = loop_now_ms(s->loop);

	if (c->timing != CONN_TIMING_STALL)
		return;
	c->progress_bytes += bytes;
	c->timing_since_ms = now_ms;
	g_queue_unlink(&s->by_timing[c->timing], &c->timing_link);
	g_queue_push_tail_link(&s->by_timing[c->timing], &c->timing_link);
	loop_timer_set(&c->timer,
	    MIN(now_ms + s->limits.stall_ms,
		c->stall_ms +
		    c->progress_bytes * MS_PER_S / PROGRESS_MIN_BYTES_PER_S));
}

void
http_server_conn_restart_timer(struct http_server_conn *c)
{
	loop_timer_stop(&c->timer);
	if (c->timing != CONN_TIMING_NONE)
		g_queue_unlink(
		    &c->server->by_timing[c->timing], &c->timing_link);
	c->timing = CONN_TIMING_NONE;
}

/* Between requests */

static void
report_unread(const struct http_server_conn *c)
{
	struct http_server *s = c->server;

	if (s->handler->on_unread != NULL)
		s->handler->on_unread(s->arg);
}

bool
http_server_conn_is_idle(const struct http_server_conn *c)
{
	return c->life == CONN_OPEN && c->requests.length == 0 &&
	    c->input == CONN_INPUT_IDLE && c->pipelined == NULL &&
	    http_server_conn_output_bytes(c) == 0;
}

/*
 * The rest of a request, or a request that the caller has sent ahead, may still
 * arrive.  Closing now would reset the connection, which could destroy the
 * answer before the caller reads it, so the input is discarded until the caller
 * closes, for LINGER_MS at most.  A caller may send another request although it
 * has announced the last one.
 */
static void
end_output(struct http_server_conn *c)
{
	if (c->peer_ended) {
		http_server_conn_close(c, false);
		return;
	}
	c->life = CONN_LINGERING;
	if (c->pipelined != NULL)
		g_byte_array_free(c->pipelined, TRUE);
	c->pipelined = NULL;
	(void)shutdown(c->fd, SHUT_WR);
}

void
http_server_conn_end_idle(struct http_server_conn *c)
{
	if (!c->used) {
		http_server_conn_close(c, false);
		return;
	}
	end_output(c);
	http_server_conn_update(c);
}

/* The answer before an idle time, or before a head that stays incomplete, may
 * still be on its way to a slow caller. */
static void
on_timer(void *arg)
{
	struct http_server_conn *c = arg;

	if (c->timing == CONN_TIMING_IDLE || c->timing == CONN_TIMING_HEAD)
		http_server_conn_end_idle(c);
	else
		http_server_conn_close(c, false);
}

/* Whether the data that a departed caller has left counts. */
static bool
serves_rest(const struct http_server_conn *c)
{
	return c->pipelined != NULL && c->server->handler->serve_departed;
}

/* All requests are answered, and the answers are sent. */
static void
all_sent(struct http_server_conn *c)
{
	if (c->closing) {
		end_output(c);
	} else if (c->peer_ended && !serves_rest(c)) {
		if (c->pipelined != NULL)
			report_unread(c);
		http_server_conn_close(c, false);
	} else if (c->input == CONN_INPUT_BAD) {
		http_request_reject(c);
	}
}

void
http_server_conn_update(struct http_server_conn *c)
{
	if (c->parsing || c->life == CONN_DEAD)
		return;
	if (c->life == CONN_OPEN && c->requests.length == 0 &&
	    http_server_conn_output_bytes(c) == 0)
		all_sent(c);
	if (c->life == CONN_DEAD)
		return;
	if (c->pipelined != NULL && http_request_may_parse(c))
		loop_task_defer(&c->task);
	update_timer(c);
	update_watch(c);
	http_server_conn_update_held(c);
}

/* Parses one buffered request, resumes after a pause, and starts writing. */
static void
on_task(void *arg)
{
	struct http_server_conn *c = arg;

	http_request_feed(c, "", 0);
	http_server_conn_update(c);
}

/* Writing */

size_t
http_server_conn_output_bytes(const struct http_server_conn *c)
{
	return c->out != NULL ? c->out->len - c->out_sent : 0;
}

/* Return: false when the connection has failed. */
static bool
write_some(struct http_server_conn *c)
{
	size_t left = http_server_conn_output_bytes(c);
	ssize_t n;

	while (left > 0) {
		n = send(c->fd, c->out->data + c->out_sent, left, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN;
		c->out_sent += (size_t)n;
		left -= (size_t)n;
		note_progress(c, (size_t)n);
	}
	if (c->out != NULL)
		g_byte_array_free(c->out, TRUE);
	c->out = NULL;
	c->out_sent = 0;
	return true;
}

void
http_server_conn_flush(struct http_server_conn *c)
{
	if (c->life == CONN_DEAD)
		return;
	if (!write_some(c)) {
		http_server_conn_close(c, true);
		return;
	}
	http_incoming_flushed(c);
	http_server_conn_update(c);
}

/* Reading */

bool
http_server_conn_has_unread(const struct http_server_conn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
http_server_conn_has_unconfirmed(const struct http_server_conn *c)
{
	int bytes = 0;

	return ioctl(c->fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/* Whether data of a request precedes the end that was not dispatched. */
static bool
lost_unread(const struct http_server_conn *c)
{
	if (c->closing || c->life != CONN_OPEN || c->input == CONN_INPUT_BODY)
		return false;
	if (c->pipelined != NULL || c->input != CONN_INPUT_IDLE)
		return true;
	return c->requests.length == 0 && http_server_conn_has_unread(c);
}

/*
 * The peer has closed its side.  Nobody reads an answer from now on, so
 * requests under way end, and data of a request that precedes the end is
 * dropped unread.
 */
static void
peer_ended(struct http_server_conn *c)
{
	bool answered = c->life == CONN_OPEN && c->requests.length == 0;

	c->peer_ended = true;
	if (answered &&
	    (http_server_conn_output_bytes(c) > 0 || serves_rest(c))) {
		http_server_conn_update(c);
		return;
	}
	if (lost_unread(c))
		report_unread(c);
	http_server_conn_close(c, false);
}

/* Input without end is not discarded until the timer ends. */
static void
discard(struct http_server_conn *c, size_t n)
{
	c->discarded_bytes += n;
	if (c->discarded_bytes > LINGER_MAX_BYTES)
		http_server_conn_close(c, true);
}

static void
read_some(struct http_server_conn *c)
{
	char buf[READ_BYTES];
	ssize_t n;

	n = recv(c->fd, buf, sizeof(buf), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		http_server_conn_close(c, false);
		return;
	}
	if (n == 0) {
		peer_ended(c);
		return;
	}
	if (c->life == CONN_LINGERING) {
		discard(c, (size_t)n);
		return;
	}
	if (c->reading != NULL)
		note_progress(c, (size_t)n);
	http_request_feed(c, buf, (size_t)n);
	http_server_conn_update(c);
}

static void
on_ready(uint32_t ready, void *arg)
{
	struct http_server_conn *c = arg;

	if (ready & LOOP_HANGUP)
		peer_ended(c);
	else if (ready & LOOP_READ)
		read_some(c);
	if (c->life != CONN_DEAD && (ready & LOOP_WRITE))
		http_server_conn_flush(c);
}

void
http_server_conn_accept(
    struct http_server *s, int fd, struct net_addr caller, bool surplus)
{
	struct http_server_conn *c = g_new0(struct http_server_conn, 1);
	int on = 1;

	c->server = s;
	c->watch = loop_fd_add(s->loop, fd,
	    watches_end(c) ? LOOP_READ | LOOP_HANGUP : LOOP_READ, on_ready, c);
	if (c->watch == NULL) {
		(void)close(fd);
		descriptors_release(s->acceptor.use);
		g_free(c);
		return;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->fd = fd;
	c->caller = caller;
	c->surplus = surplus;
	c->link.data = c;
	c->timing_link.data = c;
	buffer_holder_init(&c->holder, &holder_ops, s->pool);
	g_queue_init(&c->requests);
	loop_timer_init(&c->timer, s->loop, on_timer, c);
	loop_task_init(&c->task, s->loop, on_task, c);
	g_queue_push_tail_link(&s->conns, &c->link);
	http_request_init(c);
	update_timer(c);
}
