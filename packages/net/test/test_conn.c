/*
 * Tests of framed connections and their listener, against raw sockets that
 * misbehave and against each other.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "net/conn.h"
#include "net/listener.h"
#include "proto/frame.h"

#define STALL_MS 60
#define IDLE_MS 120
#define FRAME_MAX 4096
#define WAIT_MS 5000
#define PAUSE_US 1300000
#define LOOPBACK 0x7f000001U
#define STATUS_NONE (-1)

/* What one side has been told. */
struct side {
	struct conn *c;
	int opened;
	int frames;
	int writable;
	int closed;
	int close_on_frame;
	int echo;
	uint8_t type;
	GByteArray *bytes;
};

static struct loop *loop;
static struct listener *lst;
static struct side served, client;
static struct metric sent = {"t_sent", "Sent.", METRIC_COUNTER, NULL, 0, {0}};
static struct metric received = {
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

static const struct conn_handler side_handler = {
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

static void
side_init(struct side *s)
{
	memset(s, 0, sizeof(*s));
	s->closed = STATUS_NONE;
	s->bytes = g_byte_array_new();
}

static void
side_clear(struct side *s)
{
	if (s->c != NULL)
		conn_close(s->c);
	g_byte_array_unref(s->bytes);
}

static void
listen_with(struct conn_options conn, uint32_t conns_max)
{
	struct net_addr at = {LOOPBACK, 0};
	struct listener_options o = {
	    conn, conns_max, &side_handler, on_accept, &served};

	listener_free(lst);
	ck_assert_int_eq(listener_new(loop, at, &o, &lst), STATUS_OK);
}

static void
setup(void)
{
	struct conn_options o = {.frame_max_bytes = FRAME_MAX,
	    .stall_ms = STALL_MS,
	    .sent_bytes = &sent,
	    .received_bytes = &received};

	loop = loop_new();
	side_init(&served);
	side_init(&client);
	listen_with(o, 0);
}

static void
teardown(void)
{
	side_clear(&served);
	side_clear(&client);
	listener_free(lst);
	loop_free(loop);
	lst = NULL;
}

/* Run turns until @cond holds; fails when it does not within WAIT_MS. */
#define RUN_UNTIL(cond)                                            \
	do {                                                       \
		uint64_t end_ms = clock_now_ms() + WAIT_MS;        \
		while (!(cond)) {                                  \
			ck_assert_uint_lt(clock_now_ms(), end_ms); \
			loop_run_once(loop, clock_now_ms() + 1);   \
		}                                                  \
	} while (0)

static void
run_for(uint64_t ms)
{
	uint64_t end_ms = clock_now_ms() + ms;

	while (clock_now_ms() < end_ms)
		loop_run_once(loop, end_ms);
}

static void
dial(const struct conn_options *o)
{
	client.c = conn_dial(loop, listener_addr(lst),
	    loop_now_ms(loop) + WAIT_MS, o, &side_handler, &client);
}

static int
raw_connect(void)
{
	struct sockaddr_in sin = {0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(LOOPBACK);
	sin.sin_port = htons(listener_addr(lst).port);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

static void
raw_send(int fd, const void *data, size_t len)
{
	ck_assert_int_eq(send(fd, data, len, MSG_NOSIGNAL), (ssize_t)len);
}

START_TEST(frames_go_both_ways)
{
	struct conn_options o = {.frame_max_bytes = 2U << 20};
	GByteArray *big = g_byte_array_new();
	guint i;

	g_byte_array_set_size(big, 1U << 20);
	for (i = 0; i < big->len; i++)
		big->data[i] = (uint8_t)(i * 7 + i / 251);
	listen_with(o, 0);
	served.echo = 1;
	dial(&o);
	ck_assert_int_eq(conn_send_frame(client.c, 3, NULL, 0), STATUS_OK);
	ck_assert_int_eq(
	    conn_send_frame(client.c, 200, big->data, big->len), STATUS_OK);
	RUN_UNTIL(client.frames == 2);
	ck_assert_int_eq(client.opened, 1);
	ck_assert_int_eq(client.type, 200);
	ck_assert_uint_eq(client.bytes->len, big->len);
	ck_assert_int_eq(memcmp(client.bytes->data, big->data, big->len), 0);
	ck_assert_uint_eq(conn_sent_bytes(client.c), big->len + 10);
	ck_assert_uint_eq(conn_received_bytes(client.c), big->len + 10);
	ck_assert_uint_eq(conn_output_bytes(client.c), 0);
	ck_assert_uint_ne(conn_id(client.c), conn_id(served.c));
	g_byte_array_unref(big);
}
END_TEST

START_TEST(bytes_are_counted_by_purpose)
{
	metric_set(&sent, 0);
	metric_set(&received, 0);
	served.echo = 1;
	dial(NULL);
	ck_assert_int_eq(
	    conn_send_frame(client.c, 1, (const uint8_t *)"abc", 3), STATUS_OK);
	RUN_UNTIL(client.frames == 1);
	ck_assert_int_eq(sent.value, 8);
	ck_assert_int_eq(received.value, 8);
}
END_TEST

START_TEST(refused_dial_is_told_after_the_call)
{
	struct net_addr at = listener_addr(lst);

	listener_free(lst);
	lst = NULL;
	client.c =
	    conn_dial(loop, at, DEADLINE_NEVER, NULL, &side_handler, &client);
	ck_assert_ptr_nonnull(client.c);
	ck_assert_int_eq(client.closed, STATUS_NONE);
	RUN_UNTIL(client.closed != STATUS_NONE);
	ck_assert_int_eq(client.closed, STATUS_UNAVAILABLE);
	ck_assert_ptr_nonnull(strstr(status_message(), "refused"));
}
END_TEST

/* A listening socket whose queue is full answers no handshake. */
START_TEST(dial_has_a_deadline)
{
	int fds[4], i, fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	struct net_addr at = {LOOPBACK, 0};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, 0), 0);
	(void)getsockname(fd, (struct sockaddr *)&sin, &len);
	at.port = ntohs(sin.sin_port);
	for (i = 0; i < 4; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fds[i], (struct sockaddr *)&sin, sizeof(sin));
	}
	client.c = conn_dial(loop, at, loop_now_ms(loop) + STALL_MS, NULL,
	    &side_handler, &client);
	ck_assert_int_eq(conn_send_frame(client.c, 1, NULL, 0), STATUS_OK);
	RUN_UNTIL(client.closed != STATUS_NONE);
	ck_assert_int_eq(client.closed, STATUS_TIMEOUT);
	for (i = 0; i < 4; i++)
		(void)close(fds[i]);
	(void)close(fd);
}
END_TEST

/* How a bad peer ends. */
enum ending {
	END_NOTHING,
	END_HALF,
	END_RESET,
};

static const struct {
	const char *bytes;
	size_t len;
	enum ending ending;
	int frames;
	enum status want;
} bad_peers[] = {
    {"\0\0\0\0\1", 5, END_NOTHING, 0, STATUS_TOO_LARGE},
    {"\0\0\x10\x01\1", 5, END_NOTHING, 0, STATUS_TOO_LARGE},
    {"\xff\xff\xff\xff", 4, END_NOTHING, 0, STATUS_TOO_LARGE},
    {"GET / HTTP/1.1\r\n\r\n", 18, END_NOTHING, 0, STATUS_TOO_LARGE},
    {"\0\0\0\2\1a\xff\xff\xff\xff", 10, END_NOTHING, 1, STATUS_TOO_LARGE},
    {"\0", 1, END_NOTHING, 0, STATUS_TIMEOUT},
    {"\0\0\0\7\1abc", 8, END_NOTHING, 0, STATUS_TIMEOUT},
    {"\0\0\0\2\1a\0\0", 8, END_NOTHING, 1, STATUS_TIMEOUT},
    {"", 0, END_HALF, 0, STATUS_UNAVAILABLE},
    {"\0\0\0\2\1a", 6, END_HALF, 1, STATUS_UNAVAILABLE},
    {"\0\0\0\7\1abc", 8, END_HALF, 0, STATUS_UNAVAILABLE},
    {"", 0, END_RESET, 0, STATUS_UNAVAILABLE},
};

static void
raw_end(int fd, enum ending ending)
{
	struct linger hard = {1, 0};

	if (ending == END_HALF)
		(void)shutdown(fd, SHUT_WR);
	if (ending != END_RESET)
		return;
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	(void)close(fd);
}

START_TEST(bad_peer_is_closed_with_a_status)
{
	int fd = raw_connect();

	RUN_UNTIL(served.c != NULL);
	raw_send(fd, bad_peers[_i].bytes, bad_peers[_i].len);
	raw_end(fd, bad_peers[_i].ending);
	RUN_UNTIL(served.closed != STATUS_NONE);
	ck_assert_int_eq(served.closed, bad_peers[_i].want);
	ck_assert_int_eq(served.frames, bad_peers[_i].frames);
	RUN_UNTIL(listener_conns(lst) == 0);
	if (bad_peers[_i].ending != END_RESET)
		(void)close(fd);
}
END_TEST

static void
random_side(GRand *rand)
{
	uint8_t junk[256];
	size_t i, len = (size_t)g_rand_int_range(rand, 1, sizeof(junk));
	int fd = raw_connect();

	for (i = 0; i < len; i++)
		junk[i] = (uint8_t)g_rand_int_range(
		    rand, 0, g_rand_boolean(rand) ? 4 : 256);
	served.closed = STATUS_NONE;
	served.c = NULL;
	RUN_UNTIL(served.c != NULL);
	raw_send(fd, junk, len);
	(void)close(fd);
	RUN_UNTIL(served.closed != STATUS_NONE);
}

START_TEST(random_bytes_do_not_disturb_a_neighbour)
{
	struct side neighbour, *first = &neighbour;
	GRand *rand = g_rand_new_with_seed(20251202);
	int i;

	side_init(&neighbour);
	neighbour.echo = 1;
	dial(NULL);
	RUN_UNTIL(served.c != NULL);
	first->c = served.c;
	conn_set_arg(first->c, first);
	for (i = 0; i < 200; i++) {
		random_side(rand);
		ck_assert_int_eq(
		    conn_send_frame(client.c, 1, NULL, 0), STATUS_OK);
		RUN_UNTIL(client.frames == i + 1);
	}
	ck_assert_int_eq(first->closed, STATUS_NONE);
	served.c = NULL;
	side_clear(first);
	g_rand_free(rand);
}
END_TEST

START_TEST(idle_connection_is_closed_and_a_busy_one_is_not)
{
	struct conn_options o = {.idle_ms = IDLE_MS};
	int fd, i;

	listen_with(o, 0);
	fd = raw_connect();
	RUN_UNTIL(served.c != NULL);
	for (i = 0; i < 6; i++) {
		run_for(IDLE_MS / 3);
		raw_send(fd, "\0\0\0\1\1", 5);
	}
	RUN_UNTIL(served.frames == 6);
	ck_assert_int_eq(served.closed, STATUS_NONE);
	ck_assert_uint_ge(
	    conn_last_received_ms(served.c) + IDLE_MS, loop_now_ms(loop));
	RUN_UNTIL(served.closed != STATUS_NONE);
	ck_assert_int_eq(served.closed, STATUS_TIMEOUT);
	(void)close(fd);
}
END_TEST

/* Append frames of @len until the buffer is full; returns their number. */
static int
fill(struct conn *c, size_t len)
{
	uint8_t *body = g_malloc0(len);
	int n = 0;

	while (conn_send_frame(c, 1, body, len) == STATUS_OK)
		n++;
	g_free(body);
	return n;
}

START_TEST(output_is_bounded_and_goes_on_after_draining)
{
	struct conn_options o = {.output_max_bytes = 64U << 10};
	int n = 0, rounds;

	listen_with(o, 0);
	dial(&o);
	RUN_UNTIL(served.c != NULL);
	for (rounds = 0; rounds < 40; rounds++) {
		n += fill(client.c, 1000);
		ck_assert_uint_le(
		    conn_output_bytes(client.c), CONN_FRAME_MAX_BYTES + 4);
		RUN_UNTIL(client.writable > rounds);
	}
	RUN_UNTIL(served.frames == n);
	ck_assert_uint_eq(served.bytes->len, (guint)n * 1000);
}
END_TEST

START_TEST(peer_that_takes_nothing_is_closed)
{
	int fd = raw_connect();

	RUN_UNTIL(served.c != NULL);
	while (served.closed == STATUS_NONE) {
		(void)fill(served.c, FRAME_MAX - 1);
		loop_run_once(loop, clock_now_ms() + STALL_MS);
	}
	ck_assert_int_eq(served.closed, STATUS_TIMEOUT);
	(void)close(fd);
}
END_TEST

START_TEST(closing_within_a_frame_ends_the_callbacks)
{
	int fd = raw_connect();

	served.close_on_frame = 1;
	RUN_UNTIL(served.c != NULL);
	raw_send(fd, "\0\0\0\1\1\0\0\0\1\1", 10);
	RUN_UNTIL(served.frames > 0);
	run_for(5);
	ck_assert_int_eq(served.frames, 1);
	ck_assert_int_eq(served.closed, STATUS_NONE);
	ck_assert_uint_eq(listener_conns(lst), 0);
	(void)close(fd);
}
END_TEST

START_TEST(newest_connection_above_the_bound_is_closed)
{
	struct conn_options o = {0};
	int a, b;
	char byte;

	listen_with(o, 1);
	a = raw_connect();
	RUN_UNTIL(served.c != NULL);
	b = raw_connect();
	RUN_UNTIL(listener_refused(lst) == 1);
	ck_assert_int_eq(recv(b, &byte, 1, 0), 0);
	raw_send(a, "\0\0\0\1\1", 5);
	RUN_UNTIL(served.frames == 1);
	(void)close(a);
	RUN_UNTIL(served.closed != STATUS_NONE);
	(void)close(b);
	b = raw_connect();
	RUN_UNTIL(served.c != NULL);
	(void)close(b);
}
END_TEST

START_TEST(finish_delivers_all_output)
{
	size_t got = 0, want;
	uint8_t buf[65536];
	ssize_t n;
	int fd;

	fd = raw_connect();
	RUN_UNTIL(served.c != NULL);
	want = (size_t)fill(served.c, FRAME_MAX - 1) * (FRAME_MAX + 4);
	conn_finish(served.c);
	served.c = NULL;
	for (;;) {
		loop_run_once(loop, clock_now_ms() + 1);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n == 0)
			break;
		ck_assert(n > 0 || errno == EAGAIN);
		got += n > 0 ? (size_t)n : 0;
	}
	ck_assert_uint_eq(got, want);
	(void)close(fd);
	RUN_UNTIL(listener_conns(lst) == 0);
	ck_assert_int_eq(served.closed, STATUS_NONE);
}
END_TEST

