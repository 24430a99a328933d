/*
 * Who of a data centre reads the platform for it, whatever becomes of those
 * that do.
 *
 * Seen: a change was in force seconds late since all readers were among the
 * hosts that the platform turned away.  Cause: a reader kept its place as long
 * as it lived.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "spread/peers.h"
#include "spread/reader_group.h"

#include "fixture.h"
#include "test_run.h"

#define HOSTS 16
#define READERS 2

/* Those that read or stand by; the others are further ones. */
#define STANDING (READERS + READER_GROUP_STANDBYS)
#define PERIOD_MS 1800

/* Version that all hosts hold. */
#define HELD 4

/* An answer and its way, as the readers see it. */
#define ANSWER_MS 5

/* When silence is noticed, half a period, since two are answered in turn, and
 * when the next host takes over after @n that could have. */
#define SILENT_MS(n) (PERIOD_MS / 2 + 250 + 150 * ((n)-1))

/** struct host - a host of the group and its read under way */
struct host {
	struct spread_env env;
	struct reader_group group;
	enum { WELL, REFUSED, SILENT } fate;
	uint64_t ends_ms;
	uint32_t reads;
};

static struct host hosts[HOSTS];
static struct catalog *held;
static struct net_addr addrs[HOSTS];
static uint64_t now_ms;

/* Ends of answered reads, of any host. */
static uint64_t answered_ms[1000];
static uint32_t n_answered;

static struct catalog *
catalog_of(uint64_t version)
{
	struct bundle *bundle = fix_bundle(fix_valid_bundle);
	struct catalog *c = catalog_new(0);

	fix_commit_full(c, version, bundle);
	bundle_free(bundle);
	return c;
}

static void
setup(void)
{
	struct spread_config cfg = {.profile = *spread_profile_registry(),
	    .host = "h",
	    .data_centre = "d"};
	uint32_t i;

	cfg.profile.readers = READERS;
	now_ms = 1000;
	n_answered = 0;
	held = catalog_of(HELD);
	memset(hosts, 0, sizeof(hosts));
	for (i = 0; i < HOSTS; i++)
		addrs[i].ip = i + 1;
	for (i = 0; i < HOSTS; i++) {
		env_init(&hosts[i].env, &cfg, NULL, held);
		reader_group_init(&hosts[i].group, &hosts[i].env);
		reader_group_follow(&hosts[i].group, PERIOD_MS);
		reader_group_set(&hosts[i].group, now_ms, addrs, HOSTS, i);
		hosts[i].ends_ms = DEADLINE_NEVER;
	}
}

static void
teardown(void)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		env_clear(&hosts[i].env);
	catalog_free(held);
}

static void
deliver(uint32_t from)
{
	struct msg_read_report msg;
	struct outbox_item *item;

	while ((item = outbox_pop(hosts[from].env.out)) != NULL) {
		ck_assert_int_eq(msg_read_report_decode(
				     item->body->data, item->body->len, &msg),
		    STATUS_OK);
		if (item->to.ip <= HOSTS)
			reader_group_on_report(&hosts[item->to.ip - 1].group,
			    now_ms, &addrs[from], &msg);
		outbox_item_free(item);
	}
}

/* Lets a host begin or end a read; the feed's position is the time. */
static void
step(uint32_t i)
{
	struct host *h = &hosts[i];

	(void)reader_group_tick(&h->group, now_ms);
	deliver(i);
	if (h->ends_ms == DEADLINE_NEVER && reader_group_reads(&h->group)) {
		h->reads++;
		h->ends_ms = now_ms + ANSWER_MS;
		if (h->fate == WELL)
			h->ends_ms += reader_group_wait_ms(&h->group, now_ms);
		else if (h->fate == SILENT)
			h->ends_ms += PERIOD_MS + 1500;
	}
	if (now_ms < h->ends_ms)
		return;
	h->ends_ms = DEADLINE_NEVER;
	if (h->fate == WELL && n_answered < G_N_ELEMENTS(answered_ms))
		answered_ms[n_answered++] = now_ms;
	reader_group_report(&h->group, now_ms, h->fate == WELL, now_ms);
	deliver(i);
}

static void
run(uint64_t ms)
{
	uint64_t end_ms = now_ms + ms;
	uint32_t i;

	for (; now_ms < end_ms; now_ms++)
		for (i = 0; i < HOSTS; i++)
			step(i);
}

