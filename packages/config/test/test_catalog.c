/*
 * Catalog and stage: a version is committed as a whole or not at all, and
 * versions only increase; merged changes give the same result as single ones;
 * memory is bounded.
 */
#include "fixture.h"

#define SEED 57000
#define RANDOM_VERSIONS 150
#define RANDOM_SERVICES 12

/* A version of a random configuration and its list. */
struct version {
	struct bundle *bundle;
	GArray *list;
	struct digest root;
};

/* Change a few services at random: absent, or with one of two timeouts. */
static struct bundle *
random_bundle(GRand *rand, int *timeouts)
{
	GString *out = g_string_new("{'format':1,'name':'x','services':[");
	struct bundle *b;
	int i, n;

	for (n = g_rand_int_range(rand, 1, 4); n > 0; n--) {
		i = g_rand_int_range(rand, 0, RANDOM_SERVICES);
		timeouts[i] = g_rand_int_range(rand, 0, 3);
	}
	timeouts[0] = MAX(timeouts[0], 1);
	for (i = 0; i < RANDOM_SERVICES; i++) {
		if (timeouts[i] > 0)
			g_string_append_printf(out,
			    "%s{'name':'s%d','timeout_ms':%d}",
			    i > 0 ? "," : "", i, timeouts[i]);
	}
	g_string_append(out, "],'routes':[]}");
	b = fix_bundle(out->str);
	g_string_free(out, TRUE);
	return b;
}

static struct version *
random_versions(GRand *rand)
{
	int timeouts[RANDOM_SERVICES] = {0};
	struct version *v;
	int i;

	v = g_new0(struct version, RANDOM_VERSIONS + 1);
	v[0].list = g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	for (i = 1; i <= RANDOM_VERSIONS; i++) {
		v[i].bundle = random_bundle(rand, timeouts);
		bundle_section_list(v[i].bundle, &v[i].list, &v[i].root);
	}
	return v;
}

static void
versions_free(struct version *v)
{
	int i;

	for (i = 0; i <= RANDOM_VERSIONS; i++) {
		bundle_free(v[i].bundle);
		g_array_unref(v[i].list);
	}
	g_free(v);
}

static void
check_same_list(const GArray *a, const GArray *b)
{
	ck_assert_uint_eq(a->len, b->len);
	ck_assert_mem_eq(
	    a->data, b->data, a->len * sizeof(struct rec_section_ref));
}

/* Check that every content of a list is stored and has its digest. */
static void
check_contents(const struct catalog *c, const GArray *list)
{
	const struct rec_section_ref *ref;
	struct digest digest;
	GBytes *content;
	uint32_t i;

	for (i = 0; i < list->len; i++) {
		ref = &g_array_index(list, struct rec_section_ref, i);
		content = catalog_content(c, &ref->digest);
		ck_assert_ptr_nonnull(content);
		hash_digest(g_bytes_get_data(content, NULL),
		    g_bytes_get_size(content), &digest);
		ck_assert(hash_digest_equal(&digest, &ref->digest));
	}
}

/*
 * Update @to, which has an older version, from @from as nodes do: by a delta if
 * the changes are kept and @full is not set, else by the full list.  Return:
 * whether a delta was used.
 */
static bool
pull(const struct catalog *from, struct catalog *to, uint64_t want, bool full)
{
	struct catalog_stage *stage;
	struct catalog_delta delta;
	GBytes *content;
	GArray *missing, *list;
	struct digest root;
	bool by_changes;
	uint32_t i;

	by_changes = !full &&
	    catalog_delta(from, catalog_version(to), want, &delta) == STATUS_OK;
	if (by_changes) {
		ck_assert_int_eq(
		    catalog_stage_begin(to, &delta, &stage), STATUS_OK);
		catalog_delta_clear(&delta);
	} else {
		ck_assert_int_eq(
		    catalog_list(from, want, &root, &list), STATUS_OK);
		ck_assert_int_eq(
		    catalog_stage_begin_full(to, want, &root, list, &stage),
		    STATUS_OK);
		g_array_unref(list);
	}
	missing = catalog_stage_missing(stage, 0);
	ck_assert_uint_eq(missing->len, catalog_stage_n_missing(stage));
	for (i = 0; i < missing->len; i++) {
		content = catalog_content(
		    from, &g_array_index(missing, struct digest, i));
		ck_assert_int_eq(catalog_commit(to, stage), STATUS_UNAVAILABLE);
		ck_assert_int_eq(
		    catalog_stage_add(stage, g_bytes_get_data(content, NULL),
			g_bytes_get_size(content)),
		    STATUS_OK);
	}
	ck_assert_int_eq(catalog_commit(to, stage), STATUS_OK);
	g_array_unref(missing);
	catalog_stage_free(stage);
	return by_changes;
}

