/*
 * Requests with customers' keys in a soak run.  Each version that is signed off
 * replaces the keys of all customers.
 */
#ifndef SOAK_KEYS_H
#define SOAK_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include "deployment.h"

struct soak_keys;

/**
 * soak_keys_start() - send requests with keys until soak_keys_end(), to nodes
 * and with keys that are drawn from a seed
 * @d: the deployment; must outlive the requests
 * @seed: the seed
 *
 * Some requests name another customer in a header of their own, and some have
 * no key or one that no version holds.
 */
struct soak_keys *soak_keys_start(struct deployment *d, uint32_t seed);

/**
 * soak_keys_end() - stop, and check all runs and the keys that are valid now
 * @k: the requests; freed
 * @last: number of the last bundle written
 * @in_force: whether the last bundle is in force at all nodes
 *
 * All faults must have ended.  The test fails if an upstream ran a request for
 * another customer than the holder of its key, or unnamed, or if the nodes
 * don't agree on the one bundle whose keys are valid.
 */
void soak_keys_end(struct soak_keys *k, uint32_t last, bool in_force);

#endif
