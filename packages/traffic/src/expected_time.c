/*
 * Expected time until an endpoint answers a request of a known kind: the way,
 * the request's own run time at the endpoint's speed, and the wait for the work
 * under way there.
 *
 * The wait is the time of one request of the mean size there, by a high power
 * of the load per slot: next to nothing while slots are free, so that fast
 * endpoints are used first, and steep where they are full, so that load is
 * known before a queue has formed.  A report is older than a request runs, and
 * many entries have the same one: so each own request under way counts for
 * those that other entries have sent in the meantime.
 */
#include <glib.h>

#include "endpoints_defs.h"

/* An own request under way counts as this many. */
#define OWN_WEIGHT 2
/* Half-life of a reported load; it then nears the mean of its group.  An entry
 * gets a report of an endpoint every few seconds in a large fleet. */
#define REPORT_HALF_LIFE_MS 4000

/*
 * Mean size of the requests under way; that of the own one if not reported.
 * Where only short ones are at work, it counts as that of all the service's
 * endpoints: otherwise a queue that is full of short ones would look better
 * than a shorter one elsewhere, and attract all further ones, which it refuses.
 */
static double
size_us(const struct endpoint *ep, double own_us)
{
	if (ep->speed.size_us <= 0)
		return own_us;
	if (ep->service == NULL)
		return ep->speed.size_us;
	return MAX(ep->speed.size_us, ep->service->size_us);
}

/* Load per slot with one more request, to the fourth power. */
static double
fullness(const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms)
{
	uint64_t load = ((uint64_t)ep->in_flight * OWN_WEIGHT + 1) * MILLI +
	    endpoints_others_milli(ep, REPORT_HALF_LIFE_MS, now_ms);
	double full =
	    (double)load / (double)endpoints_slots_milli(e, ep, now_ms);

	return full * full * full * full;
}

uint64_t
endpoints_expected_us(const struct endpoints *e, const struct endpoint *ep,
    uint64_t kind_us, uint64_t now_ms)
{
	double own_us =
	    (double)kind_us * endpoint_speed_factor(&ep->speed, now_ms);
	double us = own_us + fullness(e, ep, now_ms) * size_us(ep, own_us) +
	    endpoint_speed_spell_us(&ep->speed, own_us, now_ms);

	return endpoints_delay_us(e, ep, now_ms) +
	    endpoints_limit_wait_us(ep, now_ms) + (uint64_t)MAX(us, 0);
}
