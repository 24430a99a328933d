/*
 * Patches of sections, and deltas of nodes that skipped versions: a change of
 * one route among hundreds is sent as a few bytes, also by a node that received
 * the whole configuration as a full list.
 */
#include <string.h>

#include "config/bundle.h"
#include "config/catalog.h"
#include "config/stage.h"
#include "proto/messages.h"

#include "../src/patch.h"
#include "fixture.h"

#define ROUTES 480

static GBytes *
text_bytes(const char *text)
{
	return g_bytes_new(text, strlen(text));
}

static GString *
random_text(uint32_t seed, size_t len)
{
	GRand *r = g_rand_new_with_seed(seed);
	GString *s = g_string_new(NULL);

	while (s->len < len)
		g_string_append_c(s, (gchar)g_rand_int_range(r, 'a', 'z'));
	g_rand_free(r);
	return s;
}

/* Check that a patch turns @from into @to; Return: its number of new bytes. */
static uint32_t
check_patch(const char *from, const char *to)
{
	GBytes *a = text_bytes(from), *b = text_bytes(to), *made;
	struct rec_section_patch *patch = patch_make(a, b);
	uint32_t n;

	ck_assert_ptr_nonnull(patch);
	made = patch_apply(a, patch);
	ck_assert_ptr_nonnull(made);
	ck_assert(g_bytes_equal(made, b));
	n = patch->data_len;
	g_bytes_unref(made);
	patch_free(patch);
	g_bytes_unref(a);
	g_bytes_unref(b);
	return n;
}

START_TEST(patch_reproduces_the_target)
{
	GString *from = random_text(1, 10000), *to = g_string_new(from->str);

	ck_assert_uint_eq(check_patch(from->str, to->str), 0);
	g_string_insert(to, 5000, "something new");
	ck_assert_uint_le(check_patch(from->str, to->str), 16);
	ck_assert_uint_le(check_patch(to->str, from->str), 64);
	g_string_prepend(to, "ahead");
	g_string_append(to, "behind");
	g_string_erase(to, 7000, 100);
	ck_assert_uint_le(check_patch(from->str, to->str), 32);
	g_string_free(from, TRUE);
	g_string_free(to, TRUE);
}
END_TEST

/* As when a count at the start of a section and routes further on change. */
START_TEST(patch_of_scattered_changes_is_small)
{
	GString *from = random_text(2, 16000), *to = g_string_new(from->str);
	int i;

	for (i = 0; i < 20; i++)
		to->str[i * 800] = '0';
	ck_assert_uint_le(check_patch(from->str, to->str), 20 * 32);
	g_string_free(from, TRUE);
	g_string_free(to, TRUE);
}
END_TEST

/* Blocks are found at another offset. */
START_TEST(patch_finds_moved_blocks)
{
	GString *from = random_text(3, 10000),
		*to = g_string_new(from->str + 5000);

	g_string_append_len(to, from->str, 5000);
	ck_assert_uint_le(check_patch(from->str, to->str), 64);
	g_string_free(from, TRUE);
	g_string_free(to, TRUE);
}
END_TEST

START_TEST(no_patch_for_unrelated_sections)
{
	GString *from = random_text(4, 10000), *to = random_text(5, 10000);
	GBytes *a = text_bytes(from->str), *b = text_bytes(to->str),
	       *none = text_bytes("");

	ck_assert_ptr_null(patch_make(a, b));
	ck_assert_ptr_null(patch_make(none, b));
	g_bytes_unref(a);
	g_bytes_unref(b);
	g_bytes_unref(none);
	g_string_free(from, TRUE);
	g_string_free(to, TRUE);
}
END_TEST

START_TEST(patch_out_of_bounds_is_rejected)
{
	static const struct rec_patch_hunk bad[] = {
	    {5, 4, 0},
	    {9, 0, 0},
	    {UINT32_MAX, UINT32_MAX, 0},
	    {0, 0, 3},
	    {0, 8, UINT32_MAX},
	};
	struct rec_section_patch patch = {
	    .n_hunks = 1, .data = (const uint8_t *)"xy", .data_len = 2};
	struct rec_patch_hunk hunk;
	GBytes *a = text_bytes("abcdefgh");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		hunk = bad[i];
		patch.hunks = &hunk;
		ck_assert_ptr_null(patch_apply(a, &patch));
	}
	g_bytes_unref(a);
}
END_TEST

