/*
 * Check of the upstream on this host before its first heartbeat is used.
 *
 * The heartbeat may have been sent before the upstream reported that it leaves,
 * and the nodes that knew of the report may all have ended.  An upstream that
 * leaves says so in each of its answers.  So it gets one request, which names
 * another instance and is thus not executed.
 */
#define LOG_PART "upstream"

#include <inttypes.h>
#include <string.h>
#include <strings.h>

#include "base/log.h"
#include "control_priv.h"
#include "node/call_dialect.h"

/* Not longer than the recall from peers, which goes on meanwhile. */
#define CHECK_MS 250
#define CHECK_MS_TEXT "250"

/* Not the name of an instance. */
#define OTHER_INSTANCE "-"

#define URL_BYTES 64
#define REQUEST_ID_BYTES 24

static bool
is_leaving_header(const struct call_dialect *d, const char *name)
{
	const char *const *leaving;

	for (leaving = d->leaving; *leaving != NULL; leaving++)
		if (strcasecmp(name, *leaving) == 0)
			return true;
	return false;
}

/* Peers hold what the upstream says as they hold its own report, and later
 * heartbeats of the run are late. */
static void
set_leaving(struct control *c)
{
	const struct rec_run report = {
	    .key = instance_key(c->check.instance),
	    .started_ms = c->check.started_ms,
	    .seq = UINT64_MAX,
	    .state = ENDPOINT_DRAINING,
	};

	membership_report_run(c->membership, control_now(c), &report);
}

static void
end_check(struct control *c, const char *result)
{
	log_info("%s, started %" G_GUINT64_FORMAT
		 ", was asked before its first heartbeat is used: %s",
	    c->check.instance, c->check.started_ms, result);
	c->check.phase = UPSTREAM_CHECKED;
	control_upstream_runs_changed(c);
	control_pump(c);
}

static enum http_flow
on_head(struct http_call *call, int code, const struct http_header *headers,
    uint32_t n, void *arg)
{
	struct control *c = arg;
	bool leaves = false;
	uint32_t i;

	(void)code;
	for (i = 0; i < n; i++)
		leaves |= is_leaving_header(c->dialect, headers[i].name);
	/* Upstreams take few connections. */
	(void)http_call_cancel(call);
	if (leaves)
		set_leaving(c);
	end_check(c, leaves ? "it leaves" : "it doesn't leave");
	return HTTP_CONTINUE;
}

static void
on_done(struct http_call *call, const struct http_result *r, void *arg)
{
	(void)call;
	(void)r;
	end_check(arg, "no answer");
}

static const struct http_handler handler = {
    .on_head = on_head, .on_done = on_done};

static void
ask(struct control *c, const struct upstream_heartbeat *b)
{
	char url[URL_BYTES], address[ADDR_TEXT_BYTES];
	char id[REQUEST_ID_BYTES];
	const struct http_header headers[] = {
	    {c->dialect->request_id, id},
	    {c->dialect->deadline, CHECK_MS_TEXT},
	    {c->dialect->target, OTHER_INSTANCE},
	};
	const struct http_request request = {.method = "GET",
	    .url = url,
	    .headers = headers,
	    .n_headers = G_N_ELEMENTS(headers),
	    .deadline_ms = control_now(c) + CHECK_MS,
	    .connect_ms = CHECK_MS};

	(void)g_snprintf(id, sizeof(id), "%016" PRIx64,
	    instance_key(c->check.instance) ^ b->seq);
	(void)g_snprintf(
	    url, sizeof(url), "http://%s/", addr_format(&b->address, address));
	(void)http_call_start(c->http, &request, &handler, c);
}

void
control_check_begin(struct control *c, const char *instance,
    uint64_t started_ms, const struct upstream_heartbeat *b)
{
	if (c->check.phase != UPSTREAM_UNCHECKED)
		return;
	if (c->dialect == NULL || c->dialect->target == NULL ||
	    c->dialect->leaving == NULL) {
		c->check.phase = UPSTREAM_CHECKED;
		return;
	}
	c->check.phase = UPSTREAM_ASKED;
	c->check.instance = g_strdup(instance);
	c->check.started_ms = started_ms;
	ask(c, b);
}

void
control_check_clear(struct control *c)
{
	g_free(c->check.instance);
}
