/*
 * Parts of a service whose routes don't fit one section.
 *
 * The routes of a service are spread over a binary trie by a hash of what they
 * match.  A leaf is a section; one that would be larger than SECTION_MAX_BYTES
 * is split in two.  So which parts there are follows from the routes alone,
 * whoever cuts them; a route that is added or taken out touches one section,
 * and splits or joins leaves beside it at most; and how many routes a service
 * may have is bounded by the whole configuration only.
 */
#ifndef CONFIG_PARTS_H
#define CONFIG_PARTS_H

#include <glib.h>

#include "config/section.h"
#include "problems.h"
#include "proto/messages.h"

/* Longest name of a part: 2^24 leaves, far above what the whole may hold. */
#define PART_BITS_MAX 24

/**
 * parts_split() - cut a service in sections
 * @m: the service with all its routes, which are reordered; no part is named
 * @sections: struct section; new ones are appended, in order of their names
 */
void parts_split(struct msg_section *m, GPtrArray *sections);

/**
 * part_check() - note routes that belong in another part, and a bad name
 * @m: one section
 * @p: where problems go
 */
void part_check(const struct msg_section *m, struct problems *p);

/**
 * part_section_name() - name of a part's section
 * @service: name of the service
 * @part: name of the part, empty for the whole service
 * @out: room for SECTION_NAME_BYTES
 */
void part_section_name(const char *service, const char *part, char *out);

/**
 * part_parent() - name of the section that a part was split from
 * @section: name of a section; shortened in place
 *
 * Return: whether there is one; not for a section with all routes.
 */
bool part_parent(char *section);

#endif
