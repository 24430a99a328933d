/*
 * Fault injection, each fault with its recovery.
 */
#include "entry.h"
#include "guard.h"

#define MS(n) ((uint64_t)(n)*US_PER_MS)

static void
on_guard_restart(void *target, void *arg)
{
	(void)arg;
	guard_restart(target);
}

static void
on_guard_failure_detected(void *target, void *arg)
{
	struct guard *g = target;

	(void)arg;
	if (!g->up)
		world_announce(g->world, g->index, ENDPOINT_LEFT);
}

static void
kill_guard(struct world *w, struct guard *g)
{
	if (!g->up)
		return;
	guard_kill(g);
	world_schedule_after(w, MS(300), on_guard_failure_detected, g, NULL);
	world_schedule_after(w, world_random_between(w, MS(5), MS(2000)),
	    on_guard_restart, g, NULL);
}

static void
freeze_guard(struct world *w, struct guard *g)
{
	struct link *l;
	guint i;

	g->frozen_until_us =
	    w->now_us + world_random_between(w, MS(50), MS(4000));
	for (i = 0; i < w->links->len; i++) {
		l = g_ptr_array_index(w->links, i);
		if (l->guard == g->index && !l->closed)
			link_start_timeout(l);
	}
}

static void
on_entry_restart(void *target, void *arg)
{
	(void)arg;
	entry_restart(target);
}

static void
kill_entry(struct world *w, struct entry *e)
{
	if (!e->up)
		return;
	entry_kill(e);
	world_schedule_after(w, world_random_between(w, MS(5), MS(1000)),
	    on_entry_restart, e, NULL);
}

static void
on_upstream_recovery(void *target, void *arg)
{
	struct upstream *u = target;

	(void)arg;
	u->slowdown = 1;
}

static void
slow_upstream(struct world *w, struct upstream *u)
{
	u->slowdown = 10;
	world_schedule_after(w, MS(2000), on_upstream_recovery, u, NULL);
}

static void
on_platform_recovery(void *target, void *arg)
{
	struct world *w = target;

	(void)arg;
	w->platform_down = false;
}

static void
on_partition_end(void *target, void *arg)
{
	struct world *w = target;

	(void)arg;
	w->partitioned_data_centre = 0;
}

static void
partition_data_centre(struct world *w)
{
	w->partitioned_data_centre =
	    (uint32_t)world_random_between(w, 1, w->cfg.data_centres);
	world_schedule_after(w, world_random_between(w, MS(100), MS(3000)),
	    on_partition_end, w, NULL);
}

static struct link *
random_link(struct world *w)
{
	struct link *l;
	guint i;

	for (i = w->links->len; i > 0; i--) {
		l = g_ptr_array_index(w->links, i - 1);
		if (l->up && !l->closed && !l->broken &&
		    world_random_percent(w, 40))
			return l;
	}
	return NULL;
}

static void
inject_link_fault(struct world *w, enum fault fault)
{
	struct link *l;

	l = random_link(w);
	if (l == NULL)
		return;
	if (fault == FAULT_LINK_RESET)
		link_reset(l);
	else if (fault == FAULT_LINK_DROPS_FRAMES)
		link_drop_frames(l);
	else
		link_stall(l, world_random_between(w, MS(200), MS(5000)));
}

void
world_inject_fault(struct world *w, enum fault fault)
{
	struct guard *g;
	struct entry *e;

	g = w->guards[world_random_between(w, 0, w->cfg.guards - 1)];
	e = w->entries[world_random_between(w, 0, w->cfg.entries - 1)];
	switch (fault) {
	case FAULT_GUARD_KILLED:
		kill_guard(w, g);
		break;
	case FAULT_GUARD_FROZEN:
		freeze_guard(w, g);
		break;
	case FAULT_GUARD_DRAINED:
		guard_begin_drain(g);
		break;
	case FAULT_ENTRY_KILLED:
		kill_entry(w, e);
		break;
	case FAULT_ENTRY_FROZEN:
		e->frozen_until_us =
		    w->now_us + world_random_between(w, MS(50), MS(3000));
		break;
	case FAULT_ENTRY_DRAINED:
		entry_begin_drain(e);
		break;
	case FAULT_UPSTREAM_KILLED:
		upstream_kill(&g->upstream);
		break;
	case FAULT_UPSTREAM_SLOW:
		slow_upstream(w, &g->upstream);
		break;
	case FAULT_LINK_RESET:
	case FAULT_LINK_DROPS_FRAMES:
	case FAULT_LINK_STALLED:
		inject_link_fault(w, fault);
		break;
	case FAULT_PLATFORM_DOWN:
		w->platform_down = true;
		world_schedule_after(
		    w, MS(1500), on_platform_recovery, w, NULL);
		break;
	case FAULT_DATA_CENTRE_PARTITIONED:
		partition_data_centre(w);
		break;
	case FAULT_COUNT:
		break;
	}
}
