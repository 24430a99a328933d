/*
 * Tests of the protocol between entry and guard: invalid frames to a guard, and
 * answers to an entry that are mismatched, duplicated, truncated or too long.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "node/snapshot_ref.h"
#include "proto/frame.h"

#include "call_link.h"
#include "fixture.h"
#include "spread/quarantine_news.h"
#include "traffic/fingerprint.h"
#include "traffic/traffic_defs.h"

#define FRAME_MAX 131072

/* More than the buffers up to an upstream that reads nothing can hold. */
#define UNREAD_BYTES (64 << 20)

static struct fake_upstream *upstream;
static struct test_node *node;

static void
start(void)
{
	upstream = fake_upstream_start();
	node = test_node_start("h1", NULL);
	test_node_upstream(node, upstream->port, SERVING_READY);
}

static void
stop(void)
{
	test_node_stop(node);
	fake_upstream_stop(upstream);
	snapshot_ref_publish(NULL);
}

/* Frames over a plain socket */

static void
send_frame(int fd, enum msg_type type, const void *msg)
{
	GByteArray *body = g_byte_array_new();
	GByteArray *out = g_byte_array_new();

	codec_encode(msg_desc(type), msg, body);
	frame_append(out, type, body->data, body->len);
	(void)send(fd, out->data, out->len, MSG_NOSIGNAL);
	g_byte_array_free(body, TRUE);
	g_byte_array_free(out, TRUE);
}

static bool
read_all(int fd, uint8_t *buf, size_t len)
{
	return len == 0 || recv(fd, buf, len, MSG_WAITALL) == (ssize_t)len;
}

/* Reads a frame; Return: its type, 0 when the connection has ended. */
static int
read_frame(int fd, uint8_t *body, size_t *len)
{
	uint8_t head[FRAME_HEADER_BYTES];
	uint32_t n;

	if (!read_all(fd, head, sizeof(head)))
		return 0;
	memcpy(&n, head, sizeof(n));
	*len = ntohl(n) - 1;
	if (*len > FRAME_MAX || !read_all(fd, body, *len))
		return 0;
	return head[FRAME_LENGTH_BYTES];
}

/* Skips frames up to one of a type; false when the connection ends first. */
static bool
wait_for_frame(int fd, enum msg_type type)
{
	static uint8_t body[FRAME_MAX];
	size_t len;
	int got;

	do {
		got = read_frame(fd, body, &len);
	} while (got != 0 && got != (int)type);
	return got != 0;
}

/* The guard */

/* Connects to the guard as an entry that answers the hello after a delay. */
static int
connect_entry_as(uint32_t delay_ms, uint8_t refusals)
{
	static uint8_t body[FRAME_MAX];
	struct msg_call_hello hello;
	struct msg_call_hello_ack ack = {
	    .proto = CALL_PROTO, .host = "raw", .refusals = refusals};
	int fd = caller_connect(guard_addr(node->guard).port);
	size_t len;

	ck_assert_int_eq(read_frame(fd, body, &len), MSG_CALL_HELLO);
	ck_assert_int_eq(msg_call_hello_decode(body, len, &hello), STATUS_OK);
	g_usleep(delay_ms * 1000);
	ack.echo = hello.sent_ms;
	ack.sent_ms = clock_now_ms();
	send_frame(fd, MSG_CALL_HELLO_ACK, &ack);
	return fd;
}

static int
connect_entry_after(uint32_t delay_ms)
{
	return connect_entry_as(delay_ms, REFUSAL_LAST);
}

static int
connect_entry_supporting(uint8_t refusals)
{
	return connect_entry_as(0, refusals);
}

static int
connect_entry(void)
{
	return connect_entry_after(0);
}

static void
open_path(int fd, uint32_t stream, int64_t body_bytes, const char *path,
    uint32_t left_ms)
{
	static uint8_t last_id;
	uint8_t request_id[16] = {++last_id};
	struct msg_call_open m = {.stream = stream,
	    .request_id = request_id,
	    .request_id_len = sizeof(request_id),
	    .service = "search",
	    .method = "POST",
	    .path = path,
	    .path_len = (uint32_t)strlen(path),
	    .time_left_ms = left_ms,
	    .sent_ms = clock_now_ms(),
	    .body_bytes = body_bytes};

	send_frame(fd, MSG_CALL_OPEN, &m);
}

