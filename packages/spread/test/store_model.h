/*
 * Model of a store with one row that operators change: answers are delayed, and
 * a long poll ends with the first change.
 *
 * The model is the worst case for a reader: the content of an answer is looked
 * up when the read starts or when a change ends its wait, and all of the delay
 * follows the lookup.
 */
#ifndef SPREAD_STORE_MODEL_H
#define SPREAD_STORE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * struct store_model - the store
 * @changes: uint64_t, time at which each change is accepted, ascending
 * @held: uint64_t, time at which the first reader held each change; 0 before
 * @n_accepted: changes accepted so far
 * @answer_ms: time that the store takes for an answer
 * @body_ms: transfer time of the row over a reader's link
 * @step: increment of the store's counter per change
 * @calls: reads started
 * @copies: answers that contained the row
 * @duplicates: answers that contained a row that the reader already had
 */
struct store_model {
	GArray *changes;
	GArray *held;
	uint64_t n_accepted;
	uint32_t answer_ms;
	uint32_t body_ms;
	uint32_t step;
	uint32_t calls;
	uint32_t copies;
	uint32_t duplicates;
};

/**
 * struct store_read - a read in flight
 * @after: counter value after which changes are wanted
 * @waits_until_ms: when the read is answered without a change
 * @at_ms: when its answer is complete, 0 while it waits
 * @found: number of changes contained in the answer, 0 for an answer without
 *	the row
 */
struct store_read {
	uint64_t after;
	uint64_t waits_until_ms;
	uint64_t at_ms;
	uint64_t found;
};

/** store_model_init() - initialise a store that answers after @answer_ms */
void store_model_init(struct store_model *s, uint32_t answer_ms);

/** store_model_clear() - free the resources of the store */
void store_model_clear(struct store_model *s);

/** store_model_change() - add a change that is accepted at @at_ms */
void store_model_change(struct store_model *s, uint64_t at_ms);

/**
 * store_model_read() - start a read
 * @s: the store
 * @now_ms: current time
 * @after: counter value after which changes are wanted
 * @wait_ms: longest wait for a change
 */
struct store_read store_model_read(
    struct store_model *s, uint64_t now_ms, uint64_t after, uint32_t wait_ms);

/** store_model_answered() - whether a read is answered; to be called for each
 * millisecond from the start of the read on */
bool store_model_answered(
    struct store_model *s, struct store_read *read, uint64_t now_ms);

/** store_model_counter() - the store's counter after @changes changes */
uint64_t store_model_counter(const struct store_model *s, uint64_t changes);

/** store_model_hold() - a reader holds the first @found changes */
void store_model_hold(struct store_model *s, uint64_t now_ms, uint64_t found);

/** store_model_oldest_ms() - longest time from a change until a reader held it,
 * among the held changes accepted from @from_ms on */
uint64_t store_model_oldest_ms(const struct store_model *s, uint64_t from_ms);

#endif
