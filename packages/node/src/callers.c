/*
 * Start, drain and stop of the HTTP server for callers.
 */
#include "base/clock.h"

#define LOG_PART "callers"
#include "base/log.h"

#include "call_metrics.h"
#include "callers_priv.h"

/* Time for connections in the accept queue to be accepted. */
#define ACCEPT_SETTLE_MS 50
#define POLL_US 2000
#define REFRESH_MS 2
#define UNREAD_LINES_PER_S 10

static void
on_refresh(void *arg)
{
	struct callers *c = arg;

	atomic_store(&c->connections, http_server_conns(c->server));
	loop_timer_set(&c->refresh_timer, loop_now_ms(c->loop) + REFRESH_MS);
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
	c->unread_log_limit.per_s = UNREAD_LINES_PER_S;
	c->unread_log_limit.burst = UNREAD_LINES_PER_S;
	c->room_log_limit = c->unread_log_limit;
	c->evicted_log_limit = c->unread_log_limit;
	loop_timer_init(&c->refresh_timer, loop, on_refresh, c);
	entry_watch_snapshot(e, callers_on_snapshot, c);
	return c;
}

enum status
callers_start(struct callers *c)
{
	const struct settings *s = c->settings;
	struct net_addr at = {s->address, s->caller_port};
	struct http_server_limits limits;
	char *full_answer;
	enum status st;

	callers_limits(s, &limits);
	st = http_server_new(
	    c->loop, at, &limits, &callers_handler, c, &c->server);
	if (st != STATUS_OK)
		return status_set(STATUS_IO,
		    "can't listen on caller_port %u; choose a free port.",
		    s->caller_port);
	c->port = http_server_addr(c->server).port;
	full_answer = callers_answer_full(c->dialect);
	http_server_set_full_answer(c->server, full_answer);
	g_free(full_answer);
	if (s->keep_alive_ms == 0)
		http_server_close_idle(c->server, false);
	return STATUS_OK;
}

uint64_t
callers_closed_since_ms(void *callers)
{
	struct callers *c = callers;

	return c->server != NULL ? http_server_closed_since_ms(c->server) : 0;
}

uint16_t
callers_port(const struct callers *c)
{
	return c->port;
}

static void
drain_on_loop(void *arg)
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
	loop_post(c->loop, drain_on_loop, c);
	entry_drain(c->entry, deadline_ms);
}

uint32_t
callers_in_flight(const struct callers *c)
{
	return c->in_flight;
}

static void
refuse_on_loop(void *arg)
{
	struct callers *c = arg;

	http_server_drop_new_conns(c->server);
	on_refresh(c);
}

static void
unlisten_on_loop(void *arg)
{
	struct callers *c = arg;

	http_server_unlisten(c->server);
}

static void
close_idle_on_loop(void *arg)
{
	struct callers *c = arg;

	http_server_close_idle(c->server, true);
	on_refresh(c);
	atomic_store(&c->stopping, true);
}

/*
 * During a drain each answer closes its connection, so that connections end
 * without a request being dropped: requests received until then are answered.
 */
static void
wait_for_connections(struct callers *c)
{
	loop_post(c->loop, refuse_on_loop, c);
	g_usleep((gulong)ACCEPT_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
	loop_post(c->loop, close_idle_on_loop, c);
	while (clock_now_ms() < c->deadline_ms &&
	    (!c->stopping || c->connections > 0))
		g_usleep(POLL_US);
	loop_post(c->loop, unlisten_on_loop, c);
}

void
callers_stop(struct callers *c)
{
	if (c->server != NULL && c->draining && !c->stopping)
		wait_for_connections(c);
}

void
callers_free(struct callers *c)
{
	if (c == NULL)
		return;
	loop_timer_stop(&c->refresh_timer);
	http_server_free(c->server);
	g_free(c);
}
