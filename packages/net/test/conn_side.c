/*
 * Test fixture of framed connections.
 */
#include <string.h>

#include "conn_side.h"

struct loop *loop;
struct listener *lst;
struct side served, client;
struct metric sent = {"t_sent", "Sent.", METRIC_COUNTER, NULL, 0, {0}};
struct metric received = {
    "t_received", "Received.", METRIC_COUNTER, NULL, 0, {0}};

static void
side_on_open(struct conn *c, void *arg)
{
	struct side *s = arg;

	ck_assert(conn_is_open(c));
	s->opened++;
}

static void
side_on_frame(
    struct conn *c, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct side *s = arg;

	s->frames++;
	s->type = type;
	(void)g_byte_array_append(s->bytes, body, (guint)len);
	if (s->echo)
		ck_assert_int_eq(
		    conn_send_frame(c, type, body, len), STATUS_OK);
	if (s->close_on_frame) {
		conn_close(c);
		s->c = NULL;
	}
}

static void
side_on_writable(struct conn *c, void *arg)
{
	struct side *s = arg;

	(void)c;
	s->writable++;
}

static void
side_on_closed(struct conn *c, enum status st, void *arg)
{
	struct side *s = arg;

	ck_assert_ptr_eq(c, s->c);
	ck_assert_int_eq(s->closed, STATUS_NONE);
	s->closed = (int)st;
	s->c = NULL;
}

const struct conn_handler side_handler = {
    .on_open = side_on_open,
    .on_frame = side_on_frame,
    .on_writable = side_on_writable,
    .on_closed = side_on_closed,
};

static void
on_accept(struct conn *c, void *arg)
{
	served.c = c;
	conn_set_arg(c, arg);
}

void
side_init(struct side *s)
{
	memset(s, 0, sizeof(*s));
	s->closed = STATUS_NONE;
	s->bytes = g_byte_array_new();
}

void
side_clear(struct side *s)
{
	if (s->c != NULL)
		conn_close(s->c);
	g_byte_array_unref(s->bytes);
}

void
side_listen(struct conn_options conn, uint32_t conns_max)
{
	struct net_addr at = {LOOPBACK, 0};
	struct listener_options o = {.conn = conn,
	    .conns_max = conns_max,
	    .handler = &side_handler,
	    .on_accept = on_accept,
	    .arg = &served};

	listener_free(lst);
	ck_assert_int_eq(listener_new(loop, at, &o, &lst), STATUS_OK);
}

void
side_setup(void)
{
	struct conn_options o = {.frame_max_bytes = FRAME_MAX,
	    .stall_ms = STALL_MS,
	    .sent_bytes = &sent,
	    .received_bytes = &received};

	loop = loop_new();
	side_init(&served);
	side_init(&client);
	side_listen(o, 0);
}

void
side_teardown(void)
{
	side_clear(&served);
	side_clear(&client);
	listener_free(lst);
	loop_free(loop);
	lst = NULL;
}

void
side_dial(const struct conn_options *o)
{
	client.c = conn_dial(loop, listener_addr(lst),
	    loop_now_ms(loop) + WAIT_MS, o, &side_handler, &client);
}

int
side_raw(void)
{
	return support_connect(listener_addr(lst).port);
}

int
side_fill(struct conn *c, size_t len)
{
	uint8_t *body = g_malloc0(len);
	int n = 0;

	while (conn_send_frame(c, 1, body, len) == STATUS_OK)
		n++;
	g_free(body);
	return n;
}
