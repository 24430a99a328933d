/*
 * Routes with a host, routes that match only below their prefix, and routes
 * that services share by weight.
 */
#include "config/snapshot.h"

#include "fixture.h"

#define MANY_SHARES 40

static const char bundle[] =
    "{'format':1,'name':'x','services':[{'name':'a'},{'name':'b'},"
    "{'name':'c'}],'routes':["
    "{'prefix':'/s','methods':['*'],'service':'a','host':'one.example',"
    " 'below':true,'idempotent':true,'timeout_ms':900,'target_ms':300,"
    " 'priority':2,'attempts':3},"
    "{'prefix':'/s/deep','methods':['*'],'service':'b',"
    " 'host':'one.example','below':true},"
    "{'prefix':'/s','methods':['*'],'service':'c','host':'two.example'},"
    "{'prefix':'/','methods':['GET'],'service':'c'},"
    "{'prefix':'/w','methods':['*'],'service':'a','host':'one.example',"
    " 'below':true,'weight':90},"
    "{'prefix':'/w','methods':['*'],'service':'b','host':'one.example',"
    " 'below':true,'weight':10}]}";

static const struct {
	const char *host;
	enum http_method method;
	const char *path;
	const char *service;
} matches[] = {
    {"one.example", METHOD_GET, "/s/x", "a"},
    {"ONE.example:8080", METHOD_POST, "/s/x?y", "a"},
    {"one.example", METHOD_COUNT, "/s/x", "a"},
    {"one.example", METHOD_GET, "/s/", "a"},
    /* The path equals the prefix, so the route of any host matches. */
    {"one.example", METHOD_GET, "/s", "c"},
    {"one.example", METHOD_POST, "/s", NULL},
    {"one.example", METHOD_GET, "/sx/y", "c"},
    {"one.example", METHOD_GET, "/s/deep/z", "b"},
    {"one.example", METHOD_GET, "/s/deep", "a"},
    {"two.example", METHOD_POST, "/s", "c"},
    {"two.example", METHOD_POST, "/s/x", "c"},
    {"other.example", METHOD_POST, "/s/x", NULL},
    {"other.example", METHOD_GET, "/s/x", "c"},
    {NULL, METHOD_GET, "/s/x", "c"},
    {"one.exampl", METHOD_POST, "/s/x", NULL},
    {"one.example.", METHOD_POST, "/s/x", NULL},
};

static struct snapshot *
compile(struct catalog *c, uint64_t version, const char *text)
{
	struct bundle *b = fix_bundle(text);
	struct endpoint_set *set = endpoint_set_new();
	struct snapshot *s;

	ck_assert_int_eq(fix_commit(c, version, b), STATUS_OK);
	s = snapshot_compile(c, set);
	endpoint_set_free(set);
	bundle_free(b);
	return s;
}

START_TEST(test_match)
{
	struct catalog *c = catalog_new(0);
	struct snapshot *s = compile(c, 1, bundle);
	struct route_match m = {0};
	enum route_result r;

	ck_assert_int_eq(snapshot_check(s), STATUS_OK);
	r = snapshot_match(s, matches[_i].method, matches[_i].host,
	    matches[_i].path, strlen(matches[_i].path), &m);
	ck_assert_int_eq(r == ROUTE_FOUND, matches[_i].service != NULL);
	if (r == ROUTE_FOUND)
		ck_assert_str_eq(m.service->config->name, matches[_i].service);
	snapshot_unref(s);
	catalog_free(c);
}
END_TEST

START_TEST(test_numbers_of_a_route)
{
	struct catalog *c = catalog_new(0);
	struct snapshot *s = compile(c, 1, bundle);
	struct route_match m = {0};

	ck_assert_int_eq(
	    snapshot_match(s, METHOD_PUT, "one.example", "/s/x", 4, &m),
	    ROUTE_FOUND);
	ck_assert(m.route->idempotent);
	ck_assert_uint_eq(m.route->timeout_ms, 900);
	ck_assert_uint_eq(m.route->target_ms, 300);
	ck_assert_uint_eq(m.route->priority, 2);
	ck_assert_uint_eq(m.route->attempts, 3);
	snapshot_unref(s);
	catalog_free(c);
}
END_TEST

/* The table is reused if only weights change, and matches give the new
 * weights. */
START_TEST(test_shares_by_weight)
{
	struct route_match m = {0}, shares[SNAPSHOT_SHARES_MAX];
	struct catalog *c = catalog_new(0);
	struct snapshot *s = compile(c, 1, bundle);
	GString *other = g_string_new(bundle);
	uint32_t n;

	ck_assert_int_eq(
	    snapshot_match(s, METHOD_GET, "one.example", "/w/x", 4, &m),
	    ROUTE_FOUND);
	n = snapshot_shares(s, &m, shares);
	ck_assert_uint_eq(n, 2);
	ck_assert_uint_eq(
	    shares[0].route->weight + shares[1].route->weight, 100);
	snapshot_unref(s);
	g_string_replace(other, "'weight':90", "'weight':40", 0);
	s = compile(c, 2, other->str);
	ck_assert_int_eq(
	    snapshot_match(s, METHOD_GET, "one.example", "/w/x", 4, &m),
	    ROUTE_FOUND);
	n = snapshot_shares(s, &m, shares);
	ck_assert_uint_eq(n, 2);
	ck_assert_uint_eq(
	    shares[0].route->weight + shares[1].route->weight, 50);
	snapshot_unref(s);
	g_string_free(other, TRUE);
	catalog_free(c);
}
END_TEST

