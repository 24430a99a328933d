/*
 * Highest count in any window of one second.
 */
#ifndef STANDINS_PEAK_H
#define STANDINS_PEAK_H

#include <stdint.h>

#include <glib.h>

/**
 * struct peak - counts of the last second and the highest so far; all zeros at
 * the start
 * @last: struct peak_count within the last second, oldest first
 * @n: their sum
 * @highest: highest sum so far
 */
struct peak {
	GQueue last;
	uint64_t n;
	uint64_t highest;
};

/** peak_add() - count @n events at a monotonic time */
void peak_add(struct peak *p, uint32_t n, uint64_t now_us);

/** peak_reset() - forget everything, and free it */
void peak_reset(struct peak *p);

#endif
