/*
 * Clean runs: which requests an upstream here has answered lately.
 *
 * A request that was answered doesn't end each upstream that runs it, whatever
 * ended one while it ran there.  This is what keeps requests that many send
 * from being blamed when upstreams end for another reason.
 *
 * Bounded: two sets of CLEAN_RUNS_MAX, of which the older goes when the newer
 * is full or CLEAN_RUNS_KEEP_MS old.
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
 * struct clean_runs - requests answered lately
 * @sets: fingerprints, the newer set first
 * @rotated_ms: when the newer one was begun
 */
struct clean_runs {
	GHashTable *sets[2];
	uint64_t rotated_ms;
};

/** clean_runs_init() - none; free with clean_runs_clear() */
void clean_runs_init(struct clean_runs *c, uint64_t now_ms);

/** clean_runs_clear() - free what it holds */
void clean_runs_clear(struct clean_runs *c);

/** clean_runs_add() - @f was answered */
void clean_runs_add(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms);

/** clean_runs_has() - whether it was answered lately */
bool clean_runs_has(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms);

/**
 * clean_runs_take() - the same, and forget it
 *
 * One answer exonerates a request of one crash: a request that begins to end
 * upstreams, as after a release, is not covered for long by what came before.
 */
bool clean_runs_take(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms);

#endif
