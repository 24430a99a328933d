/*
 * Behind: whether a node that answers by one version of the configuration
 * knows of a newer one, so that what it doesn't know is no proof of a wrong
 * request.
 */
#ifndef TRAFFIC_BEHIND_H
#define TRAFFIC_BEHIND_H

#include <stdbool.h>
#include <stdint.h>

/**
 * BEHIND_RETRY_MIN_MS - shortest time to come back while a version is on its
 * way
 *
 * From the first reader of a data centre to its last host a version takes 100
 * to 200 ms (docs/design/platform.md).
 */
#define BEHIND_RETRY_MIN_MS 200

/**
 * BEHIND_RETRY_MAX_MS - longest time to come back
 *
 * A version that isn't in force after seconds can't be used as it is, and
 * waits for the operators' next one.  A reader finds that within the 2,000 ms
 * that a read of the feed lasts at most.
 */
#define BEHIND_RETRY_MAX_MS 2000

/** BEHIND_RETRY_NOW_MS - to come back when the newer version is in force
 * already */
#define BEHIND_RETRY_NOW_MS 1

/**
 * struct behind - what a node has in force, and what it knows of
 * @in_force: version in force here, 0 for none
 * @known: newest version known of, by whatever way; 0 for none
 * @since_ms: while @known is newer: when it became so, or when another version
 *	came in force since
 */
struct behind {
	uint64_t in_force;
	uint64_t known;
	uint64_t since_ms;
};

/** behind_init() - nothing is in force or known */
void behind_init(struct behind *b);

/** behind_in_force() - @version came in force here, or stays so; 0 for none */
void behind_in_force(struct behind *b, uint64_t version, uint64_t now_ms);

/**
 * behind_known() - what is known has changed
 * @b: the node
 * @version: newest version known of; lower than before when that was wrong
 * @now_ms: monotonic time
 */
void behind_known(struct behind *b, uint64_t version, uint64_t now_ms);

/** behind_age_ms() - for how long a newer version is known; 0 for none */
uint64_t behind_age_ms(const struct behind *b, uint64_t now_ms);

/**
 * behind_retry_ms() - whether an answer by a version is to be believed
 * @b: the node
 * @version: version by which a request looks wrong
 * @now_ms: monotonic time
 * @deadline_ms: the caller's deadline, or DEADLINE_NEVER
 *
 * The longer a version has been awaited, the longer it is likely to take yet,
 * so the time to come back is as long as its age, within bounds.  A caller
 * that has little time left comes back at half of it.
 *
 * Return: 0 when no newer version is known: the request is wrong; else the
 * time after which the caller is to come back.
 */
uint64_t behind_retry_ms(const struct behind *b, uint64_t version,
    uint64_t now_ms, uint64_t deadline_ms);

#endif
