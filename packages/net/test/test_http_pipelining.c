/*
 * Tests of the HTTP server: requests of one connection that run side by side.
 */
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_server.h"

#include "support.h"

#define PENDING_MAX 16
#define PACKET_REQUESTS 50
#define SHORT_MS 40U
#define PIECE_BYTES 50000U
#define ROUNDS 50
#define FUZZ_ROUNDS 100
#define ROUND_REQUESTS 12
#define SEED 20261204

/* A request that the owner has not answered. */
struct pending {
	struct http_incoming *q;
	char target[32];
};

static struct loop *loop;
static struct http_server *server;
static struct pending pending[PENDING_MAX];
static GString *seen;
static int gone;
static int unread;
static int writable;

static struct pending *
find_pending(const char *target)
{
	size_t i;

	for (i = 0; i < PENDING_MAX; i++)
		if (pending[i].q != NULL &&
		    strcmp(pending[i].target, target) == 0)
			return &pending[i];
	return NULL;
}

static struct http_incoming *
take(const char *target)
{
	struct pending *p = find_pending(target);
	struct http_incoming *q;

	ck_assert_msg(p != NULL, "%s is not under way: %s", target, seen->str);
	q = p->q;
	p->q = NULL;
	return q;
}

static void
begin_answer(struct http_incoming *q, const char *text)
{
	http_incoming_answer(q, 200, NULL, 0, (int64_t)strlen(text), false);
	http_incoming_write(q, text, strlen(text));
}

static void
answer_pending(struct pending *p)
{
	struct http_incoming *q = p->q;

	p->q = NULL;
	begin_answer(q, p->target);
	http_incoming_end(q);
}

/* Answers with the target as body. */
static void
answer(const char *target)
{
	struct http_incoming *q = take(target);

	begin_answer(q, target);
	http_incoming_end(q);
}

static void
on_request(
    struct http_incoming *q, const struct http_incoming_head *head, void *arg)
{
	size_t i = 0;

	(void)arg;
	g_string_append_printf(seen, "%s;", head->target);
	while (pending[i].q != NULL)
		i++;
	ck_assert_uint_lt(i, PENDING_MAX);
	pending[i].q = q;
	(void)g_strlcpy(
	    pending[i].target, head->target, sizeof(pending[i].target));
	http_incoming_set_arg(q, &pending[i]);
}

/* Requests for /once... may not run beside others. */
static bool
may_overlap(const struct http_incoming_head *head, void *arg)
{
	(void)arg;
	return !g_str_has_prefix(head->target, "/once");
}

static void
on_body(struct http_incoming *q, const uint8_t *data, size_t len)
{
	(void)q;
	g_string_append_len(seen, (const char *)data, (gssize)len);
}

static void
on_body_end(struct http_incoming *q)
{
	(void)q;
}

static void
on_writable(struct http_incoming *q)
{
	(void)q;
	writable++;
}

static void
on_gone(struct http_incoming *q)
{
	struct pending *p = http_incoming_arg(q);

	ck_assert_ptr_eq(p->q, q);
	p->q = NULL;
	gone++;
}

static void
on_unread(void *arg)
{
	(void)arg;
	unread++;
}

static void
on_bad(struct http_incoming *q, int code, void *arg)
{
	(void)arg;
	g_string_append_printf(seen, "bad %d;", code);
	http_incoming_answer(q, code, NULL, 0, 0, true);
	http_incoming_end(q);
}

static const struct http_server_handler handler = {
    .on_request = on_request,
    .may_overlap = may_overlap,
    .on_body = on_body,
    .on_body_end = on_body_end,
    .on_writable = on_writable,
    .on_gone = on_gone,
    .on_unread = on_unread,
    .on_bad = on_bad,
};

