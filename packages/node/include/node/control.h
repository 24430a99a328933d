/*
 * Control: the thread that holds membership and configuration, passes both
 * on to peers, reads the platform and runs the operators' operations.
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
 * control_new() - make the control part
 * @s: settings of the node; must outlive the control
 * @e: entry that is told of new snapshots
 * @g: guard that is told of this host's endpoints
 * @incarnation: incarnation of this process, wall-clock ms
 * @seed: seed of the decisions' random choices
 * @out: where the control goes
 *
 * Return: STATUS_OK, or STATUS_IO when the peer port can't be bound.
 */
enum status control_new(const struct settings *s, struct entry *e,
    struct guard *g, uint64_t incarnation, uint64_t seed, struct control **out);

/**
 * struct upstream_heartbeat - what an upstream says of itself in a heartbeat
 * @service: service that it is an endpoint of
 * @version: version of its software, empty when it didn't say
 * @address: where it listens, on this host
 * @slots: requests that it runs at once
 * @state: ready or draining
 * @started_ms: when the run started, by its clock; 0 when it doesn't say
 * @seq: rises with each heartbeat of a run
 * @cold_ms: how much longer it is slow after its start
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
 * control_set_platform() - take configurations and peers from an adapter's
 * platform
 * @c: the control, before it is started
 * @feed: where configurations come from; must outlive the thread
 * @directory: where nodes find one another; must outlive the thread
 * @keep: what outlives all nodes; must outlive the thread
 * @rollouts: orders of services and their outcome; must outlive the thread
 */
void control_set_platform(struct control *c, struct feed *feed,
    struct directory *directory, struct keep *keep,
    struct rollout_store *rollouts);

/**
 * control_heartbeat() - a heartbeat of the upstream on this host
 * @c: the control
 * @instance: name of the run that sent it
 * @b: what it says
 *
 * What it says holds at this host's guard when this returns and the traffic
 * thread has taken its next turn.
 *
 * Return: STATUS_OK, also for one that is late and changes nothing;
 * STATUS_INVALID.
 */
enum status control_heartbeat(struct control *c, const char *instance,
    const struct upstream_heartbeat *b);

/**
 * control_upstream_left() - a run of the upstream said that it leaves
 * @c: the control
 * @instance: name of the run
 * @started_ms: when it started; 0 when it doesn't say
 */
void control_upstream_left(
    struct control *c, const char *instance, uint64_t started_ms);

/** control_accepts_callers() - whether callers may be led here; any thread */
int control_accepts_callers(const struct control *c);

/** control_start() - start the thread; Return: STATUS_OK or STATUS_IO */
enum status control_start(struct control *c);

/**
 * control_loop() - the control thread's loop
 *
 * The functions below are for functions posted to it, unless they say that
 * any thread may call them.
 */
struct loop *control_loop(struct control *c);

/** control_ready() - whether this node serves; any thread may call it */
int control_ready(const struct control *c);

/** control_version() - version in force here; any thread may call it */
uint64_t control_version(const struct control *c);

/**
 * control_stop_accepting() - callers are to go elsewhere; any thread
 * @c: the control
 */
void control_stop_accepting(struct control *c);

/**
 * control_leave() - tell peers that this node stops; any thread
 * @c: the control
 */
void control_leave(struct control *c);

/** control_has_left() - whether peers have been told; any thread */
int control_has_left(const struct control *c);

/** control_stop() - stop the thread */
void control_stop(struct control *c);

/** control_free() - free a stopped control; NULL is allowed */
void control_free(struct control *c);

/**
 * control_announce() - an upstream of this host told its state
 * @c: the control
 * @service: service that it is an endpoint of
 * @port: its port
 * @slots: requests that it runs at once
 * @state: its state
 * @lease_ms: how long this holds unless told again, from now
 * @cold_ms: how much longer it is slow after its start, or
 *	MEMBER_COLD_UNKNOWN
 * @version: version of its software; NULL when it didn't say
 */
enum status control_announce(struct control *c, const char *service,
    uint16_t port, uint16_t slots, enum endpoint_state state, uint32_t lease_ms,
    uint16_t cold_ms, const char *version);

/**
 * control_withdraw() - the upstreams of a service on this host have left
 * @c: the control
 * @service: the service
 * @port: port of the upstream; 0 for all of the service
 */
enum status
control_withdraw(struct control *c, const char *service, uint16_t port);

/**
 * control_run_operation() - run an operation on the platform's rows
 *
 * Parameters and result as operation_start(); what it writes is also put on
 * its way to the peers at once.
 */
enum status
control_run_operation(struct control *c, const struct signoff_request *req,
    struct bundle *bundle, operation_fn *fn, void *arg);

/** control_store() - the platform */
struct store *control_store(struct control *c);

/** control_status_json() - this node's state; the caller owns the object */
json_t *control_status_json(struct control *c);

/** control_members_json() - all members; the caller owns the array */
json_t *control_members_json(struct control *c);

/** control_quarantine_json() - requests that are no longer run; the caller owns
 * the array */
json_t *control_quarantine_json(struct control *c);

/**
 * control_quarantine_release() - let a request be run again, at all nodes
 * @c: the control
 * @f: the request, as the list has it
 *
 * Return: STATUS_OK, or STATUS_NOT_FOUND when it is not quarantined here.
 */
enum status
control_quarantine_release(struct control *c, const struct fingerprint *f);

/** control_rollouts_json() - the newest order of each service; the caller owns
 * the array */
json_t *control_rollouts_json(struct control *c);

/** control_request_progress() - ask the data centres how far the roll is */
void control_request_progress(struct control *c);

/**
 * control_progress_json() - how far a version has come
 * @c: the control
 * @version: the version
 *
 * Return: an object that the caller owns.
 */
json_t *control_progress_json(struct control *c, uint64_t version);

#endif
