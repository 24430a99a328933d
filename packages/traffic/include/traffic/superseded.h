/*
 * Superseded versions: how long a later version than the one that routed a
 * request has been in force on this node.
 *
 * A guard checks a request that was routed by an expired version against the
 * version in force.  For a grace time after a change both versions are valid.
 */
#ifndef TRAFFIC_SUPERSEDED_H
#define TRAFFIC_SUPERSEDED_H

#include <stdbool.h>
#include <stdint.h>

/* Number of versions in the history; covers 5 s of one change every 0.3 s. */
#define SUPERSEDED_MAX 16

/**
 * struct superseded_entry - a version in the history
 * @version: version number, 0 for an unused entry
 * @since_ms: monotonic time at which the version came into force on this node
 */
struct superseded_entry {
	uint64_t version;
	uint64_t since_ms;
};

/**
 * struct superseded - the last versions that came into force on this node
 * @entries: ring buffer in order of time; @next is the oldest entry
 * @next: index that is written next
 */
struct superseded {
	struct superseded_entry entries[SUPERSEDED_MAX];
	uint32_t next;
};

/**
 * superseded_grace_ms() - time within which all nodes put a version in force
 * @announced_ms: time that was announced to operators, 0 if unknown
 *
 * Return: the time in ms; a default if @announced_ms is unknown.
 */
uint64_t superseded_grace_ms(uint64_t announced_ms);

/**
 * superseded_record() - @version is in force on this node; versions only rise
 */
void superseded_record(struct superseded *s, uint64_t version, uint64_t now_ms);

/**
 * superseded_is_expired() - whether the grace time of a version has passed
 * @s: the history
 * @version: the version by which a request was routed
 * @now_ms: monotonic time
 * @grace_ms: time within which nodes put a version in force
 *
 * Return: whether a later version has been in force on this node for
 * @grace_ms.
 */
bool superseded_is_expired(const struct superseded *s, uint64_t version,
    uint64_t now_ms, uint64_t grace_ms);

#endif
