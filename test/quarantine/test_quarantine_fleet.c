/*
 * A request that crashes upstreams, asked for everywhere, in fleets of every
 * size: how many upstreams it ends, how long until all nodes hold it off, and
 * what that costs them.
 *
 * BRAMLEY_HOSTS=22000 plays one more size, which takes some minutes.
 */
#include <stdio.h>

#include <check.h>

#include "base/clock.h"
#include "fleet.h"
#include "test_run.h"

#define SEED 7
#define BEGIN_MS 2000
/* Nodes that are in touch for so long hold a request off after the third end.
 */
#define STABLE_MS 3000
#define RUNS_AFTER_MAX 3
/* Bytes a second that a node may spend for control. */
#define CONTROL_BYTES_PER_S 6000
#define MS_PER_S 1000
#define ASK_EVERY_MS 20
#define ASK_FOR_MS 15000
#define MANY 50
/* Requests that run beside a crasher, and how long their callers wait. */
#define BESIDE 10
#define BESIDE_FIRST 100
#define PATIENCE_MS 8000
/* Those that run before the first crash is known, one every ASK_EVERY_MS while
 * it runs and for a few hops of its news, and QUARANTINE_CRASHES. */
#define ENDED_MAX                                                          \
	((FLEET_CRASH_AFTER_MS + FLEET_FOUND_MS + 50) / ASK_EVERY_MS + 1 + \
	    QUARANTINE_CRASHES)
#define LIMIT_S 900

static const struct fingerprint crasher = {1, 1};

/**
 * struct outcome - what came of it
 * @ended: runs, each of which ended an upstream
 * @late: runs later than STABLE_MS after the third
 * @held_ms: from the third run until all nodes hold it off
 * @bytes: most bytes that a node has sent
 */
struct outcome {
	uint32_t ended;
	uint32_t late;
	uint64_t held_ms;
	uint64_t bytes;
};

static uint64_t
third_ms(const struct fleet *f)
{
	if (f->runs->len < QUARANTINE_CRASHES)
		return DEADLINE_NEVER;
	return g_array_index(f->runs, uint64_t, QUARANTINE_CRASHES - 1);
}

static uint64_t
most_bytes(const struct fleet *f)
{
	uint64_t bytes = 0;
	uint32_t i;

	for (i = 0; i < f->n; i++)
		bytes = MAX(
		    bytes, quarantine_news_counters(f->nodes[i].news)->bytes);
	return bytes;
}

static void
ask_somewhere(struct fleet *f)
{
	fleet_ask(
	    f, (uint32_t)g_rand_int_range(f->rand, 0, (gint32)f->n), &crasher);
}

/* Asked for by @at_once callers at a moment, and then every ASK_EVERY_MS, each
 * time at a host by chance. */
static struct outcome
play(struct fleet *f, uint32_t at_once)
{
	struct outcome o = {0};
	uint64_t end_ms = BEGIN_MS + ASK_FOR_MS;
	uint32_t i;

	fleet_run(f, BEGIN_MS);
	for (i = 0; i < at_once; i++)
		ask_somewhere(f);
	while (f->now_ms < end_ms) {
		ask_somewhere(f);
		if (o.held_ms == 0 && fleet_holding(f, &crasher) == f->n)
			o.held_ms = f->now_ms - third_ms(f);
		fleet_run(f, f->now_ms + ASK_EVERY_MS);
	}
	o.ended = f->runs->len;
	o.late = fleet_runs_after(f, third_ms(f) + STABLE_MS);
	o.bytes = most_bytes(f);
	return o;
}

static void
check_outcome(const char *what, struct fleet *f, uint32_t at_once)
{
	struct outcome o = play(f, at_once);

	(void)printf("%s, %u hosts: %u ended, %u of them late, all hold it off "
		     "after %lu ms, %lu bytes a node at most\n",
	    what, f->n, o.ended, o.late, (unsigned long)o.held_ms,
	    (unsigned long)o.bytes);
	(void)fflush(stdout);
	ck_assert_uint_le(o.late, RUNS_AFTER_MAX);
	ck_assert_uint_gt(o.held_ms, 0);
	ck_assert_uint_lt(o.held_ms, STABLE_MS);
	ck_assert_uint_lt(
	    o.bytes, CONTROL_BYTES_PER_S * (ASK_FOR_MS / MS_PER_S));
	fleet_free(f);
}

static const uint32_t sizes[] = {10, 60, 195, 1000};

START_TEST(all_nodes_hold_off_what_each_saw_a_part_of)
{
	uint32_t n = sizes[_i];

	check_outcome("sent now and then", fleet_new(n, (n + 2) / 3, SEED), 1);
}
END_TEST

START_TEST(so_they_do_when_many_send_it_at_once)
{
	uint32_t n = sizes[_i];

	check_outcome(
	    "sent by 50 at once", fleet_new(n, (n + 2) / 3, SEED), MANY);
}
END_TEST

