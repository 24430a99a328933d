/*
 * Guard: the part of the traffic thread that receives calls from the entries
 * of all nodes for the endpoints of this host, and forwards them to the
 * upstreams.
 *
 * The guard passes events to the state machines of package traffic
 * (admission, fates, frame age) and carries out their decisions.
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

/**
 * struct guard_endpoint - an upstream of this host
 * @service: name of the service
 * @instance: name that the upstream gave its current run, interned; empty if
 *	unknown
 * @started_ms: start time of that run by the upstream's clock, 0 if unknown
 * @port: port that the upstream listens on, at this host's own address
 * @slots: maximum number of requests that run concurrently
 * @state: state that the upstream reported
 * @limits: limits of the service, from the snapshot in force
 * @order: number of the rollout for which its answers are counted, 0 for none
 */
struct guard_endpoint {
	char service[SERVICE_NAME_BYTES];
	const char *instance;
	uint64_t started_ms;
	uint16_t port;
	uint32_t slots;
	enum serving_state state;
	struct service_limits limits;
	uint64_t order;
};

/**
 * guard_new() - create a guard
 * @s: settings of the node; must outlive the guard
 * @dialect: headers exchanged with upstreams; must outlive the guard
 * @incarnation: incarnation of this process, sent to entries
 * @loop: event loop of the traffic thread
 */
struct guard *
guard_new(const struct settings *s, const struct call_dialect *dialect,
    uint64_t incarnation, struct loop *loop);

/**
 * guard_start() - listen on the call port; call before the thread starts
 * @g: the guard
 *
 * Return: STATUS_OK, or STATUS_IO if the port can't be bound.
 */
enum status guard_start(struct guard *g);

/** guard_addr() - listening address; valid after guard_start() */
struct net_addr guard_addr(const struct guard *g);

/**
 * guard_set_endpoints() - replace the list of this host's endpoints
 * @g: the guard
 * @endpoints: all endpoints; copied.  An endpoint that is missing from the
 *	list is drained: its running requests finish and no new one starts
 * @n_endpoints: number of endpoints
 *
 * Any thread may call this function.
 */
void guard_set_endpoints(struct guard *g,
    const struct guard_endpoint *endpoints, uint32_t n_endpoints);

/**
 * guard_counts() - answers of an upstream of this host during a rollout
 * @g: the guard
 * @service: service of the upstream
 * @order: number of the rollout
 * @counts: receives the counts
 *
 * Any thread may call this function.
 *
 * Return: whether the upstream's answers are counted for that rollout.
 */
bool guard_counts(struct guard *g, const char *service, uint64_t order,
    struct rollout_counts *counts);

/**
 * guard_is_serving() - whether an upstream of this host accepts requests
 *
 * Any thread may call this function.
 */
bool guard_is_serving(const struct guard *g);

/**
 * guard_announce_stop() - announce a stop while requests are still accepted
 * @g: the guard
 * @deadline_ms: monotonic time at which running requests will be aborted
 *
 * Any thread may call this function.  From now on the guard refuses
 * non-idempotent requests that the stop could abort, so that they run on
 * another host.
 */
void guard_announce_stop(struct guard *g, uint64_t deadline_ms);

/**
 * guard_drain() - refuse all new calls from now on
 * @g: the guard
 * @deadline_ms: monotonic time at which running requests are aborted
 *
 * Any thread may call this function.  The drain is complete when
 * guard_in_flight() returns 0.
 */
void guard_drain(struct guard *g, uint64_t deadline_ms);

/**
 * guard_log_aborted() - log the requests that the end of the process aborts
 *
 * Any thread may call this function, before the traffic thread is stopped.
 */
void guard_log_aborted(struct guard *g);

/**
 * guard_in_flight() - number of unfinished requests, plus that of connections
 * on which a stop would lose data, such as unsent answers; not 0 while a drain
 * is requested and has not started
 */
uint32_t guard_in_flight(const struct guard *g);

/**
 * guard_leaving_fn - an upstream has reported in an answer that it leaves
 * @service: service of the upstream
 * @port: port of the upstream
 * @instance: name of its run, interned; empty if unknown
 * @started_ms: start time of the run by the upstream's clock, 0 if unknown
 *
 * Called in the guard's thread.
 */
typedef void guard_leaving_fn(const char *service, uint16_t port,
    const char *instance, uint64_t started_ms, void *arg);

/** guard_set_leaving() - set the callback for upstreams that leave; call before
 * guard_start() */
void guard_set_leaving(struct guard *g, guard_leaving_fn *leaving, void *arg);

/** guard_publish_fn - distribute @item to all nodes; called in the guard's
 * thread */
typedef void guard_publish_fn(const struct quarantine_item *item, void *arg);

/** guard_set_publish() - set the callback that distributes quarantine items to
 * all nodes; call before guard_start() */
void guard_set_publish(struct guard *g, guard_publish_fn *publish, void *arg);

/** guard_apply_quarantine_item() - apply an item from a peer or an operator;
 * any thread may call this function */
void guard_apply_quarantine_item(
    struct guard *g, const struct quarantine_item *item);

/**
 * guard_quarantine_list() - list the quarantined requests
 * @g: the guard
 * @out: array to which struct quarantine_entry are appended
 *
 * Any thread may call this function.
 */
void guard_quarantine_list(struct guard *g, GArray *out);

/**
 * struct guard_served - request that an upstream of this host runs
 * @priority: its priority
 * @customer: its customer, 0 for none
 * @customer_priority: rank of the customer plus 1, 0 when not set
 */
struct guard_served {
	uint32_t priority;
	uint64_t customer;
	uint32_t customer_priority;
};

/**
 * guard_served() - find the request for which an upstream of this host makes a
 * call
 * @g: the guard
 * @call_id: request id of the call
 * @out: receives the request
 *
 * For the entry in the same thread.
 *
 * Return: false if the id doesn't name a request that runs here.
 */
bool guard_served(
    const struct guard *g, const char *call_id, struct guard_served *out);

/** guard_call_refused() - a call of an upstream of this host was refused; for
 * the entry in the same thread */
void guard_call_refused(struct guard *g, const char *call_id);

struct guard_quota;

/** guard_homes() - homes of customers' limits, for the entry in the same thread
 */
struct guard_quota *guard_homes(struct guard *g);

/** guard_quarantine() - quarantine state, for the entry in the same thread */
struct quarantine *guard_quarantine(struct guard *g);

/** guard_free() - free the guard after its thread has stopped; @g may be NULL
 */
void guard_free(struct guard *g);

#endif
