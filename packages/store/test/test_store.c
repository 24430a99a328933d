/*
 * Tests of the store against a fake platform: what goes out, what comes
 * back, and what each way to fail means.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "base/metrics.h"
#include "http_fake.h"
#include "store/http_store.h"

#define WAIT_MS 5000
#define SHORT_MS 150
#define BIG_BYTES (9U << 20)
#define TYPE "{\"__type\":\"com.amazonaws.dynamodb.v20120810#"
#define CANCELLED TYPE "TransactionCanceledException\""
#define REASONS(a, b)                                               \
	CANCELLED ",\"CancellationReasons\":[{\"Code\":\"" a "\"}," \
		  "{\"Code\":\"" b "\"}]}"
#define S3_ERROR(code) "<Error><Code>" code "</Code></Error>"

/* What the fake platform does with a request. */
enum mode {
	MODE_ANSWER,
	MODE_DROP,
	MODE_HANG,
	MODE_CUT,
	MODE_OPEN,
	MODE_BIG,
	MODE_DOWN,
};

struct reply {
	enum mode mode;
	int code;
	const char *body;
};

static struct reply reply;
static GString *seen_request;
static GString *seen_body;
static int seen_count;

static struct fake *fake;
static struct loop *loop;
static struct http_client *client;
static struct store *store;

/* What the caller was told. */
static int told;
static enum status told_status;
static enum store_conflict told_which;
static struct store_head told_head;
static struct store_version told_rows[STORE_VERSIONS_MAX];
static uint32_t told_n;
static uint64_t told_upto;
static GByteArray *told_bytes;

/* The fake platform */

static void
note_header(const char *head, const char *name)
{
	const char *end, *p = strstr(head, name);

	if (p == NULL)
		return;
	p += strlen(name);
	end = strchr(p, '\r');
	g_string_append_len(seen_request, p, end - p);
}

static void
note_request(const struct fake_request *r)
{
	const char *version = strstr(r->head, " HTTP/");

	g_string_truncate(seen_request, 0);
	g_string_append_len(seen_request, r->head, version - r->head);
	note_header(r->head, "X-Amz-Target:");
	note_header(r->head, "If-None-Match:");
	g_string_truncate(seen_body, 0);
	g_string_append_len(seen_body, r->body, (gssize)r->body_bytes);
	seen_count++;
}

/* An open answer ends with its connection, and may be cut short. */
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
script(const struct fake_request *r, GString *out)
{
	char *big = reply.mode == MODE_BIG ? g_strnfill(BIG_BYTES, 'x') : NULL;

	note_request(r);
	if (reply.mode != MODE_DROP && reply.mode != MODE_HANG)
		write_answer(out, big != NULL ? big : reply.body);
	g_free(big);
	return reply.mode == MODE_DROP || reply.mode == MODE_CUT ||
	    reply.mode == MODE_OPEN;
}

static void
set_reply(enum mode mode, int code, const char *body)
{
	reply.mode = mode;
	reply.code = code;
	reply.body = body;
}

static void
setup(void)
{
	char *url;

	seen_request = g_string_new(NULL);
	seen_body = g_string_new(NULL);
	told_bytes = g_byte_array_new();
	loop = loop_new();
	fake = fake_new(loop, script);
	client = http_client_new(loop, NULL);
	url = g_strdup_printf("http://127.0.0.1:%u", fake_addr(fake).port);
	store = http_store_new(client, loop, url, url);
	g_free(url);
}

static void
teardown(void)
{
	store_free(store);
	http_client_free(client);
	fake_free(fake);
	loop_free(loop);
	g_string_free(seen_request, TRUE);
	g_string_free(seen_body, TRUE);
	g_byte_array_unref(told_bytes);
}

/* The caller */

static void
tell(enum status st)
{
	told++;
	told_status = st;
}

static void
on_head(enum status st, const struct store_head *head, void *arg)
{
	ck_assert_ptr_eq(arg, &told);
	ck_assert((st == STATUS_OK) == (head != NULL));
	if (head != NULL)
		told_head = *head;
	tell(st);
}

