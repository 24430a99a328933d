/*
 * Tests of the HTTP client.
 */
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "http_fake.h"
#include "net/http.h"

#define WAIT_MS 5000
#define SHORT_MS 80
#define BIG_BYTES (4U << 20)
#define PULL_BYTES 300000U
#define BODY "answer"
#define ODD_HEAD                                   \
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" \
	"a b: c\r\n: d\r\n folded: e\r\nA:  b c \r\n\r\n"

/* What the owner of a call has been told, and how it behaves. */
struct caller {
	struct http_call *call;
	int heads;
	int done;
	int code;
	enum status status;
	bool sent;
	bool delimited;
	GString *head;
	GString *body;
	size_t pulled;
	size_t pull_bytes;
	bool cancel_on_head;
	bool cancel_on_body;
	bool cancel_on_pull;
	bool abort_on_body;
	bool pausing;
	bool paused;
	struct loop_timer wake;
};

static struct loop *loop;
static struct fake *fake;
static struct http_client *client;
static struct caller caller;
static int runs;
static char *seen_head;

/* The server's script, by path. */

static void
answer(GString *out, const char *body)
{
	g_string_append_printf(out,
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nX-Empty:\r\n\r\n%s",
	    strlen(body), body);
}

static void
answer_big(GString *out)
{
	char *body = g_strnfill(BIG_BYTES, 'b');

	answer(out, body);
	g_free(body);
}

