/*
 * Platform of the test driver as a feed: reads of the head are long polls that
 * return the whole version, as on platforms to which operators write directly.
 * Single nodes can be denied while others are served.  The store may come back
 * from an older copy.
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

/**
 * struct follow_rows - rows of the store
 * @change: number of the last change, 0 for none
 * @row_change: number of the change that wrote the version, 0 for none
 * @version: version in its row
 */
struct follow_rows {
	uint64_t change;
	uint64_t row_change;
	uint64_t version;
};

/**
 * struct follow_store - the store
 * @epoch: number of restores
 * @rows: its rows
 * @copy: rows as of the last back-up
 */
struct follow_store {
	uint64_t epoch;
	struct follow_rows rows;
	struct follow_rows copy;
};

/** enum follow_pending - what becomes of pending reads in a restore */
enum follow_pending {
	FOLLOW_PENDING_CLOSED = 0, /* they fail */
	FOLLOW_PENDING_KEPT,	   /* they wait on for the number they name */
};

/** follow_back_up() - copy the store's rows */
void follow_back_up(struct world *w);

/** follow_restore() - the store comes back from its last copy, in a new epoch
 */
void follow_restore(struct world *w, enum follow_pending pending);

/** follow_write_others() - others write @n rows, which raises the numbers */
void follow_write_others(struct world *w, uint32_t n);

/** follow_set_epoch() - a peer of the node has seen the store in an epoch */
void follow_set_epoch(struct node *n, uint64_t epoch);

/** follow_start() - reset the feed state of a node whose process has started */
void follow_start(struct node *n);

/** follow_read() - execute a read that a node's spread requests */
void follow_read(struct node *n, const struct spread_action *a);

/** follow_changed() - operators write the newest accepted version, for the
 * first time or again after a restore; completes pending reads */
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
