/*
 * Reading a bundle's JSON into drafts of sections.
 */
#ifndef CONFIG_BUNDLE_READ_H
#define CONFIG_BUNDLE_READ_H

#include <jansson.h>

#include "config/bundle_build.h"
#include "problems.h"
#include "proto/messages.h"
#include "rules.h"

/**
 * struct draft - a service being read
 * @m: its numbers and name; the routes are in @routes until the end
 * @routes: struct rec_section_route
 */
struct draft {
	struct msg_section m;
	GArray *routes;
};

/**
 * struct bundle_reader - state of reading
 * @p: problems so far
 * @name: name of the bundle
 * @drafts: struct draft, in order of the bundle
 * @by_name: name of a service to its draft; borrowed
 * @claims: prefix to struct claim: which route claims which method
 */
struct bundle_reader {
	struct problems *p;
	char name[BUNDLE_NAME_BYTES];
	GPtrArray *drafts;
	GHashTable *by_name;
	GHashTable *claims;
};

/** bundle_reader_init() - start reading; @p must outlive the reader */
void bundle_reader_init(struct bundle_reader *r, struct problems *p);

/** bundle_reader_clear() - free what the reader holds */
void bundle_reader_clear(struct bundle_reader *r);

/**
 * bundle_read_number() - a number as it is told
 * @r: the reader
 * @key: its key
 * @object: where it is read from
 * @at: place of @object
 *
 * Return: the number, or BUNDLE_NUMBER_OMITTED.
 */
int64_t bundle_read_number(struct bundle_reader *r, const char *key,
    json_t *object, const struct doc_path *at);

/** bundle_read() - read a whole bundle, noting all problems */
void bundle_read(struct bundle_reader *r, json_t *root);

/** bundle_read_name() - read the name of the bundle */
void bundle_read_name(struct bundle_reader *r, const char *name);

/** bundle_count_services() - note too few or too many services; whether there
 * aren't too many to be read */
bool bundle_count_services(
    struct bundle_reader *r, size_t n, const struct doc_path *at);

/** bundle_read_service() - read one service */
void bundle_read_service(
    struct bundle_reader *r, json_t *service, const struct doc_path *at);

/** bundle_add_route() - take one route, once the services are known; what is
 * NULL of it was missing and is noted already */
void bundle_add_route(struct bundle_reader *r, const struct bundle_route *route,
    const struct doc_path *at);

/**
 * bundle_reader_end() - the bundle that was read, or what is wrong with it
 * @r: the reader, and its problems; left empty, to be cleared still
 * @st: how the reading ended
 * @bundle: as for bundle_parse()
 *
 * Return: as bundle_parse().
 */
enum status bundle_reader_end(
    struct bundle_reader *r, enum status st, struct bundle **bundle);

/** bundle_read_routes() - read the routes, once the services are known */
void bundle_read_routes(
    struct bundle_reader *r, json_t *routes, const struct doc_path *at);

/** json_check_keys() - note keys that are not in a list ended by NULL */
void json_check_keys(json_t *object, const char *const *known,
    const struct doc_path *at, struct problems *p);

/** json_require_string() - a member that must be text, or NULL with a problem
 * noted */
const char *json_require_string(json_t *object, const char *key,
    const struct doc_path *at, struct problems *p);

/** json_require_array() - a member that must be a list, or NULL with a problem
 * noted */
json_t *json_require_array(json_t *object, const char *key,
    const struct doc_path *at, struct problems *p);

#endif
