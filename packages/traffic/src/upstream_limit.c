/*
 * Token bucket of the limit that an upstream names.
 */
#include "traffic/upstream_limit.h"

#include <string.h>

#include <glib.h>

#include "base/decimal.h"

#define TOKEN 1000000
/* Tokens are saved for this time, but at least TOKENS_MIN of them. */
#define BURST_MS 250
#define TOKENS_MIN 2
#define LIMIT_MIN_MILLI 200
#define LIMIT_MAX_MILLI UINT64_C(1000000000)

void
upstream_limit_init(struct upstream_limit *l)
{
	memset(l, 0, sizeof(*l));
}

bool
upstream_limit_parse(const char *text, uint64_t *milli_per_s)
{
	uint64_t milli;

	if (!decimal_parse_milli(text, LIMIT_MAX_MILLI, &milli))
		return false;
	*milli_per_s = MAX(milli, LIMIT_MIN_MILLI);
	return true;
}

static uint64_t
capacity(const struct upstream_limit *l)
{
	return MAX(l->milli_per_s * BURST_MS, (uint64_t)TOKENS_MIN * TOKEN);
}

/* At one thousandth of a request a second, a millisecond gains one millionth of
 * a token. */
static uint64_t
tokens_at(const struct upstream_limit *l, uint64_t now_ms)
{
	uint64_t gone_ms = now_ms - MIN(l->refilled_ms, now_ms);

	if (gone_ms >= capacity(l) / l->milli_per_s)
		return capacity(l);
	return MIN(l->micro_tokens + gone_ms * l->milli_per_s, capacity(l));
}

static void
refill(struct upstream_limit *l, uint64_t now_ms)
{
	l->micro_tokens = tokens_at(l, now_ms);
	l->refilled_ms = MAX(l->refilled_ms, now_ms);
}

enum limit_change
upstream_limit_name(
    struct upstream_limit *l, uint64_t milli_per_s, uint64_t now_ms)
{
	bool began = l->milli_per_s == UPSTREAM_LIMIT_NONE;

	milli_per_s = CLAMP(milli_per_s, LIMIT_MIN_MILLI, LIMIT_MAX_MILLI);
	l->named_ms = now_ms;
	if (l->milli_per_s == milli_per_s)
		return LIMIT_UNCHANGED;
	if (began) {
		l->since_ms = now_ms;
		l->refilled_ms = now_ms;
		l->micro_tokens = 0;
	} else {
		refill(l, now_ms);
	}
	l->milli_per_s = milli_per_s;
	l->micro_tokens = MIN(l->micro_tokens, capacity(l));
	return began ? LIMIT_BEGAN : LIMIT_CHANGED;
}

enum limit_change
upstream_limit_omit(struct upstream_limit *l, uint64_t started_ms)
{
	if (l->milli_per_s == UPSTREAM_LIMIT_NONE || started_ms <= l->named_ms)
		return LIMIT_UNCHANGED;
	upstream_limit_init(l);
	return LIMIT_ENDED;
}

void
upstream_limit_take(struct upstream_limit *l, uint64_t now_ms)
{
	if (l->milli_per_s == UPSTREAM_LIMIT_NONE)
		return;
	refill(l, now_ms);
	l->micro_tokens -= MIN(l->micro_tokens, TOKEN);
}

uint64_t
upstream_limit_wait_ms(
    const struct upstream_limit *l, uint64_t ahead, uint64_t now_ms)
{
	uint64_t needed, tokens;

	if (l->milli_per_s == UPSTREAM_LIMIT_NONE)
		return 0;
	needed = (ahead + 1) * TOKEN;
	tokens = tokens_at(l, now_ms);
	if (tokens >= needed)
		return 0;
	return (needed - tokens + l->milli_per_s - 1) / l->milli_per_s;
}