static void
on_versions(enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto, void *arg)
{
	uint32_t i;

	ck_assert_ptr_eq(arg, &told);
	told_n = n;
	told_upto = upto;
	for (i = 0; i < n; i++) {
		told_rows[i] = rows[i];
		(void)g_byte_array_append(
		    told_bytes, rows[i].changes, rows[i].changes_bytes);
	}
	tell(st);
}

static void
on_write(enum status st, enum store_conflict which, void *arg)
{
	ck_assert_ptr_eq(arg, &told);
	told_which = which;
	tell(st);
}

static void
on_object(enum status st, const uint8_t *data, size_t len, void *arg)
{
	ck_assert_ptr_eq(arg, &told);
	(void)g_byte_array_append(told_bytes, data, (guint)len);
	tell(st);
}

static void
on_put(enum status st, void *arg)
{
	ck_assert_ptr_eq(arg, &told);
	tell(st);
}

/* Wait until the operation that was just started has ended. */
static void
await(void)
{
	uint64_t end_ms = clock_now_ms() + WAIT_MS;

	ck_assert_int_eq(told, 0);
	while (told == 0) {
		ck_assert_uint_lt(clock_now_ms(), end_ms);
		loop_run_once(loop, clock_now_ms() + 1);
	}
	ck_assert_int_eq(told, 1);
	told = 0;
}

static uint64_t
deadline(void)
{
	return clock_now_ms() + (reply.mode == MODE_HANG ? SHORT_MS : WAIT_MS);
}

static void
read_head(void)
{
	store_read_head(store, deadline(), on_head, &told);
	await();
}

static void
read_versions(uint64_t from, uint64_t to)
{
	store_read_versions(store, from, to, deadline(), on_versions, &told);
	await();
}

static struct store_head
some_head(void)
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

static struct store_version
some_version(void)
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

static void
transact(const struct store_write *w)
{
	store_transact(store, w, deadline(), on_write, &told);
	await();
}

static void
write_something(void)
{
	struct store_head h = some_head();
	struct store_version v = some_version();
	struct store_write w = {7, &h, &v};

	transact(&w);
}

static void
put_object(void)
{
	store_put_object_once(store, "section/ab", (const uint8_t *)"xyz", 3,
	    deadline(), on_put, &told);
	await();
}

static void
get_object(size_t max_bytes)
{
	store_get_object(
	    store, "section/ab", max_bytes, deadline(), on_object, &told);
	await();
}

/* The item of the nth Put of the last request, inside @around. */
static char *
item_within(size_t nth, const char *around)
{
	json_t *json = json_loads(seen_body->str, 0, NULL);
	json_t *put = json_object_get(
	    json_array_get(json_object_get(json, "TransactItems"), nth), "Put");
	char *item = json_dumps(json_object_get(put, "Item"), JSON_COMPACT);
	char *text = g_strdup_printf(around, item);

	free(item);
	json_decref(json);
	return text;
}

START_TEST(head_row_comes_back_as_it_was_written)
{
	struct store_head h = some_head();
	struct store_write w = {7, &h, NULL};
	char *text;

	set_reply(MODE_ANSWER, 200, "{}");
	transact(&w);
	ck_assert_int_eq(told_status, STATUS_OK);
	ck_assert_str_eq(
	    seen_request->str, "POST / DynamoDB_20120810.TransactWriteItems");
	ck_assert_ptr_nonnull(strstr(seen_body->str,
	    "\"ConditionExpression\":\"#c = :c\","
	    "\"ExpressionAttributeNames\":{\"#c\":\"seq\"},"
	    "\"ExpressionAttributeValues\":{\":c\":{\"N\":\"7\"}}"));
	text = item_within(0, "{\"Item\":%s}");
	set_reply(MODE_ANSWER, 200, text);
	read_head();
	ck_assert_int_eq(told_status, STATUS_OK);
	ck_assert_uint_eq(told_head.seq, h.seq);
	ck_assert_uint_eq(told_head.version, h.version);
	ck_assert_uint_eq(told_head.in_force, h.in_force);
	ck_assert_uint_eq(told_head.parent, h.parent);
	ck_assert_int_eq(told_head.state, h.state);
	ck_assert(hash_digest_equal(&told_head.root, &h.root));
	ck_assert_str_eq(told_head.op, h.op);
	ck_assert_str_eq(seen_body->str,
	    "{\"TableName\":\"bramley\",\"Key\":{\"pk\":{\"S\":\"head\"}},"
	    "\"ConsistentRead\":true}");
	g_free(text);
}
END_TEST

