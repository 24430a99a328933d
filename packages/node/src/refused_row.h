/*
 * Refused row: when this node writes for operators, at the platform, that a
 * version is refused, and takes that away again.
 *
 * Writes are priced, so one node a data centre writes: its first reader.  A
 * reader sees the refusal by itself, and one a data centre needs no agreement
 * between those that are cut off from one another.  It writes when a refusal
 * has lasted a little, again for another version after a longer pause, and
 * removes the row at the end, also when it is no longer the first.  The reader
 * that becomes the first meanwhile writes the same row again and removes it.
 */
#ifndef NODE_REFUSED_ROW_H
#define NODE_REFUSED_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include "refused.h"

/* A refusal that ends sooner is not written: versions may follow one another
 * several times a second. */
#define REFUSED_ROW_DELAY_MS 2000

/* Least time between two writes of one refusal, of other versions. */
#define REFUSED_ROW_REWRITE_MS 30000

/* Pause after a write that failed: the platform may be away for long. */
#define REFUSED_ROW_RETRY_MS 5000

/** enum refused_row_action - what is to be done with the row */
enum refused_row_action {
	REFUSED_ROW_NONE = 0,
	REFUSED_ROW_WRITE,
	REFUSED_ROW_REMOVE,
};

/**
 * struct refused_row - the row; all zero at the start
 * @last_active: whether the refusal that goes on was seen
 * @busy: a write or removal is under way
 * @action: the one under way
 * @written: whether this node may have written the row
 * @version: version that was written, or is being
 * @due_ms: monotonic time before which nothing is done
 */
struct refused_row {
	bool last_active;
	bool busy;
	enum refused_row_action action;
	bool written;
	uint64_t version;
	uint64_t due_ms;
};

/**
 * refused_row_next() - what is to be done now
 * @row: the row
 * @r: the record
 * @first_reader: whether this node is its data centre's first reader
 * @now_ms: monotonic time
 *
 * Return: what the caller begins at once; refused_row_done() ends it.
 */
enum refused_row_action refused_row_next(struct refused_row *row,
    const struct refused *r, bool first_reader, uint64_t now_ms);

/** refused_row_done() - a write or removal has ended, well or not */
void refused_row_done(struct refused_row *row, bool ok, uint64_t now_ms);

/** refused_row_due_ms() - when refused_row_next() is wanted next */
uint64_t refused_row_due_ms(
    const struct refused_row *row, const struct refused *r, bool first_reader);

#endif
