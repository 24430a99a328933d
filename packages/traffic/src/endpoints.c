/*
 * The table of endpoints at an entry.
 */
#include "traffic/endpoints.h"

#include <math.h>

#include "centres.h"
#include "endpoints_defs.h"

#define PERCENT 100
/* A new entry has received the state of all endpoints after this time. */
#define DISCOVERY_MS 1000
/* Share of its slots with which an endpoint starts that may be cold. */
#define COLD_START_PERCENT 10
/*
 * Share of its slots with which an endpoint starts that has announced how long
 * it is cold: upstreams of the users' platform take twice as long while cold.
 */
#define COLD_ANNOUNCED_PERCENT 50
/* Weight of one report in the mean load, which averages about the last ten. */
#define MEAN_WEIGHT 0.1
/* Of a report, for the mean over some tens of endpoints. */
#define SIZE_WEIGHT 0.03
/* Half-life of the mean load without a report. */
#define MEAN_HALF_LIFE_MS 2000
/* Number of answers that the mean run time of a kind covers. */
#define KIND_WEIGHT 64
/* Record of all kinds together. */
#define KIND_ALL UINT64_MAX

void
endpoints_config_default(struct endpoints_config *cfg)
{
	cfg->slow_start_ms = 5000;
	cfg->load_half_life_ms = 500;
	cfg->delay_half_life_ms = 1000;
	cfg->drain_hold_ms = 5000;
	cfg->absent_hold_ms = 500;
}

static void
service_free(gpointer data)
{
	struct service *s = data;

	g_ptr_array_free(s->listed, TRUE);
	g_free(s);
}

struct endpoints *
endpoints_new(const struct endpoints_config *cfg)
{
	struct endpoints *e;

	e = g_new0(struct endpoints, 1);
	e->cfg = *cfg;
	e->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, service_free);
	e->endpoints =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	e->centres = centres_new();
	return e;
}

void
endpoints_free(struct endpoints *e)
{
	if (e == NULL)
		return;
	g_hash_table_destroy(e->services);
	g_hash_table_destroy(e->endpoints);
	g_hash_table_destroy(e->centres);
	g_free(e);
}

struct endpoint *
endpoints_find(const struct endpoints *e, uint64_t id)
{
	return g_hash_table_lookup(e->endpoints, &id);
}

struct service *
endpoints_service(const struct endpoints *e, uint64_t id)
{
	return g_hash_table_lookup(e->services, &id);
}

static void
unlist(struct endpoints *e, struct endpoint *ep)
{
	ejection_reset(ep);
	ep->service = NULL;
	ep->info.state = ENDPOINT_LEFT;
	if (ep->in_flight == 0)
		g_hash_table_remove(e->endpoints, &ep->info.id);
}

static struct endpoint *
find_or_add(struct endpoints *e, const struct endpoint_info *info)
{
	struct endpoint *ep;

	ep = endpoints_find(e, info->id);
	if (ep != NULL)
		return ep;
	ep = g_new0(struct endpoint, 1);
	ep->info = *info;
	ep->info.state = ENDPOINT_STARTING;
	g_hash_table_insert(e->endpoints, &ep->info.id, ep);
	return ep;
}

static void
set_slow_start(
    struct endpoint *ep, uint64_t from_ms, uint64_t until_ms, uint32_t percent)
{
	ep->warm_from_ms = from_ms;
	ep->warm_until_ms = until_ms;
	ep->warm_percent = percent;
}

void
endpoints_begin_slow_start(
    const struct endpoints *e, struct endpoint *ep, uint64_t now_ms)
{
	set_slow_start(
	    ep, now_ms, now_ms + e->cfg.slow_start_ms, COLD_START_PERCENT);
}

/* Set the slow start of an endpoint that has just become ready. */
static void
choose_slow_start(
    const struct endpoints *e, struct endpoint *ep, bool warm, uint64_t now_ms)
{
	if (warm)
		set_slow_start(ep, 0, 0, 0);
	else if (ep->info.cold_ms == UINT32_MAX)
		endpoints_begin_slow_start(e, ep, now_ms);
	else
		set_slow_start(ep, now_ms, now_ms + ep->info.cold_ms,
		    COLD_ANNOUNCED_PERCENT);
}

