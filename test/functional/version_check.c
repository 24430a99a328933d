/*
 * Checks the versions that nodes report to serve.
 */
#include <string.h>

#include "version_check.h"

/* State of a host; freed with the check. */
struct host_state {
	char *name;
	uint64_t highest;
	uint32_t observations;
	int reachable;
	uint64_t reachable_since_ms;
};

/* An accepted version that reachable hosts must serve. */
struct expectation {
	uint64_t version;
	uint64_t accepted_ms;
	uint32_t bound_ms;
	GHashTable *late_hosts; /* hosts whose violation has been recorded */
};

/* First observation of a version. */
struct first_observation {
	uint64_t version;
	char *root;
	char *host;
};

struct version_check {
	GHashTable *hosts;    /* name -> struct host_state */
	GHashTable *versions; /* version -> struct first_observation */
	GHashTable *records;  /* version -> root */
	GPtrArray *expectations;
	GPtrArray *violations;
};

static void
host_free(gpointer p)
{
	struct host_state *h = p;

	g_free(h->name);
	g_free(h);
}

static void
version_free(gpointer p)
{
	struct first_observation *v = p;

	g_free(v->root);
	g_free(v->host);
	g_free(v);
}

static void
expectation_free(gpointer p)
{
	struct expectation *e = p;

	g_hash_table_unref(e->late_hosts);
	g_free(e);
}

static void
violation_free(gpointer p)
{
	struct version_violation *v = p;

	g_free(v->host);
	g_free(v);
}

struct version_check *
version_check_new(void)
{
	struct version_check *c = g_new0(struct version_check, 1);

	c->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	c->versions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, version_free);
	c->records =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->expectations = g_ptr_array_new_with_free_func(expectation_free);
	c->violations = g_ptr_array_new_with_free_func(violation_free);
	return c;
}

void
version_check_free(struct version_check *c)
{
	g_hash_table_unref(c->hosts);
	g_hash_table_unref(c->versions);
	g_hash_table_unref(c->records);
	g_ptr_array_unref(c->expectations);
	g_ptr_array_unref(c->violations);
	g_free(c);
}

static struct host_state *
get_host(struct version_check *c, const char *name)
{
	struct host_state *h = g_hash_table_lookup(c->hosts, name);

	if (h == NULL) {
		h = g_new0(struct host_state, 1);
		h->name = g_strdup(name);
		g_hash_table_insert(c->hosts, h->name, h);
	}
	return h;
}

static void
add_violation(struct version_check *c, enum version_rule rule, const char *host,
    uint64_t version)
{
	struct version_violation *v = g_new0(struct version_violation, 1);

	v->rule = rule;
	v->host = g_strdup(host);
	v->version = version;
	v->before = get_host(c, host)->highest;
	g_ptr_array_add(c->violations, v);
}

static void
check_root(struct version_check *c, const char *host, uint64_t version,
    const char *root)
{
	struct first_observation *v =
	    g_hash_table_lookup(c->versions, &version);

	if (v == NULL) {
		v = g_new0(struct first_observation, 1);
		v->version = version;
		v->host = g_strdup(host);
		g_hash_table_insert(c->versions, &v->version, v);
	}
	if (root != NULL && v->root == NULL)
		v->root = g_strdup(root);
	else if (root != NULL && strcmp(root, v->root) != 0)
		add_violation(c, VERSION_ROOT_MISMATCH, host, version);
}

void
version_check_observe(struct version_check *c, const char *host,
    uint64_t version, const char *root)
{
	struct host_state *h = get_host(c, host);

	if (version == 0)
		return;
	h->observations++;
	if (version < h->highest)
		add_violation(c, VERSION_REGRESSION, host, version);
	check_root(c, host, version, root);
	h->highest = MAX(h->highest, version);
}

void
version_check_reachable(
    struct version_check *c, const char *host, uint64_t now_ms)
{
	struct host_state *h = get_host(c, host);

	h->reachable = 1;
	h->reachable_since_ms = now_ms;
}

void
version_check_unreachable(struct version_check *c, const char *host)
{
	get_host(c, host)->reachable = 0;
}

void
version_check_accept(struct version_check *c, uint64_t version, uint64_t now_ms,
    uint32_t bound_ms)
{
	struct expectation *e = g_new0(struct expectation, 1);

	e->version = version;
	e->accepted_ms = now_ms;
	e->bound_ms = bound_ms;
	e->late_hosts = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_ptr_array_add(c->expectations, e);
}

void
version_check_withdraw(struct version_check *c, uint64_t version)
{
	struct expectation *e;
	guint i;

	for (i = c->expectations->len; i-- > 0;) {
		e = g_ptr_array_index(c->expectations, i);
		if (e->version == version)
			g_ptr_array_remove_index(c->expectations, i);
	}
}

static void
check_expectation(struct version_check *c, struct expectation *e,
    struct host_state *h, uint64_t now_ms)
{
	if (!h->reachable || h->highest >= e->version ||
	    now_ms < MAX(e->accepted_ms, h->reachable_since_ms) + e->bound_ms ||
	    !g_hash_table_add(e->late_hosts, h))
		return;
	add_violation(c, VERSION_LATE, h->name, e->version);
}

void
version_check_tick(struct version_check *c, uint64_t now_ms)
{
	gpointer h;
	GHashTableIter it;
	guint i;

	for (i = 0; i < c->expectations->len; i++) {
		g_hash_table_iter_init(&it, c->hosts);
		while (g_hash_table_iter_next(&it, NULL, &h))
			check_expectation(c,
			    g_ptr_array_index(c->expectations, i), h, now_ms);
	}
}

void
version_check_record(
    struct version_check *c, uint64_t version, const char *root)
{
	g_hash_table_insert(
	    c->records, g_memdup2(&version, sizeof(version)), g_strdup(root));
}

void
version_check_compare_records(struct version_check *c)
{
	const char *root;
	gpointer p;
	GHashTableIter it;
	struct first_observation *v;

	g_hash_table_iter_init(&it, c->versions);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		v = p;
		root = g_hash_table_lookup(c->records, &v->version);
		if (root == NULL)
			add_violation(
			    c, VERSION_NO_RECORD, v->host, v->version);
		else if (v->root != NULL && strcmp(root, v->root) != 0)
			add_violation(
			    c, VERSION_ROOT_MISMATCH, v->host, v->version);
	}
}

uint32_t
version_check_observations(const struct version_check *c, const char *host)
{
	const struct host_state *h = g_hash_table_lookup(c->hosts, host);

	return h == NULL ? 0 : h->observations;
}

uint64_t
version_check_highest(const struct version_check *c, const char *host)
{
	const struct host_state *h = g_hash_table_lookup(c->hosts, host);

	return h == NULL ? 0 : h->highest;
}

const GPtrArray *
version_check_violations(const struct version_check *c)
{
	return c->violations;
}

const char *
version_rule_name(enum version_rule rule)
{
	static const char *const names[] = {
	    [VERSION_REGRESSION] = "older version than before",
	    [VERSION_ROOT_MISMATCH] =
		"root differs from another host or the record",
	    [VERSION_NO_RECORD] = "version was never accepted",
	    [VERSION_LATE] = "accepted version not served in time",
	};

	return names[rule];
}
