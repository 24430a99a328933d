/*
 * Bound on the memory that peers make the users of a pool hold.
 *
 * A holder is something whose peer decides how long it holds memory, such as a
 * connection with a part of a request.  When all holders together exceed the
 * bound, those that have held memory for longest are evicted: peers that make
 * progress hold it for a short time only.
 *
 * All functions must be called in the loop's thread.
 */
#ifndef NET_BUFFER_POOL_H
#define NET_BUFFER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "net/loop.h"

struct buffer_pool;
struct buffer_holder;

/**
 * struct buffer_holder_ops - what a holder can do
 * @evict: releases what the holder holds; must not change other holders
 */
struct buffer_holder_ops {
	void (*evict)(struct buffer_holder *h);
};

/**
 * struct buffer_holder - a holder; its fields are private
 * @ops: what it can do
 * @pool: the pool, or NULL
 * @link: link in the pool's queue while it may be evicted
 * @bytes: what it holds
 * @since_ms: monotonic time since which it may be evicted
 * @queued: it may be evicted
 */
struct buffer_holder {
	const struct buffer_holder_ops *ops;
	struct buffer_pool *pool;
	GList link;
	uint64_t bytes;
	uint64_t since_ms;
	bool queued;
};

/**
 * buffer_pool_new() - create a pool
 * @loop: event loop
 * @name: what its holders are, for logs; static
 * @max_bytes: the bound
 */
struct buffer_pool *
buffer_pool_new(struct loop *loop, const char *name, uint64_t max_bytes);

/** buffer_pool_free() - free a pool without holders; NULL is allowed */
void buffer_pool_free(struct buffer_pool *p);

/** buffer_pool_set_max() - change the bound that applies from now on */
void buffer_pool_set_max(struct buffer_pool *p, uint64_t max_bytes);

/** buffer_pool_is_full() - whether the holders exceed the bound: those that
 * wait for their peers have been evicted */
bool buffer_pool_is_full(const struct buffer_pool *p);

/** buffer_pool_bytes() - what all holders hold */
uint64_t buffer_pool_bytes(const struct buffer_pool *p);

/** buffer_holder_init() - a holder that holds nothing */
void buffer_holder_init(struct buffer_holder *h,
    const struct buffer_holder_ops *ops, struct buffer_pool *p);

/**
 * buffer_holder_set() - set what a holder holds
 * @h: the holder
 * @bytes: what it holds
 * @evictable: it waits for its peer; otherwise for work of this process
 *
 * May evict other holders, but not @h.
 */
void buffer_holder_set(struct buffer_holder *h, uint64_t bytes, bool evictable);

#endif
