/*
 * Whether callers get through to the traffic thread: its loop turns, and its
 * listener accepts connections.
 */
#ifndef NODE_TRAFFIC_HEALTH_H
#define NODE_TRAFFIC_HEALTH_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/loop.h"

/**
 * struct traffic_health - what the traffic thread reports of itself
 * @loop: its loop
 * @timer: reports that the loop turns
 * @closed_since: returns @closed_since_ms, called in the loop; may be NULL
 * @arg: passed to @closed_since
 * @turned_ms: monotonic time of the last report; 0 before the first
 * @closed_since_ms: monotonic time since which no connection of callers can be
 *	accepted; 0 while they can
 */
struct traffic_health {
	struct loop *loop;
	struct loop_timer timer;
	uint64_t (*closed_since)(void *arg);
	void *arg;
	_Atomic uint64_t turned_ms;
	_Atomic uint64_t closed_since_ms;
};

/** traffic_health_start() - report from now on; before the loop runs */
void traffic_health_start(struct traffic_health *h, struct loop *loop);

/** traffic_health_stop() - stop reporting; in the loop's thread, or when it has
 * stopped */
void traffic_health_stop(struct traffic_health *h);

/**
 * traffic_health_watch() - report on a listener, too; before the loop runs
 * @h: the reports
 * @closed_since: returns the monotonic time since which it can't accept
 *	connections, 0 while it can
 * @arg: passed to @closed_since
 */
void traffic_health_watch(
    struct traffic_health *h, uint64_t (*closed_since)(void *arg), void *arg);

/**
 * traffic_health_is_good() - whether new callers are served
 * @h: the reports
 * @now_ms: monotonic time
 *
 * Any thread may call this function.  A single long turn is no reason to say
 * no, since readiness would flap.
 */
bool traffic_health_is_good(const struct traffic_health *h, uint64_t now_ms);

#endif
