/*
 * Callers that come back after a refusal: a simulation of one upstream in steps
 * of a millisecond.  Requests need twice the slots for the whole time.  Half of
 * the callers wait as long as they are asked to, the others repeat at once;
 * each sends a request three times at most.
 */
#include <check.h>

#include <glib.h>

#include "base/hash.h"
#include "traffic/admission.h"
#include "traffic/returns.h"

#include "test_run.h"

#define SLOTS 12
#define WORK_MS 100
#define RUN_MS 30000
#define EVERY_MS 4
#define ATTEMPTS 3
#define AT_ONCE_MS 5
#define TARGET_MS 400
#define PATIENCE_MS 2500
/* A caller returns after a third of its time at most. */
#define RETURN_DIVISOR 3
#define REQUESTS_MAX 30000
#define SERVICE 1

/** enum caller - how a caller comes back */
enum caller {
	CALLER_WAITS = 0,
	CALLER_AT_ONCE,
	CALLERS,
};

struct request {
	struct admission_request req;
	enum caller caller;
	uint32_t attempt;
	uint64_t at_ms;
	uint64_t until_ms;
};

struct counts {
	uint32_t offered;
	uint32_t served;
	uint32_t in_time;
};

struct simulation {
	struct admission *a;
	struct returns *returns;
	struct request all[REQUESTS_MAX];
	uint64_t n;
	uint64_t first;
	struct counts counts[CALLERS];
};

static void
refused(struct simulation *p, const struct request *r,
    const struct admission_result *res, uint64_t now_ms)
{
	const struct fingerprint print = {r->req.ticket, 1};
	uint64_t left_ms = r->req.deadline_ms - MIN(now_ms, r->req.deadline_ms);

	if (p->returns != NULL)
		returns_refused(p->returns, SERVICE, &print,
		    now_ms + MIN(res->retry_after_ms, left_ms / RETURN_DIVISOR),
		    now_ms);
}

static void
apply(struct simulation *p, const struct admission_result *res, uint64_t now_ms)
{
	struct request *r = &p->all[res->ticket];
	uint64_t wait_ms, left_ms;

	if (res->verdict == ADMISSION_START)
		r->until_ms = now_ms + WORK_MS;
	if (res->verdict == ADMISSION_REFUSE)
		refused(p, r, res, now_ms);
	if (res->verdict != ADMISSION_REFUSE || r->attempt == ATTEMPTS)
		return;
	left_ms = r->req.deadline_ms - MIN(now_ms, r->req.deadline_ms);
	wait_ms = r->caller == CALLER_AT_ONCE
	    ? AT_ONCE_MS
	    : MIN(res->retry_after_ms, left_ms / RETURN_DIVISOR);
	r->at_ms = now_ms + MAX(wait_ms, 1);
}

static bool
is_early(struct simulation *p, const struct request *r, uint64_t now_ms)
{
	const struct fingerprint print = {r->req.ticket, 1};

	return p->returns != NULL &&
	    returns_early_ms(p->returns, SERVICE, &print, now_ms) > 0;
}

static void
offer(struct simulation *p, struct request *r, uint64_t now_ms)
{
	struct admission_result res;

	r->at_ms = 0;
	r->attempt++;
	if (is_early(p, r, now_ms)) {
		if (r->attempt < ATTEMPTS)
			r->at_ms = now_ms + AT_ONCE_MS;
		return;
	}
	admission_offer(p->a, &r->req, now_ms, &res);
	apply(p, &res, now_ms);
}

static void
arrive(struct simulation *p, uint64_t now_ms)
{
	struct request *r = &p->all[p->n];

	r->req.ticket = p->n++;
	r->req.class = ADMISSION_LOOKUP;
	r->req.deadline_ms = now_ms + PATIENCE_MS;
	r->req.target_ms = now_ms + TARGET_MS;
	r->req.priority = 1;
	r->caller = hash64(&p->n, sizeof(p->n), 1) % 2 == 0 ? CALLER_WAITS
							    : CALLER_AT_ONCE;
	p->counts[r->caller].offered++;
	offer(p, r, now_ms);
}

