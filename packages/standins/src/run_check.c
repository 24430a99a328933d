/*
 * Checks fates reported to callers against the runs at upstreams.
 */
#include <string.h>

#include <glib.h>

#include "standins/run_check.h"

static const char *const rule_names[RULE_COUNT] = {"not_run_but_ran",
    "done_but_not_run", "ran_twice", "key_ran_twice", "answer", "stray_run",
    "double_call"};

/* Summary of the calls that share an idempotency key. */
struct key_calls {
	int any_done;
	int all_known_not_run;
};

struct check {
	const struct runs *runs;
	GArray *violations;
	GHashTable *test_ids; /* test ids of all calls */
	GHashTable *keys;     /* key -> struct key_calls */
};

const char *
run_rule_name(enum run_rule r)
{
	return rule_names[r];
}

static void
check_add_violation(struct check *c, enum run_rule rule, const char *id,
    enum reported_fate reported, uint64_t runs)
{
	struct violation v = {rule, "", reported, runs};

	g_strlcpy(v.id, id, sizeof(v.id));
	g_array_append_val(c->violations, v);
}

static void
check_response(struct check *c, const struct outcome *o)
{
	if (o->check == RESPONSE_NOT_OWN || o->check == RESPONSE_NOT_WHOLE ||
	    o->check == RESPONSE_NO_FATE)
		check_add_violation(c, RULE_BAD_RESPONSE, o->test_id,
		    o->reported, runs_of_test_id(c->runs, o->test_id));
}

static int
reported_not_run(enum reported_fate fate)
{
	return fate == REPORTED_NOT_RUN || fate == REPORTED_NOT_SENT;
}

static void
check_call(struct check *c, const struct outcome *o)
{
	int keyed = o->key[0] != '\0';
	uint64_t n = runs_of_test_id(c->runs, o->test_id);

	check_response(c, o);
	if (!g_hash_table_add(c->test_ids, (gpointer)o->test_id))
		check_add_violation(
		    c, RULE_DUPLICATE_CALL, o->test_id, o->reported, n);
	if (reported_not_run(o->reported) && n > 0)
		check_add_violation(
		    c, RULE_NOT_RUN_BUT_RAN, o->test_id, o->reported, n);
	if (o->reported == REPORTED_DONE && n == 0 && !keyed)
		check_add_violation(
		    c, RULE_DONE_BUT_NOT_RUN, o->test_id, o->reported, n);
	if (o->kind != CALL_LOOKUP && n > 1)
		check_add_violation(
		    c, RULE_RAN_TWICE, o->test_id, o->reported, n);
}

static void
collect_key(struct check *c, const struct outcome *o)
{
	struct key_calls *k;

	if (o->key[0] == '\0')
		return;
	k = g_hash_table_lookup(c->keys, o->key);
	if (k == NULL) {
		k = g_new0(struct key_calls, 1);
		k->all_known_not_run = 1;
		g_hash_table_insert(c->keys, (gpointer)o->key, k);
	}
	if (o->reported == REPORTED_DONE)
		k->any_done = 1;
	if (!reported_not_run(o->reported))
		k->all_known_not_run = 0;
}

static void
check_key(struct check *c, const char *key, const struct key_calls *k)
{
	uint64_t n = runs_of_key(c->runs, key);

	if (n > 1)
		check_add_violation(c, RULE_KEY_RAN_TWICE, key,
		    k->any_done ? REPORTED_DONE : REPORTED_UNKNOWN, n);
	if (k->any_done && n == 0)
		check_add_violation(
		    c, RULE_DONE_BUT_NOT_RUN, key, REPORTED_DONE, n);
	if (k->all_known_not_run && n > 0)
		check_add_violation(
		    c, RULE_NOT_RUN_BUT_RAN, key, REPORTED_NOT_RUN, n);
}

static void
check_run_without_call(const char *test_id, uint64_t n, void *arg)
{
	struct check *c = arg;

	if (!g_hash_table_contains(c->test_ids, test_id))
		check_add_violation(
		    c, RULE_RUN_WITHOUT_CALL, test_id, REPORTED_NOT_SENT, n);
}

GArray *
run_check(const GArray *calls, const struct runs *r)
{
	const struct outcome *o;
	gpointer k, key;
	GHashTableIter it;
	guint i;
	struct check c;

	c.runs = r;
	c.violations = g_array_new(FALSE, FALSE, sizeof(struct violation));
	c.test_ids = g_hash_table_new(g_str_hash, g_str_equal);
	c.keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	for (i = 0; i < calls->len; i++) {
		o = &g_array_index(calls, struct outcome, i);
		check_call(&c, o);
		collect_key(&c, o);
	}
	g_hash_table_iter_init(&it, c.keys);
	while (g_hash_table_iter_next(&it, &key, &k))
		check_key(&c, key, k);
	runs_foreach_test_id(r, check_run_without_call, &c);
	g_hash_table_destroy(c.test_ids);
	g_hash_table_destroy(c.keys);
	return c.violations;
}
