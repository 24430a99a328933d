/*
 * Call handling of the stand-in upstream: acquire a slot, read the body, record
 * the run, work, respond.
 */
#include <math.h>
#include <string.h>
#include <unistd.h>

#include <civetweb.h>
#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "standins/pattern.h"
#include "standins/reply.h"
#include "upstream_defs.h"

#define CALL_CHUNK_BYTES 65536
#define CALL_POLL_MS 10
#define CALL_COLD_EXTRA_FACTOR 3.0
#define CALL_WORK_MAX_MEANS 10.0
/* Exit code after a call with ?crash=1. */
#define CALL_CRASH_EXIT_CODE 70
/* The bound of a limit: window, excess, and time for its first answer. */
#define LIMIT_WINDOW_MS 4000
#define LIMIT_EXCESS 5
#define LIMIT_LEARN_MS 500
/* Time from the first answer that reports leaving until no call may come. */
#define LEAVING_LEARN_MS 2000
#define CALL_FATE_NOT_RUN "Bramley-Fate: not_run\r\n"

/* A call in progress. */
struct call {
	struct mg_connection *conn;
	struct run_ids ids;
	uint64_t body_bytes;
	uint64_t body_hash;
	uint64_t run;
	uint64_t start_ms;
	int close_unanswered; /* close the connection without a response */
	bool abandoned;	      /* the connection was closed during the work */
};

int
upstream_is_serving(const struct upstream *u, uint64_t now_ms)
{
	return !u->knobs.shed && now_ms >= u->ready_ms;
}

static int
call_expired(const struct call *c)
{
	const char *left = mg_get_header(c->conn, "Bramley-Deadline-Ms");

	return left != NULL && strcmp(left, "0") == 0;
}

static int
slot_acquire(struct upstream *u, const struct call *c)
{
	int ok;

	pthread_mutex_lock(&u->lock);
	ok = upstream_is_serving(u, clock_now_ms()) && !call_expired(c) &&
	    u->in_flight < u->opt.slots;
	if (ok)
		u->in_flight++;
	else
		u->stats.shed++;
	pthread_mutex_unlock(&u->lock);
	return ok;
}

static void
slot_release(struct upstream *u)
{
	pthread_mutex_lock(&u->lock);
	u->in_flight--;
	pthread_cond_broadcast(&u->changed);
	pthread_mutex_unlock(&u->lock);
}

/* Read the whole request body; 0 if the connection broke before its end. */
static int
call_read_body(struct call *c)
{
	int n;
	long long len = mg_get_request_info(c->conn)->content_length;
	XXH64_state_t *st = XXH64_createState();
	uint8_t *buf = g_malloc(CALL_CHUNK_BYTES);

	XXH64_reset(st, 0);
	web_send_continue(c->conn);
	while ((n = web_read(c->conn, buf, CALL_CHUNK_BYTES)) > 0) {
		XXH64_update(st, buf, (size_t)n);
		c->body_bytes += (uint64_t)n;
	}
	c->body_hash = XXH64_digest(st);
	XXH64_freeState(st);
	g_free(buf);
	return n == 0 && (len < 0 || c->body_bytes == (uint64_t)len);
}

static int
knob_consume(uint32_t *left)
{
	if (*left == 0)
		return 0;
	(*left)--;
	return 1;
}

/* Counts a run beyond the bound of the limit: one and a half times the limit in
 * the window, and the excess.  Call with the lock held. */
static void
count_limited(struct upstream *u, uint64_t now_ms)
{
	if (now_ms < u->limit_ms)
		return;
	while (u->limited->len > 0 &&
	    g_array_index(u->limited, uint64_t, 0) + LIMIT_WINDOW_MS <= now_ms)
		g_array_remove_index(u->limited, 0);
	g_array_append_val(u->limited, now_ms);
	u->stats.over_limit += u->limited->len >
	    u->knobs.limit_per_s * 3 * LIMIT_WINDOW_MS / 2 / 1000 +
		LIMIT_EXCESS;
}

/* Record the run before its work and decide whether the call gets a
 * response. */
static void
call_record_run(struct upstream *u, struct call *c)
{
	int is_post =
	    strcmp(mg_get_request_info(c->conn)->request_method, "POST") == 0;

	c->start_ms = clock_now_ms();
	c->run = runs_add(u->runs, &c->ids, c->start_ms);
	pthread_mutex_lock(&u->lock);
	if (is_post && web_request_number(c->conn) > 1 &&
	    knob_consume(&u->knobs.close_kept_alive))
		c->close_unanswered = 1;
	else if (knob_consume(&u->knobs.close_after_run))
		c->close_unanswered = 1;
	if (c->close_unanswered)
		u->stats.unanswered++;
	if (c->start_ms >= u->draining_ms) {
		u->stats.after_drain++;
		u->stats.after_drain_max_ms = c->start_ms - u->draining_ms;
	}
	count_limited(u, c->start_ms);
	u->stats.after_leaving += c->start_ms >= u->leaving_ms;
	pthread_mutex_unlock(&u->lock);
}

/*
 * Time that a call takes: exponentially distributed, and longer during the
 * warm-up, unless work_ms_exact is set.
 */
