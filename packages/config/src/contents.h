/*
 * Contents of sections by digest, with a count of who needs each.
 */
#ifndef CONFIG_CONTENTS_H
#define CONFIG_CONTENTS_H

#include <glib.h>

#include "base/hash.h"

struct contents;

/** contents_new() - an empty store */
struct contents *contents_new(void);

/** contents_free() - free a store */
void contents_free(struct contents *cs);

/** contents_get() - a content by digest, owned by the store, or NULL */
GBytes *contents_get(const struct contents *cs, const struct digest *digest);

/**
 * contents_ref() - need a content once more
 * @cs: store
 * @digest: its digest
 * @content: the content, taken in if it is not there; may be NULL if it is
 */
void
contents_ref(struct contents *cs, const struct digest *digest, GBytes *content);

/** contents_unref() - need a content once less; the last one drops it */
void contents_unref(struct contents *cs, const struct digest *digest);

/** contents_bytes() - memory taken, near enough */
uint64_t contents_bytes(const struct contents *cs);

/** digest_hash() - GHashFunc of a struct digest */
guint digest_hash(gconstpointer key);

/** digest_equal() - GEqualFunc of a struct digest */
gboolean digest_equal(gconstpointer a, gconstpointer b);

#endif
