/*
 * The product's own store comes back from an older copy, and no running node
 * holds the version that it has lost.
 *
 * Failure guarded against: all nodes waited for that version, and refused the
 * operators' next one.
 */
#include <signal.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "harness.h"
#include "operators.h"

#define TEST_TIMEOUT_S 120
#define START_BOUND_MS 20000
#define GOSSIP_BOUND_MS 10000
#define ROLLOUT_BOUND_MS 8000

/* Time for datagrams to reach nodes that are suspended. */
#define SEND_US 1000000

static void
signal_others(struct deployment *d, int sig)
{
	uint32_t i;

	for (i = 1; i < d->hosts->len; i++)
		process_signal(deployment_host(d, i)->node, sig);
}

/* Whether a node knows of version 1, and holds no version. */
static int
knows_only_of_the_version(void *arg)
{
	json_t *j = deployment_api(arg, "GET", "/v1/status", NULL, NULL);
	int found;

	found = json_number(json_object_get(j, "head"), "version") == 1 &&
	    json_number(j, "held") == 0;
	json_decref(j);
	return found;
}

/* Signs version 1 off at a node that dies before another has its content, and
 * restores the store from a copy without it. */
static void
lose_the_first_version(struct deployment *d)
{
	char *path = deployment_bundle(1);

	deployment_platform_knobs(d, "{\"back_up\":true}");
	signal_others(d, SIGSTOP);
	ck_assert_uint_eq(deployment_sign_off(deployment_host(d, 0), path), 1);
	g_usleep(SEND_US);
	deployment_kill_node(deployment_host(d, 0));
	json_decref(deployment_platform_restore(d));
	signal_others(d, SIGCONT);
	g_free(path);
}

START_TEST(a_version_that_no_node_holds_is_followed_by_another)
{
	struct deployment *d = deployment_new(&deployment_registry);
	struct host *h = deployment_host(d, 1);
	char *path = deployment_bundle(2);
	uint64_t version;

	deployment_start_nodes(d);
	deployment_wait_members(d, d->hosts->len, START_BOUND_MS);
	lose_the_first_version(d);
	ck_assert_msg(
	    harness_wait_until(knows_only_of_the_version, h, GOSSIP_BOUND_MS),
	    "node %s doesn't know of version 1 alone", h->name);
	version = deployment_sign_off(h, path);
	ck_assert_uint_gt(version, 1);
	deployment_start_node(d, deployment_host(d, 0));
	(void)deployment_wait_version(d, version, ROLLOUT_BOUND_MS);
	ck_assert_uint_eq(operators_head(d).version, version);
	deployment_free(d);
	g_free(path);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("restored_store");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, a_version_that_no_node_holds_is_followed_by_another);
	return harness_run(tc, TEST_TIMEOUT_S);
}
