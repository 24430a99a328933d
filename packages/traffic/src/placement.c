/*
 * Power of few choices with preference for the own data centre, and the naive
 * policy.
 */
#include "traffic/placement.h"

#include "centres.h"
#include "endpoints_defs.h"
#include "traffic/keyed.h"

#define PERCENT 100
#define US_PER_MS 1000

/*
 * Number of answers after which times are compared.  A larger number would be
 * more accurate but too late: of hundreds of endpoints, each answers an entry
 * once in some seconds.
 */
#define TIMES_MIN 3

/*
 * Assumed run time until an answer was timed.  Only the order of the endpoints
 * depends on this time, and a slow path should weigh as much as it does for
 * short requests.
 */
#define WORK_DEFAULT_US 50000

/*
 * An endpoint of another data centre is preferred if it answers this many times
 * sooner, such as when links of the own data centre are full.
 */
#define SPILL_FACTOR 2

/*
 * Load, in percent of its slots, up to which an endpoint of the own data centre
 * is preferred although requests queue there: at 140 they wait for less than
 * half a request's time, while another data centre costs the path and the bytes
 * to it.  With 140 instead of 100, a sixth fewer bytes were sent between data
 * centres on five days of the robot cells with three seeds each, and no fewer
 * requests were served; 200 saves no more.
 */
#define SATURATION_PERCENT 140

/**
 * struct placement - see traffic/placement.h
 * @ops: the policy
 * @cfg: settings
 * @endpoints: table of endpoints
 * @ejection: outlier ejection, or NULL
 * @random: random numbers for the choices
 * @kind_us: mean run time of the current call's kind at the service, 0 when
 *	unknown
 * @local: usable endpoints in the own data centre, for the current call
 * @remote: usable endpoints elsewhere, for the current call
 * @fallback: endpoints that are used if no usable one is left
 * @ranked: ids of the endpoints that are ranked for the current call
 */
struct placement {
	const struct placement_ops *ops;
	struct placement_config cfg;
	struct endpoints *endpoints;
	struct ejection *ejection;
	GRand *random;
	uint64_t kind_us;
	GPtrArray *local;
	GPtrArray *remote;
	GPtrArray *fallback;
	GArray *ranked;
};

const char *
placement_reason_name(enum placement_reason r)
{
	static const char *const names[] = {"own", "local", "spilled", "remote",
	    "probe", "panic", "repeated", "home", "ranked", "canary", "random",
	    "none"};

	return (size_t)r < G_N_ELEMENTS(names) ? names[r] : "?";
}

void
placement_config_default(struct placement_config *cfg)
{
	cfg->saturation_percent = SATURATION_PERCENT;
	cfg->own_percent = 75;
	cfg->local_first = true;
	cfg->choices = 16;
	cfg->spill_percent = 200;
	cfg->own_slower_percent = 125;
}

static struct placement *
create(
    const struct placement_ops *ops, struct endpoints *endpoints, uint64_t seed)
{
	const guint32 seeds[] = {(guint32)seed, (guint32)(seed >> 32)};
	struct placement *p;

	p = g_new0(struct placement, 1);
	p->ops = ops;
	p->endpoints = endpoints;
	p->random = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
	p->local = g_ptr_array_new();
	p->remote = g_ptr_array_new();
	p->fallback = g_ptr_array_new();
	p->ranked = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return p;
}

void
placement_free(struct placement *p)
{
	if (p == NULL)
		return;
	g_rand_free(p->random);
	g_ptr_array_free(p->local, TRUE);
	g_ptr_array_free(p->remote, TRUE);
	g_ptr_array_free(p->fallback, TRUE);
	g_array_free(p->ranked, TRUE);
	g_free(p);
}

bool
placement_choose(struct placement *p, const struct placement_query *q,
    uint64_t now_ms, struct placement_choice *out)
{
	out->endpoint = 0;
	out->reason = PLACEMENT_NONE;
	out->load = 0;
	out->slots = 0;
	out->expected_ms = 0;
	return p->ops->choose(p, q, now_ms, out);
}

