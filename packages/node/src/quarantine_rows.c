/*
 * Schedule of reads and writes of quarantine rows.
 */
#include "quarantine_rows.h"

#include <string.h>

#include "base/clock.h"

void
quarantine_rows_init(struct quarantine_rows *q)
{
	memset(q, 0, sizeof(*q));
	g_queue_init(&q->pending);
}

static void
row_free(gpointer p)
{
	struct quarantine_row *row = p;

	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

void
quarantine_rows_clear(struct quarantine_rows *q)
{
	g_queue_clear_full(&q->pending, row_free);
}

/* First row that may be replaced or dropped; a row that is being written may
 * not. */
static GList *
first_replaceable(const struct quarantine_rows *q)
{
	GList *l = q->pending.head;

	return l != NULL && q->action == QUARANTINE_ROWS_PUT ? l->next : l;
}

static void
drop(struct quarantine_rows *q, GList *l)
{
	row_free(l->data);
	g_queue_delete_link(&q->pending, l);
}

void
quarantine_rows_put(
    struct quarantine_rows *q, const char *key, const char *value)
{
	struct quarantine_row *row;
	GList *l, *next;

	for (l = first_replaceable(q); l != NULL; l = next) {
		next = l->next;
		row = l->data;
		if (strcmp(row->key, key) == 0)
			drop(q, l);
	}
	if (q->pending.length >= QUARANTINE_ROWS_PENDING_MAX)
		drop(q, first_replaceable(q));
	row = g_new(struct quarantine_row, 1);
	row->key = g_strdup(key);
	row->value = g_strdup(value);
	g_queue_push_tail(&q->pending, row);
}

enum quarantine_rows_action
quarantine_rows_next(struct quarantine_rows *q, bool reader, uint64_t now_ms,
    const struct quarantine_row **row)
{
	if (q->action != QUARANTINE_ROWS_NONE || now_ms < q->due_ms)
		return QUARANTINE_ROWS_NONE;
	if (reader && !q->read)
		q->action = QUARANTINE_ROWS_READ;
	else if (q->pending.length > 0)
		q->action = QUARANTINE_ROWS_PUT;
	if (q->action == QUARANTINE_ROWS_PUT)
		*row = g_queue_peek_head(&q->pending);
	return q->action;
}

void
quarantine_rows_restored(struct quarantine_rows *q)
{
	q->read = false;
	q->restored = q->action == QUARANTINE_ROWS_READ;
}

void
quarantine_rows_done(struct quarantine_rows *q, bool ok, uint64_t now_ms)
{
	enum quarantine_rows_action action = q->action;

	q->action = QUARANTINE_ROWS_NONE;
	if (!ok) {
		q->due_ms = now_ms + QUARANTINE_ROWS_RETRY_MS;
		return;
	}
	if (action == QUARANTINE_ROWS_READ) {
		q->read = !q->restored;
		q->restored = false;
	}
	if (action == QUARANTINE_ROWS_PUT)
		drop(q, q->pending.head);
}

uint64_t
quarantine_rows_due_ms(const struct quarantine_rows *q, bool reader)
{
	if (q->action != QUARANTINE_ROWS_NONE ||
	    (q->pending.length == 0 && (q->read || !reader)))
		return DEADLINE_NEVER;
	return q->due_ms;
}
