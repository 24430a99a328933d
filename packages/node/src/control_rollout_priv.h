/*
 * Inside of the rollouts at a node, shared by control_rollout*.c.
 */
#ifndef NODE_CONTROL_ROLLOUT_PRIV_H
#define NODE_CONTROL_ROLLOUT_PRIV_H

#include "control_priv.h"

/**
 * struct control_rollout - rollouts at this node
 * @orders: orders and phases
 * @news: brings them to the other nodes
 * @watch: judges and moves on
 * @store: where they outlive all nodes, NULL for nowhere
 * @pending_orders: struct feed_order that wait until the rows were read
 * @read_pending: a read of the rows is under way
 * @rows_read: the rows were read once
 * @read_retry_ms: when a read that failed may be tried again
 * @revisions: service to the revision of its row, as last seen
 * @refused_orders: service to the number of the last order that was refused
 */
struct control_rollout {
	struct rollout_orders *orders;
	struct rollout_news *news;
	struct rollout_watch *watch;
	struct rollout_store *store;
	GArray *pending_orders;
	bool read_pending;
	bool rows_read;
	uint64_t read_retry_ms;
	GHashTable *revisions;
	GHashTable *refused_orders;
};

/* control_rollout.c */

/** control_rollout_add() - an order or a phase became known here */
void control_rollout_add(struct control *c, const struct rollout *r);

/** control_rollout_current_version() - the version of a service that gets
 * requests; NULL when it has no endpoint */
const char *
control_rollout_current_version(struct control *c, const char *service);

/* control_rollout_orders.c */

/** control_rollout_write() - write an order with its phase at the platform */
void control_rollout_write(struct control *c, const struct rollout *r);

/** control_rollout_read_is_due() - whether rows are to be read */
bool control_rollout_read_is_due(const struct control *c);

/** control_rollout_read() - read the rows if that is due */
void control_rollout_read(struct control *c);

#endif
