/*
 * Operations on the platform's rows (sign-off, halt, supersede, find): feeds
 * one signoff decision with the answers of the store.
 */
#ifndef NODE_OPERATION_H
#define NODE_OPERATION_H

#include "net/loop.h"
#include "signoff/signoff.h"
#include "store/store.h"

/**
 * struct operation_end - how an operation ended
 * @outcome: outcome of the decision
 * @head: head row as written; only when @wrote
 * @version: version row as written; only when @wrote_version
 * @changes: keeps the changes of @version; may be NULL
 * @bundle: bundle that was signed off, for its contents; NULL when none
 * @wrote: whether this run wrote the head row
 * @wrote_version: whether it wrote a version row with it
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

/** operation_fn - an operation has ended; @end is valid during the call */
typedef void operation_fn(const struct operation_end *end, void *arg);

/**
 * operation_start() - run an operation to its outcome
 * @loop: the control thread's loop
 * @store: the platform; must outlive the operation
 * @req: what is asked for; copied but for the bundle
 * @bundle: the request's bundle, taken over; NULL when there is none
 * @fn: called once with the outcome, never before this returns
 * @arg: given to @fn
 *
 * The operation frees itself.
 *
 * Return: STATUS_OK, or STATUS_INVALID (then @fn isn't called).
 */
enum status operation_start(struct loop *loop, struct store *store,
    const struct signoff_request *req, struct bundle *bundle, operation_fn *fn,
    void *arg);

#endif
