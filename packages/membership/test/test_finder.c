/*
 * Schedule of the directory's reads and writes, and selection of the registered
 * hosts.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "membership/finder.h"
#include "membership/places.h"

#include "test_run.h"

#define SAMPLE 16

/* Ends a call; a lookup finds @others entries of other nodes. */
static void
end_call(struct finder *f, enum finder_action a, uint32_t others, int ok,
    uint64_t now_ms)
{
	if (!ok)
		finder_failed(f, now_ms);
	else if (a == FINDER_REGISTER)
		finder_registered(f, now_ms);
	else
		finder_looked_up(f, others, 0, now_ms);
}

/* Runs the finder in steps of 10 ms; returns the calls made in @ms. */
static uint32_t
calls_in(struct finder *f, struct finder_view view, int ok, uint64_t *now_ms,
    uint64_t ms)
{
	uint64_t end_ms = *now_ms + ms;
	enum finder_action a;
	uint32_t n = 0;

	for (; *now_ms < end_ms; *now_ms += 10) {
		a = finder_next(f, &view, *now_ms);
		if (a == FINDER_NONE)
			continue;
		n++;
		end_call(f, a, SAMPLE, ok, *now_ms);
	}
	return n;
}

static const struct finder_view alone = {0, 1, 1};

/*
 * Starts a node whose first lookup finds @others, and the own entry if @own.
 * Returns the time of the lookup.
 */
static uint64_t
first_lookup(struct finder *f, uint32_t others, int own)
{
	uint64_t now_ms = 1000;

	finder_init(f, 1, now_ms);
	ck_assert_int_eq(finder_next(f, &alone, now_ms), FINDER_LOOK_UP);
	ck_assert_uint_eq(finder_due_ms(f), DEADLINE_NEVER);
	finder_looked_up(f, others, own, now_ms);
	return now_ms;
}

START_TEST(node_with_peers_makes_no_further_calls)
{
	const struct finder_view ten = {1, 10, 0}, four = {1, 4, 0};
	struct finder f;
	uint64_t now_ms = first_lookup(&f, SAMPLE, 0);

	ck_assert_uint_eq(calls_in(&f, ten, 1, &now_ms, 60000), 0);
	/* More than half of the peers are lost at once. */
	ck_assert_uint_ge(calls_in(&f, four, 1, &now_ms, 3000), 1);
	finder_clear(&f);
}
END_TEST

/*
 * The place has another entry or none.  The holder writes the entry once, and
 * not before a restarted host would be back.
 */
START_TEST(holder_of_a_place_registers_once)
{
	const struct finder_view holder = {1, 10, 1};
	struct finder f;
	uint64_t now_ms = first_lookup(&f, SAMPLE, 0);

	ck_assert_uint_eq(calls_in(&f, holder, 1, &now_ms, 9000), 0);
	ck_assert_uint_eq(calls_in(&f, holder, 1, &now_ms, 60000), 1);
	finder_clear(&f);
}
END_TEST

START_TEST(registered_holder_does_not_register_again)
{
	const struct finder_view holder = {1, 10, 1}, other = {1, 10, 0};
	struct finder f;
	uint64_t now_ms = first_lookup(&f, SAMPLE, 1);

	ck_assert_uint_eq(calls_in(&f, holder, 1, &now_ms, 60000), 0);
	/* Another host was the holder meanwhile and overwrote the entry. */
	ck_assert_uint_eq(calls_in(&f, other, 1, &now_ms, 20000), 0);
	ck_assert_uint_eq(calls_in(&f, holder, 1, &now_ms, 60000), 1);
	finder_clear(&f);
}
END_TEST

/*
 * The first hosts of a fleet find no entries; each must be found by the others.
 */
START_TEST(node_that_finds_few_registers_and_looks_up_again)
{
	struct finder f;
	uint64_t now_ms = 1000;

	finder_init(&f, 1, now_ms);
	do {
		ck_assert_int_eq(
		    finder_next(&f, &alone, now_ms), FINDER_LOOK_UP);
		finder_looked_up(&f, 0, 0, now_ms);
		ck_assert_uint_le(finder_due_ms(&f), now_ms + 600);
		now_ms = finder_due_ms(&f);
	} while (f.few_lookups == 1);
	ck_assert_int_eq(finder_next(&f, &alone, now_ms), FINDER_REGISTER);
	finder_registered(&f, now_ms);
	ck_assert_int_eq(finder_next(&f, &alone, now_ms + 400), FINDER_NONE);
	ck_assert_int_eq(
	    finder_next(&f, &alone, now_ms + 1000), FINDER_LOOK_UP);
	finder_clear(&f);
}
END_TEST

/* All peers found are dead: the node registers before it repeats the lookup. */
START_TEST(node_that_is_alone_registers)
{
	struct finder f;
	uint64_t now_ms = first_lookup(&f, SAMPLE, 0);

	ck_assert_int_eq(
	    finder_next(&f, &alone, now_ms + 1000), FINDER_REGISTER);
	finder_registered(&f, now_ms + 1000);
	ck_assert_int_eq(
	    finder_next(&f, &alone, now_ms + 2000), FINDER_LOOK_UP);
	finder_clear(&f);
}
END_TEST

