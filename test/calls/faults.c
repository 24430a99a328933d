/*
 * What goes wrong, each with its own way back.
 */
#include "entry.h"
#include "guard.h"

#define MS(n) ((uint64_t)(n)*US_PER_MS)

static void
guard_back(void *who, void *what)
{
	(void)what;
	guard_restart(who);
}

static void
guard_missed(void *who, void *what)
{
	struct guard *g = who;

	(void)what;
	if (!g->up)
		world_announce(g->world, g->index, ENDPOINT_LEFT);
}

static void
kill_guard(struct world *w, struct guard *g)
{
	if (!g->up)
		return;
	guard_kill(g);
	world_later(w, MS(300), guard_missed, g, NULL);
	world_later(w, world_between(w, MS(5), MS(2000)), guard_back, g, NULL);
}

static void
freeze_guard(struct world *w, struct guard *g)
{
	struct link *l;
	guint i;

	g->frozen_until_us = w->now_us + world_between(w, MS(50), MS(4000));
	for (i = 0; i < w->links->len; i++) {
		l = g_ptr_array_index(w->links, i);
		if (l->guard == g->index && !l->closed)
			link_suspect(l);
	}
}

static void
entry_back(void *who, void *what)
{
	(void)what;
	entry_restart(who);
}

static void
kill_entry(struct world *w, struct entry *e)
{
	if (!e->up)
		return;
	entry_kill(e);
	world_later(w, world_between(w, MS(5), MS(1000)), entry_back, e, NULL);
}

static void
upstream_well(void *who, void *what)
{
	struct upstream *u = who;

	(void)what;
	u->slow = 1;
}

static void
slow_upstream(struct world *w, struct upstream *u)
{
	u->slow = 10;
	world_later(w, MS(2000), upstream_well, u, NULL);
}

static void
platform_well(void *who, void *what)
{
	struct world *w = who;

	(void)what;
	w->platform_down = false;
}

static void
healed(void *who, void *what)
{
	struct world *w = who;

	(void)what;
	w->cut_data_centre = 0;
}

static void
cut_data_centre(struct world *w)
{
	w->cut_data_centre = (uint32_t)world_between(w, 1, w->cfg.data_centres);
	world_later(w, world_between(w, MS(100), MS(3000)), healed, w, NULL);
}

static struct link *
some_link(struct world *w)
{
	struct link *l;
	guint i;

	for (i = w->links->len; i > 0; i--) {
		l = g_ptr_array_index(w->links, i - 1);
		if (l->up && !l->closed && !l->broken && world_chance(w, 40))
			return l;
	}
	return NULL;
}

static void
hurt_link(struct world *w, enum fault fault)
{
	struct link *l;

	l = some_link(w);
	if (l == NULL)
		return;
	if (fault == FAULT_LINK_BROKEN)
		link_break(l);
	else if (fault == FAULT_LINK_SILENT)
		link_silence(l);
	else
		link_stall(l, world_between(w, MS(200), MS(5000)));
}

void
world_fault(struct world *w, enum fault fault)
{
	struct guard *g;
	struct entry *e;

	g = w->guards[world_between(w, 0, w->cfg.guards - 1)];
	e = w->entries[world_between(w, 0, w->cfg.entries - 1)];
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
		    w->now_us + world_between(w, MS(50), MS(3000));
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
	case FAULT_LINK_BROKEN:
	case FAULT_LINK_SILENT:
	case FAULT_LINK_STALLED:
		hurt_link(w, fault);
		break;
	case FAULT_PLATFORM_DOWN:
		w->platform_down = true;
		world_later(w, MS(1500), platform_well, w, NULL);
		break;
	case FAULT_DATA_CENTRE_CUT:
		cut_data_centre(w);
		break;
	case FAULTS:
		break;
	}
}
