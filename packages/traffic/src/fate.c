/*
 * The table of fates.
 *
 * A record is active (queued or running) or settled.  Settled records are in a
 * queue in the order in which they were settled, and are removed after the
 * window.  A request is accepted only if it was sent within the window and
 * after too_old_until_ms, and a record is removed only when every frame of
 * its request counts as too old.  A request without a record has therefore not
 * run.
 */
#include "traffic/fate.h"

#include <string.h>

#include "base/hash.h"

#define ID_SEED 3
/*
 * Records are kept this much longer than the window, since clocks drift
 * between two echoes.
 */
#define CLOCK_DRIFT_MARGIN_MS 1000
/*
 * Limit on the connections that wait for one answer; the oldest is dropped.
 */
#define WAITERS_MAX 8

/**
 * struct record - fate of one request
 * @id: the request
 * @first: FATE_STATE_FOLLOWS: the request whose fate this one shares
 * @state: see enum fate_state
 * @received_ms: monotonic time at which the record was added
 * @settled_ms: monotonic time at which the record was settled
 * @answer: stored answer, or NULL
 * @waiters: struct fate_waiter, latest last
 * @active_link: node in the list of active records
 * @answer_link: node in the list of stored answers
 */
struct record {
	struct request_id id;
	struct request_id first;
	enum fate_state state;
	uint64_t received_ms;
	uint64_t settled_ms;
	GBytes *answer;
	GArray *waiters;
	GList *active_link;
	GList *answer_link;
};

/**
 * struct fate_table - see traffic/fate.h
 * @cfg: limits
 * @records: request id -> struct record
 * @active: queued and running records
 * @settled: settled records in the order in which they were settled
 * @answers: records with a stored answer, oldest first
 * @answers_bytes: total size of the stored answers
 * @too_old_until_ms: requests sent at this time or earlier are too old
 */
struct fate_table {
	struct fate_config cfg;
	GHashTable *records;
	GQueue *active;
	GQueue *settled;
	GQueue *answers;
	size_t answers_bytes;
	uint64_t too_old_until_ms;
};

static guint
id_hash(gconstpointer key)
{
	return (guint)hash64(key, REQUEST_ID_BYTES, ID_SEED);
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, REQUEST_ID_BYTES) == 0;
}

static void
record_free(gpointer data)
{
	struct record *r = data;

	if (r->answer != NULL)
		g_bytes_unref(r->answer);
	g_array_free(r->waiters, TRUE);
	g_free(r);
}

const char *
resolution_name(enum resolution r)
{
	static const char *const names[] = {
	    "not_run", "attached", "answer", "lost", "unknown"};

	return (size_t)r < G_N_ELEMENTS(names) ? names[r] : "?";
}

struct fate_table *
fate_table_new(const struct fate_config *cfg)
{
	struct fate_table *t;

	t = g_new0(struct fate_table, 1);
	t->cfg = *cfg;
	t->records =
	    g_hash_table_new_full(id_hash, id_equal, NULL, record_free);
	t->active = g_queue_new();
	t->settled = g_queue_new();
	t->answers = g_queue_new();
	return t;
}

void
fate_table_free(struct fate_table *t)
{
	if (t == NULL)
		return;
	g_queue_free(t->active);
	g_queue_free(t->settled);
	g_queue_free(t->answers);
	g_hash_table_destroy(t->records);
	g_free(t);
}

static struct record *
find_record(const struct fate_table *t, const struct request_id *id)
{
	return g_hash_table_lookup(t->records, id);
}

static void
drop_answer(struct fate_table *t, struct record *r)
{
	if (r->answer == NULL)
		return;
	t->answers_bytes -= g_bytes_get_size(r->answer);
	g_bytes_unref(r->answer);
	r->answer = NULL;
	g_queue_delete_link(t->answers, r->answer_link);
	r->answer_link = NULL;
}

static void
remove_oldest(struct fate_table *t)
{
	struct record *r;

	r = g_queue_pop_head(t->settled);
	drop_answer(t, r);
	g_hash_table_remove(t->records, &r->id);
}

/* Whether the record of a request sent at @sent_ms may have been removed. */
static bool
is_too_old(const struct fate_table *t, uint64_t sent_ms, uint64_t now_ms)
{
	if (sent_ms <= t->too_old_until_ms)
		return true;
	return sent_ms + t->cfg.window_ms < now_ms;
}

static struct record *
add_record(struct fate_table *t, const struct request_id *id,
    enum fate_state state, uint64_t now_ms)
{
	struct record *r, *oldest;

