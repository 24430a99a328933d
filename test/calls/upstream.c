/*
 * Simulated upstream.
 */
#include "upstream.h"

#include <math.h>

#include "guard.h"

#define COLD_US (3000 * US_PER_MS)
/* Maximum additional service time of a cold and busy upstream, as a
 * multiple. */
#define COLD_FACTOR 8

void
upstream_init(struct upstream *u, struct world *w, struct guard *g)
{
	u->world = w;
	u->guard = g;
	u->slowdown = 1;
	u->running = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&u->backlog);
}

void
upstream_clear(struct upstream *u)
{
	g_ptr_array_free(u->running, TRUE);
	g_queue_clear_full(&u->backlog, g_free);
}

static uint64_t
service_us(struct upstream *u)
{
	struct world *w = u->world;
	double factor, left, busy;

	factor = 0.4 - 0.6 * log(1.0 - g_rand_double(w->random));
	factor *= u->slowdown;
	if (u->cold_until_us > w->now_us) {
		left = (double)(u->cold_until_us - w->now_us) / COLD_US;
		busy = (double)u->running->len / w->cfg.slots;
		factor *= 1 + COLD_FACTOR * left * busy;
	}
	return (uint64_t)(factor * w->cfg.service_us) + 1;
}

static void on_job_end(void *target, void *arg);

static void
start_job(struct upstream *u, struct job *j)
{
	struct client_call *c;

	j->running = true;
	g_ptr_array_add(u->running, j);
	c = world_call(u->world, j->call);
	if (c->runs == 0)
		c->first_run_us = u->world->now_us;
	c->runs++;
	guard_on_job_started(u->guard);
	world_schedule_after(u->world, service_us(u), on_job_end, u, j);
}

static bool
is_running(const struct upstream *u, const struct job *j)
{
	return g_ptr_array_find(u->running, j, NULL);
}

static void
on_job_end(void *target, void *arg)
{
	struct upstream *u = target;
	struct job *j = arg, *next, copy;

	if (!is_running(u, j))
		return;
	copy = *j;
	g_ptr_array_remove_fast(u->running, j);
	next = g_queue_pop_head(&u->backlog);
	if (next != NULL)
		start_job(u, next);
	guard_on_job_done(u->guard, &copy, true);
}

bool
upstream_submit(struct upstream *u, const struct request_id *id, uint32_t call)
{
	const struct world_config *cfg = &u->world->cfg;
	struct job *j;

	if (u->running->len + u->backlog.length >= cfg->connections)
		return false;
	j = g_new0(struct job, 1);
	j->upstream = u;
	j->process = u->process;
	j->guard_process = u->guard->process;
	j->id = *id;
	j->call = call;
	if (u->running->len < cfg->slots)
		start_job(u, j);
	else
		g_queue_push_tail(&u->backlog, j);
	return true;
}

void
upstream_kill(struct upstream *u)
{
	GPtrArray *killed;
	struct job *j;
	guint i;

	killed = u->running;
	u->running = g_ptr_array_new_with_free_func(g_free);
	while ((j = g_queue_pop_head(&u->backlog)) != NULL)
		g_ptr_array_add(killed, j);
	u->process++;
	u->cold_until_us = u->world->now_us + COLD_US;
	for (i = 0; i < killed->len; i++)
		guard_on_job_done(
		    u->guard, g_ptr_array_index(killed, i), false);
	g_ptr_array_free(killed, TRUE);
}
