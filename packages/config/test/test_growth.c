/*
 * A configuration that grows, shrinks and moves its routes about, against a
 * table that only looks paths up: each step goes from the operators' bundle to
 * sections, into one catalog, and from there as changes and differences into
 * others.  Each must come in force there, with the same root, and say the same
 * of each path as the table.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/snapshot.h"

#include "fixture.h"

#define SERVICES 6
#define HOSTS 4
#define SHARES 3
#define KEY_BYTES 256

/* What makes a prefix one of the longest. */
#define PAD_BYTES 230

/* Largest change in one step, and time of a route that nothing says. */
#define GROW_MOST 4000
#define TIMEOUT_MS 1000

/* Routes of a model that fits any release, and of a large deployment. */
#define FEW 400
#define MANY 20000
#define STEPS 20
#define STEPS_FEW 60

/** struct part - a service's part of a route */
struct part {
	uint32_t service;
	uint32_t weight;
};

/**
 * struct line - a route of the table
 * @host: index of its host, HOSTS for any
 * @prefix: number of its prefix
 * @timeout_ms: its time
 * @parts: where it leads; more than one share it by weight
 * @n_parts: their number
 */
struct line {
	uint32_t host;
	uint32_t prefix;
	uint32_t timeout_ms;
	struct part parts[SHARES];
	uint32_t n_parts;
};

/**
 * struct model - the table, and what was made of it
 * @rnd: source of the steps
 * @lines: struct line
 * @keys: host and prefix to the struct line
 * @next_prefix: number of the next new prefix
 * @version: version that was made last
 * @reader: holds each version, as it was written
 * @node: follows the reader by changes and differences, version by version
 * @late: follows the node, and leaves versions out
 */
struct model {
	GRand *rnd;
	GArray *lines;
	GHashTable *keys;
	uint32_t next_prefix;
	uint64_t version;
	struct catalog *reader;
	struct catalog *node;
	struct catalog *late;
};

/* Names that begin one another, and the longest that there can be. */
static const char *const services[SERVICES] = {
    "s", "s1", "s10", "s-1", "t", "thirty-one-characters-long-name"};

static const char *const hosts[HOSTS + 1] = {
    "one.example", "two.example", "one.example.org", "x", ""};

static uint32_t
below(struct model *m, uint32_t n)
{
	return (uint32_t)g_rand_int_range(m->rnd, 0, (gint32)n);
}

/* Every third prefix lies below another one; one in eight is a long one. */
static void
write_prefix(char *out, uint32_t prefix)
{
	char pad[PAD_BYTES + 1] = "";

	if (prefix % 8 == 1)
		memset(pad, 'p', PAD_BYTES);
	if (prefix % 3 == 2)
		(void)g_snprintf(out, KEY_BYTES, "/area-%u/part-%u%s",
		    prefix / 3, prefix % 7, pad);
	else
		(void)g_snprintf(out, KEY_BYTES, "/area-%u%s%s", prefix / 3,
		    prefix % 3 == 0 ? "" : "x", pad);
}

static char *
key_of(uint32_t host, const char *prefix)
{
	return g_strdup_printf("%u %s", host, prefix);
}

static char *
line_key(const struct line *l)
{
	char prefix[KEY_BYTES];

	write_prefix(prefix, l->prefix);
	return key_of(l->host, prefix);
}

/* The table anew, after its lines were moved about in memory. */
static void
index_lines(struct model *m)
{
	uint32_t i;

	g_hash_table_remove_all(m->keys);
	for (i = 0; i < m->lines->len; i++)
		g_hash_table_insert(m->keys,
		    line_key(&g_array_index(m->lines, struct line, i)),
		    &g_array_index(m->lines, struct line, i));
}

static bool
leads_to(const struct line *l, uint32_t service)
{
	uint32_t i;

	for (i = 0; i < l->n_parts; i++)
		if (l->parts[i].service == service)
			return true;
	return false;
}

/* One service has most routes; one in ten is shared by weight. */
static void
draw_parts(struct model *m, struct line *l)
{
	uint32_t n = below(m, 10) == 0 ? 2 + below(m, SHARES - 1) : 1;
	uint32_t service;

	l->n_parts = 0;
	while (l->n_parts < n) {
		service = below(m, 4) > 0 ? 0 : below(m, SERVICES);
		if (leads_to(l, service))
			service = (service + 1) % SERVICES;
		if (leads_to(l, service))
			continue;
		l->parts[l->n_parts].service = service;
		l->parts[l->n_parts++].weight = 1 + below(m, 99);
	}
}

