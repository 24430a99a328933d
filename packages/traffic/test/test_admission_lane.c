/*
 * The queues of one upstream over random events: what is kept up to date with
 * each request agrees with a count over all queues.
 *
 * The load: arrivals at three times what the slots run, of all classes,
 * priorities and ranks of customers, with and without targets; answers,
 * refusals by the upstream, cancellations, limits that it names, changes of the
 * number of slots, and drains.
 */
#include <string.h>

#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

#include "admission_defs.h"
#include "test_run.h"

#define EVENTS 20000
#define SEEDS 20
#define CUSTOMERS 40
#define DEADLINE_MS 2000
#define RUN_MAX_MS 400
#define TARGET_MAX_MS 900
#define QUEUE_MAX 48
/* Ranks at which requests have waited together, so that the sums are of more
 * than one rank. */
#define RANKS_TOGETHER 8

/**
 * struct run - an upstream over random events
 * @running: struct admission_request
 * @most_ranks: highest number of ranks at which requests waited together
 */
struct run {
	struct admission *a;
	GArray *running;
	uint64_t seed;
	uint64_t now_ms;
	uint64_t tickets;
	uint32_t most_ranks;
};

static uint64_t
draw(struct run *p, uint64_t below)
{
	p->seed++;
	return hash64(&p->seed, sizeof(p->seed), 0) % below;
}

static struct admission_request
draw_request(struct run *p)
{
	struct admission_request req = {.ticket = ++p->tickets,
	    .class = draw(p, 2) == 0 ? ADMISSION_LOOKUP : ADMISSION_BOOKING,
	    .deadline_ms = p->now_ms + draw(p, DEADLINE_MS),
	    .priority = (uint32_t)draw(p, ADMISSION_PRIORITIES + 1)};

	if (draw(p, 4) > 0)
		req.target_ms = p->now_ms + draw(p, TARGET_MAX_MS);
	if (draw(p, 4) > 0)
		req.customer = 1 + draw(p, CUSTOMERS);
	req.customer_priority = (uint32_t)(req.customer % (CUSTOMER_RANKS + 2));
	return req;
}

static void
offer(struct run *p)
{
	struct admission_request req = draw_request(p);
	struct admission_result res;

	admission_offer(p->a, &req, p->now_ms, &res);
	if (res.verdict == ADMISSION_START)
		g_array_append_val(p->running, req);
}

/* A started request comes from a queue; its class is all that its end needs. */
static void
take_next(struct run *p)
{
	uint32_t bookings = p->a->lanes[ADMISSION_BOOKING].in_slots;
	struct admission_request req = {.priority = 1};
	struct admission_result res;

	if (!admission_next(p->a, p->now_ms, &res) ||
	    res.verdict != ADMISSION_START)
		return;
	req.ticket = res.ticket;
	req.class = p->a->lanes[ADMISSION_BOOKING].in_slots > bookings
	    ? ADMISSION_BOOKING
	    : ADMISSION_LOOKUP;
	g_array_append_val(p->running, req);
}

static void
finish(struct run *p)
{
	uint64_t ran_ms = 1 + draw(p, RUN_MAX_MS);
	struct admission_request req;
	guint i;

	if (p->running->len == 0)
		return;
	i = (guint)draw(p, p->running->len);
	req = g_array_index(p->running, struct admission_request, i);
	g_array_remove_index(p->running, i);
	req.priority = (uint32_t)draw(p, ADMISSION_PRIORITIES);
	if (draw(p, 10) == 0) {
		(void)admission_shed(p->a, req.ticket, req.class, p->now_ms);
		return;
	}
	admission_record_run(p->a, &req, ran_ms, p->now_ms);
	admission_finished(p->a, req.ticket, req.class, ran_ms, p->now_ms);
}

static void
change_limits(struct run *p)
{
	struct admission_config cfg;

	admission_config_default(&cfg);
	cfg.slots = 1 + (uint32_t)draw(p, 18);
	cfg.queue_max = QUEUE_MAX;
	admission_configure(p->a, &cfg);
	if (draw(p, 2) == 0)
		(void)upstream_limit_name(admission_upstream_limit(p->a),
		    1000 * (1 + draw(p, 100)), p->now_ms);
	else
		(void)upstream_limit_omit(
		    admission_upstream_limit(p->a), p->now_ms);
	if (draw(p, 5) == 0)
		admission_drain(p->a);
	admission_undrain(p->a);
}

static void
play_event(struct run *p)
{
	uint64_t event = draw(p, 100);

	p->now_ms += draw(p, 4);
	if (event < 60)
		offer(p);
	else if (event < 75)
		finish(p);
	else if (event < 95)
		take_next(p);
	else if (event < 99)
		(void)admission_cancel(
		    p->a, p->tickets - draw(p, MIN(p->tickets + 1, 100)));
	else
		change_limits(p);
}

