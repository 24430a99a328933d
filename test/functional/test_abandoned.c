/*
 * bramleyctl times out during an outage of the platform.  The node must abandon
 * the sign-off by then too.  Otherwise a sign-off without a waiting client
 * could be executed later, on top of versions that others have signed off
 * meanwhile.
 */
#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "operators.h"

#define TEST_TIMEOUT_S 60
#define ROLLOUT_BOUND_MS 15000
/* Longer than a node retries an operation. */
#define LATE_EFFECT_US (11 * G_USEC_PER_SEC)

START_TEST(abandoned_sign_off_has_no_late_effect)
{
	char *bundle = deployment_bundle(1);
	const char *args[] = {
	    "--op", "gone-1", "--timeout-ms", "1500", "sign-off", bundle, NULL};
	struct deployment *d = deployment_new(&deployment_registry);
	char *other = deployment_bundle(2);
	uint64_t version;
	int code;

	deployment_start(d);
	deployment_platform_knobs(d, "{\"outage\":true}");
	json_decref(deployment_ctl(deployment_host(d, 1), &code, args));
	ck_assert_msg(code == CTL_UNKNOWN || code == CTL_UNAVAILABLE,
	    "a sign-off in an outage ended with %d", code);
	deployment_platform_knobs(d, "{\"outage\":false}");
	version = deployment_sign_off(deployment_host(d, 0), other);
	(void)deployment_wait_version(d, version, ROLLOUT_BOUND_MS);
	g_usleep(LATE_EFFECT_US);
	ck_assert_uint_eq(operators_count_versions(d, "gone-1", NULL), 0);
	ck_assert_uint_eq(operators_head(d).version, version);
	g_free(bundle);
	g_free(other);
	deployment_free(d);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("abandoned");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, abandoned_sign_off_has_no_late_effect);
	return harness_run(tc, TEST_TIMEOUT_S);
}
