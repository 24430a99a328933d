/*
 * TCP relay between two programs, in a thread of the test.  It can close
 * connections, drop all bytes, or silence the open connections permanently
 * while new ones work.
 */
#ifndef FUNCTIONAL_RELAY_H
#define FUNCTIONAL_RELAY_H

#include <stdint.h>

struct relay;

/**
 * enum relay_mode - how the relay treats connections
 * @RELAY_PASS: bytes are passed on
 * @RELAY_CUT: open connections are closed, new ones are closed when accepted
 * @RELAY_SILENT: no bytes pass on open or new connections; these connections
 *	stay silent after the mode has changed
 * @RELAY_ONE_WAY: bytes of the target are withheld until the mode changes
 */
enum relay_mode {
	RELAY_PASS,
	RELAY_CUT,
	RELAY_SILENT,
	RELAY_ONE_WAY,
};

/**
 * relay_start() - start a relay in mode RELAY_PASS
 * @address: IPv4 address to listen on
 * @target_address: IPv4 address of the target
 * @target_port: TCP port of the target
 *
 * The test fails if the relay can't be started.
 *
 * Return: the relay.
 */
struct relay *relay_start(
    const char *address, const char *target_address, uint16_t target_port);

/** relay_port() - TCP port that the relay listens on */
uint16_t relay_port(const struct relay *r);

/** relay_set() - change the mode */
void relay_set(struct relay *r, enum relay_mode mode);

/** relay_silence_open() - silence open connections permanently; new ones pass
 */
void relay_silence_open(struct relay *r);

/**
 * relay_silence_after() - silence the next connection that has passed this many
 * bytes, in the middle of a transfer
 * @r: the relay
 * @bytes: number of bytes passed on one connection, both directions together
 *
 * Only one connection is silenced for each call.
 */
void relay_silence_after(struct relay *r, uint64_t bytes);

/** relay_silenced() - number of connections that were silenced while open */
uint64_t relay_silenced(const struct relay *r);

/** relay_connections() - number of connections accepted so far */
uint64_t relay_connections(const struct relay *r);

/** relay_bytes() - number of bytes passed so far, both directions together */
uint64_t relay_bytes(const struct relay *r);

/** relay_stop() - close all connections, stop and free */
void relay_stop(struct relay *r);

#endif
