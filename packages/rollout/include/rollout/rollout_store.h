/*
 * Storage of orders and their outcomes outside the nodes: a vtable that an
 * adapter implements.
 */
#ifndef ROLLOUT_ROLLOUT_STORE_H
#define ROLLOUT_ROLLOUT_STORE_H

#include "base/status.h"
#include "rollout/orders.h"

/** ROLLOUT_ROWS_MAX - highest number of rows that are read */
#define ROLLOUT_ROWS_MAX 256

/**
 * struct rollout_row - an order as stored
 * @rollout: the order; its deadline is in the reader's monotonic time
 * @revision: position of the row at the store, the condition of the next write
 */
struct rollout_row {
	struct rollout rollout;
	uint64_t revision;
};

/**
 * rollout_rows_fn - completion of a call
 * @st: STATUS_OK; STATUS_CONFLICT if another writer was first; else the error
 * @rows: the rows read, the row written, or in a conflict the stored row
 * @n: number of @rows, 0 in a conflict if no row is stored
 * @arg: argument given by the caller
 */
typedef void rollout_rows_fn(
    enum status st, const struct rollout_row *rows, uint32_t n, void *arg);

struct rollout_store;

/**
 * struct rollout_store_ops - operations of a store of orders
 * @read: read all rows; the callback is called once, after this has returned
 * @write: write an order with its phase, and notify the operators, if its row
 *	still has the given revision, 0 for no row; the callback as with @read
 * @free: free the store; calls in progress are dropped
 */
struct rollout_store_ops {
	void (*read)(struct rollout_store *s, rollout_rows_fn *fn, void *arg);
	void (*write)(struct rollout_store *s, const struct rollout *r,
	    uint64_t revision, rollout_rows_fn *fn, void *arg);
	void (*free)(struct rollout_store *s);
};

/** struct rollout_store - common part of all stores */
struct rollout_store {
	const struct rollout_store_ops *ops;
};

#endif