/*
 * @warm: this entry is new to the service and has no record of which endpoints
 *	are cold.
 */
static void
update_endpoint(const struct endpoints *e, struct endpoint *ep,
    const struct endpoint_info *info, bool warm, uint64_t now_ms)
{
	bool replaced, becomes_ready;

	replaced = ep->info.incarnation != info->incarnation;
	becomes_ready = info->state == ENDPOINT_READY &&
	    (replaced || ep->info.state != ENDPOINT_READY);
	if (replaced) {
		ejection_reset(ep);
		ep->others_milli = 0;
		ep->delay_us = 0;
		ep->pace = (struct endpoint_pace){0};
		ep->speed = (struct endpoint_speed){0};
	}
	ep->info = *info;
	ep->info.slots = MAX(info->slots, 1);
	if (!becomes_ready)
		return;
	/*
	 * The ready state is newer than the refusal that excluded the
	 * endpoint.
	 */
	ep->excluded_until_ms = 0;
	choose_slow_start(e, ep, warm, now_ms);
}

static bool
contains_id(const struct endpoint_info *infos, size_t n, uint64_t id)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (infos[i].id == id)
			return true;
	}
	return false;
}

static void
unlist_missing(struct endpoints *e, struct service *s,
    const struct endpoint_info *infos, size_t n)
{
	struct endpoint *ep;
	guint i;

	for (i = s->listed->len; i > 0; i--) {
		ep = g_ptr_array_index(s->listed, i - 1);
		if (contains_id(infos, n, ep->info.id))
			continue;
		g_ptr_array_remove_index_fast(s->listed, i - 1);
		unlist(e, ep);
	}
}

void
endpoints_set_service(struct endpoints *e, uint64_t service,
    uint64_t generation, const struct endpoint_info *infos, size_t n,
    uint64_t now_ms)
{
	struct endpoint *ep;
	struct service *s;
	bool warm;
	size_t i;

	s = endpoints_service(e, service);
	if (s == NULL) {
		s = g_new0(struct service, 1);
		s->id = service;
		s->since_ms = now_ms;
		s->listed = g_ptr_array_new();
		g_hash_table_insert(e->services, &s->id, s);
	}
	s->generation = generation;
	warm = now_ms - s->since_ms < DISCOVERY_MS;
	unlist_missing(e, s, infos, n);
	for (i = 0; i < n; i++) {
		ep = find_or_add(e, &infos[i]);
		update_endpoint(e, ep, &infos[i], warm, now_ms);
		if (ep->service == s)
			continue;
		ep->service = s;
		g_ptr_array_add(s->listed, ep);
	}
	if (n == 0)
		g_hash_table_remove(e->services, &service);
}

uint64_t
endpoints_generation(const struct endpoints *e, uint64_t service)
{
	const struct service *s;

	s = endpoints_service(e, service);
	return s != NULL ? s->generation : 0;
}

void
endpoints_began(struct endpoints *e, uint64_t endpoint, uint64_t now_ms)
{
	struct endpoint *ep;

	ep = endpoints_find(e, endpoint);
	if (ep == NULL)
		return;
	ep->in_flight++;
	endpoint_pace_sent(&ep->pace, now_ms);
}

/* Whether a result proves that something arrived from the endpoint's host. */
static bool
proves_reachable(enum endpoint_result result)
{
	return result != ENDPOINT_SILENT && result != ENDPOINT_UNREACHABLE &&
	    result != ENDPOINT_CANCELLED;
}

void
endpoints_ended(struct endpoints *e, uint64_t endpoint,
    enum endpoint_result result, uint64_t took_us, uint64_t now_ms)
{
	struct endpoint *ep;

	ep = endpoints_find(e, endpoint);
	if (ep == NULL)
		return;
	if (ep->in_flight > 0)
		ep->in_flight--;
	if (proves_reachable(result))
		centres_received(e->centres, ep->info.centre);
	if (ep->service == NULL) {
		if (ep->in_flight == 0)
			g_hash_table_remove(e->endpoints, &endpoint);
		return;
	}
	ep->pace.refused = result == ENDPOINT_REFUSED;
	if (result == ENDPOINT_DRAINS)
		ep->excluded_until_ms = now_ms + e->cfg.drain_hold_ms;
	if (result == ENDPOINT_ABSENT)
		ep->excluded_until_ms =
		    MAX(ep->excluded_until_ms, now_ms + e->cfg.absent_hold_ms);
	if (e->ejection != NULL)
		ejection_add_result(e->ejection, ep, result, took_us, now_ms);
}

