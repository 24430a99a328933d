/*
 * Compares the answers of two versions with one-sided binomial tests.
 */
#include "rollout/judge.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Fewer bad answers than this show no pattern, whatever their rate. */
#define BAD_ANSWERS_MIN 4

/* Answers of the old version on a route from which its failure rate there is
 * known; below that its rate over all routes is used. */
#define OLD_ANSWERS_MIN 10

/* Answers from which the old version's latencies are known. */
#define OLD_TIMED_ANSWERS_MIN 20

/* Failure rate that a new version may have: half as much again as the old
 * version's, and 3 in 100 more. Endpoints differ by so much, since the faults
 * that their calls run into differ. */
#define FAILURE_RATE_FACTOR 1.5
#define FAILURE_RATE_MARGIN 0.03

/* Failure rate allowed where the old version has no answers. */
#define FAILURE_RATE_DEFAULT 0.1

/* A bad version is taken to fail by at least this much more often than the old
 * one. A version passes once its number of failures would be this unlikely for
 * a bad one. */
#define BAD_VERSION_RATE_EXCESS 0.3
#define PASS_ALPHA 0.05

/* A route with at least so many answers has to pass on its own, at a weaker
 * level: most versions behave alike on all routes. */
#define PASS_ROUTE_ANSWERS_MIN 14
#define PASS_ROUTE_ALPHA 0.2

/* A main route has at least one in so many of the old version's answers. */
#define MAIN_ROUTE_DIVISOR 6

/* Rate of slow answers, by the old version's threshold, of a version that is
 * several times slower. */
#define SLOW_VERSION_RATE 0.5

/* Highest rate of the old version's answers above the slow threshold. */
#define OLD_SLOW_RATE_MAX 0.05

/* Endpoints of one service differ in speed by up to a factor of two, which is
 * two buckets. */
#define HOST_SPEED_BUCKETS 2

/* Bounds of the rate of slow answers that is expected of a good version. */
#define SLOW_RATE_MIN 0.05
#define SLOW_RATE_MAX 0.5

/* Route of a finding over all routes together. */
#define ROUTE_ALL UINT64_MAX

const char *
rollout_defect_name(enum rollout_defect d)
{
	static const char *const names[] = {"sound", "failures", "slow"};

	return (size_t)d < G_N_ELEMENTS(names) ? names[d] : "?";
}

/* Probability of @k or more bad answers of @n, each bad with probability @p. */
static double
binomial_tail(uint32_t k, uint32_t n, double p)
{
	double term, sum = 0;
	uint32_t i;

	if (k == 0)
		return 1;
	if (k > n)
		return 0;
	for (i = k; i <= n; i++) {
		term = lgamma(n + 1.0) - lgamma(i + 1.0) -
		    lgamma((double)(n - i) + 1.0) + i * log(p) +
		    (n - i) * log1p(-p);
		sum += exp(term);
	}
	return sum;
}

/* Whether @bad or more of @total are unlikely, each being bad with probability
 * @p. */
static bool
exceeds_rate(uint32_t bad, uint32_t total, double p, double alpha)
{
	return p < 1 && bad > total * p && binomial_tail(bad, total, p) < alpha;
}

static const struct rollout_route *
find_route(const struct rollout_counts *c, uint64_t route)
{
	uint32_t i;

	for (i = 0; i < c->n_routes; i++)
		if (c->routes[i].route == route)
			return &c->routes[i];
	return NULL;
}

/* The old version's failures on a route, or on all routes if it has few answers
 * there. */
static void
count_old_failures(const struct rollout_counts *old, uint64_t route,
    uint32_t *bad, uint32_t *total)
{
	const struct rollout_route *r = find_route(old, route);

	if (r != NULL && r->answered >= OLD_ANSWERS_MIN) {
		*bad = r->failed;
		*total = r->answered;
		return;
	}
	*bad = (uint32_t)rollout_counts_failed(old);
	*total = (uint32_t)rollout_counts_answered(old);
}

