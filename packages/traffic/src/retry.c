/*
 * Retry budget: each success pays in a share of a retry, each retry costs a
 * whole one.
 */
#include "traffic/retry.h"

#include <glib.h>

#define PERCENT 100
#define MS_PER_S 1000
#define BACKOFF_DOUBLINGS_MAX 16

void
retry_config_default(struct retry_config *cfg)
{
	cfg->attempts = 2;
	cfg->budget_percent = 10;
	cfg->reserve_per_s = 1;
	cfg->burst = 10;
	cfg->backoff_ms = 4;
	cfg->backoff_cap_ms = 32;
}

void
retry_budget_init(
    struct retry_budget *b, const struct retry_config *cfg, uint64_t now_ms)
{
	b->cfg = *cfg;
	b->tokens_percent = (uint64_t)cfg->burst * PERCENT;
	b->refilled_ms = now_ms;
}

static void
cap(struct retry_budget *b)
{
	b->tokens_percent =
	    MIN(b->tokens_percent, (uint64_t)b->cfg.burst * PERCENT);
}

void
retry_budget_configure(struct retry_budget *b, const struct retry_config *cfg)
{
	b->cfg = *cfg;
	cap(b);
}

void
retry_budget_success(struct retry_budget *b)
{
	b->tokens_percent += b->cfg.budget_percent;
	cap(b);
}

/* Whole tokens only, so that no part of a millisecond's refill is lost. */
static void
refill(struct retry_budget *b, uint64_t now_ms)
{
	uint64_t per_s, gained;

	per_s = (uint64_t)b->cfg.reserve_per_s * PERCENT;
	if (per_s == 0 || now_ms <= b->refilled_ms)
		return;
	gained = (now_ms - b->refilled_ms) * per_s / MS_PER_S;
	if (gained == 0)
		return;
	b->refilled_ms += gained * MS_PER_S / per_s;
	b->tokens_percent += gained;
	cap(b);
}

bool
retry_budget_take(struct retry_budget *b, uint64_t now_ms)
{
	refill(b, now_ms);
	if (b->tokens_percent < PERCENT)
		return false;
	b->tokens_percent -= PERCENT;
	return true;
}

uint64_t
retry_backoff_ms(
    const struct retry_config *cfg, uint32_t retry, uint64_t random)
{
	uint64_t longest;

	if (retry == 0 || cfg->backoff_ms == 0)
		return 0;
	longest = (uint64_t)cfg->backoff_ms
	    << MIN(retry - 1, BACKOFF_DOUBLINGS_MAX);
	longest = MIN(longest, cfg->backoff_cap_ms);
	return random % (longest + 1);
}
