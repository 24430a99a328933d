/*
 * Choice of upstream under load, by several policies, against the best that is
 * possible with full knowledge.
 *
 * The load: 88 entries; 54 endpoints of 18 slots, a third each with 0.7, 0.7
 * and 1.7 times the usual speed; each on a machine that is slowed 2.5 times for
 * 100 ms of about 600; kinds of 90, 310, 400 and 760 ms mean work with heavy
 * tails; 0.3, 0.6 and 0.9 of the room is asked for.  Answers carry reports.
 * Then the same in four data centres, whose demand moves.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <check.h>
#include <glib.h>

#include "traffic/placement.h"

#include "test_run.h"

#define SERVICE 9
#define ENTRIES 88
#define SERVERS 54
#define SLOTS 18
#define CENTRES 4
#define RUN_MS 30000
#define LEARN_MS 10000
#define DUE_MS (RUN_MS + 120000)
#define SPELL_MS 100
#define SPELL_EACH_MS 600
#define SLOWED 2.5
#define SIGMA 0.8
#define KINDS 4
#define KIND_WEIGHT 16
#define PROBES_PER_CALL 3
#define POOL 16
#define PROBE_AGE_MS 1000
#define NEAR_BEST 1.5
#define BETTER 0.9
#define DEMAND_MAX 2.0
#define CUT_MS 12000
#define CUT_END_MS 18000

enum policy { AS_BEFORE, EXPECTED, REPORTED, PREQUAL, C3, BEST, POLICIES };

static const char *const policy_names[] = {"as before", "expected time",
    "reported load, 2 choices", "hot and cold", "cubic ranking",
    "full knowledge"};
static const double work_ms[KINDS] = {90, 310, 400, 760};
static const double target_ms[KINDS] = {400, 1000, 1200, 2500};
/* Share of the calls, in percent: added up. */
static const int kind_until[KINDS] = {20, 60, 75, 100};

/**
 * struct server - an endpoint, which runs requests in order of arrival
 * @free_ms: when each slot is free
 * @speed: of its work
 * @phase_ms: of its machine's spells of slowness
 * @inside: requests that run or wait
 * @inside_ms: their expected run time
 * @kind_ms: mean run time lately, by kind
 * @response_ms: mean time to the answer lately
 */
struct server {
	double free_ms[SLOTS];
	double speed;
	uint32_t phase_ms;
	uint32_t inside;
	double inside_ms;
	double kind_ms[KINDS];
	double response_ms;
};

/**
 * struct view - what an entry knows of an endpoint, for the published policies
 * @out: own calls under way
 * @q: reported requests inside
 * @response_ms: mean time to answers of own calls
 * @service_ms: mean reported run time
 */
struct view {
	uint32_t out;
	double q;
	double response_ms;
	double service_ms;
};

struct probe {
	uint32_t server;
	uint32_t rif;
	double latency_ms;
	uint32_t at_ms;
};

struct entry {
	struct endpoints *endpoints;
	struct ejection *ejection;
	struct placement *placement;
	struct view views[SERVERS];
	struct probe pool[POOL];
	uint32_t n_pool;
};

struct call {
	uint32_t entry;
	uint32_t server;
	uint32_t kind;
	double began_ms;
	double started_ms;
	struct call *next;
};

/**
 * struct world - all entries and endpoints
 * @policy: how entries choose
 * @centres: number of data centres
 * @demand: demand of a data centre at a time, 1 is usual; NULL for always
 * @is_cut: the last data centre is cut off for some seconds
 * @due: calls by the time of their answer
 * @calls: answered calls after the entries have learned
 * @late: of them, those beyond their target
 * @ejected: answers at entries that had ejected an endpoint
 * @sum_ms: added times to the answer
 * @by_centre: calls and late ones by the data centre of the entry
 * @remote: calls that left their data centre, by second
 */
struct world {
	enum policy policy;
	uint32_t centres;
	double (*demand)(uint32_t centre, uint32_t now);
	bool is_cut;
	GRand *random;
	struct server servers[SERVERS];
	struct entry entries[ENTRIES];
	struct call *due[DUE_MS];
	uint32_t calls;
	uint32_t late;
	uint32_t ejected;
	double sum_ms;
	struct {
		uint32_t calls;
		uint32_t late;
	} by_centre[CENTRES];
	uint32_t remote[RUN_MS / 1000];
	uint32_t sent[RUN_MS / 1000];
};

static double
pace_at(const struct server *s, double t_ms)
{
	return fmod(t_ms + s->phase_ms, SPELL_EACH_MS) < SPELL_MS ? SLOWED : 1;
}

