/*
 * A refusal must reach the caller even while the caller is still sending a body
 * that the node discards: closing a connection with unread bytes resets it, and
 * the answer can be lost.
 */
#include <check.h>
#include <curl/curl.h>

#include "calls.h"

#define TEST_TIMEOUT_S 60

/* Nodes without a version refuse every call. */
START_TEST(refusals_reach_callers_that_are_still_sending)
{
	static const char *const args[] = {"--rate", "200", "--duration-s", "3",
	    "--mix", "1:1:4", "--upload-bytes", "400000", NULL};
	struct calls_counts c = {0};
	struct deployment *d = deployment_new(&deployment_registry);
	struct process *load;

	deployment_start(d);
	load = deployment_load(d, "refused", deployment_host(d, 0), 1, args);
	calls_load_end(load, "refused", &c);
	calls_print("refused", &c);
	ck_assert_uint_gt(c.sent, 0);
	ck_assert_uint_eq(c.not_run, c.sent);
	ck_assert_uint_eq(c.bad_answers, 0);
	calls_stop(d);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("refused");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, refusals_reach_callers_that_are_still_sending);
	return harness_run(tc, TEST_TIMEOUT_S);
}
