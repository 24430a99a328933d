/*
 * Trace: when the last versions passed each step on their way to this node.
 *
 * Decides nothing: it is what logs and metrics are made of, so ages that peers
 * tell are taken as they come, within a bound.
 */
#ifndef SPREAD_TRACE_H
#define SPREAD_TRACE_H

#include <stdint.h>

/* Versions that are followed at a time; more are seldom under way. */
#define TRACE_VERSIONS_MAX 8

/* A peer that tells no age, or a longer one, is taken to have told this. */
#define TRACE_AGE_MAX_MS 3600000U

/**
 * struct trace_entry - one version
 * @version: its number, 0 for an unused entry
 * @read_ms: when a node first read it at the platform, by the own clock
 * @known_ms: when this node first heard of it
 * @complete_ms: when all of its content was here, 0 while it was not
 */
struct trace_entry {
	uint64_t version;
	uint64_t read_ms;
	uint64_t known_ms;
	uint64_t complete_ms;
};

/**
 * struct trace - the last versions
 * @entries: in no order; the lowest version is replaced
 */
struct trace {
	struct trace_entry entries[TRACE_VERSIONS_MAX];
};

/**
 * struct spread_steps - how long a version took to come in force here
 * @age_ms: since a node first read it at the platform, as far as peers told
 * @wait_ms: from when it was known here until all of it was here
 * @keep_ms: from then until the floor was kept and the version was taken
 */
struct spread_steps {
	uint64_t age_ms;
	uint64_t wait_ms;
	uint64_t keep_ms;
};

/**
 * trace_known() - a version was heard of
 * @t: the trace
 * @now_ms: monotonic time
 * @version: its number
 * @age_ms: time since a node first read it at the platform; 0 when not told
 */
void trace_known(
    struct trace *t, uint64_t now_ms, uint64_t version, uint64_t age_ms);

/** trace_complete() - all content of a version is here */
void trace_complete(struct trace *t, uint64_t now_ms, uint64_t version);

/** trace_age_ms() - time since a node first read @version; 0 if not known */
uint64_t trace_age_ms(const struct trace *t, uint64_t now_ms, uint64_t version);

/** trace_steps() - what a version that is taken now has needed */
struct spread_steps
trace_steps(const struct trace *t, uint64_t now_ms, uint64_t version);

#endif
