/*
 * Check of the calls that stopping nodes aborted.
 */
#include "soak_stops.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "harness.h"

#define ABORTED " reason=stopped ms="
#define AFTER_NOTICE_EIGHTHS 5
/* The thread that begins a stop isn't the one that accepts calls. */
#define SLACK_MS 150
#define DECIMAL 10

/**
 * struct aborted_calls - calls that a stop aborted
 * @n: number of calls
 * @youngest_ms: age of the youngest call
 */
struct aborted_calls {
	uint32_t n;
	uint64_t youngest_ms;
};

static void
read_log(const char *path, struct aborted_calls *g)
{
	char *text = NULL;
	const char *at;
	uint64_t ms;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	for (at = text; (at = strstr(at, ABORTED)) != NULL; g->n++) {
		at += strlen(ABORTED);
		ms = strtoull(at, NULL, DECIMAL);
		g->youngest_ms = MIN(g->youngest_ms, ms);
	}
	g_free(text);
}

void
soak_stops_check(uint32_t drain_ms)
{
	struct aborted_calls g = {0, UINT64_MAX};
	char *folder = harness_path("."), *path;
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	ck_assert_ptr_nonnull(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		if (!g_str_has_suffix(name, ".log"))
			continue;
		path = harness_path(name);
		read_log(path, &g);
		g_free(path);
	}
	g_dir_close(dir);
	g_free(folder);
	(void)printf("%u calls aborted by stops\n", g.n);
	if (g.n > 0)
		ck_assert_uint_ge(g.youngest_ms + SLACK_MS,
		    (uint64_t)drain_ms * AFTER_NOTICE_EIGHTHS / 8);
}
