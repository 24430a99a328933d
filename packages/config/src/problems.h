/*
 * Problems found in a bundle or a section, and where.  A problem is what a
 * node could not run as it is meant; a warning is what it runs all the same.
 */
#ifndef CONFIG_PROBLEMS_H
#define CONFIG_PROBLEMS_H

#include <stdint.h>

#include <glib.h>

/* Index of a place that is named by a key. */
#define DOC_PATH_NO_INDEX UINT32_MAX

/**
 * struct doc_path - a place in a document, as a chain up to its root
 * @parent: what it is part of, NULL for the root
 * @key: its key in an object, NULL for an element of a list
 * @index: its index in a list, DOC_PATH_NO_INDEX for a member of an object
 */
struct doc_path {
	const struct doc_path *parent;
	const char *key;
	uint32_t index;
};

/**
 * struct problems - problems found so far
 * @list: struct bundle_problem, the first BUNDLE_MAX_PROBLEMS
 * @warnings: the same of warnings
 * @n_found: number of all problems
 * @n_warned: number of all warnings
 */
struct problems {
	GPtrArray *list;
	GPtrArray *warnings;
	uint32_t n_found;
	uint32_t n_warned;
};

/** problems_init() - none so far */
void problems_init(struct problems *p);

/** problems_clear() - free the lists */
void problems_clear(struct problems *p);

/**
 * problems_add() - note a problem
 * @p: problems
 * @at: where
 * @remedy: what to do
 * @fmt: printf format: what is wrong
 */
void
problems_add(struct problems *p, const struct doc_path *at, const char *remedy,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/** problems_warn() - note a warning; as problems_add() */
void
problems_warn(struct problems *p, const struct doc_path *at, const char *remedy,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * problems_summary() - the first problems or warnings as one text
 * @list: struct bundle_problem
 * @n_found: number of all, those not listed included
 *
 * Return: new text; free with g_free().
 */
char *problems_summary(const GPtrArray *list, uint32_t n_found);

#endif