static void
answer_headers(GString *out, int n, size_t value_bytes)
{
	char *value = g_strnfill(value_bytes, 'v');

	g_string_append(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n");
	while (n-- > 0)
		g_string_append_printf(out, "X: %s\r\n", value);
	g_string_append(out, "\r\n");
	g_free(value);
}

static const struct {
	const char *path;
	const char *bytes;
	bool close;
	enum status status;
	int code;
	const char *body;
} scripted[] = {
    {"/ok", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" BODY, false,
	STATUS_OK, 200, BODY},
    {"/none", "HTTP/1.1 204 No Content\r\n\r\n", false, STATUS_OK, 204, ""},
    {"/moved",
	"HTTP/1.1 302 Found\r\nLocation: /ok\r\nContent-Length: 0\r\n\r\n",
	false, STATUS_OK, 302, ""},
    {"/busy", "HTTP/1.1 503 Busy\r\nContent-Length: 6\r\n\r\n" BODY, false,
	STATUS_OK, 503, BODY},
    {"/chunked",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"3\r\nans\r\n3\r\nwer\r\n0\r\nTrailer: t\r\n\r\n",
	false, STATUS_OK, 200, BODY},
    {"/early",
	"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" BODY,
	false, STATUS_OK, 200, BODY},
    {"/short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" BODY, true,
	STATUS_UNAVAILABLE, 200, BODY},
    {"/cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" BODY,
	true, STATUS_UNAVAILABLE, 200, BODY},
    {"/drop", "", true, STATUS_UNAVAILABLE, 0, ""},
    {"/half", "HTTP/1.1 200 OK\r\nContent-", true, STATUS_UNAVAILABLE, 0, ""},
    {"/until-close", "HTTP/1.1 200 OK\r\n\r\n" BODY, true, STATUS_OK, 200,
	BODY},
    {"/no-colon", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", false, STATUS_INVALID,
	0, ""},
    {"/junk", "\x01\x02\x03 not HTTP at all\r\n\r\n", true, STATUS_INVALID, 0,
	""},
};

static bool
script(const struct fake_request *r, GString *out)
{
	size_t i;

	g_free(seen_head);
	seen_head = g_strdup(r->head);
	for (i = 0; i < G_N_ELEMENTS(scripted); i++) {
		if (strcmp(r->path, scripted[i].path) == 0) {
			g_string_append(out, scripted[i].bytes);
			return scripted[i].close;
		}
	}
	if (strcmp(r->path, "/echo") == 0)
		answer(out, r->body);
	else if (strcmp(r->path, "/big") == 0)
		answer_big(out);
	else if (strcmp(r->path, "/many") == 0)
		answer_headers(out, 200, 1);
	else if (strcmp(r->path, "/long") == 0)
		answer_headers(out, 10, 9000);
	else if (strcmp(r->path, "/odd") == 0)
		g_string_append(out, ODD_HEAD);
	else if (strcmp(r->path, "/run") == 0 && ++runs == 1)
		return true;
	else if (strcmp(r->path, "/run") == 0)
		answer(out, BODY);
	else if (strcmp(r->path, "/hang") != 0)
		answer(out, "");
	return false;
}

/* The owner of a call. */

static enum http_flow
on_head(struct http_call *call, int code, const struct http_header *headers,
    uint32_t n, void *arg)
{
	struct caller *c = arg;
	uint32_t i;

	c->heads++;
	c->code = code;
	for (i = 0; i < n; i++)
		g_string_append_printf(
		    c->head, "%s=%s;", headers[i].name, headers[i].value);
	if (c->cancel_on_head)
		(void)http_call_cancel(call);
	return HTTP_CONTINUE;
}

static void
on_wake(void *arg)
{
	struct caller *c = arg;

	c->paused = false;
	http_call_resume(c->call);
}

static enum http_flow
pause_every_other_time(struct caller *c)
{
	ck_assert(!c->paused || c->wake.place != NULL);
	c->pausing = !c->pausing;
	if (!c->pausing)
		return HTTP_CONTINUE;
	c->paused = true;
	loop_timer_set(&c->wake, loop_now_ms(loop) + 1);
	return HTTP_PAUSE;
}

static enum http_flow
on_body(struct http_call *call, const uint8_t *data, size_t len, void *arg)
{
	struct caller *c = arg;

	if (c->wake.loop != NULL && pause_every_other_time(c) == HTTP_PAUSE)
		return HTTP_PAUSE;
	g_string_append_len(c->body, (const char *)data, (gssize)len);
	if (c->cancel_on_body)
		(void)http_call_cancel(call);
	return c->abort_on_body ? HTTP_ABORT : HTTP_CONTINUE;
}

static enum http_flow
on_pull(
    struct http_call *call, uint8_t *buf, size_t max, size_t *len, void *arg)
{
	struct caller *c = arg;

	if (c->cancel_on_pull)
		(void)http_call_cancel(call);
	if (c->pulled == c->pull_bytes)
		return HTTP_END;
	if (c->wake.loop != NULL && pause_every_other_time(c) == HTTP_PAUSE)
		return HTTP_PAUSE;
	*len = MIN(max, MIN(10007, c->pull_bytes - c->pulled));
	memset(buf, 'p', *len);
	c->pulled += *len;
	return HTTP_CONTINUE;
}

static void
on_done(struct http_call *call, const struct http_result *r, void *arg)
{
	struct caller *c = arg;

	ck_assert_ptr_eq(call, c->call);
	c->done++;
	c->status = r->status;
	c->sent = r->sent;
	c->delimited = r->delimited;
	ck_assert_int_eq(r->code, c->code);
	c->call = NULL;
	loop_timer_stop(&c->wake);
}

static const struct http_handler handler = {on_head, on_body, on_pull, on_done};

static void
caller_init(struct caller *c)
{
	memset(c, 0, sizeof(*c));
	c->head = g_string_new(NULL);
	c->body = g_string_new(NULL);
}

static void
caller_clear(struct caller *c)
{
	g_string_free(c->head, TRUE);
	g_string_free(c->body, TRUE);
}

static void
setup(void)
{
	ck_assert_int_eq(setenv("http_proxy", "http://127.0.0.1:1", 1), 0);
	loop = loop_new();
	fake = fake_new(loop, script);
	client = http_client_new(loop, NULL);
	caller_init(&caller);
}

static void
teardown(void)
{
	http_client_free(client);
	fake_free(fake);
	loop_free(loop);
	caller_clear(&caller);
	g_free(seen_head);
}

static void
start(struct caller *c, struct http_request *r, const char *path)
{
	unsigned int port = fake_addr(fake).port;
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	int done = c->done;

	r->url = url;
	if (r->deadline_ms == 0)
		r->deadline_ms = loop_now_ms(loop) + WAIT_MS;
	c->call = http_call_start(client, r, &handler, c);
	ck_assert_int_eq(c->done, done);
	g_free(url);
}

/* Run turns until @cond holds; fails when it does not in time. */
#define RUN_UNTIL(cond)                                            \
	do {                                                       \
		uint64_t end_ms = clock_now_ms() + 2 * WAIT_MS;    \
		while (!(cond)) {                                  \
			ck_assert_uint_lt(clock_now_ms(), end_ms); \
			loop_run_once(loop, clock_now_ms() + 1);   \
		}                                                  \
	} while (0)

static void
get(const char *path)
{
	struct http_request r = {.method = "GET"};

	start(&caller, &r, path);
	RUN_UNTIL(caller.done);
}

START_TEST(answer_is_told_as_it_came)
{
	int round;

	for (round = 0; round < 2; round++) {
		g_string_truncate(caller.body, 0);
		caller.code = caller.heads = caller.done = 0;
		get(scripted[_i].path);
		ck_assert_int_eq(caller.status, scripted[_i].status);
		ck_assert_int_eq(caller.code, scripted[_i].code);
		ck_assert_int_eq(caller.heads, scripted[_i].code != 0);
		ck_assert_str_eq(caller.body->str, scripted[_i].body);
		ck_assert(caller.status != STATUS_OK ||
		    caller.delimited ==
			(strcmp(scripted[_i].path, "/until-close") != 0));
		ck_assert(caller.sent);
	}
}
END_TEST

START_TEST(request_goes_out_as_given)
{
	struct http_header headers[] = {{"X-One", "1"}, {"X-None", ""},
	    {"Content-Length", "77"}, {"Host", "h"}};
	struct http_request r = {.method = "PUT",
	    .headers = headers,
	    .n_headers = G_N_ELEMENTS(headers),
	    .body = (const uint8_t *)"abc",
	    .body_bytes = 3};

	start(&caller, &r, "/echo");
	RUN_UNTIL(caller.done);
	ck_assert_str_eq(seen_head,
	    "PUT /echo HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nX-None:\r\n"
	    "Content-Length: 3\r\n");
	ck_assert_str_eq(caller.body->str, "abc");
	ck_assert_str_eq(caller.head->str, "Content-Length=3;X-Empty=;");
}
END_TEST

/* Too many headers, too long a head, and lines that are no headers. */
START_TEST(head_of_an_answer_is_bounded_and_clean)
{
	get("/many");
	ck_assert_int_eq(caller.status, STATUS_INVALID);
	caller.done = caller.code = 0;
	get("/long");
	ck_assert_int_eq(caller.status, STATUS_INVALID);
	caller.done = caller.code = 0;
	get("/odd");
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert_str_eq(caller.head->str, "Content-Length=0;A=b c;");
}
END_TEST

START_TEST(method_and_length_fit_each_other)
{
	static const char *const methods[] = {
	    "GET", "HEAD", "DELETE", "POST", "PUT"};
	struct http_request r = {.method = methods[_i]};
	bool length = _i >= 3;

	start(&caller, &r, "/none");
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert(g_str_has_prefix(seen_head, methods[_i]));
	ck_assert(
	    (strstr(seen_head, "Content-Length: 0\r\n") != NULL) == length);
}
END_TEST

START_TEST(path_is_not_rewritten)
{
	get("/hop/../none?a=%2e/..");
	ck_assert(g_str_has_prefix(seen_head, "GET /hop/../none?a=%2e/.. "));
}
END_TEST

/*
 * The hazard that `once` is for.  The server runs the POST that comes in on
 * a connection already used and closes it without an answer: libcurl sends
 * the POST again by itself.
 */
static void
post_after_another(bool once)
{
	struct http_request r = {
	    .method = "POST", .body = (const uint8_t *)"abc", .body_bytes = 3};

	start(&caller, &r, "/echo");
	RUN_UNTIL(caller.done == 1);
	ck_assert_uint_eq(fake_open(fake), 1);
	caller.code = 0;
	runs = 0;
	r.once = once;
	start(&caller, &r, "/run");
	RUN_UNTIL(caller.done == 2);
}

START_TEST(hazard_reused_connection_doubles_a_post)
{
	post_after_another(false);
	ck_assert_int_eq(runs, 2);
	ck_assert_int_eq(caller.status, STATUS_OK);
}
END_TEST

START_TEST(once_never_doubles_a_post)
{
	int i;

	for (i = 0; i < 50; i++) {
		caller.done = caller.code = 0;
		post_after_another(true);
		ck_assert_int_eq(runs, 1);
		ck_assert_int_eq(caller.status, STATUS_UNAVAILABLE);
		ck_assert(caller.sent);
	}
}
END_TEST

START_TEST(connection_of_a_request_marked_once_is_not_kept)
{
	struct http_request r = {.method = "GET", .once = true};

	start(&caller, &r, "/ok");
	RUN_UNTIL(caller.done);
	RUN_UNTIL(fake_open(fake) == 0);
}
END_TEST

START_TEST(deadline_ends_a_call_that_hangs)
{
	struct http_request r = {
	    .method = "GET", .deadline_ms = loop_now_ms(loop) + SHORT_MS};

	start(&caller, &r, "/hang");
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_TIMEOUT);
	ck_assert(caller.sent);
	RUN_UNTIL(fake_open(fake) == 0);
}
END_TEST

