/*
 * Mean run time of requests by kind, where a kind is a route.
 *
 * Kinds differ by more than upstreams do, so times of upstreams are compared
 * kind by kind.
 */
#ifndef TRAFFIC_RUN_TIMES_H
#define TRAFFIC_RUN_TIMES_H

#include <stdint.h>

/** RUN_TIMES_KINDS - number of kinds that are kept; another one replaces the
 * kind that was recorded longest ago */
#define RUN_TIMES_KINDS 16

/**
 * struct run_time - record of a kind
 * @kind: number of the kind; 0 for a free record
 * @mean_us: moving average of the run time
 * @at_ms: monotonic time of the last record
 * @samples: number of recorded times, up to the weight of the average
 */
struct run_time {
	uint64_t kind;
	uint64_t mean_us;
	uint64_t at_ms;
	uint32_t samples;
};

/**
 * struct run_times - all kinds; zero-initialised
 * @kinds: records
 */
struct run_times {
	struct run_time kinds[RUN_TIMES_KINDS];
};

/**
 * run_times_record() - record a run time
 * @t: all kinds
 * @kind: number of the kind; 0 is ignored
 * @run_us: the run time; 0 is ignored
 * @weight: the average covers about this many times
 * @now_ms: monotonic time
 */
void run_times_record(struct run_times *t, uint64_t kind, uint64_t run_us,
    uint32_t weight, uint64_t now_ms);

/** run_times_mean_us() - mean run time of a kind, 0 when unknown */
uint64_t run_times_mean_us(const struct run_times *t, uint64_t kind);

#endif
