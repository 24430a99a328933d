/*
 * Watches the versions that the nodes of a deployment serve, all the time,
 * by GET /v1/status and by calls, and holds them against the rules of
 * version_check.h.
 */
#ifndef FUNCTIONAL_VERSION_WATCH_H
#define FUNCTIONAL_VERSION_WATCH_H

#include <stdint.h>

#include "deployment.h"

struct version_watch;

/**
 * version_watch_start() - watch all hosts, each in a thread of its own
 * @d: the deployment; must outlive the watch
 *
 * Each host counts as present.
 */
struct version_watch *version_watch_start(struct deployment *d);

/** version_watch_set_reachable() - whether a host can be reached from now on */
void version_watch_set_reachable(
    struct version_watch *w, const struct host *h, int reachable);

/** version_watch_accept() - a version was accepted; see version_check.h */
void version_watch_accept(
    struct version_watch *w, uint64_t version, uint32_t bound_ms);

/** version_watch_halted() - a version was halted */
void version_watch_halted(struct version_watch *w, uint64_t version);

/** version_watch_highest() - highest version that a host was seen to serve */
uint64_t version_watch_highest(struct version_watch *w, const struct host *h);

/**
 * version_watch_wait() - wait until all present hosts were seen to serve
 * @w: the watch
 * @version: the version, or a later one
 * @timeout_ms: how long to wait; then the test fails
 *
 * Return: milliseconds that it took.
 */
uint64_t version_watch_wait(
    struct version_watch *w, uint64_t version, uint32_t timeout_ms);

/**
 * version_watch_end() - stop watching and hold all against the platform
 * @w: the watch; freed
 *
 * The platform must answer.  The test fails if a host was hardly ever seen.
 * Return: number of violations, each of which is printed.
 */
uint32_t version_watch_end(struct version_watch *w);

#endif
