/*
 * Graceful stop of a node, as entry and as guard: which requests are still
 * accepted, and when nothing is in flight any more.
 */
#ifndef TRAFFIC_DRAIN_H
#define TRAFFIC_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum drain_state - progress of a stop
 * @DRAIN_SERVING: no stop was requested
 * @DRAIN_NOTICE: leaving is announced; the guard refuses new requests, and the
 *	entry still accepts calls and closes its callers' connections after
 *	their answers
 * @DRAIN_REFUSING: the entry refuses new calls as well
 * @DRAIN_EMPTY: nothing is in flight: stop now
 * @DRAIN_OVERDUE: the deadline has passed with requests in flight: stop now,
 *	and report the requests that are cut off
 */
enum drain_state {
	DRAIN_SERVING = 0,
	DRAIN_NOTICE,
	DRAIN_REFUSING,
	DRAIN_EMPTY,
	DRAIN_OVERDUE,
};

/** drain_state_name() - short name for logs */
const char *drain_state_name(enum drain_state s);

/**
 * struct drain - the stop of one node
 * @state: see enum drain_state
 * @refuse_ms: monotonic time from which the entry refuses calls
 * @stop_ms: monotonic time at which the node stops with requests in flight
 * @calls: calls in flight at the entry
 * @requests: requests in flight at the guard, including queued ones
 */
struct drain {
	enum drain_state state;
	uint64_t refuse_ms;
	uint64_t stop_ms;
	uint64_t calls;
	uint64_t requests;
};

/**
 * drain_accepts_until_ms() - how long the upstream of a stopping host receives
 * new requests
 * @notice_ms: how long the entry still accepts calls
 * @stop_ms: monotonic time at which requests in flight are given up
 * @now_ms: monotonic time at which the stop was requested
 *
 * The upstream of a restarting node keeps running.  When its requests were
 * refused from the first moment on, its slots were idle for 4 to 6 s of each
 * restart; in a rolling restart of 40 % of 65 hosts within 10 s, at 80 % of
 * the slots, a third of the calls was refused.
 *
 * Return: monotonic time, which leaves most of the stop for requests in
 * flight.
 */
uint64_t
drain_accepts_until_ms(uint64_t notice_ms, uint64_t stop_ms, uint64_t now_ms);

/**
 * drain_wait_ms() - how long a stop may wait for requests in flight
 * @drain_ms: longest stop by the settings
 * @grace_ms: time after which the process is killed, 0 for never
 *
 * Return: at most @drain_ms; the rest of the grace time is left for the exit
 * of the process.
 */
uint64_t drain_wait_ms(uint64_t drain_ms, uint64_t grace_ms);

/** drain_init() - initialise for a serving node */
void drain_init(struct drain *d);

/**
 * drain_announce() - a stop was requested, requests are still accepted
 * @d: the drain
 * @stop_ms: monotonic time at which requests in flight will be given up
 */
void drain_announce(struct drain *d, uint64_t stop_ms);

/**
 * drain_may_start() - whether a non-idempotent request may start
 * @d: the drain
 * @deadline_ms: monotonic deadline of the request
 * @mean_run_ms: mean run time of its kind on this host, 0 when unknown
 * @now_ms: monotonic time
 *
 * The outcome of a request that the stop cuts off stays unknown.  A request
 * therefore starts only if its deadline comes before the stop, or if there is
 * time for a multiple of its usual run time.
 */
bool drain_may_start(const struct drain *d, uint64_t deadline_ms,
    uint64_t mean_run_ms, uint64_t now_ms);

/**
 * drain_begin() - begin a stop
 * @d: the drain
 * @notice_for_ms: how long the entry still accepts calls
 * @drain_for_ms: longest duration of the whole stop
 * @now_ms: monotonic time
 */
void drain_begin(struct drain *d, uint64_t notice_for_ms, uint64_t drain_for_ms,
    uint64_t now_ms);

/** drain_accepts_call() - whether the entry accepts a new call */
bool drain_accepts_call(const struct drain *d);

/** drain_accepts_request() - whether the guard accepts a new request */
bool drain_accepts_request(const struct drain *d);

/**
 * drain_closes_connections() - whether callers' connections are closed after an
 * answer
 */
bool drain_closes_connections(const struct drain *d);

/** drain_call_began() - the entry accepted a call */
void drain_call_began(struct drain *d);

/**
 * drain_call_ended() - the caller has received its complete answer or has
 * disconnected
 */
void drain_call_ended(struct drain *d, uint64_t now_ms);

/** drain_request_began() - the guard accepted a request */
void drain_request_began(struct drain *d);

/** drain_request_ended() - the complete answer to a request was written */
void drain_request_ended(struct drain *d, uint64_t now_ms);

/** drain_tick() - the time that drain_wake_ms() returned has come */
void drain_tick(struct drain *d, uint64_t now_ms);

/**
 * drain_wake_ms() - monotonic time of the next drain_tick(), or DEADLINE_NEVER
 */
uint64_t drain_wake_ms(const struct drain *d);

/** drain_is_complete() - whether the process may stop now */
bool drain_is_complete(const struct drain *d);

#endif
