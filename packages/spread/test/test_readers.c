/*
 * Readers of a data centre against a store with slow answers: how old a change
 * is when the first reader holds it, and what that costs in calls and in copies
 * of the row.
 *
 * Guards against this failure: a route accepted while the store answered in
 * about 1.1 s was still refused 2.6 s later.  The store had looked up the
 * answer to the reader's only read just before the change, and the next read
 * took as long again.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "spread/readers.h"
#include "store_model.h"

#include "test_run.h"

#define READERS 4

/* Active hosts of a group: two readers and the standbys. */
#define GROUP (2 + READER_GROUP_STANDBYS)
#define WAIT_MS 2000
#define POLL_MS 100
#define RUN_MS 120000

/* By this time the readers have measured the store. */
#define MEASURED_MS 10000

/* Answer time of the store in the observed failure, and of a fast store. */
#define SLOW_MS 1150
#define FAST_MS 4

/* One and a half answer times: 1.73 s of the 2.5 s allowed for a change, which
 * leaves 0.7 s from the first reader to the last host. */
#define AGE_MAX_MS (SLOW_MS + SLOW_MS / 2 + 1)

/* Most reads of one reader in flight: the long poll and the probes. */
#define IN_FLIGHT_MAX (1 + PROBES_MAX)

/**
 * struct read_in_flight - a read in flight
 * @used: whether the entry is in use
 * @probe: whether the read is a probe, not a long poll
 * @read: the read at the store
 */
struct read_in_flight {
	bool used;
	bool probe;
	struct store_read read;
};

/**
 * struct reader - a simulated reader
 * @env: environment
 * @readers: module under test
 * @holds: number of changes that the reader holds
 * @reads: its reads in flight
 * @probes: probes sent so far
 */
struct reader {
	struct spread_env env;
	struct readers readers;
	uint64_t holds;
	struct read_in_flight reads[IN_FLIGHT_MAX];
	uint32_t probes;
};

static struct store_model store;
static struct reader reader[GROUP];
static uint32_t n_readers;

static void
start_reader(struct reader *r, uint32_t rank, uint32_t readers)
{
	struct spread_config cfg = {.profile = *spread_profile_registry(),
	    .host = "h",
	    .data_centre = "d",
	    .seed = rank + 1};

	memset(r, 0, sizeof(*r));
	cfg.profile.head_poll_ms = POLL_MS;
	cfg.profile.readers = readers;
	env_init(&r->env, &cfg, NULL, NULL);
	readers_init(&r->readers, &r->env, 0);
	readers_set_long_poll(&r->readers, WAIT_MS);
	r->readers.next_rank_ms = DEADLINE_NEVER;
}

/* Starts @hosts hosts, of which the first @readers read. */
static void
start_group(uint32_t answer_ms, uint32_t hosts, uint32_t readers)
{
	struct net_addr addrs[GROUP] = {0};
	uint32_t i;

	store_model_init(&store, answer_ms);
	n_readers = hosts;
	for (i = 0; i < n_readers; i++) {
		start_reader(&reader[i], i, readers);
		addrs[i].ip = i + 1;
	}
	for (i = 0; i < n_readers; i++)
		reader_group_set_hosts(
		    &reader[i].readers.group, 0, addrs, n_readers, i);
}

static void
start(uint32_t answer_ms, uint32_t readers)
{
	start_group(answer_ms, readers, READERS);
}

static void
stop(void)
{
	uint32_t i;

	for (i = 0; i < n_readers; i++)
		env_clear(&reader[i].env);
	store_model_clear(&store);
}

static struct read_in_flight *
find_unused_read(struct reader *r)
{
	uint32_t i = 0;

	while (r->reads[i].used)
		ck_assert_uint_lt(++i, IN_FLIGHT_MAX);
	return &r->reads[i];
}

static void
start_read(struct reader *r, uint64_t now_ms, const struct spread_action *a)
{
	uint64_t after = store_model_counter(&store, r->holds);
	struct read_in_flight *f = find_unused_read(r);

	f->used = true;
	f->probe = a->kind == SPREAD_PROBE_HEAD;
	if (f->probe) {
		r->probes++;
		after += a->skip_next ? 1 : 0;
	}
	f->read = store_model_read(&store, now_ms, after, a->wait_ms);
	(void)store_model_answered(&store, &f->read, now_ms);
}

