/*
 * When the directory at the platform is written and read.
 */
#include "membership/finder.h"

#include "base/clock.h"

/* Full-jitter back-off after failures: at first about the time that the
 * platform needs for an answer, at last what 22,000 nodes may ask together of
 * 2,000 reads a second with room for others. */
#define BACKOFF_BASE_MS 200
#define BACKOFF_CAP_MS 5000
#define BACKOFF_SHIFT_MAX 5

/* A node that is alone looks again within this. */
#define ALONE_MS 1000

/* A node with peers looks whether it should, without a call. */
#define CHECK_MS 1000

/* Hosts are taken for lost together when less than this share is left. */
#define LOST_PERCENT 50
#define PERCENT 100

void
finder_init(struct finder *f, uint64_t seed, uint64_t now_ms)
{
	f->rand = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	f->entered = 0;
	f->busy = 0;
	f->failures = 0;
	f->due_ms = now_ms;
	f->most_live = 0;
}

void
finder_clear(struct finder *f)
{
	if (f->rand != NULL)
		g_rand_free(f->rand);
	f->rand = NULL;
}

static uint64_t
within(struct finder *f, uint64_t most_ms)
{
	return (uint64_t)g_rand_int_range(f->rand, 0, (gint32)most_ms + 1);
}

static int
wants_peers(struct finder *f, int joined, uint32_t live)
{
	if (!joined)
		return 1;
	f->most_live = MAX(f->most_live, live);
	return live <= 1 || live * PERCENT < f->most_live * LOST_PERCENT;
}

enum finder_action
finder_next(struct finder *f, int joined, uint32_t live, uint64_t now_ms)
{
	if (f->busy || now_ms < f->due_ms)
		return FINDER_NONE;
	if (!f->entered) {
		f->busy = 1;
		return FINDER_ENTER;
	}
	if (wants_peers(f, joined, live)) {
		f->busy = 1;
		return FINDER_SAMPLE;
	}
	f->due_ms = now_ms + CHECK_MS;
	return FINDER_NONE;
}

static uint64_t
backoff_ms(struct finder *f)
{
	uint64_t most = (uint64_t)BACKOFF_BASE_MS
	    << MIN(f->failures, BACKOFF_SHIFT_MAX);

	f->failures++;
	return within(f, MIN(most, BACKOFF_CAP_MS));
}

void
finder_done(
    struct finder *f, enum finder_action action, int ok, uint64_t now_ms)
{
	f->busy = 0;
	if (!ok) {
		f->due_ms = now_ms + backoff_ms(f);
		return;
	}
	f->failures = 0;
	if (action == FINDER_ENTER) {
		f->entered = 1;
		f->due_ms = now_ms;
		return;
	}
	f->most_live = 0;
	f->due_ms = now_ms + ALONE_MS / 2 + within(f, ALONE_MS / 2);
}

uint64_t
finder_due_ms(const struct finder *f)
{
	return f->busy ? DEADLINE_NEVER : f->due_ms;
}
