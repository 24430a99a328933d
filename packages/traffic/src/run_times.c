/*
 * Mean run time of requests by kind.
 */
#include "traffic/run_times.h"

#include <glib.h>

static struct run_time *
find(struct run_times *t, uint64_t kind)
{
	size_t i;

	for (i = 0; i < RUN_TIMES_KINDS; i++)
		if (t->kinds[i].kind == kind)
			return &t->kinds[i];
	return NULL;
}

static struct run_time *
replace_oldest(struct run_times *t, uint64_t kind)
{
	struct run_time *oldest = &t->kinds[0];
	size_t i;

	for (i = 1; i < RUN_TIMES_KINDS; i++)
		if (t->kinds[i].at_ms < oldest->at_ms)
			oldest = &t->kinds[i];
	*oldest = (struct run_time){.kind = kind};
	return oldest;
}

void
run_times_record(struct run_times *t, uint64_t kind, uint64_t run_us,
    uint32_t weight, uint64_t now_ms)
{
	struct run_time *r;
	int64_t step;

	if (kind == 0 || run_us == 0)
		return;
	r = find(t, kind);
	if (r == NULL)
		r = replace_oldest(t, kind);
	if (r->samples < weight)
		r->samples++;
	step = ((int64_t)run_us - (int64_t)r->mean_us) /
	    MAX((int64_t)r->samples, 1);
	r->mean_us = (uint64_t)((int64_t)r->mean_us + step);
	r->at_ms = now_ms;
}

uint64_t
run_times_mean_us(const struct run_times *t, uint64_t kind)
{
	size_t i;

	for (i = 0; kind != 0 && i < RUN_TIMES_KINDS; i++)
		if (t->kinds[i].kind == kind)
			return t->kinds[i].mean_us;
	return 0;
}
