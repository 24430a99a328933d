/*
 * Placement among many hosts: old reports, and a partitioned data centre.
 */
#include <check.h>
#include <glib.h>

#include "traffic/placement.h"

#include "test_run.h"

#define SERVICE 9

enum { OWN_CENTRE = 1, PARTITIONED_CENTRE, OTHER_CENTRE };

static struct endpoint_info
info_in(uint64_t id, uint64_t centre)
{
	struct endpoint_info info = {.id = id,
	    .host = id,
	    .centre = centre,
	    .slots = 10,
	    .state = ENDPOINT_READY,
	    .local = centre == OWN_CENTRE};

	return info;
}

static uint64_t
place(struct placement *p, uint64_t now_ms)
{
	struct placement_query q = {.service = SERVICE, .idempotent = true};
	struct placement_choice c;

	ck_assert(placement_choose(p, &q, now_ms, &c));
	return c.endpoint;
}

/*
 * With hundreds of hosts an entry receives a report of each endpoint only
 * every few seconds.
 *
 * The load: three of four endpoints are full with calls of other entries.
 * Five calls a second of this entry return the load of one endpoint each, so
 * that a report is four seconds old when its endpoint is considered again.  If
 * an old report meant an idle endpoint, three of four calls would go to full
 * endpoints, as with a random choice; known capacity must be used before
 * unknown capacity.
 */
#define MANY 20
#define FREE_OF_MANY 5
#define MANY_CALLS 400
#define MANY_EACH_MS 200

static struct endpoints *
many_new(void)
{
	struct endpoint_info infos[MANY];
	struct endpoints_config ec;
	struct endpoints *e;
	size_t i;

	endpoints_config_default(&ec);
	e = endpoints_new(&ec);
	for (i = 0; i < MANY; i++)
		infos[i] = info_in(i + 1, OWN_CENTRE);
	endpoints_set_service(e, SERVICE, 1, infos, MANY, 0);
	return e;
}

START_TEST(known_capacity_is_used_before_unknown)
{
	struct load_report full = {.in_flight = 10, .queued = 12, .slots = 10};
	struct load_report room = {.in_flight = 1, .slots = 10};
	struct endpoints *e = many_new();
	uint32_t to_full = 0, i;
	struct placement_config pc;
	struct placement *p;
	uint64_t id, now_ms;

	placement_config_default(&pc);
	p = placement_new(&pc, e, NULL, (uint64_t)_i);
	for (i = 0; i < MANY_CALLS; i++) {
		now_ms = (uint64_t)i * MANY_EACH_MS;
		id = place(p, now_ms);
		endpoints_began(e, id, now_ms);
		endpoints_ended(e, id, ENDPOINT_OK, 1000, now_ms);
		endpoints_report(
		    e, id, id <= FREE_OF_MANY ? &room : &full, now_ms);
		to_full += id > FREE_OF_MANY;
	}
	ck_assert_msg(to_full <= MANY_CALLS * 60 / 100,
	    "%u of %u calls went to full endpoints", to_full, MANY_CALLS);
	placement_free(p);
	endpoints_free(e);
}
END_TEST

/*
 * A data centre is partitioned under load.
 *
 * The load: the own data centre is full, so twenty calls a second go to
 * others. The endpoints in the partition look idle, as no load report arrives
 * from them; each call sent there fails, and after half a second its host is
 * known to be silent.  Without detection, one entry of 76 lost a call or more
 * on each of 25 hosts during a partition of six seconds, and so did each of
 * the other entries.
 */
#define CENTRE_HOSTS 25
#define PARTITION_START_MS 1000
#define PARTITION_DURATION_MS 6000
#define CALL_EACH_MS 50
#define SILENT_AFTER_MS 500

/*
 * Half of the calls go there until two hosts are known to be silent, within a
 * second; then one call every 2 s, to detect the end of the partition.
 */
#define LOST_MAX (1000 / CALL_EACH_MS / 2 + PARTITION_DURATION_MS / 2000)

/* One local endpoint, which is full, and two other data centres. */
static struct endpoints *
fleet_new(void)
{
	struct endpoint_info infos[2 * CENTRE_HOSTS + 1];
	struct endpoints_config ec;
	struct endpoints *e;
	size_t n = 0, i;

	endpoints_config_default(&ec);
	e = endpoints_new(&ec);
	infos[n++] = info_in(1, OWN_CENTRE);
	for (i = 0; i < CENTRE_HOSTS; i++) {
		infos[n++] = info_in(100 + i, PARTITIONED_CENTRE);
		infos[n++] = info_in(200 + i, OTHER_CENTRE);
	}
	endpoints_set_service(e, SERVICE, 1, infos, n, 0);
	for (i = 0; i < 40; i++)
		endpoints_began(e, 1, 0);
	return e;
}

static bool
is_partitioned(uint64_t id, uint64_t now_ms)
{
	return id >= 100 && id < 200 && now_ms >= PARTITION_START_MS &&
	    now_ms < PARTITION_START_MS + PARTITION_DURATION_MS;
}

