/*
 * Returns: when the callers that an entry refused for load were asked to come
 * back.
 *
 * A caller that repeats a request at once would get several chances where one
 * that waits gets one.  While its service refuses requests, a request that
 * comes back early is refused without an attempt.
 */
#ifndef TRAFFIC_RETURNS_H
#define TRAFFIC_RETURNS_H

#include <stdbool.h>
#include <stdint.h>

#include "traffic/fingerprint.h"

struct returns;

/** returns_new() - create an empty table; free with returns_free() */
struct returns *returns_new(void);

/** returns_free() - free the table; NULL is allowed */
void returns_free(struct returns *t);

/**
 * returns_refused() - a request was refused for load
 * @t: the table
 * @service: its service
 * @print: its fingerprint
 * @return_ms: monotonic time at which its caller may come back
 * @now_ms: monotonic time
 */
void returns_refused(struct returns *t, uint64_t service,
    const struct fingerprint *print, uint64_t return_ms, uint64_t now_ms);

/**
 * returns_early_ms() - how much too early a request comes back
 *
 * Return: the time in ms until its caller may come back; 0 for a request that
 * wasn't refused, that may be tried now, or whose service no longer refuses
 * requests.
 */
uint64_t returns_early_ms(struct returns *t, uint64_t service,
    const struct fingerprint *print, uint64_t now_ms);

/** returns_is_empty() - whether no caller is awaited; a fingerprint is then
 * not needed */
bool returns_is_empty(const struct returns *t, uint64_t now_ms);

#endif
