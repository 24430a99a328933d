/*
 * Process of the guard: start, kill, drain, and announcements of endpoints.
 */
#include "guard.h"

#include <string.h>

#define NOTICE_MS 1500
#define DRAIN_MS 5000
#define RESTART_US (300 * US_PER_MS)
#define SKEW_MAX_MS 1000000
#define RECORDS_MAX 20000
#define RESPONSE_BYTES 4
#define RESPONSES_MAX_BYTES 8000
#define VIEW_DELAY_MS 1100
#define KEYS_MAX 10000

uint64_t
guard_now_ms(const struct guard *g)
{
	return g->world->now_us / US_PER_MS + g->skew_ms;
}

uint64_t
guard_frozen_until_us(const struct guard *g)
{
	return g->frozen_until_us;
}

static guint
id_hash(gconstpointer key)
{
	guint h;

	memcpy(&h, (const char *)key + 8 + 2, sizeof(h));
	return h;
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
	return request_id_equal(a, b);
}

struct fate_table *
guard_new_fates(const struct guard *g)
{
	struct fate_config cfg = {.incarnation = g->incarnation,
	    .window_ms = g->world->cfg.window_ms,
	    .records_max = RECORDS_MAX,
	    .answers_max_bytes = RESPONSES_MAX_BYTES,
	    .answer_max_bytes = RESPONSE_BYTES};

	return fate_table_new(&cfg);
}

static void
start_process(struct guard *g)
{
	const struct world_config *cfg = &g->world->cfg;
	struct keyed_config kc = {
	    cfg->window_ms, VIEW_DELAY_MS, KEYS_MAX, cfg->claim};
	uint32_t i;

	g->up = true;
	g->process++;
	g->skew_ms = world_random_between(g->world, 0, SKEW_MAX_MS);
	g->incarnation = world_random_between(g->world, 1, UINT32_MAX);
	g->drain_started_us = 0;
	g->wake_us = 0;
	g->fates = guard_new_fates(g);
	g->admission = admission_new(&cfg->admission);
	/* The first process counts as started at time 0, as on a node that has
	 * run for a long time. */
	g->keyed =
	    keyed_new(&kc, g->index + 1, g->process == 1 ? 0 : guard_now_ms(g));
	drain_init(&g->drain);
	g->requests = g_hash_table_new_full(id_hash, id_equal, NULL, g_free);
	g->tickets = g_hash_table_new(NULL, NULL);
	memset(g->seen_versions, 0, sizeof(g->seen_versions));
	for (i = 0; i < cfg->guards; i++)
		guard_update_endpoint(g, i, &g->world->announced[i]);
}

struct guard *
guard_new(struct world *w, uint32_t index)
{
	struct guard *g;

	g = g_new0(struct guard, 1);
	g->world = w;
	g->index = index;
	upstream_init(&g->upstream, w, g);
	start_process(g);
	return g;
}

static void
end_process(struct guard *g)
{
	fate_table_free(g->fates);
	admission_free(g->admission);
	keyed_free(g->keyed);
	g_hash_table_destroy(g->requests);
	g_hash_table_destroy(g->tickets);
	g->up = false;
	g->process++;
}

void
guard_free(struct guard *g)
{
	if (g->up)
		end_process(g);
	upstream_clear(&g->upstream);
	g_free(g);
}

static void
close_links(struct guard *g, void (*close_link)(struct link *l))
{
	struct link *l;
	guint i;

	for (i = 0; i < g->world->links->len; i++) {
		l = g_ptr_array_index(g->world->links, i);
		if (l->guard == g->index && l->guard_process == g->process)
			close_link(l);
	}
}

void
guard_kill(struct guard *g)
{
	if (!g->up)
		return;
	close_links(g, link_reset);
	end_process(g);
}

void
guard_restart(struct guard *g)
{
	if (g->up)
		return;
	start_process(g);
	world_announce(g->world, g->index, ENDPOINT_READY);
}

void
guard_update_endpoint(struct guard *g, uint32_t endpoint,
    const struct endpoint_announcement *announcement)
{
	uint64_t ready[GUARDS_MAX];
	size_t n = 0;
	uint32_t i;

	if (!g->up || announcement->version < g->seen_versions[endpoint])
		return;
	g->seen_versions[endpoint] = announcement->version;
	g->view[endpoint] = announcement->state;
	for (i = 0; i < g->world->cfg.guards; i++) {
		if (g->view[i] == ENDPOINT_READY)
			ready[n++] = i + 1;
	}
	keyed_set_view(g->keyed, ready, n, guard_now_ms(g));
}

static void
on_restart(void *target, void *arg)
{
	(void)arg;
	guard_restart(target);
}

static void
on_drain_tick(void *target, void *arg)
{
	struct guard *g = target;

	if (!g->up || g->process != (uint64_t)GPOINTER_TO_SIZE(arg))
		return;
	drain_tick(&g->drain, guard_now_ms(g));
	if (!drain_is_complete(&g->drain)) {
		world_schedule_after(
		    g->world, US_PER_MS, on_drain_tick, g, arg);
		return;
	}
	g->world->interrupted_by_drain += g->drain.requests;
	close_links(g, link_close);
	end_process(g);
	world_schedule_after(g->world, RESTART_US, on_restart, g, NULL);
}

void
guard_begin_drain(struct guard *g)
{
	if (!g->up || g->drain.state != DRAIN_SERVING)
		return;
	drain_begin(&g->drain, NOTICE_MS, DRAIN_MS, guard_now_ms(g));
	admission_drain(g->admission);
	guard_process_admission(g);
	g->drain_started_us = g->world->now_us;
	world_announce(g->world, g->index, ENDPOINT_DRAINING);
	on_drain_tick(g, GSIZE_TO_POINTER(g->process));
}
