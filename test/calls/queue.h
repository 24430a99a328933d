/*
 * Event queue of the driver, ordered by virtual time.
 */
#ifndef CALLS_QUEUE_H
#define CALLS_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct event - scheduled event
 * @at_us: virtual time of the event
 * @number: sequence number, which orders events of the same time
 * @fn: handler
 * @target: object that the handler acts on
 * @arg: argument of the handler
 */
struct event {
	uint64_t at_us;
	uint64_t number;
	void (*fn)(void *target, void *arg);
	void *target;
	void *arg;
};

struct queue;

/** queue_new() - create an empty queue; free with queue_free() */
struct queue *queue_new(void);

/** queue_free() - free a queue; the remaining events are dropped */
void queue_free(struct queue *q);

/** queue_at() - schedule @fn(@target, @arg) at @at_us; events of the same time
 * run in the order of scheduling */
void queue_at(struct queue *q, uint64_t at_us,
    void (*fn)(void *target, void *arg), void *target, void *arg);

/** queue_pop() - remove the next event; false if there is none */
bool queue_pop(struct queue *q, struct event *out);

#endif