	if (g_hash_table_size(t->records) >= t->cfg.records_max) {
		oldest = g_queue_peek_head(t->settled);
		if (oldest != NULL) {
			t->too_old_until_ms =
			    MAX(t->too_old_until_ms, oldest->received_ms);
			remove_oldest(t);
		}
	}
	r = g_new0(struct record, 1);
	r->id = *id;
	r->state = state;
	r->received_ms = now_ms;
	r->waiters = g_array_new(FALSE, FALSE, sizeof(struct fate_waiter));
	g_hash_table_insert(t->records, &r->id, r);
	g_queue_push_tail(t->active, r);
	r->active_link = g_queue_peek_tail_link(t->active);
	return r;
}

static bool
is_active(const struct record *r)
{
	return r->state == FATE_STATE_QUEUED || r->state == FATE_STATE_RUNNING;
}

static void
settle(struct fate_table *t, struct record *r, enum fate_state state,
    uint64_t now_ms)
{
	g_queue_delete_link(t->active, r->active_link);
	r->active_link = NULL;
	r->state = state;
	r->settled_ms = now_ms;
	g_queue_push_tail(t->settled, r);
}

enum fate_offer
fate_offer(struct fate_table *t, const struct request_id *id, uint64_t sent_ms,
    const struct fate_waiter *waiter, uint64_t now_ms)
{
	struct record *r;

	fate_expire(t, now_ms);
	r = find_record(t, id);
	if (r != NULL) {
		if (r->state == FATE_STATE_NEVER)
			return FATE_OFFER_NOT_RUN;
		return FATE_OFFER_DUPLICATE;
	}
	if (is_too_old(t, sent_ms, now_ms))
		return FATE_OFFER_TOO_OLD;
	r = add_record(t, id, FATE_STATE_QUEUED, now_ms);
	g_array_append_val(r->waiters, *waiter);
	return FATE_OFFER_NEW;
}

bool
fate_start(struct fate_table *t, const struct request_id *id, uint64_t now_ms)
{
	struct record *r;

	(void)now_ms;
	r = find_record(t, id);
	if (r == NULL || r->state != FATE_STATE_QUEUED)
		return false;
	r->state = FATE_STATE_RUNNING;
	return true;
}

static void
store_answer(struct fate_table *t, struct record *r, GBytes *answer)
{
	size_t size;

	size = g_bytes_get_size(answer);
	if (size > t->cfg.answer_max_bytes || size > t->cfg.answers_max_bytes)
		return;
	while (t->answers_bytes + size > t->cfg.answers_max_bytes)
		drop_answer(t, g_queue_peek_head(t->answers));
	r->answer = g_bytes_ref(answer);
	t->answers_bytes += size;
	g_queue_push_tail(t->answers, r);
	r->answer_link = g_queue_peek_tail_link(t->answers);
}

void
fate_done(struct fate_table *t, const struct request_id *id, GBytes *answer,
    uint64_t now_ms)
{
	struct record *r;

	r = find_record(t, id);
	if (r == NULL || r->state != FATE_STATE_RUNNING)
		return;
	settle(t, r, FATE_STATE_DONE, now_ms);
	if (answer != NULL)
		store_answer(t, r, answer);
}

void
fate_failed(struct fate_table *t, const struct request_id *id, uint64_t now_ms)
{
	struct record *r;

	r = find_record(t, id);
	if (r != NULL && r->state == FATE_STATE_RUNNING)
		settle(t, r, FATE_STATE_FAILED, now_ms);
}

void
fate_refused(struct fate_table *t, const struct request_id *id, uint64_t now_ms)
{
	struct record *r;

	r = find_record(t, id);
	if (r != NULL && is_active(r))
		settle(t, r, FATE_STATE_NEVER, now_ms);
}

void
fate_acknowledged(struct fate_table *t, const struct request_id *id)
{
	struct record *r;

	r = find_record(t, id);
	if (r != NULL)
		drop_answer(t, r);
}

const struct fate_waiter *
fate_waiters(const struct fate_table *t, const struct request_id *id, size_t *n)
{
	struct record *r;

	r = find_record(t, id);
	*n = r != NULL ? r->waiters->len : 0;
	return r != NULL ? (const void *)r->waiters->data : NULL;
}

void
fate_connection_lost(struct fate_table *t, uint64_t conn)
{
	struct record *r;
	GList *l;
	guint i;

	for (l = t->active->head; l != NULL; l = l->next) {
		r = l->data;
		for (i = r->waiters->len; i > 0; i--) {
			if (g_array_index(r->waiters, struct fate_waiter, i - 1)
				.conn == conn)
				g_array_remove_index(r->waiters, i - 1);
		}
	}
}

