/*
 * Checks of the outcomes of a finished run.
 */
#include "checker.h"

#include <string.h>

/* Collects the times of all runs by idempotency key: uint64_t, unsorted. */
static GPtrArray *
runs_by_key(const struct world *w)
{
	const struct client_call *c;
	GPtrArray *keys;
	uint32_t key;
	guint i;

	keys = g_ptr_array_new();
	for (key = 0; key <= w->keys; key++)
		g_ptr_array_add(
		    keys, g_array_new(FALSE, FALSE, sizeof(uint64_t)));
	for (i = 0; i < w->calls->len; i++) {
		c = g_ptr_array_index(w->calls, i);
		if (c->keyed && c->runs > 0)
			g_array_append_val(
			    (GArray *)g_ptr_array_index(keys, c->key),
			    c->first_run_us);
	}
	return keys;
}

/* Returns whether a run started before before_us and within the window that
 * ends at at_us. */
static bool
ran_before(const struct world *w, const GArray *runs, uint64_t before_us,
    uint64_t at_us)
{
	uint64_t run_us;
	guint i;

	for (i = 0; i < runs->len; i++) {
		run_us = g_array_index(runs, uint64_t, i);
		if (run_us < before_us &&
		    at_us - run_us < (uint64_t)w->cfg.window_ms * US_PER_MS)
			return true;
	}
	return false;
}

static bool
ran_twice(const struct world *w, const GArray *runs)
{
	uint64_t run_us;
	guint i;

	for (i = 0; i < runs->len; i++) {
		run_us = g_array_index(runs, uint64_t, i);
		if (ran_before(w, runs, run_us, run_us))
			return true;
	}
	return false;
}

static bool
is_own_answer(const struct world *w, const struct client_call *c)
{
	const struct client_call *other;

	if (c->answered_call == c->number)
		return true;
	if (!c->keyed || c->answered_call >= w->calls->len)
		return false;
	other = g_ptr_array_index(w->calls, c->answered_call);
	return other->keyed && other->key == c->key;
}

static void
check_outcome(const struct world *w, const struct client_call *c,
    const GArray *key, struct violations *v)
{
	if (c->outcome == OUTCOME_NOT_RUN && c->runs > 0)
		v->ran_despite_not_run++;
	if (c->keyed && c->outcome == OUTCOME_NOT_RUN &&
	    ran_before(w, key, c->sent_us, c->outcome_us))
		v->key_ran_despite_not_run++;
	if (c->outcome != OUTCOME_DONE)
		return;
	if (!is_own_answer(w, c))
		v->wrong_response++;
	if (c->runs == 0 && !c->keyed)
		v->done_without_run++;
	if (c->keyed && key->len == 0)
		v->done_without_run++;
}

void
checker_check(const struct world *w, struct violations *v)
{
	const struct client_call *c;
	GPtrArray *keys;
	GArray *key;
	guint i;

	memset(v, 0, sizeof(*v));
	keys = runs_by_key(w);
	for (i = 0; i < w->calls->len; i++) {
		c = g_ptr_array_index(w->calls, i);
		if (c->booking && c->runs > 1)
			v->booking_ran_twice++;
		if (c->n_outcomes > 1)
			v->multiple_outcomes++;
		if (c->has_outcome)
			check_outcome(w, c, g_ptr_array_index(keys, c->key), v);
		else if (!c->entry_lost && !c->disconnected)
			v->no_outcome++;
	}
	for (i = 0; i < keys->len; i++) {
		key = g_ptr_array_index(keys, i);
		if (ran_twice(w, key))
			v->key_ran_twice++;
		g_array_free(key, TRUE);
	}
	g_ptr_array_free(keys, TRUE);
}

uint32_t
checker_total(const struct violations *v)
{
	return v->ran_despite_not_run + v->booking_ran_twice +
	    v->key_ran_twice + v->key_ran_despite_not_run + v->wrong_response +
	    v->done_without_run + v->multiple_outcomes + v->no_outcome;
}

void
checker_describe(const struct violations *v, char *out, size_t size)
{
	const struct {
		const char *name;
		uint32_t count;
	} rows[] = {
	    {"not_run but ran", v->ran_despite_not_run},
	    {"booking ran twice", v->booking_ran_twice},
	    {"key ran twice", v->key_ran_twice},
	    {"not_run but its key ran", v->key_ran_despite_not_run},
	    {"wrong response", v->wrong_response},
	    {"done but never ran", v->done_without_run},
	    {"multiple outcomes", v->multiple_outcomes},
	    {"no outcome", v->no_outcome},
	};
	GString *text;
	size_t i;

	text = g_string_new(NULL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (rows[i].count > 0)
			g_string_append_printf(
			    text, "%s: %u; ", rows[i].name, rows[i].count);
	}
	(void)g_strlcpy(out, text->len > 0 ? text->str : "none", size);
	g_string_free(text, TRUE);
}