static bool
fill_choice(const struct placement *p, const struct endpoint *ep,
    enum placement_reason reason, uint64_t now_ms, struct placement_choice *out)
{
	out->endpoint = ep->info.id;
	out->reason = reason;
	out->load =
	    (uint32_t)(endpoints_load_milli(p->endpoints, ep, now_ms) / MILLI);
	out->slots =
	    (uint32_t)(endpoints_slots_milli(p->endpoints, ep, now_ms) / MILLI);
	if (p->kind_us != 0)
		out->expected_ms =
		    (uint32_t)(endpoints_expected_us(
				   p->endpoints, ep, p->kind_us, now_ms) /
			US_PER_MS);
	return true;
}

static bool
is_ready(const struct endpoint *ep, uint64_t now_ms)
{
	return ep->info.state == ENDPOINT_READY &&
	    now_ms >= ep->excluded_until_ms;
}

/* Whether the endpoint runs the current version and accepts requests. */
static bool
is_candidate(const struct endpoint *ep, uint64_t now_ms)
{
	return ep->info.canary == 0 && is_ready(ep, now_ms);
}

static bool
was_tried(const struct placement_query *q, uint64_t id)
{
	size_t i;

	for (i = 0; i < q->n_tried; i++) {
		if (q->tried[i] == id)
			return true;
	}
	return false;
}

static enum ejection_verdict
verdict_on(const struct placement *p, const struct placement_query *q,
    const struct endpoint *ep, uint64_t now_ms)
{
	if (p->ejection == NULL)
		return EJECTION_USABLE;
	return ejection_verdict_for(p->ejection, ep, q->idempotent, now_ms);
}

/* Whether the call should probe the endpoint's partitioned data centre. */
static bool
is_partition_probe_due(const struct placement *p,
    const struct placement_query *q, const struct endpoint *ep, uint64_t now_ms)
{
	return q->idempotent &&
	    centres_probe_due(p->endpoints->centres, ep->info.centre, now_ms);
}

/* Whether an endpoint that is not usable now should be probed. */
static bool
is_probe_due(const struct placement *p, const struct placement_query *q,
    const struct endpoint *ep, enum ejection_verdict v, uint64_t now_ms)
{
	if (ep->silent || was_tried(q, ep->info.id))
		return false;
	if (endpoints_is_partitioned(p->endpoints, ep))
		return v == EJECTION_USABLE &&
		    is_partition_probe_due(p, q, ep, now_ms);
	return v == EJECTION_PROBE;
}

/*
 * Sort the service's endpoints into local and remote usable ones and fallbacks
 * (ejected, silent, in a partitioned data centre, already tried, or to be
 * avoided).
 *
 * Return: an endpoint that is due for a probe, or NULL.
 */
static struct endpoint *
classify(struct placement *p, const struct placement_query *q,
    const struct service *s, uint64_t now_ms)
{
	struct endpoint *ep, *due = NULL;
	enum ejection_verdict v;
	guint i;

	g_ptr_array_set_size(p->local, 0);
	g_ptr_array_set_size(p->remote, 0);
	g_ptr_array_set_size(p->fallback, 0);
	for (i = 0; i < s->listed->len; i++) {
		ep = g_ptr_array_index(s->listed, i);
		if (!is_candidate(ep, now_ms))
			continue;
		v = verdict_on(p, q, ep, now_ms);
		if (is_probe_due(p, q, ep, v, now_ms))
			due = ep;
		if (v != EJECTION_USABLE || ep->silent ||
		    endpoints_is_partitioned(p->endpoints, ep) ||
		    was_tried(q, ep->info.id) || (q->avoid_own && ep->info.own))
			g_ptr_array_add(p->fallback, ep);
		else if (ep->info.local || !p->cfg.local_first)
			g_ptr_array_add(p->local, ep);
		else
			g_ptr_array_add(p->remote, ep);
	}
	return due;
}

/* Record a probe of the endpoint, or of its partitioned data centre. */
static void
record_probe(struct placement *p, struct endpoint *ep, uint64_t now_ms)
{
	if (endpoints_is_partitioned(p->endpoints, ep))
		centres_probe_sent(
		    p->endpoints->centres, ep->info.centre, now_ms);
	else
		ejection_begin_probe(p->ejection, ep);
}

static struct endpoint *
pick_random(struct placement *p, const GPtrArray *from)
{
	gint32 i;

	i = g_rand_int_range(p->random, 0, (gint32)from->len);
	return g_ptr_array_index(from, (guint)i);
}

