/*
 * Token buckets by key.  Keys are in a queue by last use, so that the least
 * recently used key is removed first; a removed key starts again with a full
 * bucket.
 */
#include "traffic/rate_limit.h"

#include <glib.h>

#define MS_PER_S 1000
#define TOKEN 1000

/**
 * struct bucket - token bucket of one key
 * @key: the key
 * @tokens: saved tokens, in parts of TOKEN
 * @refilled_ms: monotonic time of the last refill
 * @link: node in rate_limit.by_use
 */
struct bucket {
	uint64_t key;
	uint64_t tokens;
	uint64_t refilled_ms;
	GList *link;
};

/**
 * struct rate_limit - see traffic/rate_limit.h
 * @buckets: key -> struct bucket
 * @by_use: buckets, least recently used first
 * @keys_max: maximum number of keys
 */
struct rate_limit {
	GHashTable *buckets;
	GQueue by_use;
	size_t keys_max;
};

struct rate_limit *
rate_limit_new(size_t keys_max)
{
	struct rate_limit *r;

	r = g_new0(struct rate_limit, 1);
	r->buckets =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&r->by_use);
	r->keys_max = MAX(keys_max, 1);
	return r;
}

void
rate_limit_free(struct rate_limit *r)
{
	if (r == NULL)
		return;
	g_queue_clear(&r->by_use);
	g_hash_table_destroy(r->buckets);
	g_free(r);
}

static struct bucket *
add(struct rate_limit *r, uint64_t key, uint32_t burst, uint64_t now_ms)
{
	struct bucket *b;

	if (g_hash_table_size(r->buckets) >= r->keys_max) {
		b = g_queue_pop_head(&r->by_use);
		g_hash_table_remove(r->buckets, &b->key);
	}
	b = g_new0(struct bucket, 1);
	b->key = key;
	b->tokens = (uint64_t)burst * TOKEN;
	b->refilled_ms = now_ms;
	g_hash_table_insert(r->buckets, &b->key, b);
	g_queue_push_tail(&r->by_use, b);
	b->link = g_queue_peek_tail_link(&r->by_use);
	return b;
}

static struct bucket *
use(struct rate_limit *r, uint64_t key, uint32_t burst, uint64_t now_ms)
{
	struct bucket *b;

	b = g_hash_table_lookup(r->buckets, &key);
	if (b == NULL)
		return add(r, key, burst, now_ms);
	g_queue_unlink(&r->by_use, b->link);
	g_queue_push_tail_link(&r->by_use, b->link);
	return b;
}

/* At one call per second a bucket gains one part (of TOKEN) per millisecond. */
static void
refill(struct bucket *b, uint32_t per_s, uint32_t burst, uint64_t now_ms)
{
	uint64_t gone_ms;

	if (now_ms <= b->refilled_ms)
		return;
	gone_ms = MIN(now_ms - b->refilled_ms, UINT32_MAX);
	b->tokens += gone_ms * per_s * TOKEN / MS_PER_S;
	b->tokens = MIN(b->tokens, (uint64_t)burst * TOKEN);
	b->refilled_ms = now_ms;
}

bool
rate_limit_take(struct rate_limit *r, uint64_t key, uint32_t per_s,
    uint32_t burst, uint64_t now_ms, uint64_t *retry_after_ms)
{
	struct bucket *b;

	*retry_after_ms = 0;
	if (per_s == 0)
		return true;
	burst = MAX(burst, 1);
	b = use(r, key, burst, now_ms);
	refill(b, per_s, burst, now_ms);
	if (b->tokens >= TOKEN) {
		b->tokens -= TOKEN;
		return true;
	}
	*retry_after_ms = (TOKEN - b->tokens + per_s - 1) / per_s;
	return false;
}
