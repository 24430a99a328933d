/*
 * Reference-counted store of section contents, by digest.
 */
#ifndef CONFIG_CONTENTS_H
#define CONFIG_CONTENTS_H

#include <glib.h>

#include "base/hash.h"

struct contents;

/** contents_new() - create an empty store */
struct contents *contents_new(void);

/** contents_free() - free a store */
void contents_free(struct contents *cs);

/** contents_get() - find a content by digest; owned by the store, or NULL */
GBytes *contents_get(const struct contents *cs, const struct digest *digest);

/**
 * contents_ref() - add a reference to a content
 * @cs: store
 * @digest: digest of the content
 * @content: the content, added if the store lacks it; else may be NULL
 */
void
contents_ref(struct contents *cs, const struct digest *digest, GBytes *content);

/** contents_unref() - drop a reference; the last one removes the content */
void contents_unref(struct contents *cs, const struct digest *digest);

/** contents_bytes() - estimated memory use in bytes */
uint64_t contents_bytes(const struct contents *cs);

/** digest_hash() - GHashFunc of a struct digest */
guint digest_hash(gconstpointer key);

/** digest_equal() - GEqualFunc of a struct digest */
gboolean digest_equal(gconstpointer a, gconstpointer b);

#endif
