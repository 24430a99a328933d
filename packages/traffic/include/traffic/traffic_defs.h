/*
 * Types shared by the traffic decisions: request ids, outcomes, load reports
 * and the reasons for a refusal.
 */
#ifndef TRAFFIC_TRAFFIC_DEFS_H
#define TRAFFIC_TRAFFIC_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#define REQUEST_ID_BYTES 16

/**
 * struct request_id - id of one attempt of one call
 * @bytes: 8 random bytes of the entry process, 6 bytes of the call's sequence
 *	number and 2 bytes of the attempt's number, so that a retry is a
 *	different request in the guard's fate table
 */
struct request_id {
	uint8_t bytes[REQUEST_ID_BYTES];
};

/**
 * request_id_make() - build the id of an attempt
 * @id: the resulting id
 * @entry: random number of the entry process, drawn once at its start
 * @sequence: number of the call at this entry; the low 48 bits are used
 * @attempt: number of the attempt, from 1
 */
void request_id_make(
    struct request_id *id, uint64_t entry, uint64_t sequence, uint16_t attempt);

/** request_id_equal() - whether two ids name the same attempt */
bool request_id_equal(const struct request_id *a, const struct request_id *b);

/**
 * enum outcome - final result that is reported to a caller
 * @OUTCOME_DONE: the request ran; the answer follows
 * @OUTCOME_NOT_RUN: the request has not run and never will
 * @OUTCOME_UNKNOWN: the request may have run
 */
