/*
 * Tests of callers that leave before their answer: what their calls do at the
 * entry, at the guard and at the upstream.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/http_server.h"
#include "node/snapshot_ref.h"

#include "fixture.h"
#include "sock.h"

#define LEAVE_AFTER_MS 100
#define SETTLE_MS 300
/* Callers of each kind of connection. */
#define CALLERS 20
#define MANY_CALLERS 1000
#define UPLOAD_BYTES (32U << 20)
#define PART_BYTES (1U << 20)
/* Windows after which a guard knows all idempotency keys. */
#define WINDOW_MS 1000
#define SUSPICION_MS 100
#define SETTLED_MS (WINDOW_MS + 3 * SUSPICION_MS)
/* Well below the time limit of a connection to an upstream. */
#define END_MS 1000
#define FILLERS 4
/* Above all descriptors that a test has. */
#define FDS_MAX 4096
/* Longer than test_wait_int() waits. */
#define PATIENCE_MS 20000

/* Node 0 takes the calls, node 1 has the upstream. */
static struct fake_upstream *upstream;
static struct test_node *nodes[2];

static void
set_short_windows(struct settings *s)
{
	s->fate_window_ms = WINDOW_MS;
	s->suspicion_ms = SUSPICION_MS;
}

/* With set_patient(), no request ends by its time, no connection since it is
 * idle, and no node is suspected, while test_wait_int() waits. */
static const char patient[] =
    "{\"format\":1,\"name\":\"b\",\"services\":[{\"name\":\"search\","
    "\"timeout_ms\":20000,\"limits\":{\"slots_per_endpoint\":64}}],"
    "\"routes\":[{\"prefix\":\"/look\",\"service\":\"search\","
    "\"methods\":[\"GET\"],\"idempotent\":true},"
    "{\"prefix\":\"/book\",\"service\":\"search\","
    "\"methods\":[\"POST\"]}]}";

static int
running(void *arg)
{
	(void)arg;
	return upstream->running;
}

/* @json is the bundle in force; NULL for that of test_snapshot(). */
static void
start_with(void (*tweak)(struct settings *), const char *json)
{
	struct fake_endpoint ep = {.host = "h2"};
	struct reply r;

	upstream = fake_upstream_start();
	nodes[0] = test_node_start("h1", tweak);
	nodes[1] = test_node_start("h2", tweak);
	test_node_upstream(nodes[1], upstream->port, SERVING_READY);
	ep.port = guard_addr(nodes[1]->guard).port;
	if (json != NULL)
		test_snapshot_of(json, &ep, 1);
	else
		test_snapshot(&ep, 1);
	entry_snapshot_changed(nodes[0]->entry);
	/* The entry's connection to the guard is open from here on. */
	ck_assert(caller_call(callers_port(nodes[0]->callers), "GET", "/look/x",
	    NULL, NULL, 0, &r));
	ck_assert_int_eq(r.status, 200);
	reply_clear(&r);
	ck_assert(test_wait_int(running, NULL, 0));
}

static void
start(void)
{
	start_with(set_short_windows, NULL);
}

static void
set_patient(struct settings *s)
{
	s->keep_alive_ms = PATIENCE_MS;
	s->suspicion_ms = PATIENCE_MS;
}

static void
start_patient(void)
{
	start_with(set_patient, patient);
}

/* Also waits until the guard knows all idempotency keys. */
static void
start_settled(void)
{
	start();
	g_usleep(SETTLED_MS * G_TIME_SPAN_MILLISECOND);
}

static void
stop(void)
{
	test_node_stop(nodes[0]);
	test_node_stop(nodes[1]);
	fake_upstream_stop(upstream);
	snapshot_ref_publish(NULL);
}

static int
dial(void)
{
	int fd = caller_connect(callers_port(nodes[0]->callers));

	ck_assert_int_ge(fd, 0);
	return fd;
}

static void
sleep_ms(uint32_t ms)
{
	g_usleep(ms * G_TIME_SPAN_MILLISECOND);
}

/* Whether a traffic thread stands still, and until when. */
static _Atomic bool stands, resumed;

static int
is_still(void *arg)
{
	(void)arg;
	return stands;
}

static void
pause_loop(void *arg)
{
	(void)arg;
	stands = true;
	while (!resumed)
		sleep_ms(1);
}

