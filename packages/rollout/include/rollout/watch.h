/*
 * Watch: a node's part in the rollouts in progress.
 *
 * A node reports the counts of its own endpoint. On the hosts of the first new
 * endpoints it also judges, moves the order to its next phase, and has the
 * outcome written to the platform. An outcome that no judge wrote may be
 * written by a fallback writer. A decision module: no socket, clock, thread,
 * random source or log call.
 */
#ifndef ROLLOUT_WATCH_H
#define ROLLOUT_WATCH_H

#include "proto/outbox.h"
#include "rollout/orders.h"
#include "rollout/trial.h"

/* Interval at which reports are sent and evaluated. */
#define ROLLOUT_REPORT_INTERVAL_MS 150

/* All requests switch to a good version this long before the deadline: a
 * percentage of the allowed time, within bounds. In the first half of this
 * lead, requests of the old version end. The outcome is written at its middle,
 * which leaves time for operators who poll a few times a second and for a
 * second attempt. */
#define ROLLOUT_SWITCH_LEAD_PERCENT 16
#define ROLLOUT_SWITCH_LEAD_MIN_MS 800
#define ROLLOUT_SWITCH_LEAD_MAX_MS 3000

/* Delay after a failed write, and between the attempts of two judges by rank.
 */
#define ROLLOUT_WRITE_RETRY_MS 250
#define ROLLOUT_WRITE_STAGGER_MS 60

/**
 * enum rollout_action_kind - what the caller has to do
 * @ROLLOUT_ACT_PHASE: gossip the order's new phase and log it
 * @ROLLOUT_ACT_WRITE: write @rollout as the outcome, conditionally; then call
 *	rollout_watch_written()
 */
enum rollout_action_kind {
	ROLLOUT_ACT_PHASE = 0,
	ROLLOUT_ACT_WRITE,
};

/**
 * struct rollout_action - an action for the caller
 * @kind: kind of the action
 * @rollout: the order with its new phase
 */
struct rollout_action {
	enum rollout_action_kind kind;
	struct rollout rollout;
};

struct rollout_watch;

/**
 * rollout_watch_new() - create a watch without services
 * @host: own host; copied
 * @first_seq: sequence number of the first report, higher than any that an
 *	earlier process of the host used
 * @orders: known orders; borrowed
 * @out: queue for outgoing reports; borrowed
 */
struct rollout_watch *rollout_watch_new(const char *host, uint64_t first_seq,
    struct rollout_orders *orders, struct outbox *out);

/** rollout_watch_free() - free a watch; NULL is allowed */
void rollout_watch_free(struct rollout_watch *w);

/** rollout_watch_endpoints() - set the endpoints of a service; copied */
void rollout_watch_endpoints(struct rollout_watch *w, const char *service,
    const struct rollout_endpoint *endpoints, uint32_t n);

/** rollout_watch_counts() - set the counts of the own endpoint since @order */
void rollout_watch_counts(struct rollout_watch *w, const char *service,
    const char *version, uint64_t order, const struct rollout_counts *counts);

/** rollout_watch_set_fallback_writer() - set whether this node writes outcomes
 * that no judge wrote */
void rollout_watch_set_fallback_writer(
    struct rollout_watch *w, bool fallback_writer);

/** rollout_watch_handles() - whether a message is for rollout_watch_receive()
 */
bool rollout_watch_handles(uint8_t type);

/** rollout_watch_receive() - handle a datagram of a peer; an invalid one is
 * ignored */
void rollout_watch_receive(struct rollout_watch *w, uint64_t now_ms,
    uint8_t type, const uint8_t *body, size_t len);

/** rollout_watch_tick() - act on the time that has passed */
void rollout_watch_tick(struct rollout_watch *w, uint64_t now_ms);

/** rollout_watch_next_ms() - when to call rollout_watch_tick() */
uint64_t rollout_watch_next_ms(const struct rollout_watch *w);

/** rollout_watch_pop() - take the next action; false if there is none */
bool rollout_watch_pop(struct rollout_watch *w, struct rollout_action *out);

/**
 * rollout_watch_written() - a write of an outcome has ended
 * @w: the watch
 * @service: the service
 * @ok: whether the outcome is stored, written by this node or another
 * @now_ms: monotonic time
 */
void rollout_watch_written(
    struct rollout_watch *w, const char *service, bool ok, uint64_t now_ms);

/** rollout_switch_ms() - when all requests switch to a good version */
uint64_t rollout_switch_ms(const struct rollout *r);

#endif
