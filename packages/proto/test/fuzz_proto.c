/*
 * Fuzz test: mutated encodings as input of every decoder.
 *
 * The seed is fixed, so that each run tests the same cases; BRAMLEY_FUZZ_SEED
 * sets another seed.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <msgpack.h>

#include "proto/check.h"
#include "proto/frame.h"
#include "proto/settings.h"
#include "sample.h"
#include "test_run.h"

#define SEED 7919
#define CASES_PER_MESSAGE 2000
#define STREAM_CASES 3000
#define SETTINGS_CASES 10000
#define MUTATIONS_MAX 4
#define STREAM_MAX_BYTES 64

static GRand *
fuzz_rand(void)
{
	const char *text = g_getenv("BRAMLEY_FUZZ_SEED");
	guint64 seed = SEED;

	if (text != NULL)
		seed = g_ascii_strtoull(text, NULL, 10);
	return g_rand_new_with_seed((guint32)seed);
}

/* First bytes and sizes at the boundaries of msgpack formats, where decoders
 * are prone to faults. */
static const uint8_t boundary_bytes[] = {0x00, 0x01, 0x7f, 0x80, 0x8f, 0x90,
    0x9f, 0xa0, 0xbf, 0xc0, 0xc1, 0xc4, 0xc6, 0xc7, 0xca, 0xcf, 0xd3, 0xd9,
    0xdb, 0xdc, 0xdd, 0xde, 0xdf, 0xe0, 0xff};

static uint8_t
random_byte(GRand *rand)
{
	if (g_rand_boolean(rand))
		return (uint8_t)g_rand_int(rand);
	return boundary_bytes[g_rand_int_range(
	    rand, 0, (gint32)G_N_ELEMENTS(boundary_bytes))];
}

static void
mutate_once(GByteArray *data, GRand *rand)
{
	guint at = (guint)g_rand_int_range(rand, 0, (gint32)data->len + 1);
	uint8_t b = random_byte(rand);
	guint n;

	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		if (at < data->len)
			data->data[at] = b;
		break;
	case 1:
		if (at < data->len)
			data->data[at] ^= (uint8_t)(1 << (b & 7));
		break;
	case 2:
		n = MIN(data->len - at, (guint)(b & 15));
		if (n > 0)
			(void)g_byte_array_remove_range(data, at, n);
		break;
	default:
		(void)g_byte_array_append(data, &b, 1);
		memmove(
		    data->data + at + 1, data->data + at, data->len - 1 - at);
		data->data[at] = b;
		break;
	}
}

static void
mutate(GByteArray *data, GRand *rand)
{
	int n = g_rand_int_range(rand, 1, MUTATIONS_MAX + 1);

	while (n-- > 0)
		mutate_once(data, rand);
}

/* A copy of the exact size, so that a sanitizer detects reads past the end. */
static uint8_t *
exact_copy(const GByteArray *data)
{
	uint8_t *copy = g_malloc(data->len + 1);

	memcpy(copy, data->data, data->len);
	return g_realloc(copy, MAX(data->len, 1));
}

static void
assert_same(const GByteArray *a, const GByteArray *b)
{
	ck_assert_uint_eq(a->len, b->len);
	if (a->len > 0)
		ck_assert_mem_eq(a->data, b->data, a->len);
}

/* The library must unpack all data that proto_check() accepts. */
static void
check_agrees(const uint8_t *data, size_t len)
{
	msgpack_unpacked un;
	size_t off = 0;

	if (proto_check(data, len) != STATUS_OK)
		return;
	msgpack_unpacked_init(&un);
	ck_assert_int_eq(
	    msgpack_unpack_next(&un, (const char *)data, len, &off),
	    MSGPACK_UNPACK_SUCCESS);
	ck_assert_uint_eq(off, len);
	msgpack_unpacked_destroy(&un);
}

/* A message decoded from mutated bytes must survive a round trip. */
static void
decode_case(
    const struct codec_desc *desc, const uint8_t *data, size_t len, void *obj)
{
	GByteArray *first, *second;

	check_agrees(data, len);
	if (codec_decode(desc, data, len, obj) != STATUS_OK) {
		ck_assert_str_ne(status_message(), "");
		return;
	}
	first = g_byte_array_new();
	second = g_byte_array_new();
	codec_encode(desc, obj, first);
	codec_clear(desc, obj);
	ck_assert_int_eq(
	    codec_decode(desc, first->data, first->len, obj), STATUS_OK);
	codec_encode(desc, obj, second);
	codec_clear(desc, obj);
	assert_same(first, second);
	g_byte_array_unref(first);
	g_byte_array_unref(second);
}

static void
message_cases(const struct codec_desc *desc, GRand *rand)
{
	void *obj = g_malloc(desc->size_bytes);
	GByteArray *data;
	uint8_t *copy;
	int n;

	for (n = 0; n < CASES_PER_MESSAGE; n++) {
		data = sample_encoded(desc, rand);
		mutate(data, rand);
		copy = exact_copy(data);
		decode_case(desc, copy, data->len, obj);
		g_free(copy);
		g_byte_array_unref(data);
	}
	g_free(obj);
}

