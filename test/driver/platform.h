/*
 * Platform of the test driver: reads of the ledger, with outages, delay and
 * throttling.
 */
#ifndef DRIVER_PLATFORM_H
#define DRIVER_PLATFORM_H

#include <stdint.h>

#include "spread/budget.h"
#include "spread/spread.h"

struct node;
struct world;

/**
 * struct platform - settings and counters
 * @outage: every read fails
 * @delay_ms: duration of a read
 * @reads_per_s: read rate above which reads are throttled
 * @budget: token bucket of reads
 * @reads: number of reads received
 * @rejected: number of reads that failed or were throttled
 * @second: second of virtual time that @reads_in_second belongs to
 * @reads_in_second: reads received in @second
 * @peak_reads_per_s: maximum of @reads_in_second
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

/** platform_init() - platform without an outage, 5 ms a read, 2,000 reads a
 * second */
void platform_init(struct platform *p);

/** platform_set_limit() - set the number of reads allowed per second */
void
platform_set_limit(struct platform *p, uint64_t now_ms, uint32_t reads_per_s);

/** platform_reset() - reset the counters */
void platform_reset(struct platform *p);

/** platform_read() - execute a read that a node's spread requests */
void platform_read(struct node *n, const struct spread_action *a);

/** platform_admit() - count @n reads; 1 if they are admitted, 0 if rejected */
int platform_admit(struct world *w, uint32_t n);

#endif