/* Hunks that copy the same range repeatedly must not exceed the section
 * size. */
START_TEST(patch_larger_than_a_section_is_rejected)
{
	struct rec_patch_hunk hunks[600];
	struct rec_section_patch patch = {
	    .hunks = hunks, .n_hunks = G_N_ELEMENTS(hunks)};
	GString *from = random_text(6, 1000);
	GBytes *a = text_bytes(from->str);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hunks); i++)
		hunks[i] = (struct rec_patch_hunk){0, 1000, 0};
	ck_assert_ptr_null(patch_apply(a, &patch));
	g_bytes_unref(a);
	g_string_free(from, TRUE);
}
END_TEST

/* A bundle of one service with many routes, one of them with the given
 * timeout. */
static struct bundle *
big_bundle(uint32_t timeout_ms)
{
	GString *s = g_string_new("{\"format\":1,\"name\":\"t\",\"services\":["
				  "{\"name\":\"a\"}],\"routes\":[");
	struct bundle *b;
	int i;

	for (i = 0; i < ROUTES; i++)
		g_string_append_printf(s,
		    "%s{\"prefix\":\"/r%03d\",\"methods\":[\"*\"],"
		    "\"service\":\"a\",\"timeout_ms\":%u}",
		    i > 0 ? "," : "", i, i == ROUTES / 2 ? timeout_ms : 1000U);
	g_string_append(s, "]}");
	ck_assert_msg(bundle_parse(s->str, s->len, &b) == STATUS_OK, "%s",
	    status_message());
	g_string_free(s, TRUE);
	return b;
}

/* Update @to by patches only; Return: number of new bytes in them. */
static uint32_t
pull_patches(const struct catalog *from, struct catalog *to)
{
	struct rec_section_change *change;
	struct rec_section_patch patch;
	struct catalog_stage *stage;
	struct catalog_delta delta;
	uint32_t i, total = 0;
	GBytes *content;

	ck_assert_int_eq(
	    catalog_delta(from, catalog_version(to), 0, &delta), STATUS_OK);
	ck_assert_int_eq(catalog_stage_begin(to, &delta, &stage), STATUS_OK);
	for (i = 0; i < delta.changes->len; i++) {
		change =
		    &g_array_index(delta.changes, struct rec_section_change, i);
		ck_assert(
		    catalog_patch(from, catalog_version(to), change, &patch));
		content = catalog_patch_apply(to, &patch);
		ck_assert_ptr_nonnull(content);
		ck_assert_int_eq(
		    catalog_stage_add(stage, g_bytes_get_data(content, NULL),
			g_bytes_get_size(content)),
		    STATUS_OK);
		total += patch.data_len;
		catalog_patch_clear(&patch);
		g_bytes_unref(content);
	}
	ck_assert_int_eq(catalog_commit(to, stage), STATUS_OK);
	catalog_stage_free(stage);
	catalog_delta_clear(&delta);
	return total;
}

START_TEST(one_changed_route_is_sent_as_a_small_patch)
{
	struct bundle *b[3] = {
	    big_bundle(2000), big_bundle(3000), big_bundle(4000)};
	struct catalog *reader = catalog_new(0), *node = catalog_new(0);
	struct catalog *third = catalog_new(0);
	int i;

	fix_commit_full(reader, 4, b[0]);
	fix_commit_full(node, 4, b[0]);
	fix_commit_full(third, 4, b[0]);
	fix_commit_full(reader, 8, b[1]);
	ck_assert_uint_lt(pull_patches(reader, node), 64);
	ck_assert_uint_lt(pull_patches(node, third), 64);
	fix_commit_full(reader, 12, b[2]);
	ck_assert_uint_lt(pull_patches(reader, node), 64);
	ck_assert(hash_digest_equal(catalog_root(node), catalog_root(reader)));
	for (i = 0; i < 3; i++)
		bundle_free(b[i]);
	catalog_free(reader);
	catalog_free(node);
	catalog_free(third);
}
END_TEST

