/*
 * Event loop of one thread: file descriptors, timers and an inbox for the
 * other threads.
 *
 * All functions are for the thread that runs the loop, but loop_post() and
 * loop_stop(), which any thread may call.
 */
#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

struct loop;
struct loop_fd;

/** LOOP_READ - the descriptor can be read (or has failed or ended) */
#define LOOP_READ 1U
/** LOOP_WRITE - the descriptor can be written (or has failed) */
#define LOOP_WRITE 2U

/** loop_fn - something to run in the loop's thread */
typedef void loop_fn(void *arg);

/** loop_fd_fn - a descriptor is ready; @ready is of LOOP_READ, LOOP_WRITE */
typedef void loop_fd_fn(uint32_t ready, void *arg);

/**
 * struct loop_timer - a timer, embedded in what it belongs to
 * @loop: the loop it runs in
 * @fn: called when the deadline has come
 * @arg: given to @fn
 * @deadline_ms: monotonic deadline
 * @place: its place among the loop's timers, NULL when it isn't set
 */
struct loop_timer {
	struct loop *loop;
	loop_fn *fn;
	void *arg;
	uint64_t deadline_ms;
	GSequenceIter *place;
};

/**
 * struct loop_task - something to run once at the end of the turn
 * @loop: the loop it runs in
 * @fn: what to run
 * @arg: given to @fn
 * @next: next task of the turn
 * @prev: previous task of the turn
 * @pending: whether it is waiting to run
 *
 * Embedded in what it belongs to, so that deferring allocates nothing.
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
 * loop_new() - make an event loop
 *
 * Return: the loop, or NULL when the system refuses a descriptor.
 */
struct loop *loop_new(void);

/**
 * loop_free() - free a loop
 * @loop: a loop that isn't running; NULL is allowed
 *
 * Tasks that are pending are run, because they release memory.  Timers and
 * descriptors that are still there are forgotten, and what was posted but not
 * run is dropped: stop those who post first.
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
 * Any thread may call it.  What was posted before is run first.
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
 * @arg: given to @fn
 *
 * Any thread may call it.  Functions posted by one thread run in order.
 */
void loop_post(struct loop *loop, loop_fn *fn, void *arg);

/**
 * loop_fd_add() - watch a file descriptor
 * @loop: the loop
 * @fd: the descriptor; stays the caller's
 * @events: of LOOP_READ and LOOP_WRITE; level-triggered
 * @fn: called when the descriptor is ready
 * @arg: given to @fn
 *
 * Return: the watcher, or NULL when the system refuses (STATUS_IO is set).
 */
struct loop_fd *loop_fd_add(
    struct loop *loop, int fd, uint32_t events, loop_fd_fn *fn, void *arg);

/** loop_fd_set() - change the events that are watched for; 0 is allowed */
void loop_fd_set(struct loop_fd *w, uint32_t events);

/**
 * loop_fd_remove() - stop watching, before the descriptor is closed
 * @w: the watcher; not called again, also when it is ready in this turn
 */
void loop_fd_remove(struct loop_fd *w);

/**
 * loop_timer_init() - prepare a timer
 * @t: the timer; it isn't set yet
 * @loop: the loop it runs in
 * @fn: called when the deadline has come
 * @arg: given to @fn
 */
void loop_timer_init(
    struct loop_timer *t, struct loop *loop, loop_fn *fn, void *arg);

/**
 * loop_timer_set() - set or move a timer
 * @t: the timer
 * @deadline_ms: monotonic time; one that has passed fires in this turn or the
 *next; DEADLINE_NEVER stops the timer
 */
void loop_timer_set(struct loop_timer *t, uint64_t deadline_ms);

/** loop_timer_stop() - stop a timer that may or may not be set */
void loop_timer_stop(struct loop_timer *t);

/** loop_timer_is_set() - whether the timer is going to fire */
static inline bool
loop_timer_is_set(const struct loop_timer *t)
{
	return t->place != NULL;
}

/** loop_task_init() - prepare a task; see struct loop_task */
void loop_task_init(
    struct loop_task *task, struct loop *loop, loop_fn *fn, void *arg);

/**
 * loop_task_defer() - run a task at the end of this turn
 * @task: the task; one that is pending already runs once only
 *
 * A task deferred by a task runs in the next turn, which does not wait.
 */
void loop_task_defer(struct loop_task *task);

/** loop_task_cancel() - forget a task that may or may not be pending */
void loop_task_cancel(struct loop_task *task);

#endif
