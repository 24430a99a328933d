/*
 * Creation, start, drain and stop of the guard.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "config/snapshot.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"
#include "memory_limits.h"

#define ID_SEED 5
/* Maximum number of log lines per second of one kind.  entry.c limits its lines
 * too, and states the processor time that a line costs. */
#define LINES_PER_S 50

#define US_PER_MS 1000
#define TICK_INTERVAL_MS 100
#define DRAIN_TICK_INTERVAL_MS 5
#define FATES_MAX 262144
#define CALLERS_MAX 4096
/* One answer takes up at most fate_answers_bytes divided by this number. */
#define ANSWER_SHARE_DIVISOR 8
#define ENCODED_ANSWER_MAX_BYTES (1024U * 1024U + 65536U)

/* An idle connection is closed after this time; entries send pings. */
#define CONN_IDLE_MS 120000

static guint
id_hash(gconstpointer key)
{
	return (guint)hash64(key, REQUEST_ID_BYTES, ID_SEED);
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
	return request_id_equal(a, b);
}

/* Number of connections on which a stop would lose data. */
static uint32_t
busy_conns(const struct guard *g)
{
	const struct guard_conn *gc;
	GHashTableIter it;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, g->conns);
	while (g_hash_table_iter_next(&it, NULL, (void **)&gc))
		n += guard_conn_is_busy(gc);
	return n;
}

static void
send_goodbyes(struct guard *g)
{
	struct guard_conn *gc;
	GHashTableIter it;

	g_hash_table_iter_init(&it, g->conns);
	while (g_hash_table_iter_next(&it, NULL, (void **)&gc))
		guard_conn_send_goodbye(gc);
}

static void
tick(void *arg)
{
	struct guard *g = arg;
	uint64_t now_ms = loop_now_ms(g->loop);

	fate_expire(g->fates, now_ms);
	guard_keyed_refresh_snapshot(g);
	guard_resolve_expire(g);
	guard_credit_tick(g);
	guard_quarantine_tick(g);
	drain_tick(&g->drain, now_ms);
	atomic_store(&g->busy_conns, busy_conns(g));
	loop_timer_set(&g->tick,
	    now_ms +
		(drain_accepts_request(&g->drain) ? TICK_INTERVAL_MS
						  : DRAIN_TICK_INTERVAL_MS));
}

static struct fate_table *
fates_new(const struct guard *g)
{
	struct fate_config cfg = {.incarnation = g->incarnation,
	    .window_ms = g->settings->fate_window_ms,
	    .records_max = FATES_MAX,
	    .answers_max_bytes = g->settings->fate_answers_bytes,
	    .answer_max_bytes = ENCODED_ANSWER_MAX_BYTES};

	if (cfg.answer_max_bytes > cfg.answers_max_bytes / ANSWER_SHARE_DIVISOR)
		cfg.answer_max_bytes =
		    cfg.answers_max_bytes / ANSWER_SHARE_DIVISOR;
	return fate_table_new(&cfg);
}

static const struct http_client_options upstream_options = {
    .use = DESCRIPTORS_UPSTREAMS};

struct guard *
guard_new(const struct settings *s, const struct call_dialect *dialect,
    uint64_t incarnation, struct loop *loop)
{
	struct guard *g = g_new0(struct guard, 1);

	call_metrics_register();
	g->settings = s;
	g->dialect = dialect;
	g->incarnation = incarnation;
	g->loop = loop;
	g->refusal_log_limit.per_s = LINES_PER_S;
	g->refusal_log_limit.burst = LINES_PER_S;
	g->failure_log_limit.per_s = LINES_PER_S;
	g->failure_log_limit.burst = LINES_PER_S;
	g->departure_log_limit.per_s = LINES_PER_S;
	g->departure_log_limit.burst = LINES_PER_S;
	g->http = http_client_new(loop, &upstream_options);
	g->fates = fates_new(g);
	g->caller_limits = rate_limit_new(CALLERS_MAX);
	g->upstreams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, guard_upstream_free);
	g->conns = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, guard_conn_free);
	g->requests =
	    g_hash_table_new_full(id_hash, id_equal, NULL, guard_request_free);
	g->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->guard_addresses =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g->followers = g_hash_table_new_full(id_hash, id_equal, g_free, g_free);
	g_queue_init(&g->key_queries);
	guard_quarantine_init(g);
	g->quota = guard_quota_new(s, loop);
	g_mutex_init(&g->counts_lock);
	drain_init(&g->drain);
	body_window_init(&g->window, CALL_BODIES_WINDOW_BYTES);
	g->bodies = buffer_pool_new(
	    loop, "requests with bodies", memory_limit_guard(g->settings));
	loop_timer_init(&g->tick, loop, tick, g);
	return g;
}

static enum status
listen_for_entries(struct guard *g)
{
	struct net_addr at = {
	    .ip = g->settings->address, .port = g->settings->call_port};
	struct listener_options options;

	memset(&options, 0, sizeof(options));
	call_link_options(&options.conn);
	options.conn.idle_ms = CONN_IDLE_MS;
	options.conn.sent_bytes = &metric_call_sent_bytes;
	options.conn.received_bytes = &metric_call_received_bytes;
	options.handler = &guard_conn_handler;
	options.input_max_bytes = memory_limit_frames(g->settings);
	options.on_accept = guard_conn_accept;
	options.arg = g;
	return listener_new(g->loop, at, &options, &g->listener);
}

