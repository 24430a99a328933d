/*
 * Delivery of frames.
 */
#include "link.h"

#include "entry.h"
#include "guard.h"

/* An entry's heartbeat gives up a connection after this time of silence. */
#define HEARTBEAT_US (300 * US_PER_MS)
#define DIAL_LIMIT_US (150 * US_PER_MS)

struct delivery {
	struct link *link;
	struct message message;
};

static uint64_t
delay_us(const struct link *l)
{
	const struct world_config *cfg = &l->world->cfg;
	uint64_t us = cfg->delay_us;

	if (l->entry % cfg->data_centres == l->guard % cfg->data_centres)
		us = cfg->local_delay_us;
	return us + world_between(l->world, 0, us / 2);
}

static bool
is_cut(const struct link *l)
{
	const struct world *w = l->world;
	uint32_t from, to;

	from = l->entry % w->cfg.data_centres + 1;
	to = l->guard % w->cfg.data_centres + 1;
	return from != to &&
	    (w->cut_data_centre == from || w->cut_data_centre == to);
}

static void
arrive_at_guard(void *who, void *what)
{
	struct delivery *d = what;
	struct guard *g = who;
	uint64_t thaw_us;

	thaw_us = guard_frozen_until_us(g);
	if (thaw_us > g->world->now_us) {
		queue_at(g->world->queue, thaw_us, arrive_at_guard, g, d);
		return;
	}
	if (is_cut(d->link) && !d->link->broken)
		link_silence(d->link);
	if (!d->link->broken && d->link->guard_process == g->process)
		guard_receive(g, d->link, &d->message);
	g_free(d);
}

static void
arrive_at_entry(void *who, void *what)
{
	struct delivery *d = what;
	struct entry *e = who;
	uint64_t thaw_us;

	thaw_us = entry_frozen_until_us(e);
	if (thaw_us > e->world->now_us) {
		queue_at(e->world->queue, thaw_us, arrive_at_entry, e, d);
		return;
	}
	if (is_cut(d->link) && !d->link->broken)
		link_silence(d->link);
	if (!d->link->broken && d->link->entry_process == e->process)
		entry_receive(e, d->link, &d->message);
	g_free(d);
}

static struct delivery *
pack(struct link *l, const struct message *m)
{
	struct delivery *d;

	d = g_new(struct delivery, 1);
	d->link = l;
	d->message = *m;
	return d;
}

void
link_to_guard(struct link *l, const struct message *m)
{
	struct world *w = l->world;
	uint64_t at;

	if (l->broken)
		return;
	at = MAX(w->now_us + delay_us(l), l->last_to_guard_us);
	l->last_to_guard_us = at;
	queue_at(
	    w->queue, at, arrive_at_guard, w->guards[l->guard], pack(l, m));
	if (m->kind != MESSAGE_REQUEST ||
	    !world_chance(w, w->cfg.doubled_percent))
		return;
	at += world_between(w, 0, 2 * (uint64_t)w->cfg.window_ms * US_PER_MS);
	queue_at(
	    w->queue, at, arrive_at_guard, w->guards[l->guard], pack(l, m));
}

void
link_to_entry(struct link *l, const struct message *m)
{
	struct world *w = l->world;
	uint64_t at;

	if (l->broken)
		return;
	at = MAX(w->now_us + delay_us(l), l->last_to_entry_us);
	l->last_to_entry_us = at;
	queue_at(
	    w->queue, at, arrive_at_entry, w->entries[l->entry], pack(l, m));
}

static void
lose_at_entry(void *who, void *what)
{
	struct link *l = who;
	struct entry *e = l->world->entries[l->entry];
	uint64_t thaw_us;

	thaw_us = entry_frozen_until_us(e);
	if (thaw_us > l->world->now_us)
		queue_at(l->world->queue, thaw_us, lose_at_entry, l, what);
	else if (!l->closed && l->entry_process == e->process)
		entry_link_lost(e, l);
}

static void
lose_at_guard(void *who, void *what)
{
	struct link *l = who;
	struct guard *g = l->world->guards[l->guard];

	(void)what;
	if (l->guard_process == g->process)
		guard_link_lost(g, l);
}

void
link_break(struct link *l)
{
	struct world *w = l->world;

	l->broken = true;
	world_later(w, delay_us(l), lose_at_entry, l, NULL);
	world_later(w, delay_us(l), lose_at_guard, l, NULL);
}

void
link_suspect(struct link *l)
{
	world_later(l->world, HEARTBEAT_US, lose_at_entry, l, NULL);
}

void
link_silence(struct link *l)
{
	l->broken = true;
	link_suspect(l);
	world_later(l->world, HEARTBEAT_US, lose_at_guard, l, NULL);
}

void
link_finish(struct link *l)
{
	uint64_t at;

	at = MAX(l->world->now_us + delay_us(l), l->last_to_entry_us);
	queue_at(l->world->queue, at, lose_at_entry, l, NULL);
}

void
link_stall(struct link *l, uint64_t for_us)
{
	l->last_to_guard_us =
	    MAX(l->last_to_guard_us, l->world->now_us + for_us);
	link_suspect(l);
}

/* The guard's process accepts, unless it is dead or frozen by now. */
static void
accepted(void *who, void *what)
{
	struct link *l = who;
	struct guard *g = l->world->guards[l->guard];
	uint64_t thaw_us;

	(void)what;
	if (is_cut(l)) {
		l->broken = true;
		return;
	}
	if (!g->up) {
		l->broken = true;
		lose_at_entry(l, NULL);
		return;
	}
	thaw_us = guard_frozen_until_us(g);
	if (thaw_us > l->world->now_us) {
		queue_at(l->world->queue, thaw_us, accepted, l, NULL);
		return;
	}
	l->guard_process = g->process;
	guard_accept(g, l);
}

static void
dial_limit(void *who, void *what)
{
	struct link *l = who;

	if (!l->up)
		lose_at_entry(l, what);
}

struct link *
link_dial(struct world *w, uint32_t entry, uint32_t guard)
{
	struct link *l;

	l = g_new0(struct link, 1);
	l->world = w;
	l->number = w->links->len + 1;
	l->entry = entry;
	l->guard = guard;
	l->entry_process = w->entries[entry]->process;
	l->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting_send));
	frame_age_init(&l->age);
	g_ptr_array_add(w->links, l);
	world_later(w, delay_us(l), accepted, l, NULL);
	world_later(w, DIAL_LIMIT_US, dial_limit, l, NULL);
	return l;
}

void
link_free(void *data)
{
	struct link *l = data;

	g_array_free(l->waiting, TRUE);
	g_free(l);
}
