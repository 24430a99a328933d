/*
 * Verdict on the new version from the reports of a trial.
 */
#include <inttypes.h>
#include <string.h>

#include "trial_defs.h"

/* Significance levels: of a finding on one endpoint, which is tested at each
 * report on each route, and of a finding that all endpoints but the worst
 * confirm. */
#define ENDPOINT_ALPHA 2e-4
#define REST_ALPHA 2e-3

/* Answers of the old version from which its latencies and failures are known.
 */
#define OLD_ANSWERS_MIN 80

/* One in so many endpoints of the old version may have a fault of its own. */
#define OUTLIER_DIVISOR 3

/* Answers after which an endpoint without a finding counts as sound, and below
 * which recent answers prove nothing. */
#define SOUND_ANSWERS_MIN 20

static gint
by_failures(gconstpointer a, gconstpointer b)
{
	const struct rollout_counts *l = a, *r = b;
	uint64_t left = rollout_counts_failed(l) * rollout_counts_answered(r);
	uint64_t right = rollout_counts_failed(r) * rollout_counts_answered(l);

	return (left > right) - (left < right);
}

/* Time from which the old version's answers are added up. */
enum span {
	SPAN_ALL = 0,
	SPAN_TRIAL,
	SPAN_RECENT,
};

static const struct rollout_counts *
span_start(const struct trial_report *r, enum span span)
{
	static const struct rollout_counts none;

	if (span == SPAN_RECENT)
		return &r->snapshots[0];
	return span == SPAN_TRIAL ? &r->base : &none;
}

/*
 * Adds up the old version's answers in a span. The endpoints with the highest
 * failure rates are left out if there are several: they may have faults of
 * their own, which would hide a fault of the new version.
 */
static void
sum_span(
    const struct rollout_trial *t, enum span span, struct rollout_counts *sum)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(*sum));
	struct rollout_counts counts;
	const struct trial_report *r;
	GHashTableIter it;
	guint i;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (r->is_candidate)
			continue;
		trial_counts_since(r, span_start(r, span), &counts);
		g_array_append_val(list, counts);
	}
	g_array_sort(list, by_failures);
	for (i = 0; i < list->len - list->len / OUTLIER_DIVISOR; i++)
		rollout_counts_add(
		    sum, &g_array_index(list, struct rollout_counts, i));
	g_array_unref(list);
}

/* Adds up the old version's answers since the new version's first answer, or
 * only the recent answers; if they are too few for a comparison, all answers
 * since the order. */
static void
sum_old_version(
    const struct rollout_trial *t, bool recent, struct rollout_counts *sum)
{
	sum_span(t, recent ? SPAN_RECENT : SPAN_TRIAL, sum);
	if (rollout_counts_answered(sum) < OLD_ANSWERS_MIN)
		sum_span(t, SPAN_ALL, sum);
}

/* Adds up all or the recent answers of the new version, without those of
 * @left_out. */
static void
sum_candidate(const struct rollout_trial *t,
    const struct trial_report *left_out, bool recent,
    struct rollout_counts *sum)
{
	static const struct rollout_counts none;
	struct rollout_counts counts;
	const struct trial_report *r;
	GHashTableIter it;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (!r->is_candidate || r == left_out)
			continue;
		trial_counts_since(
		    r, recent ? &r->snapshots[0] : &none, &counts);
		rollout_counts_add(sum, &counts);
	}
}

/* A suspect stays suspected: later answers of the old version would dilute the
 * evidence. */
static bool
check_suspect(struct trial_report *r, const struct rollout_counts *old)
{
	if (!r->suspect)
		r->suspect = rollout_judge(&r->counts, old, ENDPOINT_ALPHA,
				 &r->finding) != ROLLOUT_SOUND;
	return r->suspect;
}

bool
rollout_trial_is_suspect(struct rollout_trial *t, const char *host)
{
	struct trial_report *r = g_hash_table_lookup(t->reports, host);
	struct rollout_counts old;

	if (r == NULL || !r->is_candidate)
		return false;
	sum_old_version(t, false, &old);
	return check_suspect(r, &old);
}

static void
format_reason(const struct rollout_finding *f, uint32_t suspects,
    uint32_t answered, char *reason)
{
	(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
	    "%s on route %016" PRIx64 ": %u of %u answers, of the old version "
	    "%u of %u; %u of %u endpoints that answered",
	    rollout_defect_name(f->defect), f->route, f->bad, f->total,
	    f->old_bad, f->old_total, suspects, answered);
}

