/*
 * Poison request of a soak run: a request that crashes each upstream that runs
 * it, sent repeatedly to random nodes, and the restart of those upstreams.
 */
#ifndef SOAK_CRASHER_H
#define SOAK_CRASHER_H

#include <stdbool.h>
#include <stdint.h>

#include "deployment.h"

/* Exit code of a stand-in upstream that a request has crashed. */
#define SOAK_CRASH_CODE 70

/**
 * struct soak_crasher - the poison request and its counters
 * @d: the deployment
 * @enabled: whether the request is sent at all
 * @crashes: upstreams that the request crashed since the start of the run or
 *	the last power loss
 * @sent: number of times that the request was sent
 * @quarantined: number of answers that reported the request as quarantined
 * @next_ms: monotonic time at which the request is sent next
 * @last_code: status code of the last answer, 0 for none
 * @last_took_ms: time until that answer, or until it was given up
 */
struct soak_crasher {
	struct deployment *d;
	bool enabled;
	uint32_t crashes;
	uint32_t sent;
	uint32_t quarantined;
	uint64_t next_ms;
	int last_code;
	uint64_t last_took_ms;
};

/**
 * soak_crasher_send() - send the request to the node of a host
 * @c: the request
 * @h: the host
 *
 * Return: whether the answer reported the request as quarantined.
 */
bool soak_crasher_send(struct soak_crasher *c, const struct host *h);

/**
 * soak_crasher_restart() - restart a host's upstream if it has exited
 * @c: the request; counts the exit if the request caused it
 * @h: the host
 */
void soak_crasher_restart(struct soak_crasher *c, struct host *h);

/**
 * soak_crasher_check() - check that every node quarantines the request
 * @c: the request
 *
 * Call this after all faults have ended.  The request may still crash the
 * upstreams that nodes need for a quarantine.  At the end an operator releases
 * the request, so that no node has a quarantined request.
 */
void soak_crasher_check(struct soak_crasher *c);

#endif