START_TEST(version_row_comes_back_as_it_was_written)
{
	struct store_head h = some_head();
	struct store_version v = some_version();
	struct store_write w = {0, &h, &v};
	char *text;

	h.seq = 1;
	set_reply(MODE_ANSWER, 200, "{}");
	transact(&w);
	ck_assert_ptr_nonnull(strstr(seen_body->str,
	    "\"ConditionExpression\":\"attribute_not_exists(pk)\""));
	ck_assert_ptr_null(strstr(seen_body->str, "#c"));
	text = item_within(1,
	    "{\"Responses\":{\"bramley\":[%s]},"
	    "\"UnprocessedKeys\":{}}");
	set_reply(MODE_ANSWER, 200, text);
	read_versions(6, 7);
	ck_assert_int_eq(told_status, STATUS_OK);
	ck_assert_uint_eq(told_n, 1);
	ck_assert_uint_eq(told_upto, 7);
	ck_assert_uint_eq(told_rows[0].version, v.version);
	ck_assert_uint_eq(told_rows[0].parent, v.parent);
	ck_assert_uint_eq(told_rows[0].wall_ms, v.wall_ms);
	ck_assert(hash_digest_equal(&told_rows[0].root, &v.root));
	ck_assert_str_eq(told_rows[0].op, v.op);
	ck_assert_str_eq(told_rows[0].operator_name, v.operator_name);
	ck_assert_str_eq(told_rows[0].note, v.note);
	ck_assert_uint_eq(told_bytes->len, v.changes_bytes);
	ck_assert_int_eq(memcmp(told_bytes->data, v.changes, 3), 0);
	ck_assert_str_eq(seen_body->str,
	    "{\"RequestItems\":{\"bramley\":{\"Keys\":["
	    "{\"pk\":{\"S\":\"version/6\"}},{\"pk\":{\"S\":\"version/7\"}}],"
	    "\"ConsistentRead\":true}}}");
	g_free(text);
}
END_TEST

#define LONG "0123456789012345678901234567890123456789012345678901234567890123"
#define ROW(n) ROW_BY(n, "o")
#define ROW_BY(n, op)                                                      \
	"{\"pk\":{\"S\":\"version/" n "\"},\"version\":{\"N\":\"" n "\"}," \
	"\"parent\":{\"N\":\"1\"},\"wall_ms\":{\"N\":\"1\"},"              \
	"\"root\":{\"S\":\"ba7816bf8f01cfea414140de5dae2223"               \
	"b00361a396177a9cb410ff61f20015ad\"},\"op\":{\"S\":\"" op "\"},"   \
	"\"operator\":{\"S\":\"\"},\"note\":{\"S\":\"\"},"                 \
	"\"changes\":{\"B\":\"\"}}"
#define ROWS(rows, keys)                           \
	"{\"Responses\":{\"bramley\":[" rows "]}," \
	"\"UnprocessedKeys\":{" keys "}}"
#define LEFT(n) "\"bramley\":{\"Keys\":[{\"pk\":{\"S\":\"version/" n "\"}}]}"

