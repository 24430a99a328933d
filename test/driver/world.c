/*
 * Simulated nodes on one event queue.
 */
#include "world.h"

#include <string.h>

#include "links.h"
#include "preload.h"

/* Virtual time starts after zero, because zero means never. */
#define START_US (1000 * US_PER_S)

#define PORT 7000
#define NETWORK 0x0a000000U

/* Nodes start at random times within this period. */
#define START_WINDOW_MS 2000

/* Interval at which world_run_until_converged() checks for convergence. */
#define CONVERGENCE_POLL_MS 10

void
world_config_init(struct world_config *c, uint64_t seed)
{
	memset(c, 0, sizeof(*c));
	c->data_centres = 3;
	c->nodes = 6;
	c->services = 12;
	c->profile = *spread_profile_registry();
	c->probe_ms = 1000;
	c->seed = seed;
	c->local_delay_us = 200;
	c->remote_delay_us = 1000;
	c->jitter_us = 200;
	c->extra_delay_us = 50 * US_PER_MS;
	c->naive_poll_ms = 1000;
	c->check = 1;
}

uint32_t
world_node_index(const struct world *w, uint32_t data_centre, uint32_t place)
{
	return data_centre * w->config.nodes + place;
}

uint32_t
world_platform_index(const struct world *w)
{
	return w->config.data_centres;
}

struct world *
world_new(const struct world_config *config)
{
	struct world *w;
	struct node *n;
	uint32_t i, size;

	w = g_new0(struct world, 1);
	w->config = *config;
	w->rng = g_rand_new_with_seed((guint32)config->seed);
	queue_init(&w->queue, START_US);
	w->n_nodes = config->data_centres * config->nodes;
	w->nodes = g_new0(struct node, w->n_nodes);
	for (i = 0; i < w->n_nodes; i++) {
		n = &w->nodes[i];
		n->world = w;
		n->id = i;
		n->data_centre = i / config->nodes;
		n->addr.ip = NETWORK | i;
		n->addr.port = PORT;
		g_snprintf(n->host, sizeof(n->host), "host-%02u-%04u",
		    n->data_centre, i % config->nodes);
	}
	size = config->data_centres + 1;
	w->partitions = g_new0(uint8_t, size * size);
	links_init(w);
	w->ledger = ledger_new(config->services, (uint32_t)config->seed + 1);
	platform_init(&w->platform);
	g_queue_init(&w->pending_reads);
	w->checker = checker_new(w->ledger);
	measure_init(&w->measure);
	return w;
}

void
world_free(struct world *w)
{
	uint32_t i;

	if (w == NULL)
		return;
	for (i = 0; i < w->n_nodes; i++)
		world_kill(w, i);
	preload_clear(w);
	follow_clear(w);
	queue_clear(&w->queue);
	links_clear(w);
	checker_free(w->checker);
	ledger_free(w->ledger);
	measure_clear(&w->measure);
	g_rand_free(w->rng);
	g_free(w->partitions);
	g_free(w->nodes);
	g_free(w);
}

uint64_t
world_now_ms(const struct world *w)
{
	return w->queue.now_us / US_PER_MS;
}

void
world_run(struct world *w, uint64_t ms)
{
	uint64_t until_us;

	until_us = w->queue.now_us + ms * US_PER_MS;
	while (queue_step(&w->queue, until_us))
		;
}

int
world_converged(const struct world *w)
{
	const struct node *n;
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++) {
		n = &w->nodes[i];
		if (n->up &&
		    (!n->ready || n->version < w->ledger->head.in_force))
			return 0;
	}
	return 1;
}

int
world_run_until_converged(struct world *w, uint64_t ms)
{
	uint64_t end_us;

	end_us = w->queue.now_us + ms * US_PER_MS;
	while (!world_converged(w)) {
		if (w->queue.now_us >= end_us)
			return 0;
		world_run(w, CONVERGENCE_POLL_MS);
	}
	return 1;
}

static void
world_on_start(void *arg)
{
	struct node *n;

	n = arg;
	world_start(n->world, n->id);
}

int
world_start_all(struct world *w, uint64_t ms)
{
	uint32_t i;

	if (w->ledger->head.seq == 0)
		world_sign(w, WORLD_NO_NODE, 0);
	if (w->config.preload && w->config.kind == WORLD_SPREAD) {
		for (i = 0; i < w->n_nodes; i++)
			world_start(w, i);
		preload_record(w);
		i = (uint32_t)world_run_until_converged(w, ms);
		preload_clear(w);
		return (int)i;
	}
	for (i = 0; i < w->n_nodes; i++)
		world_schedule(w, g_rand_int(w->rng) % START_WINDOW_MS,
		    world_on_start, &w->nodes[i]);
	world_run(w, START_WINDOW_MS);
	return world_run_until_converged(w, ms);
}

/* Passes a version or head that was written to the platform to the spread of
 * the node that wrote it. */
static void
world_notify_signer(
    struct world *w, uint32_t node, const struct ledger_version *v)
{
	struct spread_version_row row;
	const struct rec_section_change *c;
	struct node *n;
	GBytes *content;
	uint32_t i;

	if (node == WORLD_NO_NODE || w->config.kind == WORLD_NAIVE)
		return;
	n = &w->nodes[node];
	if (!n->up || n->frozen_us > w->queue.now_us)
		return;
	memset(&row, 0, sizeof(row));
	if (v != NULL) {
		row.version = v->version;
		row.parent = v->version - 1;
		row.root = v->root;
		row.changes =
		    (const struct rec_section_change *)(void *)v->changes->data;
		row.n_changes = v->changes->len;
		for (i = 0; i < v->changes->len; i++) {
			c = &row.changes[i];
			content = ledger_object(w->ledger, &c->digest);
			if (!c->removed)
				spread_add_contents(n->spread, &content, 1);
		}
	}
	spread_on_signed(n->spread, world_now_ms(w), &w->ledger->head,
	    v != NULL ? &row : NULL);
	world_dispatch(n);
}

uint64_t
world_sign(struct world *w, uint32_t node, uint32_t n_changes)
{
	const struct ledger_version *v;

	v = ledger_sign(w->ledger, w->queue.now_us, n_changes);
	follow_changed(w);
	world_notify_signer(w, node, v);
	return v->version;
}

uint64_t
world_supersede(struct world *w, uint32_t node, uint64_t older)
{
	const struct ledger_version *v;

	v = ledger_supersede(w->ledger, w->queue.now_us, older);
	world_notify_signer(w, node, v);
	return v->version;
}

void
world_halt(struct world *w, uint32_t node)
{
	ledger_halt(w->ledger, w->queue.now_us);
	world_notify_signer(w, node, NULL);
}

void
world_partition(struct world *w, uint32_t from, uint32_t to, int cut)
{
	w->partitions[from * (w->config.data_centres + 1) + to] = (uint8_t)cut;
}

void
world_partition_both(struct world *w, uint32_t a, uint32_t b, int cut)
{
	world_partition(w, a, b, cut);
	world_partition(w, b, a, cut);
}

int
world_is_partitioned(const struct world *w, uint32_t from, uint32_t to)
{
	return w->partitions[from * (w->config.data_centres + 1) + to];
}

void
world_stall_connections(struct world *w)
{
	GHashTableIter it;
	struct conn *c;
	gpointer value;

	g_hash_table_iter_init(&it, w->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		c = value;
		c->stalled = 1;
	}
}

void
world_schedule(struct world *w, uint64_t ms, queue_fn *fn, void *arg)
{
	queue_add(&w->queue, w->queue.now_us + ms * US_PER_MS, fn, arg, NULL);
}