/* When work that starts at @t ends, through all spells. */
static double
end_of(const struct server *s, double t, double work)
{
	double in, left, rate, step;

	work /= s->speed;
	while (work > 0) {
		in = fmod(t + s->phase_ms, SPELL_EACH_MS);
		left = in < SPELL_MS ? SPELL_MS - in : SPELL_EACH_MS - in;
		rate = 1 / pace_at(s, t);
		step = MIN(left + 1e-6, work / rate);
		work -= step * rate;
		t += step;
	}
	return t;
}

static int
first_free(const struct server *s)
{
	int i, first = 0;

	for (i = 1; i < SLOTS; i++)
		if (s->free_ms[i] < s->free_ms[first])
			first = i;
	return first;
}

static uint32_t
choose_best(struct world *w, double now, double work)
{
	double end, first = INFINITY;
	uint32_t i, best = 0;
	struct server *s;

	for (i = 0; i < SERVERS; i++) {
		s = &w->servers[i];
		end = end_of(s, MAX(now, s->free_ms[first_free(s)]), work);
		if (end < first) {
			first = end;
			best = i;
		}
	}
	return best;
}

static uint32_t
any_server(struct world *w)
{
	return (uint32_t)g_rand_int_range(w->random, 0, SERVERS);
}

static uint32_t
choose_reported(struct world *w, struct entry *e)
{
	uint32_t a = any_server(w), b = any_server(w);

	return e->views[b].q + e->views[b].out < e->views[a].q + e->views[a].out
	    ? b
	    : a;
}

/* Prequal: probes of the last second in a pool; of those that aren't hot, the
 * lowest latency; if all are hot, the fewest requests in flight. */
static uint32_t
choose_prequal(struct world *w, struct entry *e, uint32_t now)
{
	uint32_t i, k, hot, n_below, best = 0;
	const struct probe *a, *b;

	for (i = 0; i < PROBES_PER_CALL; i++) {
		k = e->n_pool < POOL
		    ? e->n_pool++
		    : (uint32_t)g_rand_int_range(w->random, 0, POOL);
		e->pool[k].server = any_server(w);
		e->pool[k].rif = w->servers[e->pool[k].server].inside;
		e->pool[k].latency_ms =
		    w->servers[e->pool[k].server].response_ms;
		e->pool[k].at_ms = now;
	}
	for (i = e->n_pool; i-- > 0;)
		if (now - e->pool[i].at_ms > PROBE_AGE_MS)
			e->pool[i] = e->pool[--e->n_pool];
	/* The hot limit is the quantile 0.84 of the pool. */
	for (hot = 0, i = 0; i < e->n_pool; i++) {
		for (n_below = 0, k = 0; k < e->n_pool; k++)
			n_below += e->pool[k].rif < e->pool[i].rif;
		if (n_below * 100 <= e->n_pool * 84)
			hot = MAX(hot, e->pool[i].rif);
	}
	for (i = 1; i < e->n_pool; i++) {
		a = &e->pool[i];
		b = &e->pool[best];
		if (a->rif >= hot && b->rif >= hot ? a->rif < b->rif
			: a->rif < hot && b->rif < hot
			? a->latency_ms < b->latency_ms
			: a->rif < hot)
			best = i;
	}
	e->pool[best].rif++;
	return e->pool[best].server;
}

/* C3: R - 1/mu + q^3/mu with q = 1 + out * clients + reported queue. */
static uint32_t
choose_c3(struct world *w, struct entry *e)
{
	double q, score, lowest = INFINITY;
	uint32_t i, k, best = 0, from = any_server(w);
	const struct view *v;

	for (k = 0; k < SERVERS; k++) {
		i = (from + k) % SERVERS;
		v = &e->views[i];
		q = (1 + (double)v->out * ENTRIES + v->q) / SLOTS;
		score =
		    v->response_ms - v->service_ms + q * q * q * v->service_ms;
		if (score < lowest) {
			lowest = score;
			best = i;
		}
	}
	return best;
}

static uint32_t
choose_placed(struct world *w, struct entry *e, uint32_t kind, uint32_t now)
{
	struct placement_query q = {.service = SERVICE,
	    .idempotent = true,
	    .kind = w->policy == EXPECTED ? kind + 1 : 0};
	struct placement_choice c;

	ck_assert(placement_choose(e->placement, &q, now, &c));
	return (uint32_t)c.endpoint - 1;
}

