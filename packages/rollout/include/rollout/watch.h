/*
 * Watch: what this node does for the rollouts that are under way.
 *
 * It reports what its own endpoint answers; beside one of the first endpoints
 * of a new version it judges, moves the order on, and has its outcome written
 * at the platform.  Any node may have an outcome written that nobody else
 * wrote.  A decision module: no socket, clock, thread, random source or log
 * call.
 */
#ifndef ROLLOUT_WATCH_H
#define ROLLOUT_WATCH_H

#include "proto/outbox.h"
#include "rollout/orders.h"
#include "rollout/trial.h"

/* How often reports are sent and judged. */
#define ROLLOUT_REPORT_INTERVAL_MS 150

/* All requests go to a good version this part of its time before the deadline,
 * within bounds.  In the first half of that what the old version still runs
 * ends; the outcome is written at its middle, for operators who look a few
 * times a second and for a second try. */
#define ROLLOUT_SWITCH_LEAD_PERCENT 16
#define ROLLOUT_SWITCH_LEAD_MIN_MS 800
#define ROLLOUT_SWITCH_LEAD_MAX_MS 3000

/* Pause after a write that failed; between the tries of two judges. */
#define ROLLOUT_WRITE_RETRY_MS 250
#define ROLLOUT_WRITE_STAGGER_MS 60

/** enum rollout_action_kind - what the shell is to do
 * @ROLLOUT_ACT_PHASE: pass the order's new phase on and log it
 * @ROLLOUT_ACT_WRITE: write @rollout as its outcome, under a condition;
 *	answer with rollout_watch_written()
 */
enum rollout_action_kind {
	ROLLOUT_ACT_PHASE = 0,
	ROLLOUT_ACT_WRITE,
};

/**
 * struct rollout_action - one thing to do
 * @kind: what
 * @rollout: the order as it is to be from now on
 */
struct rollout_action {
	enum rollout_action_kind kind;
	struct rollout rollout;
};

struct rollout_watch;

/**
 * rollout_watch_new() - nothing is watched
 * @host: own name; copied
 * @first_seq: number of the first report, higher than any of an earlier process
 *	of the host
 * @orders: orders and phases; borrowed
 * @out: where reports go; borrowed
 */
struct rollout_watch *rollout_watch_new(const char *host, uint64_t first_seq,
    struct rollout_orders *orders, struct outbox *out);

/** rollout_watch_free() - free it; NULL is allowed */
void rollout_watch_free(struct rollout_watch *w);

/** rollout_watch_endpoints() - endpoints of a service; copied */
void rollout_watch_endpoints(struct rollout_watch *w, const char *service,
    const struct rollout_endpoint *endpoints, uint32_t n);

/** rollout_watch_counts() - what the own endpoint has answered since @order */
void rollout_watch_counts(struct rollout_watch *w, const char *service,
    const char *version, uint64_t order, const struct rollout_counts *counts);

/** rollout_watch_set_fallback_writer() - whether this node writes what judges
 * don't */
void rollout_watch_set_fallback_writer(
    struct rollout_watch *w, bool fallback_writer);

/** rollout_watch_handles() - whether a message is for rollout_watch_receive()
 */
bool rollout_watch_handles(uint8_t type);

/** rollout_watch_receive() - a datagram of a peer; a wrong one is ignored */
void rollout_watch_receive(struct rollout_watch *w, uint64_t now_ms,
    uint8_t type, const uint8_t *body, size_t len);

/** rollout_watch_tick() - let time pass */
void rollout_watch_tick(struct rollout_watch *w, uint64_t now_ms);

/** rollout_watch_next_ms() - when rollout_watch_tick() is wanted */
uint64_t rollout_watch_next_ms(const struct rollout_watch *w);

/** rollout_watch_pop() - the next thing to do; false when there is none */
bool rollout_watch_pop(struct rollout_watch *w, struct rollout_action *out);

/** rollout_watch_written() - a write of an outcome has ended
 * @w: the watch
 * @service: the service
 * @ok: it is written, by this node or by another
 * @now_ms: monotonic time
 */
void rollout_watch_written(
    struct rollout_watch *w, const char *service, bool ok, uint64_t now_ms);

/** rollout_switch_ms() - when all requests go to a good version */
uint64_t rollout_switch_ms(const struct rollout *r);

#endif
