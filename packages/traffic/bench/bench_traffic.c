/*
 * CPU time of single decisions, and memory of their tables.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <malloc.h>

#include "traffic/admission.h"
#include "traffic/call.h"
#include "traffic/keyed.h"
#include "traffic/placement.h"
#include "traffic/quarantine.h"

#define ROUNDS 200000
#define RECORDS 20000
#define SERVICE 1
#define KIB 1024

static uint64_t
cpu_ns(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000000 + (uint64_t)ts.tv_nsec;
}

static void
print_cost(const char *name, uint64_t began_ns, uint64_t rounds)
{
	(void)printf("%-44s %8.0f ns\n", name,
	    (double)(cpu_ns() - began_ns) / (double)rounds);
}

static size_t
heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static void
bench_placement(size_t n, uint64_t kind)
{
	struct endpoint_info *infos = g_new0(struct endpoint_info, n);
	struct placement_query q = {
	    .service = SERVICE, .idempotent = true, .kind = kind};
	struct load_report load = {.in_flight = 3,
	    .slots = 12,
	    .work_ms = 60,
	    .pace_percent = 100,
	    .kind_us = 20000};
	struct endpoints_config ec;
	struct placement_config pc;
	struct ejection_config jc;
	struct placement_choice c;
	struct endpoints *e;
	struct ejection *j;
	struct placement *p;
	uint64_t began, i;
	char name[64];

	endpoints_config_default(&ec);
	placement_config_default(&pc);
	ejection_config_default(&jc);
	e = endpoints_new(&ec);
	j = ejection_new(&jc, e);
	p = placement_new(&pc, e, j, 1);
	for (i = 0; i < n; i++) {
		infos[i].id = i + 1;
		infos[i].slots = 12;
		infos[i].state = ENDPOINT_READY;
		infos[i].local = i % 3 == 0;
	}
	endpoints_set_service(e, SERVICE, 1, infos, n, 0);
	began = cpu_ns();
	for (i = 0; i < ROUNDS; i++) {
		(void)placement_choose(p, &q, i / 10, &c);
		endpoints_began(e, c.endpoint, i / 10);
		endpoints_ended(e, c.endpoint, ENDPOINT_OK, 20000, i / 10);
		endpoints_ran(e, c.endpoint, kind, 20000, load.kind_us, i / 10);
		endpoints_report(e, c.endpoint, &load, i / 10);
	}
	(void)snprintf(name, sizeof(name), "placement of %zu endpoints%s", n,
	    kind != 0 ? " by expected time" : "");
	print_cost(name, began, ROUNDS);
	placement_free(p);
	ejection_free(j);
	endpoints_free(e);
	g_free(infos);
}

/**
 * struct guard_queue - an upstream with a full queue
 * @started: tickets of the running requests
 * @n_customers: number of customers, 0 for requests without one
 * @tickets: number of requests so far
 */
struct guard_queue {
	struct admission *admission;
	GQueue *started;
	uint32_t n_customers;
	uint64_t tickets;
};

static void
note_start(struct guard_queue *g, const struct admission_result *r)
{
	if (r->verdict == ADMISSION_START)
		g_queue_push_tail(g->started, GSIZE_TO_POINTER(r->ticket));
}

static void
offer_next(struct guard_queue *g, uint64_t now_ms)
{
	struct admission_request req = {
	    ++g->tickets, ADMISSION_LOOKUP, UINT64_MAX, 0, 0, 0, 0};
	struct admission_result r;

	if (g->n_customers > 0)
		req.customer = 1 + g->tickets % g->n_customers;
	admission_offer(g->admission, &req, now_ms, &r);
	note_start(g, &r);
}

static void
finish_oldest(struct guard_queue *g, uint64_t now_ms)
{
	uint64_t ticket = GPOINTER_TO_SIZE(g_queue_pop_head(g->started));
	struct admission_result r;

	admission_finished(g->admission, ticket, ADMISSION_LOOKUP, 1, now_ms);
	while (admission_next(g->admission, now_ms, &r))
		note_start(g, &r);
}

static void
bench_admission(uint32_t n_customers)
{
	struct guard_queue g = {.n_customers = n_customers};
	struct admission_config cfg;
	struct load_report load;
	uint64_t began, i;
	char name[64];

	admission_config_default(&cfg);
	g.admission = admission_new(&cfg);
	g.started = g_queue_new();
	for (i = 0; i < cfg.slots + cfg.queue_max; i++)
		offer_next(&g, 0);
	began = cpu_ns();
	for (i = 0; i < ROUNDS; i++) {
		offer_next(&g, i / 100);
		finish_oldest(&g, i / 100);
		offer_next(&g, i / 100);
		(void)admission_wake_ms(g.admission);
		admission_load(g.admission, &load);
	}
	(void)snprintf(name, sizeof(name),
	    "admission with a full queue, %u customers", n_customers);
	print_cost(name, began, ROUNDS);
	g_queue_free(g.started);
	admission_free(g.admission);
}

static void
bench_fate(void)
{
	struct fate_config cfg = {.window_ms = 30000,
	    .records_max = RECORDS,
	    .answers_max_bytes = 1 << 24,
	    .answer_max_bytes = 4096};
	struct fate_waiter waiter = {1, 1};
	struct request_id id;
	struct fate_table *t;
	size_t before;
	uint64_t began, i;

	before = heap_bytes();
	t = fate_table_new(&cfg);
	began = cpu_ns();
	for (i = 0; i < ROUNDS; i++) {
		request_id_make(&id, 7, i, 1);
		(void)fate_offer(t, &id, i + 1, &waiter, i + 1);
		(void)fate_start(t, &id, i + 1);
		fate_done(t, &id, NULL, i + 1);
	}
	print_cost("fate of a request", began, ROUNDS);
	(void)printf("%-44s %8zu bytes\n", "a fate without answer",
	    (heap_bytes() - before) / fate_count(t));
	fate_table_free(t);
}

