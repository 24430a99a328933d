/*
 * Sections: a service with all or a part of its routes, encoded as canonical
 * msgpack and identified by the SHA-256 digest of the encoding.  The digest of
 * the list of all sections is the root of a version.
 */
#ifndef CONFIG_SECTION_H
#define CONFIG_SECTION_H

#include <glib.h>

#include "config/service.h"

/*
 * Size above which a section is split: about 400 routes with hosts and prefixes
 * of usual length.  A node decodes up to this many bytes to change one route;
 * each section adds 100 bytes to the list of a version.
 */
#define SECTION_MAX_BYTES 32768

/* Largest section that is decoded: routes of one host and prefix, which can't
 * be split, a route for each method, with the longest texts. */
#define SECTION_DECODE_MAX_BYTES (UINT32_C(512) << 10)

/* Largest sum of the sections of one version: 57,000 routes take 3 MiB with
 * hosts and prefixes of usual length, 24 MiB with the longest ones. */
#define CONFIG_MAX_BYTES (UINT64_C(32) << 20)

/* Most sections of one version. */
#define CONFIG_MAX_SECTIONS 16384

struct rec_section_change;
struct rec_section_ref;

/**
 * struct section - a section in encoded and decoded form
 * @config: decoded service; a reference is held
 * @content: canonical msgpack; @config->digest is its digest
 */
struct section {
	struct service_config *config;
	GBytes *content;
};

/**
 * section_decode() - decode and validate a section
 * @data: first byte, as received from a peer or from the platform
 * @len: number of bytes
 * @config: receives the service; the caller owns a reference
 *
 * Repeats all checks within one service that sign-off makes, and rejects a
 * content that is not in canonical encoding.
 *
 * Return: STATUS_OK, STATUS_INVALID or STATUS_TOO_LARGE.
 */
enum status
section_decode(const uint8_t *data, size_t len, struct service_config **config);

/** section_name_valid() - whether a text is a valid section name */
bool section_name_valid(const char *name);

/**
 * section_name_covers() - whether one section's part contains another's
 * @upper: name of a section
 * @lower: name of another section
 */
bool section_name_covers(const char *upper, const char *lower);

/**
 * section_changes() - changes between two lists
 * @from: earlier list of struct rec_section_ref, sorted by name
 * @to: later list of struct rec_section_ref, sorted by name
 *
 * Return: new array of struct rec_section_change, sorted by name; free
 * with g_array_unref().
 */
GArray *section_changes(const GArray *from, const GArray *to);

/**
 * section_list_apply() - apply changes to a list
 * @from: list of struct rec_section_ref, sorted by name
 * @changes: first of the changes, sorted by name
 * @n_changes: number of changes
 *
 * Return: new array of struct rec_section_ref, sorted by name.
 */
GArray *section_list_apply(const GArray *from,
    const struct rec_section_change *changes, uint32_t n_changes);

/**
 * section_list_encode() - encode a list canonically
 * @list: struct rec_section_ref, sorted by name
 * @root: receives the digest of the content; may be NULL
 *
 * Return: the content, as stored under "root/<hex of @root>".
 */
GBytes *section_list_encode(const GArray *list, struct digest *root);

/**
 * section_list_decode() - decode and validate a list
 * @data: first byte
 * @len: number of bytes
 * @root: expected digest of the content
 * @list: receives a new array of struct rec_section_ref
 *
 * Return: STATUS_OK, or STATUS_INVALID if the content has another digest, is
 * not sorted, names a section twice or is not a list.
 */
enum status section_list_decode(
    const uint8_t *data, size_t len, const struct digest *root, GArray **list);

/**
 * section_list_valid() - check the names and the order of a list
 * @list: struct rec_section_ref
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status section_list_valid(const GArray *list);

/**
 * section_changes_valid() - check the names and the order of changes
 * @changes: first of the changes
 * @n_changes: number of changes
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status section_changes_valid(
    const struct rec_section_change *changes, uint32_t n_changes);

#endif
