/*
 * Silences open TCP connections permanently while new ones work, as happens
 * when a middlebox drops the state of a connection.
 *
 * The sockets are duplicated from a process that the test has started, and get
 * a socket filter that drops all incoming packets, including acknowledgements
 * and resets.  Neither end gets an error.
 */
#ifndef FUNCTIONAL_SILENCE_H
#define FUNCTIONAL_SILENCE_H

#include <stdint.h>

#include "process.h"

/**
 * enum silence_end - end of a connection that has a given address
 * @SILENCE_SERVER: the process has accepted the connection at the address
 * @SILENCE_CLIENT: the process has connected to the address
 */
enum silence_end {
	SILENCE_SERVER,
	SILENCE_CLIENT,
};

/**
 * silence_connections() - drop all incoming packets on open connections
 * @p: the process that receives on the connections
 * @end: end of the connections that has the address
 * @address: IPv4 address
 * @port: TCP port
 *
 * The test fails if the system denies access to the sockets.
 *
 * Return: number of connections.
 */
uint32_t silence_connections(const struct process *p, enum silence_end end,
    const char *address, uint16_t port);

#endif