/* Pauses the traffic thread of a node, and returns once it stands still. */
static void
pause_node(struct test_node *n)
{
	stands = false;
	resumed = false;
	loop_post(traffic_thread_loop(n->traffic), pause_loop, NULL);
	ck_assert(test_wait_int(is_still, NULL, true));
}

/* Requests that have reached the upstream. */
static int
arrived(void *arg)
{
	(void)arg;
	return (int)fake_upstream_arrivals(upstream, 0, UINT64_MAX);
}

static int
in_flight(void *arg)
{
	(void)arg;
	return (int)callers_in_flight(nodes[0]->callers);
}

static void
leave(int fd, bool reset)
{
	struct linger hard = {.l_onoff = 1};

	if (reset)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(fd);
}

/* Calls once, so that the connection is accepted and kept alive. */
static int
dial_kept_alive(void)
{
	struct reply r;
	int fd = dial();

	ck_assert(caller_send(fd, "GET", "/look/x", NULL, NULL, 0));
	ck_assert(caller_read(fd, &r));
	reply_clear(&r);
	return fd;
}

/* Runs of a caller's request of method @method while node @paused stands
 * still; all callers leave meanwhile. */
static int
runs_while_paused(int paused, const char *method, const char *path, bool reset)
{
	int fds[2 * CALLERS];
	const char *body = strcmp(method, "GET") == 0 ? NULL : "seat";
	size_t i, len = body != NULL ? strlen(body) : 0;
	int before;

	for (i = 0; i < CALLERS; i++)
		fds[i] = dial_kept_alive();
	before = arrived(NULL);
	pause_node(nodes[paused]);
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		if (i >= CALLERS)
			fds[i] = dial();
		ck_assert(caller_send(fds[i], method, path, NULL, body, len));
	}
	if (paused == 1)
		ck_assert(test_wait_int(in_flight, NULL, G_N_ELEMENTS(fds)));
	sleep_ms(LEAVE_AFTER_MS);
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		leave(fds[i], reset);
	if (paused == 1) {
		ck_assert(test_wait_int(in_flight, NULL, 0));
		test_node_wait(nodes[0]);
	}
	resumed = true;
	test_node_wait(nodes[paused]);
	sleep_ms(SETTLE_MS);
	return arrived(NULL) - before;
}

/* Guards against requests that reach an upstream although their callers had
 * closed the connection before the node read them. */
START_TEST(unread_requests_of_callers_that_left_are_not_sent)
{
	start_patient();
	ck_assert_int_eq(
	    runs_while_paused(0, "GET", "/look/x?ms=20", false), 0);
	ck_assert_int_eq(runs_while_paused(0, "GET", "/look/x?ms=20", true), 0);
	ck_assert_int_eq(
	    runs_while_paused(0, "POST", "/book/x?ms=20", false), 0);
	stop();
}
END_TEST

/* Guards against a guard that acts on a request before it reads the cancel
 * that arrived with it. */
START_TEST(a_request_that_arrives_with_its_cancel_is_not_sent)
{
	start_patient();
	ck_assert_int_eq(
	    runs_while_paused(1, "GET", "/look/x?ms=20", false), 0);
	ck_assert_int_eq(
	    runs_while_paused(1, "POST", "/book/x?ms=20", false), 0);
	stop();
}
END_TEST

/* Of pipelined requests of a caller that leaves while the first is held,
 * @begun have begun, and no more begin. */
static void
expect_pipelined(const char *method, const char *path, int begun)
{
	const char *body = strcmp(method, "GET") == 0 ? NULL : "seat";
	int before = arrived(NULL), fd, i;

	fd = dial();
	for (i = 0; i < CALLERS; i++)
		ck_assert(caller_send(fd, method, path, NULL, body,
		    body != NULL ? strlen(body) : 0));
	ck_assert(test_wait_int(arrived, NULL, before + begun));
	sleep_ms(LEAVE_AFTER_MS);
	(void)shutdown(fd, SHUT_WR);
	ck_assert(test_wait_int(in_flight, NULL, 0));
	sleep_ms(SETTLE_MS);
	close(fd);
	sleep_ms(SETTLE_MS);
	ck_assert_int_eq(arrived(NULL), before + begun);
}

/* Guards against pipelined requests that are served although their caller has
 * closed the connection.  Only those that had begun beside the first run. */
START_TEST(pipelined_requests_of_a_caller_that_left_are_not_sent)
{
	start_patient();
	expect_pipelined("GET", "/look/x?do=hold", HTTP_SERVER_OVERLAP_MAX);
	expect_pipelined("POST", "/book/x?do=hold", 1);
	stop();
}
END_TEST