static void
add_waiter(struct record *r, const struct fate_waiter *waiter)
{
	guint i;

	for (i = 0; i < r->waiters->len; i++) {
		if (g_array_index(r->waiters, struct fate_waiter, i).conn ==
		    waiter->conn)
			break;
	}
	if (i < r->waiters->len)
		g_array_remove_index(r->waiters, i);
	else if (r->waiters->len == WAITERS_MAX)
		g_array_remove_index(r->waiters, 0);
	g_array_append_val(r->waiters, *waiter);
}

static void
resolve_unknown(struct fate_table *t, const struct fate_query *q,
    uint64_t now_ms, struct fate_answer *out)
{
	struct record *r;

	if (q->incarnation != t->cfg.incarnation ||
	    is_too_old(t, q->sent_ms, now_ms)) {
		out->resolution = RESOLUTION_UNKNOWN;
		return;
	}
	r = add_record(t, &q->id, FATE_STATE_NEVER, now_ms);
	settle(t, r, FATE_STATE_NEVER, now_ms);
	out->resolution = RESOLUTION_NOT_RUN;
}

static void
resolve_active(struct fate_table *t, struct record *r,
    const struct fate_query *q, uint64_t now_ms, struct fate_answer *out)
{
	if (q->cancel && r->state == FATE_STATE_QUEUED) {
		settle(t, r, FATE_STATE_NEVER, now_ms);
		out->cancelled = true;
		out->resolution = RESOLUTION_NOT_RUN;
		return;
	}
	add_waiter(r, &q->waiter);
	out->resolution = RESOLUTION_ATTACHED;
}

static void
resolve_done(const struct record *r, struct fate_answer *out)
{
	if (r->answer == NULL) {
		out->resolution = RESOLUTION_LOST;
		return;
	}
	out->answer = g_bytes_ref(r->answer);
	out->resolution = RESOLUTION_ANSWER;
}

static void
resolve_known(struct fate_table *t, struct record *r,
    const struct fate_query *q, uint64_t now_ms, struct fate_answer *out)
{
	switch (r->state) {
	case FATE_STATE_NEVER:
		out->resolution = RESOLUTION_NOT_RUN;
		return;
	case FATE_STATE_QUEUED:
	case FATE_STATE_RUNNING:
		resolve_active(t, r, q, now_ms, out);
		return;
	case FATE_STATE_DONE:
		resolve_done(r, out);
		return;
	case FATE_STATE_FAILED:
	case FATE_STATE_FOLLOWS:
		out->resolution = RESOLUTION_LOST;
		return;
	}
}

/*
 * The first request's own waiters need its answer too, so a follower can't
 * cancel it.
 */
static void
resolve_follower(struct fate_table *t, const struct record *r,
    const struct fate_query *q, uint64_t now_ms, struct fate_answer *out)
{
	struct fate_query for_first = *q;
	struct record *first;

	for_first.id = r->first;
	for_first.cancel = false;
	first = find_record(t, &r->first);
	if (first == NULL)
		out->resolution = RESOLUTION_LOST;
	else
		resolve_known(t, first, &for_first, now_ms, out);
}

void
fate_resolve(struct fate_table *t, const struct fate_query *q, uint64_t now_ms,
    struct fate_answer *out)
{
	struct record *r;

	memset(out, 0, sizeof(*out));
	fate_expire(t, now_ms);
	r = find_record(t, &q->id);
	if (r == NULL)
		resolve_unknown(t, q, now_ms, out);
	else if (r->state == FATE_STATE_FOLLOWS)
		resolve_follower(t, r, q, now_ms, out);
	else
		resolve_known(t, r, q, now_ms, out);
}

void
fate_follow(struct fate_table *t, const struct request_id *id,
    const struct request_id *first, uint64_t now_ms, struct fate_answer *out)
{
	struct fate_query q = {.id = *id};
	struct record *r;
	guint i;

	memset(out, 0, sizeof(*out));
	out->resolution = RESOLUTION_LOST;
	r = find_record(t, id);
	if (r == NULL || r->state != FATE_STATE_QUEUED)
		return;
	settle(t, r, FATE_STATE_FOLLOWS, now_ms);
	r->first = *first;
	for (i = 0; i < r->waiters->len; i++) {
		q.waiter = g_array_index(r->waiters, struct fate_waiter, i);
		resolve_follower(t, r, &q, now_ms, out);
	}
}

void
fate_expire(struct fate_table *t, uint64_t now_ms)
{
	struct record *r;

	for (;;) {
		r = g_queue_peek_head(t->settled);
		if (r == NULL)
			return;
		if (r->settled_ms + t->cfg.window_ms + CLOCK_DRIFT_MARGIN_MS >=
		    now_ms)
			return;
		remove_oldest(t);
	}
}

size_t
fate_count(const struct fate_table *t)
{
	return g_hash_table_size(t->records);
}

size_t
fate_answers_bytes(const struct fate_table *t)
{
	return t->answers_bytes;
}
