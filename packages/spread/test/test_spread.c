/*
 * Unit tests of single modules: back-off, budget, candidates, profiles, intake.
 * The driver's tests cover the modules together.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "config/bundle.h"
#include "spread/backoff.h"
#include "spread/budget.h"
#include "spread/candidates.h"
#include "spread/intake.h"
#include "spread/profile.h"
#include "spread/spread.h"

#include "stage_defs.h"
#include "test_run.h"

START_TEST(test_backoff)
{
	struct backoff b;
	uint64_t bound, longest;
	uint32_t i, j;
	GRand *rng;

	rng = g_rand_new_with_seed(1);
	backoff_init(&b, 500, 10000);
	ck_assert(backoff_expired(&b, 0));
	for (i = 0; i < 40; i++) {
		bound = MIN(500ULL << MIN(i, 10), 10000);
		longest = 0;
		for (j = 0; j < 200; j++) {
			b.failures = i;
			backoff_failed(&b, 1000, rng);
			ck_assert_uint_le(b.until_ms, 1000 + bound + 1);
			longest = MAX(longest, b.until_ms - 1000);
		}
		ck_assert_uint_gt(longest, bound / 2);
		ck_assert(!backoff_expired(&b, 1000));
		ck_assert(backoff_expired(&b, b.until_ms));
	}
	backoff_succeeded(&b);
	ck_assert(backoff_expired(&b, 0));
	g_rand_free(rng);
}
END_TEST

/* At most burst + rate * time tokens are taken; after a refusal the bucket
 * returns the time at which the tokens are available. */
START_TEST(test_budget)
{
	static const struct {
		uint32_t per_s;
		uint32_t burst;
		uint64_t ms;
		uint32_t most;
	} rows[] = {
	    {100, 50, 0, 50},
	    {100, 50, 10, 51},
	    {100, 50, 1000, 50 + 100},
	    {1, 1, 5000, 6},
	    {4000000, 4000000, 1000, 8000000},
	};
	const uint32_t step[] = {1, 1, 1, 1, 10000};
	struct budget b;
	uint64_t t, at;
	uint32_t taken;

	budget_init(&b, rows[_i].per_s, rows[_i].burst, 7);
	taken = 0;
	for (t = 0; t <= rows[_i].ms; t++)
		while (budget_take(&b, 7 + t, step[_i]))
			taken += step[_i];
	ck_assert_uint_eq(taken, rows[_i].most);
	at = budget_ready_ms(&b, 7 + rows[_i].ms, step[_i]);
	ck_assert_uint_gt(at, 7 + rows[_i].ms);
	ck_assert(!budget_take(&b, at - 1, step[_i]));
	ck_assert(budget_take(&b, at, step[_i]));
}
END_TEST

static struct net_addr
addr(uint32_t i)
{
	struct net_addr a = {i, 1};

	return a;
}

START_TEST(test_candidates)
{
	struct candidates c = {0};
	struct spread_env env = {0};
	struct net_addr a, got;
	uint32_t i;

	env.rng = g_rand_new_with_seed(1);
	ck_assert(!candidates_pick(&c, &env, 0, 1, &got));
	ck_assert_uint_eq(candidates_next_ms(&c, 1), DEADLINE_NEVER);
	for (i = 1; i <= CANDIDATES_MAX; i++) {
		a = addr(i);
		candidates_add(&c, 0, &a, 10, i == 3);
	}
	/* A near candidate is preferred, a busy one skipped, an old one
	 * ignored. */
	ck_assert(candidates_pick(&c, &env, 0, 10, &got));
	ck_assert_uint_eq(got.ip, 3);
	candidates_busy(&c, &got, 50);
	ck_assert(candidates_pick(&c, &env, 49, 10, &got));
	ck_assert_uint_ne(got.ip, 3);
	ck_assert(!candidates_pick(&c, &env, 50, 11, &got));
	/* A newer candidate replaces an older one, not the other way round. */
	a = addr(100);
	candidates_add(&c, 0, &a, 11, 0);
	ck_assert(candidates_pick(&c, &env, 0, 11, &got));
	ck_assert_uint_eq(got.ip, 100);
	a = addr(101);
	candidates_add(&c, 0, &a, 9, 0);
	ck_assert_uint_eq(c.n, CANDIDATES_MAX);
	/* A banned candidate is ignored until the ban expires. */
	a = addr(100);
	candidates_ban(&c, 0, &a);
	candidates_add(&c, CANDIDATES_BAN_MS - 1, &a, 11, 0);
	ck_assert(!candidates_pick(&c, &env, 0, 11, &got));
	candidates_add(&c, CANDIDATES_BAN_MS, &a, 11, 0);
	ck_assert(candidates_pick(&c, &env, 0, 11, &got));
	candidates_prune(&c, 11);
	ck_assert_uint_eq(c.n, 1);
	candidates_drop(&c, &a);
	ck_assert_uint_eq(c.n, 0);
	g_rand_free(env.rng);
}
END_TEST

