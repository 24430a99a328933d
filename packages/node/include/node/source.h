/*
 * Source: reads the platform's store for the spread and passes the answers to
 * it.
 */
#ifndef NODE_SOURCE_H
#define NODE_SOURCE_H

#include "net/loop.h"
#include "proto/messages.h"
#include "spread/spread.h"
#include "store/store.h"

struct source;

/** source_fn - an answer was passed to the spread; carry out its new actions */
typedef void source_fn(void *arg);

/**
 * source_new() - create a source
 * @loop: the control thread's loop
 * @store: store of the platform; must outlive the source
 * @spread: receives the answers; must outlive the source
 * @fn: called after each answer
 * @arg: passed to @fn
 */
struct source *source_new(struct loop *loop, struct store *store,
    struct spread *spread, source_fn *fn, void *arg);

/** source_free() - free a source, after its store; NULL is allowed */
void source_free(struct source *src);

/**
 * source_read() - carry out a SPREAD_READ_* action
 * @src: the source
 * @a: the action
 */
void source_read(struct source *src, const struct spread_action *a);

/** source_head() - convert a head row to a record of the spread */
struct rec_head source_head(const struct store_head *row);

/**
 * source_row() - convert a version row to that of the spread
 * @in: row of the store
 * @changes: owns what @out borrows; clear with msg_version_changes_clear()
 * @out: receives the row
 *
 * Return: STATUS_OK, or STATUS_INVALID when the changes of the row can't be
 * decoded.
 */
enum status source_row(const struct store_version *in,
    struct msg_version_changes *changes, struct spread_version_row *out);

#endif
