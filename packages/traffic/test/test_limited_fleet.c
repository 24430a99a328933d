/*
 * A service of which some upstreams name a limit: entries with their placement,
 * and the admission of each upstream, in steps of a millisecond.
 */
#include <stdio.h>

#include <check.h>
#include <glib.h>

#include "traffic/admission.h"
#include "traffic/placement.h"

#include "test_run.h"

#define SERVICE 9
#define MILLI 1000
#define SLOTS 18
#define WORK_MS 50
#define DEADLINE_MS 2000
#define TARGET_MS 600
#define ATTEMPTS 4
#define RUN_MS 30000
/* Entries have learned the limits after this time. */
#define SETTLE_MS 5000
#define WINDOW_MS 4000
#define EXCESS 5

/**
 * struct fleet_case - a service and its load
 * @n_entries: number of entries, of which the first have an upstream each on
 *	their own host
 * @n_upstreams: number of upstreams
 * @n_limited: number of upstreams that name a limit
 * @limit_per_s: the limit
 * @calls_per_s: calls of all entries
 */
struct fleet_case {
	uint32_t n_entries;
	uint32_t n_upstreams;
	uint32_t n_limited;
	uint32_t limit_per_s;
	uint32_t calls_per_s;
};

/** struct sim_call - a call; @arrived_ms: when its caller sent it */
struct sim_call {
	uint32_t entry;
	uint64_t arrived_ms;
	uint64_t started_ms;
	uint32_t upstream;
	uint64_t tried[ATTEMPTS];
	size_t n_tried;
};

/** struct sim_upstream - an upstream with its guard's admission */
struct sim_upstream {
	struct admission *admission;
	bool limited;
	GArray *running;
	GArray *starts;
};

/** struct sim_entry - an entry with its view of the upstreams */
struct sim_entry {
	struct endpoints *endpoints;
	struct placement *placement;
};

/**
 * struct fleet - the simulation
 * @calls: struct sim_call by ticket
 * @offered: calls from SETTLE_MS on
 * @served: number of @offered that were answered
 * @refusals: refusals by guards of @offered
 * @at_deadline: number of @offered that waited in vain for over 0.1 s
 */
struct fleet {
	const struct fleet_case *c;
	struct sim_entry *entries;
	struct sim_upstream *upstreams;
	GArray *calls;
	GRand *random;
	uint32_t offered;
	uint32_t served;
	uint32_t refusals;
	uint32_t at_deadline;
};

static struct sim_call *
call_at(struct fleet *f, uint64_t ticket)
{
	return &g_array_index(f->calls, struct sim_call, ticket);
}

static bool
is_counted(const struct sim_call *call)
{
	return call->arrived_ms >= SETTLE_MS &&
	    call->arrived_ms < RUN_MS - DEADLINE_MS;
}

static void
new_entry(struct fleet *f, uint32_t number)
{
	struct endpoint_info *infos =
	    g_new0(struct endpoint_info, f->c->n_upstreams);
	struct sim_entry *e = &f->entries[number];
	struct endpoints_config ec;
	struct placement_config pc;
	uint32_t i;

	for (i = 0; i < f->c->n_upstreams; i++) {
		infos[i].id = i + 1;
		infos[i].host = i + 1;
		infos[i].centre = 1;
		infos[i].slots = SLOTS;
		infos[i].state = ENDPOINT_READY;
		infos[i].local = true;
		infos[i].own = i == number;
	}
	endpoints_config_default(&ec);
	e->endpoints = endpoints_new(&ec);
	endpoints_set_service(
	    e->endpoints, SERVICE, 1, infos, f->c->n_upstreams, 0);
	placement_config_default(&pc);
	e->placement = placement_new(&pc, e->endpoints, NULL, number);
	g_free(infos);
}

static struct fleet *
fleet_new(const struct fleet_case *c, uint32_t seed)
{
	struct fleet *f = g_new0(struct fleet, 1);
	struct admission_config cfg;
	struct sim_upstream *u;
	uint32_t i;

	f->c = c;
	f->random = g_rand_new_with_seed(seed);
	f->calls = g_array_new(FALSE, TRUE, sizeof(struct sim_call));
	f->entries = g_new0(struct sim_entry, c->n_entries);
	f->upstreams = g_new0(struct sim_upstream, c->n_upstreams);
	for (i = 0; i < c->n_entries; i++)
		new_entry(f, i);
	admission_config_default(&cfg);
	cfg.slots = SLOTS;
	for (i = 0; i < c->n_upstreams; i++) {
		u = &f->upstreams[i];
		u->admission = admission_new(&cfg);
		u->limited = i < c->n_limited;
		u->running = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		u->starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	}
	return f;
}

