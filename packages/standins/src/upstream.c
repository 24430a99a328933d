/*
 * The stand-in upstream: start, drain, stop, health and load hints, knobs.
 */
#include <string.h>
#include <time.h>

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "upstream_defs.h"

#define UPSTREAM_KEEP_ALIVE_MS 60000
#define UPSTREAM_KNOBS_MAX_BYTES 65536
#define UPSTREAM_ANNOUNCE_WAIT_MS 3000
/* Calls that the node sent just before it acked draining may still arrive. */
#define UPSTREAM_IDLE_MS 200
#define UPSTREAM_POLL_MS 10

static void
knob_bool(const json_t *j, const char *name, int *knob)
{
	const json_t *v = json_object_get(j, name);

	if (json_is_boolean(v))
		*knob = json_is_true(v);
}

static void
knobs_update(struct upstream_knobs *k, const json_t *j)
{
	const json_t *v;

	knob_bool(j, "shed", &k->shed);
	knob_bool(j, "hang", &k->hang);
	knob_bool(j, "drain", &k->drain);
	knob_bool(j, "pause_lease", &k->pause_lease);
	web_json_u32(j, "work_ms_mean", &k->work_ms_mean);
	web_json_u32(j, "work_ms_exact", &k->work_ms_exact);
	web_json_u32(j, "close_after_run", &k->close_after_run);
	web_json_u32(j, "close_kept_alive", &k->close_kept_alive);
	web_json_u32(j, "limit_per_s", &k->limit_per_s);
	knob_bool(j, "leaving", &k->leaving);
	v = json_object_get(j, "slow_factor");
	if (json_is_number(v))
		k->slow_factor = json_number_value(v);
	v = json_object_get(j, "lie_load");
	if (json_is_integer(v))
		k->lie_load = json_integer_value(v);
	v = json_object_get(j, "lie_health");
	if (json_is_string(v))
		g_strlcpy(
		    k->lie_health, json_string_value(v), sizeof(k->lie_health));
}

/* Announce a state; for draining, record the time after the node's ack, or
 * after the timeout of the wait for it. */
static void
upstream_announce(struct upstream *u, enum announce_state s)
{
	if (u->announcer != NULL)
		(void)announcer_set(u->announcer, s, UPSTREAM_ANNOUNCE_WAIT_MS);
	pthread_mutex_lock(&u->lock);
	u->draining_ms =
	    s == ANNOUNCE_DRAINING ? clock_now_ms() : DEADLINE_NEVER;
	pthread_mutex_unlock(&u->lock);
}

static void
upstream_set_knobs(struct upstream *u, struct mg_connection *conn)
{
	GByteArray *body = g_byte_array_new();
	int drain, paused, was_drain;
	json_t *j = NULL;

	if (web_read_body(conn, UPSTREAM_KNOBS_MAX_BYTES, body) == STATUS_OK)
		j = json_loadb((char *)body->data, body->len, 0, NULL);
	g_byte_array_unref(body);
	if (!json_is_object(j)) {
		json_decref(j);
		web_respond_json(conn, 400, NULL,
		    json_pack("{s:s}", "error", "send a JSON object of knobs"));
		return;
	}
	pthread_mutex_lock(&u->lock);
	was_drain = u->knobs.drain;
	knobs_update(&u->knobs, j);
	u->limit_ms = DEADLINE_NEVER;
	g_array_set_size(u->limited, 0);
	drain = u->knobs.drain;
	paused = u->knobs.pause_lease;
	pthread_mutex_unlock(&u->lock);
	if (u->announcer != NULL)
		announcer_pause(u->announcer, paused);
	if (drain != was_drain)
		upstream_announce(
		    u, drain ? ANNOUNCE_DRAINING : ANNOUNCE_READY);
	json_decref(j);
	web_respond_json(conn, 200, NULL, json_object());
}

static void
upstream_health(struct upstream *u, struct mg_connection *conn)
{
	int ok;

	pthread_mutex_lock(&u->lock);
	ok = upstream_is_serving(u, clock_now_ms());
	if (strcmp(u->knobs.lie_health, "ok") == 0)
		ok = 1;
	else if (strcmp(u->knobs.lie_health, "ill") == 0)
		ok = 0;
	pthread_mutex_unlock(&u->lock);
	web_respond_json(conn, ok ? 200 : 503, NULL,
	    json_pack("{s:s}", "health", ok ? "ok" : "ill"));
}

static void
upstream_load(struct upstream *u, struct mg_connection *conn)
{
	int64_t load;

	pthread_mutex_lock(&u->lock);
	load = u->knobs.lie_load == UPSTREAM_LOAD_ACTUAL ? u->in_flight
							 : u->knobs.lie_load;
	pthread_mutex_unlock(&u->lock);
	web_respond_json(conn, 200, NULL,
	    json_pack("{s:I,s:I}", "in_flight", (json_int_t)load, "slots",
		(json_int_t)u->opt.slots));
}

static void
upstream_runs(struct upstream *u, struct mg_connection *conn)
{
	json_t *j = runs_json(u->runs);
	struct upstream_stats s;

	pthread_mutex_lock(&u->lock);
	s = u->stats;
	pthread_mutex_unlock(&u->lock);
	json_object_set_new(j, "host", json_string(u->opt.host));
	json_object_set_new(j, "service", json_string(u->opt.service));
	json_object_set_new(j, "shed", json_integer((json_int_t)s.shed));
	json_object_set_new(j, "broken", json_integer((json_int_t)s.broken));
	json_object_set_new(
	    j, "unanswered", json_integer((json_int_t)s.unanswered));
	json_object_set_new(
	    j, "abandoned", json_integer((json_int_t)s.abandoned));
	json_object_set_new(
	    j, "after_drain", json_integer((json_int_t)s.after_drain));
	json_object_set_new(j, "after_drain_max_ms",
	    json_integer((json_int_t)s.after_drain_max_ms));
	json_object_set_new(
	    j, "over_limit", json_integer((json_int_t)s.over_limit));
	json_object_set_new(
	    j, "after_leaving", json_integer((json_int_t)s.after_leaving));
	web_respond_json(conn, 200, NULL, j);
}

