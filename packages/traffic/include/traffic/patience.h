/*
 * Patience: estimates the time since a caller's first attempt from its
 * remaining deadline.
 *
 * The callers of one route are assumed to use the same timeout.  A caller with
 * less time left than the longest time seen on its route has therefore
 * retried.
 */
#ifndef TRAFFIC_PATIENCE_H
#define TRAFFIC_PATIENCE_H

#include <stdint.h>

struct patience;

/** patience_new() - create an empty table of routes */
struct patience *patience_new(void);

/** patience_free() - free the table; NULL is allowed */
void patience_free(struct patience *p);

/**
 * patience_elapsed_ms() - estimated time since a caller's first attempt
 * @p: the table of routes
 * @route: number of the route, such as a hash of its match rule
 * @left_ms: time until the caller's deadline
 *
 * Return: milliseconds; 0 for the first caller of an unknown route.
 */
uint64_t
patience_elapsed_ms(struct patience *p, uint64_t route, uint64_t left_ms);

#endif