static void
open_request(int fd, uint32_t stream, int64_t body_bytes)
{
	open_path(fd, stream, body_bytes, "/book/x?do=deaf", 10000);
}

static void
send_undecodable_open(int fd)
{
	static const uint8_t frame[] = {0, 0, 0, 3, MSG_CALL_OPEN, 0xc1, 0xc1};

	(void)send(fd, frame, sizeof(frame), MSG_NOSIGNAL);
}

static void
send_same_stream_twice(int fd)
{
	open_request(fd, 1, 10);
	open_request(fd, 1, 10);
}

static void
send_more_than_granted(int fd)
{
	static const uint8_t data[CALL_CHUNK_BYTES];
	struct msg_call_chunk m = {
	    .stream = 1, .data = data, .data_len = sizeof(data)};
	int i;

	open_request(fd, 1, UNREAD_BYTES);
	for (i = 0; i < UNREAD_BYTES / CALL_CHUNK_BYTES; i++)
		send_frame(fd, MSG_CALL_CHUNK, &m);
}

static void
send_more_than_declared(int fd)
{
	struct msg_call_chunk m = {
	    .stream = 1, .data = (const uint8_t *)"four", .data_len = 4};

	open_request(fd, 1, 3);
	send_frame(fd, MSG_CALL_CHUNK, &m);
}

static void
send_resolve_without_id(int fd)
{
	struct msg_call_resolve m = {.stream = 1};

	send_frame(fd, MSG_CALL_RESOLVE, &m);
}

static void (*const protocol_errors[])(int fd) = {send_undecodable_open,
    send_same_stream_twice, send_more_than_granted, send_more_than_declared,
    send_resolve_without_id};

START_TEST(protocol_error_closes_only_its_connection)
{
	struct fake_endpoint ep = {.host = "h1"};
	struct reply r;
	size_t i;
	int fd;

	start();
	ep.port = guard_addr(node->guard).port;
	test_snapshot(&ep, 1);
	for (i = 0; i < G_N_ELEMENTS(protocol_errors); i++) {
		fd = connect_entry();
		protocol_errors[i](fd);
		ck_assert_msg(!wait_for_frame(fd, MSG_NONE), "case %zu", i);
		close(fd);
		ck_assert(caller_call(callers_port(node->callers), "GET",
		    "/look/x", NULL, NULL, 0, &r));
		ck_assert_int_eq(r.status, 200);
		reply_clear(&r);
	}
	stop();
}
END_TEST

START_TEST(request_before_hello_closes_the_connection)
{
	int fd;

	start();
	fd = caller_connect(guard_addr(node->guard).port);
	open_request(fd, 1, 0);
	ck_assert(!wait_for_frame(fd, MSG_CALL_REFUSED));
	close(fd);
	stop();
}
END_TEST

/*
 * The entry answered the hello after 400 ms, so its requests may be up to 400
 * ms older than their timestamps say.  The guard uses that bound to refuse a
 * late start, but must not abort a running request by it: only the entry
 * detects that the caller has stopped waiting.
 */
START_TEST(running_request_is_not_aborted_for_uncertain_age)
{
	int fd;

	start();
	fd = connect_entry_after(400);
	open_path(fd, 1, 0, "/book/x?ms=500", 800);
	ck_assert(wait_for_frame(fd, MSG_CALL_HEAD));
	close(fd);
	stop();
}
END_TEST

/* With the same uncertainty of its age, a request with less time left isn't
 * started. */
START_TEST(possibly_expired_request_is_not_started)
{
	int fd;

	start();
	fd = connect_entry_after(400);
	open_path(fd, 1, 0, "/book/x?ms=1", 300);
	ck_assert(wait_for_frame(fd, MSG_CALL_REFUSED));
	close(fd);
	stop();
}
END_TEST

