/*
 * Trace: when the latest versions passed each step on their way to this node.
 *
 * The trace is for logs and metrics only; no decision depends on it, so ages
 * reported by peers are accepted as they are, within a bound.
 */
#ifndef SPREAD_TRACE_H
#define SPREAD_TRACE_H

#include <stdint.h>

/* Versions traced at a time; more are seldom in progress. */
#define TRACE_VERSIONS_MAX 8

/* Longer ages reported by peers are reduced to this. */
#define TRACE_AGE_MAX_MS 3600000U

/**
 * struct trace_entry - times of one version, by this node's monotonic clock
 * @version: its number, 0 for an unused entry
 * @read_ms: when the first node read the version from the platform
 * @known_ms: when this node first learned of the version
 * @complete_ms: when all of its content was here, 0 before
 */
struct trace_entry {
	uint64_t version;
	uint64_t read_ms;
	uint64_t known_ms;
	uint64_t complete_ms;
};

/**
 * struct trace - the latest versions
 * @entries: in no order; the lowest version is replaced first
 */
struct trace {
	struct trace_entry entries[TRACE_VERSIONS_MAX];
};

/**
 * struct spread_steps - durations of the steps until a version was in force
 * here
 * @age_ms: since the first node read it from the platform, as peers reported
 * @wait_ms: from when this node learned of it until all content was here
 * @keep_ms: from then until the floor was announced and the version committed
 */
struct spread_steps {
	uint64_t age_ms;
	uint64_t wait_ms;
	uint64_t keep_ms;
};

/**
 * trace_known() - this node learned of a version
 * @t: the trace
 * @now_ms: monotonic time
 * @version: its number
 * @age_ms: time since the first node read it from the platform; 0 if unknown
 */
void trace_known(
    struct trace *t, uint64_t now_ms, uint64_t version, uint64_t age_ms);

/** trace_complete() - all content of a version is here */
void trace_complete(struct trace *t, uint64_t now_ms, uint64_t version);

/** trace_age_ms() - time since the first node read @version; 0 if unknown */
uint64_t trace_age_ms(const struct trace *t, uint64_t now_ms, uint64_t version);

/** trace_steps() - durations of the steps of a version committed at @now_ms */
struct spread_steps
trace_steps(const struct trace *t, uint64_t now_ms, uint64_t version);

#endif
