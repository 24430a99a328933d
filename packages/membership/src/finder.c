/*
 * Schedule of the reads and writes of the platform's directory.
 */
#include "membership/finder.h"

#include "base/clock.h"

/*
 * Full-jitter back-off after failures.  The base is about the time that the
 * platform takes to answer.  The cap is meant to leave room for other reads
 * when 22,000 nodes call a store of 2,000 reads/s.
 */
#define BACKOFF_BASE_MS 200
#define BACKOFF_CAP_MS 5000
#define BACKOFF_SHIFT_MAX 5

/* Longest interval between two lookups of a node without peers. */
#define ALONE_INTERVAL_MS 1000

/* Interval at which a node with peers checks whether a call is due. */
#define CHECK_INTERVAL_MS 1000

/* Hosts count as lost at once when fewer than this share are left. */
#define LOST_PERCENT 50
#define PERCENT 100

/*
 * Hosts of a fleet that starts for the first time find few entries.  One in
 * FEW_REGISTER_ONE_IN of them registers at once.  The others repeat the lookup
 * within FEW_RETRY_MS, by when most find enough entries and need not register.
 * A node registers after FEW_LOOKUPS such lookups.
 */
#define FEW_REGISTER_ONE_IN 4
#define FEW_RETRY_MS 600
#define FEW_LOOKUPS 2

/*
 * Delay before a new holder registers in a place.  A restarted host is back
 * sooner, and is found at its old address.
 */
#define HOLDER_DELAY_MS 10000

void
finder_init(struct finder *f, uint64_t seed, uint64_t now_ms)
{
	f->rand = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	f->looked_up = 0;
	f->few_lookups = 0;
	f->registered = 0;
	f->restored = 0;
	f->busy = 0;
	f->failures = 0;
	f->due_ms = now_ms;
	f->peak_live = 0;
	f->register_ms = DEADLINE_NEVER;
}

void
finder_clear(struct finder *f)
{
	if (f->rand != NULL)
		g_rand_free(f->rand);
	f->rand = NULL;
}

static uint64_t
random_ms(struct finder *f, uint64_t most_ms)
{
	return (uint64_t)g_rand_int_range(f->rand, 0, (gint32)most_ms + 1);
}

static int
needs_peers(struct finder *f, const struct finder_view *view)
{
	if (!view->joined)
		return 1;
	f->peak_live = MAX(f->peak_live, view->live);
	return view->live <= 1 ||
	    view->live * PERCENT < f->peak_live * LOST_PERCENT;
}

/*
 * Whether this node has held its place for HOLDER_DELAY_MS and is not
 * registered.
 */
static int
must_register(struct finder *f, const struct finder_view *view, uint64_t now_ms)
{
	if (!view->holds_place) {
		f->registered = 0;
		f->register_ms = DEADLINE_NEVER;
		return 0;
	}
	if (f->register_ms == DEADLINE_NEVER)
		f->register_ms = now_ms + HOLDER_DELAY_MS;
	return !f->registered && now_ms >= f->register_ms;
}

void
finder_restored(struct finder *f, uint64_t now_ms)
{
	f->registered = 0;
	f->restored = f->busy;
	f->due_ms = MIN(f->due_ms, now_ms + random_ms(f, CHECK_INTERVAL_MS));
}

static int
must_retry(const struct finder *f)
{
	return f->few_lookups > 0 && f->few_lookups < FEW_LOOKUPS;
}

static enum finder_action
choose(struct finder *f, const struct finder_view *view, uint64_t now_ms)
{
	if (!f->looked_up)
		return FINDER_LOOK_UP;
	if (needs_peers(f, view))
		return f->registered || must_retry(f) ? FINDER_LOOK_UP
						      : FINDER_REGISTER;
	if (must_register(f, view, now_ms))
		return FINDER_REGISTER;
	return FINDER_NONE;
}

enum finder_action
finder_next(struct finder *f, const struct finder_view *view, uint64_t now_ms)
{
	enum finder_action a;

	if (f->busy || now_ms < f->due_ms)
		return FINDER_NONE;
	a = choose(f, view, now_ms);
	f->busy = a != FINDER_NONE;
	if (a == FINDER_NONE)
		f->due_ms = now_ms + CHECK_INTERVAL_MS;
	return a;
}

void
finder_failed(struct finder *f, uint64_t now_ms)
{
	uint64_t most = (uint64_t)BACKOFF_BASE_MS
	    << MIN(f->failures, BACKOFF_SHIFT_MAX);

	f->busy = 0;
	f->restored = 0;
	f->failures++;
	f->due_ms = now_ms + random_ms(f, MIN(most, BACKOFF_CAP_MS));
}

void
finder_registered(struct finder *f, uint64_t now_ms)
{
	f->busy = 0;
	f->failures = 0;
	f->registered = !f->restored;
	f->restored = 0;
	f->due_ms = now_ms + ALONE_INTERVAL_MS / 2 +
	    random_ms(f, ALONE_INTERVAL_MS / 2);
}

void
finder_looked_up(
    struct finder *f, uint32_t others, int own_found, uint64_t now_ms)
{
	f->busy = 0;
	f->failures = 0;
	f->restored = 0;
	f->looked_up = 1;
	f->registered |= own_found;
	f->peak_live = 0;
	f->few_lookups = others < FINDER_MIN_OTHERS ? f->few_lookups + 1 : 0;
	if (f->few_lookups > 0 && random_ms(f, FEW_REGISTER_ONE_IN - 1) == 0)
		f->few_lookups = FEW_LOOKUPS;
	f->due_ms = now_ms;
	if (must_retry(f))
		f->due_ms += random_ms(f, FEW_RETRY_MS);
	else if (f->few_lookups == 0 || f->registered)
		f->due_ms +=
		    ALONE_INTERVAL_MS / 2 + random_ms(f, ALONE_INTERVAL_MS / 2);
}

uint64_t
finder_due_ms(const struct finder *f)
{
	return f->busy ? DEADLINE_NEVER : f->due_ms;
}
