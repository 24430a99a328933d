/*
 * Loads in which most hosts of a fleet stop at once and start together.
 */
#ifndef QUOTA_STARTS_H
#define QUOTA_STARTS_H

#include "quota_fleet.h"

/** QUOTA_STARTS - number of starts */
#define QUOTA_STARTS 6

/**
 * struct quota_start - hosts that start together
 * @name: which hosts
 * @data_centres: number of data centres
 * @entries: entries of each data centre
 * @kept: one host of so many goes on; 0 if none does
 */
struct quota_start {
	const char *name;
	uint32_t data_centres;
	uint32_t entries;
	uint32_t kept;
};

extern const struct quota_start quota_starts[QUOTA_STARTS];

/** quota_start_load() - a load of start @i without customers and requests,
 * whose hosts learn of each other */
struct fleet_load quota_start_load(uint32_t i);

/** quota_start_stop() - stop the hosts of start @i at @ms; the first starts
 * @first_ms later, the others within @spread_ms */
void quota_start_stop(struct fleet *f, uint32_t i, uint64_t ms,
    uint64_t first_ms, uint64_t spread_ms);

#endif
