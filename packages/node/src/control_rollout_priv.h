/*
 * Internals of the rollouts, shared by control_rollout*.c.
 */
#ifndef NODE_CONTROL_ROLLOUT_PRIV_H
#define NODE_CONTROL_ROLLOUT_PRIV_H

#include "control_priv.h"

/**
 * struct control_rollout - rollouts on this node
 * @orders: orders and phases
 * @news: gossips orders and phases to the other nodes
 * @watch: evaluates the candidate's answers and sets the phases
 * @store: store of orders at the platform, NULL for none
 * @pending_orders: array of struct feed_order that wait until the rows have
 *	been read
 * @read_pending: a read of the rows is in progress
 * @rows_read: the rows have been read once
 * @read_again: the store has come back from an older copy since the read in
 *	progress began
 * @restored: the platform's store has come back from an older copy since
 * @read_retry_ms: earliest time of the next read after a failed one
 * @revisions: maps a service to the last known revision of its row
 * @handled_orders: maps a service to the number of the order refused last, or
 *	that has repeated the known order in a new epoch of the store
 */
struct control_rollout {
	struct rollout_orders *orders;
	struct rollout_news *news;
	struct rollout_watch *watch;
	struct rollout_store *store;
	GArray *pending_orders;
	bool read_pending;
	bool rows_read;
	bool read_again;
	bool restored;
	uint64_t read_retry_ms;
	GHashTable *revisions;
	GHashTable *handled_orders;
};

/* control_rollout.c */

/** control_rollout_add() - add an order or its new phase, unless known */
void control_rollout_add(struct control *c, const struct rollout *r);

/** control_rollout_current_version() - current software version of a service;
 * NULL when the service has no endpoint */
const char *
control_rollout_current_version(struct control *c, const char *service);

/* control_rollout_orders.c */

/** control_rollout_write() - write an order and its phase to the platform */
void control_rollout_write(struct control *c, const struct rollout *r);

/** control_rollout_read_is_due() - whether the rows should be read */
bool control_rollout_read_is_due(const struct control *c);

/** control_rollout_read() - read the rows if due */
void control_rollout_read(struct control *c);

#endif