START_TEST(messages)
{
	GRand *rand = fuzz_rand();
	int i;

	for (i = 0; i < SAMPLE_TYPES; i++)
		if (sample_desc(i) != NULL)
			message_cases(sample_desc(i), rand);
	g_rand_free(rand);
}
END_TEST

/*
 * Reference implementation of the reader with the whole stream in memory.
 * Appends type and body of each frame to @out; returns 1 at an invalid length.
 */
static int
reference_read(const uint8_t *p, size_t left, GByteArray *out)
{
	size_t len;

	while (left >= FRAME_LENGTH_BYTES) {
		len = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
		    (size_t)p[2] << 8 | p[3];
		if (len == 0 || len > STREAM_MAX_BYTES)
			return 1;
		if (left - FRAME_LENGTH_BYTES < len)
			return 0;
		(void)g_byte_array_append(
		    out, p + FRAME_LENGTH_BYTES, (guint)len);
		p += FRAME_LENGTH_BYTES + len;
		left -= FRAME_LENGTH_BYTES + len;
	}
	return 0;
}

static int
chunked_read(const GByteArray *stream, GRand *rand, GByteArray *out)
{
	enum frame_result result = FRAME_NONE;
	struct frame_reader r;
	struct frame f;
	guint at, n;

	frame_reader_init(&r, STREAM_MAX_BYTES);
	for (at = 0; at < stream->len; at += n) {
		n = (guint)g_rand_int_range(rand, 1, 2 * STREAM_MAX_BYTES);
		n = MIN(n, stream->len - at);
		frame_reader_push(&r, stream->data + at, n);
		while ((result = frame_reader_next(&r, &f)) == FRAME_READY)
			datagram_append(out, f.type, f.body, f.body_len);
	}
	frame_reader_clear(&r);
	return result == FRAME_BAD;
}

static GByteArray *
random_stream(GRand *rand)
{
	GByteArray *stream = g_byte_array_new();
	uint8_t body[STREAM_MAX_BYTES + 2] = {0};
	int n = g_rand_int_range(rand, 0, 8);

	while (n-- > 0)
		frame_append(stream, MSG_PING, body,
		    (size_t)g_rand_int_range(rand, 0, STREAM_MAX_BYTES));
	if (g_rand_boolean(rand))
		mutate(stream, rand);
	return stream;
}

START_TEST(streams)
{
	GByteArray *got, *stream, *want;
	GRand *rand = fuzz_rand();
	int n;

	for (n = 0; n < STREAM_CASES; n++) {
		stream = random_stream(rand);
		want = g_byte_array_new();
		got = g_byte_array_new();
		ck_assert_int_eq(
		    reference_read(stream->data, stream->len, want),
		    chunked_read(stream, rand, got));
		assert_same(want, got);
		g_byte_array_unref(want);
		g_byte_array_unref(got);
		g_byte_array_unref(stream);
	}
	g_rand_free(rand);
}
END_TEST

static const char settings_text[] =
    "{\"host\":\"h1\",\"data_centre\":\"grandahus\",\"region\":\"hofud\","
    "\"address\":\"127.0.0.2\",\"table_url\":\"http://127.0.0.1:1\","
    "\"object_url\":\"http://127.0.0.1:2\",\"seeds\":[\"10.0.0.1:1\"],"
    "\"profile\":\"crew\",\"peer_port\":7000,\"drain_ms\":5000}";

/* The status is STATUS_OK exactly if there are no errors; valid settings can be
 * printed and parsed again. */
static void
settings_case(const uint8_t *text, size_t len)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	GString *printed = g_string_new(NULL);
	struct settings s;
	enum status st;

	st = settings_parse((const char *)text, len, "fuzz", &s, errors);
	ck_assert_int_eq(st == STATUS_OK, errors->len == 0);
	if (st == STATUS_OK) {
		settings_print(&s, printed);
		ck_assert_int_eq(settings_parse(printed->str, printed->len,
				     "printed", &s, errors),
		    STATUS_OK);
	}
	g_string_free(printed, TRUE);
	g_ptr_array_unref(errors);
}

START_TEST(settings)
{
	GRand *rand = fuzz_rand();
	GByteArray *text;
	uint8_t *copy;
	int n;

	for (n = 0; n < SETTINGS_CASES; n++) {
		text = g_byte_array_new();
		(void)g_byte_array_append(text, (const guint8 *)settings_text,
		    sizeof(settings_text) - 1);
		if (n > 0)
			mutate(text, rand);
		copy = exact_copy(text);
		settings_case(copy, text->len);
		g_free(copy);
		g_byte_array_unref(text);
	}
	g_rand_free(rand);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("fuzz");
	TCase *tc = tcase_create("fuzz");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, messages);
	tcase_add_test(tc, streams);
	tcase_add_test(tc, settings);
	suite_add_tcase(s, tc);
	return test_run(s);
}
