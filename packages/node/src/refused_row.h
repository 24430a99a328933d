/*
 * Refused row: schedules when this node writes a row at the platform that shows
 * operators a refused version, and when it removes the row.
 *
 * Writes cost money, so one node per data centre writes: its first reader.  A
 * reader detects the refusal by itself, and with one writer per data centre
 * nodes that are partitioned from one another need not agree.  The first reader
 * writes the row when a refusal has lasted REFUSED_ROW_DELAY_MS, and again for
 * another version after REFUSED_ROW_REWRITE_MS.  The node that wrote the row
 * removes it at the end, even if that node is no longer the first reader.  A
 * node that becomes the first reader meanwhile writes the same row again and
 * removes it too.
 */
#ifndef NODE_REFUSED_ROW_H
#define NODE_REFUSED_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include "refused.h"

/* A refusal that ends sooner is not written: several versions a second may be
 * published. */
#define REFUSED_ROW_DELAY_MS 2000

/* Minimum time between two writes of one refusal, for different versions. */
#define REFUSED_ROW_REWRITE_MS 30000

/* Delay after a write that failed: the platform may be unreachable for long. */
#define REFUSED_ROW_RETRY_MS 5000

/**
 * enum refused_row_action - action on the row
 * @REFUSED_ROW_NONE: none
 * @REFUSED_ROW_WRITE: write the row
 * @REFUSED_ROW_REMOVE: remove the row
 */
enum refused_row_action {
	REFUSED_ROW_NONE = 0,
	REFUSED_ROW_WRITE,
	REFUSED_ROW_REMOVE,
};

/**
 * struct refused_row - state of the schedule; all zero at the start
 * @last_active: whether a refusal was active at the last refused_row_next()
 * @busy: a write or removal is in progress
 * @restored: the platform's store has come back from a copy since it began
 * @action: the action in progress
 * @written: whether this node may have written the row
 * @removed: whether this node has removed the row, which an older copy of the
 *	platform's store may still contain
 * @version: version that was written or is being written
 * @due_ms: monotonic time before which no action starts
 */
struct refused_row {
	bool last_active;
	bool busy;
	bool restored;
	enum refused_row_action action;
	bool written;
	bool removed;
	uint64_t version;
	uint64_t due_ms;
};

/**
 * refused_row_next() - the action to take now
 * @row: state of the schedule
 * @r: record of the refusal
 * @first_reader: whether this node is its data centre's first reader
 * @now_ms: monotonic time
 *
 * Return: the action that the caller starts immediately, and whose end it
 * reports with refused_row_done().
 */
enum refused_row_action refused_row_next(struct refused_row *row,
    const struct refused *r, bool first_reader, uint64_t now_ms);

/** refused_row_done() - an action has ended; @ok: whether it succeeded */
void refused_row_done(struct refused_row *row, bool ok, uint64_t now_ms);

/** refused_row_restored() - the platform's store has come back from an older
 * copy: write the row again, or remove it again */
void refused_row_restored(struct refused_row *row, uint64_t now_ms);

/** refused_row_due_ms() - time of the next call to refused_row_next() */
uint64_t refused_row_due_ms(
    const struct refused_row *row, const struct refused *r, bool first_reader);

#endif