START_TEST(draining_guard_waits_for_goodbye_ack)
{
	struct msg_call_goodbye_ack ack = {0};
	int fd, i;

	start();
	fd = connect_entry();
	guard_drain(node->guard, clock_now_ms() + 5000);
	ck_assert(wait_for_frame(fd, MSG_CALL_GOODBYE));
	/* A request that was sent before the goodbye was received. */
	open_request(fd, 2, 0);
	ck_assert(wait_for_frame(fd, MSG_CALL_REFUSED));
	g_usleep(100000);
	ck_assert_uint_eq(guard_in_flight(node->guard), 1);
	send_frame(fd, MSG_CALL_GOODBYE_ACK, &ack);
	for (i = 0; i < 100 && guard_in_flight(node->guard) > 0; i++)
		g_usleep(10000);
	ck_assert_uint_eq(guard_in_flight(node->guard), 0);
	close(fd);
	stop();
}
END_TEST

/* The entry */

/**
 * struct fake_guard - a guard with invalid answers
 * @fd: listening socket
 * @answer: sends the answer to a call_open
 */
struct fake_guard {
	int fd;
	void (*answer)(int fd, const struct msg_call_open *m);
};

static void
put_head_with(int fd, const struct msg_call_open *m, int64_t body_bytes,
    uint32_t status, const struct rec_header *header)
{
	struct msg_call_head head = {.stream = m->stream,
	    .request_id = m->request_id,
	    .request_id_len = m->request_id_len,
	    .status = status,
	    .headers = (struct rec_header *)(uintptr_t)header,
	    .n_headers = header != NULL ? 1 : 0,
	    .body_bytes = body_bytes};

	send_frame(fd, MSG_CALL_HEAD, &head);
}

static void
put_head(int fd, const struct msg_call_open *m, int64_t body_bytes)
{
	put_head_with(fd, m, body_bytes, 200, NULL);
}

static void
put_chunk(int fd, const struct msg_call_open *m, const char *text, bool fin)
{
	struct msg_call_chunk chunk = {.stream = m->stream,
	    .data = (const uint8_t *)text,
	    .data_len = (uint32_t)strlen(text),
	    .fin = fin};

	send_frame(fd, MSG_CALL_CHUNK, &chunk);
}

static void
answer_other_request(int fd, const struct msg_call_open *m)
{
	uint8_t id[16] = {0};
	struct msg_call_open other = *m;

	other.request_id = id;
	put_head(fd, &other, 4);
	put_chunk(fd, m, "fake", true);
}

static void
answer_duplicate_chunk(int fd, const struct msg_call_open *m)
{
	put_head(fd, m, 4);
	put_chunk(fd, m, "fa", false);
	put_chunk(fd, m, "fa", false);
	put_chunk(fd, m, "ke", true);
}

static void
answer_short(int fd, const struct msg_call_open *m)
{
	put_head(fd, m, 9);
	put_chunk(fd, m, "fake", true);
}

static void
answer_without_head(int fd, const struct msg_call_open *m)
{
	put_chunk(fd, m, "fake", true);
}

static void
answer_two_heads(int fd, const struct msg_call_open *m)
{
	put_head(fd, m, 4);
	put_head(fd, m, 4);
	put_chunk(fd, m, "fake", true);
}

static void
answer_status_000(int fd, const struct msg_call_open *m)
{
	put_head_with(fd, m, 4, 0, NULL);
	put_chunk(fd, m, "fake", true);
}

static void
answer_status_600(int fd, const struct msg_call_open *m)
{
	put_head_with(fd, m, 4, 600, NULL);
	put_chunk(fd, m, "fake", true);
}

static void
answer_blank_in_name(int fd, const struct msg_call_open *m)
{
	const struct rec_header header = {
	    .name = "X y", .name_len = 3, .value = "z", .value_len = 1};

	put_head_with(fd, m, 4, 200, &header);
	put_chunk(fd, m, "fake", true);
}

static void
answer_line_in_value(int fd, const struct msg_call_open *m)
{
	const struct rec_header header = {
	    .name = "X", .name_len = 1, .value = "z\r\nY: z", .value_len = 7};

	put_head_with(fd, m, 4, 200, &header);
	put_chunk(fd, m, "fake", true);
}

static void
answer_with_a_field(int fd, const struct msg_call_open *m)
{
	const struct rec_header header = {
	    .name = "X-y", .name_len = 3, .value = "z z", .value_len = 3};

	put_head_with(fd, m, 4, 200, &header);
	put_chunk(fd, m, "good", true);
}

