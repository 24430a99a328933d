/*
 * Continuously observes the versions that the nodes of a deployment serve, by
 * GET /v1/status and by calls, and checks them by version_check.h.
 */
#ifndef FUNCTIONAL_VERSION_WATCH_H
#define FUNCTIONAL_VERSION_WATCH_H

#include <stdint.h>

#include "deployment.h"

struct version_watch;

/**
 * version_watch_start() - observe all hosts, with one thread for each
 * @d: the deployment; must outlive the watch
 *
 * Each host counts as reachable.
 */
struct version_watch *version_watch_start(struct deployment *d);

/** version_watch_set_reachable() - set whether a host is reachable from now on
 */
void version_watch_set_reachable(
    struct version_watch *w, const struct host *h, int reachable);

/** version_watch_add_records() - add version rows of the platform, which may be
 * lost before the end, to the records; other rows are skipped */
void version_watch_add_records(struct version_watch *w, const json_t *rows);

/** version_watch_accept() - require an accepted version; see
 * version_check_accept()
 */
void version_watch_accept(
    struct version_watch *w, uint64_t version, uint32_t bound_ms);

/** version_watch_halted() - drop the requirement of a halted version */
void version_watch_halted(struct version_watch *w, uint64_t version);

/** version_watch_highest() - highest observed version of a host */
uint64_t version_watch_highest(struct version_watch *w, const struct host *h);

/**
 * version_watch_wait() - wait until all reachable hosts were observed to serve
 * a version
 * @w: the watch
 * @version: the lowest accepted version
 * @timeout_ms: how long to wait; then the test fails
 *
 * Return: duration of the wait in milliseconds.
 */
uint64_t version_watch_wait(
    struct version_watch *w, uint64_t version, uint32_t timeout_ms);

/**
 * version_watch_end() - stop observing, and check against the platform's
 * records
 * @w: the watch; freed
 *
 * The platform must answer.  The test fails if a host was observed fewer than
 * 10 times.
 *
 * Return: number of violations, each of which is printed.
 */
uint32_t version_watch_end(struct version_watch *w);

#endif
