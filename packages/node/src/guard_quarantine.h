/*
 * Quarantine at the guard: crashes of this host's upstreams and records of
 * other hosts update the quarantine state, and the guard refuses the requests
 * that the state blocks.
 */
#ifndef GUARD_QUARANTINE_H
#define GUARD_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/log.h"
#include "net/loop.h"
#include "node/guard.h"
#include "traffic/quarantine.h"

struct guard;
struct guard_request;
struct guard_upstream;

/**
 * struct guard_quarantine - quarantine of a guard
 * @state: requests that are quarantined, suspended or suspect
 * @timer: advances @state
 * @descriptions: struct description of requests that ran in crashes here
 * @publish: publishes records to all nodes, or NULL
 * @arg: argument of @publish
 * @last_record: counter that makes the ids of this guard's records unique
 * @log_limit: rate limit of log lines on requests that were suspended or
 *	answered, and on records from peers
 * @lock: guards @exported
 * @exported: struct quarantine_entry of @state, for other threads
 */
struct guard_quarantine {
	struct quarantine *state;
	struct loop_timer timer;
	GQueue descriptions;
	guard_publish_fn *publish;
	void *arg;
	uint64_t last_record;
	struct log_limit log_limit;
	GMutex lock;
	GArray *exported;
};

/** guard_quarantine_init() - initialise the quarantine of a new guard */
void guard_quarantine_init(struct guard *g);

/** guard_quarantine_clear() - free the quarantine's memory */
void guard_quarantine_clear(struct guard *g);

/** guard_quarantine_tick() - update the exported entries, so that operators see
 * the current number of refused calls */
void guard_quarantine_tick(struct guard *g);

/** guard_quarantine_describe() - keep a description of @r for operators */
void guard_quarantine_describe(const struct guard_request *r);

/** guard_quarantine_crashed() - an upstream crashed while @runs ran there */
void guard_quarantine_crashed(const struct guard_upstream *u,
    const struct fingerprint *runs, uint32_t n_runs);

/** guard_quarantine_answered() - an upstream has answered @r */
void guard_quarantine_answered(const struct guard_request *r);

/**
 * guard_quarantine_check() - refuse @r if it is quarantined, suspended or
 * undecided, or if it is a suspect and another suspect is at its upstream
 *
 * Return: whether @r was refused.
 */
bool guard_quarantine_check(struct guard_request *r);

#endif
