/*
 * Framed TCP connection: establishment, closing and deadlines.
 *
 * One timer serves all deadlines: it is set to the earliest deadline and, when
 * it fires, to the earliest remaining one.
 */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn_priv.h"
#include "sock.h"

#define CONN_LOW_DIVISOR 4
/* A timer that fires later than this indicates that the process was paused. */
#define CONN_LATE_MS 1000

static _Atomic uint64_t conn_last_id;

/* Accessors */

uint64_t
conn_id(const struct conn *c)
{
	return c->id;
}

struct net_addr
conn_peer(const struct conn *c)
{
	return c->peer;
}

bool
conn_is_open(const struct conn *c)
{
	return c->state == CONN_OPEN;
}

uint64_t
conn_last_received_ms(const struct conn *c)
{
	return c->last_received_ms;
}

uint64_t
conn_sent_bytes(const struct conn *c)
{
	return c->sent;
}

uint64_t
conn_received_bytes(const struct conn *c)
{
	return c->received;
}

void *
conn_arg(const struct conn *c)
{
	return c->arg;
}

void
conn_set_arg(struct conn *c, void *arg)
{
	c->arg = arg;
}

/* Deadlines */

static uint64_t
conn_idle_deadline_ms(const struct conn *c)
{
	if (c->options.idle_ms == 0 || c->state != CONN_OPEN)
		return DEADLINE_NEVER;
	return c->last_received_ms + c->options.idle_ms;
}

static uint64_t
conn_earliest_ms(const struct conn *c)
{
	uint64_t at_ms = conn_idle_deadline_ms(c);

	at_ms = MIN(at_ms, c->dial_deadline_ms);
	at_ms = MIN(at_ms, c->frame_deadline_ms);
	return MIN(at_ms, c->output_deadline_ms);
}

void
conn_rearm(struct conn *c)
{
	uint64_t at_ms = conn_earliest_ms(c);

	if (at_ms < c->timer.deadline_ms)
		loop_timer_set(&c->timer, at_ms);
}

uint64_t
conn_stall_deadline_ms(const struct conn *c)
{
	return loop_now_ms(c->loop) + c->options.stall_ms;
}

/* Memory */

static void
count_clear(void *count)
{
	struct conn_count *n = count;

	buffer_pool_free(n->pool);
}

void
conn_count_unref(struct conn_count *count)
{
	g_rc_box_release_full(count, count_clear);
}

static void
evict(struct buffer_holder *h)
{
	struct conn *c =
	    (struct conn *)((char *)h - offsetof(struct conn, holder));

	conn_fail(c, STATUS_OVERLOADED,
	    "its frame is incomplete, and its memory is needed for others");
	frame_reader_clear(&c->in);
}

static const struct buffer_holder_ops holder_ops = {.evict = evict};

/* Termination */

static void
conn_release(struct conn *c)
{
	if (c->count != NULL)
		conn_count_unref(c->count);
	frame_reader_clear(&c->in);
	g_byte_array_unref(c->out);
	g_free(c);
}

void
conn_spoke(struct conn *c)
{
	if (c->silent_link.data == NULL)
		return;
	g_queue_unlink(&c->count->silent, &c->silent_link);
	c->silent_link.data = NULL;
}

static void
conn_tear_down(struct conn *c)
{
	if (c->watch != NULL)
		loop_fd_remove(c->watch);
	if (c->fd >= 0) {
		(void)close(c->fd);
		descriptors_release(c->options.use);
	}
	conn_spoke(c);
	buffer_holder_set(&c->holder, 0, false);
	if (c->count != NULL)
		c->count->open--;
	loop_timer_stop(&c->timer);
	c->state = CONN_DEAD;
	loop_task_defer(&c->task);
}

void
conn_fail(struct conn *c, enum status st, const char *what)
{
	bool notify = c->state != CONN_FINISHING;
	char text[ADDR_TEXT_BYTES];

	if (c->state == CONN_DEAD)
		return;
	conn_tear_down(c);
	(void)status_set(st, "Connection with %s closed: %s.",
	    addr_format(&c->peer, text), what);
	if (notify)
		c->handler->on_closed(c, st, c->arg);
}

