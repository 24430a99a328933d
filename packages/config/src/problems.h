/*
 * Collects the problems of a bundle or a section with their JSON paths.  A
 * problem makes the bundle invalid, since a node could not run it as intended;
 * a warning does not.
 */
#ifndef CONFIG_PROBLEMS_H
#define CONFIG_PROBLEMS_H

#include <stdint.h>

#include <glib.h>

/* Index of a path element that has a key. */
#define DOC_PATH_NO_INDEX UINT32_MAX

/**
 * struct doc_path - path of a value in a document, linked up to the root
 * @parent: path of the enclosing object or array, NULL for the root
 * @key: key in an object, NULL for an array element
 * @index: index in an array, DOC_PATH_NO_INDEX for a member of an object
 */
struct doc_path {
	const struct doc_path *parent;
	const char *key;
	uint32_t index;
};

/**
 * struct problems - problems and warnings found so far
 * @list: the first BUNDLE_MAX_PROBLEMS problems, struct bundle_problem
 * @warnings: the first BUNDLE_MAX_PROBLEMS warnings, struct bundle_problem
 * @n_found: total number of problems
 * @n_warned: total number of warnings
 */
struct problems {
	GPtrArray *list;
	GPtrArray *warnings;
	uint32_t n_found;
	uint32_t n_warned;
};

/** problems_init() - initialize without problems */
void problems_init(struct problems *p);

/** problems_clear() - free the lists */
void problems_clear(struct problems *p);

/**
 * problems_add() - record a problem
 * @p: problems
 * @at: path of the value
 * @remedy: how to correct the value
 * @fmt: printf format of the description
 */
void
problems_add(struct problems *p, const struct doc_path *at, const char *remedy,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/** problems_warn() - record a warning; parameters as for problems_add() */
void
problems_warn(struct problems *p, const struct doc_path *at, const char *remedy,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * problems_summary() - format the first problems or warnings as one text
 * @list: struct bundle_problem
 * @n_found: total number, including those not in @list
 *
 * Return: new text; free with g_free().
 */
char *problems_summary(const GPtrArray *list, uint32_t n_found);

#endif
