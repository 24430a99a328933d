/*
 * Sections: invalid sections that only a peer could send are rejected, and
 * every bundle or section that is accepted is valid in all later steps.
 */
#include "fixture.h"

#define FUZZ_CASES 4000
#define FUZZ_SEED 20261202

/* Make a section invalid in a way that no bundle can produce. */
static void
corrupt_section(struct msg_section *m, int which)
{
	static struct rec_section_route routes[2];
	struct rec_section_route *route = &m->routes[0];

	switch (which) {
	case 0:
		g_strlcpy(m->service, "B d", sizeof(m->service));
		break;
	case 1:
		m->timeout_ms = 0;
		break;
	case 2:
		m->attempts = SERVICE_ATTEMPTS_MAX + 1;
		break;
	case 3:
		m->request_max_bytes = UINT64_MAX;
		break;
	case 4:
		route->prefix = "/a b";
		route->prefix_len = 4;
		break;
	case 5:
		route->methods = 0;
		break;
	case 6:
		route->methods = METHOD_ALL + 1;
		break;
	case 7:
		route->methods = METHOD_ALL;
		route->idempotent = true;
		break;
	default:
		routes[0] = routes[1] = *route;
		routes[1].methods |= METHOD_BIT(METHOD_PUT);
		/* overlapping methods, then wrong order */
		if (which == 9)
			routes[1].prefix = "/A";
		m->routes = routes;
		m->n_routes = 2;
		break;
	}
}

#define CORRUPTIONS 10

START_TEST(test_section_invalid)
{
	struct rec_section_route route = {.prefix = "/a",
	    .prefix_len = 2,
	    .methods = METHOD_BIT(METHOD_GET),
	    .idempotent = true};
	struct msg_section m = {.service = "a",
	    .timeout_ms = 5,
	    .slots_per_endpoint = 1,
	    .attempts = 1,
	    .routes = &route,
	    .n_routes = 1};
	GByteArray *out = g_byte_array_new();
	struct service_config *sc;

	if (_i < CORRUPTIONS)
		corrupt_section(&m, _i);
	msg_section_encode(&m, out);
	ck_assert_int_eq(section_decode(out->data, out->len, &sc),
	    _i < CORRUPTIONS ? STATUS_INVALID : STATUS_OK);
	service_config_unref(sc);
	/* A trailing byte, or a section above the size limit, is rejected. */
	g_byte_array_append(out, (const guint8 *)"\0", 1);
	ck_assert_int_ne(section_decode(out->data, out->len, &sc), STATUS_OK);
	g_byte_array_set_size(out, SECTION_DECODE_MAX_BYTES + 1);
	ck_assert_int_eq(
	    section_decode(out->data, out->len, &sc), STATUS_TOO_LARGE);
	g_byte_array_unref(out);
}
END_TEST

/* The same numbers in another encoding of the same length are rejected. */
START_TEST(test_section_canonical)
{
	static const uint8_t uint16_2000[] = {0xcd, 0x07, 0xd0};
	struct bundle *b = fix_bundle(fix_valid_bundle);
	const struct section *s = g_ptr_array_index(b->sections, 0);
	GByteArray *out = g_byte_array_new();
	struct service_config *sc;
	const uint8_t *data;
	uint8_t *at;
	size_t len;

	data = g_bytes_get_data(s->content, &len);
	g_byte_array_append(out, data, (guint)len);
	at = memmem(out->data, out->len, uint16_2000, sizeof(uint16_2000));
	ck_assert_ptr_nonnull(at);
	*at = 0xd1; /* int16 */
	ck_assert_int_eq(
	    section_decode(out->data, out->len, &sc), STATUS_INVALID);
	ck_assert(strstr(status_message(), "canonical form") != NULL);
	g_byte_array_unref(out);
	bundle_free(b);
}
END_TEST

/* Change a few bytes, and at random truncate or extend the data. */
static GByteArray *
mutate(GRand *rand, const uint8_t *data, size_t len)
{
	GByteArray *out = g_byte_array_new();
	int32_t n;

	g_byte_array_append(out, data, (guint)len);
	for (n = g_rand_int_range(rand, 1, 5); n > 0; n--)
		out->data[g_rand_int_range(rand, 0, (gint32)len)] =
		    (uint8_t)g_rand_int_range(rand, 0, 256);
	if (g_rand_int_range(rand, 0, 4) == 0)
		g_byte_array_set_size(
		    out, (guint)g_rand_int_range(rand, 0, (gint32)len));
	if (g_rand_int_range(rand, 0, 4) == 0)
		g_byte_array_append(out, data, (guint)len / 3);
	return out;
}

/* The digest of an accepted section is that of its bytes: the encoding is
 * canonical. */
START_TEST(test_fuzz_section)
{
	struct bundle *b = fix_bundle(fix_valid_bundle);
	struct service_config *sc;
	const uint8_t *data;
	struct digest digest;
	struct section *s;
	GByteArray *bytes;
	GRand *rand;
	size_t len;
	int i;

	rand = g_rand_new_with_seed(FUZZ_SEED);
	for (i = 0; i < FUZZ_CASES; i++) {
		s = g_ptr_array_index(b->sections, i % 2);
		data = g_bytes_get_data(s->content, &len);
		bytes = mutate(rand, data, len);
		if (section_decode(bytes->data, bytes->len, &sc) == STATUS_OK) {
			hash_digest(bytes->data, bytes->len, &digest);
			ck_assert(hash_digest_equal(&digest, &sc->digest));
			service_config_unref(sc);
		}
		g_byte_array_unref(bytes);
	}
	g_rand_free(rand);
	bundle_free(b);
}
END_TEST

/* Every accepted bundle can be committed to a catalog. */
START_TEST(test_fuzz_bundle)
{
	char *json = fix_json(fix_valid_bundle);
	struct catalog *c;
	GByteArray *bytes;
	struct bundle *b;
	int i, n_good = 0;
	GRand *rand;

	rand = g_rand_new_with_seed(FUZZ_SEED);
	for (i = 0; i < FUZZ_CASES; i++) {
		bytes = mutate(rand, (const uint8_t *)json, strlen(json));
		if (bundle_parse((const char *)bytes->data, bytes->len, &b) ==
		    STATUS_OK) {
			c = catalog_new(0);
			ck_assert_int_eq(fix_commit(c, 1, b), STATUS_OK);
			catalog_free(c);
			n_good++;
		} else {
			ck_assert_uint_gt(b->n_problems, 0);
		}
		bundle_free(b);
		g_byte_array_unref(bytes);
	}
	ck_assert_int_gt(n_good, 0);
	g_rand_free(rand);
	g_free(json);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("sections");
	TCase *tc = tcase_create("sections");

	tcase_add_loop_test(tc, test_section_invalid, 0, CORRUPTIONS + 1);
	tcase_add_test(tc, test_section_canonical);
	tcase_add_test(tc, test_fuzz_section);
	tcase_add_test(tc, test_fuzz_bundle);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return fix_run(suite);
}
