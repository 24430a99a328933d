/*
 * Selection of the calls that go to a version on trial.
 */
#include "traffic/canary.h"

#include <glib.h>

#define MILLI 1000

void
canary_set(struct canary *c, uint64_t order, uint32_t share_milli,
    uint32_t endpoints, uint64_t random)
{
	c->share_milli = share_milli;
	c->endpoints = endpoints;
	if (c->order == order)
		return;
	c->order = order;
	c->credit_milli = random % MILLI;
}

bool
canary_take(struct canary *c)
{
	if (c->order == 0 || c->endpoints == 0)
		return false;
	c->credit_milli += c->share_milli;
	if (c->credit_milli < MILLI)
		return false;
	c->credit_milli -= MILLI;
	return true;
}
