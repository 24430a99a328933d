/*
 * One host of the test driver: runs the node's modules as the daemon does.
 */
#include <string.h>

#include "links.h"
#include "naive.h"
#include "world.h"

#define CALL_PORT_STEP 1

/* Join seeds: the first SEEDS_EACH hosts in each of the first SEED_DATA_CENTRES
 * data centres. */
#define SEED_DATA_CENTRES 3
#define SEEDS_EACH 2

/* Scheduled tick; obsolete if the node's timer was set to another time
 * since. */
struct node_tick {
	struct node *node;
	uint32_t generation;
	uint64_t at_us;
};

static void node_schedule(struct node *n);

static void
node_tick(void *arg)
{
	struct node_tick *t;
	struct node *n;

	t = arg;
	n = t->node;
	if (n->up && n->generation == t->generation &&
	    n->timer_us == t->at_us) {
		n->timer_us = UINT64_MAX;
		if (n->frozen_us <= n->world->queue.now_us) {
			membership_tick(n->membership, world_now_ms(n->world));
			spread_tick(n->spread, world_now_ms(n->world));
		}
		world_dispatch(n);
	}
	g_free(t);
}

static void
node_schedule(struct node *n)
{
	struct node_tick *t;
	uint64_t ms, us;

	ms = MIN(membership_next_ms(n->membership), spread_next_ms(n->spread));
	us = ms > UINT64_MAX / US_PER_MS ? UINT64_MAX : ms * US_PER_MS;
	us = MAX(us, MAX(n->frozen_us, n->world->queue.now_us));
	if (us >= n->timer_us)
		return;
	n->timer_us = us;
	t = g_new(struct node_tick, 1);
	t->node = n;
	t->generation = n->generation;
	t->at_us = us;
	queue_add(&n->world->queue, us, node_tick, t, g_free);
}

static void
node_compile(struct node *n)
{
	struct snapshot *s;

	if (n->endpoints == NULL)
		return;
	s = snapshot_compile(n->catalog, n->endpoints);
	checker_snapshot(n->world->checker, n->host, n->catalog, s);
	snapshot_unref(n->snapshot);
	n->snapshot = s;
}

/* Copies a host's endpoints from membership into the endpoint set, as the
 * daemon does. */
static void
node_update_endpoints(struct node *n, const char *host)
{
	struct endpoint list[MEMBER_ENDPOINTS_MAX];
	const struct member *m;
	uint32_t i, count;

	if (n->endpoints == NULL)
		return;
	memset(list, 0, sizeof(list));
	count = 0;
	m = membership_find(n->membership, host);
	for (i = 0; m != NULL && member_is_live(m) && i < m->n_endpoints; i++) {
		if (m->endpoints[i].state == ENDPOINT_LEFT)
			continue;
		g_strlcpy(list[count].service, m->endpoints[i].service,
		    sizeof(list[count].service));
		g_strlcpy(list[count].host, m->host, sizeof(list[count].host));
		list[count].address = m->address;
		list[count].slots = m->endpoints[i].slots;
		count++;
	}
	if (endpoint_set_host(n->endpoints, host, list, count) > 0 &&
	    n->snapshot != NULL)
		node_compile(n);
}

static void
node_applied(struct node *n)
{
	const struct ledger_version *v;
	struct world *w;
	uint64_t i;

	w = n->world;
	checker_applied(
	    w->checker, w->queue.now_us, n->host, n->catalog, n->ready);
	if (w->config.check)
		checker_content(w->checker, n->host, n->catalog);
	node_compile(n);
	for (i = n->version + 1; i <= catalog_version(n->catalog); i++) {
		v = ledger_version(w->ledger, i);
		if (v != NULL && v->halted_us == 0)
			measure_applied(&w->measure, i, w->queue.now_us,
			    w->queue.now_us - v->signed_us);
	}
	n->version = catalog_version(n->catalog);
}

static void
node_on_membership(struct node *n, const struct membership_action *a)
{
	struct rec_head head;

	if (a->kind == MEMBERSHIP_CHANGED)
		node_update_endpoints(n, a->host);
	if (a->kind != MEMBERSHIP_PEER_HEAD || a->head.seq == 0)
		return;
	memset(&head, 0, sizeof(head));
	head.seq = a->head.seq;
	head.version = a->head.version;
	head.in_force = a->head.in_force;
	head.state = a->head.state == HEAD_HALTED ? HEAD_HALTED : HEAD_ROLLING;
	spread_on_gossip_head(
	    n->spread, world_now_ms(n->world), &a->addr, &head);
}

