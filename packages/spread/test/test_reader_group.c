/*
 * Which hosts of a data centre read the platform, whatever happens to the
 * readers.
 *
 * Guards against this failure: a change was in force seconds late because all
 * readers were among the hosts that the platform refused.  A reader used to
 * keep its role as long as it was alive.
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

/* Readers and standbys; the other hosts are reserves. */
#define ACTIVE (READERS + READER_GROUP_STANDBYS)
#define PERIOD_MS 1800

/* Version that all hosts hold. */
#define HELD_VERSION 4

/* Time from a read to its answer if there is a change. */
#define ANSWER_MS 5

/* Time after which silence is noticed (half a period, since two readers are
 * answered in turn), and after which the next host takes over if @n hosts above
 * it could have. */
#define SILENCE_MS(n) (PERIOD_MS / 2 + 250 + 150 * ((n)-1))

/**
 * struct host - a simulated host of the group
 * @env: environment
 * @group: module under test
 * @outcome: how its reads end
 * @ends_ms: when its read in flight ends, DEADLINE_NEVER for none
 * @reads: reads started so far
 */
struct host {
	struct spread_env env;
	struct reader_group group;
	enum { ANSWERED, REFUSED, SILENT } outcome;
	uint64_t ends_ms;
	uint32_t reads;
};

static struct host hosts[HOSTS];
static struct catalog *held;
static struct net_addr addrs[HOSTS];
static uint64_t now_ms;

/* End times of the answered reads of all hosts. */
static uint64_t answered_ms[1000];
static uint32_t n_answered;

static struct catalog *
new_catalog(uint64_t version)
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
	held = new_catalog(HELD_VERSION);
	memset(hosts, 0, sizeof(hosts));
	for (i = 0; i < HOSTS; i++)
		addrs[i].ip = i + 1;
	for (i = 0; i < HOSTS; i++) {
		env_init(&hosts[i].env, &cfg, NULL, held);
		reader_group_init(&hosts[i].group, &hosts[i].env);
		reader_group_set_long_poll(&hosts[i].group, PERIOD_MS);
		reader_group_set_hosts(
		    &hosts[i].group, now_ms, addrs, HOSTS, i);
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

/* Each assertion of libcheck writes to a file, also if it holds. */
static void
deliver(uint32_t from)
{
	struct msg_read_report msg;
	struct outbox_item *item;

	while ((item = outbox_pop(hosts[from].env.out)) != NULL) {
		if (msg_read_report_decode(
			item->body->data, item->body->len, &msg) != STATUS_OK)
			ck_abort_msg("%s", status_message());
		if (item->to.ip <= HOSTS)
			reader_group_on_report(&hosts[item->to.ip - 1].group,
			    now_ms, &addrs[from], &msg);
		outbox_item_free(item);
	}
}

/* Starts or ends a read of a host; the position in the feed is the time. */
static void
step(uint32_t i)
{
	struct host *h = &hosts[i];

	(void)reader_group_tick(&h->group, now_ms);
	deliver(i);
	if (h->ends_ms == DEADLINE_NEVER && reader_group_reads(&h->group)) {
		h->reads++;
		h->ends_ms = now_ms + ANSWER_MS;
		if (h->outcome == ANSWERED)
			h->ends_ms += reader_group_wait_ms(&h->group, now_ms);
		else if (h->outcome == SILENT)
			h->ends_ms += PERIOD_MS + 1500;
	}
	if (now_ms < h->ends_ms)
		return;
	h->ends_ms = DEADLINE_NEVER;
	if (h->outcome == ANSWERED && n_answered < G_N_ELEMENTS(answered_ms))
		answered_ms[n_answered++] = now_ms;
	reader_group_on_read_ended(
	    &h->group, now_ms, h->outcome == ANSWERED, now_ms);
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
count_reading(void)
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
	ck_assert_uint_eq(count_reading(), READERS);
	ck_assert_uint_le(longest_gap_ms(from_ms), PERIOD_MS / READERS + 50);
	/* Reading in turn costs no extra reads. */
	ck_assert_uint_le(hosts[0].reads + hosts[1].reads - reads,
	    READERS * (30000 / PERIOD_MS + 1));
	ck_assert_uint_eq(hosts[2].reads, 0);
}
END_TEST

START_TEST(a_reader_that_is_refused_is_replaced_at_once)
{
	run(10000);
	hosts[0].outcome = REFUSED;
	hosts[0].ends_ms = now_ms;
	run(2);
	ck_assert(reader_group_reads(&hosts[2].group));
	ck_assert_int_eq(hosts[2].group.reason, READER_GROUP_FAILED);
	ck_assert(!reader_group_reads(&hosts[3].group));
	/* Its first read returns at once instead of waiting for a change. */
	run(ANSWER_MS + 2);
	ck_assert(hosts[2].group.answered);
}
END_TEST

/* Stops answering the reads of the first @n hosts. */
static void
silence_first(uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		hosts[i].outcome = SILENT;
		hosts[i].ends_ms = DEADLINE_NEVER;
	}
}

