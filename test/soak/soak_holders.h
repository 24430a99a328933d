/*
 * Connections that are held to all ports of all nodes in a soak run, and
 * newcomers beside them.
 */
#ifndef SOAK_HOLDERS_H
#define SOAK_HOLDERS_H

#include <stdint.h>

#include "deployment.h"

/* Limit on the descriptors of each node, fewer than are held to it. */
#define SOAK_NODE_DESCRIPTORS 512

struct soak_holders;

/**
 * soak_holders_start() - hold connections and ask as newcomers until
 * soak_holders_end()
 * @d: the deployment; must outlive the holders
 * @seed: seed of the order
 */
struct soak_holders *soak_holders_start(struct deployment *d, uint32_t seed);

/**
 * soak_holders_end() - stop, close the connections, and check; frees @h
 *
 * The test fails if a node that said throughout that it is ready answered no
 * newcomer for three seconds.
 */
void soak_holders_end(struct soak_holders *h);

#endif
