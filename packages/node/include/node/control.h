/*
 * Control: the thread that holds membership and configuration, spreads both to
 * peers, reads the platform and runs the operations of operators.
 */
#ifndef NODE_CONTROL_H
#define NODE_CONTROL_H

#include <jansson.h>

#include "base/service_name.h"
#include "base/status.h"
#include "membership/member.h"
#include "node/operation.h"
#include "proto/addr.h"
#include "proto/messages.h"
#include "proto/settings.h"

struct call_dialect;
struct control;
struct directory;
struct entry;
struct feed;
struct fingerprint;
struct guard;
struct keep;
struct rollout_store;
struct settings;

/**
 * control_new() - create the control of a node
 * @s: settings of the node; must outlive the control
 * @e: entry that is notified of new snapshots
 * @g: guard that receives this host's endpoints
 * @incarnation: incarnation of this process, wall-clock ms
 * @seed: seed of all random choices
 * @out: receives the control
 *
 * Return: STATUS_OK, or STATUS_IO when the peer port can't be bound.
 */
enum status control_new(const struct settings *s, struct entry *e,
    struct guard *g, uint64_t incarnation, uint64_t seed, struct control **out);

/**
 * struct upstream_heartbeat - contents of a heartbeat
 * @service: service that the upstream is an endpoint of
 * @version: version of the upstream's software, empty if not given
 * @address: address on this host at which the upstream listens
 * @slots: number of requests that the upstream runs concurrently
 * @state: ready or draining
 * @started_ms: start of the upstream's process by its own clock, milliseconds
 *	since 1970; 0 if not given
 * @seq: increases with each heartbeat of a process
 * @cold_ms: remaining time of slow answers after the start, milliseconds
 */
struct upstream_heartbeat {
	char service[SERVICE_NAME_BYTES];
	char version[MEMBER_NAME_BYTES];
	struct net_addr address;
	uint16_t slots;
	enum endpoint_state state;
	uint64_t started_ms;
	uint64_t seq;
	uint32_t cold_ms;
};

/**
 * control_set_platform() - use an adapter's platform for configurations, peers
 * and stored rows
 * @c: the control, before it is started
 * @feed: source of configurations; must outlive the thread
 * @directory: directory of nodes; must outlive the thread
 * @keep: store of quarantined requests; must outlive the thread
 * @rollouts: store of rollout orders and their outcomes; must outlive the
 *	thread
 */
void control_set_platform(struct control *c, struct feed *feed,
    struct directory *directory, struct keep *keep,
    struct rollout_store *rollouts);

/**
 * control_set_store_epoch() - the platform's store has answered in an epoch
 * @c: the control
 * @epoch: the epoch; higher than before if the store has come back from an
 *	older copy
 *
 * Rows that this node has written to the store are written again in a new
 * epoch.
 */
void control_set_store_epoch(struct control *c, uint64_t epoch);

/**
 * control_check_upstreams() - ask an upstream whether it leaves, before its
 * first heartbeat is used
 * @c: the control, before it is started
 * @dialect: headers exchanged with upstreams; must outlive the control; without
 *	@target and @leaving nothing is asked
 *
 * The request names another instance, so that the upstream doesn't execute it.
 */
void
control_check_upstreams(struct control *c, const struct call_dialect *dialect);

/**
 * control_heartbeat() - process a heartbeat of the upstream on this host
 * @c: the control
 * @instance: name of the upstream's process
 * @b: contents of the heartbeat
 *
 * The guard of this host applies the heartbeat in the next iteration of the
 * traffic thread's loop.
 *
 * Heartbeats that arrive before this node has asked its peers what is known of
 * its upstreams are applied after that.
 *
 * Return: STATUS_OK, also for a late heartbeat, which is ignored;
 * STATUS_INVALID when it names another host or an unknown service.
 */
enum status control_heartbeat(struct control *c, const char *instance,
    const struct upstream_heartbeat *b);

/**
 * control_upstream_left() - an upstream's process has announced its end
 * @c: the control
 * @instance: name of the process
 * @started_ms: start of the process; 0 if not given
 */
void control_upstream_left(
    struct control *c, const char *instance, uint64_t started_ms);

/**
 * control_held_fn - called once for a report of an upstream
 * @held: the report can be acknowledged: a process of this node that starts
 *	later gets to know it
 * @arg: the caller's
 */
typedef void control_held_fn(bool held, void *arg);

