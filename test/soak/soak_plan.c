/*
 * Draws the fault schedule of a soak run.
 */
#include "soak_plan.h"

/* Faults last from less than any timeout to more than both the suspicion
 * timeout of peers and the deadline of calls. */
#define FAULT_MIN_MS 150
#define FAULT_MAX_MS 2500

/* One in this many faults begins at the same time as the previous one. */
#define SIMULTANEOUS_ONE_IN 3

const char *
soak_fault_name(enum soak_fault f)
{
	static const char *const names[] = {"node_kill", "node_stop",
	    "node_freeze", "node_reload", "mass_kill", "upstream_kill",
	    "upstream_stop", "upstream_freeze", "upstream_shed",
	    "upstream_break", "store_outage", "store_slow", "store_lost",
	    "link_cut", "link_silent", "link_stalled", "link_one_way",
	    "sign_off", "grow", "stop_wave", "upstream_limit",
	    "upstream_leaving", "store_restore"};

	return (size_t)f < G_N_ELEMENTS(names) ? names[f] : "?";
}

static gint
compare_by_time(gconstpointer a, gconstpointer b)
{
	const struct soak_event *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

GArray *
soak_plan_new(uint32_t seed, uint32_t duration_ms, uint32_t faults)
{
	GArray *plan = g_array_new(FALSE, TRUE, sizeof(struct soak_event));
	GRand *rnd = g_rand_new_with_seed(seed);
	struct soak_event e = {0};
	uint32_t i, length_ms, begins_ms = 0;

	for (i = 0; i < faults; i++) {
		if (i == 0 || g_rand_int_range(rnd, 0, SIMULTANEOUS_ONE_IN) > 0)
			begins_ms = (uint32_t)g_rand_int_range(
			    rnd, 0, (gint32)duration_ms);
		e.at_ms = begins_ms;
		e.fault =
		    (enum soak_fault)g_rand_int_range(rnd, 0, SOAK_FAULTS);
		e.number = i;
		e.target = g_rand_int(rnd);
		e.ends = false;
		g_array_append_val(plan, e);
		length_ms =
		    (uint32_t)g_rand_int_range(rnd, FAULT_MIN_MS, FAULT_MAX_MS);
		e.at_ms = MIN(duration_ms, begins_ms + length_ms);
		e.ends = true;
		g_array_append_val(plan, e);
	}
	g_rand_free(rnd);
	g_array_sort(plan, compare_by_time);
	return plan;
}

void
soak_plan_grow(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times)
{
	GRand *rnd = g_rand_new_with_seed(seed);
	struct soak_event e = {.fault = SOAK_GROW, .number = plan->len};
	uint32_t i;

	for (i = 0; i < times; i++, e.number++) {
		e.at_ms = (i + 1) * duration_ms / (times + 1);
		e.target = g_rand_int(rnd);
		e.ends = false;
		g_array_append_val(plan, e);
		e.ends = true;
		g_array_append_val(plan, e);
	}
	g_rand_free(rnd);
	g_array_sort(plan, compare_by_time);
}

void
soak_plan_stop_waves(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times)
{
	GRand *rnd = g_rand_new_with_seed(seed + 1);
	struct soak_event e = {.fault = SOAK_STOP_WAVE, .number = plan->len};
	uint32_t i, begins_ms;

	for (i = 0; i < times; i++, e.number++) {
		begins_ms =
		    (uint32_t)g_rand_int_range(rnd, 0, (gint32)duration_ms);
		e.at_ms = begins_ms;
		e.target = g_rand_int(rnd);
		e.ends = false;
		g_array_append_val(plan, e);
		e.at_ms = MIN(duration_ms,
		    begins_ms +
			(uint32_t)g_rand_int_range(
			    rnd, FAULT_MIN_MS, FAULT_MAX_MS));
		e.ends = true;
		g_array_append_val(plan, e);
	}
	g_rand_free(rnd);
	g_array_sort(plan, compare_by_time);
}

/* A limit lasts for longer than the window that bounds it. */
#define LIMIT_MIN_MS 1000
#define LIMIT_MAX_MS 6000

void
soak_plan_reports(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times)
{
	GRand *rnd = g_rand_new_with_seed(seed + 2);
	struct soak_event e = {.number = plan->len};
	uint32_t i, begins_ms;

	for (i = 0; i < times + times / 2; i++, e.number++) {
		e.fault =
		    i < times ? SOAK_UPSTREAM_LIMIT : SOAK_UPSTREAM_LEAVING;
		begins_ms =
		    (uint32_t)g_rand_int_range(rnd, 0, (gint32)duration_ms);
		e.at_ms = begins_ms;
		e.target = g_rand_int(rnd);
		e.ends = false;
		g_array_append_val(plan, e);
		e.at_ms = MIN(duration_ms,
		    begins_ms +
			(uint32_t)g_rand_int_range(
			    rnd, LIMIT_MIN_MS, LIMIT_MAX_MS));
		e.ends = true;
		g_array_append_val(plan, e);
	}
	g_rand_free(rnd);
	g_array_sort(plan, compare_by_time);
}

void
soak_plan_restores(
    GArray *plan, uint32_t seed, uint32_t duration_ms, uint32_t times)
{
	GRand *rnd = g_rand_new_with_seed(seed + 3);
	struct soak_event e = {
	    .fault = SOAK_STORE_RESTORE, .number = plan->len};
	uint32_t i, begins_ms;

	for (i = 0; i < times; i++, e.number++) {
		begins_ms =
		    (uint32_t)g_rand_int_range(rnd, 0, (gint32)duration_ms);
		e.at_ms = begins_ms;
		e.target = g_rand_int(rnd);
		e.ends = false;
		g_array_append_val(plan, e);
		e.at_ms = MIN(duration_ms,
		    begins_ms +
			(uint32_t)g_rand_int_range(
			    rnd, FAULT_MIN_MS, FAULT_MAX_MS));
		e.ends = true;
		g_array_append_val(plan, e);
	}
	g_rand_free(rnd);
	g_array_sort(plan, compare_by_time);
}
