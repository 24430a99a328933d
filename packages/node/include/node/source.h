/*
 * Reads the platform for the spread decisions and hands it the answers.
 */
#ifndef NODE_SOURCE_H
#define NODE_SOURCE_H

#include "net/loop.h"
#include "proto/messages.h"
#include "spread/spread.h"
#include "store/store.h"

struct source;

/** source_fn - an answer was handed to the spread; pump its actions */
typedef void source_fn(void *arg);

/**
 * source_new() - make a reader
 * @loop: the control thread's loop
 * @store: the platform; must outlive the reader
 * @spread: who gets the answers; must outlive the reader
 * @fn: called after each answer
 * @arg: given to @fn
 */
struct source *source_new(struct loop *loop, struct store *store,
    struct spread *spread, source_fn *fn, void *arg);

/** source_free() - free a reader after its store; NULL is allowed */
void source_free(struct source *src);

/**
 * source_read() - carry out a SPREAD_READ_* action
 * @src: the reader
 * @a: the action
 */
void source_read(struct source *src, const struct spread_action *a);

/** source_head() - convert a head row for the spread */
struct rec_head source_head(const struct store_head *row);

/**
 * source_row() - convert a version row for the spread
 * @in: row as the store gives it
 * @changes: holds what @out borrows; clear with msg_version_changes_clear()
 * @out: where the row goes
 *
 * Return: STATUS_OK, or STATUS_INVALID when its changes can't be read.
 */
enum status source_row(const struct store_version *in,
    struct msg_version_changes *changes, struct spread_version_row *out);

#endif