static int
guarded(void *arg)
{
	(void)arg;
	return (int)guard_in_flight(nodes[1]->guard);
}

static int
abandoned(void *arg)
{
	(void)arg;
	return upstream->abandoned;
}

/* Applies @fn to each socket of this process whose port at its own end (@local)
 * or at the other end is that of @at. */
static void
for_each_socket(struct net_addr at, bool local, void (*fn)(int fd))
{
	struct sockaddr_in sin = {0};
	socklen_t len;
	int fd, result;

	for (fd = 0; fd < FDS_MAX; fd++) {
		len = sizeof(sin);
		result = local ? getsockname(fd, (struct sockaddr *)&sin, &len)
			       : getpeername(fd, (struct sockaddr *)&sin, &len);
		if (result == 0 && sin.sin_family == AF_INET &&
		    ntohs(sin.sin_port) == at.port)
			fn(fd);
	}
}

static bool
is_listening(int fd)
{
	int on = 0;
	socklen_t len = sizeof(on);

	return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &on, &len) == 0 &&
	    on != 0;
}

static void
drop_handshakes(int fd)
{
	if (is_listening(fd))
		sock_drop_new_conns(fd);
}

static void
accept_handshakes(int fd)
{
	int unused = 0;

	if (is_listening(fd))
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

static void
break_off(int fd)
{
	(void)shutdown(fd, SHUT_RDWR);
}

/* Guards against a departure that doesn't reach the guard, since the caller
 * left while the guard was out of reach: its slot stayed taken until the
 * deadline. */
START_TEST(a_departure_reaches_a_guard_that_comes_back)
{
	struct net_addr guard;
	int fds[CALLERS], i;

	start_patient();
	guard = guard_addr(nodes[1]->guard);
	for (i = 0; i < CALLERS; i++) {
		fds[i] = dial();
		ck_assert(caller_send(
		    fds[i], "POST", "/book/x?do=hold", NULL, "seat", 4));
	}
	ck_assert(test_wait_int(running, NULL, CALLERS));
	for_each_socket(guard, true, drop_handshakes);
	for_each_socket(guard, false, break_off);
	sleep_ms(LEAVE_AFTER_MS);
	for (i = 0; i < CALLERS; i++)
		leave(fds[i], false);
	ck_assert(test_wait_int(in_flight, NULL, 0));
	ck_assert_int_gt(guarded(NULL), 0);
	for_each_socket(guard, true, accept_handshakes);
	ck_assert(test_wait_int(guarded, NULL, 0));
	ck_assert(test_wait_int(abandoned, NULL, CALLERS));
	stop();
}
END_TEST

/* Guards against a booking that occupies a slot and its upstream after its
 * caller has left. */
START_TEST(a_booking_under_way_ends_with_its_caller)
{
	int fd;

	start_patient();
	fd = dial();
	ck_assert(caller_send(fd, "POST", "/book/x?do=hold", NULL, "seat", 4));
	ck_assert(test_wait_int(running, NULL, 1));
	leave(fd, false);
	ck_assert(test_wait_int(abandoned, NULL, 1));
	ck_assert_int_eq(upstream->running, 1);
	ck_assert(test_wait_int(guarded, NULL, 0));
	stop();
}
END_TEST

/* Guards against a booking with a key that is broken off, so that a repetition
 * of the key can't have its outcome. */
START_TEST(a_keyed_booking_outlives_its_caller)
{
	static const char headers[] =
	    "X-Test-Id: keyed\r\nIdempotency-Key: seat-7\r\n";
	struct reply r;
	int fd;

	start_settled();
	fd = dial();
	ck_assert(
	    caller_send(fd, "POST", "/book/x?ms=500", headers, "seat", 4));
	ck_assert(test_wait_int(running, NULL, 1));
	leave(fd, false);
	ck_assert(caller_call(callers_port(nodes[0]->callers), "POST",
	    "/book/x?ms=500", headers, "seat", 4, &r));
	ck_assert_int_eq(r.status, 200);
	ck_assert_int_eq(fake_upstream_runs(upstream, "keyed"), 1);
	ck_assert_int_eq(upstream->abandoned, 0);
	reply_clear(&r);
	stop();
}
END_TEST

static void
set_one_slot(void)
{
	struct guard_endpoint ep = {.service = "search",
	    .instance = "",
	    .port = upstream->port,
	    .slots = 1,
	    .state = SERVING_READY,
	    .limits = {.slots_per_endpoint = 1,
		.queue_per_endpoint = 64,
		.queue_wait_ms = 3000,
		.request_max_bytes = UINT64_C(1) << 31}};

	guard_set_endpoints(nodes[1]->guard, &ep, 1);
}

/* Guards against a follower of a keyed booking that leaves and takes the
 * booking of the other caller with it. */
START_TEST(a_repetition_that_leaves_does_not_end_the_first_request)
{
	static const char headers[] =
	    "X-Test-Id: first\r\nIdempotency-Key: seat-8\r\n";
	struct reply r;
	int running_fd, first, second;

	start_settled();
	set_one_slot();
	running_fd = dial();
	ck_assert(
	    caller_send(running_fd, "GET", "/look/x?ms=800", NULL, NULL, 0));
	ck_assert(test_wait_int(running, NULL, 1));
	first = dial();
	ck_assert(
	    caller_send(first, "POST", "/book/x?ms=20", headers, "seat", 4));
	sleep_ms(LEAVE_AFTER_MS);
	second = dial();
	ck_assert(
	    caller_send(second, "POST", "/book/x?ms=20", headers, "seat", 4));
	sleep_ms(LEAVE_AFTER_MS);
	leave(second, false);
	ck_assert(caller_read(first, &r));
	ck_assert_int_eq(r.status, 200);
	ck_assert_int_eq(fake_upstream_runs(upstream, "first"), 1);
	reply_clear(&r);
	close(first);
	close(running_fd);
	stop();
}
END_TEST

/* Sends until @most bytes are sent or the socket blocks for 300 ms. */
static size_t
send_until_blocked(int fd, size_t most)
{
	static char buf[65536];
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	size_t total = 0;
	ssize_t n = 1;

	(void)fcntl(fd, F_SETFL, O_NONBLOCK);
	while (n > 0 && total < most && poll(&p, 1, 300) == 1) {
		n = send(fd, buf, sizeof(buf), MSG_NOSIGNAL);
		total += n > 0 ? (size_t)n : 0;
	}
	return total;
}

static int
begin_upload(void)
{
	int fd = dial();

	ck_assert(caller_send(fd, "PUT", "/up/x?do=deaf",
	    "Content-Length: 1000000000\r\nBramley-Deadline-Ms: 20000\r\n",
	    NULL, 0));
	return fd;
}

/* Guards against an upload whose caller isn't watched while the upstream reads
 * nothing, and against an upstream that sees its end only behind the bytes that
 * it hasn't read. */
START_TEST(an_unread_upload_ends_with_its_caller)
{
	int fd;

	start();
	fd = begin_upload();
	ck_assert_uint_lt(send_until_blocked(fd, UPLOAD_BYTES), UPLOAD_BYTES);
	ck_assert_int_ne(guarded(NULL), 0);
	leave(fd, true);
	ck_assert(test_wait_int(guarded, NULL, 0));
	ck_assert(test_wait_int(abandoned, NULL, 1));
	/* An orderly end arrives only behind the bytes sent before it, so these
	 * have to fit into the buffers. */
	fd = begin_upload();
	ck_assert_uint_ge(send_until_blocked(fd, PART_BYTES), PART_BYTES);
	sleep_ms(LEAVE_AFTER_MS);
	ck_assert_int_ne(guarded(NULL), 0);
	leave(fd, false);
	ck_assert(test_wait_int(guarded, NULL, 0));
	ck_assert(test_wait_int(abandoned, NULL, 2));
	stop();
}
END_TEST

/* Guards against a queued booking that starts after its entry has ended, and
 * with it its caller's connection. */
START_TEST(a_queued_booking_ends_with_its_entry)
{
	int first, second;

	start();
	set_one_slot();
	first = dial();
	ck_assert(caller_send(first, "GET", "/look/x?ms=800",
	    "Bramley-Deadline-Ms: 3000\r\n", NULL, 0));
	ck_assert(test_wait_int(running, NULL, 1));
	second = dial();
	ck_assert(caller_send(second, "POST", "/book/x?ms=20",
	    "X-Test-Id: queued\r\nBramley-Deadline-Ms: 3000\r\n", "seat", 4));
	sleep_ms(LEAVE_AFTER_MS);
	test_node_stop(nodes[0]);
	ck_assert(test_wait_int(guarded, NULL, 0));
	sleep_ms(SETTLE_MS);
	ck_assert_int_eq(fake_upstream_runs(upstream, "queued"), 0);
	nodes[0] = test_node_start("h1", NULL);
	close(first);
	close(second);
	stop();
}
END_TEST

/* A listening port whose queue is full, so that connections to it stay
 * unestablished. */
struct full_port {
	int fd;
	int fillers[FILLERS];
	uint16_t port;
};

static void
full_port_open(struct full_port *f)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	size_t i;

	f->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(f->fd, (struct sockaddr *)&sin, len), 0);
	ck_assert_int_eq(listen(f->fd, 0), 0);
	(void)getsockname(f->fd, (struct sockaddr *)&sin, &len);
	f->port = ntohs(sin.sin_port);
	for (i = 0; i < FILLERS; i++) {
		f->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(f->fillers[i], (struct sockaddr *)&sin, len);
	}
}

