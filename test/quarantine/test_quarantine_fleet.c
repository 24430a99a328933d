/*
 * Tests of the quarantine in fleets of several sizes: how many upstreams a
 * crashing request that arrives at every host takes down, how long until all
 * nodes quarantine the request, and how many bytes each node sends for that.
 *
 * BRAMLEY_HOSTS=22000 adds a fleet of that size, which takes some minutes.
 */
#include <stdio.h>

#include <check.h>

#include "base/clock.h"
#include "fleet.h"
#include "test_run.h"

#define SEED 7
#define START_MS 2000
/* All connected nodes quarantine a request within this time of its third crash.
 */
#define CONVERGENCE_MS 3000
#define LATE_RUNS_MAX 3
/* Limit of a node's control traffic. */
#define CONTROL_BYTES_PER_S 6000
#define MS_PER_S 1000
#define REQUEST_INTERVAL_MS 20
#define REQUEST_PERIOD_MS 15000
#define BURST_REQUESTS 50
/* Requests that run concurrently with a crashing one, the content of the first
 * of them, and the time after which their callers give up. */
#define CONCURRENT_REQUESTS 10
#define CONCURRENT_CONTENT_FIRST 100
#define CALLER_TIMEOUT_MS 8000
/* Upper bound of the crashes: the requests, one every REQUEST_INTERVAL_MS, that
 * start before the first crash is detected and its record has been gossiped
 * over a few hops (50 ms), and then QUARANTINE_CRASHES. */
#define CRASHES_MAX                                            \
	((FLEET_CRASH_DELAY_MS + FLEET_DETECT_DELAY_MS + 50) / \
		REQUEST_INTERVAL_MS +                          \
	    1 + QUARANTINE_CRASHES)
#define TEST_TIMEOUT_S 900

static const struct fingerprint crasher = {1, 1};

/**
 * struct outcome - measurements of one simulation
 * @crashes: runs of the crashing request, each of which crashed an upstream
 * @late_runs: runs later than CONVERGENCE_MS after the third
 * @converged_ms: time from the third run until all nodes quarantine the request
 * @bytes: maximum number of bytes sent by one node
 */
struct outcome {
	uint32_t crashes;
	uint32_t late_runs;
	uint64_t converged_ms;
	uint64_t bytes;
};

static uint64_t
third_crash_ms(const struct fleet *f)
{
	if (f->runs->len < QUARANTINE_CRASHES)
		return DEADLINE_NEVER;
	return g_array_index(f->runs, uint64_t, QUARANTINE_CRASHES - 1);
}

static uint64_t
max_bytes_sent(const struct fleet *f)
{
	uint64_t bytes = 0;
	uint32_t i;

	for (i = 0; i < f->n; i++)
		bytes = MAX(
		    bytes, quarantine_news_counters(f->nodes[i].news)->bytes);
	return bytes;
}

static void
send_to_random_host(struct fleet *f)
{
	fleet_send_request(
	    f, (uint32_t)g_rand_int_range(f->rand, 0, (gint32)f->n), &crasher);
}

/* Sends @at_once crashing requests at START_MS and then one every
 * REQUEST_INTERVAL_MS, each to a random host. */
static struct outcome
run_load(struct fleet *f, uint32_t at_once)
{
	struct outcome o = {0};
	uint64_t end_ms = START_MS + REQUEST_PERIOD_MS;
	uint32_t i;

	fleet_run(f, START_MS);
	for (i = 0; i < at_once; i++)
		send_to_random_host(f);
	while (f->now_ms < end_ms) {
		send_to_random_host(f);
		if (o.converged_ms == 0 &&
		    fleet_count_quarantining(f, &crasher) == f->n)
			o.converged_ms = f->now_ms - third_crash_ms(f);
		fleet_run(f, f->now_ms + REQUEST_INTERVAL_MS);
	}
	o.crashes = f->runs->len;
	o.late_runs =
	    fleet_count_runs_after(f, third_crash_ms(f) + CONVERGENCE_MS);
	o.bytes = max_bytes_sent(f);
	return o;
}

