/*
 * Platform of the test driver as a feed: reads of the head are long polls that
 * return the whole version, as on platforms to which operators write directly.
 * Single nodes can be denied while others are served.
 */
#ifndef DRIVER_FOLLOW_H
#define DRIVER_FOLLOW_H

#include <stdint.h>

#include "spread/spread.h"

struct node;
struct world;

/* Long-poll time of a read, the same as in the daemon. */
#define FOLLOW_WAIT_MS 1800

/** enum follow_access - how the platform answers a node's reads */
enum follow_access {
	FOLLOW_SERVED = 0,
	FOLLOW_REJECTED,    /* reads fail immediately, pending ones too */
	FOLLOW_NO_RESPONSE, /* reads get no answer */
};

/** follow_start() - reset the feed state of a node whose process has started */
void follow_start(struct node *n);

/** follow_read() - execute a read that a node's spread requests */
void follow_read(struct node *n, const struct spread_action *a);

/** follow_changed() - complete pending reads after a version was accepted */
void follow_changed(struct world *w);

/** follow_set_access() - set how a node's reads are answered from now on */
void
follow_set_access(struct world *w, uint32_t node, enum follow_access access);

/** follow_drop_pending() - never answer the reads pending now; later ones are
 * answered */
void follow_drop_pending(struct world *w);

/** follow_clear() - free the pending reads */
void follow_clear(struct world *w);

#endif
