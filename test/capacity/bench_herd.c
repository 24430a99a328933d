/*
 * Benchmark of a mass restart: all nodes of a data centre start at once, on the
 * test driver's virtual clock, as one line of a table.
 *
 *	bench_herd DATA_CENTRES NODES SERVICES [all]
 *
 * Reported are the platform reads of the starting nodes, the time until they
 * serve, and the bytes that a node receives; with `all`, the nodes of all data
 * centres start.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define START_TIMEOUT_MS 600000
#define SETTLE_MS 20000
#define DOWN_MS 60000
#define READY_TIMEOUT_MS 300000
#define POLL_MS 20
#define KB 1000.0

static int
all_ready(const struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++)
		if (!w->nodes[i].ready)
			return 0;
	return 1;
}

static uint64_t
sum_classes(const uint64_t *by_class)
{
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < MEASURE_CLASSES; i++)
		total += by_class[i];
	return total;
}

static void
restart(struct world *w, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		world_kill(w, i);
	world_run(w, DOWN_MS);
	for (i = 0; i < w->n_nodes; i++)
		memset(&w->nodes[i].bytes, 0, sizeof(w->nodes[i].bytes));
	platform_reset(&w->platform);
	for (i = 0; i < n; i++)
		world_start(w, i);
}

static void
report(const struct world *w, uint32_t n, uint64_t ms)
{
	uint64_t received = 0, max_received = 0, max_sent = 0, bytes;
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++) {
		max_sent = MAX(max_sent, sum_classes(w->nodes[i].bytes.sent));
		bytes = sum_classes(w->nodes[i].bytes.received);
		if (i < n)
			received += bytes;
		max_received = MAX(max_received, bytes);
	}
	printf(
	    "%5u of %5u nodes start, %u data centres, %u services: all serve "
	    "after %" PRIu64 " ms; platform: %" PRIu64
	    " reads, at most %" PRIu64
	    " in a second; a starting node received %.0f KB (max %.0f), a "
	    "node sent %.0f KB at most; violations %u\n",
	    n, w->n_nodes, w->config.data_centres, w->config.services, ms,
	    w->platform.reads, w->platform.peak_reads_per_s,
	    (double)received / n / KB, (double)max_received / KB,
	    (double)max_sent / KB, checker_n_violations(w->checker));
}

int
main(int argc, char **argv)
{
	struct world_config config;
	uint64_t start_ms;
	struct world *w;
	uint32_t n;

	if (argc < 4) {
		printf("usage: bench_herd DATA_CENTRES NODES SERVICES [all]\n");
		return EXIT_FAILURE;
	}
	world_config_init(&config, 1);
	config.check = 0;
	config.data_centres = (uint32_t)strtoul(argv[1], NULL, 10);
	config.nodes = (uint32_t)strtoul(argv[2], NULL, 10);
	config.services = (uint32_t)strtoul(argv[3], NULL, 10);
	w = world_new(&config);
	if (!world_start_all(w, START_TIMEOUT_MS))
		printf("not all nodes are ready\n");
	world_run(w, SETTLE_MS);
	n = argc > 4 ? w->n_nodes : config.nodes;
	restart(w, n);
	start_ms = world_now_ms(w);
	while (!all_ready(w) && world_now_ms(w) < start_ms + READY_TIMEOUT_MS)
		world_run(w, POLL_MS);
	report(w, n, world_now_ms(w) - start_ms);
	world_free(w);
	return EXIT_SUCCESS;
}
