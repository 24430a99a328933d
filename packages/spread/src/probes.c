/*
 * Probes: reads of the platform's head beside the long poll.
 */
#include "spread/probes.h"

#include <string.h>

#include "base/clock.h"

/*
 * Answers that take this long count as late.  Without probes a change is up to
 * two answer times old when a reader has it, and the last host has it up to
 * 1.4 s after the first (docs/design/platform.md): 2 x 0.55 s + 1.4 s is the
 * 2.5 s within which operators expect a change in force.
 */
#define SLOW_MS 500

/* Consecutive late reads after which one probe measures the store.  With a
 * change each 1.5 s, as observed in deployments, two late reads in a row occur
 * in a fifth of the reads even if the store is fast. */
#define LATE_READS_MIN 2

/*
 * Least time between two measurements of a fast store.  The interval grows with
 * the rank of the reader, up to twice as long, so that one of the readers
 * measures about every ten seconds.  With a change, and so a read, each 1.5 s
 * that is one call in 27.
 */
#define MEASURE_INTERVAL_MS 30000

/* Pause after the store refused a probe or did not answer: long enough for some
 * long polls, and no extra calls while the store is overloaded. */
#define REFUSED_PAUSE_MS 5000

/* Probes are spaced by an answer time divided by SPACING_PARTS; for readers
 * after the first, the spacing is shorter by up to 1 / RANK_PARTS of that. */
#define SPACING_PARTS 2
#define RANK_PARTS 4

/* Probes may transfer the row twice per answer time, as long as the transfers
 * take no more than half of that time together. */
#define BODY_PARTS 4

void
probes_init(struct probes *p)
{
	memset(p, 0, sizeof(*p));
	p->due_ms = DEADLINE_NEVER;
}

void
probes_set_long_poll(struct probes *p, uint32_t wait_ms)
{
	p->wait_ms = wait_ms;
}

/* The share of a time that corresponds to this host's rank; 0 for the first. */
static uint32_t
probes_rank_offset_ms(const struct probes *p, uint32_t ms)
{
	if (p->rank >= p->readers)
		return 0;
	return (uint32_t)((uint64_t)ms * p->rank / p->readers);
}

static uint32_t
probes_spacing_ms(const struct probes *p)
{
	uint32_t most_ms = p->slow_latency_ms / SPACING_PARTS;

	return most_ms - probes_rank_offset_ms(p, most_ms / RANK_PARTS);
}

/* Whether the link can carry the row a second time. */
static int
probes_link_has_room(const struct probes *p)
{
	return p->slow_latency_ms == 0 ||
	    p->body_ms <= p->slow_latency_ms / BODY_PARTS;
}

static int
probes_should_measure(const struct probes *p, uint64_t now_ms)
{
	return p->slow_latency_ms == 0 && p->late_reads >= LATE_READS_MIN &&
	    now_ms >= p->next_measure_ms;
}

void
probes_on_read_started(struct probes *p, uint64_t now_ms, uint32_t wait_ms,
    uint32_t rank, uint32_t readers)
{
	if (p->wait_ms == 0)
		return;
	p->rank = rank;
	p->readers = readers;
	p->read_wait_ms = wait_ms;
	p->waits_until_ms = now_ms + wait_ms;
	p->due_ms = DEADLINE_NEVER;
	if (p->slow_latency_ms > 0)
		p->due_ms = now_ms + probes_spacing_ms(p);
	else if (probes_should_measure(p, now_ms))
		p->due_ms = now_ms;
}

/* Sets the time that the store takes for an answer. */
static void
probes_set_latency(struct probes *p, uint64_t took_ms)
{
	p->late_reads = 0;
	p->slow_latency_ms = took_ms < SLOW_MS ? 0 : (uint32_t)took_ms;
	if (p->slow_latency_ms == 0)
		p->due_ms = DEADLINE_NEVER;
}

void
probes_on_read_ended(
    struct probes *p, uint64_t took_ms, const struct spread_read_end *end)
{
	p->waits_until_ms = 0;
	if (p->wait_ms == 0 || !end->ok)
		return;
	took_ms -= MIN(took_ms, end->body_ms);
	if (end->has_row)
		p->body_ms = end->body_ms;
	/* A long poll without a row waited to its end, so the rest of its time
	 * is the latency.  A long poll with a row waited for an unknown time;
	 * only a short one gives a bound of the latency. */
	if (!end->has_row && took_ms >= p->read_wait_ms)
		probes_set_latency(p, took_ms - p->read_wait_ms);
	else if (took_ms < SLOW_MS)
		probes_set_latency(p, took_ms);
	else
		p->late_reads++;
}

int
probes_start(struct probes *p, uint64_t now_ms)
{
	if (now_ms < p->due_ms)
		return 0;
	p->due_ms = DEADLINE_NEVER;
	if (p->n_in_flight == PROBES_MAX || !probes_link_has_room(p) ||
	    now_ms < p->refused_until_ms)
		return 0;
	p->started_ms[p->n_in_flight++] = now_ms;
	if (p->slow_latency_ms > 0)
		p->due_ms = now_ms + probes_spacing_ms(p);
	return 1;
}

int
probes_skip_next(const struct probes *p, uint64_t now_ms)
{
	return now_ms < p->waits_until_ms;
}

void
probes_on_ended(
    struct probes *p, uint64_t now_ms, const struct spread_read_end *end)
{
	uint64_t took_ms;

	if (p->n_in_flight == 0)
		return;
	took_ms = now_ms - p->started_ms[0];
	memmove(&p->started_ms[0], &p->started_ms[1],
	    --p->n_in_flight * sizeof(p->started_ms[0]));
	if (!end->ok) {
		p->refused_until_ms = now_ms + REFUSED_PAUSE_MS;
		return;
	}
	if (end->has_row) {
		p->body_ms = end->body_ms;
		p->waits_until_ms = 0;
	}
	probes_set_latency(p, took_ms - MIN(took_ms, end->body_ms));
	if (p->slow_latency_ms == 0)
		p->next_measure_ms = now_ms + MEASURE_INTERVAL_MS +
		    probes_rank_offset_ms(p, MEASURE_INTERVAL_MS);
	else if (p->due_ms == DEADLINE_NEVER)
		p->due_ms = now_ms;
}

uint64_t
probes_next_ms(const struct probes *p)
{
	return p->due_ms;
}
