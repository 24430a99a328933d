/*
 * Checks that upstreams don't work for callers that have left.
 *
 * A call whose caller left may not begin to run, and unless it has an
 * idempotency key may not be at work, later than a limit after that.  Calls
 * with a key are exempt: they run on, and a repetition may run them.
 */
#ifndef STANDINS_DEPARTURES_H
#define STANDINS_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "standins/outcomes.h"

/**
 * struct late_work - work for a caller that had left
 * @test_id: the call
 * @host: host of the upstream
 * @node: index of the node that the caller called
 * @began: whether the run began too late, rather than ended too late
 * @left_ms: monotonic time at which the caller left
 * @until_ms: monotonic time at which the run began or ended
 */
struct late_work {
	char test_id[OUTCOMES_ID_BYTES];
	char host[OUTCOMES_ID_BYTES];
	uint32_t node;
	bool began;
	uint64_t left_ms;
	uint64_t until_ms;
};

/**
 * departures_check() - find work that began or went on too late
 * @calls: array of struct outcome
 * @journal: path of an upstream's journal; its ends are in the file beside it,
 *	see runs.h
 * @limit_ms: time after which work is too late
 * @out: array of struct late_work; findings are appended
 *
 * Return: STATUS_OK, or STATUS_IO if the journal can't be read.
 */
enum status departures_check(
    const GArray *calls, const char *journal, uint32_t limit_ms, GArray *out);

#endif