bool
endpoints_set_silent(
    struct endpoints *e, uint64_t endpoint, bool silent, uint64_t now_ms)
{
	struct endpoint *ep;

	ep = endpoints_find(e, endpoint);
	if (ep == NULL || ep->silent == silent)
		return false;
	ep->silent = silent;
	if (!silent) {
		ejection_reset(ep);
		centres_received(e->centres, ep->info.centre);
		return false;
	}
	return !ep->info.local && ep->info.centre != 0 &&
	    centres_host_silent(
		e->centres, ep->info.centre, ep->info.host, now_ms);
}

bool
endpoints_is_partitioned(const struct endpoints *e, const struct endpoint *ep)
{
	return !ep->info.local &&
	    centres_is_partitioned(e->centres, ep->info.centre);
}

bool
endpoints_listed(const struct endpoints *e, uint64_t endpoint)
{
	const struct endpoint *ep;

	ep = endpoints_find(e, endpoint);
	return ep != NULL && ep->service != NULL;
}

static struct mean_load *
mean_load_of(const struct endpoint *ep)
{
	return ep->info.local ? &ep->service->local_mean
			      : &ep->service->remote_mean;
}

static void
update_mean(const struct endpoint *ep, uint64_t now_ms)
{
	struct mean_load *mean;
	double per_slot;

	if (ep->service == NULL || ep->info.slots == 0)
		return;
	mean = mean_load_of(ep);
	per_slot = (double)ep->others_milli / ep->info.slots;
	mean->per_slot += (per_slot - mean->per_slot) * MEAN_WEIGHT;
	mean->reported_ms = now_ms;
}

static void
update_size(const struct endpoint *ep)
{
	struct service *s = ep->service;

	if (s == NULL || ep->speed.size_us <= 0)
		return;
	if (s->size_us == 0)
		s->size_us = ep->speed.size_us;
	s->size_us += (ep->speed.size_us - s->size_us) * SIZE_WEIGHT;
}

void
endpoints_report(struct endpoints *e, uint64_t endpoint,
    const struct load_report *load, uint64_t now_ms)
{
	struct endpoint *ep;
	uint64_t all;

	ep = endpoints_find(e, endpoint);
	if (ep == NULL)
		return;
	all = (uint64_t)load->in_flight + load->queued;
	ep->others_milli =
	    all > ep->in_flight ? (all - ep->in_flight) * MILLI : 0;
	ep->reported_ms = now_ms;
	if (load->slots > 0)
		ep->info.slots = load->slots;
	if (ep->service != NULL && load->pace_percent > 0)
		ep->service->reports_pace = true;
	update_mean(ep, now_ms);
	endpoint_pace_report(&ep->pace, load, now_ms);
	endpoint_speed_report(&ep->speed, load, now_ms);
	update_size(ep);
}

void
endpoints_ran(struct endpoints *e, uint64_t endpoint, uint64_t kind,
    uint64_t took_us, uint64_t mean_us, uint64_t now_ms)
{
	struct endpoint *ep = endpoints_find(e, endpoint);
	uint64_t here_us = mean_us != 0 ? mean_us : took_us;
	uint64_t all_us;

	if (ep == NULL || ep->service == NULL || kind == 0 || here_us == 0)
		return;
	run_times_record(
	    &ep->service->kinds, kind, here_us, KIND_WEIGHT, now_ms);
	run_times_record(
	    &ep->service->kinds, KIND_ALL, here_us, KIND_WEIGHT, now_ms);
	all_us = run_times_mean_us(&ep->service->kinds, kind);
	if (all_us > 0)
		endpoint_speed_ran(&ep->speed, (double)here_us / (double)all_us,
		    mean_us != 0, now_ms);
}

