/*
 * Guard: the part of the traffic thread that takes calls from the entries of
 * all nodes for the endpoints of this host, and hands them to the upstreams.
 *
 * It feeds the decisions of package traffic (admission, fates, frame age)
 * with what happens and carries out what they answer.
 */
#ifndef NODE_GUARD_H
#define NODE_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/status.h"
#include "config/endpoints.h"
#include "config/service.h"
#include "proto/addr.h"

struct call_dialect;
struct guard;
struct loop;
struct quarantine;
struct quarantine_item;
struct rollout_counts;
struct settings;

/* Longest name of an instance, zero included. */
#define GUARD_INSTANCE_BYTES 64

/**
 * struct guard_endpoint - an upstream of this host
 * @service: name of the service
 * @instance: the upstream's name for this run of it; empty when not told
 * @port: port that the upstream listens on, at this host's own address
 * @slots: requests that it may run at once
 * @state: what it said of itself
 * @limits: limits of the service, from the snapshot in force
 * @order: number of the rollout during which its answers are counted, 0 for
 * none
 */
struct guard_endpoint {
	char service[SERVICE_NAME_BYTES];
	char instance[GUARD_INSTANCE_BYTES];
	uint16_t port;
	uint32_t slots;
	enum serving_state state;
	struct service_limits limits;
	uint64_t order;
};

/**
 * guard_new() - make a guard
 * @s: settings of the node; must outlive the guard
 * @dialect: how upstreams are spoken to; must outlive the guard
 * @incarnation: incarnation of this process, told to entries
 * @loop: loop of the traffic thread
 */
struct guard *
guard_new(const struct settings *s, const struct call_dialect *dialect,
    uint64_t incarnation, struct loop *loop);

/**
 * guard_start() - listen on the call port, before the thread starts
 * @g: the guard
 *
 * Return: STATUS_OK, or STATUS_IO when the port can't be bound.
 */
enum status guard_start(struct guard *g);

/** guard_addr() - address that is listened on, after guard_start() */
struct net_addr guard_addr(const struct guard *g);

/**
 * guard_set_endpoints() - tell the guard which endpoints this host has
 * @g: the guard
 * @endpoints: all of them; copied; those left out are drained: what runs
 *	ends, nothing new starts
 * @n_endpoints: number of endpoints
 *
 * Any thread may call it.
 */
void guard_set_endpoints(struct guard *g,
    const struct guard_endpoint *endpoints, uint32_t n_endpoints);

/**
 * guard_counts() - what an upstream here has answered during a rollout
 * @g: the guard
 * @service: its service
 * @order: number of the rollout
 * @counts: where they go
 *
 * Any thread may call it.
 *
 * Return: whether its answers are counted for that rollout.
 */
bool guard_counts(struct guard *g, const char *service, uint64_t order,
    struct rollout_counts *counts);

/**
 * guard_is_serving() - whether an upstream here takes requests
 *
 * Any thread may call it.
 */
bool guard_is_serving(const struct guard *g);

/**
 * guard_announce_stop() - the node will stop, requests are still taken
 * @g: the guard
 * @deadline_ms: monotonic time at which what still runs will be given up
 *
 * Any thread may call it.  Non-idempotent requests that could be given up are
 * refused from now on, and run elsewhere.
 */
void guard_announce_stop(struct guard *g, uint64_t deadline_ms);

/**
 * guard_drain() - take no new call from now on
 * @g: the guard
 * @deadline_ms: monotonic time at which what still runs is given up
 *
 * Any thread may call it.  Follow guard_in_flight() down to 0.
 */
void guard_drain(struct guard *g, uint64_t deadline_ms);

/**
 * guard_log_aborted() - log the requests that the end of the process gives up
 *
 * Any thread may call it, before the traffic thread is stopped.
 */
void guard_log_aborted(struct guard *g);

/**
 * guard_in_flight() - calls that are not ended, answers in the output
 * buffers of connections included
 */
uint32_t guard_in_flight(const struct guard *g);

/** guard_publish_fn - all nodes are to know @item; called by the guard's thread
 */
typedef void guard_publish_fn(const struct quarantine_item *item, void *arg);

/** guard_set_publish() - who passes on what all nodes are to know; before
 * guard_start() */
void guard_set_publish(struct guard *g, guard_publish_fn *publish, void *arg);

/** guard_apply_quarantine_item() - a peer, or an operator, tells; any thread
 * may call it */
void guard_apply_quarantine_item(
    struct guard *g, const struct quarantine_item *item);

/**
 * guard_quarantine_list() - quarantined requests
 * @g: the guard
 * @out: struct quarantine_entry are appended
 *
 * Any thread may call it.
 */
void guard_quarantine_list(struct guard *g, GArray *out);

/** guard_quarantine() - the decision, for the entry in the same thread */
struct quarantine *guard_quarantine(struct guard *g);

/** guard_free() - free it, once its thread has stopped; NULL is allowed */
void guard_free(struct guard *g);

#endif
