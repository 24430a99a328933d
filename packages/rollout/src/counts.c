/*
 * Per-route counts of an endpoint's answers.
 */
#include "rollout/counts.h"

#include <string.h>

#include <glib.h>

/* Upper bound of the first bucket; each next bound is larger by the square root
 * of two, about 181 / 128. */
#define FIRST_BUCKET_US 4000
#define STEP_NUMERATOR 181
#define STEP_DENOMINATOR 128

static uint32_t
bucket_of(uint64_t took_us)
{
	uint64_t bound_us = FIRST_BUCKET_US;
	uint32_t i;

	for (i = 0; i < ROLLOUT_BUCKETS - 1 && took_us > bound_us; i++)
		bound_us = bound_us * STEP_NUMERATOR / STEP_DENOMINATOR;
	return i;
}

static void
merge_route(struct rollout_route *to, const struct rollout_route *from)
{
	uint32_t b;

	to->answered += from->answered;
	to->failed += from->failed;
	for (b = 0; b < ROLLOUT_BUCKETS; b++)
		to->took[b] += from->took[b];
}

static struct rollout_route *
append_route(struct rollout_counts *c, uint64_t route)
{
	struct rollout_route *r = &c->routes[c->n_routes++];

	memset(r, 0, sizeof(*r));
	r->route = route;
	return r;
}

/* Reuses the entry of the route with the fewest answers, which move to the
 * shared entry: busy routes keep entries of their own. */
static struct rollout_route *
evict_smallest(struct rollout_counts *c, uint64_t route)
{
	struct rollout_route *smallest = &c->routes[1];
	uint32_t i;

	for (i = 2; i < c->n_routes; i++)
		if (c->routes[i].answered < smallest->answered)
			smallest = &c->routes[i];
	merge_route(&c->routes[0], smallest);
	memset(smallest, 0, sizeof(*smallest));
	smallest->route = route;
	return smallest;
}

/* Entry of a route, added if there is none. Entry 0 is the shared one. */
static struct rollout_route *
get_route(struct rollout_counts *c, uint64_t route)
{
	uint32_t i;

	if (c->n_routes == 0)
		(void)append_route(c, 0);
	for (i = 0; i < c->n_routes; i++)
		if (c->routes[i].route == route)
			return &c->routes[i];
	if (c->n_routes < ROLLOUT_ROUTES_MAX)
		return append_route(c, route);
	return evict_smallest(c, route);
}

void
rollout_counts_record(
    struct rollout_counts *c, uint64_t route, bool failed, uint64_t took_us)
{
	struct rollout_route *r = get_route(c, route);

	r->answered++;
	if (failed)
		r->failed++;
	else
		r->took[bucket_of(took_us)]++;
}

void
rollout_counts_add(
    struct rollout_counts *sum, const struct rollout_counts *other)
{
	uint32_t i;

	for (i = 0; i < other->n_routes; i++)
		merge_route(
		    get_route(sum, other->routes[i].route), &other->routes[i]);
}

static uint32_t
subtract_clamped(uint32_t now, uint32_t before)
{
	return now - MIN(now, before);
}

void
rollout_counts_subtract(
    struct rollout_counts *c, const struct rollout_counts *earlier)
{
	const struct rollout_route *before;
	struct rollout_route *r;
	uint32_t i, b;

	for (i = 0; i < earlier->n_routes; i++) {
		before = &earlier->routes[i];
		r = get_route(c, before->route);
		r->answered = subtract_clamped(r->answered, before->answered);
		r->failed = subtract_clamped(r->failed, before->failed);
		for (b = 0; b < ROLLOUT_BUCKETS; b++)
			r->took[b] =
			    subtract_clamped(r->took[b], before->took[b]);
	}
}

uint64_t
rollout_counts_answered(const struct rollout_counts *c)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < c->n_routes; i++)
		sum += c->routes[i].answered;
	return sum;
}

uint64_t
rollout_counts_failed(const struct rollout_counts *c)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < c->n_routes; i++)
		sum += c->routes[i].failed;
	return sum;
}
