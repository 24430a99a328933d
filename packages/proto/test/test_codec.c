/*
 * Tests of the codec: round trips of every message, and invalid input.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <msgpack.h>

#include "proto/check.h"
#include "proto/messages.h"
#include "sample.h"
#include "test_run.h"

#define SEED 20241
#define ROUNDS 50

static GByteArray *
reencoded(const struct codec_desc *desc, const GByteArray *in)
{
	GByteArray *out = g_byte_array_new();
	void *obj = g_malloc(desc->size_bytes);

	ck_assert_msg(codec_decode(desc, in->data, in->len, obj) == STATUS_OK,
	    "%s: %s", desc->name, status_message());
	codec_encode(desc, obj, out);
	codec_clear(desc, obj);
	g_free(obj);
	return out;
}

static enum status
decoded(const struct codec_desc *desc, const void *data, size_t len)
{
	void *obj = g_malloc(desc->size_bytes);
	void *zero = g_malloc0(MAX(desc->size_bytes, 1));
	enum status st = codec_decode(desc, data, len, obj);

	if (st == STATUS_OK)
		codec_clear(desc, obj);
	/* A failed decode leaves no memory to be freed. */
	ck_assert_mem_eq(obj, zero, desc->size_bytes);
	g_free(obj);
	g_free(zero);
	return st;
}

static int
pack_to(void *data, const char *buf, size_t len)
{
	(void)g_byte_array_append(data, (const guint8 *)buf, (guint)len);
	return 0;
}

static void
message_round_trip(const struct codec_desc *desc, GRand *rand)
{
	GByteArray *in, *out;
	int round;

	for (round = 0; round < ROUNDS; round++) {
		in = sample_encoded(desc, rand);
		out = reencoded(desc, in);
		ck_assert_uint_eq(in->len, out->len);
		ck_assert_mem_eq(in->data, out->data, in->len);
		g_byte_array_unref(in);
		g_byte_array_unref(out);
	}
}

static void
message_truncated(const struct codec_desc *desc, GRand *rand)
{
	GByteArray *in;
	guint len;

	in = sample_encoded(desc, rand);
	for (len = 0; len < in->len; len++)
		ck_assert_int_eq(decoded(desc, in->data, len), STATUS_INVALID);
	(void)g_byte_array_append(in, (const guint8 *)"\xc0", 1);
	ck_assert_int_eq(decoded(desc, in->data, in->len), STATUS_INVALID);
	g_byte_array_unref(in);
}

/* Packs the sample with @n elements, with element @at replaced by @value. */
static GByteArray *
with_element(
    const GByteArray *in, uint32_t n, uint32_t at, const msgpack_object *value)
{
	static const msgpack_object nil = {.type = MSGPACK_OBJECT_NIL};
	GByteArray *out = g_byte_array_new();
	msgpack_unpacked un;
	msgpack_packer pk;
	uint32_t i;

	msgpack_unpacked_init(&un);
	ck_assert_int_eq(
	    msgpack_unpack_next(&un, (const char *)in->data, in->len, NULL),
	    MSGPACK_UNPACK_SUCCESS);
	msgpack_packer_init(&pk, out, pack_to);
	(void)msgpack_pack_array(&pk, n);
	for (i = 0; i < n; i++) {
		if (i == at)
			(void)msgpack_pack_object(&pk, *value);
		else if (i < un.data.via.array.size)
			(void)msgpack_pack_object(
			    &pk, un.data.via.array.ptr[i]);
		else
			(void)msgpack_pack_object(&pk, nil);
	}
	msgpack_unpacked_destroy(&un);
	return out;
}

static void
message_of_another_release(const struct codec_desc *desc, GRand *rand)
{
	GByteArray *in, *longer, *shorter;

	in = sample_encoded(desc, rand);
	longer = with_element(in, desc->n_fields + 2, UINT32_MAX, NULL);
	shorter = with_element(in, desc->n_fields - 1, UINT32_MAX, NULL);
	ck_assert_int_eq(decoded(desc, longer->data, longer->len), STATUS_OK);
	ck_assert_int_eq(decoded(desc, shorter->data, shorter->len), STATUS_OK);
	g_byte_array_unref(longer);
	g_byte_array_unref(shorter);
	g_byte_array_unref(in);
}