static bool
fails_more_often(const struct rollout_route *r,
    const struct rollout_counts *old, double alpha, struct rollout_finding *f)
{
	double p;

	f->bad = r->failed;
	f->total = r->answered;
	count_old_failures(old, r->route, &f->old_bad, &f->old_total);
	if (f->bad < BAD_ANSWERS_MIN)
		return false;
	p = FAILURE_RATE_DEFAULT;
	if (f->old_total > 0)
		p = (double)f->old_bad / f->old_total * FAILURE_RATE_FACTOR +
		    FAILURE_RATE_MARGIN;
	return exceeds_rate(f->bad, f->total, p, alpha);
}

/* Number of answers in bucket @from and those above. */
static uint32_t
count_from_bucket(const struct rollout_route *r, uint32_t from)
{
	uint32_t i, sum = 0;

	for (i = from; i < ROLLOUT_BUCKETS; i++)
		sum += r->took[i];
	return sum;
}

/* Rate of answers in bucket @from and above that the slowest normal endpoint of
 * the old version would have. */
static double
expected_slow_rate(
    const struct rollout_route *old, uint32_t from, uint32_t timed)
{
	return (double)count_from_bucket(
		   old, from - MIN(from, HOST_SPEED_BUCKETS)) /
	    timed;
}

/* First bucket that counts as slow: the old version has few answers from there
 * on, and its slowest normal endpoint would have at most SLOW_RATE_MAX. */
static uint32_t
slow_threshold(const struct rollout_route *old, uint32_t timed)
{
	uint32_t i;

	for (i = 0; i < ROLLOUT_BUCKETS; i++)
		if (count_from_bucket(old, i) <= timed * OLD_SLOW_RATE_MAX &&
		    expected_slow_rate(old, i, timed) <= SLOW_RATE_MAX)
			break;
	return i;
}

/*
 * Counts the answers on a route that are slow by the old version's threshold,
 * and sets @p to the rate of slow answers that the slowest normal endpoint
 * would have.
 *
 * Return: false if either version has too few answers for a comparison.
 */
static bool
count_slow(const struct rollout_route *r, const struct rollout_counts *old,
    struct rollout_finding *f, double *p)
{
	const struct rollout_route *old_route = find_route(old, r->route);
	uint32_t from;

	if (old_route == NULL)
		return false;
	f->old_total = count_from_bucket(old_route, 0);
	f->total = count_from_bucket(r, 0);
	if (f->old_total < OLD_TIMED_ANSWERS_MIN)
		return false;
	from = slow_threshold(old_route, f->old_total);
	f->bad = count_from_bucket(r, from);
	f->old_bad = count_from_bucket(old_route, from);
	*p = (double)count_from_bucket(
		 old_route, from - MIN(from, HOST_SPEED_BUCKETS)) /
	    f->old_total;
	*p = MAX(*p, SLOW_RATE_MIN);
	return *p < 1;
}

static bool
is_slow(const struct rollout_route *r, const struct rollout_counts *old,
    double alpha, struct rollout_finding *f)
{
	double p;

	return count_slow(r, old, f, &p) && f->bad >= BAD_ANSWERS_MIN &&
	    exceeds_rate(f->bad, f->total, p, alpha);
}

/* Adds up all routes into a single one. */
static void
sum_routes(const struct rollout_counts *c, struct rollout_counts *sum)
{
	struct rollout_route *total = &sum->routes[0];
	uint32_t i, b;

	memset(sum, 0, sizeof(*sum));
	sum->n_routes = 1;
	total->route = ROUTE_ALL;
	for (i = 0; i < c->n_routes; i++) {
		total->answered += c->routes[i].answered;
		total->failed += c->routes[i].failed;
		for (b = 0; b < ROLLOUT_BUCKETS; b++)
			total->took[b] += c->routes[i].took[b];
	}
}

/* Finds slow answers that are spread over routes with few answers each. */
static bool
is_slow_overall(const struct rollout_counts *candidate,
    const struct rollout_counts *old, double alpha, struct rollout_finding *f)
{
	struct rollout_counts sum, old_sum;

	sum_routes(candidate, &sum);
	sum_routes(old, &old_sum);
	memset(f, 0, sizeof(*f));
	f->route = ROUTE_ALL;
	return is_slow(&sum.routes[0], &old_sum, alpha, f);
}

