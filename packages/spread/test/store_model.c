/*
 * Model of a store with one row that operators change.
 */
#include "store_model.h"

#include "base/clock.h"

void
store_model_init(struct store_model *s, uint32_t answer_ms)
{
	*s = (struct store_model){.answer_ms = answer_ms, .step = 1};
	s->changes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	s->held = g_array_new(FALSE, TRUE, sizeof(uint64_t));
}

void
store_model_clear(struct store_model *s)
{
	g_array_unref(s->changes);
	g_array_unref(s->held);
}

void
store_model_change(struct store_model *s, uint64_t at_ms)
{
	uint64_t none = 0;

	g_array_append_val(s->changes, at_ms);
	g_array_append_val(s->held, none);
}

static uint64_t
change_ms(const struct store_model *s, uint64_t i)
{
	return g_array_index(s->changes, uint64_t, i);
}

/* Number of changes accepted up to and including @now_ms. */
static uint64_t
accepted_until(struct store_model *s, uint64_t now_ms)
{
	while (s->n_accepted < s->changes->len &&
	    change_ms(s, s->n_accepted) <= now_ms)
		s->n_accepted++;
	return s->n_accepted;
}

uint64_t
store_model_counter(const struct store_model *s, uint64_t changes)
{
	return changes * s->step;
}

struct store_read
store_model_read(
    struct store_model *s, uint64_t now_ms, uint64_t after, uint32_t wait_ms)
{
	struct store_read read = {
	    .after = after, .waits_until_ms = now_ms + wait_ms};

	s->calls++;
	return read;
}

/* Completes a read if there is a change or its wait is over; this fixes the
 * content of the answer. */
static void
complete_read(struct store_model *s, struct store_read *read, uint64_t now_ms)
{
	uint64_t n = accepted_until(s, now_ms);

	if (store_model_counter(s, n) > read->after) {
		read->found = n;
		read->at_ms = now_ms + s->answer_ms + s->body_ms;
		s->copies++;
	} else if (now_ms >= read->waits_until_ms) {
		read->at_ms = now_ms + s->answer_ms;
	}
}

bool
store_model_answered(
    struct store_model *s, struct store_read *read, uint64_t now_ms)
{
	if (read->at_ms == 0)
		complete_read(s, read, now_ms);
	return read->at_ms != 0 && now_ms >= read->at_ms;
}

void
store_model_hold(struct store_model *s, uint64_t now_ms, uint64_t found)
{
	uint64_t *held;

	while (found > 0) {
		held = &g_array_index(s->held, uint64_t, --found);
		if (*held != 0)
			return;
		*held = now_ms;
	}
}

uint64_t
store_model_oldest_ms(const struct store_model *s, uint64_t from_ms)
{
	uint64_t held_ms, oldest_ms = 0;
	guint i;

	for (i = 0; i < s->changes->len; i++) {
		held_ms = g_array_index(s->held, uint64_t, i);
		if (change_ms(s, i) >= from_ms && held_ms != 0)
			oldest_ms = MAX(oldest_ms, held_ms - change_ms(s, i));
	}
	return oldest_ms;
}
