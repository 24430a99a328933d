/*
 * Compares the version in force with the newest known version.
 */
#include "traffic/behind.h"

#include <glib.h>

#include "base/clock.h"

void
behind_init(struct behind *b)
{
	b->in_force = 0;
	b->known = 0;
	b->since_ms = 0;
}

static bool
is_behind(const struct behind *b)
{
	return b->known > b->in_force;
}

void
behind_in_force(struct behind *b, uint64_t version, uint64_t now_ms)
{
	if (version == b->in_force)
		return;
	b->in_force = version;
	b->since_ms = now_ms;
}

/*
 * An even newer version doesn't reset the time: the awaited versions come into
 * force no sooner because of it.
 */
void
behind_known(struct behind *b, uint64_t version, uint64_t now_ms)
{
	bool was = is_behind(b);

	b->known = version;
	if (!was)
		b->since_ms = now_ms;
}

uint64_t
behind_age_ms(const struct behind *b, uint64_t now_ms)
{
	return is_behind(b) ? clock_left_ms(now_ms, b->since_ms) : 0;
}

/*
 * A caller retries twice: after half of its remaining time, and after half of
 * the rest.
 */
static uint64_t
cap_to_deadline(uint64_t retry_ms, uint64_t now_ms, uint64_t deadline_ms)
{
	uint64_t half_ms = clock_left_ms(deadline_ms, now_ms) / 2;

	if (half_ms < BEHIND_RETRY_MIN_MS)
		return retry_ms;
	return MIN(retry_ms, half_ms);
}

uint64_t
behind_retry_ms(const struct behind *b, uint64_t version, uint64_t now_ms,
    uint64_t deadline_ms)
{
	uint64_t retry_ms = behind_age_ms(b, now_ms);

	if (version >= MAX(b->known, b->in_force))
		return 0;
	if (!is_behind(b))
		return BEHIND_RETRY_NOW_MS;
	retry_ms = CLAMP(retry_ms, BEHIND_RETRY_MIN_MS, BEHIND_RETRY_MAX_MS);
	return cap_to_deadline(retry_ms, now_ms, deadline_ms);
}
