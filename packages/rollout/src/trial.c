/*
 * Who takes part in a rollout, and what was found.
 */
#include "rollout/trial.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "rollout/share.h"

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

/* Answers that tell a good version from a bad one, and the largest share of the
 * requests that is tried where the usual one would not bring them. */
#define ENOUGH_ANSWERS 25
#define SHARE_MOST_MILLI 400
#define MILLI 1000

/* An endpoint's rate is known so long after its first report. */
#define RATE_AFTER_MS 700

/* New endpoints that report: those that are tried, one after the other when
 * some are faulty, and enough to tell once all get requests. */
#define REPORTERS 20

/* A version that turns bad later is seen by its last answers: since the mark
 * before the last, one or two of these times. */
#define MARK_MS 800

/* Reports older than this say nothing of now. */
#define REPORT_RECENT_MS 1500

/* The old version is replaced by at least this part of its endpoints. */
#define TAKE_OVER_PERCENT 50
#define PERCENT 100

/**
 * struct report - counts of an endpoint
 * @fresh: it is of the new version
 * @seq: number of the report
 * @heard_ms: when it came
 * @counts: the counts
 * @base: counts of an old endpoint when the new version answered first
 * @first: counts at the first report
 * @first_ms: when that came
 * @marks: counts at the last two marks, the earlier one first
 * @mark_ms: when the last one was taken
 * @has_base: whether @base was taken
 * @suspect: its answers were bad once; later ones don't make up for that
 * @finding: what was found
 */
struct report {
	bool fresh;
	uint64_t seq;
	uint64_t heard_ms;
	struct rollout_counts counts;
	struct rollout_counts base;
	struct rollout_counts first;
	uint64_t first_ms;
	struct rollout_counts marks[2];
	uint64_t mark_ms;
	bool has_base;
	bool suspect;
	struct rollout_finding finding;
};

/**
 * struct rollout_trial - a trial
 * @order: number of its order
 * @from: the old version
 * @to: the new version
 * @fresh: struct rollout_endpoint of the new version that are ready, those
 *	that started first before others
 * @old: those of the old version that are ready, by rank
 * @reports: host to struct report
 */
struct rollout_trial {
	uint64_t order;
	char from[ROLLOUT_VERSION_BYTES];
	char to[ROLLOUT_VERSION_BYTES];
	GArray *fresh;
	GArray *old;
	GHashTable *reports;
};