/* The peer answers and resets after this turn has looked at its socket. */
static void
answer_and_reset(void *arg)
{
	int *fd = arg;

	raw_send(*fd, "\0\0\0\1\1", 5);
	raw_end(*fd, END_RESET);
	ck_assert_int_eq(conn_send_frame(served.c, 1, NULL, 0), STATUS_OK);
}

START_TEST(frames_sent_before_a_reset_are_read)
{
	struct loop_timer t;
	int fd = raw_connect();

	RUN_UNTIL(served.c != NULL);
	loop_timer_init(&t, loop, answer_and_reset, &fd);
	loop_timer_set(&t, 0);
	RUN_UNTIL(served.closed != STATUS_NONE);
	ck_assert_int_eq(served.frames, 1);
}
END_TEST

START_TEST(pause_of_this_process_is_not_held_against_the_peer)
{
	int fd = raw_connect();

	RUN_UNTIL(served.c != NULL);
	raw_send(fd, "\0\0\0\3\1", 5);
	run_for(STALL_MS / 4);
	raw_send(fd, "a", 1);
	(void)usleep(PAUSE_US);
	loop_run_once(loop, 0);
	ck_assert_int_eq(served.closed, STATUS_NONE);
	raw_send(fd, "b", 1);
	RUN_UNTIL(served.frames == 1);
	ck_assert_int_eq(memcmp(served.bytes->data, "ab", 2), 0);
	(void)close(fd);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("conn");
	TCase *tc = tcase_create("conn");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, frames_go_both_ways);
	tcase_add_test(tc, bytes_are_counted_by_purpose);
	tcase_add_test(tc, refused_dial_is_told_after_the_call);
	tcase_add_test(tc, dial_has_a_deadline);
	tcase_add_loop_test(
	    tc, bad_peer_is_closed_with_a_status, 0, G_N_ELEMENTS(bad_peers));
	tcase_add_test(tc, random_bytes_do_not_disturb_a_neighbour);
	tcase_add_test(tc, idle_connection_is_closed_and_a_busy_one_is_not);
	tcase_add_test(tc, output_is_bounded_and_goes_on_after_draining);
	tcase_add_test(tc, peer_that_takes_nothing_is_closed);
	tcase_add_test(tc, closing_within_a_frame_ends_the_callbacks);
	tcase_add_test(tc, newest_connection_above_the_bound_is_closed);
	tcase_add_test(tc, finish_delivers_all_output);
	tcase_add_test(tc, frames_sent_before_a_reset_are_read);
	tcase_add_test(tc, pause_of_this_process_is_not_held_against_the_peer);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
