/*
 * Keep: persistent key-value store for short texts on the platform, outside the
 * nodes. A vtable that an adapter implements.
 */
#ifndef STORE_KEEP_H
#define STORE_KEEP_H

#include <stdint.h>

#include "base/status.h"

/** KEEP_ROWS_MAX - highest number of rows that are read */
#define KEEP_ROWS_MAX 256

/**
 * struct keep_row - a row; both texts are borrowed
 * @key: key
 * @value: value
 */
struct keep_row {
	const char *key;
	const char *value;
};

/**
 * keep_rows_fn - a read has ended
 * @st: STATUS_OK, or the error
 * @rows: the rows, valid during the call
 * @n: number of @rows
 * @arg: argument given to the read
 */
typedef void keep_rows_fn(
    enum status st, const struct keep_row *rows, uint32_t n, void *arg);

/** keep_done_fn - a row was written or removed, or the write failed */
typedef void keep_done_fn(enum status st, void *arg);

struct keep;

/**
 * struct keep_ops - operations of a keep
 * @read: read all rows; @fn is called once, after this has returned
 * @put: write a row, or remove it if @value is NULL; @fn as with @read
 * @free: free the keep; calls in progress are dropped
 */
struct keep_ops {
	void (*read)(struct keep *k, keep_rows_fn *fn, void *arg);
	void (*put)(struct keep *k, const char *key, const char *value,
	    keep_done_fn *fn, void *arg);
	void (*free)(struct keep *k);
};

/** struct keep - common part of all keeps */
struct keep {
	const struct keep_ops *ops;
};

#endif