struct rollout_trial *
rollout_trial_new(const struct rollout *r)
{
	struct rollout_trial *t = g_new0(struct rollout_trial, 1);

	t->order = r->order;
	memcpy(t->from, r->from, sizeof(t->from));
	memcpy(t->to, r->to, sizeof(t->to));
	t->fresh = g_array_new(FALSE, FALSE, sizeof(struct rollout_endpoint));
	t->old = g_array_new(FALSE, FALSE, sizeof(struct rollout_endpoint));
	t->reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

void
rollout_trial_free(struct rollout_trial *t)
{
	if (t == NULL)
		return;
	g_array_unref(t->fresh);
	g_array_unref(t->old);
	g_hash_table_unref(t->reports);
	g_free(t);
}

uint64_t
rollout_trial_order(const struct rollout_trial *t)
{
	return t->order;
}

static const struct rollout_endpoint *
endpoint_at(const GArray *list, uint32_t i)
{
	return &g_array_index(list, struct rollout_endpoint, i);
}

static gint
by_start(gconstpointer a, gconstpointer b)
{
	const struct rollout_endpoint *left = a, *right = b;

	if (left->started_ms != right->started_ms)
		return left->started_ms < right->started_ms ? -1 : 1;
	return strcmp(left->host, right->host);
}

static gint
by_rank(gconstpointer a, gconstpointer b, gpointer order)
{
	const struct rollout_endpoint *left = a, *right = b;
	const uint64_t *seed = order;
	uint64_t l = hash64(left->host, strlen(left->host), *seed);
	uint64_t r = hash64(right->host, strlen(right->host), *seed);

	return (l > r) - (l < r);
}

void
rollout_trial_set(struct rollout_trial *t,
    const struct rollout_endpoint *endpoints, uint32_t n)
{
	uint32_t i;

	g_array_set_size(t->fresh, 0);
	g_array_set_size(t->old, 0);
	for (i = 0; i < n; i++) {
		if (!endpoints[i].ready)
			continue;
		if (strcmp(endpoints[i].version, t->to) == 0)
			g_array_append_val(t->fresh, endpoints[i]);
		else if (strcmp(endpoints[i].version, t->from) == 0)
			g_array_append_val(t->old, endpoints[i]);
	}
	g_array_sort(t->fresh, by_start);
	g_array_sort_with_data(t->old, by_rank, &t->order);
}

static uint32_t
place_of(const GArray *list, const char *host)
{
	uint32_t i;

	for (i = 0; i < list->len; i++)
		if (strcmp(endpoint_at(list, i)->host, host) == 0)
			break;
	return i;
}

bool
rollout_trial_reports(
    const struct rollout_trial *t, const char *host, uint64_t answered)
{
	if (place_of(t->old, host) < MIN(t->old->len, ROLLOUT_CONTROLS))
		return true;
	return answered > 0 &&
	    place_of(t->fresh, host) < MIN(t->fresh->len, REPORTERS);
}

uint32_t
rollout_trial_judge_rank(const struct rollout_trial *t, const char *host)
{
	uint32_t place = place_of(t->fresh, host);

	return place < t->fresh->len ? MIN(place, ROLLOUT_JUDGES)
				     : ROLLOUT_JUDGES;
}

uint32_t
rollout_trial_judges(
    const struct rollout_trial *t, struct net_addr nodes[ROLLOUT_JUDGES])
{
	uint32_t i, n = MIN(t->fresh->len, ROLLOUT_JUDGES);

	for (i = 0; i < n; i++)
		nodes[i] = endpoint_at(t->fresh, i)->node;
	return n;
}

/* From the first answer of the new version on the old one is measured. */
static void
take_bases(struct rollout_trial *t)
{
	struct report *r;
	GHashTableIter it;

	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (r->fresh || r->has_base)
			continue;
		r->base = r->counts;
		r->has_base = true;
	}
}

static bool
has_answers(const struct rollout_trial *t)
{
	const struct report *r;
	GHashTableIter it;

	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->fresh && rollout_counts_answered(&r->counts) > 0)
			return true;
	return false;
}

static bool
has_restarted(const struct report *r, const struct rollout_counts *counts)
{
	return rollout_counts_answered(counts) <
	    rollout_counts_answered(&r->counts);
}

void
rollout_trial_report(struct rollout_trial *t, const char *host,
    const char *version, uint64_t seq, const struct rollout_counts *counts,
    uint64_t now_ms)
{
	struct report *r = g_hash_table_lookup(t->reports, host);
	bool fresh = strcmp(version, t->to) == 0;
	bool begins = fresh && rollout_counts_answered(counts) > 0;

	if (!fresh && strcmp(version, t->from) != 0)
		return;
	if (r != NULL && seq <= r->seq)
		return;
	/* A node that was restarted counts from zero. */
	if (r == NULL || r->fresh != fresh || has_restarted(r, counts)) {
		r = g_new0(struct report, 1);
		r->first = *counts;
		r->first_ms = now_ms;
		g_hash_table_replace(t->reports, g_strdup(host), r);
	}
	if (begins && !has_answers(t))
		take_bases(t);
	r->fresh = fresh;
	r->seq = seq;
	r->heard_ms = now_ms;
	r->counts = *counts;
	if (now_ms < r->mark_ms + MARK_MS)
		return;
	r->marks[0] = r->marks[1];
	r->marks[1] = *counts;
	r->mark_ms = now_ms;
}

/* Judging */

