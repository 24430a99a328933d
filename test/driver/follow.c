/*
 * Long-polling reads of the platform's head.
 */
#include "follow.h"

#include <string.h>

#include "world.h"

/* Timeout of a read in the daemon, in addition to its long-poll time. */
#define READ_TIMEOUT_MS 1500

/**
 * struct follow_request - pending read
 * @id: number of the read
 * @node: node that sent the read
 * @generation: process of the node that sent the read
 * @action: action of the spread that requested the read
 * @known_seq: number of the newest change that the node has
 * @answer_seq: number of the newest change in the answer
 * @st: status of the answer
 * @lost: the answer is lost; the read ends by its timeout or by FOLLOW_REJECTED
 */
struct follow_request {
	uint64_t id;
	struct node *node;
	uint32_t generation;
	struct spread_action action;
	uint64_t known_seq;
	uint64_t answer_seq;
	enum status st;
	int lost;
};

/** struct follow_timer - timer that completes a read with @st if the read is
 * still pending */
struct follow_timer {
	struct world *world;
	uint64_t id;
	enum status st;
};

static void deliver(void *arg);

void
follow_start(struct node *n)
{
	n->feed_seq = 0;
	n->head_read_pending = 0;
	memset(&n->feed_head, 0, sizeof(n->feed_head));
	spread_set_long_poll(n->spread, FOLLOW_WAIT_MS);
}

static int
is_current(const struct follow_request *read)
{
	return read->node->up && read->node->generation == read->generation;
}

/* Sends the answer now; it arrives after the platform's delay. */
static void
complete(struct follow_request *read, enum status st)
{
	struct world *w = read->node->world;

	read->st = st;
	read->answer_seq = w->ledger->head.seq;
	g_queue_remove(&w->pending_reads, read);
	queue_add(&w->queue, w->queue.now_us + w->platform.delay_ms * US_PER_MS,
	    deliver, read, g_free);
}

static struct follow_request *
find_read(const struct world *w, uint64_t id)
{
	struct follow_request *read;
	GList *l;

	for (l = w->pending_reads.head; l != NULL; l = l->next) {
		read = l->data;
		if (read->id == id)
			return read;
	}
	return NULL;
}

static void
on_timer(void *arg)
{
	struct follow_timer *t = arg;
	struct follow_request *read = find_read(t->world, t->id);

	if (read != NULL && (!read->lost || t->st != STATUS_OK))
		complete(read, t->st);
	g_free(t);
}

static void
complete_after(const struct follow_request *read, uint64_t ms, enum status st)
{
	struct world *w = read->node->world;
	struct follow_timer *t = g_new(struct follow_timer, 1);

	t->world = w;
	t->id = read->id;
	t->st = st;
	queue_add(
	    &w->queue, w->queue.now_us + ms * US_PER_MS, on_timer, t, g_free);
}

static void
deliver_version(struct node *n, uint64_t answer_seq)
{
	const struct ledger *l = n->world->ledger;
	const struct ledger_version *v = ledger_version(l, l->head.in_force);
	GBytes **contents = g_new(GBytes *, v->list->len);
	uint32_t i;

	for (i = 0; i < v->list->len; i++)
		contents[i] = ledger_object(l,
		    &g_array_index(v->list, struct rec_section_ref, i).digest);
	n->feed_seq = MAX(n->feed_seq, answer_seq);
	n->feed_head = l->head;
	n->feed_head.root = v->root;
	spread_on_full_version(n->spread, world_now_ms(n->world), &n->feed_head,
	    v->list, contents, v->list->len);
	g_free(contents);
}

static void
deliver_head(struct node *n, const struct follow_request *read)
{
	struct spread_read_end read_end = {.ok = read->st == STATUS_OK};
	uint64_t now_ms = world_now_ms(n->world);
	int known = n->feed_head.seq != 0;

	n->head_read_pending = 0;
	read_end.has_row = read->answer_seq > read->known_seq;
	read_end.position = read->answer_seq;
	if (!read_end.ok) {
		spread_on_head(n->spread, now_ms, read->st, NULL);
		return;
	}
	spread_on_head_read_ended(n->spread, now_ms, &read_end);
	if (read_end.has_row)
		deliver_version(n, read->answer_seq);
	else
		spread_on_head(n->spread, now_ms,
		    known ? STATUS_OK : STATUS_NOT_FOUND,
		    known ? &n->feed_head : NULL);
}

