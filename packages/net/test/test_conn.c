/*
 * Tests of framed connections and their listener.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn_side.h"

START_TEST(frames_go_both_ways)
{
	struct conn_options o = {.frame_max_bytes = 2U << 20};
	GByteArray *big = g_byte_array_new();
	guint i;

	g_byte_array_set_size(big, 1U << 20);
	for (i = 0; i < big->len; i++)
		big->data[i] = (uint8_t)(i * 7 + i / 251);
	side_listen(o, 0);
	served.echo = 1;
	side_dial(&o);
	ck_assert_int_eq(conn_send_frame(client.c, 3, NULL, 0), STATUS_OK);
	ck_assert_int_eq(
	    conn_send_frame(client.c, 200, big->data, big->len), STATUS_OK);
	RUN_UNTIL(loop, client.frames == 2);
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

START_TEST(bytes_are_counted_in_the_given_metrics)
{
	metric_set(&sent, 0);
	metric_set(&received, 0);
	served.echo = 1;
	side_dial(NULL);
	ck_assert_int_eq(
	    conn_send_frame(client.c, 1, (const uint8_t *)"abc", 3), STATUS_OK);
	RUN_UNTIL(loop, client.frames == 1);
	ck_assert_int_eq(sent.value, 8);
	ck_assert_int_eq(received.value, 8);
}
END_TEST

START_TEST(refused_dial_is_reported_asynchronously)
{
	struct net_addr at = listener_addr(lst);

	listener_free(lst);
	lst = NULL;
	client.c =
	    conn_dial(loop, at, DEADLINE_NEVER, NULL, &side_handler, &client);
	ck_assert_ptr_nonnull(client.c);
	ck_assert_int_eq(client.closed, STATUS_NONE);
	RUN_UNTIL(loop, client.closed != STATUS_NONE);
	ck_assert_int_eq(client.closed, STATUS_UNAVAILABLE);
	ck_assert_ptr_nonnull(strstr(status_message(), "refused"));
}
END_TEST

START_TEST(dial_has_a_deadline)
{
	struct net_addr at = {LOOPBACK, 0};
	struct silent silent;

	support_silent_open(&silent);
	at.port = silent.port;
	client.c = conn_dial(loop, at, loop_now_ms(loop) + STALL_MS, NULL,
	    &side_handler, &client);
	ck_assert_int_eq(conn_send_frame(client.c, 1, NULL, 0), STATUS_OK);
	RUN_UNTIL(loop, client.closed != STATUS_NONE);
	ck_assert_int_eq(client.closed, STATUS_TIMEOUT);
	support_silent_close(&silent);
}
END_TEST

START_TEST(output_is_bounded_and_resumes_after_draining)
{
	struct conn_options o = {.output_max_bytes = 64U << 10};
	int n = 0, rounds;

	side_listen(o, 0);
	side_dial(&o);
	RUN_UNTIL(loop, served.c != NULL);
	for (rounds = 0; rounds < 40; rounds++) {
		n += side_fill(client.c, 1000);
		ck_assert_uint_le(
		    conn_output_bytes(client.c), CONN_FRAME_MAX_BYTES + 4);
		RUN_UNTIL(loop, client.writable > rounds);
	}
	RUN_UNTIL(loop, served.frames == n);
	ck_assert_uint_eq(served.bytes->len, (guint)n * 1000);
}
END_TEST

/* Guards against a cancel that is lost since the output was full. */
START_TEST(control_frame_is_sent_though_the_output_is_full)
{
	struct conn_options o = {.output_max_bytes = 64U << 10};
	const uint8_t body = 'c';
	int n;

	side_listen(o, 0);
	side_dial(&o);
	RUN_UNTIL(loop, served.c != NULL);
	n = side_fill(client.c, 1000);
	conn_send_control(client.c, 7, &body, 1);
	RUN_UNTIL(loop, served.frames == n + 1);
	ck_assert_uint_eq(served.type, 7);
}
END_TEST

START_TEST(closing_within_a_frame_ends_the_callbacks)
{
	int fd = side_raw();

	served.close_on_frame = 1;
	RUN_UNTIL(loop, served.c != NULL);
	support_send(fd, "\0\0\0\1\1\0\0\0\1\1", 10);
	RUN_UNTIL(loop, served.frames > 0);
	support_run_for(loop, 5);
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

	side_listen(o, 1);
	a = side_raw();
	RUN_UNTIL(loop, served.c != NULL);
	b = side_raw();
	RUN_UNTIL(loop, listener_refused(lst) == 1);
	ck_assert_int_eq(recv(b, &byte, 1, 0), 0);
	support_send(a, "\0\0\0\1\1", 5);
	RUN_UNTIL(loop, served.frames == 1);
	(void)close(a);
	RUN_UNTIL(loop, served.closed != STATUS_NONE);
	(void)close(b);
	b = side_raw();
	RUN_UNTIL(loop, served.c != NULL);
	(void)close(b);
}
END_TEST

/* Guards against connections that never send a frame and keep peers out. */
START_TEST(a_silent_connection_makes_room_for_a_newcomer)
{
	struct conn_options o = {0};
	int a, b;
	char byte;

	side_listen(o, 1);
	a = side_raw();
	RUN_UNTIL(loop, served.c != NULL);
	support_run_for(loop, 600);
	b = side_raw();
	RUN_UNTIL(loop, served.closed == STATUS_OVERLOADED);
	ck_assert_int_eq(recv(a, &byte, 1, 0), 0);
	support_send(b, "\0\0\0\1\1", 5);
	RUN_UNTIL(loop, served.frames == 1);
	ck_assert_uint_eq(listener_refused(lst), 0);
	(void)close(a);
	(void)close(b);
}
END_TEST

/* The output is filled while nothing is read, which may take longer than
 * STALL_MS: the default applies. */
START_TEST(finish_delivers_all_output)
{
	struct conn_options o = {.frame_max_bytes = FRAME_MAX};
	size_t got = 0, want;
	uint8_t buf[65536];
	ssize_t n;
	int fd;

	side_listen(o, 0);
	fd = side_raw();
	RUN_UNTIL(loop, served.c != NULL);
	want = (size_t)side_fill(served.c, FRAME_MAX - 1) * (FRAME_MAX + 4);
	conn_finish(served.c);
	served.c = NULL;
	do {
		loop_run_once(loop, clock_now_ms() + 1);
		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			got += (size_t)n;
		ck_assert(n == 0 || errno == EAGAIN);
	} while (n != 0);
	ck_assert_uint_eq(got, want);
	(void)close(fd);
	RUN_UNTIL(loop, listener_conns(lst) == 0);
	ck_assert_int_eq(served.closed, STATUS_NONE);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("conn");

	tcase_add_checked_fixture(tc, side_setup, side_teardown);
	tcase_add_test(tc, frames_go_both_ways);
	tcase_add_test(tc, bytes_are_counted_in_the_given_metrics);
	tcase_add_test(tc, refused_dial_is_reported_asynchronously);
	tcase_add_test(tc, dial_has_a_deadline);
	tcase_add_test(tc, output_is_bounded_and_resumes_after_draining);
	tcase_add_test(tc, control_frame_is_sent_though_the_output_is_full);
	tcase_add_test(tc, closing_within_a_frame_ends_the_callbacks);
	tcase_add_test(tc, newest_connection_above_the_bound_is_closed);
	tcase_add_test(tc, a_silent_connection_makes_room_for_a_newcomer);
	tcase_add_test(tc, finish_delivers_all_output);
	return support_run("conn", tc);
}