START_TEST(partition_costs_few_calls)
{
	uint64_t silent_ms[100 + CENTRE_HOSTS] = {0}, id, now_ms;
	struct endpoints *e = fleet_new();
	struct placement_config pc;
	struct placement *p;
	uint32_t lost = 0, back = 0;
	size_t i;

	placement_config_default(&pc);
	p = placement_new(&pc, e, NULL, (uint64_t)_i);
	for (now_ms = 0;
	     now_ms < PARTITION_START_MS + PARTITION_DURATION_MS + 4000;
	     now_ms += CALL_EACH_MS) {
		for (i = 100; i < 100 + CENTRE_HOSTS; i++) {
			if (silent_ms[i] == 0 || now_ms < silent_ms[i])
				continue;
			/*
			 * Redialled: the host answers once the partition is
			 * over.
			 */
			(void)endpoints_set_silent(
			    e, i, is_partitioned(i, now_ms), now_ms);
		}
		id = place(p, now_ms);
		endpoints_began(e, id, now_ms);
		if (is_partitioned(id, now_ms)) {
			lost++;
			silent_ms[id] = now_ms + SILENT_AFTER_MS;
			endpoints_ended(e, id, ENDPOINT_CANCELLED, 0, now_ms);
			continue;
		}
		endpoints_ended(e, id, ENDPOINT_OK, 1000, now_ms);
		back += id < 200 &&
		    now_ms >= PARTITION_START_MS + PARTITION_DURATION_MS;
	}
	ck_assert_msg(lost <= LOST_MAX, "%u calls were lost", lost);
	ck_assert_msg(back > 0, "no call after the end of the partition");
	placement_free(p);
	endpoints_free(e);
}
END_TEST

/*
 * Two hosts that fail independently while others there answer are no
 * partition.
 */
START_TEST(silent_hosts_among_answering_ones_are_no_partition)
{
	struct endpoints *e = fleet_new();

	ck_assert(!endpoints_set_silent(e, 100, true, 1000));
	endpoints_began(e, 102, 1100);
	endpoints_ended(e, 102, ENDPOINT_REFUSED, 0, 1100);
	ck_assert(!endpoints_set_silent(e, 101, true, 1200));
	ck_assert_msg(endpoints_set_silent(e, 103, true, 1300),
	    "nothing was received between these two");
	endpoints_free(e);
}
END_TEST

/*
 * One host is no partition, and neither are two that fail at different times.
 */
START_TEST(one_silent_host_is_no_partition)
{
	struct endpoints *e = fleet_new();

	ck_assert(!endpoints_set_silent(e, 100, true, 1000));
	ck_assert(!endpoints_set_silent(e, 100, false, 1500));
	ck_assert(!endpoints_set_silent(e, 100, true, 2000));
	ck_assert(!endpoints_set_silent(e, 101, true, 9000));
	/* The own data centre is never considered partitioned. */
	ck_assert(!endpoints_set_silent(e, 1, true, 9100));
	endpoints_free(e);
}
END_TEST

/*
 * In a large fleet each entry shares many endpoints with many other entries.
 *
 * The load: 34 endpoints of six slots, a third of them 2.5 times slower; an
 * entry sends eleven calls a second, so each endpoint answers it once in three
 * seconds.  An entry that needs many answers before it compares times sends the
 * slow endpoints as many calls as the fast ones until then.
 */
#define SPARSE 34
#define SPARSE_SLOW 11
#define SPARSE_EACH_MS 91
#define SPARSE_LEARN_MS 15000
#define SPARSE_END_MS 30000
#define QUICK_US 160000
#define SLOW_US 400000

static uint64_t
sparse_took_us(uint64_t id)
{
	return id <= SPARSE_SLOW ? SLOW_US : QUICK_US;
}

START_TEST(slow_endpoints_are_detected_after_few_answers)
{
	struct endpoint_info infos[SPARSE];
	uint32_t i, slow = 0, all = 0;
	struct endpoints_config ec;
	struct placement_config pc;
	struct ejection_config jc;
	struct ejection *j;
	struct endpoints *e;
	struct placement *p;
	uint64_t now_ms, id;

	endpoints_config_default(&ec);
	e = endpoints_new(&ec);
	ejection_config_default(&jc);
	j = ejection_new(&jc, e);
	placement_config_default(&pc);
	p = placement_new(&pc, e, j, 5);
	for (i = 0; i < SPARSE; i++) {
		infos[i] = info_in(i + 1, OWN_CENTRE);
		infos[i].slots = 6;
	}
	endpoints_set_service(e, SERVICE, 1, infos, SPARSE, 0);
	for (now_ms = 0; now_ms < SPARSE_END_MS; now_ms += SPARSE_EACH_MS) {
		id = place(p, now_ms);
		endpoints_began(e, id, now_ms);
		endpoints_ended(e, id, ENDPOINT_OK, sparse_took_us(id),
		    now_ms + sparse_took_us(id) / 1000);
		if (now_ms < SPARSE_LEARN_MS)
			continue;
		all++;
		slow += id <= SPARSE_SLOW;
	}
	/* Both of two random choices are slow in one of ten cases. */
	ck_assert_msg(slow * 5 <= all, "%u of %u calls went to slow endpoints",
	    slow, all);
	placement_free(p);
	ejection_free(j);
	endpoints_free(e);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("placement_fleet");
	TCase *tc = tcase_create("placement");

	tcase_add_loop_test(tc, known_capacity_is_used_before_unknown, 0, 10);
	tcase_add_loop_test(tc, partition_costs_few_calls, 0, 10);
	tcase_add_test(tc, silent_hosts_among_answering_ones_are_no_partition);
	tcase_add_test(tc, one_silent_host_is_no_partition);
	tcase_add_test(tc, slow_endpoints_are_detected_after_few_answers);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
