/*
 * Fault scenarios of the benchmark of the call decisions.
 */
#include "bench_calls.h"
#include "entry.h"
#include "guard.h"

static void
on_slow(void *target, void *arg)
{
	struct guard *g = target;

	(void)arg;
	g->upstream.slowdown = 10;
}

void
bench_one_slow(struct world *w)
{
	queue_at(w->queue, FAULT_AT_US, on_slow, w->guards[0], NULL);
}

static void
on_kill(void *target, void *arg)
{
	struct guard *g = target;

	(void)arg;
	guard_kill(g);
	upstream_kill(&g->upstream);
}

static void
on_failure_detected(void *target, void *arg)
{
	struct guard *g = target;

	(void)arg;
	world_announce(g->world, g->index, ENDPOINT_LEFT);
}

void
bench_half_killed(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->cfg.guards / 2; i++) {
		queue_at(w->queue, FAULT_AT_US, on_kill, w->guards[i], NULL);
		queue_at(w->queue, FAULT_AT_US + 2 * FAULT_AT_US / 2,
		    on_failure_detected, w->guards[i], NULL);
	}
}

static void
on_freeze(void *target, void *arg)
{
	struct guard *g = target;

	g->frozen_until_us = g->world->now_us + 3 * FAULT_AT_US / 2;
	(void)arg;
}

static void
on_suspect(void *target, void *arg)
{
	struct world *w = target;
	struct link *l;
	guint i;

	(void)arg;
	for (i = 0; i < w->links->len; i++) {
		l = g_ptr_array_index(w->links, i);
		if (l->guard == 0 && !l->closed)
			link_start_timeout(l);
	}
}

void
bench_one_frozen(struct world *w)
{
	queue_at(w->queue, FAULT_AT_US, on_freeze, w->guards[0], NULL);
	queue_at(w->queue, FAULT_AT_US, on_suspect, w, NULL);
}

static void
on_upstream_restart(void *target, void *arg)
{
	struct guard *g = target;

	(void)arg;
	upstream_kill(&g->upstream);
	world_announce(g->world, g->index, ENDPOINT_READY);
}

void
bench_cold_starts(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->cfg.guards; i++)
		queue_at(w->queue, FAULT_AT_US + i * FAULT_AT_US / 2,
		    on_upstream_restart, w->guards[i], NULL);
}

void
bench_one_cold(struct world *w)
{
	queue_at(
	    w->queue, FAULT_AT_US, on_upstream_restart, w->guards[0], NULL);
}

static void
on_partition(void *target, void *arg)
{
	struct world *w = target;

	w->partitioned_data_centre = GPOINTER_TO_UINT(arg);
}

void
bench_data_centre_partitioned(struct world *w)
{
	queue_at(w->queue, FAULT_AT_US, on_partition, w, GUINT_TO_POINTER(1));
	queue_at(w->queue, FAULT_AT_US + 3 * FAULT_AT_US / 2, on_partition, w,
	    GUINT_TO_POINTER(0));
}

static void
on_drain(void *target, void *arg)
{
	(void)arg;
	guard_begin_drain(target);
}

void
bench_one_drained(struct world *w)
{
	queue_at(w->queue, FAULT_AT_US, on_drain, w->guards[0], NULL);
}
