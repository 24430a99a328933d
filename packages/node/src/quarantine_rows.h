/*
 * Quarantine rows: when a node reads quarantined requests at the platform, and
 * writes or removes a row there.
 *
 * Nodes tell one another; the rows are for when all of them have lost power at
 * once.  Calls are priced, so of each data centre only the first reader reads,
 * once, and who decided writes.
 */
#ifndef NODE_QUARANTINE_ROWS_H
#define NODE_QUARANTINE_ROWS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Pause after a call that failed. */
#define QUARANTINE_ROWS_RETRY_MS 2000

/* Most writes that wait while the platform is away; the oldest go first. */
#define QUARANTINE_ROWS_PENDING_MAX 128

/** enum quarantine_rows_action - what is to be done at the platform */
enum quarantine_rows_action {
	QUARANTINE_ROWS_NONE = 0,
	QUARANTINE_ROWS_READ,
	QUARANTINE_ROWS_PUT,
};

/**
 * struct quarantine_rows - what is to be done
 * @pending: struct quarantine_row, the first one under way if @action is PUT
 * @action: what is under way
 * @read: the rows were read
 * @due_ms: monotonic time before which nothing is done
 */
struct quarantine_rows {
	GQueue pending;
	enum quarantine_rows_action action;
	bool read;
	uint64_t due_ms;
};

/**
 * struct quarantine_row - a row to be written or removed
 * @key: its key, owned
 * @value: its text, owned; NULL to remove it
 */
struct quarantine_row {
	char *key;
	char *value;
};

/** quarantine_rows_init() - nothing was read */
void quarantine_rows_init(struct quarantine_rows *q);

/** quarantine_rows_clear() - free what waits */
void quarantine_rows_clear(struct quarantine_rows *q);

/** quarantine_rows_put() - a row is to be written, or removed where @value is
 * NULL; later ones of a key replace what waits of it */
void quarantine_rows_put(
    struct quarantine_rows *q, const char *key, const char *value);

/**
 * quarantine_rows_next() - what is to be done now
 * @q: the rows
 * @reader: whether this node reads for its data centre
 * @now_ms: monotonic time
 * @row: the row that is to be put, borrowed until quarantine_rows_done()
 *
 * Return: what the caller begins at once; quarantine_rows_done() ends it.
 */
enum quarantine_rows_action quarantine_rows_next(struct quarantine_rows *q,
    bool reader, uint64_t now_ms, const struct quarantine_row **row);

/** quarantine_rows_done() - a call has ended, well or not */
void quarantine_rows_done(struct quarantine_rows *q, bool ok, uint64_t now_ms);

/** quarantine_rows_due_ms() - when quarantine_rows_next() is wanted next */
uint64_t quarantine_rows_due_ms(const struct quarantine_rows *q, bool reader);

#endif