START_TEST(deadline_that_has_passed_sends_nothing)
{
	struct http_request r = {.method = "GET", .deadline_ms = 1};

	start(&caller, &r, "/ok");
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_TIMEOUT);
	ck_assert(!caller.sent);
}
END_TEST

START_TEST(refused_connection_has_sent_nothing)
{
	struct http_request r = {.method = "POST", .once = true};

	/* No test listens on the port of the discard service. */
	r.url = "http://127.0.0.1:9/";
	r.deadline_ms = loop_now_ms(loop) + WAIT_MS;
	caller.call = http_call_start(client, &r, &handler, &caller);
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_UNAVAILABLE);
	ck_assert(!caller.sent);
}
END_TEST

/* A listening socket whose queue is full answers no handshake. */
START_TEST(connection_that_is_not_established_has_sent_nothing)
{
	struct http_request r = {.method = "POST", .connect_ms = SHORT_MS};
	int fds[4], i, fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	char *url;

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, 0), 0);
	(void)getsockname(fd, (struct sockaddr *)&sin, &len);
	for (i = 0; i < 4; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fds[i], (struct sockaddr *)&sin, sizeof(sin));
	}
	url = g_strdup_printf("http://127.0.0.1:%u/", ntohs(sin.sin_port));
	r.url = url;
	r.deadline_ms = loop_now_ms(loop) + WAIT_MS;
	caller.call = http_call_start(client, &r, &handler, &caller);
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_UNAVAILABLE);
	ck_assert(!caller.sent);
	for (i = 0; i < 4; i++)
		(void)close(fds[i]);
	(void)close(fd);
	g_free(url);
}
END_TEST

