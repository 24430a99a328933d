/*
 * Open connections to the platform go silent permanently while new ones work,
 * both when idle and in the middle of a transfer.  Sign-offs and rollouts must
 * succeed.
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
#define BOUND_MS 25000
#define ADDED_SERVICES 200
/* In the middle of the list of sections, which has about 14 KB. */
#define MIDDLE_BYTES 6000
#define IDLE_US 1500000
/* Rounds in which open connections are silenced while all nodes read. */
#define SILENCE_ROUNDS 6
#define SILENCE_INTERVAL_US 700000

static void
silence_all_after(struct deployment *d, uint64_t bytes)
{
	guint i;

	for (i = 0; i < d->relays->len; i++)
		relay_silence_after(g_ptr_array_index(d->relays, i), bytes);
}

static void
silence_all_open(struct deployment *d)
{
	guint i;

	for (i = 0; i < d->relays->len; i++)
		relay_silence_open(g_ptr_array_index(d->relays, i));
}

static void
check_silenced(struct deployment *d, const char *label)
{
	guint i;
	uint64_t n = 0;

	for (i = 0; i < d->relays->len; i++)
		n += relay_silenced(g_ptr_array_index(d->relays, i));
	ck_assert_msg(n > 0, "%s: no connection was silenced", label);
	(void)printf(
	    "%s: %lu connections silenced so far\n", label, (unsigned long)n);
}

static uint64_t
sign_off(
    struct deployment *d, struct version_watch *w, uint32_t host, uint32_t n)
{
	char *path = deployment_bundle_services(n, ADDED_SERVICES);
	uint64_t version = deployment_sign_off(deployment_host(d, host), path);

	version_watch_accept(w, version, BOUND_MS);
	(void)version_watch_wait(w, version, BOUND_MS);
	g_free(path);
	return version;
}

/* Restarts all nodes, which have no version and read all of it from the
 * platform, while connections go silent. */
static void
restart_all(struct deployment *d, struct version_watch *w, uint64_t version)
{
	struct host *h;
	uint32_t i;
	uint64_t ms;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		version_watch_set_reachable(w, h, 0);
		deployment_kill_node(h);
	}
	silence_all_after(d, MIDDLE_BYTES);
	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		deployment_start_node(d, h);
		version_watch_set_reachable(w, h, 1);
	}
	for (i = 0; i < SILENCE_ROUNDS; i++) {
		g_usleep(SILENCE_INTERVAL_US);
		silence_all_open(d);
	}
	ms = deployment_wait_version(d, version, BOUND_MS);
	(void)printf(
	    "all serve %lu ms after the last silencing\n", (unsigned long)ms);
}

START_TEST(silent_connections_block_nothing)
{
	struct deployment_plan plan = deployment_registry;
	struct deployment *d;
	struct version_watch *w;
	uint64_t version;

	plan.relayed = RELAYED_BY_DATA_CENTRE;
	d = deployment_new(&plan);
	deployment_start_nodes(d);
	w = version_watch_start(d);
	silence_all_after(d, MIDDLE_BYTES);
	(void)sign_off(d, w, 0, 1);
	check_silenced(d, "in the middle of a sign-off");
	g_usleep(IDLE_US);
	silence_all_open(d);
	version = sign_off(d, w, 2, 2);
	check_silenced(d, "idle connections");
	restart_all(d, w, version);
	check_silenced(d, "in the middle of reads");
	(void)sign_off(d, w, 4, 3);
	ck_assert_uint_eq(version_watch_end(w), 0);
	deployment_free(d);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("platform_silent");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, silent_connections_block_nothing);
	return harness_run(tc, TEST_TIMEOUT_S);
}
