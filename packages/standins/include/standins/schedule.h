/*
 * Arrival schedule of the load generator: a Poisson stream worked out before
 * the run from a seed, so that slow answers don't thin the load.
 */
#ifndef STANDINS_SCHEDULE_H
#define STANDINS_SCHEDULE_H

#include <stdint.h>

#include <glib.h>

#include "standins/outcomes.h"

/**
 * struct schedule_spec - what to schedule
 * @seed: seed of the stream
 * @rate: calls a second
 * @duration_us: length of the run
 * @mix: weight of each kind of call
 * @nodes: number of nodes that calls are spread over
 * @keyed_percent: share of the bookings that carry an idempotency key
 * @twin_percent: share of the keyed bookings that are sent through two nodes
 *	at once under one key
 */
struct schedule_spec {
	uint64_t seed;
	double rate;
	uint64_t duration_us;
	uint32_t mix[CALL_KINDS];
	uint32_t nodes;
	uint32_t keyed_percent;
	uint32_t twin_percent;
};

/**
 * struct arrival - one call to be made
 * @at_us: when, since the start of the run
 * @kind: what is asked
 * @node: index of the node that it is sent to
 * @key: number of its idempotency key, or 0 for none
 */
struct arrival {
	uint64_t at_us;
	enum call_kind kind;
	uint32_t node;
	uint32_t key;
};

/**
 * schedule_new() - work out a schedule
 * @s: what to schedule
 *
 * Return: a new array of struct arrival in the order of time.
 */
GArray *schedule_new(const struct schedule_spec *s);

#endif
