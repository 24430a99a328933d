/*
 * Detection of upstream crashes.  When running requests lose their connections,
 * a probe connects to the upstream: a process that has ended refuses
 * this connection, a process that only closed some connections accepts it.
 *
 * An upstream that announced that it leaves does not count as crashed.  An
 * upstream that hangs is not detected, since its connections stay open.
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
 * struct guard_crash - pending decision whether an upstream has crashed
 * @lost: requests that ran at the upstream and lost their connection without
 *	an answer
 * @n_lost: number of @lost
 * @left_out: number of further requests that did not fit into @lost
 * @probe: connection that probes the upstream, or NULL
 * @port_refused: the upstream's port refuses connections, so it has ended
 * @settle_deadline_ms: time at which @lost is reported even if requests are
 *	still running
 * @timer: next check for running requests, or the time limit of the probe
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

/** guard_crash_init() - initialise the crash detection of a new upstream */
void guard_crash_init(struct guard_upstream *u);

/** guard_crash_clear() - stop the crash detection of an upstream to be freed */
void guard_crash_clear(struct guard_upstream *u);

/** guard_crash_connection_lost() - the connection of @r, which was running,
 * ended without an answer */
void guard_crash_connection_lost(struct guard_request *r);

#endif