uint64_t
endpoints_comparable_us(const struct endpoints *e, uint64_t endpoint,
    uint64_t kind, uint64_t took_us)
{
	const struct endpoint *ep = endpoints_find(e, endpoint);
	uint64_t kind_us, all_us;

	if (ep == NULL || ep->service == NULL || !ep->service->reports_pace)
		return took_us;
	kind_us = run_times_mean_us(&ep->service->kinds, kind);
	all_us = run_times_mean_us(&ep->service->kinds, KIND_ALL);
	if (kind_us == 0 || all_us == 0)
		return took_us;
	return (uint64_t)((double)took_us * (double)all_us / (double)kind_us);
}

void
endpoints_leaving(struct endpoints *e, uint64_t endpoint, uint64_t now_ms)
{
	struct endpoint *ep;

	ep = endpoints_find(e, endpoint);
	if (ep != NULL)
		ep->excluded_until_ms = now_ms + e->cfg.drain_hold_ms;
}

void
endpoints_hint(
    struct endpoints *e, uint64_t endpoint, bool healthy, uint64_t now_ms)
{
	struct endpoint *ep;

	ep = endpoints_find(e, endpoint);
	if (ep == NULL || !healthy || ep->results.until_ms == 0)
		return;
	ep->results.until_ms = MIN(ep->results.until_ms, MAX(now_ms, 1));
}

uint32_t
endpoints_in_flight(const struct endpoints *e, uint64_t endpoint)
{
	const struct endpoint *ep;

	ep = endpoints_find(e, endpoint);
	return ep != NULL ? ep->in_flight : 0;
}

/* Value after exponential decay with the given half-life. */
static double
decayed(double value, uint64_t since_ms, uint64_t now_ms, uint32_t half_life_ms)
{
	if (half_life_ms == 0 || now_ms <= since_ms)
		return value;
	return value * exp2(-(double)(now_ms - since_ms) / half_life_ms);
}

void
endpoints_record_delay(struct endpoints *e, uint64_t endpoint, uint64_t took_us,
    uint64_t upstream_us, uint64_t now_ms)
{
	struct endpoint *ep = endpoints_find(e, endpoint);
	uint64_t delay_us;

	if (ep == NULL)
		return;
	if (upstream_us == 0)
		upstream_us = ep->results.took_us;
	delay_us = took_us - MIN(upstream_us, took_us);
	ep->delay_us = (endpoints_delay_us(e, ep, now_ms) + delay_us) / 2;
	ep->delay_updated_ms = now_ms;
}

uint64_t
endpoints_delay_us(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms)
{
	return (uint64_t)decayed((double)ep->delay_us, ep->delay_updated_ms,
	    now_ms, e->cfg.delay_half_life_ms);
}

/* Expected load by other entries on an endpoint without a recent report. */
static double
mean_milli(const struct endpoint *ep, uint64_t now_ms)
{
	const struct mean_load *mean;

	if (ep->service == NULL)
		return 0;
	mean = mean_load_of(ep);
	return decayed(mean->per_slot, mean->reported_ms, now_ms,
		   MEAN_HALF_LIFE_MS) *
	    ep->info.slots;
}

uint64_t
endpoints_load_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms)
{
	double others = decayed((double)ep->others_milli, ep->reported_ms,
	    now_ms, e->cfg.load_half_life_ms);

	return (uint64_t)ep->in_flight * MILLI + (uint64_t)others;
}

uint64_t
endpoints_others_milli(
    const struct endpoint *ep, uint32_t half_life_ms, uint64_t now_ms)
{
	double mean = mean_milli(ep, now_ms);
	double others = mean +
	    decayed((double)ep->others_milli - mean, ep->reported_ms, now_ms,
		half_life_ms);

	return (uint64_t)MAX(others, 0);
}

uint64_t
endpoints_expected_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms)
{
	return (uint64_t)ep->in_flight * MILLI +
	    endpoints_others_milli(ep, e->cfg.load_half_life_ms, now_ms);
}

uint64_t
endpoints_slots_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms)
{
	uint64_t slots, warm_for, percent;

	slots = (uint64_t)ep->info.slots * MILLI;
	if (now_ms >= ep->warm_until_ms || e->cfg.slow_start_ms == 0)
		return slots;
	warm_for = now_ms - MIN(ep->warm_from_ms, now_ms);
	percent = warm_for * PERCENT / (ep->warm_until_ms - ep->warm_from_ms);
	return slots * MAX(percent, ep->warm_percent) / PERCENT;
}
