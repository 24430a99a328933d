/*
 * Quarantine rows: schedules when a node reads the quarantined requests from
 * the platform, and writes or removes a row there.
 *
 * Nodes exchange quarantine records among themselves; the rows are needed only
 * after all of them have lost power at the same time.  Calls to the platform
 * cost money, so the rows are read only by the first reader of each data
 * centre, once, and written only by the node that made the decision.  After the
 * platform's store came back from an older copy, the first readers read them
 * once more, and put the rows that the copy lacks.
 */
#ifndef NODE_QUARANTINE_ROWS_H
#define NODE_QUARANTINE_ROWS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Delay before the next call after one that failed. */
#define QUARANTINE_ROWS_RETRY_MS 2000

/* Maximum number of pending writes while the platform is unreachable; the
 * oldest is dropped first. */
#define QUARANTINE_ROWS_PENDING_MAX 128

/**
 * enum quarantine_rows_action - call to make to the platform
 * @QUARANTINE_ROWS_NONE: none
 * @QUARANTINE_ROWS_READ: read all rows
 * @QUARANTINE_ROWS_PUT: write or remove a row
 */
enum quarantine_rows_action {
	QUARANTINE_ROWS_NONE = 0,
	QUARANTINE_ROWS_READ,
	QUARANTINE_ROWS_PUT,
};

/**
 * struct quarantine_rows - state of the schedule
 * @pending: struct quarantine_row; the first one is being written if @action is
 *	QUARANTINE_ROWS_PUT
 * @action: call in progress
 * @read: the rows were read
 * @restored: the platform's store has come back from a copy since the read in
 *	progress began
 * @due_ms: monotonic time before which no call starts
 */
struct quarantine_rows {
	GQueue pending;
	enum quarantine_rows_action action;
	bool read;
	bool restored;
	uint64_t due_ms;
};

/**
 * struct quarantine_row - a row to write or remove
 * @key: key of the row, owned
 * @value: text of the row, owned; NULL to remove the row
 */
struct quarantine_row {
	char *key;
	char *value;
};

/** quarantine_rows_init() - initialise: nothing read, nothing pending */
void quarantine_rows_init(struct quarantine_rows *q);

/** quarantine_rows_clear() - free the pending rows */
void quarantine_rows_clear(struct quarantine_rows *q);

/** quarantine_rows_put() - schedule the write of a row, or its removal if
 * @value is NULL; replaces pending writes of the same key */
void quarantine_rows_put(
    struct quarantine_rows *q, const char *key, const char *value);

/**
 * quarantine_rows_next() - the call to make now
 * @q: the schedule
 * @reader: whether this node reads for its data centre
 * @now_ms: monotonic time
 * @row: receives the row to put, borrowed until quarantine_rows_done()
 *
 * Return: the call that the caller starts immediately, and whose end it reports
 * with quarantine_rows_done().
 */
enum quarantine_rows_action quarantine_rows_next(struct quarantine_rows *q,
    bool reader, uint64_t now_ms, const struct quarantine_row **row);

/** quarantine_rows_restored() - the platform's store has come back from an
 * older copy: read the rows again, so that those that differ are put */
void quarantine_rows_restored(struct quarantine_rows *q);

/** quarantine_rows_done() - a call has ended; @ok: whether it succeeded */
void quarantine_rows_done(struct quarantine_rows *q, bool ok, uint64_t now_ms);

/** quarantine_rows_due_ms() - time of the next call to quarantine_rows_next()
 */
uint64_t quarantine_rows_due_ms(const struct quarantine_rows *q, bool reader);

#endif