/* Events */

static void
conn_on_established(struct conn *c)
{
	c->state = CONN_OPEN;
	c->dial_deadline_ms = DEADLINE_NEVER;
	c->last_received_ms = loop_now_ms(c->loop);
	if (conn_output_bytes(c) > 0)
		c->output_deadline_ms = conn_stall_deadline_ms(c);
	conn_watch(c);
	if (c->handler->on_open != NULL)
		c->handler->on_open(c, c->arg);
	if (c->state == CONN_OPEN)
		loop_task_defer(&c->task);
}

static void
conn_on_dial_end(struct conn *c)
{
	socklen_t len = sizeof(c->dial_errno);

	(void)getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &c->dial_errno, &len);
	if (c->dial_errno == 0)
		conn_on_established(c);
	else
		conn_fail(c, STATUS_UNAVAILABLE, strerror(c->dial_errno));
}

static void
conn_on_ready(uint32_t ready, void *arg)
{
	struct conn *c = arg;

	if (c->state == CONN_DIALLING) {
		conn_on_dial_end(c);
		return;
	}
	if (ready & LOOP_READ)
		conn_read(c, (ready & LOOP_HANGUP) != 0);
	if (c->state != CONN_DEAD && (ready & LOOP_WRITE))
		conn_flush(c);
}

/*
 * When a timer fires late, this process was paused; the peer did not cause the
 * delay, so its deadlines start anew.
 */
static void
conn_restart_deadlines(struct conn *c)
{
	uint64_t deadline_ms = conn_stall_deadline_ms(c);

	c->last_received_ms = loop_now_ms(c->loop);
	if (c->frame_deadline_ms != DEADLINE_NEVER)
		c->frame_deadline_ms = deadline_ms;
	if (c->output_deadline_ms != DEADLINE_NEVER)
		c->output_deadline_ms = deadline_ms;
}

static void
conn_on_timer(void *arg)
{
	struct conn *c = arg;
	uint64_t now_ms = loop_now_ms(c->loop);

	if (c->state != CONN_DIALLING &&
	    now_ms > conn_earliest_ms(c) + CONN_LATE_MS)
		conn_restart_deadlines(c);
	if (c->dial_deadline_ms <= now_ms)
		conn_fail(
		    c, STATUS_TIMEOUT, "not established before its deadline");
	else if (c->frame_deadline_ms <= now_ms)
		conn_fail(
		    c, STATUS_TIMEOUT, "a frame was not completed in time");
	else if (c->output_deadline_ms <= now_ms)
		conn_fail(c, STATUS_TIMEOUT, "the peer reads no data");
	else if (conn_idle_deadline_ms(c) <= now_ms)
		conn_fail(
		    c, STATUS_TIMEOUT, "no data received within the idle time");
	else
		conn_rearm(c);
}

static void
conn_on_task(void *arg)
{
	struct conn *c = arg;

	if (c->state == CONN_DEAD)
		conn_release(c);
	else if (c->state == CONN_DIALLING)
		conn_fail(c, STATUS_UNAVAILABLE, strerror(c->dial_errno));
	else
		conn_flush(c);
}

/* Establishment and closing */

static void
conn_set_options(struct conn *c, const struct conn_options *options)
{
	struct conn_options *o = &c->options;

	if (options != NULL)
		*o = *options;
	if (o->frame_max_bytes == 0)
		o->frame_max_bytes = CONN_FRAME_MAX_BYTES;
	if (o->output_max_bytes == 0)
		o->output_max_bytes = CONN_OUTPUT_MAX_BYTES;
	if (o->output_low_bytes == 0)
		o->output_low_bytes = o->output_max_bytes / CONN_LOW_DIVISOR;
	if (o->stall_ms == 0)
		o->stall_ms = CONN_STALL_MS;
	/* The largest frame must fit into an empty buffer. */
	o->output_max_bytes =
	    MAX(o->output_max_bytes, o->frame_max_bytes + FRAME_LENGTH_BYTES);
}

