/*
 * Outlier ejection.
 *
 * usable -> ejected, when results are bad and the limit on ejections allows
 * it; ejected -> probing, when the ejection is over and a request is sent as a
 * probe; probing -> usable when the probe is answered in time, else ejected
 * again for longer.
 */
#include "traffic/ejection.h"

#include <stdlib.h>
#include <string.h>

#include "endpoints_defs.h"

#define PERCENT 100
/* Interval at which the counts of recent results are halved. */
#define DECAY_MS 2000
#define DECAYS_MAX 31
/* A new time has a weight of 1/2^AVERAGE_SHIFT in the moving average. */
#define AVERAGE_SHIFT 4
/* Number of results between two checks for slowness. */
#define SLOW_CHECK_INTERVAL 16
#define DOUBLINGS_MAX 16

/**
 * struct ejection - see traffic/ejection.h
 * @cfg: settings
 * @endpoints: table of endpoints
 * @times: buffer for the computation of a median
 */
struct ejection {
	struct ejection_config cfg;
	struct endpoints *endpoints;
	GArray *times;
};

void
ejection_config_default(struct ejection_config *cfg)
{
	cfg->failures = 3;
	cfg->failure_percent = 50;
	cfg->slow_factor = 4;
	cfg->slow_min_us = 5000;
	cfg->min_requests = 16;
	cfg->base_ms = 1000;
	cfg->cap_ms = 30000;
	cfg->max_percent = 50;
}

struct ejection *
ejection_new(const struct ejection_config *cfg, struct endpoints *endpoints)
{
	struct ejection *j;

	j = g_new0(struct ejection, 1);
	j->cfg = *cfg;
	j->endpoints = endpoints;
	j->times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	endpoints->ejection = j;
	return j;
}

void
ejection_free(struct ejection *j)
{
	if (j == NULL)
		return;
	j->endpoints->ejection = NULL;
	g_array_free(j->times, TRUE);
	g_free(j);
}

void
ejection_reset(struct endpoint *ep)
{
	if (ep->results.until_ms != 0 && ep->service != NULL)
		ep->service->ejected--;
	memset(&ep->results, 0, sizeof(ep->results));
}

static void
decay(struct ejection_record *r, uint64_t now_ms)
{
	uint64_t halvings;

	halvings = (now_ms - MIN(r->halved_ms, now_ms)) / DECAY_MS;
	if (halvings == 0)
		return;
	halvings = MIN(halvings, DECAYS_MAX);
	r->successes >>= halvings;
	r->failures >>= halvings;
	r->halved_ms = now_ms;
}

static bool
may_eject(const struct ejection *j, const struct service *s)
{
	size_t most;

	most = s->listed->len * j->cfg.max_percent / PERCENT;
	return s->ejected < most;
}

static void
start_ejection(struct ejection *j, struct endpoint *ep, uint64_t now_ms)
{
	struct ejection_record *r = &ep->results;
	uint64_t time_ms;

	time_ms = (uint64_t)j->cfg.base_ms << MIN(r->ejections, DOUBLINGS_MAX);
	time_ms = MIN(time_ms, j->cfg.cap_ms);
	r->ejections++;
	r->until_ms = now_ms + time_ms;
	r->probing = false;
	r->consecutive = 0;
	r->successes = 0;
	r->failures = 0;
	r->samples = 0;
}

static void
eject(struct ejection *j, struct endpoint *ep, uint64_t now_ms)
{
	if (!may_eject(j, ep->service))
		return;
	ep->service->ejected++;
	start_ejection(j, ep, now_ms);
}

static void
reinstate(const struct ejection *j, struct endpoint *ep, uint64_t now_ms)
{
	ep->service->ejected--;
	ep->results.until_ms = 0;
	ep->results.probing = false;
	endpoints_begin_slow_start(j->endpoints, ep, now_ms);
}

