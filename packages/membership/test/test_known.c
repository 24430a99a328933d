/*
 * Tests of the known version: a version that a node has read reaches all nodes,
 * and a wrong version expires.
 */
#include <string.h>

#include <check.h>

#include "cluster.h"
#include "fake_net.h"
#include "test_run.h"

#define SEEDS 5
#define JOIN_MS 30000
#define NODES 24
#define CENTRES 3
#define READER 5

/* Time within which all nodes of all data centres know a version. */
#define SPREAD_MS 12000

/*
 * Nodes of the reader's own data centre, which a version reaches by push and
 * not by the next probes, which take a second.
 */
#define PUSHED_NODES 24
#define PUSHED_MS 500

/* Time within which a version without a confirming reader expires. */
#define EXPIRED_MS 31000

#define CORRUPTED (UINT64_C(1) << 60)

static struct fake_net *f;
static uint64_t expected;

static int
all_know(struct fake_net *g)
{
	uint32_t i;

	for (i = 0; i < g->n; i++)
		if (fake_up(g, i) &&
		    membership_known(g->nodes[i].m, g->now_ms) != expected)
			return 0;
	return 1;
}

static int
is_known_anywhere(uint64_t version)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		if (fake_up(f, i) &&
		    membership_known(f->nodes[i].m, f->now_ms) == version)
			return 1;
	return 0;
}

static void
read_by(uint32_t i, uint64_t version)
{
	fake_set_known(f, i, version);
	expected = version;
}

/* Node 0 receives a ping of a live peer with a corrupted @head. */
static void
receive_ping(const struct rec_gossip_head *head)
{
	GByteArray *body = g_byte_array_new();
	struct msg_ping msg;

	memset(&msg, 0, sizeof(msg));
	msg.seq = 1;
	(void)g_strlcpy(msg.host, "h3", sizeof(msg.host));
	(void)g_strlcpy(msg.target, "h0", sizeof(msg.target));
	msg.root = membership_root(f->nodes[0].m);
	msg.head = *head;
	msg_ping_encode(&msg, body);
	membership_receive(f->nodes[0].m, f->now_ms, &f->nodes[3].addr, 0,
	    MSG_PING, body->data, body->len);
	g_byte_array_unref(body);
}

START_TEST(version_read_by_one_node_reaches_all)
{
	uint32_t seed = (uint32_t)_i;

	f = cluster_begin(seed, NODES, CENTRES, JOIN_MS);
	f->loss_percent = 5;
	expected = 0;
	ck_assert(all_know(f));
	read_by(READER, 10);
	cluster_wait(f, seed, SPREAD_MS, all_know, "version 10 known");
	read_by(READER + 1, 12);
	cluster_wait(f, seed, SPREAD_MS, all_know, "version 12 known");
	cluster_end(f, seed);
}
END_TEST

/* Number of nodes that know the expected version. */
static uint32_t
n_knowing(void)
{
	uint32_t i, n = 0;

	for (i = 0; i < f->n; i++)
		n += membership_known(f->nodes[i].m, f->now_ms) == expected;
	return n;
}

START_TEST(version_above_the_head_is_pushed)
{
	uint32_t seed = (uint32_t)_i;

	f = cluster_begin(seed, PUSHED_NODES, 1, JOIN_MS);
	fake_run(f, 5000);
	read_by(READER, 10);
	fake_run(f, PUSHED_MS);
	ck_assert_msg(n_knowing() >= f->n - 2,
	    "seed %u: %u of %u nodes know the version", seed, n_knowing(),
	    f->n);
	cluster_end(f, seed);
}
END_TEST

/* Notices carry such a version already, so that pings would be redundant. */
START_TEST(version_of_the_head_is_not_pushed)
{
	struct rec_gossip_head head = {.seq = 10, .version = 10};
	uint64_t before;
	uint32_t i;

	f = cluster_begin(1, PUSHED_NODES, 1, JOIN_MS);
	fake_run(f, 5000);
	for (i = 0; i < f->n; i++)
		membership_set_head(f->nodes[i].m, &head);
	before = f->nodes[READER].messages;
	read_by(READER, 10);
	fake_run(f, 20);
	ck_assert_uint_lt(f->nodes[READER].messages - before, 3);
	read_by(READER, 12);
	before = f->nodes[READER].messages;
	fake_run(f, 300);
	ck_assert_uint_ge(f->nodes[READER].messages - before, 3);
	cluster_end(f, 1);
}
END_TEST