static void
upstream_handle(struct mg_connection *conn, void *arg)
{
	const char *uri = mg_get_request_info(conn)->local_uri;
	struct upstream *u = arg;

	if (strcmp(uri, "/health") == 0)
		upstream_health(u, conn);
	else if (strcmp(uri, "/load") == 0)
		upstream_load(u, conn);
	else if (strcmp(uri, "/standin/runs") == 0)
		upstream_runs(u, conn);
	else if (strcmp(uri, "/standin/knobs") == 0)
		upstream_set_knobs(u, conn);
	else
		upstream_call(u, conn);
}

/*
 * Announce "starting" and, after the cold start, "ready", unless the upstream
 * stops or drains before then.  "starting" is announced first, so that the node
 * sees the start.
 */
static void *
upstream_announce_start(void *arg)
{
	int ready;
	struct timespec ts;
	struct upstream *u = arg;

	(void)announcer_set(
	    u->announcer, ANNOUNCE_STARTING, UPSTREAM_ANNOUNCE_WAIT_MS);
	ts.tv_sec = (time_t)(u->ready_ms / 1000);
	ts.tv_nsec = (long)(u->ready_ms % 1000) * 1000000L;
	pthread_mutex_lock(&u->lock);
	while (!u->stopping && clock_now_ms() < u->ready_ms)
		(void)pthread_cond_timedwait(&u->changed, &u->lock, &ts);
	ready = !u->stopping && !u->knobs.drain;
	pthread_mutex_unlock(&u->lock);
	if (ready)
		(void)announcer_set(u->announcer, ANNOUNCE_READY, 0);
	return NULL;
}

static void
upstream_init(struct upstream *u, const struct upstream_options *o)
{
	pthread_condattr_t attr;

	u->opt = *o;
	pthread_mutex_init(&u->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&u->changed, &attr);
	pthread_condattr_destroy(&attr);
	u->knobs.slow_factor = 1.0;
	u->knobs.work_ms_mean = o->work_ms_mean;
	u->knobs.lie_load = UPSTREAM_LOAD_ACTUAL;
	u->ready_ms = clock_now_ms() + o->cold_start_ms;
	u->draining_ms = DEADLINE_NEVER;
	u->limit_ms = DEADLINE_NEVER;
	u->leaving_ms = DEADLINE_NEVER;
	u->limited = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

static void
upstream_free(struct upstream *u)
{
	runs_free(u->runs);
	g_array_free(u->limited, TRUE);
	pthread_cond_destroy(&u->changed);
	pthread_mutex_destroy(&u->lock);
	g_free(u);
}

enum status
upstream_start(const struct upstream_options *o, struct upstream **out)
{
	enum status st;
	struct announcer_options ao = {
	    o->node, o->address, o->service, o->port, o->slots, o->lease_ms};
	struct upstream *u = g_new0(struct upstream, 1);
	struct web_options wo = {o->address, o->port, o->threads,
	    UPSTREAM_KEEP_ALIVE_MS, upstream_handle, u};

	upstream_init(u, o);
	st = runs_new(o->host, o->journal, &u->runs);
	if (st == STATUS_OK)
		st = web_start(&wo, &u->web);
	if (st != STATUS_OK) {
		upstream_free(u);
		return st;
	}
	if (o->node != NULL) {
		u->announcer = announcer_start(&ao);
		pthread_create(&u->starter, NULL, upstream_announce_start, u);
	}
	*out = u;
	return STATUS_OK;
}

static uint32_t
upstream_in_flight(struct upstream *u)
{
	uint32_t n;

	pthread_mutex_lock(&u->lock);
	n = u->in_flight;
	pthread_mutex_unlock(&u->lock);
	return n;
}

enum status
upstream_drain(struct upstream *u, uint32_t wait_ms)
{
	uint64_t now_ms, idle_deadline_ms, deadline_ms;

	pthread_mutex_lock(&u->lock);
	u->knobs.drain = 1;
	pthread_mutex_unlock(&u->lock);
	upstream_announce(u, ANNOUNCE_DRAINING);
	now_ms = clock_now_ms();
	deadline_ms = now_ms + wait_ms;
	idle_deadline_ms = now_ms + UPSTREAM_IDLE_MS;
	while (now_ms < idle_deadline_ms && now_ms < deadline_ms) {
		g_usleep(UPSTREAM_POLL_MS * 1000UL);
		now_ms = clock_now_ms();
		if (upstream_in_flight(u) > 0)
			idle_deadline_ms = now_ms + UPSTREAM_IDLE_MS;
	}
	if (now_ms < idle_deadline_ms)
		return status_set(STATUS_TIMEOUT,
		    "calls were still running at the end of the drain time; "
		    "increase --drain-ms.");
	return STATUS_OK;
}

void
upstream_stop(struct upstream *u)
{
	if (u == NULL)
		return;
	pthread_mutex_lock(&u->lock);
	u->stopping = 1;
	pthread_cond_broadcast(&u->changed);
	pthread_mutex_unlock(&u->lock);
	if (u->announcer != NULL) {
		pthread_join(u->starter, NULL);
		announcer_withdraw(u->announcer);
	}
	web_stop(u->web);
	upstream_free(u);
}
