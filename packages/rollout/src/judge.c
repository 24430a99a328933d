/*
 * Compares answers of two versions by the tail of a binomial distribution.
 */
#include "rollout/judge.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Fewer bad answers than this are no pattern, whatever their share. */
#define BAD_LEAST 4

/* Answers of the old version on a route from which its share is known; below
 * that the share on all routes stands in. */
#define OLD_LEAST 10

/* Answers that give the old version's times. */
#define OLD_TIMED_LEAST 20

/* A new version may fail half as often again as the old one, and by 3 in 100
 * more: endpoints differ by so much in what their calls meet. */
#define FAILED_FACTOR 1.5
#define FAILED_MARGIN 0.03

/* Assumed where the old version has answered nothing. */
#define FAILED_UNKNOWN 0.1

/* A bad version fails this much more often than the old one; one is cleared
 * once so few failures of such a version would be this unlikely. */
#define BAD_SHARE 0.3
#define CLEAR_CHANCE 0.05

/* A route with so many answers is cleared by itself, with a weaker proof: most
 * versions are alike on all routes. */
#define CLEAR_LEAST 14
#define CLEAR_ROUTE_CHANCE 0.2

/* A route with this part of the old version's answers is a main one. */
#define MAIN_PART 6

/* Share of its answers that are slow, by the old version's measure, where a
 * version is several times slower. */
#define SLOW_BAD_SHARE 0.5

/* Most of the old version's answers that count as slow. */
#define SLOW_SHARE 0.05

/* Endpoints of one service differ in speed by up to two times, two buckets.
 */
#define SPEED_BUCKETS 2
#define SLOW_LEAST_SHARE 0.05
#define SLOW_EXPECTED_MOST 0.5

/* No route: all of them. */
#define ROUTE_NONE UINT64_MAX

const char *
rollout_defect_name(enum rollout_defect d)
{
	static const char *const names[] = {"sound", "failures", "slow"};

	return (size_t)d < G_N_ELEMENTS(names) ? names[d] : "?";
}

/* Probability of @k or more of @n where each has probability @p. */
static double
tail(uint32_t k, uint32_t n, double p)
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

/* Whether @bad or more of @of are unlikely where each is bad with chance @p. */
static bool
is_too_many(uint32_t bad, uint32_t of, double p, double chance)
{
	return p < 1 && bad > of * p && tail(bad, of, p) < chance;
}

static const struct rollout_route *
find(const struct rollout_counts *c, uint64_t route)
{
	uint32_t i;

	for (i = 0; i < c->n_routes; i++)
		if (c->routes[i].route == route)
			return &c->routes[i];
	return NULL;
}

/* The old version's failures: on the route, or on all while it has few. */
static void
old_failures(const struct rollout_counts *old, uint64_t route, uint32_t *bad,
    uint32_t *of)
{
	const struct rollout_route *r = find(old, route);

	if (r != NULL && r->answered >= OLD_LEAST) {
		*bad = r->failed;
		*of = r->answered;
		return;
	}
	*bad = (uint32_t)rollout_counts_failed(old);
	*of = (uint32_t)rollout_counts_answered(old);
}

static bool
fails(const struct rollout_route *r, const struct rollout_counts *old,
    double chance, struct rollout_finding *f)
{
	double p;

	f->bad = r->failed;
	f->of = r->answered;
	old_failures(old, r->route, &f->old_bad, &f->old_of);
	if (f->bad < BAD_LEAST)
		return false;
	p = FAILED_UNKNOWN;
	if (f->old_of > 0)
		p = (double)f->old_bad / f->old_of * FAILED_FACTOR +
		    FAILED_MARGIN;
	return is_too_many(f->bad, f->of, p, chance);
}

/* Answers in the buckets from @from on. */
static uint32_t
slower(const struct rollout_route *r, uint32_t from)
{
	uint32_t i, sum = 0;

	for (i = from; i < ROLLOUT_BUCKETS; i++)
		sum += r->took[i];
	return sum;
}

/* The share of slow answers, those from the bucket @from on, that an endpoint
 * as slow as endpoints may be would give. */
static double
slow_share(const struct rollout_route *old, uint32_t from, uint32_t timed)
{
	return (double)slower(old, from - MIN(from, SPEED_BUCKETS)) / timed;
}

/* The first bucket from which on the old version has few answers, and would
 * have no more than a part on such an endpoint. */
static uint32_t
slow_from(const struct rollout_route *old, uint32_t timed)
{
	uint32_t i;

	for (i = 0; i < ROLLOUT_BUCKETS; i++)
		if (slower(old, i) <= timed * SLOW_SHARE &&
		    slow_share(old, i, timed) <= SLOW_EXPECTED_MOST)
			break;
	return i;
}

/*
 * Answers of a route that are slow for the old version, and the share @p of
 * such that an endpoint as slow as endpoints may be would give.
 *
 * Return: false where too little was answered to tell.
 */
static bool
measure_slow(const struct rollout_route *r, const struct rollout_counts *old,
    struct rollout_finding *f, double *p)
{
	const struct rollout_route *before = find(old, r->route);
	uint32_t from;