static const struct {
	const char *body;
	enum status status;
	uint32_t n;
	uint64_t upto;
} version_lists[] = {
    {ROWS("", ""), STATUS_OK, 0, 9},
    {ROWS(ROW("9") "," ROW("5"), ""), STATUS_OK, 2, 9},
    {ROWS(ROW("9") "," ROW("5"), LEFT("7")), STATUS_OK, 1, 6},
    {ROWS(ROW("9"), LEFT("5")), STATUS_UNAVAILABLE, 0, 0},
    {ROWS("", LEFT("x")), STATUS_UNAVAILABLE, 0, 0},
    {ROWS(ROW("99"), ""), STATUS_OK, 0, 9},
    {ROWS(ROW("6") "," ROW("6"), ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS("{}", ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS(ROW_BY("6", LONG), ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS(ROW("-6"), ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS("7", ""), STATUS_UNAVAILABLE, 0, 0},
    {"{}", STATUS_UNAVAILABLE, 0, 0},
};

START_TEST(versions_come_sorted_and_as_far_as_they_were_read)
{
	uint32_t i;

	set_reply(MODE_ANSWER, 200, version_lists[_i].body);
	read_versions(5, 9);
	ck_assert_int_eq(told_status, version_lists[_i].status);
	ck_assert_uint_eq(told_n, version_lists[_i].n);
	ck_assert_uint_eq(told_upto, version_lists[_i].upto);
	for (i = 1; i < told_n; i++)
		ck_assert_uint_lt(
		    told_rows[i - 1].version, told_rows[i].version);
}
END_TEST

START_TEST(no_more_versions_are_asked_for_than_the_platform_takes)
{
	set_reply(MODE_ANSWER, 200, ROWS("", ""));
	read_versions(1, 1000);
	ck_assert_uint_eq(told_upto, STORE_VERSIONS_MAX);
	ck_assert_ptr_nonnull(strstr(seen_body->str, "\"version/100\""));
	ck_assert_ptr_null(strstr(seen_body->str, "\"version/101\""));
}
END_TEST

/* Failures */

static const struct {
	struct reply reply;
	enum status status;
	enum store_conflict which;
} write_replies[] = {
    {{MODE_ANSWER, 200, "{}"}, STATUS_OK, STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 400, REASONS("ConditionalCheckFailed", "None")},
	STATUS_CONFLICT, STORE_CONFLICT_HEAD},
    {{MODE_ANSWER, 400,
	 REASONS("ConditionalCheckFailed", "ConditionalCheckFailed")},
	STATUS_CONFLICT, STORE_CONFLICT_HEAD},
    {{MODE_ANSWER, 400, REASONS("None", "ConditionalCheckFailed")},
	STATUS_CONFLICT, STORE_CONFLICT_VERSION},
    {{MODE_ANSWER, 400, REASONS("TransactionConflict", "None")},
	STATUS_UNAVAILABLE, STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 400, REASONS("None", "ValidationError")}, STATUS_INVALID,
	STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 400, CANCELLED "}"}, STATUS_UNAVAILABLE,
	STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 400, TYPE "ProvisionedThroughputExceededException\"}"},
	STATUS_UNAVAILABLE, STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 400, TYPE "ValidationException\"}"}, STATUS_INVALID,
	STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 400, TYPE "SomethingNewException\"}"}, STATUS_UNKNOWN,
	STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 500, TYPE "InternalServerError\"}"}, STATUS_UNKNOWN,
	STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 500, TYPE "ValidationException\"}"}, STATUS_UNKNOWN,
	STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 503, "busy"}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 302, "{}"}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 200, ""}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 200, "<html>"}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_ANSWER, 400, "[[[[["}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_CUT, 200, "{}"}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_DROP, 0, ""}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_HANG, 200, "{}"}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_BIG, 200, ""}, STATUS_UNKNOWN, STORE_CONFLICT_NONE},
    {{MODE_DOWN, 0, ""}, STATUS_UNAVAILABLE, STORE_CONFLICT_NONE},
};

/* Point the store at a port that nobody listens on. */
static void
take_platform_down(void)
{
	store_free(store);
	store = http_store_new(
	    client, loop, "http://127.0.0.1:9", "http://127.0.0.1:9");
}

static void
arrange(const struct reply *r)
{
	set_reply(r->mode, r->code, r->body);
	if (r->mode == MODE_DOWN)
		take_platform_down();
}

START_TEST(outcome_of_a_write_is_never_guessed)
{
	/* Leave a connection behind, which a write must not go out on. */
	set_reply(MODE_ANSWER, 200, "{}");
	read_head();
	seen_count = 0;
	arrange(&write_replies[_i].reply);
	write_something();
	ck_assert_int_eq(told_status, write_replies[_i].status);
	ck_assert_int_eq(told_which, write_replies[_i].which);
	ck_assert_int_eq(seen_count, write_replies[_i].reply.mode != MODE_DOWN);
}
END_TEST

