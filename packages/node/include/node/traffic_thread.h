/*
 * The traffic thread: one event loop for callers, entry and guard, so that a
 * call to an upstream of the own host crosses no thread.
 */
#ifndef NODE_TRAFFIC_THREAD_H
#define NODE_TRAFFIC_THREAD_H

#include "base/status.h"
#include "net/loop.h"

struct traffic_thread;

/**
 * traffic_thread_new() - make the loop; nothing runs yet
 *
 * Return: the thread, or NULL when the system refuses a descriptor.
 */
struct traffic_thread *traffic_thread_new(void);

/** traffic_thread_loop() - its loop */
struct loop *traffic_thread_loop(const struct traffic_thread *t);

/** traffic_thread_start() - run; Return: STATUS_OK or STATUS_IO */
enum status traffic_thread_start(struct traffic_thread *t);

/** traffic_thread_stop() - what was posted before still runs */
void traffic_thread_stop(struct traffic_thread *t);

/** traffic_thread_free() - after all that lives in the loop; NULL is fine */
void traffic_thread_free(struct traffic_thread *t);

#endif