static void
bench_keyed(void)
{
	struct keyed_config cfg = {30000, 5000, ROUNDS, false};
	const uint64_t endpoints[] = {1};
	struct keyed_decision d;
	struct request_id id;
	struct key_id key;
	struct keyed *k;
	size_t before;
	uint64_t began, i;

	before = heap_bytes();
	k = keyed_new(&cfg, 1, 0);
	keyed_set_view(k, endpoints, 1, 0);
	began = cpu_ns();
	for (i = 0; i < RECORDS; i++) {
		request_id_make(&id, 7, i, 1);
		key_id_make(&key, SERVICE, &i, sizeof(i));
		keyed_offer(k, &key, 1, &id, 1000000, &d);
		keyed_ended(k, &key, &id, 1000000);
	}
	print_cost("idempotency key of a request", began, RECORDS);
	(void)printf("%-44s %8zu bytes\n", "a key",
	    (heap_bytes() - before) / keyed_count(k));
	keyed_free(k);
}

static void
bench_call(void)
{
	struct call_config cfg = {.deadline_ms = 1000};
	struct retry_config retry;
	struct retry_budget budget;
	struct call_action a;
	struct call *c;
	uint64_t began, i;

	retry_config_default(&retry);
	retry_budget_init(&budget, &retry, 0);
	began = cpu_ns();
	for (i = 0; i < ROUNDS; i++) {
		c = call_new(&cfg, &budget, i);
		call_start(c, 1);
		(void)call_next(c, &a);
		call_placed(c, 5, 1);
		(void)call_next(c, &a);
		call_sent(c, a.stream, 9, 1);
		call_answered(c, a.stream, 20);
		(void)call_next(c, &a);
		call_free(c);
	}
	print_cost("a call from start to answer", began, ROUNDS);
}

static void
bench_fingerprint(const char *name, size_t body_bytes)
{
	uint8_t *body = g_malloc0(body_bytes);
	struct fingerprint_parts p = {.method = "GET",
	    .host = "search.example",
	    .path = "/search?expert=4711&court=reykjavik",
	    .caller = "hearing-booking",
	    .body_bytes = (int64_t)body_bytes,
	    .body = body,
	    .body_len = body_bytes};
	struct fingerprint out;
	uint64_t began = cpu_ns(), i;

	for (i = 0; i < ROUNDS; i++)
		fingerprint_make(&p, &out);
	print_cost(name, began, ROUNDS);
	g_free(body);
}

/*
 * Cost for calls that are not quarantined while @quarantined requests are,
 * after crashes with eighteen requests in flight each.
 */
static void
bench_quarantine(const char *when, uint32_t quarantined)
{
	struct quarantine *q = quarantine_new(1, 0);
	struct fingerprint f = {0, 1};
	struct crash c;
	uint64_t began, i;
	char name[64];
	uint32_t r;

	memset(&c, 0, sizeof(c));
	for (i = 0; i < quarantined; i++) {
		c.id = i + 1;
		c.n_runs = 18;
		for (r = 0; r < c.n_runs; r++)
			c.runs[r].content = 1000000 + i * 18 + r;
		quarantine_add_peer_crash(q, &c, i);
		f.content = i + 1;
		(void)quarantine_add(q, &f, i);
	}
	began = cpu_ns();
	for (i = 0; i < ROUNDS; i++) {
		f.content = 5000000 + i % 1000;
		(void)quarantine_check(q, &f);
		(void)quarantine_check(q, &f);
		(void)quarantine_answered(q, &f, i / 100);
	}
	(void)snprintf(
	    name, sizeof(name), "two checks and an answer, %s", when);
	print_cost(name, began, ROUNDS);
	began = cpu_ns();
	c.id = UINT32_MAX;
	quarantine_add_peer_crash(q, &c, 1000);
	quarantine_tick(q, 1000 + QUARANTINE_SETTLE_MS);
	(void)snprintf(
	    name, sizeof(name), "a crash and its decision, %s", when);
	print_cost(name, began, 1);
	quarantine_free(q);
}

static void
bench_quarantine_memory(void)
{
	size_t before = heap_bytes();
	struct quarantine *q = quarantine_new(1, 0);
	struct fingerprint f = {0, 1};
	uint64_t i;

	for (i = 0; i < RECORDS; i++) {
		f.content = i + 1;
		(void)quarantine_answered(q, &f, i);
	}
	(void)printf("%-44s %8zu KiB\n",
	    "answered requests that are remembered",
	    (heap_bytes() - before) / KIB);
	quarantine_free(q);
}

int
main(void)
{
	bench_fingerprint("fingerprint without a body", 0);
	bench_fingerprint("fingerprint with 16 KB and more", 1 << 20);
	bench_quarantine("nothing quarantined", 0);
	bench_quarantine("128 quarantined", 128);
	bench_quarantine_memory();
	bench_call();
	bench_placement(4, 0);
	bench_placement(18, 0);
	bench_placement(54, 0);
	bench_placement(54, 1);
	bench_placement(500, 0);
	bench_placement(500, 1);
	bench_admission(0);
	bench_admission(100);
	bench_admission(2000);
	bench_fate();
	bench_keyed();
	return EXIT_SUCCESS;
}