static const struct {
	struct reply reply;
	enum status status;
} head_replies[] = {
    {{MODE_ANSWER, 200, "{}"}, STATUS_NOT_FOUND},
    {{MODE_ANSWER, 200, "{\"Item\":{}}"}, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 200, "{\"Item\":7}"}, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 200, "\1\2\3"}, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 200, ""}, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 400, TYPE "ProvisionedThroughputExceededException\"}"},
	STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 400, TYPE "ResourceNotFoundException\"}"},
	STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 500, "{}"}, STATUS_UNAVAILABLE},
    {{MODE_CUT, 200, "{}"}, STATUS_UNAVAILABLE},
    {{MODE_DROP, 0, ""}, STATUS_UNAVAILABLE},
    {{MODE_HANG, 200, "{}"}, STATUS_UNAVAILABLE},
    {{MODE_BIG, 200, ""}, STATUS_TOO_LARGE},
    {{MODE_DOWN, 0, ""}, STATUS_UNAVAILABLE},
};

START_TEST(failed_read_of_the_head_is_told)
{
	arrange(&head_replies[_i].reply);
	read_head();
	ck_assert_int_eq(told_status, head_replies[_i].status);
}
END_TEST

static const struct {
	struct reply reply;
	enum status put;
	enum status get;
} object_replies[] = {
    {{MODE_ANSWER, 200, "xyz"}, STATUS_OK, STATUS_OK},
    {{MODE_ANSWER, 412, S3_ERROR("PreconditionFailed")}, STATUS_OK,
	STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 409, S3_ERROR("ConditionalRequestConflict")},
	STATUS_UNAVAILABLE, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 404, S3_ERROR("NoSuchKey")}, STATUS_INVALID,
	STATUS_NOT_FOUND},
    {{MODE_ANSWER, 404, S3_ERROR("NoSuchBucket")}, STATUS_INVALID,
	STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 404, ""}, STATUS_INVALID, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 413, ""}, STATUS_TOO_LARGE, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 503, S3_ERROR("SlowDown")}, STATUS_UNAVAILABLE,
	STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 503, ""}, STATUS_UNKNOWN, STATUS_UNAVAILABLE},
    {{MODE_ANSWER, 500, S3_ERROR("InternalError")}, STATUS_UNKNOWN,
	STATUS_UNAVAILABLE},
    {{MODE_CUT, 200, "xy"}, STATUS_UNKNOWN, STATUS_UNAVAILABLE},
    {{MODE_OPEN, 200, "xy"}, STATUS_OK, STATUS_UNAVAILABLE},
    {{MODE_DROP, 0, ""}, STATUS_UNKNOWN, STATUS_UNAVAILABLE},
    {{MODE_HANG, 200, "xyz"}, STATUS_UNKNOWN, STATUS_UNAVAILABLE},
    {{MODE_BIG, 200, ""}, STATUS_UNKNOWN, STATUS_TOO_LARGE},
    {{MODE_DOWN, 0, ""}, STATUS_UNAVAILABLE, STATUS_UNAVAILABLE},
};

START_TEST(outcome_of_an_object_is_told)
{
	arrange(&object_replies[_i].reply);
	put_object();
	ck_assert_int_eq(told_status, object_replies[_i].put);
	if (object_replies[_i].reply.mode != MODE_DOWN) {
		ck_assert_str_eq(
		    seen_request->str, "PUT /bramley/section/ab *");
		ck_assert_str_eq(seen_body->str, "xyz");
	}
	get_object(1U << 20);
	ck_assert_int_eq(told_status, object_replies[_i].get);
	ck_assert_uint_eq(
	    told_bytes->len, object_replies[_i].get == STATUS_OK ? 3 : 0);
}
END_TEST

