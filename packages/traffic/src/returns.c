/*
 * Table of refused requests by fingerprint, in order of their refusal.
 */
#include "traffic/returns.h"

#include <glib.h>

#include "base/hash.h"

/* A service refuses requests until this long after the last refusal. */
#define SHORT_MS 250
/* Callers' clocks and the way to the entry make returns slightly early. */
#define TOLERANCE_MS 20
/* Time after which a refused request is forgotten. */
#define KEPT_MS 2000
/* Maximum number of refused requests, some 80 bytes each; the oldest are
 * dropped. */
#define RETURNS_MAX 4096
#define PRINT_SEED 7

/**
 * struct awaited - a refused request
 * @key: hash of its fingerprint
 * @return_ms: monotonic time at which its caller may come back
 * @refused_ms: monotonic time of its refusal
 */
struct awaited {
	uint64_t key;
	uint64_t return_ms;
	uint64_t refused_ms;
};

/**
 * struct returns - see traffic/returns.h
 * @by_key: key -> struct awaited, the latest of its key
 * @queue: struct awaited in order of their refusal, owned
 * @services: service -> monotonic time of its last refusal
 */
struct returns {
	GHashTable *by_key;
	GQueue queue;
	GHashTable *services;
};

struct returns *
returns_new(void)
{
	struct returns *t = g_new0(struct returns, 1);

	t->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&t->queue);
	t->services =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return t;
}

void
returns_free(struct returns *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->by_key);
	g_queue_clear_full(&t->queue, g_free);
	g_hash_table_destroy(t->services);
	g_free(t);
}

static void
drop_oldest(struct returns *t)
{
	struct awaited *a = g_queue_pop_head(&t->queue);

	if (g_hash_table_lookup(t->by_key, &a->key) == a)
		(void)g_hash_table_remove(t->by_key, &a->key);
	g_free(a);
}

static void
expire(struct returns *t, uint64_t now_ms)
{
	const struct awaited *a;

	while ((a = g_queue_peek_head(&t->queue)) != NULL &&
	    (a->refused_ms + KEPT_MS <= now_ms ||
		t->queue.length > RETURNS_MAX))
		drop_oldest(t);
}

static uint64_t
key_of(const struct fingerprint *print)
{
	return hash64(print, sizeof(*print), PRINT_SEED);
}

static void
set_last_refusal(struct returns *t, uint64_t service, uint64_t now_ms)
{
	uint64_t *last = g_hash_table_lookup(t->services, &service);
	uint64_t *id;

	if (last == NULL) {
		id = g_new(uint64_t, 1);
		last = g_new(uint64_t, 1);
		*id = service;
		g_hash_table_insert(t->services, id, last);
	}
	*last = now_ms;
}

void
returns_refused(struct returns *t, uint64_t service,
    const struct fingerprint *print, uint64_t return_ms, uint64_t now_ms)
{
	struct awaited *a = g_new(struct awaited, 1);

	a->key = key_of(print);
	a->return_ms = return_ms;
	a->refused_ms = now_ms;
	g_queue_push_tail(&t->queue, a);
	(void)g_hash_table_replace(t->by_key, &a->key, a);
	set_last_refusal(t, service, now_ms);
	expire(t, now_ms);
}

uint64_t
returns_early_ms(struct returns *t, uint64_t service,
    const struct fingerprint *print, uint64_t now_ms)
{
	const uint64_t *last = g_hash_table_lookup(t->services, &service);
	uint64_t key = key_of(print);
	const struct awaited *a;

	expire(t, now_ms);
	a = g_hash_table_lookup(t->by_key, &key);
	if (a == NULL || last == NULL || *last + SHORT_MS <= now_ms ||
	    a->return_ms <= now_ms + TOLERANCE_MS)
		return 0;
	return a->return_ms - now_ms;
}

bool
returns_is_empty(const struct returns *t, uint64_t now_ms)
{
	const struct awaited *last =
	    t->queue.tail != NULL ? t->queue.tail->data : NULL;

	return last == NULL || last->refused_ms + KEPT_MS <= now_ms;
}
