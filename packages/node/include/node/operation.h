/*
 * Operations on the platform's rows (sign-off, halt, supersede, find): carries
 * out the actions of one struct signoff on the store.
 */
#ifndef NODE_OPERATION_H
#define NODE_OPERATION_H

#include "net/loop.h"
#include "signoff/signoff.h"
#include "store/store.h"

/**
 * struct operation_end - result of an operation
 * @outcome: outcome of the signoff
 * @head: head row as written; valid if @wrote
 * @version: version row as written; valid if @wrote_version
 * @changes: owns the changes of @version; may be NULL
 * @bundle: bundle that was signed off; NULL for none
 * @wrote: whether this operation wrote the head row
 * @wrote_version: whether a version row was written with the head row
 */
struct operation_end {
	const struct signoff_outcome *outcome;
	struct store_head head;
	struct store_version version;
	GBytes *changes;
	const struct bundle *bundle;
	int wrote;
	int wrote_version;
};

/** operation_fn - called when an operation has ended; @end is valid during the
 * call */
typedef void operation_fn(const struct operation_end *end, void *arg);

/** operation_known_fn - sets seq and newest version of the newest head row that
 * this node knows; called before each answer of the store is handled, never
 * after operation_fn */
typedef void operation_known_fn(uint64_t *seq, uint64_t *version, void *arg);

/**
 * operation_start() - start an operation
 * @loop: the control thread's loop
 * @store: store of the platform; must outlive the operation
 * @req: the request; copied except for the bundle
 * @bundle: bundle of the request, owned by the operation from now on, also on
 *	failure; NULL for none
 * @known: newest head row known
 * @fn: called once with the result, after this function has returned
 * @arg: passed to @known and @fn
 *
 * The operation frees itself.
 *
 * Return: STATUS_OK, or STATUS_INVALID, in which case @fn isn't called.
 */
enum status operation_start(struct loop *loop, struct store *store,
    const struct signoff_request *req, struct bundle *bundle,
    operation_known_fn *known, operation_fn *fn, void *arg);

#endif