/* Makes a value that exceeds the field's limit by one; 0 if it has no limit. */
static int
oversized_value(const struct codec_field *f, void *buffer, msgpack_object *o)
{
	uint64_t max = f->kind == CODEC_U8 ? UINT8_MAX
	    : f->kind == CODEC_U16	   ? UINT16_MAX
	    : f->kind == CODEC_U32	   ? UINT32_MAX
	    : f->kind == CODEC_I64	   ? INT64_MAX
					   : 0;

	memset(buffer, 0, (f->max + 1) * sizeof(msgpack_object));
	switch (f->kind) {
	case CODEC_STR:
	case CODEC_TEXT:
		o->type = MSGPACK_OBJECT_STR;
		o->via.str.ptr = memset(buffer, 'a', f->max + 1);
		o->via.str.size = f->max + 1;
		return 1;
	case CODEC_BYTES:
		o->type = MSGPACK_OBJECT_BIN;
		o->via.bin.ptr = buffer;
		o->via.bin.size = f->max + 1;
		return 1;
	case CODEC_LIST:
		o->type = MSGPACK_OBJECT_ARRAY;
		o->via.array.ptr = buffer;
		o->via.array.size = f->max + 1;
		return 1;
	case CODEC_ENUM:
		max = f->values - 1;
		break;
	default:
		if (max == 0)
			return 0;
		break;
	}
	o->type = MSGPACK_OBJECT_POSITIVE_INTEGER;
	o->via.u64 = max + 1;
	return 1;
}

/* Decoding must fail with an error that names the message, field and cause. */
static void
check_rejected(const struct codec_desc *desc, const GByteArray *in, uint32_t at,
    const msgpack_object *value, const char *why)
{
	GByteArray *bad = with_element(in, desc->n_fields, at, value);

	ck_assert_msg(decoded(desc, bad->data, bad->len) == STATUS_INVALID,
	    "%s.%s", desc->name, desc->fields[at].name);
	if (desc->fields[at].kind != CODEC_STRUCT)
		ck_assert_ptr_nonnull(strstr(status_message(), desc->name));
	ck_assert_ptr_nonnull(strstr(status_message(), desc->fields[at].name));
	ck_assert_ptr_nonnull(strstr(status_message(), why));
	g_byte_array_unref(bad);
}

static void
message_with_wrong_field(const struct codec_desc *desc, GRand *rand)
{
	static const msgpack_object wrong_types[] = {
	    {.type = MSGPACK_OBJECT_NIL},
	    {.type = MSGPACK_OBJECT_MAP},
	};
	msgpack_object too_many;
	GByteArray *in;
	uint32_t at;
	size_t t;
	void *buffer;

	in = sample_encoded(desc, rand);
	for (at = 0; at < desc->n_fields; at++) {
		for (t = 0; t < G_N_ELEMENTS(wrong_types); t++)
			check_rejected(
			    desc, in, at, &wrong_types[t], "must be");
		buffer = g_malloc(
		    (desc->fields[at].max + 1) * sizeof(msgpack_object));
		if (oversized_value(&desc->fields[at], buffer, &too_many))
			check_rejected(desc, in, at, &too_many,
			    too_many.type == MSGPACK_OBJECT_POSITIVE_INTEGER
				? "must be"
				: "at most");
		g_free(buffer);
	}
	g_byte_array_unref(in);
}

typedef void (*property)(const struct codec_desc *desc, GRand *rand);

static const property properties[] = {message_round_trip, message_truncated,
    message_of_another_release, message_with_wrong_field};

/* The loop index selects the property, which must hold for every message. */
START_TEST(every_message)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	const struct codec_desc *desc;
	int i;

	for (i = 0; i < SAMPLE_TYPES; i++) {
		desc = sample_desc(i);
		if (desc != NULL)
			properties[_i](desc, rand);
	}
	g_rand_free(rand);
}
END_TEST

/* Compares an encoding byte by byte, so that the wire format can't change. */
START_TEST(wire_format_is_fixed)
{
	static const uint8_t want[] = {
	    0x93, 0x07, 0xc4, 0x02, 0xaa, 0xbb, 0xc3};
	static const uint8_t data[] = {0xaa, 0xbb};
	struct msg_call_chunk m = {
	    .stream = 7, .data = data, .data_len = 2, .fin = true};
	GByteArray *out = g_byte_array_new();

	msg_call_chunk_encode(&m, out);
	ck_assert_uint_eq(out->len, sizeof(want));
	ck_assert_mem_eq(out->data, want, sizeof(want));
	memset(&m, 0, sizeof(m));
	ck_assert_int_eq(
	    msg_call_chunk_decode(out->data, out->len, &m), STATUS_OK);
	ck_assert_uint_eq(m.stream, 7);
	ck_assert_uint_eq(m.data_len, 2);
	ck_assert_ptr_eq(m.data, out->data + 4);
	ck_assert(m.fin);
	msg_call_chunk_clear(&m);
	g_byte_array_unref(out);
}
END_TEST

