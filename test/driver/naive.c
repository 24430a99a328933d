/*
 * Reference implementation: each node polls the whole bundle, with one read of
 * the head row and one of an object that contains the bundle.  A failed poll is
 * not retried before the next one.
 */
#include "naive.h"

#include "config/stage.h"
#include "links.h"

#define REQUEST_BYTES (400 + TCP_HEADER_BYTES)
#define RESPONSE_BYTES (250 + TCP_HEADER_BYTES)
#define READS_PER_POLL 2

/* Scheduled poll, or its response with @version. */
struct naive_poll {
	struct node *node;
	uint32_t generation;
	uint64_t version;
};

static void naive_poll(void *arg);

static void
naive_schedule(struct node *n, queue_fn *fn, uint64_t us, uint64_t version)
{
	struct naive_poll *p;

	p = g_new(struct naive_poll, 1);
	p->node = n;
	p->generation = n->generation;
	p->version = version;
	queue_add(&n->world->queue, n->world->queue.now_us + us, fn, p, g_free);
}

static void
naive_apply(struct node *n, const struct ledger_version *v)
{
	struct catalog_stage *stage;
	const uint8_t *data;
	GArray *missing;
	GBytes *object;
	uint32_t i;
	gsize len;

	if (catalog_stage_begin_full(
		n->catalog, v->version, &v->root, v->list, &stage) != STATUS_OK)
		return;
	missing = catalog_stage_missing(stage, 0);
	for (i = 0; i < missing->len; i++) {
		object = ledger_object(n->world->ledger,
		    &g_array_index(missing, struct digest, i));
		data = g_bytes_get_data(object, &len);
		(void)catalog_stage_add(stage, data, len);
	}
	g_array_unref(missing);
	(void)catalog_commit(n->catalog, stage);
	catalog_stage_free(stage);
}

static void
naive_on_response(void *arg)
{
	const struct ledger_version *v;
	struct naive_poll *p;
	struct node *n;

	p = arg;
	n = p->node;
	v = ledger_version(n->world->ledger, p->version);
	if (n->up && n->generation == p->generation && v != NULL) {
		n->bytes.received[MEASURE_SOURCE] +=
		    RESPONSE_BYTES + ledger_bundle_bytes(n->world->ledger, v);
		if (v->version > catalog_version(n->catalog))
			naive_apply(n, v);
		world_dispatch(n);
	}
	g_free(p);
}

static void
naive_poll(void *arg)
{
	struct naive_poll *p;
	struct world *w;
	struct node *n;
	uint32_t ms;

	p = arg;
	n = p->node;
	w = n->world;
	if (!n->up || n->generation != p->generation) {
		g_free(p);
		return;
	}
	ms = w->config.naive_poll_ms;
	naive_schedule(
	    n, naive_poll, US_PER_MS * (ms / 2 + g_rand_int(w->rng) % ms), 0);
	n->bytes.sent[MEASURE_SOURCE] += READS_PER_POLL * REQUEST_BYTES;
	n->bytes.received[MEASURE_SOURCE] += RESPONSE_BYTES;
	if (!world_is_partitioned(w, n->data_centre, world_platform_index(w)) &&
	    platform_admit(w, READS_PER_POLL))
		naive_schedule(n, naive_on_response,
		    w->platform.delay_ms * US_PER_MS, w->ledger->head.in_force);
	g_free(p);
}

void
naive_start(struct node *n)
{
	uint32_t ms;

	ms = n->world->config.naive_poll_ms;
	naive_schedule(
	    n, naive_poll, US_PER_MS * (g_rand_int(n->world->rng) % ms), 0);
}
