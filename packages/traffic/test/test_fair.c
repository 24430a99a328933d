/*
 * Fair shares among customers at one guard: a simulation of one upstream in
 * steps of a millisecond.
 *
 * 75 customers, of which the first has half of the load and the others parts
 * that fall as 1 / rank; the load is three times what the slots can run.
 * Callers don't come back.
 */
#include <check.h>

#include <glib.h>

#include "base/hash.h"
#include "traffic/admission.h"

#include "test_run.h"

#define SLOTS 9
#define WORK_MS 100
#define RUN_MS 60000
#define CUSTOMERS 75
/* 270 requests a second for slots that run 90. */
#define EVERY_US 3700
#define REQUESTS_MAX 20000
#define SMALL 10

struct request {
	struct admission_request req;
	uint64_t until_ms;
};

struct counts {
	uint32_t offered;
	uint32_t served;
};

struct simulation {
	struct admission *a;
	bool named;
	uint32_t hot_percent;
	struct request all[REQUESTS_MAX];
	GArray *slots;
	uint64_t n;
	uint64_t seed;
	struct counts counts[CUSTOMERS];
};

static uint64_t
draw(struct simulation *p)
{
	p->seed++;
	return hash64(&p->seed, sizeof(p->seed), 0);
}

/* Customer 0 has hot_percent of the load, customer i a part of 1 / i. */
static uint32_t
draw_customer(struct simulation *p)
{
	double x, sum = 0;
	uint32_t i;

	if (draw(p) % 100 < p->hot_percent)
		return 0;
	for (i = 1; i < CUSTOMERS; i++)
		sum += 1.0 / i;
	x = (double)(draw(p) % 1000000) / 1000000 * sum;
	for (i = 1; i < CUSTOMERS - 1; i++) {
		x -= 1.0 / i;
		if (x < 0)
			break;
	}
	return i;
}

static uint32_t
customer_of(const struct simulation *p, uint64_t ticket)
{
	return (uint32_t)p->all[ticket].until_ms;
}

static void
apply(struct simulation *p, const struct admission_result *res, uint64_t now_ms)
{
	uint64_t run[2] = {res->ticket, now_ms + WORK_MS};

	if (res->verdict == ADMISSION_START)
		g_array_append_val(p->slots, run);
}

static void
arrive(struct simulation *p, uint64_t now_ms)
{
	struct request *r = &p->all[p->n];
	uint32_t customer = draw_customer(p);
	struct admission_result res;

	ck_assert_uint_lt(p->n, REQUESTS_MAX);
	r->until_ms = customer;
	r->req.ticket = p->n++;
	r->req.class = draw(p) % 3 == 0 ? ADMISSION_BOOKING : ADMISSION_LOOKUP;
	r->req.deadline_ms = now_ms + 1000;
	r->req.target_ms = now_ms + 400;
	r->req.priority = 1;
	r->req.customer = p->named ? customer + 1 : 0;
	p->counts[customer].offered++;
	admission_offer(p->a, &r->req, now_ms, &res);
	apply(p, &res, now_ms);
}

static void
step(struct simulation *p, uint64_t now_ms)
{
	struct admission_result res;
	const struct request *r;
	uint64_t *run;
	guint i;

	for (i = p->slots->len; i > 0; i--) {
		run = (uint64_t *)(void *)p->slots->data + 2 * (i - 1);
		if (run[1] > now_ms)
			continue;
		r = &p->all[run[0]];
		p->counts[customer_of(p, run[0])].served++;
		admission_record_run(p->a, &r->req, WORK_MS, now_ms);
		admission_finished(p->a, run[0], r->req.class, WORK_MS, now_ms);
		g_array_remove_index(p->slots, i - 1);
	}
	while (p->n * EVERY_US < now_ms * 1000)
		arrive(p, now_ms);
	while (admission_next(p->a, now_ms, &res))
		apply(p, &res, now_ms);
}

static struct simulation *
simulate(bool named, uint32_t hot_percent, uint64_t seed)
{
	struct simulation *p = g_new0(struct simulation, 1);
	struct admission_config cfg;
	uint64_t now_ms;

	admission_config_default(&cfg);
	cfg.slots = SLOTS;
	p->named = named;
	p->hot_percent = hot_percent;
	p->seed = seed << 32;
	p->a = admission_new(&cfg);
	p->slots = g_array_new(FALSE, FALSE, 2 * sizeof(uint64_t));
	for (now_ms = 1; now_ms < RUN_MS; now_ms++)
		step(p, now_ms);
	g_array_free(p->slots, TRUE);
	admission_free(p->a);
	return p;
}

/* Share served of the customers from @first to @last, in thousandths. */
static uint32_t
served_milli(const struct simulation *p, uint32_t first, uint32_t last)
{
	uint32_t offered = 0, served = 0;

	for (; first <= last; first++) {
		offered += p->counts[first].offered;
		served += p->counts[first].served;
	}
	return offered > 0 ? served * 1000 / offered : 1000;
}

static void
print(const char *name, const struct simulation *p)
{
	if (g_getenv("BRAMLEY_PRINT") != NULL)
		g_print("%s: all %u hot %u next %u others %u smallest %u\n",
		    name, served_milli(p, 0, CUSTOMERS - 1),
		    served_milli(p, 0, 0), served_milli(p, 1, 1),
		    served_milli(p, 1, CUSTOMERS - 1),
		    served_milli(p, CUSTOMERS - SMALL, CUSTOMERS - 1));
}

/*
 * One customer has half of the load: the others are served before it, the
 * smallest are served best, and it gets no less than a quarter of the share of
 * all.
 */
START_TEST(half_of_the_load_from_one_customer)
{
	struct simulation *p = simulate(true, 50, (uint64_t)_i),
			  *n = simulate(false, 50, (uint64_t)_i);
	uint32_t all = served_milli(p, 0, CUSTOMERS - 1);
	uint32_t i;

	print("fair", p);
	print("unnamed", n);
	for (i = 0; i < CUSTOMERS; i++)
		ck_assert_uint_ge(served_milli(p, i, i) * 4, all);
	ck_assert_uint_ge(
	    served_milli(p, CUSTOMERS - SMALL, CUSTOMERS - 1), 900);
	ck_assert_uint_lt(served_milli(p, 0, 0), all);
	/* No room is lost by sharing it. */
	ck_assert_uint_ge(all * 100, served_milli(n, 0, CUSTOMERS - 1) * 97);
	g_free(p);
	g_free(n);
}
END_TEST

/* What the others don't use goes to the customer with most of the load. */
START_TEST(unused_shares_go_to_others)
{
	struct simulation *p = simulate(true, 98, (uint64_t)_i);

	print("98 in 100 from one", p);
	ck_assert_uint_ge(served_milli(p, 1, CUSTOMERS - 1), 900);
	ck_assert_uint_ge(served_milli(p, 0, 0), 300);
	g_free(p);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fair");
	TCase *tc = tcase_create("fair");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, half_of_the_load_from_one_customer, 1, 4);
	tcase_add_loop_test(tc, unused_shares_go_to_others, 1, 4);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