static void
full_port_close(const struct full_port *f)
{
	size_t i;

	for (i = 0; i < FILLERS; i++)
		close(f->fillers[i]);
	close(f->fd);
}

/* Guards against a booking that goes on to wait for a connection to its
 * upstream after its caller has left, and is sent once that is established. */
START_TEST(a_booking_that_waits_for_its_connection_ends_with_its_caller)
{
	struct full_port full;
	uint64_t left_ms;
	int fd;

	start();
	full_port_open(&full);
	test_node_upstream(nodes[1], full.port, SERVING_READY);
	fd = dial();
	ck_assert(caller_send(fd, "POST", "/book/x",
	    "Bramley-Deadline-Ms: 10000\r\n", "seat", 4));
	sleep_ms(LEAVE_AFTER_MS);
	ck_assert_int_ne(guarded(NULL), 0);
	leave(fd, false);
	left_ms = clock_now_ms();
	ck_assert(test_wait_int(guarded, NULL, 0));
	ck_assert_uint_lt(clock_now_ms() - left_ms, END_MS);
	full_port_close(&full);
	stop();
}
END_TEST

/* Guards against a booking whose fate is reported as unknown at its deadline
 * although it was never sent. */
START_TEST(a_booking_that_was_not_sent_by_its_deadline_is_not_run)
{
	struct full_port full;
	struct reply r;

	start();
	full_port_open(&full);
	test_node_upstream(nodes[1], full.port, SERVING_READY);
	ck_assert(caller_call(callers_port(nodes[0]->callers), "POST",
	    "/book/x", "Bramley-Deadline-Ms: 400\r\n", "seat", 4, &r));
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.fate, "not_run");
	reply_clear(&r);
	full_port_close(&full);
	stop();
}
END_TEST

