/*
 * The platform is down, then slow, during rollouts.  Nodes must serve the
 * version that they have, a version that was accepted just before the outage
 * must reach all nodes through peers, and bramleyctl must report true results.
 */
#include <signal.h>
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "operators.h"
#include "version_watch.h"

#define TEST_TIMEOUT_S 120
#define START_BOUND_MS 20000
#define ROLLOUT_BOUND_MS 5000
/* A reader's backoff can be 10 s when the platform recovers. */
#define RECOVERY_BOUND_MS 15000
#define SUSPENDED_US 300000

/* An operation that is started while the platform is down. */
struct outage_operation {
	const char *op;
	const char *args[8];
	struct process *ctl;
};

static const char *const load_args[] = {
    "--rate", "60", "--duration-s", "16", "--mix", "8:1:1", NULL};

static uint64_t
sign_off(struct deployment *d, struct version_watch *w, uint32_t host,
    uint32_t n, uint32_t bound_ms)
{
	char *path = deployment_bundle(n);
	uint64_t version = deployment_sign_off(deployment_host(d, host), path);

	version_watch_accept(w, version, bound_ms);
	g_free(path);
	return version;
}

static void
signal_two_nodes(struct deployment *d, int sig)
{
	process_signal(deployment_host(d, 1)->node, sig);
	process_signal(deployment_host(d, 4)->node, sig);
}

/* Signs off a version while two nodes are suspended; when they resume, the
 * platform is down. */
static uint64_t
sign_off_before_outage(struct deployment *d, struct version_watch *w)
{
	uint64_t ms, version;

	signal_two_nodes(d, SIGSTOP);
	version = sign_off(d, w, 0, 1, ROLLOUT_BOUND_MS);
	deployment_platform_knobs(d, "{\"outage\":true}");
	g_usleep(SUSPENDED_US);
	signal_two_nodes(d, SIGCONT);
	ms = version_watch_wait(w, version, ROLLOUT_BOUND_MS);
	(void)printf("a version signed off before the outage reached all nodes "
		     "%lu ms after they resumed\n",
	    (unsigned long)ms);
	return version;
}

/* No write is possible, so each operation must end as unavailable. */
static void
run_operations_in_outage(struct deployment *d)
{
	char *path = deployment_bundle(2);
	struct outage_operation ops[] = {
	    {"out-1", {"--op", "out-1", "sign-off", path, NULL}, NULL},
	    {"out-2", {"--op", "out-2", "halt", "2", NULL}, NULL},
	    {"out-3", {"--op", "out-3", "supersede", "1", NULL}, NULL},
	};
	int code;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ops); i++)
		ops[i].ctl = deployment_ctl_start(
		    deployment_host(d, (uint32_t)i * 2), ops[i].args);
	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		json_decref(deployment_ctl_end(ops[i].ctl, &code));
		ck_assert_msg(code == CTL_UNAVAILABLE, "%s ended with %d",
		    ops[i].op, code);
	}
	g_free(path);
}

/* The platform answers so slowly that a sign-off takes seconds. */
static uint64_t
sign_off_while_slow(struct deployment *d, struct version_watch *w)
{
	deployment_platform_knobs(d, "{\"outage\":false,\"delay_ms\":600}");
	return sign_off(d, w, 2, 3, RECOVERY_BOUND_MS);
}

/* Each answer of the platform exceeds its timeout, and bramleyctl times out. */
static void
sign_off_while_too_slow(struct deployment *d, struct version_watch *w)
{
	char *path = deployment_bundle(4);
	const char *args[] = {
	    "--op", "slow-1", "--timeout-ms", "3000", "sign-off", path, NULL};
	int code;
	uint64_t version;

	deployment_platform_knobs(d, "{\"delay_ms\":2500}");
	json_decref(deployment_ctl(deployment_host(d, 5), &code, args));
	ck_assert_msg(code == CTL_UNKNOWN || code == CTL_UNAVAILABLE,
	    "a sign-off of unknown result ended with %d", code);
	deployment_platform_knobs(d, "{\"delay_ms\":0}");
	/* The node may still be executing the operation until its deadline. */
	version = sign_off(d, w, 3, 5, RECOVERY_BOUND_MS);
	(void)version_watch_wait(w, version, RECOVERY_BOUND_MS);
	(void)operators_check_result(
	    deployment_host(d, 0), d, "slow-1", code, 0);
	g_free(path);
}

static void
check_outage_wrote_nothing(struct deployment *d)
{
	struct platform_head head = operators_head(d);

	ck_assert_uint_eq(operators_count_versions(d, "out-1", NULL), 0);
	ck_assert_uint_eq(operators_count_versions(d, "out-3", NULL), 0);
	/* Without a halt each write of the head row created a version. */
	ck_assert_uint_eq(head.seq, head.version);
	ck_assert_int_eq(operators_query(deployment_host(d, 3), "out-2", NULL),
	    CTL_NOT_FOUND);
}

START_TEST(nodes_serve_without_the_platform)
{
	json_t *sum;
	struct deployment *d = deployment_new(&deployment_registry);
	struct process *load;
	struct version_watch *w;
	uint64_t version;

	deployment_start(d);
	w = version_watch_start(d);
	version = sign_off(d, w, 0, 0, START_BOUND_MS);
	(void)version_watch_wait(w, version, START_BOUND_MS);
	load = deployment_load(d, "load", deployment_host(d, 0), 1, load_args);
	version = sign_off_before_outage(d, w);
	run_operations_in_outage(d);
	ck_assert_uint_eq(deployment_version(deployment_host(d, 5)), version);
	version = sign_off_while_slow(d, w);
	(void)version_watch_wait(w, version, RECOVERY_BOUND_MS);
	sign_off_while_too_slow(d, w);
	check_outage_wrote_nothing(d);
	sum = deployment_load_end(load);
	ck_assert_int_gt(json_number(sum, "sent"), 0);
	ck_assert_int_eq(json_number(sum, "done"), json_number(sum, "sent"));
	ck_assert_uint_eq(version_watch_end(w), 0);
	ck_assert_uint_eq(deployment_check_runs(d), 0);
	json_decref(sum);
	deployment_free(d);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("platform_away");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, nodes_serve_without_the_platform);
	return harness_run(tc, TEST_TIMEOUT_S);
}
