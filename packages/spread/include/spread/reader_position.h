/*
 * Position: the platform's change after which another reader can resume.  Its
 * number belongs to an epoch of the platform's store (proto/store_position.h),
 * and a position of a later epoch is the later one.
 *
 * Changes that a reader has read may not have spread when the reader is lost.
 * A reported position is therefore used only some seconds later, and only by
 * hosts that hold the version reported with it.
 */
#ifndef SPREAD_READER_POSITION_H
#define SPREAD_READER_POSITION_H

#include <stdint.h>

/**
 * struct reader_position - positions reported by readers
 * @reported: position reported at @reported_ms, not settled yet; 0 for none
 * @reported_version: version held by the host that reported it
 * @reported_ms: when it was reported
 * @settled: position up to which all changes read have spread, 0 for none
 * @settled_version: version reported with @settled
 */
struct reader_position {
	uint64_t reported;
	uint64_t reported_version;
	uint64_t reported_ms;
	uint64_t settled;
	uint64_t settled_version;
};

/** reader_position_report() - a reader that holds @version is at @position */
void reader_position_report(struct reader_position *p, uint64_t now_ms,
    uint64_t position, uint64_t version);

/** reader_position_advance() - all changes read up to @position have spread */
void reader_position_advance(
    struct reader_position *p, uint64_t position, uint64_t version);

/**
 * reader_position_resume() - position from which a host can resume
 * @p: the positions
 * @held: version that the host holds, 0 for none
 *
 * Return: the position, 0 if the host has to read everything.
 */
uint64_t reader_position_resume(const struct reader_position *p, uint64_t held);

#endif
