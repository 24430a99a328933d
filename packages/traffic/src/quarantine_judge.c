/*
 * Attribution of crashes to requests.
 */
#include "base/clock.h"
#include "base/hash.h"

#include "quarantine_defs.h"

bool
quarantine_ran_in(const struct crash *c, const struct fingerprint *f)
{
	uint32_t i;

	for (i = 0; i < c->n_runs; i++)
		if (quarantine_covers(f, &c->runs[i]))
			return true;
	return false;
}

/*
 * Whether a quarantined request with other content was in flight in the crash
 * and explains it.  The same content of another caller implicates @f instead.
 */
static bool
is_attributed(const struct quarantine *q, const struct crash *c,
    const struct fingerprint *f)
{
	uint32_t i;

	for (i = 0; i < c->n_runs; i++)
		if (c->runs[i].content != f->content &&
		    quarantine_find(q, &c->runs[i]) != NULL)
			return true;
	return false;
}

/* Whether many upstreams crashed about that time without @f. */
static bool
is_coincidence(const struct quarantine *q, const struct crash *c,
    const struct fingerprint *f)
{
	uint32_t with = 0, without = 0;
	const struct crash *other;
	guint i;

	for (i = 0; i < q->crashes->len; i++) {
		other = quarantine_crash_at(q, i);
		if (other->at_ms + QUARANTINE_COINCIDENCE_MS < c->at_ms ||
		    other->at_ms > c->at_ms + QUARANTINE_COINCIDENCE_MS)
			continue;
		if (quarantine_ran_in(other, f))
			with++;
		else if (!is_attributed(q, other, f))
			without++;
	}
	return without > with * QUARANTINE_COINCIDENCE_RATIO;
}

/* Whether a crash implicates @f. */
static bool
implicates(const struct quarantine *q, const struct crash *c,
    const struct fingerprint *f)
{
	return quarantine_ran_in(c, f) &&
	    c->at_ms > quarantine_exonerated_ms(q, f) &&
	    !is_attributed(q, c, f) && !is_coincidence(q, c, f);
}

/* Whether @f was in flight in the crash and has not been answered since. */
static bool
is_unexonerated(const struct quarantine *q, const struct crash *c,
    const struct fingerprint *f)
{
	return quarantine_ran_in(c, f) &&
	    c->at_ms > quarantine_exonerated_ms(q, f);
}

/* Whether another request may have caused all the crashes that implicate @f. */
static bool
has_cosuspect(const struct quarantine *q, const struct fingerprint *f)
{
	const struct crash *first = NULL, *c;
	bool in_all;
	uint32_t r;
	guint i;

	for (i = 0; i < q->crashes->len && first == NULL; i++)
		if (implicates(q, quarantine_crash_at(q, i), f))
			first = quarantine_crash_at(q, i);
	for (r = 0; first != NULL && r < first->n_runs; r++) {
		if (first->runs[r].content == f->content)
			continue;
		in_all = true;
		for (i = 0; i < q->crashes->len && in_all; i++) {
			c = quarantine_crash_at(q, i);
			in_all = !implicates(q, c, f) ||
			    is_unexonerated(q, c, &first->runs[r]);
		}
		if (in_all)
			return true;
	}
	return false;
}

/* The last crash that implicates @f, or NULL. */
static const struct crash *
last_crash_of(const struct quarantine *q, const struct fingerprint *f)
{
	const struct crash *c, *last = NULL;
	guint i;

	for (i = 0; i < q->crashes->len; i++) {
		c = quarantine_crash_at(q, i);
		if (implicates(q, c, f) &&
		    (last == NULL || c->at_ms > last->at_ms))
			last = c;
	}
	return last;
}

static uint32_t
crashes_of(const struct quarantine *q, const struct fingerprint *f)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < q->crashes->len; i++)
		n += implicates(q, quarantine_crash_at(q, i), f);
	return n;
}

/* Number of callers of a content that at least @least crashes implicate. */
static uint32_t
callers_of(const struct quarantine *q, uint64_t content, uint32_t least)
{
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	const struct crash *c;
	uint32_t n = 0, r;
	guint i;

	for (i = 0; i < q->crashes->len; i++) {
		c = quarantine_crash_at(q, i);
		for (r = 0; r < c->n_runs; r++)
			if (c->runs[r].content == content &&
			    g_hash_table_add(
				seen, (gpointer)(uintptr_t)&c->runs[r].caller))
				n += crashes_of(q, &c->runs[r]) >= least;
	}
	g_hash_table_destroy(seen);
	return n;
}

/*
 * Whether the content crashed upstreams for three callers, or twice for each
 * of two callers.
 */
static bool
affects_all_callers(const struct quarantine *q, const struct fingerprint *f)
{
	return callers_of(q, f->content, 1) >= QUARANTINE_CRASHES ||
	    callers_of(q, f->content, 2) >= 2;
}

/*
 * Whether @f is suspended, or no crash has implicated it since its suspension.
 */
static bool
is_suspended(const struct quarantine *q, const struct fingerprint *f,
    const struct crash *last)
{
	const struct quarantine_entry *e = quarantine_find_suspended(q, f);

	return e != NULL && last->at_ms <= e->until_ms;
}

static void
judge_request(const struct quarantine *q, const struct fingerprint *f,
    uint64_t now_ms, GArray *suspects)
{
	struct quarantine_entry e = {.print = *f,
	    .since_ms = now_ms,
	    .crashes = crashes_of(q, f),
	    .until_ms = DEADLINE_NEVER};
	const struct crash *last;

	if (quarantine_find(q, f) != NULL || e.crashes < QUARANTINE_CRASHES ||
	    (f->caller == 0 && !affects_all_callers(q, f)))
		return;
	last = last_crash_of(q, f);
	if (has_cosuspect(q, f)) {
		if (is_suspended(q, f, last))
			return;
		e.until_ms = now_ms + QUARANTINE_SUSPEND_MS +
		    hash64(f, sizeof(*f), q->seed) % QUARANTINE_SUSPEND_MS;
	}
	e.last_crash = last->id;
	e.own = last->own;
	g_array_append_val(suspects, e);
}

static bool
is_among(const GArray *prints, const struct fingerprint *f)
{
	guint i;

	for (i = 0; i < prints->len; i++)
		if (fingerprint_equal(
			&g_array_index(prints, struct fingerprint, i), f))
			return true;
	return false;
}

/*
 * The requests whose content was in flight in enough crashes, each once, and
 * their contents for all callers.
 */
static GArray *
candidates(const struct quarantine *q)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct fingerprint));
	struct fingerprint all = {0, 0};
	const struct fingerprint *f;
	const struct crash *c;
	uint32_t r;
	guint i;

	for (i = 0; i < q->crashes->len; i++) {
		c = quarantine_crash_at(q, i);
		for (r = 0; r < c->n_runs; r++) {
			f = &c->runs[r];
			if (quarantine_crash_count(q, f->content) <
				QUARANTINE_CRASHES ||
			    is_among(out, f))
				continue;
			all.content = f->content;
			if (!is_among(out, &all))
				g_array_append_val(out, all);
			g_array_append_val(out, *f);
		}
	}
	return out;
}

GArray *
quarantine_judge(const struct quarantine *q, uint64_t now_ms)
{
	GArray *suspects =
	    g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	GArray *prints = candidates(q);
	guint i;

	for (i = 0; i < prints->len; i++)
		judge_request(q, &g_array_index(prints, struct fingerprint, i),
		    now_ms, suspects);
	g_array_unref(prints);
	return suspects;
}
