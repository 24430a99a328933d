/*
 * Rate of an entry's requests towards an endpoint that names a limit.
 *
 * The guard enforces the limit over all entries.  An entry doesn't know how
 * many others share the limit, so each entry finds its part: the rate rises
 * with each accepted request and halves with each refused one.  Without a rate,
 * placement by load would prefer the endpoint, which runs few requests and
 * looks idle, and the guard would refuse most of them.
 */
#include <glib.h>

#include "base/clock.h"

#include "endpoints_defs.h"

#define MILLI_PER_MS 1000000
/* An accepted request raises the rate by this part of itself. */
#define RISE_DIVISOR 16
#define FALL_DIVISOR 2
/* Lowest rate, so that an entry learns within 2 s that a limit has ended. */
#define PACE_MIN_MILLI 500
/* Longest time that requests sent in spite of the pace add up to. */
#define OPEN_AHEAD_MAX_MS 2000

static void
set_limit(struct endpoint_pace *p, uint64_t limit)
{
	if (p->limit_milli_per_s == 0)
		p->milli_per_s = limit;
	else
		p->milli_per_s = p->milli_per_s * limit / p->limit_milli_per_s;
	p->limit_milli_per_s = limit;
}

static void
clear(struct endpoint_pace *p)
{
	p->limit_milli_per_s = 0;
	p->open_ms = 0;
}

static void
adjust(struct endpoint_pace *p)
{
	uint64_t lowest = MIN(p->limit_milli_per_s, PACE_MIN_MILLI);

	if (p->refused)
		p->milli_per_s /= FALL_DIVISOR;
	else
		p->milli_per_s += p->milli_per_s / RISE_DIVISOR;
	p->milli_per_s = CLAMP(p->milli_per_s, lowest, p->limit_milli_per_s);
}

void
endpoint_pace_sent(struct endpoint_pace *p, uint64_t now_ms)
{
	if (p->limit_milli_per_s == 0)
		return;
	p->open_ms = MAX(p->open_ms, now_ms) + MILLI_PER_MS / p->milli_per_s;
	p->open_ms = MIN(p->open_ms, now_ms + OPEN_AHEAD_MAX_MS);
}

void
endpoint_pace_report(
    struct endpoint_pace *p, const struct load_report *load, uint64_t now_ms)
{
	if (load->limit_milli_per_s == 0) {
		clear(p);
		return;
	}
	if (load->limit_milli_per_s != p->limit_milli_per_s)
		set_limit(p, load->limit_milli_per_s);
	adjust(p);
	if (!p->refused)
		return;
	p->open_ms = MAX(p->open_ms, now_ms + load->limit_wait_ms);
	p->open_ms = MIN(p->open_ms, now_ms + OPEN_AHEAD_MAX_MS);
}

uint64_t
endpoints_limit_wait_us(const struct endpoint *ep, uint64_t now_ms)
{
	return clock_left_ms(ep->pace.open_ms, now_ms) * MILLI;
}