START_TEST(pulled_body_arrives_whole_in_spite_of_pauses)
{
	struct http_request r = {.method = "POST",
	    .pulled = true,
	    .once = true,
	    .body_bytes = _i & 1 ? PULL_BYTES : HTTP_LENGTH_UNKNOWN};

	caller.pull_bytes = PULL_BYTES;
	if (_i & 2)
		loop_timer_init(&caller.wake, loop, on_wake, &caller);
	start(&caller, &r, "/echo");
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert_uint_eq(caller.body->len, PULL_BYTES);
	ck_assert_uint_eq(strspn(caller.body->str, "p"), PULL_BYTES);
}
END_TEST

START_TEST(paused_answer_waits_and_arrives_whole)
{
	struct http_request r = {.method = "GET"};

	loop_timer_init(&caller.wake, loop, on_wake, &caller);
	start(&caller, &r, "/big");
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert_uint_eq(caller.body->len, BIG_BYTES);
}
END_TEST

START_TEST(aborted_call_fails)
{
	caller.abort_on_body = true;
	get("/ok");
	ck_assert_int_eq(caller.status, STATUS_UNAVAILABLE);
}
END_TEST

START_TEST(cancelled_call_is_silent_and_its_connection_closed)
{
	struct http_request r = {.method = "POST", .pulled = _i == 2};
	int i;

	r.body_bytes = _i == 2 ? PULL_BYTES : 0;
	caller.cancel_on_head = _i == 0;
	caller.cancel_on_body = _i == 1;
	caller.cancel_on_pull = _i == 2;
	start(&caller, &r, _i == 3 ? "/hang" : "/big");
	if (_i == 3) {
		RUN_UNTIL(seen_head != NULL);
		ck_assert(http_call_cancel(caller.call));
	}
	RUN_UNTIL(http_client_calls(client) == 0);
	RUN_UNTIL(fake_open(fake) == 0);
	for (i = 0; i < 5; i++)
		loop_run_once(loop, 0);
	ck_assert_int_eq(caller.done, 0);
	ck_assert_int_eq(caller.heads, _i <= 1);
}
END_TEST

START_TEST(call_cancelled_at_once_has_sent_nothing)
{
	struct http_request r = {.method = "POST"};

	start(&caller, &r, "/run");
	ck_assert(!http_call_cancel(caller.call));
	loop_run_once(loop, loop_now_ms(loop) + SHORT_MS);
	ck_assert_int_eq(caller.done, 0);
	ck_assert_uint_eq(fake_most_open(fake), 0);
}
END_TEST

