/*
 * Listener for framed TCP connections.
 */
#include "acceptor.h"
#include "conn_priv.h"
#include "net/listener.h"
#include "sock.h"

/* Time after which a connection without a frame may be closed for another. */
#define LISTENER_SILENT_MS 500

/* Part of a use's descriptors that is left for connections that are dialled. */
#define LISTENER_DIAL_DIVISOR 4

struct listener {
	struct loop *loop;
	struct acceptor acceptor;
	struct listener_options options;
	struct conn_count *count;
	uint64_t refused;
};

struct net_addr
listener_addr(const struct listener *l)
{
	return sock_local(l->acceptor.fd);
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

static bool
listener_take(const struct listener *l)
{
	enum descriptor_use use = l->options.conn.use;
	uint32_t left = descriptors_left(use);

	return !listener_is_full(l) &&
	    left > (descriptors_in_use(use) + left) / LISTENER_DIAL_DIVISOR &&
	    descriptors_take(use);
}

/* Closes the oldest connection without a frame, once it is older than
 * LISTENER_SILENT_MS. */
static bool
listener_close_silent(const struct listener *l)
{
	struct conn *c = g_queue_peek_head(&l->count->silent);

	if (c == NULL ||
	    loop_now_ms(l->loop) < c->accepted_ms + LISTENER_SILENT_MS)
		return false;
	conn_fail(c, STATUS_OVERLOADED,
	    "it sent nothing, and its place is needed for another");
	return true;
}

static void
listener_adopt(int fd, struct net_addr peer, void *arg)
{
	struct listener *l = arg;
	const struct listener_options *o = &l->options;
	struct conn *c;

	if (!listener_take(l) &&
	    !(listener_close_silent(l) && listener_take(l))) {
		l->refused++;
		acceptor_refuse(&l->acceptor, fd);
		return;
	}
	c = conn_adopt(
	    l->loop, fd, peer, &o->conn, o->handler, o->arg, l->count);
	if (o->on_accept != NULL)
		o->on_accept(c, o->arg);
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
	l->count->pool = buffer_pool_new(loop, "connections of peers",
	    options->input_max_bytes != 0 ? options->input_max_bytes
					  : LISTENER_INPUT_MAX_BYTES);
	acceptor_init(&l->acceptor, loop, options->conn.use, listener_adopt, l);
	st = acceptor_open(&l->acceptor, at);
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
	acceptor_close(&l->acceptor);
	conn_count_unref(l->count);
	g_free(l);
}
