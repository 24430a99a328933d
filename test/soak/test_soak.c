/*
 * Soak test: one short run with a fixed seed, and the seeds that failed before.
 *
 * For a manual run BRAMLEY_SEED is the first seed, BRAMLEY_SEEDS the number of
 * seeds, BRAMLEY_SOAK_S the duration of each run in seconds, BRAMLEY_RESTORES
 * the number of restores, and BRAMLEY_HOSTS that of hosts in each data centre.
 */
#include <stdlib.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>

#include "harness.h"
#include "soak_run.h"

#define TEST_TIMEOUT_S 120
#define DECIMAL 10
#define SEED 1
#define DURATION_S 6
/* At this rate about as many faults are active at a time as a data centre has
 * hosts. */
#define FAULTS_PER_S 2
/* Growing versions in a run of any length. */
#define GROWTHS 4

/* Waves of SIGTERM, in a run of any length. */
#define STOP_WAVES 3

/* Limits that upstreams name, in a run of any length. */
#define REPORTS 6

/* Restores of the store from an older copy, in a run of any length. */
#define RESTORES 2

/* Hosts in each of the three data centres. */
#define HOSTS 2

/* Seeds that failed before, with the parameters of the failed run. */
static const struct {
	uint32_t seed;
	uint32_t duration_s;
	uint32_t growths;
	uint32_t stop_waves;
	bool crashes;
} previously_failed[] = {
    /* A node got SIGTERM before its program had begun. */
    {9102, 8, 0, 0, false},
    /* An upstream crashed twice within 100 ms, which its guard counts as one
     * crash; the check counted two, and expected a refusal after three. */
    {9709, 8, GROWTHS, 0, true},
    /* The run waited for a stopping upstream whose node was suspended, so the
     * node stayed suspended for 34 s, longer than keys are remembered. */
    {9714, 8, GROWTHS, 0, true},
};

static uint32_t
environment_number(const char *name, uint32_t fallback)
{
	const char *text = g_getenv(name);

	return text == NULL ? fallback : (uint32_t)strtoul(text, NULL, DECIMAL);
}

START_TEST(guarantees_hold_under_faults)
{
	uint32_t duration_s = environment_number("BRAMLEY_SOAK_S", DURATION_S);

	soak_run((uint32_t)_i, duration_s, duration_s * FAULTS_PER_S, GROWTHS,
	    STOP_WAVES, REPORTS,
	    environment_number("BRAMLEY_RESTORES", RESTORES),
	    environment_number("BRAMLEY_HOSTS", HOSTS), true);
}
END_TEST

START_TEST(previously_failed_seeds)
{
	soak_run(previously_failed[_i].seed, previously_failed[_i].duration_s,
	    previously_failed[_i].duration_s * FAULTS_PER_S,
	    previously_failed[_i].growths, previously_failed[_i].stop_waves, 0,
	    0, HOSTS, previously_failed[_i].crashes);
}
END_TEST

int
main(void)
{
	uint32_t first = environment_number("BRAMLEY_SEED", SEED);
	uint32_t n = environment_number("BRAMLEY_SEEDS", 1);
	TCase *tc = tcase_create("soak");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_loop_test(
	    tc, guarantees_hold_under_faults, (int)first, (int)(first + n));
	if (g_getenv("BRAMLEY_SEED") == NULL)
		tcase_add_loop_test(tc, previously_failed_seeds, 0,
		    (int)G_N_ELEMENTS(previously_failed));
	return harness_run(tc, TEST_TIMEOUT_S);
}
