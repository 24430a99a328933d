/*
 * Idempotency keys of one service at one endpoint.
 *
 * States of a key: settling (earlier homes are being queried, or a claim is in
 * progress), active (owned by a request that is to run), finished (that request
 * has ended), handed over (to another endpoint), or unknown when the key is not
 * in the table.  A request with an unknown key may run only if every process
 * that was the key's home within the window answers that no request with the
 * key ran there.
 */
#include "traffic/keyed.h"

#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "key_views.h"

#define HIGH_SEED 11
#define LOW_SEED 12

enum key_state {
	KEY_SETTLING = 0,
	KEY_ACTIVE,
	KEY_FINISHED,
	KEY_HANDED_OVER,
};

/**
 * struct entry - state of one key
 * @key: the key
 * @state: see enum key_state
 * @first: the request that has the key
 * @body: hash of that request's method, path and body
 * @changed_ms: monotonic time of the last change, for the expiry
 * @handed_to: endpoint to which the key was handed over, 0 for none
 * @handed_ms: monotonic time of the handover
 * @free_at: earlier homes that answered FREE
 * @link: node in keyed.by_changed, NULL while the key does not expire
 */
struct entry {
	struct key_id key;
	enum key_state state;
	struct request_id first;
	uint64_t body;
	uint64_t changed_ms;
	uint64_t handed_to;
	uint64_t handed_ms;
	GArray *free_at;
	GList *link;
};

/**
 * struct keyed - see traffic/keyed.h
 * @cfg: limits and mode
 * @self: the own endpoint
 * @created_ms: monotonic time at which the table was created
 * @entries: struct key_id -> struct entry
 * @by_changed: finished and handed-over keys, which expire, in order of their
 *	last change
 * @views: history of the service's endpoints
 */
struct keyed {
	struct keyed_config cfg;
	uint64_t self;
	uint64_t created_ms;
	GHashTable *entries;
	GQueue by_changed;
	struct key_views views;
};

const char *
keyed_verdict_name(enum keyed_verdict v)
{
	static const char *const names[] = {"run", "follow", "ask", "claim",
	    "not_home", "unsettled", "full", "other_body"};

	return (size_t)v < G_N_ELEMENTS(names) ? names[v] : "?";
}

void
key_id_make(
    struct key_id *id, uint64_t service, const void *key, size_t key_len)
{
	id->high = hash64(key, key_len, service ^ HIGH_SEED);
	id->low = hash64(key, key_len, service ^ LOW_SEED);
}

static guint
key_hash(gconstpointer data)
{
	const struct key_id *key = data;

	return (guint)key->low;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	const struct key_id *x = a, *y = b;

	return x->high == y->high && x->low == y->low;
}

static void
entry_free(gpointer data)
{
	struct entry *e = data;

	g_array_free(e->free_at, TRUE);
	g_free(e);
}

/*
 * How long views are kept, and how old this process must be to have a record of
 * each key: the window, plus the time in which another node may still have been
 * the home by a view that this node had dropped.
 */
static uint64_t
retention_ms(const struct keyed *k)
{
	return k->cfg.window_ms + k->cfg.propagation_ms;
}

struct keyed *
keyed_new(const struct keyed_config *cfg, uint64_t self, uint64_t now_ms)
{
	struct keyed *k;

	k = g_new0(struct keyed, 1);
	k->cfg = *cfg;
	k->self = self;
	k->created_ms = now_ms;
	k->entries =
	    g_hash_table_new_full(key_hash, key_equal, NULL, entry_free);
	g_queue_init(&k->by_changed);
	key_views_init(&k->views, self, retention_ms(k));
	return k;
}

void
keyed_free(struct keyed *k)
{
	if (k == NULL)
		return;
	g_queue_clear(&k->by_changed);
	key_views_clear(&k->views);
	g_hash_table_destroy(k->entries);
	g_free(k);
}

uint64_t
keyed_age_ms(const struct keyed *k, uint64_t now_ms)
{
	return now_ms - MIN(k->created_ms, now_ms);
}

static bool
is_recently_started(const struct keyed *k, uint64_t now_ms)
{
	return keyed_age_ms(k, now_ms) <= retention_ms(k);
}

void
keyed_set_view(
    struct keyed *k, const uint64_t *endpoints, size_t n, uint64_t now_ms)
{
	key_views_set(&k->views, endpoints, n, now_ms);
}

