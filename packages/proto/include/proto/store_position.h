/*
 * Store position: number of a change at the platform's store, together with the
 * epoch of the store.
 *
 * A store that comes back from an older copy gives out the numbers of lost
 * changes again, and raises its epoch.  So a number identifies a change only
 * within its epoch.  Positions compare as 64-bit numbers: the epoch first, then
 * the number.
 */
#ifndef PROTO_STORE_POSITION_H
#define PROTO_STORE_POSITION_H

#include <stdint.h>

/* Bits of a position that hold the number; the epoch takes the others, except
 * the highest one, so that positions fit the integers of JSON. */
#define STORE_CHANGE_BITS 40

/** STORE_CHANGE_MAX - highest number of a change */
#define STORE_CHANGE_MAX ((UINT64_C(1) << STORE_CHANGE_BITS) - 1)

/** STORE_EPOCH_MAX - highest epoch */
#define STORE_EPOCH_MAX ((UINT64_C(1) << (63 - STORE_CHANGE_BITS)) - 1)

/** store_position_make() - position of a change; values above the maxima count
 * as the maxima */
static inline uint64_t
store_position_make(uint64_t epoch, uint64_t change)
{
	epoch = epoch < STORE_EPOCH_MAX ? epoch : STORE_EPOCH_MAX;
	change = change < STORE_CHANGE_MAX ? change : STORE_CHANGE_MAX;
	return epoch << STORE_CHANGE_BITS | change;
}

/** store_position_epoch() - epoch of a position */
static inline uint64_t
store_position_epoch(uint64_t position)
{
	return position >> STORE_CHANGE_BITS;
}

/** store_position_change() - number of the change at a position */
static inline uint64_t
store_position_change(uint64_t position)
{
	return position & STORE_CHANGE_MAX;
}

#endif
