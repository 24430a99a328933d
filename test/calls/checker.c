/*
 * The checker.
 */
#include "checker.h"

#include <string.h>

/* Times of all runs with one idempotency key: uint64_t, unsorted. */
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

/* Whether there is a run before before_us, within the window up to at_us. */
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

	if (c->of == c->number)
		return true;
	if (!c->keyed || c->of >= w->calls->len)
		return false;
	other = g_ptr_array_index(w->calls, c->of);
	return other->keyed && other->key == c->key;
}

static void
check_told(const struct world *w, const struct client_call *c,
    const GArray *key, struct violations *v)
{
	if (c->outcome == OUTCOME_NOT_RUN && c->runs > 0)
		v->told_not_run_but_ran++;
	if (c->keyed && c->outcome == OUTCOME_NOT_RUN &&
	    ran_before(w, key, c->born_us, c->told_us))
		v->key_not_run_but_ran++;
	if (c->outcome != OUTCOME_DONE)
		return;
	if (!is_own_answer(w, c))
		v->foreign_answer++;
	if (c->runs == 0 && !c->keyed)
		v->done_but_never_ran++;
	if (c->keyed && key->len == 0)
		v->done_but_never_ran++;
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
		if (c->times_told > 1)
			v->told_twice++;
		if (c->told)
			check_told(w, c, g_ptr_array_index(keys, c->key), v);
		else if (!c->entry_lost && !c->gone)
			v->told_nothing++;
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
checker_sum(const struct violations *v)
{
	return v->told_not_run_but_ran + v->booking_ran_twice +
	    v->key_ran_twice + v->key_not_run_but_ran + v->foreign_answer +
	    v->done_but_never_ran + v->told_twice + v->told_nothing;
}

void
checker_describe(const struct violations *v, char *out, size_t size)
{
	const struct {
		const char *name;
		uint32_t count;
	} rows[] = {
	    {"told not_run but ran", v->told_not_run_but_ran},
	    {"booking ran twice", v->booking_ran_twice},
	    {"key ran twice", v->key_ran_twice},
	    {"key not_run but ran", v->key_not_run_but_ran},
	    {"foreign answer", v->foreign_answer},
	    {"done but never ran", v->done_but_never_ran},
	    {"told twice", v->told_twice},
	    {"told nothing", v->told_nothing},
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
