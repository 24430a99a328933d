/*
 * Bundles: the JSON configuration that operators write.  Parses and validates
 * a bundle, reports all of its problems at once, and splits it into sections.
 */
#ifndef CONFIG_BUNDLE_H
#define CONFIG_BUNDLE_H

#include <glib.h>

#include "config/section.h"

struct catalog;

/* Largest bundle and its deepest nesting. */
#define BUNDLE_MAX_BYTES (UINT64_C(64) << 20)
#define BUNDLE_MAX_DEPTH 8

/* Problems that are reported with a text; further ones are only counted. */
#define BUNDLE_MAX_PROBLEMS 100

#define BUNDLE_FORMAT 1
#define BUNDLE_NAME_BYTES 64

/**
 * struct bundle_problem - an error or a warning about a bundle
 * @path: JSON path, for instance "services[3].limits.queue_wait_ms"
 * @message: description of the problem
 * @remedy: how to correct the bundle
 */
struct bundle_problem {
	char *path;
	char *message;
	char *remedy;
};

/**
 * struct bundle - a parsed and validated bundle
 * @name: name of the bundle
 * @sections: struct section, sorted by name
 * @problems: struct bundle_problem; empty when the bundle is valid
 * @n_problems: number of problems found, including those not reported
 * @warnings: struct bundle_problem; they don't make the bundle invalid, for
 *	instance a number above its range, which is replaced by the maximum
 * @n_warnings: number of warnings, including those not reported
 * @root: digest of the list of sections
 */
struct bundle {
	char name[BUNDLE_NAME_BYTES];
	GPtrArray *sections;
	GPtrArray *problems;
	uint32_t n_problems;
	GPtrArray *warnings;
	uint32_t n_warnings;
	struct digest root;
};

/**
 * bundle_parse() - parse and validate a bundle
 * @json: first byte of the text
 * @len: length of the text in bytes
 * @bundle: receives the bundle; an invalid bundle has problems and no
 * sections; the caller frees it with bundle_free() in either case
 *
 * Return: STATUS_OK, STATUS_INVALID or STATUS_TOO_LARGE; on failure
 * status_message() lists the first problems.
 */
enum status bundle_parse(const char *json, size_t len, struct bundle **bundle);

/**
 * bundle_warnings() - format the first warnings as one text
 * @bundle: the bundle
 *
 * Return: new text, empty if there are no warnings; free with g_free().
 */
char *bundle_warnings(const struct bundle *bundle);

/** bundle_from_catalog() - bundle with the content of a catalog's current
 * version; free with bundle_free() */
struct bundle *bundle_from_catalog(const struct catalog *c);

/** bundle_n_services() - number of services of a valid bundle */
uint32_t bundle_n_services(const struct bundle *bundle);

/** bundle_free() - free a bundle and its sections; accepts NULL */
void bundle_free(struct bundle *bundle);

/**
 * bundle_section_list() - list the sections of a valid bundle
 * @bundle: the bundle
 * @list: receives a new array of struct rec_section_ref, sorted by name
 * @root: receives the digest of the list
 *
 * The contents are in @bundle->sections, in the same order.
 */
void bundle_section_list(
    const struct bundle *bundle, GArray **list, struct digest *root);

#endif
