/*
 * Herds: all nodes of a data centre, or all there are, are killed and start
 * at once, with the platform up, down, or coming back.  The platform is read
 * at less than a tenth of what it can do, and no host serves an older version
 * than it had held.
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
#define MORE_SERVICES 600
#define BOUND_MS 20000
/* A tenth of the 2,000 reads a second that the platform can do. */
#define READS_MAX 200
#define THAW_US 500000
#define DOWN_US 3000000

static const char *const places[] = {"grandahus", "hofdasalur", NULL};

struct herd {
	struct deployment *d;
	struct version_watch *watch;
	uint32_t bundles;
	uint64_t newest;
};

static uint64_t
sign(struct herd *h, uint32_t host)
{
	char *path = deployment_bundle_services(++h->bundles, MORE_SERVICES);
	uint64_t version =
	    deployment_sign_off(deployment_host(h->d, host), path);

	version_watch_accept(h->watch, version, BOUND_MS);
	g_free(path);
	return version;
}

static void
kill_hosts(struct herd *h, uint32_t from, uint32_t to)
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
start_hosts(struct herd *h, uint32_t from, uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++)
		deployment_start_node(h->d, deployment_host(h->d, i));
	for (i = from; i < to; i++)
		version_watch_set_reachable(
		    h->watch, deployment_host(h->d, i), 1);
}

static void
signal_hosts(struct herd *h, uint32_t from, uint32_t to, int sig)
{
	uint32_t i;

	for (i = from; i < to; i++)
		process_signal(deployment_host(h->d, i)->node, sig);
}

static void
set_outage(struct herd *h, int outage)
{
	deployment_platform_knobs(
	    h->d, outage ? "{\"outage\":true}" : "{\"outage\":false}");
}

/* Until all that were started serve again, each at least what it held. */
static void
await(struct herd *h, const char *what, uint64_t version)
{
	uint64_t ms = deployment_wait_version(h->d, version, BOUND_MS);

	(void)printf("%s: all serve after %lu ms\n", what, (unsigned long)ms);
}

static void
check_reads(struct read_meter *m, const char *what)
{
	struct read_peak peak = read_meter_stop(m);

	(void)printf("%s: at most %lu reads and %lu requests in a second\n",
	    what, (unsigned long)peak.reads, (unsigned long)peak.requests);
	ck_assert_msg(peak.reads < READS_MAX && peak.requests < READS_MAX,
	    "%s: %lu reads and %lu requests in a second", what,
	    (unsigned long)peak.reads, (unsigned long)peak.requests);
}

/* One data centre; a version is signed off while it is gone. */
static void
restart_data_centre(struct herd *h)
{
	const char *what = "a data centre";
	struct read_meter *m;
	uint64_t version;

	kill_hosts(h, HOSTS, 2 * HOSTS);
	version = sign(h, 0);
	m = read_meter_start(h->d);
	start_hosts(h, HOSTS, 2 * HOSTS);
	await(h, what, version);
	check_reads(m, what);
}

/* The same with the platform down: what it held comes from the other one. */
static void
restart_without_platform(struct herd *h)
{
	const char *what = "a data centre, the platform down";
	struct read_meter *m;
	uint64_t version = deployment_version(deployment_host(h->d, 0));

	set_outage(h, 1);
	kill_hosts(h, HOSTS, 2 * HOSTS);
	m = read_meter_start(h->d);
	start_hosts(h, HOSTS, 2 * HOSTS);
	await(h, what, version);
	check_reads(m, what);
	set_outage(h, 0);
}

static int
all_hold(void *arg)
{
	const struct herd *h = arg;
	uint32_t i;

	for (i = HOSTS; i < 2 * HOSTS; i++)
		if (deployment_version(deployment_host(h->d, i)) < h->newest)
			return 0;
	return 1;
}

/* A version that only the second data centre gets. */
static void
sign_for_one(struct herd *h)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		version_watch_set_reachable(
		    h->watch, deployment_host(h->d, i), 0);
	signal_hosts(h, 0, HOSTS, SIGSTOP);
	h->newest = sign(h, HOSTS);
	ck_assert(harness_wait_until(all_hold, h, BOUND_MS));
	set_outage(h, 1);
	kill_hosts(h, HOSTS, 2 * HOSTS);
	signal_hosts(h, 0, HOSTS, SIGCONT);
	for (i = 0; i < HOSTS; i++)
		version_watch_set_reachable(
		    h->watch, deployment_host(h->d, i), 1);
	g_usleep(THAW_US);
	ck_assert_uint_eq(
	    deployment_version(deployment_host(h->d, 0)), h->newest - 1);
}

/*
 * A data centre is gone that held a version which nobody else got, and the
 * platform is down.  Its hosts are told so by the floors: they serve nothing
 * rather than go back.
 */
static void
restart_ahead_of_peers(struct herd *h)
{
	uint32_t i;

	sign_for_one(h);
	start_hosts(h, HOSTS, 2 * HOSTS);
	g_usleep(DOWN_US);
	for (i = HOSTS; i < 2 * HOSTS; i++)
		ck_assert_uint_eq(
		    deployment_version(deployment_host(h->d, i)), 0);
	set_outage(h, 0);
	await(h, "a data centre ahead of the other, the platform back",
	    h->newest);
}

/* Nobody holds anything; all wait for the platform, which comes back. */
static void
restart_all(struct herd *h)
{
	const char *what = "all hosts, the platform back after 3 s";
	struct read_meter *m;

	kill_hosts(h, 0, 2 * HOSTS);
	set_outage(h, 1);
	m = read_meter_start(h->d);
	start_hosts(h, 0, 2 * HOSTS);
	g_usleep(DOWN_US);
	set_outage(h, 0);
	await(h, what, h->newest);
	check_reads(m, what);
}

START_TEST(herds_start_at_once)
{
	struct deployment_plan plan = deployment_registry;
	struct herd h = {0};

	plan.data_centres = places;
	plan.hosts = HOSTS;
	h.d = deployment_new(&plan);
	deployment_start_nodes(h.d);
	h.watch = version_watch_start(h.d);
	(void)version_watch_wait(h.watch, sign(&h, 0), BOUND_MS);
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
	tcase_add_test(tc, herds_start_at_once);
	return harness_run(tc, TEST_TIMEOUT_S);
}