START_TEST(test_profiles)
{
	ck_assert_ptr_eq(
	    spread_profile_find("registry"), spread_profile_registry());
	ck_assert_ptr_eq(spread_profile_find("crew"), spread_profile_crew());
	ck_assert_ptr_null(spread_profile_find("other"));
}
END_TEST

#define CATALOG_BYTES (1024 * 1024)

/* Starts an intake that has sent a peer a pull of version 1 by frame. */
static void
intake_start_pull(struct intake *in, struct spread_env *env)
{
	struct spread_config cfg = {.profile = *spread_profile_registry(),
	    .host = "h1",
	    .data_centre = "dc1"};
	struct net_addr peer = addr(7);

	env_init(env, &cfg, NULL, catalog_new(CATALOG_BYTES));
	intake_init(in, env, 0);
	intake_set_target(in, 0, 1);
	intake_add_candidate(in, 0, &peer, 1, 1);
	intake_tick(in, 0);
	ck_assert_int_eq(in->provider, INTAKE_PEER);
	ck_assert_int_eq(in->by_frame, 1);
}

static void
intake_end(struct intake *in, struct spread_env *env)
{
	struct catalog *c = env->catalog;

	intake_clear(in);
	env_clear(env);
	catalog_free(c);
}

/*
 * 240 KB of new routes arrive over a 5 Mbit/s link that calls use too: parts
 * keep arriving for three seconds.  With a fixed deadline of one second the
 * request was repeated again and again, and the answer never completed.
 */
START_TEST(test_slow_answer)
{
	const struct net_addr peer = addr(7), other = addr(8);
	struct spread_env env = {0};
	struct intake in;
	uint64_t t;

	intake_start_pull(&in, &env);
	for (t = 800; t <= 3200; t += 800) {
		intake_on_partial_frame(&in, t, &peer);
		intake_tick(&in, t + 799);
	}
	ck_assert_uint_eq(env.stats.pulls_sent, 1);
	ck_assert_uint_eq(env.stats.pulls_timed_out, 0);
	/* Bytes from another peer don't extend the deadline. */
	intake_on_partial_frame(&in, 4100, &other);
	intake_tick(&in, 4200);
	ck_assert_uint_eq(env.stats.pulls_timed_out, 1);
	intake_end(&in, &env);
}
END_TEST

/* A catalog too small for any version; the commit fails. */
#define TINY_CATALOG_BYTES 1

static const char small[] =
    "{\"format\":1,\"name\":\"x\",\"services\":[{\"name\":\"a\"}],"
    "\"routes\":[]}";

/* Delivers a complete version to the intake; its commit must fail. */
static void
deliver_and_commit(struct intake *in, uint64_t now_ms, uint64_t version)
{
	struct rec_head head = {
	    .seq = version, .version = version, .in_force = version};
	const struct section *section;
	struct bundle *b;
	GArray *list;

	ck_assert_int_eq(bundle_parse(small, strlen(small), &b), STATUS_OK);
	bundle_section_list(b, &list, &head.root);
	section = g_ptr_array_index(b->sections, 0);
	intake_on_full_version(in, now_ms, &head, list, &section->content, 1);
	ck_assert_uint_eq(intake_staged(in), version);
	ck_assert(!intake_commit(in, now_ms));
	g_array_unref(list);
	bundle_free(b);
}

static void
intake_with_tiny_catalog(struct intake *in, struct spread_env *env)
{
	struct spread_config cfg = {.profile = *spread_profile_registry(),
	    .host = "h1",
	    .data_centre = "dc1"};

	env_init(env, &cfg, NULL, catalog_new(TINY_CATALOG_BYTES));
	intake_init(in, env, 0);
}

/* A version that can't be committed is reported with its reason. */
START_TEST(test_refused_commit)
{
	struct spread_env env = {0};
	struct spread_action *a;
	struct intake in;

	intake_with_tiny_catalog(&in, &env);
	deliver_and_commit(&in, 0, 10);
	a = g_queue_pop_head(env.actions);
	ck_assert_ptr_nonnull(a);
	ck_assert_int_eq(a->kind, SPREAD_REFUSED);
	ck_assert_uint_eq(a->to, 10);
	ck_assert(strstr(a->reason, "more than a node may hold") != NULL);
	g_free(a);
	ck_assert(g_queue_is_empty(env.actions));
	intake_end(&in, &env);
}
END_TEST

