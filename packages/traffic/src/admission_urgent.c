/*
 * Slots that are kept from long requests for urgent ones: those of a
 * higher priority whose slack, the time from arrival to the latest start that
 * meets the target, is shorter than the long request runs, and not much longer
 * than it takes until a slot is freed.  Without them an urgent request that
 * arrives while long ones fill all slots would be late.
 */
#include "base/clock.h"

#include "admission_defs.h"

#define PERIOD_MS 1000
#define MEAN_SHIFT 3
#define MILLI 1000
/* Long requests keep the other slots however many urgent ones come. */
#define KEPT_MAX_PERCENT 50
/*
 * While long requests fill the slots, one is freed each run time divided by the
 * slots on average, in clumps, since requests that start together end together.
 * An urgent request whose slack is this many times longer needs no kept slot.
 */
#define WAITS_IN_SLACK 6
/* Part of a slot that is kept as a whole one: the nearest whole number. */
#define KEPT_MIN_MILLI 500

static void
begin_period(struct urgent_kind *k, uint64_t now_ms)
{
	if (now_ms < k->until_ms)
		return;
	k->arrived[1] = now_ms < k->until_ms + PERIOD_MS ? k->arrived[0] : 0;
	k->arrived[0] = 0;
	k->until_ms = now_ms + PERIOD_MS;
}

void
admission_urgent_offered(struct admission *a,
    const struct admission_request *req, uint64_t run_ms, uint64_t now_ms)
{
	struct urgent_kind *k =
	    &a->kinds[admission_priority_of(req)][req->class];
	uint64_t slack_ms;

	if (req->target_ms == 0 || req->target_ms < now_ms + run_ms)
		return;
	slack_ms = req->target_ms - now_ms - run_ms;
	begin_period(k, now_ms);
	k->arrived[0]++;
	if (k->slack_ms == 0)
		k->slack_ms = slack_ms;
	k->slack_ms += slack_ms >> MEAN_SHIFT;
	k->slack_ms -= k->slack_ms >> MEAN_SHIFT;
}

/* Arrivals a second, as seen in this and the last period. */
static uint64_t
arrivals_per_s(const struct urgent_kind *k, uint64_t now_ms)
{
	if (now_ms >= k->until_ms + PERIOD_MS)
		return 0;
	if (now_ms >= k->until_ms)
		return k->arrived[0];
	return MAX(k->arrived[0], k->arrived[1]);
}

static bool
is_urgent_beside(const struct admission *a, uint32_t priority,
    enum admission_class class, uint64_t long_run_ms)
{
	const struct urgent_kind *k = &a->kinds[priority][class];

	return k->until_ms != 0 && k->slack_ms < long_run_ms &&
	    k->slack_ms * admission_slots(a) < long_run_ms * WAITS_IN_SLACK;
}

/* Slots that urgent requests need on average, in thousandths. */
static uint64_t
needed_milli(const struct admission *a, uint32_t priority, uint64_t long_run_ms)
{
	uint64_t milli = 0;
	uint32_t p;
	int i;

	for (p = 0; p < priority; p++)
		for (i = 0; i < ADMISSION_CLASSES; i++)
			if (is_urgent_beside(
				a, p, (enum admission_class)i, long_run_ms))
				milli +=
				    arrivals_per_s(&a->kinds[p][i], a->now_ms) *
				    a->lanes[i].run_us[p] / US_PER_MS;
	return milli;
}

uint32_t
admission_urgent_kept(
    const struct admission *a, uint32_t priority, enum admission_class class)
{
	uint64_t run_ms = a->lanes[class].run_us[priority] / US_PER_MS;
	uint32_t most = admission_slots(a) * KEPT_MAX_PERCENT / PERCENT;
	uint64_t kept;

	if (run_ms == 0)
		return 0;
	kept = (needed_milli(a, priority, run_ms) + MILLI - KEPT_MIN_MILLI) /
	    MILLI;
	return (uint32_t)MIN(kept, most);
}

bool
admission_urgent_allows(
    const struct admission *a, uint32_t priority, enum admission_class class)
{
	uint64_t run_ms = a->lanes[class].run_us[priority] / US_PER_MS;
	uint32_t kept = admission_urgent_kept(a, priority, class);
	const struct running *r;
	uint32_t n = 0;
	guint i;

	if (kept == 0)
		return true;
	for (i = 0; i < a->running->len; i++) {
		r = &g_array_index(a->running, struct running, i);
		n += r->priority >= priority ||
		    !is_urgent_beside(a, r->priority, r->class, run_ms);
	}
	return n + kept < admission_slots(a);
}
