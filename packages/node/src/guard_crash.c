/*
 * Has an upstream ended, or only some connections to it?
 */
#include <string.h>

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"

/* A port of the own host answers at once, with a connection or a refusal. */
#define PROBE_MS 200
/* Connections that end with a process are seen one after the other; so long
 * after the first its guard has seen the last, also on a slow host. */
#define SETTLE_MS 100
/* How often it is checked whether all have ended. */
#define STEP_MS 5

static void
forget(struct guard_crash *c)
{
	loop_timer_stop(&c->timer);
	if (c->probe != NULL)
		conn_close(c->probe);
	c->probe = NULL;
	c->refused = false;
	c->n_runs = 0;
	c->left_out = 0;
}

static void
log_crash(const struct guard_upstream *u)
{
	char text[FINGERPRINT_TEXT_BYTES];
	GString *runs = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < u->crash.n_runs; i++)
		g_string_append_printf(runs, "%s%s", i > 0 ? "," : "",
		    fingerprint_text(&u->crash.runs[i], text));
	log_warning("upstream crashed service=%s instance=%s ran=%u "
		    "left_out=%u requests=%s",
	    u->info.service, u->info.instance,
	    u->crash.n_runs + u->crash.left_out, u->crash.left_out, runs->str);
	g_string_free(runs, TRUE);
}

static void
crashed(struct guard_upstream *u)
{
	metric_add(&metric_crashes, 1);
	log_crash(u);
	guard_quarantine_crashed(u, u->crash.runs, u->crash.n_runs);
	forget(&u->crash);
}

static void
lives(struct guard_upstream *u, const char *why)
{
	log_info("upstream service=%s instance=%s lost %u requests and has not "
		 "ended: %s",
	    u->info.service, u->info.instance,
	    u->crash.n_runs + u->crash.left_out, why);
	forget(&u->crash);
}

/* A crash is reported once all requests there have ended. */
static void
settle(struct guard_upstream *u)
{
	uint64_t now_ms = loop_now_ms(u->guard->loop);
	struct rec_load load;

	guard_upstream_load(u, &load);
	if (load.in_flight == 0 || now_ms >= u->crash.settled_ms)
		crashed(u);
	else
		loop_timer_set(&u->crash.timer, now_ms + STEP_MS);
}

static void
on_timer(void *arg)
{
	struct guard_upstream *u = arg;

	if (!u->crash.refused)
		lives(u, "it neither takes nor refuses connections");
	else
		settle(u);
}

static void
on_open(struct conn *c, void *arg)
{
	(void)c;
	lives(arg, "it takes connections");
}

static void
on_closed(struct conn *c, enum status st, void *arg)
{
	struct guard_upstream *u = arg;

	(void)c;
	u->crash.probe = NULL;
	u->crash.refused = st == STATUS_UNAVAILABLE;
	if (!u->crash.refused) {
		lives(u, status_message());
		return;
	}
	u->crash.settled_ms = loop_now_ms(u->guard->loop) + SETTLE_MS;
	settle(u);
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

	u->crash.probe = conn_dial(
	    u->guard->loop, at, now_ms + PROBE_MS, NULL, &probe_handler, u);
	loop_timer_set(&u->crash.timer, now_ms + PROBE_MS + SETTLE_MS);
}

static void
add_run(struct guard_crash *c, const struct fingerprint *print)
{
	uint32_t i;

	for (i = 0; i < c->n_runs; i++)
		if (fingerprint_equal(&c->runs[i], print))
			return;
	if (c->n_runs == CRASH_RUNS_MAX)
		c->left_out++;
	else
		c->runs[c->n_runs++] = *print;
}

void
guard_crash_suspect(struct guard_request *r)
{
	struct guard_upstream *u = r->upstream;

	if (u->info.state != SERVING_READY)
		return;
	add_run(&u->crash, &r->print);
	guard_quarantine_describe(r);
	if (u->crash.probe == NULL && !u->crash.refused)
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
	forget(&u->crash);
}
