/*
 * Reference implementation of the test driver: each node polls the whole bundle
 * from the platform.
 */
#ifndef DRIVER_NAIVE_H
#define DRIVER_NAIVE_H

#include "world.h"

/** naive_start() - start polling in a new process of the reference
 * implementation */
void naive_start(struct node *n);

#endif
