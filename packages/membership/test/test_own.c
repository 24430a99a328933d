/*
 * Tests of a single membership: endpoints with their leases, queries, settings,
 * invalid input.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "base/clock.h"

#include "fake_net.h"
#include "test_run.h"

static struct fake_net *f;
static struct membership *m;

static void
setup(void)
{
	struct membership_settings s;

	f = fake_net_new(1);
	s = fake_settings(f, 0, 0);
	m = fake_start(f, 0, &s, 0)->m;
	fake_run(f, 100);
}

static void
teardown(void)
{
	fake_net_free(f);
}

static const struct member_endpoint *
endpoint(const char *service, uint16_t port)
{
	const struct member *self = membership_self(m);
	uint32_t i;

	for (i = 0; i < self->n_endpoints; i++)
		if (self->endpoints[i].port == port &&
		    strcmp(self->endpoints[i].service, service) == 0)
			return &self->endpoints[i];
	return NULL;
}

START_TEST(lone_node_joins)
{
	ck_assert_int_eq(membership_phase(m), MEMBERSHIP_JOINED);
	ck_assert_uint_eq(membership_live(m), 1);
	ck_assert_ptr_eq(membership_find(m, "h0"), membership_self(m));
	ck_assert_ptr_null(membership_random(m, NULL, MEMBER_STATES_LIVE));
}
END_TEST

START_TEST(lease_lapses_to_draining_then_left_then_gone)
{
	static const struct {
		uint64_t after_ms;
		int state;
	} steps[] = {{900, ENDPOINT_READY}, {200, ENDPOINT_DRAINING},
	    {800, ENDPOINT_DRAINING}, {200, ENDPOINT_LEFT}, {31000, -1}};
	const struct member_endpoint *e;
	uint32_t i;

	ck_assert_int_eq(
	    membership_announce(m, f->now_ms, "search", 80, 12, ENDPOINT_READY,
		f->now_ms + 1000, MEMBER_COLD_UNKNOWN, NULL),
	    STATUS_OK);
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		fake_run(f, steps[i].after_ms);
		e = endpoint("search", 80);
		if (steps[i].state < 0)
			ck_assert_ptr_null(e);
		else
			ck_assert_int_eq(e->state, steps[i].state);
	}
}
END_TEST

static void
announce(enum endpoint_state state)
{
	ck_assert_int_eq(
	    membership_announce(m, f->now_ms, "search", 80, 12, state,
		f->now_ms + 1000, MEMBER_COLD_UNKNOWN, NULL),
	    STATUS_OK);
}

/* Guards against an upstream that has reported its leaving and is listed as
 * ready again by its next announcement. */
START_TEST(a_leaving_upstream_stays_draining_until_it_starts_again)
{
	announce(ENDPOINT_READY);
	ck_assert_int_eq(
	    membership_set_leaving(m, f->now_ms, "search", 80, 1), STATUS_OK);
	ck_assert_int_eq(endpoint("search", 80)->state, ENDPOINT_DRAINING);
	announce(ENDPOINT_READY);
	ck_assert_int_eq(endpoint("search", 80)->state, ENDPOINT_DRAINING);
	announce(ENDPOINT_STARTING);
	announce(ENDPOINT_READY);
	ck_assert_int_eq(endpoint("search", 80)->state, ENDPOINT_READY);
	ck_assert_int_eq(
	    membership_set_leaving(m, f->now_ms, "search", 80, 1), STATUS_OK);
	ck_assert_int_eq(
	    membership_set_leaving(m, f->now_ms, "search", 80, 0), STATUS_OK);
	announce(ENDPOINT_READY);
	ck_assert_int_eq(endpoint("search", 80)->state, ENDPOINT_READY);
	ck_assert_int_eq(membership_set_leaving(m, f->now_ms, "search", 81, 1),
	    STATUS_NOT_FOUND);
}
END_TEST

