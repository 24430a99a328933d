/*
 * Positions reported by readers, and up to which all changes have spread.
 */
#include "spread/reader_position.h"

/* Time after which a reported position counts as settled: peers have the
 * changes read up to it by then. */
#define SETTLED_MS 3000

void
reader_position_report(struct reader_position *p, uint64_t now_ms,
    uint64_t position, uint64_t version)
{
	if (position == 0)
		return;
	if (p->reported != 0 && now_ms < p->reported_ms + SETTLED_MS)
		return;
	reader_position_advance(p, p->reported, p->reported_version);
	p->reported = position;
	p->reported_version = version;
	p->reported_ms = now_ms;
}

void
reader_position_advance(
    struct reader_position *p, uint64_t position, uint64_t version)
{
	if (position <= p->settled)
		return;
	p->settled = position;
	p->settled_version = version;
}

uint64_t
reader_position_resume(const struct reader_position *p, uint64_t held)
{
	return held != 0 && p->settled_version <= held ? p->settled : 0;
}
