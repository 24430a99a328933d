/*
 * Shortage of called services: the share of an upstream's runs that failed
 * since a call that they made was refused, by route.
 */
#ifndef TRAFFIC_SHORTAGE_H
#define TRAFFIC_SHORTAGE_H

#include <stdbool.h>
#include <stdint.h>

struct shortage;

/** shortage_new() - create an empty table; free with shortage_free() */
struct shortage *shortage_new(void);

/** shortage_free() - free the table; NULL is allowed */
void shortage_free(struct shortage *s);

/**
 * shortage_record() - count a run that has ended
 * @s: the table
 * @route: number of the route
 * @failed: the run failed, and a call that it made had been refused
 * @now_ms: monotonic time
 */
void shortage_record(
    struct shortage *s, uint64_t route, bool failed, uint64_t now_ms);

/**
 * shortage_failed_milli() - share of the runs of a route that failed for
 * refused calls within the last second, in thousandths
 */
uint32_t shortage_failed_milli(
    const struct shortage *s, uint64_t route, uint64_t now_ms);

/**
 * shortage_refuses() - whether to refuse a new request
 * @s: the table
 * @route: number of its route
 * @random: random number
 * @now_ms: monotonic time
 *
 * Requests are refused while nearly all runs of the route fail.  A tenth is let
 * through, which shows when the shortage ends.  A smaller share of failures
 * refuses none: requests that make no call would be refused with the others.
 */
bool shortage_refuses(
    const struct shortage *s, uint64_t route, uint64_t random, uint64_t now_ms);

/**
 * shortage_retry_after_ms() - time after which a refused request is worth
 * sending again
 * @random: random number that spreads the return
 */
uint64_t shortage_retry_after_ms(uint64_t random);

#endif
