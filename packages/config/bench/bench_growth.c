/*
 * Costs of a large configuration and of a large change: 1,400 routes added to
 * configurations of several sizes, all of one service or distributed over a
 * hundred.  Rejected bundles, commits and deltas are printed as such.
 *
 *
 * bench_growth [routes [services [more]]]
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

#include "../src/route_table.h"

#define ROUTES_ADDED 1400
#define SERVICES_SPREAD 100
#define MATCHES 1000000
#define PATHS 4096
#define PATH_BYTES 64
#define KIB 1024.0
#define US_PER_MS 1000.0

/* Longest reason of a rejection that is printed. */
#define REASON_BYTES 90

/* Size of a change and of a hunk in a message; see schema/config.json. */
#define CHANGE_BYTES 64
#define HUNK_BYTES 14

/**
 * struct sent_stats - data sent to a node with the version before a change
 * @changes: changed sections
 * @patches: sections sent as patches
 * @whole: sections sent in full
 * @bytes: total size before compression
 * @patch_us: time to compute the patches, at the sender
 */
struct sent_stats {
	uint32_t changes;
	uint32_t patches;
	uint32_t whole;
	uint64_t bytes;
	uint64_t patch_us;
};

static const uint32_t sizes[] = {1600, 5000, 20000, 57000};

static double
ms_since(uint64_t start_us)
{
	return (double)(clock_now_us() - start_us) / US_PER_MS;
}

static void
print_rejected(const char *what)
{
	printf("  %s: rejected: %.*s\n", what, REASON_BYTES, status_message());
}

/* Numbers are hashed, so that added routes sort between existing ones. */
static void
write_path(char *out, uint32_t i)
{
	(void)g_snprintf(
	    out, PATH_BYTES, "/area%08x/part%u", i * 2654435761U, i % 97);
}

static GString *
write_bundle(uint32_t routes, uint32_t services)
{
	GString *out = g_string_new("{\"format\":1,\"name\":\"bench\",");
	char path[PATH_BYTES];
	uint32_t i;

	g_string_append(out, "\"services\":[");
	for (i = 0; i < services; i++)
		g_string_append_printf(
		    out, "%s{\"name\":\"service-%u\"}", i > 0 ? "," : "", i);
	g_string_append(out, "],\"routes\":[");
	for (i = 0; i < routes; i++) {
		write_path(path, i);
		g_string_append_printf(out,
		    "%s{\"prefix\":\"%s\",\"methods\":[\"*\"],"
		    "\"idempotent\":true,\"below\":true,"
		    "\"host\":\"h%u.example\",\"timeout_ms\":2000,"
		    "\"target_ms\":600,\"priority\":2,\"attempts\":2,"
		    "\"service\":\"service-%u\"}",
		    i > 0 ? "," : "", path, i % 4, i % services);
	}
	return g_string_append(out, "]}");
}

/* Return: the bundle, or NULL if it is rejected. */
static struct bundle *
parse(uint32_t routes, uint32_t services)
{
	GString *json = write_bundle(routes, services);
	uint64_t start_us = clock_now_us(), bytes = 0, largest = 0, len;
	struct bundle *b;
	enum status st = bundle_parse(json->str, json->len, &b);
	double ms = ms_since(start_us);
	uint32_t i;

	for (i = 0; i < b->sections->len; i++) {
		len = g_bytes_get_size(
		    ((struct section *)g_ptr_array_index(b->sections, i))
			->content);
		bytes += len;
		largest = MAX(largest, len);
	}
	printf("  bundle of %.0f KiB parsed and split: %.1f ms, %u sections of "
	       "%.0f KiB, largest %.1f\n",
	    (double)json->len / KIB, ms, b->sections->len, (double)bytes / KIB,
	    (double)largest / KIB);
	g_string_free(json, TRUE);
	if (st == STATUS_OK)
		return b;
	print_rejected("bundle");
	bundle_free(b);
	return NULL;
}

