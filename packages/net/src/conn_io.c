/*
 * Input and output of a framed TCP connection.
 *
 * Input is split into frames; the frames appended in a turn are written
 * together at its end.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn_priv.h"

/* Bytes per read() call, and bytes read per turn before other connections are
 * served. */
#define CONN_READ_BYTES (32U * 1024U)
#define CONN_TURN_BYTES (256U * 1024U)
/* An empty output buffer larger than this is freed. */
#define CONN_IDLE_OUTPUT_BYTES 4096U

size_t
conn_output_bytes(const struct conn *c)
{
	return c->out->len - c->out_start;
}

/* Input */

static void
conn_update_partial(struct conn *c, uint64_t framed_before)
{
	if (c->received == c->framed) {
		c->frame_deadline_ms = DEADLINE_NEVER;
		frame_reader_clear(&c->in);
		frame_reader_init(&c->in, c->options.frame_max_bytes);
		buffer_holder_set(&c->holder, 0, false);
		return;
	}
	if (c->framed != framed_before ||
	    c->frame_deadline_ms == DEADLINE_NEVER)
		c->frame_deadline_ms = conn_stall_deadline_ms(c);
	conn_rearm(c);
	if (c->handler->on_part != NULL)
		c->handler->on_part(c, c->arg);
	if (c->state == CONN_OPEN)
		buffer_holder_set(&c->holder, c->in.capacity, true);
}

static void
conn_extract_frames(struct conn *c)
{
	enum frame_result r = FRAME_NONE;
	uint64_t framed = c->framed;
	struct frame f;

	while (c->state == CONN_OPEN) {
		r = frame_reader_next(&c->in, &f);
		if (r != FRAME_READY)
			break;
		c->framed += FRAME_HEADER_BYTES + f.body_len;
		conn_spoke(c);
		c->handler->on_frame(c, f.type, f.body, f.body_len, c->arg);
	}
	if (c->state != CONN_OPEN)
		return;
	if (r == FRAME_BAD)
		conn_fail(c, STATUS_TOO_LARGE,
		    "a frame is empty or exceeds the limit; check the service "
		    "at that address and its frame limit");
	else
		conn_update_partial(c, framed);
}

static void
conn_on_received(struct conn *c, size_t n)
{
	c->received += n;
	c->last_received_ms = loop_now_ms(c->loop);
	if (c->options.received_bytes != NULL)
		metric_add(c->options.received_bytes, (int64_t)n);
	frame_reader_commit(&c->in, n);
	if (c->state == CONN_OPEN) {
		conn_extract_frames(c);
		return;
	}
	frame_reader_clear(&c->in);
	frame_reader_init(&c->in, c->options.frame_max_bytes);
}

static void
conn_read_ended(struct conn *c, ssize_t n)
{
	if (n == 0)
		conn_fail(
		    c, STATUS_UNAVAILABLE, "the peer closed the connection");
	else if (errno != EAGAIN && errno != EINTR)
		conn_fail(c, STATUS_UNAVAILABLE, strerror(errno));
}

/*
 * With @ended, reads up to the end of the stream, so that the owner learns of
 * it in the same turn as of the frames before it.
 */
void
conn_read(struct conn *c, bool ended)
{
	size_t budget = CONN_TURN_BYTES;
	uint8_t *space;
	ssize_t n;

	while (c->state != CONN_DEAD && budget >= CONN_READ_BYTES) {
		space = frame_reader_space(&c->in, CONN_READ_BYTES);
		n = read(c->fd, space, CONN_READ_BYTES);
		if (n <= 0) {
			conn_read_ended(c, n);
			return;
		}
		budget -= (size_t)n;
		conn_on_received(c, (size_t)n);
		if (n < (ssize_t)CONN_READ_BYTES && !ended)
			return;
	}
}

/* Output */

static void
conn_out_reset(struct conn *c)
{
	if (c->out->len > CONN_IDLE_OUTPUT_BYTES) {
		g_byte_array_unref(c->out);
		c->out = g_byte_array_new();
	}
	g_byte_array_set_size(c->out, 0);
	c->out_start = 0;
}

