/*
 * Calls that a stop gives up, as the nodes' logs tell them.
 */
#ifndef SOAK_STOPS_H
#define SOAK_STOPS_H

#include <stdint.h>

/**
 * soak_stops_check() - no node gave up a call that it took while it stopped
 * @drain_ms: how long a stop may last
 *
 * Calls are taken in the first three eighths of a stop, so one that is given up
 * is older than the rest of it.  The test fails for a younger one.
 */
void soak_stops_check(uint32_t drain_ms);

#endif