static double
call_work_ms(const struct upstream *u, const struct call *c)
{
	double factor = u->knobs.slow_factor;
	double fraction = pattern_fraction(u->ready_ms, c->run);
	double work_means = MIN(-log(1.0 - fraction), CALL_WORK_MAX_MEANS);
	uint64_t warm_at_ms = u->ready_ms + u->opt.warm_up_ms;

	if (u->knobs.work_ms_exact != 0)
		return u->knobs.work_ms_exact;
	if (c->start_ms < warm_at_ms)
		factor *= 1.0 +
		    CALL_COLD_EXTRA_FACTOR *
			(double)(warm_at_ms - c->start_ms) /
			(double)u->opt.warm_up_ms;
	return work_means * u->knobs.work_ms_mean * factor;
}

static int
call_hangs(struct upstream *u)
{
	int hang;

	pthread_mutex_lock(&u->lock);
	hang = u->knobs.hang && !u->stopping;
	pthread_mutex_unlock(&u->lock);
	return hang;
}

/* Works until the call is done or its connection is closed. */
static void
call_work(struct upstream *u, struct call *c)
{
	uint64_t now_us = clock_now_us(), until_us;
	double work_ms;

	pthread_mutex_lock(&u->lock);
	work_ms = call_work_ms(u, c);
	pthread_mutex_unlock(&u->lock);
	until_us = now_us + (uint64_t)(work_ms * 1000.0);
	while (!c->abandoned && (now_us < until_us || call_hangs(u))) {
		g_usleep(now_us < until_us
			? MIN(until_us - now_us, CALL_POLL_MS * 1000UL)
			: CALL_POLL_MS * 1000UL);
		c->abandoned = web_peer_closed(c->conn);
		now_us = clock_now_us();
	}
}

static void
call_send_padding(struct call *c, uint64_t pad_bytes)
{
	size_t n;
	struct pattern p = {pattern_seed(c->ids.test_id), 0};
	uint8_t *buf = g_malloc(CALL_CHUNK_BYTES);

	while (pad_bytes > 0) {
		n = (size_t)MIN(pad_bytes, CALL_CHUNK_BYTES);
		pattern_fill(&p, buf, n);
		if (mg_write(c->conn, buf, n) <= 0)
			break;
		pad_bytes -= n;
	}
	g_free(buf);
}

/* Headers that report a limit and leaving; free with g_string_free(). */
static GString *
report_headers(struct upstream *u)
{
	GString *s = g_string_new(NULL);
	uint64_t now_ms = clock_now_ms();

	pthread_mutex_lock(&u->lock);
	if (u->knobs.limit_per_s > 0) {
		g_string_append_printf(
		    s, "Bramley-Upstream-Limit: %u\r\n", u->knobs.limit_per_s);
		u->limit_ms = MIN(u->limit_ms, now_ms + LIMIT_LEARN_MS);
	}
	if (u->knobs.leaving) {
		g_string_append(s, "Bramley-Upstream-Leaving: 1\r\n");
		u->leaving_ms = MIN(u->leaving_ms, now_ms + LEAVING_LEARN_MS);
	}
	pthread_mutex_unlock(&u->lock);
	return s;
}

static void
call_respond(struct upstream *u, struct call *c)
{
	GString *line, *headers = report_headers(u);
	uint64_t pad = web_query_u64(c->conn, "answer_bytes", 0);
	struct reply r = {u->opt.host, c->ids.test_id, c->ids.key, c->run,
	    c->body_bytes, c->body_hash, pad};

	line = reply_line(&r);
	web_respond_head(c->conn, "application/octet-stream", headers->str,
	    line->len + pad, line->str, line->len);
	g_string_free(headers, TRUE);
	g_string_free(line, TRUE);
	call_send_padding(c, pad);
}

static const char *
header_or_empty(struct mg_connection *conn, const char *name)
{
	const char *v = mg_get_header(conn, name);

	return v == NULL ? "" : v;
}

void
upstream_call(struct upstream *u, struct mg_connection *conn)
{
	struct call c;

	memset(&c, 0, sizeof(c));
	c.conn = conn;
	c.ids.test_id = header_or_empty(conn, "X-Test-Id");
	c.ids.request_id = header_or_empty(conn, "Bramley-Request-Id");
	c.ids.key = header_or_empty(conn, "Idempotency-Key");
	if (!slot_acquire(u, &c)) {
		web_respond_json(conn, 503, CALL_FATE_NOT_RUN, json_object());
		return;
	}
	if (!call_read_body(&c)) {
		pthread_mutex_lock(&u->lock);
		u->stats.broken++;
		pthread_mutex_unlock(&u->lock);
		web_drop_connection(conn);
		slot_release(u);
		return;
	}
	runs_customer(u->runs, mg_get_header(conn, "X-Test-Holder"),
	    mg_get_header(conn, "Bramley-Customer"), clock_now_ms());
	call_record_run(u, &c);
	call_work(u, &c);
	if (web_query_u64(conn, "crash", 0) != 0)
		_exit(CALL_CRASH_EXIT_CODE);
	runs_end(u->runs, &c.ids, clock_now_ms());
	pthread_mutex_lock(&u->lock);
	u->stats.abandoned += c.abandoned;
	pthread_mutex_unlock(&u->lock);
	if (c.close_unanswered || c.abandoned)
		web_drop_connection(conn);
	else
		call_respond(u, &c);
	slot_release(u);
}
