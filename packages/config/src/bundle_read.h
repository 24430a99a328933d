/*
 * Reads the JSON of a bundle into drafts of sections.
 */
#ifndef CONFIG_BUNDLE_READ_H
#define CONFIG_BUNDLE_READ_H

#include <jansson.h>

#include "config/bundle_build.h"
#include "problems.h"
#include "proto/messages.h"
#include "rules.h"

/**
 * struct draft - a service while the bundle is read
 * @m: name and numbers; the routes are in @routes until the bundle is complete
 * @routes: struct rec_section_route
 */
struct draft {
	struct msg_section m;
	GArray *routes;
};

/**
 * struct bundle_reader - state while a bundle is read
 * @p: problems found so far
 * @name: name of the bundle
 * @texts: hosts and prefixes of the routes
 * @drafts: struct draft, in the order of the bundle
 * @by_name: maps the name of a service to its draft; borrowed
 * @claims: maps host and prefix to struct claim: which route claims which
 *	method
 * @customers: struct rec_section_customer without keys; NULL without a table
 *	of customers
 * @customer_keys: GByteArray of the digests of each customer's keys, sorted
 * @customer_names: names of the customers
 * @key_holders: maps the digest of a key to the index of its customer plus 1
 */
struct bundle_reader {
	struct problems *p;
	char name[BUNDLE_NAME_BYTES];
	GStringChunk *texts;
	GPtrArray *drafts;
	GHashTable *by_name;
	GHashTable *claims;
	GArray *customers;
	GPtrArray *customer_keys;
	GHashTable *customer_names;
	GHashTable *key_holders;
};

/** bundle_reader_init() - initialize a reader; @p must outlive it */
void bundle_reader_init(struct bundle_reader *r, struct problems *p);

/** bundle_reader_clear() - free the contents of a reader */
void bundle_reader_clear(struct bundle_reader *r);

/**
 * bundle_read_number() - read an integer member without a range check
 * @r: the reader
 * @key: key of the member
 * @object: object that contains the member
 * @at: path of @object
 *
 * Return: the number, or BUNDLE_NUMBER_OMITTED.
 */
int64_t bundle_read_number(struct bundle_reader *r, const char *key,
    json_t *object, const struct doc_path *at);

/** bundle_read() - read a complete bundle and record all problems */
void bundle_read(struct bundle_reader *r, json_t *root);

/** bundle_read_name() - read the name of the bundle */
void bundle_read_name(struct bundle_reader *r, const char *name);

/** bundle_count_services() - record a problem if there are no services or too
 * many; Return: false if there are too many to read */
bool bundle_count_services(
    struct bundle_reader *r, size_t n, const struct doc_path *at);

/** bundle_read_service() - read one service */
void bundle_read_service(
    struct bundle_reader *r, json_t *service, const struct doc_path *at);

/** bundle_add_route() - add one route after the services were read; a prefix or
 * service that is NULL was missing and is recorded as a problem already */
void bundle_add_route(struct bundle_reader *r, const struct bundle_route *route,
    const struct doc_path *at);

/**
 * bundle_reader_end() - build the bundle or report its problems
 * @r: the reader; the caller still clears it
 * @st: status of reading
 * @bundle: as for bundle_parse()
 *
 * Return: as bundle_parse().
 */
enum status bundle_reader_end(
    struct bundle_reader *r, enum status st, struct bundle **bundle);

/** bundle_read_routes() - read the routes after the services were read */
void bundle_read_routes(
    struct bundle_reader *r, json_t *routes, const struct doc_path *at);

/* bundle_customers.c */

/** bundle_customers_init() - initialize without a table of customers */
void bundle_customers_init(struct bundle_reader *r);

/** bundle_customers_clear() - free the customers of a reader */
void bundle_customers_clear(struct bundle_reader *r);

/** bundle_begin_customers() - the bundle has a table of customers, which may be
 * empty */
void bundle_begin_customers(struct bundle_reader *r);

/** bundle_add_customer() - add a customer; a name that is NULL was missing and
 * is recorded as a problem already */
void bundle_add_customer(struct bundle_reader *r,
    const struct bundle_customer *customer, const struct doc_path *at);

/** bundle_read_customers() - read the list of customers */
void bundle_read_customers(
    struct bundle_reader *r, json_t *customers, const struct doc_path *at);

/** bundle_split_customers() - append the sections of the table of customers */
void bundle_split_customers(const struct bundle_reader *r, GPtrArray *sections);

/** json_check_keys() - record keys that are not in a NULL-terminated list */
void json_check_keys(json_t *object, const char *const *known,
    const struct doc_path *at, struct problems *p);

/** json_require_string() - value of a string member, or NULL with a problem
 * recorded */
const char *json_require_string(json_t *object, const char *key,
    const struct doc_path *at, struct problems *p);

/** json_require_array() - an array member, or NULL with a problem recorded */
json_t *json_require_array(json_t *object, const char *key,
    const struct doc_path *at, struct problems *p);

#endif