static uint32_t
reading(void)
{
	uint32_t i, n = 0;

	for (i = 0; i < HOSTS; i++)
		n += reader_group_reads(&hosts[i].group) ? 1 : 0;
	return n;
}

/* Longest time without an answer from @from_ms on. */
static uint64_t
longest_gap_ms(uint64_t from_ms)
{
	uint64_t last_ms = from_ms, gap_ms = 0;
	uint32_t i;

	for (i = 0; i < n_answered; i++) {
		if (answered_ms[i] <= from_ms)
			continue;
		gap_ms = MAX(gap_ms, answered_ms[i] - last_ms);
		last_ms = answered_ms[i];
	}
	return MAX(gap_ms, now_ms - last_ms);
}

START_TEST(the_first_hosts_read_in_turn)
{
	uint64_t from_ms;
	uint32_t reads;

	run(10000);
	from_ms = now_ms;
	reads = hosts[0].reads + hosts[1].reads;
	run(30000);
	ck_assert_uint_eq(reading(), READERS);
	ck_assert_uint_le(longest_gap_ms(from_ms), PERIOD_MS / READERS + 50);
	/* No more reads than without turns. */
	ck_assert_uint_le(hosts[0].reads + hosts[1].reads - reads,
	    READERS * (30000 / PERIOD_MS + 1));
	ck_assert_uint_eq(hosts[2].reads, 0);
}
END_TEST

START_TEST(a_reader_that_is_refused_is_replaced_at_once)
{
	run(10000);
	hosts[0].fate = REFUSED;
	hosts[0].ends_ms = now_ms;
	run(2);
	ck_assert(reader_group_reads(&hosts[2].group));
	ck_assert_int_eq(hosts[2].group.reason, READER_GROUP_FAILED);
	ck_assert(!reader_group_reads(&hosts[3].group));
	/* It looks at once, and doesn't wait for the next change. */
	run(ANSWER_MS + 2);
	ck_assert(hosts[2].group.begun);
}
END_TEST

/* The reads of the first @n hosts are not answered any more. */
static void
silence_first(uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		hosts[i].fate = SILENT;
		hosts[i].ends_ms = DEADLINE_NEVER;
	}
}

/* However many of the first ones are away, one that isn't is answered soon. */
START_TEST(silence_is_noticed_within_half_a_period)
{
	uint32_t n = (uint32_t)_i;
	uint64_t from_ms;

	run(10000 + 130 * n);
	silence_first(n);
	from_ms = now_ms;
	run(20000);
	ck_assert_uint_le(
	    longest_gap_ms(from_ms), MAX(PERIOD_MS, SILENT_MS(n)) + 300);
}
END_TEST

START_TEST(the_first_answer_after_silence_is_in_time)
{
	uint32_t n = (uint32_t)_i, before;
	uint64_t from_ms;

	run(10000 + 170 * n);
	silence_first(n);
	from_ms = now_ms;
	before = n_answered;
	while (n_answered == before && now_ms < from_ms + 10000)
		run(1);
	ck_assert_uint_le(now_ms - from_ms, SILENT_MS(n) + ANSWER_MS);
}
END_TEST

static void
report(uint32_t to, uint32_t from, bool answered)
{
	struct msg_read_report msg = {.answered = answered};

	reader_group_on_report(&hosts[to].group, now_ms, &addrs[from], &msg);
}

/* Two are silent, and others fail after that has shown. */
START_TEST(hosts_that_fail_late_hold_nobody_back)
{
	run(10000);
	report(4, 1, true);
	report(4, 2, true);
	now_ms += PERIOD_MS / 2 + 250;
	report(4, 0, false);
	report(4, 3, false);
	(void)reader_group_tick(&hosts[4].group, now_ms);
	ck_assert(reader_group_reads(&hosts[4].group));
}
END_TEST

/* One of two is frozen: the data centre has two again. */
START_TEST(a_reader_that_tells_nothing_is_replaced)
{
	run(10000);
	hosts[1].fate = SILENT;
	hosts[1].ends_ms = DEADLINE_NEVER;
	run(PERIOD_MS + 300);
	ck_assert(reader_group_reads(&hosts[2].group));
	run(5000);
	ck_assert(reader_group_reads(&hosts[2].group));
	ck_assert(!reader_group_reads(&hosts[3].group));
	hosts[1].fate = WELL;
	hosts[1].ends_ms = DEADLINE_NEVER;
	run(2 * PERIOD_MS);
	ck_assert(!reader_group_reads(&hosts[2].group));
	ck_assert_uint_eq(reading(), READERS);
}
END_TEST

