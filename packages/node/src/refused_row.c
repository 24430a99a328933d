/*
 * When this node tells operators at the platform of a refused version.
 */
#include "refused_row.h"

#include "base/clock.h"

/* What is wanted once it is due. */
static enum refused_row_action
wanted(const struct refused_row *row, const struct refused *r, bool first)
{
	if (row->busy)
		return REFUSED_ROW_NONE;
	if (!r->active)
		return row->written ? REFUSED_ROW_REMOVE : REFUSED_ROW_NONE;
	if (!first || (row->written && row->version == r->version))
		return REFUSED_ROW_NONE;
	return REFUSED_ROW_WRITE;
}

enum refused_row_action
refused_row_next(struct refused_row *row, const struct refused *r, bool first,
    uint64_t now_ms)
{
	enum refused_row_action act;

	if (r->active && !row->seen && !row->written)
		row->due_ms = now_ms + REFUSED_ROW_DELAY_MS;
	/* The end is told without the pause between two versions. */
	if (!r->active && row->seen)
		row->due_ms = now_ms;
	row->seen = r->active;
	act = wanted(row, r, first);
	if (act == REFUSED_ROW_NONE || now_ms < row->due_ms)
		return REFUSED_ROW_NONE;
	row->busy = true;
	row->act = act;
	if (act == REFUSED_ROW_WRITE) {
		row->written = true;
		row->version = r->version;
	}
	return act;
}

void
refused_row_done(struct refused_row *row, bool well, uint64_t now_ms)
{
	row->busy = false;
	if (well && row->act == REFUSED_ROW_REMOVE) {
		row->written = false;
		return;
	}
	/* A write without an answer may have been done: @written stays, so
	 * that it is removed at the end; no version is the one written. */
	if (!well && row->act == REFUSED_ROW_WRITE)
		row->version = UINT64_MAX;
	row->due_ms =
	    now_ms + (well ? REFUSED_ROW_REWRITE_MS : REFUSED_ROW_RETRY_MS);
}

uint64_t
refused_row_due_ms(
    const struct refused_row *row, const struct refused *r, bool first)
{
	if (row->seen != r->active)
		return 0;
	return wanted(row, r, first) != REFUSED_ROW_NONE ? row->due_ms
							 : DEADLINE_NEVER;
}