enum status
guard_start(struct guard *g)
{
	enum status st = listen_for_entries(g);

	if (st != STATUS_OK)
		return st;
	loop_timer_set(&g->tick, clock_now_ms() + TICK_INTERVAL_MS);
	return STATUS_OK;
}

struct net_addr
guard_addr(const struct guard *g)
{
	return listener_addr(g->listener);
}

/* Arguments of a task that another thread posts to the guard's thread. */
struct guard_task {
	struct guard *guard;
	uint64_t deadline_ms;
	uint32_t n_endpoints;
	struct guard_endpoint endpoints[];
};

static struct guard_task *
task_new(struct guard *g, uint32_t n)
{
	struct guard_task *t;

	t = g_malloc0(sizeof(*t) + n * sizeof(t->endpoints[0]));
	t->guard = g;
	t->n_endpoints = n;
	return t;
}

static void
do_set_endpoints(void *arg)
{
	struct guard_task *t = arg;

	guard_version_update(t->guard);
	guard_upstream_set(t->guard, t->endpoints, t->n_endpoints);
	g_free(t);
}

void
guard_set_endpoints(struct guard *g, const struct guard_endpoint *endpoints,
    uint32_t n_endpoints)
{
	struct guard_task *t = task_new(g, n_endpoints);

	if (n_endpoints > 0)
		memcpy(t->endpoints, endpoints,
		    n_endpoints * sizeof(endpoints[0]));
	loop_post(g->loop, do_set_endpoints, t);
}

static void
do_announce_stop(void *arg)
{
	struct guard_task *t = arg;

	drain_announce(&t->guard->drain, t->deadline_ms);
	guard_upstream_refuse_late(t->guard);
	g_free(t);
}

void
guard_announce_stop(struct guard *g, uint64_t deadline_ms)
{
	struct guard_task *t = task_new(g, 0);

	t->deadline_ms = deadline_ms;
	loop_post(g->loop, do_announce_stop, t);
}

static void
do_drain(void *arg)
{
	struct guard_task *t = arg;
	struct guard *g = t->guard;
	uint64_t now_ms = loop_now_ms(g->loop);

	drain_begin(
	    &g->drain, 0, clock_left_ms(t->deadline_ms, now_ms), now_ms);
	guard_upstream_drain_all(g);
	send_goodbyes(g);
	atomic_store(&g->busy_conns, busy_conns(g));
	g->drain_started = true;
	loop_timer_set(&g->tick, now_ms + DRAIN_TICK_INTERVAL_MS);
	log_info("draining, %u requests in flight", atomic_load(&g->in_flight));
	g_free(t);
}

bool
guard_is_serving(const struct guard *g)
{
	return atomic_load(&g->n_serving) > 0;
}

void
guard_drain(struct guard *g, uint64_t deadline_ms)
{
	struct guard_task *t = task_new(g, 0);

	t->deadline_ms = deadline_ms;
	atomic_store(&g->drain_requested, true);
	loop_post(g->loop, do_drain, t);
}

static void
log_aborted(const struct guard_request *r)
{
	struct log_limit *limit = &r->guard->failure_log_limit;
	uint32_t left_out = limit->left_out;
	uint64_t now_us = clock_now_us();

	if (!log_limit_take(limit, loop_now_ms(r->guard->loop)))
		return;
	log_warning("request id=%s service=%s aborted by the stop, sent=%d "
		    "ms=%" G_GUINT64_FORMAT " running_ms=%" G_GUINT64_FORMAT
		    " left_out=%u",
	    r->caller_request_id,
	    r->upstream != NULL ? r->upstream->info.service : "?",
	    r->state == REQUEST_RUNNING, (now_us - r->opened_us) / US_PER_MS,
	    r->state == REQUEST_RUNNING ? (now_us - r->started_us) / US_PER_MS
					: 0,
	    left_out);
}

static void
do_log_aborted(void *arg)
{
	struct guard *g = arg;
	struct guard_request *r;
	GHashTableIter it;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->state != REQUEST_ENDED)
			log_aborted(r);
}

void
guard_log_aborted(struct guard *g)
{
	loop_post(g->loop, do_log_aborted, g);
}

struct guard_quota *
guard_homes(struct guard *g)
{
	return g->quota;
}

uint32_t
guard_in_flight(const struct guard *g)
{
	return atomic_load(&g->in_flight) + atomic_load(&g->busy_conns) +
	    (atomic_load(&g->drain_requested) &&
		!atomic_load(&g->drain_started));
}

void
guard_free(struct guard *g)
{
	if (g == NULL)
		return;
	listener_free(g->listener);
	guard_key_query_free_all(g);
	g_hash_table_destroy(g->conns);
	g_hash_table_destroy(g->requests);
	g_hash_table_destroy(g->tickets);
	g_hash_table_destroy(g->upstreams);
	guard_quarantine_clear(g);
	guard_quota_free(g->quota);
	g_mutex_clear(&g->counts_lock);
	g_hash_table_destroy(g->guard_addresses);
	g_hash_table_destroy(g->followers);
	snapshot_unref(g->snapshot);
	http_client_free(g->http);
	buffer_pool_free(g->bodies);
	fate_table_free(g->fates);
	rate_limit_free(g->caller_limits);
	loop_timer_stop(&g->tick);
	g_free(g);
}