START_TEST(object_above_the_readers_limit_is_refused)
{
	set_reply(MODE_ANSWER, 200, "xyz");
	get_object(2);
	ck_assert_int_eq(told_status, STATUS_TOO_LARGE);
	get_object(3);
	ck_assert_int_eq(told_status, STATUS_OK);
	/* The limit is for the object, not for what is said of it. */
	set_reply(MODE_ANSWER, 404, S3_ERROR("NoSuchKey"));
	get_object(3);
	ck_assert_int_eq(told_status, STATUS_NOT_FOUND);
	set_reply(MODE_BIG, 500, "");
	get_object(3);
	ck_assert_int_eq(told_status, STATUS_UNAVAILABLE);
}
END_TEST

START_TEST(what_can_not_be_written_is_not_sent)
{
	uint8_t *data = g_malloc0(STORE_OBJECT_MAX_BYTES + 1);
	struct store_head h = some_head();
	struct store_version v = some_version();
	struct store_write w = {7, &h, &v};

	v.changes = data;
	v.changes_bytes = STORE_CHANGES_MAX_BYTES + 1;
	transact(&w);
	ck_assert_int_eq(told_status, STATUS_TOO_LARGE);
	v = some_version();
	v.note[0] = '\xff';
	transact(&w);
	ck_assert_int_eq(told_status, STATUS_INVALID);
	w.version = NULL;
	w.expected_seq = 8;
	transact(&w);
	ck_assert_int_eq(told_status, STATUS_INVALID);
	store_put_object_once(store, "k", data, STORE_OBJECT_MAX_BYTES + 1,
	    deadline(), on_put, &told);
	await();
	ck_assert_int_eq(told_status, STATUS_TOO_LARGE);
	ck_assert_int_eq(seen_count, 0);
	g_free(data);
}
END_TEST

START_TEST(freed_store_calls_nobody)
{
	set_reply(MODE_HANG, 200, "{}");
	store_read_head(store, deadline(), on_head, &told);
	store_put_object_once(
	    store, "k", (const uint8_t *)"x", 1, deadline(), on_put, &told);
	loop_run_once(loop, 0);
	store_free(store);
	store = NULL;
	loop_run_once(loop, clock_now_ms() + SHORT_MS);
	ck_assert_int_eq(told, 0);
}
END_TEST

START_TEST(operations_are_counted)
{
	GString *out = g_string_new(NULL);

	set_reply(MODE_DROP, 0, "");
	write_something();
	read_versions(1, 3);
	metrics_render(out);
	ck_assert_ptr_nonnull(
	    strstr(out->str, "bramley_store_reads_total 3\n"));
	ck_assert_ptr_nonnull(
	    strstr(out->str, "bramley_store_writes_total 2\n"));
	ck_assert_ptr_nonnull(
	    strstr(out->str, "bramley_store_unknown_writes_total 1\n"));
	ck_assert_ptr_nonnull(strstr(
	    out->str, "bramley_store_failures_total{operation=\"read\"} 1\n"));
	ck_assert_ptr_nonnull(strstr(
	    out->str, "bramley_store_seconds_count{operation=\"write\"} 1\n"));
	g_string_free(out, TRUE);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("store");
	TCase *tc = tcase_create("store");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, head_row_comes_back_as_it_was_written);
	tcase_add_test(tc, version_row_comes_back_as_it_was_written);
	tcase_add_loop_test(tc,
	    versions_come_sorted_and_as_far_as_they_were_read, 0,
	    G_N_ELEMENTS(version_lists));
	tcase_add_test(
	    tc, no_more_versions_are_asked_for_than_the_platform_takes);
	tcase_add_loop_test(tc, outcome_of_a_write_is_never_guessed, 0,
	    G_N_ELEMENTS(write_replies));
	tcase_add_loop_test(
	    tc, failed_read_of_the_head_is_told, 0, G_N_ELEMENTS(head_replies));
	tcase_add_loop_test(
	    tc, outcome_of_an_object_is_told, 0, G_N_ELEMENTS(object_replies));
	tcase_add_test(tc, object_above_the_readers_limit_is_refused);
	tcase_add_test(tc, what_can_not_be_written_is_not_sent);
	tcase_add_test(tc, freed_store_calls_nobody);
	tcase_add_test(tc, operations_are_counted);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