/* Finds failures that are spread over routes with few answers each. */
static bool
fails_overall(const struct rollout_counts *candidate,
    const struct rollout_counts *old, double alpha, struct rollout_finding *f)
{
	struct rollout_counts sum;

	sum_routes(candidate, &sum);
	memset(f, 0, sizeof(*f));
	f->route = ROUTE_ALL;
	return fails_more_often(&sum.routes[0], old, alpha, f);
}

static enum rollout_defect
judge_overall(const struct rollout_counts *candidate,
    const struct rollout_counts *old, double alpha,
    struct rollout_finding *finding)
{
	if (fails_overall(candidate, old, alpha, finding))
		finding->defect = ROLLOUT_FAILS;
	else if (is_slow_overall(candidate, old, alpha, finding))
		finding->defect = ROLLOUT_SLOW;
	else
		memset(finding, 0, sizeof(*finding));
	return finding->defect;
}

/* Whether @bad or fewer of @total are unlikely, each being bad with probability
 * @p. */
static bool
is_below_rate(uint32_t bad, uint32_t total, double p, double alpha)
{
	return p >= 1 || 1 - binomial_tail(bad + 1, total, p) < alpha;
}

static bool
failures_pass(const struct rollout_route *r, const struct rollout_counts *old,
    double alpha)
{
	uint32_t bad, total;
	double p = BAD_VERSION_RATE_EXCESS;

	count_old_failures(old, r->route, &bad, &total);
	if (total > 0)
		p += (double)bad / total;
	return is_below_rate(r->failed, r->answered, p, alpha);
}

/* Whether the old version has so many answers on a route that the new version
 * has to pass there. */
static bool
is_main_route(const struct rollout_counts *old, uint64_t route)
{
	const struct rollout_route *r = find_route(old, route);

	return r != NULL &&
	    (uint64_t)r->answered * MAIN_ROUTE_DIVISOR >=
	    rollout_counts_answered(old);
}

bool
rollout_judge_routes_pass(const struct rollout_counts *candidate,
    const struct rollout_counts *old, bool strictly)
{
	const struct rollout_route *r;
	uint32_t i;

	for (i = 0; i < candidate->n_routes; i++) {
		r = &candidate->routes[i];
		if (r->answered < PASS_ROUTE_ANSWERS_MIN) {
			if (strictly && is_main_route(old, r->route))
				return false;
			continue;
		}
		if (!failures_pass(r, old, PASS_ROUTE_ALPHA))
			return false;
	}
	return true;
}

bool
rollout_judge_passes(
    const struct rollout_counts *candidate, const struct rollout_counts *old)
{
	struct rollout_counts sum, old_sum;
	struct rollout_finding f;
	double p;

	sum_routes(candidate, &sum);
	sum_routes(old, &old_sum);
	if (!failures_pass(&sum.routes[0], old, PASS_ALPHA))
		return false;
	return !count_slow(&sum.routes[0], &old_sum, &f, &p) ||
	    is_below_rate(f.bad, f.total, SLOW_VERSION_RATE, PASS_ALPHA);
}

enum rollout_defect
rollout_judge(const struct rollout_counts *candidate,
    const struct rollout_counts *old, double alpha,
    struct rollout_finding *finding)
{
	const struct rollout_route *r;
	uint32_t i;

	for (i = 0; i < candidate->n_routes; i++) {
		r = &candidate->routes[i];
		memset(finding, 0, sizeof(*finding));
		finding->route = r->route;
		if (fails_more_often(r, old, alpha, finding))
			finding->defect = ROLLOUT_FAILS;
		else if (is_slow(r, old, alpha, finding))
			finding->defect = ROLLOUT_SLOW;
		if (finding->defect != ROLLOUT_SOUND)
			return finding->defect;
	}
	return judge_overall(candidate, old, alpha, finding);
}