enum outcome {
	OUTCOME_DONE = 0,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

/** outcome_name() - "done", "not_run" or "unknown" */
const char *outcome_name(enum outcome o);

/**
 * enum refusal - why a guard or an entry refused a request without running it
 * @REFUSAL_NONE: not refused
 * @REFUSAL_QUEUE_FULL: no slot is free and the class has used up its share of
 *	the queue
 * @REFUSAL_WAIT: the expected wait exceeds queue_wait_ms or the time left
 * @REFUSAL_EXPIRED: the deadline passed while the request was queued
 * @REFUSAL_DRAINING: the endpoint is draining or has left
 * @REFUSAL_STARTING: the endpoint is not ready yet
 * @REFUSAL_CALLER_LIMIT: the caller's rate limit is exceeded
 * @REFUSAL_SERVICE_LIMIT: the service's rate limit is exceeded
 * @REFUSAL_TOO_OLD: the frame is older than the fate window
 * @REFUSAL_RESOLVED: an earlier resolve has settled that the request never
 *	runs
 * @REFUSAL_CANCELLED: the entry cancelled the request before it started
 * @REFUSAL_NOT_HOME: the request has an idempotency key and this endpoint is
 *	not the key's home
 * @REFUSAL_UPSTREAM: the upstream reported that it has not run the request
 * @REFUSAL_NO_ENDPOINT: no usable endpoint is known, or the chosen one accepts
 *	no connections; no byte was sent to it
 * @REFUSAL_KEY_UNSETTLED: an earlier request with the same idempotency key may
 *	have run elsewhere
 * @REFUSAL_STOPPING: the node is stopping
 * @REFUSAL_KEY_REUSED: the idempotency key belongs to a different request
 * @REFUSAL_UNREACHABLE: no connection to the guard; no byte was sent
 * @REFUSAL_QUARANTINED: each upstream that ran this request has crashed
 * @REFUSAL_SUPERSEDED: the request was routed by an expired version, and the
 *	version in force here routes it elsewhere
 * @REFUSAL_CUSTOMER_LIMIT: the customer's limit over all nodes is used up
 * @REFUSAL_CALLS_SHORT: the upstream would have to call a service that refuses
 *	such calls now
 */
enum refusal {
	REFUSAL_NONE = 0,
	REFUSAL_QUEUE_FULL,
	REFUSAL_WAIT,
	REFUSAL_EXPIRED,
	REFUSAL_DRAINING,
	REFUSAL_STARTING,
	REFUSAL_CALLER_LIMIT,
	REFUSAL_SERVICE_LIMIT,
	REFUSAL_TOO_OLD,
	REFUSAL_RESOLVED,
	REFUSAL_CANCELLED,
	REFUSAL_NOT_HOME,
	REFUSAL_UPSTREAM,
	REFUSAL_NO_ENDPOINT,
	REFUSAL_KEY_UNSETTLED,
	REFUSAL_STOPPING,
	REFUSAL_KEY_REUSED,
	REFUSAL_UNREACHABLE,
	REFUSAL_QUARANTINED,
	REFUSAL_SUPERSEDED,
	REFUSAL_CUSTOMER_LIMIT,
	REFUSAL_CALLS_SHORT,
};

/** REFUSAL_LAST - the largest value of enum refusal */
#define REFUSAL_LAST REFUSAL_CALLS_SHORT

/** refusal_name() - short name for logs, such as "queue_full" */
const char *refusal_name(enum refusal r);

/**
 * refusal_is_final() - whether another endpoint would refuse the request too
 *
 * A call that is refused for such a reason is not retried.
 */
bool refusal_is_final(enum refusal r);

/**
 * refusal_is_free() - whether a retry is not charged to the retry budget
 *
 * True for refusals where nothing was sent to an upstream, or which stop by
 * themselves once the change of the endpoint's state has reached the entry.
 */
bool refusal_is_free(enum refusal r);

/**
 * refusal_settles_key() - whether a refusal proves that no request with the
 * idempotency key ran
 *
 * True only for refusals that the key's home gives after it has settled that
 * no earlier request with the key ran.  After any other refusal an earlier
 * request may have run elsewhere, and the outcome of the call is unknown.
 */
bool refusal_settles_key(enum refusal r);

/**
 * struct load_report - load of an endpoint, sent by its guard with each answer
 * and refusal
 * @in_flight: requests in slots
 * @queued: requests that wait for a slot
 * @slots: slots of the endpoint
 * @limit_milli_per_s: limit that the upstream names, in thousandths of a
 *	request a second; 0 for none
 * @limit_wait_ms: time until a further request may start under that limit
 * @pace_percent: time that work takes on the upstream's machine now, 100 is
 *	usual; 0 when unknown
 * @waiting: requests that wait in the upstream by its own report
 * @work_ms: expected run time of all requests in slots and queued, 0 when
 *	unknown
 * @kind_us: mean run time here of requests of the answered one's kind, 0 when
 *	unknown
 */
struct load_report {
	uint32_t in_flight;
	uint32_t queued;
	uint32_t slots;
	uint64_t limit_milli_per_s;
	uint64_t limit_wait_ms;
	uint32_t pace_percent;
	uint32_t waiting;
	uint32_t work_ms;
	uint64_t kind_us;
};

/**
 * endpoint_id() - id of an endpoint
 * @host: host name
 * @service: service name
 *
 * Return: a 64-bit hash of "host/service"; never 0.
 */
uint64_t endpoint_id(const char *host, const char *service);

/** service_id() - id of a service: a 64-bit hash of its name; never 0 */
uint64_t service_id(const char *service);

/**
 * enum call_stage - how far a call has come
 * @CALL_STAGE_UNSENT: no attempt is under way: not placed yet, or between two
 *	attempts
 * @CALL_STAGE_SENT: an attempt was sent, or waits for its connection
 * @CALL_STAGE_RESOLVING: the fate of an attempt is being queried
 * @CALL_STAGE_ANSWERING: a part of the answer was passed on
 * @CALL_STAGE_ENDED: the caller has its answer, or left
 * @CALL_STAGES: number of stages
 */
enum call_stage {
	CALL_STAGE_UNSENT = 0,
	CALL_STAGE_SENT,
	CALL_STAGE_RESOLVING,
	CALL_STAGE_ANSWERING,
	CALL_STAGE_ENDED,
	CALL_STAGES,
};

#endif
