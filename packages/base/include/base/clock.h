/*
 * Clocks.  Only code that performs input and output reads the clocks; modules
 * that make decisions receive the time as an argument.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/** DEADLINE_NEVER - a deadline that never expires */
#define DEADLINE_NEVER UINT64_MAX

/**
 * clock_now_ms() - monotonic time
 *
 * Return: milliseconds since an arbitrary start (CLOCK_MONOTONIC).
 */
uint64_t clock_now_ms(void);

/**
 * clock_now_us() - monotonic time
 *
 * Return: microseconds since an arbitrary start (CLOCK_MONOTONIC).
 */
uint64_t clock_now_us(void);

/**
 * clock_wall_ms() - wall-clock time, for timestamps shown to people
 *
 * Return: milliseconds since 1970 (CLOCK_REALTIME).
 */
uint64_t clock_wall_ms(void);

/**
 * clock_left_ms() - time left until a deadline
 * @deadline_ms: monotonic deadline
 * @now_ms: monotonic time
 *
 * Return: milliseconds left, 0 when the deadline has passed.
 */
static inline uint64_t
clock_left_ms(uint64_t deadline_ms, uint64_t now_ms)
{
	return deadline_ms > now_ms ? deadline_ms - now_ms : 0;
}

#endif