static void
finish_read(struct reader *r, uint64_t now_ms, struct read_in_flight *f)
{
	struct spread_read_end end = {.ok = 1, .body_ms = store.body_ms};
	uint64_t found = f->read.found;

	f->used = false;
	end.has_row = found > 0;
	if (found > r->holds) {
		r->holds = found;
		store_model_hold(&store, now_ms, found);
	} else if (found > 0) {
		store.duplicates++;
	}
	if (f->probe)
		readers_on_probe_ended(&r->readers, now_ms, &end);
	else
		readers_on_read_ended(&r->readers, now_ms, &end);
}

/* Delivers the read reports of a host without delay. */
static void
deliver(uint32_t from, uint64_t now_ms)
{
	struct net_addr addr = {.ip = from + 1};
	struct msg_read_report msg;
	struct outbox_item *item;

	while ((item = outbox_pop(reader[from].env.out)) != NULL) {
		ck_assert_int_eq(item->type, MSG_READ_REPORT);
		ck_assert_int_eq(msg_read_report_decode(
				     item->body->data, item->body->len, &msg),
		    STATUS_OK);
		reader_group_on_report(&reader[item->to.ip - 1].readers.group,
		    now_ms, &addr, &msg);
		outbox_item_free(item);
	}
}

static void
run_reader(struct reader *r, uint64_t now_ms)
{
	struct spread_action *a;
	uint32_t i;

	for (i = 0; i < IN_FLIGHT_MAX; i++)
		if (r->reads[i].used &&
		    store_model_answered(&store, &r->reads[i].read, now_ms))
			finish_read(r, now_ms, &r->reads[i]);
	readers_tick(&r->readers, now_ms);
	while ((a = g_queue_pop_head(r->env.actions)) != NULL) {
		if (a->kind != SPREAD_READER)
			start_read(r, now_ms, a);
		g_free(a);
	}
	deliver((uint32_t)(r - reader), now_ms);
}

static void
run(void)
{
	uint64_t now_ms;
	uint32_t i;

	for (now_ms = 0; now_ms < RUN_MS; now_ms++)
		for (i = 0; i < n_readers; i++)
			run_reader(&reader[i], now_ms);
}

static void
change_every(uint32_t ms)
{
	uint64_t at_ms;

	for (at_ms = ms; at_ms < RUN_MS; at_ms += ms)
		store_model_change(&store, at_ms);
}

/* Changes at exponentially distributed intervals with mean @ms. */
static void
change_randomly(uint32_t ms, uint32_t seed)
{
	GRand *rng = g_rand_new_with_seed(seed);
	uint64_t at_ms = 0;

	for (;;) {
		at_ms +=
		    1 + (uint64_t)(-log(1 - g_rand_double(rng)) * (double)ms);
		if (at_ms >= RUN_MS)
			break;
		store_model_change(&store, at_ms);
	}
	g_rand_free(rng);
}

static uint32_t
probes(void)
{
	uint32_t i, n = 0;

	for (i = 0; i < n_readers; i++)
		n += reader[i].probes;
	return n;
}

static uint64_t
print_result(const char *what)
{
	uint64_t oldest_ms = store_model_oldest_ms(&store, MEASURED_MS);

	printf("%s: %u readers, answers after %u ms, %u changes: oldest %u ms,"
	       " %u calls, %u probes, %u copies, %u of them needless\n",
	    what, n_readers, store.answer_ms, store.changes->len,
	    (unsigned int)oldest_ms, store.calls, probes(), store.copies,
	    store.duplicates);
	return oldest_ms;
}

START_TEST(changes_in_quick_succession_arrive_in_time)
{
	start(SLOW_MS, (uint32_t)_i);
	change_every(330);
	run();
	ck_assert_uint_le(print_result("each 330 ms"), AGE_MAX_MS);
	stop();
}
END_TEST

START_TEST(changes_at_random_arrive_in_time)
{
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		start(SLOW_MS, (uint32_t)_i);
		change_randomly(1500, seed);
		run();
		ck_assert_uint_le(print_result("at random"), AGE_MAX_MS);
		stop();
	}
}
END_TEST

/* A change that follows another one at once comes too late for the answer that
 * carries the first. */
START_TEST(a_change_just_after_another_arrives_in_time)
{
	uint64_t at_ms;

	start(SLOW_MS, (uint32_t)_i);
	for (at_ms = 5000; at_ms < RUN_MS; at_ms += 7777) {
		store_model_change(&store, at_ms);
		store_model_change(&store, at_ms + 5);
	}
	run();
	ck_assert_uint_le(print_result("in pairs"), AGE_MAX_MS);
	stop();
}
END_TEST