static void
since(const struct report *r, const struct rollout_counts *earlier,
    struct rollout_counts *counts)
{
	*counts = r->counts;
	rollout_counts_subtract(counts, earlier);
}

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
span_begin(const struct report *r, enum span span)
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
	const struct report *r;
	GHashTableIter it;
	guint i;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (r->fresh)
			continue;
		since(r, span_begin(r, span), &counts);
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
sum_fresh(const struct rollout_trial *t, const struct report *but, bool late,
    struct rollout_counts *sum)
{
	static const struct rollout_counts none;
	struct rollout_counts counts;
	const struct report *r;
	GHashTableIter it;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (!r->fresh || r == but)
			continue;
		since(r, late ? &r->marks[0] : &none, &counts);
		rollout_counts_add(sum, &counts);
	}
}

/* What the old version answers later would thin the evidence out. */
static bool
is_suspect(struct report *r, const struct rollout_counts *old)
{
	if (!r->suspect)
		r->suspect = rollout_judge(&r->counts, old, CHANCE_ENDPOINT,
				 &r->finding) != ROLLOUT_SOUND;
	return r->suspect;
}

bool
rollout_trial_is_suspect(struct rollout_trial *t, const char *host)
{
	struct report *r = g_hash_table_lookup(t->reports, host);
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
	const struct report *most;
	uint64_t most_failed;
	struct rollout_finding finding;
};

static void
tally_one(struct tally *s, struct report *r, const struct rollout_counts *old)
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
	struct report *r;
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
	const struct report *r;
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
	const struct report *r;
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

static uint32_t
recent_controls(const struct rollout_trial *t, uint64_t now_ms)
{
	const struct report *r;
	uint32_t i, n = 0;

	for (i = 0; i < MIN(t->old->len, ROLLOUT_CONTROLS); i++) {
		r = g_hash_table_lookup(
		    t->reports, endpoint_at(t->old, i)->host);
		if (r != NULL && r->heard_ms + REPORT_RECENT_MS >= now_ms)
			n++;
	}
	return n;
}

bool
rollout_trial_can_take_over(
    const struct rollout_trial *t, uint64_t now_ms, char *reason)
{
	uint32_t controls = MIN(t->old->len, ROLLOUT_CONTROLS);

	if (t->fresh->len * PERCENT < t->old->len * TAKE_OVER_PERCENT ||
	    t->fresh->len == 0) {
		(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
		    "%u endpoints of the new version are ready for the work "
		    "of %u",
		    t->fresh->len, t->old->len);
		return false;
	}
	if (recent_controls(t, now_ms) * 2 < controls) {
		(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
		    "the old version's answers are not known: %u of %u of "
		    "its endpoints report",
		    recent_controls(t, now_ms), controls);
		return false;
	}
	return true;
}

/* Answers of all endpoints of the old version a second; false while it is not
 * known. */
static bool
old_per_s(const struct rollout_trial *t, uint64_t now_ms, uint64_t *per_s)
{
	struct rollout_counts counts;
	const struct report *r;
	uint64_t sum = 0, n = 0;
	GHashTableIter it;

	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (r->fresh || now_ms < r->first_ms + RATE_AFTER_MS)
			continue;
		since(r, &r->first, &counts);
		sum += rollout_counts_answered(&counts) * MILLI /
		    (now_ms - r->first_ms);
		n++;
	}
	*per_s = n > 0 ? sum * t->old->len / n : 0;
	return n > 0;
}

uint32_t
rollout_trial_share_milli(
    const struct rollout_trial *t, uint64_t until_ms, uint64_t now_ms)
{
	uint64_t usual = rollout_share_milli(t->old->len);
	uint64_t per_s, expected;

	if (now_ms >= until_ms || !old_per_s(t, now_ms, &per_s))
		return 0;
	expected = per_s * (until_ms - now_ms) / MILLI;
	if (expected * usual >= ENOUGH_ANSWERS * MILLI)
		return 0;
	return (uint32_t)MIN(
	    ENOUGH_ANSWERS * MILLI / MAX(expected, 1), SHARE_MOST_MILLI);
}
