/*
 * Random changes of a configuration, compared with a model: a table of routes
 * with a simple path look-up.  Each step converts the model to a bundle,
 * commits its sections to one catalog, and updates other catalogs from it by
 * deltas and patches.  Each version must be committed in all of them with the
 * same root, and give the same match as the model for every path.
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

/* Padding of the longest prefixes. */
#define PAD_BYTES 230

/* Most routes added in one step, and the initial timeout of a route. */
#define CHANGE_MAX 4000
#define TIMEOUT_MS 1000

/* Most routes of a small model, which any release could hold, and of a large
 * deployment. */
#define ROUTES_SMALL 400
#define ROUTES_LARGE 20000
#define STEPS_LARGE 20
#define STEPS_SMALL 60

/** struct route_target - a service of a route and its weight */
struct route_target {
	uint32_t service;
	uint32_t weight;
};

/**
 * struct model_route - a route of the model
 * @host: index of the host, HOSTS for any
 * @prefix: number of the prefix, for write_prefix()
 * @timeout_ms: timeout
 * @targets: services of the route; several services share the route by
 *	weight
 * @n_targets: number of targets
 */
struct model_route {
	uint32_t host;
	uint32_t prefix;
	uint32_t timeout_ms;
	struct route_target targets[SHARES];
	uint32_t n_targets;
};

/**
 * struct model - the table of routes and the catalogs under test
 * @rnd: random numbers for the steps
 * @routes: struct model_route
 * @keys: maps host and prefix to the struct model_route
 * @next_prefix: number of the next unused prefix
 * @version: last published version
 * @reader: catalog to which every version is committed as a full list
 * @node: catalog updated from @reader by deltas and patches at every version
 * @lagging: catalog updated from @node, which skips versions
 */
struct model {
	GRand *rnd;
	GArray *routes;
	GHashTable *keys;
	uint32_t next_prefix;
	uint64_t version;
	struct catalog *reader;
	struct catalog *node;
	struct catalog *lagging;
};

/* Names that are prefixes of one another, and one of the maximum length. */
static const char *const services[SERVICES] = {
    "s", "s1", "s10", "s-1", "t", "thirty-one-characters-long-name"};

static const char *const hosts[HOSTS + 1] = {
    "one.example", "two.example", "one.example.org", "x", ""};

static uint32_t
random_below(struct model *m, uint32_t n)
{
	return (uint32_t)g_rand_int_range(m->rnd, 0, (gint32)n);
}

/* Every third prefix is below another one; one in eight has padding. */
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
make_key(uint32_t host, const char *prefix)
{
	return g_strdup_printf("%u %s", host, prefix);
}

static char *
route_key(const struct model_route *route)
{
	char prefix[KEY_BYTES];

	write_prefix(prefix, route->prefix);
	return make_key(route->host, prefix);
}

/* Rebuild the index, which points into the array of routes. */
static void
index_routes(struct model *m)
{
	uint32_t i;

	g_hash_table_remove_all(m->keys);
	for (i = 0; i < m->routes->len; i++)
		g_hash_table_insert(m->keys,
		    route_key(&g_array_index(m->routes, struct model_route, i)),
		    &g_array_index(m->routes, struct model_route, i));
}

static bool
has_target(const struct model_route *route, uint32_t service)
{
	uint32_t i;

	for (i = 0; i < route->n_targets; i++)
		if (route->targets[i].service == service)
			return true;
	return false;
}

/* Most routes belong to the first service; one in ten is shared by weight. */
static void
random_targets(struct model *m, struct model_route *route)
{
	uint32_t n =
	    random_below(m, 10) == 0 ? 2 + random_below(m, SHARES - 1) : 1;
	uint32_t service;

	route->n_targets = 0;
	while (route->n_targets < n) {
		service =
		    random_below(m, 4) > 0 ? 0 : random_below(m, SERVICES);
		if (has_target(route, service))
			service = (service + 1) % SERVICES;
		if (has_target(route, service))
			continue;
		route->targets[route->n_targets].service = service;
		route->targets[route->n_targets++].weight =
		    1 + random_below(m, 99);
	}
}

static void
grow(struct model *m, uint32_t n)
{
	struct model_route route = {.timeout_ms = TIMEOUT_MS};

	while (n-- > 0) {
		route.host = random_below(m, HOSTS + 1);
		route.prefix = m->next_prefix++;
		random_targets(m, &route);
		g_array_append_val(m->routes, route);
	}
}

static void
shrink(struct model *m, uint32_t n)
{
	while (n-- > 0 && m->routes->len > 1)
		g_array_remove_index_fast(
		    m->routes, random_below(m, m->routes->len));
}