static void
grow(struct model *m, uint32_t n)
{
	struct line l = {.timeout_ms = TIMEOUT_MS};

	while (n-- > 0) {
		l.host = below(m, HOSTS + 1);
		l.prefix = m->next_prefix++;
		draw_parts(m, &l);
		g_array_append_val(m->lines, l);
	}
}

static void
shrink(struct model *m, uint32_t n)
{
	while (n-- > 0 && m->lines->len > 1)
		g_array_remove_index_fast(m->lines, below(m, m->lines->len));
}

/* Some get other services, weights or times. */
static void
change(struct model *m, uint32_t n)
{
	struct line *l;

	while (n-- > 0) {
		l = &g_array_index(
		    m->lines, struct line, below(m, m->lines->len));
		if (below(m, 2) == 0)
			draw_parts(m, l);
		else
			l->timeout_ms = TIMEOUT_MS + below(m, 100);
	}
}

static void
add_route(GString *s, const struct line *l, const struct part *part)
{
	char prefix[KEY_BYTES];

	write_prefix(prefix, l->prefix);
	g_string_append_printf(s,
	    "%s{\"prefix\":\"%s\",\"below\":true,\"methods\":[\"*\"],"
	    "\"timeout_ms\":%u,\"service\":\"%s\"",
	    s->str[s->len - 1] == '[' ? "" : ",", prefix, l->timeout_ms,
	    services[part->service]);
	if (l->host < HOSTS)
		g_string_append_printf(s, ",\"host\":\"%s\"", hosts[l->host]);
	if (l->n_parts > 1)
		g_string_append_printf(s, ",\"weight\":%u", part->weight);
	g_string_append_c(s, '}');
}

static struct bundle *
write_bundle(const struct model *m)
{
	GString *s =
	    g_string_new("{\"format\":1,\"name\":\"g\",\"services\":[");
	const struct line *l;
	struct bundle *b;
	uint32_t i, j;

	for (i = 0; i < SERVICES; i++)
		g_string_append_printf(
		    s, "%s{\"name\":\"%s\"}", i > 0 ? "," : "", services[i]);
	g_string_append(s, "],\"routes\":[");
	for (i = 0; i < m->lines->len; i++) {
		l = &g_array_index(m->lines, struct line, i);
		for (j = 0; j < l->n_parts; j++)
			add_route(s, l, &l->parts[j]);
	}
	g_string_append(s, "]}");
	ck_assert_msg(bundle_parse(s->str, s->len, &b) == STATUS_OK,
	    "%u routes: %s", m->lines->len, status_message());
	g_string_free(s, TRUE);
	return b;
}

static void
add_content(struct catalog_stage *stage, GBytes *content)
{
	const uint8_t *data;
	gsize len;

	ck_assert_ptr_nonnull(content);
	data = g_bytes_get_data(content, &len);
	ck_assert_msg(catalog_stage_add(stage, data, len) == STATUS_OK, "%s",
	    status_message());
}

static void
commit(struct catalog *c, struct catalog_stage *stage)
{
	ck_assert_msg(
	    catalog_commit(c, stage) == STATUS_OK, "%s", status_message());
	catalog_stage_free(stage);
}

/* Adds what a change names: its difference where there is one, else whole. */
static void
add_change(const struct catalog *from, const struct catalog *to,
    const struct rec_section_change *change, struct catalog_stage *stage)
{
	struct rec_section_patch patch;
	GBytes *content;

	if (!catalog_patch(from, catalog_version(to), change, &patch)) {
		add_content(stage, catalog_content(from, &change->digest));
		return;
	}
	content = catalog_patch_apply(to, &patch);
	add_content(stage, content);
	g_bytes_unref(content);
	catalog_patch_clear(&patch);
}

static void
follow_delta(const struct catalog *from, struct catalog *to,
    const struct catalog_delta *delta)
{
	const struct rec_section_change *c;
	struct catalog_stage *stage;
	uint32_t i;

	ck_assert_msg(catalog_stage_begin(to, delta, &stage) == STATUS_OK, "%s",
	    status_message());
	for (i = 0; i < delta->changes->len; i++) {
		c = &g_array_index(
		    delta->changes, struct rec_section_change, i);
		if (!c->removed)
			add_change(from, to, c, stage);
	}
	commit(to, stage);
}