static void
check_outcome(const char *what, struct fleet *f, uint32_t at_once)
{
	struct outcome o = run_load(f, at_once);

	(void)printf(
	    "%s, %u hosts: %u crashes, %u of them late, quarantined on "
	    "all nodes after %lu ms, at most %lu bytes per node\n",
	    what, f->n, o.crashes, o.late_runs, (unsigned long)o.converged_ms,
	    (unsigned long)o.bytes);
	(void)fflush(stdout);
	ck_assert_uint_le(o.late_runs, LATE_RUNS_MAX);
	ck_assert_uint_gt(o.converged_ms, 0);
	ck_assert_uint_lt(o.converged_ms, CONVERGENCE_MS);
	ck_assert_uint_lt(
	    o.bytes, CONTROL_BYTES_PER_S * (REQUEST_PERIOD_MS / MS_PER_S));
	fleet_free(f);
}

static const uint32_t sizes[] = {10, 60, 195, 1000};

START_TEST(all_nodes_quarantine_after_three_crashes)
{
	uint32_t n = sizes[_i];

	check_outcome("periodic requests", fleet_new(n, (n + 2) / 3, SEED), 1);
}
END_TEST

START_TEST(all_nodes_quarantine_after_a_burst)
{
	uint32_t n = sizes[_i];

	check_outcome("burst of 50 requests", fleet_new(n, (n + 2) / 3, SEED),
	    BURST_REQUESTS);
}
END_TEST

/* Ranking suspects bounds the number of upstreams that a crashing request takes
 * down, independent of the size of the fleet, apart from the requests that run
 * before the first crash is detected. */
START_TEST(ranking_suspects_bounds_crashes_at_any_fleet_size)
{
	uint32_t n = sizes[_i];
	struct fleet *unranked = fleet_new(n, (n + 2) / 3, SEED);
	struct fleet *ranked = fleet_new(n, (n + 2) / 3, SEED);
	struct outcome before, after;

	unranked->detect_delay_ms = FLEET_DETECT_DELAY_MAX_MS;
	unranked->ranks_suspects = false;
	before = run_load(unranked, 1);
	after = run_load(ranked, 1);
	(void)printf("%u hosts, without and with suspect ranking: %u and %u "
		     "crashes; %u and %u requests rejected; quarantined on all "
		     "nodes after %lu and %lu ms; at most %lu and %lu bytes "
		     "per node\n",
	    n, before.crashes, after.crashes, unranked->rejected,
	    ranked->rejected, (unsigned long)before.converged_ms,
	    (unsigned long)after.converged_ms, (unsigned long)before.bytes,
	    (unsigned long)after.bytes);
	(void)fflush(stdout);
	ck_assert_uint_le(after.crashes, CRASHES_MAX);
	ck_assert_uint_le(after.crashes, before.crashes);
	fleet_free(unranked);
	fleet_free(ranked);
}
END_TEST

START_TEST(all_nodes_quarantine_at_a_size_from_the_environment)
{
	const char *hosts = g_getenv("BRAMLEY_HOSTS");
	uint32_t n;

	if (hosts == NULL)
		return;
	n = (uint32_t)g_ascii_strtoull(hosts, NULL, 10);
	check_outcome("periodic requests", fleet_new(n, (n + 2) / 3, SEED), 1);
}
END_TEST

START_TEST(all_nodes_quarantine_over_bad_links)
{
	struct fleet *f = fleet_new(195, 65, SEED);
	uint32_t i;

	f->loss_percent = 10;
	f->delay_ms = 150;
	for (i = 0; i < f->n; i += 10)
		f->nodes[i].extra_delay_ms = 200;
	check_outcome("slow nodes, packet loss and delay", f, 5);
}
END_TEST

static void
replace_concurrent_requests(struct fleet *f)
{
	uint32_t i;

	f->n_concurrent = CONCURRENT_REQUESTS;
	for (i = 0; i < f->n_concurrent; i++) {
		f->concurrent[i].content = CONCURRENT_CONTENT_FIRST +
		    f->now_ms / CALLER_TIMEOUT_MS * CONCURRENT_REQUESTS + i;
		f->concurrent[i].caller = 1;
	}
}

