/*
 * Requests that are no longer run: what is known of crashes, who was cleared,
 * and what all nodes are to be told.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#include "quarantine_defs.h"

/* Most answers that wait to be told of: more crashes at a time have a cause of
 * their own. */
#define VOUCHERS_MAX 256

struct quarantine *
quarantine_new(uint64_t seed, uint64_t now_ms)
{
	struct quarantine *q = g_new0(struct quarantine, 1);

	q->crashes = g_ptr_array_new_with_free_func(g_free);
	q->held = g_array_new(FALSE, TRUE, sizeof(struct quarantine_entry));
	q->doubted = g_array_new(FALSE, TRUE, sizeof(struct quarantine_entry));
	q->cleared = g_array_new(FALSE, TRUE, sizeof(struct clearance));
	q->vouchers = g_array_new(FALSE, TRUE, sizeof(struct voucher));
	g_queue_init(&q->events);
	clean_runs_init(&q->clean, now_ms);
	q->seed = seed;
	q->contents =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	q->settled_ms = DEADLINE_NEVER;
	return q;
}

void
quarantine_free(struct quarantine *q)
{
	if (q == NULL)
		return;
	g_ptr_array_unref(q->crashes);
	g_array_unref(q->held);
	g_array_unref(q->doubted);
	g_array_unref(q->cleared);
	g_array_unref(q->vouchers);
	g_queue_clear_full(&q->events, g_free);
	clean_runs_clear(&q->clean);
	g_hash_table_destroy(q->contents);
	g_free(q);
}

bool
quarantine_covers(
    const struct fingerprint *pattern, const struct fingerprint *f)
{
	return pattern->content == f->content &&
	    (pattern->caller == 0 || pattern->caller == f->caller);
}

static void
tell(struct quarantine *q, const struct quarantine_event *e)
{
	g_queue_push_tail(&q->events, g_memdup2(e, sizeof(*e)));
}

/* What is held off */

static struct quarantine_entry *
held_at(const struct quarantine *q, guint i)
{
	return &g_array_index(q->held, struct quarantine_entry, i);
}

struct quarantine_entry *
quarantine_held(const struct quarantine *q, const struct fingerprint *f)
{
	guint i;

	for (i = 0; i < q->held->len; i++)
		if (quarantine_covers(&held_at(q, i)->print, f))
			return held_at(q, i);
	return NULL;
}

static void
add_bounded(GArray *list, const struct quarantine_entry *e)
{
	if (list->len == QUARANTINE_HELD_MAX)
		g_array_remove_index(list, 0);
	g_array_append_val(list, *e);
}

static struct quarantine_entry *
doubt_at(const struct quarantine *q, guint i)
{
	return &g_array_index(q->doubted, struct quarantine_entry, i);
}

struct quarantine_entry *
quarantine_doubted(const struct quarantine *q, const struct fingerprint *f)
{
	guint i;

	for (i = 0; i < q->doubted->len; i++)
		if (quarantine_covers(&doubt_at(q, i)->print, f))
			return doubt_at(q, i);
	return NULL;
}

/* Those that are over stay, so that they are not put off again for the same. */
static struct quarantine_entry *
put_off(const struct quarantine *q, const struct fingerprint *f)
{
	struct quarantine_entry *e = quarantine_doubted(q, f);

	return e != NULL && !e->over ? e : NULL;
}

const struct quarantine_entry *
quarantine_check(struct quarantine *q, const struct fingerprint *f)
{
	struct quarantine_entry *e = quarantine_held(q, f);

	if (e == NULL)
		e = put_off(q, f);
	if (e != NULL)
		e->asked++;
	return e;
}

uint64_t
quarantine_retry_after_ms(const struct quarantine_entry *e, uint64_t now_ms)
{
	if (e->until_ms == DEADLINE_NEVER)
		return QUARANTINE_RETRY_AFTER_MS;
	return clock_left_ms(e->until_ms, now_ms);
}

void
quarantine_list(const struct quarantine *q, GArray *out)
{
	if (q->held->len > 0)
		g_array_append_vals(out, q->held->data, q->held->len);
}

bool
quarantine_is_empty(const struct quarantine *q)
{
	return q->held->len == 0 && q->doubted->len == 0;
}

/* Clearances */

static struct clearance *
clearance_at(const struct quarantine *q, guint i)
{
	return &g_array_index(q->cleared, struct clearance, i);
}

/* For all callers any one's answer speaks, since then it isn't the content
 * alone. */
uint64_t
quarantine_cleared_ms(const struct quarantine *q, const struct fingerprint *f)
{
	const struct clearance *c;
	uint64_t at_ms = 0;
	guint i;

	for (i = 0; i < q->cleared->len; i++) {
		c = clearance_at(q, i);
		if (quarantine_covers(&c->print, f) ||
		    quarantine_covers(f, &c->print))
			at_ms = MAX(at_ms, c->at_ms);
	}
	return at_ms;
}

static void
clearance_note(
    struct quarantine *q, const struct fingerprint *f, uint64_t at_ms)
{
	struct clearance *c, made = {*f, at_ms};
	guint i;

