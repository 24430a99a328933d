/*
 * Benchmark of nested calls through real nodes, compared with the same calls
 * made directly from upstream to upstream in the same run.
 *
 *	bench_depth [calls of each depth]
 *
 * Three nodes with eight services each; service k calls service k + 1 through
 * the node of its own host.  One call at a time.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "bundle_text.h"
#include "nested.h"
#include "standins/platform.h"
#include "subject.h"

#define PLATFORM_INDEX 102
#define PLATFORM_THREADS 4
#define NODES 3
#define SERVICES 23
#define FIRST_INDEX 50
#define ROUNDS 10
#define WARM_CALLS 20
#define SLOTS 100
#define SIGN_OFF_TRIES 300
#define PAUSE_US 50000
#define PROPAGATION_US 3000000

static const char settings[] =
    "{\"announce_lease_ms\":600000,\"log_level\":\"warning\","
    "\"keep_alive_ms\":60000}";

/**
 * struct bench - nodes and upstreams
 * @platform: stand-in for the platform
 * @platform_addr: address of the platform
 * @nodes: the processes
 * @nested: the upstreams
 */
struct bench {
	struct platform *platform;
	struct net_addr platform_addr;
	struct subject nodes[NODES];
	struct nested *nested;
};

static uint32_t calls = 1000;

static int
compare_us(const void *a, const void *b)
{
	const uint32_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void
start_nodes(struct bench *b)
{
	struct subject_config config = {
	    .data_centre = "centre-00", .settings = settings};
	char address[HARNESS_ADDRESS_BYTES], host[BUNDLE_TEXT_SERVICE_BYTES];
	uint32_t i;

	b->platform_addr.ip = subject_address(PLATFORM_INDEX);
	(void)addr_format_ip(b->platform_addr.ip, address);
	harness_choose_ports(address, &b->platform_addr.port, 1);
	if (platform_start(address, b->platform_addr.port, PLATFORM_THREADS,
		&b->platform) != STATUS_OK)
		g_error("%s", status_message());
	config.platform = b->platform_addr;
	for (i = 0; i < NODES; i++) {
		(void)g_snprintf(host, sizeof(host), "host-%u", i);
		config.host = host;
		config.index = FIRST_INDEX + i;
		subject_start(&b->nodes[i], &config);
		config.seed = (struct net_addr){
		    subject_address(FIRST_INDEX), b->nodes[0].peer_port};
	}
}

static void
sign_off(struct bench *b)
{
	struct bundle_text t = {.services = SERVICES,
	    .routes = 1,
	    .timeout_ms = 30000,
	    .slots = SLOTS};
	GString *json = bundle_text_write(&t);
	int code = 0, i;

	for (i = 0; i < SIGN_OFF_TRIES && code / 100 != 2; i++) {
		g_usleep(PAUSE_US);
		json_decref(subject_api(&b->nodes[0], "POST",
		    "/v1/versions?operator=bench&op=bench-1", json->str,
		    &code));
	}
	g_string_free(json, TRUE);
	for (i = 0; i < NODES; i++)
		while (!subject_ready(&b->nodes[i]))
			g_usleep(PAUSE_US);
}

static void
start_upstreams(struct bench *b)
{
	struct net_addr nodes[SERVICES];
	struct nested_config config = {.services = SERVICES, .nodes = nodes};
	char service[BUNDLE_TEXT_SERVICE_BYTES];
	uint32_t i, n;

	/* The upstreams listen on all addresses, since a guard calls its
	 * upstream at the address of its own host. */
	config.ip = 0;
	for (i = 0; i < SERVICES; i++) {
		n = i % NODES;
		nodes[i].ip = subject_address(FIRST_INDEX + n);
		nodes[i].port = b->nodes[n].caller_port;
	}
	b->nested = nested_start(&config);
	for (i = 0; i < SERVICES; i++) {
		bundle_text_service(i, service);
		subject_announce(&b->nodes[i % NODES], service,
		    nested_port(b->nested), SLOTS);
	}
	g_usleep(PROPAGATION_US);
}

/* Runs one round of calls and appends their times. */
static uint32_t
run_round(
    struct bench *b, uint32_t n, uint32_t depth, int direct, GArray *times)
{
	uint32_t failed = 0, i, us;
	uint64_t start_us;
	int fd = -1;

	for (i = 0; i < n + WARM_CALLS; i++) {
		start_us = clock_now_us();
		if (!nested_call(b->nested, &fd, depth, direct)) {
			failed++;
			continue;
		}
		us = (uint32_t)(clock_now_us() - start_us);
		if (i >= WARM_CALLS)
			g_array_append_val(times, us);
	}
	return failed;
}

static uint32_t
quantile(const GArray *times, uint32_t thousandth)
{
	if (times->len == 0)
		return 0;
	return g_array_index(
	    times, uint32_t, (uint64_t)(times->len - 1) * thousandth / 1000);
}

static void
measure(struct bench *b, uint32_t depth)
{
	GArray *times[2];
	uint32_t failed = 0, i;
	int p50, p99;

	for (i = 0; i < 2; i++)
		times[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (i = 0; i < ROUNDS; i++) {
		failed += run_round(b, calls / ROUNDS, depth, 1, times[1]);
		failed += run_round(b, calls / ROUNDS, depth, 0, times[0]);
	}
	for (i = 0; i < 2; i++)
		g_array_sort(times[i], compare_us);
	p50 = (int)quantile(times[0], 500) - (int)quantile(times[1], 500);
	p99 = (int)quantile(times[0], 990) - (int)quantile(times[1], 990);
	printf("depth %2u: direct p50 %6u p99 %6u us, through nodes p50 %6u "
	       "p99 %6u us; added p50 %6d p99 %6d us, per layer %4d and %4d; "
	       "%u calls each, %u failed, load %.1f\n",
	    depth, quantile(times[1], 500), quantile(times[1], 990),
	    quantile(times[0], 500), quantile(times[0], 990), p50, p99,
	    p50 / (int)depth, p99 / (int)depth, times[0]->len, failed,
	    usage_load());
	g_array_unref(times[0]);
	g_array_unref(times[1]);
}

static void
bench_run(void)
{
	static const uint32_t depths[] = {1, 6, 12, 23};
	struct bench b = {0};
	uint32_t i;

	start_nodes(&b);
	sign_off(&b);
	start_upstreams(&b);
	for (i = 0; i < G_N_ELEMENTS(depths); i++)
		measure(&b, depths[i]);
	for (i = 0; i < NODES; i++)
		subject_stop(&b.nodes[i]);
	platform_stop(b.platform);
}

int
main(int argc, char **argv)
{
	if (argc > 1)
		calls = (uint32_t)strtoul(argv[1], NULL, 10);
	return subject_run(bench_run);
}
