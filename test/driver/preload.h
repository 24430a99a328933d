/*
 * Preload of the test driver: the first join of each node of a large world
 * returns all hosts, so that a measurement does not have to wait until
 * membership has converged.
 */
#ifndef DRIVER_PRELOAD_H
#define DRIVER_PRELOAD_H

#include "world.h"

/** preload_record() - record the member rows of all nodes */
void preload_record(struct world *w);

/** preload_clear() - let nodes join as usual from now on */
void preload_clear(struct world *w);

/** preload_respond() - respond to a node's join; 0 if @item is no join or there
 * is no preload */
int preload_respond(struct node *n, const struct outbox_item *item);

#endif
