/*
 * Event queue of the test driver, ordered by virtual time.
 */
#ifndef DRIVER_QUEUE_H
#define DRIVER_QUEUE_H

#include <stdint.h>

#include <glib.h>

/** queue_fn - event handler; frees @arg */
typedef void queue_fn(void *arg);

/**
 * struct queue_item - scheduled event
 * @at_us: virtual time of the event
 * @order: sequence number, which orders events of the same time
 * @fn: handler
 * @arg: argument of @fn
 * @free_arg: frees @arg if the queue is cleared before the event
 */
struct queue_item {
	uint64_t at_us;
	uint64_t order;
	queue_fn *fn;
	void *arg;
	GDestroyNotify free_arg;
};

/**
 * struct queue - heap of events
 * @items: struct queue_item
 * @now_us: virtual time
 * @order: sequence number of the next item
 */
struct queue {
	GArray *items;
	uint64_t now_us;
	uint64_t order;
};

/** queue_init() - create an empty queue at time @now_us */
void queue_init(struct queue *q, uint64_t now_us);

/** queue_clear() - free the remaining events */
void queue_clear(struct queue *q);

/** queue_add() - schedule @fn at @at_us, or now if that is in the past */
void queue_add(struct queue *q, uint64_t at_us, queue_fn *fn, void *arg,
    GDestroyNotify free_arg);

/**
 * queue_step() - run the next event
 * @q: the queue
 * @until_us: time of the last event that may run
 *
 * Return: 1, or 0 if no event is left up to @until_us; the virtual time is then
 * @until_us.
 */
int queue_step(struct queue *q, uint64_t until_us);

#endif