/* Frames of a stream that has ended or was never opened are ignored. */
static void
answer_after_unknown_streams(int fd, const struct msg_call_open *m)
{
	struct msg_call_open unknown = *m;

	unknown.stream = m->stream + 7;
	put_head(fd, &unknown, 4);
	put_chunk(fd, &unknown, "evil", true);
	put_head(fd, m, 4);
	put_chunk(fd, m, "good", true);
	put_chunk(fd, m, "late", true);
}

static void
guard_serve(const struct fake_guard *g, int fd)
{
	static uint8_t body[FRAME_MAX];
	struct msg_call_hello hello = {.proto = CALL_PROTO,
	    .host = "fake",
	    .incarnation = 1,
	    .sent_ms = clock_now_ms()};
	struct msg_call_open open;
	size_t len;
	int type;

	send_frame(fd, MSG_CALL_HELLO, &hello);
	while ((type = read_frame(fd, body, &len)) != 0) {
		if (type != MSG_CALL_OPEN)
			continue;
		ck_assert_int_eq(
		    msg_call_open_decode(body, len, &open), STATUS_OK);
		g->answer(fd, &open);
		msg_call_open_clear(&open);
	}
}

static void *
guard_main(void *arg)
{
	struct fake_guard *g = arg;
	int fd;

	while ((fd = accept(g->fd, NULL, NULL)) >= 0) {
		guard_serve(g, fd);
		close(fd);
	}
	return NULL;
}

/**
 * struct answer_case - an answer of the guard and the expected answer to the
 * caller
 * @answer: sends the guard's answer
 * @status: HTTP status for the caller
 */
struct answer_case {
	void (*answer)(int fd, const struct msg_call_open *m);
	int status;
};

static const struct answer_case answer_cases[] = {
    {answer_other_request, 504},
    {answer_duplicate_chunk, 504},
    {answer_short, 504},
    {answer_without_head, 504},
    {answer_two_heads, 504},
    {answer_status_000, 504},
    {answer_status_600, 504},
    {answer_blank_in_name, 504},
    {answer_line_in_value, 504},
    {answer_with_a_field, 200},
    {answer_after_unknown_streams, 200},
};

static uint16_t
guard_listen(struct fake_guard *g)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);

	g->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(g->fd, (struct sockaddr *)&sin, len), 0);
	ck_assert_int_eq(listen(g->fd, 16), 0);
	(void)getsockname(g->fd, (struct sockaddr *)&sin, &len);
	return ntohs(sin.sin_port);
}

/* The guard applies the item before it reads frames that are sent later. */
static void
quarantine_path(const char *path)
{
	const struct fingerprint_parts parts = {
	    .method = "POST", .host = "", .path = path, .caller = ""};
	struct quarantine_item item = {.id = 1,
	    .kind = QUARANTINE_HELD,
	    .at_ms = clock_now_ms(),
	    .n_prints = 1};
	struct fingerprint f;

	fingerprint_make(&parts, &f);
	item.prints[0].content = f.content;
	item.prints[0].caller = f.caller;
	guard_apply_quarantine_item(node->guard, &item);
}

static int
get_refusal(const char *path, uint8_t known)
{
	static uint8_t body[FRAME_MAX];
	struct msg_call_refused m;
	int fd = connect_entry_supporting(known), got;
	size_t len;

	open_path(fd, 1, 0, path, 3000);
	do {
		got = read_frame(fd, body, &len);
		ck_assert_int_ne(got, 0);
	} while (got != MSG_CALL_REFUSED);
	ck_assert_int_eq(msg_call_refused_decode(body, len, &m), STATUS_OK);
	(void)close(fd);
	return m.refusal;
}

/* An entry of an earlier build closes a connection, with all calls on it, on
 * which it receives a refusal that it doesn't support. */
START_TEST(older_entry_gets_a_refusal_it_supports)
{
	start();
	quarantine_path("/book/x");
	ck_assert_int_eq(
	    get_refusal("/book/x", REFUSAL_LAST), REFUSAL_QUARANTINED);
	ck_assert_int_eq(get_refusal("/book/x", 0), REFUSAL_CALLER_LIMIT);
	ck_assert(refusal_is_final(REFUSAL_CALLER_LIMIT));
	stop();
}
END_TEST

/* The fixture's version. */
#define IN_FORCE 1
#define WITHIN_MS 300