/* Guards against slots that stay taken as many callers leave in one moment. The
 * requests are held, so that only the departures end them. */
START_TEST(a_thousand_callers_leave_at_once)
{
	struct rlimit files = {.rlim_cur = 8192, .rlim_max = 8192};
	int fds[MANY_CALLERS];
	size_t i;

	(void)setrlimit(RLIMIT_NOFILE, &files);
	start_patient();
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = dial();
		ck_assert(caller_send(fds[i], i % 2 == 0 ? "GET" : "POST",
		    i % 2 == 0 ? "/look/x?do=hold" : "/book/x?do=hold", NULL,
		    i % 2 == 0 ? NULL : "seat", i % 2 == 0 ? 0 : 4));
	}
	ck_assert_int_ne(guarded(NULL), 0);
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		leave(fds[i], false);
	ck_assert(test_wait_int(in_flight, NULL, 0));
	ck_assert(test_wait_int(guarded, NULL, 0));
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    unread_requests_of_callers_that_left_are_not_sent,
	    a_request_that_arrives_with_its_cancel_is_not_sent,
	    pipelined_requests_of_a_caller_that_left_are_not_sent,
	    a_departure_reaches_a_guard_that_comes_back,
	    a_booking_under_way_ends_with_its_caller,
	    a_keyed_booking_outlives_its_caller,
	    a_repetition_that_leaves_does_not_end_the_first_request,
	    an_unread_upload_ends_with_its_caller,
	    a_queued_booking_ends_with_its_entry,
	    a_booking_that_waits_for_its_connection_ends_with_its_caller,
	    a_booking_that_was_not_sent_by_its_deadline_is_not_run,
	    a_thousand_callers_leave_at_once, NULL};

	return fixture_main("call departures", tests);
}
