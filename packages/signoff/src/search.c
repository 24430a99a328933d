/*
 * Searches the head row and version rows, newest first, for an operation's id.
 *
 * A sign-off or supersede leaves its id in the row of the version that it
 * created; a halt leaves it in the head row, and once that has been replaced,
 * in the next version's row, which records the head row that it replaced.
 */
#include <string.h>

#include "signoff_defs.h"

bool
search_decode(
    const struct store_version *row, struct rec_replaced_head *replaced)
{
	struct msg_version_changes m;

	memset(replaced, 0, sizeof(*replaced));
	if (msg_version_changes_decode(row->changes, row->changes_bytes, &m) !=
	    STATUS_OK)
		return false;
	*replaced = m.replaced;
	msg_version_changes_clear(&m);
	return true;
}

/* Starts the search of a range of versions. */
static void
search_begin(struct signoff *r, struct range range, uint64_t now_ms)
{
	r->search.low = range.low;
	r->search.high = range.high;
	r->search.to = 0;
	memset(&r->lowest, 0, sizeof(r->lowest));
	signoff_enter(r, PHASE_SEARCH, now_ms);
}

/* The id was not found: the write that was sent has no effect, or none was
 * sent. */
static void
search_found_nothing(struct signoff *r, uint64_t now_ms)
{
	if (!r->write_sent) {
		r->ops->proceed(r, now_ms);
		return;
	}
	r->write_sent = false;
	r->maybe_written = false;
	r->ops->on_lost_race(r, now_ms);
}

/* The id is in the head row. */
static void
found_in_head(struct signoff *r)
{
	if (r->head.state == STORE_HALTED)
		outcome_done(r, SIGNOFF_HALT, r->head.version, NULL);
	else
		outcome_done(
		    r, SIGNOFF_SIGN_OFF, r->head.version, &r->head.root);
}

/* Determines whether a write that was sent on @base took effect, or still can.
 */
static void
settle(struct signoff *r, uint64_t now_ms)
{
	struct range range = {r->base.version + 1, r->ops->settle_limit(r)};

	if (r->head.seq == r->base.seq) {
		/* The write has not taken effect yet; repeating it is safe,
		 * since seq must match. */
		r->phase = PHASE_TRANSACT;
		signoff_retry_later(r, now_ms);
	} else if (r->head.version > r->base.version) {
		search_begin(r, range, now_ms);
	} else {
		search_found_nothing(r, now_ms);
	}
}

void
search_on_head(struct signoff *r, uint64_t now_ms)
{
	struct range range;

	if (r->head.seq > 0 && strcmp(r->head.op, r->req.op) == 0) {
		found_in_head(r);
		return;
	}
	if (r->write_sent) {
		settle(r, now_ms);
		return;
	}
	range = r->ops->first_search(r);
	if (range.low <= range.high)
		search_begin(r, range, now_ms);
	else
		r->ops->proceed(r, now_ms);
}

/* Rows are read in batches, the newest batch first. */
void
search_issue(struct signoff *r, uint64_t now_ms)
{
	struct search *s = &r->search;

	if (s->to == 0) {
		s->to = s->high;
		s->from = s->low;
		if (s->to - s->low >= STORE_VERSIONS_MAX)
			s->from = s->to - STORE_VERSIONS_MAX + 1;
	}
	step_read_versions(r, s->from, s->to, now_ms);
}

/* Checks a row for the id; returns whether the operation has ended. */
static bool
check_row(struct signoff *r, const struct store_version *row)
{
	struct rec_replaced_head replaced;
	bool decoded;

	if (strcmp(row->op, r->req.op) == 0) {
		outcome_done(r, SIGNOFF_SIGN_OFF, row->version, &row->root);
		return true;
	}
	decoded = search_decode(row, &replaced);
	if (decoded && replaced.halted && strcmp(replaced.op, r->req.op) == 0) {
		outcome_done(r, SIGNOFF_HALT, row->parent, NULL);
		return true;
	}
	if (row->version == r->search.low) {
		r->lowest.version = row->version;
		g_strlcpy(r->lowest.op, row->op, sizeof(r->lowest.op));
		g_strlcpy(r->lowest.operator_name, row->operator_name,
		    sizeof(r->lowest.operator_name));
		r->lowest.replaced = replaced;
	}
	return false;
}

/* Only a restore of the store leaves numbers out, and each row names the one
 * before it: an answer that lacks a row is not usable. */
static bool
is_complete(const struct signoff *r, const struct store_version *rows,
    uint32_t n, uint64_t upto)
{
	const struct search *s = &r->search;
	uint64_t before = s->from - 1;
	bool follows;
	uint32_t i;

	if (upto < s->from || upto > s->to)
		return false;
	for (i = 0; i < n; i++) {
		follows = i == 0 ? rows[i].parent <= before
				 : rows[i].parent == before;
		if (!follows || rows[i].version <= before ||
		    rows[i].version > upto)
			return false;
		before = rows[i].version;
	}
	return upto < r->head.version || before == r->head.version;
}

void
search_on_versions(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto)
{
	struct search *s = &r->search;
	uint32_t i;

	if (st != STATUS_OK || !is_complete(r, rows, n, upto)) {
		signoff_retry_later(r, now_ms);
		return;
	}
	r->n_failures = 0;
	for (i = 0; i < n; i++) {
		if (check_row(r, &rows[i]))
			return;
	}
	if (upto < s->to) {
		s->from = upto + 1;
		signoff_enter(r, PHASE_SEARCH, now_ms);
		return;
	}
	s->high = s->high - s->low >= STORE_VERSIONS_MAX
	    ? s->high - STORE_VERSIONS_MAX
	    : s->low - 1;
	s->to = 0;
	if (s->high >= s->low)
		signoff_enter(r, PHASE_SEARCH, now_ms);
	else
		search_found_nothing(r, now_ms);
}