static const struct {
	const char *method;
	const char *url;
	struct http_header header;
} wrong[] = {
    {"GET", "https://127.0.0.1:9/", {"X", "y"}},
    {"GET", "file:///", {"X", "y"}},
    {"GET", "http://127.0.0.1:9/a b", {"X", "y"}},
    {"GET", "http://127.0.0.1:9/a\r\nX: y", {"X", "y"}},
    {"GET", "http://", {"X", "y"}},
    {"GE T", "http://127.0.0.1:9/", {"X", "y"}},
    {"GET", "http://127.0.0.1:9/", {"X", "y\r\nZ: z"}},
    {"GET", "http://127.0.0.1:9/", {"X y", "z"}},
    {"GET", "http://127.0.0.1:9/", {"", "z"}},
};

START_TEST(wrong_request_is_not_sent)
{
	struct http_request r = {.method = wrong[_i].method,
	    .url = wrong[_i].url,
	    .headers = &wrong[_i].header,
	    .n_headers = 1,
	    .deadline_ms = loop_now_ms(loop) + WAIT_MS};

	caller.call = http_call_start(client, &r, &handler, &caller);
	ck_assert_int_eq(caller.done, 0);
	RUN_UNTIL(caller.done);
	ck_assert_int_eq(caller.status, STATUS_INVALID);
	ck_assert(!caller.sent);
}
END_TEST

START_TEST(connections_are_bounded_and_reused)
{
	struct http_client_options o = {.conns_per_host_max = 2};
	struct http_request r = {.method = "GET"};
	struct caller callers[20];
	size_t i;

	http_client_free(client);
	client = http_client_new(loop, &o);
	for (i = 0; i < G_N_ELEMENTS(callers); i++) {
		caller_init(&callers[i]);
		start(&callers[i], &r, "/ok");
	}
	RUN_UNTIL(http_client_calls(client) == 0);
	ck_assert_uint_le(fake_most_open(fake), 2);
	for (i = 0; i < G_N_ELEMENTS(callers); i++) {
		ck_assert_int_eq(callers[i].status, STATUS_OK);
		ck_assert_str_eq(callers[i].body->str, BODY);
		caller_clear(&callers[i]);
	}
}
END_TEST

START_TEST(freed_client_drops_its_calls)
{
	struct http_request r = {.method = "GET"};
	struct caller other;

	caller_init(&other);
	start(&other, &r, "/hang");
	RUN_UNTIL(seen_head != NULL);
	start(&caller, &r, "/ok");
	http_client_free(client);
	client = NULL;
	RUN_UNTIL(fake_open(fake) == 0);
	ck_assert_int_eq(caller.done + other.done, 0);
	caller_clear(&other);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("http");
	TCase *tc = tcase_create("http");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(
	    tc, answer_is_told_as_it_came, 0, G_N_ELEMENTS(scripted));
	tcase_add_test(tc, request_goes_out_as_given);
	tcase_add_test(tc, head_of_an_answer_is_bounded_and_clean);
	tcase_add_loop_test(tc, method_and_length_fit_each_other, 0, 5);
	tcase_add_test(tc, path_is_not_rewritten);
	tcase_add_test(tc, hazard_reused_connection_doubles_a_post);
	tcase_add_test(tc, once_never_doubles_a_post);
	tcase_add_test(tc, connection_of_a_request_marked_once_is_not_kept);
	tcase_add_test(tc, deadline_ends_a_call_that_hangs);
	tcase_add_test(tc, deadline_that_has_passed_sends_nothing);
	tcase_add_test(tc, refused_connection_has_sent_nothing);
	tcase_add_test(tc, connection_that_is_not_established_has_sent_nothing);
	tcase_add_loop_test(
	    tc, pulled_body_arrives_whole_in_spite_of_pauses, 0, 4);
	tcase_add_test(tc, paused_answer_waits_and_arrives_whole);
	tcase_add_test(tc, aborted_call_fails);
	tcase_add_loop_test(
	    tc, cancelled_call_is_silent_and_its_connection_closed, 0, 4);
	tcase_add_test(tc, call_cancelled_at_once_has_sent_nothing);
	tcase_add_loop_test(
	    tc, wrong_request_is_not_sent, 0, G_N_ELEMENTS(wrong));
	tcase_add_test(tc, connections_are_bounded_and_reused);
	tcase_add_test(tc, freed_client_drops_its_calls);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
