/*
 * Tests of the store: status of each kind of failure.
 */
#include <string.h>

#include "base/metrics.h"
#include "fake_platform.h"

#define TYPE "{\"__type\":\"com.amazonaws.dynamodb.v20120810#"
#define CANCELLED TYPE "TransactionCanceledException\""
#define REASONS(a, b)                                               \
	CANCELLED ",\"CancellationReasons\":[{\"Code\":\"" a "\"}," \
		  "{\"Code\":\"" b "\"}]}"
#define S3_ERROR(code) "<Error><Code>" code "</Code></Error>"

static const struct {
	struct reply reply;
	enum status status;
	enum store_conflict conflict;
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

/* Points the store at a port on which nothing listens. */
static void
take_platform_down(void)
{
	store_free(store);
	store = http_store_new(
	    client, loop, "http://127.0.0.1:9", "http://127.0.0.1:9");
}

static void
apply_reply(const struct reply *r)
{
	set_reply(r->mode, r->code, r->body);
	if (r->mode == MODE_DOWN)
		take_platform_down();
}

START_TEST(write_is_sent_at_most_once_and_its_outcome_reported)
{
	/* Leaves an idle connection, which a write must not use. */
	set_reply(MODE_ANSWER, 200, "{}");
	caller_read_head();
	seen_count = 0;
	apply_reply(&write_replies[_i].reply);
	caller_write_example();
	ck_assert_int_eq(result_status, write_replies[_i].status);
	ck_assert_int_eq(result_conflict, write_replies[_i].conflict);
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

START_TEST(failed_read_of_the_head_is_reported)
{
	apply_reply(&head_replies[_i].reply);
	caller_read_head();
	ck_assert_int_eq(result_status, head_replies[_i].status);
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

START_TEST(outcome_of_an_object_is_reported)
{
	apply_reply(&object_replies[_i].reply);
	caller_put_object();
	ck_assert_int_eq(result_status, object_replies[_i].put);
	if (object_replies[_i].reply.mode != MODE_DOWN) {
		ck_assert_str_eq(
		    seen_request->str, "PUT /bramley/section/ab *");
		ck_assert_str_eq(seen_body->str, "xyz");
	}
	caller_get_object(1U << 20);
	ck_assert_int_eq(result_status, object_replies[_i].get);
	ck_assert_uint_eq(
	    result_bytes->len, object_replies[_i].get == STATUS_OK ? 3 : 0);
}
END_TEST

START_TEST(object_above_the_readers_limit_is_refused)
{
	set_reply(MODE_ANSWER, 200, "xyz");
	caller_get_object(2);
	ck_assert_int_eq(result_status, STATUS_TOO_LARGE);
	caller_get_object(3);
	ck_assert_int_eq(result_status, STATUS_OK);
	/* The limit applies to the object, not to an error answer. */
	set_reply(MODE_ANSWER, 404, S3_ERROR("NoSuchKey"));
	caller_get_object(3);
	ck_assert_int_eq(result_status, STATUS_NOT_FOUND);
	set_reply(MODE_BIG, 500, "");
	caller_get_object(3);
	ck_assert_int_eq(result_status, STATUS_UNAVAILABLE);
}
END_TEST

START_TEST(invalid_writes_are_not_sent)
{
	uint8_t *data = g_malloc0(STORE_OBJECT_MAX_BYTES + 1);
	struct store_head h = example_head();
	struct store_version v = example_version();
	struct store_write w = {7, &h, &v};

	v.changes = data;
	v.changes_bytes = STORE_CHANGES_MAX_BYTES + 1;
	caller_transact(&w);
	ck_assert_int_eq(result_status, STATUS_TOO_LARGE);
	v = example_version();
	v.note[0] = '\xff';
	caller_transact(&w);
	ck_assert_int_eq(result_status, STATUS_INVALID);
	w.version = NULL;
	w.expected_seq = 8;
	caller_transact(&w);
	ck_assert_int_eq(result_status, STATUS_INVALID);
	store_put_object_once(store, "k", data, STORE_OBJECT_MAX_BYTES + 1,
	    caller_deadline(), caller_on_put, &n_callbacks);
	caller_await();
	ck_assert_int_eq(result_status, STATUS_TOO_LARGE);
	ck_assert_int_eq(seen_count, 0);
	g_free(data);
}
END_TEST

START_TEST(freed_store_calls_no_callback)
{
	set_reply(MODE_HANG, 200, "{}");
	store_read_head(store, caller_deadline(), caller_on_head, &n_callbacks);
	store_put_object_once(store, "k", (const uint8_t *)"x", 1,
	    caller_deadline(), caller_on_put, &n_callbacks);
	loop_run_once(loop, 0);
	store_free(store);
	store = NULL;
	loop_run_once(loop, clock_now_ms() + HANG_TIMEOUT_MS);
	ck_assert_int_eq(n_callbacks, 0);
}
END_TEST

START_TEST(operations_are_counted)
{
	GString *out = g_string_new(NULL);

	set_reply(MODE_DROP, 0, "");
	caller_write_example();
	caller_read_versions(1, 3);
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
	TCase *tc = tcase_create("store_faults");

	tcase_add_checked_fixture(tc, platform_setup, platform_teardown);
	tcase_add_loop_test(tc,
	    write_is_sent_at_most_once_and_its_outcome_reported, 0,
	    G_N_ELEMENTS(write_replies));
	tcase_add_loop_test(tc, failed_read_of_the_head_is_reported, 0,
	    G_N_ELEMENTS(head_replies));
	tcase_add_loop_test(tc, outcome_of_an_object_is_reported, 0,
	    G_N_ELEMENTS(object_replies));
	tcase_add_test(tc, object_above_the_readers_limit_is_refused);
	tcase_add_test(tc, invalid_writes_are_not_sent);
	tcase_add_test(tc, freed_store_calls_no_callback);
	tcase_add_test(tc, operations_are_counted);
	return support_run("store_faults", tc);
}
