/*
 * Thundering herd: all nodes of a data centre, or of all data centres, are
 * killed and restarted at once while the platform is up, down or recovering.
 * Reads must stay below a tenth of the platform's capacity, and no host may
 * serve an older version than before.
 */
#include <signal.h>
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "operators.h"
#include "read_meter.h"
#include "version_watch.h"

#define TEST_TIMEOUT_S 180
#define HOSTS 6
#define ADDED_SERVICES 600
#define BOUND_MS 20000
/* A tenth of the platform's capacity of 2,000 reads a second. */
#define MAX_READS_PER_S 200
#define RESUME_US 500000
#define OUTAGE_US 3000000

static const char *const data_centres[] = {"grandahus", "hofdasalur", NULL};

struct mass_restart {
	struct deployment *d;
	struct version_watch *watch;
	uint32_t bundles;
	uint64_t newest;
};

static uint64_t
sign_off(struct mass_restart *h, uint32_t host)
{
	char *path = deployment_bundle_services(++h->bundles, ADDED_SERVICES);
	uint64_t version =
	    deployment_sign_off(deployment_host(h->d, host), path);

	version_watch_accept(h->watch, version, BOUND_MS);
	g_free(path);
	return version;
}

static void
kill_hosts(struct mass_restart *h, uint32_t from, uint32_t to)
{
	struct host *host;
	uint32_t i;

	for (i = from; i < to; i++) {
		host = deployment_host(h->d, i);
		version_watch_set_reachable(h->watch, host, 0);
		process_signal(host->node, SIGKILL);
	}
	for (i = from; i < to; i++)
		deployment_kill_node(deployment_host(h->d, i));
}

static void
start_hosts(struct mass_restart *h, uint32_t from, uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++)
		deployment_start_node(h->d, deployment_host(h->d, i));
	for (i = from; i < to; i++)
		version_watch_set_reachable(
		    h->watch, deployment_host(h->d, i), 1);
}

static void
signal_hosts(struct mass_restart *h, uint32_t from, uint32_t to, int sig)
{
	uint32_t i;

	for (i = from; i < to; i++)
		process_signal(deployment_host(h->d, i)->node, sig);
}

static void
set_outage(struct mass_restart *h, int outage)
{
	deployment_platform_knobs(
	    h->d, outage ? "{\"outage\":true}" : "{\"outage\":false}");
}

/* Waits until all running nodes serve a version or a later one. */
static void
wait_for_version(struct mass_restart *h, const char *label, uint64_t version)
{
	uint64_t ms = deployment_wait_version(h->d, version, BOUND_MS);

	(void)printf("%s: all serve after %lu ms\n", label, (unsigned long)ms);
}

static void
check_reads(const struct mass_restart *h, const char *label)
{
	struct read_peak peak = read_meter_stop(h->d);

	(void)printf("%s: at most %lu reads and %lu requests in a second\n",
	    label, (unsigned long)peak.reads, (unsigned long)peak.requests);
	ck_assert_msg(
	    peak.reads < MAX_READS_PER_S && peak.requests < MAX_READS_PER_S,
	    "%s: %lu reads and %lu requests in a second", label,
	    (unsigned long)peak.reads, (unsigned long)peak.requests);
}

/* Restarts a data centre; a version is signed off while it is down. */
static void
restart_data_centre(struct mass_restart *h)
{
	const char *label = "a data centre";
	uint64_t version;

	kill_hosts(h, HOSTS, 2 * HOSTS);
	version = sign_off(h, 0);
	read_meter_start(h->d);
	start_hosts(h, HOSTS, 2 * HOSTS);
	wait_for_version(h, label, version);
	check_reads(h, label);
}

/* Restarts a data centre while the platform is down, so that its nodes get the
 * version from the other data centre. */
static void
restart_without_platform(struct mass_restart *h)
{
	const char *label = "a data centre, platform down";
	uint64_t version = deployment_version(deployment_host(h->d, 0));

	set_outage(h, 1);
	kill_hosts(h, HOSTS, 2 * HOSTS);
	read_meter_start(h->d);
	start_hosts(h, HOSTS, 2 * HOSTS);
	wait_for_version(h, label, version);
	check_reads(h, label);
	set_outage(h, 0);
}

static int
all_have_newest(void *arg)
{
	const struct mass_restart *h = arg;
	uint32_t i;

	for (i = HOSTS; i < 2 * HOSTS; i++)
		if (deployment_version(deployment_host(h->d, i)) < h->newest)
			return 0;
	return 1;
}

/* Signs off a version that reaches only the second data centre, which is then
 * killed. */
static void
sign_off_in_one_data_centre(struct mass_restart *h)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		version_watch_set_reachable(
		    h->watch, deployment_host(h->d, i), 0);
	signal_hosts(h, 0, HOSTS, SIGSTOP);
	h->newest = sign_off(h, HOSTS);
	ck_assert(harness_wait_until(all_have_newest, h, BOUND_MS));
	set_outage(h, 1);
	kill_hosts(h, HOSTS, 2 * HOSTS);
	signal_hosts(h, 0, HOSTS, SIGCONT);
	for (i = 0; i < HOSTS; i++)
		version_watch_set_reachable(
		    h->watch, deployment_host(h->d, i), 1);
	g_usleep(RESUME_US);
	ck_assert_uint_eq(
	    deployment_version(deployment_host(h->d, 0)), h->newest - 1);
}

/*
 * Restarts a data centre that had a version which no other data centre has,
 * while the platform is down.  The floors require that version, so its hosts
 * must serve nothing instead of an older version.
 */
static void
restart_ahead_of_peers(struct mass_restart *h)
{
	uint32_t i;

	sign_off_in_one_data_centre(h);
	start_hosts(h, HOSTS, 2 * HOSTS);
	g_usleep(OUTAGE_US);
	for (i = HOSTS; i < 2 * HOSTS; i++)
		ck_assert_uint_eq(
		    deployment_version(deployment_host(h->d, i)), 0);
	set_outage(h, 0);
	wait_for_version(h,
	    "a data centre ahead of the other, platform recovered", h->newest);
}

/* Restarts all nodes during an outage, so that no node has a version and all
 * wait until the platform recovers. */
static void
restart_all(struct mass_restart *h)
{
	const char *label = "all hosts, platform recovered after 3 s";

	kill_hosts(h, 0, 2 * HOSTS);
	set_outage(h, 1);
	read_meter_start(h->d);
	start_hosts(h, 0, 2 * HOSTS);
	g_usleep(OUTAGE_US);
	set_outage(h, 0);
	wait_for_version(h, label, h->newest);
	check_reads(h, label);
}

START_TEST(many_nodes_restart_at_once)
{
	struct deployment_plan plan = deployment_registry;
	struct mass_restart h = {0};

	plan.data_centres = data_centres;
	plan.hosts = HOSTS;
	h.d = deployment_new(&plan);
	deployment_start_nodes(h.d);
	h.watch = version_watch_start(h.d);
	(void)version_watch_wait(h.watch, sign_off(&h, 0), BOUND_MS);
	restart_data_centre(&h);
	restart_without_platform(&h);
	restart_ahead_of_peers(&h);
	restart_all(&h);
	ck_assert_uint_eq(version_watch_end(h.watch), 0);
	deployment_free(h.d);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("herd");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, many_nodes_restart_at_once);
	return harness_run(tc, TEST_TIMEOUT_S);
}
