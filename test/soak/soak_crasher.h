/*
 * A request that crashes the upstreams which run it, sent again and again to
 * any node during a run of the soak, and what starts its upstreams again.
 */
#ifndef SOAK_CRASHER_H
#define SOAK_CRASHER_H

#include <stdbool.h>
#include <stdint.h>

#include "deployment.h"

/* Exit code of a stand-in that a request has ended. */
#define SOAK_CRASH_CODE 70

/**
 * struct soak_crasher - the request and what it did
 * @d: the deployment
 * @enabled: whether it is sent at all
 * @crashes: upstreams that it ended since the start or the last loss of power
 * @sent: how often it was sent
 * @quarantined: answers that it is quarantined
 * @next_ms: when it is sent next
 */
struct soak_crasher {
	struct deployment *d;
	bool enabled;
	uint32_t crashes;
	uint32_t sent;
	uint32_t quarantined;
	uint64_t next_ms;
};

/** soak_crasher_send() - send it to a host; whether it was told to be
 * quarantined
 */
bool soak_crasher_send(struct soak_crasher *c, const struct host *h);

/** soak_crasher_restart() - start a host's upstream again if the request ended
 * it
 */
void soak_crasher_restart(struct soak_crasher *c, struct host *h);

/**
 * soak_crasher_check() - all is mended: every node holds it off
 *
 * It may crash as many upstreams as nodes need to hold it off, now that nothing
 * else happens.  At the end an operator releases it, so that nothing is held
 * off any more.
 */
void soak_crasher_check(struct soak_crasher *c);

#endif
