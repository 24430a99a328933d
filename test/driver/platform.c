/*
 * Reads of the ledger, with outages, delay and throttling.
 */
#include "platform.h"

#include <string.h>

#include "links.h"
#include "world.h"

#define DEFAULT_DELAY_MS 5
#define DEFAULT_READS_PER_S 2000

/* Timeout of a read in the daemon. */
#define READ_TIMEOUT_MS 2000

/* Size of a request with its headers, and of a response without its body. */
#define REQUEST_BYTES (400 + TCP_HEADER_BYTES)
#define RESPONSE_BYTES (250 + TCP_HEADER_BYTES)

/* Read in flight. */
struct platform_response {
	struct node *node;
	uint32_t generation;
	struct spread_action action;
	enum status st;
	struct rec_head head;
};

void
platform_init(struct platform *p)
{
	memset(p, 0, sizeof(*p));
	p->delay_ms = DEFAULT_DELAY_MS;
	platform_set_limit(p, 0, DEFAULT_READS_PER_S);
}

void
platform_set_limit(struct platform *p, uint64_t now_ms, uint32_t reads_per_s)
{
	p->reads_per_s = reads_per_s;
	budget_init(&p->budget, reads_per_s, reads_per_s, now_ms);
}

void
platform_reset(struct platform *p)
{
	p->reads = 0;
	p->rejected = 0;
	p->reads_in_second = 0;
	p->peak_reads_per_s = 0;
}

int
platform_admit(struct world *w, uint32_t n)
{
	struct platform *p;
	uint64_t second;

	p = &w->platform;
	second = w->queue.now_us / US_PER_S;
	if (second != p->second)
		p->reads_in_second = 0;
	p->second = second;
	p->reads += n;
	p->reads_in_second += n;
	p->peak_reads_per_s = MAX(p->peak_reads_per_s, p->reads_in_second);
	if (!p->outage && budget_take(&p->budget, world_now_ms(w), n))
		return 1;
	p->rejected += n;
	return 0;
}

static void
platform_deliver_versions(struct node *n, const struct platform_response *a)
{
	struct spread_version_row *rows;
	const struct ledger_version *v;
	uint32_t count;
	uint64_t i;

	count = 0;
	rows = g_new0(
	    struct spread_version_row, a->action.to - a->action.from + 1);
	for (i = a->action.from; i <= a->action.to; i++) {
		v = ledger_version(n->world->ledger, i);
		if (v == NULL)
			continue;
		rows[count].version = i;
		rows[count].parent = i - 1;
		rows[count].root = v->root;
		rows[count].changes =
		    (const struct rec_section_change *)(void *)v->changes->data;
		rows[count].n_changes = v->changes->len;
		count++;
	}
	spread_on_versions(n->spread, world_now_ms(n->world), a->st, rows,
	    a->st == STATUS_OK ? count : 0);
	g_free(rows);
}

static void
platform_deliver_object(struct node *n, const struct platform_response *a)
{
	const uint8_t *data;
	enum status st;
	GBytes *object;
	gsize len;

	st = a->st;
	data = NULL;
	len = 0;
	object = ledger_object(n->world->ledger, &a->action.digest);
	if (st == STATUS_OK && object == NULL)
		st = STATUS_NOT_FOUND;
	if (st == STATUS_OK)
		data = g_bytes_get_data(object, &len);
	n->bytes.received[MEASURE_SOURCE] += len;
	spread_on_object(n->spread, world_now_ms(n->world), st,
	    &a->action.digest, data, len);
}

static void
platform_deliver(void *arg)
{
	struct platform_response *a;
	struct node *n;

	a = arg;
	n = a->node;
	if (n->up && n->frozen_us > n->world->queue.now_us) {
		queue_add(&n->world->queue, n->frozen_us, platform_deliver, a,
		    g_free);
		return;
	}
	if (!n->up || n->generation != a->generation) {
		g_free(a);
		return;
	}
	n->bytes.received[MEASURE_SOURCE] += RESPONSE_BYTES;
	if (a->action.kind == SPREAD_READ_HEAD)
		spread_on_head(
		    n->spread, world_now_ms(n->world), a->st, &a->head);
	else if (a->action.kind == SPREAD_READ_VERSIONS)
		platform_deliver_versions(n, a);
	else
		platform_deliver_object(n, a);
	g_free(a);
	world_dispatch(n);
}

static uint32_t
platform_read_count(const struct spread_action *a)
{
	if (a->kind == SPREAD_READ_VERSIONS)
		return (uint32_t)(a->to - a->from + 1);
	return 1;
}

void
platform_read(struct node *n, const struct spread_action *action)
{
	struct platform_response *a;
	struct world *w;
	uint32_t dc, ms;

	w = n->world;
	dc = n->data_centre;
	a = g_new0(struct platform_response, 1);
	a->node = n;
	a->generation = n->generation;
	a->action = *action;
	a->st = STATUS_UNAVAILABLE;
	n->bytes.sent[MEASURE_SOURCE] += REQUEST_BYTES;
	ms = w->platform.delay_ms;
	if (world_is_partitioned(w, dc, world_platform_index(w))) {
		ms = READ_TIMEOUT_MS;
	} else if (platform_admit(w, platform_read_count(action))) {
		a->st = STATUS_OK;
		a->head = w->ledger->head;
		if (action->kind == SPREAD_READ_HEAD && a->head.seq == 0)
			a->st = STATUS_NOT_FOUND;
		if (world_is_partitioned(w, world_platform_index(w), dc)) {
			a->st = STATUS_UNAVAILABLE;
			ms = READ_TIMEOUT_MS;
		}
	}
	queue_add(&w->queue, w->queue.now_us + ms * US_PER_MS, platform_deliver,
	    a, g_free);
}