static void
setup(void)
{
	struct net_addr at = {INADDR_LOOPBACK, 0};

	loop = loop_new();
	seen = g_string_new(NULL);
	memset(pending, 0, sizeof(pending));
	gone = 0;
	unread = 0;
	writable = 0;
	ck_assert_int_eq(
	    http_server_new(loop, at, NULL, &handler, NULL, &server),
	    STATUS_OK);
}

static void
teardown(void)
{
	http_server_free(server);
	loop_free(loop);
	g_string_free(seen, TRUE);
}

static int
dial(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons(http_server_addr(server).port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

static void
run_turns(int n)
{
	while (n-- > 0)
		loop_run_once(loop, loop_now_ms(loop) + 2);
}

static void
run_for(uint32_t ms)
{
	uint64_t end_ms = clock_now_ms() + ms;

	while (clock_now_ms() < end_ms)
		run_turns(1);
}

static void
put(int fd, const char *text, size_t len)
{
	ck_assert_int_eq(send(fd, text, len, MSG_NOSIGNAL), (int)len);
}

static void
send_text(int fd, const char *text)
{
	put(fd, text, strlen(text));
	run_turns(20);
}

static void
add_get(GString *s, const char *target)
{
	g_string_append_printf(s, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target);
}

/* Sends @n requests for /1, /2... in one packet. */
static void
send_many(int fd, int n)
{
	GString *s = g_string_new(NULL);
	char target[16];
	int i;

	for (i = 1; i <= n; i++) {
		(void)g_snprintf(target, sizeof(target), "/%d", i);
		add_get(s, target);
	}
	put(fd, s->str, s->len);
	g_string_free(s, TRUE);
}

/* Returns all data received so far; @ended receives whether the server has
 * closed the connection. */
static const char *
receive_text(int fd, bool *ended)
{
	static char buf[1 << 20];
	size_t total = 0;
	ssize_t n;

	for (;;) {
		run_turns(2);
		n = recv(
		    fd, buf + total, sizeof(buf) - 1 - total, MSG_DONTWAIT);
		if (n <= 0)
			break;
		total += (size_t)n;
	}
	*ended = n == 0 || errno != EAGAIN;
	buf[total] = '\0';
	return buf;
}

/* The bodies of the received answers, in their order. */
static char *
bodies(int fd, bool *ended)
{
	GString *s = g_string_new(NULL);
	const char *at = receive_text(fd, ended);

	while ((at = strstr(at, "\r\n\r\n/")) != NULL) {
		at += strlen("\r\n\r\n");
		g_string_append_len(s, at, (gssize)strcspn(at, "H"));
		g_string_append_c(s, ';');
	}
	return g_string_free(s, FALSE);
}

static void
expect_bodies(int fd, const char *want, bool want_end)
{
	bool ended;
	char *got = bodies(fd, &ended);

	ck_assert_str_eq(got, want);
	ck_assert_int_eq(ended, want_end);
	g_free(got);
}

/* A slow first request, and short ones behind it in the same packet. */
START_TEST(a_slow_first_request_holds_up_no_later_one)
{
	int fd = dial();

	send_many(fd, 3);
	run_turns(20);
	ck_assert_str_eq(seen->str, "/1;/2;/3;");
	answer("/3");
	answer("/2");
	expect_bodies(fd, "", false);
	answer("/1");
	expect_bodies(fd, "/1;/2;/3;", false);
	send_text(fd, "GET /4 HTTP/1.1\r\n\r\n");
	answer("/4");
	expect_bodies(fd, "/4;", false);
	ck_assert_int_eq(gone + unread, 0);
	close(fd);
}
END_TEST

static const char *const alone[] = {
    "GET /once HTTP/1.1\r\n\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
    "GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    "GET /e HTTP/1.1\r\nExpect: 100-continue\r\n\r\n",
};
static const char *const alone_target[] = {"/once", "/a", "/old", "/e"};

/* It runs neither beside those before it nor beside those behind it. */
START_TEST(a_request_that_may_not_run_twice_runs_alone)
{
	GString *text = g_string_new(NULL);
	GString *want = g_string_new("/1;/2;");
	int fd = dial();
	gsize i;

	add_get(text, "/1");
	add_get(text, "/2");
	g_string_append(text, alone[_i]);
	add_get(text, "/3");
	/* In pieces, so that the head waits complete and its rest follows. */
	for (i = 0; i < text->len; i++) {
		put(fd, text->str + i, 1);
		run_turns(1);
	}
	run_turns(20);
	ck_assert_str_eq(seen->str, want->str);
	answer("/2");
	run_turns(4);
	ck_assert_str_eq(seen->str, want->str);
	answer("/1");
	run_turns(8);
	g_string_append_printf(want, "%s;", alone_target[_i]);
	if (_i == 1)
		g_string_append(want, "abc");
	ck_assert_str_eq(seen->str, want->str);
	answer(alone_target[_i]);
	run_turns(8);
	g_string_append(want, "/3;");
	ck_assert_str_eq(seen->str, want->str);
	answer("/3");
	g_string_printf(text, "/1;/2;%s;/3;", alone_target[_i]);
	expect_bodies(fd, text->str, false);
	g_string_free(text, TRUE);
	g_string_free(want, TRUE);
	close(fd);
}
END_TEST

/* One connection sends 50 requests in a packet, another one sends one. */
START_TEST(a_packet_of_many_requests_leaves_room_for_others)
{
	int i, many = dial(), one = dial();
	char target[16];

	run_turns(4);
	send_many(many, PACKET_REQUESTS);
	put(one, "GET /one HTTP/1.1\r\n\r\n", 21);
	run_turns(2);
	ck_assert_ptr_nonnull(find_pending("/one"));
	ck_assert_ptr_null(find_pending("/7"));
	run_turns(20);
	ck_assert_ptr_nonnull(find_pending("/8"));
	ck_assert_ptr_null(find_pending("/9"));
	answer("/2");
	run_turns(8);
	/* Its answer still waits, so it keeps its place. */
	ck_assert_ptr_null(find_pending("/9"));
	answer("/1");
	run_turns(8);
	ck_assert_ptr_nonnull(find_pending("/10"));
	ck_assert_ptr_null(find_pending("/11"));
	for (i = 3; i <= PACKET_REQUESTS; i++) {
		(void)g_snprintf(target, sizeof(target), "/%d", i);
		answer(target);
		run_turns(4);
	}
	answer("/one");
	expect_bodies(one, "/one;", false);
	close(many);
	close(one);
}
END_TEST

/* The owner holds back an answer beyond the low-water mark, as that of a slow
 * caller, until its turn. */
START_TEST(an_answer_that_waits_is_bounded)
{
	char *piece = g_strnfill(PIECE_BYTES, 'p');
	struct http_incoming *q;
	bool ended;
	int fd = dial();

	send_many(fd, 2);
	run_turns(20);
	q = take("/2");
	http_incoming_answer(q, 200, NULL, 0, 3 * PIECE_BYTES, false);
	while (http_incoming_output_bytes(q) <= HTTP_OUTPUT_LOW_BYTES)
		http_incoming_write(q, piece, PIECE_BYTES);
	ck_assert_uint_ge(http_incoming_output_bytes(q), 2 * PIECE_BYTES);
	ck_assert_uint_lt(http_incoming_output_bytes(q), 3 * PIECE_BYTES);
	run_turns(8);
	ck_assert_int_eq(writable, 0);
	answer("/1");
	(void)receive_text(fd, &ended);
	ck_assert_int_eq(writable, 1);
	ck_assert_uint_eq(http_incoming_output_bytes(q), 0);
	http_incoming_write(q, piece, PIECE_BYTES);
	http_incoming_end(q);
	ck_assert_uint_ge(strlen(receive_text(fd, &ended)), PIECE_BYTES);
	ck_assert(!ended);
	g_free(piece);
	close(fd);
}
END_TEST

/* Ten requests; the caller leaves after the third is answered. */
START_TEST(each_request_under_way_ends_with_its_caller)
{
	int fd = dial();

	send_many(fd, 10);
	run_turns(20);
	answer("/3");
	answer("/2");
	close(fd);
	run_turns(4);
	ck_assert_str_eq(seen->str, "/1;/2;/3;/4;/5;/6;/7;/8;");
	ck_assert_int_eq(gone, 6);
	ck_assert_int_eq(unread, 1);
	ck_assert_uint_eq(http_server_conns(server), 0);
}
END_TEST

static const char *const closing[] = {
    "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n",
    "GET /2 HTTP/1.1\r\n\r\nA : b\r\n\r\n",
};
static const char *const closing_seen[] = {"/1;/2;", "/1;/2;bad 400;"};

/* What was read before it is answered, and nothing behind it is read. */
START_TEST(an_answer_that_closes_is_the_last)
{
	GString *text = g_string_new(NULL);
	const char *got, *line;
	bool ended;
	int fd = dial();

	add_get(text, "/1");
	g_string_append(text, closing[_i]);
	add_get(text, "/3");
	send_text(fd, text->str);
	ck_assert_str_eq(seen->str, "/1;/2;");
	answer("/2");
	run_turns(4);
	answer("/1");
	got = receive_text(fd, &ended);
	ck_assert(ended);
	ck_assert_str_eq(seen->str, closing_seen[_i]);
	line = strstr(got, "Connection: close");
	ck_assert_ptr_nonnull(line);
	ck_assert(line > strstr(got, "\r\n\r\n/1"));
	ck_assert_ptr_null(strstr(line + 1, "Connection: close"));
	ck_assert_ptr_nonnull(strstr(got, "\r\n\r\n/2"));
	ck_assert_int_eq(gone, 0);
	g_string_free(text, TRUE);
	close(fd);
}
END_TEST

/* Drain while three are under way and more are in the buffer. */
START_TEST(a_drain_answers_what_was_read)
{
	const char *got, *line;
	bool ended;
	int fd = dial();

	send_many(fd, 3);
	run_turns(20);
	answer("/3");
	http_server_close_idle(server, true);
	send_text(fd, "GET /4 HTTP/1.1\r\n\r\n");
	answer("/1");
	answer("/2");
	got = receive_text(fd, &ended);
	ck_assert(ended);
	ck_assert_str_eq(seen->str, "/1;/2;/3;");
	line = strstr(got, "Connection: close");
	ck_assert(line > strstr(got, "\r\n\r\n/2"));
	ck_assert_ptr_nonnull(strstr(line, "\r\n\r\n/3"));
	ck_assert_int_eq(gone, 0);
	close(fd);
}
END_TEST

START_TEST(an_aborted_answer_ends_those_behind_it)
{
	struct http_incoming *q;
	int fd = dial();

	send_many(fd, 4);
	run_turns(20);
	answer("/4");
	q = take("/2");
	begin_answer(q, "part");
	http_incoming_abort(q);
	run_turns(4);
	ck_assert_int_eq(gone, 1);
	answer("/1");
	/* Nothing of the second is sent, so that its absence shows. */
	expect_bodies(fd, "/1;", true);
	close(fd);
}
END_TEST

START_TEST(an_abort_in_turn_resets_the_connection)
{
	struct http_incoming *q;
	bool ended;
	int fd = dial();

	send_many(fd, 3);
	run_turns(20);
	answer("/3");
	q = take("/1");
	begin_answer(q, "part");
	http_incoming_abort(q);
	ck_assert_int_eq(gone, 1);
	ck_assert_ptr_null(strstr(receive_text(fd, &ended), "/3"));
	ck_assert(ended);
	close(fd);
}
END_TEST

static void
set_short_limits(void)
{
	struct http_server_limits limits = {
	    .head_ms = SHORT_MS, .idle_ms = SHORT_MS, .stall_ms = SHORT_MS};

	http_server_limits_set(server, &limits);
}

/* The first runs longer than all limits for callers, as a report does. */
START_TEST(a_finished_answer_may_wait_for_a_long_one)
{
	char byte;
	int fd;

	set_short_limits();
	fd = dial();
	send_many(fd, 3);
	send_text(fd, "GET /half");
	answer("/2");
	run_for(4 * SHORT_MS);
	ck_assert_uint_eq(http_server_conns(server), 1);
	answer("/1");
	answer("/3");
	expect_bodies(fd, "/1;/2;/3;", false);
	/* Now the limit of an incomplete head applies: the server ends its
	 * side, and the connection goes as soon as the caller closes. */
	run_for(4 * SHORT_MS);
	ck_assert_int_eq(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
	close(fd);
	run_for(SHORT_MS);
	ck_assert_uint_eq(http_server_conns(server), 0);
}
END_TEST

START_TEST(one_at_a_time_if_set_so)
{
	struct http_server_limits limits = {.overlap_max = 1};
	int fd;

	http_server_limits_set(server, &limits);
	fd = dial();
	send_many(fd, 2);
	run_turns(20);
	ck_assert_str_eq(seen->str, "/1;");
	answer("/1");
	run_turns(8);
	answer("/2");
	expect_bodies(fd, "/1;/2;", false);
	close(fd);
}
END_TEST

/* Answers one request at random. */
static bool
answer_some(GRand *r)
{
	int i, from = g_rand_int_range(r, 0, PENDING_MAX);

	for (i = 0; i < PENDING_MAX; i++) {
		struct pending *p = &pending[(from + i) % PENDING_MAX];

		if (p->q != NULL) {
			answer_pending(p);
			return true;
		}
	}
	return false;
}

/* Requests in pieces of any length, answered in any order. */
START_TEST(answers_keep_the_order_of_their_requests)
{
	GRand *r = g_rand_new_with_seed(SEED + (guint32)_i);
	GString *text = g_string_new(NULL);
	GString *want = g_string_new(NULL);
	char target[16];
	gsize at, n;
	int i, fd = dial();

	for (i = 0; i < ROUND_REQUESTS; i++) {
		(void)g_snprintf(target, sizeof(target), "/%s%d",
		    g_rand_int_range(r, 0, 4) == 0 ? "once" : "", i);
		if (g_rand_int_range(r, 0, 5) == 0)
			g_string_append_printf(text,
			    "POST %s HTTP/1.1\r\nContent-Length: 4\r\n\r\n"
			    "%4d",
			    target, i);
		else
			add_get(text, target);
		g_string_append_printf(want, "%s;", target);
	}
	for (at = 0; at < text->len; at += n) {
		n = (gsize)g_rand_int_range(r, 1, 200);
		n = MIN(n, text->len - at);
		put(fd, text->str + at, n);
		run_turns(g_rand_int_range(r, 0, 3));
		if (g_rand_int_range(r, 0, 3) == 0)
			(void)answer_some(r);
	}
	run_turns(10);
	while (answer_some(r))
		run_turns(10);
	expect_bodies(fd, want->str, false);
	ck_assert_int_eq(gone + unread, 0);
	close(fd);
	g_string_free(text, TRUE);
	g_string_free(want, TRUE);
	g_rand_free(r);
}
END_TEST

static const char fuzz_text[] =
    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
    "GET /2 HTTP/1.1\r\nX-Other: y\r\n\r\n"
    "POST /3 HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd"
    "GET /4 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
    "GET /once HTTP/1.1\r\n\r\n"
    "GET /5 HTTP/1.1\r\n\r\n"
    "POST /6 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nxyz\r\n0\r\n\r\n"
    "GET /7 HTTP/1.1\r\nConnection: close\r\n\r\n"
    "GET /8 HTTP/1.1\r\n\r\n";

/* Changes, repeats or removes a few bytes. */
static GString *
mutate(GRand *r)
{
	static const char bytes[] = "0179/:\r\n GP\x80\xff";
	GString *s = g_string_new_len(fuzz_text, sizeof(fuzz_text) - 1);
	gint32 at, n = g_rand_int_range(r, 0, 6);

	for (; n > 0; n--) {
		at = g_rand_int_range(r, 0, (gint32)s->len - 8);
		switch (g_rand_int_range(r, 0, 3)) {
		case 0:
			s->str[at] = bytes[g_rand_int_range(
			    r, 0, (gint32)sizeof(bytes) - 1)];
			break;
		case 1:
			g_string_erase(s, at, 1);
			break;
		default:
			g_string_insert_len(s, at, s->str + at, 8);
			break;
		}
	}
	return s;
}

/* Answers, aborts or pauses some request, or does nothing. */
static void
act(GRand *r)
{
	struct pending *p = &pending[g_rand_int_range(r, 0, PENDING_MAX)];
	struct http_incoming *q = p->q;

	if (q == NULL)
		return;
	switch (g_rand_int_range(r, 0, 8)) {
	case 0:
		p->q = NULL;
		begin_answer(q, "part");
		http_incoming_abort(q);
		return;
	case 1:
		http_incoming_pause(q);
		return;
	case 2:
		http_incoming_resume(q);
		return;
	default:
		answer_pending(p);
		return;
	}
}

/* Mutated requests in pieces, answered and aborted in any order: another
 * connection is still served, and each request ends once. */
START_TEST(mutated_requests_do_not_affect_other_connections)
{
	GRand *r = g_rand_new_with_seed(SEED + (guint32)_i);
	GString *text = mutate(r);
	int fd = dial(), other = dial();
	gsize at, n;

	for (at = 0; at < text->len; at += n) {
		n = (gsize)g_rand_int_range(r, 1, (gint32)text->len + 1);
		n = MIN(n, text->len - at);
		(void)send(fd, text->str + at, n, MSG_NOSIGNAL);
		run_turns(g_rand_int_range(r, 0, 3));
		act(r);
		act(r);
	}
	for (n = 0; n < PENDING_MAX; n++) {
		run_turns(1);
		act(r);
	}
	close(fd);
	run_turns(4);
	for (n = 0; n < PENDING_MAX; n++)
		ck_assert_ptr_null(pending[n].q);
	send_text(other, "GET /other HTTP/1.1\r\n\r\n");
	answer("/other");
	expect_bodies(other, "/other;", false);
	close(other);
	g_string_free(text, TRUE);
	g_rand_free(r);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("http_pipelining");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_slow_first_request_holds_up_no_later_one);
	tcase_add_loop_test(tc, a_request_that_may_not_run_twice_runs_alone, 0,
	    G_N_ELEMENTS(alone));
	tcase_add_test(tc, a_packet_of_many_requests_leaves_room_for_others);
	tcase_add_test(tc, an_answer_that_waits_is_bounded);
	tcase_add_test(tc, each_request_under_way_ends_with_its_caller);
	tcase_add_loop_test(
	    tc, an_answer_that_closes_is_the_last, 0, G_N_ELEMENTS(closing));
	tcase_add_test(tc, a_drain_answers_what_was_read);
	tcase_add_test(tc, an_aborted_answer_ends_those_behind_it);
	tcase_add_test(tc, an_abort_in_turn_resets_the_connection);
	tcase_add_test(tc, a_finished_answer_may_wait_for_a_long_one);
	tcase_add_test(tc, one_at_a_time_if_set_so);
	tcase_add_loop_test(
	    tc, answers_keep_the_order_of_their_requests, 0, ROUNDS);
	tcase_add_loop_test(tc,
	    mutated_requests_do_not_affect_other_connections, 0, FUZZ_ROUNDS);
	return support_run("http_pipelining", tc);
}
