/*
 * Patience: how long ago the caller of a request first asked, as far as its
 * deadline tells.  Callers of one route are equally patient, so one with less
 * time left than others had is back.
 */
#ifndef TRAFFIC_PATIENCE_H
#define TRAFFIC_PATIENCE_H

#include <stdint.h>

struct patience;

/** patience_new() - no routes yet */
struct patience *patience_new(void);

/** patience_free() - free it; NULL is allowed */
void patience_free(struct patience *p);

/**
 * patience_elapsed_ms() - how long ago a caller first asked
 * @p: what is known of the routes
 * @route: number of the route, such as a hash of what it matches
 * @left_ms: time that the caller has left
 *
 * Return: milliseconds; 0 for the first caller of a route that isn't known.
 */
uint64_t
patience_elapsed_ms(struct patience *p, uint64_t route, uint64_t left_ms);

#endif
