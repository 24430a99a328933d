/*
 * Benchmark of the spread: convergence, control traffic and platform reads of
 * one configuration, as one line of a table.
 *
 * Options have the form name=value; see struct bench_option.  Traffic is
 * measured during the sign-offs, after all nodes are up.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define DAY_S 86400
#define START_TIMEOUT_MS 600000
#define SETTLE_MS 5000
#define CONVERGENCE_MS 20000

/**
 * struct bench - one run
 * @world: the world
 * @config: parameters of the world
 * @name: name of the profile
 * @seconds: virtual time of the sign-offs
 * @per_day: sign-offs a day, at exponentially distributed intervals
 * @burst: sign-offs a minute at even intervals, instead of @per_day
 * @changes: number of services that change in each sign-off
 * @notify_signer: whether the signing node announces the version at once
 * @full_pulls: whether pulls request the whole bundle instead of changes
 * @verbose: whether traffic is printed by class
 * @rng: times and nodes of the sign-offs
 * @first_version: first version that is counted
 * @end_us: end of the sign-offs
 * @overrides: profile parameters set by options; UINT32_MAX where not set
 */
struct bench {
	struct world *world;
	struct world_config config;
	char name[16];
	uint32_t seconds;
	uint32_t per_day;
	uint32_t burst;
	uint32_t changes;
	uint32_t notify_signer;
	uint32_t full_pulls;
	uint32_t verbose;
	GRand *rng;
	uint64_t first_version;
	uint64_t end_us;
	struct spread_profile overrides;
};

/* Numeric option. */
struct bench_option {
	const char *name;
	uint32_t *value;
};

static int
bench_set_number(struct bench *b, const char *name, uint32_t value)
{
	struct spread_profile *p = &b->overrides;
	const struct bench_option options[] = {
	    {"dcs", &b->config.data_centres},
	    {"nodes", &b->config.nodes},
	    {"services", &b->config.services},
	    {"seconds", &b->seconds},
	    {"per_day", &b->per_day},
	    {"burst", &b->burst},
	    {"changes", &b->changes},
	    {"hint", &b->notify_signer},
	    {"verbose", &b->verbose},
	    {"poll", &b->config.naive_poll_ms},
	    {"probe", &b->config.probe_ms},
	    {"fanout", &p->fanout},
	    {"rounds", &p->rounds},
	    {"interval", &p->interval_ms},
	    {"quench", &p->quench},
	    {"relay", &p->relay_fanout},
	    {"readers", &p->readers},
	    {"head_poll", &p->head_poll_ms},
	    {"batch", &p->batch_ms},
	    {"entropy", &p->anti_entropy_ms},
	    {"keepers", &p->keepers},
	    {"progress", &p->progress_ms},
	    {"whole", &b->full_pulls},
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(options); i++) {
		if (strcmp(options[i].name, name) == 0) {
			*options[i].value = value;
			return 1;
		}
	}
	if (strcmp(name, "far_us") == 0)
		b->config.remote_delay_us = value;
	else if (strcmp(name, "seed") == 0)
		b->config.seed = value;
	else
		return 0;
	return 1;
}

/* Selects the profile and applies the parameters set by options. */
static void
bench_set_profile(struct bench *b)
{
	const struct spread_profile *p;
	const uint32_t *overrides;
	uint32_t *to;
	size_t i;

	p = spread_profile_find(b->name);
	if (p == NULL) {
		b->config.kind = WORLD_NAIVE;
		p = spread_profile_registry();
	}
	b->config.profile = *p;
	overrides = (const uint32_t *)&b->overrides;
	to = (uint32_t *)&b->config.profile;
	for (i = 0; i < sizeof(*p) / sizeof(*overrides); i++)
		if (overrides[i] != UINT32_MAX)
			to[i] = overrides[i];
}

static void
bench_sign(void *arg)
{
	struct bench *b = arg;
	struct world *w = b->world;
	uint64_t version;
	double gap_s;

	if (w->queue.now_us >= b->end_us)
		return;
	version = world_sign(w,
	    b->notify_signer ? g_rand_int(b->rng) % w->n_nodes : WORLD_NO_NODE,
	    b->changes);
	if (b->first_version == 0)
		b->first_version = version;
	if (b->burst > 0)
		gap_s = 60.0 / b->burst;
	else
		gap_s = -log(1 - g_rand_double(b->rng)) * DAY_S / b->per_day;
	world_schedule(w, (uint64_t)(gap_s * 1000), bench_sign, b);
}

