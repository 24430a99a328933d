/*
 * Split: which of the services that share a route by weight gets a request.
 *
 * Smooth weighted round robin: each entry keeps the shares by itself, exactly
 * over any run of requests as long as the sum of the weights, so that they
 * hold over all entries too and within short spans.  Nothing is moved from a
 * service that is short of room to another.
 */
#ifndef TRAFFIC_SPLIT_H
#define TRAFFIC_SPLIT_H

#include <stdint.h>

/* Most services that share a route. */
#define SPLIT_PARTS_MAX 256

/**
 * struct split_part - a service's part
 * @service: see service_id()
 * @weight: its share, above 0
 */
struct split_part {
	uint64_t service;
	uint32_t weight;
};

struct split_table;

/**
 * split_table_new() - no routes yet
 * @seed: where each route's rounds begin differs from entry to entry, so that
 *	many entries with few requests each don't all begin with one service
 */
struct split_table *split_table_new(uint64_t seed);

/** split_table_free() - free it; NULL is allowed */
void split_table_free(struct split_table *t);

/**
 * split_choose() - the part that gets the next request of a route
 * @t: the table
 * @route: number of the route, such as a hash of what it matches
 * @parts: its parts; when they differ from those before, the rounds begin anew
 * @n: number of parts, from 1 to SPLIT_PARTS_MAX
 *
 * Return: index of the part.
 */
uint32_t split_choose(struct split_table *t, uint64_t route,
    const struct split_part *parts, uint32_t n);

#endif