/* Mean time of a request at an endpoint, 0 if unknown. */
static uint64_t
mean_time_us(const struct endpoint *ep)
{
	return ep->results.samples >= TIMES_MIN ? ep->results.took_us : 0;
}

/*
 * Expected time until the answer to a request that is placed now: the network
 * delay, the wait for a limit that the endpoint names, and the time at the
 * endpoint, which grows with its load.
 */
static uint64_t
cost_us(const struct placement *p, const struct endpoint *ep, uint64_t work_us,
    uint64_t now_ms)
{
	uint64_t load =
	    endpoints_expected_milli(p->endpoints, ep, now_ms) + MILLI;
	uint64_t slots = endpoints_slots_milli(p->endpoints, ep, now_ms);

	return endpoints_delay_us(p->endpoints, ep, now_ms) +
	    endpoints_limit_wait_us(ep, now_ms) +
	    work_us * (slots + load) / slots;
}

/*
 * Whether @a is expected to answer @factor times sooner than @b.  Unless the
 * kind of request was measured, or both have answered often enough, both are
 * assumed to be equally fast.
 */
static bool
is_better(const struct placement *p, const struct endpoint *a,
    const struct endpoint *b, uint64_t factor, uint64_t now_ms)
{
	uint64_t a_us, b_us;

	if (p->kind_us != 0)
		return endpoints_expected_us(
			   p->endpoints, a, p->kind_us, now_ms) *
		    factor <
		    endpoints_expected_us(p->endpoints, b, p->kind_us, now_ms);
	a_us = mean_time_us(a);
	b_us = mean_time_us(b);
	if (a_us == 0 || b_us == 0)
		a_us = b_us = MAX(MAX(a_us, b_us), WORK_DEFAULT_US);
	return cost_us(p, a, a_us, now_ms) * factor <
	    cost_us(p, b, b_us, now_ms);
}

static struct endpoint *
better_of_two(struct placement *p, const GPtrArray *from, uint64_t now_ms)
{
	struct endpoint *a, *b;
	guint i, k;

	i = (guint)g_rand_int_range(p->random, 0, (gint32)from->len);
	a = g_ptr_array_index(from, i);
	if (from->len == 1)
		return a;
	k = (guint)g_rand_int_range(p->random, 1, (gint32)from->len);
	b = g_ptr_array_index(from, (i + k) % from->len);
	return is_better(p, b, a, 1, now_ms) ? b : a;
}

static void
swap(GPtrArray *a, guint i, guint k)
{
	gpointer held = a->pdata[i];

	a->pdata[i] = a->pdata[k];
	a->pdata[k] = held;
}

/* The best of a few that are picked at random and moved to the front. */
static struct endpoint *
best_of_few(struct placement *p, GPtrArray *from, uint64_t now_ms)
{
	struct endpoint *ep, *best = NULL;
	guint i, k;

	for (i = 0; i < MIN(p->cfg.choices, from->len); i++) {
		k = (guint)g_rand_int_range(
		    p->random, (gint32)i, (gint32)from->len);
		swap(from, i, k);
		ep = g_ptr_array_index(from, i);
		if (best == NULL || is_better(p, ep, best, 1, now_ms))
			best = ep;
	}
	return best;
}

static struct endpoint *
best_of(struct placement *p, GPtrArray *from, uint64_t now_ms)
{
	if (from->len == 0)
		return NULL;
	if (p->kind_us == 0)
		return better_of_two(p, from, now_ms);
	return best_of_few(p, from, now_ms);
}

static bool
is_saturated(
    const struct placement *p, const struct endpoint *ep, uint64_t now_ms)
{
	uint64_t load, slots;

	if (endpoints_limit_wait_us(ep, now_ms) > 0)
		return true;
	load = endpoints_load_milli(p->endpoints, ep, now_ms) + MILLI;
	slots = endpoints_slots_milli(p->endpoints, ep, now_ms);
	return load * PERCENT > slots * p->cfg.saturation_percent;
}

/* Only fallbacks are left, see classify(). */
static bool
choose_fallback(struct placement *p, const struct placement_query *q,
    uint64_t now_ms, struct placement_choice *out)
{
	struct endpoint *ep;
	guint i;

	if (p->fallback->len == 0)
		return false;
	for (i = 0; i < p->fallback->len; i++) {
		ep = g_ptr_array_index(p->fallback, i);
		if (!was_tried(q, ep->info.id))
			return fill_choice(p, ep, PLACEMENT_PANIC, now_ms, out);
	}
	ep = best_of(p, p->fallback, now_ms);
	return fill_choice(p, ep, PLACEMENT_REPEATED, now_ms, out);
}

