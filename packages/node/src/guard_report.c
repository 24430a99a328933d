/*
 * Reports of upstreams in their answers.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"

/* An upstream may name another limit in each answer. */
#define LINES_PER_S 1

#define MILLI 1000

/* Number of run times that the mean of a kind covers. */
#define RUN_TIMES_WEIGHT 16

static struct upstream_limit *
limit_of(struct guard_upstream *u)
{
	return admission_upstream_limit(u->admission);
}

/* Applies a change of the gauges' sums over this host's upstreams. */
static void
count_limit(uint64_t before, uint64_t after)
{
	metric_add(&metric_upstream_limit, (int64_t)after - (int64_t)before);
}

static void
clear(struct guard_upstream *u)
{
	count_limit(limit_of(u)->milli_per_s, UPSTREAM_LIMIT_NONE);
	upstream_limit_init(limit_of(u));
	if (u->report.leaving)
		metric_add(&metric_upstreams_leaving, -1);
	u->report.leaving = false;
	u->report.answered = false;
	u->report.invalid_logged = false;
	memset(&u->report.status, 0, sizeof(u->report.status));
	memset(&u->report.run_times, 0, sizeof(u->report.run_times));
	u->report.run++;
}

void
guard_report_init(struct guard_upstream *u)
{
	u->report.instance = "";
	u->report.log_limit.per_s = LINES_PER_S;
	u->report.log_limit.burst = LINES_PER_S;
	u->report.status_log_limit = u->report.log_limit;
}

/* Without a name, only a new port or a start shows that a run is another one.
 */
static bool
is_same_run(const struct guard_report *p, const struct guard_endpoint *info)
{
	if (info->instance[0] != '\0')
		return strcmp(p->instance, info->instance) == 0 &&
		    p->started_ms == info->started_ms;
	return p->port == info->port && info->state != SERVING_STARTING;
}

static uint64_t
run_id(const struct guard_endpoint *info)
{
	if (info->instance[0] == '\0')
		return 0;
	return MAX(
	    hash64(info->instance, strlen(info->instance), info->started_ms),
	    1);
}

void
guard_report_set_run(
    struct guard_upstream *u, const struct guard_endpoint *info)
{
	struct guard_report *p = &u->report;

	if (is_same_run(p, info))
		return;
	clear(u);
	p->instance = info->instance;
	p->started_ms = info->started_ms;
	p->port = info->port;
	p->run_id = run_id(info);
}

void
guard_report_absent(struct guard_upstream *u)
{
	if (u->report.instance[0] == '\0')
		clear(u);
}

/* Return: the name in @names that the header has, or NULL. */
static const char *
name_of(const struct http_header *h, const char *const *names)
{
	for (; names != NULL && *names != NULL; names++)
		if (g_ascii_strcasecmp(h->name, *names) == 0)
			return *names;
	return NULL;
}

static void
log_invalid(struct guard_upstream *u, const char *value)
{
	if (u->report.invalid_logged)
		return;
	u->report.invalid_logged = true;
	log_warning("upstream service=%s instance=%s names a limit that is no "
		    "decimal number and is ignored: \"%.40s\"",
	    u->info.service, u->report.instance, value);
}

/*
 * Lowest limit that an answer names.
 *
 * Return: whether the answer has the header; *@milli_per_s is
 * UPSTREAM_LIMIT_NONE if no value is valid.
 */
static bool
find_limit(struct guard_upstream *u, const struct http_header *headers,
    uint32_t n, uint64_t *milli_per_s)
{
	uint64_t value, lowest = UINT64_MAX;
	const char *name;
	bool found = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		name = name_of(&headers[i], u->guard->dialect->limits);
		if (name == NULL)
			continue;
		found = true;
		u->report.limit_header = name;
		if (upstream_limit_parse(headers[i].value, &value))
			lowest = MIN(lowest, value);
		else
			log_invalid(u, headers[i].value);
	}
	*milli_per_s = lowest == UINT64_MAX ? UPSTREAM_LIMIT_NONE : lowest;
	return found;
}

static void
ignore_status(struct guard_upstream *u, const char *text, enum status_flaw flaw)
{
	struct log_limit *limit = &u->report.status_log_limit;
	uint32_t left_out = limit->left_out;

	call_metrics_status_ignored(flaw);
	if (!log_limit_take(limit, loop_now_ms(u->guard->loop)))
		return;
	log_warning("upstream service=%s instance=%s reports a load that is "
		    "not used: flaw=%s running_here=%u text=\"%.40s\" "
		    "left_out=%u",
	    u->info.service, u->report.instance, status_flaw_name(flaw),
	    admission_accepted(u->admission, loop_now_ms(u->guard->loop)), text,
	    left_out);
}

static void
use_status(struct guard_request *r, const char *text)
{
	struct guard_upstream *u = r->upstream;
	uint64_t now_ms = loop_now_ms(u->guard->loop);
	const struct upstream_view view = {
	    .running = admission_accepted(u->admission, now_ms),
	    .slots = u->info.slots,
	    .refused = r->shed};
	enum status_flaw flaw = STATUS_FLAW_TEXT;
	struct upstream_status s;

	if (u->guard->dialect->parse_load(text, &s))
		flaw = upstream_status_check(&s, &view);
	if (flaw != STATUS_FLAW_NONE) {
		ignore_status(u, text, flaw);
		return;
	}
	u->report.status = s;
	u->report.status.at_ms = MAX(now_ms, 1);
}

