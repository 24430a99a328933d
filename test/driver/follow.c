/*
 * Long-polling reads of the platform's head.
 */
#include "follow.h"

#include <string.h>

#include "proto/store_position.h"

#include "world.h"

/* Timeout of a read in the daemon, in addition to its long-poll time. */
#define READ_TIMEOUT_MS 1500

/**
 * struct follow_request - pending read
 * @id: number of the read
 * @node: node that sent the read
 * @generation: process of the node that sent the read
 * @action: action of the spread that requested the read
 * @after: position after which changes are read
 * @full: the whole version is read, whatever its position
 * @epoch: epoch of the answer
 * @rows: rows as of the answer
 * @st: status of the answer
 * @lost: the answer is lost; the read ends by its timeout or by FOLLOW_REJECTED
 */
struct follow_request {
	uint64_t id;
	struct node *node;
	uint32_t generation;
	struct spread_action action;
	uint64_t after;
	int full;
	uint64_t epoch;
	struct follow_rows rows;
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
	n->feed_position = 0;
	n->feed_row = 0;
	n->feed_epoch = 0;
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
	read->epoch = w->store.epoch;
	read->rows = w->store.rows;
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

static void admit(struct follow_request *read);

static uint64_t
row_position(const struct follow_request *read)
{
	return store_position_make(read->epoch, read->rows.row_change);
}

static int
has_row(const struct follow_request *read)
{
	if (read->rows.row_change == 0)
		return 0;
	return read->full ||
	    read->rows.row_change > store_position_change(read->after);
}

/* Whether the answer contains a version that was not returned before. */
static int
is_new(const struct node *n, const struct follow_request *read)
{
	if (!has_row(read))
		return 0;
	return read->full ? row_position(read) >= n->feed_row
			  : row_position(read) > n->feed_row;
}

static void
deliver_version(struct node *n, const struct follow_request *read)
{
	const struct ledger *l = n->world->ledger;
	const struct ledger_version *v = ledger_version(l, read->rows.version);
	GBytes **contents = g_new(GBytes *, v->list->len);
	uint32_t i;

	for (i = 0; i < v->list->len; i++)
		contents[i] = ledger_object(l,
		    &g_array_index(v->list, struct rec_section_ref, i).digest);
	n->feed_row = row_position(read);
	n->feed_head.seq = v->version;
	n->feed_head.version = v->version;
	n->feed_head.in_force = v->version;
	n->feed_head.state = HEAD_ROLLING;
	n->feed_head.root = v->root;
	spread_on_full_version(n->spread, world_now_ms(n->world), &n->feed_head,
	    v->list, contents, v->list->len);
	g_free(contents);
}

static void
update_position(struct node *n, const struct follow_request *read)
{
	uint64_t position = store_position_make(read->epoch, read->rows.change);

	if (has_row(read) || !read->action.skip_next)
		n->feed_position = MAX(n->feed_position, position);
}

static void
deliver_head(struct node *n, const struct follow_request *read)
{
	struct spread_read_end read_end = {.ok = read->st == STATUS_OK};
	uint64_t now_ms = world_now_ms(n->world);
	int known;

	n->head_read_pending = 0;
	if (!read_end.ok) {
		spread_on_head(n->spread, now_ms, read->st, NULL);
		return;
	}
	update_position(n, read);
	read_end.has_row = has_row(read);
	read_end.position = n->feed_position;
	spread_on_head_read_ended(n->spread, now_ms, &read_end);
	known = n->feed_head.seq != 0;
	if (is_new(n, read))
		deliver_version(n, read);
	else
		spread_on_head(n->spread, now_ms,
		    known ? STATUS_OK : STATUS_NOT_FOUND,
		    known ? &n->feed_head : NULL);
}

static void
deliver_probe(struct node *n, const struct follow_request *read)
{
	struct spread_read_end read_end = {.ok = read->st == STATUS_OK};

	read_end.has_row = has_row(read);
	if (read_end.ok) {
		update_position(n, read);
		if (is_new(n, read))
			deliver_version(n, read);
	}
	spread_on_probe_ended(n->spread, world_now_ms(n->world), &read_end);
}

static void
deliver_versions(struct node *n, const struct follow_request *read)
{
	if (read->st == STATUS_OK && is_new(n, read))
		deliver_version(n, read);
	spread_on_versions(
	    n->spread, world_now_ms(n->world), STATUS_UNAVAILABLE, NULL, 0);
}

static struct follow_request *
copy_request(const struct follow_request *read)
{
	struct follow_request *copy = g_new0(struct follow_request, 1);

	copy->id = ++read->node->world->last_read_id;
	copy->node = read->node;
	copy->generation = read->generation;
	copy->action = read->action;
	copy->after = read->after;
	copy->full = read->full;
	return copy;
}

static void
send_request(struct follow_request *read)
{
	g_queue_push_tail(&read->node->world->pending_reads, read);
	admit(read);
}

/* Repeats a long poll as a full read. */
static void
read_in_full(const struct follow_request *read)
{
	struct follow_request *full = copy_request(read);

	full->full = 1;
	full->action.wait_ms = 0;
	send_request(full);
}

/* Handles an answer that can't be used, since the store came back from a copy
 * before or after it was made.
 *
 * Return: whether the answer was handled.
 */
static int
handle_other_epoch(struct node *n, struct follow_request *read)
{
	if (read->st != STATUS_OK)
		return 0;
	if (read->epoch < n->feed_epoch) {
		read->st = STATUS_UNAVAILABLE;
		return 0;
	}
	n->feed_epoch = read->epoch;
	if (read->full || read->epoch == store_position_epoch(read->after))
		return 0;
	if (read->action.kind != SPREAD_READ_HEAD) {
		read->st = STATUS_UNAVAILABLE;
		return 0;
	}
	read_in_full(read);
	return 1;
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
	if (is_current(read) && !handle_other_epoch(n, read)) {
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

/* Whether there is a change after the number that the read names, or the store
 * doesn't have that number, which it reports at once. */
static int
is_answerable(const struct world *w, const struct follow_request *read)
{
	uint64_t after = store_position_change(read->after);

	return w->store.rows.row_change > after || w->store.rows.change < after;
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
	else if (read->full || is_answerable(n->world, read))
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
		n->feed_position = MAX(n->feed_position, a->from);
	read->after = n->feed_position;
	if (a->kind == SPREAD_PROBE_HEAD && a->skip_next)
		read->after++;
	read->full = a->kind == SPREAD_READ_VERSIONS || n->feed_position == 0 ||
	    store_position_epoch(n->feed_position) < n->feed_epoch;
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

	w->store.rows.row_change = ++w->store.rows.change;
	w->store.rows.version = w->ledger->head.in_force;
	for (l = w->pending_reads.head; l != NULL; l = next) {
		next = l->next;
		read = l->data;
		if (!read->lost &&
		    w->store.rows.row_change >
			store_position_change(read->after))
			complete(read, STATUS_OK);
	}
}

void
follow_back_up(struct world *w)
{
	w->store.copy = w->store.rows;
}

void
follow_write_others(struct world *w, uint32_t n)
{
	w->store.rows.change += n;
}

void
follow_restore(struct world *w, enum follow_pending pending)
{
	struct follow_request *read;
	GList *l, *next;

	w->store.rows = w->store.copy;
	w->store.epoch++;
	if (pending == FOLLOW_PENDING_KEPT)
		return;
	for (l = w->pending_reads.head; l != NULL; l = next) {
		next = l->next;
		read = l->data;
		if (!read->lost)
			complete(read, STATUS_UNAVAILABLE);
	}
}

void
follow_set_epoch(struct node *n, uint64_t epoch)
{
	struct follow_request *read;
	GList *l, *next;

	for (l = n->world->pending_reads.head; l != NULL; l = next) {
		next = l->next;
		read = l->data;
		if (read->node != n || !is_current(read) || read->lost ||
		    read->action.kind != SPREAD_READ_HEAD || read->full ||
		    store_position_epoch(read->after) >= epoch)
			continue;
		read->full = 1;
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
