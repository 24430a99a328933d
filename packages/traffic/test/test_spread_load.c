/*
 * Tests of calls that a guard refuses for load, in a service of which all,
 * most, some or one of the endpoints are full.  If other endpoints have
 * capacity, the call is served without a charge to the retry budget; if none
 * has, the call is refused after few retries.
 */
#include <check.h>

#include <glib.h>

#include "test_run.h"
#include "traffic/call.h"

#define SEED 4711
#define ENDPOINTS 34
#define CALLS 4000
#define STEP_MS 5
#define DEADLINE_MS 500

/* A budget as of one of 91 entries: hardly any tokens are saved. */
static void
make_budget(struct retry_budget *b)
{
	struct retry_config cfg;

	retry_config_default(&cfg);
	cfg.attempts = 3;
	cfg.burst = 1;
	cfg.reserve_per_s = 0;
	retry_budget_init(b, &cfg, 0);
}

/*
 * Pick a random endpoint that was not tried; those numbered below @full are
 * full.
 */
static uint64_t
pick(struct call *c, GRand *r)
{
	const uint64_t *tried;
	uint64_t endpoint;
	size_t i, n;

	tried = call_tried(c, &n);
	do {
		endpoint = (uint64_t)g_rand_int_range(r, 0, ENDPOINTS);
		for (i = 0; i < n && tried[i] != endpoint; i++)
			;
	} while (i < n);
	return endpoint;
}

/* Return: whether the call was answered; its attempts are added to @tries. */
static bool
run(struct retry_budget *b, GRand *r, uint64_t now_ms, uint32_t full,
    uint32_t *tries)
{
	struct call_config cfg = {.deadline_ms = now_ms + DEADLINE_MS,
	    .attempts = 3,
	    .idempotent = true};
	struct call *c = call_new(&cfg, b, g_rand_int(r));
	struct call_action a;
	bool answered = false;

	call_start(c, now_ms);
	while (!call_is_finished(c)) {
		while (call_next(c, &a)) {
			if (a.kind == CALL_PLACE)
				call_placed(c, pick(c, r), now_ms);
			if (a.kind != CALL_SEND)
				continue;
			(*tries)++;
			call_sent(c, a.stream, 1, now_ms);
			if (a.endpoint >= full) {
				answered = true;
				call_answered(c, a.stream, now_ms);
			} else {
				call_refused(
				    c, a.stream, REFUSAL_WAIT, 50, now_ms);
			}
		}
		if (!call_is_finished(c))
			call_tick(c, call_wake_ms(c));
	}
	call_free(c);
	return answered;
}

static void
simulate(uint32_t full, double *answered, double *tries)
{
	GRand *r = g_rand_new_with_seed(SEED);
	uint32_t i, n = 0, sent = 0;
	struct retry_budget b;

	make_budget(&b);
	for (i = 0; i < CALLS; i++)
		n += run(&b, r, (uint64_t)i * STEP_MS, full, &sent);
	*answered = (double)n / CALLS;
	*tries = (double)sent / CALLS;
	g_rand_free(r);
}

/* A few endpoints are slower than others and full, as 5 of 34 were. */
START_TEST(call_is_served_if_a_few_are_full)
{
	double answered, tries;

	simulate(5, &answered, &tries);
	ck_assert_msg(answered >= 0.995, "%f answered", answered);
	ck_assert_msg(tries <= 1.25, "%f tries", tries);
}
END_TEST

START_TEST(call_is_served_if_a_third_is_full)
{
	double answered, tries;

	simulate(ENDPOINTS / 3, &answered, &tries);
	ck_assert_msg(answered >= 0.96, "%f answered", answered);
}
END_TEST

/* The budget allows one retry in ten calls. */
START_TEST(full_service_gets_few_retries)
{
	double answered, tries;

	simulate(ENDPOINTS, &answered, &tries);
	ck_assert_msg(tries <= 1.2, "%f tries", tries);
}
END_TEST

START_TEST(almost_full_service_gets_few_retries)
{
	double answered, tries;

	simulate(ENDPOINTS - 3, &answered, &tries);
	ck_assert_msg(tries <= 1.3, "%f tries", tries);
}
END_TEST

/* The capacity of a service that was full is detected when it is free again. */
START_TEST(freed_capacity_is_detected)
{
	GRand *r = g_rand_new_with_seed(SEED);
	uint32_t i, n = 0, sent = 0;
	struct retry_budget b;

	make_budget(&b);
	for (i = 0; i < CALLS; i++)
		(void)run(&b, r, (uint64_t)i * STEP_MS, ENDPOINTS, &sent);
	for (; i < 2 * CALLS; i++)
		n += run(&b, r, (uint64_t)i * STEP_MS, 5, &sent);
	ck_assert_msg(n >= CALLS * 0.98, "%u of %u answered", n, CALLS);
	g_rand_free(r);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("spread_load");
	TCase *tc = tcase_create("spread_load");

	tcase_add_test(tc, call_is_served_if_a_few_are_full);
	tcase_add_test(tc, call_is_served_if_a_third_is_full);
	tcase_add_test(tc, full_service_gets_few_retries);
	tcase_add_test(tc, almost_full_service_gets_few_retries);
	tcase_add_test(tc, freed_capacity_is_detected);
	suite_add_tcase(s, tc);
	return test_run(s);
}
