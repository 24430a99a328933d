/*
 * Arrival schedule of the load generator.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "standins/schedule.h"

#define DEPARTURES_SEED 0x5eed1ef7U
#define SCHEDULE_SECOND_US 1e6
#define SCHEDULE_PERCENT 100

static enum call_kind
choose_kind(GRand *rnd, const uint32_t mix[CALL_KINDS])
{
	int k;
	uint32_t pick, sum = 0;

	for (k = 0; k < CALL_KINDS; k++)
		sum += mix[k];
	if (sum == 0)
		return CALL_LOOKUP;
	pick = (uint32_t)g_rand_int_range(rnd, 0, (gint32)sum);
	for (k = 0; pick >= mix[k]; k++)
		pick -= mix[k];
	return (enum call_kind)k;
}

static int
random_percent(GRand *rnd, uint32_t percent)
{
	return (uint32_t)g_rand_int_range(rnd, 0, SCHEDULE_PERCENT) < percent;
}

/* Append a duplicate under the same key, to another node if there is one. */
static void
append_duplicate(GArray *schedule, const struct arrival *first, uint32_t nodes)
{
	struct arrival duplicate = *first;

	duplicate.node = (first->node + 1) % nodes;
	g_array_append_val(schedule, duplicate);
}

/* Draws who leaves, from numbers of their own: the other choices of a seed stay
 * as they are. */
static void
draw_departures(GArray *schedule, const struct schedule_spec *s)
{
	GRand *rnd = g_rand_new_with_seed((guint32)s->seed ^ DEPARTURES_SEED);
	struct arrival *a;
	guint i;

	for (i = 0; i < schedule->len; i++) {
		a = &g_array_index(schedule, struct arrival, i);
		if (random_percent(rnd, s->leave_percent))
			a->leave_ms = (uint32_t)g_rand_int_range(
			    rnd, 1, (gint32)s->leave_max_ms + 1);
	}
	g_rand_free(rnd);
}

GArray *
schedule_new(const struct schedule_spec *s)
{
	double at_us = 0;
	GArray *schedule = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	GRand *rnd = g_rand_new_with_seed((guint32)s->seed);
	struct arrival a;
	uint32_t keys = 0;

	for (;;) {
		at_us -= log(1.0 - g_rand_double(rnd)) * SCHEDULE_SECOND_US /
		    s->rate;
		if (at_us >= (double)s->duration_us)
			break;
		memset(&a, 0, sizeof(a));
		a.at_us = (uint64_t)at_us;
		a.kind = choose_kind(rnd, s->mix);
		a.node = (uint32_t)g_rand_int_range(rnd, 0, (gint32)s->nodes);
		if (a.kind == CALL_BOOKING &&
		    random_percent(rnd, s->keyed_percent))
			a.key = ++keys;
		g_array_append_val(schedule, a);
		if (a.key != 0 && random_percent(rnd, s->twin_percent))
			append_duplicate(schedule, &a, s->nodes);
	}
	g_rand_free(rnd);
	if (s->leave_percent > 0 && s->leave_max_ms > 0)
		draw_departures(schedule, s);
	return schedule;
}
