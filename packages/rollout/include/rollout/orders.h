/*
 * Orders: the newest rollout order of each service, and the version that serves
 * requests.
 *
 * An order is in one phase at a time. When two nodes differ, the order with the
 * higher number wins, and of the same order the later phase. A decision module:
 * no socket, clock, thread, random source or log call.
 */
#ifndef ROLLOUT_ORDERS_H
#define ROLLOUT_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "proto/messages.h"

/* Size of a version, service and reason, terminating zero included. */
#define ROLLOUT_VERSION_BYTES (REC_ROLLOUT_ORDER_TO_MAX + 1)
#define ROLLOUT_SERVICE_BYTES (REC_ROLLOUT_ORDER_SERVICE_MAX + 1)
#define ROLLOUT_REASON_BYTES (REC_ROLLOUT_ORDER_REASON_MAX + 1)

/* Size of a host's name, terminating zero included. */
#define ROLLOUT_HOST_BYTES (REC_ROLLOUT_ORDER_EXCLUDED_MAX + 1)

/**
 * struct rollout - the newest order of a service
 * @service: the service
 * @from: version that served requests when the order was given
 * @to: version that is to serve requests
 * @order: number of the order; a later order of the service has a higher one
 * @phase: current phase
 * @deadline_ms: monotonic time by which the order is completed or rolled back
 * @duration_ms: time that the operators allowed for the order
 * @reason: why the order is in its phase
 * @excluded: host of an endpoint that receives no more requests during the
 *	trial, or empty; of two orders in the same phase the one with a host is
 *	newer
 * @share_milli: share of the requests for the new version in 1,000, 0 for the
 *	default; of two orders in the same phase the one with a share is newer
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

/** rollout_is_over() - whether an order is completed or rolled back, and its
 * outcome stored */
static inline bool
rollout_is_over(const struct rollout *r)
{
	return r->phase >= ROLLOUT_ROLLED_BACK;
}

/** rollout_current() - the version that serves requests under this order */
const char *rollout_current(const struct rollout *r);

/** rollout_candidate() - the version on trial, or "" */
const char *rollout_candidate(const struct rollout *r);

/**
 * rollout_version_compare() - compare two versions; digits in them compare as
 * numbers
 *
 * Return: less than, equal to or greater than 0, like strcmp().
 */
int rollout_version_compare(const char *a, const char *b);

struct rollout_orders;

/** rollout_orders_new() - create an empty set; free with rollout_orders_free()
 */
struct rollout_orders *rollout_orders_new(void);

/** rollout_orders_free() - free a set of orders; NULL is allowed */
void rollout_orders_free(struct rollout_orders *o);

/**
 * rollout_orders_merge() - merge an order, or a phase of it, into the set
 *
 * Return: the order as stored now, NULL if it was not newer.
 */
struct rollout *
rollout_orders_merge(struct rollout_orders *o, const struct rollout *r);

/** rollout_orders_find() - the newest order of a service, or NULL */
struct rollout *
rollout_orders_find(const struct rollout_orders *o, const char *service);

/** rollout_orders_count() - number of services with an order */
uint32_t rollout_orders_count(const struct rollout_orders *o);

/** rollout_orders_at() - order at index @i, sorted by service */
struct rollout *rollout_orders_at(const struct rollout_orders *o, uint32_t i);

/** rollout_orders_digest() - digest of all orders and phases, 0 if there are
 * none */
uint64_t rollout_orders_digest(const struct rollout_orders *o);

/**
 * rollout_orders_current() - the version of a service that serves requests
 * @o: the orders
 * @service: the service
 * @versions: versions of its endpoints, in any order, with repetitions
 * @n: number of @versions
 *
 * The newest order decides, if there is one. Without an order the version that
 * served before keeps serving while it has an endpoint; otherwise the lowest
 * version does, since a version that appears without an order is a new one. A
 * version that was rolled back is never chosen in this way.
 *
 * Return: the version, valid until the next call for the service; NULL if there
 * is none.
 */
const char *rollout_orders_current(struct rollout_orders *o,
    const char *service, const char *const *versions, uint32_t n);

#endif
