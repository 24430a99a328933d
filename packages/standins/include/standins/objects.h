/*
 * In-memory object store of the stand-in platform, behind a subset of the S3
 * REST protocol with path-style requests.  It has one bucket, "bramley".  Not
 * thread-safe; the caller holds a lock.
 */
#ifndef STANDINS_OBJECTS_H
#define STANDINS_OBJECTS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define OBJECTS_BUCKET "bramley"

struct objects;

/** enum objects_result - outcome of an operation */
enum objects_result {
	OBJECTS_OK,
	OBJECTS_NO_KEY,
	OBJECTS_EXISTS,
};

/** objects_new() - create an empty store */
struct objects *objects_new(void);

/** objects_copy() - copy a store; free with objects_free() */
struct objects *objects_copy(const struct objects *o);

/** objects_free() - free a store and its objects */
void objects_free(struct objects *o);

/** objects_count() - number of objects */
size_t objects_count(const struct objects *o);

/** objects_bytes() - total size of the objects in bytes */
uint64_t objects_bytes(const struct objects *o);

/**
 * objects_put() - store an object
 * @o: the store
 * @key: key of the object; copied
 * @data: content of the object; a reference is kept
 * @if_none_match: fail if the key exists ("If-None-Match: *")
 *
 * Return: OBJECTS_OK or OBJECTS_EXISTS.
 */
enum objects_result objects_put(
    struct objects *o, const char *key, GBytes *data, int if_none_match);

/**
 * objects_get() - read an object
 * @o: the store
 * @key: key of the object
 * @data: set to a new reference to the content
 *
 * Return: OBJECTS_OK or OBJECTS_NO_KEY.
 */
enum objects_result
objects_get(const struct objects *o, const char *key, GBytes **data);

#endif
