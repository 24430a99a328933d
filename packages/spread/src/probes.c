/*
 * Reads of the platform's head beside the one that waits there.
 */
#include "spread/probes.h"

#include <string.h>

#include "base/clock.h"

/*
 * An answer that takes so long is late.  A change waits for two of them where
 * nothing is probed, and the last host has it up to 1.4 s after the first one
 * (docs/design/platform.md): 2 x 0.55 s + 1.4 s are the 2.5 s within which
 * operators expect it in force.
 */
#define SLOW_MS 500

/* Late news in a row before one probe looks into it; a change each 1.5 s, as
 * deployments were seen to have, makes two of them in a fifth of the reads. */
#define LATE_READS_MIN 2

/*
 * A quick store is not looked into more often; readers of a higher rank wait up
 * to twice as long, so that one or another looks every ten seconds.  With a
 * change and so a read each 1.5 s that is one call in 27.
 */
#define MEASURE_INTERVAL_MS 30000

/* A store that refused a probe is left alone for so long: some reads, that it
 * answers by waiting, and no more calls that it can't take. */
#define REFUSED_PAUSE_MS 5000

/* Probes have half of an answer's time between them, and readers of a higher
 * rank up to a quarter less. */
#define SPACING_PARTS 2
#define RANK_PARTS 4

/* The row may come twice in an answer's time, for half of that time. */
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

/* The part of a time that falls to the own rank. */
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

/* Whether the row may come a second time while it is on the way. */
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

/* The store is known to have taken so long. */
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
	/* Without news it has waited to the end; else it may have waited. */
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
