/*
 * Clean runs: requests that an upstream on this host has answered recently.
 *
 * A request with a recent answer does not crash every upstream that runs it,
 * whatever ended an upstream while the request was in flight.  This prevents
 * popular requests from being blamed when upstreams end for another reason.
 *
 * The memory is bounded: there are two sets of CLEAN_RUNS_MAX requests, and
 * the older set is dropped when the newer one is full or CLEAN_RUNS_KEEP_MS
 * old.
 */
#ifndef TRAFFIC_CLEAN_RUNS_H
#define TRAFFIC_CLEAN_RUNS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "traffic/fingerprint.h"

#define CLEAN_RUNS_MAX 2048
#define CLEAN_RUNS_KEEP_MS 30000

/**
 * struct clean_runs - recently answered requests
 * @sets: fingerprints, the newer set first
 * @rotated_ms: monotonic time at which the newer set was started
 */
struct clean_runs {
	GHashTable *sets[2];
	uint64_t rotated_ms;
};

/** clean_runs_init() - start with empty sets; free with clean_runs_clear() */
void clean_runs_init(struct clean_runs *c, uint64_t now_ms);

/** clean_runs_clear() - free the sets */
void clean_runs_clear(struct clean_runs *c);

/** clean_runs_add() - record that request @f was answered */
void clean_runs_add(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms);

/** clean_runs_has() - whether request @f was answered recently */
bool clean_runs_has(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms);

/**
 * clean_runs_take() - same as clean_runs_has(), and remove the request
 *
 * An answer exonerates a request from one crash only: otherwise answers from
 * before a release would keep exonerating a request that crashes the new
 * release.
 */
bool clean_runs_take(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms);

#endif
