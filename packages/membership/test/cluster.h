/*
 * Clusters on the virtual network, shared by several tests.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <stdint.h>

#include "fake_net.h"

/**
 * cluster_begin() - start @n nodes in @dcs data centres; the test fails unless
 * they agree within @timeout_ms
 */
struct fake_net *
cluster_begin(uint32_t seed, uint32_t n, uint32_t dcs, uint64_t timeout_ms);

/** cluster_wait() - run until @done holds; the test fails after @timeout_ms */
void cluster_wait(struct fake_net *f, uint32_t seed, uint64_t timeout_ms,
    int (*done)(struct fake_net *f), const char *what);

/** cluster_end() - free @f; the test fails if the checker found a violation */
void cluster_end(struct fake_net *f, uint32_t seed);

#endif