/*
 * After a total loss of power, messages of others arrive before the first
 * lookup.  Without the lookup, such a node would have no peer to join through.
 */
START_TEST(node_that_has_not_joined_looks_up)
{
	const struct finder_view unjoined = {0, 9, 1};
	struct finder f;
	uint64_t now_ms = 1000;

	finder_init(&f, 1, now_ms);
	ck_assert_int_eq(finder_next(&f, &unjoined, now_ms), FINDER_LOOK_UP);
	finder_clear(&f);
}
END_TEST

/*
 * Answer time of the directory; entries written meanwhile are not in the
 * answer.
 */
#define CALL_MS 10

/* A host joins this long after a lookup that found others. */
#define JOIN_MS 300

#define STARTS_MS 300

struct starting {
	struct finder finder;
	uint64_t start_ms;
	uint64_t ends_ms;
	uint64_t joined_ms;
	enum finder_action call;
	uint32_t seen;
};

/* Runs a host for one step; returns the calls started. */
static uint32_t
start_step(struct starting *s, uint32_t *entries, uint64_t now_ms)
{
	struct finder_view view = {now_ms >= s->joined_ms, 2, 0};

	if (now_ms < s->start_ms)
		return 0;
	if (s->call != FINDER_NONE && now_ms == s->ends_ms) {
		*entries += s->call == FINDER_REGISTER;
		end_call(&s->finder, s->call, MIN(s->seen, SAMPLE), 1, now_ms);
		if (s->call == FINDER_LOOK_UP && s->seen > 0)
			s->joined_ms = MIN(s->joined_ms, now_ms + JOIN_MS);
		s->call = FINDER_NONE;
	}
	if (s->call != FINDER_NONE)
		return 0;
	s->call = finder_next(&s->finder, &view, now_ms);
	s->ends_ms = now_ms + CALL_MS;
	s->seen = *entries;
	return s->call != FINDER_NONE;
}

/*
 * Calls of a fleet that starts within 300 ms with @entries in the directory; 0
 * is the very first start.  All hosts share one store.
 */
static uint32_t
calls_of_a_mass_start(uint32_t hosts, uint32_t entries)
{
	struct starting *all = g_new0(struct starting, hosts);
	uint32_t calls = 0, i;
	uint64_t now_ms;

	for (i = 0; i < hosts; i++) {
		finder_init(&all[i].finder, i, 0);
		all[i].start_ms = (uint64_t)i * STARTS_MS / hosts;
		all[i].joined_ms = DEADLINE_NEVER;
	}
	for (now_ms = 0; now_ms < 10000; now_ms++)
		for (i = 0; i < hosts; i++)
			calls += start_step(&all[i], &entries, now_ms);
	for (i = 0; i < hosts; i++)
		finder_clear(&all[i].finder);
	g_free(all);
	return calls;
}

START_TEST(mass_start_costs_one_call_per_host)
{
	static const uint32_t hosts[] = {76, 195, 300};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(hosts); i++) {
		ck_assert_uint_eq(
		    calls_of_a_mass_start(hosts[i], 40), hosts[i]);
		ck_assert_uint_lt(
		    calls_of_a_mass_start(hosts[i], 0), 2 * hosts[i]);
	}
}
END_TEST

/*
 * 22,000 nodes start while the store is down: full-jitter back-off is meant to
 * keep their calls below 2,000 reads a second.
 */
START_TEST(calls_back_off_while_the_store_is_down)
{
	struct finder f;
	uint64_t now_ms = 0;
	uint32_t n;

	finder_init(&f, 7, now_ms);
	(void)calls_in(&f, alone, 0, &now_ms, 20000);
	n = calls_in(&f, alone, 0, &now_ms, 600000);
	ck_assert_uint_le(n, 600 / 2);
	ck_assert_uint_ge(n, 600 / 5);
	finder_clear(&f);
}
END_TEST

#define FLEET 40

static struct membership *fleet_node;
static struct outbox *fleet_out;

static void
fleet_receive(uint32_t i, const char *data_centre, enum member_state state)
{
	GByteArray *body = g_byte_array_new();
	struct rec_member rec;
	struct msg_news msg;

	memset(&rec, 0, sizeof(rec));
	memset(&msg, 0, sizeof(msg));
	(void)g_snprintf(rec.host, sizeof(rec.host), "host-%u", i);
	(void)g_strlcpy(rec.data_centre, data_centre, sizeof(rec.data_centre));
	rec.ip = 0x0a000100U + i;
	rec.peer_port = 7000;
	rec.incarnation = state == MEMBER_ALIVE ? 1 : 2;
	rec.state = state;
	(void)g_strlcpy(msg.host, rec.host, sizeof(msg.host));
	msg.news = &rec;
	msg.n_news = 1;
	msg_news_encode(&msg, body);
	membership_receive(fleet_node, 1000, &(struct net_addr){rec.ip, 7000},
	    0, MSG_NEWS, body->data, body->len);
	g_byte_array_unref(body);
}