static uint32_t
choose(struct world *w, struct entry *e, const struct call *c, double work,
    uint32_t now)
{
	switch (w->policy) {
	case REPORTED:
		return choose_reported(w, e);
	case PREQUAL:
		return choose_prequal(w, e, now);
	case C3:
		return choose_c3(w, e);
	case BEST:
		return choose_best(w, now, work);
	default:
		return choose_placed(w, e, c->kind, now);
	}
}

static void
begin(struct world *w, uint32_t now)
{
	struct call *c = g_new0(struct call, 1);
	double normal, work, end;
	struct server *s;
	struct entry *e;
	int slot, dice;

	c->entry = (uint32_t)g_rand_int_range(w->random, 0, ENTRIES);
	while (w->demand != NULL &&
	    g_rand_double(w->random) * DEMAND_MAX >
		w->demand(c->entry % w->centres, now))
		c->entry = (uint32_t)g_rand_int_range(w->random, 0, ENTRIES);
	dice = g_rand_int_range(w->random, 0, 100);
	while (dice >= kind_until[c->kind])
		c->kind++;
	normal = sqrt(-2 * log(1 - g_rand_double(w->random))) *
	    cos(2 * G_PI * g_rand_double(w->random));
	work = work_ms[c->kind] * exp(SIGMA * normal - SIGMA * SIGMA / 2);
	e = &w->entries[c->entry];
	c->server = choose(w, e, c, work, now);
	w->sent[now / 1000]++;
	w->remote[now / 1000] +=
	    c->server % w->centres != c->entry % w->centres;
	s = &w->servers[c->server];
	slot = first_free(s);
	c->began_ms = now;
	c->started_ms = MAX(now, s->free_ms[slot]);
	end = end_of(s, c->started_ms, work);
	s->free_ms[slot] = end;
	s->inside++;
	s->inside_ms += s->kind_ms[c->kind];
	e->views[c->server].out++;
	endpoints_began(e->endpoints, c->server + 1, now);
	end = MIN(ceil(end), DUE_MS - 1);
	c->next = w->due[(uint32_t)end];
	w->due[(uint32_t)end] = c;
}

static void
mean_in(double *mean, double value)
{
	*mean += (value - *mean) / KIND_WEIGHT;
}

static void
end(struct world *w, struct call *c, uint32_t now)
{
	struct server *s = &w->servers[c->server];
	struct entry *e = &w->entries[c->entry];
	struct view *v = &e->views[c->server];
	double ran = now - c->started_ms, took = now - c->began_ms;
	struct load_report r = {.slots = SLOTS};

	s->inside--;
	s->inside_ms = MAX(s->inside_ms - s->kind_ms[c->kind], 0);
	mean_in(&s->kind_ms[c->kind], ran);
	mean_in(&s->response_ms, took);
	r.in_flight = MIN(s->inside, SLOTS);
	r.queued = s->inside - r.in_flight;
	r.pace_percent = (uint32_t)(pace_at(s, now) * 100);
	r.work_ms = (uint32_t)s->inside_ms;
	r.kind_us = (uint64_t)(s->kind_ms[c->kind] * 1000);
	v->out--;
	v->q = s->inside;
	mean_in(&v->response_ms, took);
	mean_in(&v->service_ms, s->kind_ms[c->kind]);
	endpoints_ended(e->endpoints, c->server + 1, ENDPOINT_OK,
	    endpoints_comparable_us(e->endpoints, c->server + 1, c->kind + 1,
		(uint64_t)(ran * 1000)),
	    now);
	endpoints_ran(e->endpoints, c->server + 1, c->kind + 1,
	    (uint64_t)(ran * 1000), r.kind_us, now);
	endpoints_report(e->endpoints, c->server + 1, &r, now);
	w->ejected += ejection_count(e->ejection, SERVICE, now) > 0;
	if (c->began_ms >= LEARN_MS && c->began_ms < RUN_MS) {
		w->calls++;
		w->late += took > target_ms[c->kind];
		w->sum_ms += took;
		w->by_centre[c->entry % w->centres].calls++;
		w->by_centre[c->entry % w->centres].late +=
		    took > target_ms[c->kind];
	}
	g_free(c);
}

