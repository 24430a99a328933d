/*
 * Process of the entry: start, kill, drain, and announcements of endpoints.
 */
#include "entry.h"

#define NOTICE_MS 300
#define DRAIN_MS 4000
#define RESTART_US (200 * US_PER_MS)
#define SKEW_MAX_MS 1000000

uint64_t
entry_now_ms(const struct entry *e)
{
	return e->world->now_us / US_PER_MS + e->skew_ms;
}

uint64_t
entry_frozen_until_us(const struct entry *e)
{
	return e->frozen_until_us;
}

static void
entry_call_free(void *data)
{
	struct entry_call *ec = data;

	call_free(ec->call);
	g_free(ec);
}

static void
start_process(struct entry *e)
{
	const struct world_config *cfg = &e->world->cfg;
	uint64_t seed;
	uint32_t i;

	e->up = true;
	e->process++;
	e->skew_ms = world_random_between(e->world, 0, SKEW_MAX_MS);
	e->generation = 1;
	seed = world_random_between(e->world, 1, UINT32_MAX);
	e->endpoints = endpoints_new(&cfg->endpoints);
	if (cfg->eject)
		e->ejection = ejection_new(&cfg->ejection, e->endpoints);
	if (cfg->naive || cfg->random_placement)
		e->placement = placement_new_naive(e->endpoints, seed);
	else
		e->placement = placement_new(
		    &cfg->placement, e->endpoints, e->ejection, seed);
	retry_budget_init(&e->budget, &cfg->retry, entry_now_ms(e));
	drain_init(&e->drain);
	e->calls = g_hash_table_new_full(NULL, NULL, NULL, entry_call_free);
	for (i = 0; i < cfg->guards; i++) {
		e->seen_versions[i] = 0;
		entry_update_endpoint(e, i, &e->world->announced[i]);
	}
}

struct entry *
entry_new(struct world *w, uint32_t index)
{
	struct entry *e;

	e = g_new0(struct entry, 1);
	e->world = w;
	e->index = index;
	start_process(e);
	return e;
}

static void
end_process(struct entry *e)
{
	placement_free(e->placement);
	ejection_free(e->ejection);
	endpoints_free(e->endpoints);
	g_hash_table_destroy(e->calls);
	e->ejection = NULL;
	e->calls = NULL;
	e->up = false;
	e->process++;
}

void
entry_free(struct entry *e)
{
	if (e->up)
		end_process(e);
	g_free(e);
}

void
entry_kill(struct entry *e)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	if (!e->up)
		return;
	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		world_call(e->world, ((struct entry_call *)value)->number)
		    ->entry_lost = true;
		if (e->drain.state != DRAIN_SERVING)
			e->world->interrupted_by_drain++;
	}
	for (i = 0; i < e->world->cfg.guards; i++) {
		if (e->links[i] != NULL)
			e->links[i]->closed = true;
		e->links[i] = NULL;
	}
	end_process(e);
}

void
entry_restart(struct entry *e)
{
	if (!e->up)
		start_process(e);
}

void
entry_update_endpoint(struct entry *e, uint32_t endpoint,
    const struct endpoint_announcement *announcement)
{
	const struct world_config *cfg = &e->world->cfg;
	struct endpoint_info *info = &e->infos[endpoint];

	if (!e->up || announcement->version < e->seen_versions[endpoint])
		return;
	e->seen_versions[endpoint] = announcement->version;
	info->id = endpoint + 1;
	info->incarnation = announcement->incarnation;
	info->slots = cfg->announced_slots;
	info->cold_ms = UINT32_MAX;
	info->state = announcement->state;
	info->local =
	    endpoint % cfg->data_centres == e->index % cfg->data_centres;
	e->generation++;
	endpoints_set_service(e->endpoints, SERVICE, e->generation, e->infos,
	    cfg->guards, entry_now_ms(e));
}

static void
on_restart(void *target, void *arg)
{
	(void)arg;
	entry_restart(target);
}

static void
on_drain_tick(void *target, void *arg)
{
	struct entry *e = target;

	if (!e->up || e->process != (uint64_t)GPOINTER_TO_SIZE(arg))
		return;
	drain_tick(&e->drain, entry_now_ms(e));
	if (!drain_is_complete(&e->drain)) {
		world_schedule_after(
		    e->world, US_PER_MS, on_drain_tick, e, arg);
		return;
	}
	entry_kill(e);
	world_schedule_after(e->world, RESTART_US, on_restart, e, NULL);
}

void
entry_begin_drain(struct entry *e)
{
	if (!e->up || e->drain.state != DRAIN_SERVING)
		return;
	drain_begin(&e->drain, NOTICE_MS, DRAIN_MS, entry_now_ms(e));
	on_drain_tick(e, GSIZE_TO_POINTER(e->process));
}
