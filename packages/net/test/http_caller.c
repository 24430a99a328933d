/*
 * Test fixture of the HTTP client: an owner of calls that records its
 * callbacks, and a scripted server.
 */
#include <stdlib.h>
#include <string.h>

#include "http_caller.h"

#define ODD_HEAD                                   \
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" \
	"a b: c\r\n: d\r\n folded: e\r\nA:  b c \r\n\r\n"

struct loop *loop;
struct fake *fake;
struct http_client *client;
struct caller caller;
int runs;
char *seen_head;

/* Answers of the server, by path. */

static void
answer(GString *out, const char *body)
{
	g_string_append_printf(out,
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nX-Empty:\r\n\r\n%s",
	    strlen(body), body);
}

static void
answer_twice(GString *out)
{
	answer(out, "first");
	answer(out, "second");
}

static void
answer_big(GString *out)
{
	char *body = g_strnfill(BIG_BYTES, 'b');

	answer(out, body);
	g_free(body);
}

static void
answer_headers(GString *out, int n, size_t value_bytes)
{
	char *value = g_strnfill(value_bytes, 'v');

	g_string_append(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n");
	while (n-- > 0)
		g_string_append_printf(out, "X: %s\r\n", value);
	g_string_append(out, "\r\n");
	g_free(value);
}

const struct scripted scripted[N_SCRIPTED] = {
    {"/ok", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" BODY, false,
	STATUS_OK, 200, BODY},
    {"/none", "HTTP/1.1 204 No Content\r\n\r\n", false, STATUS_OK, 204, ""},
    {"/moved",
	"HTTP/1.1 302 Found\r\nLocation: /ok\r\nContent-Length: 0\r\n\r\n",
	false, STATUS_OK, 302, ""},
    {"/busy", "HTTP/1.1 503 Busy\r\nContent-Length: 6\r\n\r\n" BODY, false,
	STATUS_OK, 503, BODY},
    {"/chunked",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"3\r\nans\r\n3\r\nwer\r\n0\r\nTrailer: t\r\n\r\n",
	false, STATUS_OK, 200, BODY},
    {"/early",
	"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" BODY,
	false, STATUS_OK, 200, BODY},
    {"/short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" BODY, true,
	STATUS_UNAVAILABLE, 200, BODY},
    {"/cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" BODY,
	true, STATUS_UNAVAILABLE, 200, BODY},
    {"/drop", "", true, STATUS_UNAVAILABLE, 0, ""},
    {"/half", "HTTP/1.1 200 OK\r\nContent-", true, STATUS_UNAVAILABLE, 0, ""},
    {"/until-close", "HTTP/1.1 200 OK\r\n\r\n" BODY, true, STATUS_OK, 200,
	BODY},
    {"/no-colon", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", false, STATUS_INVALID,
	0, ""},
    {"/junk", "\x01\x02\x03 not HTTP at all\r\n\r\n", true, STATUS_INVALID, 0,
	""},
};

static bool
script(const struct fake_request *r, GString *out)
{
	size_t i;

	g_free(seen_head);
	seen_head = g_strdup(r->head);
	for (i = 0; i < N_SCRIPTED; i++) {
		if (strcmp(r->path, scripted[i].path) == 0) {
			g_string_append(out, scripted[i].bytes);
			return scripted[i].close;
		}
	}
	if (strcmp(r->path, "/echo") == 0)
		answer(out, r->body);
	else if (strcmp(r->path, "/big") == 0)
		answer_big(out);
	else if (strcmp(r->path, "/many") == 0)
		answer_headers(out, 200, 1);
	else if (strcmp(r->path, "/long") == 0)
		answer_headers(out, 10, 9000);
	else if (strcmp(r->path, "/odd") == 0)
		g_string_append(out, ODD_HEAD);
	else if (strcmp(r->path, "/run") == 0 && ++runs == 1)
		return true;
	else if (strcmp(r->path, "/run") == 0)
		answer(out, BODY);
	else if (strcmp(r->path, "/twice") == 0)
		answer_twice(out);
	else if (strcmp(r->path, "/hang") != 0)
		answer(out, "");
	return false;
}

/* The owner of a call. */

static enum http_flow
on_head(struct http_call *call, int code, const struct http_header *headers,
    uint32_t n, void *arg)
{
	struct caller *c = arg;
	uint32_t i;

	if (c->skip_heads > 0) {
		c->skip_heads--;
		return HTTP_SKIP;
	}
	c->heads++;
	c->code = code;
	for (i = 0; i < n; i++)
		g_string_append_printf(
		    c->head, "%s=%s;", headers[i].name, headers[i].value);
	if (c->cancel_on_head)
		(void)http_call_cancel(call);
	return HTTP_CONTINUE;
}

static void
caller_on_wake(void *arg)
{
	struct caller *c = arg;

	c->paused = false;
	http_call_resume(c->call);
}

static enum http_flow
pause_every_other_time(struct caller *c)
{
	ck_assert(!c->paused || c->wake.place != NULL);
	c->pausing = !c->pausing;
	if (!c->pausing)
		return HTTP_CONTINUE;
	c->paused = true;
	loop_timer_set(&c->wake, loop_now_ms(loop) + 1);
	return HTTP_PAUSE;
}

static enum http_flow
on_body(struct http_call *call, const uint8_t *data, size_t len, void *arg)
{
	struct caller *c = arg;

	if (c->wake.loop != NULL && pause_every_other_time(c) == HTTP_PAUSE)
		return HTTP_PAUSE;
	g_string_append_len(c->body, (const char *)data, (gssize)len);
	if (c->cancel_on_body)
		(void)http_call_cancel(call);
	return c->abort_on_body ? HTTP_ABORT : HTTP_CONTINUE;
}

static enum http_flow
on_pull(
    struct http_call *call, uint8_t *buf, size_t max, size_t *len, void *arg)
{
	struct caller *c = arg;

	if (c->cancel_on_pull)
		(void)http_call_cancel(call);
	if (c->pulled == c->pull_bytes)
		return HTTP_END;
	if (c->wake.loop != NULL && pause_every_other_time(c) == HTTP_PAUSE)
		return HTTP_PAUSE;
	*len = MIN(max, MIN(10007, c->pull_bytes - c->pulled));
	memset(buf, 'p', *len);
	c->pulled += *len;
	return HTTP_CONTINUE;
}

static void
on_done(struct http_call *call, const struct http_result *r, void *arg)
{
	struct caller *c = arg;

	ck_assert_ptr_eq(call, c->call);
	c->done++;
	c->status = r->status;
	c->sent = r->sent;
	c->delimited = r->delimited;
	ck_assert_int_eq(r->code, c->code);
	c->call = NULL;
	loop_timer_stop(&c->wake);
}

const struct http_handler caller_handler = {on_head, on_body, on_pull, on_done};

void
caller_init(struct caller *c)
{
	memset(c, 0, sizeof(*c));
	c->head = g_string_new(NULL);
	c->body = g_string_new(NULL);
}

void
caller_clear(struct caller *c)
{
	g_string_free(c->head, TRUE);
	g_string_free(c->body, TRUE);
}

void
caller_setup(void)
{
	ck_assert_int_eq(setenv("http_proxy", "http://127.0.0.1:1", 1), 0);
	loop = loop_new();
	fake = fake_new(loop, script);
	client = http_client_new(loop, NULL);
	caller_init(&caller);
}

void
caller_teardown(void)
{
	http_client_free(client);
	fake_free(fake);
	loop_free(loop);
	caller_clear(&caller);
	g_free(seen_head);
}

void
caller_start(struct caller *c, struct http_request *r, const char *path)
{
	unsigned int port = fake_addr(fake).port;
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	int done = c->done;

	r->url = url;
	if (r->deadline_ms == 0)
		r->deadline_ms = loop_now_ms(loop) + WAIT_MS;
	c->call = http_call_start(client, r, &caller_handler, c);
	ck_assert_int_eq(c->done, done);
	g_free(url);
}

void
caller_get(const char *path)
{
	struct http_request r = {.method = "GET"};

	caller_start(&caller, &r, path);
	RUN_UNTIL(loop, caller.done);
}

void
caller_make_pauses(struct caller *c)
{
	loop_timer_init(&c->wake, loop, caller_on_wake, c);
}