/* While the platform is away all of them try, and no others when it is back. */
START_TEST(all_try_while_nobody_is_answered)
{
	uint32_t i;

	run(10000);
	for (i = 0; i < HOSTS; i++) {
		hosts[i].fate = REFUSED;
		hosts[i].ends_ms = DEADLINE_NEVER;
	}
	run(3000);
	ck_assert_uint_eq(reading(), HOSTS);
	for (i = 0; i < HOSTS; i++)
		hosts[i].fate = WELL;
	run(2 * PERIOD_MS + 500);
	ck_assert_uint_eq(reading(), READERS);
}
END_TEST

/* A host that ranks first has joined, but not begun to read; the one that it
 * displaces goes on until it has. */
START_TEST(a_reader_that_is_displaced_waits_for_its_successor)
{
	struct net_addr joined[HOSTS];
	uint32_t i;

	run(10000);
	joined[0].ip = 99;
	joined[0].port = 0;
	memcpy(&joined[1], addrs, (HOSTS - 1) * sizeof(addrs[0]));
	for (i = 0; i < HOSTS - 1; i++)
		reader_group_set(&hosts[i].group, now_ms, joined, HOSTS, i + 1);
	for (i = 0; i < 5000; i++) {
		run(1);
		ck_assert(reader_group_reads(&hosts[0].group));
		ck_assert(reader_group_reads(&hosts[1].group));
	}
	ck_assert(!reader_group_reads(&hosts[2].group));
}
END_TEST

/* After a start nobody has told yet; only the first ones read. */
START_TEST(those_that_stand_by_wait_after_a_start)
{
	run(PERIOD_MS / 2);
	ck_assert_uint_eq(reading(), READERS);
	run(20000);
	ck_assert_uint_eq(hosts[2].reads, 0);
}
END_TEST

/* What was read just now may not have spread: it is read again. */
START_TEST(a_position_is_gone_on_from_when_it_has_spread)
{
	uint64_t position;

	run(1000);
	ck_assert_uint_eq(reader_group_position(&hosts[2].group), 0);
	run(20000);
	position = reader_group_position(&hosts[2].group);
	ck_assert_uint_gt(position, 0);
	ck_assert_uint_le(position + 3000, now_ms);
	ck_assert_uint_ge(position + 3000 + 3000 + PERIOD_MS, now_ms);
}
END_TEST

/* Lets host 2 learn of a position that has had the time to spread. */
static void
learn_position(uint64_t position, uint64_t version)
{
	struct msg_read_report msg = {
	    .answered = true, .position = position, .version = version};

	reader_group_on_report(&hosts[2].group, now_ms, &addrs[0], &msg);
	reader_group_on_report(&hosts[2].group, now_ms + 3000, &addrs[0], &msg);
	ck_assert_uint_eq(hosts[2].group.position.settled, position);
}

/* A host that lacks what others hold reads the whole. */
START_TEST(a_position_is_gone_on_from_with_its_version_only)
{
	learn_position(77, HELD + 1);
	ck_assert_uint_eq(reader_group_position(&hosts[2].group), 0);
}
END_TEST

/* So does one that was started just now, whatever the others hold. */
START_TEST(a_host_that_holds_nothing_reads_the_whole)
{
	hosts[2].env.catalog = NULL;
	learn_position(77, 0);
	ck_assert_uint_eq(reader_group_position(&hosts[2].group), 0);
	hosts[2].env.catalog = held;
	ck_assert_uint_eq(reader_group_position(&hosts[2].group), 77);
}
END_TEST

static void
strike_all_but(uint32_t well, int fate)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		if (i == well)
			continue;
		hosts[i].fate = fate;
		hosts[i].ends_ms = fate == SILENT ? DEADLINE_NEVER : now_ms;
	}
}

/* The platform answers a single host, which neither reads nor stands by: it
 * reads soon, alone of the further hosts, until those before it can. */
