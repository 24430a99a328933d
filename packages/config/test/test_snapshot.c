/*
 * Snapshots: routes by longest prefix, endpoints only of existing services,
 * sharing of unchanged parts, and that snapshot_check() detects corruption.
 */
#include "../src/route_table.h"
#include "config/snapshot.h"
#include "fixture.h"

#define SEED 1200
#define RANDOM_ROUNDS 60
#define RANDOM_PATHS 200

static const char routes[] =
    "{'format':1,'name':'x','services':[{'name':'all'},{'name':'search'},"
    "{'name':'experts'},{'name':'upload'},{'name':'idle'}],'routes':["
    "{'prefix':'/','methods':['GET'],'service':'all'},"
    "{'prefix':'/search','methods':['GET'],'service':'search'},"
    "{'prefix':'/search-old','methods':['GET'],'service':'all'},"
    "{'prefix':'/search/experts','methods':['GET'],'service':'experts'},"
    "{'prefix':'/search/experts','methods':['POST','PUT'],"
    " 'service':'upload'},"
    "{'prefix':'/only/post','methods':['POST'],'service':'upload'}]}";

static const struct {
	enum http_method method;
	const char *path;
	enum route_result result;
	const char *service;
} matches[] = {
    {METHOD_GET, "/", ROUTE_FOUND, "all"},
    {METHOD_GET, "/other", ROUTE_FOUND, "all"},
    {METHOD_GET, "/search", ROUTE_FOUND, "search"},
    {METHOD_GET, "/search/", ROUTE_FOUND, "search"},
    {METHOD_GET, "/search?q=/search/experts", ROUTE_FOUND, "search"},
    {METHOD_GET, "/search#experts", ROUTE_FOUND, "search"},
    {METHOD_GET, "/search/0", ROUTE_FOUND, "search"},
    {METHOD_GET, "/searching", ROUTE_FOUND, "all"},
    {METHOD_GET, "/search-old/x", ROUTE_FOUND, "all"},
    {METHOD_GET, "/search/experts", ROUTE_FOUND, "experts"},
    {METHOD_GET, "/search/experts/1/cv", ROUTE_FOUND, "experts"},
    {METHOD_PUT, "/search/experts/1", ROUTE_FOUND, "upload"},
    {METHOD_GET, "/search/expertsx", ROUTE_FOUND, "search"},
    {METHOD_GET, "/search\1experts", ROUTE_FOUND, "all"},
    {METHOD_GET, "/only/post", ROUTE_FOUND, "all"},
    {METHOD_POST, "/only/post/x", ROUTE_FOUND, "upload"},
    {METHOD_POST, "/search", ROUTE_NO_METHOD, NULL},
    {METHOD_COUNT, "/search", ROUTE_NO_METHOD, NULL},
    {METHOD_GET, "", ROUTE_NO_PATH, NULL},
    {METHOD_GET, "*", ROUTE_NO_PATH, NULL},
    {METHOD_GET, "http://host/search", ROUTE_NO_PATH, NULL},
};

static struct snapshot *
compile(const char *json, const struct endpoint_set *endpoints)
{
	struct endpoint_set *none = endpoint_set_new();
	struct bundle *b = fix_bundle(json);
	struct catalog *c = catalog_new(0);
	struct snapshot *s;

	ck_assert_int_eq(fix_commit(c, 1, b), STATUS_OK);
	s = snapshot_compile(c, endpoints != NULL ? endpoints : none);
	endpoint_set_free(none);
	catalog_free(c);
	bundle_free(b);
	return s;
}

START_TEST(test_match)
{
	struct route_match match = {0};
	struct snapshot *s = compile(routes, NULL);

	ck_assert_int_eq(snapshot_check(s), STATUS_OK);
	ck_assert_int_eq(
	    snapshot_match(s, matches[_i].method, NULL, matches[_i].path,
		strlen(matches[_i].path), &match),
	    matches[_i].result);
	if (matches[_i].service != NULL)
		ck_assert_str_eq(
		    match.service->config->name, matches[_i].service);
	snapshot_unref(s);
}
END_TEST

/* A few segments from a small alphabet, so that prefixes nest and resemble each
 * other. */
static void
random_path(GRand *rand, GString *out)
{
	static const char *const segments[] = {"a", "b", "a-", "a.", "ab"};
	int n;

	g_string_truncate(out, 0);
	for (n = g_rand_int_range(rand, 0, 5); n > 0; n--)
		g_string_append_printf(
		    out, "/%s", segments[g_rand_int_range(rand, 0, 5)]);
	if (out->len == 0)
		g_string_append_c(out, '/');
}

