/*
 * The HTTP server for callers, its start, drain and stop.
 */
#include "base/clock.h"

#define LOG_PART "callers"
#include "base/log.h"

#include "call_metrics.h"
#include "callers_priv.h"

/* Time in which connections that are being made get through. */
#define SETTLE_MS 50
#define POLL_US 2000
#define TICK_MS 2

static void
on_tick(void *arg)
{
	struct callers *c = arg;

	atomic_store(&c->connections, http_server_conns(c->server));
	loop_timer_set(&c->tick, loop_now_ms(c->loop) + TICK_MS);
}

struct callers *
callers_new(const struct settings *s, const struct call_dialect *dialect,
    struct entry *e, struct loop *loop)
{
	struct callers *c = g_new0(struct callers, 1);

	call_metrics_register();
	c->settings = s;
	c->dialect = dialect;
	c->entry = e;
	c->loop = loop;
	loop_timer_init(&c->tick, loop, on_tick, c);
	entry_watch_snapshot(e, callers_on_snapshot, c);
	return c;
}

enum status
callers_start(struct callers *c)
{
	const struct settings *s = c->settings;
	struct net_addr at = {s->address, s->caller_port};
	struct http_server_limits limits;
	enum status st;

	callers_limits(s, &limits);
	st = http_server_new(
	    c->loop, at, &limits, &callers_handler, c, &c->server);
	if (st != STATUS_OK)
		return status_set(STATUS_IO,
		    "can't listen on caller_port %u; choose a free port.",
		    s->caller_port);
	c->port = http_server_addr(c->server).port;
	if (s->keep_alive_ms == 0)
		http_server_close_idle(c->server, false);
	return STATUS_OK;
}

uint16_t
callers_port(const struct callers *c)
{
	return c->port;
}

static void
do_drain(void *arg)
{
	struct callers *c = arg;

	http_server_close_idle(c->server, false);
	log_info("draining, %u calls in flight", callers_in_flight(c));
}

void
callers_drain(struct callers *c, uint64_t deadline_ms)
{
	c->deadline_ms = deadline_ms;
	c->draining = true;
	loop_post(c->loop, do_drain, c);
	entry_drain(c->entry, deadline_ms);
}

uint32_t
callers_in_flight(const struct callers *c)
{
	return c->in_flight;
}

static void
do_refuse(void *arg)
{
	struct callers *c = arg;

	http_server_drop_new_conns(c->server);
	on_tick(c);
}

static void
do_unlisten(void *arg)
{
	struct callers *c = arg;

	http_server_unlisten(c->server);
}

static void
do_close_idle(void *arg)
{
	struct callers *c = arg;

	http_server_close_idle(c->server, true);
	on_tick(c);
	atomic_store(&c->stopping, true);
}

/*
 * After a drain the open connections end by themselves: each answer closes
 * its connection.  What a caller has sent by then is answered.
 */
static void
let_connections_end(struct callers *c)
{
	loop_post(c->loop, do_refuse, c);
	g_usleep((gulong)SETTLE_MS * G_TIME_SPAN_MILLISECOND);
	loop_post(c->loop, do_close_idle, c);
	while (clock_now_ms() < c->deadline_ms &&
	    (!c->stopping || c->connections > 0))
		g_usleep(POLL_US);
	loop_post(c->loop, do_unlisten, c);
}

void
callers_stop(struct callers *c)
{
	if (c->server != NULL && c->draining && !c->stopping)
		let_connections_end(c);
}

void
callers_free(struct callers *c)
{
	if (c == NULL)
		return;
	loop_timer_stop(&c->tick);
	http_server_free(c->server);
	g_free(c);
}