START_TEST(a_further_host_reads_while_nobody_else_is_answered)
{
	uint32_t well = STANDING + (uint32_t)_i / 2, i;
	uint64_t from_ms;

	run(10000);
	ck_assert_uint_eq(reading(), READERS);
	strike_all_but(well, _i % 2 == 0 ? REFUSED : SILENT);
	from_ms = now_ms;
	run(20000);
	ck_assert_uint_le(longest_gap_ms(from_ms), PERIOD_MS + 200);
	ck_assert(reader_group_is_first(&hosts[well].group, now_ms));
	ck_assert_uint_eq(reading(), STANDING + 1);
	for (i = 0; i < HOSTS; i++)
		hosts[i].fate = WELL;
	run(2 * PERIOD_MS + 2000);
	ck_assert_uint_eq(reading(), READERS);
	ck_assert(reader_group_is_first(&hosts[0].group, now_ms));
}
END_TEST

/* It goes on from where the readers were. */
START_TEST(a_further_host_knows_the_position)
{
	run(20000);
	ck_assert_uint_eq(reader_group_position(&hosts[STANDING].group), 0);
	strike_all_but(HOSTS, REFUSED);
	run(10);
	ck_assert(reader_group_reads(&hosts[STANDING].group));
	ck_assert_uint_gt(reader_group_position(&hosts[STANDING].group), 0);
}
END_TEST

/* All that could tell them is silent, from the start on. */
START_TEST(further_hosts_are_not_asked_before_there_is_a_version)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		hosts[i].env.catalog = NULL;
	strike_all_but(HOSTS, SILENT);
	run(PERIOD_MS);
	ck_assert(!reader_group_reads(&hosts[STANDING].group));
	/* What is not told is not due over and over either. */
	ck_assert_uint_gt(reader_group_next_ms(&hosts[0].group), now_ms);
}
END_TEST

START_TEST(the_first_that_is_answered_is_the_first)
{
	run(10000);
	ck_assert(reader_group_is_first(&hosts[0].group, now_ms));
	ck_assert(!reader_group_is_first(&hosts[1].group, now_ms));
	hosts[0].fate = REFUSED;
	hosts[0].ends_ms = now_ms;
	run(2);
	ck_assert(!reader_group_is_first(&hosts[0].group, now_ms));
	ck_assert(reader_group_is_first(&hosts[1].group, now_ms));
	ck_assert(!reader_group_is_first(&hosts[2].group, now_ms));
}
END_TEST

/* Reports of hosts that are not of the group, or rank below, change nothing. */
START_TEST(reports_of_others_do_not_count)
{
	struct msg_read_report failed = {.answered = false};
	struct net_addr stranger = {.ip = 99};

	run(10000);
	reader_group_on_report(&hosts[2].group, now_ms, &stranger, &failed);
	reader_group_on_report(&hosts[2].group, now_ms, &addrs[4], &failed);
	(void)reader_group_tick(&hosts[2].group, now_ms);
	ck_assert(!reader_group_reads(&hosts[2].group));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("reader_group");
	TCase *tc = tcase_create("reader_group");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, the_first_hosts_read_in_turn);
	tcase_add_test(tc, a_reader_that_is_refused_is_replaced_at_once);
	tcase_add_loop_test(
	    tc, silence_is_noticed_within_half_a_period, READERS, STANDING);
	tcase_add_loop_test(
	    tc, the_first_answer_after_silence_is_in_time, READERS, STANDING);
	tcase_add_test(tc, hosts_that_fail_late_hold_nobody_back);
	tcase_add_test(tc, a_reader_that_tells_nothing_is_replaced);
	tcase_add_test(tc, all_try_while_nobody_is_answered);
	tcase_add_test(tc, a_reader_that_is_displaced_waits_for_its_successor);
	tcase_add_test(tc, those_that_stand_by_wait_after_a_start);
	tcase_add_test(tc, a_position_is_gone_on_from_when_it_has_spread);
	tcase_add_test(tc, a_position_is_gone_on_from_with_its_version_only);
	tcase_add_test(tc, a_host_that_holds_nothing_reads_the_whole);
	tcase_add_loop_test(tc,
	    a_further_host_reads_while_nobody_else_is_answered, 0,
	    2 * (HOSTS - STANDING));
	tcase_add_test(tc, a_further_host_knows_the_position);
	tcase_add_test(
	    tc, further_hosts_are_not_asked_before_there_is_a_version);
	tcase_add_test(tc, the_first_that_is_answered_is_the_first);
	tcase_add_test(tc, reports_of_others_do_not_count);
	suite_add_tcase(s, tc);
	return test_run(s);
}
