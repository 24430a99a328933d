/*
 * Costs of a configuration of the design size: parsing and committing a bundle,
 * small changes, compiling snapshots, matching.
 *
 *
 * bench_config [services [endpoints [routes]]]
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "config/bundle.h"
#include "config/snapshot.h"
#include "config/stage.h"
#include "proto/messages.h"

#define SERVICES 1200
#define ENDPOINTS 22000
#define ROUTES 5
#define ROUNDS 200
#define MATCHES 2000000
#define LINEAR_MATCHES 1000
#define KIB 1024.0

/* Number of the service that is changed. */
#define CHANGED 0
#define CHANGED_TEXT "0"

struct size {
	uint32_t services;
	uint32_t endpoints;
	uint32_t routes;
};

static uint64_t
heap_bytes(void)
{
	return mallinfo2().uordblks;
}

/* Format a bundle whose service number @changed has another timeout. */
static GString *
write_bundle(const struct size *size, uint32_t changed, uint32_t timeout_ms)
{
	GString *out = g_string_new("{\"format\":1,\"name\":\"bench\",");
	uint32_t i, j;

	g_string_append(out, "\"services\":[");
	for (i = 0; i < size->services; i++)
		g_string_append_printf(out,
		    "%s{\"name\":\"service-%u\",\"timeout_ms\":%u}",
		    i > 0 ? "," : "", i, i == changed ? timeout_ms : 2000);
	g_string_append(out, "],\"routes\":[");
	for (i = 0; i < size->services; i++) {
		for (j = 0; j < size->routes; j++)
			g_string_append_printf(out,
			    "%s{\"prefix\":\"/api/v1/area-%u/part-%u\","
			    "\"methods\":[\"GET\"],\"service\":\"service-%u\"}",
			    i + j > 0 ? "," : "", i, j, i);
	}
	return g_string_append(out, "]}");
}

static struct bundle *
parse(const GString *json)
{
	struct bundle *b;

	if (bundle_parse(json->str, json->len, &b) != STATUS_OK) {
		fprintf(stderr, "%s\n", status_message());
		exit(1);
	}
	return b;
}

static void
exit_on_error(enum status st)
{
	if (st == STATUS_OK)
		return;
	fprintf(stderr, "%s\n", status_message());
	exit(1);
}

static void
commit(struct catalog *c, uint64_t version, const struct bundle *b)
{
	struct catalog_delta delta = {0, version, {{0}}, NULL, false};
	struct catalog_stage *stage;
	const struct section *s;
	GArray *from, *to;
	uint32_t i;

	bundle_section_list(b, &to, &delta.root);
	if (catalog_list(c, 0, NULL, &from) != STATUS_OK)
		from = g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	delta.from_version = catalog_version(c);
	delta.changes = section_changes(from, to);
	exit_on_error(catalog_stage_begin(c, &delta, &stage));
	for (i = 0; i < b->sections->len; i++) {
		s = g_ptr_array_index(b->sections, i);
		(void)catalog_stage_add(stage,
		    g_bytes_get_data(s->content, NULL),
		    g_bytes_get_size(s->content));
	}
	exit_on_error(catalog_commit(c, stage));
	catalog_stage_free(stage);
	catalog_delta_clear(&delta);
	g_array_unref(from);
	g_array_unref(to);
}

static const struct section *
find_section(const struct bundle *b, const char *service)
{
	const struct section *s;
	uint32_t i;

	for (i = 0; i < b->sections->len; i++) {
		s = g_ptr_array_index(b->sections, i);
		if (strcmp(s->config->name, service) == 0)
			return s;
	}
	fprintf(stderr, "service %s not found\n", service);
	exit(1);
}

/* Commit a change of one service as a delta, as a node does when it is
 * notified. */