static bool
is_free_at(const struct entry *e, uint64_t endpoint)
{
	guint i;

	for (i = 0; i < e->free_at->len; i++) {
		if (g_array_index(e->free_at, uint64_t, i) == endpoint)
			return true;
	}
	return false;
}

/* The next earlier home that has not answered FREE; 0 when all have. */
static uint64_t
next_home_to_query(
    const struct keyed *k, const struct entry *e, uint64_t now_ms)
{
	uint64_t home;
	size_t i;

	if (e->handed_to != 0 && !is_free_at(e, e->handed_to))
		return e->handed_to;
	for (i = 0; key_views_home(&k->views, i, &e->key, &home); i++) {
		if (home != 0 && home != k->self && !is_free_at(e, home))
			return home;
	}
	if (!is_recently_started(k, now_ms))
		return 0;
	home = key_views_home_before(&k->views, &e->key);
	return home != 0 && !is_free_at(e, home) ? home : 0;
}

static void
cancel_expiry(struct keyed *k, struct entry *e)
{
	if (e->link != NULL)
		g_queue_delete_link(&k->by_changed, e->link);
	e->link = NULL;
}

static void
schedule_expiry(struct keyed *k, struct entry *e, uint64_t now_ms)
{
	cancel_expiry(k, e);
	e->changed_ms = now_ms;
	g_queue_push_tail(&k->by_changed, e);
	e->link = g_queue_peek_tail_link(&k->by_changed);
}

static void
activate(struct entry *e, struct keyed_decision *out)
{
	e->state = KEY_ACTIVE;
	e->handed_to = 0;
	out->verdict = KEYED_RUN;
}

static struct entry *
add_entry(struct keyed *k, const struct key_id *key, enum key_state state)
{
	struct entry *e;

	e = g_new0(struct entry, 1);
	e->key = *key;
	e->state = state;
	e->free_at = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(k->entries, &e->key, e);
	return e;
}

static void
remove_entry(struct keyed *k, struct entry *e)
{
	cancel_expiry(k, e);
	g_hash_table_remove(k->entries, &e->key);
}

/*
 * A key that was handed over stays so; any other key is removed, so that the
 * next request queries again.
 */
static void
refuse_unsettled(struct keyed *k, struct entry *e, uint64_t now_ms,
    struct keyed_decision *out)
{
	out->verdict = KEYED_UNSETTLED;
	out->retry_after_ms = retention_ms(k);
	if (e->handed_to == 0) {
		remove_entry(k, e);
		return;
	}
	e->state = KEY_HANDED_OVER;
	schedule_expiry(k, e, now_ms);
}

static void
continue_settling(struct keyed *k, struct entry *e, uint64_t now_ms,
    struct keyed_decision *out)
{
	if (k->cfg.claim_always) {
		out->verdict = KEYED_CLAIM;
		return;
	}
	out->ask = next_home_to_query(k, e, now_ms);
	if (out->ask != 0) {
		out->verdict = KEYED_ASK_HOME;
		return;
	}
	if (is_recently_started(k, now_ms) &&
	    key_views_home_before(&k->views, &e->key) == 0) {
		refuse_unsettled(k, e, now_ms, out);
		return;
	}
	activate(e, out);
}

static void
offer_existing(struct keyed *k, struct entry *e, uint64_t body,
    const struct request_id *id, uint64_t now_ms, struct keyed_decision *out)
{
	if (e->state == KEY_HANDED_OVER) {
		e->state = KEY_SETTLING;
		cancel_expiry(k, e);
		e->first = *id;
		e->body = body;
		g_array_set_size(e->free_at, 0);
		continue_settling(k, e, now_ms, out);
		return;
	}
	out->verdict = e->body == body ? KEYED_FOLLOW : KEYED_BODY_MISMATCH;
	out->first = e->first;
}

void
keyed_offer(struct keyed *k, const struct key_id *key, uint64_t body,
    const struct request_id *id, uint64_t now_ms, struct keyed_decision *out)
{
	struct entry *e;

	memset(out, 0, sizeof(*out));
	keyed_expire(k, now_ms);
	e = g_hash_table_lookup(k->entries, key);
	if (e != NULL && e->state != KEY_HANDED_OVER) {
		offer_existing(k, e, body, id, now_ms, out);
		return;
	}
	if (key_views_home_now(&k->views, key) != k->self) {
		out->verdict = KEYED_NOT_HOME;
		return;
	}
	if (e != NULL) {
		offer_existing(k, e, body, id, now_ms, out);
		return;
	}
	if (g_hash_table_size(k->entries) >= k->cfg.keys_max) {
		out->verdict = KEYED_FULL;
		return;
	}
	e = add_entry(k, key, KEY_SETTLING);
	e->first = *id;
	e->body = body;
	continue_settling(k, e, now_ms, out);
}

