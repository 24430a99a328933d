/*
 * Tests of the store: rows are read back as written.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "fake_platform.h"

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
	struct store_head h = example_head();
	struct store_write w = {7, &h, NULL};
	char *text;

	set_reply(MODE_ANSWER, 200, "{}");
	caller_transact(&w);
	ck_assert_int_eq(result_status, STATUS_OK);
	ck_assert_str_eq(
	    seen_request->str, "POST / DynamoDB_20120810.TransactWriteItems");
	ck_assert_ptr_nonnull(strstr(seen_body->str,
	    "\"ConditionExpression\":\"#c = :c\","
	    "\"ExpressionAttributeNames\":{\"#c\":\"seq\"},"
	    "\"ExpressionAttributeValues\":{\":c\":{\"N\":\"7\"}}"));
	text = item_within(0, "{\"Item\":%s}");
	set_reply(MODE_ANSWER, 200, text);
	caller_read_head();
	ck_assert_int_eq(result_status, STATUS_OK);
	ck_assert_uint_eq(result_head.seq, h.seq);
	ck_assert_uint_eq(result_head.version, h.version);
	ck_assert_uint_eq(result_head.in_force, h.in_force);
	ck_assert_uint_eq(result_head.parent, h.parent);
	ck_assert_int_eq(result_head.state, h.state);
	ck_assert(hash_digest_equal(&result_head.root, &h.root));
	ck_assert_str_eq(result_head.op, h.op);
	ck_assert_str_eq(seen_body->str,
	    "{\"TableName\":\"bramley\",\"Key\":{\"pk\":{\"S\":\"head\"}},"
	    "\"ConsistentRead\":true}");
	g_free(text);
}
END_TEST

START_TEST(version_row_comes_back_as_it_was_written)
{
	struct store_head h = example_head();
	struct store_version v = example_version();
	struct store_write w = {0, &h, &v};
	char *text;

	h.seq = 1;
	set_reply(MODE_ANSWER, 200, "{}");
	caller_transact(&w);
	ck_assert_ptr_nonnull(strstr(seen_body->str,
	    "\"ConditionExpression\":\"attribute_not_exists(pk)\""));
	ck_assert_ptr_null(strstr(seen_body->str, "#c"));
	text = item_within(1,
	    "{\"Responses\":{\"bramley\":[%s]},"
	    "\"UnprocessedKeys\":{}}");
	set_reply(MODE_ANSWER, 200, text);
	caller_read_versions(6, 7);
	ck_assert_int_eq(result_status, STATUS_OK);
	ck_assert_uint_eq(result_n_rows, 1);
	ck_assert_uint_eq(result_upto, 7);
	ck_assert_uint_eq(result_rows[0].version, v.version);
	ck_assert_uint_eq(result_rows[0].parent, v.parent);
	ck_assert_uint_eq(result_rows[0].wall_ms, v.wall_ms);
	ck_assert(hash_digest_equal(&result_rows[0].root, &v.root));
	ck_assert_str_eq(result_rows[0].op, v.op);
	ck_assert_str_eq(result_rows[0].operator_name, v.operator_name);
	ck_assert_str_eq(result_rows[0].note, v.note);
	ck_assert_uint_eq(result_bytes->len, v.changes_bytes);
	ck_assert_int_eq(memcmp(result_bytes->data, v.changes, 3), 0);
	ck_assert_str_eq(seen_body->str,
	    "{\"RequestItems\":{\"bramley\":{\"Keys\":["
	    "{\"pk\":{\"S\":\"version/6\"}},{\"pk\":{\"S\":\"version/7\"}}],"
	    "\"ConsistentRead\":true}}}");
	g_free(text);
}
END_TEST

#define TOO_LONG_OP \
	"0123456789012345678901234567890123456789012345678901234567890123"
#define ROW(n) ROW_WITH_OP(n, "o")
#define ROW_WITH_OP(n, op)                                                 \
	"{\"pk\":{\"S\":\"version/" n "\"},\"version\":{\"N\":\"" n "\"}," \
	"\"parent\":{\"N\":\"1\"},\"wall_ms\":{\"N\":\"1\"},"              \
	"\"root\":{\"S\":\"ba7816bf8f01cfea414140de5dae2223"               \
	"b00361a396177a9cb410ff61f20015ad\"},\"op\":{\"S\":\"" op "\"},"   \
	"\"operator\":{\"S\":\"\"},\"note\":{\"S\":\"\"},"                 \
	"\"changes\":{\"B\":\"\"}}"
#define ROWS(rows, keys)                           \
	"{\"Responses\":{\"bramley\":[" rows "]}," \
	"\"UnprocessedKeys\":{" keys "}}"
#define UNPROCESSED(n) \
	"\"bramley\":{\"Keys\":[{\"pk\":{\"S\":\"version/" n "\"}}]}"

static const struct {
	const char *body;
	enum status status;
	uint32_t n;
	uint64_t upto;
} version_lists[] = {
    {ROWS("", ""), STATUS_OK, 0, 9},
    {ROWS(ROW("9") "," ROW("5"), ""), STATUS_OK, 2, 9},
    {ROWS(ROW("9") "," ROW("5"), UNPROCESSED("7")), STATUS_OK, 1, 6},
    {ROWS(ROW("9"), UNPROCESSED("5")), STATUS_UNAVAILABLE, 0, 0},
    {ROWS("", UNPROCESSED("x")), STATUS_UNAVAILABLE, 0, 0},
    {ROWS(ROW("99"), ""), STATUS_OK, 0, 9},
    {ROWS(ROW("6") "," ROW("6"), ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS("{}", ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS(ROW_WITH_OP("6", TOO_LONG_OP), ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS(ROW("-6"), ""), STATUS_UNAVAILABLE, 0, 0},
    {ROWS("7", ""), STATUS_UNAVAILABLE, 0, 0},
    {"{}", STATUS_UNAVAILABLE, 0, 0},
};

START_TEST(versions_are_sorted_and_end_before_unprocessed_ones)
{
	uint32_t i;

	set_reply(MODE_ANSWER, 200, version_lists[_i].body);
	caller_read_versions(5, 9);
	ck_assert_int_eq(result_status, version_lists[_i].status);
	ck_assert_uint_eq(result_n_rows, version_lists[_i].n);
	ck_assert_uint_eq(result_upto, version_lists[_i].upto);
	for (i = 1; i < result_n_rows; i++)
		ck_assert_uint_lt(
		    result_rows[i - 1].version, result_rows[i].version);
}
END_TEST

START_TEST(versions_per_read_are_limited)
{
	set_reply(MODE_ANSWER, 200, ROWS("", ""));
	caller_read_versions(1, 1000);
	ck_assert_uint_eq(result_upto, STORE_VERSIONS_MAX);
	ck_assert_ptr_nonnull(strstr(seen_body->str, "\"version/100\""));
	ck_assert_ptr_null(strstr(seen_body->str, "\"version/101\""));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("store");

	tcase_add_checked_fixture(tc, platform_setup, platform_teardown);
	tcase_add_test(tc, head_row_comes_back_as_it_was_written);
	tcase_add_test(tc, version_row_comes_back_as_it_was_written);
	tcase_add_loop_test(tc,
	    versions_are_sorted_and_end_before_unprocessed_ones, 0,
	    G_N_ELEMENTS(version_lists));
	tcase_add_test(tc, versions_per_read_are_limited);
	return support_run("store", tc);
}
