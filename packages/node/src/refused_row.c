/*
 * Schedule of the platform row that shows operators a refused version.
 */
#include "refused_row.h"

#include "base/clock.h"

/* Action to take once due_ms is reached. */
static enum refused_row_action
pending_action(
    const struct refused_row *row, const struct refused *r, bool first_reader)
{
	if (row->busy)
		return REFUSED_ROW_NONE;
	if (!r->active)
		return row->written ? REFUSED_ROW_REMOVE : REFUSED_ROW_NONE;
	if (!first_reader || (row->written && row->version == r->version))
		return REFUSED_ROW_NONE;
	return REFUSED_ROW_WRITE;
}

enum refused_row_action
refused_row_next(struct refused_row *row, const struct refused *r,
    bool first_reader, uint64_t now_ms)
{
	enum refused_row_action action;

	if (r->active && !row->last_active && !row->written)
		row->due_ms = now_ms + REFUSED_ROW_DELAY_MS;
	/* The row is removed at the end without the delay between writes. */
	if (!r->active && row->last_active)
		row->due_ms = now_ms;
	row->last_active = r->active;
	action = pending_action(row, r, first_reader);
	if (action == REFUSED_ROW_NONE || now_ms < row->due_ms)
		return REFUSED_ROW_NONE;
	row->busy = true;
	row->action = action;
	if (action == REFUSED_ROW_WRITE) {
		row->written = true;
		row->version = r->version;
	}
	return action;
}

void
refused_row_restored(struct refused_row *row, uint64_t now_ms)
{
	row->restored = row->busy;
	row->written |= row->removed;
	row->version = UINT64_MAX;
	row->due_ms = now_ms;
}

void
refused_row_done(struct refused_row *row, bool ok, uint64_t now_ms)
{
	ok = ok && !row->restored;
	row->busy = false;
	row->restored = false;
	if (ok && row->action == REFUSED_ROW_REMOVE) {
		row->written = false;
		row->removed = true;
		return;
	}
	/* A failed write may still have reached the platform: @written stays
	 * set, so that the row is removed at the end.  @version is set to a
	 * value that matches no version, so that the write is repeated. */
	if (!ok && row->action == REFUSED_ROW_WRITE)
		row->version = UINT64_MAX;
	row->due_ms =
	    now_ms + (ok ? REFUSED_ROW_REWRITE_MS : REFUSED_ROW_RETRY_MS);
}

uint64_t
refused_row_due_ms(
    const struct refused_row *row, const struct refused *r, bool first_reader)
{
	if (row->last_active != r->active)
		return 0;
	return pending_action(row, r, first_reader) != REFUSED_ROW_NONE
	    ? row->due_ms
	    : DEADLINE_NEVER;
}
