/*
 * Checks that upstreams don't work for callers that have left.
 */
#include <string.h>

#include "standins/departures.h"
#include "standins/runs.h"

#define RUN_FIELDS 5
#define END_FIELDS 3
#define FIELD_TEST_ID 0
#define FIELD_HOST 3
#define FIELD_RUN_MS 4
#define FIELD_END_HOST 1
#define FIELD_END_MS 2

struct check {
	GHashTable *departed; /* test id -> struct outcome */
	uint32_t limit_ms;
	GArray *out;
};

static void
collect_departed(struct check *c, const GArray *calls)
{
	const struct outcome *o;
	guint i;

	for (i = 0; i < calls->len; i++) {
		o = &g_array_index(calls, struct outcome, i);
		if (o->left_ms != 0 && o->key[0] == '\0')
			g_hash_table_insert(
			    c->departed, (gpointer)o->test_id, (gpointer)o);
	}
}

static void
check_time(struct check *c, const char *test_id, const char *host, bool began,
    uint64_t at_ms)
{
	const struct outcome *o = g_hash_table_lookup(c->departed, test_id);
	struct late_work w = {.began = began, .until_ms = at_ms};

	if (o == NULL || at_ms <= o->left_ms + c->limit_ms)
		return;
	(void)g_strlcpy(w.test_id, test_id, sizeof(w.test_id));
	(void)g_strlcpy(w.host, host, sizeof(w.host));
	w.node = o->node;
	w.left_ms = o->left_ms;
	g_array_append_val(c->out, w);
}

/* Checks each complete line of a file; a kill may truncate the last one. */
static enum status
check_file(struct check *c, const char *path, bool begins)
{
	const guint fields = begins ? RUN_FIELDS : END_FIELDS;
	const int host = begins ? FIELD_HOST : FIELD_END_HOST;
	const int at = begins ? FIELD_RUN_MS : FIELD_END_MS;
	char *text = NULL, **lines, **f;
	size_t i;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return status_set(STATUS_IO, "can't read %s.", path);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		f = g_strsplit(lines[i], "\t", -1);
		if (g_strv_length(f) == fields && lines[i + 1] != NULL)
			check_time(c, f[FIELD_TEST_ID], f[host], begins,
			    g_ascii_strtoull(f[at], NULL, 10));
		g_strfreev(f);
	}
	g_strfreev(lines);
	g_free(text);
	return STATUS_OK;
}

enum status
departures_check(
    const GArray *calls, const char *journal, uint32_t limit_ms, GArray *out)
{
	char *ends = g_strconcat(journal, RUNS_ENDS_SUFFIX, (char *)NULL);
	struct check c = {.limit_ms = limit_ms, .out = out};
	enum status st;

	c.departed = g_hash_table_new(g_str_hash, g_str_equal);
	collect_departed(&c, calls);
	st = check_file(&c, journal, true);
	if (st == STATUS_OK && g_file_test(ends, G_FILE_TEST_EXISTS))
		st = check_file(&c, ends, false);
	g_hash_table_destroy(c.departed);
	g_free(ends);
	return st;
}
