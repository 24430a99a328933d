/*
 * Preload of the test driver: all nodes of a large world know all hosts from
 * the start, so that a measurement need not wait for them to find each other.
 */
#ifndef DRIVER_PRELOAD_H
#define DRIVER_PRELOAD_H

#include "world.h"

/** preload_record() - take down the records of all nodes that are up */
void preload_record(struct world *w);

/** preload_clear() - from now on nodes join as usual */
void preload_clear(struct world *w);

/** preload_respond() - answer a node's join; 0 if there is no preload */
int preload_respond(struct node *n, const struct outbox_item *item);

#endif