	if (before == NULL)
		return false;
	f->old_of = slower(before, 0);
	f->of = slower(r, 0);
	if (f->old_of < OLD_TIMED_LEAST)
		return false;
	from = slow_from(before, f->old_of);
	f->bad = slower(r, from);
	f->old_bad = slower(before, from);
	*p =
	    (double)slower(before, from - MIN(from, SPEED_BUCKETS)) / f->old_of;
	*p = MAX(*p, SLOW_LEAST_SHARE);
	return *p < 1;
}

static bool
is_slow(const struct rollout_route *r, const struct rollout_counts *old,
    double chance, struct rollout_finding *f)
{
	double p;

	return measure_slow(r, old, f, &p) && f->bad >= BAD_LEAST &&
	    is_too_many(f->bad, f->of, p, chance);
}

/* The answers of all routes as those of one. */
static void
sum_routes(const struct rollout_counts *c, struct rollout_counts *sum)
{
	struct rollout_route *all = &sum->routes[0];
	uint32_t i, b;

	memset(sum, 0, sizeof(*sum));
	sum->n_routes = 1;
	all->route = ROUTE_NONE;
	for (i = 0; i < c->n_routes; i++) {
		all->answered += c->routes[i].answered;
		all->failed += c->routes[i].failed;
		for (b = 0; b < ROLLOUT_BUCKETS; b++)
			all->took[b] += c->routes[i].took[b];
	}
}

/* Slow answers that are spread over routes with few answers each. */
static bool
all_are_slow(const struct rollout_counts *fresh,
    const struct rollout_counts *old, double chance, struct rollout_finding *f)
{
	struct rollout_counts all, all_old;

	sum_routes(fresh, &all);
	sum_routes(old, &all_old);
	memset(f, 0, sizeof(*f));
	f->route = ROUTE_NONE;
	return is_slow(&all.routes[0], &all_old, chance, f);
}

/* Failures that are spread over routes with few answers each. */
static bool
all_fail(const struct rollout_counts *fresh, const struct rollout_counts *old,
    double chance, struct rollout_finding *f)
{
	struct rollout_counts all;

	sum_routes(fresh, &all);
	memset(f, 0, sizeof(*f));
	f->route = ROUTE_NONE;
	return fails(&all.routes[0], old, chance, f);
}

static enum rollout_defect
judge_all(const struct rollout_counts *fresh, const struct rollout_counts *old,
    double chance, struct rollout_finding *finding)
{
	if (all_fail(fresh, old, chance, finding))
		finding->defect = ROLLOUT_FAILS;
	else if (all_are_slow(fresh, old, chance, finding))
		finding->defect = ROLLOUT_SLOW;
	else
		memset(finding, 0, sizeof(*finding));
	return finding->defect;
}

/* Whether @bad or fewer of @of are unlikely where each is bad with chance @p.
 */
static bool
is_too_few(uint32_t bad, uint32_t of, double p, double chance)
{
	return p >= 1 || 1 - tail(bad + 1, of, p) < chance;
}

static bool
clears_failures(const struct rollout_route *r, const struct rollout_counts *old,
    double chance)
{
	uint32_t bad, of;
	double p = BAD_SHARE;

	old_failures(old, r->route, &bad, &of);
	if (of > 0)
		p += (double)bad / of;
	return is_too_few(r->failed, r->answered, p, chance);
}

/* Whether the old version has so much on a route that it must be cleared. */
static bool
is_main(const struct rollout_counts *old, uint64_t route)
{
	const struct rollout_route *r = find(old, route);

	return r != NULL &&
	    (uint64_t)r->answered * MAIN_PART >= rollout_counts_answered(old);
}

bool
rollout_clears_routes(const struct rollout_counts *fresh,
    const struct rollout_counts *old, bool strictly)
{
	const struct rollout_route *r;
	uint32_t i;

	for (i = 0; i < fresh->n_routes; i++) {
		r = &fresh->routes[i];
		if (r->answered < CLEAR_LEAST) {
			if (strictly && is_main(old, r->route))
				return false;
			continue;
		}
		if (!clears_failures(r, old, CLEAR_ROUTE_CHANCE))
			return false;
	}
	return true;
}

bool
rollout_clears(
    const struct rollout_counts *fresh, const struct rollout_counts *old)
{
	struct rollout_counts all, all_old;
	struct rollout_finding f;
	double p;

	sum_routes(fresh, &all);
	sum_routes(old, &all_old);
	if (!clears_failures(&all.routes[0], old, CLEAR_CHANCE))
		return false;
	return !measure_slow(&all.routes[0], &all_old, &f, &p) ||
	    is_too_few(f.bad, f.of, SLOW_BAD_SHARE, CLEAR_CHANCE);
}

enum rollout_defect
rollout_judge(const struct rollout_counts *fresh,
    const struct rollout_counts *old, double chance,
    struct rollout_finding *finding)
{
	const struct rollout_route *r;
	uint32_t i;

	for (i = 0; i < fresh->n_routes; i++) {
		r = &fresh->routes[i];
		memset(finding, 0, sizeof(*finding));
		finding->route = r->route;
		if (fails(r, old, chance, finding))
			finding->defect = ROLLOUT_FAILS;
		else if (is_slow(r, old, chance, finding))
			finding->defect = ROLLOUT_SLOW;
		if (finding->defect != ROLLOUT_SOUND)
			return finding->defect;
	}
	return judge_all(fresh, old, chance, finding);
}
