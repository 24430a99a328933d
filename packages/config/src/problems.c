/*
 * Problems found in a bundle or a section, and where.
 */
#include <stdarg.h>

#include "config/bundle.h"
#include "problems.h"

/* Problems that a summary tells in full. */
#define SUMMARY_PROBLEMS 4

static void
problem_free(void *data)
{
	struct bundle_problem *problem = data;

	g_free(problem->path);
	g_free(problem->message);
	g_free(problem->remedy);
	g_free(problem);
}

void
problems_init(struct problems *p)
{
	p->list = g_ptr_array_new_with_free_func(problem_free);
	p->n_found = 0;
}

void
problems_clear(struct problems *p)
{
	g_ptr_array_unref(p->list);
	p->list = NULL;
}

static void
place_append(const struct place *at, GString *out)
{
	if (at == NULL)
		return;
	place_append(at->up, out);
	if (at->index != PLACE_NO_INDEX) {
		g_string_append_printf(out, "[%u]", at->index);
		return;
	}
	if (at->key == NULL)
		return;
	if (out->len > 0)
		g_string_append_c(out, '.');
	g_string_append(out, at->key);
}

void
problems_add(struct problems *p, const struct place *at, const char *remedy,
    const char *fmt, ...)
{
	struct bundle_problem *problem;
	GString *path;
	va_list ap;

	p->n_found++;
	if (p->list->len >= BUNDLE_MAX_PROBLEMS)
		return;
	path = g_string_new(NULL);
	place_append(at, path);
	problem = g_new0(struct bundle_problem, 1);
	problem->path = g_string_free(path, FALSE);
	problem->remedy = g_strdup(remedy);
	va_start(ap, fmt);
	problem->message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(p->list, problem);
}

char *
problems_summary(const struct problems *p)
{
	const struct bundle_problem *problem;
	GString *out;
	uint32_t i;

	out = g_string_new(NULL);
	for (i = 0; i < p->list->len && i < SUMMARY_PROBLEMS; i++) {
		problem = g_ptr_array_index(p->list, i);
		g_string_append_printf(out, "%s%s%s%s; %s.", i > 0 ? " " : "",
		    problem->path, problem->path[0] != '\0' ? ": " : "",
		    problem->message, problem->remedy);
	}
	if (p->n_found > SUMMARY_PROBLEMS)
		g_string_append_printf(
		    out, " And %u more.", p->n_found - SUMMARY_PROBLEMS);
	return g_string_free(out, FALSE);
}