static void
check_holds(const struct catalog *c, uint64_t version, const struct version *v)
{
	GArray *list;

	ck_assert_uint_eq(catalog_version(c), version);
	ck_assert(hash_digest_equal(catalog_root(c), &v->root));
	ck_assert_int_eq(catalog_list(c, 0, NULL, &list), STATUS_OK);
	check_same_list(list, v->list);
	check_contents(c, list);
	g_array_unref(list);
}

/*
 * Nodes in a chain, each of which updates at random times from an earlier node
 * and so merges versions, have the same contents as the committed versions.
 */
START_TEST(test_relayed_versions)
{
	struct catalog *c[3] = {catalog_new(0), catalog_new(0), catalog_new(0)};
	GRand *rand = g_rand_new_with_seed(SEED + (guint32)_i);
	struct version *v = random_versions(rand);
	uint64_t want, at, n_changes = 0;
	int i, k, source;

	for (i = 1; i <= RANDOM_VERSIONS; i++) {
		ck_assert_int_eq(
		    fix_commit(c[0], (uint64_t)i, v[i].bundle), STATUS_OK);
		for (k = 1; k < 3; k++) {
			source = g_rand_int_range(rand, 0, k);
			at = catalog_version(c[k]);
			want = catalog_version(c[source]);
			if (want <= at || g_rand_int_range(rand, 0, 4) > 0)
				continue;
			n_changes += pull(c[source], c[k], want,
			    g_rand_int_range(rand, 0, 5) == 0);
			check_holds(c[k], want, &v[want]);
		}
	}
	ck_assert_uint_gt(n_changes, RANDOM_VERSIONS / 8);
	for (k = 0; k < 3; k++)
		catalog_free(c[k]);
	versions_free(v);
	g_rand_free(rand);
}
END_TEST

/* Deltas between kept versions, and the lists of kept versions. */
START_TEST(test_deltas_between_kept_versions)
{
	struct catalog *c = catalog_new(0), *d;
	GRand *rand = g_rand_new_with_seed(SEED);
	struct version *v = random_versions(rand);
	const uint64_t oldest = RANDOM_VERSIONS - CATALOG_RING_ENTRIES;
	struct catalog_delta delta;
	uint64_t from, to;
	GArray *list;

	for (to = 1; to <= RANDOM_VERSIONS; to++)
		ck_assert_int_eq(fix_commit(c, to, v[to].bundle), STATUS_OK);
	ck_assert_uint_eq(catalog_oldest(c), oldest);
	ck_assert_int_eq(
	    catalog_delta(c, oldest - 1, 0, &delta), STATUS_NOT_FOUND);
	ck_assert_int_eq(
	    catalog_list(c, oldest - 1, NULL, &list), STATUS_NOT_FOUND);
	ck_assert_int_eq(catalog_delta(c, oldest, RANDOM_VERSIONS + 1, &delta),
	    STATUS_UNAVAILABLE);
	ck_assert_int_eq(
	    catalog_delta(c, oldest, oldest, &delta), STATUS_INVALID);
	for (from = oldest; from < RANDOM_VERSIONS; from += 9) {
		for (to = from + 1; to <= RANDOM_VERSIONS; to += 5) {
			d = catalog_new(0);
			ck_assert_int_eq(
			    fix_commit(d, from, v[from].bundle), STATUS_OK);
			ck_assert(pull(c, d, to, false));
			check_holds(d, to, &v[to]);
			catalog_free(d);
		}
		ck_assert_int_eq(catalog_list(c, from, NULL, &list), STATUS_OK);
		check_same_list(list, v[from].list);
		check_contents(c, list);
		g_array_unref(list);
	}
	catalog_free(c);
	versions_free(v);
	g_rand_free(rand);
}
END_TEST

#define TWO(t, m)                                          \
	"{'format':1,'name':'x','services':["              \
	"{'name':'a','timeout_ms':" t                      \
	"},{'name':'b'},{'name':'d'}],'routes':["          \
	"{'prefix':'/a','methods':[" m "],'service':'a'}," \
	"{'prefix':'/b','methods':['GET'],'service':'b'}]}"

enum bad {
	BAD_ROOT = 0,
	BAD_VERSION_SAME,
	BAD_VERSION_OLDER,
	BAD_BASE,
	BAD_ORDER,
	BAD_NAME,
	BAD_DIGEST,
	BAD_SERVICE,
	BAD_HELD,
	BAD_ROUTES,
	BAD_COUNT,
};

/* An overlapping route: 'c' claims requests of 'a'. */
static const char overlapping[] =
    "{'format':1,'name':'x','services':[{'name':'c'}],'routes':["
    "{'prefix':'/a','methods':['GET'],'service':'c'}]}";

