/*
 * Probes: reads of the platform's head beside the one that waits there.
 *
 * A read that waits ends with the first change, and while its answer is on the
 * way nothing tells of the next one.  Where answers take long that change is
 * two answers old when a reader holds it.  Probes don't wait: as one is asked
 * for each half of an answer's time, it is one and a half old at most.  They
 * cost calls, so a reader probes only while the store is known to be slow, and
 * a link on which the row itself takes long carries it once and not twice.
 *
 * Readers of a data centre are woken by the same change; each rank has times
 * of its own, so that they don't go on asking at the same moments.
 */
#ifndef SPREAD_PROBES_H
#define SPREAD_PROBES_H

#include <stdint.h>

#include "spread/spread.h"

/* Probes under way at most: an answer's time over the least spacing. */
#define PROBES_MAX 3

/**
 * struct probes - state of the probing
 * @rank: own rank among the readers of the data centre
 * @readers: their number
 * @wait_ms: how long a read of the head may wait; 0 and nothing is probed
 * @read_wait_ms: how long the one under way may
 * @slow_latency_ms: how long the store takes for an answer, 0 when that is
 *short
 * @body_ms: how long the row took last on the way here
 * @late_reads: answers in a row that brought news late, by a change that came
 *late or by a store that is slow
 * @next_measure_ms: late_reads are not looked into before
 * @refused_until_ms: nothing is probed before, since a probe was refused
 * @waits_until_ms: until when the read under way waits for the next change, 0
 *	if there is none or the change has come
 * @due_ms: when the next probe is due
 * @started_ms: when the probes under way were asked for, oldest first
 * @n_in_flight: their number
 */
struct probes {
	uint32_t rank;
	uint32_t readers;
	uint32_t wait_ms;
	uint32_t read_wait_ms;
	uint32_t slow_latency_ms;
	uint32_t body_ms;
	uint32_t late_reads;
	uint64_t next_measure_ms;
	uint64_t refused_until_ms;
	uint64_t waits_until_ms;
	uint64_t due_ms;
	uint64_t started_ms[PROBES_MAX];
	uint32_t n_in_flight;
};

/** probes_init() - a store that is quick, and whose reads don't wait */
void probes_init(struct probes *p);

/** probes_set_long_poll() - reads of the head wait for a change for @wait_ms */
void probes_set_long_poll(struct probes *p, uint32_t wait_ms);

/**
 * probes_on_read_started() - the read that waits was asked for
 * @p: the probing
 * @now_ms: monotonic time
 * @wait_ms: how long it may wait
 * @rank: own rank among the readers of the data centre
 * @readers: their number
 */
void probes_on_read_started(struct probes *p, uint64_t now_ms, uint32_t wait_ms,
    uint32_t rank, uint32_t readers);

/**
 * probes_on_read_ended() - the read that waits ended
 * @p: the probing
 * @took_ms: how long it took
 * @end: how it ended
 */
void probes_on_read_ended(
    struct probes *p, uint64_t took_ms, const struct spread_read_end *end);

/**
 * probes_start() - ask for a probe if one is due
 *
 * Return: whether one is to be asked for now; probes_skip_next() then tells
 * which.
 */
int probes_start(struct probes *p, uint64_t now_ms);

/**
 * probes_skip_next() - whether only what follows the next change is wanted
 *
 * The read that waits brings the next change by itself; a probe that gave it
 * as well would be the same row once more.
 */
int probes_skip_next(const struct probes *p, uint64_t now_ms);

/** probes_on_ended() - the oldest probe under way ended, as @end tells */
void probes_on_ended(
    struct probes *p, uint64_t now_ms, const struct spread_read_end *end);

/** probes_next_ms() - when probes_start() is due, DEADLINE_NEVER if not */
uint64_t probes_next_ms(const struct probes *p);

#endif
