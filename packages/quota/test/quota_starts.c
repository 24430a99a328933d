/*
 * Hosts that start together.
 */
#include "quota_starts.h"

/* Addresses of other hosts that a host has when it starts. */
#define ADDRESSES 3

/* A prime, so that hosts next to each other start at different times. */
#define STRIDE_MS 397

const struct quota_start quota_starts[QUOTA_STARTS] = {
    {"10 of 10", 2, 5, 0},
    {"8 of 10", 2, 5, 5},
    {"75 of 75", 3, 25, 0},
    {"60 of 75", 3, 25, 5},
    {"300 of 300", 3, 100, 0},
    {"270 of 300", 3, 100, 10},
};

struct fleet_load
quota_start_load(uint32_t i)
{
	return (struct fleet_load){.data_centres = quota_starts[i].data_centres,
	    .entries = quota_starts[i].entries,
	    .seeds = ADDRESSES};
}

void
quota_start_stop(struct fleet *f, uint32_t i, uint64_t ms, uint64_t first_ms,
    uint64_t spread_ms)
{
	uint32_t h, kept = quota_starts[i].kept;

	for (h = 0; h < f->n_hosts; h++)
		if (kept == 0 || h % kept != 1)
			fleet_stop(
			    f, h, ms + first_ms + h * STRIDE_MS % spread_ms);
}