static enum status
add_all(struct catalog_stage *stage, const struct bundle *b)
{
	const struct section *section;
	enum status st;
	uint32_t i;

	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		st = catalog_stage_add(stage,
		    g_bytes_get_data(section->content, NULL),
		    g_bytes_get_size(section->content));
		if (st != STATUS_OK && st != STATUS_NOT_FOUND)
			return st;
	}
	return STATUS_OK;
}

/* Commit a full list, as a node that reads from the platform does. */
static bool
commit_full(
    struct catalog *c, uint64_t version, const struct bundle *b, double *ms)
{
	uint64_t start_us = clock_now_us();
	struct catalog_stage *stage;
	struct digest root;
	enum status st;
	GArray *list;

	bundle_section_list(b, &list, &root);
	st = catalog_stage_begin_full(c, version, &root, list, &stage);
	if (st == STATUS_OK)
		st = add_all(stage, b);
	if (st == STATUS_OK)
		st = catalog_commit(c, stage);
	*ms = ms_since(start_us);
	catalog_stage_free(stage);
	g_array_unref(list);
	if (st != STATUS_OK)
		print_rejected("commit");
	return st == STATUS_OK;
}

static void
add_change(const struct catalog *from, const struct catalog *to,
    const struct rec_section_change *c, struct catalog_stage *stage,
    struct sent_stats *stats)
{
	uint64_t start_us = clock_now_us();
	struct rec_section_patch patch;
	GBytes *content;
	bool is_patch = catalog_patch(from, catalog_version(to), c, &patch);

	stats->patch_us += clock_now_us() - start_us;
	if (!is_patch) {
		content = catalog_content(from, &c->digest);
		stats->whole++;
		stats->bytes += g_bytes_get_size(content);
		(void)catalog_stage_add(stage, g_bytes_get_data(content, NULL),
		    g_bytes_get_size(content));
		return;
	}
	stats->patches++;
	stats->bytes += patch.data_len + (uint64_t)patch.n_hunks * HUNK_BYTES;
	content = catalog_patch_apply(to, &patch);
	(void)catalog_stage_add(
	    stage, g_bytes_get_data(content, NULL), g_bytes_get_size(content));
	g_bytes_unref(content);
	catalog_patch_clear(&patch);
}

/* Update @to by one version with a delta and patches. */
static void
bench_follow(const char *label, const struct catalog *from, struct catalog *to)
{
	const struct rec_section_change *c;
	struct catalog_stage *stage = NULL;
	struct catalog_delta delta;
	struct sent_stats stats = {0};
	uint64_t start_us;
	double add_ms = 0;
	uint32_t i;

	if (catalog_delta(from, catalog_version(to), 0, &delta) != STATUS_OK) {
		print_rejected("changes");
		return;
	}
	start_us = clock_now_us();
	if (catalog_stage_begin(to, &delta, &stage) != STATUS_OK) {
		print_rejected("stage");
		catalog_delta_clear(&delta);
		return;
	}
	for (i = 0; i < delta.changes->len; i++) {
		c = &g_array_index(delta.changes, struct rec_section_change, i);
		stats.bytes += CHANGE_BYTES;
		stats.changes++;
		if (!c->removed)
			add_change(from, to, c, stage, &stats);
	}
	add_ms = ms_since(start_us);
	start_us = clock_now_us();
	if (catalog_commit(to, stage) != STATUS_OK)
		print_rejected("commit at a node");
	printf(
	    "  %s: %u changes, %u as patches, %u in full, %.1f KiB; computed "
	    "in %.1f ms, added in %.1f, committed in %.1f\n",
	    label, stats.changes, stats.patches, stats.whole,
	    (double)stats.bytes / KIB, (double)stats.patch_us / US_PER_MS,
	    add_ms - (double)stats.patch_us / US_PER_MS, ms_since(start_us));
	catalog_stage_free(stage);
	catalog_delta_clear(&delta);
}

