/*
 * Find: looks up the outcome of an operation without writing.
 */
#include "signoff_defs.h"

static void
find_begin(struct signoff *r, uint64_t now_ms)
{
	signoff_enter(r, PHASE_HEAD, now_ms);
}

static struct range
find_first_search(const struct signoff *r)
{
	struct range range = {1, r->head.version};

	if (range.high > SIGNOFF_FIND_VERSIONS_MAX)
		range.low = range.high - SIGNOFF_FIND_VERSIONS_MAX + 1;
	return range;
}

/* Find never sends a write. */
static uint64_t
find_settle_limit(const struct signoff *r)
{
	return r->head.version;
}

/* The id was not found; that is final once the head row has changed. */
static void
find_proceed(struct signoff *r, uint64_t now_ms)
{
	(void)now_ms;
	if (r->req.after_seq > 0 && r->head.seq <= r->req.after_seq) {
		outcome_not_settled(r);
		return;
	}
	outcome_not_found(r,
	    "Operation %s was not found in the last %d versions%s.", r->req.op,
	    SIGNOFF_FIND_VERSIONS_MAX,
	    r->req.after_seq > 0
		? ", and its write can no longer take effect; start it "
		  "again if it is still needed"
		: "; if its outcome was unknown, search again with its "
		  "after_seq, or start it again with the same id");
}

const struct signoff_ops find_ops = {
    .begin = find_begin,
    .first_search = find_first_search,
    .settle_limit = find_settle_limit,
    .proceed = find_proceed,
    .on_lost_race = find_proceed,
};
