/*
 * Instances: selection of the current run of the upstream on this host.
 *
 * Each start of an upstream has a new instance name, or the name of an earlier
 * run and a later start time.  Heartbeats may arrive late and out of order.  A
 * heartbeat of a run that has ended must not replace the run that followed, and
 * a heartbeat sent before a drain must not undo the drain.
 */
#ifndef MEMBERSHIP_INSTANCES_H
#define MEMBERSHIP_INSTANCES_H

#include <stdint.h>

#include "proto/messages.h"

/* Most runs kept. */
#define INSTANCES_MAX 8

/**
 * enum instance_verdict - whether a heartbeat is to be used
 * @INSTANCE_CURRENT: of the current run; its state applies
 * @INSTANCE_STALE: late, or of a run that was replaced or has left
 */
enum instance_verdict {
	INSTANCE_CURRENT = 0,
	INSTANCE_STALE,
};

/**
 * struct instance - one run
 * @id: its name, interned; NULL for an unused entry
 * @started_ms: start time by the clock of its upstream, 0 when unknown; only
 *	compared with other runs of the same upstream
 * @seq: highest sequence number received
 * @heartbeats: heartbeats received since another run replaced this run
 * @left: the run reported that it leaves
 */
struct instance {
	const char *id;
	uint64_t started_ms;
	uint64_t seq;
	uint32_t heartbeats;
	int left;
};

/**
 * struct instances - the runs of one upstream
 * @runs: known runs, the latest first
 * @has_current: whether the first run is current; 0 once it has left
 * @restored: reports to an earlier process of this node
 * @n_restored: number of @restored
 */
struct instances {
	struct instance runs[INSTANCES_MAX];
	int has_current;
	struct rec_run restored[INSTANCES_MAX];
	uint32_t n_restored;
};

/** instance_key() - key of a run's name in struct rec_run */
uint64_t instance_key(const char *id);

/** instances_init() - start without known runs */
void instances_init(struct instances *s);

/**
 * instances_heartbeat() - handle a heartbeat
 * @s: the runs
 * @id: name of the run
 * @started_ms: start time of the run, 0 when unknown
 * @seq: sequence number of the heartbeat, which rises with each heartbeat of a
 * run
 *
 * A later start under a known name is a new run: its sequence numbers start
 * anew, and a leave of the earlier run does not apply.
 */
enum instance_verdict instances_heartbeat(
    struct instances *s, const char *id, uint64_t started_ms, uint64_t seq);

/**
 * instances_left() - handle the report of a run that it leaves
 * @s: the runs
 * @id: name of the run
 * @started_ms: start time of the run, 0 when unknown
 *
 * Return: 1 when the run was current, else 0.
 */
int instances_left(struct instances *s, const char *id, uint64_t started_ms);

/**
 * instances_restore() - handle a report that an earlier process of this node
 * received
 * @s: the runs
 * @report: the report; heartbeats that precede it are stale
 *
 * Return: 1 when the run was current and has left, else 0.
 */
int instances_restore(struct instances *s, const struct rec_run *report);

/** instances_started_ms() - start time of a known run; 0 when unknown */
uint64_t instances_started_ms(const struct instances *s, const char *id);

/** instances_current() - name of the current run, interned, or "" */
const char *instances_current(const struct instances *s);

/**
 * instances_is_latest() - whether a run is current, or was until it left
 * @s: the runs
 * @id: its name
 * @started_ms: its start time; 0 when unknown
 */
int instances_is_latest(
    const struct instances *s, const char *id, uint64_t started_ms);

/**
 * instances_current_started_ms() - start time of the current run; 0 when
 * unknown
 */
uint64_t instances_current_started_ms(const struct instances *s);

#endif
