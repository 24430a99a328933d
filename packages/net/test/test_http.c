/*
 * Tests of the HTTP client: requests, answers and their bodies.
 */
#include <string.h>

#include "http_caller.h"

#define PULL_BYTES 300000U

START_TEST(answer_is_delivered_as_received)
{
	int round;

	for (round = 0; round < 2; round++) {
		g_string_truncate(caller.body, 0);
		caller.code = caller.heads = caller.done = 0;
		caller_get(scripted[_i].path);
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

START_TEST(request_is_sent_as_given)
{
	struct http_header headers[] = {{"X-One", "1"}, {"X-None", ""},
	    {"Content-Length", "77"}, {"Host", "h"}};
	struct http_request r = {.method = "PUT",
	    .headers = headers,
	    .n_headers = G_N_ELEMENTS(headers),
	    .body = (const uint8_t *)"abc",
	    .body_bytes = 3};

	caller_start(&caller, &r, "/echo");
	RUN_UNTIL(loop, caller.done);
	ck_assert_str_eq(seen_head,
	    "PUT /echo HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nX-None:\r\n"
	    "Content-Length: 3\r\n");
	ck_assert_str_eq(caller.body->str, "abc");
	ck_assert_str_eq(caller.head->str, "Content-Length=3;X-Empty=;");
}
END_TEST

/* A call fails on too many headers, an oversized head or invalid lines. */
START_TEST(head_of_an_answer_is_bounded_and_validated)
{
	caller_get("/many");
	ck_assert_int_eq(caller.status, STATUS_INVALID);
	caller.done = caller.code = 0;
	caller_get("/long");
	ck_assert_int_eq(caller.status, STATUS_INVALID);
	caller.done = caller.code = 0;
	caller_get("/odd");
	ck_assert_int_eq(caller.status, STATUS_INVALID);
	ck_assert_int_eq(caller.heads, 0);
}
END_TEST

START_TEST(content_length_depends_on_method)
{
	static const char *const methods[] = {
	    "GET", "HEAD", "DELETE", "POST", "PUT"};
	struct http_request r = {.method = methods[_i]};
	bool length = _i >= 3;

	caller_start(&caller, &r, "/none");
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert(g_str_has_prefix(seen_head, methods[_i]));
	ck_assert(
	    (strstr(seen_head, "Content-Length: 0\r\n") != NULL) == length);
}
END_TEST

START_TEST(path_is_not_rewritten)
{
	caller_get("/hop/../none?a=%2e/..");
	ck_assert(g_str_has_prefix(seen_head, "GET /hop/../none?a=%2e/.. "));
}
END_TEST

START_TEST(pulled_body_arrives_complete_despite_pauses)
{
	struct http_request r = {.method = "POST",
	    .pulled = true,
	    .once = true,
	    .body_bytes = _i & 1 ? PULL_BYTES : HTTP_LENGTH_UNKNOWN};

	caller.pull_bytes = PULL_BYTES;
	if (_i & 2)
		caller_make_pauses(&caller);
	caller_start(&caller, &r, "/echo");
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert_uint_eq(caller.body->len, PULL_BYTES);
	ck_assert_uint_eq(strspn(caller.body->str, "p"), PULL_BYTES);
}
END_TEST

START_TEST(paused_answer_arrives_complete)
{
	struct http_request r = {.method = "GET"};

	caller_make_pauses(&caller);
	caller_start(&caller, &r, "/big");
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert_uint_eq(caller.body->len, BIG_BYTES);
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
		caller_start(&callers[i], &r, "/ok");
	}
	RUN_UNTIL(loop, http_client_calls(client) == 0);
	ck_assert_uint_le(fake_most_open(fake), 2);
	for (i = 0; i < G_N_ELEMENTS(callers); i++) {
		ck_assert_int_eq(callers[i].status, STATUS_OK);
		ck_assert_str_eq(callers[i].body->str, BODY);
		caller_clear(&callers[i]);
	}
}
END_TEST

/*
 * The server sends two answers to one request.  The client skips the first
 * answer if on_head() says so, ignores the second one otherwise, and closes the
 * connection in both cases.
 */
START_TEST(answer_of_another_request_is_skipped)
{
	struct http_request r = {.method = "GET"};

	caller.skip_heads = 1;
	caller_start(&caller, &r, "/twice");
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_eq(caller.status, STATUS_OK);
	ck_assert_str_eq(caller.body->str, "second");
	RUN_UNTIL(loop, fake_open(fake) == 0);
	caller.done = 0;
	caller_start(&caller, &r, "/twice");
	RUN_UNTIL(loop, caller.done);
	ck_assert_str_eq(caller.body->str, "secondfirst");
	RUN_UNTIL(loop, fake_open(fake) == 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("http");

	tcase_add_checked_fixture(tc, caller_setup, caller_teardown);
	tcase_add_loop_test(tc, answer_is_delivered_as_received, 0, N_SCRIPTED);
	tcase_add_test(tc, request_is_sent_as_given);
	tcase_add_test(tc, head_of_an_answer_is_bounded_and_validated);
	tcase_add_loop_test(tc, content_length_depends_on_method, 0, 5);
	tcase_add_test(tc, answer_of_another_request_is_skipped);
	tcase_add_test(tc, path_is_not_rewritten);
	tcase_add_loop_test(
	    tc, pulled_body_arrives_complete_despite_pauses, 0, 4);
	tcase_add_test(tc, paused_answer_arrives_complete);
	tcase_add_test(tc, connections_are_bounded_and_reused);
	return support_run("http", tc);
}
