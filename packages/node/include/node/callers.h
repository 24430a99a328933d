/*
 * Callers: the HTTP server on the caller port, in the traffic thread.  The
 * server submits calls to the entry and streams bodies in both directions.
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
 * callers_new() - create a server
 * @s: settings of the node; must outlive the server
 * @dialect: header names; must outlive the server
 * @e: the entry that calls are submitted to; must outlive the server
 * @loop: loop of the traffic thread
 */
struct callers *callers_new(const struct settings *s,
    const struct call_dialect *dialect, struct entry *e, struct loop *loop);

/**
 * callers_start() - listen on the caller port, before the traffic thread starts
 * @c: the server
 *
 * Return: STATUS_OK, or STATUS_IO when the port can't be bound.
 */
enum status callers_start(struct callers *c);

/** callers_closed_since_ms() - monotonic time since which no connection can be
 * accepted, 0 while they can; @callers is a struct callers */
uint64_t callers_closed_since_ms(void *callers);

/** callers_port() - the listening port, after callers_start() */
uint16_t callers_port(const struct callers *c);

/**
 * callers_drain() - refuse new calls and close connections after their answers
 * @c: the server
 * @deadline_ms: monotonic time at which calls still in flight are aborted
 *
 * Any thread may call this function.  Each answer closes its connection from
 * now on, and new calls are answered not_run.  The drain is complete when
 * callers_in_flight() is 0.
 */
void callers_drain(struct callers *c, uint64_t deadline_ms);

/** callers_in_flight() - calls whose answer isn't completely written yet */
uint32_t callers_in_flight(const struct callers *c);

/**
 * callers_stop() - stop listening and wait until connections have closed
 * @c: the server; the traffic thread still runs
 *
 * To be called from another thread.  After a drain this function returns once
 * no connection is left, or at the drain's deadline; answers being written then
 * are truncated.
 */
void callers_stop(struct callers *c);

/** callers_free() - free the server, once the traffic thread has stopped; NULL
 * is allowed */
void callers_free(struct callers *c);

#endif