/* By the list, with differences from the sections that are held. */
static void
follow_list(const struct catalog *from, struct catalog *to)
{
	const struct rec_section_want *want;
	struct rec_section_patch patch;
	struct catalog_stage *stage;
	struct digest root;
	GArray *list, *wants;
	GBytes *content;
	uint32_t i;

	ck_assert_int_eq(catalog_list(from, 0, &root, &list), STATUS_OK);
	ck_assert_msg(catalog_stage_begin_full(to, catalog_version(from), &root,
			  list, &stage) == STATUS_OK,
	    "%s", status_message());
	wants = catalog_stage_wants(stage, 0);
	for (i = 0; i < wants->len; i++) {
		want = &g_array_index(wants, struct rec_section_want, i);
		if (!catalog_patch_from(
			from, &want->base, &want->digest, &patch)) {
			add_content(
			    stage, catalog_content(from, &want->digest));
			continue;
		}
		content = catalog_patch_apply(to, &patch);
		add_content(stage, content);
		g_bytes_unref(content);
		catalog_patch_clear(&patch);
	}
	commit(to, stage);
	g_array_unref(wants);
	g_array_unref(list);
}

/* As a node that pulls: changes, or the list where they are not kept. */
static void
follow(const struct catalog *from, struct catalog *to)
{
	struct catalog_delta delta;
	enum status st = STATUS_NOT_FOUND;

	if (catalog_version(to) > 0)
		st = catalog_delta(from, catalog_version(to), 0, &delta);
	if (st == STATUS_OK) {
		follow_delta(from, to, &delta);
		catalog_delta_clear(&delta);
	} else {
		follow_list(from, to);
	}
}

/* The line of the longest prefix of a host that a path lies below. */
static const struct line *
look_host(const struct model *m, uint32_t host, const char *path)
{
	char *text = g_strdup(path), *end, *key;
	const struct line *found = NULL;

	while (found == NULL && (end = strrchr(text, '/')) != text) {
		*end = '\0';
		key = key_of(host, text);
		found = g_hash_table_lookup(m->keys, key);
		g_free(key);
	}
	g_free(text);
	return found;
}

static const struct line *
look(const struct model *m, uint32_t host, const char *path)
{
	const struct line *found = look_host(m, host, path);

	return found != NULL ? found : look_host(m, HOSTS, path);
}

static void
check_share(const struct line *l, const struct route_match *match)
{
	uint32_t i;

	ck_assert_uint_eq(match->route->timeout_ms, l->timeout_ms);
	for (i = 0; i < l->n_parts; i++)
		if (strcmp(services[l->parts[i].service],
			match->service->config->name) == 0)
			break;
	ck_assert_msg(i < l->n_parts, "a route leads to %s",
	    match->service->config->name);
	ck_assert_uint_eq(
	    match->route->weight, l->n_parts > 1 ? l->parts[i].weight : 0);
}

static void
check_path(const struct model *m, const struct snapshot *s, uint32_t host,
    const char *path)
{
	struct route_match match, shares[SNAPSHOT_SHARES_MAX];
	const struct line *l = look(m, host, path);
	enum route_result r;
	uint32_t i, n;

	r = snapshot_match(
	    s, METHOD_GET, hosts[host], path, strlen(path), &match);
	ck_assert_msg((r == ROUTE_FOUND) == (l != NULL),
	    "version %" G_GUINT64_FORMAT ", %u routes: %s%s is %s", m->version,
	    m->lines->len, hosts[host], path,
	    l != NULL ? "not found" : "found");
	if (l == NULL)
		return;
	check_share(l, &match);
	if (l->n_parts == 1)
		return;
	n = snapshot_shares(s, &match, shares);
	ck_assert_uint_eq(n, l->n_parts);
	for (i = 0; i < n; i++)
		check_share(l, &shares[i]);
}

