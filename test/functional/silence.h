/*
 * Open TCP connections that go silent for good while new ones work, as when
 * something between the two ends has lost track of them.
 *
 * A socket of a process that the test started is borrowed for a moment and
 * given a filter that drops all that comes in, acknowledgements and resets
 * included.  Neither end is told anything.
 */
#ifndef FUNCTIONAL_SILENCE_H
#define FUNCTIONAL_SILENCE_H

#include <stdint.h>

#include "process.h"

/**
 * enum silence_end - which end of a connection is meant by an address
 * @SILENCE_SERVER: the process has accepted connections at the address
 * @SILENCE_CLIENT: the process has connected to the address
 */
enum silence_end {
	SILENCE_SERVER,
	SILENCE_CLIENT,
};

/**
 * silence_connections() - the process hears nothing more on open connections
 * @p: the process
 * @end: what the address means
 * @address: IPv4 address
 * @port: TCP port
 *
 * Return: number of connections.  The test fails when the system doesn't
 * allow it.
 */
uint32_t silence_connections(const struct process *p, enum silence_end end,
    const char *address, uint16_t port);

#endif
