/*
 * Tests of the stand-in platform: table service, object store, rate limits.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "standins/objects.h"
#include "standins/peak.h"
#include "standins/rate.h"
#include "standins/rows.h"

#include "test_run.h"

#define SECOND_US 1000000ULL

/* A Put of {"pk": key, "seq": seq}; @cond is a condition or "". */
#define PUT(key, seq, cond)                                                  \
	"{\"Put\":{\"TableName\":\"bramley\",\"Item\":{\"pk\":{\"S\":\"" key \
	"\"},\"seq\":{\"N\":\"" seq "\"}}" cond "}}"
#define NOT_EXISTS ",\"ConditionExpression\":\"attribute_not_exists(pk)\""
#define SEQ_EQUALS(seq)                                  \
	",\"ConditionExpression\":\"#c = :c\","          \
	"\"ExpressionAttributeNames\":{\"#c\":\"seq\"}," \
	"\"ExpressionAttributeValues\":{\":c\":{\"N\":\"" seq "\"}}"
#define WRITE(puts) "{\"TransactItems\":[" puts "]}"
#define GET(key) \
	"{\"TableName\":\"bramley\",\"Key\":{\"pk\":{\"S\":\"" key "\"}}}"
#define BATCH(keys) "{\"RequestItems\":{\"bramley\":{\"Keys\":[" keys "]}}}"
#define KEY(key) "{\"pk\":{\"S\":\"" key "\"}}"

#define TYPE_CANCELLED \
	"com.amazonaws.dynamodb.v20120810#TransactionCanceledException"
#define TYPE_INVALID "com.amazonaws.dynamodb.v20120810#ValidationException"

/* A request, and the HTTP status and error type (or NULL) it must return. */
struct step {
	const char *label;
	enum rows_op op;
	const char *request;
	int code;
	const char *type;
};

static const struct step steps[] = {
    {"first", ROWS_OP_TRANSACT_WRITE, WRITE(PUT("head", "1", NOT_EXISTS)), 200,
	NULL},
    {"exists", ROWS_OP_TRANSACT_WRITE, WRITE(PUT("head", "1", NOT_EXISTS)), 400,
	TYPE_CANCELLED},
    {"condition on another seq", ROWS_OP_TRANSACT_WRITE,
	WRITE(PUT("head", "2", SEQ_EQUALS("9"))), 400, TYPE_CANCELLED},
    {"no such row", ROWS_OP_TRANSACT_WRITE,
	WRITE(PUT("x", "2", SEQ_EQUALS("1"))), 400, TYPE_CANCELLED},
    {"one condition fails", ROWS_OP_TRANSACT_WRITE,
	WRITE(PUT("v1", "1", NOT_EXISTS) "," PUT("head", "2", SEQ_EQUALS("7"))),
	400, TYPE_CANCELLED},
    {"the failed transaction wrote nothing", ROWS_OP_TRANSACT_WRITE,
	WRITE(PUT("v1", "1", NOT_EXISTS) "," PUT("head", "2", SEQ_EQUALS("1"))),
	200, NULL},
    {"same row twice", ROWS_OP_TRANSACT_WRITE,
	WRITE(PUT("a", "1", "") "," PUT("a", "2", "")), 400, TYPE_INVALID},
    {"empty", ROWS_OP_TRANSACT_WRITE, WRITE(""), 400, TYPE_INVALID},
    {"unsupported condition", ROWS_OP_TRANSACT_WRITE,
	WRITE(PUT("a", "1", ",\"ConditionExpression\":\"seq > :c\"")), 400,
	TYPE_INVALID},
    {"condition is not text", ROWS_OP_TRANSACT_WRITE,
	WRITE(PUT("a", "1", ",\"ConditionExpression\":1")), 400, TYPE_INVALID},
    {"bad number", ROWS_OP_TRANSACT_WRITE, WRITE(PUT("a", "1x", "")), 400,
	TYPE_INVALID},
    {"no key", ROWS_OP_TRANSACT_WRITE, WRITE(PUT("", "1", "")), 400,
	TYPE_INVALID},
    {"get", ROWS_OP_GET, GET("head"), 200, NULL},
    {"get an absent row", ROWS_OP_GET, GET("none"), 200, NULL},
    {"batch", ROWS_OP_BATCH_GET, BATCH(KEY("head") "," KEY("v1")), 200, NULL},
    {"batch with duplicates", ROWS_OP_BATCH_GET, BATCH(KEY("v1") "," KEY("v1")),
	400, TYPE_INVALID},
    {"batch empty", ROWS_OP_BATCH_GET, BATCH(""), 400, TYPE_INVALID},
    {"no json", ROWS_OP_GET, "nonsense", 400,
	"com.amazonaws.dynamodb.v20120810#SerializationException"},
    {"unknown", ROWS_OP_UNKNOWN, "{}", 400,
	"com.amazonaws.dynamodb.v20120810#UnknownOperationException"},
};

static void
apply(struct rows *t, enum rows_op op, const char *text,
    struct rows_response *resp)
{
	json_t *req = json_loads(text, 0, NULL);

	rows_apply(t, op, req, resp);
	json_decref(req);
}