/* Removes the bytes already sent once they exceed half of the buffer. */
static void
conn_out_compact(struct conn *c)
{
	if (c->out_start == c->out->len)
		conn_out_reset(c);
	else if (c->out_start > c->out->len / 2) {
		g_byte_array_remove_range(c->out, 0, (guint)c->out_start);
		c->out_start = 0;
	}
}

static void
conn_on_sent(struct conn *c, size_t n)
{
	c->sent += n;
	c->out_start += n;
	if (c->options.sent_bytes != NULL)
		metric_add(c->options.sent_bytes, (int64_t)n);
	conn_out_compact(c);
	c->output_deadline_ms = conn_output_bytes(c) > 0
	    ? conn_stall_deadline_ms(c)
	    : DEADLINE_NEVER;
}

/* Frames that the peer sent before it closed the connection are delivered. */
static void
conn_write_failed(struct conn *c, int error)
{
	conn_read(c, true);
	if (c->state != CONN_DEAD)
		conn_fail(c, STATUS_UNAVAILABLE, strerror(error));
}

void
conn_watch(struct conn *c)
{
	uint32_t events = LOOP_READ | LOOP_HANGUP;

	if (conn_output_bytes(c) > 0)
		events |= LOOP_WRITE;
	loop_fd_set(c->watch, events);
	conn_rearm(c);
}

/* Returns the errno of the failed write; 0 on success or when it would block.
 */
int
conn_write_some(struct conn *c)
{
	ssize_t n;

	while (conn_output_bytes(c) > 0) {
		n = send(c->fd, c->out->data + c->out_start,
		    conn_output_bytes(c), MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == EINTR ? 0 : errno;
		conn_on_sent(c, (size_t)n);
	}
	return 0;
}

static void
conn_shut_write(struct conn *c)
{
	if (c->state != CONN_FINISHING || c->write_shut ||
	    conn_output_bytes(c) > 0)
		return;
	c->write_shut = true;
	c->output_deadline_ms = conn_stall_deadline_ms(c);
	(void)shutdown(c->fd, SHUT_WR);
	conn_rearm(c);
}

static void
conn_notify_writable(struct conn *c)
{
	if (c->state != CONN_OPEN || !c->above_low ||
	    conn_output_bytes(c) > c->options.output_low_bytes)
		return;
	c->above_low = false;
	if (c->handler->on_writable != NULL)
		c->handler->on_writable(c, c->arg);
}

void
conn_flush(struct conn *c)
{
	int error = conn_write_some(c);

	if (error != 0) {
		conn_write_failed(c, error);
		return;
	}
	conn_watch(c);
	conn_shut_write(c);
	conn_notify_writable(c);
}

static bool
conn_has_room(const struct conn *c, size_t len)
{
	return conn_output_bytes(c) + FRAME_HEADER_BYTES + len <=
	    c->options.output_max_bytes;
}

static void
append_frame(struct conn *c, uint8_t type, const uint8_t *body, size_t len)
{
	if (c->state == CONN_OPEN && conn_output_bytes(c) == 0)
		c->output_deadline_ms = conn_stall_deadline_ms(c);
	frame_append(c->out, (enum msg_type)type, body, len);
	if (conn_output_bytes(c) > c->options.output_low_bytes)
		c->above_low = true;
	if (c->state == CONN_OPEN)
		loop_task_defer(&c->task);
}

void
conn_send_control(struct conn *c, uint8_t type, const uint8_t *body, size_t len)
{
	append_frame(c, type, body, len);
}

enum status
conn_send_frame(struct conn *c, uint8_t type, const uint8_t *body, size_t len)
{
	if (len >= c->options.frame_max_bytes)
		return status_set(STATUS_TOO_LARGE,
		    "A frame of %zu bytes exceeds the limit of %u; split it.",
		    len + 1, c->options.frame_max_bytes);
	if (!conn_has_room(c, len)) {
		c->above_low = true;
		return status_set(STATUS_OVERLOADED,
		    "%zu bytes are queued for this peer; wait until the queue "
		    "has drained.",
		    conn_output_bytes(c));
	}
	append_frame(c, type, body, len);
	return STATUS_OK;
}
