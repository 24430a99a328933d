/*
 * Naive version: each node polls the whole bundle from the platform.
 */
#ifndef DRIVER_NAIVE_H
#define DRIVER_NAIVE_H

#include "world.h"

/** naive_start() - a process of the naive version starts on a host */
void naive_start(struct node *n);

#endif
