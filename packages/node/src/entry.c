/*
 * Start, drain and stop of the entry.
 */
#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_log.h"
#include "entry_quota.h"

/*
 * Log lines on calls per second.  A line costs about 10 us of processor time,
 * so that all of them take less than 1 % of a core.
 */
#define DONE_LINES_PER_S 20
#define KEY_LINES_PER_S 10
#define OTHER_LINES_PER_S 100
#define OTHER_LINES_BURST 400

/* Default of drain_notice_ms: a drain's time divided by this number.  Calls
 * are still accepted during the notice. */
#define NOTICE_DIVISOR 10

static void
on_drain_timer(void *arg)
{
	struct entry *e = arg;

	drain_tick(&e->drain, loop_now_ms(e->loop));
	loop_timer_set(&e->drain_timer, drain_wake_ms(&e->drain));
}

static uint64_t
random_seed(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int();
}

static void
create_policies(struct entry *e)
{
	struct endpoints_config endpoints_cfg;
	struct ejection_config ejection_cfg;
	struct placement_config placement_cfg;

	endpoints_config_default(&endpoints_cfg);
	ejection_config_default(&ejection_cfg);
	placement_config_default(&placement_cfg);
	e->endpoints = endpoints_new(&endpoints_cfg);
	e->runs = run_reports_new();
	e->served_runs = entry_run_table();
	e->ejection = ejection_new(&ejection_cfg, e->endpoints);
	e->placement =
	    placement_new(&placement_cfg, e->endpoints, e->ejection, e->seed);
	e->splits = split_table_new(e->seed);
	e->patience = patience_new();
	e->usage = quota_usage_new();
	e->returns = returns_new();
	drain_init(&e->drain);
	behind_init(&e->behind);
	behind_init(&e->awaited);
}

struct entry *
entry_new(const struct settings *s, const struct call_dialect *dialect,
    uint64_t incarnation, struct loop *loop)
{
	struct entry *e = g_new0(struct entry, 1);

	call_metrics_register();
	e->settings = s;
	e->dialect = dialect;
	e->incarnation = incarnation;
	e->done_log_limit.per_s = DONE_LINES_PER_S;
	e->done_log_limit.burst = DONE_LINES_PER_S;
	e->key_log_limit.per_s = KEY_LINES_PER_S;
	e->key_log_limit.burst = KEY_LINES_PER_S;
	e->other_log_limit.per_s = OTHER_LINES_PER_S;
	e->other_log_limit.burst = OTHER_LINES_BURST;
	e->loop = loop;
	e->seed = random_seed();
	create_policies(e);
	e->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, entry_service_free);
	e->peers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, entry_peer_free);
	g_queue_init(&e->calls);
	loop_timer_init(&e->drain_timer, loop, on_drain_timer, e);
	return e;
}

static void
refresh_snapshot(void *arg)
{
	struct entry *e = arg;

	(void)entry_snapshot(e);
	entry_quota_update(e->quota);
	if (e->watcher != NULL)
		e->watcher(e->watcher_arg);
}

void
entry_watch_snapshot(struct entry *e, void (*fn)(void *arg), void *arg)
{
	e->watcher = fn;
	e->watcher_arg = arg;
}

void
entry_snapshot_changed(struct entry *e)
{
	loop_post(e->loop, refresh_snapshot, e);
}

/* The caller has sent a part of the body, consumed a part of the answer, or
 * closed its connection. */
static void
on_exchange_event(struct call_exchange *x, void *arg)
{
	struct entry_call *c = call_exchange_entry_data(x);

	(void)arg;
	if (c != NULL && !c->finished)
		entry_call_exchange_event(c);
}

void
entry_submit(struct entry *e, struct call_exchange *x)
{
	atomic_fetch_add(&e->in_flight, 1);
	metric_add(&metric_calls_in_flight, 1);
	drain_call_began(&e->drain);
	call_exchange_attach_entry(x, on_exchange_event, e);
	entry_call_begin(e, call_exchange_ref(x));
}

void
entry_call_ended(struct entry *e)
{
	drain_call_ended(&e->drain, loop_now_ms(e->loop));
	atomic_fetch_sub(&e->in_flight, 1);
	metric_add(&metric_calls_in_flight, -1);
}

/* Argument of begin_drain(). */
struct drain_request {
	struct entry *entry;
	uint64_t deadline_ms;
};

static void
begin_drain(void *arg)
{
	struct drain_request *request = arg;
	struct entry *e = request->entry;
	uint64_t now_ms = loop_now_ms(e->loop);
	uint64_t left_ms = clock_left_ms(request->deadline_ms, now_ms);
	uint64_t notice_ms = e->settings->drain_notice_ms;
	uint64_t until_ms;

	if (notice_ms == 0)
		notice_ms = left_ms / NOTICE_DIVISOR;
	until_ms =
	    drain_accepts_until_ms(notice_ms, request->deadline_ms, now_ms);
	drain_begin(&e->drain, until_ms - now_ms, left_ms, now_ms);
	loop_timer_set(&e->drain_timer, drain_wake_ms(&e->drain));
	log_info("draining, %u calls in flight", entry_in_flight(e));
	g_free(request);
}

void
entry_drain(struct entry *e, uint64_t deadline_ms)
{
	struct drain_request *request = g_new(struct drain_request, 1);

	request->entry = e;
	request->deadline_ms = deadline_ms;
	loop_post(e->loop, begin_drain, request);
}

uint32_t
entry_in_flight(const struct entry *e)
{
	return atomic_load(&e->in_flight);
}

static void
abort_calls(void *arg)
{
	struct entry *e = arg;
	struct entry_call *c;
	GList *l;

	for (l = e->calls.head; l != NULL; l = l->next) {
		c = l->data;
		if (c->finished)
			continue;
		call_stopped(c->machine);
		entry_call_run(c);
	}
}

void
entry_stop(struct entry *e)
{
	loop_post(e->loop, abort_calls, e);
}

void
entry_use_quarantine(struct entry *e, struct quarantine *q)
{
	e->quarantine = q;
}

void
entry_use_guard(struct entry *e, struct guard *g)
{
	e->guard = g;
}

struct quota_usage *
entry_usage(const struct entry *e)
{
	return e->usage;
}

void
entry_use_homes(struct entry *e, struct guard_quota *homes)
{
	e->quota = entry_quota_new(e, homes);
}

void
entry_free(struct entry *e)
{
	GList *l;

	if (e == NULL)
		return;
	while ((l = e->calls.head) != NULL)
		entry_call_free(l->data);
	entry_quota_free(e->quota);
	quota_usage_free(e->usage);
	g_hash_table_destroy(e->served_runs);
	g_hash_table_destroy(e->peers);
	g_hash_table_destroy(e->services);
	placement_free(e->placement);
	split_table_free(e->splits);
	patience_free(e->patience);
	returns_free(e->returns);
	ejection_free(e->ejection);
	endpoints_free(e->endpoints);
	run_reports_free(e->runs);
	snapshot_unref(e->snapshot);
	loop_timer_stop(&e->drain_timer);
	g_free(e);
}