static void
fleet_free(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->c->n_entries; i++) {
		placement_free(f->entries[i].placement);
		endpoints_free(f->entries[i].endpoints);
	}
	for (i = 0; i < f->c->n_upstreams; i++) {
		admission_free(f->upstreams[i].admission);
		g_array_free(f->upstreams[i].running, TRUE);
		g_array_free(f->upstreams[i].starts, TRUE);
	}
	g_array_free(f->calls, TRUE);
	g_rand_free(f->random);
	g_free(f->entries);
	g_free(f->upstreams);
	g_free(f);
}

static void
report(struct fleet *f, const struct sim_call *call,
    enum endpoint_result result, uint64_t now_ms)
{
	struct endpoints *e = f->entries[call->entry].endpoints;
	uint64_t id = call->upstream + 1;
	struct load_report load;

	admission_load(f->upstreams[call->upstream].admission, &load);
	endpoints_ended(e, id, result, WORK_MS * MILLI, now_ms);
	endpoints_report(e, id, &load, now_ms);
}

static void place(struct fleet *f, uint64_t ticket, uint64_t now_ms);

static void
apply(struct fleet *f, const struct admission_result *res, uint64_t now_ms)
{
	struct sim_call *call = call_at(f, res->ticket);
	struct sim_upstream *u = &f->upstreams[call->upstream];

	if (res->verdict == ADMISSION_START) {
		call->started_ms = now_ms;
		g_array_append_val(u->running, res->ticket);
		g_array_append_val(u->starts, now_ms);
		return;
	}
	if (res->verdict == ADMISSION_QUEUE)
		return;
	f->refusals += is_counted(call);
	report(f, call, ENDPOINT_REFUSED, now_ms);
	if (call->n_tried < ATTEMPTS)
		place(f, res->ticket, now_ms);
	else if (is_counted(call) && now_ms >= call->arrived_ms + DEADLINE_MS)
		f->at_deadline++;
}

static void
place(struct fleet *f, uint64_t ticket, uint64_t now_ms)
{
	struct sim_call *call = call_at(f, ticket);
	struct sim_entry *e = &f->entries[call->entry];
	struct placement_query q = {.service = SERVICE,
	    .idempotent = true,
	    .tried = call->tried,
	    .n_tried = call->n_tried};
	struct admission_request req = {ticket, ADMISSION_LOOKUP,
	    call->arrived_ms + DEADLINE_MS, 2, call->arrived_ms + TARGET_MS, 0,
	    0};
	struct placement_choice choice;
	struct admission_result res;

	/* Each assertion of libcheck writes to a pipe. */
	if (!placement_choose(e->placement, &q, now_ms, &choice))
		g_error("no endpoint was chosen");
	call->upstream = (uint32_t)choice.endpoint - 1;
	call->tried[call->n_tried++] = choice.endpoint;
	endpoints_began(e->endpoints, choice.endpoint, now_ms);
	admission_offer(
	    f->upstreams[call->upstream].admission, &req, now_ms, &res);
	apply(f, &res, now_ms);
}

/* The answer names the limit of its upstream. */
static void
finish(
    struct fleet *f, struct sim_upstream *u, uint64_t ticket, uint64_t now_ms)
{
	struct sim_call *call = call_at(f, ticket);

	if (u->limited)
		(void)upstream_limit_name(
		    admission_upstream_limit(u->admission),
		    (uint64_t)f->c->limit_per_s * MILLI, now_ms);
	report(f, call, ENDPOINT_OK, now_ms);
	admission_finished(
	    u->admission, ticket, ADMISSION_LOOKUP, WORK_MS, now_ms);
	f->served += is_counted(call);
}

static bool
has_queue(const struct sim_upstream *u)
{
	struct load_report load;

	admission_load(u->admission, &load);
	return load.queued > 0;
}

static void
run_upstream(struct fleet *f, struct sim_upstream *u, uint64_t now_ms)
{
	struct admission_result res;
	bool freed = false;
	uint64_t ticket;

	g_assert(u->running != NULL);
	while (u->running->len > 0) {
		ticket = g_array_index(u->running, uint64_t, 0);
		if (call_at(f, ticket)->started_ms + WORK_MS > now_ms)
			break;
		g_array_remove_index(u->running, 0);
		finish(f, u, ticket, now_ms);
		freed = true;
	}
	while ((freed || has_queue(u)) &&
	    admission_next(u->admission, now_ms, &res))
		apply(f, &res, now_ms);
}

