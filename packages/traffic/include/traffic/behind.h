/*
 * Behind: whether a newer version of the configuration than the one in force is
 * known on a node.
 *
 * A request without a matching route may be wrong there, or the newer version
 * may have a route for it.
 */
#ifndef TRAFFIC_BEHIND_H
#define TRAFFIC_BEHIND_H

#include <stdbool.h>
#include <stdint.h>

/**
 * BEHIND_RETRY_MIN_MS - shortest Retry-After while a version is being
 * distributed
 *
 * A version takes 100 to 200 ms from the first reader of a data centre to the
 * last host there (docs/design/platform.md).
 */
#define BEHIND_RETRY_MIN_MS 200

/**
 * BEHIND_RETRY_MAX_MS - longest Retry-After
 *
 * A version that is not in force after seconds is unusable, and the node waits
 * for the operators' next version.  A reader finds such a version within 2,000
 * ms, the maximum duration of one read of the feed.
 */
#define BEHIND_RETRY_MAX_MS 2000

/**
 * BEHIND_RETRY_NOW_MS - Retry-After when the newer version is already in force
 */
#define BEHIND_RETRY_NOW_MS 1

/**
 * struct behind - version in force on a node and newest version known there
 * @in_force: version in force on this node, 0 for none
 * @known: newest known version, from any source; 0 for none
 * @since_ms: while @known is newer: monotonic time at which it became newer,
 *	or at which another version came into force since then
 */
struct behind {
	uint64_t in_force;
	uint64_t known;
	uint64_t since_ms;
};

/** behind_init() - no version is in force or known */
void behind_init(struct behind *b);

/**
 * behind_in_force() - @version came into force here, or still is; 0 for none
 */
void behind_in_force(struct behind *b, uint64_t version, uint64_t now_ms);

/**
 * behind_known() - the newest known version has changed
 * @b: the node
 * @version: newest known version; lower than before when an earlier report was
 *	wrong
 * @now_ms: monotonic time
 */
void behind_known(struct behind *b, uint64_t version, uint64_t now_ms);

/**
 * behind_age_ms() - time for which a newer version has been known; 0 for none
 */
uint64_t behind_age_ms(const struct behind *b, uint64_t now_ms);

/**
 * behind_retry_ms() - when to retry a request that looks wrong
 * @b: the node
 * @version: version by which the request looks wrong
 * @now_ms: monotonic time
 * @deadline_ms: the caller's deadline, or DEADLINE_NEVER
 *
 * The longer a version has been awaited, the longer it is likely to take, so
 * the Retry-After equals the version's age, within bounds.  A caller with
 * little time left retries after half of that time.
 *
 * Return: 0 when no newer version is known, so that the request is wrong; else
 * the time in ms after which the caller should retry.
 */
uint64_t behind_retry_ms(const struct behind *b, uint64_t version,
    uint64_t now_ms, uint64_t deadline_ms);

#endif