/* All of many services that share a route are listed. */
START_TEST(test_many_shares)
{
	struct route_match m = {0}, shares[SNAPSHOT_SHARES_MAX];
	GString *text = g_string_new("{'format':1,'name':'x','services':[");
	struct catalog *c = catalog_new(0);
	struct snapshot *s;
	uint32_t i, n, sum = 0;

	for (i = 0; i < MANY_SHARES; i++)
		g_string_append_printf(
		    text, "%s{'name':'s%u'}", i > 0 ? "," : "", i);
	g_string_append(text, "],'routes':[");
	for (i = 0; i < MANY_SHARES; i++)
		g_string_append_printf(text,
		    "%s{'prefix':'/w','methods':['*'],'service':'s%u',"
		    "'weight':%u}",
		    i > 0 ? "," : "", i, i + 1);
	g_string_append(text, "]}");
	s = compile(c, 1, text->str);
	ck_assert_int_eq(snapshot_check(s), STATUS_OK);
	ck_assert_int_eq(
	    snapshot_match(s, METHOD_GET, NULL, "/w/x", 4, &m), ROUTE_FOUND);
	n = snapshot_shares(s, &m, shares);
	ck_assert_uint_eq(n, MANY_SHARES);
	for (i = 0; i < n; i++)
		sum += shares[i].route->weight;
	ck_assert_uint_eq(sum, MANY_SHARES * (MANY_SHARES + 1) / 2);
	snapshot_unref(s);
	g_string_free(text, TRUE);
	catalog_free(c);
}
END_TEST

#define ROUTES(r)                                                        \
	"{'format':1,'name':'x','services':[{'name':'a'},{'name':'b'}]," \
	"'routes':[" r "]}"
#define SHARE(s, rest) \
	"{'prefix':'/p','methods':['*'],'service':'" s "'" rest "}"

/* A route is shared only if all services have a weight; routes with different
 * hosts don't conflict. */
static const struct {
	const char *json;
	int good;
	uint32_t n_warnings;
} claims[] = {
    {ROUTES(SHARE("a", ",'weight':1") "," SHARE("b", ",'weight':2")), 1, 0},
    {ROUTES(SHARE("a", ",'weight':1") "," SHARE("b", "")), 0, 0},
    {ROUTES(SHARE("a", "") "," SHARE("b", ",'weight':1")), 0, 0},
    {ROUTES(SHARE("a", ",'host':'x'") "," SHARE("b", ",'host':'y'")), 1, 0},
    {ROUTES(SHARE("a", ",'host':'x'") "," SHARE("b", "")), 1, 0},
    {ROUTES(SHARE("a", ",'below':true") "," SHARE("b", "")), 1, 0},
    {ROUTES(SHARE("a", ",'host':'X'")), 1, 1},
    {ROUTES(SHARE("a", ",'host':'x'") "," SHARE("b", ",'host':'X'")), 0, 1},
    {ROUTES(SHARE("a", ",'host':'x:1'") "," SHARE("b", ",'host':'x:2'")), 0, 2},
    {ROUTES(SHARE("a", ",'host':'x y'")), 0, 0},
    {ROUTES(SHARE("a", ",'attempts':11")), 1, 1},
    {ROUTES(SHARE("a", ",'attempts':-1")), 0, 0},
    {ROUTES(SHARE("a", ",'weight':-1")), 0, 0},
    {ROUTES(SHARE("a", ",'below':1")), 0, 0},
    {ROUTES("{'prefix':'/p','methods':['*','GET'],'service':'a'}"), 0, 0},
};

START_TEST(test_claims)
{
	struct bundle *b;
	char *json = fix_json(claims[_i].json);

	ck_assert_int_eq(
	    bundle_parse(json, strlen(json), &b) == STATUS_OK, claims[_i].good);
	ck_assert_uint_eq(b->n_warnings, claims[_i].n_warnings);
	bundle_free(b);
	g_free(json);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("routes");
	TCase *tc = tcase_create("routes");

	tcase_add_loop_test(tc, test_match, 0, G_N_ELEMENTS(matches));
	tcase_add_test(tc, test_numbers_of_a_route);
	tcase_add_test(tc, test_shares_by_weight);
	tcase_add_test(tc, test_many_shares);
	tcase_add_loop_test(tc, test_claims, 0, G_N_ELEMENTS(claims));
	suite_add_tcase(suite, tc);
	return fix_run(suite);
}