static void
arrive(struct fleet *f, uint64_t now_ms)
{
	struct sim_call call = {.arrived_ms = now_ms};

	call.entry =
	    (uint32_t)g_rand_int_range(f->random, 0, (gint32)f->c->n_entries);
	g_array_append_val(f->calls, call);
	f->offered += is_counted(&call);
	place(f, f->calls->len - 1, now_ms);
}

static void
fleet_run(struct fleet *f)
{
	uint64_t now_ms;
	uint32_t i;

	for (now_ms = 0; now_ms < RUN_MS; now_ms++) {
		for (i = 0; i < f->c->n_upstreams; i++)
			run_upstream(f, &f->upstreams[i], now_ms);
		for (i = 0; i < (f->c->calls_per_s + MILLI - 1) / MILLI; i++)
			if (g_rand_int_range(f->random, 0, MILLI) <
			    (gint32)MIN(f->c->calls_per_s, MILLI))
				arrive(f, now_ms);
	}
}

/* Largest number of starts in a window once the limit is named. */
static uint32_t
most_in_window(const struct sim_upstream *u)
{
	uint32_t most = 0;
	guint i, first = 0;

	for (i = 0; i < u->starts->len; i++) {
		if (g_array_index(u->starts, uint64_t, i) < SETTLE_MS)
			continue;
		while (g_array_index(u->starts, uint64_t, first) + WINDOW_MS <=
		    g_array_index(u->starts, uint64_t, i))
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

static void
check_limits(const struct fleet *f)
{
	uint32_t i, most;

	for (i = 0; i < f->c->n_limited; i++) {
		most = most_in_window(&f->upstreams[i]);
		ck_assert_msg(most <= f->c->limit_per_s * 6 + EXCESS,
		    "upstream %u: %u requests in a window", i, most);
	}
}

/* Calls that all upstreams together can answer, at most those offered. */
static uint32_t
perfect(const struct fleet *f)
{
	uint64_t rest = (uint64_t)(f->c->n_upstreams - f->c->n_limited) *
	    SLOTS * MILLI / WORK_MS;
	uint64_t per_s = rest + (uint64_t)f->c->n_limited * f->c->limit_per_s;

	return (uint32_t)MIN(
	    per_s * (RUN_MS - DEADLINE_MS - SETTLE_MS) / MILLI, f->offered);
}

static const struct fleet_case cases[] = {
    {10, 4, 1, 10, 160},
    {10, 4, 4, 10, 160},
    {12, 4, 2, 14, 170},
    {30, 30, 10, 10, 1000},
    {30, 30, 30, 10, 1000},
    {60, 30, 1, 1, 1000},
    {300, 300, 100, 5, 3000},
    {300, 300, 300, 5, 3000},
};

/* Guards against placement that goes on to prefer an upstream whose limit
 * leaves it few requests, so that it looks idle. */
START_TEST(a_limited_service_serves_what_its_limits_allow)
{
	struct fleet *f = fleet_new(&cases[_i / 2], (uint32_t)_i);
	uint32_t best;

	fleet_run(f);
	best = perfect(f);
	printf("entries %u upstreams %u limited %u at %u: offered %u best %u "
	       "served %u refusals %u\n",
	    f->c->n_entries, f->c->n_upstreams, f->c->n_limited,
	    f->c->limit_per_s, f->offered, best, f->served, f->refusals);
	check_limits(f);
	ck_assert_uint_ge(f->served * 10, best * 9);
	/* Where others have room, hardly a call is refused on its way. */
	if (f->c->n_limited < f->c->n_upstreams) {
		ck_assert_uint_ge(f->served * 100, best * 99);
		ck_assert_uint_le(f->refusals * 10, f->offered);
	}
	ck_assert_uint_eq(f->at_deadline, 0);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("limited fleet");
	Suite *s = suite_create("limited fleet");

	suite_add_tcase(s, tc);
	tcase_add_loop_test(tc, a_limited_service_serves_what_its_limits_allow,
	    0, 2 * (int)G_N_ELEMENTS(cases));
	tcase_set_timeout(tc, 120);
	return test_run(s);
}
