/*
 * Callers: the HTTP server on the caller port, in the traffic thread.  It
 * hands calls to the entry and streams bodies both ways.
 */
#ifndef NODE_CALLERS_H
#define NODE_CALLERS_H

#include <stdint.h>

#include "base/status.h"

struct call_dialect;
struct callers;
struct entry;
struct loop;
struct settings;

/**
 * callers_new() - make a server
 * @s: settings of the node; must outlive the server
 * @dialect: names of headers; must outlive the server
 * @e: the entry that takes the calls; must outlive the server
 * @loop: loop of the traffic thread
 */
struct callers *callers_new(const struct settings *s,
    const struct call_dialect *dialect, struct entry *e, struct loop *loop);

/**
 * callers_start() - listen on the caller port, before the thread starts
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
 * callers_stop() - stop listening and let the connections end
 * @c: the server; its thread still runs
 *
 * From another thread.  After a drain it returns once no connection is left,
 * or at the drain's deadline; answers being written then are cut.
 */
void callers_stop(struct callers *c);

/** callers_free() - free it, once its thread has stopped; NULL is allowed */
void callers_free(struct callers *c);

#endif
