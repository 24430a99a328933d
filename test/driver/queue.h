/*
 * Queue of the test driver: what is to happen, in order of virtual time.
 */
#ifndef DRIVER_QUEUE_H
#define DRIVER_QUEUE_H

#include <stdint.h>

#include <glib.h>

/** queue_fn - called when its time has come; frees @arg itself */
typedef void queue_fn(void *arg);

/**
 * struct queue_item - something that is to happen
 * @at_us: when, virtual time in microseconds
 * @order: items of the same time happen in this order
 * @fn: what
 * @arg: argument
 * @free_arg: frees @arg if the queue is freed first
 */
struct queue_item {
	uint64_t at_us;
	uint64_t order;
	queue_fn *fn;
	void *arg;
	GDestroyNotify free_arg;
};

/**
 * struct queue - a heap of items
 * @items: struct queue_item
 * @now_us: virtual time
 * @order: order of the next item
 */
struct queue {
	GArray *items;
	uint64_t now_us;
	uint64_t order;
};

/** queue_init() - an empty queue at time @now_us */
void queue_init(struct queue *q, uint64_t now_us);

/** queue_clear() - free what is left */
void queue_clear(struct queue *q);

/** queue_add() - have @fn called at @at_us, or now if that is past */
void queue_add(struct queue *q, uint64_t at_us, queue_fn *fn, void *arg,
    GDestroyNotify free_arg);

/**
 * queue_step() - let the next item happen
 * @q: the queue
 * @until_us: but none that is later than this
 *
 * Return: 1, or 0 when nothing is left up to @until_us; then that is the
 * time.
 */
int queue_step(struct queue *q, uint64_t until_us);

#endif
