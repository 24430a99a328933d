/*
 * Token bucket of the limit that an upstream names.
 */
#include "traffic/upstream_limit.h"

#include <string.h>

#include <glib.h>

#define MILLI 1000
#define TOKEN 1000000
/* Tokens are saved for this time, but at least TOKENS_MIN of them. */
#define BURST_MS 250
#define TOKENS_MIN 2
/* Longest number that is parsed. */
#define NUMBER_BYTES_MAX 32
#define LIMIT_MIN_MILLI 200
#define LIMIT_MAX_MILLI UINT64_C(1000000000)

void
upstream_limit_init(struct upstream_limit *l)
{
	memset(l, 0, sizeof(*l));
}

/* Whether @text consists of digits with one decimal point at most. */
static bool
is_decimal(const char *text, size_t len)
{
	uint32_t digits = 0, points = 0;
	size_t i;

	if (len > NUMBER_BYTES_MAX)
		return false;
	for (i = 0; i < len; i++) {
		digits += g_ascii_isdigit(text[i]);
		points += text[i] == '.';
	}
	return digits > 0 && points <= 1 && digits + points == len;
}

bool
upstream_limit_parse(const char *text, uint64_t *milli_per_s)
{
	double per_s;
	size_t len;

	while (g_ascii_isspace(*text))
		text++;
	len = strlen(text);
	while (len > 0 && g_ascii_isspace(text[len - 1]))
		len--;
	if (!is_decimal(text, len))
		return false;
	per_s = g_ascii_strtod(text, NULL);
	per_s = MIN(per_s, (double)LIMIT_MAX_MILLI / MILLI);
	*milli_per_s = MAX((uint64_t)(per_s * MILLI + 0.5), LIMIT_MIN_MILLI);
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
