/*
 * Bundles: what operators write.  Parses and checks the JSON, finds all that
 * is wrong with it at once, and cuts it in sections.
 */
#ifndef CONFIG_BUNDLE_H
#define CONFIG_BUNDLE_H

#include <glib.h>

#include "config/section.h"

/* Largest bundle, and how deep it may nest. */
#define BUNDLE_MAX_BYTES (UINT64_C(64) << 20)
#define BUNDLE_MAX_DEPTH 8

/* Problems that are reported; the others are only counted. */
#define BUNDLE_MAX_PROBLEMS 100

#define BUNDLE_FORMAT 1
#define BUNDLE_NAME_BYTES 64

/**
 * struct bundle_problem - one thing that is wrong with a bundle, or doubtful
 * @path: where, for instance "services[3].limits.queue_wait_ms"
 * @message: what is wrong
 * @remedy: what to do
 */
struct bundle_problem {
	char *path;
	char *message;
	char *remedy;
};

/**
 * struct bundle - a checked bundle
 * @name: name of the bundle
 * @sections: struct section, sorted by name
 * @problems: struct bundle_problem; empty when the bundle is good
 * @n_problems: number of problems found, those not reported included
 * @warnings: struct bundle_problem: what is run all the same, for instance a
 *	number beyond its range as the range's end
 * @n_warnings: number of warnings, those not reported included
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
 * bundle_parse() - read and check a bundle
 * @json: first byte
 * @len: number of bytes
 * @bundle: where the bundle goes, also when it is bad (then it has problems
 * and no sections); the caller frees it with bundle_free()
 *
 * Return: STATUS_OK, STATUS_INVALID or STATUS_TOO_LARGE; the last message
 * lists the first problems.
 */
enum status bundle_parse(const char *json, size_t len, struct bundle **bundle);

/**
 * bundle_warnings() - the first warnings as one text
 * @bundle: the bundle
 *
 * Return: new text, empty without a warning; free with g_free().
 */
char *bundle_warnings(const struct bundle *bundle);

/** bundle_free() - free a bundle with its sections; NULL is fine */
void bundle_free(struct bundle *bundle);

/**
 * bundle_section_list() - the sections of a good bundle
 * @bundle: the bundle
 * @list: where a new array of struct rec_section_ref goes, sorted by name
 * @root: where the root goes
 *
 * The contents are in @bundle->sections, in the same order.
 */
void bundle_section_list(
    const struct bundle *bundle, GArray **list, struct digest *root);

#endif