static void
node_execute(struct node *n, const struct spread_action *a)
{
	switch (a->kind) {
	case SPREAD_READ_HEAD:
	case SPREAD_READ_VERSIONS:
	case SPREAD_READ_OBJECT:
		if (n->world->config.follow)
			follow_read(n, a);
		else
			platform_read(n, a);
		break;
	case SPREAD_APPLY:
		node_applied(n);
		break;
	case SPREAD_PROBE_HEAD:
		if (n->world->config.follow)
			follow_read(n, a);
		break;
	case SPREAD_READY:
		n->ready = 1;
		checker_ready(
		    n->world->checker, n->host, catalog_version(n->catalog));
		break;
	case SPREAD_STORE_EPOCH:
		follow_set_epoch(n, a->to);
		break;
	case SPREAD_STORE_BEHIND:
	case SPREAD_PEER_TIMED_OUT:
	case SPREAD_PEER_BANNED:
	case SPREAD_HALTED:
	case SPREAD_READER:
	case SPREAD_REFUSED:
		break;
	}
}

void
world_dispatch(struct node *n)
{
	struct membership_action ma;
	struct spread_action sa;
	struct outbox_item *item;

	if (n->world->config.kind == WORLD_NAIVE) {
		if (catalog_version(n->catalog) > n->version)
			node_applied(n);
		n->ready = n->version > 0;
		return;
	}
	while (membership_pop(n->membership, &ma))
		node_on_membership(n, &ma);
	while (spread_pop(n->spread, &sa))
		node_execute(n, &sa);
	while ((item = outbox_pop(n->membership_out)) != NULL)
		links_send(n, item);
	while ((item = outbox_pop(spread_outbox(n->spread))) != NULL)
		links_send(n, item);
	node_schedule(n);
}

static void
node_create_membership(struct node *n, uint64_t seed)
{
	struct net_addr seeds[SEED_DATA_CENTRES * SEEDS_EACH];
	struct membership_settings s;
	struct world *w;
	uint32_t i, j;

	w = n->world;
	membership_settings_init(&s);
	g_strlcpy(s.host, n->host, sizeof(s.host));
	g_snprintf(
	    s.data_centre, sizeof(s.data_centre), "dc-%02u", n->data_centre);
	s.address = n->addr;
	s.call_port = n->addr.port + CALL_PORT_STEP;
	s.seeds = seeds;
	s.probe_interval_ms = w->config.probe_ms;
	if (w->config.probe_timeout_ms != 0)
		s.probe_timeout_ms = w->config.probe_timeout_ms;
	if (w->config.suspicion_ms != 0)
		s.suspicion_ms = w->config.suspicion_ms;
	for (i = 0; i < MIN(SEED_DATA_CENTRES, w->config.data_centres); i++)
		for (j = 0; j < MIN(SEEDS_EACH, w->config.nodes); j++)
			seeds[s.n_seeds++] =
			    w->nodes[world_node_index(w, i, j)].addr;
	n->membership_out = outbox_new();
	n->membership = membership_new(
	    &s, world_now_ms(w), world_now_ms(w), seed, n->membership_out);
}

static void
node_create_spread(struct node *n, uint64_t seed)
{
	struct spread_config config;

	config.profile = n->world->config.profile;
	config.host = n->host;
	config.data_centre = membership_self(n->membership)->data_centre;
	config.seed = seed;
	n->spread = spread_new(
	    &config, n->membership, n->catalog, world_now_ms(n->world));
	if (n->world->config.follow)
		follow_start(n);
}

void
world_start(struct world *w, uint32_t node)
{
	struct node *n;
	uint64_t seed;

	n = &w->nodes[node];
	if (n->up)
		return;
	n->up = 1;
	n->generation++;
	n->timer_us = UINT64_MAX;
	n->frozen_us = 0;
	n->version = 0;
	n->ready = 0;
	n->catalog = catalog_new(0);
	checker_started(w->checker, n->host);
	if (w->config.kind == WORLD_NAIVE) {
		naive_start(n);
		return;
	}
	if (w->config.check)
		n->endpoints = endpoint_set_new();
	seed = (uint64_t)g_rand_int(w->rng) << 32 | g_rand_int(w->rng);
	node_create_membership(n, seed);
	node_create_spread(n, seed + 1);
	world_dispatch(n);
}

void
world_kill(struct world *w, uint32_t node)
{
	struct node *n;

	n = &w->nodes[node];
	if (!n->up)
		return;
	n->up = 0;
	links_reset_all(n);
	spread_free(n->spread);
	membership_free(n->membership);
	outbox_free(n->membership_out);
	snapshot_unref(n->snapshot);
	endpoint_set_free(n->endpoints);
	catalog_free(n->catalog);
	n->spread = NULL;
	n->membership = NULL;
	n->membership_out = NULL;
	n->snapshot = NULL;
	n->endpoints = NULL;
	n->catalog = NULL;
}

void
world_replace(struct world *w, uint32_t node, const char *host)
{
	g_strlcpy(w->nodes[node].host, host, sizeof(w->nodes[node].host));
}

void
world_freeze(struct world *w, uint32_t node, uint64_t ms)
{
	w->nodes[node].frozen_us = w->queue.now_us + ms * US_PER_MS;
}
