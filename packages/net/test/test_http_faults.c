/*
 * Tests of the HTTP client: requests that fail, are cancelled or must not be
 * sent twice.
 */
#include <string.h>

#include "http_caller.h"

#define SHORT_MS 80
#define PULL_BYTES 300000U

/*
 * Demonstrates why `once` exists: the server executes a POST on a reused
 * connection and closes the connection without an answer.  The client sends an
 * unmarked request again, so that the server executes it twice.
 */
static void
post_after_another(bool once)
{
	struct http_request r = {
	    .method = "POST", .body = (const uint8_t *)"abc", .body_bytes = 3};

	caller_start(&caller, &r, "/echo");
	RUN_UNTIL(loop, caller.done == 1);
	ck_assert_uint_eq(fake_open(fake), 1);
	caller.code = 0;
	runs = 0;
	r.once = once;
	r.reuse_idle_ms = once ? WAIT_MS : 0;
	caller_start(&caller, &r, "/run");
	RUN_UNTIL(loop, caller.done == 2);
}

START_TEST(reused_connection_repeats_an_unmarked_post)
{
	post_after_another(false);
	ck_assert_int_eq(runs, 2);
	ck_assert_int_eq(caller.status, STATUS_OK);
}
END_TEST

START_TEST(reused_connection_does_not_repeat_a_once_post)
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

/* The client can't know whether the server has closed an idle connection. */
START_TEST(once_request_gets_a_new_connection_unless_reuse_is_allowed)
{
	struct http_request r = {.method = "GET"};
	int i;

	caller_start(&caller, &r, "/ok");
	RUN_UNTIL(loop, caller.done == 1);
	r.once = true;
	for (i = 2; i <= 3; i++) {
		caller.code = 0;
		caller_start(&caller, &r, "/ok");
		RUN_UNTIL(loop, fake_open(fake) == 2);
		RUN_UNTIL(loop, caller.done == i);
		RUN_UNTIL(loop, fake_open(fake) == 1);
	}
	r.reuse_idle_ms = WAIT_MS;
	caller.code = 0;
	caller_start(&caller, &r, "/ok");
	RUN_UNTIL(loop, caller.done == i);
	ck_assert_uint_eq(fake_open(fake), 1);
	ck_assert_uint_eq(http_client_idle(client), 1);
}
END_TEST

START_TEST(deadline_ends_a_call_that_hangs)
{
	struct http_request r = {
	    .method = "GET", .deadline_ms = loop_now_ms(loop) + SHORT_MS};

	caller_start(&caller, &r, "/hang");
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_TIMEOUT);
	ck_assert(caller.sent);
	RUN_UNTIL(loop, fake_open(fake) == 0);
}
END_TEST

START_TEST(expired_deadline_sends_nothing)
{
	struct http_request r = {.method = "GET", .deadline_ms = 1};

	caller_start(&caller, &r, "/ok");
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_TIMEOUT);
	ck_assert(!caller.sent);
}
END_TEST

START_TEST(refused_connection_has_sent_nothing)
{
	struct http_request r = {.method = "POST", .once = true};

	/* No test listens on port 9 (discard). */
	r.url = "http://127.0.0.1:9/";
	r.deadline_ms = loop_now_ms(loop) + WAIT_MS;
	caller.call = http_call_start(client, &r, &caller_handler, &caller);
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_UNAVAILABLE);
	ck_assert(!caller.sent);
}
END_TEST

START_TEST(connection_that_is_not_established_has_sent_nothing)
{
	struct http_request r = {.method = "POST", .connect_ms = SHORT_MS};
	struct silent silent;
	char *url;

	support_silent_open(&silent);
	url = g_strdup_printf("http://127.0.0.1:%u/", silent.port);
	r.url = url;
	r.deadline_ms = loop_now_ms(loop) + WAIT_MS;
	caller.call = http_call_start(client, &r, &caller_handler, &caller);
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_UNAVAILABLE);
	ck_assert(!caller.sent);
	support_silent_close(&silent);
	g_free(url);
}
END_TEST

START_TEST(aborted_call_fails)
{
	caller.abort_on_body = true;
	caller_get("/ok");
	ck_assert_int_eq(caller.status, STATUS_UNAVAILABLE);
}
END_TEST

START_TEST(cancelled_call_makes_no_callbacks_and_closes_its_connection)
{
	struct http_request r = {.method = "POST", .pulled = _i == 2};
	int i;

	r.body_bytes = _i == 2 ? PULL_BYTES : 0;
	caller.cancel_on_head = _i == 0;
	caller.cancel_on_body = _i == 1;
	caller.cancel_on_pull = _i == 2;
	caller_start(&caller, &r, _i == 3 ? "/hang" : "/big");
	if (_i == 3) {
		RUN_UNTIL(loop, seen_head != NULL);
		ck_assert(http_call_cancel(caller.call));
	}
	RUN_UNTIL(loop, http_client_calls(client) == 0);
	RUN_UNTIL(loop, fake_open(fake) == 0);
	for (i = 0; i < 5; i++)
		loop_run_once(loop, 0);
	ck_assert_int_eq(caller.done, 0);
	ck_assert_int_eq(caller.heads, _i <= 1);
}
END_TEST

START_TEST(call_cancelled_before_start_has_sent_nothing)
{
	struct http_request r = {.method = "POST"};

	caller_start(&caller, &r, "/run");
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
} invalid_requests[] = {
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

START_TEST(invalid_request_is_not_sent)
{
	struct http_request r = {.method = invalid_requests[_i].method,
	    .url = invalid_requests[_i].url,
	    .headers = &invalid_requests[_i].header,
	    .n_headers = 1,
	    .deadline_ms = loop_now_ms(loop) + WAIT_MS};

	caller.call = http_call_start(client, &r, &caller_handler, &caller);
	ck_assert_int_eq(caller.done, 0);
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_INVALID);
	ck_assert(!caller.sent);
}
END_TEST

START_TEST(freed_client_cancels_its_calls)
{
	struct http_request r = {.method = "GET"};
	struct caller other;

	caller_init(&other);
	caller_start(&other, &r, "/hang");
	RUN_UNTIL(loop, seen_head != NULL);
	caller_start(&caller, &r, "/ok");
	http_client_free(client);
	client = NULL;
	RUN_UNTIL(loop, fake_open(fake) == 0);
	ck_assert_int_eq(caller.done + other.done, 0);
	caller_clear(&other);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("http_faults");

	tcase_add_checked_fixture(tc, caller_setup, caller_teardown);
	tcase_add_test(tc, reused_connection_repeats_an_unmarked_post);
	tcase_add_test(tc, reused_connection_does_not_repeat_a_once_post);
	tcase_add_test(
	    tc, once_request_gets_a_new_connection_unless_reuse_is_allowed);
	tcase_add_test(tc, deadline_ends_a_call_that_hangs);
	tcase_add_test(tc, expired_deadline_sends_nothing);
	tcase_add_test(tc, refused_connection_has_sent_nothing);
	tcase_add_test(tc, connection_that_is_not_established_has_sent_nothing);
	tcase_add_test(tc, aborted_call_fails);
	tcase_add_loop_test(tc,
	    cancelled_call_makes_no_callbacks_and_closes_its_connection, 0, 4);
	tcase_add_test(tc, call_cancelled_before_start_has_sent_nothing);
	tcase_add_loop_test(
	    tc, invalid_request_is_not_sent, 0, G_N_ELEMENTS(invalid_requests));
	tcase_add_test(tc, freed_client_cancels_its_calls);
	return support_run("http_faults", tc);
}