static int
compare_times(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Median time of the service's other endpoints; 0 when none has enough
 * results.
 */
static uint64_t
siblings_median(struct ejection *j, const struct endpoint *ep)
{
	const struct endpoint *other;
	guint i;

	g_array_set_size(j->times, 0);
	for (i = 0; i < ep->service->listed->len; i++) {
		other = g_ptr_array_index(ep->service->listed, i);
		if (other == ep || other->results.samples < j->cfg.min_requests)
			continue;
		g_array_append_val(j->times, other->results.took_us);
	}
	if (j->times->len == 0)
		return 0;
	qsort(j->times->data, j->times->len, sizeof(uint64_t), compare_times);
	return g_array_index(j->times, uint64_t, j->times->len / 2);
}

static bool
is_slow(struct ejection *j, const struct endpoint *ep, uint64_t took_us)
{
	uint64_t median;

	if (j->cfg.slow_factor == 0 || took_us < j->cfg.slow_min_us)
		return false;
	median = siblings_median(j, ep);
	return median > 0 && took_us > median * j->cfg.slow_factor;
}

static void
record_time(struct ejection_record *r, uint64_t took_us)
{
	if (r->samples == 0)
		r->took_us = took_us;
	else
		r->took_us +=
		    (took_us >> AVERAGE_SHIFT) - (r->took_us >> AVERAGE_SHIFT);
	r->samples++;
}

static void
record_success(
    struct ejection *j, struct endpoint *ep, uint64_t took_us, uint64_t now_ms)
{
	struct ejection_record *r = &ep->results;

	r->consecutive = 0;
	r->successes++;
	record_time(r, took_us);
	if (r->samples < j->cfg.min_requests ||
	    r->samples % SLOW_CHECK_INTERVAL != 0)
		return;
	if (is_slow(j, ep, r->took_us))
		eject(j, ep, now_ms);
	else if (r->ejections > 0 && r->samples > SLOW_CHECK_INTERVAL)
		r->ejections--;
}

static void
record_failure(struct ejection *j, struct endpoint *ep, uint64_t now_ms)
{
	struct ejection_record *r = &ep->results;
	uint32_t all;

	r->consecutive++;
	r->failures++;
	all = r->successes + r->failures;
	if (r->consecutive >= j->cfg.failures ||
	    (all >= j->cfg.min_requests &&
		r->failures * PERCENT > all * j->cfg.failure_percent))
		eject(j, ep, now_ms);
}

/*
 * Only the probe is evaluated: requests sent before the ejection carry no new
 * information.
 */
static void
record_probe(struct ejection *j, struct endpoint *ep, bool good,
    uint64_t took_us, uint64_t now_ms)
{
	if (!ep->results.probing)
		return;
	if (good && !is_slow(j, ep, took_us))
		reinstate(j, ep, now_ms);
	else
		start_ejection(j, ep, now_ms);
}

void
ejection_add_result(struct ejection *j, struct endpoint *ep,
    enum endpoint_result result, uint64_t took_us, uint64_t now_ms)
{
	bool good;

	decay(&ep->results, now_ms);
	switch (result) {
	case ENDPOINT_OK:
		good = true;
		break;
	case ENDPOINT_FAILED:
	case ENDPOINT_SILENT:
	case ENDPOINT_UNREACHABLE:
		good = false;
		break;
	default:
		ep->results.probing = false;
		return;
	}
	if (ep->results.until_ms != 0)
		record_probe(j, ep, good, took_us, now_ms);
	else if (good)
		record_success(j, ep, took_us, now_ms);
	else
		record_failure(j, ep, now_ms);
}

enum ejection_verdict
ejection_verdict_for(const struct ejection *j, const struct endpoint *ep,
    bool idempotent, uint64_t now_ms)
{
	const struct ejection_record *r = &ep->results;
	uint64_t probe_ms;

	if (r->until_ms == 0)
		return EJECTION_USABLE;
	/*
	 * A non-idempotent request probes an endpoint only if no idempotent
	 * request has done so for base_ms.
	 */
	probe_ms = r->until_ms + (idempotent ? 0 : j->cfg.base_ms);
	if (now_ms < probe_ms || r->probing)
		return EJECTION_EJECTED;
	return EJECTION_PROBE;
}

void
ejection_begin_probe(struct ejection *j, struct endpoint *ep)
{
	(void)j;
	ep->results.probing = true;
}

enum ejection_verdict
ejection_verdict(const struct ejection *j, uint64_t endpoint, uint64_t now_ms)
{
	const struct endpoint *ep;

	ep = endpoints_find(j->endpoints, endpoint);
	if (ep == NULL)
		return EJECTION_EJECTED;
	return ejection_verdict_for(j, ep, true, now_ms);
}

size_t
ejection_count(const struct ejection *j, uint64_t service, uint64_t now_ms)
{
	const struct service *s;

	(void)now_ms;
	s = endpoints_service(j->endpoints, service);
	return s != NULL ? s->ejected : 0;
}
