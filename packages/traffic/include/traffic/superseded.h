/*
 * Superseded: since when a node has had a later version in force than the one
 * by which a request was routed elsewhere.
 *
 * A request that was routed by a version whose time is up is checked against
 * the later one; for a while after a change both are right.
 */
#ifndef TRAFFIC_SUPERSEDED_H
#define TRAFFIC_SUPERSEDED_H

#include <stdbool.h>
#include <stdint.h>

/* Versions that are remembered; with a change each 0.3 s the last 5 s. */
#define SUPERSEDED_MAX 16

/**
 * struct superseded_entry - a version
 * @version: its number, 0 for an unused entry
 * @since_ms: when it came in force here
 */
struct superseded_entry {
	uint64_t version;
	uint64_t since_ms;
};

/**
 * struct superseded - the last versions that came in force here
 * @entries: in the order in which they did, @next is the oldest
 * @next: where the next one goes
 */
struct superseded {
	struct superseded_entry entries[SUPERSEDED_MAX];
	uint32_t next;
};

/**
 * superseded_grace_ms() - time that a version has until nodes go by it
 * @announced_ms: time that operators were promised, 0 if it isn't known
 *
 * Return: the time in ms.
 */
uint64_t superseded_grace_ms(uint64_t announced_ms);

/** superseded_record() - @version is in force here; versions only rise */
void superseded_record(struct superseded *s, uint64_t version, uint64_t now_ms);

/**
 * superseded_is_expired() - whether the time of a version is up
 * @s: the versions
 * @version: the version by which a request was routed
 * @now_ms: monotonic time
 * @grace_ms: time that nodes have to put a version in force
 *
 * Return: whether a later one has been in force here for so long.
 */
bool superseded_is_expired(const struct superseded *s, uint64_t version,
    uint64_t now_ms, uint64_t grace_ms);

#endif
