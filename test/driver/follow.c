/*
 * Answers reads of the head that wait for a change.
 */
#include "follow.h"

#include <string.h>

#include "world.h"

/* The shell's timeout besides the time that a read waits. */
#define TIMEOUT_MS 1500

/**
 * struct follow_wait - a read under way
 * @node: whose
 * @generation: process that asked
 * @action: what it asked for
 * @id: its number
 * @seen: number of the newest change that it knows
 * @found: number of the newest change that its answer tells
 * @st: how it ends
 * @lost: it is never answered
 */
struct follow_wait {
	uint64_t id;
	struct node *node;
	uint32_t generation;
	struct spread_action action;
	uint64_t seen;
	uint64_t found;
	enum status st;
	int lost;
};

/** struct follow_timer - a read that waits, and how it ends if it still does */
struct follow_timer {
	struct world *w;
	uint64_t id;
	enum status st;
};

static void give(void *arg);

void
follow_start(struct node *n)
{
	n->feed_seq = 0;
	n->following = 0;
	memset(&n->given, 0, sizeof(n->given));
	spread_set_long_poll(n->s, FOLLOW_WAIT_MS);
}

static int
is_alive(const struct follow_wait *r)
{
	return r->node->up && r->node->generation == r->generation;
}

/* The answer leaves now. */
static void
end(struct follow_wait *r, enum status st)
{
	struct world *w = r->node->w;

	r->st = st;
	r->found = w->ledger->head.seq;
	g_queue_remove(&w->follows, r);
	queue_add(&w->queue, w->queue.now_us + w->platform.delay_ms * US_PER_MS,
	    give, r, g_free);
}

static struct follow_wait *
find(const struct world *w, uint64_t id)
{
	struct follow_wait *r;
	GList *l;

	for (l = w->follows.head; l != NULL; l = l->next) {
		r = l->data;
		if (r->id == id)
			return r;
	}
	return NULL;
}

static void
on_time(void *arg)
{
	struct follow_timer *t = arg;
	struct follow_wait *r = find(t->w, t->id);

	if (r != NULL && (!r->lost || t->st != STATUS_OK))
		end(r, t->st);
	g_free(t);
}

static void
end_after(const struct follow_wait *r, uint64_t ms, enum status st)
{
	struct world *w = r->node->w;
	struct follow_timer *t = g_new(struct follow_timer, 1);

	t->w = w;
	t->id = r->id;
	t->st = st;
	queue_add(
	    &w->queue, w->queue.now_us + ms * US_PER_MS, on_time, t, g_free);
}

static void
give_version(struct node *n, uint64_t found)
{
	const struct ledger *l = n->w->ledger;
	const struct ledger_version *v = ledger_version(l, l->head.in_force);
	GBytes **contents = g_new(GBytes *, v->list->len);
	uint32_t i;

	for (i = 0; i < v->list->len; i++)
		contents[i] = ledger_object(l,
		    &g_array_index(v->list, struct rec_section_ref, i).digest);
	n->feed_seq = MAX(n->feed_seq, found);
	n->given = l->head;
	n->given.root = v->root;
	spread_on_full_version(n->s, world_now_ms(n->w), &n->given, v->list,
	    contents, v->list->len);
	g_free(contents);
}

static void
give_head(struct node *n, const struct follow_wait *r)
{
	struct spread_read_end read_end = {.ok = r->st == STATUS_OK};
	uint64_t now_ms = world_now_ms(n->w);
	int known = n->given.seq != 0;

	n->following = 0;
	read_end.has_row = r->found > r->seen;
	read_end.position = r->found;
	if (!read_end.ok) {
		spread_on_head(n->s, now_ms, r->st, NULL);
		return;
	}
	spread_on_head_read_ended(n->s, now_ms, &read_end);
	if (read_end.has_row)
		give_version(n, r->found);
	else
		spread_on_head(n->s, now_ms,
		    known ? STATUS_OK : STATUS_NOT_FOUND,
		    known ? &n->given : NULL);
}