/* A node at a version between the two may have sections that a delta over the
 * gap does not name. */
START_TEST(delta_that_skips_versions_is_not_served_to_versions_between)
{
	struct bundle *b[3] = {
	    big_bundle(2000), big_bundle(3000), big_bundle(2000)};
	struct catalog *reader = catalog_new(0), *node = catalog_new(0);
	struct catalog_delta delta;
	int i;

	fix_commit_full(reader, 4, b[0]);
	fix_commit_full(node, 4, b[0]);
	fix_commit_full(reader, 8, b[2]);
	ck_assert_int_eq(catalog_delta(reader, 6, 0, &delta), STATUS_NOT_FOUND);
	ck_assert_int_eq(catalog_delta(reader, 4, 0, &delta), STATUS_OK);
	ck_assert(delta.skips);
	catalog_delta_clear(&delta);
	(void)pull_patches(reader, node);
	ck_assert_msg(catalog_delta(node, 6, 0, &delta) == STATUS_NOT_FOUND,
	    "a delta over a gap was served as if it had none");
	for (i = 0; i < 3; i++)
		bundle_free(b[i]);
	catalog_free(reader);
	catalog_free(node);
}
END_TEST

/* A node at a skipped version requests patches by the digests of its
 * sections. */
START_TEST(node_at_a_skipped_version_gets_patches)
{
	struct bundle *b[3] = {
	    big_bundle(2000), big_bundle(3000), big_bundle(4000)};
	struct catalog *reader = catalog_new(0), *node = catalog_new(0);
	struct catalog_stage *stage;
	struct rec_section_patch patch;
	struct rec_section_want want;
	struct digest root;
	GArray *list, *wants;
	GBytes *content;
	int i;

	fix_commit_full(reader, 4, b[0]);
	fix_commit_full(reader, 6, b[1]);
	fix_commit_full(node, 6, b[1]);
	fix_commit_full(reader, 8, b[2]);
	ck_assert_int_eq(catalog_list(reader, 8, &root, &list), STATUS_OK);
	ck_assert_int_eq(
	    catalog_stage_begin_full(node, 8, &root, list, &stage), STATUS_OK);
	wants = catalog_stage_wants(stage, 0);
	ck_assert_uint_eq(wants->len, 1);
	want = g_array_index(wants, struct rec_section_want, 0);
	ck_assert(catalog_patch_from(reader, &want.base, &want.digest, &patch));
	ck_assert_uint_lt(patch.data_len, 64);
	content = catalog_patch_apply(node, &patch);
	ck_assert_int_eq(
	    catalog_stage_add(stage, g_bytes_get_data(content, NULL),
		g_bytes_get_size(content)),
	    STATUS_OK);
	ck_assert_int_eq(catalog_commit(node, stage), STATUS_OK);
	g_bytes_unref(content);
	catalog_patch_clear(&patch);
	catalog_stage_free(stage);
	g_array_unref(wants);
	g_array_unref(list);
	for (i = 0; i < 3; i++)
		bundle_free(b[i]);
	catalog_free(reader);
	catalog_free(node);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("patch");
	TCase *tc = tcase_create("patch");

	tcase_add_test(tc, patch_reproduces_the_target);
	tcase_add_test(tc, patch_of_scattered_changes_is_small);
	tcase_add_test(tc, patch_finds_moved_blocks);
	tcase_add_test(tc, no_patch_for_unrelated_sections);
	tcase_add_test(tc, patch_out_of_bounds_is_rejected);
	tcase_add_test(tc, patch_larger_than_a_section_is_rejected);
	tcase_add_test(tc, one_changed_route_is_sent_as_a_small_patch);
	tcase_add_test(
	    tc, delta_that_skips_versions_is_not_served_to_versions_between);
	tcase_add_test(tc, node_at_a_skipped_version_gets_patches);
	suite_add_tcase(s, tc);
	return fix_run(s);
}
