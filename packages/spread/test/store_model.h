/*
 * A store with one row that operators change, as seen by one reader: answers
 * come late, and a read that waits ends with the change that comes first.
 *
 * Worst for the reader: what an answer says is looked up when the read is
 * asked for, or when the change ends its wait; all of the delay comes after.
 */
#ifndef SPREAD_STORE_MODEL_H
#define SPREAD_STORE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * struct store_model - the store
 * @changes: uint64_t, when each change is accepted, in order
 * @held: uint64_t, when the first reader held each; 0 while none does
 * @n_accepted: changes accepted so far
 * @answer_ms: how long an answer takes
 * @body_ms: how long the row takes on a reader's link
 * @step: numbers of the store's counter that each change takes
 * @calls: reads asked for
 * @copies: answers that held the row
 * @duplicates: answers that held the row as the reader had it
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
 * struct store_read - a read under way
 * @after: number after which changes are wanted
 * @waits_until_ms: when it is answered without one
 * @at_ms: when its answer is whole, 0 while it waits
 * @found: changes that the answer holds, 0 for an answer without the row
 */
struct store_read {
	uint64_t after;
	uint64_t waits_until_ms;
	uint64_t at_ms;
	uint64_t found;
};

/** store_model_init() - a store that answers after @answer_ms */
void store_model_init(struct store_model *s, uint32_t answer_ms);

/** store_model_clear() - free what it holds */
void store_model_clear(struct store_model *s);

/** store_model_change() - a change that is accepted at @at_ms */
void store_model_change(struct store_model *s, uint64_t at_ms);

/**
 * store_model_read() - ask
 * @s: the store
 * @now_ms: when
 * @after: number of the store's counter after which changes are wanted
 * @wait_ms: how long to wait for one
 */
struct store_read store_model_read(
    struct store_model *s, uint64_t now_ms, uint64_t after, uint32_t wait_ms);

/** store_model_answered() - whether a read is answered; to be asked for each
 * millisecond from that of the read on */
bool store_model_answered(
    struct store_model *s, struct store_read *read, uint64_t now_ms);

/** store_model_counter() - the store's counter after so many changes */
uint64_t store_model_counter(const struct store_model *s, uint64_t changes);

/** store_model_hold() - a reader holds the first @found changes */
void store_model_hold(struct store_model *s, uint64_t now_ms, uint64_t found);

/** store_model_oldest_ms() - the longest time from a change to its hold,
 * among those accepted from @from_ms on that are held */
uint64_t store_model_oldest_ms(const struct store_model *s, uint64_t from_ms);

#endif
