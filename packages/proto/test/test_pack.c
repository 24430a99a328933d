/*
 * Tests of compression: round trip, and invalid input.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "proto/pack.h"

#include "test_run.h"

#define ROUTES 1600

/* Routes as in a section: repetitive except for the names. */
static GByteArray *
routes(void)
{
	GByteArray *b = g_byte_array_new();
	char text[160];
	int i;

	for (i = 0; i < ROUTES; i++) {
		(void)g_snprintf(text, sizeof(text),
		    "host%08x.example /p%08x/ timeout_ms 2000 target_ms 600 "
		    "attempts 2 priority 2 idempotent below methods *",
		    i * 2654435761U, i * 40503U);
		g_byte_array_append(b, (const guint8 *)text, strlen(text));
	}
	return b;
}

START_TEST(test_round_trip)
{
	GByteArray *b = routes(), *packed = pack_encode(b->data, b->len),
		   *unpacked;

	ck_assert_ptr_nonnull(packed);
	ck_assert_uint_lt(packed->len, b->len / 3);
	unpacked = pack_decode(packed->data, packed->len, b->len);
	ck_assert_ptr_nonnull(unpacked);
	ck_assert_int_eq(memcmp(unpacked->data, b->data, b->len), 0);
	g_byte_array_unref(unpacked);
	g_byte_array_unref(packed);
	g_byte_array_unref(b);
}
END_TEST

START_TEST(test_incompressible_and_short_bodies)
{
	uint8_t noise[2 * PACK_MIN_BYTES];
	GRand *r = g_rand_new_with_seed(1);
	size_t i;

	for (i = 0; i < sizeof(noise); i++)
		noise[i] = (uint8_t)g_rand_int(r);
	g_rand_free(r);
	ck_assert_ptr_null(pack_encode(noise, sizeof(noise)));
	memset(noise, 0, sizeof(noise));
	ck_assert_ptr_null(pack_encode(noise, PACK_MIN_BYTES - 1));
}
END_TEST

/* Corrupt input must never write beyond the declared length. */
START_TEST(test_corrupt_input)
{
	GByteArray *b = routes(), *packed = pack_encode(b->data, b->len),
		   *unpacked;
	GRand *r = g_rand_new_with_seed(2);
	int i;

	ck_assert_ptr_null(pack_decode(packed->data, packed->len, b->len - 1));
	ck_assert_ptr_null(pack_decode(packed->data, packed->len, b->len + 1));
	ck_assert_ptr_null(pack_decode(packed->data, packed->len / 2, b->len));
	ck_assert_ptr_null(pack_decode(packed->data, packed->len, 0));
	ck_assert_ptr_null(
	    pack_decode(packed->data, packed->len, PACK_MAX_BYTES + 1));
	for (i = 0; i < 2000; i++) {
		packed->data[g_rand_int_range(r, 0, (gint32)packed->len)] =
		    (guint8)g_rand_int(r);
		unpacked = pack_decode(packed->data, packed->len, b->len);
		if (unpacked != NULL)
			g_byte_array_unref(unpacked);
	}
	g_rand_free(r);
	g_byte_array_unref(packed);
	g_byte_array_unref(b);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("pack");
	TCase *tc = tcase_create("pack");

	tcase_add_test(tc, test_round_trip);
	tcase_add_test(tc, test_incompressible_and_short_bodies);
	tcase_add_test(tc, test_corrupt_input);
	suite_add_tcase(s, tc);
	return test_run(s);
}
