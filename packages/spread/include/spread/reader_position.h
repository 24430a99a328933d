/*
 * Position: from which of the platform's changes another reader may go on.
 *
 * What was read may not have spread when its reader is lost, so a position is
 * used some seconds after it was told, by hosts that hold what came with it.
 */
#ifndef SPREAD_READER_POSITION_H
#define SPREAD_READER_POSITION_H

#include <stdint.h>

/**
 * struct reader_position - what readers told of their positions
 * @reported: position that was told at @reported_ms, to be used later, 0 for
 * none
 * @reported_version: version that came with it
 * @reported_ms: when it was told
 * @settled: position up to which all that was read has spread, 0 for none
 * @settled_version: version that came with it
 */
struct reader_position {
	uint64_t reported;
	uint64_t reported_version;
	uint64_t reported_ms;
	uint64_t settled;
	uint64_t settled_version;
};

/** reader_position_report() - a reader is at a position, and holds @version */
void reader_position_report(struct reader_position *p, uint64_t now_ms,
    uint64_t position, uint64_t version);

/** reader_position_advance() - what was read up to a position has spread */
void reader_position_advance(
    struct reader_position *p, uint64_t position, uint64_t version);

/**
 * reader_position_resume() - where a host may go on
 * @p: the positions
 * @held: version that the host holds, 0 for none
 *
 * Return: the position, 0 if the host is to read the whole.
 */
uint64_t reader_position_resume(const struct reader_position *p, uint64_t held);

#endif