/* Checks that version 10, and no other, was reported as refused. */
static void
ck_refusal(struct spread_env *env, const char *reason)
{
	struct spread_action *a = g_queue_pop_head(env->actions);

	ck_assert_ptr_nonnull(a);
	ck_assert_int_eq(a->kind, SPREAD_REFUSED);
	ck_assert_uint_eq(a->to, 10);
	ck_assert_msg(strstr(a->reason, reason) != NULL, "%s", a->reason);
	g_free(a);
	ck_assert(g_queue_is_empty(env->actions));
}

/* The platform delivers more sections than a version may have. */
START_TEST(test_refused_list)
{
	struct rec_head head = {.seq = 10, .version = 10, .in_force = 10};
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	struct rec_section_ref ref = {0};
	struct spread_env env = {0};
	struct intake in;
	uint32_t i;

	for (i = 0; i <= CONFIG_MAX_SECTIONS; i++) {
		g_snprintf(ref.section, sizeof(ref.section), "s%05u", i);
		g_array_append_val(list, ref);
	}
	intake_with_tiny_catalog(&in, &env);
	intake_on_full_version(&in, 0, &head, list, NULL, 0);
	ck_assert_uint_eq(intake_version_in_progress(&in), 0);
	ck_refusal(&env, "split the bundle");
	g_array_unref(list);
	intake_end(&in, &env);
}
END_TEST

/* Content from the platform or from a peer makes a version too large. */
START_TEST(test_refused_content)
{
	struct rec_head head = {.seq = 10, .version = 10, .in_force = 10};
	struct rec_section_data data = {0};
	struct msg_sections msg = {.sections = &data, .n_sections = 1};
	const struct net_addr peer = addr(7);
	const struct section *section;
	struct spread_env env = {0};
	struct intake in;
	struct bundle *b;
	GArray *list;
	gsize len;

	ck_assert_int_eq(bundle_parse(small, strlen(small), &b), STATUS_OK);
	bundle_section_list(b, &list, &head.root);
	section = g_ptr_array_index(b->sections, 0);
	data.data = (uint8_t *)g_bytes_get_data(section->content, &len);
	data.data_len = (uint32_t)len;
	intake_with_tiny_catalog(&in, &env);
	intake_set_target(&in, 0, 10);
	intake_on_full_version(&in, 0, &head, list, NULL, 0);
	ck_assert_int_eq(in.step, INTAKE_CONTENT);
	in.stage->added_bytes = CONFIG_MAX_BYTES;
	if (_i == 0) {
		intake_on_object(&in, 0, STATUS_OK, &section->config->digest,
		    data.data, data.data_len);
	} else {
		intake_add_candidate(&in, 0, &peer, 10, 1);
		intake_tick(&in, 0);
		ck_assert_int_eq(in.provider, INTAKE_PEER);
		msg.token = in.token;
		intake_on_sections(&in, 0, &msg);
	}
	ck_assert_uint_eq(intake_version_in_progress(&in), 0);
	ck_refusal(&env, "split the bundle");
	ck_assert_uint_gt(in.start_ms, 0);
	g_array_unref(list);
	bundle_free(b);
	intake_end(&in, &env);
}
END_TEST

/* Ten versions can't be committed.  The eleventh is requested at once, not
 * after the pauses between attempts at the earlier ones. */
START_TEST(test_refused_versions_do_not_delay_the_next)
{
	struct spread_env env = {0};
	struct net_addr peer = addr(7);
	struct intake in;
	uint64_t version;

	intake_with_tiny_catalog(&in, &env);
	for (version = 1; version <= 10; version++) {
		intake_set_target(&in, version, version);
		deliver_and_commit(&in, version, version);
		deliver_and_commit(&in, version, version);
	}
	ck_assert_uint_gt(in.start_ms, 10);
	intake_set_target(&in, 11, 11);
	intake_add_candidate(&in, 11, &peer, 11, 1);
	intake_tick(&in, 11);
	ck_assert_int_eq(in.provider, INTAKE_PEER);
	intake_end(&in, &env);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("spread");
	tc = tcase_create("parts");
	tcase_add_test(tc, test_backoff);
	tcase_add_loop_test(tc, test_budget, 0, 5);
	tcase_add_test(tc, test_candidates);
	tcase_add_test(tc, test_profiles);
	tcase_add_test(tc, test_slow_answer);
	tcase_add_test(tc, test_refused_list);
	tcase_add_loop_test(tc, test_refused_content, 0, 2);
	tcase_add_test(tc, test_refused_commit);
	tcase_add_test(tc, test_refused_versions_do_not_delay_the_next);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