START_TEST(renewal_does_not_change_the_record)
{
	uint64_t change, incarnation;
	uint32_t i;

	for (i = 0; i < 20; i++) {
		(void)membership_announce(m, f->now_ms, "search", 80, 12,
		    ENDPOINT_READY, f->now_ms + 1000, MEMBER_COLD_UNKNOWN,
		    NULL);
		if (i == 0) {
			change = membership_change(m);
			incarnation = membership_self(m)->incarnation;
		}
		fake_run(f, 500);
	}
	ck_assert_uint_eq(membership_change(m), change);
	ck_assert_uint_eq(membership_self(m)->incarnation, incarnation);
	ck_assert_int_eq(endpoint("search", 80)->state, ENDPOINT_READY);
}
END_TEST

START_TEST(each_change_raises_incarnation_and_revision)
{
	static const enum endpoint_state states[] = {
	    ENDPOINT_STARTING, ENDPOINT_READY, ENDPOINT_DRAINING};
	uint64_t was = 0;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		(void)membership_announce(m, f->now_ms, "search", 80, 12,
		    states[i], DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
		ck_assert_uint_gt(membership_self(m)->incarnation, was);
		was = membership_self(m)->incarnation;
		ck_assert_uint_eq(endpoint("search", 80)->revision, i + 1);
	}
	ck_assert_int_eq(
	    membership_withdraw(m, f->now_ms, "search", 80), STATUS_OK);
	ck_assert_int_eq(
	    membership_withdraw(m, f->now_ms, "search", 80), STATUS_NOT_FOUND);
	ck_assert_int_eq(endpoint("search", 80)->state, ENDPOINT_LEFT);
}
END_TEST

START_TEST(endpoints_are_limited_and_entries_reused)
{
	uint16_t port;

	for (port = 1; port <= MEMBER_ENDPOINTS_MAX; port++)
		ck_assert_int_eq(membership_announce(m, f->now_ms, "search",
				     port, 1, ENDPOINT_READY, DEADLINE_NEVER,
				     MEMBER_COLD_UNKNOWN, NULL),
		    STATUS_OK);
	ck_assert_int_eq(
	    membership_announce(m, f->now_ms, "search", port, 1, ENDPOINT_READY,
		DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL),
	    STATUS_OVERLOADED);
	(void)membership_withdraw(m, f->now_ms, "search", 3);
	ck_assert_int_eq(
	    membership_announce(m, f->now_ms, "search", port, 1, ENDPOINT_READY,
		DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL),
	    STATUS_OK);
	ck_assert_ptr_null(endpoint("search", 3));
	ck_assert_uint_eq(
	    membership_self(m)->n_endpoints, MEMBER_ENDPOINTS_MAX);
}
END_TEST

START_TEST(invalid_announcements_are_rejected_with_a_remedy)
{
	static const struct {
		const char *service;
		uint16_t port;
		enum endpoint_state state;
	} bad[] = {{"", 80, ENDPOINT_READY}, {"a/b", 80, ENDPOINT_READY},
	    {"a\"b", 80, ENDPOINT_READY}, {"a\\b", 80, ENDPOINT_READY},
	    {"a\x7f", 80, ENDPOINT_READY}, {"a\n", 80, ENDPOINT_READY},
	    {"a b", 80, ENDPOINT_READY}, {"search", 0, ENDPOINT_READY},
	    {"search", 80, ENDPOINT_LEFT},
	    {"a-name-that-is-longer-than-31-bytes", 80, ENDPOINT_READY}};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		ck_assert_int_eq(
		    membership_announce(m, f->now_ms, bad[i].service,
			bad[i].port, 1, bad[i].state, DEADLINE_NEVER,
			MEMBER_COLD_UNKNOWN, NULL),
		    STATUS_INVALID);
		ck_assert_ptr_nonnull(strchr(status_message(), ';'));
	}
	ck_assert_uint_eq(membership_self(m)->n_endpoints, 0);
}
END_TEST

/* Service names that are valid in the configuration. */
static const char *const valid_names[] = {"Odd_One.2", "Search", "a:b+c",
    "caf\xc3\xa9", "a-name-that-is-31-bytes-long-ab"};