static void
set_in_force_within(struct settings *s)
{
	s->in_force_within_ms = WITHIN_MS;
}

/* Gets the guard's refusal of a request that was routed by a version, or
 * REFUSAL_NONE. */
static int
get_version_refusal(const char *path, uint64_t version)
{
	static uint8_t body[FRAME_MAX];
	static uint8_t last_id = 100;
	uint8_t request_id[16] = {++last_id};
	struct msg_call_open open = {.stream = 1,
	    .request_id = request_id,
	    .request_id_len = sizeof(request_id),
	    .service = "search",
	    .method = "GET",
	    .path = path,
	    .path_len = (uint32_t)strlen(path),
	    .time_left_ms = 3000,
	    .sent_ms = clock_now_ms(),
	    .version = version};
	struct msg_call_refused m;
	int fd = connect_entry(), got;
	size_t len;

	send_frame(fd, MSG_CALL_OPEN, &open);
	do {
		got = read_frame(fd, body, &len);
		ck_assert_int_ne(got, 0);
	} while (got != MSG_CALL_REFUSED && got != MSG_CALL_HEAD);
	(void)close(fd);
	if (got == MSG_CALL_HEAD)
		return REFUSAL_NONE;
	ck_assert_int_eq(msg_call_refused_decode(body, len, &m), STATUS_OK);
	return m.refusal;
}

/* An entry that is far behind routes by its old version; the version in force
 * at the guard may have removed the route or assigned it to another service. */
START_TEST(route_of_an_overdue_version_is_checked)
{
	struct fake_endpoint ep = {.host = "h1"};

	upstream = fake_upstream_start();
	node = test_node_start("h1", set_in_force_within);
	test_snapshot(&ep, 1);
	test_node_upstream(node, upstream->port, SERVING_READY);
	/* Until the time has passed, both versions are valid. */
	ck_assert_int_eq(
	    get_version_refusal("/gone/x", IN_FORCE - 1), REFUSAL_NONE);
	g_usleep((WITHIN_MS + 100) * 1000);
	ck_assert_int_eq(
	    get_version_refusal("/gone/x", IN_FORCE - 1), REFUSAL_SUPERSEDED);
	ck_assert_int_eq(
	    get_version_refusal("/look/x", IN_FORCE - 1), REFUSAL_NONE);
	/* The same version, and a newer one: the guard may be behind itself. */
	ck_assert_int_eq(
	    get_version_refusal("/gone/x", IN_FORCE), REFUSAL_NONE);
	ck_assert_int_eq(
	    get_version_refusal("/gone/x", IN_FORCE + 1), REFUSAL_NONE);
	stop();
}
END_TEST

START_TEST(invalid_answer_is_not_forwarded)
{
	struct fake_endpoint ep = {.host = "h9"};
	struct fake_guard g;
	pthread_t thread;
	struct reply r;
	size_t i;

	start();
	ep.port = guard_listen(&g);
	test_snapshot(&ep, 1);
	ck_assert_int_eq(pthread_create(&thread, NULL, guard_main, &g), 0);
	for (i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		g.answer = answer_cases[i].answer;
		ck_assert(caller_call(callers_port(node->callers), "POST",
		    "/book/x", "Bramley-Deadline-Ms: 400\r\n", "seat", 4, &r));
		ck_assert_msg(r.whole && r.status == answer_cases[i].status,
		    "case %zu: %d %s", i, r.status, r.fate);
		if (r.status == 200)
			ck_assert_int_eq(memcmp(r.body->data, "good", 4), 0);
		else
			ck_assert_str_eq(r.fate, "unknown");
		reply_clear(&r);
	}
	stop();
	(void)shutdown(g.fd, SHUT_RDWR);
	pthread_join(thread, NULL);
	close(g.fd);
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {protocol_error_closes_only_its_connection,
	    request_before_hello_closes_the_connection,
	    running_request_is_not_aborted_for_uncertain_age,
	    possibly_expired_request_is_not_started,
	    draining_guard_waits_for_goodbye_ack,
	    older_entry_gets_a_refusal_it_supports,
	    route_of_an_overdue_version_is_checked,
	    invalid_answer_is_not_forwarded, NULL};

	return fixture_main("call wire", tests);
}
