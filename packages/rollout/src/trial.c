/*
 * Endpoints that take part in a rollout, and their reports.
 */
#include <string.h>

#include "base/hash.h"
#include "rollout/share.h"

#include "trial_defs.h"

/* Answers needed to distinguish a good version from a bad one, and the highest
 * share of requests that is tried if the default share brings fewer answers. */
#define VERDICT_ANSWERS_MIN 25
#define SHARE_MAX_MILLI 400
#define MILLI 1000

/* Time after an endpoint's first report from which its rate is known. */
#define RATE_SPAN_MIN_MS 700

/* New endpoints that report: the canaries, their replacements when some are
 * faulty, and enough for a verdict after the switch. */
#define CANDIDATE_REPORTERS_MAX 20

/* Interval between snapshots of the counts. Only recent answers show a version
 * that turns bad later; they are counted from the snapshot before the last, one
 * or two intervals ago. */
#define SNAPSHOT_INTERVAL_MS 800

/* Age above which a report no longer describes the present. */
#define REPORT_AGE_MAX_MS 1500

/* Ready new endpoints that are needed for the switch, in percent of the old
 * version's. */
#define READY_MIN_PERCENT 50
#define PERCENT 100

struct rollout_trial *
rollout_trial_new(const struct rollout *r)
{
	struct rollout_trial *t = g_new0(struct rollout_trial, 1);

	t->order = r->order;
	memcpy(t->from, r->from, sizeof(t->from));
	memcpy(t->to, r->to, sizeof(t->to));
	t->candidates =
	    g_array_new(FALSE, FALSE, sizeof(struct rollout_endpoint));
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
	g_array_unref(t->candidates);
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
by_start_time(gconstpointer a, gconstpointer b)
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
rollout_trial_set_endpoints(struct rollout_trial *t,
    const struct rollout_endpoint *endpoints, uint32_t n)
{
	uint32_t i;

	g_array_set_size(t->candidates, 0);
	g_array_set_size(t->old, 0);
	for (i = 0; i < n; i++) {
		if (!endpoints[i].ready)
			continue;
		if (strcmp(endpoints[i].version, t->to) == 0)
			g_array_append_val(t->candidates, endpoints[i]);
		else if (strcmp(endpoints[i].version, t->from) == 0)
			g_array_append_val(t->old, endpoints[i]);
	}
	g_array_sort(t->candidates, by_start_time);
	g_array_sort_with_data(t->old, by_rank, &t->order);
}

static uint32_t
index_of(const GArray *list, const char *host)
{
	uint32_t i;

	for (i = 0; i < list->len; i++)
		if (strcmp(endpoint_at(list, i)->host, host) == 0)
			break;
	return i;
}

bool
rollout_trial_must_report(
    const struct rollout_trial *t, const char *host, uint64_t answered)
{
	if (index_of(t->old, host) < MIN(t->old->len, ROLLOUT_CONTROLS))
		return true;
	return answered > 0 &&
	    index_of(t->candidates, host) <
	    MIN(t->candidates->len, CANDIDATE_REPORTERS_MAX);
}

uint32_t
rollout_trial_judge_rank(const struct rollout_trial *t, const char *host)
{
	uint32_t index = index_of(t->candidates, host);

	return index < t->candidates->len ? MIN(index, ROLLOUT_JUDGES)
					  : ROLLOUT_JUDGES;
}

uint32_t
rollout_trial_judges(
    const struct rollout_trial *t, struct net_addr nodes[ROLLOUT_JUDGES])
{
	uint32_t i, n = MIN(t->candidates->len, ROLLOUT_JUDGES);

	for (i = 0; i < n; i++)
		nodes[i] = endpoint_at(t->candidates, i)->node;
	return n;
}

/* From the new version's first answer on, the old version's answers count for
 * the comparison. */
static void
record_bases(struct rollout_trial *t)
{
	struct trial_report *r;
	GHashTableIter it;

	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (r->is_candidate || r->has_base)
			continue;
		r->base = r->counts;
		r->has_base = true;
	}
}

static bool
candidate_has_answered(const struct rollout_trial *t)
{
	const struct trial_report *r;
	GHashTableIter it;

	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->is_candidate && rollout_counts_answered(&r->counts) > 0)
			return true;
	return false;
}

