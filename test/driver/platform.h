/*
 * Platform of the test driver: answers reads of the ledger, or does not.
 */
#ifndef DRIVER_PLATFORM_H
#define DRIVER_PLATFORM_H

#include <stdint.h>

#include "spread/budget.h"
#include "spread/spread.h"

struct node;
struct world;

/**
 * struct platform - knobs and counters
 * @outage: every read fails
 * @delay_ms: time that a read takes
 * @reads_per_s: reads allowed, above which it throttles
 * @budget: reads left
 * @reads: reads that came in
 * @rejected: reads that failed or were throttled
 * @second: the second that is counted
 * @reads_in_second: reads in it
 * @peak_reads_per_s: most reads in one second
 */
struct platform {
	int outage;
	uint32_t delay_ms;
	uint32_t reads_per_s;
	struct budget budget;
	uint64_t reads;
	uint64_t rejected;
	uint64_t second;
	uint64_t reads_in_second;
	uint64_t peak_reads_per_s;
};

/** platform_init() - up, answering in 5 ms, 2,000 reads a second */
void platform_init(struct platform *p);

/** platform_set_limit() - allow another number of reads a second */
void
platform_set_limit(struct platform *p, uint64_t now_ms, uint32_t reads_per_s);

/** platform_reset() - start counting anew */
void platform_reset(struct platform *p);

/** platform_read() - a node's spread wants something read */
void platform_read(struct node *n, const struct spread_action *a);

/** platform_admit() - count @n reads; 1 if they are answered, 0 if refused */
int platform_admit(struct world *w, uint32_t n);

#endif