/**
 * struct tally - summary of the new version's reports
 * @answered: endpoints that answered
 * @suspects: endpoints whose answers are bad
 * @sound: endpoints with enough answers that are no suspects
 * @worst: endpoint with the most failures
 * @worst_failed: number of its failures
 * @finding: finding of the first suspect
 */
struct tally {
	uint32_t answered;
	uint32_t suspects;
	uint32_t sound;
	const struct trial_report *worst;
	uint64_t worst_failed;
	struct rollout_finding finding;
};

static void
tally_report(
    struct tally *s, struct trial_report *r, const struct rollout_counts *old)
{
	uint64_t failed = rollout_counts_failed(&r->counts);

	if (rollout_counts_answered(&r->counts) == 0)
		return;
	s->answered++;
	if (s->worst == NULL || failed > s->worst_failed) {
		s->worst = r;
		s->worst_failed = failed;
	}
	if (check_suspect(r, old)) {
		if (s->suspects++ == 0)
			s->finding = r->finding;
	} else if (rollout_counts_answered(&r->counts) >= SOUND_ANSWERS_MIN) {
		s->sound++;
	}
}

static void
tally(const struct rollout_trial *t, const struct rollout_counts *old,
    struct tally *s)
{
	struct trial_report *r;
	GHashTableIter it;

	memset(s, 0, sizeof(*s));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->is_candidate)
			tally_report(s, r, old);
}

/* Whether all endpoints together are bad, and also without the worst one.
 * Recent answers show a version that has turned bad. */
static bool
is_bad_overall(const struct rollout_trial *t, struct tally *s, bool recent)
{
	struct rollout_counts old, all, rest;
	struct rollout_finding f;

	if (s->answered < 2)
		return false;
	sum_old_version(t, recent, &old);
	sum_candidate(t, NULL, recent, &all);
	sum_candidate(t, s->worst, recent, &rest);
	if (rollout_judge(&rest, &old, REST_ALPHA, &f) == ROLLOUT_SOUND ||
	    rollout_judge(&all, &old, ENDPOINT_ALPHA, &f) == ROLLOUT_SOUND)
		return false;
	s->finding = f;
	return true;
}

/* Too few recent answers, as in a service with few requests, prove nothing. */
static bool
passes_recent(const struct rollout_trial *t)
{
	struct rollout_counts old, recent;

	sum_old_version(t, true, &old);
	sum_candidate(t, NULL, true, &recent);
	return rollout_counts_answered(&recent) < SOUND_ANSWERS_MIN ||
	    rollout_judge_passes(&recent, &old);
}

/* Adds up the answers of the new endpoints that are no suspects. */
static void
sum_unsuspected(const struct rollout_trial *t, struct rollout_counts *sum)
{
	const struct trial_report *r;
	GHashTableIter it;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->is_candidate && !r->suspect)
			rollout_counts_add(sum, &r->counts);
}

static bool
is_idle(const struct rollout_trial *t)
{
	const struct trial_report *r;
	GHashTableIter it;

	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (rollout_counts_answered(&r->counts) > 0)
			return false;
	return true;
}

enum rollout_verdict
rollout_trial_verdict(
    struct rollout_trial *t, char reason[ROLLOUT_REASON_BYTES])
{
	struct rollout_counts old, all;
	struct tally s;

	sum_old_version(t, false, &old);
	tally(t, &old, &s);
	if (s.suspects >= 2 || is_bad_overall(t, &s, false) ||
	    is_bad_overall(t, &s, true) ||
	    (s.suspects == 1 && t->candidates->len <= 1)) {
		format_reason(&s.finding, s.suspects, s.answered, reason);
		return ROLLOUT_BAD;
	}
	if (s.suspects > 0 && s.sound == 0) {
		format_reason(&s.finding, s.suspects, s.answered, reason);
		return ROLLOUT_UNDECIDED;
	}
	sum_unsuspected(t, &all);
	if (is_idle(t)) {
		(void)g_strlcpy(reason,
		    "neither version had anything to answer",
		    ROLLOUT_REASON_BYTES);
		return ROLLOUT_GOOD;
	}
	if (!rollout_judge_passes(&all, &old) ||
	    !rollout_judge_routes_pass(&all, &old, s.suspects > 0) ||
	    !passes_recent(t)) {
		(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
		    "not clear from %u answers of the new version, %u of "
		    "them failures, of %u endpoints",
		    (uint32_t)rollout_counts_answered(&all),
		    (uint32_t)rollout_counts_failed(&all), s.answered);
		return ROLLOUT_UNDECIDED;
	}
	(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
	    "answers like those of the old version from %u endpoints",
	    s.answered);
	return ROLLOUT_GOOD;
}
