/*
 * The quarantine at the guard: crashes of this host's upstreams and news of
 * other hosts go to the decision, and what it holds off is refused.
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
 * struct guard_quarantine - state of the quarantine at the guard
 * @state: what is quarantined, suspended and suspect
 * @timer: wakes the decision
 * @descriptions: struct description of requests that ran in crashes here
 * @publish: publishes records to all nodes, or NULL
 * @arg: argument of @publish
 * @crashes: crashes seen here
 * @log_limit: bound on lines of requests that were answered or that peers told
 * of
 * @lock: guards @exported
 * @exported: struct quarantine_entry for other threads
 */
struct guard_quarantine {
	struct quarantine *state;
	struct loop_timer timer;
	GQueue descriptions;
	guard_publish_fn *publish;
	void *arg;
	uint64_t crashes;
	struct log_limit log_limit;
	GMutex lock;
	GArray *exported;
};

/** guard_quarantine_init() - of a new guard */
void guard_quarantine_init(struct guard *g);

/** guard_quarantine_clear() - of a guard that is freed */
void guard_quarantine_clear(struct guard *g);

/** guard_quarantine_tick() - let operators see how often it was asked for */
void guard_quarantine_tick(struct guard *g);

/** guard_quarantine_describe() - note for operators what @r asks */
void guard_quarantine_describe(const struct guard_request *r);

/** guard_quarantine_crashed() - an upstream crashed while @runs ran there */
void guard_quarantine_crashed(const struct guard_upstream *u,
    const struct fingerprint *runs, uint32_t n_runs);

/** guard_quarantine_answered() - an upstream has answered @r */
void guard_quarantine_answered(const struct guard_request *r);

/**
 * guard_quarantine_check() - refuse @r if it is quarantined, suspended or
 * undecided, or a suspect while another one runs there
 *
 * Return: whether it was refused.
 */
bool guard_quarantine_check(struct guard_request *r);

#endif