/* Other writers use numbers of the counter too, so the number of the next
 * change is not known in advance. */
START_TEST(gaps_in_the_numbers_do_no_harm)
{
	start(SLOW_MS, (uint32_t)_i);
	store.step = 3;
	change_randomly(1500, 11);
	run();
	ck_assert_uint_le(print_result("others write"), AGE_MAX_MS);
	stop();
}
END_TEST

/* A change during a long poll is delivered by that long poll only. */
START_TEST(a_change_during_a_long_poll_is_delivered_once)
{
	const struct probes *p = &reader[0].readers.probes;
	uint64_t now_ms, next_ms = MEASURED_MS;

	start(SLOW_MS, 1);
	for (now_ms = 0; now_ms < RUN_MS; now_ms++) {
		run_reader(&reader[0], now_ms);
		if (now_ms < next_ms || p->waits_until_ms < now_ms + 1)
			continue;
		store_model_change(&store, now_ms + 1);
		next_ms = now_ms + 5003;
	}
	(void)print_result("during a long poll");
	ck_assert_uint_gt(probes(), 0);
	ck_assert_uint_gt(store.changes->len, 20);
	ck_assert_uint_eq(store.copies, store.changes->len);
	stop();
}
END_TEST

/* A change between two long polls is delivered by probes, repeatedly until the
 * first of them is answered. */
START_TEST(the_row_is_delivered_less_than_twice)
{
	uint32_t each_ms, copies = 0, changes = 0;

	for (each_ms = 5003; each_ms < 9000; each_ms += 500) {
		start(SLOW_MS, 1);
		change_every(each_ms);
		run();
		(void)print_result("one by one");
		copies += store.copies;
		changes += store.changes->len;
		stop();
	}
	printf("%u changes, %u copies\n", changes, copies);
	ck_assert_uint_lt(copies, 2 * changes);
}
END_TEST

/* A link that needs a second for the row is too slow to carry it twice. */
START_TEST(a_slow_link_carries_the_row_once)
{
	start(SLOW_MS, 1);
	store.body_ms = 1000;
	change_every(330);
	run();
	(void)print_result("slow link");
	ck_assert_uint_le(probes(), RUN_MS / 30000 + 1);
	stop();
}
END_TEST

/*
 * Large rows over slow links from a slow store: how old a change is when the
 * first host of a data centre holds it.  Asserted where the change can be in
 * force within 2.5 s, of which 0.45 s pass between the first host and the last;
 * the other combinations are only measured (docs/CAPACITY.md).
 */
START_TEST(large_rows_answered_within_a_second_arrive_in_time)
{
	static const uint32_t answer_ms[] = {4, 240, 600, 1150};
	static const uint32_t body_ms[] = {0, 50, 300, 1000};
	uint32_t answer = answer_ms[_i / G_N_ELEMENTS(body_ms)];
	uint32_t body = body_ms[(uint32_t)_i % G_N_ELEMENTS(body_ms)];
	uint64_t oldest_ms;

	start_group(answer, GROUP, 2);
	store.body_ms = body;
	change_randomly(1400, 3);
	run();
	printf("row %u ms, ", body);
	oldest_ms = print_result("large rows");
	if (answer + body <= 1000)
		ck_assert_uint_le(oldest_ms, 2500 - 450);
	stop();
}
END_TEST

START_TEST(a_fast_store_gets_few_probes)
{
	uint32_t each_ms[] = {330, 700, 1200, 1500, 3000, 30000};

	start(FAST_MS, READERS);
	if (_i < (int)G_N_ELEMENTS(each_ms))
		change_every(each_ms[_i]);
	else
		change_randomly(1500, (uint32_t)_i);
	run();
	ck_assert_uint_le(print_result("fast store"), 2 * POLL_MS);
	ck_assert_uint_le(probes() * 100, (store.calls - probes()) * 5);
	stop();
}
END_TEST

/* Changes keep coming, so a single read doesn't show whether the store was slow
 * or the read waited for a change. */
