/*
 * Answers reads of the ledger, or does not.
 */
#include "platform.h"

#include <string.h>

#include "links.h"
#include "world.h"

#define DEFAULT_DELAY_MS 5
#define DEFAULT_READS_PER_S 2000

/* The shell's timeout when no answer comes. */
#define TIMEOUT_MS 2000

/* Bytes of a request with its headers, and of an answer besides its body. */
#define REQUEST_BYTES (400 + TCP_HEADER_BYTES)
#define ANSWER_BYTES (250 + TCP_HEADER_BYTES)

/* One more read in flight. */
struct platform_answer {
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
	platform_limit(p, 0, DEFAULT_READS_PER_S);
}

void
platform_limit(struct platform *p, uint64_t now_ms, uint32_t reads_per_s)
{
	p->reads_per_s = reads_per_s;
	budget_init(&p->budget, reads_per_s, reads_per_s, now_ms);
}

void
platform_reset(struct platform *p)
{
	p->reads = 0;
	p->refused = 0;
	p->in_second = 0;
	p->peak = 0;
}

int
platform_admit(struct world *w, uint32_t n)
{
	struct platform *p;
	uint64_t second;

	p = &w->platform;
	second = w->queue.now_us / US_PER_S;
	if (second != p->second)
		p->in_second = 0;
	p->second = second;
	p->reads += n;
	p->in_second += n;
	p->peak = MAX(p->peak, p->in_second);
	if (!p->outage && budget_take(&p->budget, world_now_ms(w), n))
		return 1;
	p->refused += n;
	return 0;
}

static void
platform_give_versions(struct node *n, const struct platform_answer *a)
{
	struct spread_version_row *rows;
	const struct ledger_version *v;
	uint32_t count;
	uint64_t i;

	count = 0;
	rows = g_new0(
	    struct spread_version_row, a->action.to - a->action.from + 1);
	for (i = a->action.from; i <= a->action.to; i++) {
		v = ledger_version(n->w->ledger, i);
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
	spread_on_versions(n->s, world_now_ms(n->w), a->st, rows,
	    a->st == STATUS_OK ? count : 0);
	g_free(rows);
}

static void
platform_give_object(struct node *n, const struct platform_answer *a)
{
	const uint8_t *data;
	enum status st;
	GBytes *object;
	gsize len;

	st = a->st;
	data = NULL;
	len = 0;
	object = ledger_object(n->w->ledger, &a->action.digest);
	if (st == STATUS_OK && object == NULL)
		st = STATUS_NOT_FOUND;
	if (st == STATUS_OK)
		data = g_bytes_get_data(object, &len);
	n->bytes.received[MEASURE_SOURCE] += len;
	spread_on_object(
	    n->s, world_now_ms(n->w), st, &a->action.digest, data, len);
}

static void
platform_give(void *arg)
{
	struct platform_answer *a;
	struct node *n;

	a = arg;
	n = a->node;
	if (n->up && n->frozen_us > n->w->queue.now_us) {
		queue_add(&n->w->queue, n->frozen_us, platform_give, a, g_free);
		return;
	}
	if (!n->up || n->generation != a->generation) {
		g_free(a);
		return;
	}
	n->bytes.received[MEASURE_SOURCE] += ANSWER_BYTES;
	if (a->action.kind == SPREAD_READ_HEAD)
		spread_on_head(n->s, world_now_ms(n->w), a->st, &a->head);
	else if (a->action.kind == SPREAD_READ_VERSIONS)
		platform_give_versions(n, a);
	else
		platform_give_object(n, a);
	g_free(a);
	world_pump(n);
}

static uint32_t
platform_cost(const struct spread_action *a)
{
	if (a->kind == SPREAD_READ_VERSIONS)
		return (uint32_t)(a->to - a->from + 1);
	return 1;
}

void
platform_read(struct node *n, const struct spread_action *action)
{
	struct platform_answer *a;
	struct world *w;
	uint32_t dc, ms;

	w = n->w;
	dc = n->data_centre;
	a = g_new0(struct platform_answer, 1);
	a->node = n;
	a->generation = n->generation;
	a->action = *action;
	a->st = STATUS_UNAVAILABLE;
	n->bytes.sent[MEASURE_SOURCE] += REQUEST_BYTES;
	ms = w->platform.delay_ms;
	if (world_is_cut(w, dc, world_platform(w))) {
		ms = TIMEOUT_MS;
	} else if (platform_admit(w, platform_cost(action))) {
		a->st = STATUS_OK;
		a->head = w->ledger->head;
		if (action->kind == SPREAD_READ_HEAD && a->head.seq == 0)
			a->st = STATUS_NOT_FOUND;
		if (world_is_cut(w, world_platform(w), dc)) {
			a->st = STATUS_UNAVAILABLE;
			ms = TIMEOUT_MS;
		}
	}
	queue_add(&w->queue, w->queue.now_us + ms * US_PER_MS, platform_give, a,
	    g_free);
}
