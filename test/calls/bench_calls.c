/*
 * Benchmark of the call decisions on the driver's virtual clock: the naive
 * reference against the production decisions with the same arrivals, for both
 * deployments of the brief, and each policy changed in turn.  The results come
 * from a model of queues and slots, not from processes.
 *
 *	bench_calls loads	naive and ours at 30 to 300 % of capacity
 *	bench_calls faults	naive and ours while endpoints fail
 *	bench_calls policies [name]	ours with one policy changed
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench_calls.h"
#include "checker.h"
#include "entry.h"
#include "guard.h"

#define PERCENT 100
#define RUNS 3

/** struct deployment - sizes from the brief; the service times are
 * assumptions */
struct deployment {
	const char *name;
	uint32_t entries;
	uint32_t endpoints;
	uint32_t data_centres;
	uint32_t slots;
	uint32_t connections;
	uint32_t delay_us;
	uint32_t client_us;
	uint32_t service_us;
};

static const struct deployment deployments[] = {
    {"registry, public search", 10, 4, 3, 12, 120, 1000, 3000, 20000},
    {"crew transfer, seat booking", 12, 4, 4, 18, 130, 500, 8000, 20000},
};

struct result {
	double goodput_percent;
	double lookups_percent;
	double bookings_percent;
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double refused_p50_ms;
	double refused_p99_ms;
	double sends_percent;
	double not_run_percent;
	double unknown_percent;
	uint32_t violations;
	uint32_t booking_ran_twice;
};

typedef void (*policy_fn)(struct world_config *cfg);
typedef void (*fault_fn)(struct world *w);

static double
capacity_per_s(const struct deployment *d)
{
	return (double)d->endpoints * d->slots * 1e6 / d->service_us;
}

static void
configure(const struct deployment *d, uint32_t load, uint64_t seed,
    struct world_config *cfg)
{
	world_config_default(cfg);
	cfg->seed = seed;
	cfg->entries = d->entries;
	cfg->guards = d->endpoints;
	cfg->data_centres = d->data_centres;
	cfg->slots = d->slots;
	cfg->announced_slots = d->slots;
	cfg->connections = d->connections;
	cfg->service_us = d->service_us;
	cfg->delay_us = d->delay_us;
	cfg->duration_ms = 8000;
	cfg->deadline_ms = 2000;
	cfg->window_ms = 30000;
	cfg->booking_percent = 20;
	cfg->rate_per_s = (uint32_t)(capacity_per_s(d) * load / PERCENT);
	cfg->admission.slots = d->slots;
	cfg->admission.queue_max = 2 * d->slots;
}

