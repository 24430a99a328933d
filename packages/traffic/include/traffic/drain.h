/*
 * Graceful stop of a node, as entry and as guard: which work is still taken,
 * and when nothing is in flight any more.
 */
#ifndef TRAFFIC_DRAIN_H
#define TRAFFIC_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum drain_state - where a stop stands
 * @DRAIN_SERVING: no stop was asked for
 * @DRAIN_NOTICE: leaving is announced; the guard refuses new requests, the
 *	entry still takes calls and closes its callers' connections after
 *	their answers
 * @DRAIN_REFUSING: the entry refuses new calls as well
 * @DRAIN_EMPTY: nothing is in flight: stop now
 * @DRAIN_OVERDUE: the bound has passed with work in flight: stop now, and
 *	report what is cut
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
 * @refuse_ms: when the entry begins to refuse
 * @stop_ms: when it stops whatever is in flight
 * @calls: calls in flight at the entry
 * @requests: requests in flight at the guard, queued ones included
 */
struct drain {
	enum drain_state state;
	uint64_t refuse_ms;
	uint64_t stop_ms;
	uint64_t calls;
	uint64_t requests;
};

/**
 * drain_accepts_until_ms() - how long a stopping host's upstream gets new work
 * @notice_ms: how long the entry still takes calls
 * @stop_ms: monotonic time at which what is in flight is given up
 * @now_ms: monotonic time at which the stop was asked for
 *
 * The upstream of a node that restarts is there all the while.  Refused from
 * the first moment on, its slots were idle for 4 to 6 s of each restart; in a
 * rolling restart of 40 % of 65 hosts within 10 s, at 80 % of the slots, that
 * refused a third of the calls.
 *
 * Return: monotonic time, which leaves most of the stop for what then runs.
 */
uint64_t
drain_accepts_until_ms(uint64_t notice_ms, uint64_t stop_ms, uint64_t now_ms);

/**
 * drain_wait_ms() - how long a stop may wait for what is in flight
 * @drain_ms: longest stop by the settings
 * @grace_ms: time after which the process is killed, 0 for never
 *
 * Return: at most @drain_ms; the rest of the grace time is left for the end of
 * the process.
 */
uint64_t drain_wait_ms(uint64_t drain_ms, uint64_t grace_ms);

/** drain_init() - a node that serves */
void drain_init(struct drain *d);

/**
 * drain_announce() - a stop was asked for, requests are still taken
 * @d: the drain
 * @stop_ms: monotonic time at which what is in flight will be given up
 */
void drain_announce(struct drain *d, uint64_t stop_ms);

/**
 * drain_may_start() - whether a non-idempotent request may start
 * @d: the drain
 * @deadline_ms: monotonic time of its deadline
 * @mean_run_ms: how long its kind runs here on average, 0 when not known
 * @now_ms: monotonic time
 *
 * Its fate would be unknown for good if the stop gave it up: it starts only if
 * its deadline comes first, or if there is time for many times its usual run.
 */
bool drain_may_start(const struct drain *d, uint64_t deadline_ms,
    uint64_t mean_run_ms, uint64_t now_ms);

/**
 * drain_begin() - a stop is asked for
 * @d: the drain
 * @notice_for_ms: how long the entry still takes calls
 * @drain_for_ms: bound of the whole stop
 * @now_ms: monotonic time
 */
void drain_begin(struct drain *d, uint64_t notice_for_ms, uint64_t drain_for_ms,
    uint64_t now_ms);

/** drain_accepts_call() - whether the entry takes a new call */
bool drain_accepts_call(const struct drain *d);

/** drain_accepts_request() - whether the guard takes a new request */
bool drain_accepts_request(const struct drain *d);

/** drain_closes_connections() - whether callers' connections are closed after
 * an answer */
bool drain_closes_connections(const struct drain *d);

/** drain_call_began() - the entry took a call */
void drain_call_began(struct drain *d);

/** drain_call_ended() - the caller has its whole answer, or is gone */
void drain_call_ended(struct drain *d, uint64_t now_ms);

/** drain_request_began() - the guard took a request */
void drain_request_began(struct drain *d);

/** drain_request_ended() - its whole answer has been written */
void drain_request_ended(struct drain *d, uint64_t now_ms);

/** drain_tick() - a time named by drain_wake_ms() has come */
void drain_tick(struct drain *d, uint64_t now_ms);

/** drain_wake_ms() - when drain_tick() is wanted next; DEADLINE_NEVER */
uint64_t drain_wake_ms(const struct drain *d);

/** drain_is_complete() - whether the process may stop now */
bool drain_is_complete(const struct drain *d);

#endif