/* Find the longest prefix by a linear search. */
static const struct service_route *
naive_match(const struct snapshot *s, enum http_method m, const char *path)
{
	const struct service_route *route, *best = NULL;
	uint32_t i, j, len;

	for (i = 0; i < s->n_services; i++) {
		for (j = 0; j < s->services[i].config->n_routes; j++) {
			route = &s->services[i].config->routes[j];
			len = route->prefix_len == 1 ? 0 : route->prefix_len;
			if ((route->methods & METHOD_BIT(m)) == 0 ||
			    strncmp(route->prefix, path, len) != 0 ||
			    (path[len] != '/' && path[len] != '\0'))
				continue;
			if (best == NULL ||
			    route->prefix_len > best->prefix_len)
				best = route;
		}
	}
	return best;
}

START_TEST(test_match_random)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GString *path = g_string_new(NULL), *json = g_string_new(NULL);
	const struct service_route *want;
	struct route_match match;
	struct snapshot *s;
	GHashTable *seen;
	enum http_method m;
	int i, k, n;

	for (i = 0; i < RANDOM_ROUNDS; i++) {
		seen = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		g_string_assign(json,
		    "{'format':1,'name':'x','services':[{'name':'s0'},"
		    "{'name':'s1'}],'routes':[");
		for (k = 0, n = 0; k < 40; k++) {
			random_path(rand, path);
			if (!g_hash_table_add(seen, g_strdup(path->str)))
				continue;
			g_string_append_printf(json,
			    "%s{'prefix':'%s','methods':['%s'],"
			    "'service':'s%d'}",
			    n++ > 0 ? "," : "", path->str,
			    k % 3 == 0 ? "GET" : "GET','PUT", k % 2);
		}
		g_string_append(json, "]}");
		s = compile(json->str, NULL);
		ck_assert_int_eq(snapshot_check(s), STATUS_OK);
		for (k = 0; k < RANDOM_PATHS; k++) {
			random_path(rand, path);
			m = k % 2 == 0 ? METHOD_GET : METHOD_PUT;
			want = naive_match(s, m, path->str);
			match.route = NULL;
			(void)snapshot_match(
			    s, m, NULL, path->str, path->len, &match);
			ck_assert_ptr_eq(match.route, want);
		}
		snapshot_unref(s);
		g_hash_table_unref(seen);
	}
	g_string_free(path, TRUE);
	g_string_free(json, TRUE);
	g_rand_free(rand);
}
END_TEST

static struct endpoint
endpoint(const char *service, uint32_t slots)
{
	struct endpoint ep = {.data_centre = "erdek", .slots = slots};

	g_strlcpy(ep.service, service, sizeof(ep.service));
	return ep;
}

START_TEST(test_endpoints)
{
	struct endpoint_set *set = endpoint_set_new();
	struct endpoint ep[3] = {
	    endpoint("search", 1), endpoint("gone", 2), endpoint("search", 3)};
	const struct snapshot_service *search;
	struct snapshot *s, *t;

	/* Of two endpoints with one service the last is used. */
	ck_assert_uint_eq(endpoint_set_host(set, "h2", ep, 3), 2);
	ck_assert_uint_eq(endpoint_set_host(set, "h1", ep, 1), 1);
	ck_assert_uint_eq(endpoint_set_host(set, "h1", ep, 1), 0);
	ck_assert_uint_eq(endpoint_set_size(set), 3);
	s = compile(routes, set);
	ck_assert_int_eq(snapshot_check(s), STATUS_OK);
	/* "gone" is not in the version, so it is skipped. */
	ck_assert_uint_eq(s->n_endpoints, 2);
	ck_assert_ptr_null(snapshot_service(s, "gone"));
	search = snapshot_service(s, "search");
	ck_assert_str_eq(search->endpoints->endpoints[0].host, "h1");
	ck_assert_uint_eq(search->endpoints->endpoints[1].slots, 3);
	/* A host that leaves is missing only from later snapshots. */
	ck_assert_uint_eq(endpoint_set_host(set, "h2", NULL, 0), 2);
	ck_assert_uint_eq(endpoint_set_size(set), 1);
	t = compile(routes, set);
	ck_assert_int_eq(snapshot_check(t), STATUS_OK);
	ck_assert_uint_eq(t->n_endpoints, 1);
	ck_assert_uint_eq(search->endpoints->n_endpoints, 2);
	ck_assert_ptr_null(endpoint_set_list(set, "gone"));
	endpoint_set_free(set);
	snapshot_unref(s);
	snapshot_unref(t);
}
END_TEST

