/*
 * The entry's thread, its start, drain and stop.
 */
#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_priv.h"

/* Share of a drain's time in which new calls are still taken. */
#define NOTICE_SHARE 10

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
decisions_new(struct entry *e)
{
	struct endpoints_config endpoints_cfg;
	struct ejection_config ejection_cfg;
	struct placement_config placement_cfg;

	endpoints_config_default(&endpoints_cfg);
	ejection_config_default(&ejection_cfg);
	placement_config_default(&placement_cfg);
	e->endpoints = endpoints_new(&endpoints_cfg);
	e->ejection = ejection_new(&ejection_cfg, e->endpoints);
	e->placement =
	    placement_new(&placement_cfg, e->endpoints, e->ejection, e->seed);
	drain_init(&e->drain);
}

struct entry *
entry_new(const struct settings *s, uint64_t incarnation)
{
	struct loop *loop = loop_new();
	struct entry *e;

	if (loop == NULL)
		return NULL;
	call_metrics_register();
	e = g_new0(struct entry, 1);
	e->settings = s;
	e->incarnation = incarnation;
	e->loop = loop;
	e->seed = random_seed();
	decisions_new(e);
	e->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, entry_service_free);
	e->peers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, entry_peer_free);
	g_queue_init(&e->calls);
	loop_timer_init(&e->drain_timer, loop, on_drain_timer, e);
	return e;
}

static void *
thread_main(void *arg)
{
	struct entry *e = arg;

	(void)pthread_setname_np(pthread_self(), "entry");
	loop_run(e->loop);
	return NULL;
}

enum status
entry_start(struct entry *e)
{
	if (pthread_create(&e->thread, NULL, thread_main, e) != 0)
		return status_set(STATUS_IO,
		    "can't start the entry's thread; raise the limit on "
		    "threads.");
	e->running = true;
	return STATUS_OK;
}

static void
look_at_snapshot(void *arg)
{
	(void)entry_snapshot(arg);
}

void
entry_snapshot_changed(struct entry *e)
{
	loop_post(e->loop, look_at_snapshot, e);
}

/* News of a worker; the reference was taken by notify(). */
static void
take_news(void *arg)
{
	struct call_exchange *x = arg;
	struct entry_call *c = call_exchange_bound(x);

	if (c != NULL && !c->over)
		entry_call_news(c);
	call_exchange_unref(x);
}

static void
notify(struct call_exchange *x, void *arg)
{
	struct entry *e = arg;

	loop_post(e->loop, take_news, call_exchange_ref(x));
}

static void
take_call(void *arg)
{
	struct call_exchange *x = arg;
	struct entry *e = call_exchange_bound(x);

	drain_call_began(&e->drain);
	call_exchange_bind(x, NULL);
	entry_call_begin(e, x);
}

void
entry_submit(struct entry *e, struct call_exchange *x)
{
	atomic_fetch_add(&e->in_flight, 1);
	metric_add(&metric_calls_in_flight, 1);
	call_exchange_attach(x, notify, e);
	call_exchange_bind(x, e);
	loop_post(e->loop, take_call, call_exchange_ref(x));
}

void
entry_call_ended(struct entry *e)
{
	drain_call_ended(&e->drain, loop_now_ms(e->loop));
	atomic_fetch_sub(&e->in_flight, 1);
	metric_add(&metric_calls_in_flight, -1);
}

/* A drain that was posted to the loop. */
struct drain_order {
	struct entry *entry;
	uint64_t deadline_ms;
};

static void
begin_drain(void *arg)
{
	struct drain_order *order = arg;
	struct entry *e = order->entry;
	uint64_t now_ms = loop_now_ms(e->loop);
	uint64_t left_ms = clock_left_ms(order->deadline_ms, now_ms);

	drain_begin(&e->drain, left_ms / NOTICE_SHARE, left_ms, now_ms);
	loop_timer_set(&e->drain_timer, drain_wake_ms(&e->drain));
	log_info("draining, %u calls in flight", entry_in_flight(e));
	g_free(order);
}

void
entry_drain(struct entry *e, uint64_t deadline_ms)
{
	struct drain_order *order = g_new(struct drain_order, 1);

	order->entry = e;
	order->deadline_ms = deadline_ms;
	loop_post(e->loop, begin_drain, order);
}

uint32_t
entry_in_flight(const struct entry *e)
{
	return atomic_load(&e->in_flight);
}

static void
break_off_calls(void *arg)
{
	struct entry *e = arg;
	struct entry_call *c;
	GList *l;

	for (l = e->calls.head; l != NULL; l = l->next) {
		c = l->data;
		if (c->over)
			continue;
		entry_answer_break_off(c);
	}
}

void
entry_stop(struct entry *e)
{
	if (!e->running)
		return;
	loop_post(e->loop, break_off_calls, e);
	loop_stop(e->loop);
	pthread_join(e->thread, NULL);
	e->running = false;
}

void
entry_free(struct entry *e)
{
	GList *l;

	if (e == NULL)
		return;
	while ((l = e->calls.head) != NULL)
		entry_call_free(l->data);
	g_hash_table_destroy(e->peers);
	g_hash_table_destroy(e->services);
	placement_free(e->placement);
	ejection_free(e->ejection);
	endpoints_free(e->endpoints);
	snapshot_unref(e->snapshot);
	loop_free(e->loop);
	g_free(e);
}