START_TEST(probes_begin_when_the_store_becomes_slow)
{
	uint64_t now_ms, from_ms = RUN_MS / 2;
	uint32_t i, late_ms;

	start(FAST_MS, READERS);
	change_randomly(1500, (uint32_t)_i);
	for (now_ms = 0; now_ms < RUN_MS; now_ms++) {
		if (now_ms == from_ms)
			store.answer_ms = SLOW_MS;
		for (i = 0; i < n_readers; i++)
			run_reader(&reader[i], now_ms);
	}
	(void)print_result("becomes slow");
	for (late_ms = 0; late_ms < 60000; late_ms += 1000)
		if (store_model_oldest_ms(&store, from_ms + late_ms) <=
		    AGE_MAX_MS)
			break;
	printf("seed %d: known after %u ms\n", _i, late_ms);
	ck_assert_uint_le(late_ms, MEASURED_MS);
	stop();
}
END_TEST

/* A store that has become fast is probed only for measurements. */
START_TEST(probes_end_when_the_store_becomes_fast)
{
	uint32_t i, before;
	uint64_t now_ms;

	start(SLOW_MS, READERS);
	change_randomly(1500, 5);
	for (now_ms = 0; now_ms < RUN_MS / 2; now_ms++)
		for (i = 0; i < n_readers; i++)
			run_reader(&reader[i], now_ms);
	before = probes();
	ck_assert_uint_gt(before, 0);
	store.answer_ms = FAST_MS;
	for (; now_ms < RUN_MS; now_ms++)
		for (i = 0; i < n_readers; i++)
			run_reader(&reader[i], now_ms);
	(void)print_result("fast again");
	ck_assert_uint_le(probes() - before,
	    n_readers * (IN_FLIGHT_MAX + RUN_MS / 2 / 30000));
	stop();
}
END_TEST

/* After a refused probe no probe is sent for a while. */
START_TEST(a_refused_probe_is_not_repeated_at_once)
{
	static const struct spread_read_end late = {.ok = 1};
	static const struct spread_read_end refused = {0};
	struct probes p;

	probes_init(&p);
	probes_set_long_poll(&p, WAIT_MS);
	probes_on_read_started(&p, 0, WAIT_MS, 0, READERS);
	probes_on_read_ended(&p, WAIT_MS + SLOW_MS, &late);
	probes_on_read_started(&p, 4000, WAIT_MS, 0, READERS);
	ck_assert_uint_eq(probes_next_ms(&p), 4000 + SLOW_MS / 2);
	ck_assert(probes_start(&p, 4000 + SLOW_MS / 2));
	probes_on_ended(&p, 4700, &refused);
	ck_assert(!probes_start(&p, 4000 + SLOW_MS));
	probes_on_read_started(&p, 9000, WAIT_MS, 0, READERS);
	ck_assert(!probes_start(&p, 9600));
	probes_on_read_started(&p, 10000, WAIT_MS, 0, READERS);
	ck_assert(probes_start(&p, 10000 + SLOW_MS / 2));
}
END_TEST

/* Probes are only needed beside long polls. */
START_TEST(there_are_no_probes_without_long_polls)
{
	start(SLOW_MS, 1);
	readers_set_long_poll(&reader[0].readers, 0);
	change_every(330);
	run();
	ck_assert_uint_eq(probes(), 0);
	stop();
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("readers");
	tc = tcase_create("probes");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(
	    tc, large_rows_answered_within_a_second_arrive_in_time, 0, 16);
	tcase_add_loop_test(
	    tc, changes_in_quick_succession_arrive_in_time, 1, READERS + 1);
	tcase_add_loop_test(
	    tc, changes_at_random_arrive_in_time, 1, READERS + 1);
	tcase_add_loop_test(
	    tc, a_change_just_after_another_arrives_in_time, 1, READERS + 1);
	tcase_add_loop_test(tc, gaps_in_the_numbers_do_no_harm, 1, READERS + 1);
	tcase_add_test(tc, a_change_during_a_long_poll_is_delivered_once);
	tcase_add_test(tc, the_row_is_delivered_less_than_twice);
	tcase_add_test(tc, a_slow_link_carries_the_row_once);
	tcase_add_loop_test(tc, a_fast_store_gets_few_probes, 0, 10);
	tcase_add_loop_test(
	    tc, probes_begin_when_the_store_becomes_slow, 1, 11);
	tcase_add_test(tc, probes_end_when_the_store_becomes_fast);
	tcase_add_test(tc, a_refused_probe_is_not_repeated_at_once);
	tcase_add_test(tc, there_are_no_probes_without_long_polls);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
