/*
 * What the reports of a trial say of the new version.
 */
#include <inttypes.h>
#include <string.h>

#include "trial_defs.h"

/* A finding on one endpoint, looked for at each report on each route, and one
 * that all endpoints but the worst confirm. */
#define CHANCE_ENDPOINT 2e-4
#define CHANCE_REST 2e-3

/* Answers of the old version that give its times and failures. */
#define OLD_ENOUGH 80

/* One of so many endpoints of the old version may be faulty on its own. */
#define OUTLIER_PART 3

/* Answers after which an endpoint without a finding counts as sound, and the
 * most that are awaited in all. */
#define SOUND_ANSWERS 20

static gint
by_failures(gconstpointer a, gconstpointer b)
{
	const struct rollout_counts *l = a, *r = b;
	uint64_t left = rollout_counts_failed(l) * rollout_counts_answered(r);
	uint64_t right = rollout_counts_failed(r) * rollout_counts_answered(l);

	return (left > right) - (left < right);
}

/* From which counts on the old version's answers are added up. */
enum span {
	SPAN_ALL = 0,
	SPAN_TRIAL,
	SPAN_LATE,
};

static const struct rollout_counts *
span_begin(const struct trial_report *r, enum span span)
{
	static const struct rollout_counts none;

	if (span == SPAN_LATE)
		return &r->marks[0];
	return span == SPAN_TRIAL ? &r->base : &none;
}

/*
 * Answers of the old version in a span.  The endpoints that fail most are left
 * out where there are several: they may be faulty on their own, and would hide
 * that the new version is.
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
		if (r->fresh)
			continue;
		trial_since(r, span_begin(r, span), &counts);
		g_array_append_val(list, counts);
	}
	g_array_sort(list, by_failures);
	for (i = 0; i < list->len - list->len / OUTLIER_PART; i++)
		rollout_counts_add(
		    sum, &g_array_index(list, struct rollout_counts, i));
	g_array_unref(list);
}

/* Since the new version answered first, or of late; all since the order where
 * that is too little to compare with. */
static void
sum_old(const struct rollout_trial *t, bool late, struct rollout_counts *sum)
{
	sum_span(t, late ? SPAN_LATE : SPAN_TRIAL, sum);
	if (rollout_counts_answered(sum) < OLD_ENOUGH)
		sum_span(t, SPAN_ALL, sum);
}

/* Answers of the new version, in all or of late, but for those of @but. */
static void
sum_fresh(const struct rollout_trial *t, const struct trial_report *but,
    bool late, struct rollout_counts *sum)
{
	static const struct rollout_counts none;
	struct rollout_counts counts;
	const struct trial_report *r;
	GHashTableIter it;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (!r->fresh || r == but)
			continue;
		trial_since(r, late ? &r->marks[0] : &none, &counts);
		rollout_counts_add(sum, &counts);
	}
}

/* What the old version answers later would thin the evidence out. */
static bool
is_suspect(struct trial_report *r, const struct rollout_counts *old)
{
	if (!r->suspect)
		r->suspect = rollout_judge(&r->counts, old, CHANCE_ENDPOINT,
				 &r->finding) != ROLLOUT_SOUND;
	return r->suspect;
}

bool
rollout_trial_is_suspect(struct rollout_trial *t, const char *host)
{
	struct trial_report *r = g_hash_table_lookup(t->reports, host);
	struct rollout_counts old;

	if (r == NULL || !r->fresh)
		return false;
	sum_old(t, false, &old);
	return is_suspect(r, &old);
}

static void
explain(const struct rollout_finding *f, uint32_t suspects, uint32_t answered,
    char *reason)
{
	(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
	    "%s on route %016" PRIx64 ": %u of %u answers, of the old version "
	    "%u of %u; %u of %u endpoints that answered",
	    rollout_defect_name(f->defect), f->route, f->bad, f->of, f->old_bad,
	    f->old_of, suspects, answered);
}

/**
 * struct tally - what the reports of the new version say
 * @answered: endpoints that answered
 * @suspects: endpoints whose answers are bad
 * @sound: endpoints that answered enough and are not
 * @most: the one with most failures
 * @most_failed: its failures
 * @finding: the first bad one's
 */
struct tally {
	uint32_t answered;
	uint32_t suspects;
	uint32_t sound;
	const struct trial_report *most;
	uint64_t most_failed;
	struct rollout_finding finding;
};

static void
tally_one(
    struct tally *s, struct trial_report *r, const struct rollout_counts *old)
{
	uint64_t failed = rollout_counts_failed(&r->counts);

	if (rollout_counts_answered(&r->counts) == 0)
		return;
	s->answered++;
	if (s->most == NULL || failed > s->most_failed) {
		s->most = r;
		s->most_failed = failed;
	}
	if (is_suspect(r, old)) {
		if (s->suspects++ == 0)
			s->finding = r->finding;
	} else if (rollout_counts_answered(&r->counts) >= SOUND_ANSWERS) {
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
		if (r->fresh)
			tally_one(s, r, old);
}

/* All together are bad, and so are those without the worst one; recent answers
 * show a version that has turned bad. */
static bool
are_bad_together(const struct rollout_trial *t, struct tally *s, bool late)
{
	struct rollout_counts old, all, rest;
	struct rollout_finding f;

	if (s->answered < 2)
		return false;
	sum_old(t, late, &old);
	sum_fresh(t, NULL, late, &all);
	sum_fresh(t, s->most, late, &rest);
	if (rollout_judge(&rest, &old, CHANCE_REST, &f) == ROLLOUT_SOUND ||
	    rollout_judge(&all, &old, CHANCE_ENDPOINT, &f) == ROLLOUT_SOUND)
		return false;
	s->finding = f;
	return true;
}

/* Too few recent answers, in a service with few requests, prove nothing. */
static bool
is_clear_of_late(const struct rollout_trial *t)
{
	struct rollout_counts old, late;

	sum_old(t, true, &old);
	sum_fresh(t, NULL, true, &late);
	return rollout_counts_answered(&late) < SOUND_ANSWERS ||
	    rollout_clears(&late, &old);
}

/* Answers of the endpoints of the new version that are not suspect. */
static void
sum_sound(const struct rollout_trial *t, struct rollout_counts *sum)
{
	const struct trial_report *r;
	GHashTableIter it;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->fresh && !r->suspect)
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

	sum_old(t, false, &old);
	tally(t, &old, &s);
	if (s.suspects >= 2 || are_bad_together(t, &s, false) ||
	    are_bad_together(t, &s, true) ||
	    (s.suspects == 1 && t->fresh->len <= 1)) {
		explain(&s.finding, s.suspects, s.answered, reason);
		return ROLLOUT_BAD;
	}
	if (s.suspects > 0 && s.sound == 0) {
		explain(&s.finding, s.suspects, s.answered, reason);
		return ROLLOUT_UNDECIDED;
	}
	sum_sound(t, &all);
	if (is_idle(t)) {
		(void)g_strlcpy(reason,
		    "neither version had anything to answer",
		    ROLLOUT_REASON_BYTES);
		return ROLLOUT_GOOD;
	}
	if (!rollout_clears(&all, &old) ||
	    !rollout_clears_routes(&all, &old, s.suspects > 0) ||
	    !is_clear_of_late(t)) {
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