/* Two snapshots of a catalog share the memory of unchanged parts. */
START_TEST(test_sharing)
{
	struct bundle *b = fix_bundle(routes);
	struct endpoint_set *set = endpoint_set_new();
	struct endpoint a = endpoint("search", 1), u = endpoint("upload", 1);
	struct catalog *c = catalog_new(0);
	struct snapshot *s, *t;

	ck_assert_int_eq(fix_commit(c, 1, b), STATUS_OK);
	endpoint_set_host(set, "h1", &a, 1);
	s = snapshot_compile(c, set);
	endpoint_set_host(set, "h2", &u, 1);
	t = snapshot_compile(c, set);
	ck_assert_ptr_eq(s->routes, t->routes);
	ck_assert_ptr_eq(snapshot_service(s, "search")->endpoints,
	    snapshot_service(t, "search")->endpoints);
	ck_assert_ptr_null(snapshot_service(s, "upload")->endpoints);
	ck_assert_uint_eq(t->n_endpoints, 2);
	/* Snapshots remain valid after the set and the catalog are freed. */
	endpoint_set_free(set);
	catalog_free(c);
	snapshot_unref(t);
	ck_assert_int_eq(snapshot_check(s), STATUS_OK);
	snapshot_unref(s);
	bundle_free(b);
}
END_TEST

/* The table is rebuilt if routes change, and reused if only limits do. */
START_TEST(test_routes_change)
{
	static const char *const versions[] = {"'/a'", "'/b'", "'/b'"};
	struct endpoint_set *none = endpoint_set_new();
	struct catalog *c = catalog_new(0);
	const struct route_table *before = NULL;
	struct snapshot *s;
	struct bundle *b;
	char json[256];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(versions); i++) {
		g_snprintf(json, sizeof(json),
		    "{'format':1,'name':'x','services':[{'name':'s',"
		    "'timeout_ms':%u}],'routes':[{'prefix':%s,"
		    "'methods':['GET'],'service':'s'}]}",
		    i + 1, versions[i]);
		b = fix_bundle(json);
		ck_assert_int_eq(fix_commit(c, i + 1, b), STATUS_OK);
		s = snapshot_compile(c, none);
		ck_assert_int_eq(snapshot_check(s), STATUS_OK);
		ck_assert_int_eq(s->routes == before, i == 2);
		before = s->routes;
		snapshot_unref(s);
		bundle_free(b);
	}
	endpoint_set_free(none);
	catalog_free(c);
}
END_TEST

enum corrupt {
	CORRUPT_SERVICE = 0,
	CORRUPT_ROUTE,
	CORRUPT_METHODS,
	CORRUPT_TEXT,
	CORRUPT_DUPLICATE,
	CORRUPT_LOST_ROUTE,
	CORRUPT_ORDER,
	CORRUPT_LIST,
	CORRUPT_ENDPOINT,
	CORRUPT_HOSTS,
	CORRUPT_TOTAL,
	CORRUPT_COUNT,
};

static void
corrupt(struct snapshot *s, enum corrupt what)
{
	struct route_entry *entry = &s->routes->entries[2];
	struct snapshot_service *search = &s->services[3], swap;
	struct endpoint_list *list = search->endpoints;

	switch (what) {
	case CORRUPT_SERVICE:
		entry->service = s->n_services;
		break;
	case CORRUPT_ROUTE:
		entry->route = 9;
		break;
	case CORRUPT_METHODS:
		entry->methods = METHOD_ALL;
		break;
	case CORRUPT_TEXT:
		s->routes->text[entry->text_offset + 1] = 'x';
		break;
	case CORRUPT_DUPLICATE:
		/* one route is duplicated, another is lost */
		s->routes->entries[1] = *entry;
		break;
	case CORRUPT_LOST_ROUTE:
		s->routes->n_entries--;
		break;
	case CORRUPT_ORDER:
		swap = s->services[0];
		s->services[0] = s->services[1];
		s->services[1] = swap;
		break;
	case CORRUPT_LIST:
		g_strlcpy(list->service, "all", sizeof(list->service));
		break;
	case CORRUPT_ENDPOINT:
		list->endpoints[0] = endpoint("all", 1);
		break;
	case CORRUPT_HOSTS:
		list->endpoints[0] = list->endpoints[1];
		break;
	default:
		s->n_endpoints++;
		break;
	}
}

START_TEST(test_check_finds_corruption)
{
	struct endpoint_set *set = endpoint_set_new();
	struct endpoint ep = endpoint("search", 1);
	struct snapshot *s;

	endpoint_set_host(set, "h1", &ep, 1);
	endpoint_set_host(set, "h2", &ep, 1);
	s = compile(routes, set);
	ck_assert_str_eq(s->services[3].config->name, "search");
	ck_assert_int_eq(snapshot_check(s), STATUS_OK);
	corrupt(s, (enum corrupt)_i);
	ck_assert_int_eq(snapshot_check(s), STATUS_INTERNAL);
	snapshot_unref(s);
	endpoint_set_free(set);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("snapshot");
	TCase *tc = tcase_create("snapshot");

	tcase_add_loop_test(tc, test_match, 0, (int)G_N_ELEMENTS(matches));
	tcase_add_test(tc, test_match_random);
	tcase_add_test(tc, test_endpoints);
	tcase_add_test(tc, test_sharing);
	tcase_add_test(tc, test_routes_change);
	tcase_add_loop_test(tc, test_check_finds_corruption, 0, CORRUPT_COUNT);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return fix_run(suite);
}