static struct conn *
conn_new(struct loop *loop, int fd, struct net_addr peer,
    const struct conn_options *options, const struct conn_handler *handler,
    void *arg)
{
	struct conn *c = g_new0(struct conn, 1);

	c->loop = loop;
	c->fd = fd;
	c->peer = peer;
	c->handler = handler;
	c->arg = arg;
	c->id = atomic_fetch_add(&conn_last_id, 1) + 1;
	c->out = g_byte_array_new();
	c->last_received_ms = loop_now_ms(loop);
	c->dial_deadline_ms = DEADLINE_NEVER;
	c->frame_deadline_ms = DEADLINE_NEVER;
	c->output_deadline_ms = DEADLINE_NEVER;
	conn_set_options(c, options);
	frame_reader_init(&c->in, c->options.frame_max_bytes);
	loop_timer_init(&c->timer, loop, conn_on_timer, c);
	loop_task_init(&c->task, loop, conn_on_task, c);
	return c;
}

static void
conn_set_socket_options(struct conn *c)
{
	unsigned int stall_ms = c->options.stall_ms;
	int on = 1;

	(void)setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(
	    c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &stall_ms, sizeof(stall_ms));
}

struct conn *
conn_adopt(struct loop *loop, int fd, struct net_addr peer,
    const struct conn_options *options, const struct conn_handler *handler,
    void *arg, struct conn_count *count)
{
	struct conn *c = conn_new(loop, fd, peer, options, handler, arg);

	c->state = CONN_OPEN;
	c->count = g_rc_box_acquire(count);
	c->count->open++;
	buffer_holder_init(&c->holder, &holder_ops, c->count->pool);
	c->accepted_ms = loop_now_ms(loop);
	c->silent_link.data = c;
	g_queue_push_tail_link(&c->count->silent, &c->silent_link);
	conn_set_socket_options(c);
	c->watch =
	    loop_fd_add(loop, fd, LOOP_READ | LOOP_HANGUP, conn_on_ready, c);
	if (c->watch == NULL) {
		/* The task reports the failure like that of a dial. */
		c->state = CONN_DIALLING;
		c->dial_errno = ENOMEM;
		loop_task_defer(&c->task);
	}
	conn_rearm(c);
	return c;
}

static int
conn_start_dial(struct conn *c)
{
	struct sockaddr_in sin = sock_to_system(c->peer);

	int error;

	if (!descriptors_take(c->options.use))
		return EMFILE;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0) {
		error = errno;
		descriptors_release(c->options.use);
		return error;
	}
	conn_set_socket_options(c);
	if (connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 &&
	    errno != EINPROGRESS)
		return errno;
	c->watch = loop_fd_add(c->loop, c->fd, LOOP_WRITE, conn_on_ready, c);
	return c->watch == NULL ? ENOMEM : 0;
}

struct conn *
conn_dial(struct loop *loop, struct net_addr to, uint64_t deadline_ms,
    const struct conn_options *options, const struct conn_handler *handler,
    void *arg)
{
	struct conn *c = conn_new(loop, -1, to, options, handler, arg);

	c->state = CONN_DIALLING;
	c->dial_deadline_ms = deadline_ms;
	c->dial_errno = conn_start_dial(c);
	if (c->dial_errno != 0)
		loop_task_defer(&c->task);
	conn_rearm(c);
	return c;
}

void
conn_close(struct conn *c)
{
	if (c->state == CONN_DEAD)
		return;
	if (c->state == CONN_OPEN)
		(void)conn_write_some(c);
	conn_tear_down(c);
}

void
conn_finish(struct conn *c)
{
	if (c->state != CONN_OPEN) {
		conn_close(c);
		return;
	}
	c->state = CONN_FINISHING;
	c->frame_deadline_ms = DEADLINE_NEVER;
	loop_task_defer(&c->task);
}