/* The endpoint on the own host, while it has free capacity. */
static struct endpoint *
own_with_capacity(const struct placement *p, uint64_t now_ms)
{
	struct endpoint *ep;
	uint64_t load, slots;
	guint i;

	for (i = 0; i < p->local->len; i++) {
		ep = g_ptr_array_index(p->local, i);
		if (!ep->info.own || endpoints_limit_wait_us(ep, now_ms) > 0)
			continue;
		load = endpoints_load_milli(p->endpoints, ep, now_ms) + MILLI;
		slots = endpoints_slots_milli(p->endpoints, ep, now_ms);
		if (load * PERCENT <= slots * p->cfg.own_percent)
			return ep;
	}
	return NULL;
}

/* Whether the expected time of @ep is above @percent of that of @other. */
static bool
is_slower(const struct placement *p, const struct endpoint *ep,
    const struct endpoint *other, uint64_t percent, uint64_t now_ms)
{
	return endpoints_expected_us(p->endpoints, ep, p->kind_us, now_ms) *
	    PERCENT >
	    endpoints_expected_us(p->endpoints, other, p->kind_us, now_ms) *
	    percent;
}

/* Whether a call leaves the own data centre although it has a usable endpoint.
 */
static bool
spills(const struct placement *p, const struct endpoint *near,
    const struct endpoint *far, uint64_t now_ms)
{
	if (p->kind_us != 0)
		return is_slower(p, near, far, p->cfg.spill_percent, now_ms);
	if (is_saturated(p, near, now_ms))
		return is_better(p, far, near, 1, now_ms);
	return is_better(p, far, near, SPILL_FACTOR, now_ms);
}

static bool
choose_usable(
    struct placement *p, uint64_t now_ms, struct placement_choice *out)
{
	struct endpoint *own, *near, *far;

	own = own_with_capacity(p, now_ms);
	if (own != NULL && p->kind_us == 0)
		return fill_choice(p, own, PLACEMENT_OWN, now_ms, out);

	near = best_of(p, p->local, now_ms);
	if (own != NULL &&
	    !is_slower(p, own, near, p->cfg.own_slower_percent, now_ms))
		return fill_choice(p, own, PLACEMENT_OWN, now_ms, out);
	far = best_of(p, p->remote, now_ms);
	if (near == NULL && far == NULL)
		return false;
	if (near == NULL)
		return fill_choice(p, far, PLACEMENT_REMOTE, now_ms, out);
	if (far != NULL && spills(p, near, far, now_ms))
		return fill_choice(p, far, PLACEMENT_SPILLED, now_ms, out);
	return fill_choice(p, near, PLACEMENT_LOCAL, now_ms, out);
}

static bool
choose_home(struct placement *p, const struct placement_query *q,
    const struct service *s, uint64_t now_ms, struct placement_choice *out)
{
	const struct endpoint *ep;
	struct key_id key;
	uint64_t home;
	guint i;

	g_array_set_size(p->ranked, 0);
	for (i = 0; i < s->listed->len; i++) {
		ep = g_ptr_array_index(s->listed, i);
		if (is_candidate(ep, now_ms))
			g_array_append_val(p->ranked, ep->info.id);
	}
	key_id_make(&key, s->id ^ q->key_scope, q->key, q->key_len);
	home = keyed_home(&key, (const uint64_t *)(const void *)p->ranked->data,
	    p->ranked->len);
	if (home == 0)
		return false;
	ep = endpoints_find(p->endpoints, home);
	return fill_choice(p, ep, PLACEMENT_HOME, now_ms, out);
}

