/*
 * The upstreams of this host and their admission.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "guard_priv.h"

#define SHORTAGE_SEED 6

static void
on_timer(void *arg)
{
	guard_upstream_run_queue(arg);
}

struct guard_upstream *
guard_upstream_find(const struct guard *g, const char *service)
{
	return g_hash_table_lookup(g->upstreams, service);
}

static void
fill_admission_config(
    const struct guard_endpoint *info, struct admission_config *cfg)
{
	const struct service_limits *l = &info->limits;

	admission_config_default(cfg);
	cfg->slots = info->slots;
	if (l->slots_per_endpoint > 0 && l->slots_per_endpoint < cfg->slots)
		cfg->slots = l->slots_per_endpoint;
	cfg->queue_max = l->queue_per_endpoint;
	cfg->queue_wait_ms = l->queue_wait_ms;
}

static struct guard_upstream *
upstream_new(struct guard *g, const struct guard_endpoint *info)
{
	struct guard_upstream *u = g_new0(struct guard_upstream, 1);
	struct admission_config cfg;

	u->guard = g;
	u->info = *info;
	fill_admission_config(info, &cfg);
	u->admission = admission_new(&cfg);
	u->keyed = guard_keyed_new(g, info->service);
	u->shortage = shortage_new();
	loop_timer_init(&u->timer, g->loop, on_timer, u);
	guard_report_init(u);
	guard_crash_init(u);
	g_mutex_lock(&g->counts_lock);
	g_hash_table_insert(g->upstreams, u->info.service, u);
	g_mutex_unlock(&g->counts_lock);
	guard_keyed_update_endpoints(u);
	return u;
}

static void
set_url(struct guard_upstream *u)
{
	char ip[ADDR_TEXT_BYTES];

	(void)addr_format_ip(u->guard->settings->address, ip);
	(void)g_snprintf(
	    u->url, sizeof(u->url), "http://%s:%u", ip, u->info.port);
}

static void
update_upstream(struct guard *g, const struct guard_endpoint *info)
{
	struct guard_upstream *u = guard_upstream_find(g, info->service);
	struct admission_config cfg;

	if (u == NULL)
		u = upstream_new(g, info);
	u->present = true;
	guard_report_set_run(u, info);
	u->info = *info;
	set_url(u);
	guard_counts_set_rollout(u);
	fill_admission_config(info, &cfg);
	admission_configure(u->admission, &cfg);
	if (info->state == SERVING_READY && !u->report.leaving &&
	    drain_accepts_request(&g->drain))
		admission_undrain(u->admission);
	else if (info->state != SERVING_STARTING || u->report.leaving)
		admission_drain(u->admission);
	guard_upstream_run_queue(u);
}

void
guard_upstream_set(
    struct guard *g, const struct guard_endpoint *list, uint32_t n)
{
	struct guard_upstream *u;
	uint32_t i, serving = 0;
	GHashTableIter it;

	g_hash_table_iter_init(&it, g->upstreams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&u))
		u->present = false;
	for (i = 0; i < n; i++) {
		update_upstream(g, &list[i]);
		serving += list[i].state == SERVING_READY;
	}
	atomic_store(&g->n_serving, serving);
	g_hash_table_iter_init(&it, g->upstreams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&u)) {
		if (u->present)
			continue;
		guard_report_absent(u);
		admission_drain(u->admission);
		guard_upstream_run_queue(u);
	}
}

static void
apply_result(struct guard_request *r, const struct admission_result *res)
{
	switch (res->verdict) {
	case ADMISSION_START:
		guard_http_start(r);
		return;
	case ADMISSION_QUEUE:
		log_debug("%s: request queued", r->upstream->info.service);
		return;
	case ADMISSION_REFUSE:
		guard_request_refuse(r, res->refusal, res->retry_after_ms);
		return;
	}
}

static bool
may_start(const struct guard_request *r)
{
	struct guard *g = r->guard;
	struct admission_request req;
	uint64_t mean_ms;

	if (r->idempotent)
		return true;
	guard_request_admission(r, &req);
	mean_ms = admission_mean_run_ms(r->upstream->admission, &req);
	return drain_may_start(
	    &g->drain, r->deadline_ms, mean_ms, loop_now_ms(g->loop));
}

void
guard_upstream_refuse_late(struct guard *g)
{
	GPtrArray *late = g_ptr_array_new();
	struct guard_request *r;
	GHashTableIter it;
	guint i;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->state == REQUEST_QUEUED && !may_start(r))
			g_ptr_array_add(late, r);
	for (i = 0; i < late->len; i++)
		guard_request_refuse(late->pdata[i], REFUSAL_STOPPING, 0);
	g_ptr_array_unref(late);
}

/* Refuses a request whose calls would be refused. */
static bool
refuse_for_calls(struct guard_request *r)
{
	uint64_t random = hash64(&r->ticket, sizeof(r->ticket), SHORTAGE_SEED);

	if (!shortage_refuses(r->upstream->shortage, r->route, random,
		loop_now_ms(r->guard->loop)))
		return false;
	guard_request_refuse(
	    r, REFUSAL_CALLS_SHORT, shortage_retry_after_ms(random));
	return true;
}

void
guard_upstream_submit(struct guard_request *r)
{
	struct guard_upstream *u = r->upstream;
	struct admission_request req;
	struct admission_result res;

	if (!may_start(r)) {
		guard_request_refuse(r, REFUSAL_STOPPING, 0);
		return;
	}
	if (refuse_for_calls(r))
		return;
	loop_timer_stop(&r->timer);
	r->state = REQUEST_QUEUED;
	guard_request_admission(r, &req);
	admission_offer(u->admission, &req, loop_now_ms(u->guard->loop), &res);
	apply_result(r, &res);
	guard_upstream_run_queue(u);
}

void
guard_upstream_run_queue(struct guard_upstream *u)
{
	struct guard *g = u->guard;
	struct admission_result res;
	struct guard_request *r;

	while (admission_next(u->admission, loop_now_ms(g->loop), &res)) {
		r = g_hash_table_lookup(g->tickets, &res.ticket);
		if (r != NULL)
			apply_result(r, &res);
	}
	loop_timer_set(&u->timer, admission_wake_ms(u->admission));
}

void
guard_upstream_load(
    const struct guard_upstream *u, uint64_t route, struct rec_load *load)
{
	struct load_report report;

	memset(load, 0, sizeof(*load));
	if (u == NULL)
		return;
	admission_load(u->admission, &report);
	load->in_flight = report.in_flight;
	load->queued = report.queued;
	load->slots = report.slots;
	load->limit_milli_per_s = report.limit_milli_per_s;
	load->limit_wait_ms = (uint32_t)MIN(report.limit_wait_ms, UINT32_MAX);
	load->work_ms = report.work_ms;
	load->run = u->report.run_id;
	load->leaving = u->report.leaving;
	guard_report_load(u, route, load);
}

void
guard_upstream_drain_all(struct guard *g)
{
	struct guard_upstream *u;
	GHashTableIter it;

	g_hash_table_iter_init(&it, g->upstreams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&u)) {
		admission_drain(u->admission);
		guard_upstream_run_queue(u);
	}
}

void
guard_upstream_free(void *upstream)
{
	struct guard_upstream *u = upstream;

	loop_timer_stop(&u->timer);
	guard_crash_clear(u);
	admission_free(u->admission);
	keyed_free(u->keyed);
	shortage_free(u->shortage);
	g_free(u);
}
