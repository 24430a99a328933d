/*
 * Traffic thread: one event loop for callers, entry and guard, so that a call
 * to an upstream of this host stays in one thread.
 */
#ifndef NODE_TRAFFIC_THREAD_H
#define NODE_TRAFFIC_THREAD_H

#include "base/status.h"
#include "net/loop.h"
#include "node/traffic_health.h"

struct traffic_thread;

/**
 * traffic_thread_new() - create the loop, without starting the thread
 *
 * Return: the thread, or NULL when the system has no file descriptor left.
 */
struct traffic_thread *traffic_thread_new(void);

/** traffic_thread_loop() - loop of the thread */
struct loop *traffic_thread_loop(const struct traffic_thread *t);

/** traffic_thread_health() - what the thread reports of itself */
struct traffic_health *traffic_thread_health(struct traffic_thread *t);

/** traffic_thread_start() - start the thread; Return: STATUS_OK or STATUS_IO */
enum status traffic_thread_start(struct traffic_thread *t);

/** traffic_thread_stop() - stop the thread; functions posted before still
 * run */
void traffic_thread_stop(struct traffic_thread *t);

/** traffic_thread_free() - free the loop, after all users of it; NULL is
 * allowed */
void traffic_thread_free(struct traffic_thread *t);

#endif