static void
bench_table(const struct catalog *c)
{
	GPtrArray *services = g_ptr_array_new();
	struct route_table *t;
	uint64_t start_us;
	uint32_t i;

	for (i = 0; i < catalog_n_sections(c); i++)
		g_ptr_array_add(services, catalog_section(c, i));
	start_us = clock_now_us();
	if (route_table_new(services, &t) != STATUS_OK)
		print_rejected("table");
	else
		printf("  route table: %.1f ms, %.0f KiB\n", ms_since(start_us),
		    (double)route_table_bytes(t) / KIB);
	route_table_unref(t);
	g_ptr_array_unref(services);
}

static void
bench_match(const struct catalog *c, uint32_t routes)
{
	struct endpoint_set *none = endpoint_set_new();
	struct snapshot *s = snapshot_compile(c, none);
	char(*paths)[PATH_BYTES] = g_malloc0_n(PATHS, PATH_BYTES);
	char hosts[4][16];
	uint32_t i, j, n, found = 0;
	struct route_match match;
	uint64_t start_us;

	for (i = 0; i < 4; i++)
		(void)g_snprintf(hosts[i], sizeof(hosts[i]), "h%u.example", i);
	for (i = 0; i < PATHS; i++) {
		write_path(paths[i], (i * 4) % routes / 4 * 4 + i % 4);
		g_strlcat(paths[i], "/x", PATH_BYTES);
	}
	start_us = clock_now_us();
	for (n = 0; n < MATCHES; n++) {
		j = n * 7919U % PATHS;
		found += snapshot_match(s, METHOD_GET, hosts[j % 4], paths[j],
			     strlen(paths[j]), &match) == ROUTE_FOUND;
	}
	printf("  lookup: %.0f ns (mean of %d, %u found)\n",
	    ms_since(start_us) * 1e6 / MATCHES, MATCHES, found);
	g_free(paths);
	snapshot_unref(s);
	endpoint_set_free(none);
}

/* Commit two versions at a reader, the second one with more routes, and update
 * nodes from it. */
static void
bench_versions(
    const struct bundle *first, const struct bundle *second, uint32_t routes)
{
	struct catalog *reader = catalog_new(0), *node = catalog_new(0);
	struct catalog *next = catalog_new(0);
	uint64_t heap = mallinfo2().uordblks;
	double ms, node_ms;

	if (commit_full(reader, 1, first, &ms) &&
	    commit_full(node, 1, first, &node_ms) &&
	    commit_full(next, 1, first, &node_ms)) {
		printf("  first version committed: %.1f ms; catalog %.0f KiB, "
		       "heap %.0f KiB\n",
		    ms, (double)catalog_bytes(node) / KIB,
		    (double)(mallinfo2().uordblks - heap) / 3 / KIB);
		bench_table(node);
		bench_match(node, routes);
		if (second != NULL && commit_full(reader, 2, second, &ms)) {
			printf("  second version at a reader: %.1f ms\n", ms);
			bench_follow("first node", reader, node);
			bench_follow("next node", reader, next);
			printf("  catalog with both: %.0f KiB\n",
			    (double)catalog_bytes(node) / KIB);
		}
	}
	catalog_free(reader);
	catalog_free(node);
	catalog_free(next);
}

static void
bench_size(uint32_t routes, uint32_t services, uint32_t added)
{
	struct bundle *first, *second = NULL;

	printf("%u routes, %u services, then %u more routes\n", routes,
	    services, added);
	first = parse(routes, services);
	if (first != NULL)
		second = parse(routes + added, services);
	if (first != NULL)
		bench_versions(first, second, routes);
	bundle_free(first);
	bundle_free(second);
	(void)fflush(stdout);
}

int
main(int argc, char **argv)
{
	uint32_t n[3] = {0, 1, ROUTES_ADDED};
	uint32_t i;

	for (i = 0; i < 3 && (int)i + 1 < argc; i++)
		n[i] = (uint32_t)strtoul(argv[i + 1], NULL, 10);
	if (n[0] > 0 && n[1] > 0) {
		bench_size(n[0], n[1], n[2]);
		return 0;
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bench_size(sizes[i], 1, ROUTES_ADDED);
		bench_size(sizes[i], SERVICES_SPREAD, ROUTES_ADDED);
	}
	return 0;
}