/* All upstreams of a service but one are down at any time, so waiting requests
 * are retried on the next one.  They are in flight at each crash until their
 * callers time out and other requests replace them, and must neither be
 * quarantined themselves nor keep the crashing request out of quarantine. */
START_TEST(requests_waiting_for_an_upstream_do_not_hide_the_crasher)
{
	struct fleet *f = fleet_new(12, 4, SEED + (uint32_t)_i);
	struct fingerprint other = {0, 1};
	uint64_t end_ms = START_MS + 40000;
	uint32_t held = 0;

	fleet_run(f, START_MS);
	while (f->now_ms < end_ms) {
		replace_concurrent_requests(f);
		send_to_random_host(f);
		fleet_run(f, f->now_ms + 200);
	}
	(void)printf(
	    "collapsed service: %u crashes, %u of them late, quarantined "
	    "on %u of 12 hosts\n",
	    f->runs->len,
	    fleet_count_runs_after(f, third_crash_ms(f) + CONVERGENCE_MS),
	    fleet_count_quarantining(f, &crasher));
	(void)fflush(stdout);
	ck_assert_uint_le(
	    fleet_count_runs_after(f, third_crash_ms(f) + CONVERGENCE_MS),
	    LATE_RUNS_MAX);
	ck_assert_uint_eq(fleet_count_quarantining(f, &crasher), f->n);
	for (other.content = CONCURRENT_CONTENT_FIRST;
	     other.content < CONCURRENT_CONTENT_FIRST + 1000; other.content++)
		held += fleet_count_quarantining(f, &other);
	ck_assert_uint_eq(held, 0);
	fleet_free(f);
}
END_TEST

START_TEST(crashes_on_different_hosts_are_added_up)
{
	struct fleet *f = fleet_new(60, 20, SEED);
	uint32_t i;

	fleet_run(f, START_MS);
	for (i = 0; i < 3; i++) {
		ck_assert_uint_eq(fleet_count_quarantining(f, &crasher), 0);
		fleet_crash(f, i * 5, &crasher, 1);
		fleet_run(f, f->now_ms + 4000);
	}
	ck_assert_uint_eq(fleet_count_quarantining(f, &crasher), f->n);
	fleet_free(f);
}
END_TEST

START_TEST(partitioned_nodes_synchronise_after_the_partition)
{
	struct fleet *f = fleet_new(60, 60, SEED);
	uint32_t i;

	for (i = 0; i < 15; i++)
		f->nodes[i].partitioned = true;
	fleet_run(f, START_MS);
	fleet_crash(f, 1, &crasher, 1);
	fleet_crash(f, 30, &crasher, 1);
	fleet_run(f, f->now_ms + 2000);
	fleet_crash(f, 40, &crasher, 1);
	fleet_run(f, f->now_ms + 5000);
	ck_assert_uint_eq(fleet_count_quarantining(f, &crasher), 0);
	for (i = 0; i < 15; i++)
		f->nodes[i].partitioned = false;
	fleet_run(f, f->now_ms + CONVERGENCE_MS);
	ck_assert_uint_eq(fleet_count_quarantining(f, &crasher), f->n);
	fleet_free(f);
}
END_TEST

/* Restarts all nodes one after the other, so that in the end no running node
 * has seen the crashes itself. */
START_TEST(restarted_nodes_receive_the_quarantine)
{
	struct fleet *f = fleet_new(60, 20, SEED);
	uint32_t i;

	fleet_run(f, START_MS);
	for (i = 0; i < 3; i++)
		fleet_crash(f, i, &crasher, 1);
	fleet_run(f, f->now_ms + CONVERGENCE_MS);
	ck_assert_uint_eq(fleet_count_quarantining(f, &crasher), f->n);
	for (i = 0; i < f->n; i++) {
		fleet_restart(f, i);
		fleet_run(f, f->now_ms + 100);
	}
	fleet_run(f, f->now_ms + CONVERGENCE_MS);
	ck_assert_uint_eq(fleet_count_quarantining(f, &crasher), f->n);
	fleet_free(f);
}
END_TEST

