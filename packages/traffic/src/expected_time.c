/*
 * Expected time until an endpoint answers a request of a known kind: the way,
 * the work under way there by its size, and the request's own run time, both at
 * the endpoint's speed.
 */
#include <glib.h>

#include "endpoints_defs.h"

/* Mean size of the requests under way; that of the own one if not reported. */
static double
size_us(const struct endpoint *ep, double own_us)
{
	return ep->speed.size_us > 0 ? ep->speed.size_us : own_us;
}

uint64_t
endpoints_expected_us(const struct endpoints *e, const struct endpoint *ep,
    uint64_t kind_us, uint64_t now_ms)
{
	double own_us =
	    (double)kind_us * endpoint_speed_factor(&ep->speed, now_ms);
	double load = (double)endpoints_expected_milli(e, ep, now_ms) + MILLI;
	double slots = (double)endpoints_slots_milli(e, ep, now_ms);
	double us = own_us + load * size_us(ep, own_us) / slots +
	    endpoint_speed_spell_us(&ep->speed, own_us, now_ms);

	return endpoints_delay_us(e, ep, now_ms) +
	    endpoints_limit_wait_us(ep, now_ms) + (uint64_t)MAX(us, 0);
}
