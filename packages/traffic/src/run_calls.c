/*
 * Calls that one run of an upstream makes.
 */
#include "traffic/run_calls.h"

void
run_calls_refused(struct run_calls *r)
{
	r->refused++;
}

void
run_calls_answered(struct run_calls *r)
{
	r->refused--;
}

bool
run_calls_need_many(const struct run_calls *r)
{
	return r->refused > 1;
}
