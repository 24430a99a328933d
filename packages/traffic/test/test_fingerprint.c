/*
 * Tests of the fingerprint that identifies attempts of the same request.
 */
#include <string.h>

#include <check.h>
#include <glib.h>

#include "test_run.h"
#include "traffic/fingerprint.h"

static const struct fingerprint_parts base = {.method = "POST",
    .host = "a.example",
    .path = "/search?q=1",
    .caller = "booking",
    .body_bytes = 3,
    .body = (const uint8_t *)"abc",
    .body_len = 3};

static struct fingerprint
fingerprint_of(const struct fingerprint_parts *p)
{
	struct fingerprint f;

	fingerprint_make(p, &f);
	return f;
}

START_TEST(equal_parts_give_equal_fingerprints)
{
	struct fingerprint a = fingerprint_of(&base), b = fingerprint_of(&base);

	ck_assert(fingerprint_equal(&a, &b));
	ck_assert(a.content != 0 && a.caller != 0);
}
END_TEST

START_TEST(each_part_changes_the_fingerprint)
{
	struct fingerprint_parts p[] = {base, base, base, base, base, base};
	struct fingerprint a = fingerprint_of(&base), b;
	size_t i;

	p[0].method = "PUT";
	p[1].host = "b.example";
	p[2].path = "/search?q=2";
	p[3].caller = "search";
	p[4].body = (const uint8_t *)"abd";
	p[5].body_bytes = 4;
	for (i = 0; i < G_N_ELEMENTS(p); i++) {
		b = fingerprint_of(&p[i]);
		ck_assert_msg(!fingerprint_equal(&a, &b), "part %zu", i);
	}
}
END_TEST

/* Moving a character from one part to the next changes the fingerprint. */
START_TEST(parts_are_delimited)
{
	struct fingerprint_parts p = base, q = base;
	struct fingerprint a, b;

	p.host = "a";
	p.path = "/bc";
	q.host = "a/b";
	q.path = "c";
	a = fingerprint_of(&p);
	b = fingerprint_of(&q);
	ck_assert(!fingerprint_equal(&a, &b));
}
END_TEST

START_TEST(node_addresses_are_ignored)
{
	struct fingerprint_parts p = base, q = base;
	struct fingerprint a, b;

	p.host = "127.1.0.1:8080";
	q.host = "[::1]:8081";
	a = fingerprint_of(&p);
	b = fingerprint_of(&q);
	ck_assert(fingerprint_equal(&a, &b));
	p.host = "A.example:80";
	a = fingerprint_of(&p);
	b = fingerprint_of(&base);
	ck_assert(fingerprint_equal(&a, &b));
}
END_TEST

/* The same content from another caller shares only the content hash. */
START_TEST(caller_changes_its_half_only)
{
	struct fingerprint_parts p = base;
	struct fingerprint a = fingerprint_of(&base), b;

	p.caller = "search";
	b = fingerprint_of(&p);
	ck_assert_uint_eq(a.content, b.content);
	ck_assert_uint_ne(a.caller, b.caller);
}
END_TEST

START_TEST(only_the_beginning_of_a_body_is_hashed)
{
	uint8_t body[FINGERPRINT_BODY_BYTES + 1];
	struct fingerprint_parts p = base;
	struct fingerprint a, b;

	memset(body, 'x', sizeof(body));
	p.body = body;
	p.body_len = sizeof(body);
	p.body_bytes = sizeof(body);
	a = fingerprint_of(&p);
	body[FINGERPRINT_BODY_BYTES] = 'y';
	b = fingerprint_of(&p);
	ck_assert(fingerprint_equal(&a, &b));
	body[FINGERPRINT_BODY_BYTES - 1] = 'y';
	b = fingerprint_of(&p);
	ck_assert(!fingerprint_equal(&a, &b));
}
END_TEST

START_TEST(text_round_trip)
{
	char text[FINGERPRINT_TEXT_BYTES];
	struct fingerprint a = fingerprint_of(&base), b;

	ck_assert(fingerprint_parse(fingerprint_text(&a, text), &b));
	ck_assert(fingerprint_equal(&a, &b));
	ck_assert(!fingerprint_parse("", &b));
	text[0] = 'g';
	ck_assert(!fingerprint_parse(text, &b));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fingerprint");
	TCase *tc = tcase_create("fingerprint");

	tcase_add_test(tc, equal_parts_give_equal_fingerprints);
	tcase_add_test(tc, each_part_changes_the_fingerprint);
	tcase_add_test(tc, parts_are_delimited);
	tcase_add_test(tc, node_addresses_are_ignored);
	tcase_add_test(tc, caller_changes_its_half_only);
	tcase_add_test(tc, only_the_beginning_of_a_body_is_hashed);
	tcase_add_test(tc, text_round_trip);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