static void
read_status(
    struct guard_request *r, const struct http_header *headers, uint32_t n)
{
	const char *name = r->guard->dialect->load;
	uint32_t i;

	for (i = 0; name != NULL && i < n; i++) {
		if (g_ascii_strcasecmp(headers[i].name, name) != 0)
			continue;
		use_status(r, headers[i].value);
		return;
	}
}

void
guard_report_ran(struct guard_request *r, uint64_t run_us)
{
	struct guard_report *p = &r->upstream->report;

	if (r->run == p->run)
		run_times_record(&p->run_times, r->route, run_us,
		    RUN_TIMES_WEIGHT, loop_now_ms(r->guard->loop));
}

void
guard_report_load(
    const struct guard_upstream *u, uint64_t route, struct rec_load *load)
{
	const struct upstream_status *s = &u->report.status;

	load->kind_us = run_times_mean_us(&u->report.run_times, route);
	if (!upstream_status_is_recent(s, loop_now_ms(u->guard->loop)))
		return;
	load->pace_percent = s->pace_percent;
	load->waiting = s->waiting;
}

static bool
reports_leaving(const struct guard_upstream *u,
    const struct http_header *headers, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (name_of(&headers[i], u->guard->dialect->leaving) != NULL)
			return true;
	return false;
}

static void
log_change(struct guard_upstream *u, uint64_t before)
{
	uint64_t now = limit_of(u)->milli_per_s;
	struct log_limit *limit = &u->report.log_limit;
	uint32_t left_out = limit->left_out;

	if (!log_limit_take(limit, loop_now_ms(u->guard->loop)))
		return;
	log_info("upstream service=%s instance=%s limit=%" G_GUINT64_FORMAT
		 ".%03u requests a second, was %" G_GUINT64_FORMAT
		 ".%03u, 0 for none; header=%s left_out=%u",
	    u->info.service, u->report.instance, now / MILLI,
	    (unsigned)(now % MILLI), before / MILLI, (unsigned)(before % MILLI),
	    u->report.limit_header != NULL ? u->report.limit_header : "none",
	    left_out);
}

static void
apply_change(struct guard_upstream *u, uint64_t before)
{
	count_limit(before, limit_of(u)->milli_per_s);
	log_change(u, before);
	guard_upstream_run_queue(u);
}

static void
read_limit(struct guard_request *r, bool ran, const struct http_header *headers,
    uint32_t n)
{
	struct guard_upstream *u = r->upstream;
	struct upstream_limit *l = limit_of(u);
	uint64_t before = l->milli_per_s, milli_per_s;
	enum limit_change change = LIMIT_UNCHANGED;

	u->report.answered |= ran;
	if (!find_limit(u, headers, n, &milli_per_s)) {
		if (ran)
			change = upstream_limit_omit(l, r->started_us / MILLI);
	} else if (milli_per_s != UPSTREAM_LIMIT_NONE) {
		change =
		    upstream_limit_name(l, milli_per_s, clock_now_us() / MILLI);
	}
	if (change != LIMIT_UNCHANGED)
		apply_change(u, before);
}

static void
set_leaving(struct guard_upstream *u)
{
	if (u->report.leaving)
		return;
	u->report.leaving = true;
	metric_add(&metric_upstreams_leaving, 1);
	log_info("upstream service=%s instance=%s reports in an answer that it "
		 "leaves",
	    u->info.service, u->report.instance);
	admission_drain(u->admission);
	guard_upstream_run_queue(u);
	if (u->guard->leaving != NULL)
		u->guard->leaving(u->info.service, u->info.port,
		    u->report.instance, u->report.started_ms,
		    u->guard->leaving_arg);
}

void
guard_set_leaving(struct guard *g, guard_leaving_fn *leaving, void *arg)
{
	g->leaving = leaving;
	g->leaving_arg = arg;
}

void
guard_report_read(struct guard_request *r, bool ran,
    const struct http_header *headers, uint32_t n)
{
	if (r->run != r->upstream->report.run)
		return;
	read_limit(r, ran, headers, n);
	read_status(r, headers, n);
	if (reports_leaving(r->upstream, headers, n))
		set_leaving(r->upstream);
}

void
guard_report_known(struct guard_upstream *u, const struct msg_call_open *m)
{
	struct upstream_limit *l = limit_of(u);
	uint64_t before = l->milli_per_s;

	if (m->known_run == 0 || m->known_run != u->report.run_id)
		return;
	if (m->known_leaving)
		set_leaving(u);
	if (u->report.answered || m->known_limit_milli_per_s == 0 ||
	    before != UPSTREAM_LIMIT_NONE)
		return;
	(void)upstream_limit_name(
	    l, m->known_limit_milli_per_s, clock_now_us() / MILLI);
	apply_change(u, before);
}
