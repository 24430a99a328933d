/*
 * Single-threaded event loop: file descriptors, timers, deferred tasks and an
 * inbox for functions posted by other threads.
 *
 * All functions except loop_post() and loop_stop() must be called in the
 * thread that runs the loop.
 *
 * A turn is one iteration of the loop: it waits for events, then serves
 * descriptors, timers and tasks, in that order.
 */
#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "base/metrics.h"

struct loop;
struct loop_fd;

/** LOOP_READ - the descriptor is readable (or has failed or hung up) */
#define LOOP_READ 1U
/** LOOP_WRITE - the descriptor is writable (or has failed) */
#define LOOP_WRITE 2U
/**
 * LOOP_HANGUP - the peer has closed its side, or the descriptor has failed;
 * reported although unread data precedes the end
 */
#define LOOP_HANGUP 4U

/** loop_fn - callback that runs in the loop's thread */
typedef void loop_fn(void *arg);

/** loop_fd_fn - callback; @ready is a mask of LOOP_READ, LOOP_WRITE and
 * LOOP_HANGUP */
typedef void loop_fd_fn(uint32_t ready, void *arg);

/**
 * struct loop_timer - a one-shot timer, embedded in the object that uses it
 * @loop: event loop that runs the timer
 * @fn: called when the deadline expires
 * @arg: passed to @fn
 * @deadline_ms: monotonic deadline
 * @place: position in the loop's sorted timers, NULL when the timer is not set
 */
struct loop_timer {
	struct loop *loop;
	loop_fn *fn;
	void *arg;
	uint64_t deadline_ms;
	GSequenceIter *place;
};

/**
 * struct loop_task - a function deferred to the end of the turn
 * @loop: event loop that runs the task
 * @fn: the function
 * @arg: passed to @fn
 * @next: next task of the turn
 * @prev: previous task of the turn
 * @pending: whether the task is queued
 *
 * Embedded in the object that uses it, so that deferring allocates no memory.
 */
struct loop_task {
	struct loop *loop;
	loop_fn *fn;
	void *arg;
	struct loop_task *next;
	struct loop_task *prev;
	bool pending;
};

/**
 * loop_new() - create an event loop
 *
 * Return: the loop, or NULL when no descriptor is available (status_message()
 * is set).
 */
struct loop *loop_new(void);

/**
 * loop_measure() - record by how much timers fire late
 * @loop: the loop
 * @late_us: a histogram, or NULL for none; borrowed
 *
 * A loop whose thread was paused, or whose turns take long, fires late.
 */
void loop_measure(struct loop *loop, struct metric *late_us);

/**
 * loop_free() - free a loop
 * @loop: a loop that is not running; NULL is allowed
 *
 * Pending tasks are run, because they release memory.  Remaining timers and
 * descriptors are discarded, and so are posted functions that have not run:
 * stop all threads that call loop_post() first.
 */
void loop_free(struct loop *loop);

/** loop_run() - run the loop until loop_stop() */
void loop_run(struct loop *loop);

/**
 * loop_run_once() - run one turn
 * @loop: the loop
 * @until_ms: wait for an event no longer than this monotonic time; 0 polls
 */
void loop_run_once(struct loop *loop, uint64_t until_ms);

/**
 * loop_stop() - make loop_run() return
 * @loop: the loop
 *
 * May be called from any thread.  Functions posted before are run first.
 */
void loop_stop(struct loop *loop);

/** loop_now_ms() - monotonic time at the start of this turn, milliseconds */
uint64_t loop_now_ms(const struct loop *loop);

/** loop_now_us() - monotonic time at the start of this turn, microseconds */
uint64_t loop_now_us(const struct loop *loop);

/**
 * loop_post() - run a function in the loop's thread
 * @loop: the loop
 * @fn: the function
 * @arg: passed to @fn
 *
 * May be called from any thread.  Functions posted by one thread run in order.
 */
void loop_post(struct loop *loop, loop_fn *fn, void *arg);

/**
 * loop_fd_add() - watch a file descriptor
 * @loop: the loop
 * @fd: the descriptor; remains owned by the caller
 * @events: mask of LOOP_READ and LOOP_WRITE; level-triggered
 * @fn: called when the descriptor is ready
 * @arg: passed to @fn
 *
 * Return: the watcher, or NULL on failure (status_message() is set).
 */
struct loop_fd *loop_fd_add(
    struct loop *loop, int fd, uint32_t events, loop_fd_fn *fn, void *arg);

/**
 * loop_fd_set() - change the events of a watcher; 0 disables it
 * @w: the watcher
 * @events: mask of LOOP_READ and LOOP_WRITE
 *
 * A change that epoll_ctl(2) rejects is retried periodically.
 */
void loop_fd_set(struct loop_fd *w, uint32_t events);

/**
 * loop_fd_remove() - remove a watcher; call before closing the descriptor
 * @w: the watcher; its callback is not called again, even if its descriptor
 *	is already ready in this turn
 */
void loop_fd_remove(struct loop_fd *w);

/**
 * loop_timer_init() - initialise a timer without setting it
 * @t: the timer
 * @loop: event loop that runs the timer
 * @fn: called when the deadline expires
 * @arg: passed to @fn
 */
void loop_timer_init(
    struct loop_timer *t, struct loop *loop, loop_fn *fn, void *arg);

/**
 * loop_timer_set() - set or reset a timer
 * @t: the timer
 * @deadline_ms: monotonic time; a time in the past fires in this turn or the
 *	next; DEADLINE_NEVER stops the timer
 */
void loop_timer_set(struct loop_timer *t, uint64_t deadline_ms);

/** loop_timer_stop() - stop a timer that may or may not be set */
void loop_timer_stop(struct loop_timer *t);

/** loop_timer_is_set() - whether the timer is set */
static inline bool
loop_timer_is_set(const struct loop_timer *t)
{
	return t->place != NULL;
}

/** loop_task_init() - initialise a task; see struct loop_task */
void loop_task_init(
    struct loop_task *task, struct loop *loop, loop_fn *fn, void *arg);

/**
 * loop_task_defer() - run a task at the end of this turn
 * @task: the task; has no effect when the task is already pending
 *
 * A task deferred by another task runs in the next turn, which then does not
 * wait for events.
 */
void loop_task_defer(struct loop_task *task);

/** loop_task_cancel() - cancel a task that may or may not be pending */
void loop_task_cancel(struct loop_task *task);

#endif