START_TEST(names_valid_in_the_configuration_are_announced)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(valid_names); i++) {
		ck_assert_int_eq(membership_announce(m, f->now_ms,
				     valid_names[i], 80, 1, ENDPOINT_READY,
				     DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL),
		    STATUS_OK);
		ck_assert_ptr_nonnull(endpoint(valid_names[i], 80));
	}
}
END_TEST

/* Receives a record of a host with one endpoint. */
static void
receive_record(const char *host, const char *service)
{
	struct net_addr from = {FAKE_IP + 9, FAKE_PORT};
	GByteArray *body = g_byte_array_new();
	struct rec_endpoint e = {.port = 80, .slots = 1, .revision = 1};
	struct rec_member rec = {.ip = FAKE_IP + 9,
	    .peer_port = FAKE_PORT,
	    .endpoints = &e,
	    .n_endpoints = 1};
	struct msg_news msg = {.news = &rec, .n_news = 1};

	(void)g_strlcpy(rec.host, host, sizeof(rec.host));
	(void)g_strlcpy(rec.data_centre, "d0", sizeof(rec.data_centre));
	(void)g_strlcpy(e.service, service, sizeof(e.service));
	msg_news_encode(&msg, body);
	membership_receive(
	    m, f->now_ms, &from, 0, MSG_NEWS, body->data, body->len);
	g_byte_array_unref(body);
}