static void
deliver_probe(struct node *n, const struct follow_request *read)
{
	struct spread_read_end read_end = {.ok = read->st == STATUS_OK};

	read_end.has_row = read->answer_seq > read->known_seq;
	if (read_end.ok && read_end.has_row)
		deliver_version(n, read->answer_seq);
	spread_on_probe_ended(n->spread, world_now_ms(n->world), &read_end);
}

static void
deliver_versions(struct node *n, const struct follow_request *read)
{
	if (read->st == STATUS_OK && n->world->ledger->head.seq != 0)
		deliver_version(n, read->answer_seq);
	spread_on_versions(
	    n->spread, world_now_ms(n->world), STATUS_UNAVAILABLE, NULL, 0);
}

static void
deliver(void *arg)
{
	struct follow_request *read = arg;
	struct node *n = read->node;

	if (is_current(read) && n->frozen_us > n->world->queue.now_us) {
		queue_add(
		    &n->world->queue, n->frozen_us, deliver, read, g_free);
		return;
	}
	if (is_current(read)) {
		if (read->action.kind == SPREAD_READ_HEAD)
			deliver_head(n, read);
		else if (read->action.kind == SPREAD_PROBE_HEAD)
			deliver_probe(n, read);
		else
			deliver_versions(n, read);
		world_dispatch(n);
	}
	g_free(read);
}

/* Decides how the platform answers a read that it has received. */
static void
admit(struct follow_request *read)
{
	struct node *n = read->node;
	uint64_t wait_ms = read->action.wait_ms;

	complete_after(read, wait_ms + READ_TIMEOUT_MS, STATUS_TIMEOUT);
	read->lost = n->access == FOLLOW_NO_RESPONSE;
	if (read->lost)
		return;
	if (n->access == FOLLOW_REJECTED || !platform_admit(n->world, 1))
		complete(read, STATUS_UNAVAILABLE);
	else if (read->known_seq == 0 ||
	    n->world->ledger->head.seq > read->known_seq)
		complete(read, STATUS_OK);
	else
		complete_after(read, wait_ms, STATUS_OK);
}

void
follow_read(struct node *n, const struct spread_action *a)
{
	struct follow_request *read = g_new0(struct follow_request, 1);

	read->id = ++n->world->last_read_id;
	read->node = n;
	read->generation = n->generation;
	read->action = *a;
	if (a->kind == SPREAD_READ_HEAD)
		n->feed_seq = MAX(n->feed_seq, a->from);
	read->known_seq = n->feed_seq;
	if (a->kind == SPREAD_PROBE_HEAD && a->skip_next)
		read->known_seq++;
	if (a->kind == SPREAD_READ_VERSIONS)
		read->known_seq = 0;
	g_queue_push_tail(&n->world->pending_reads, read);
	if (a->kind == SPREAD_READ_HEAD)
		n->head_read_pending = 1;
	if (a->kind == SPREAD_READ_VERSIONS && n->head_read_pending)
		complete(read, STATUS_UNAVAILABLE);
	else
		admit(read);
}

void
follow_changed(struct world *w)
{
	struct follow_request *read;
	GList *l, *next;

	for (l = w->pending_reads.head; l != NULL; l = next) {
		next = l->next;
		read = l->data;
		if (!read->lost && w->ledger->head.seq > read->known_seq)
			complete(read, STATUS_OK);
	}
}

void
follow_set_access(struct world *w, uint32_t node, enum follow_access access)
{
	struct follow_request *read;
	GList *l, *next;

	w->nodes[node].access = access;
	for (l = w->pending_reads.head; l != NULL; l = next) {
		next = l->next;
		read = l->data;
		if (read->node->id != node)
			continue;
		if (access == FOLLOW_REJECTED)
			complete(read, STATUS_UNAVAILABLE);
		else if (access == FOLLOW_NO_RESPONSE)
			read->lost = 1;
	}
}

void
follow_drop_pending(struct world *w)
{
	struct follow_request *read;
	GList *l;

	for (l = w->pending_reads.head; l != NULL; l = l->next) {
		read = l->data;
		read->lost = 1;
	}
}

void
follow_clear(struct world *w)
{
	g_queue_clear_full(&w->pending_reads, g_free);
}
