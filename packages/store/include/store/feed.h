/*
 * Feed: source of accepted configurations if operators write them to the
 * platform themselves; and directory: the addresses of nodes on the platform,
 * by which nodes find one another. Both are vtables that an adapter implements.
 */
#ifndef STORE_FEED_H
#define STORE_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "proto/addr.h"

struct bundle_build;

/** FEED_TEXT_BYTES - size of a service or version in an order */
#define FEED_TEXT_BYTES 64

/**
 * struct feed_order - an order to move a service to another version
 * @service: the service, as the order's key names it
 * @to: the version; empty if none is named
 * @number: number of the order; a later one of the service has a higher one
 * @duration_ms: time that the operators allow for it
 * @problem: why it can't be executed, NULL if it can
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
 * @version: newest version, 0 if there is none
 * @build: its bundle, to be ended by bundle_build_end(); NULL if it is the
 *	version that the feed returned last
 * @row_bytes: size of the version as the operators wrote it
 * @notes: parts of it that are executed differently from what is written; NULL
 *	for none
 * @problem: why the newest version has no bundle, if it is not the version that
 *	the feed returned last; NULL for no problem. With a problem, @version is
 *	0 if the version's number can't be read
 * @row: whether the answer contained the configuration, returned before or not
 * @body_ms: transfer time of the answer, from its first part
 * @position: position of the last change that reads have returned, see
 *	proto/store_position.h
 * @orders: orders in the answer; some may have been returned before
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
 * @st: STATUS_OK, also if the configuration is unusable; STATUS_TOO_LARGE if
 *	the answer exceeds the limit for reads; STATUS_OVERLOADED,
 *	STATUS_UNAVAILABLE or STATUS_TIMEOUT
 * @a: the answer, valid during the call; NULL unless STATUS_OK
 * @arg: argument given to the read
 */
typedef void feed_fn(enum status st, const struct feed_answer *a, void *arg);

/** feed_answer_started_fn - the first part of the answer to a long poll has
 * arrived */
typedef void feed_answer_started_fn(void *arg);

/**
 * struct feed_refusal - report to operators on an unusable version
 * @version: the unusable version, 0 if its number can't be read
 * @in_force: the version that stays in force, 0 for none
 * @since_wall_ms: since when versions are refused, wall clock
 * @reason: why
 */
struct feed_refusal {
	uint64_t version;
	uint64_t in_force;
	uint64_t since_wall_ms;
	const char *reason;
};

/** feed_reported_fn - a report to operators was written, or failed */
typedef void feed_reported_fn(enum status st, void *arg);

struct feed;

/**
 * struct feed_ops - operations of a feed
 * @read: see feed_read()
 * @watch: see feed_watch()
 * @probe: see feed_probe()
 * @set_epoch: see feed_set_epoch()
 * @report: report to operators that a data centre refuses a version, NULL that
 *	it no longer does; the member is NULL if the feed has no way to report
 * @free: free the feed; reads in progress are dropped
 */
struct feed_ops {
	void (*read)(struct feed *f, uint64_t position, uint64_t wait_until_ms,
	    feed_fn *fn, void *arg);
	void (*watch)(struct feed *f, feed_answer_started_fn *fn, void *arg);
	void (*probe)(struct feed *f, bool skip_next, feed_fn *fn, void *arg);
	void (*set_epoch)(struct feed *f, uint64_t epoch);
	void (*report)(struct feed *f, const char *data_centre,
	    const struct feed_refusal *r, feed_reported_fn *fn, void *arg);
	void (*free)(struct feed *f);
};

/** struct feed - common part of all feeds */
struct feed {
	const struct feed_ops *ops;
};

/**
 * feed_read() - read the newest configuration
 * @f: the feed
 * @position: position of a change whose content, and that of all changes
 *	before it in its epoch, came from other nodes; 0 for none
 * @wait_until_ms: monotonic time until which the platform may wait for a change
 *	before it answers (long poll); 0 for an immediate, complete answer
 * @fn: called once, after this function has returned
 * @arg: given to @fn
 *
 * The answer contains the changes since the last read, or since @position if
 * that is later.  It is complete if the platform's store has come back from an
 * older copy meanwhile.
 */
static inline void
feed_read(struct feed *f, uint64_t position, uint64_t wait_until_ms,
    feed_fn *fn, void *arg)
{
	f->ops->read(f, position, wait_until_ms, fn, arg);
}

/**
 * feed_watch() - set a callback for the start of answers
 * @f: the feed
 * @fn: called for each answer to a long poll, before it is complete
 * @arg: given to @fn
 */
static inline void
feed_watch(struct feed *f, feed_answer_started_fn *fn, void *arg)
{
	f->ops->watch(f, fn, arg);
}

/**
 * feed_probe() - look for changes while a long poll is waiting
 * @f: the feed
 * @skip_next: leave out the change with the next number. The platform numbers
 *	the changes of all rows together: if the next change of the
 *	configuration has a higher number, it is included
 * @fn: called once, after this function has returned
 * @arg: given to @fn
 *
 * The answer is immediate, and complete if there is a change. An answer that
 * arrives after a newer one returns the same content as that one.
 */
static inline void
feed_probe(struct feed *f, bool skip_next, feed_fn *fn, void *arg)
{
	f->ops->probe(f, skip_next, fn, arg);
}

/**
 * feed_set_epoch() - another node has seen the platform's store in an epoch
 * @f: the feed
 * @epoch: the epoch
 *
 * If this is a later epoch than that of the last answer, the next read is
 * complete, and a read in flight is replaced by a complete one.
 */
static inline void
feed_set_epoch(struct feed *f, uint64_t epoch)
{
	f->ops->set_epoch(f, epoch);
}

/** DIRECTORY_SAMPLE_MAX - highest number of nodes in the result of a look-up */
#define DIRECTORY_SAMPLE_MAX 16

/** DIRECTORY_PLACE_BYTES - size of the name of a place */
#define DIRECTORY_PLACE_BYTES 48

/**
 * struct directory_entry - an entry
 * @place: key of the entry; entries are in the byte order of their places
 * @node: peer address that a node wrote there
 */
struct directory_entry {
	char place[DIRECTORY_PLACE_BYTES];
	struct net_addr node;
};

/**
 * directory_fn - a look-up has ended
 * @st: STATUS_OK, or the error
 * @entries: the entries found, possibly with the own entry
 * @n: number of @entries
 * @arg: argument given to the look-up
 */
typedef void directory_fn(enum status st, const struct directory_entry *entries,
    uint32_t n, void *arg);

/** directory_done_fn - an entry was written, or the write failed */
typedef void directory_done_fn(enum status st, void *arg);

struct directory;

/**
 * struct directory_ops - operations of a directory
 * @enter: write the own address at a place, replacing the entry there
 * @sample: look up some entries from a place on; if none follows, from the
 *	first one on
 * @free: free the directory; calls in progress are dropped
 */
struct directory_ops {
	void (*enter)(struct directory *d, const char *place,
	    struct net_addr self, directory_done_fn *fn, void *arg);
	void (*sample)(
	    struct directory *d, const char *from, directory_fn *fn, void *arg);
	void (*free)(struct directory *d);
};

/** struct directory - common part of all directories */
struct directory {
	const struct directory_ops *ops;
};

#endif
