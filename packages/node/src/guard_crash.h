/*
 * Finds out whether an upstream has ended, when requests that it ran lose
 * their connections: a process that ended takes no new connection, one that
 * only closed a connection does.
 *
 * An upstream that said before that it leaves has not crashed.  One that falls
 * silent isn't found out: its connections don't end.
 */
#ifndef GUARD_CRASH_H
#define GUARD_CRASH_H

#include <stdbool.h>
#include <stdint.h>

#include "net/conn.h"
#include "net/loop.h"
#include "traffic/fingerprint.h"
#include "traffic/quarantine.h"

struct guard_request;
struct guard_upstream;

/**
 * struct guard_crash - has an upstream ended, or only some connections to it?
 * @lost: requests that ran there and lost their connection, without an answer
 * @n_lost: number of @lost
 * @left_out: further ones that found no room
 * @probe: connection that finds it out, or NULL
 * @port_refused: the upstream takes no connections: it has ended
 * @settle_deadline_ms: when what ran there is complete at the latest
 * @timer: when what ran there is complete, or the probe is given up
 */
struct guard_crash {
	struct fingerprint lost[CRASH_RUNS_MAX];
	uint32_t n_lost;
	uint32_t left_out;
	struct conn *probe;
	bool port_refused;
	uint64_t settle_deadline_ms;
	struct loop_timer timer;
};

/** guard_crash_init() - of a new upstream */
void guard_crash_init(struct guard_upstream *u);

/** guard_crash_clear() - of an upstream that is freed */
void guard_crash_clear(struct guard_upstream *u);

/** guard_crash_connection_lost() - @r ran, and its connection ended without an
 * answer
 */
void guard_crash_connection_lost(struct guard_request *r);

#endif
