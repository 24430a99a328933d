/*
 * A fake platform, and a caller of the store.
 */
#include <string.h>

#include "fake_platform.h"

#define BIG_BYTES (9U << 20)

static struct reply reply;
static struct fake *fake;

GString *seen_request;
GString *seen_body;
int seen_count;

struct loop *loop;
struct http_client *client;
struct store *store;

int n_callbacks;
enum status result_status;
enum store_conflict result_conflict;
struct store_head result_head;
struct store_version result_rows[STORE_VERSIONS_MAX];
uint32_t result_n_rows;
uint64_t result_upto;
GByteArray *result_bytes;

/* The fake platform */

static void
record_header(const char *head, const char *name)
{
	const char *end, *p = strstr(head, name);

	if (p == NULL)
		return;
	p += strlen(name);
	end = strchr(p, '\r');
	g_string_append_len(seen_request, p, end - p);
}

static void
record_request(const struct fake_request *r)
{
	const char *version = strstr(r->head, " HTTP/");

	g_string_truncate(seen_request, 0);
	g_string_append_len(seen_request, r->head, version - r->head);
	record_header(r->head, "X-Amz-Target:");
	record_header(r->head, "If-None-Match:");
	g_string_truncate(seen_body, 0);
	g_string_append_len(seen_body, r->body, (gssize)r->body_bytes);
	seen_count++;
}

/* An answer in MODE_OPEN ends with its connection; one in MODE_CUT lacks its
 * last byte. */
static void
write_answer(GString *out, const char *body)
{
	size_t len = strlen(body) + (reply.mode == MODE_CUT ? 1 : 0);

	g_string_append_printf(out, "HTTP/1.1 %d X\r\n", reply.code);
	if (reply.mode != MODE_OPEN)
		g_string_append_printf(out, "Content-Length: %zu\r\n", len);
	g_string_append_printf(out, "\r\n%s", body);
}

static bool
answer_request(const struct fake_request *r, GString *out)
{
	char *big = reply.mode == MODE_BIG ? g_strnfill(BIG_BYTES, 'x') : NULL;

	record_request(r);
	if (reply.mode != MODE_DROP && reply.mode != MODE_HANG)
		write_answer(out, big != NULL ? big : reply.body);
	g_free(big);
	return reply.mode == MODE_DROP || reply.mode == MODE_CUT ||
	    reply.mode == MODE_OPEN;
}

void
set_reply(enum mode mode, int code, const char *body)
{
	reply.mode = mode;
	reply.code = code;
	reply.body = body;
}

void
platform_setup(void)
{
	char *url;

	seen_request = g_string_new(NULL);
	seen_body = g_string_new(NULL);
	result_bytes = g_byte_array_new();
	loop = loop_new();
	fake = fake_new(loop, answer_request);
	client = http_client_new(loop, NULL);
	url = g_strdup_printf("http://127.0.0.1:%u", fake_addr(fake).port);
	store = http_store_new(client, loop, url, url);
	g_free(url);
}

void
platform_teardown(void)
{
	store_free(store);
	http_client_free(client);
	fake_free(fake);
	loop_free(loop);
	g_string_free(seen_request, TRUE);
	g_string_free(seen_body, TRUE);
	g_byte_array_unref(result_bytes);
}

/* The caller */

static void
record_result(enum status st)
{
	n_callbacks++;
	result_status = st;
}

void
caller_on_head(enum status st, const struct store_head *head, void *arg)
{
	ck_assert_ptr_eq(arg, &n_callbacks);
	ck_assert((st == STATUS_OK) == (head != NULL));
	if (head != NULL)
		result_head = *head;
	record_result(st);
}

static void
on_versions(enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto, void *arg)
{
	uint32_t i;

	ck_assert_ptr_eq(arg, &n_callbacks);
	result_n_rows = n;
	result_upto = upto;
	for (i = 0; i < n; i++) {
		result_rows[i] = rows[i];
		(void)g_byte_array_append(
		    result_bytes, rows[i].changes, rows[i].changes_bytes);
	}
	record_result(st);
}

static void
on_write(enum status st, enum store_conflict conflict, void *arg)
{
	ck_assert_ptr_eq(arg, &n_callbacks);
	result_conflict = conflict;
	record_result(st);
}

static void
on_object(enum status st, const uint8_t *data, size_t len, void *arg)
{
	ck_assert_ptr_eq(arg, &n_callbacks);
	(void)g_byte_array_append(result_bytes, data, (guint)len);
	record_result(st);
}

void
caller_on_put(enum status st, void *arg)
{
	ck_assert_ptr_eq(arg, &n_callbacks);
	record_result(st);
}

void
caller_await(void)
{
	ck_assert_int_eq(n_callbacks, 0);
	RUN_UNTIL(loop, n_callbacks > 0);
	ck_assert_int_eq(n_callbacks, 1);
	n_callbacks = 0;
}

uint64_t
caller_deadline(void)
{
	return clock_now_ms() +
	    (reply.mode == MODE_HANG ? HANG_TIMEOUT_MS : WAIT_MS);
}

void
caller_read_head(void)
{
	store_read_head(store, caller_deadline(), caller_on_head, &n_callbacks);
	caller_await();
}

void
caller_read_versions(uint64_t from, uint64_t to)
{
	store_read_versions(
	    store, from, to, caller_deadline(), on_versions, &n_callbacks);
	caller_await();
}

struct store_head
example_head(void)
{
	struct store_head h = {.seq = 8,
	    .version = 18446744073709551615U,
	    .in_force = 6,
	    .parent = 5,
	    .state = STORE_HALTED,
	    .op = "op-\"1\""};

	hash_digest("r", 1, &h.root);
	return h;
}

struct store_version
example_version(void)
{
	struct store_version v = {.version = 7,
	    .parent = 6,
	    .wall_ms = 1764700000000,
	    .op = "op-1",
	    .operator_name = "J\xc3\xb3n",
	    .note = "why \\ \"so\"",
	    .changes = (const uint8_t *)"\0\1\xff",
	    .changes_bytes = 3};

	hash_digest("v", 1, &v.root);
	return v;
}

void
caller_transact(const struct store_write *w)
{
	store_transact(store, w, caller_deadline(), on_write, &n_callbacks);
	caller_await();
}

void
caller_write_example(void)
{
	struct store_head h = example_head();
	struct store_version v = example_version();
	struct store_write w = {7, &h, &v};

	caller_transact(&w);
}

void
caller_put_object(void)
{
	store_put_object_once(store, "section/ab", (const uint8_t *)"xyz", 3,
	    caller_deadline(), caller_on_put, &n_callbacks);
	caller_await();
}

void
caller_get_object(size_t max_bytes)
{
	store_get_object(store, "section/ab", max_bytes, caller_deadline(),
	    on_object, &n_callbacks);
	caller_await();
}
