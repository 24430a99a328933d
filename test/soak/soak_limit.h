/*
 * Requests of a customer beyond its limit in a soak run.  The limit holds over
 * all nodes.
 */
#ifndef SOAK_LIMIT_H
#define SOAK_LIMIT_H

#include <stdint.h>

#include "deployment.h"

struct soak_limit;

/**
 * soak_limit_start() - send requests of the customer DEPLOYMENT_LIMITED at more
 * than twice its rate until soak_limit_end(), to nodes that are drawn from a
 * seed
 * @d: the deployment; must outlive the requests
 * @seed: the seed
 */
struct soak_limit *soak_limit_start(struct deployment *d, uint32_t seed);

/**
 * soak_limit_end() - stop, and check the runs of all upstreams; frees @l
 *
 * The test fails if more runs began in any window of five seconds than the
 * limit allows.
 */
void soak_limit_end(struct soak_limit *l);

#endif
