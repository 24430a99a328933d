/*
 * Small deployment for tests: bramleyctl and bundles.
 */
#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "deployment.h"

#define CTL_TIMEOUT_MS 60000
/* Timeout of the example's first service; changed bundles add a number to it.
 */
#define EXAMPLE_TIMEOUT_MS 2000
#define NAME_BYTES 32

struct process *
deployment_ctl_start(const struct host *h, const char *const *args)
{
	static uint32_t runs;
	char *name = g_strdup_printf("ctl.%u", ++runs);
	char *node = g_strdup_printf("%s:%u", h->address, h->admin_port);
	GPtrArray *argv = g_ptr_array_new();
	struct process *p;

	g_ptr_array_add(argv, (gpointer)BRAMLEYCTL_PATH);
	g_ptr_array_add(argv, (gpointer) "--node");
	g_ptr_array_add(argv, node);
	g_ptr_array_add(argv, (gpointer) "--json");
	process_append_args(argv, args);
	p = process_start(
	    name, harness_dir(), (const char *const *)argv->pdata);
	g_ptr_array_unref(argv);
	g_free(node);
	g_free(name);
	return p;
}

json_t *
deployment_ctl_end(struct process *ctl, int *code)
{
	int res = process_wait(ctl, CTL_TIMEOUT_MS);
	json_t *j = process_json(ctl);

	if (code != NULL)
		*code = res;
	else
		ck_assert_msg(res == 0, "bramleyctl ended with %d; see %s", res,
		    process_log_path(ctl));
	process_free(ctl);
	return j;
}

json_t *
deployment_ctl(const struct host *h, int *code, const char *const *args)
{
	return deployment_ctl_end(deployment_ctl_start(h, args), code);
}

char *
deployment_example(const char *name)
{
	return g_build_filename(EXAMPLES_DIR, name, NULL);
}

/* Adds copies of the example's first service, each with a route. */
static void
add_services(json_t *bundle, uint32_t n)
{
	char name[NAME_BYTES], prefix[NAME_BYTES];
	json_t *routes = json_object_get(bundle, "routes");
	json_t *service, *services = json_object_get(bundle, "services");
	uint32_t i;

	for (i = 0; i < n; i++) {
		(void)g_snprintf(name, sizeof(name), "more-%u", i);
		(void)g_snprintf(prefix, sizeof(prefix), "/more/%u", i);
		service = json_deep_copy(json_array_get(services, 0));
		json_object_set_new(service, "name", json_string(name));
		json_array_append_new(services, service);
		json_array_append_new(routes,
		    json_pack("{s:s,s:[s],s:s,s:b}", "prefix", prefix,
			"methods", "GET", "service", name, "idempotent", 1));
	}
}

/* Adds routes to the example's first service. */
static void
add_routes(json_t *bundle, uint32_t n)
{
	json_t *routes = json_object_get(bundle, "routes");
	json_t *first = json_array_get(json_object_get(bundle, "services"), 0);
	char prefix[NAME_BYTES];
	uint32_t i;

	for (i = 0; i < n; i++) {
		(void)g_snprintf(prefix, sizeof(prefix), "/grown/%u", i);
		json_array_append_new(routes,
		    json_pack("{s:s,s:[s],s:O,s:b}", "prefix", prefix,
			"methods", "GET", "service",
			json_object_get(first, "name"), "idempotent", 1));
	}
}

/* Adds two customers with a key each, which are other ones in each bundle, one
 * with a limit and always the same key, and a route that needs them; all other
 * routes are without keys. */
static void
add_customers(json_t *bundle, uint32_t n)
{
	json_t *routes = json_object_get(bundle, "routes");
	json_t *first = json_array_get(json_object_get(bundle, "services"), 0);
	json_t *route;
	size_t i;

	json_array_foreach(routes, i, route)
	    json_object_set_new(route, "keyless", json_true());
	json_array_append_new(routes,
	    json_pack("{s:s,s:[s],s:O,s:b}", "prefix", DEPLOYMENT_KEYED_PREFIX,
		"methods", "GET", "service", json_object_get(first, "name"),
		"idempotent", 1));
	json_object_set_new(bundle, "customers",
	    json_pack("[{s:s,s:[o]},{s:s,s:[o]},{s:s,s:[s],s:i,s:i}]", "name",
		"north", "keys", json_sprintf("north-%u", n), "name", "south",
		"keys", json_sprintf("south-%u", n), "name", DEPLOYMENT_LIMITED,
		"keys", DEPLOYMENT_LIMITED, "rate_per_s",
		DEPLOYMENT_LIMITED_PER_S, "burst", DEPLOYMENT_LIMITED_PER_S));
}

static char *
write_bundle(uint32_t n, uint32_t services, uint32_t routes, bool customers)
{
	char *name = g_strdup_printf("bundle-%u-%u-%u%s.json", n, services,
	    routes, customers ? "-keys" : "");
	char *path, *text;
	char *example = deployment_example("registry.json");
	json_t *j = json_load_file(example, 0, NULL);

	ck_assert_ptr_nonnull(j);
	add_routes(j, routes);
	add_services(j, services);
	if (customers)
		add_customers(j, n);
	json_object_set_new(json_array_get(json_object_get(j, "services"), 0),
	    "timeout_ms", json_integer(EXAMPLE_TIMEOUT_MS + n));
	text = json_dumps(j, 0);
	path = harness_write(name, text);
	json_decref(j);
	free(text);
	g_free(example);
	g_free(name);
	return path;
}

char *
deployment_bundle_services(uint32_t n, uint32_t more)
{
	return write_bundle(n, more, 0, false);
}

char *
deployment_bundle_routes(uint32_t n, uint32_t routes)
{
	return write_bundle(n, 0, routes, false);
}

char *
deployment_bundle_customers(uint32_t n, uint32_t routes)
{
	return write_bundle(n, 0, routes, true);
}

char *
deployment_bundle(uint32_t n)
{
	return deployment_bundle_services(n, 0);
}

uint64_t
deployment_sign_off(const struct host *h, const char *bundle)
{
	const char *args[] = {"--operator", "test", "sign-off", bundle, NULL};
	json_t *j = deployment_ctl(h, NULL, args);
	uint64_t version = (uint64_t)json_number(j, "version");

	ck_assert_uint_gt(version, 0);
	json_decref(j);
	return version;
}