/* The settling entry to which the answer belongs, or NULL if it is gone. */
static struct entry *
find_settling(struct keyed *k, const struct key_id *key,
    const struct request_id *id, struct keyed_decision *out)
{
	struct entry *e;

	memset(out, 0, sizeof(*out));
	e = g_hash_table_lookup(k->entries, key);
	if (e != NULL && e->state == KEY_SETTLING &&
	    request_id_equal(&e->first, id))
		return e;
	out->verdict = KEYED_UNSETTLED;
	out->retry_after_ms = retention_ms(k);
	return NULL;
}

void
keyed_home_answered(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t from, enum keyed_word word,
    uint64_t now_ms, struct keyed_decision *out)
{
	struct entry *e;

	e = find_settling(k, key, id, out);
	if (e == NULL)
		return;
	if (word != KEYED_WORD_FREE) {
		refuse_unsettled(k, e, now_ms, out);
		return;
	}
	g_array_append_val(e->free_at, from);
	continue_settling(k, e, now_ms, out);
}

void
keyed_claimed(struct keyed *k, const struct key_id *key,
    const struct request_id *id, enum keyed_word word, uint64_t now_ms,
    struct keyed_decision *out)
{
	struct entry *e;

	e = find_settling(k, key, id, out);
	if (e == NULL)
		return;
	if (word != KEYED_WORD_FREE) {
		refuse_unsettled(k, e, now_ms, out);
		return;
	}
	activate(e, out);
}

void
keyed_release(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t now_ms)
{
	struct entry *e;

	(void)now_ms;
	e = g_hash_table_lookup(k->entries, key);
	if (e != NULL && e->state != KEY_HANDED_OVER &&
	    request_id_equal(&e->first, id))
		remove_entry(k, e);
}

void
keyed_ended(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t now_ms)
{
	struct entry *e;

	e = g_hash_table_lookup(k->entries, key);
	if (e == NULL || e->state != KEY_ACTIVE ||
	    !request_id_equal(&e->first, id))
		return;
	e->state = KEY_FINISHED;
	schedule_expiry(k, e, now_ms);
}

/*
 * Whether the same process repeats its query, and not a later process of that
 * endpoint.
 */
static bool
is_handed_to(
    const struct entry *e, uint64_t to, uint64_t to_age_ms, uint64_t now_ms)
{
	return e->state == KEY_HANDED_OVER && e->handed_to == to &&
	    now_ms - e->handed_ms <= to_age_ms;
}

enum keyed_word
keyed_hand_over(struct keyed *k, const struct key_id *key, uint64_t to,
    uint64_t to_age_ms, uint64_t now_ms)
{
	struct entry *e;

	keyed_expire(k, now_ms);
	e = g_hash_table_lookup(k->entries, key);
	if (e != NULL && is_handed_to(e, to, to_age_ms, now_ms)) {
		schedule_expiry(k, e, now_ms);
		return KEYED_WORD_FREE;
	}
	if (e != NULL || is_recently_started(k, now_ms) ||
	    !key_views_excludes_others(&k->views, key, to, to_age_ms, now_ms))
		return KEYED_WORD_TAKEN;
	if (g_hash_table_size(k->entries) >= k->cfg.keys_max)
		return KEYED_WORD_TAKEN;
	e = add_entry(k, key, KEY_HANDED_OVER);
	e->handed_to = to;
	e->handed_ms = now_ms;
	schedule_expiry(k, e, now_ms);
	return KEYED_WORD_FREE;
}

/*
 * A handed-over key is kept longer than the key at the endpoint that received
 * it.
 */
static uint64_t
lifetime_ms(const struct keyed *k, const struct entry *e)
{
	return e->state == KEY_HANDED_OVER ? 2 * k->cfg.window_ms
					   : k->cfg.window_ms;
}

void
keyed_expire(struct keyed *k, uint64_t now_ms)
{
	struct entry *e;

	key_views_expire(&k->views, now_ms);
	for (;;) {
		e = g_queue_peek_head(&k->by_changed);
		if (e == NULL)
			return;
		if (e->changed_ms + lifetime_ms(k, e) >= now_ms)
			return;
		remove_entry(k, e);
	}
}

size_t
keyed_count(const struct keyed *k)
{
	return g_hash_table_size(k->entries);
}
