/*
 * Detection of upstream crashes after lost connections.
 */
#include <string.h>

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"

/* A port of this host accepts or refuses a connection immediately. */
#define PROBE_TIMEOUT_MS 200
/* The guard detects the connections that a process closes on exit one after
 * the other.  This time covers the first to the last, even on a slow host. */
#define SETTLE_TIMEOUT_MS 100
/* Interval of the check whether all requests at the upstream have ended. */
#define SETTLE_POLL_MS 5

static void
reset(struct guard_crash *c)
{
	loop_timer_stop(&c->timer);
	if (c->probe != NULL)
		conn_close(c->probe);
	c->probe = NULL;
	c->port_refused = false;
	c->n_lost = 0;
	c->left_out = 0;
}

static void
log_crash(const struct guard_upstream *u)
{
	char text[FINGERPRINT_TEXT_BYTES];
	GString *requests = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < u->crash.n_lost; i++)
		g_string_append_printf(requests, "%s%s", i > 0 ? "," : "",
		    fingerprint_text(&u->crash.lost[i], text));
	log_warning("upstream crashed service=%s instance=%s ran=%u "
		    "left_out=%u requests=%s",
	    u->info.service, u->info.instance,
	    u->crash.n_lost + u->crash.left_out, u->crash.left_out,
	    requests->str);
	g_string_free(requests, TRUE);
}

static void
report_crash(struct guard_upstream *u)
{
	metric_add(&metric_crashes, 1);
	log_crash(u);
	guard_quarantine_crashed(u, u->crash.lost, u->crash.n_lost);
	reset(&u->crash);
}

static void
report_alive(struct guard_upstream *u, const char *reason)
{
	log_info("upstream service=%s instance=%s lost %u requests and has not "
		 "ended: %s",
	    u->info.service, u->info.instance,
	    u->crash.n_lost + u->crash.left_out, reason);
	reset(&u->crash);
}

/* Reports the crash once all requests at the upstream have ended, or at
 * settle_deadline_ms; otherwise checks again later. */
static void
check_settled(struct guard_upstream *u)
{
	uint64_t now_ms = loop_now_ms(u->guard->loop);
	struct rec_load load;

	guard_upstream_load(u, 0, &load);
	if (load.in_flight == 0 || now_ms >= u->crash.settle_deadline_ms)
		report_crash(u);
	else
		loop_timer_set(&u->crash.timer, now_ms + SETTLE_POLL_MS);
}

static void
on_timer(void *arg)
{
	struct guard_upstream *u = arg;

	if (!u->crash.port_refused)
		report_alive(
		    u, "its port neither accepts nor refuses connections");
	else
		check_settled(u);
}

static void
on_open(struct conn *c, void *arg)
{
	(void)c;
	report_alive(arg, "its port accepts connections");
}

static void
on_closed(struct conn *c, enum status st, void *arg)
{
	struct guard_upstream *u = arg;

	(void)c;
	u->crash.probe = NULL;
	u->crash.port_refused = st == STATUS_UNAVAILABLE;
	if (!u->crash.port_refused) {
		report_alive(u, status_message());
		return;
	}
	u->crash.settle_deadline_ms =
	    loop_now_ms(u->guard->loop) + SETTLE_TIMEOUT_MS;
	check_settled(u);
}

static const struct conn_handler probe_handler = {
    .on_open = on_open,
    .on_closed = on_closed,
};

static void
probe(struct guard_upstream *u)
{
	struct net_addr at = {u->guard->settings->address, u->info.port};
	uint64_t now_ms = loop_now_ms(u->guard->loop);
	static const struct conn_options options = {
	    .use = DESCRIPTORS_UPSTREAMS};

	u->crash.probe = conn_dial(u->guard->loop, at,
	    now_ms + PROBE_TIMEOUT_MS, &options, &probe_handler, u);
	loop_timer_set(
	    &u->crash.timer, now_ms + PROBE_TIMEOUT_MS + SETTLE_TIMEOUT_MS);
}

static void
add_lost_request(struct guard_crash *c, const struct fingerprint *print)
{
	uint32_t i;

	for (i = 0; i < c->n_lost; i++)
		if (fingerprint_equal(&c->lost[i], print))
			return;
	if (c->n_lost == CRASH_RUNS_MAX)
		c->left_out++;
	else
		c->lost[c->n_lost++] = *print;
}

void
guard_crash_connection_lost(struct guard_request *r)
{
	struct guard_upstream *u = r->upstream;

	if (u->info.state != SERVING_READY)
		return;
	add_lost_request(&u->crash, &r->fingerprint);
	guard_quarantine_describe(r);
	if (u->crash.probe == NULL && !u->crash.port_refused)
		probe(u);
}

void
guard_crash_init(struct guard_upstream *u)
{
	loop_timer_init(&u->crash.timer, u->guard->loop, on_timer, u);
}

void
guard_crash_clear(struct guard_upstream *u)
{
	reset(&u->crash);
}