/* A request that crashes upstreams takes down no more of them in a large fleet
 * than in a small one, beside what runs before the first crash is known. */
START_TEST(suspects_crash_few_upstreams_in_a_fleet_of_any_size)
{
	uint32_t n = sizes[_i];
	struct fleet *without = fleet_new(n, (n + 2) / 3, SEED);
	struct fleet *with = fleet_new(n, (n + 2) / 3, SEED);
	struct outcome before, after;

	without->found_ms = FLEET_FOUND_LATE_MS;
	without->ranks_suspects = false;
	before = play(without, 1);
	after = play(with, 1);
	(void)printf("%u hosts: %u ended, %u with suspects ranked; refused %u "
		     "and %u; held after %lu and %lu ms; %lu and %lu bytes\n",
	    n, before.ended, after.ended, without->refused, with->refused,
	    (unsigned long)before.held_ms, (unsigned long)after.held_ms,
	    (unsigned long)before.bytes, (unsigned long)after.bytes);
	(void)fflush(stdout);
	ck_assert_uint_le(after.ended, ENDED_MAX);
	ck_assert_uint_le(after.ended, before.ended);
	fleet_free(without);
	fleet_free(with);
}
END_TEST

START_TEST(so_they_do_at_another_size)
{
	const char *hosts = g_getenv("BRAMLEY_HOSTS");
	uint32_t n;

	if (hosts == NULL)
		return;
	n = (uint32_t)g_ascii_strtoull(hosts, NULL, 10);
	check_outcome("sent now and then", fleet_new(n, (n + 2) / 3, SEED), 1);
}
END_TEST

START_TEST(so_they_do_over_bad_links)
{
	struct fleet *f = fleet_new(195, 65, SEED);
	uint32_t i;

	f->loss_percent = 10;
	f->delay_ms = 150;
	for (i = 0; i < f->n; i += 10)
		f->nodes[i].slow_ms = 200;
	check_outcome("slow nodes, loss and delay", f, 5);
}
END_TEST

static void
others_come(struct fleet *f)
{
	uint32_t i;

	f->n_beside = BESIDE;
	for (i = 0; i < f->n_beside; i++) {
		f->beside[i].content =
		    BESIDE_FIRST + f->now_ms / PATIENCE_MS * BESIDE + i;
		f->beside[i].caller = 1;
	}
}

/* All upstreams of a service but one are down at a time, and the same callers'
 * requests wait for the next one: they run in each crash until their callers
 * give up, and others come. */
START_TEST(those_who_wait_for_a_collapsed_service_hide_nobody)
{
	struct fleet *f = fleet_new(12, 4, SEED + (uint32_t)_i);
	struct fingerprint other = {0, 1};
	uint64_t end_ms = BEGIN_MS + 40000;
	uint32_t held = 0;

	fleet_run(f, BEGIN_MS);
	while (f->now_ms < end_ms) {
		others_come(f);
		ask_somewhere(f);
		fleet_run(f, f->now_ms + 200);
	}
	(void)printf("collapsed service: %u ended, %u of them late, %u of 12 "
		     "hold it off\n",
	    f->runs->len, fleet_runs_after(f, third_ms(f) + STABLE_MS),
	    fleet_holding(f, &crasher));
	(void)fflush(stdout);
	ck_assert_uint_le(
	    fleet_runs_after(f, third_ms(f) + STABLE_MS), RUNS_AFTER_MAX);
	ck_assert_uint_eq(fleet_holding(f, &crasher), f->n);
	for (other.content = BESIDE_FIRST; other.content < BESIDE_FIRST + 1000;
	     other.content++)
		held += fleet_holding(f, &other);
	ck_assert_uint_eq(held, 0);
	fleet_free(f);
}
END_TEST

START_TEST(what_three_hosts_saw_one_of_is_added_up)
{
	struct fleet *f = fleet_new(60, 20, SEED);
	uint32_t i;

	fleet_run(f, BEGIN_MS);
	for (i = 0; i < 3; i++) {
		ck_assert_uint_eq(fleet_holding(f, &crasher), 0);
		fleet_crash(f, i * 5, &crasher, 1);
		fleet_run(f, f->now_ms + 4000);
	}
	ck_assert_uint_eq(fleet_holding(f, &crasher), f->n);
	fleet_free(f);
}
END_TEST

START_TEST(who_was_cut_off_brings_and_gets_what_it_lacks)
{
	struct fleet *f = fleet_new(60, 60, SEED);
	uint32_t i;

	for (i = 0; i < 15; i++)
		f->nodes[i].cut = true;
	fleet_run(f, BEGIN_MS);
	fleet_crash(f, 1, &crasher, 1);
	fleet_crash(f, 30, &crasher, 1);
	fleet_run(f, f->now_ms + 2000);
	fleet_crash(f, 40, &crasher, 1);
	fleet_run(f, f->now_ms + 5000);
	ck_assert_uint_eq(fleet_holding(f, &crasher), 0);
	for (i = 0; i < 15; i++)
		f->nodes[i].cut = false;
	fleet_run(f, f->now_ms + STABLE_MS);
	ck_assert_uint_eq(fleet_holding(f, &crasher), f->n);
	fleet_free(f);
}
END_TEST

