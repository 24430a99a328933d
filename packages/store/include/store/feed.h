/*
 * Feed: where accepted configurations come from when operators write them to
 * the platform themselves, and the directory by which nodes find one another
 * there.  Both are vtables that an adapter fills.
 */
#ifndef STORE_FEED_H
#define STORE_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "proto/addr.h"

struct bundle_build;

/** FEED_TEXT_BYTES - room for a service or version in an order */
#define FEED_TEXT_BYTES 64

/**
 * struct feed_order - an order to move a service to another version
 * @service: the service, as the order's key names it
 * @to: the version; empty when it is not named
 * @number: number of the order; a later one of the service has a higher one
 * @duration_ms: time that the operators give it
 * @problem: why it can't be followed, NULL when it can
 */
struct feed_order {
	char service[FEED_TEXT_BYTES];
	char to[FEED_TEXT_BYTES];
	uint64_t number;
	uint64_t duration_ms;
	const char *problem;
};

/**
 * struct feed_answer - outcome of a read
 * @version: newest version, 0 when there is none
 * @build: its bundle, to be ended by bundle_build_end(); NULL when it is the
 *	one that the feed gave last
 * @row_bytes: bytes of it as the operators wrote it
 * @notes: what of it is run otherwise than it is written; NULL for nothing
 * @problem: why the newest version has no bundle, though it is not the one
 *	given last; NULL for none.  @version is 0 then if it can't be read
 * @row: whether the configuration was in the answer, given before or not
 * @body_ms: how long the answer was on its way, from its first part
 * @position: number of the last change that reads have given
 * @orders: orders in the answer, those that were given before perhaps among
 *	them
 * @n_orders: number of @orders
 */
struct feed_answer {
	uint64_t version;
	struct bundle_build *build;
	size_t row_bytes;
	const char *notes;
	const char *problem;
	bool row;
	uint32_t body_ms;
	uint64_t position;
	const struct feed_order *orders;
	uint32_t n_orders;
};

/**
 * feed_fn - a read has ended
 * @st: STATUS_OK, also when the configuration can't be used;
 *	STATUS_TOO_LARGE when it is more than can be read; STATUS_OVERLOADED,
 *	STATUS_UNAVAILABLE or STATUS_TIMEOUT
 * @a: the answer, valid during the call; NULL unless STATUS_OK
 * @arg: the reader's
 */
typedef void feed_fn(enum status st, const struct feed_answer *a, void *arg);

/** feed_begun_fn - the answer to a read that waits has begun to come */
typedef void feed_answer_started_fn(void *arg);

/**
 * struct feed_refusal - what operators are told of a version
 * @version: the version that can't be used, 0 when its number can't be read
 * @in_force: the one that stays in force, 0 for none
 * @since_wall_ms: since when versions are refused, wall clock
 * @reason: why
 */
struct feed_refusal {
	uint64_t version;
	uint64_t in_force;
	uint64_t since_wall_ms;
	const char *reason;
};

/** feed_told_fn - operators were told, or not */
typedef void feed_reported_fn(enum status st, void *arg);

struct feed;

/**
 * struct feed_ops - a feed
 * @read: read the newest configuration; see feed_read()
 * @watch: whom to tell that an answer has begun; see feed_watch()
 * @probe: look beside a read that waits; see feed_probe()
 * @report: tell operators for a data centre what is refused, NULL for nothing
 *	any more; NULL where there is no way to
 * @free: free the feed; reads under way are dropped
 */
struct feed_ops {
	void (*read)(struct feed *f, uint64_t position, uint64_t wait_until_ms,
	    feed_fn *fn, void *arg);
	void (*watch)(struct feed *f, feed_answer_started_fn *fn, void *arg);
	void (*probe)(struct feed *f, bool skip_next, feed_fn *fn, void *arg);
	void (*report)(struct feed *f, const char *data_centre,
	    const struct feed_refusal *r, feed_reported_fn *fn, void *arg);
	void (*free)(struct feed *f);
};

/** struct feed - the common part */
struct feed {
	const struct feed_ops *ops;
};

/**
 * feed_read() - read the newest configuration
 * @f: the feed
 * @position: number of a change that others have given the content of, and all
 *	before it; 0 for none
 * @wait_until_ms: monotonic time until which the platform may wait for a
 *	change before it answers; 0 to be answered at once, in full
 * @fn: called once, never before this returns
 * @arg: given to @fn
 *
 * What changed since the last read, or since @position if that is later, is in
 * the answer.
 */
static inline void
feed_read(struct feed *f, uint64_t position, uint64_t wait_until_ms,
    feed_fn *fn, void *arg)
{
	f->ops->read(f, position, wait_until_ms, fn, arg);
}

/**
 * feed_watch() - tell when answers begin
 * @f: the feed
 * @fn: called for each answer to a read that waits, before it is whole
 * @arg: given to @fn
 */
static inline void
feed_watch(struct feed *f, feed_answer_started_fn *fn, void *arg)
{
	f->ops->watch(f, fn, arg);
}

/**
 * feed_probe() - look for changes beside a read that waits for one
 * @f: the feed
 * @skip_next: leave out what the next change alone brings; changes that the
 *	platform counts for others may make it come all the same
 * @fn: called once, never before this returns
 * @arg: given to @fn
 *
 * It is answered at once, and in full if there is something.  An answer that
 * comes when a newer one has been given says the same as that one.
 */
static inline void
feed_probe(struct feed *f, bool skip_next, feed_fn *fn, void *arg)
{
	f->ops->probe(f, skip_next, fn, arg);
}

/** DIRECTORY_SAMPLE_MAX - most nodes that one look-up gives */
#define DIRECTORY_SAMPLE_MAX 16

/** DIRECTORY_PLACE_BYTES - room for the name of a place */
#define DIRECTORY_PLACE_BYTES 48

/**
 * struct directory_entry - an entry
 * @place: where in the directory; entries are in the byte order of their places
 * @node: peer address of the node that entered itself there
 */
struct directory_entry {
	char place[DIRECTORY_PLACE_BYTES];
	struct net_addr node;
};

/**
 * directory_fn - a look-up has ended
 * @st: STATUS_OK or why not
 * @entries: what was found, the own one perhaps among them
 * @n: their number
 * @arg: the asker's
 */
typedef void directory_fn(enum status st, const struct directory_entry *entries,
    uint32_t n, void *arg);

/** directory_done_fn - an entry was written, or not */
typedef void directory_done_fn(enum status st, void *arg);

struct directory;

/**
 * struct directory_ops - a directory
 * @enter: write the own address at a place, whoever is there
 * @sample: look some entries up, from a place on; where none follows, from the
 *	first one on
 * @free: free the directory; calls under way are dropped
 */
struct directory_ops {
	void (*enter)(struct directory *d, const char *place,
	    struct net_addr self, directory_done_fn *fn, void *arg);
	void (*sample)(
	    struct directory *d, const char *from, directory_fn *fn, void *arg);
	void (*free)(struct directory *d);
};

/** struct directory - the common part */
struct directory {
	const struct directory_ops *ops;
};

#endif
