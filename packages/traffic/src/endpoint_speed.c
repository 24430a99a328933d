/*
 * Speed of an endpoint relative to its service, kind by kind, the pace of its
 * machine, and the mean size of its requests.
 *
 * The speed is learned from answers.  It fades to that of the service, so that
 * an endpoint that was slow once is tried again.  The pace is used relative to
 * the mean pace that the same endpoint reported, so that one that always
 * reports the same figure gains nothing, and it fades within the length of a
 * spell of slowness.
 */
#include <math.h>

#include <glib.h>

#include "endpoints_defs.h"

/* Weight of a mean over many requests of the endpoint, and of a single one. */
#define MEAN_WEIGHT 0.5
#define SINGLE_WEIGHT 0.125
#define PACE_WEIGHT 0.0625
#define SIZE_WEIGHT 0.25
#define FACTOR_MIN 0.1
#define FACTOR_MAX 10.0
#define SPEED_HALF_LIFE_MS 10000
#define PACE_HALF_LIFE_MS 60
/* A spell of slowness lasts about this long. */
#define SPELL_US 100000

static double
faded(double value, uint64_t since_ms, uint64_t now_ms, uint32_t half_life_ms)
{
	uint64_t age_ms = now_ms - MIN(since_ms, now_ms);

	return value * exp2(-(double)age_ms / half_life_ms);
}

void
endpoint_speed_ran(
    struct endpoint_speed *s, double factor, bool is_mean, uint64_t now_ms)
{
	double weight = is_mean ? MEAN_WEIGHT : SINGLE_WEIGHT;

	factor = CLAMP(factor, FACTOR_MIN, FACTOR_MAX);
	s->excess += (factor - 1 - s->excess) * weight;
	s->ran_ms = now_ms;
}

double
endpoint_speed_factor(const struct endpoint_speed *s, uint64_t now_ms)
{
	return 1 + faded(s->excess, s->ran_ms, now_ms, SPEED_HALF_LIFE_MS);
}

static void
report_pace(struct endpoint_speed *s, uint32_t percent, uint64_t now_ms)
{
	if (percent == 0)
		return;
	if (s->mean_pace == 0)
		s->mean_pace = percent;
	s->mean_pace += ((double)percent - s->mean_pace) * PACE_WEIGHT;
	s->pace = percent;
	s->pace_ms = now_ms;
}

void
endpoint_speed_report(
    struct endpoint_speed *s, const struct load_report *load, uint64_t now_ms)
{
	uint64_t n = (uint64_t)load->in_flight + load->queued;
	double size_us;

	report_pace(s, load->pace_percent, now_ms);
	if (n == 0 || load->work_ms == 0)
		return;
	size_us = (double)load->work_ms * MILLI / (double)n;
	if (s->size_us == 0)
		s->size_us = size_us;
	s->size_us += (size_us - s->size_us) * SIZE_WEIGHT;
}

double
endpoint_speed_spell_us(
    const struct endpoint_speed *s, double run_us, uint64_t now_ms)
{
	double excess, within_us;

	if (s->mean_pace == 0)
		return 0;
	excess = faded(
	    s->pace / s->mean_pace - 1, s->pace_ms, now_ms, PACE_HALF_LIFE_MS);
	within_us = MIN(run_us, SPELL_US / 2.0);
	return excess * within_us;
}
