/*
 * Tests of framed connections with misbehaving peers.
 */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn_side.h"

#define IDLE_MS 120
#define PAUSE_US 1300000

/* How a bad peer ends its connection. */
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

START_TEST(bad_peer_is_closed_with_a_status)
{
	int fd = side_raw();

	RUN_UNTIL(loop, served.c != NULL);
	support_send(fd, bad_peers[_i].bytes, bad_peers[_i].len);
	if (bad_peers[_i].ending == END_HALF)
		(void)shutdown(fd, SHUT_WR);
	if (bad_peers[_i].ending == END_RESET)
		support_reset(fd);
	RUN_UNTIL(loop, served.closed != STATUS_NONE);
	ck_assert_int_eq(served.closed, bad_peers[_i].want);
	ck_assert_int_eq(served.frames, bad_peers[_i].frames);
	RUN_UNTIL(loop, listener_conns(lst) == 0);
	if (bad_peers[_i].ending != END_RESET)
		(void)close(fd);
}
END_TEST

static void
random_peer(GRand *rand)
{
	uint8_t junk[256];
	size_t i, len = (size_t)g_rand_int_range(rand, 1, sizeof(junk));
	int fd = side_raw();

	for (i = 0; i < len; i++)
		junk[i] = (uint8_t)g_rand_int_range(
		    rand, 0, g_rand_boolean(rand) ? 4 : 256);
	served.closed = STATUS_NONE;
	served.c = NULL;
	RUN_UNTIL(loop, served.c != NULL);
	support_send(fd, junk, len);
	(void)close(fd);
	RUN_UNTIL(loop, served.closed != STATUS_NONE);
}

START_TEST(random_bytes_do_not_disturb_a_neighbour)
{
	struct side neighbour, *first = &neighbour;
	GRand *rand = g_rand_new_with_seed(20251202);
	int i;

	side_init(&neighbour);
	neighbour.echo = 1;
	side_dial(NULL);
	RUN_UNTIL(loop, served.c != NULL);
	first->c = served.c;
	conn_set_arg(first->c, first);
	for (i = 0; i < 200; i++) {
		random_peer(rand);
		ck_assert_int_eq(
		    conn_send_frame(client.c, 1, NULL, 0), STATUS_OK);
		RUN_UNTIL(loop, client.frames == i + 1);
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

	side_listen(o, 0);
	fd = side_raw();
	RUN_UNTIL(loop, served.c != NULL);
	for (i = 0; i < 6; i++) {
		support_run_for(loop, IDLE_MS / 3);
		support_send(fd, "\0\0\0\1\1", 5);
	}
	RUN_UNTIL(loop, served.frames == 6);
	ck_assert_int_eq(served.closed, STATUS_NONE);
	ck_assert_uint_ge(
	    conn_last_received_ms(served.c) + IDLE_MS, loop_now_ms(loop));
	RUN_UNTIL(loop, served.closed != STATUS_NONE);
	ck_assert_int_eq(served.closed, STATUS_TIMEOUT);
	(void)close(fd);
}
END_TEST

START_TEST(peer_that_reads_nothing_is_closed)
{
	int fd = side_raw();

	RUN_UNTIL(loop, served.c != NULL);
	while (served.closed == STATUS_NONE) {
		(void)side_fill(served.c, FRAME_MAX - 1);
		loop_run_once(loop, clock_now_ms() + STALL_MS);
	}
	ck_assert_int_eq(served.closed, STATUS_TIMEOUT);
	(void)close(fd);
}
END_TEST

/* The peer sends a frame and resets after this turn has polled its socket. */
static void
answer_and_reset(void *arg)
{
	int *fd = arg;

	support_send(*fd, "\0\0\0\1\1", 5);
	support_reset(*fd);
	ck_assert_int_eq(conn_send_frame(served.c, 1, NULL, 0), STATUS_OK);
}

START_TEST(frames_sent_before_a_reset_are_read)
{
	struct loop_timer t;
	int fd = side_raw();

	RUN_UNTIL(loop, served.c != NULL);
	loop_timer_init(&t, loop, answer_and_reset, &fd);
	loop_timer_set(&t, 0);
	RUN_UNTIL(loop, served.closed != STATUS_NONE);
	ck_assert_int_eq(served.frames, 1);
}
END_TEST

/* Guards against frames that are acted on for a turn although the peer that
 * sent them has ended. */
START_TEST(end_is_seen_in_the_turn_of_the_frames_before_it)
{
	int fd = side_raw();

	RUN_UNTIL(loop, served.c != NULL);
	support_send(fd, "\0\0\0\2\1a", 6);
	(void)close(fd);
	RUN_UNTIL(loop, served.frames == 1);
	ck_assert_int_eq(served.closed, STATUS_UNAVAILABLE);
}
END_TEST

START_TEST(pause_of_this_process_does_not_time_out_the_peer)
{
	int fd = side_raw();

	RUN_UNTIL(loop, served.c != NULL);
	support_send(fd, "\0\0\0\3\1", 5);
	support_run_for(loop, STALL_MS / 4);
	support_send(fd, "a", 1);
	(void)usleep(PAUSE_US);
	loop_run_once(loop, 0);
	ck_assert_int_eq(served.closed, STATUS_NONE);
	support_send(fd, "b", 1);
	RUN_UNTIL(loop, served.frames == 1);
	ck_assert_int_eq(memcmp(served.bytes->data, "ab", 2), 0);
	(void)close(fd);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("conn_peers");

	tcase_add_checked_fixture(tc, side_setup, side_teardown);
	tcase_add_loop_test(
	    tc, bad_peer_is_closed_with_a_status, 0, G_N_ELEMENTS(bad_peers));
	tcase_add_test(tc, random_bytes_do_not_disturb_a_neighbour);
	tcase_add_test(tc, idle_connection_is_closed_and_a_busy_one_is_not);
	tcase_add_test(tc, peer_that_reads_nothing_is_closed);
	tcase_add_test(tc, frames_sent_before_a_reset_are_read);
	tcase_add_test(tc, end_is_seen_in_the_turn_of_the_frames_before_it);
	tcase_add_test(tc, pause_of_this_process_does_not_time_out_the_peer);
	return support_run("conn_peers", tc);
}
