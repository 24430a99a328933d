/*
 * Fault scenarios and policy changes of the benchmark of the call decisions.
 */
#ifndef BENCH_CALLS_H
#define BENCH_CALLS_H

#include "world.h"

/** FAULT_AT_US - virtual time at which a fault begins */
#define FAULT_AT_US (2000 * (uint64_t)US_PER_MS)

/* bench_calls_faults.c: each schedules a fault in a world, permanent or for a
 * limited time. */

void bench_one_slow(struct world *w);
void bench_half_killed(struct world *w);
void bench_one_frozen(struct world *w);
void bench_cold_starts(struct world *w);
void bench_one_cold(struct world *w);
void bench_data_centre_partitioned(struct world *w);
void bench_one_drained(struct world *w);

/* bench_calls_policies.c: each changes a world's configuration. */

void bench_random_placement(struct world_config *cfg);
void bench_no_ejection(struct world_config *cfg);
void bench_no_slow_factor(struct world_config *cfg);
void bench_no_slow_start(struct world_config *cfg);
void bench_slow_start_15_s(struct world_config *cfg);
void bench_no_early_refusal(struct world_config *cfg);
void bench_no_queue(struct world_config *cfg);
void bench_oldest_first(struct world_config *cfg);
void bench_long_queue(struct world_config *cfg);
void bench_long_queue_no_early_refusal(struct world_config *cfg);
void bench_long_queue_oldest_first(struct world_config *cfg);
void bench_long_queue_fifo_no_early_refusal(struct world_config *cfg);
void bench_no_budget(struct world_config *cfg);
void bench_no_retry(struct world_config *cfg);
void bench_no_backoff(struct world_config *cfg);
void bench_no_local_preference(struct world_config *cfg);
void bench_saturated_at_70(struct world_config *cfg);
void bench_saturated_at_150(struct world_config *cfg);
void bench_half_life_100(struct world_config *cfg);
void bench_half_life_3000(struct world_config *cfg);
void bench_no_booking_share(struct world_config *cfg);
void bench_overstated_slots(struct world_config *cfg);
void bench_overstated_slots_not_adapted(struct world_config *cfg);

#endif
