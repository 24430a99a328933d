/*
 * Platform of the test driver as a feed: reads of the head wait for a change
 * and give the whole version, as where operators write to the platform
 * themselves.  It may turn single nodes away while it serves the others.
 */
#ifndef DRIVER_FOLLOW_H
#define DRIVER_FOLLOW_H

#include <stdint.h>

#include "spread/spread.h"

struct node;
struct world;

/* How long a read waits for a change, as the daemon's shell has it. */
#define FOLLOW_WAIT_MS 1800

/** enum follow_access - what becomes of a node's reads */
enum follow_access {
	FOLLOW_SERVED = 0,
	FOLLOW_REJECTED,    /* they fail at once, those that wait too */
	FOLLOW_NO_RESPONSE, /* they are never answered */
};

/** follow_start() - a node's process has started */
void follow_start(struct node *n);

/** follow_read() - a node's spread wants something read */
void follow_read(struct node *n, const struct spread_action *a);

/** follow_changed() - a version was accepted: reads that wait are answered */
void follow_changed(struct world *w);

/** follow_set_access() - set what becomes of a node's reads from now on */
void
follow_set_access(struct world *w, uint32_t node, enum follow_access access);

/** follow_drop_pending() - reads that wait are never answered; new ones are */
void follow_drop_pending(struct world *w);

/** follow_clear() - forget the reads that wait */
void follow_clear(struct world *w);

#endif
