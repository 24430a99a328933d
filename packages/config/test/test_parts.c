/*
 * Services with more routes than one section can contain.
 *
 * When one section contained a whole service, a service that grew by 1,400
 * routes at a time was rejected at 4,097 routes, and would also have been
 * rejected at 128 KiB, since sections must stay small to be sent to peers. With
 * any number of routes, sections must stay small, depend only on the routes,
 * and change little when a route is added.
 */
#include "config/snapshot.h"

#include "fixture.h"

#define ROUTES_BEFORE 10000
#define ROUTES_ADDED 1400

/* Bundle of the service "s" with routes /rN/ for N from @first on. */
static struct bundle *
make_bundle(uint32_t first, uint32_t n, int32_t step)
{
	GString *text = g_string_new("{'format':1,'name':'x','services':[{'"
				     "name':'s'},{'name':'s!'},{'name':'s-t'}],"
				     "'routes':[");
	struct bundle *b;
	uint32_t i, at = first;

	for (i = 0; i < n; i++, at += (uint32_t)step)
		g_string_append_printf(text,
		    "%s{'prefix':'/r%u','methods':['*'],'service':'s',"
		    "'host':'host.example','below':true,'timeout_ms':3000,"
		    "'target_ms':800,'priority':1,'attempts':3}",
		    i > 0 ? "," : "", at);
	g_string_append(text, "]}");
	b = fix_bundle(text->str);
	g_string_free(text, TRUE);
	return b;
}

static const struct section *
section_at(const struct bundle *b, uint32_t i)
{
	return g_ptr_array_index(b->sections, i);
}

START_TEST(sections_stay_small_and_hold_each_route_once)
{
	struct bundle *b = make_bundle(0, ROUTES_BEFORE, 1);
	uint32_t i, n = 0;

	ck_assert_uint_gt(b->sections->len, 10);
	for (i = 0; i < b->sections->len; i++) {
		ck_assert_uint_le(g_bytes_get_size(section_at(b, i)->content),
		    SECTION_MAX_BYTES);
		n += section_at(b, i)->config->n_routes;
	}
	ck_assert_uint_eq(n, ROUTES_BEFORE);
	bundle_free(b);
}
END_TEST

START_TEST(sections_do_not_depend_on_route_order)
{
	struct bundle *up = make_bundle(0, ROUTES_BEFORE, 1);
	struct bundle *down = make_bundle(ROUTES_BEFORE - 1, ROUTES_BEFORE, -1);

	ck_assert(hash_digest_equal(&up->root, &down->root));
	bundle_free(up);
	bundle_free(down);
}
END_TEST

static GArray *
changes_between(const struct bundle *from, const struct bundle *to)
{
	GArray *a, *b, *changes;
	struct digest root;

	bundle_section_list(from, &a, &root);
	bundle_section_list(to, &b, &root);
	changes = section_changes(a, b);
	g_array_unref(a);
	g_array_unref(b);
	return changes;
}

/* One changed section, or one that is replaced by the two parts of its
 * split. */
START_TEST(one_added_route_changes_or_splits_one_section)
{
	struct bundle *b = make_bundle(0, ROUTES_BEFORE, 1), *more;
	GArray *changes;
	uint32_t n;

	for (n = ROUTES_BEFORE + 1; n < ROUTES_BEFORE + 20; n++) {
		more = make_bundle(0, n, 1);
		changes = changes_between(b, more);
		ck_assert(changes->len == 1 || changes->len == 3);
		g_array_unref(changes);
		bundle_free(b);
		b = more;
	}
	bundle_free(b);
}
END_TEST

/* Bytes to send for all changes, as patches where possible. */
static uint64_t
bytes_to_send(const struct catalog *c, const GArray *changes)
{
	const struct rec_section_change *change;
	struct rec_section_patch patch;
	uint64_t bytes = 0;
	uint32_t i;

	for (i = 0; i < changes->len; i++) {
		change = &g_array_index(changes, struct rec_section_change, i);
		if (change->removed)
			continue;
		if (!catalog_patch(c, 1, change, &patch)) {
			bytes += g_bytes_get_size(
			    catalog_content(c, &change->digest));
			continue;
		}
		bytes += patch.data_len + patch.n_hunks * sizeof(*patch.hunks);
		catalog_patch_clear(&patch);
	}
	return bytes;
}

/* The bytes to send grow with the number of new routes, not of existing
 * ones. */