static void
bench_small_commits(const struct size *size, struct catalog *c)
{
	struct catalog_stage *stage;
	struct catalog_delta delta;
	struct catalog *follower;
	uint64_t start_us, spent_us = 0;
	const struct section *s;
	struct bundle *b;
	GString *json;
	uint32_t i;

	follower = catalog_new(0);
	json = write_bundle(size, CHANGED, 2000);
	b = parse(json);
	commit(follower, 1, b);
	bundle_free(b);
	g_string_free(json, TRUE);
	for (i = 0; i < ROUNDS; i++) {
		json = write_bundle(size, CHANGED, 3000 + i);
		b = parse(json);
		commit(c, catalog_version(c) + 1, b);
		s = find_section(b, "service-" CHANGED_TEXT);
		exit_on_error(
		    catalog_delta(c, catalog_version(follower), 0, &delta));
		start_us = clock_now_us();
		exit_on_error(catalog_stage_begin(follower, &delta, &stage));
		exit_on_error(
		    catalog_stage_add(stage, g_bytes_get_data(s->content, NULL),
			g_bytes_get_size(s->content)));
		exit_on_error(catalog_commit(follower, stage));
		spent_us += clock_now_us() - start_us;
		catalog_stage_free(stage);
		catalog_delta_clear(&delta);
		bundle_free(b);
		g_string_free(json, TRUE);
	}
	printf("commit of one changed section: %.1f us (mean of %d), "
	       "catalog %.0f KiB with %d versions\n",
	    (double)spent_us / ROUNDS, ROUNDS,
	    (double)catalog_bytes(follower) / KIB, CATALOG_RING_ENTRIES);
	catalog_free(follower);
}

static void
make_endpoint(const struct size *size, uint32_t i, struct endpoint *ep)
{
	memset(ep, 0, sizeof(*ep));
	g_snprintf(
	    ep->service, sizeof(ep->service), "service-%u", i % size->services);
	g_snprintf(ep->data_centre, sizeof(ep->data_centre), "dc-%u", i % 28);
	ep->address.ip = i;
	ep->address.port = 7000;
	ep->slots = 12;
	ep->state = SERVING_READY;
}

static struct endpoint_set *
fill_endpoints(const struct size *size)
{
	struct endpoint_set *set = endpoint_set_new();
	char host[HOST_NAME_BYTES];
	struct endpoint ep;
	uint32_t i;

	for (i = 0; i < size->endpoints; i++) {
		make_endpoint(size, i, &ep);
		g_snprintf(host, sizeof(host), "host-%u", i);
		endpoint_set_host(set, host, &ep, 1);
	}
	return set;
}

static void
bench_compile(const struct size *size, const struct catalog *c)
{
	uint64_t start_us, heap, spent_us;
	char host[HOST_NAME_BYTES];
	struct endpoint_set *set;
	struct snapshot *s, *t;
	struct endpoint ep;
	uint32_t i;

	heap = heap_bytes();
	start_us = clock_now_us();
	set = fill_endpoints(size);
	s = snapshot_compile(c, set);
	spent_us = clock_now_us() - start_us;
	printf("full: all endpoints set and compiled: %.2f ms, %.0f KiB\n",
	    (double)spent_us / 1000.0, (double)(heap_bytes() - heap) / KIB);
	heap = heap_bytes();
	start_us = clock_now_us();
	for (i = 0; i < ROUNDS; i++) {
		make_endpoint(size, i % size->endpoints, &ep);
		ep.slots = i;
		g_snprintf(host, sizeof(host), "host-%u", i % size->endpoints);
		endpoint_set_host(set, host, &ep, 1);
		t = snapshot_compile(c, set);
		snapshot_unref(s);
		s = t;
	}
	spent_us = clock_now_us() - start_us;
	t = snapshot_compile(c, set);
	printf("incremental: one endpoint changed and compiled: %.1f us "
	       "(mean of %d); a further snapshot takes %.1f KiB\n",
	    (double)spent_us / ROUNDS, ROUNDS,
	    (double)(heap_bytes() - heap) / KIB);
	snapshot_unref(s);
	snapshot_unref(t);
	endpoint_set_free(set);
}