/**
 * control_when_held() - wait until a report that an upstream drains or leaves
 * can be acknowledged
 * @c: the control
 * @instance: name of the upstream's process
 * @fn: called with the outcome within a second, maybe at once
 * @arg: passed to @fn
 */
void control_when_held(
    struct control *c, const char *instance, control_held_fn *fn, void *arg);

/** control_cancel_wait() - cancel a wait of control_when_held() by its @arg;
 * does nothing if it has ended */
void control_cancel_wait(struct control *c, const void *arg);

/** control_refusal_reason() - why callers should use another node, NULL if they
 * may use this one; static; any thread */
const char *control_refusal_reason(const struct control *c);

struct traffic_health;

/**
 * control_watch_traffic() - make readiness depend on the traffic thread
 * @c: the control, before control_start()
 * @h: what the traffic thread reports; must outlive the control
 */
void control_watch_traffic(struct control *c, const struct traffic_health *h);

/** control_start() - start the thread; Return: STATUS_OK or STATUS_IO */
enum status control_start(struct control *c);

/**
 * control_loop() - the control thread's loop
 *
 * The functions below may only be called in that loop, unless their
 * description contains "any thread".
 */
struct loop *control_loop(struct control *c);

/** control_ready() - whether this node serves calls; any thread */
int control_ready(const struct control *c);

/** control_version() - version in force here, 0 for none; any thread */
uint64_t control_version(const struct control *c);

/**
 * control_stop_accepting() - callers should use another node from now on; any
 * thread
 * @c: the control
 */
void control_stop_accepting(struct control *c);

/**
 * control_leave() - announce to peers that this node stops; any thread
 * @c: the control
 */
void control_leave(struct control *c);

/** control_has_left() - whether peers have been notified of the stop; any
 * thread */
int control_has_left(const struct control *c);

/** control_stop() - stop the thread */
void control_stop(struct control *c);

/** control_free() - free a stopped control; NULL is allowed */
void control_free(struct control *c);

/**
 * control_announce() - set the state of an upstream of this host
 * @c: the control
 * @service: service that the upstream is an endpoint of
 * @port: port at which the upstream listens
 * @slots: number of requests that the upstream runs concurrently
 * @state: state of the upstream
 * @lease_ms: the announcement expires after this time, from now, unless renewed
 * @cold_ms: remaining time of slow answers after the start, milliseconds, or
 *	MEMBER_COLD_UNKNOWN
 * @version: version of the upstream's software; NULL if not given
 */
enum status control_announce(struct control *c, const char *service,
    uint16_t port, uint16_t slots, enum endpoint_state state, uint32_t lease_ms,
    uint16_t cold_ms, const char *version);

/**
 * control_withdraw() - remove an upstream of this host
 * @c: the control
 * @service: the service
 * @port: port of the upstream; 0 for the first one of the service
 */
enum status
control_withdraw(struct control *c, const char *service, uint16_t port);

/**
 * control_run_operation() - run an operation on the platform's rows
 *
 * Parameters and result are those of operation_start().  What the operation
 * wrote is also sent to the peers at once.
 */
enum status
control_run_operation(struct control *c, const struct signoff_request *req,
    struct bundle *bundle, operation_fn *fn, void *arg);

/** control_store() - store of the platform */
struct store *control_store(struct control *c);

/** control_status_json() - state of this node; the caller owns the object */
json_t *control_status_json(struct control *c);

/** control_members_json() - all members; the caller owns the array */
json_t *control_members_json(struct control *c);

/** control_quarantine_json() - quarantined requests; the caller owns the
 * array */
json_t *control_quarantine_json(struct control *c);

/**
 * control_quarantine_release() - end the quarantine of a request on all nodes
 * @c: the control
 * @f: fingerprint of the request
 *
 * Return: STATUS_OK, or STATUS_NOT_FOUND when the request is not quarantined
 * here.
 */
enum status
control_quarantine_release(struct control *c, const struct fingerprint *f);

/** control_rollouts_json() - the newest order of each service; the caller owns
 * the array */
json_t *control_rollouts_json(struct control *c);

/** control_request_progress() - request progress reports of the data centres */
void control_request_progress(struct control *c);

/**
 * control_progress_json() - number of nodes that hold a version, by data centre
 * @c: the control
 * @version: the version
 *
 * Return: an object that the caller owns.
 */
json_t *control_progress_json(struct control *c, uint64_t version);

#endif