/* Skips endpoints that were tried or are silent. */
static bool
choose_ranked(struct placement *p, const struct placement_query *q,
    const struct service *s, uint64_t now_ms, struct placement_choice *out)
{
	const struct endpoint *ep;
	struct key_id key;
	uint64_t first;
	guint i;

	g_array_set_size(p->ranked, 0);
	for (i = 0; i < s->listed->len; i++) {
		ep = g_ptr_array_index(s->listed, i);
		if (is_candidate(ep, now_ms) && !ep->silent &&
		    !was_tried(q, ep->info.id))
			g_array_append_val(p->ranked, ep->info.id);
	}
	key_id_make(&key, s->id, &q->content, sizeof(q->content));
	first = keyed_home(&key,
	    (const uint64_t *)(const void *)p->ranked->data, p->ranked->len);
	if (first == 0)
		return false;
	ep = endpoints_find(p->endpoints, first);
	return fill_choice(p, ep, PLACEMENT_RANKED, now_ms, out);
}

/*
 * Return: the usable endpoint of the version on trial with the next position
 * after @after, or NULL.
 */
static struct endpoint *
next_canary(const struct placement *p, const struct placement_query *q,
    const struct service *s, uint32_t after, uint64_t now_ms)
{
	struct endpoint *ep, *next = NULL;
	guint i;

	for (i = 0; i < s->listed->len; i++) {
		ep = g_ptr_array_index(s->listed, i);
		if (ep->info.canary <= after || !is_ready(ep, now_ms) ||
		    ep->silent || endpoints_is_partitioned(p->endpoints, ep) ||
		    verdict_on(p, q, ep, now_ms) != EJECTION_USABLE)
			continue;
		if (next == NULL || ep->info.canary < next->info.canary)
			next = ep;
	}
	return next;
}

/*
 * An endpoint that is ejected or silent is skipped, and the next position
 * takes its place.
 */
static bool
choose_canary(struct placement *p, const struct placement_query *q,
    const struct service *s, uint64_t now_ms, struct placement_choice *out)
{
	struct endpoint *ep;
	uint32_t i, after = 0;

	g_ptr_array_set_size(p->local, 0);
	for (i = 0; i < q->canaries; i++) {
		ep = next_canary(p, q, s, after, now_ms);
		if (ep == NULL)
			break;
		after = ep->info.canary;
		g_ptr_array_add(p->local, ep);
	}
	ep = best_of(p, p->local, now_ms);
	return ep != NULL && fill_choice(p, ep, PLACEMENT_CANARY, now_ms, out);
}

static bool
choose_two(struct placement *p, const struct placement_query *q,
    uint64_t now_ms, struct placement_choice *out)
{
	struct endpoint *due;
	struct service *s;

	s = endpoints_service(p->endpoints, q->service);
	if (s == NULL)
		return false;
	p->kind_us =
	    s->reports_pace ? run_times_mean_us(&s->kinds, q->kind) : 0;
	if (q->canaries > 0)
		return choose_canary(p, q, s, now_ms, out);
	if (q->key != NULL)
		return choose_home(p, q, s, now_ms, out);
	if (q->content != 0 && choose_ranked(p, q, s, now_ms, out))
		return true;
	due = classify(p, q, s, now_ms);
	if (due != NULL) {
		record_probe(p, due, now_ms);
		return fill_choice(p, due, PLACEMENT_PROBE, now_ms, out);
	}
	return choose_usable(p, now_ms, out) ||
	    choose_fallback(p, q, now_ms, out);
}

static bool
choose_random(struct placement *p, const struct placement_query *q,
    uint64_t now_ms, struct placement_choice *out)
{
	const struct service *s;
	struct endpoint *ep;
	guint i;

	s = endpoints_service(p->endpoints, q->service);
	if (s == NULL)
		return false;
	g_ptr_array_set_size(p->local, 0);
	for (i = 0; i < s->listed->len; i++) {
		ep = g_ptr_array_index(s->listed, i);
		if (ep->info.state == ENDPOINT_READY)
			g_ptr_array_add(p->local, ep);
	}
	if (p->local->len == 0)
		return false;
	return fill_choice(
	    p, pick_random(p, p->local), PLACEMENT_RANDOM, now_ms, out);
}

static const struct placement_ops two_choices = {choose_two};
static const struct placement_ops naive = {choose_random};

struct placement *
placement_new(const struct placement_config *cfg, struct endpoints *endpoints,
    struct ejection *ejection, uint64_t seed)
{
	struct placement *p;

	p = create(&two_choices, endpoints, seed);
	p->cfg = *cfg;
	p->ejection = ejection;
	return p;
}

struct placement *
placement_new_naive(struct endpoints *endpoints, uint64_t seed)
{
	return create(&naive, endpoints, seed);
}