static void
entry_init(struct entry *e, uint32_t index, uint32_t centres, uint64_t seed)
{
	struct endpoint_info infos[SERVERS] = {0};
	struct endpoints_config ec;
	struct placement_config pc;
	struct ejection_config jc;
	uint32_t i;

	endpoints_config_default(&ec);
	placement_config_default(&pc);
	ejection_config_default(&jc);
	for (i = 0; i < SERVERS; i++) {
		infos[i].id = i + 1;
		infos[i].slots = SLOTS;
		infos[i].state = ENDPOINT_READY;
		infos[i].centre = i % centres + 1;
		infos[i].local = i % centres == index % centres;
		e->views[i].response_ms = e->views[i].service_ms = 400;
	}
	e->endpoints = endpoints_new(&ec);
	e->ejection = ejection_new(&jc, e->endpoints);
	e->placement = placement_new(&pc, e->endpoints, e->ejection, seed);
	endpoints_set_service(e->endpoints, SERVICE, 1, infos, SERVERS, 0);
}

static struct world *
world_new(enum policy policy, uint32_t centres, uint64_t seed)
{
	static const double speeds[] = {0.7, 0.7, 1.7};
	struct world *w = g_new0(struct world, 1);
	struct server *s;
	uint32_t i, k;

	w->policy = policy;
	w->centres = centres;
	w->random = g_rand_new_with_seed((guint32)seed);
	for (i = 0; i < SERVERS; i++) {
		s = &w->servers[i];
		s->speed = speeds[i % G_N_ELEMENTS(speeds)];
		s->phase_ms =
		    (uint32_t)g_rand_int_range(w->random, 0, SPELL_EACH_MS);
		s->response_ms = 400;
		for (k = 0; k < KINDS; k++)
			s->kind_ms[k] = work_ms[k];
	}
	for (i = 0; i < ENTRIES; i++)
		entry_init(&w->entries[i], i, centres, seed * ENTRIES + i);
	return w;
}

static void
world_free(struct world *w)
{
	uint32_t i;

	for (i = 0; i < ENTRIES; i++) {
		placement_free(w->entries[i].placement);
		ejection_free(w->entries[i].ejection);
		endpoints_free(w->entries[i].endpoints);
	}
	g_rand_free(w->random);
	g_free(w);
}

/* Calls per ms at which the endpoints are busy for @share of the time. */
static double
rate_of(double share)
{
	double mean = 0.2 * 90 + 0.4 * 310 + 0.15 * 400 + 0.25 * 760;
	double rate = 1 - (1 - 1 / SLOWED) * SPELL_MS / SPELL_EACH_MS;

	return share * SERVERS * SLOTS * (0.7 + 0.7 + 1.7) / 3 * rate / mean;
}

/* Hosts on the other side of the cut fall silent, or answer again. */
static void
set_cut(struct world *w, bool cut, uint32_t now)
{
	uint32_t i, k, last = w->centres - 1;

	for (i = 0; i < ENTRIES; i++)
		for (k = 0; k < SERVERS; k++)
			if ((i % w->centres == last) !=
			    (k % w->centres == last))
				(void)endpoints_set_silent(
				    w->entries[i].endpoints, k + 1, cut, now);
}

static void
run(struct world *w, double share)
{
	double next = 0, rate = rate_of(share);
	struct call *c;
	uint32_t now;

	for (now = 0; now < DUE_MS; now++) {
		if (w->is_cut && (now == CUT_MS || now == CUT_END_MS))
			set_cut(w, now == CUT_MS, now);
		while ((c = w->due[now]) != NULL) {
			w->due[now] = c->next;
			end(w, c, now);
		}
		while (next < now + 1 && now < RUN_MS) {
			begin(w, now);
			next -= log(1 - g_rand_double(w->random)) / rate;
		}
	}
}

struct figures {
	double mean_ms;
	double late_percent;
	uint32_t ejected;
};

static struct figures
play(enum policy policy, double share, uint64_t seed)
{
	struct world *w = world_new(policy, 1, seed);
	struct figures f;

	run(w, share);
	f.mean_ms = w->sum_ms / w->calls;
	f.late_percent = 100.0 * w->late / w->calls;
	f.ejected = w->ejected;
	world_free(w);
	return f;
}

static const double shares[] = {0.3, 0.6, 0.9};

/*
 * A caller's target is three times the mean work of its kind; a share of the
 * calls misses it even with full knowledge, as work has heavy tails.  Expected
 * time stays within half more than that mean, and wins over what was there
 * before at each load.
 */