/* Hundreds of upstreams crash within a second, each with eleven requests in
 * flight: ten that are retried elsewhere and one that runs on all upstreams and
 * had been answered before.  No request is quarantined, and the control traffic
 * stays below its limit. */
START_TEST(hundreds_of_crashes_in_a_second_quarantine_nothing)
{
	struct fingerprint runs[11] = {{2, 1}};
	struct fleet *f = fleet_new(300, 300, SEED);
	uint64_t end_ms = START_MS + 10000;
	uint32_t held = 0, i, r;

	fleet_run(f, START_MS);
	for (i = 0; i < f->n; i++)
		(void)quarantine_answered(
		    f->nodes[i].quarantine, &runs[0], f->now_ms);
	for (i = 0; i < f->n; i++) {
		for (r = 1; r < G_N_ELEMENTS(runs); r++) {
			runs[r].content = 100 + (i * 7 + r) % 1000;
			runs[r].caller = 1;
		}
		fleet_crash(f, i, runs, G_N_ELEMENTS(runs));
		fleet_run(f, f->now_ms + 3);
	}
	while (f->now_ms < end_ms) {
		fleet_run(f, f->now_ms + 100);
		for (i = 0; i < f->n; i++)
			held += !quarantine_is_empty(f->nodes[i].quarantine);
	}
	ck_assert_uint_eq(held, 0);
	(void)printf(
	    "300 crashes in a second: at most %lu bytes per node in 10 s\n",
	    (unsigned long)max_bytes_sent(f));
	(void)fflush(stdout);
	ck_assert_uint_lt(
	    max_bytes_sent(f), CONTROL_BYTES_PER_S * (end_ms / MS_PER_S));
	fleet_free(f);
}
END_TEST

START_TEST(a_response_on_one_node_releases_on_all)
{
	struct fleet *f = fleet_new(60, 60, SEED);
	struct fingerprint first = {2, 1};
	uint32_t i;

	fleet_run(f, START_MS);
	for (i = 0; i < 3; i++)
		fleet_crash(f, i, &first, 1);
	fleet_run(f, f->now_ms + CONVERGENCE_MS);
	ck_assert_uint_eq(fleet_count_quarantining(f, &first), f->n);
	(void)quarantine_answered(f->nodes[9].quarantine, &first, f->now_ms);
	fleet_run(f, f->now_ms + CONVERGENCE_MS);
	ck_assert_uint_eq(fleet_count_quarantining(f, &first), 0);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("quarantine_fleet");
	TCase *tc = tcase_create("quarantine_fleet");

	tcase_set_timeout(tc, TEST_TIMEOUT_S);
	tcase_add_loop_test(tc, all_nodes_quarantine_after_three_crashes, 0,
	    G_N_ELEMENTS(sizes));
	tcase_add_loop_test(
	    tc, all_nodes_quarantine_after_a_burst, 0, G_N_ELEMENTS(sizes));
	tcase_add_loop_test(tc,
	    ranking_suspects_bounds_crashes_at_any_fleet_size, 0,
	    G_N_ELEMENTS(sizes));
	tcase_add_test(tc, all_nodes_quarantine_at_a_size_from_the_environment);
	tcase_add_test(tc, all_nodes_quarantine_over_bad_links);
	tcase_add_loop_test(tc,
	    requests_waiting_for_an_upstream_do_not_hide_the_crasher, 0, 20);
	tcase_add_test(tc, crashes_on_different_hosts_are_added_up);
	tcase_add_test(tc, partitioned_nodes_synchronise_after_the_partition);
	tcase_add_test(tc, restarted_nodes_receive_the_quarantine);
	tcase_add_test(tc, hundreds_of_crashes_in_a_second_quarantine_nothing);
	tcase_add_test(tc, a_response_on_one_node_releases_on_all);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