/* Find the longest prefix by a linear search, for comparison. */
static const struct service_route *
linear_match(const struct snapshot *s, const char *path)
{
	const struct service_route *route, *best = NULL;
	const struct service_config *sc;
	uint32_t i, j;

	for (i = 0; i < s->n_sections; i++) {
		sc = s->sections[i];
		for (j = 0; j < sc->n_routes; j++) {
			route = &sc->routes[j];
			if (strncmp(route->prefix, path, route->prefix_len) !=
				0 ||
			    path[route->prefix_len] != '/')
				continue;
			if (best == NULL ||
			    route->prefix_len > best->prefix_len)
				best = route;
		}
	}
	return best;
}

static void
bench_linear(const struct snapshot *s, char paths[][64])
{
	uint64_t start_us, spent_us, n_found = 0;
	uint32_t i;

	start_us = clock_now_us();
	for (i = 0; i < LINEAR_MATCHES; i++)
		n_found += linear_match(s, paths[i]) != NULL;
	spent_us = clock_now_us() - start_us;
	printf("match by linear search: %.0f ns (mean of %d, %d "
	       "found)\n",
	    (double)spent_us * 1000.0 / LINEAR_MATCHES, LINEAR_MATCHES,
	    (int)n_found);
}

static void
bench_match(const struct size *size, const struct catalog *c)
{
	struct endpoint_set *none = endpoint_set_new();
	uint64_t start_us, spent_us, n_found = 0;
	struct snapshot *s = snapshot_compile(c, none);
	char paths[1024][64];
	struct route_match m;
	uint32_t i;
	int n;

	for (i = 0; i < 1024; i++)
		g_snprintf(paths[i], sizeof(paths[i]),
		    "/api/v1/area-%u/part-%u/item/%u",
		    (i * 7919U) % size->services, i % size->routes, i);
	start_us = clock_now_us();
	for (n = 0; n < MATCHES; n++) {
		i = (uint32_t)n % 1024;
		n_found += snapshot_match(s, METHOD_GET, NULL, paths[i],
			       strlen(paths[i]), &m) == ROUTE_FOUND;
	}
	spent_us = clock_now_us() - start_us;
	printf("match: %.0f ns (mean of %d, %d found) among %u routes\n",
	    (double)spent_us * 1000.0 / MATCHES, MATCHES, (int)n_found,
	    size->services * size->routes);
	bench_linear(s, paths);
	snapshot_unref(s);
	endpoint_set_free(none);
}

static void
bench_parse_and_commit(const struct size *size, struct catalog *c)
{
	GString *json = write_bundle(size, CHANGED, 2000);
	uint64_t start_us, parse_us, heap;
	struct bundle *b;

	start_us = clock_now_us();
	b = parse(json);
	parse_us = clock_now_us() - start_us;
	printf("bundle of %.0f KiB parsed and split: %.1f ms\n",
	    (double)json->len / KIB, (double)parse_us / 1000.0);
	heap = heap_bytes();
	start_us = clock_now_us();
	commit(c, 1, b);
	printf("first commit: %.1f ms, catalog %.0f KiB, heap %.0f KiB\n",
	    (double)(clock_now_us() - start_us) / 1000.0,
	    (double)catalog_bytes(c) / KIB,
	    (double)(heap_bytes() - heap) / KIB);
	bundle_free(b);
	g_string_free(json, TRUE);
}

static uint32_t
arg_or_default(int argc, char **argv, int i, uint32_t default_value)
{
	return argc > i ? (uint32_t)strtoul(argv[i], NULL, 10) : default_value;
}

int
main(int argc, char **argv)
{
	struct size size = {arg_or_default(argc, argv, 1, SERVICES),
	    arg_or_default(argc, argv, 2, ENDPOINTS),
	    arg_or_default(argc, argv, 3, ROUTES)};
	struct catalog *c = catalog_new(0);

	printf("%u services, %u endpoints, %u routes per service\n",
	    size.services, size.endpoints, size.routes);
	bench_parse_and_commit(&size, c);
	bench_compile(&size, c);
	bench_match(&size, c);
	bench_small_commits(&size, c);
	catalog_free(c);
	return 0;
}
