/*
 * Problems of a bundle or a section, with their paths.
 */
#include <stdarg.h>

#include "config/bundle.h"
#include "problems.h"

/* Problems that a summary lists; further ones are counted. */
#define SUMMARY_MAX_PROBLEMS 4

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
	p->warnings = g_ptr_array_new_with_free_func(problem_free);
	p->n_found = 0;
	p->n_warned = 0;
}

void
problems_clear(struct problems *p)
{
	g_ptr_array_unref(p->list);
	g_ptr_array_unref(p->warnings);
	p->list = NULL;
	p->warnings = NULL;
}

static void
doc_path_append(const struct doc_path *at, GString *out)
{
	if (at == NULL)
		return;
	doc_path_append(at->parent, out);
	if (at->index != DOC_PATH_NO_INDEX) {
		g_string_append_printf(out, "[%u]", at->index);
		return;
	}
	if (at->key == NULL)
		return;
	if (out->len > 0)
		g_string_append_c(out, '.');
	g_string_append(out, at->key);
}

static void
append_problem(GPtrArray *list, const struct doc_path *at, const char *remedy,
    const char *fmt, va_list ap)
{
	struct bundle_problem *problem;
	GString *path;

	if (list->len >= BUNDLE_MAX_PROBLEMS)
		return;
	path = g_string_new(NULL);
	doc_path_append(at, path);
	problem = g_new0(struct bundle_problem, 1);
	problem->path = g_string_free(path, FALSE);
	problem->remedy = g_strdup(remedy);
	problem->message = g_strdup_vprintf(fmt, ap);
	g_ptr_array_add(list, problem);
}

void
problems_add(struct problems *p, const struct doc_path *at, const char *remedy,
    const char *fmt, ...)
{
	va_list ap;

	p->n_found++;
	va_start(ap, fmt);
	append_problem(p->list, at, remedy, fmt, ap);
	va_end(ap);
}

void
problems_warn(struct problems *p, const struct doc_path *at, const char *remedy,
    const char *fmt, ...)
{
	va_list ap;

	p->n_warned++;
	va_start(ap, fmt);
	append_problem(p->warnings, at, remedy, fmt, ap);
	va_end(ap);
}

char *
problems_summary(const GPtrArray *list, uint32_t n_found)
{
	const struct bundle_problem *problem;
	GString *out;
	uint32_t i;

	out = g_string_new(NULL);
	for (i = 0; i < list->len && i < SUMMARY_MAX_PROBLEMS; i++) {
		problem = g_ptr_array_index(list, i);
		g_string_append_printf(out, "%s%s%s%s; %s.", i > 0 ? " " : "",
		    problem->path, problem->path[0] != '\0' ? ": " : "",
		    problem->message, problem->remedy);
	}
	if (n_found > SUMMARY_MAX_PROBLEMS)
		g_string_append_printf(
		    out, " And %u more.", n_found - SUMMARY_MAX_PROBLEMS);
	return g_string_free(out, FALSE);
}
