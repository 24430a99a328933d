/*
 * Callers: the HTTP server on the caller port (CivetWeb workers).  A worker
 * reads a call, hands it to the entry and streams bodies both ways.
 *
 * Hazards of CivetWeb 1.15 that this module works around: a worker is bound
 * to each kept-alive connection, and mg_stop() breaks off answers that are
 * being written.
 */
#ifndef NODE_CALLERS_H
#define NODE_CALLERS_H

#include <stdint.h>

#include "base/status.h"

struct callers;
struct entry;
struct settings;

/**
 * callers_new() - make a server
 * @s: settings of the node; must outlive the server
 * @e: the entry that takes the calls; must outlive the server
 */
struct callers *callers_new(const struct settings *s, struct entry *e);

/**
 * callers_start() - listen on the caller port
 * @c: the server
 *
 * Return: STATUS_OK, or STATUS_IO when the port can't be bound.
 */
enum status callers_start(struct callers *c);

/** callers_port() - port that is listened on, after callers_start() */
uint16_t callers_port(const struct callers *c);

/**
 * callers_drain() - ask callers to go elsewhere
 * @c: the server
 * @deadline_ms: monotonic time at which what still runs is given up
 *
 * Any thread may call it.  Each answer closes its connection from now on, and
 * new calls are answered not_run.  Follow callers_in_flight() down to 0.
 */
void callers_drain(struct callers *c, uint64_t deadline_ms);

/** callers_in_flight() - calls whose answer isn't written whole yet */
uint32_t callers_in_flight(const struct callers *c);

/**
 * callers_stop() - stop listening and end the workers
 * @c: the server
 *
 * Call it when callers_in_flight() is 0: answers being written are cut.
 */
void callers_stop(struct callers *c);

/** callers_free() - free a stopped server; NULL is allowed */
void callers_free(struct callers *c);

#endif
