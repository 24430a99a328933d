/*
 * Arrival schedule of the load generator: a Poisson process computed from a
 * seed before the run, so that slow responses do not reduce the load.
 */
#ifndef STANDINS_SCHEDULE_H
#define STANDINS_SCHEDULE_H

#include <stdint.h>

#include <glib.h>

#include "standins/outcomes.h"

/**
 * struct schedule_spec - parameters of a schedule
 * @seed: seed of the random numbers
 * @rate: calls per second
 * @duration_us: length of the run
 * @mix: weight of each kind of call
 * @nodes: number of nodes that calls are distributed over
 * @keyed_percent: percentage of bookings with an idempotency key
 * @leave_percent: percentage of calls whose caller leaves before its response
 * @leave_max_ms: latest time after which such a caller leaves
 * @twin_percent: percentage of keyed bookings sent twice at the same time,
 *	through two nodes with the same key
 */
struct schedule_spec {
	uint64_t seed;
	double rate;
	uint64_t duration_us;
	uint32_t mix[CALL_KINDS];
	uint32_t nodes;
	uint32_t keyed_percent;
	uint32_t twin_percent;
	uint32_t leave_percent;
	uint32_t leave_max_ms;
};

/**
 * struct arrival - a scheduled call
 * @at_us: scheduled time since the start of the run
 * @kind: kind of the call
 * @node: index of the node that the call is sent to
 * @key: number of the idempotency key, or 0 for none
 * @leave_ms: time after which the caller leaves, or 0 if it stays
 */
struct arrival {
	uint64_t at_us;
	enum call_kind kind;
	uint32_t node;
	uint32_t key;
	uint32_t leave_ms;
};

/**
 * schedule_new() - compute a schedule
 * @s: parameters
 *
 * Return: a new array of struct arrival, sorted by time.
 */
GArray *schedule_new(const struct schedule_spec *s);

#endif