START_TEST(added_routes_are_sent_as_patches)
{
	struct bundle *before = make_bundle(0, ROUTES_BEFORE, 1), *new;
	struct bundle *after = make_bundle(0, ROUTES_BEFORE + ROUTES_ADDED, 1);
	struct catalog *c = catalog_new(0);
	uint64_t new_bytes = 0;
	GArray *changes;
	uint32_t i;

	new = make_bundle(ROUTES_BEFORE, ROUTES_ADDED, 1);
	for (i = 0; i < new->sections->len; i++)
		new_bytes += g_bytes_get_size(section_at(new, i)->content);
	ck_assert_int_eq(fix_commit(c, 1, before), STATUS_OK);
	ck_assert_int_eq(fix_commit(c, 2, after), STATUS_OK);
	changes = changes_between(before, after);
	ck_assert_uint_le(bytes_to_send(c, changes), 2 * new_bytes);
	g_array_unref(changes);
	catalog_free(c);
	bundle_free(new);
	bundle_free(after);
	bundle_free(before);
}
END_TEST

/* The base of a request for a new part is the section that was split. */
START_TEST(split_parts_are_requested_with_the_parent_as_base)
{
	struct bundle *before = make_bundle(0, 150, 1), *after;
	struct catalog *c = catalog_new(0);
	struct catalog_stage *stage;
	struct rec_section_want *want;
	GArray *list, *wants;
	struct digest root;
	uint32_t i;

	ck_assert_uint_eq(before->sections->len, 3);
	ck_assert_int_eq(fix_commit(c, 1, before), STATUS_OK);
	after = make_bundle(0, 3000, 1);
	bundle_section_list(after, &list, &root);
	ck_assert_int_eq(
	    catalog_stage_begin_full(c, 2, &root, list, &stage), STATUS_OK);
	wants = catalog_stage_wants(stage, 100);
	ck_assert_uint_gt(wants->len, 2);
	for (i = 0; i < wants->len; i++) {
		want = &g_array_index(wants, struct rec_section_want, i);
		ck_assert(hash_digest_equal(
		    &want->base, &section_at(before, 0)->config->digest));
	}
	g_array_unref(wants);
	catalog_stage_free(stage);
	g_array_unref(list);
	catalog_free(c);
	bundle_free(after);
	bundle_free(before);
}
END_TEST

START_TEST(routes_of_a_split_service_match)
{
	struct bundle *b = make_bundle(0, ROUTES_BEFORE, 1);
	struct endpoint_set *none = endpoint_set_new();
	struct catalog *c = catalog_new(0);
	struct route_match match;
	struct snapshot *s;

	ck_assert_int_eq(fix_commit(c, 1, b), STATUS_OK);
	ck_assert_uint_eq(catalog_n_services(c), 3);
	ck_assert_str_eq(catalog_find(c, "s")->name, "s");
	ck_assert_str_eq(catalog_find(c, "s-t")->name, "s-t");
	ck_assert_ptr_null(catalog_find(c, "s-"));
	s = snapshot_compile(c, none);
	ck_assert_uint_eq(s->n_services, 3);
	ck_assert_int_eq(snapshot_check(s), STATUS_OK);
	ck_assert_int_eq(snapshot_match(s, METHOD_GET, "host.example",
			     "/r9999/x", 8, &match),
	    ROUTE_FOUND);
	ck_assert_str_eq(match.service->config->name, "s");
	ck_assert_str_eq(match.route->prefix, "/r9999");
	ck_assert_int_eq(snapshot_match(s, METHOD_GET, "host.example",
			     "/r10000/x", 9, &match),
	    ROUTE_NO_PATH);
	snapshot_unref(s);
	endpoint_set_free(none);
	catalog_free(c);
	bundle_free(b);
}
END_TEST

/* Inconsistent parts that a peer could send but no bundle is split into. */
enum conflict {
	CONFLICT_WHOLE_AND_PART = 0,
	CONFLICT_NESTED_PARTS,
	CONFLICT_NUMBERS,
	CONFLICT_COUNT,
};

static GBytes *
make_content(const char *part, uint32_t timeout_ms)
{
	struct msg_section m = {.service = "s",
	    .timeout_ms = timeout_ms,
	    .slots_per_endpoint = 1,
	    .attempts = 1};
	GByteArray *out = g_byte_array_new();

	(void)g_strlcpy(m.part, part, sizeof(m.part));
	msg_section_encode(&m, out);
	return g_byte_array_free_to_bytes(out);
}