static uint64_t
bench_sum(const uint64_t *by_class)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < MEASURE_CLASSES; i++)
		sum += by_class[i];
	return sum;
}

static gint
bench_compare(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Quantile of sorted times. */
static double
bench_quantile(const GArray *times, double q)
{
	uint32_t i;

	if (times->len == 0)
		return 0;
	i = (uint32_t)(q * times->len);
	return (double)g_array_index(times, uint64_t, MIN(i, times->len - 1));
}

/* Quantiles over all versions of the time until the last node held the
 * version. */
static void
bench_versions(const struct bench *b, double *p50, double *p99, double *max)
{
	const struct ledger_version *v;
	uint64_t i, us;
	GArray *times;

	times = g_array_new(FALSE, FALSE, sizeof(us));
	for (i = b->first_version; i < b->world->measure.version_us->len; i++) {
		v = ledger_version(b->world->ledger, i);
		us = g_array_index(b->world->measure.version_us, uint64_t, i) -
		    v->signed_us;
		g_array_append_val(times, us);
	}
	g_array_sort(times, bench_compare);
	*p50 = bench_quantile(times, 0.5);
	*p99 = bench_quantile(times, 0.99);
	*max = bench_quantile(times, 1);
	g_array_unref(times);
}

static void
bench_classes(const struct bench *b, double seconds)
{
	const struct world *w = b->world;
	uint64_t sent[MEASURE_CLASSES] = {0};
	uint32_t i, j;

	for (i = 0; i < w->n_nodes; i++)
		for (j = 0; j < MEASURE_CLASSES; j++)
			sent[j] += w->nodes[i].bytes.sent[j] +
			    w->nodes[i].bytes.received[j];
	printf("    bytes/s per node, sent and received:");
	for (j = 0; j < MEASURE_CLASSES; j++)
		printf(" %s %.0f", measure_class_name((enum measure_class)j),
		    (double)sent[j] / seconds / w->n_nodes);
	printf("\n");
}

/* Prints the nodes' counters since they started, per second and node. */
static void
bench_counters(const struct bench *b, double seconds)
{
	const struct world *w = b->world;
	struct spread_stats sum = {0};
	const uint64_t *from;
	uint64_t *to;
	uint32_t i, j;

	for (i = 0; i < w->n_nodes && w->config.kind == WORLD_SPREAD; i++) {
		from = (const uint64_t *)spread_stats(w->nodes[i].spread);
		to = (uint64_t *)&sum;
		for (j = 0; j < sizeof(sum) / sizeof(*to); j++)
			to[j] += from[j];
	}
	printf("    per node and second: notices %.2f (new %.2f), pulls %.2f "
	       "(timed out %.3f, refused %.3f), applied %.2f, unacknowledged "
	       "%.4f; in total: version reads %" G_GUINT64_FORMAT
	       ", object reads %" G_GUINT64_FORMAT "\n",
	    (double)sum.notices_sent / seconds / w->n_nodes,
	    (double)sum.notices_new / seconds / w->n_nodes,
	    (double)sum.pulls_sent / seconds / w->n_nodes,
	    (double)sum.pulls_timed_out / seconds / w->n_nodes,
	    (double)sum.pulls_refused / seconds / w->n_nodes,
	    (double)sum.versions_applied / seconds / w->n_nodes,
	    (double)sum.floor_unacknowledged / seconds / w->n_nodes,
	    sum.version_reads, sum.object_reads);
}

static void
bench_report(const struct bench *b, double seconds)
{
	const struct world *w = b->world;
	double p50, p99, max, mean;
	uint64_t sent, received, max_bytes;
	uint32_t i;

	sent = received = max_bytes = 0;
	for (i = 0; i < w->n_nodes; i++) {
		const struct measure_bytes *m = &w->nodes[i].bytes;

		sent += bench_sum(m->sent);
		received += bench_sum(m->received);
		max_bytes =
		    MAX(max_bytes, bench_sum(m->sent) + bench_sum(m->received));
	}
	mean = (double)(sent + received) / seconds / w->n_nodes;
	bench_versions(b, &p50, &p99, &max);
	printf("%-9s %5u %3u %7u %5u | %5u %6u %7u | %6.0f %6.0f %7.0f | "
	       "%7.0f %7.0f | %7.1f %5" G_GUINT64_FORMAT " | %s %u\n",
	    b->name, w->n_nodes, w->config.data_centres,
	    b->burst > 0 ? b->burst * 1440 : b->per_day,
	    (uint32_t)(w->measure.version_us->len - b->first_version),
	    measure_quantile_ms(&w->measure, 0.5),
	    measure_quantile_ms(&w->measure, 0.99),
	    measure_quantile_ms(&w->measure, 1), p50 / 1000, p99 / 1000,
	    max / 1000, mean, (double)max_bytes / seconds,
	    (double)w->platform.reads / seconds, w->platform.peak_reads_per_s,
	    world_converged(w) ? "converged" : "NOT CONVERGED",
	    checker_n_violations(w->checker));
	if (b->verbose) {
		bench_classes(b, seconds);
		bench_counters(b, seconds);
	}
}

static void
bench_run(struct bench *b)
{
	struct world *w;
	uint64_t from_us;
	uint32_t i;

	b->rng = g_rand_new_with_seed((guint32)b->config.seed);
	w = b->world = world_new(&b->config);
	for (i = 0; b->full_pulls && i < w->n_nodes; i++)
		w->nodes[i].tamper = TAMPER_FULL_PULL;
	if (!world_start_all(w, START_TIMEOUT_MS))
		printf("not all nodes are ready after %u s\n",
		    START_TIMEOUT_MS / 1000);
	if (b->verbose)
		printf("    ready after %.1f s, %" G_GUINT64_FORMAT
		       " platform reads, at most %" G_GUINT64_FORMAT
		       " in a second\n",
		    (double)w->queue.now_us / 1e6 - 1000, w->platform.reads,
		    w->platform.peak_reads_per_s);
	world_run(w, SETTLE_MS);
	for (i = 0; i < w->n_nodes; i++)
		memset(&w->nodes[i].bytes, 0, sizeof(w->nodes[i].bytes));
	platform_reset(&w->platform);
	measure_reset(&w->measure, ledger_version(w->ledger, 1)->version + 1);
	from_us = w->queue.now_us;
	b->end_us = from_us + b->seconds * US_PER_S;
	bench_sign(b);
	world_run(w, b->seconds * 1000);
	bench_report(b, (double)(w->queue.now_us - from_us) / 1e6);
	(void)world_run_until_converged(w, CONVERGENCE_MS);
	for (i = 0; i < w->n_nodes; i++)
		checker_final(
		    w->checker, w->nodes[i].host, w->nodes[i].version);
	if (checker_n_violations(w->checker) > 0 || !world_converged(w))
		printf("    %u violations: %s; %s\n",
		    checker_n_violations(w->checker),
		    checker_first_violation(w->checker),
		    world_converged(w) ? "converged"
				       : "not converged at the end");
	world_free(w);
	g_rand_free(b->rng);
}

int
main(int argc, char **argv)
{
	struct bench b;
	char *value;
	int i;

	memset(&b, 0, sizeof(b));
	memset(&b.overrides, 0xff, sizeof(b.overrides));
	world_config_init(&b.config, 1);
	b.config.check = 0;
	b.config.preload = 1;
	b.config.services = 100;
	b.seconds = 300;
	b.per_day = 57000;
	b.changes = 1;
	b.notify_signer = 1;
	strcpy(b.name, "registry");
	for (i = 1; i < argc; i++) {
		value = strchr(argv[i], '=');
		if (value == NULL) {
			printf("profile nodes dcs per-day signed | node p50 "
			       "p99 max ms | "
			       "version p50 p99 max ms | bytes/s mean most | "
			       "reads/s peak | end violations\n");
			continue;
		}
		*value++ = '\0';
		if (strcmp(argv[i], "profile") == 0)
			g_strlcpy(b.name, value, sizeof(b.name));
		else if (!bench_set_number(
			     &b, argv[i], (uint32_t)strtoul(value, NULL, 10)))
			printf("unknown option %s\n", argv[i]);
	}
	bench_set_profile(&b);
	bench_run(&b);
	return EXIT_SUCCESS;
}