START_TEST(version_stays_known_while_its_reader_lives)
{
	uint32_t seed = (uint32_t)_i, i;

	f = cluster_begin(seed, NODES, CENTRES, JOIN_MS);
	f->loss_percent = 5;
	read_by(READER, 10);
	cluster_wait(f, seed, SPREAD_MS, all_know, "version 10 known");
	for (i = 0; i < 120; i++) {
		fake_run(f, 1000);
		ck_assert_msg(all_know(f), "seed %u: version 10 expired", seed);
	}
	cluster_end(f, seed);
}
END_TEST

START_TEST(unconfirmed_version_expires)
{
	uint32_t seed = (uint32_t)_i;

	f = cluster_begin(seed, NODES, CENTRES, JOIN_MS);
	read_by(READER, 10);
	cluster_wait(f, seed, SPREAD_MS, all_know, "version 10 known");
	fake_kill(f, READER);
	expected = 0;
	cluster_wait(f, seed, EXPIRED_MS, all_know, "version 10 expired");
	cluster_end(f, seed);
}
END_TEST

START_TEST(corrupted_version_expires_everywhere)
{
	struct rec_gossip_head corrupted = {.known = CORRUPTED};
	uint32_t seed = (uint32_t)_i;

	f = cluster_begin(seed, NODES, CENTRES, JOIN_MS);
	read_by(READER, 10);
	cluster_wait(f, seed, SPREAD_MS, all_know, "version 10 known");
	receive_ping(&corrupted);
	ck_assert(is_known_anywhere(CORRUPTED));
	fake_run(f, EXPIRED_MS);
	ck_assert_msg(!is_known_anywhere(CORRUPTED),
	    "seed %u: corrupted version did not expire", seed);
	cluster_wait(f, seed, SPREAD_MS, all_know, "version 10 known again");
	cluster_end(f, seed);
}
END_TEST

START_TEST(expired_version_is_not_merged)
{
	struct rec_gossip_head old = {.known = 10, .known_age_ms = UINT32_MAX};

	f = cluster_begin(1, NODES, CENTRES, JOIN_MS);
	receive_ping(&old);
	ck_assert(!is_known_anywhere(10));
	old.known_age_ms = 29999;
	receive_ping(&old);
	ck_assert(is_known_anywhere(10));
	fake_run(f, 1000);
	ck_assert(!is_known_anywhere(10));
	cluster_end(f, 1);
}
END_TEST

START_TEST(last_version_read_overrides_earlier_versions)
{
	f = cluster_begin(1, 1, 1, JOIN_MS);
	membership_set_known(f->nodes[0].m, CORRUPTED);
	membership_set_known(f->nodes[0].m, 10);
	ck_assert_uint_eq(membership_known(f->nodes[0].m, f->now_ms), 10);
	cluster_end(f, 1);
}
END_TEST

static int
all_know_epoch(struct fake_net *g)
{
	uint32_t i;

	for (i = 0; i < g->n; i++)
		if (fake_up(g, i) &&
		    membership_store_epoch(g->nodes[i].m) != expected)
			return 0;
	return 1;
}

/* Nodes that don't read the platform write their rows again, too. */
START_TEST(store_epoch_seen_by_one_node_reaches_all)
{
	uint32_t seed = (uint32_t)_i;

	f = cluster_begin(seed, NODES, CENTRES, JOIN_MS);
	f->loss_percent = 5;
	expected = 7;
	membership_set_store_epoch(f->nodes[READER].m, expected);
	cluster_wait(f, seed, SPREAD_MS, all_know_epoch, "epoch 7 known");
	cluster_end(f, seed);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("membership: known versions");
	TCase *tc = tcase_create("known");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(
	    tc, version_read_by_one_node_reaches_all, 1, SEEDS + 1);
	tcase_add_loop_test(
	    tc, store_epoch_seen_by_one_node_reaches_all, 1, SEEDS + 1);
	tcase_add_loop_test(tc, version_above_the_head_is_pushed, 1, SEEDS + 1);
	tcase_add_test(tc, version_of_the_head_is_not_pushed);
	tcase_add_loop_test(
	    tc, version_stays_known_while_its_reader_lives, 1, SEEDS + 1);
	tcase_add_loop_test(tc, unconfirmed_version_expires, 1, SEEDS + 1);
	tcase_add_loop_test(
	    tc, corrupted_version_expires_everywhere, 1, SEEDS + 1);
	tcase_add_test(tc, expired_version_is_not_merged);
	tcase_add_test(tc, last_version_read_overrides_earlier_versions);
	suite_add_tcase(s, tc);
	return test_run(s);
}
