/*
 * Policy changes of the benchmark of the call decisions, one at a time.
 */
#include "bench_calls.h"

void
bench_random_placement(struct world_config *cfg)
{
	cfg->random_placement = true;
}

void
bench_no_ejection(struct world_config *cfg)
{
	cfg->eject = false;
}

void
bench_no_slow_factor(struct world_config *cfg)
{
	cfg->ejection.slow_factor = 0;
}

void
bench_no_slow_start(struct world_config *cfg)
{
	cfg->endpoints.slow_start_ms = 0;
}

void
bench_slow_start_15_s(struct world_config *cfg)
{
	cfg->endpoints.slow_start_ms = 15000;
}

void
bench_no_early_refusal(struct world_config *cfg)
{
	cfg->admission.refuse_early = false;
}

void
bench_no_queue(struct world_config *cfg)
{
	cfg->admission.queue_max = 0;
}

void
bench_oldest_first(struct world_config *cfg)
{
	cfg->admission.newest_first = false;
}

/* A queue that takes much longer to serve than the time left until the
 * deadline. */
void
bench_long_queue(struct world_config *cfg)
{
	cfg->admission.queue_max = 20 * cfg->slots;
	cfg->deadline_ms = 300;
}

void
bench_long_queue_no_early_refusal(struct world_config *cfg)
{
	bench_long_queue(cfg);
	cfg->admission.refuse_early = false;
	cfg->admission.queue_wait_ms = cfg->deadline_ms;
}

void
bench_long_queue_oldest_first(struct world_config *cfg)
{
	bench_long_queue(cfg);
	bench_oldest_first(cfg);
}

void
bench_long_queue_fifo_no_early_refusal(struct world_config *cfg)
{
	bench_long_queue_no_early_refusal(cfg);
	bench_oldest_first(cfg);
}

void
bench_no_budget(struct world_config *cfg)
{
	cfg->retry.budget_percent = 10000;
	cfg->retry.burst = 1000000;
	cfg->retry.attempts = 4;
}

void
bench_no_retry(struct world_config *cfg)
{
	cfg->retry.attempts = 1;
}

void
bench_no_backoff(struct world_config *cfg)
{
	cfg->retry.backoff_ms = 0;
}

void
bench_no_local_preference(struct world_config *cfg)
{
	cfg->placement.local_first = false;
}

void
bench_saturated_at_70(struct world_config *cfg)
{
	cfg->placement.saturation_percent = 70;
}

void
bench_saturated_at_150(struct world_config *cfg)
{
	cfg->placement.saturation_percent = 150;
}

void
bench_half_life_100(struct world_config *cfg)
{
	cfg->endpoints.load_half_life_ms = 100;
}

void
bench_half_life_3000(struct world_config *cfg)
{
	cfg->endpoints.load_half_life_ms = 3000;
}

void
bench_no_booking_share(struct world_config *cfg)
{
	cfg->admission.booking_percent = 0;
}

void
bench_overstated_slots(struct world_config *cfg)
{
	cfg->announced_slots = 4 * cfg->slots;
	cfg->admission.slots = 4 * cfg->slots;
	cfg->connections = cfg->slots + 2;
}

void
bench_overstated_slots_not_adapted(struct world_config *cfg)
{
	bench_overstated_slots(cfg);
	cfg->admission.adapt_slots = false;
}