static void
finish(struct simulation *p, struct request *r, uint64_t now_ms)
{
	r->until_ms = 0;
	admission_record_run(p->a, &r->req, WORK_MS, now_ms);
	admission_finished(p->a, r->req.ticket, r->req.class, WORK_MS, now_ms);
	p->counts[r->caller].served++;
	p->counts[r->caller].in_time += now_ms <= r->req.target_ms;
}

static void
step(struct simulation *p, uint64_t now_ms)
{
	struct admission_result res;
	struct request *r;
	uint64_t i;

	while (p->first < p->n &&
	    p->all[p->first].req.deadline_ms + WORK_MS < now_ms)
		p->first++;
	for (i = p->first; i < p->n; i++) {
		r = &p->all[i];
		if (r->until_ms != 0 && r->until_ms <= now_ms)
			finish(p, r, now_ms);
		if (r->at_ms != 0 && r->at_ms <= now_ms)
			offer(p, r, now_ms);
	}
	if (now_ms % EVERY_MS == 0)
		arrive(p, now_ms);
	while (admission_next(p->a, now_ms, &res))
		apply(p, &res, now_ms);
}

static uint32_t
percent(uint32_t n, uint32_t of)
{
	return of > 0 ? n * 100 / of : 100;
}

START_TEST(repeating_at_once_gains_nothing)
{
	struct simulation *p = g_new0(struct simulation, 1);
	const struct counts *waits = &p->counts[CALLER_WAITS],
			    *at_once = &p->counts[CALLER_AT_ONCE];
	struct admission_config cfg;
	uint64_t now_ms;

	admission_config_default(&cfg);
	cfg.slots = SLOTS;
	p->a = admission_new(&cfg);
	p->returns = g_getenv("WITHOUT") == NULL ? returns_new() : NULL;
	for (now_ms = 1; now_ms < RUN_MS; now_ms++)
		step(p, now_ms);
	if (g_getenv("BRAMLEY_PRINT") != NULL)
		g_print("wait: served %u in time %u; at once: %u, %u\n",
		    percent(waits->served, waits->offered),
		    percent(waits->in_time, waits->offered),
		    percent(at_once->served, at_once->offered),
		    percent(at_once->in_time, at_once->offered));
	ck_assert_uint_le(percent(at_once->served, at_once->offered),
	    percent(waits->served, waits->offered) + 5);
	returns_free(p->returns);
	admission_free(p->a);
	g_free(p);
}
END_TEST

/* A request that comes back as asked, or after the shortage, is tried. */
START_TEST(early_returns_are_refused_during_the_shortage_only)
{
	const struct fingerprint print = {5, 1}, other = {6, 1};
	struct returns *t = returns_new();

	ck_assert(returns_is_empty(t, 1000));
	returns_refused(t, SERVICE, &print, 1500, 1000);
	ck_assert(!returns_is_empty(t, 1000));
	ck_assert_uint_eq(returns_early_ms(t, SERVICE, &print, 1100), 400);
	ck_assert_uint_eq(returns_early_ms(t, SERVICE, &other, 1100), 0);
	ck_assert_uint_eq(returns_early_ms(t, SERVICE, &print, 1300), 0);
	returns_refused(t, SERVICE, &other, 1800, 1400);
	ck_assert_uint_eq(returns_early_ms(t, SERVICE, &print, 1410), 90);
	ck_assert_uint_eq(returns_early_ms(t, SERVICE, &print, 1490), 0);
	ck_assert(returns_is_empty(t, 9000));
	returns_free(t);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("returns");
	TCase *tc = tcase_create("returns");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, repeating_at_once_gains_nothing);
	tcase_add_test(tc, early_returns_are_refused_during_the_shortage_only);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
