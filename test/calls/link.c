/*
 * Delivery of frames on a connection.
 */
#include "link.h"

#include "entry.h"
#include "guard.h"

/* An entry closes a connection after this time without a frame. */
#define HEARTBEAT_TIMEOUT_US (300 * US_PER_MS)
#define CONNECT_TIMEOUT_US (150 * US_PER_MS)

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
	return us + world_random_between(l->world, 0, us / 2);
}

static bool
is_partitioned(const struct link *l)
{
	const struct world *w = l->world;
	uint32_t from, to;

	from = l->entry % w->cfg.data_centres + 1;
	to = l->guard % w->cfg.data_centres + 1;
	return from != to &&
	    (w->partitioned_data_centre == from ||
		w->partitioned_data_centre == to);
}

static void
arrive_at_guard(void *target, void *arg)
{
	struct delivery *d = arg;
	struct guard *g = target;
	uint64_t thaw_us;

	thaw_us = guard_frozen_until_us(g);
	if (thaw_us > g->world->now_us) {
		queue_at(g->world->queue, thaw_us, arrive_at_guard, g, d);
		return;
	}
	if (is_partitioned(d->link) && !d->link->broken)
		link_drop_frames(d->link);
	if (!d->link->broken && d->link->guard_process == g->process)
		guard_receive(g, d->link, &d->message);
	g_free(d);
}

static void
arrive_at_entry(void *target, void *arg)
{
	struct delivery *d = arg;
	struct entry *e = target;
	uint64_t thaw_us;

	thaw_us = entry_frozen_until_us(e);
	if (thaw_us > e->world->now_us) {
		queue_at(e->world->queue, thaw_us, arrive_at_entry, e, d);
		return;
	}
	if (is_partitioned(d->link) && !d->link->broken)
		link_drop_frames(d->link);
	if (!d->link->broken && d->link->entry_process == e->process)
		entry_receive(e, d->link, &d->message);
	g_free(d);
}

static struct delivery *
delivery_new(struct link *l, const struct message *m)
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
	queue_at(w->queue, at, arrive_at_guard, w->guards[l->guard],
	    delivery_new(l, m));
	if (m->kind != MESSAGE_REQUEST ||
	    !world_random_percent(w, w->cfg.duplicated_percent))
		return;
	at += world_random_between(
	    w, 0, 2 * (uint64_t)w->cfg.window_ms * US_PER_MS);
	queue_at(w->queue, at, arrive_at_guard, w->guards[l->guard],
	    delivery_new(l, m));
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
	queue_at(w->queue, at, arrive_at_entry, w->entries[l->entry],
	    delivery_new(l, m));
}

static void
on_lost_at_entry(void *target, void *arg)
{
	struct link *l = target;
	struct entry *e = l->world->entries[l->entry];
	uint64_t thaw_us;

	thaw_us = entry_frozen_until_us(e);
	if (thaw_us > l->world->now_us)
		queue_at(l->world->queue, thaw_us, on_lost_at_entry, l, arg);
	else if (!l->closed && l->entry_process == e->process)
		entry_link_lost(e, l);
}

static void
on_lost_at_guard(void *target, void *arg)
{
	struct link *l = target;
	struct guard *g = l->world->guards[l->guard];

	(void)arg;
	if (l->guard_process == g->process)
		guard_link_lost(g, l);
}

void
link_reset(struct link *l)
{
	struct world *w = l->world;

	l->broken = true;
	world_schedule_after(w, delay_us(l), on_lost_at_entry, l, NULL);
	world_schedule_after(w, delay_us(l), on_lost_at_guard, l, NULL);
}

void
link_start_timeout(struct link *l)
{
	world_schedule_after(
	    l->world, HEARTBEAT_TIMEOUT_US, on_lost_at_entry, l, NULL);
}

void
link_drop_frames(struct link *l)
{
	l->broken = true;
	link_start_timeout(l);
	world_schedule_after(
	    l->world, HEARTBEAT_TIMEOUT_US, on_lost_at_guard, l, NULL);
}

void
link_close(struct link *l)
{
	uint64_t at;

	at = MAX(l->world->now_us + delay_us(l), l->last_to_entry_us);
	queue_at(l->world->queue, at, on_lost_at_entry, l, NULL);
}

void
link_stall(struct link *l, uint64_t for_us)
{
	l->last_to_guard_us =
	    MAX(l->last_to_guard_us, l->world->now_us + for_us);
	link_start_timeout(l);
}

/* Accepts the connection, unless the guard's process is down, frozen or
 * partitioned. */
static void
on_accept(void *target, void *arg)
{
	struct link *l = target;
	struct guard *g = l->world->guards[l->guard];
	uint64_t thaw_us;

	(void)arg;
	if (is_partitioned(l)) {
		l->broken = true;
		return;
	}
	if (!g->up) {
		l->broken = true;
		on_lost_at_entry(l, NULL);
		return;
	}
	thaw_us = guard_frozen_until_us(g);
	if (thaw_us > l->world->now_us) {
		queue_at(l->world->queue, thaw_us, on_accept, l, NULL);
		return;
	}
	l->guard_process = g->process;
	guard_accept(g, l);
}

static void
on_connect_timeout(void *target, void *arg)
{
	struct link *l = target;

	if (!l->up)
		on_lost_at_entry(l, arg);
}

struct link *
link_connect(struct world *w, uint32_t entry, uint32_t guard)
{
	struct link *l;

	l = g_new0(struct link, 1);
	l->world = w;
	l->number = w->links->len + 1;
	l->entry = entry;
	l->guard = guard;
	l->entry_process = w->entries[entry]->process;
	l->pending = g_array_new(FALSE, FALSE, sizeof(struct pending_send));
	frame_age_init(&l->age);
	g_ptr_array_add(w->links, l);
	world_schedule_after(w, delay_us(l), on_accept, l, NULL);
	world_schedule_after(
	    w, CONNECT_TIMEOUT_US, on_connect_timeout, l, NULL);
	return l;
}

void
link_free(void *data)
{
	struct link *l = data;

	g_array_free(l->pending, TRUE);
	g_free(l);
}