/* The sum over all ranks of both classes. */
static uint64_t
work_over_all_ranks_ms(const struct admission *a)
{
	const struct lane *l;
	uint64_t us = 0;
	uint32_t rank;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++) {
		l = &a->lanes[i];
		us += l->in_slots * l->mean_us;
		for (rank = 0; rank < RANKS; rank++)
			us += l->waiting[rank].length *
			    admission_run_us(a, admission_rank_priority(rank),
				(enum admission_class)i);
	}
	return us / US_PER_MS;
}

static uint64_t
first_expiry_over_all_ranks_ms(const struct admission *a)
{
	uint64_t first = DEADLINE_NEVER;
	const struct waiting *w;
	uint32_t rank;
	GList *link;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++)
		for (rank = 0; rank < RANKS; rank++)
			for (link = a->lanes[i].waiting[rank].head;
			     link != NULL; link = link->next) {
				w = link->data;
				first = MIN(first, w->expires_ms);
			}
	return first;
}

/* Counts of a lane over all its queues. */
static bool
lane_agrees(const struct lane *l)
{
	uint32_t n = 0, n_by_priority[ADMISSION_PRIORITIES] = {0};
	uint32_t rank, ranks = 0;

	for (rank = 0; rank < RANKS; rank++) {
		n += l->waiting[rank].length;
		n_by_priority[admission_rank_priority(rank)] +=
		    l->waiting[rank].length;
		if (l->waiting[rank].length > 0)
			ranks |= UINT32_C(1) << rank;
	}
	return l->n_waiting == n && l->ranks == ranks &&
	    memcmp(l->n_by_priority, n_by_priority, sizeof(n_by_priority)) == 0;
}

/* Each assertion of libcheck writes to a pipe, so there is one an event. */
static bool
agrees(const struct admission *a)
{
	uint64_t first_ms = first_expiry_over_all_ranks_ms(a);
	uint64_t wake_ms = admission_wake_ms(a);
	struct load_report load;

	admission_load(a, &load);
	return lane_agrees(&a->lanes[ADMISSION_LOOKUP]) &&
	    lane_agrees(&a->lanes[ADMISSION_BOOKING]) &&
	    load.work_ms == work_over_all_ranks_ms(a) &&
	    (wake_ms == first_ms ||
		(wake_ms < first_ms && load.limit_milli_per_s > 0));
}

START_TEST(the_work_of_a_load_report_is_the_sum_over_all_ranks)
{
	struct run p = {.seed = (uint64_t)_i * EVENTS * 100, .now_ms = 10000};
	struct admission_config cfg;
	uint32_t i, ranks;

	admission_config_default(&cfg);
	cfg.queue_max = QUEUE_MAX;
	p.a = admission_new(&cfg);
	p.running = g_array_new(FALSE, FALSE, sizeof(struct admission_request));
	for (i = 0; i < EVENTS; i++) {
		play_event(&p);
		if (!agrees(p.a))
			ck_abort_msg("seed %d, event %u", _i, i);
		ranks = (uint32_t)__builtin_popcount(admission_ranks(p.a));
		p.most_ranks = MAX(p.most_ranks, ranks);
	}
	ck_assert_uint_ge(p.most_ranks, RANKS_TOGETHER);
	g_array_free(p.running, TRUE);
	admission_free(p.a);
}
END_TEST

START_TEST(ranks_of_a_set_are_taken_in_order)
{
	uint32_t ranks = UINT32_C(1) << 3 | UINT32_C(1) << (RANKS - 1) | 1;

	ck_assert_uint_eq(admission_first_rank(0), RANKS);
	ck_assert_uint_eq(admission_last_rank(0), RANKS);
	ck_assert_uint_eq(admission_first_rank(ranks), 0);
	ck_assert_uint_eq(admission_last_rank(ranks), RANKS - 1);
	ck_assert_uint_eq(admission_ranks_ahead(ranks, 0), 0);
	ck_assert_uint_eq(admission_ranks_ahead(ranks, 3), 1);
	ck_assert_uint_eq(
	    admission_last_rank(admission_ranks_ahead(ranks, RANKS - 1)), 3);
	ranks = admission_without_rank(ranks, 0);
	ck_assert_uint_eq(admission_first_rank(ranks), 3);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("admission lane");
	Suite *s = suite_create("admission lane");

	suite_add_tcase(s, tc);
	tcase_add_test(tc, ranks_of_a_set_are_taken_in_order);
	tcase_add_loop_test(
	    tc, the_work_of_a_load_report_is_the_sum_over_all_ranks, 0, SEEDS);
	tcase_set_timeout(tc, 60);
	return test_run(s);
}
