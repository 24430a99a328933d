/*
 * Events of the driver in the order of virtual time.
 */
#ifndef CALLS_QUEUE_H
#define CALLS_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/** struct event - something that happens at a time */
struct event {
	uint64_t at_us;
	uint64_t number;
	void (*fn)(void *target, void *arg);
	void *target;
	void *arg;
};

struct queue;

/** queue_new() - empty; free with queue_free() */
struct queue *queue_new(void);

/** queue_free() - free it; events that did not fire are dropped */
void queue_free(struct queue *q);

/** queue_at() - @fn(@target, @arg) at @at_us; at one time in order of calls */
void queue_at(struct queue *q, uint64_t at_us,
    void (*fn)(void *target, void *arg), void *target, void *arg);

/** queue_pop() - the next event; false when there is none */
bool queue_pop(struct queue *q, struct event *out);

#endif