START_TEST(records_with_names_valid_in_the_configuration_are_merged)
{
	static const char *const bad[] = {"", "a b", "a/b", "a\"b", "a\\b"};
	const struct member *mb;
	char host[] = "x0";
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(valid_names); i++) {
		host[1] = (char)('0' + i);
		receive_record(host, valid_names[i]);
		mb = membership_find(m, host);
		ck_assert_msg(mb != NULL, "%s: not merged", valid_names[i]);
		ck_assert_uint_eq(mb->n_endpoints, 1);
		ck_assert_str_eq(mb->endpoints[0].service, valid_names[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		receive_record("y", bad[i]);
		ck_assert_ptr_null(membership_find(m, "y"));
	}
	/* Names of hosts follow another rule. */
	receive_record("caf\xc3\xa9", "search");
	ck_assert_ptr_null(membership_find(m, "caf\xc3\xa9"));
}
END_TEST

/* Bytes that are not a message, and messages with invalid fields. */
START_TEST(invalid_messages_change_nothing)
{
	struct net_addr from = {FAKE_IP + 9, FAKE_PORT};
	struct rec_member recs[3];
	struct msg_news msg;
	GByteArray *body = g_byte_array_new();
	uint8_t junk[64];
	uint32_t i, j;

	for (i = 0; i < 2000; i++) {
		for (j = 0; j < sizeof(junk); j++)
			junk[j] = (uint8_t)g_rand_int(f->rand);
		membership_receive(m, f->now_ms, &from, i % 2,
		    (uint8_t)(i % 20), junk, i % sizeof(junk));
	}
	memset(recs, 0, sizeof(recs));
	memset(&msg, 0, sizeof(msg));
	for (i = 0; i < G_N_ELEMENTS(recs); i++) {
		(void)g_strlcpy(recs[i].host, "x", sizeof(recs[i].host));
		(void)g_strlcpy(
		    recs[i].data_centre, "d0", sizeof(recs[i].data_centre));
		recs[i].ip = 1;
		recs[i].peer_port = 1;
	}
	recs[0].host[0] = '\0';
	recs[1].ip = 0;
	recs[2].incarnation = UINT64_MAX;
	msg.news = recs;
	msg.n_news = G_N_ELEMENTS(recs);
	msg_news_encode(&msg, body);
	membership_receive(
	    m, f->now_ms, &from, 0, MSG_NEWS, body->data, body->len);
	g_byte_array_unref(body);
	ck_assert_uint_eq(membership_live(m), 1);
	/*
	 * A tenth are answers to a join without a request, which are ignored.
	 */
	ck_assert_uint_ge(membership_counters(m)->rejected, 1800);
}
END_TEST

static void
make_record(struct rec_member *rec, uint32_t i)
{
	memset(rec, 0, sizeof(*rec));
	(void)snprintf(rec->host, sizeof(rec->host), "member-%05u", i);
	(void)g_strlcpy(rec->data_centre, "d0", sizeof(rec->data_centre));
	rec->ip = FAKE_IP + i;
	rec->peer_port = FAKE_PORT;
	rec->incarnation = i;
}

/* Host @i requests the table; returns the type of the answer. */
static enum msg_type
request_join(uint32_t i)
{
	struct net_addr from = {FAKE_IP + i, FAKE_PORT};
	GByteArray *body = g_byte_array_new();
	enum msg_type type = MSG_NONE;
	struct outbox_item *item;
	struct msg_join msg;

	memset(&msg, 0, sizeof(msg));
	make_record(&msg.self, i);
	msg_join_encode(&msg, body);
	membership_receive(
	    m, f->now_ms, &from, i, MSG_JOIN, body->data, body->len);
	g_byte_array_unref(body);
	while ((item = outbox_pop(f->nodes[0].out)) != NULL) {
		if (item->kind == OUTBOX_FRAME && item->conn == i)
			type = item->type;
		outbox_item_free(item);
	}
	return type;
}

/*
 * Invalid comparisons of tables: each costs a bounded answer and changes
 * nothing.
 */
START_TEST(invalid_comparisons_change_nothing)
{
	static const uint8_t marks[] = {1, 2, 3, 4, 5, 6, 7};
	static const uint32_t slices[] = {0, 1, 7, UINT32_MAX};
	struct net_addr from = {FAKE_IP + 9, FAKE_PORT};
	struct msg_compare msg;
	GByteArray *body;
	uint64_t before;
	uint32_t i;

	for (i = 0; i < 4 * G_N_ELEMENTS(slices); i++) {
		memset(&msg, 0, sizeof(msg));
		(void)g_strlcpy(msg.host, "x", sizeof(msg.host));
		msg.slices = slices[i % G_N_ELEMENTS(slices)];
		msg.slice = UINT32_MAX - i;
		msg.answer = i % 2 != 0;
		msg.marks = marks;
		msg.marks_len = i % sizeof(marks);
		body = g_byte_array_new();
		msg_compare_encode(&msg, body);
		before = membership_counters(m)->bytes_datagrams;
		membership_receive(
		    m, f->now_ms, &from, 0, MSG_COMPARE, body->data, body->len);
		ck_assert_uint_le(
		    membership_counters(m)->bytes_datagrams - before, 2400);
		g_byte_array_unref(body);
	}
	ck_assert_uint_eq(membership_live(m), 1);
}
END_TEST

START_TEST(joins_over_the_limit_are_refused_until_leases_expire)
{
	struct net_addr from = {FAKE_IP + 1, FAKE_PORT};
	uint32_t i, limit = f->nodes[0].settings.join_limit;
	GByteArray *body = g_byte_array_new();
	struct rec_member rec;
	struct msg_news msg = {.news = &rec, .n_news = 1};

	/*
	 * A table of several parts, so that no join ends with its first
	 * answer.
	 */
	for (i = 100; i < 1000; i++) {
		make_record(&rec, i);
		g_byte_array_set_size(body, 0);
		msg_news_encode(&msg, body);
		membership_receive(
		    m, f->now_ms, &from, 0, MSG_NEWS, body->data, body->len);
	}
	g_byte_array_unref(body);
	for (i = 1; i <= limit; i++)
		ck_assert_int_eq(request_join(i), MSG_JOIN_TABLE);
	ck_assert_int_eq(request_join(limit + 1), MSG_JOIN_REFUSED);
	ck_assert_int_eq(request_join(1), MSG_JOIN_TABLE);
	ck_assert_uint_eq(membership_counters(m)->joins_refused, 1);
	/* The leases of joins without further requests have expired. */
	fake_run(f, 4000);
	ck_assert_int_eq(request_join(limit + 1), MSG_JOIN_TABLE);
}
END_TEST

START_TEST(rank_is_the_same_on_all_nodes_and_live_only)
{
	const struct member *a[4], *b[4];
	uint32_t i;

	fake_net_free(f);
	f = fake_net_new(2);
	fake_start_all(f, 8, 1);
	ck_assert_uint_ne(fake_run_until(f, 30000, fake_agreed), UINT64_MAX);
	ck_assert_uint_eq(membership_rank(f->nodes[0].m, "d0", "key", a, 4), 4);
	ck_assert_uint_eq(membership_rank(f->nodes[5].m, "d0", "key", b, 4), 4);
	for (i = 0; i < 4; i++)
		ck_assert_str_eq(a[i]->host, b[i]->host);
	ck_assert_uint_eq(membership_rank(f->nodes[0].m, "d9", "key", a, 4), 0);
}
END_TEST

/* Hosts of 7 and of 140 Mbit/s, with small variations. */
START_TEST(faster_links_rank_first_and_similar_links_share)
{
	static const uint32_t links[] = {7, 140, 5, 0, 150, 7, 130, 7};
	const struct member *a[4], *b[4];
	struct membership_settings s;
	uint32_t i, keys[8] = {0};
	char key[16];

	fake_net_free(f);
	f = fake_net_new(3);
	f->n_seeds = 1;
	f->seeds[0] = fake_settings(f, 0, 0).address;
	for (i = 0; i < 8; i++) {
		s = fake_settings(f, i, 0);
		s.link_mbps = links[i];
		(void)fake_start(f, i, &s, 0);
	}
	ck_assert_uint_ne(fake_run_until(f, 30000, fake_agreed), UINT64_MAX);
	for (i = 0; i < 200; i++) {
		(void)g_snprintf(key, sizeof(key), "key %u", i);
		ck_assert_uint_eq(
		    membership_rank_by_link(f->nodes[0].m, "d0", key, a, 4), 4);
		(void)membership_rank_by_link(f->nodes[5].m, "d0", key, b, 4);
		ck_assert_str_eq(a[0]->host, b[0]->host);
		ck_assert_uint_ge(a[0]->link_mbps, 130);
		ck_assert_uint_ge(a[2]->link_mbps, 130);
		ck_assert_uint_le(a[3]->link_mbps, 7);
		keys[a[0]->host[1] - '0']++;
	}
	ck_assert_uint_ge(keys[1], 30);
	ck_assert_uint_ge(keys[4], 30);
	ck_assert_uint_ge(keys[6], 30);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("membership of one node");
	TCase *tc = tcase_create("own");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, lone_node_joins);
	tcase_add_test(tc, lease_lapses_to_draining_then_left_then_gone);
	tcase_add_test(
	    tc, a_leaving_upstream_stays_draining_until_it_starts_again);
	tcase_add_test(tc, renewal_does_not_change_the_record);
	tcase_add_test(tc, each_change_raises_incarnation_and_revision);
	tcase_add_test(tc, endpoints_are_limited_and_entries_reused);
	tcase_add_test(tc, invalid_announcements_are_rejected_with_a_remedy);
	tcase_add_test(tc, names_valid_in_the_configuration_are_announced);
	tcase_add_test(
	    tc, records_with_names_valid_in_the_configuration_are_merged);
	tcase_add_test(tc, invalid_messages_change_nothing);
	tcase_add_test(tc, invalid_comparisons_change_nothing);
	tcase_add_test(
	    tc, joins_over_the_limit_are_refused_until_leases_expire);
	tcase_add_test(tc, rank_is_the_same_on_all_nodes_and_live_only);
	tcase_add_test(tc, faster_links_rank_first_and_similar_links_share);
	suite_add_tcase(s, tc);
	return test_run(s);
}
