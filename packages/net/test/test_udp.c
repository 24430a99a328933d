/*
 * Tests of UDP sockets.
 */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "net/udp.h"
#include "support.h"

static struct loop *loop;
static struct udp *a, *b;
static int count;
static uint8_t last_type;
static size_t last_len;
static struct net_addr last_from;
static struct metric sent = {"t_sent", "Sent.", METRIC_COUNTER, NULL, 0, {0}};
static struct metric received = {
    "t_received", "Received.", METRIC_COUNTER, NULL, 0, {0}};
static struct metric dropped = {
    "t_dropped", "Dropped.", METRIC_COUNTER, NULL, 0, {0}};

static void
on_datagram(struct net_addr from, uint8_t type, const uint8_t *body, size_t len,
    void *arg)
{
	(void)body;
	(void)arg;
	count++;
	last_type = type;
	last_len = len;
	last_from = from;
}

static void
setup(void)
{
	struct udp_options o = {on_datagram, NULL, &sent, &received, &dropped};
	struct net_addr at = {LOOPBACK, 0};

	loop = loop_new();
	ck_assert_int_eq(udp_new(loop, at, &o, &a), STATUS_OK);
	ck_assert_int_eq(udp_new(loop, at, &o, &b), STATUS_OK);
}

static void
teardown(void)
{
	udp_free(a);
	udp_free(b);
	loop_free(loop);
}

START_TEST(datagrams_up_to_the_limit_arrive)
{
	static const size_t sizes[] = {0, 1, UDP_MAX_BYTES - 1};
	uint8_t body[UDP_MAX_BYTES] = {0};

	ck_assert_int_eq(
	    udp_send(a, udp_addr(b), 7, body, sizes[_i]), STATUS_OK);
	RUN_UNTIL(loop, count > 0);
	ck_assert_int_eq(last_type, 7);
	ck_assert_uint_eq(last_len, sizes[_i]);
	ck_assert_uint_eq(last_from.port, udp_addr(a).port);
	ck_assert_int_eq(sent.value, (int64_t)sizes[_i] + 1);
	ck_assert_int_eq(received.value, (int64_t)sizes[_i] + 1);
	ck_assert_int_eq(
	    udp_send(a, udp_addr(b), 7, body, sizeof(body)), STATUS_TOO_LARGE);
}
END_TEST

START_TEST(empty_and_large_datagrams_are_dropped)
{
	static const size_t sizes[] = {0, UDP_MAX_BYTES + 1, 9000};
	uint8_t body[9000] = {0};
	struct net_addr to = udp_addr(b);
	struct sockaddr_in sin = {0};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(to.ip);
	sin.sin_port = htons(to.port);
	ck_assert_int_eq(sendto(fd, body, sizes[_i], 0, (struct sockaddr *)&sin,
			     sizeof(sin)),
	    (ssize_t)sizes[_i]);
	RUN_UNTIL(loop, dropped.value > 0);
	ck_assert_int_eq(count, 0);
	(void)close(fd);
}
END_TEST

/* Errors reported for an unreachable port must not break the socket. */
START_TEST(unreachable_peer_does_not_stop_the_socket)
{
	struct net_addr gone = udp_addr(b);
	int i;

	udp_free(b);
	b = NULL;
	for (i = 0; i < 3; i++) {
		(void)udp_send(a, gone, 1, NULL, 0);
		loop_run_once(loop, 0);
	}
	ck_assert_int_eq(udp_send(a, udp_addr(a), 2, NULL, 0), STATUS_OK);
	RUN_UNTIL(loop, count > 0);
	ck_assert_int_eq(last_type, 2);
}
END_TEST

START_TEST(address_of_another_machine_is_an_error)
{
	struct udp_options o = {on_datagram, NULL, NULL, NULL, NULL};
	struct net_addr at = {0x01020304U, 5};
	struct udp *u;

	ck_assert_int_eq(udp_new(loop, at, &o, &u), STATUS_IO);
	ck_assert_ptr_null(u);
	ck_assert_ptr_nonnull(strstr(status_message(), "1.2.3.4:5"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("udp");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, datagrams_up_to_the_limit_arrive, 0, 3);
	tcase_add_loop_test(tc, empty_and_large_datagrams_are_dropped, 0, 3);
	tcase_add_test(tc, unreachable_peer_does_not_stop_the_socket);
	tcase_add_test(tc, address_of_another_machine_is_an_error);
	return support_run("udp", tc);
}