static void
corrupt_delta(enum bad bad, struct catalog_delta *delta,
    const struct bundle *other, const struct digest *held)
{
	struct rec_section_change *change, more;

	change = &g_array_index(delta->changes, struct rec_section_change, 0);
	more = *change;
	switch (bad) {
	case BAD_ROOT:
		delta->root.bytes[0] ^= 1;
		return;
	case BAD_VERSION_SAME:
		delta->version = 5;
		return;
	case BAD_VERSION_OLDER:
		delta->version = 4;
		return;
	case BAD_BASE:
		delta->from_version = 6;
		return;
	case BAD_ORDER:
		break;
	case BAD_NAME:
		g_strlcpy(more.section, "B", sizeof(more.section));
		break;
	case BAD_DIGEST:
		change->digest.bytes[0] ^= 1;
		return;
	case BAD_SERVICE:
		/* the section of 'a' under the name 'c' */
		g_strlcpy(more.section, "c", sizeof(more.section));
		break;
	case BAD_HELD:
		/* the section of 'd', which the catalog has, as 'c' */
		g_strlcpy(more.section, "c", sizeof(more.section));
		more.digest = *held;
		break;
	default:
		g_strlcpy(more.section, "c", sizeof(more.section));
		more.digest =
		    ((struct section *)g_ptr_array_index(other->sections, 0))
			->config->digest;
		break;
	}
	g_array_append_val(delta->changes, more);
}

/* Set the root to that of the corrupted changes, so that only later checks can
 * fail. */
static void
recompute_root(const struct catalog *c, struct catalog_delta *delta)
{
	GArray *held, *list;

	ck_assert_int_eq(catalog_list(c, 0, NULL, &held), STATUS_OK);
	list = section_list_apply(held,
	    (struct rec_section_change *)delta->changes->data,
	    delta->changes->len);
	g_bytes_unref(section_list_encode(list, &delta->root));
	g_array_unref(list);
	g_array_unref(held);
}

START_TEST(test_invalid_delta_is_refused)
{
	struct bundle *before = fix_bundle(TWO("5", "'GET'"));
	struct bundle *after = fix_bundle(TWO("6", "'GET'"));
	struct bundle *other = fix_bundle(overlapping);
	struct catalog_delta delta = {5, 7, {{0}}, NULL, false};
	struct catalog_stage *stage = NULL;
	struct catalog *c = catalog_new(0);
	GArray *from, *to;
	enum status st;

	ck_assert_int_eq(fix_commit(c, 5, before), STATUS_OK);
	bundle_section_list(before, &from, &delta.root);
	bundle_section_list(after, &to, &delta.root);
	delta.changes = section_changes(from, to);
	ck_assert_uint_eq(delta.changes->len, 1);
	if (_i < BAD_COUNT)
		corrupt_delta(
		    (enum bad)_i, &delta, other, &catalog_find(c, "d")->digest);
	if (_i >= BAD_ORDER && _i < BAD_COUNT)
		recompute_root(c, &delta);
	st = catalog_stage_begin(c, &delta, &stage);
	if (st == STATUS_OK) {
		st = fix_add_all(stage, after);
		ck_assert_int_eq(
		    st == STATUS_OK, _i != BAD_SERVICE && _i != BAD_HELD);
		ck_assert_int_eq(fix_add_all(stage, other), STATUS_OK);
		st = catalog_commit(c, stage);
	}
	catalog_stage_free(stage);
	if (_i == BAD_COUNT) {
		ck_assert_int_eq(st, STATUS_OK);
		ck_assert_uint_eq(catalog_version(c), 7);
	} else {
		ck_assert_int_ne(st, STATUS_OK);
		ck_assert_uint_eq(catalog_version(c), 5);
		ck_assert(hash_digest_equal(catalog_root(c), &before->root));
		ck_assert_uint_eq(catalog_find(c, "a")->timeout_ms, 5);
		ck_assert_ptr_null(catalog_find(c, "c"));
	}
	catalog_delta_clear(&delta);
	g_array_unref(from);
	g_array_unref(to);
	bundle_free(before);
	bundle_free(after);
	bundle_free(other);
	catalog_free(c);
}
END_TEST

/* A check does not change the catalog, and the version built by it is not
 * installed after another commit. */