START_TEST(table_steps_in_order)
{
	const struct step *s;
	const char *type;
	size_t i;
	struct rows *t = rows_new();
	struct rows_response resp;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		s = &steps[i];
		apply(t, s->op, s->request, &resp);
		type = json_string_value(json_object_get(resp.body, "__type"));
		ck_assert_msg(
		    resp.code == s->code, "%s: %d", s->label, resp.code);
		ck_assert_msg(
		    g_strcmp0(type, s->type) == 0, "%s: %s", s->label, type);
		json_decref(resp.body);
	}
	ck_assert_uint_eq(rows_count(t), 2);
	rows_free(t);
}
END_TEST

START_TEST(table_returns_written_rows)
{
	struct rows *t = rows_new();
	struct rows_response resp;
	json_t *item;

	apply(t, ROWS_OP_TRANSACT_WRITE, WRITE(PUT("head", "41", NOT_EXISTS)),
	    &resp);
	json_decref(resp.body);
	apply(t, ROWS_OP_GET, GET("head"), &resp);
	item = json_object_get(resp.body, "Item");
	ck_assert_str_eq(json_string_value(json_object_get(
			     json_object_get(item, "seq"), "N")),
	    "41");
	json_decref(resp.body);
	apply(t, ROWS_OP_GET, GET("none"), &resp);
	ck_assert_ptr_null(json_object_get(resp.body, "Item"));
	json_decref(resp.body);
	apply(t, ROWS_OP_BATCH_GET, BATCH(KEY("none") "," KEY("head")), &resp);
	item = json_object_get(
	    json_object_get(resp.body, "Responses"), ROWS_TABLE);
	ck_assert_uint_eq(json_array_size(item), 1);
	json_decref(resp.body);
	rows_free(t);
}
END_TEST

START_TEST(cancelled_transaction_names_the_row)
{
	struct rows *t = rows_new();
	struct rows_response resp;
	json_t *reasons;

	apply(t, ROWS_OP_TRANSACT_WRITE,
	    WRITE(PUT("a", "1", NOT_EXISTS) "," PUT("b", "1", SEQ_EQUALS("1"))),
	    &resp);
	reasons = json_object_get(resp.body, "CancellationReasons");
	ck_assert_str_eq(json_string_value(json_object_get(
			     json_array_get(reasons, 0), "Code")),
	    "None");
	ck_assert_str_eq(json_string_value(json_object_get(
			     json_array_get(reasons, 1), "Code")),
	    "ConditionalCheckFailed");
	json_decref(resp.body);
	rows_free(t);
}
END_TEST

START_TEST(conditional_put_fails_if_the_object_exists)
{
	GBytes *a = g_bytes_new("a", 1), *b = g_bytes_new("bcd", 3), *got;
	struct objects *o = objects_new();

	ck_assert_int_eq(objects_get(o, "k", &got), OBJECTS_NO_KEY);
	ck_assert_int_eq(objects_put(o, "k", a, 1), OBJECTS_OK);
	ck_assert_int_eq(objects_put(o, "k", b, 1), OBJECTS_EXISTS);
	ck_assert_int_eq(objects_get(o, "k", &got), OBJECTS_OK);
	ck_assert(g_bytes_equal(got, a));
	g_bytes_unref(got);
	ck_assert_int_eq(objects_put(o, "k", b, 0), OBJECTS_OK);
	ck_assert_uint_eq(objects_count(o), 1);
	ck_assert_uint_eq(objects_bytes(o), 3);
	g_bytes_unref(a);
	g_bytes_unref(b);
	objects_free(o);
}
END_TEST

START_TEST(bucket_limits_the_rate)
{
	int taken = 0;
	struct rate r;
	uint64_t us;

	rate_set(&r, 100, 0);
	for (us = 0; us < 3 * SECOND_US; us += 1000)
		taken += rate_take(&r, 1, us);
	ck_assert_int_ge(taken, 399 - 1);
	ck_assert_int_le(taken, 400);
	ck_assert(!rate_take(&r, 101, 60 * SECOND_US));
	ck_assert(rate_take(&r, 100, 120 * SECOND_US));
	ck_assert(!rate_take(&r, 1, 120 * SECOND_US));
}
END_TEST

START_TEST(peak_is_that_of_any_second)
{
	struct peak p = {0};

	peak_add(&p, 3, SECOND_US);
	peak_add(&p, 4, 2 * SECOND_US - 1);
	ck_assert_uint_eq(p.highest, 7);
	peak_add(&p, 2, 2 * SECOND_US);
	ck_assert_uint_eq(p.highest, 7);
	peak_add(&p, 5, 3 * SECOND_US - 2);
	ck_assert_uint_eq(p.highest, 11);
	peak_reset(&p);
	peak_add(&p, 1, 3 * SECOND_US);
	ck_assert_uint_eq(p.highest, 1);
	peak_reset(&p);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("platform");
	TCase *tc = tcase_create("platform");

	tcase_add_test(tc, table_steps_in_order);
	tcase_add_test(tc, table_returns_written_rows);
	tcase_add_test(tc, cancelled_transaction_names_the_row);
	tcase_add_test(tc, conditional_put_fails_if_the_object_exists);
	tcase_add_test(tc, bucket_limits_the_rate);
	tcase_add_test(tc, peak_is_that_of_any_second);
	suite_add_tcase(s, tc);
	return test_run(s);
}
