/*
 * Check of the calls that stopping nodes aborted, read from the nodes' logs.
 */
#ifndef SOAK_STOPS_H
#define SOAK_STOPS_H

#include <stdint.h>

/**
 * soak_stops_check() - check that no node aborted a call that it accepted while
 * stopping
 * @drain_ms: limit of the duration of a stop
 *
 * A stopping node accepts calls during the first three eighths of @drain_ms and
 * aborts calls at its end, so an aborted call is at least five eighths of
 * @drain_ms old.  The test fails for a younger one.
 */
void soak_stops_check(uint32_t drain_ms);

#endif