/* One after the other, until nobody is left that has seen it. */
START_TEST(nodes_that_start_are_told)
{
	struct fleet *f = fleet_new(60, 20, SEED);
	uint32_t i;

	fleet_run(f, BEGIN_MS);
	for (i = 0; i < 3; i++)
		fleet_crash(f, i, &crasher, 1);
	fleet_run(f, f->now_ms + STABLE_MS);
	ck_assert_uint_eq(fleet_holding(f, &crasher), f->n);
	for (i = 0; i < f->n; i++) {
		fleet_restart(f, i);
		fleet_run(f, f->now_ms + 100);
	}
	fleet_run(f, f->now_ms + STABLE_MS);
	ck_assert_uint_eq(fleet_holding(f, &crasher), f->n);
	fleet_free(f);
}
END_TEST

/* Hundreds of upstreams end in a second, each under ten requests that are tried
 * again elsewhere, and one that all of them run and had answered: nobody is
 * quarantined, and what nodes send stays bounded. */
START_TEST(hundreds_of_ends_in_a_second_hold_nobody_off)
{
	struct fingerprint runs[11] = {{2, 1}};
	struct fleet *f = fleet_new(300, 300, SEED);
	uint64_t end_ms = BEGIN_MS + 10000;
	uint32_t held = 0, i, r;

	fleet_run(f, BEGIN_MS);
	for (i = 0; i < f->n; i++)
		(void)quarantine_answered(
		    f->nodes[i].quarantine, &runs[0], f->now_ms);
	for (i = 0; i < f->n; i++) {
		for (r = 1; r < G_N_ELEMENTS(runs); r++) {
			runs[r].content = 100 + (i * 7 + r) % 1000;
			runs[r].caller = 1;
		}
		fleet_crash(f, i, runs, G_N_ELEMENTS(runs));
		fleet_run(f, f->now_ms + 3);
	}
	while (f->now_ms < end_ms) {
		fleet_run(f, f->now_ms + 100);
		for (i = 0; i < f->n; i++)
			held += !quarantine_is_empty(f->nodes[i].quarantine);
	}
	ck_assert_uint_eq(held, 0);
	(void)printf("300 ends in a second: %lu bytes a node at most in 10 s\n",
	    (unsigned long)most_bytes(f));
	(void)fflush(stdout);
	ck_assert_uint_lt(
	    most_bytes(f), CONTROL_BYTES_PER_S * (end_ms / MS_PER_S));
	fleet_free(f);
}
END_TEST

START_TEST(an_answer_anywhere_ends_it_everywhere)
{
	struct fleet *f = fleet_new(60, 60, SEED);
	struct fingerprint first = {2, 1};
	uint32_t i;

	fleet_run(f, BEGIN_MS);
	for (i = 0; i < 3; i++)
		fleet_crash(f, i, &first, 1);
	fleet_run(f, f->now_ms + STABLE_MS);
	ck_assert_uint_eq(fleet_holding(f, &first), f->n);
	(void)quarantine_answered(f->nodes[9].quarantine, &first, f->now_ms);
	fleet_run(f, f->now_ms + STABLE_MS);
	ck_assert_uint_eq(fleet_holding(f, &first), 0);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("quarantine_fleet");
	TCase *tc = tcase_create("quarantine_fleet");

	tcase_set_timeout(tc, LIMIT_S);
	tcase_add_loop_test(tc, all_nodes_hold_off_what_each_saw_a_part_of, 0,
	    G_N_ELEMENTS(sizes));
	tcase_add_loop_test(
	    tc, so_they_do_when_many_send_it_at_once, 0, G_N_ELEMENTS(sizes));
	tcase_add_loop_test(tc,
	    suspects_crash_few_upstreams_in_a_fleet_of_any_size, 0,
	    G_N_ELEMENTS(sizes));
	tcase_add_test(tc, so_they_do_at_another_size);
	tcase_add_test(tc, so_they_do_over_bad_links);
	tcase_add_loop_test(
	    tc, those_who_wait_for_a_collapsed_service_hide_nobody, 0, 20);
	tcase_add_test(tc, what_three_hosts_saw_one_of_is_added_up);
	tcase_add_test(tc, who_was_cut_off_brings_and_gets_what_it_lacks);
	tcase_add_test(tc, nodes_that_start_are_told);
	tcase_add_test(tc, hundreds_of_ends_in_a_second_hold_nobody_off);
	tcase_add_test(tc, an_answer_anywhere_ends_it_everywhere);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