START_TEST(parts_that_contradict_each_other_are_refused)
{
	static const char *const parts[][2] = {
	    {"", "0"}, {"1", "10"}, {"0", "1"}};
	static const char *const names[][2] = {
	    {"s", "s 0"}, {"s 1", "s 10"}, {"s 0", "s 1"}};
	struct catalog *c = catalog_new(0);
	struct catalog_stage *stage;
	struct rec_section_ref ref = {0};
	GArray *list = g_array_new(FALSE, TRUE, sizeof(ref));
	GBytes *contents[2];
	struct digest root;
	const uint8_t *data;
	gsize len;
	int i;

	for (i = 0; i < 2; i++) {
		contents[i] = make_content(parts[_i][i],
		    _i == CONFLICT_NUMBERS && i == 1 ? 2000 : 1000);
		data = g_bytes_get_data(contents[i], &len);
		(void)g_strlcpy(ref.section, names[_i][i], sizeof(ref.section));
		hash_digest(data, len, &ref.digest);
		g_array_append_val(list, ref);
	}
	g_bytes_unref(section_list_encode(list, &root));
	ck_assert_int_eq(
	    catalog_stage_begin_full(c, 1, &root, list, &stage), STATUS_OK);
	for (i = 0; i < 2; i++) {
		data = g_bytes_get_data(contents[i], &len);
		ck_assert_int_eq(
		    catalog_stage_add(stage, data, len), STATUS_OK);
		g_bytes_unref(contents[i]);
	}
	ck_assert_int_eq(catalog_commit(c, stage), STATUS_INVALID);
	ck_assert(strstr(status_message(), "contradict") != NULL);
	catalog_stage_free(stage);
	g_array_unref(list);
	catalog_free(c);
}
END_TEST

START_TEST(a_section_with_a_route_of_another_part_is_refused)
{
	struct rec_section_route route = {
	    .prefix = "/a", .prefix_len = 2, .methods = METHOD_BIT(METHOD_GET)};
	struct msg_section m = {.service = "s",
	    .timeout_ms = 5,
	    .slots_per_endpoint = 1,
	    .attempts = 1,
	    .routes = &route,
	    .n_routes = 1};
	struct service_config *sc;
	GByteArray *out;
	int i, n_accepted = 0;

	for (i = 0; i < 2; i++) {
		(void)g_strlcpy(m.part, i == 0 ? "0" : "1", sizeof(m.part));
		out = g_byte_array_new();
		msg_section_encode(&m, out);
		n_accepted +=
		    section_decode(out->data, out->len, &sc) == STATUS_OK;
		service_config_unref(sc);
		g_byte_array_unref(out);
	}
	ck_assert_int_eq(n_accepted, 1);
}
END_TEST

START_TEST(section_names_are_validated)
{
	static const struct {
		const char *name;
		bool valid;
	} names[] = {{"s", true}, {"s 0", true}, {"s 01", true},
	    {"s 012", false}, {"s ", false}, {" 0", false}, {"s 0 1", false},
	    {"s 0000000000000000000000000", false}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		ck_assert_msg(
		    section_name_valid(names[i].name) == names[i].valid, "%s",
		    names[i].name);
	ck_assert(section_name_covers("s", "s 0"));
	ck_assert(section_name_covers("s 0", "s 01"));
	ck_assert(!section_name_covers("s 0", "s 1"));
	ck_assert(!section_name_covers("s", "s-t"));
	ck_assert(!section_name_covers("s", "st"));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("parts");
	TCase *tc = tcase_create("parts");

	tcase_add_test(tc, sections_stay_small_and_hold_each_route_once);
	tcase_add_test(tc, sections_do_not_depend_on_route_order);
	tcase_add_test(tc, one_added_route_changes_or_splits_one_section);
	tcase_add_test(tc, added_routes_are_sent_as_patches);
	tcase_add_test(tc, split_parts_are_requested_with_the_parent_as_base);
	tcase_add_test(tc, routes_of_a_split_service_match);
	tcase_add_loop_test(tc, parts_that_contradict_each_other_are_refused, 0,
	    CONFLICT_COUNT);
	tcase_add_test(tc, a_section_with_a_route_of_another_part_is_refused);
	tcase_add_test(tc, section_names_are_validated);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return fix_run(suite);
}
