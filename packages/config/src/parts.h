/*
 * Parts of a service whose routes don't fit into one section.
 *
 * The routes of a service are distributed over a binary trie by a hash of their
 * host and prefix.  Each leaf is a section; a leaf that would exceed
 * SECTION_MAX_BYTES is split in two.  The parts depend only on the routes, so
 * every node computes the same ones.  Adding or removing a route changes one
 * section and at most splits it or merges it with its neighbours.  The number
 * of routes of a service is bounded only by the whole configuration.
 */
#ifndef CONFIG_PARTS_H
#define CONFIG_PARTS_H

#include <glib.h>

#include "config/section.h"
#include "problems.h"
#include "proto/messages.h"

/* Longest name of a part: 2^24 leaves, far more than a configuration can
 * have. */
#define PART_BITS_MAX 24

/**
 * parts_split() - split a service into sections
 * @m: the service with all of its routes; no part is named
 * @sections: array of struct section, to which the new ones are appended in
 * order of their names
 */
void parts_split(struct msg_section *m, GPtrArray *sections);

/**
 * part_check() - record an invalid part name and routes of other parts
 * @m: one section
 * @p: receives problems
 */
void part_check(const struct msg_section *m, struct problems *p);

/**
 * part_section_name() - compose the name of a section
 * @service: name of the service
 * @part: name of the part, empty for the whole service
 * @out: buffer of SECTION_NAME_BYTES
 */
void part_section_name(const char *service, const char *part, char *out);

/**
 * part_parent() - name of the section from which a part was split
 * @section: name of a section; replaced by the parent's
 *
 * Return: false if the section has no parent, since it has all routes of its
 * service.
 */
bool part_parent(char *section);

#endif
