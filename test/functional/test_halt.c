/*
 * A version is halted during its rollout.  Hosts without the version must never
 * serve it, hosts with the version keep it, and the next version must reach all
 * hosts.
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
#define ROLLOUT_BOUND_MS 8000
#define SETTLE_US 3000000

/* Hosts that are suspended while the version is signed off and halted. */
static const uint32_t suspended[] = {1, 4};

static void
signal_suspended(struct deployment *d, struct version_watch *w, int sig)
{
	const struct host *h;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(suspended); i++) {
		h = deployment_host(d, suspended[i]);
		process_signal(h->node, sig);
		version_watch_set_reachable(w, h, sig == SIGCONT);
	}
}

static int
is_suspended(uint32_t i)
{
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(suspended); k++)
		if (suspended[k] == i)
			return 1;
	return 0;
}

static void
check_served(struct deployment *d, struct version_watch *w)
{
	const struct host *h;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		ck_assert_uint_eq(
		    version_watch_highest(w, h), is_suspended(i) ? 1 : 2);
		ck_assert_uint_eq(
		    deployment_version(h), is_suspended(i) ? 1 : 2);
	}
}

/* Rolls out version 2 to all but two hosts, and halts it. */
static void
halt_during_rollout(struct deployment *d, struct version_watch *w)
{
	char *path = deployment_bundle(2);
	const char *halt[] = {"--op", "halt-2", "halt", "2", NULL};
	const char *watch[] = {"watch", "2", "--timeout-ms", "5000", NULL};
	int code;

	signal_suspended(d, w, SIGSTOP);
	ck_assert_uint_eq(deployment_sign_off(deployment_host(d, 0), path), 2);
	version_watch_accept(w, 2, ROLLOUT_BOUND_MS);
	(void)version_watch_wait(w, 2, ROLLOUT_BOUND_MS);
	json_decref(deployment_ctl(deployment_host(d, 2), NULL, halt));
	version_watch_halted(w, 2);
	signal_suspended(d, w, SIGCONT);
	json_decref(deployment_ctl(deployment_host(d, 3), &code, watch));
	ck_assert_int_eq(code, CTL_NOT_CONVERGED);
	g_usleep(SETTLE_US);
	check_served(d, w);
	g_free(path);
}

/* Supersedes the halted version by version 3, with the content of version 1. */
static void
supersede_halted(struct deployment *d, struct version_watch *w)
{
	const char *args[] = {"supersede", "1", NULL};
	json_t *first, *j, *third;
	uint64_t ms;

	j = deployment_ctl(deployment_host(d, 5), NULL, args);
	ck_assert_int_eq(json_number(j, "version"), 3);
	version_watch_accept(w, 3, ROLLOUT_BOUND_MS);
	ms = version_watch_wait(w, 3, ROLLOUT_BOUND_MS);
	(void)printf("all serve the superseding version after %lu ms\n",
	    (unsigned long)ms);
	first = deployment_platform_row(d, "version/1");
	third = deployment_platform_row(d, "version/3");
	ck_assert_str_eq(deployment_row_text(first, "root"),
	    deployment_row_text(third, "root"));
	json_decref(first);
	json_decref(third);
	json_decref(j);
}

START_TEST(halted_during_rollout)
{
	char *path = deployment_bundle(1);
	struct deployment *d = deployment_new(&deployment_registry);
	struct platform_head head;
	struct version_watch *w;

	deployment_start_nodes(d);
	w = version_watch_start(d);
	ck_assert_uint_eq(deployment_sign_off(deployment_host(d, 0), path), 1);
	version_watch_accept(w, 1, START_BOUND_MS);
	(void)version_watch_wait(w, 1, START_BOUND_MS);
	halt_during_rollout(d, w);
	head = operators_head(d);
	ck_assert_uint_eq(head.version, 2);
	ck_assert_uint_eq(head.in_force, 1);
	supersede_halted(d, w);
	ck_assert_uint_eq(version_watch_end(w), 0);
	deployment_free(d);
	g_free(path);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("halt");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, halted_during_rollout);
	return harness_run(tc, TEST_TIMEOUT_S);
}
