/*
 * All hosts lose power and start at once.  Each node must find the upstreams
 * soon: callers are present from the start, upstreams are cold, and a node that
 * knows few of them sends all its calls to these.
 *
 * The bound: each node, the slowest included, knows 95 % of the upstreams
 * within a second of the last start, since callers wait one second for a
 * connection and an answer is due within about one second.  The traffic for it
 * leaves half of a link of 5 Mbit/s to calls.
 */
#include <check.h>

#include "cluster.h"
#include "fake_net.h"
#include "herd.h"
#include "test_run.h"

#define SEEDS 3

#define KNOWN_WITHIN_MS 1000

/* Half of the bytes that 5 Mbit/s carry in a second. */
#define SENT_MAX_BYTES 312500

/* Time after which all tables are the same. */
#define SAME_WITHIN_MS 5000

static void
check_mass_start(uint32_t seed, uint32_t n, uint32_t dcs, uint32_t loss)
{
	struct fake_net *f = fake_net_new(seed);
	uint64_t due_ms, most;

	f->loss_percent = loss;
	due_ms = herd_start(f, n, dcs) + KNOWN_WITHIN_MS;
	cluster_wait(f, seed, due_ms - f->now_ms, herd_known,
	    "95 in 100 upstreams known to each host");
	most = herd_max_bytes(f);
	ck_assert_msg(most <= SENT_MAX_BYTES, "seed %u: %llu bytes were sent",
	    seed, (unsigned long long)most);
	cluster_wait(f, seed, SAME_WITHIN_MS, fake_agreed, "the same tables");
	cluster_end(f, seed);
}

START_TEST(hosts_76_in_3_data_centres)
{
	check_mass_start((uint32_t)_i, 76, 3, 0);
}
END_TEST

START_TEST(hosts_195_in_5_data_centres)
{
	check_mass_start((uint32_t)_i, 195, 5, 0);
}
END_TEST

START_TEST(hosts_300_in_5_data_centres)
{
	check_mass_start((uint32_t)_i, 300, 5, 0);
}
END_TEST

START_TEST(hosts_195_with_message_loss)
{
	check_mass_start((uint32_t)_i, 195, 5, 5);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("herd");
	TCase *tc = tcase_create("power lost");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, hosts_76_in_3_data_centres, 0, SEEDS);
	tcase_add_loop_test(tc, hosts_195_in_5_data_centres, 0, SEEDS);
	tcase_add_loop_test(tc, hosts_300_in_5_data_centres, 0, SEEDS);
	tcase_add_loop_test(tc, hosts_195_with_message_loss, 0, SEEDS);
	suite_add_tcase(s, tc);
	return test_run(s);
}
