/*
 * Benchmark of framed connections: round-trip times and frames per second
 * between two loops in two threads, compared with a ping-pong of plain blocking
 * sockets in the same run.
 */
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "net/listener.h"
#include "proto/frame.h"
#include "raw_socket.h"

#define ROUNDS 20000
#define WARM_UP 1000
#define WINDOW 64
#define WINDOW_FRAMES 400000
#define BODY_BYTES 200
#define LOOPBACK 0x7f000001U
#define US_PER_SECOND 1e6

static uint8_t body[BODY_BYTES];

/* Server side: an echo server in a separate loop and thread. */

struct server {
	struct loop *loop;
	struct listener *listener;
	pthread_t thread;
};

static void
echo_frame(
    struct conn *c, uint8_t type, const uint8_t *data, size_t len, void *arg)
{
	(void)arg;
	(void)conn_send_frame(c, type, data, len);
}

static void
echo_closed(struct conn *c, enum status st, void *arg)
{
	(void)c;
	(void)st;
	(void)arg;
}

static const struct conn_handler echo_handler = {
    .on_frame = echo_frame,
    .on_closed = echo_closed,
};

static void *
server_run(void *arg)
{
	struct server *s = arg;

	loop_run(s->loop);
	return NULL;
}

static void
server_start(struct server *s)
{
	struct listener_options o = {.handler = &echo_handler};
	struct net_addr at = {LOOPBACK, 0};

	s->loop = loop_new();
	if (listener_new(s->loop, at, &o, &s->listener) != STATUS_OK)
		g_error("%s", status_message());
	if (pthread_create(&s->thread, NULL, server_run, s) != 0)
		g_error("The benchmark can't start a thread.");
}

static void
server_stop(struct server *s)
{
	loop_stop(s->loop);
	(void)pthread_join(s->thread, NULL);
	listener_free(s->listener);
	loop_free(s->loop);
}

/* Client side */

struct client {
	struct loop *loop;
	uint64_t sent_us;
	uint32_t left;
	uint32_t to_send;
	GArray *times_us;
};

static void
client_send(struct client *cl, struct conn *c)
{
	if (cl->to_send == 0)
		return;
	cl->to_send--;
	cl->sent_us = clock_now_us();
	(void)conn_send_frame(c, 1, body, sizeof(body));
}

static void
client_frame(
    struct conn *c, uint8_t type, const uint8_t *data, size_t len, void *arg)
{
	struct client *cl = arg;
	uint64_t took_us = clock_now_us() - cl->sent_us;

	(void)type;
	(void)data;
	(void)len;
	g_array_append_val(cl->times_us, took_us);
	cl->left--;
	client_send(cl, c);
	if (cl->left == 0)
		loop_stop(cl->loop);
}

static const struct conn_handler client_handler = {
    .on_frame = client_frame,
    .on_closed = echo_closed,
};

/* Returns the total time in microseconds; appends round trips to @times_us. */
static uint64_t
run_frames(uint32_t frames, uint32_t window, GArray *times_us)
{
	struct client cl = {loop_new(), 0, frames, frames, times_us};
	struct server s;
	struct conn *c;
	uint64_t begin_us;
	uint32_t i;

	server_start(&s);
	c = conn_dial(cl.loop, listener_addr(s.listener), DEADLINE_NEVER, NULL,
	    &client_handler, &cl);
	begin_us = clock_now_us();
	for (i = 0; i < window; i++)
		client_send(&cl, c);
	loop_run(cl.loop);
	begin_us = clock_now_us() - begin_us;
	conn_close(c);
	loop_free(cl.loop);
	server_stop(&s);
	return begin_us;
}

/* Baseline */

static void *
raw_echo(void *arg)
{
	uint8_t data[BODY_BYTES + FRAME_HEADER_BYTES];
	int fd = raw_connect(*(struct net_addr *)arg);

	while (raw_read_all(fd, data, sizeof(data)))
		raw_write_all(fd, data, sizeof(data));
	(void)close(fd);
	return NULL;
}

static void
run_raw(GArray *times_us)
{
	uint8_t data[BODY_BYTES + FRAME_HEADER_BYTES] = {0};
	int fd, i, listening;
	struct net_addr at;
	pthread_t thread;
	uint64_t t_us;

	listening = raw_listen(&at);
	if (pthread_create(&thread, NULL, raw_echo, &at) != 0)
		g_error("The benchmark can't start a thread.");
	fd = accept4(listening, NULL, NULL, SOCK_CLOEXEC);
	for (i = 0; i < ROUNDS; i++) {
		t_us = clock_now_us();
		raw_write_all(fd, data, sizeof(data));
		(void)raw_read_all(fd, data, sizeof(data));
		t_us = clock_now_us() - t_us;
		g_array_append_val(times_us, t_us);
	}
	(void)close(fd);
	(void)pthread_join(thread, NULL);
	(void)close(listening);
}

static void
print_ratio(const char *what, uint64_t ours, uint64_t baseline)
{
	(void)printf("%s: loops %" G_GUINT64_FORMAT
		     " us, plain sockets %" G_GUINT64_FORMAT
		     " us, ratio %.2f\n",
	    what, ours, baseline, (double)ours / (double)baseline);
}

int
main(void)
{
	GArray *ours = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *baseline = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t us;

	(void)run_frames(WARM_UP, 1, ours);
	g_array_set_size(ours, 0);
	run_raw(baseline);
	(void)run_frames(ROUNDS, 1, ours);
	print_ratio("round trip p50", raw_quantile(ours, 0.5),
	    raw_quantile(baseline, 0.5));
	print_ratio("round trip p99", raw_quantile(ours, 0.99),
	    raw_quantile(baseline, 0.99));
	us = run_frames(WINDOW_FRAMES, WINDOW, ours);
	(void)printf("%d frames in flight: %.0f frames/s in each direction\n",
	    WINDOW, WINDOW_FRAMES * US_PER_SECOND / (double)us);
	g_array_unref(ours);
	g_array_unref(baseline);
	return 0;
}
