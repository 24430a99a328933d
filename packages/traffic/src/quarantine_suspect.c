/*
 * Suspects: requests that were in flight at an upstream when it crashed,
 * before the crash is attributed to one of them.
 */
#include "base/clock.h"

#include "quarantine_defs.h"

/*
 * How long a request stays suspect after a crash: its caller has retried by
 * then, or has given up.
 */
#define SUSPECT_MS 10000
/*
 * Number of crashes within QUARANTINE_COINCIDENCE_MS above which they have an
 * external cause.
 */
#define BURST_CRASHES 32

/**
 * struct crash_counts - recent crashes from the view of one request
 * @with: crashes in which the request was in flight, without a later
 *	exoneration
 * @without: other crashes within QUARANTINE_COINCIDENCE_MS
 */
struct crash_counts {
	uint32_t with;
	uint32_t without;
};

static struct crash_counts
count_crashes(
    const struct quarantine *q, const struct fingerprint *f, uint64_t now_ms)
{
	uint64_t exonerated_ms = quarantine_exonerated_ms(q, f);
	struct crash_counts counts = {0, 0};
	const struct crash *c;
	guint i;

	for (i = 0; i < q->crashes->len; i++) {
		c = quarantine_crash_at(q, i);
		if (c->at_ms + SUSPECT_MS < now_ms)
			continue;
		if (c->at_ms > exonerated_ms && quarantine_ran_in(c, f))
			counts.with++;
		else if (c->at_ms + QUARANTINE_COINCIDENCE_MS >= now_ms)
			counts.without++;
	}
	return counts;
}

static bool
is_undecided(const struct quarantine *q, const struct crash_counts *counts)
{
	return q->decide_ms != DEADLINE_NEVER &&
	    counts->with >= QUARANTINE_CRASHES &&
	    counts->without <= counts->with * QUARANTINE_COINCIDENCE_RATIO &&
	    counts->with + counts->without <= BURST_CRASHES;
}

enum suspicion
quarantine_suspicion(
    struct quarantine *q, const struct fingerprint *f, uint64_t now_ms)
{
	struct crash_counts counts;

	if (!quarantine_has_suspects(q, now_ms) ||
	    quarantine_crash_count(q, f->content) == 0 ||
	    clean_runs_has(&q->recent_successes, f, now_ms))
		return SUSPICION_NONE;
	counts = count_crashes(q, f, now_ms);
	if (is_undecided(q, &counts))
		return SUSPICION_UNDECIDED;
	if (counts.with > 0 || quarantine_find_suspended(q, f) != NULL)
		return SUSPICION_SUSPECT;
	return SUSPICION_NONE;
}

bool
quarantine_has_suspects(const struct quarantine *q, uint64_t now_ms)
{
	return now_ms < q->suspects_expire_ms || q->suspended->len > 0;
}

void
quarantine_extend_suspicion(struct quarantine *q, const struct crash *c)
{
	q->suspects_expire_ms =
	    MAX(q->suspects_expire_ms, c->at_ms + SUSPECT_MS);
}
