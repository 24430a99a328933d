/*
 * Checks what nodes say that they serve.
 */
#include <string.h>

#include "version_check.h"

/* What is known of a host; it lives as long as the check. */
struct seen_host {
	char *name;
	uint64_t highest;
	uint32_t sights;
	int present;
	uint64_t since_ms; /* when it became present */
};

/* A version that was accepted. */
struct promise {
	uint64_t version;
	uint64_t from_ms;
	uint32_t bound_ms;
	GHashTable *missed; /* hosts that are known to be late */
};

/* A version as first seen. */
struct seen_version {
	uint64_t version;
	char *root;
	char *host;
};

struct version_check {
	GHashTable *hosts;    /* name -> struct seen_host */
	GHashTable *versions; /* version -> struct seen_version */
	GHashTable *records;  /* version -> root */
	GPtrArray *promises;
	GPtrArray *found;
};

static void
host_free(gpointer p)
{
	struct seen_host *h = p;

	g_free(h->name);
	g_free(h);
}

static void
version_free(gpointer p)
{
	struct seen_version *v = p;

	g_free(v->root);
	g_free(v->host);
	g_free(v);
}

static void
promise_free(gpointer p)
{
	struct promise *pr = p;

	g_hash_table_unref(pr->missed);
	g_free(pr);
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
	c->promises = g_ptr_array_new_with_free_func(promise_free);
	c->found = g_ptr_array_new_with_free_func(violation_free);
	return c;
}

void
version_check_free(struct version_check *c)
{
	g_hash_table_unref(c->hosts);
	g_hash_table_unref(c->versions);
	g_hash_table_unref(c->records);
	g_ptr_array_unref(c->promises);
	g_ptr_array_unref(c->found);
	g_free(c);
}

static struct seen_host *
host_of(struct version_check *c, const char *name)
{
	struct seen_host *h = g_hash_table_lookup(c->hosts, name);

	if (h == NULL) {
		h = g_new0(struct seen_host, 1);
		h->name = g_strdup(name);
		g_hash_table_insert(c->hosts, h->name, h);
	}
	return h;
}

static void
violate(struct version_check *c, enum version_rule rule, const char *host,
    uint64_t version)
{
	struct version_violation *v = g_new0(struct version_violation, 1);

	v->rule = rule;
	v->host = g_strdup(host);
	v->version = version;
	v->before = host_of(c, host)->highest;
	g_ptr_array_add(c->found, v);
}

static void
see_root(struct version_check *c, const char *host, uint64_t version,
    const char *root)
{
	struct seen_version *v = g_hash_table_lookup(c->versions, &version);

	if (v == NULL) {
		v = g_new0(struct seen_version, 1);
		v->version = version;
		v->host = g_strdup(host);
		g_hash_table_insert(c->versions, &v->version, v);
	}
	if (root != NULL && v->root == NULL)
		v->root = g_strdup(root);
	else if (root != NULL && strcmp(root, v->root) != 0)
		violate(c, VERSION_ROOT_MISMATCH, host, version);
}

void
version_check_observe(struct version_check *c, const char *host,
    uint64_t version, const char *root)
{
	struct seen_host *h = host_of(c, host);

	if (version == 0)
		return;
	h->sights++;
	if (version < h->highest)
		violate(c, VERSION_REGRESSION, host, version);
	see_root(c, host, version, root);
	h->highest = MAX(h->highest, version);
}

void
version_check_reachable(
    struct version_check *c, const char *host, uint64_t now_ms)
{
	struct seen_host *h = host_of(c, host);

	h->present = 1;
	h->since_ms = now_ms;
}

void
version_check_unreachable(struct version_check *c, const char *host)
{
	host_of(c, host)->present = 0;
}

void
version_check_accept(struct version_check *c, uint64_t version, uint64_t now_ms,
    uint32_t bound_ms)
{
	struct promise *p = g_new0(struct promise, 1);

	p->version = version;
	p->from_ms = now_ms;
	p->bound_ms = bound_ms;
	p->missed = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_ptr_array_add(c->promises, p);
}

void
version_check_withdraw(struct version_check *c, uint64_t version)
{
	struct promise *p;
	guint i;

	for (i = c->promises->len; i-- > 0;) {
		p = g_ptr_array_index(c->promises, i);
		if (p->version == version)
			g_ptr_array_remove_index(c->promises, i);
	}
}

static void
check_promise(struct version_check *c, struct promise *p, struct seen_host *h,
    uint64_t now_ms)
{
	if (!h->present || h->highest >= p->version ||
	    now_ms < MAX(p->from_ms, h->since_ms) + p->bound_ms ||
	    !g_hash_table_add(p->missed, h))
		return;
	violate(c, VERSION_LATE, h->name, p->version);
}

void
version_check_tick(struct version_check *c, uint64_t now_ms)
{
	gpointer h;
	GHashTableIter it;
	guint i;

	for (i = 0; i < c->promises->len; i++) {
		g_hash_table_iter_init(&it, c->hosts);
		while (g_hash_table_iter_next(&it, NULL, &h))
			check_promise(
			    c, g_ptr_array_index(c->promises, i), h, now_ms);
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
	struct seen_version *v;

	g_hash_table_iter_init(&it, c->versions);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		v = p;
		root = g_hash_table_lookup(c->records, &v->version);
		if (root == NULL)
			violate(c, VERSION_NO_RECORD, v->host, v->version);
		else if (v->root != NULL && strcmp(root, v->root) != 0)
			violate(c, VERSION_ROOT_MISMATCH, v->host, v->version);
	}
}

uint32_t
version_check_observations(const struct version_check *c, const char *host)
{
	const struct seen_host *h = g_hash_table_lookup(c->hosts, host);

	return h == NULL ? 0 : h->sights;
}

uint64_t
version_check_highest(const struct version_check *c, const char *host)
{
	const struct seen_host *h = g_hash_table_lookup(c->hosts, host);

	return h == NULL ? 0 : h->highest;
}

const GPtrArray *
version_check_violations(const struct version_check *c)
{
	return c->found;
}

const char *
version_rule_name(enum version_rule rule)
{
	static const char *const names[] = {
	    [VERSION_REGRESSION] = "a host went back",
	    [VERSION_ROOT_MISMATCH] = "two roots of one version",
	    [VERSION_NO_RECORD] = "a version that was never accepted",
	    [VERSION_LATE] = "an accepted version came late",
	};

	return names[rule];
}
