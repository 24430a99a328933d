/*
 * When a node that has started computes its rank and reads as a reader.
 *
 * Case: all hosts of a fleet restart after a power loss, callers are waiting,
 * and no node serves before a reader has read.  If hosts compute their rank too
 * early, while their tables are short, each of them computes that it is a
 * reader and all of them read the store; if too late, all callers wait.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "membership/membership.h"
#include "spread/readers.h"

#include "test_run.h"

#define STEP_MS 10
#define ALONE_MS 300
#define POLL_MS 100

/* A reader reads within this time after it has joined: a third of the time
 * within which a version is to be in force on a host that starts among others.
 */
#define READ_WITHIN_MS 250

static struct membership *m;
static struct outbox *out;
static struct spread_env env;
static struct readers readers;

/* Starts a node that is alone, and counts as joined after @join_ms. */
static void
begin(uint32_t join_ms)
{
	struct spread_config cfg = {.profile = *spread_profile_registry(),
	    .host = "h",
	    .data_centre = "d",
	    .seed = 1};
	struct membership_settings s;

	membership_settings_init(&s);
	(void)g_strlcpy(s.host, "h", sizeof(s.host));
	(void)g_strlcpy(s.data_centre, "d", sizeof(s.data_centre));
	s.address = (struct net_addr){0x0a000001U, 7000};
	s.await_seeds_ms = join_ms;
	out = outbox_new();
	m = membership_new(&s, 0, 1000000, 1, out);
	cfg.profile.head_poll_ms = POLL_MS;
	cfg.profile.alone_poll_ms = ALONE_MS;
	env_init(&env, &cfg, m, NULL);
	readers_init(&readers, &env, 0);
}

static void
end(void)
{
	env_clear(&env);
	membership_free(m);
	outbox_free(out);
}

/* Time of the first read, DEADLINE_NEVER for none up to @limit_ms. */
static uint64_t
first_read_ms(uint64_t limit_ms)
{
	uint64_t now_ms;

	for (now_ms = 0; now_ms <= limit_ms; now_ms += STEP_MS) {
		membership_tick(m, now_ms);
		if (now_ms >= readers_next_ms(&readers))
			readers_tick(&readers, now_ms);
		if (env.stats.head_reads > 0)
			return now_ms;
	}
	return DEADLINE_NEVER;
}

START_TEST(a_reader_reads_soon_after_it_has_joined)
{
	uint32_t join_ms = (uint32_t)_i;
	uint64_t read_ms;

	begin(join_ms);
	read_ms = first_read_ms(2000);
	ck_assert_msg(read_ms >= join_ms + 50,
	    "%llu: read before the table settled", (unsigned long long)read_ms);
	ck_assert_msg(read_ms <= join_ms + READ_WITHIN_MS,
	    "%llu: read too late after joining", (unsigned long long)read_ms);
	end();
}
END_TEST

/* A node that reaches no other node reads the platform nevertheless. */
START_TEST(a_node_that_cannot_join_reads_by_itself)
{
	uint64_t read_ms;

	begin(60000);
	read_ms = first_read_ms(3000);
	ck_assert_uint_ge(read_ms, ALONE_MS);
	ck_assert_uint_le(read_ms, 2 * ALONE_MS + POLL_MS);
	end();
}
END_TEST

/* Only a few nodes call readers_read_now(): the row may take 0.2 s over a slow
 * link, and no node serves until the row has arrived. */
START_TEST(read_now_reads_before_the_node_has_joined)
{
	begin(60000);
	readers_tick(&readers, 0);
	ck_assert_uint_eq(env.stats.head_reads, 0);
	readers_read_now(&readers, STEP_MS);
	ck_assert_uint_le(readers_next_ms(&readers), STEP_MS);
	readers_tick(&readers, STEP_MS);
	ck_assert_uint_eq(env.stats.head_reads, 1);
	end();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("reader_rank");
	TCase *tc = tcase_create("rank");

	tcase_add_loop_test(
	    tc, a_reader_reads_soon_after_it_has_joined, 1, 150);
	tcase_add_test(tc, a_node_that_cannot_join_reads_by_itself);
	tcase_add_test(tc, read_now_reads_before_the_node_has_joined);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
