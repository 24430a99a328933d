/*
 * State of the quarantine: known crashes, quarantined, suspended and
 * exonerated requests, and the events to publish.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#include "quarantine_defs.h"

/*
 * Maximum length of the queue of success reports; a larger burst of crashes
 * has an external cause.
 */
#define SUCCESS_REPORTS_MAX 256

struct quarantine *
quarantine_new(uint64_t seed, uint64_t now_ms)
{
	struct quarantine *q = g_new0(struct quarantine, 1);

	q->crashes = g_ptr_array_new_with_free_func(g_free);
	q->quarantined =
	    g_array_new(FALSE, TRUE, sizeof(struct quarantine_entry));
	q->suspended =
	    g_array_new(FALSE, TRUE, sizeof(struct quarantine_entry));
	q->exonerations = g_array_new(FALSE, TRUE, sizeof(struct exoneration));
	q->success_reports =
	    g_array_new(FALSE, TRUE, sizeof(struct success_report));
	g_queue_init(&q->events);
	clean_runs_init(&q->recent_successes, now_ms);
	q->seed = seed;
	q->crashes_by_content =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	q->decide_ms = DEADLINE_NEVER;
	return q;
}

void
quarantine_free(struct quarantine *q)
{
	if (q == NULL)
		return;
	g_ptr_array_unref(q->crashes);
	g_array_unref(q->quarantined);
	g_array_unref(q->suspended);
	g_array_unref(q->exonerations);
	g_array_unref(q->success_reports);
	g_queue_clear_full(&q->events, g_free);
	clean_runs_clear(&q->recent_successes);
	g_hash_table_destroy(q->crashes_by_content);
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
emit_event(struct quarantine *q, const struct quarantine_event *e)
{
	g_queue_push_tail(&q->events, g_memdup2(e, sizeof(*e)));
}

/* Quarantined requests */

static struct quarantine_entry *
quarantined_at(const struct quarantine *q, guint i)
{
	return &g_array_index(q->quarantined, struct quarantine_entry, i);
}

struct quarantine_entry *
quarantine_find(const struct quarantine *q, const struct fingerprint *f)
{
	guint i;

	for (i = 0; i < q->quarantined->len; i++)
		if (quarantine_covers(&quarantined_at(q, i)->print, f))
			return quarantined_at(q, i);
	return NULL;
}

static void
add_bounded(GArray *list, const struct quarantine_entry *e)
{
	if (list->len == QUARANTINE_ENTRIES_MAX)
		g_array_remove_index(list, 0);
	g_array_append_val(list, *e);
}

static struct quarantine_entry *
suspended_at(const struct quarantine *q, guint i)
{
	return &g_array_index(q->suspended, struct quarantine_entry, i);
}

struct quarantine_entry *
quarantine_find_suspended(
    const struct quarantine *q, const struct fingerprint *f)
{
	guint i;

	for (i = 0; i < q->suspended->len; i++)
		if (quarantine_covers(&suspended_at(q, i)->print, f))
			return suspended_at(q, i);
	return NULL;
}

/*
 * Expired suspensions stay in the list, so that the same crashes don't suspend
 * a request again.
 */
static struct quarantine_entry *
suspension_of(const struct quarantine *q, const struct fingerprint *f)
{
	struct quarantine_entry *e = quarantine_find_suspended(q, f);

	return e != NULL && !e->expired ? e : NULL;
}

const struct quarantine_entry *
quarantine_check(struct quarantine *q, const struct fingerprint *f)
{
	struct quarantine_entry *e = quarantine_find(q, f);

	if (e == NULL)
		e = suspension_of(q, f);
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
	if (q->quarantined->len > 0)
		g_array_append_vals(
		    out, q->quarantined->data, q->quarantined->len);
}

bool
quarantine_is_empty(const struct quarantine *q)
{
	return q->quarantined->len == 0 && q->suspended->len == 0;
}

/* Exonerations */

static struct exoneration *
exoneration_at(const struct quarantine *q, guint i)
{
	return &g_array_index(q->exonerations, struct exoneration, i);
}

/* An answer to any caller exonerates the content for all callers. */
uint64_t
quarantine_exonerated_ms(
    const struct quarantine *q, const struct fingerprint *f)
{
	const struct exoneration *known;
	uint64_t at_ms = 0;
	guint i;

	for (i = 0; i < q->exonerations->len; i++) {
		known = exoneration_at(q, i);
		if (quarantine_covers(&known->print, f) ||
		    quarantine_covers(f, &known->print))
			at_ms = MAX(at_ms, known->at_ms);
	}
	return at_ms;
}

static void
add_exoneration(
    struct quarantine *q, const struct fingerprint *f, uint64_t at_ms)
{
	struct exoneration *known, added = {*f, at_ms};
	guint i;

	for (i = 0; i < q->exonerations->len; i++) {
		known = exoneration_at(q, i);
		if (fingerprint_equal(&known->print, f)) {
			known->at_ms = MAX(known->at_ms, at_ms);
			return;
		}
	}
	if (q->exonerations->len == QUARANTINE_EXONERATIONS_MAX)
		g_array_remove_index(q->exonerations, 0);
	g_array_append_val(q->exonerations, added);
}

bool
quarantine_exonerate(
    struct quarantine *q, const struct fingerprint *f, uint64_t at_ms)
{
	const struct quarantine_entry *e;
	bool ended = false;
	guint i;

	add_exoneration(q, f, at_ms);
	for (i = q->quarantined->len; i > 0; i--) {
		e = quarantined_at(q, i - 1);
		if (e->since_ms > at_ms ||
		    !(quarantine_covers(f, &e->print) ||
			quarantine_covers(&e->print, f)))
			continue;
		g_array_remove_index(q->quarantined, i - 1);
		ended = true;
	}
	for (i = q->suspended->len; i > 0; i--)
		if (quarantine_covers(f, &suspended_at(q, i - 1)->print) ||
		    quarantine_covers(&suspended_at(q, i - 1)->print, f))
			g_array_remove_index(q->suspended, i - 1);
	/*
	 * The crashes of the request no longer explain or implicate other
	 * requests.
	 */
	if (quarantine_crash_count(q, f->content) > 0)
		q->decide_ms = MIN(q->decide_ms, at_ms);
	return ended;
}

bool
quarantine_add(
    struct quarantine *q, const struct fingerprint *f, uint64_t since_ms)
{
	struct quarantine_entry e = {
	    .print = *f, .since_ms = since_ms, .until_ms = DEADLINE_NEVER};

	if (quarantine_find(q, f) != NULL ||
	    quarantine_exonerated_ms(q, f) >= since_ms)
		return false;
	add_bounded(q->quarantined, &e);
	return true;
}

/* Crashes */

const struct crash *
quarantine_crash_at(const struct quarantine *q, guint i)
{
	return g_ptr_array_index(q->crashes, i);
}

uint32_t
quarantine_crash_count(const struct quarantine *q, uint64_t content)
{
	return GPOINTER_TO_UINT(
	    g_hash_table_lookup(q->crashes_by_content, &content));
}

static void
suspend(struct quarantine *q, const struct quarantine_entry *e)
{
	struct quarantine_entry *known =
	    quarantine_find_suspended(q, &e->print);

	if (known != NULL)
		*known = *e;
	else
		add_bounded(q->suspended, e);
}

static bool
is_certain(const struct quarantine_entry *e)
{
	return e->until_ms == DEADLINE_NEVER;
}

/*
 * Quarantine the certain suspects of a judgement, or suspend the uncertain
 * ones.
 */
static void
apply_judgement(struct quarantine *q, uint64_t now_ms, bool certain)
{
	GArray *suspects = quarantine_judge(q, now_ms);
	struct quarantine_event event = {.kind = certain
		? QUARANTINE_EVENT_QUARANTINED
		: QUARANTINE_EVENT_SUSPENDED};
	guint i;

	for (i = 0; i < suspects->len; i++) {
		event.entry =
		    g_array_index(suspects, struct quarantine_entry, i);
		if (is_certain(&event.entry) != certain ||
		    quarantine_find(q, &event.entry.print) != NULL)
			continue;
		if (certain)
			add_bounded(q->quarantined, &event.entry);
		else
			suspend(q, &event.entry);
		emit_event(q, &event);
	}
	g_array_unref(suspects);
}

/*
 * The certain suspects come first: they may explain the crashes of an
 * uncertain one.
 */
static void
decide(struct quarantine *q, uint64_t now_ms)
{
	apply_judgement(q, now_ms, true);
	apply_judgement(q, now_ms, false);
}

static void
end_suspensions(struct quarantine *q, uint64_t now_ms)
{
	guint i;

	for (i = 0; i < q->suspended->len; i++)
		if (now_ms >= suspended_at(q, i)->until_ms)
			suspended_at(q, i)->expired = true;
}

/*
 * Index of the oldest crash whose requests were in no other crash, else of the
 * oldest crash.
 */
static guint
least_informative(const struct quarantine *q)
{
	const struct crash *c;
	bool recurs = true;
	uint32_t r;
	guint i;

	for (i = 0; i < q->crashes->len && recurs; i++) {
		c = quarantine_crash_at(q, i);
		recurs = false;
		for (r = 0; r < c->n_runs && !recurs; r++)
			recurs =
			    quarantine_crash_count(q, c->runs[r].content) > 1;
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

/* Add the requests of a crash to the index, or remove them. */
static void
index_runs(struct quarantine *q, const struct crash *c, bool in)
{
	uint64_t *key;
	uint32_t n, r;

	for (r = 0; r < c->n_runs; r++) {
		n = quarantine_crash_count(q, c->runs[r].content);
		if (!in && n <= 1) {
			g_hash_table_remove(
			    q->crashes_by_content, &c->runs[r].content);
			continue;
		}
		key = g_new(uint64_t, 1);
		*key = c->runs[r].content;
		g_hash_table_replace(q->crashes_by_content, key,
		    GUINT_TO_POINTER(in ? n + 1 : n - 1));
	}
}

static void
evict_crash(struct quarantine *q)
{
	guint i = least_informative(q);

	index_runs(q, quarantine_crash_at(q, i), false);
	g_ptr_array_remove_index(q->crashes, i);
}

/* Return: false if the crash was known. */
static bool
add_crash(struct quarantine *q, const struct crash *c, uint64_t now_ms)
{
	struct crash *copy;

	if (is_known(q, c->id))
		return false;
	if (q->crashes->len == QUARANTINE_CRASHES_MAX)
		evict_crash(q);
	copy = g_memdup2(c, sizeof(*c));
	g_ptr_array_add(q->crashes, copy);
	index_runs(q, copy, true);
	quarantine_extend_suspicion(q, copy);
	q->decide_ms = MIN(q->decide_ms, now_ms + QUARANTINE_SETTLE_MS);
	return true;
}

void
quarantine_add_own_crash(
    struct quarantine *q, const struct crash *c, uint64_t now_ms)
{
	struct quarantine_event event = {
	    .kind = QUARANTINE_EVENT_CRASHED, .crash = *c};
	struct crash *published = &event.crash;
	uint32_t r;

	published->own = true;
	published->n_runs = 0;
	for (r = 0; r < c->n_runs; r++)
		if (!clean_runs_take(&q->recent_successes, &c->runs[r], now_ms))
			published->runs[published->n_runs++] = c->runs[r];
	if (add_crash(q, published, now_ms))
		emit_event(q, &event);
}

void
quarantine_add_peer_crash(
    struct quarantine *q, const struct crash *c, uint64_t now_ms)
{
	struct success_report report;
	uint32_t r;

	if (!add_crash(q, c, now_ms))
		return;
	for (r = 0; r < c->n_runs; r++) {
		if (q->success_reports->len == SUCCESS_REPORTS_MAX ||
		    !clean_runs_has(&q->recent_successes, &c->runs[r], now_ms))
			continue;
		report.print = c->runs[r];
		report.due_ms = now_ms +
		    hash64(
			&report.print, sizeof(report.print), q->seed ^ c->id) %
			QUARANTINE_REPORT_MS;
		g_array_append_val(q->success_reports, report);
	}
}

/*
 * Whether the request was in flight in a crash later than its last
 * exoneration.
 */
static bool
is_suspect(const struct quarantine *q, const struct fingerprint *f)
{
	uint64_t exonerated_ms;
	guint i;

	if (quarantine_crash_count(q, f->content) == 0)
		return false;
	exonerated_ms = quarantine_exonerated_ms(q, f);
	for (i = 0; i < q->crashes->len; i++)
		if (quarantine_ran_in(quarantine_crash_at(q, i), f) &&
		    quarantine_crash_at(q, i)->at_ms > exonerated_ms)
			return true;
	return false;
}

/* Return: whether an event was emitted. */
static bool
exonerate(struct quarantine *q, const struct fingerprint *f, uint64_t now_ms)
{
	struct quarantine_event event = {.kind = QUARANTINE_EVENT_EXONERATED};

	if (!is_suspect(q, f) && quarantine_find(q, f) == NULL)
		return false;
	(void)quarantine_exonerate(q, f, now_ms);
	event.entry.print = *f;
	event.entry.since_ms = now_ms;
	emit_event(q, &event);
	return true;
}

bool
quarantine_answered(
    struct quarantine *q, const struct fingerprint *f, uint64_t now_ms)
{
	clean_runs_add(&q->recent_successes, f, now_ms);
	return exonerate(q, f, now_ms);
}

static void
report_successes(struct quarantine *q, uint64_t now_ms)
{
	struct success_report *report;
	guint i;

	for (i = q->success_reports->len; i > 0; i--) {
		report = &g_array_index(
		    q->success_reports, struct success_report, i - 1);
		if (now_ms < report->due_ms)
			continue;
		(void)exonerate(q, &report->print, now_ms);
		g_array_remove_index_fast(q->success_reports, i - 1);
	}
}

void
quarantine_tick(struct quarantine *q, uint64_t now_ms)
{
	report_successes(q, now_ms);
	end_suspensions(q, now_ms);
	if (now_ms < q->decide_ms)
		return;
	q->decide_ms = DEADLINE_NEVER;
	decide(q, now_ms);
}

uint64_t
quarantine_wake_ms(const struct quarantine *q)
{
	uint64_t next_ms = q->decide_ms;
	guint i;

	for (i = 0; i < q->success_reports->len; i++)
		next_ms = MIN(next_ms,
		    g_array_index(q->success_reports, struct success_report, i)
			.due_ms);
	for (i = 0; i < q->suspended->len; i++)
		if (!suspended_at(q, i)->expired)
			next_ms = MIN(next_ms, suspended_at(q, i)->until_ms);
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
