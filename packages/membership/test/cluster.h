/*
 * A cluster on the virtual network, as tests of several files begin and end it.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <stdint.h>

#include "fake_net.h"

/** cluster_begin() - @n nodes in @dcs data centres that know each other within
 * @timeout_ms, or the test fails */
struct fake_net *
cluster_begin(uint32_t seed, uint32_t n, uint32_t dcs, uint64_t timeout_ms);

/** cluster_wait() - the test fails unless @done holds within @timeout_ms */
void cluster_wait(struct fake_net *f, uint32_t seed, uint64_t timeout_ms,
    int (*done)(struct fake_net *f), const char *what);

/** cluster_end() - the checker must have seen nothing wrong; frees @f */
void cluster_end(struct fake_net *f, uint32_t seed);

#endif