START_TEST(expected_time_is_near_the_best)
{
	struct figures f[POLICIES];
	int p;

	for (p = 0; p < POLICIES; p++) {
		f[p] = play((enum policy)p, shares[_i], 1);
		(void)printf("%.1f of the room, %-25s mean %5.0f ms, late "
			     "%4.1f%%, ejected %u\n",
		    shares[_i], policy_names[p], f[p].mean_ms,
		    f[p].late_percent, f[p].ejected);
	}
	ck_assert_double_le(f[EXPECTED].mean_ms, f[BEST].mean_ms * NEAR_BEST);
	ck_assert_double_le(f[EXPECTED].mean_ms, f[AS_BEFORE].mean_ms * BETTER);
	ck_assert_double_le(
	    f[EXPECTED].late_percent, f[AS_BEFORE].late_percent * BETTER);
}
END_TEST

#define WAVE_MS 17000.0
#define STEP_MS 20000

static double
even(uint32_t centre, uint32_t now)
{
	(void)centre;
	(void)now;
	return 1;
}

static double
wave(uint32_t centre, uint32_t now)
{
	return 1 + 0.55 * sin(2 * G_PI * (now / WAVE_MS + centre / 4.0));
}

static double
step(uint32_t centre, uint32_t now)
{
	return centre == 0 && now >= STEP_MS ? 2 : 1;
}

static double
shift(uint32_t centre, uint32_t now)
{
	if (now < STEP_MS || centre > 1)
		return 1;
	return centre == 0 ? 0.5 : 1.5;
}

static const struct {
	const char *name;
	double (*demand)(uint32_t centre, uint32_t now);
	double share;
	bool is_cut;
} moves[] = {{"even", even, 0.4, false}, {"wave", wave, 0.75, false},
    {"step", step, 0.6, false}, {"cut under a wave", wave, 0.6, true},
    {"shift", shift, 0.75, false}};

static void
print_moved(const struct world *w, const char *name)
{
	uint32_t i;

	(void)printf("%s, %s: mean %.0f ms; late by data centre", name,
	    policy_names[w->policy], w->sum_ms / w->calls);
	for (i = 0; i < CENTRES; i++)
		(void)printf(" %.1f%%",
		    100.0 * w->by_centre[i].late / w->by_centre[i].calls);
	(void)printf("; left it, by second");
	for (i = LEARN_MS / 1000; i < RUN_MS / 1000; i++)
		(void)printf(" %u", 100 * w->remote[i] / MAX(w->sent[i], 1));
	(void)printf("\n");
}

/* Late calls of the data centre that is served worst, in percent. */
static double
worst_late(const struct world *w)
{
	double worst = 0;
	uint32_t i;

	for (i = 0; i < CENTRES; i++)
		worst = MAX(worst,
		    100.0 * w->by_centre[i].late / w->by_centre[i].calls);
	return worst;
}

/* Difference of the largest and the smallest share of calls that left their
 * data centre within a second, after the demand has moved. */
static uint32_t
swing_percent(const struct world *w)
{
	uint32_t i, percent, least = 100, most = 0;

	for (i = STEP_MS / 1000 + 2; i < RUN_MS / 1000; i++) {
		percent = 100 * w->remote[i] / MAX(w->sent[i], 1);
		least = MIN(least, percent);
		most = MAX(most, percent);
	}
	return most - least;
}

/*
 * The worst data centre misses fewer targets than before, hardly a call leaves
 * while all have room, and after a move the share that leaves settles instead
 * of swinging: a wave itself moves it by up to a fifth.
 */
START_TEST(demand_that_moves_is_served_by_others)
{
	struct world *w[EXPECTED + 1];
	uint32_t i, left = 0;
	int p;

	for (p = AS_BEFORE; p <= EXPECTED; p++) {
		w[p] = world_new((enum policy)p, CENTRES, 1);
		w[p]->demand = moves[_i].demand;
		w[p]->is_cut = moves[_i].is_cut;
		run(w[p], moves[_i].share);
		print_moved(w[p], moves[_i].name);
	}
	ck_assert_double_le(
	    worst_late(w[EXPECTED]), worst_late(w[AS_BEFORE]) * BETTER);
	ck_assert_uint_le(swing_percent(w[EXPECTED]), 20);
	for (i = LEARN_MS / 1000; i < RUN_MS / 1000; i++)
		left += w[EXPECTED]->remote[i];
	if (moves[_i].demand == even)
		ck_assert_uint_le(100 * left, w[EXPECTED]->calls);
	world_free(w[AS_BEFORE]);
	world_free(w[EXPECTED]);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("choice");
	Suite *s = suite_create("choice");

	suite_add_tcase(s, tc);
	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(
	    tc, expected_time_is_near_the_best, 0, (int)G_N_ELEMENTS(shares));
	tcase_add_loop_test(tc, demand_that_moves_is_served_by_others, 0,
	    (int)G_N_ELEMENTS(moves));
	return test_run(s);
}