START_TEST(zero_byte_in_name_is_rejected)
{
	static const uint8_t in[] = {0x92, 0x01, 0xa2, 'a', 0x00};
	struct msg_call_hello m;

	ck_assert_int_eq(
	    msg_call_hello_decode(in, sizeof(in), &m), STATUS_INVALID);
}
END_TEST

START_TEST(names)
{
	static const char *const words[] = {"a", "b"};

	ck_assert_str_eq(msg_type_name(MSG_CALL_OPEN), "call_open");
	ck_assert_str_eq(msg_type_name(MSG_NONE), "unknown");
	ck_assert_str_eq(msg_type_name(UINT32_MAX), "unknown");
	ck_assert_str_eq(codec_value_name(words, 2, 1), "b");
	ck_assert_str_eq(codec_value_name(words, 2, 2), "unknown");
}
END_TEST

/* Input that proto_check() accepts or rejects. */
struct check_row {
	const char *data;
	size_t len;
	enum status st;
};

#define ROW(text, st)                        \
	{                                    \
		text, sizeof(text) - 1, (st) \
	}

static const struct check_row check_rows[] = {
    ROW("", STATUS_INVALID),
    ROW("\xc0", STATUS_OK),
    ROW("\x7f", STATUS_OK),
    ROW("\xe0", STATUS_OK),
    ROW("\xa3"
	"abc",
	STATUS_OK),
    ROW("\xa3"
	"ab",
	STATUS_INVALID),
    ROW("\xc4\x02\x01\x02", STATUS_OK),
    ROW("\xc6\xff\xff\xff\xff", STATUS_INVALID),
    ROW("\xdb\x00\x00\x00\x01", STATUS_INVALID),
    ROW("\xcf\x01\x02\x03\x04\x05\x06\x07\x08", STATUS_OK),
    ROW("\xcf\x01\x02\x03", STATUS_INVALID),
    ROW("\xd3\x01\x02\x03\x04\x05\x06\x07\x08", STATUS_OK),
    /* Element counts of containers compared with the bytes left. */
    ROW("\x92\x01\x02", STATUS_OK),
    ROW("\x92\x01", STATUS_INVALID),
    ROW("\x82\x01\x02\x03\x04", STATUS_OK),
    ROW("\x82\x01\x02\x03", STATUS_INVALID),
    ROW("\xdd\xff\xff\xff\xff\x01", STATUS_INVALID),
    ROW("\xdf\xff\xff\xff\xff\x01\x01", STATUS_INVALID),
    ROW("\xdc\x00\x02\x90\x90", STATUS_OK),
    /* Bytes after the end. */
    ROW("\xc0\xc0", STATUS_INVALID),
    /* Nesting of eight and nine levels. */
    ROW("\x91\x91\x91\x91\x91\x91\x91\x90", STATUS_OK),
    ROW("\x91\x91\x91\x91\x91\x91\x91\x91\x90", STATUS_INVALID),
    /* Types that no message uses: reserved, ext, float, fixext. */
    ROW("\xc1", STATUS_INVALID),
    ROW("\xc7\x01\x01\x01", STATUS_INVALID),
    ROW("\xca\x01\x02\x03\x04", STATUS_INVALID),
    ROW("\xcb\x01\x02\x03\x04\x05\x06\x07\x08", STATUS_INVALID),
    ROW("\xd4\x01\x01", STATUS_INVALID),
};

START_TEST(check_accepts_and_rejects)
{
	const struct check_row *row = &check_rows[_i];
	uint8_t *copy = g_memdup2(row->data, row->len);

	ck_assert_int_eq(proto_check(copy, row->len), row->st);
	g_free(copy);
}
END_TEST

START_TEST(check_rejects_too_large)
{
	size_t len = PROTO_BODY_MAX_BYTES + 1;
	uint8_t *data = g_malloc0(len);

	ck_assert_int_eq(proto_check(data, len), STATUS_TOO_LARGE);
	g_free(data);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("codec");
	TCase *tc = tcase_create("codec");

	tcase_add_loop_test(
	    tc, every_message, 0, (int)G_N_ELEMENTS(properties));
	tcase_add_test(tc, wire_format_is_fixed);
	tcase_add_test(tc, zero_byte_in_name_is_rejected);
	tcase_add_test(tc, names);
	tcase_add_loop_test(
	    tc, check_accepts_and_rejects, 0, (int)G_N_ELEMENTS(check_rows));
	tcase_add_test(tc, check_rejects_too_large);
	suite_add_tcase(s, tc);
	return test_run(s);
}
