/*
 * Feed: where accepted configurations come from when operators write them to
 * the platform themselves, and the directory by which nodes find one another
 * there.  Both are vtables that an adapter fills.
 */
#ifndef STORE_FEED_H
#define STORE_FEED_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "proto/addr.h"

/**
 * struct feed_answer - outcome of a read
 * @version: newest version, 0 when there is none
 * @bundle: the bundle as JSON, docs/BUNDLES.md; NULL when it is the one that
 *	the feed gave last
 * @bundle_bytes: its length
 */
struct feed_answer {
	uint64_t version;
	const char *bundle;
	size_t bundle_bytes;
};

/**
 * feed_fn - a read has ended
 * @st: STATUS_OK; STATUS_INVALID when the configuration can't be used;
 *	STATUS_OVERLOADED, STATUS_UNAVAILABLE or STATUS_TIMEOUT
 * @a: the answer, valid during the call; with STATUS_INVALID the version that
 *	can't be used, without a bundle, or NULL; NULL for all others
 * @arg: the reader's
 */
typedef void feed_fn(enum status st, const struct feed_answer *a, void *arg);

struct feed;

/**
 * struct feed_ops - a feed
 * @read: read the newest configuration; see feed_read()
 * @free: free the feed; reads under way are dropped
 */
struct feed_ops {
	void (*read)(
	    struct feed *f, uint64_t wait_until_ms, feed_fn *fn, void *arg);
	void (*free)(struct feed *f);
};

/** struct feed - the common part */
struct feed {
	const struct feed_ops *ops;
};

/**
 * feed_read() - read the newest configuration
 * @f: the feed
 * @wait_until_ms: monotonic time until which the platform may wait for a
 *	change before it answers; 0 to be answered at once, in full
 * @fn: called once, never before this returns
 * @arg: given to @fn
 */
static inline void
feed_read(struct feed *f, uint64_t wait_until_ms, feed_fn *fn, void *arg)
{
	f->ops->read(f, wait_until_ms, fn, arg);
}

/** DIRECTORY_SAMPLE_MAX - most nodes that one look-up gives */
#define DIRECTORY_SAMPLE_MAX 16

/**
 * directory_fn - a look-up has ended
 * @st: STATUS_OK or why not
 * @nodes: peer addresses of nodes, the own one perhaps among them
 * @n: their number
 * @arg: the asker's
 */
typedef void directory_fn(
    enum status st, const struct net_addr *nodes, uint32_t n, void *arg);

/** directory_done_fn - an entry was written or removed, or not */
typedef void directory_done_fn(enum status st, void *arg);

struct directory;

/**
 * struct directory_ops - a directory
 * @enter: write the own entry
 * @remove: remove it
 * @sample: look some entries up, from a random place on
 * @free: free the directory; calls under way are dropped
 */
struct directory_ops {
	void (*enter)(struct directory *d, struct net_addr self,
	    directory_done_fn *fn, void *arg);
	void (*remove)(struct directory *d, struct net_addr self,
	    directory_done_fn *fn, void *arg);
	void (*sample)(
	    struct directory *d, uint64_t random, directory_fn *fn, void *arg);
	void (*free)(struct directory *d);
};

/** struct directory - the common part */
struct directory {
	const struct directory_ops *ops;
};

#endif
