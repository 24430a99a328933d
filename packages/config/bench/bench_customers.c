/*
 * Costs of a table of customers: a key's digest, look-ups, memory, and one
 * changed key as it is sent to a node.
 *
 * bench_customers [customers [keys of each]]
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "config/bundle.h"
#include "config/customer.h"
#include "config/snapshot.h"
#include "config/stage.h"

#include "../src/customer_table.h"

#define CUSTOMERS 20000
#define KEYS 2
#define LOOK_UPS 1000000
#define SAMPLES 4096
#define KEY_BYTES 48
#define NS_PER_US 1000.0

static uint32_t n_customers = CUSTOMERS, n_keys = KEYS;

static void
key_text(char *out, uint32_t customer, uint32_t key, const char *kind)
{
	(void)g_snprintf(
	    out, KEY_BYTES, "%s-%u-%u-0123456789abcdef", kind, customer, key);
}

/* A bundle where customer @changed has other keys. */
static struct bundle *
bundle_of(uint32_t customers, uint32_t changed)
{
	GString *s = g_string_new(
	    "{\"format\":1,\"name\":\"b\",\"services\":[{\"name\":\"a\"}],"
	    "\"routes\":[{\"prefix\":\"/a\",\"methods\":[\"GET\"],"
	    "\"service\":\"a\"}],\"customers\":[");
	char key[KEY_BYTES];
	struct bundle *b;
	uint32_t i, j;

	for (i = 0; i < customers; i++) {
		g_string_append_printf(s,
		    "%s{\"name\":\"customer-%u\",\"rate_per_s\":5,\"keys\":[",
		    i > 0 ? "," : "", i);
		for (j = 0; j < n_keys; j++) {
			key_text(key, i, j, i == changed ? "new" : "old");
			g_string_append_printf(
			    s, "%s\"%s\"", j > 0 ? "," : "", key);
		}
		g_string_append(s, "]}");
	}
	g_string_append(s, "]}");
	if (bundle_parse(s->str, s->len, &b) != STATUS_OK)
		g_error("%s", status_message());
	g_string_free(s, TRUE);
	return b;
}

static struct catalog *
catalog_of(const struct bundle *b)
{
	struct catalog *c = catalog_new(0);
	struct catalog_stage *stage;
	const struct section *section;
	struct digest root;
	GArray *list;
	const uint8_t *data;
	size_t len;
	uint32_t i;

	bundle_section_list(b, &list, &root);
	if (catalog_stage_begin_full(c, 1, &root, list, &stage) != STATUS_OK)
		g_error("%s", status_message());
	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		data = g_bytes_get_data(section->content, &len);
		(void)catalog_stage_add(stage, data, len);
	}
	if (catalog_commit(c, stage) != STATUS_OK)
		g_error("%s", status_message());
	catalog_stage_free(stage);
	g_array_unref(list);
	return c;
}

/* Digest and look-up, as for each request with a key. */
static void
measure_look_ups(const struct customer_table *t, const char *kind)
{
	static char keys[SAMPLES][KEY_BYTES];
	struct customer_key digest;
	uint64_t start_us, found = 0;
	uint32_t i;

	for (i = 0; i < SAMPLES; i++)
		key_text(keys[i],
		    (uint32_t)g_random_int_range(0, (gint32)n_customers), 0,
		    kind);
	start_us = clock_now_us();
	for (i = 0; i < LOOK_UPS; i++) {
		customer_key_make(
		    keys[i % SAMPLES], strlen(keys[i % SAMPLES]), &digest);
		found += customer_table_find_key(t, &digest) != NULL;
	}
	printf("  %-12s %6.0f ns a request, %" PRIu64 " of %d found\n", kind,
	    (double)(clock_now_us() - start_us) * NS_PER_US / LOOK_UPS, found,
	    LOOK_UPS);
}

static void
measure_digests(void)
{
	static const char key[] = "key-1234-0-0123456789abcdef";
	uint64_t start_us = clock_now_us();
	struct customer_key digest;
	uint32_t i;

	for (i = 0; i < LOOK_UPS; i++)
		customer_key_make(key, sizeof(key) - 1, &digest);
	printf("  %-12s %6.0f ns\n", "digest",
	    (double)(clock_now_us() - start_us) * NS_PER_US / LOOK_UPS);
}

static uint64_t
content_bytes(const struct bundle *b, uint32_t *n)
{
	const struct section *section;
	uint64_t bytes = 0;
	uint32_t i;

	for (i = 0, *n = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		if (!section->config->holds_customers)
			continue;
		bytes += g_bytes_get_size(section->content);
		(*n)++;
	}
	return bytes;
}

static void
measure_change(const struct bundle *before)
{
	struct bundle *after = bundle_of(n_customers, n_customers / 2);
	GArray *from, *to, *changes;
	struct digest root;

	bundle_section_list(before, &from, &root);
	bundle_section_list(after, &to, &root);
	changes = section_changes(from, to);
	printf("  one customer's keys replaced: %u of %u sections change\n",
	    changes->len, from->len);
	g_array_unref(changes);
	g_array_unref(from);
	g_array_unref(to);
	bundle_free(after);
}

int
main(int argc, char **argv)
{
	struct endpoint_set *none = endpoint_set_new();
	struct snapshot *s;
	struct catalog *c;
	struct bundle *b;
	uint64_t start_us, commit_ms, bytes;
	uint32_t n;

	if (argc > 1)
		n_customers = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		n_keys = (uint32_t)strtoul(argv[2], NULL, 10);
	b = bundle_of(n_customers, UINT32_MAX);
	bytes = content_bytes(b, &n);
	start_us = clock_now_us();
	c = catalog_of(b);
	commit_ms = (clock_now_us() - start_us) / 1000;
	s = snapshot_compile(c, none);
	printf("%u customers of %u keys: %" PRIu64 " KiB in %u sections, "
	       "decoded and committed in %" PRIu64 " ms, %" PRIu64
	       " KiB of index\n",
	    n_customers, n_keys, bytes / 1024, n, commit_ms,
	    customer_table_bytes(s->customers) / 1024);
	measure_digests();
	measure_look_ups(s->customers, "old");
	measure_look_ups(s->customers, "wrong");
	measure_change(b);
	snapshot_unref(s);
	catalog_free(c);
	bundle_free(b);
	endpoint_set_free(none);
	return 0;
}