/* All prefixes that there were, below each and at each, by some host. */
static void
check_catalog(struct model *m, const struct catalog *c)
{
	struct endpoint_set *none = endpoint_set_new();
	struct snapshot *s = snapshot_compile(c, none);
	char prefix[KEY_BYTES], path[KEY_BYTES * 2];
	const struct line *l;
	uint32_t i;

	for (i = 0; i < m->lines->len; i++) {
		l = &g_array_index(m->lines, struct line, i);
		write_prefix(prefix, l->prefix);
		(void)g_snprintf(path, sizeof(path), "%s/x", prefix);
		check_path(m, s, l->host, path);
		check_path(m, s, below(m, HOSTS + 1), prefix);
	}
	for (i = 0; i < m->next_prefix; i++) {
		write_prefix(prefix, i);
		(void)g_snprintf(path, sizeof(path), "%s/x/y", prefix);
		check_path(m, s, below(m, HOSTS + 1), path);
	}
	snapshot_unref(s);
	endpoint_set_free(none);
}

static void
check_same(const struct model *m, const struct catalog *c)
{
	ck_assert_uint_eq(catalog_version(c), m->version);
	ck_assert(hash_digest_equal(catalog_root(c), catalog_root(m->reader)));
}

/* A version of the table as it is, everywhere. */
static void
publish(struct model *m)
{
	struct bundle *b;
	struct catalog *joined = catalog_new(0);

	index_lines(m);
	b = write_bundle(m);
	m->version += 1 + below(m, 3);
	fix_commit_full(m->reader, m->version, b);
	bundle_free(b);
	follow(m->reader, m->node);
	check_same(m, m->node);
	check_catalog(m, m->node);
	if (below(m, 3) > 0) {
		catalog_free(joined);
		return;
	}
	follow(m->node, m->late);
	check_same(m, m->late);
	check_catalog(m, m->late);
	follow(m->late, joined);
	check_same(m, joined);
	catalog_free(joined);
}

static void
step(struct model *m, uint32_t most)
{
	uint32_t room = most > m->lines->len ? most - m->lines->len : 0;
	uint32_t much = MIN(GROW_MOST, most / 4);

	switch (below(m, 5)) {
	case 0:
		shrink(m, below(m, m->lines->len));
		break;
	case 1:
		change(m, 1 + below(m, 1 + m->lines->len / 4));
		break;
	case 2:
		change(m, 1 + below(m, 3));
		break;
	default:
		grow(m, MIN(room, 1 + below(m, much)));
		break;
	}
	publish(m);
}

static void
model_init(struct model *m, uint32_t seed)
{
	(void)printf("seed %u\n", seed);
	(void)fflush(stdout);
	memset(m, 0, sizeof(*m));
	m->rnd = g_rand_new_with_seed(seed);
	m->lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	m->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->reader = catalog_new(0);
	m->node = catalog_new(0);
	m->late = catalog_new(0);
	grow(m, 10);
	publish(m);
}

static void
model_clear(struct model *m)
{
	catalog_free(m->reader);
	catalog_free(m->node);
	catalog_free(m->late);
	g_hash_table_unref(m->keys);
	g_array_unref(m->lines);
	g_rand_free(m->rnd);
}

static uint32_t
seed_of(int i)
{
	const char *text = getenv("BRAMLEY_SEED");

	return (uint32_t)i +
	    (text != NULL ? (uint32_t)strtoul(text, NULL, 10) : 1);
}

static void
play(uint32_t seed, uint32_t steps, uint32_t most)
{
	struct model m;
	uint32_t i;

	model_init(&m, seed);
	for (i = 0; i < steps; i++)
		step(&m, most);
	model_clear(&m);
}

START_TEST(few_routes_are_as_the_table_says)
{
	play(seed_of(_i), STEPS_FEW, FEW);
}
END_TEST

START_TEST(many_routes_are_as_the_table_says)
{
	play(seed_of(_i), STEPS, MANY);
}
END_TEST

/* By as many at once as operators do, up to the most, and all away again. */
START_TEST(large_changes_come_in_force_one_after_the_other)
{
	struct model m;

	model_init(&m, seed_of(0));
	while (m.lines->len < MANY) {
		grow(&m, 1400);
		publish(&m);
	}
	shrink(&m, m.lines->len - 10);
	publish(&m);
	model_clear(&m);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("growth");
	TCase *tc = tcase_create("growth");

	tcase_set_timeout(tc, 240);
	tcase_add_loop_test(tc, few_routes_are_as_the_table_says, 0, 4);
	tcase_add_loop_test(tc, many_routes_are_as_the_table_says, 0, 2);
	tcase_add_test(tc, large_changes_come_in_force_one_after_the_other);
	suite_add_tcase(s, tc);
	return fix_run(s);
}