START_TEST(test_commit_between_check_and_commit)
{
	struct bundle *b[3] = {fix_bundle(TWO("5", "'GET'")),
	    fix_bundle(TWO("6", "'GET'")), fix_bundle(TWO("7", "'GET'"))};
	struct catalog_stage *stages[2];
	struct catalog *c = catalog_new(0);
	struct digest root;
	GArray *list;
	uint32_t i;

	ck_assert_int_eq(fix_commit(c, 1, b[0]), STATUS_OK);
	for (i = 0; i < 2; i++) {
		bundle_section_list(b[i + 1], &list, &root);
		ck_assert_int_eq(
		    catalog_stage_begin_full(c, i + 2, &root, list, &stages[i]),
		    STATUS_OK);
		ck_assert_int_eq(
		    catalog_stage_check(stages[i]), STATUS_UNAVAILABLE);
		ck_assert_int_eq(fix_add_all(stages[i], b[i + 1]), STATUS_OK);
		ck_assert_int_eq(catalog_stage_check(stages[i]), STATUS_OK);
		ck_assert_int_eq(catalog_stage_check(stages[i]), STATUS_OK);
		g_array_unref(list);
	}
	ck_assert_uint_eq(catalog_version(c), 1);
	ck_assert_uint_eq(catalog_find(c, "a")->timeout_ms, 5);
	ck_assert_int_eq(catalog_commit(c, stages[0]), STATUS_OK);
	ck_assert_uint_eq(catalog_find(c, "a")->timeout_ms, 6);
	ck_assert_int_eq(catalog_stage_check(stages[0]), STATUS_CONFLICT);
	ck_assert_int_eq(catalog_commit(c, stages[1]), STATUS_OK);
	ck_assert_uint_eq(catalog_find(c, "a")->timeout_ms, 7);
	ck_assert_uint_eq(catalog_version(c), 3);
	for (i = 0; i < 2; i++)
		catalog_stage_free(stages[i]);
	for (i = 0; i < 3; i++)
		bundle_free(b[i]);
	catalog_free(c);
}
END_TEST

/* A stage begun before another commit is either committed correctly or
 * refused. */
START_TEST(test_stage_begun_before_another_commit)
{
	struct bundle *b[3] = {fix_bundle(TWO("5", "'GET'")),
	    fix_bundle(TWO("6", "'GET'")), fix_bundle(TWO("7", "'GET'"))};
	struct catalog_delta delta = {1, 3, {{0}}, NULL, false};
	struct catalog_stage *stage;
	struct catalog *c = catalog_new(0);
	GArray *from, *to;
	int i;

	ck_assert_int_eq(fix_commit(c, 1, b[0]), STATUS_OK);
	bundle_section_list(b[0], &from, &delta.root);
	bundle_section_list(b[2], &to, &delta.root);
	delta.changes = section_changes(from, to);
	ck_assert_int_eq(catalog_stage_begin(c, &delta, &stage), STATUS_OK);
	ck_assert_int_eq(fix_add_all(stage, b[2]), STATUS_OK);
	ck_assert_int_eq(fix_commit(c, 2, b[1]), STATUS_OK);
	ck_assert_int_eq(catalog_commit(c, stage), STATUS_OK);
	ck_assert_uint_eq(catalog_find(c, "a")->timeout_ms, 7);
	ck_assert_int_eq(catalog_commit(c, stage), STATUS_CONFLICT);
	ck_assert_uint_eq(catalog_version(c), 3);
	catalog_stage_free(stage);
	catalog_delta_clear(&delta);
	g_array_unref(from);
	g_array_unref(to);
	for (i = 0; i < 3; i++)
		bundle_free(b[i]);
	catalog_free(c);
}
END_TEST

/* Old commits are dropped at the memory limit; a version above the
 * limit is refused. */
START_TEST(test_memory_limit)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct version *v = random_versions(rand);
	const uint64_t limit = 16384;
	struct catalog *c = catalog_new(limit), *tiny = catalog_new(512);
	uint64_t i;

	for (i = 1; i <= RANDOM_VERSIONS; i++) {
		ck_assert_int_eq(fix_commit(c, i, v[i].bundle), STATUS_OK);
		ck_assert_uint_le(catalog_bytes(c), limit);
		check_holds(c, i, &v[i]);
	}
	ck_assert_uint_gt(
	    catalog_oldest(c), RANDOM_VERSIONS - CATALOG_RING_ENTRIES);
	ck_assert_uint_lt(catalog_oldest(c), RANDOM_VERSIONS);
	ck_assert_int_eq(
	    fix_commit(tiny, 1, v[RANDOM_VERSIONS].bundle), STATUS_TOO_LARGE);
	ck_assert_uint_eq(catalog_version(tiny), 0);
	catalog_free(c);
	catalog_free(tiny);
	versions_free(v);
	g_rand_free(rand);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("catalog");
	TCase *tc = tcase_create("catalog");

	tcase_add_loop_test(tc, test_relayed_versions, 0, 20);
	tcase_add_test(tc, test_deltas_between_kept_versions);
	tcase_add_loop_test(
	    tc, test_invalid_delta_is_refused, 0, BAD_COUNT + 1);
	tcase_add_test(tc, test_commit_between_check_and_commit);
	tcase_add_test(tc, test_stage_begun_before_another_commit);
	tcase_add_test(tc, test_memory_limit);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return fix_run(suite);
}
