/*
 * Instances: which run of the upstream on this host counts.
 *
 * A start of an upstream has a name of its own, or the name of an earlier one
 * and a later time of its start.  Heartbeats may arrive late and out of order:
 * one of a run that has ended must not replace the run that followed it, and
 * one sent before a drain must not undo it.
 */
#ifndef MEMBERSHIP_INSTANCES_H
#define MEMBERSHIP_INSTANCES_H

#include <stdint.h>

/* Longest name of an instance, zero included. */
#define INSTANCE_BYTES 64

/* Runs that are remembered. */
#define INSTANCES_MAX 8

/**
 * enum instance_verdict - what a heartbeat is worth
 * @INSTANCE_CURRENT: it tells the state of the run that counts
 * @INSTANCE_STALE: it is late, or of a run that has been replaced or has left
 */
enum instance_verdict {
	INSTANCE_CURRENT = 0,
	INSTANCE_STALE,
};

/**
 * struct instance - one run
 * @id: its name; empty for an unused place
 * @started_ms: when it started, by the clock of its upstream, 0 when not told;
 *	only compared with others of the same upstream
 * @seq: highest number heard
 * @heartbeats: heartbeats heard since another run took its place
 * @left: it said that it leaves
 */
struct instance {
	char id[INSTANCE_BYTES];
	uint64_t started_ms;
	uint64_t seq;
	uint32_t heartbeats;
	int left;
};

/**
 * struct instances - the runs of one upstream
 * @runs: those known, the one that counts first
 * @has_current: whether the first one counts
 */
struct instances {
	struct instance runs[INSTANCES_MAX];
	int has_current;
};

/** instances_init() - none is known */
void instances_init(struct instances *s);

/**
 * instances_heartbeat() - a heartbeat came
 * @s: the runs
 * @id: name of the run
 * @started_ms: when the run started, 0 when not told
 * @seq: number of the heartbeat, which rises with each of a run
 *
 * A later start under a known name is a new run: its numbers begin anew, and
 * that the earlier one left says nothing of it.
 */
enum instance_verdict instances_heartbeat(
    struct instances *s, const char *id, uint64_t started_ms, uint64_t seq);

/**
 * instances_left() - a run said that it leaves
 * @s: the runs
 * @id: name of the run
 * @started_ms: when the run started, 0 when not told
 *
 * Return: 1 when it is the one that counted, else 0.
 */
int instances_left(struct instances *s, const char *id, uint64_t started_ms);

/** instances_current() - name of the run that counts, or "" */
const char *instances_current(const struct instances *s);

/**
 * instances_is_latest() - whether a run counts, or counted until it left
 * @s: the runs
 * @id: its name
 * @started_ms: when it started; 0 when not told
 */
int instances_is_latest(
    const struct instances *s, const char *id, uint64_t started_ms);

/** instances_current_started_ms() - when that run started; 0 when not told */
uint64_t instances_current_started_ms(const struct instances *s);

#endif