/* However many of the first hosts are silent, another host is answered soon. */
START_TEST(silence_is_noticed_within_half_a_period)
{
	uint32_t n = (uint32_t)_i;
	uint64_t from_ms;

	run(10000 + 130 * n);
	silence_first(n);
	from_ms = now_ms;
	run(20000);
	ck_assert_uint_le(
	    longest_gap_ms(from_ms), MAX(PERIOD_MS, SILENCE_MS(n)) + 300);
}
END_TEST

START_TEST(the_first_answer_after_silence_is_on_time)
{
	uint32_t n = (uint32_t)_i, before;
	uint64_t from_ms;

	run(10000 + 170 * n);
	silence_first(n);
	from_ms = now_ms;
	before = n_answered;
	while (n_answered == before && now_ms < from_ms + 10000)
		run(1);
	ck_assert_uint_le(now_ms - from_ms, SILENCE_MS(n) + ANSWER_MS);
}
END_TEST

static void
report(uint32_t to, uint32_t from, bool answered)
{
	struct msg_read_report msg = {.answered = answered};

	reader_group_on_report(&hosts[to].group, now_ms, &addrs[from], &msg);
}

/* Two hosts are silent, and others report failures after that was detected. */
START_TEST(late_failures_do_not_delay_a_takeover)
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

/* One of two readers is frozen; a standby makes them two again. */
START_TEST(a_silent_reader_is_replaced)
{
	run(10000);
	hosts[1].outcome = SILENT;
	hosts[1].ends_ms = DEADLINE_NEVER;
	run(PERIOD_MS + 300);
	ck_assert(reader_group_reads(&hosts[2].group));
	run(5000);
	ck_assert(reader_group_reads(&hosts[2].group));
	ck_assert(!reader_group_reads(&hosts[3].group));
	hosts[1].outcome = ANSWERED;
	hosts[1].ends_ms = DEADLINE_NEVER;
	run(2 * PERIOD_MS);
	ck_assert(!reader_group_reads(&hosts[2].group));
	ck_assert_uint_eq(count_reading(), READERS);
}
END_TEST

/* During an outage of the platform all hosts read; after it only the readers
 * do. */
START_TEST(all_hosts_read_while_none_is_answered)
{
	uint32_t i;

	run(10000);
	for (i = 0; i < HOSTS; i++) {
		hosts[i].outcome = REFUSED;
		hosts[i].ends_ms = DEADLINE_NEVER;
	}
	run(3000);
	ck_assert_uint_eq(count_reading(), HOSTS);
	for (i = 0; i < HOSTS; i++)
		hosts[i].outcome = ANSWERED;
	run(2 * PERIOD_MS + 500);
	ck_assert_uint_eq(count_reading(), READERS);
}
END_TEST

/* A host that joined ranks first but has not begun to read; the reader that it
 * displaces continues until it has. */
START_TEST(a_displaced_reader_reads_until_its_successor_does)
{
	struct net_addr joined[HOSTS];
	uint32_t i;

	run(10000);
	joined[0].ip = 99;
	joined[0].port = 0;
	memcpy(&joined[1], addrs, (HOSTS - 1) * sizeof(addrs[0]));
	for (i = 0; i < HOSTS - 1; i++)
		reader_group_set_hosts(
		    &hosts[i].group, now_ms, joined, HOSTS, i + 1);
	for (i = 0; i < 5000; i++) {
		run(1);
		ck_assert(reader_group_reads(&hosts[0].group));
		ck_assert(reader_group_reads(&hosts[1].group));
	}
	ck_assert(!reader_group_reads(&hosts[2].group));
}
END_TEST

/* After a start no host has reported yet; only the readers by rank read. */
START_TEST(standbys_do_not_read_after_a_start)
{
	run(PERIOD_MS / 2);
	ck_assert_uint_eq(count_reading(), READERS);
	run(20000);
	ck_assert_uint_eq(hosts[2].reads, 0);
}
END_TEST

/* Changes read just now may not have spread, so they are read again. */
START_TEST(a_position_is_used_after_it_has_settled)
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

/* Reports a position to host 2, and lets it settle. */
static void
report_settled_position(uint64_t position, uint64_t version)
{
	struct msg_read_report msg = {
	    .answered = true, .position = position, .version = version};

	reader_group_on_report(&hosts[2].group, now_ms, &addrs[0], &msg);
	reader_group_on_report(&hosts[2].group, now_ms + 3000, &addrs[0], &msg);
	ck_assert_uint_eq(hosts[2].group.position.settled, position);
}

/* A host that holds less than the others reads everything. */
START_TEST(a_position_needs_the_version_reported_with_it)
{
	report_settled_position(77, HELD_VERSION + 1);
	ck_assert_uint_eq(reader_group_position(&hosts[2].group), 0);
}
END_TEST