static int
compare_us(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static double
quantile_ms(GArray *us, double q)
{
	guint i;

	if (us->len == 0)
		return 0;
	qsort(us->data, us->len, sizeof(uint64_t), compare_us);
	i = (guint)(q * (us->len - 1));
	return (double)g_array_index(us, uint64_t, i) / US_PER_MS;
}

/* Calls sent after FAULT_AT_US, which also ends the warm-up. */
struct counts {
	GArray *done_us;
	GArray *refused_us;
	uint64_t calls[2];
	uint64_t done[2];
	uint64_t not_run;
	uint64_t unknown;
};

static void
count(const struct world *w, const struct deployment *d, struct counts *t)
{
	const struct client_call *c;
	uint64_t latency_us;
	guint i;

	for (i = 0; i < w->calls->len; i++) {
		c = g_ptr_array_index(w->calls, i);
		if (c->sent_us < FAULT_AT_US)
			continue;
		t->calls[c->booking]++;
		if (!c->has_outcome)
			continue;
		latency_us =
		    c->outcome_us - c->sent_us + 2 * (uint64_t)d->client_us;
		t->not_run += c->outcome == OUTCOME_NOT_RUN;
		t->unknown += c->outcome == OUTCOME_UNKNOWN;
		if (c->outcome != OUTCOME_DONE) {
			g_array_append_val(t->refused_us, latency_us);
			continue;
		}
		t->done[c->booking]++;
		g_array_append_val(t->done_us, latency_us);
	}
}

static double
percent_of(uint64_t part, uint64_t whole)
{
	return whole > 0 ? PERCENT * (double)part / (double)whole : 0;
}

static void
add_run(const struct deployment *d, const struct world_config *cfg,
    fault_fn fault, struct result *r)
{
	struct violations v;
	struct counts t = {0};
	struct world *w;
	double seconds;

	w = world_new(cfg);
	if (fault != NULL)
		fault(w);
	world_run(w);
	checker_check(w, &v);
	t.done_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	t.refused_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	count(w, d, &t);
	seconds = (double)cfg->duration_ms / 1000 - (double)FAULT_AT_US / 1e6;
	r->goodput_percent += PERCENT * (double)(t.done[0] + t.done[1]) /
	    seconds / capacity_per_s(d) / RUNS;
	r->lookups_percent += percent_of(t.done[0], t.calls[0]) / RUNS;
	r->bookings_percent += percent_of(t.done[1], t.calls[1]) / RUNS;
	r->p50_ms += quantile_ms(t.done_us, 0.5) / RUNS;
	r->p99_ms += quantile_ms(t.done_us, 0.99) / RUNS;
	r->p999_ms += quantile_ms(t.done_us, 0.999) / RUNS;
	r->refused_p50_ms += quantile_ms(t.refused_us, 0.5) / RUNS;
	r->refused_p99_ms += quantile_ms(t.refused_us, 0.99) / RUNS;
	r->sends_percent +=
	    (percent_of(w->sends, w->calls->len) - PERCENT) / RUNS;
	r->not_run_percent +=
	    percent_of(t.not_run, t.calls[0] + t.calls[1]) / RUNS;
	r->unknown_percent +=
	    percent_of(t.unknown, t.calls[0] + t.calls[1]) / RUNS;
	r->violations += checker_total(&v);
	r->booking_ran_twice += v.booking_ran_twice;
	g_array_free(t.done_us, TRUE);
	g_array_free(t.refused_us, TRUE);
	world_free(w);
}

static struct result
measure(
    const struct deployment *d, uint32_t load, policy_fn policy, fault_fn fault)
{
	struct world_config cfg;
	struct result r = {0};
	uint64_t seed;

	for (seed = 1; seed <= RUNS; seed++) {
		configure(d, load, seed, &cfg);
		if (policy != NULL)
			policy(&cfg);
		add_run(d, &cfg, fault, &r);
	}
	return r;
}

static void
print_header(void)
{
	(void)printf(
	    "| load %% | version | goodput %% | lookups done %% | bookings done"
	    " %% | p50 ms | p99 ms | p99.9 ms | refused p50 ms | refused p99 "
	    "ms | retries %% |"
	    " not_run %% | unknown %% | violations | bookings run twice |\n"
	    "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

static void
print_row(uint32_t load, const char *name, const struct result *r)
{
	(void)printf("| %u | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |"
		     " %.1f | %.1f | %.1f | %.1f | %.2f | %u | %u |\n",
	    load, name, r->goodput_percent, r->lookups_percent,
	    r->bookings_percent, r->p50_ms, r->p99_ms, r->p999_ms,
	    r->refused_p50_ms, r->refused_p99_ms, r->sends_percent,
	    r->not_run_percent, r->unknown_percent, r->violations,
	    r->booking_ran_twice);
	(void)fflush(stdout);
}

static void
naive(struct world_config *cfg)
{
	cfg->naive = true;
	cfg->eject = false;
}

static void
print_both(const struct deployment *d, uint32_t load, fault_fn fault)
{
	struct result r;

	r = measure(d, load, naive, fault);
	print_row(load, "naive", &r);
	r = measure(d, load, NULL, fault);
	print_row(load, "ours", &r);
}

static void
bench_loads(void)
{
	static const uint32_t loads[] = {30, 80, 100, 150, 300};
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(deployments); i++) {
		(void)printf("\n%s\n\n", deployments[i].name);
		print_header();
		for (k = 0; k < G_N_ELEMENTS(loads); k++)
			print_both(&deployments[i], loads[k], NULL);
	}
}

struct fault_row {
	const char *name;
	uint32_t load;
	fault_fn fault;
};

static const struct fault_row fault_rows[] = {
    {"one endpoint 10 times slower", 60, bench_one_slow},
    {"half of the endpoints killed", 80, bench_half_killed},
    {"one guard frozen for 3 s", 60, bench_one_frozen},
    {"upstreams restart one by one, cold", 60, bench_cold_starts},
    {"one data centre cut off for 3 s", 50, bench_data_centre_partitioned},
    {"one endpoint drained and restarted", 60, bench_one_drained},
};

static void
bench_faults(void)
{
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(deployments); i++) {
		for (k = 0; k < G_N_ELEMENTS(fault_rows); k++) {
			(void)printf("\n%s: %s\n\n", deployments[i].name,
			    fault_rows[k].name);
			print_header();
			print_both(&deployments[i], fault_rows[k].load,
			    fault_rows[k].fault);
		}
	}
}

struct policy_row {
	const char *name;
	policy_fn policy;
	uint32_t load;
	fault_fn fault;
};

static const struct policy_row policy_rows[] = {
    {"ours", NULL, 80, NULL},
    {"random placement", bench_random_placement, 80, NULL},
    {"no preference for the own data centre", bench_no_local_preference, 80,
	NULL},
    {"saturated from 70 %", bench_saturated_at_70, 80, NULL},
    {"saturated from 150 %", bench_saturated_at_150, 80, NULL},
    {"half-life of load 100 ms", bench_half_life_100, 80, NULL},
    {"half-life of load 3,000 ms", bench_half_life_3000, 80, NULL},
    {"no queue", bench_no_queue, 80, NULL},
    {"ours", NULL, 300, NULL},
    {"no queue", bench_no_queue, 300, NULL},
    {"no early refusal", bench_no_early_refusal, 300, NULL},
    {"oldest first", bench_oldest_first, 300, NULL},
    {"long queue, 300 ms left: ours", bench_long_queue, 300, NULL},
    {"long queue, oldest first", bench_long_queue_oldest_first, 300, NULL},
    {"long queue, no early refusal", bench_long_queue_no_early_refusal, 300,
	NULL},
    {"long queue, neither", bench_long_queue_fifo_no_early_refusal, 300, NULL},
    {"no share for bookings", bench_no_booking_share, 300, NULL},
    {"no retries", bench_no_retry, 300, NULL},
    {"no retry budget, 4 attempts", bench_no_budget, 300, NULL},
    {"no back-off", bench_no_backoff, 300, NULL},
    {"random placement", bench_random_placement, 300, NULL},
    {"one slow: ours", NULL, 60, bench_one_slow},
    {"one slow: no ejection", bench_no_ejection, 60, bench_one_slow},
    {"one slow: only failures eject", bench_no_slow_factor, 60, bench_one_slow},
    {"one slow: random placement", bench_random_placement, 60, bench_one_slow},
    {"half lost: ours", NULL, 80, bench_half_killed},
    {"half lost: no ejection", bench_no_ejection, 80, bench_half_killed},
    {"half lost: no retry budget", bench_no_budget, 80, bench_half_killed},
    {"half lost: no retries", bench_no_retry, 80, bench_half_killed},
    {"one frozen: ours", NULL, 60, bench_one_frozen},
    {"one frozen: no ejection", bench_no_ejection, 60, bench_one_frozen},
    {"cold starts: ours", NULL, 60, bench_cold_starts},
    {"cold starts: no slow start", bench_no_slow_start, 60, bench_cold_starts},
    {"one cold start: ours", NULL, 60, bench_one_cold},
    {"one cold start: no slow start", bench_no_slow_start, 60, bench_one_cold},
    {"one cold start: slow start of 15 s", bench_slow_start_15_s, 60,
	bench_one_cold},
    {"4 times the slots announced: ours", bench_overstated_slots, 150, NULL},
    {"the same, slots not adapted", bench_overstated_slots_not_adapted, 150,
	NULL},
};

/* Only rows whose name contains this text are run. */
static const char *name_filter = "";

static void
bench_policies(void)
{
	const struct policy_row *row;
	struct result r;
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(deployments); i++) {
		(void)printf("\n%s\n\n", deployments[i].name);
		print_header();
		for (k = 0; k < G_N_ELEMENTS(policy_rows); k++) {
			row = &policy_rows[k];
			if (strstr(row->name, name_filter) == NULL)
				continue;
			r = measure(&deployments[i], row->load, row->policy,
			    row->fault);
			print_row(row->load, row->name, &r);
		}
	}
}

int
main(int argc, char **argv)
{
	if (argc == 3 && strcmp(argv[1], "policies") == 0)
		name_filter = argv[2];
	if (argc == 2 && strcmp(argv[1], "loads") == 0)
		bench_loads();
	else if (argc == 2 && strcmp(argv[1], "faults") == 0)
		bench_faults();
	else if (argc >= 2 && strcmp(argv[1], "policies") == 0)
		bench_policies();
	else
		return fprintf(stderr,
			   "usage: bench_calls loads|faults|policies\n") < 0;
	return EXIT_SUCCESS;
}
