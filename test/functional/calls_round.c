/*
 * Rounds of load with a fault at a random time.
 */
#include <stdio.h>
#include <stdlib.h>

#include <check.h>
#include <glib.h>

#include "calls.h"

#define NAME_BYTES 64
#define DECIMAL 10
/* Time from the start of the load to the fault. */
#define INJECT_MIN_MS 200
#define INJECT_MAX_MS 800
#define RATE "250"
#define LEAVE_MAX_MS "400"
#define WORK_MS_MEAN 20
#define TIMEOUT_MS 1500
#define SLOTS 4
#define QUEUE 8
#define QUEUE_WAIT_MS 300

static const char *const target_names[CALLS_TARGETS] = {
    "a node", "an upstream", "a host", "half of the nodes"};

static void
sleep_random(GRand *rnd, uint32_t from_ms, uint32_t to_ms)
{
	gint32 ms = g_rand_int_range(rnd, (gint32)from_ms, (gint32)to_ms);

	g_usleep((gulong)ms * G_TIME_SPAN_MILLISECOND);
}

static void
for_each_target(struct deployment *d, enum calls_targets targets,
    uint32_t first, void (*fn)(struct deployment *d, struct host *h, int node))
{
	uint32_t i, n = targets == CALLS_HALF_OF_NODES ? d->hosts->len / 2 : 1;
	struct host *h;

	for (i = 0; i < n; i++) {
		h = deployment_host(d, (first + i) % d->hosts->len);
		if (targets == CALLS_UPSTREAM || targets == CALLS_HOST)
			fn(d, h, 0);
		if (targets != CALLS_UPSTREAM)
			fn(d, h, 1);
	}
}

struct process *
calls_load_start(struct deployment *d, const char *name, const char *duration_s,
    uint32_t seed)
{
	return calls_load_leaving(d, name, duration_s, seed, 0);
}

struct process *
calls_load_leaving(struct deployment *d, const char *name,
    const char *duration_s, uint32_t seed, uint32_t leave_percent)
{
	char seed_arg[NAME_BYTES], leave_arg[NAME_BYTES];
	const char *args[] = {"--rate", RATE, "--duration-s", duration_s,
	    "--mix", "5:4:1", "--keyed", "50", "--twins", "30", "--repeats",
	    "2", "--answer-bytes", "100000", "--upload-bytes", "200000",
	    "--seed", seed_arg, "--leave", leave_arg, "--leave-ms",
	    LEAVE_MAX_MS, NULL};

	(void)g_snprintf(seed_arg, sizeof(seed_arg), "%u", seed);
	(void)g_snprintf(leave_arg, sizeof(leave_arg), "%u", leave_percent);
	return deployment_load(d, name, deployment_host(d, 0), 1, args);
}

void
calls_round(struct deployment *d, const struct calls_fault *f,
    enum calls_targets targets, uint32_t seed, struct calls_counts *total)
{
	char name[NAME_BYTES];
	GRand *rnd = g_rand_new_with_seed(seed * CALLS_TARGETS + targets);
	struct process *load;
	uint32_t first = g_rand_int(rnd) % d->hosts->len;

	(void)g_snprintf(
	    name, sizeof(name), "%s-%u-%u", f->name, seed, (uint32_t)targets);
	load = calls_load_start(d, name, f->duration_s, seed);
	sleep_random(rnd, INJECT_MIN_MS, INJECT_MAX_MS);
	for_each_target(d, targets, first, f->inject);
	sleep_random(rnd, f->min_length_ms, f->max_length_ms);
	for_each_target(d, targets, first, f->recover);
	calls_load_end(load, name, total);
	calls_wait_ready(d);
	g_rand_free(rnd);
}

uint32_t
calls_first_seed(void)
{
	const char *text = g_getenv("BRAMLEY_SEED");

	return text == NULL ? 1 : (uint32_t)strtoul(text, NULL, DECIMAL);
}

void
calls_rounds(const struct calls_fault *f, uint32_t seeds,
    struct calls_counts sums[CALLS_TARGETS])
{
	char what[NAME_BYTES];
	enum calls_targets v;
	struct calls_limits limits = {.timeout_ms = TIMEOUT_MS,
	    .slots = SLOTS,
	    .queue = QUEUE,
	    .queue_wait_ms = QUEUE_WAIT_MS,
	    .key_window_ms = f->key_window_ms};
	struct deployment_plan plan = deployment_registry;
	struct deployment *d;
	uint32_t i;

	plan.slots = limits.slots;
	plan.work_ms_mean = WORK_MS_MEAN;
	d = calls_start(&plan, &limits);
	for (v = 0; v < CALLS_TARGETS; v++) {
		sums[v] = (struct calls_counts){0};
		for (i = 0; i < seeds; i++)
			calls_round(d, f, v, calls_first_seed() + i, &sums[v]);
		(void)g_snprintf(
		    what, sizeof(what), "%s %s", f->name, target_names[v]);
		calls_print(what, &sums[v]);
		ck_assert_uint_gt(sums[v].done, 0);
		ck_assert_uint_eq(sums[v].bad_answers, 0);
	}
	calls_stop(d);
}