/* A host that has just started reads everything, whatever the others hold. */
START_TEST(a_host_without_a_version_reads_everything)
{
	hosts[2].env.catalog = NULL;
	report_settled_position(77, 0);
	ck_assert_uint_eq(reader_group_position(&hosts[2].group), 0);
	hosts[2].env.catalog = held;
	ck_assert_uint_eq(reader_group_position(&hosts[2].group), 77);
}
END_TEST

static void
fail_all_but(uint32_t well, int outcome)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		if (i == well)
			continue;
		hosts[i].outcome = outcome;
		hosts[i].ends_ms = outcome == SILENT ? DEADLINE_NEVER : now_ms;
	}
}

/* The platform answers a single host, which is a reserve.  It soon reads, as
 * the only reserve, until hosts above it are answered again. */
START_TEST(a_reserve_reads_while_no_other_host_is_answered)
{
	uint32_t well = ACTIVE + (uint32_t)_i / 2, i;
	uint64_t from_ms;

	run(10000);
	ck_assert_uint_eq(count_reading(), READERS);
	fail_all_but(well, _i % 2 == 0 ? REFUSED : SILENT);
	from_ms = now_ms;
	run(20000);
	ck_assert_uint_le(longest_gap_ms(from_ms), PERIOD_MS + 200);
	ck_assert(reader_group_is_first(&hosts[well].group, now_ms));
	ck_assert_uint_eq(count_reading(), ACTIVE + 1);
	for (i = 0; i < HOSTS; i++)
		hosts[i].outcome = ANSWERED;
	run(2 * PERIOD_MS + 2000);
	ck_assert_uint_eq(count_reading(), READERS);
	ck_assert(reader_group_is_first(&hosts[0].group, now_ms));
}
END_TEST

/* A reserve resumes at the position of the readers. */
START_TEST(a_reserve_resumes_at_the_position_of_the_readers)
{
	run(20000);
	ck_assert_uint_eq(reader_group_position(&hosts[ACTIVE].group), 0);
	fail_all_but(HOSTS, REFUSED);
	run(10);
	ck_assert(reader_group_reads(&hosts[ACTIVE].group));
	ck_assert_uint_gt(reader_group_position(&hosts[ACTIVE].group), 0);
}
END_TEST

/* All active hosts are unanswered from the start on. */
START_TEST(reserves_are_not_notified_without_a_version)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		hosts[i].env.catalog = NULL;
	fail_all_but(HOSTS, SILENT);
	run(PERIOD_MS);
	ck_assert(!reader_group_reads(&hosts[ACTIVE].group));
	/* The skipped notification must not leave the tick permanently due. */
	ck_assert_uint_gt(reader_group_next_ms(&hosts[0].group), now_ms);
}
END_TEST

START_TEST(the_first_answered_host_is_the_first_reader)
{
	run(10000);
	ck_assert(reader_group_is_first(&hosts[0].group, now_ms));
	ck_assert(!reader_group_is_first(&hosts[1].group, now_ms));
	hosts[0].outcome = REFUSED;
	hosts[0].ends_ms = now_ms;
	run(2);
	ck_assert(!reader_group_is_first(&hosts[0].group, now_ms));
	ck_assert(reader_group_is_first(&hosts[1].group, now_ms));
	ck_assert(!reader_group_is_first(&hosts[2].group, now_ms));
}
END_TEST

/* Reports of hosts outside the group or of a lower rank change nothing. */
START_TEST(reports_of_strangers_and_lower_ranks_do_not_count)
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
	    tc, silence_is_noticed_within_half_a_period, READERS, ACTIVE);
	tcase_add_loop_test(
	    tc, the_first_answer_after_silence_is_on_time, READERS, ACTIVE);
	tcase_add_test(tc, late_failures_do_not_delay_a_takeover);
	tcase_add_test(tc, a_silent_reader_is_replaced);
	tcase_add_test(tc, all_hosts_read_while_none_is_answered);
	tcase_add_test(tc, a_displaced_reader_reads_until_its_successor_does);
	tcase_add_test(tc, standbys_do_not_read_after_a_start);
	tcase_add_test(tc, a_position_is_used_after_it_has_settled);
	tcase_add_test(tc, a_position_needs_the_version_reported_with_it);
	tcase_add_test(tc, a_host_without_a_version_reads_everything);
	tcase_add_loop_test(tc, a_reserve_reads_while_no_other_host_is_answered,
	    0, 2 * (HOSTS - ACTIVE));
	tcase_add_test(tc, a_reserve_resumes_at_the_position_of_the_readers);
	tcase_add_test(tc, reserves_are_not_notified_without_a_version);
	tcase_add_test(tc, the_first_answered_host_is_the_first_reader);
	tcase_add_test(tc, reports_of_strangers_and_lower_ranks_do_not_count);
	suite_add_tcase(s, tc);
	return test_run(s);
}