	for (i = 0; i < q->cleared->len; i++) {
		c = clearance_at(q, i);
		if (fingerprint_equal(&c->print, f)) {
			c->at_ms = MAX(c->at_ms, at_ms);
			return;
		}
	}
	if (q->cleared->len == QUARANTINE_CLEARED_MAX)
		g_array_remove_index(q->cleared, 0);
	g_array_append_val(q->cleared, made);
}

bool
quarantine_clear(
    struct quarantine *q, const struct fingerprint *f, uint64_t at_ms)
{
	const struct quarantine_entry *e;
	bool ended = false;
	guint i;

	clearance_note(q, f, at_ms);
	for (i = q->held->len; i > 0; i--) {
		e = held_at(q, i - 1);
		if (e->since_ms > at_ms ||
		    !(quarantine_covers(f, &e->print) ||
			quarantine_covers(&e->print, f)))
			continue;
		g_array_remove_index(q->held, i - 1);
		ended = true;
	}
	for (i = q->doubted->len; i > 0; i--)
		if (quarantine_covers(f, &doubt_at(q, i - 1)->print) ||
		    quarantine_covers(&doubt_at(q, i - 1)->print, f))
			g_array_remove_index(q->doubted, i - 1);
	/* What it explained, covered or was a rival of is judged again. */
	if (quarantine_seen(q, f->content) > 0)
		q->settled_ms = MIN(q->settled_ms, at_ms);
	return ended;
}

bool
quarantine_hold(
    struct quarantine *q, const struct fingerprint *f, uint64_t since_ms)
{
	struct quarantine_entry e = {
	    .print = *f, .since_ms = since_ms, .until_ms = DEADLINE_NEVER};

	if (quarantine_held(q, f) != NULL ||
	    quarantine_cleared_ms(q, f) >= since_ms)
		return false;
	add_bounded(q->held, &e);
	return true;
}

/* Crashes */

const struct crash *
quarantine_crash_at(const struct quarantine *q, guint i)
{
	return g_ptr_array_index(q->crashes, i);
}

uint32_t
quarantine_seen(const struct quarantine *q, uint64_t content)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(q->contents, &content));
}

static void
doubt(struct quarantine *q, const struct quarantine_entry *e)
{
	struct quarantine_entry *known = quarantine_doubted(q, &e->print);

	if (known != NULL)
		*known = *e;
	else
		add_bounded(q->doubted, e);
}

static bool
is_sure(const struct quarantine_entry *e)
{
	return e->until_ms == DEADLINE_NEVER;
}

/* Holds off what is sure, or puts off what isn't, of what the judgement says.
 */
static void
act_on(struct quarantine *q, uint64_t now_ms, bool sure)
{
	GArray *guilty = quarantine_judge(q, now_ms);
	struct quarantine_event event = {.tell = sure ? TELL_HELD : TELL_DOUBT};
	guint i;

	for (i = 0; i < guilty->len; i++) {
		event.entry = g_array_index(guilty, struct quarantine_entry, i);
		if (is_sure(&event.entry) != sure ||
		    quarantine_held(q, &event.entry.print) != NULL)
			continue;
		if (sure)
			add_bounded(q->held, &event.entry);
		else
			doubt(q, &event.entry);
		tell(q, &event);
	}
	g_array_unref(guilty);
}

/* What is sure may explain the crashes of what would be in doubt. */
static void
decide(struct quarantine *q, uint64_t now_ms)
{
	act_on(q, now_ms, true);
	act_on(q, now_ms, false);
}

static void
end_doubts(struct quarantine *q, uint64_t now_ms)
{
	guint i;

	for (i = 0; i < q->doubted->len; i++)
		if (now_ms >= doubt_at(q, i)->until_ms)
			doubt_at(q, i)->over = true;
}

/* The oldest crash whose requests ran in no other one, else the oldest. */
static guint
least_telling(const struct quarantine *q)
{
	const struct crash *c;
	bool recurs = true;
	uint32_t r;
	guint i;

	for (i = 0; i < q->crashes->len && recurs; i++) {
		c = quarantine_crash_at(q, i);
		recurs = false;
		for (r = 0; r < c->n_runs && !recurs; r++)
			recurs = quarantine_seen(q, c->runs[r].content) > 1;
	}
	return recurs ? 0 : i - 1;
}

static bool
is_known(const struct quarantine *q, uint64_t id)
{
	guint i;

	for (i = 0; i < q->crashes->len; i++)
		if (quarantine_crash_at(q, i)->id == id)
			return true;
	return false;
}

/* Counts a crash's requests in or out. */
static void
index_runs(struct quarantine *q, const struct crash *c, bool in)
{
	uint64_t *key;
	uint32_t n, r;

	for (r = 0; r < c->n_runs; r++) {
		n = quarantine_seen(q, c->runs[r].content);
		if (!in && n <= 1) {
			g_hash_table_remove(q->contents, &c->runs[r].content);
			continue;
		}
		key = g_new(uint64_t, 1);
		*key = c->runs[r].content;
		g_hash_table_replace(
		    q->contents, key, GUINT_TO_POINTER(in ? n + 1 : n - 1));
	}
}

