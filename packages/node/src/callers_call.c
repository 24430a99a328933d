/*
 * A call in a worker: its body goes to the entry, its answer to the caller.
 */
#include <string.h>

#define LOG_PART "callers"
#include "base/log.h"

#include "call_metrics.h"
#include "callers_priv.h"

#define HTTP_TIMEOUT 408
#define HTTP_UNAVAILABLE 503
#define READ_BYTES 32768

/* How often a waiting worker looks whether the caller is still there. */
#define HANG_UP_CHECK_MS 100

/* Connections beyond this share of the threads are closed after an answer. */
#define KEEP_SHARE_PERCENT 75
#define PERCENT 100

/* Calls that leave fewer threads than this are turned away. */
#define SPARE_THREADS 1

static bool
wants_close(const struct callers *c)
{
	uint32_t kept = c->settings->caller_threads * KEEP_SHARE_PERCENT;

	return c->draining || c->connections * PERCENT > kept;
}

/* Bodies of known small size are read before the call is submitted. */
static bool
is_small(const struct call_request *r)
{
	return r->body_bytes >= 0 && r->body_bytes <= READ_BYTES;
}

static void
expect(struct mg_connection *conn)
{
	const char *v = mg_get_header(conn, "Expect");

	if (v != NULL && g_ascii_strcasecmp(v, "100-continue") == 0)
		(void)mg_printf(conn, "HTTP/1.1 100 Continue\r\n\r\n");
}

static enum exchange_end
body_end(const struct call_request *r, int64_t total, int last)
{
	if (last < 0)
		return EXCHANGE_CUT;
	if (r->body_bytes >= 0 && total != r->body_bytes)
		return EXCHANGE_CUT;
	return EXCHANGE_WHOLE;
}

/* Reads the body; false when it broke off or is not wanted. */
static bool
read_body(struct call_exchange *x, struct mg_connection *conn, int fd)
{
	const struct call_request *r = call_exchange_request(x);
	uint8_t buf[READ_BYTES];
	enum exchange_end end;
	int64_t total = 0;
	int n = 0;

	while (r->body_bytes < 0 || total < r->body_bytes) {
		if (!call_exchange_reading(x, fd))
			return false;
		n = mg_read(conn, buf, sizeof(buf));
		if (n <= 0)
			break;
		total += n;
		if (!call_exchange_put(x, buf, (size_t)n))
			return false;
	}
	if (!call_exchange_reading(x, -1))
		return false;
	end = body_end(r, total, n);
	call_exchange_put_end(x, end);
	return end == EXCHANGE_WHOLE;
}

static const struct call_answer *
await(struct call_exchange *x, struct mg_connection *conn)
{
	const struct call_answer *a;

	for (;;) {
		a = call_exchange_wait(x, HANG_UP_CHECK_MS);
		if (a != NULL)
			return a;
		if (callers_socket_gone(conn)) {
			log_debug("a caller hung up");
			call_exchange_hang_up(x);
			return NULL;
		}
	}
}

/* The body may be left unread when the answer came early. */
static void
finish(struct callers *c, struct call_exchange *x, struct mg_connection *conn,
    bool body_read)
{
	const struct call_answer *a;
	bool close = !body_read || wants_close(c);

	if (!body_read && !call_exchange_answered(x)) {
		mg_disable_connection_keep_alive(conn);
		return;
	}
	a = await(x, conn);
	if (a == NULL) {
		mg_disable_connection_keep_alive(conn);
		return;
	}
	if (close)
		mg_disable_connection_keep_alive(conn);
	if (!callers_answer_write(c, conn, x, a, close)) {
		call_exchange_hang_up(x);
		mg_disable_connection_keep_alive(conn);
	} else if (!body_read) {
		callers_socket_linger(conn);
	}
}

/* The body is there before the call is handed over. */
static bool
run_small(
    struct callers *c, struct call_exchange *x, struct mg_connection *conn)
{
	struct watched_read watched;
	bool body_read = true;

	if (call_exchange_request(x)->body_bytes > 0) {
		expect(conn);
		callers_watch_begin(c->watch, &watched, conn);
		body_read = read_body(x, conn, -1);
		callers_watch_end(c->watch, &watched);
	} else {
		call_exchange_put_end(x, EXCHANGE_WHOLE);
	}
	if (body_read)
		entry_submit(c->entry, x);
	return body_read;
}

/* The body is read once the entry wants it. */
static bool
run_large(
    struct callers *c, struct call_exchange *x, struct mg_connection *conn)
{
	entry_submit(c->entry, x);
	if (!call_exchange_accepted(x))
		return false;
	expect(conn);
	return read_body(x, conn, callers_socket(conn));
}

static void
refuse(struct mg_connection *conn, uint32_t status, const char *kind,
    const char *message)
{
	mg_disable_connection_keep_alive(conn);
	callers_answer_refuse(conn, status, kind, message);
	if (mg_get_request_info(conn)->content_length > READ_BYTES)
		callers_socket_linger(conn);
}

static void
run(struct callers *c, struct call_exchange *x, struct mg_connection *conn)
{
	bool body_read;

	if (!is_small(call_exchange_request(x))) {
		body_read = run_large(c, x, conn);
		finish(c, x, conn, body_read);
	} else if (run_small(c, x, conn)) {
		finish(c, x, conn, true);
	} else {
		refuse(conn, HTTP_TIMEOUT, "invalid",
		    "the request's body did not arrive whole in time; send "
		    "it again.");
	}
}

void
callers_call(struct callers *c, struct mg_connection *conn)
{
	struct call_exchange *x;
	uint32_t status;

	if (c->in_flight + SPARE_THREADS > c->settings->caller_threads) {
		metric_add(&metric_callers_shed, 1);
		refuse(conn, HTTP_UNAVAILABLE, "overloaded",
		    "too many calls run here; come back after the time in "
		    "Retry-After or call another node.");
		return;
	}
	x = call_exchange_new();
	status = callers_request_read(c, conn, call_exchange_request(x));
	if (status == 0)
		run(c, x, conn);
	else
		refuse(conn, status, "invalid",
		    "the request can't be passed on; check its path and "
		    "headers.");
	call_exchange_unref(x);
}