/* Change the services and weights or the timeouts of random routes. */
static void
change(struct model *m, uint32_t n)
{
	struct model_route *route;

	while (n-- > 0) {
		route = &g_array_index(m->routes, struct model_route,
		    random_below(m, m->routes->len));
		if (random_below(m, 2) == 0)
			random_targets(m, route);
		else
			route->timeout_ms = TIMEOUT_MS + random_below(m, 100);
	}
}

static void
add_route(GString *s, const struct model_route *route,
    const struct route_target *target)
{
	char prefix[KEY_BYTES];

	write_prefix(prefix, route->prefix);
	g_string_append_printf(s,
	    "%s{\"prefix\":\"%s\",\"below\":true,\"methods\":[\"*\"],"
	    "\"timeout_ms\":%u,\"service\":\"%s\"",
	    s->str[s->len - 1] == '[' ? "" : ",", prefix, route->timeout_ms,
	    services[target->service]);
	if (route->host < HOSTS)
		g_string_append_printf(
		    s, ",\"host\":\"%s\"", hosts[route->host]);
	if (route->n_targets > 1)
		g_string_append_printf(s, ",\"weight\":%u", target->weight);
	g_string_append_c(s, '}');
}

static struct bundle *
write_bundle(const struct model *m)
{
	GString *s =
	    g_string_new("{\"format\":1,\"name\":\"g\",\"services\":[");
	const struct model_route *route;
	struct bundle *b;
	uint32_t i, j;

	for (i = 0; i < SERVICES; i++)
		g_string_append_printf(
		    s, "%s{\"name\":\"%s\"}", i > 0 ? "," : "", services[i]);
	g_string_append(s, "],\"routes\":[");
	for (i = 0; i < m->routes->len; i++) {
		route = &g_array_index(m->routes, struct model_route, i);
		for (j = 0; j < route->n_targets; j++)
			add_route(s, route, &route->targets[j]);
	}
	g_string_append(s, "]}");
	ck_assert_msg(bundle_parse(s->str, s->len, &b) == STATUS_OK,
	    "%u routes: %s", m->routes->len, status_message());
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

/* Add the content of a change: by a patch if there is one, else in full. */
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

/* Update by the full list, with patches against the current sections. */
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

/* Update as a node does: by a delta, or by the list if the changes are not
 * kept. */
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

/* The route of a host with the longest prefix that the path is below. */
static const struct model_route *
lookup_on_host(const struct model *m, uint32_t host, const char *path)
{
	char *text = g_strdup(path), *end, *key;
	const struct model_route *found = NULL;

	while (found == NULL && (end = strrchr(text, '/')) != text) {
		*end = '\0';
		key = make_key(host, text);
		found = g_hash_table_lookup(m->keys, key);
		g_free(key);
	}
	g_free(text);
	return found;
}

static const struct model_route *
lookup(const struct model *m, uint32_t host, const char *path)
{
	const struct model_route *found = lookup_on_host(m, host, path);

	return found != NULL ? found : lookup_on_host(m, HOSTS, path);
}

static void
check_share(const struct model_route *route, const struct route_match *match)
{
	uint32_t i;

	ck_assert_uint_eq(match->route->timeout_ms, route->timeout_ms);
	for (i = 0; i < route->n_targets; i++)
		if (strcmp(services[route->targets[i].service],
			match->service->config->name) == 0)
			break;
	ck_assert_msg(i < route->n_targets, "unexpected service %s",
	    match->service->config->name);
	ck_assert_uint_eq(match->route->weight,
	    route->n_targets > 1 ? route->targets[i].weight : 0);
}

static void
check_path(const struct model *m, const struct snapshot *s, uint32_t host,
    const char *path)
{
	struct route_match match, shares[SNAPSHOT_SHARES_MAX];
	const struct model_route *route = lookup(m, host, path);
	enum route_result r;
	uint32_t i, n;

	r = snapshot_match(
	    s, METHOD_GET, hosts[host], path, strlen(path), &match);
	ck_assert_msg((r == ROUTE_FOUND) == (route != NULL),
	    "version %" G_GUINT64_FORMAT ", %u routes: %s%s is %s", m->version,
	    m->routes->len, hosts[host], path,
	    route != NULL ? "not found" : "found");
	if (route == NULL)
		return;
	check_share(route, &match);
	if (route->n_targets == 1)
		return;
	n = snapshot_shares(s, &match, shares);
	ck_assert_uint_eq(n, route->n_targets);
	for (i = 0; i < n; i++)
		check_share(route, &shares[i]);
}

/* Compare the matches of paths below and at every prefix used so far, also of
 * removed routes, with various hosts. */
static void
check_catalog(struct model *m, const struct catalog *c)
{
	struct endpoint_set *none = endpoint_set_new();
	struct snapshot *s = snapshot_compile(c, none);
	char prefix[KEY_BYTES], path[KEY_BYTES * 2];
	const struct model_route *route;
	uint32_t i;

	for (i = 0; i < m->routes->len; i++) {
		route = &g_array_index(m->routes, struct model_route, i);
		write_prefix(prefix, route->prefix);
		(void)g_snprintf(path, sizeof(path), "%s/x", prefix);
		check_path(m, s, route->host, path);
		check_path(m, s, random_below(m, HOSTS + 1), prefix);
	}
	for (i = 0; i < m->next_prefix; i++) {
		write_prefix(prefix, i);
		(void)g_snprintf(path, sizeof(path), "%s/x/y", prefix);
		check_path(m, s, random_below(m, HOSTS + 1), path);
	}
	snapshot_unref(s);
	endpoint_set_free(none);
}

static void
check_version(const struct model *m, const struct catalog *c)
{
	ck_assert_uint_eq(catalog_version(c), m->version);
	ck_assert(hash_digest_equal(catalog_root(c), catalog_root(m->reader)));
}

/* Publish the model as a new version and update the catalogs. */
static void
publish(struct model *m)
{
	struct bundle *b;
	struct catalog *joined = catalog_new(0);

	index_routes(m);
	b = write_bundle(m);
	m->version += 1 + random_below(m, 3);
	fix_commit_full(m->reader, m->version, b);
	bundle_free(b);
	follow(m->reader, m->node);
	check_version(m, m->node);
	check_catalog(m, m->node);
	if (random_below(m, 3) > 0) {
		catalog_free(joined);
		return;
	}
	follow(m->node, m->lagging);
	check_version(m, m->lagging);
	check_catalog(m, m->lagging);
	follow(m->lagging, joined);
	check_version(m, joined);
	catalog_free(joined);
}

static void
step(struct model *m, uint32_t max_routes)
{
	uint32_t n_free =
	    max_routes > m->routes->len ? max_routes - m->routes->len : 0;
	uint32_t max_growth = MIN(CHANGE_MAX, max_routes / 4);

	switch (random_below(m, 5)) {
	case 0:
		shrink(m, random_below(m, m->routes->len));
		break;
	case 1:
		change(m, 1 + random_below(m, 1 + m->routes->len / 4));
		break;
	case 2:
		change(m, 1 + random_below(m, 3));
		break;
	default:
		grow(m, MIN(n_free, 1 + random_below(m, max_growth)));
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
	m->routes = g_array_new(FALSE, FALSE, sizeof(struct model_route));
	m->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->reader = catalog_new(0);
	m->node = catalog_new(0);
	m->lagging = catalog_new(0);
	grow(m, 10);
	publish(m);
}

static void
model_clear(struct model *m)
{
	catalog_free(m->reader);
	catalog_free(m->node);
	catalog_free(m->lagging);
	g_hash_table_unref(m->keys);
	g_array_unref(m->routes);
	g_rand_free(m->rnd);
}

static uint32_t
seed_for(int i)
{
	const char *text = getenv("BRAMLEY_SEED");

	return (uint32_t)i +
	    (text != NULL ? (uint32_t)strtoul(text, NULL, 10) : 1);
}

static void
run_model(uint32_t seed, uint32_t steps, uint32_t max_routes)
{
	struct model m;
	uint32_t i;

	model_init(&m, seed);
	for (i = 0; i < steps; i++)
		step(&m, max_routes);
	model_clear(&m);
}

START_TEST(small_model_matches_the_table)
{
	run_model(seed_for(_i), STEPS_SMALL, ROUTES_SMALL);
}
END_TEST

START_TEST(large_model_matches_the_table)
{
	run_model(seed_for(_i), STEPS_LARGE, ROUTES_LARGE);
}
END_TEST

/* Adds routes in steps of the size that operators use up to the largest model,
 * then removes nearly all at once. */
START_TEST(consecutive_large_changes_are_committed)
{
	struct model m;

	model_init(&m, seed_for(0));
	while (m.routes->len < ROUTES_LARGE) {
		grow(&m, 1400);
		publish(&m);
	}
	shrink(&m, m.routes->len - 10);
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
	tcase_add_loop_test(tc, small_model_matches_the_table, 0, 4);
	tcase_add_loop_test(tc, large_model_matches_the_table, 0, 2);
	tcase_add_test(tc, consecutive_large_changes_are_committed);
	suite_add_tcase(s, tc);
	return fix_run(s);
}
