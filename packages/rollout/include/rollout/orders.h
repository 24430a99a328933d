/*
 * Orders: the newest rollout of each service, and which version is current.
 *
 * An order has one phase at a time; of two nodes' views the higher order wins,
 * of one order the later phase.  A decision module: no socket, clock, thread,
 * random source or log call.
 */
#ifndef ROLLOUT_ORDERS_H
#define ROLLOUT_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.h"

/* Longest version and service, zero included. */
#define ROLLOUT_VERSION_BYTES (REC_ROLLOUT_ORDER_TO_MAX + 1)
#define ROLLOUT_SERVICE_BYTES (REC_ROLLOUT_ORDER_SERVICE_MAX + 1)
#define ROLLOUT_REASON_BYTES (REC_ROLLOUT_ORDER_REASON_MAX + 1)

/* Longest name of a host, zero included. */
#define ROLLOUT_HOST_BYTES (REC_ROLLOUT_ORDER_EXCLUDED_MAX + 1)

/**
 * struct rollout - the newest order of a service
 * @service: the service
 * @from: version that was current when it came
 * @to: version that is to be current
 * @order: its number; a later order of the service has a higher one
 * @phase: how far it is
 * @deadline_ms: when it is to be completed or rolled back, monotonic
 * @duration_ms: time that the operators gave it
 * @reason: why it is in its phase
 * @excluded: host of an endpoint that gets nothing more in its trial, or empty;
 *of one phase an order with one is the newer
 * @share_milli: share of the requests for the new version in 1,000, 0 for the
 *	usual one; likewise
 */
struct rollout {
	char service[ROLLOUT_SERVICE_BYTES];
	char from[ROLLOUT_VERSION_BYTES];
	char to[ROLLOUT_VERSION_BYTES];
	uint64_t order;
	enum rollout_phase phase;
	uint64_t deadline_ms;
	uint64_t duration_ms;
	char reason[ROLLOUT_REASON_BYTES];
	char excluded[ROLLOUT_HOST_BYTES];
	uint32_t share_milli;
};

/** rollout_is_over() - whether it is completed or rolled back, and written */
static inline bool
rollout_is_over(const struct rollout *r)
{
	return r->phase >= ROLLOUT_ROLLED_BACK;
}

/** rollout_current() - the version that gets requests by this order */
const char *rollout_current(const struct rollout *r);

/** rollout_candidate() - the version that is tried, or "" */
const char *rollout_candidate(const struct rollout *r);

/**
 * rollout_version_compare() - compare versions: numbers in them as numbers
 *
 * Return: less than, equal to or greater than 0 as strcmp() does.
 */
int rollout_version_compare(const char *a, const char *b);

struct rollout_orders;

/** rollout_orders_new() - none is known; free with rollout_orders_free() */
struct rollout_orders *rollout_orders_new(void);

/** rollout_orders_free() - free them; NULL is allowed */
void rollout_orders_free(struct rollout_orders *o);

/**
 * rollout_orders_merge() - an order, or a phase of it, became known
 *
 * Return: the order as it is held now, NULL when it was no news.
 */
struct rollout *
rollout_orders_merge(struct rollout_orders *o, const struct rollout *r);

/** rollout_orders_find() - the newest order of a service, or NULL */
struct rollout *
rollout_orders_find(const struct rollout_orders *o, const char *service);

/** rollout_orders_count() - services with an order */
uint32_t rollout_orders_count(const struct rollout_orders *o);

/** rollout_orders_at() - order number @i, in the order of their services */
struct rollout *rollout_orders_at(const struct rollout_orders *o, uint32_t i);

/** rollout_orders_digest() - a number over all orders and phases, 0 for none */
uint64_t rollout_orders_digest(const struct rollout_orders *o);

/**
 * rollout_orders_current() - which version of a service gets requests
 * @o: the orders
 * @service: the service
 * @versions: versions of its endpoints, in any order, with repeats
 * @n: number of @versions
 *
 * By its newest order, if there is one.  Without one the version that had
 * them before keeps them while it has an endpoint; else the lowest one gets
 * them, since a version that nobody has heard an order for is a new one.  A
 * version that was rolled back is never chosen so.
 *
 * Return: the version, valid until the next call for the service; NULL when
 * there is none.
 */
const char *rollout_orders_current(struct rollout_orders *o,
    const char *service, const char *const *versions, uint32_t n);

#endif