static void
forget_one(struct quarantine *q)
{
	guint i = least_telling(q);

	index_runs(q, quarantine_crash_at(q, i), false);
	g_ptr_array_remove_index(q->crashes, i);
}

/* Return: whether it was news. */
static bool
take_crash(struct quarantine *q, const struct crash *c, uint64_t now_ms)
{
	struct crash *copy;

	if (is_known(q, c->id))
		return false;
	if (q->crashes->len == QUARANTINE_CRASHES_MAX)
		forget_one(q);
	copy = g_memdup2(c, sizeof(*c));
	g_ptr_array_add(q->crashes, copy);
	index_runs(q, copy, true);
	quarantine_note_suspects(q, copy);
	q->settled_ms = MIN(q->settled_ms, now_ms + QUARANTINE_SETTLE_MS);
	return true;
}

void
quarantine_crashed(struct quarantine *q, const struct crash *c, uint64_t now_ms)
{
	struct quarantine_event event = {.tell = TELL_CRASH, .crash = *c};
	struct crash *told = &event.crash;
	uint32_t r;

	told->own = true;
	told->n_runs = 0;
	for (r = 0; r < c->n_runs; r++)
		if (!clean_runs_take(&q->clean, &c->runs[r], now_ms))
			told->runs[told->n_runs++] = c->runs[r];
	if (take_crash(q, told, now_ms))
		tell(q, &event);
}

void
quarantine_crash(struct quarantine *q, const struct crash *c, uint64_t now_ms)
{
	struct voucher v;
	uint32_t r;

	if (!take_crash(q, c, now_ms))
		return;
	for (r = 0; r < c->n_runs; r++) {
		if (q->vouchers->len == VOUCHERS_MAX ||
		    !clean_runs_has(&q->clean, &c->runs[r], now_ms))
			continue;
		v.print = c->runs[r];
		v.due_ms = now_ms +
		    hash64(&v.print, sizeof(v.print), q->seed ^ c->id) %
			QUARANTINE_VOUCH_MS;
		g_array_append_val(q->vouchers, v);
	}
}

/* It ran in a crash that counts. */
static bool
is_suspect(const struct quarantine *q, const struct fingerprint *f)
{
	uint64_t harmless_ms;
	guint i;

	if (quarantine_seen(q, f->content) == 0)
		return false;
	harmless_ms = quarantine_cleared_ms(q, f);
	for (i = 0; i < q->crashes->len; i++)
		if (quarantine_ran_in(quarantine_crash_at(q, i), f) &&
		    quarantine_crash_at(q, i)->at_ms > harmless_ms)
			return true;
	return false;
}

/* Return: whether somebody needs to be told. */
static bool
vouch(struct quarantine *q, const struct fingerprint *f, uint64_t now_ms)
{
	struct quarantine_event event = {.tell = TELL_ANSWERED};

	if (!is_suspect(q, f) && quarantine_held(q, f) == NULL)
		return false;
	(void)quarantine_clear(q, f, now_ms);
	event.entry.print = *f;
	event.entry.since_ms = now_ms;
	tell(q, &event);
	return true;
}

bool
quarantine_answered(
    struct quarantine *q, const struct fingerprint *f, uint64_t now_ms)
{
	clean_runs_add(&q->clean, f, now_ms);
	return vouch(q, f, now_ms);
}

static void
vouch_due(struct quarantine *q, uint64_t now_ms)
{
	struct voucher *v;
	guint i;

	for (i = q->vouchers->len; i > 0; i--) {
		v = &g_array_index(q->vouchers, struct voucher, i - 1);
		if (now_ms < v->due_ms)
			continue;
		(void)vouch(q, &v->print, now_ms);
		g_array_remove_index_fast(q->vouchers, i - 1);
	}
}

void
quarantine_tick(struct quarantine *q, uint64_t now_ms)
{
	vouch_due(q, now_ms);
	end_doubts(q, now_ms);
	if (now_ms < q->settled_ms)
		return;
	q->settled_ms = DEADLINE_NEVER;
	decide(q, now_ms);
}

uint64_t
quarantine_next_ms(const struct quarantine *q)
{
	uint64_t next_ms = q->settled_ms;
	guint i;

	for (i = 0; i < q->vouchers->len; i++)
		next_ms = MIN(next_ms,
		    g_array_index(q->vouchers, struct voucher, i).due_ms);
	for (i = 0; i < q->doubted->len; i++)
		if (!doubt_at(q, i)->over)
			next_ms = MIN(next_ms, doubt_at(q, i)->until_ms);
	return next_ms;
}

bool
quarantine_pop(struct quarantine *q, struct quarantine_event *out)
{
	struct quarantine_event *e = g_queue_pop_head(&q->events);

	if (e == NULL)
		return false;
	*out = *e;
	g_free(e);
	return true;
}