static void
give_probe(struct node *n, const struct follow_wait *r)
{
	struct spread_read_end read_end = {.ok = r->st == STATUS_OK};

	read_end.has_row = r->found > r->seen;
	if (read_end.ok && read_end.has_row)
		give_version(n, r->found);
	spread_on_probe_ended(n->s, world_now_ms(n->w), &read_end);
}

static void
give_versions(struct node *n, const struct follow_wait *r)
{
	if (r->st == STATUS_OK && n->w->ledger->head.seq != 0)
		give_version(n, r->found);
	spread_on_versions(
	    n->s, world_now_ms(n->w), STATUS_UNAVAILABLE, NULL, 0);
}

static void
give(void *arg)
{
	struct follow_wait *r = arg;
	struct node *n = r->node;

	if (is_alive(r) && n->frozen_us > n->w->queue.now_us) {
		queue_add(&n->w->queue, n->frozen_us, give, r, g_free);
		return;
	}
	if (is_alive(r)) {
		if (r->action.kind == SPREAD_READ_HEAD)
			give_head(n, r);
		else if (r->action.kind == SPREAD_PROBE_HEAD)
			give_probe(n, r);
		else
			give_versions(n, r);
		world_pump(n);
	}
	g_free(r);
}

/* What the platform makes of a read that reached it. */
static void
admit(struct follow_wait *r)
{
	struct node *n = r->node;
	uint64_t wait_ms = r->action.wait_ms;

	end_after(r, wait_ms + TIMEOUT_MS, STATUS_TIMEOUT);
	r->lost = n->access == FOLLOW_SILENT;
	if (r->lost)
		return;
	if (n->access == FOLLOW_REFUSED || !platform_admit(n->w, 1))
		end(r, STATUS_UNAVAILABLE);
	else if (r->seen == 0 || n->w->ledger->head.seq > r->seen)
		end(r, STATUS_OK);
	else
		end_after(r, wait_ms, STATUS_OK);
}

void
follow_read(struct node *n, const struct spread_action *a)
{
	struct follow_wait *r = g_new0(struct follow_wait, 1);

	r->id = ++n->w->next_follow;
	r->node = n;
	r->generation = n->generation;
	r->action = *a;
	if (a->kind == SPREAD_READ_HEAD)
		n->feed_seq = MAX(n->feed_seq, a->from);
	r->seen = n->feed_seq;
	if (a->kind == SPREAD_PROBE_HEAD && a->skip_next)
		r->seen++;
	if (a->kind == SPREAD_READ_VERSIONS)
		r->seen = 0;
	g_queue_push_tail(&n->w->follows, r);
	if (a->kind == SPREAD_READ_HEAD)
		n->following = 1;
	if (a->kind == SPREAD_READ_VERSIONS && n->following)
		end(r, STATUS_UNAVAILABLE);
	else
		admit(r);
}

void
follow_changed(struct world *w)
{
	struct follow_wait *r;
	GList *l, *next;

	for (l = w->follows.head; l != NULL; l = next) {
		next = l->next;
		r = l->data;
		if (!r->lost && w->ledger->head.seq > r->seen)
			end(r, STATUS_OK);
	}
}

void
follow_allow(struct world *w, uint32_t node, enum follow_access access)
{
	struct follow_wait *r;
	GList *l, *next;

	w->nodes[node].access = access;
	for (l = w->follows.head; l != NULL; l = next) {
		next = l->next;
		r = l->data;
		if (r->node->id != node)
			continue;
		if (access == FOLLOW_REFUSED)
			end(r, STATUS_UNAVAILABLE);
		else if (access == FOLLOW_SILENT)
			r->lost = 1;
	}
}

void
follow_sever(struct world *w)
{
	struct follow_wait *r;
	GList *l;

	for (l = w->follows.head; l != NULL; l = l->next) {
		r = l->data;
		r->lost = 1;
	}
}

void
follow_clear(struct world *w)
{
	g_queue_clear_full(&w->follows, g_free);
}
