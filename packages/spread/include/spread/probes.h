/*
 * Probes: reads of the platform's head beside the long poll.
 *
 * A long poll ends with the first change, and while its answer is in transit
 * nothing reports the next change.  With a slow store that next change is two
 * answer times old when a reader has it.  Probes return at once instead of
 * waiting: one probe is sent per half of an answer time, so that a change is at
 * most one and a half answer times old.  Probes cost calls, so a reader only
 * probes while the store is known to be slow, and not at all over a link on
 * which the row itself takes long, since that link would carry the row twice.
 *
 * One change wakes all readers of a data centre; the schedule depends on the
 * rank, so that their probes don't stay synchronised.
 */
#ifndef SPREAD_PROBES_H
#define SPREAD_PROBES_H

#include <stdint.h>

#include "spread/spread.h"

/* Most probes in flight: an answer time divided by the least spacing. */
#define PROBES_MAX 3

/**
 * struct probes - state of the probing
 * @rank: this host's rank among the readers of its data centre
 * @readers: number of readers of the data centre
 * @wait_ms: longest wait of a long poll; without long polls 0, and there are no
 *	probes
 * @read_wait_ms: longest wait of the long poll in flight
 * @slow_latency_ms: time that the store takes for an answer, 0 if it is short
 * @body_ms: transfer time of the last row
 * @late_reads: consecutive reads that delivered a row late, because either the
 *	change came late or the store is slow
 * @next_measure_ms: earliest time of the next probe that measures a store taken
 *	to be fast
 * @refused_until_ms: earliest time of the next probe after a probe that the
 *	store refused or did not answer
 * @waits_until_ms: until when the long poll in flight waits for the next
 *	change, 0 if there is none or the change has come
 * @due_ms: when the next probe is due
 * @started_ms: start times of the probes in flight, oldest first
 * @n_in_flight: number of probes in flight
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

/** probes_init() - start with a fast store and without long polls */
void probes_init(struct probes *p);

/** probes_set_long_poll() - reads of the head wait for a change for @wait_ms */
void probes_set_long_poll(struct probes *p, uint32_t wait_ms);

/**
 * probes_on_read_started() - a long poll was started
 * @p: the probing
 * @now_ms: monotonic time
 * @wait_ms: longest wait of the long poll
 * @rank: this host's rank among the readers of its data centre
 * @readers: number of readers of the data centre
 */
void probes_on_read_started(struct probes *p, uint64_t now_ms, uint32_t wait_ms,
    uint32_t rank, uint32_t readers);

/**
 * probes_on_read_ended() - the long poll ended
 * @p: the probing
 * @took_ms: its duration
 * @end: its result
 */
void probes_on_read_ended(
    struct probes *p, uint64_t took_ms, const struct spread_read_end *end);

/**
 * probes_start() - start a probe if one is due
 *
 * Return: whether the caller is to send a probe now; probes_skip_next() returns
 * its kind.
 */
int probes_start(struct probes *p, uint64_t now_ms);

/**
 * probes_skip_next() - whether a probe is to skip the next change and ask for
 * the changes after it
 *
 * The long poll delivers the next change by itself; a probe that returned that
 * change as well would transfer the same row twice.
 */
int probes_skip_next(const struct probes *p, uint64_t now_ms);

/** probes_on_ended() - the oldest probe in flight ended with result @end */
void probes_on_ended(
    struct probes *p, uint64_t now_ms, const struct spread_read_end *end);

/** probes_next_ms() - when probes_start() is due, DEADLINE_NEVER if not */
uint64_t probes_next_ms(const struct probes *p);

#endif