static void
fleet_begin(const char *host)
{
	struct membership_settings s;

	membership_settings_init(&s);
	(void)g_strlcpy(s.host, host, sizeof(s.host));
	(void)g_strlcpy(s.data_centre, "d1", sizeof(s.data_centre));
	s.address = (struct net_addr){0x0a000001U, 7000};
	fleet_out = outbox_new();
	fleet_node = membership_new(&s, 1000, 1000000, 1, fleet_out);
}

static void
fleet_end(void)
{
	membership_free(fleet_node);
	outbox_free(fleet_out);
}

/*
 * Each place that a host of the data centre has is held by exactly one host,
 * and all hosts agree on the holder.
 */
START_TEST(each_place_has_one_holder)
{
	char host[MEMBER_NAME_BYTES], place[PLACE_BYTES];
	GHashTable *holders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i, j;

	for (i = 0; i < FLEET; i++) {
		(void)g_snprintf(host, sizeof(host), "host-%u", i);
		fleet_begin(host);
		for (j = 0; j < FLEET; j++)
			if (j != i)
				fleet_receive(j, "d1", MEMBER_ALIVE);
		places_of("d1", host, place);
		if (places_held(fleet_node))
			ck_assert_msg(
			    g_hash_table_add(holders, g_strdup(place)),
			    "%s is held twice", place);
		fleet_end();
	}
	ck_assert_uint_eq(g_hash_table_size(holders), PLACES_PER_DATA_CENTRE);
	g_hash_table_unref(holders);
}
END_TEST

START_TEST(host_holds_its_place_once_higher_ranked_hosts_left)
{
	uint32_t i;

	fleet_begin("host-0");
	for (i = 1; i < FLEET; i++)
		fleet_receive(i, "d2", MEMBER_ALIVE);
	ck_assert_msg(
	    places_held(fleet_node), "hosts of other data centres don't count");
	for (i = FLEET; i < 3 * FLEET; i++)
		fleet_receive(i, "d1", MEMBER_ALIVE);
	ck_assert(!places_held(fleet_node));
	for (i = FLEET; i < 3 * FLEET; i++)
		fleet_receive(i, "d1", MEMBER_LEFT);
	ck_assert(places_held(fleet_node));
	fleet_end();
}
END_TEST

/*
 * A lookup that starts at the lower bound misses no place of the data centre.
 */
START_TEST(places_sort_after_the_lower_bound)
{
	char first[PLACE_BYTES], place[PLACE_BYTES], host[MEMBER_NAME_BYTES];
	uint32_t i;

	places_lower_bound("d1", first);
	for (i = 0; i < FLEET; i++) {
		(void)g_snprintf(host, sizeof(host), "host-%u", i);
		places_of("d1", host, place);
		ck_assert_int_gt(strcmp(place, first), 0);
		ck_assert(g_str_has_prefix(place, first));
	}
}
END_TEST

/* The directory has come back from an older copy. */
START_TEST(registered_holder_registers_again_after_a_restore)
{
	const struct finder_view holder = {1, 10, 1}, other = {1, 10, 0};
	uint64_t now_ms;
	struct finder f;

	now_ms = first_lookup(&f, SAMPLE, 1);
	ck_assert_uint_eq(calls_in(&f, holder, 1, &now_ms, 30000), 0);
	finder_restored(&f, now_ms);
	ck_assert_uint_eq(calls_in(&f, holder, 1, &now_ms, 2000), 1);
	ck_assert_uint_eq(calls_in(&f, holder, 1, &now_ms, 30000), 0);
	finder_clear(&f);
	now_ms = first_lookup(&f, SAMPLE, 0);
	finder_restored(&f, now_ms);
	ck_assert_uint_eq(calls_in(&f, other, 1, &now_ms, 30000), 0);
	finder_clear(&f);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("finder");
	TCase *tc = tcase_create("finder");

	tcase_add_test(tc, node_with_peers_makes_no_further_calls);
	tcase_add_test(tc, holder_of_a_place_registers_once);
	tcase_add_test(tc, registered_holder_does_not_register_again);
	tcase_add_test(tc, registered_holder_registers_again_after_a_restore);
	tcase_add_test(tc, node_that_finds_few_registers_and_looks_up_again);
	tcase_add_test(tc, node_that_is_alone_registers);
	tcase_add_test(tc, node_that_has_not_joined_looks_up);
	tcase_add_test(tc, mass_start_costs_one_call_per_host);
	tcase_add_test(tc, calls_back_off_while_the_store_is_down);
	tcase_add_test(tc, each_place_has_one_holder);
	tcase_add_test(tc, host_holds_its_place_once_higher_ranked_hosts_left);
	tcase_add_test(tc, places_sort_after_the_lower_bound);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
