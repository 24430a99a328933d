/*
 * Split: chooses the service for a request on a weighted route.
 *
 * Uses smooth weighted round robin.  Each entry keeps the weights on its own,
 * exactly over each run of as many requests as the sum of the weights, so that
 * the shares also hold over all entries and within short intervals.  A request
 * is never moved away from a service that lacks capacity.
 */
#ifndef TRAFFIC_SPLIT_H
#define TRAFFIC_SPLIT_H

#include <stdint.h>

/* Maximum number of services on one route. */
#define SPLIT_PARTS_MAX 256

/**
 * struct split_part - one service of a weighted route
 * @service: see service_id()
 * @weight: weight of the service, above 0
 */
struct split_part {
	uint64_t service;
	uint32_t weight;
};

struct split_table;

/**
 * split_table_new() - create an empty table of routes
 * @seed: varies the point at which each route's round begins from entry to
 *	entry, so that many entries with few requests each don't all begin with
 *	the same service
 */
struct split_table *split_table_new(uint64_t seed);

/** split_table_free() - free the table; NULL is allowed */
void split_table_free(struct split_table *t);

/**
 * split_choose() - choose the service for the next request of a route
 * @t: the table
 * @route: number of the route, such as a hash of its match rule
 * @parts: services of the route; a change restarts the round
 * @n: number of @parts, from 1 to SPLIT_PARTS_MAX
 *
 * Return: index into @parts.
 */
uint32_t split_choose(struct split_table *t, uint64_t route,
    const struct split_part *parts, uint32_t n);

#endif