static bool
has_restarted(const struct trial_report *r, const struct rollout_counts *counts)
{
	return rollout_counts_answered(counts) <
	    rollout_counts_answered(&r->counts);
}

void
rollout_trial_add_report(struct rollout_trial *t, const char *host,
    const char *version, uint64_t seq, const struct rollout_counts *counts,
    uint64_t now_ms)
{
	struct trial_report *r = g_hash_table_lookup(t->reports, host);
	bool is_candidate = strcmp(version, t->to) == 0;
	bool has_answered = is_candidate && rollout_counts_answered(counts) > 0;

	if (!is_candidate && strcmp(version, t->from) != 0)
		return;
	if (r != NULL && seq <= r->seq)
		return;
	/* A node that was restarted counts from zero. */
	if (r == NULL || r->is_candidate != is_candidate ||
	    has_restarted(r, counts)) {
		r = g_new0(struct trial_report, 1);
		r->first = *counts;
		r->first_ms = now_ms;
		g_hash_table_replace(t->reports, g_strdup(host), r);
	}
	if (has_answered && !candidate_has_answered(t))
		record_bases(t);
	r->is_candidate = is_candidate;
	r->seq = seq;
	r->received_ms = now_ms;
	r->counts = *counts;
	if (now_ms < r->snapshot_ms + SNAPSHOT_INTERVAL_MS)
		return;
	r->snapshots[0] = r->snapshots[1];
	r->snapshots[1] = *counts;
	r->snapshot_ms = now_ms;
}

void
trial_counts_since(const struct trial_report *r,
    const struct rollout_counts *earlier, struct rollout_counts *counts)
{
	*counts = r->counts;
	rollout_counts_subtract(counts, earlier);
}

static uint32_t
count_reporting_controls(const struct rollout_trial *t, uint64_t now_ms)
{
	const struct trial_report *r;
	uint32_t i, n = 0;

	for (i = 0; i < MIN(t->old->len, ROLLOUT_CONTROLS); i++) {
		r = g_hash_table_lookup(
		    t->reports, endpoint_at(t->old, i)->host);
		if (r != NULL && r->received_ms + REPORT_AGE_MAX_MS >= now_ms)
			n++;
	}
	return n;
}

bool
rollout_trial_can_take_over(
    const struct rollout_trial *t, uint64_t now_ms, char *reason)
{
	uint32_t controls = MIN(t->old->len, ROLLOUT_CONTROLS);

	if (t->candidates->len * PERCENT < t->old->len * READY_MIN_PERCENT ||
	    t->candidates->len == 0) {
		(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
		    "%u endpoints of the new version are ready for the work "
		    "of %u",
		    t->candidates->len, t->old->len);
		return false;
	}
	if (count_reporting_controls(t, now_ms) * 2 < controls) {
		(void)g_snprintf(reason, ROLLOUT_REASON_BYTES,
		    "the old version's answers are not known: %u of %u of "
		    "its endpoints report",
		    count_reporting_controls(t, now_ms), controls);
		return false;
	}
	return true;
}

/* Estimates the answers of all endpoints of the old version per second; false
 * while the rate is not known. */
static bool
estimate_old_rate(
    const struct rollout_trial *t, uint64_t now_ms, uint64_t *per_s)
{
	struct rollout_counts counts;
	const struct trial_report *r;
	uint64_t sum = 0, n = 0;
	GHashTableIter it;

	g_hash_table_iter_init(&it, t->reports);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r)) {
		if (r->is_candidate || now_ms < r->first_ms + RATE_SPAN_MIN_MS)
			continue;
		trial_counts_since(r, &r->first, &counts);
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
	uint64_t usual_share = rollout_share_milli(t->old->len);
	uint64_t per_s, expected;

	if (now_ms >= until_ms || !estimate_old_rate(t, now_ms, &per_s))
		return 0;
	expected = per_s * (until_ms - now_ms) / MILLI;
	if (expected * usual_share >= VERDICT_ANSWERS_MIN * MILLI)
		return 0;
	return (uint32_t)MIN(
	    VERDICT_ANSWERS_MIN * MILLI / MAX(expected, 1), SHARE_MAX_MILLI);
}
