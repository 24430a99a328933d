/*
 * Sections: a service with its routes, or with a part of them, in canonical
 * msgpack, named by SHA-256.  Lists of sections, whose digest is the root of a
 * version.
 */
#ifndef CONFIG_SECTION_H
#define CONFIG_SECTION_H

#include <glib.h>

#include "config/service.h"

/*
 * Largest section: about 400 routes with hosts and prefixes of usual length.
 * A change of one route has a node decode this much; each section costs 100
 * bytes in the list of a version.
 */
#define SECTION_MAX_BYTES 32768

/* Largest sum of the sections of one version: 57,000 routes of usual length
 * take 3 MiB, with the longest hosts and prefixes 24. */
#define CONFIG_MAX_BYTES (UINT64_C(32) << 20)

/* Most sections of one version. */
#define CONFIG_MAX_SECTIONS 16384

struct rec_section_change;
struct rec_section_ref;

/**
 * struct section - the content of one section and what it says
 * @config: the service; a reference is held
 * @content: canonical msgpack; @config->digest is its digest
 */
struct section {
	struct service_config *config;
	GBytes *content;
};

/**
 * section_decode() - check and read a section
 * @data: first byte, as it came from a peer or from the platform
 * @len: number of bytes
 * @config: where the service goes; the caller owns a reference
 *
 * Everything that sign-off checks within one service is checked again, and
 * so is the encoding: a content that is not canonical is refused.
 *
 * Return: STATUS_OK, STATUS_INVALID or STATUS_TOO_LARGE.
 */
enum status
section_decode(const uint8_t *data, size_t len, struct service_config **config);

/** section_name_valid() - whether a text names a section */
bool section_name_valid(const char *name);

/**
 * section_name_covers() - whether the routes of one section include another's
 * @upper: name of a section
 * @lower: name of another one
 */
bool section_name_covers(const char *upper, const char *lower);

/**
 * section_changes() - what differs between two lists
 * @from: earlier list of struct rec_section_ref, sorted by name
 * @to: later list of struct rec_section_ref, sorted by name
 *
 * Return: new array of struct rec_section_change, sorted by name; free
 * with g_array_unref().
 */
GArray *section_changes(const GArray *from, const GArray *to);

/**
 * section_list_apply() - a list after some changes
 * @from: list of struct rec_section_ref, sorted by name
 * @changes: first of the changes, sorted by name
 * @n_changes: number of changes
 *
 * Return: new array of struct rec_section_ref, sorted by service.
 */
GArray *section_list_apply(const GArray *from,
    const struct rec_section_change *changes, uint32_t n_changes);

/**
 * section_list_encode() - canonical content of a list
 * @list: struct rec_section_ref, sorted by name
 * @root: where the digest of the content goes; NULL when not wanted
 *
 * Return: the content, as stored under "root/<hex of @root>".
 */
GBytes *section_list_encode(const GArray *list, struct digest *root);

/**
 * section_list_decode() - check and read a list
 * @data: first byte
 * @len: number of bytes
 * @root: the digest that it must have
 * @list: where a new array of struct rec_section_ref goes
 *
 * Return: STATUS_OK, or STATUS_INVALID when the content has another digest,
 * is not sorted, names a section twice or is not a list.
 */
enum status section_list_decode(
    const uint8_t *data, size_t len, const struct digest *root, GArray **list);

/**
 * section_list_valid() - whether a list is sorted and well named
 * @list: struct rec_section_ref
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status section_list_valid(const GArray *list);

/**
 * section_changes_valid() - whether changes are sorted and well named
 * @changes: first of the changes
 * @n_changes: number of changes
 *
 * Return: STATUS_OK or STATUS_INVALID.
 */
enum status section_changes_valid(
    const struct rec_section_change *changes, uint32_t n_changes);

#endif
