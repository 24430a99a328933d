/*
 * Tests of the table of customers: bundle, sections, look-ups and changes.
 */
#include "fixture.h"

#include "config/snapshot.h"

#define SERVICES "'services':[{'name':'search'}],"
#define ROUTES                                                            \
	"'routes':[{'prefix':'/s','methods':['GET'],'service':'search'}," \
	"{'prefix':'/open','methods':['GET'],'service':'search',"         \
	"'keyless':true}]"

/* As docs/BUNDLES.md says. */
/* Keys of one record. */
#define RECORD_KEYS_MAX 30720

static struct bundle *
bundle_with(const char *customers)
{
	char *text = g_strdup_printf("{'format':1,'name':'b'," SERVICES ROUTES
				     ",'customers':[%s]}",
	    customers);
	struct bundle *b = fix_bundle(text);

	g_free(text);
	return b;
}

static char *
many_customers(uint32_t n, uint32_t changed)
{
	GString *s = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < n; i++)
		g_string_append_printf(s,
		    "%s{'name':'c%u','keys':['key-%u-%s'],'rate_per_s':2.5}",
		    i > 0 ? "," : "", i, i, i == changed ? "new" : "old");
	return g_string_free(s, FALSE);
}

static struct catalog *
catalog_of(const struct bundle *b)
{
	struct catalog *c = catalog_new(0);
	struct catalog_stage *stage;
	struct digest root;
	GArray *list;

	bundle_section_list(b, &list, &root);
	ck_assert(
	    catalog_stage_begin_full(c, 1, &root, list, &stage) == STATUS_OK);
	ck_assert(fix_add_all(stage, b) == STATUS_OK);
	ck_assert_msg(
	    catalog_commit(c, stage) == STATUS_OK, "%s", status_message());
	catalog_stage_free(stage);
	g_array_unref(list);
	return c;
}

static struct snapshot *
snapshot_of(const struct bundle *b)
{
	struct endpoint_set *none = endpoint_set_new();
	struct catalog *c = catalog_of(b);
	struct snapshot *s = snapshot_compile(c, none);

	ck_assert_msg(snapshot_check(s) == STATUS_OK, "%s", status_message());
	catalog_free(c);
	endpoint_set_free(none);
	return s;
}

static const struct customer *
holder(const struct snapshot *s, const char *key)
{
	struct customer_key digest;

	customer_key_make(key, strlen(key), &digest);
	return customer_table_find_key(s->customers, &digest);
}

START_TEST(keys_lead_to_their_customer)
{
	struct bundle *b = bundle_with(
	    "{'name':'north','keys':['k1','k2'],'rate_per_s':2.5,'burst':3,"
	    "'priority':1},{'name':'south','keys':['k3']}");
	struct snapshot *s = snapshot_of(b);
	const struct customer *north = holder(s, "k2");
	const struct customer *south = holder(s, "k3");

	ck_assert_uint_eq(customer_table_size(s->customers), 2);
	ck_assert_str_eq(north->name, "north");
	ck_assert_ptr_eq(north, holder(s, "k1"));
	ck_assert_uint_eq(north->rate_milli_per_s, 2500);
	ck_assert_uint_eq(north->burst_milli, 3000);
	ck_assert_uint_eq(north->priority, 1);
	ck_assert_uint_eq(north->id, customer_id("north"));
	ck_assert_ptr_eq(
	    north, customer_table_find_id(s->customers, north->id));
	ck_assert_uint_eq(south->priority, CUSTOMER_PRIORITY_NONE);
	ck_assert_uint_eq(south->rate_milli_per_s, 0);
	ck_assert_ptr_null(holder(s, "k4"));
	ck_assert_ptr_null(holder(s, ""));
	snapshot_unref(s);
	bundle_free(b);
}
END_TEST

/* Guards against a version that is refused whole for one customer's keys. */
START_TEST(customer_has_many_keys)
{
	static const uint32_t numbers[] = {
	    1024, 1025, RECORD_KEYS_MAX, RECORD_KEYS_MAX + 1, 100000};
	GString *text = g_string_new("{'name':'north','keys':['k0'");
	struct bundle *b;
	struct snapshot *s;
	char last[16];
	uint32_t i;

	for (i = 1; i < numbers[_i]; i++)
		g_string_append_printf(text, ",'k%u'", i);
	g_string_append(text, "]}");
	b = bundle_with(text->str);
	s = snapshot_of(b);
	(void)g_snprintf(last, sizeof(last), "k%u", numbers[_i] - 1);
	ck_assert_ptr_nonnull(holder(s, "k0"));
	ck_assert_ptr_eq(holder(s, last), holder(s, "k0"));
	ck_assert_uint_eq(customer_table_size(s->customers), 1);
	ck_assert_str_eq(customer_table_at(s->customers, 0)->name, "north");
	snapshot_unref(s);
	bundle_free(b);
	g_string_free(text, TRUE);
}
END_TEST

/* Guards against a version that is refused whole for one customer's name. */
START_TEST(customer_has_a_long_name)
{
	static const uint32_t lengths[] = {120, 121, 127, 128, 4000, 65500};
	char *a = g_strnfill(lengths[_i], 'n'), *b = g_strdup(a);
	GString *text = g_string_new(NULL);
	struct bundle *bundle;
	struct snapshot *s;
	uint32_t i;

	a[lengths[_i] - 1] = 'a';
	b[lengths[_i] - 1] = 'b';
	g_string_printf(text,
	    "{'name':'%s','keys':['b0']},{'name':'%s','keys':['a0'", b, a);
	for (i = 1; i <= RECORD_KEYS_MAX; i++)
		g_string_append_printf(text, ",'a%u'", i);
	g_string_append(text, "]}");
	bundle = bundle_with(text->str);
	s = snapshot_of(bundle);
	ck_assert_uint_eq(customer_table_size(s->customers), 2);
	ck_assert_str_eq(holder(s, "a0")->name, a);
	ck_assert_str_eq(holder(s, "a30720")->name, a);
	ck_assert_str_eq(holder(s, "b0")->name, b);
	ck_assert_uint_eq(holder(s, "b0")->id, customer_id(b));
	snapshot_unref(s);
	bundle_free(bundle);
	g_string_free(text, TRUE);
	g_free(b);
	g_free(a);
}
END_TEST

START_TEST(table_without_customers_differs_from_no_table)
{
	struct bundle *empty = bundle_with("");
	struct bundle *none =
	    fix_bundle("{'format':1,'name':'b'," SERVICES ROUTES "}");
	struct snapshot *with = snapshot_of(empty);
	struct snapshot *without = snapshot_of(none);

	ck_assert_ptr_nonnull(with->customers);
	ck_assert_uint_eq(customer_table_size(with->customers), 0);
	ck_assert_ptr_null(without->customers);
	snapshot_unref(with);
	snapshot_unref(without);
	bundle_free(empty);
	bundle_free(none);
}
END_TEST

static bool
contains(const struct section *section, const char *text)
{
	gsize len;
	const char *data = g_bytes_get_data(section->content, &len);

	return memmem(data, len, text, strlen(text)) != NULL;
}

START_TEST(sections_hold_no_key)
{
	struct bundle *b =
	    bundle_with("{'name':'north','keys':['a-secret-key']}");
	uint32_t i;

	for (i = 0; i < b->sections->len; i++)
		ck_assert(!contains(
		    g_ptr_array_index(b->sections, i), "a-secret-key"));
	bundle_free(b);
}
END_TEST

/* Load: 2,000 customers, and one replaces its key. */
START_TEST(changed_key_changes_one_section)
{
	char *before_text = many_customers(2000, UINT32_MAX);
	char *after_text = many_customers(2000, 1234);
	struct bundle *before = bundle_with(before_text);
	struct bundle *after = bundle_with(after_text);
	GArray *from, *to, *changes;
	struct digest root;

	bundle_section_list(before, &from, &root);
	bundle_section_list(after, &to, &root);
	changes = section_changes(from, to);
	ck_assert_uint_eq(changes->len, 1);
	ck_assert_uint_gt(from->len, 2);
	g_array_unref(changes);
	g_array_unref(from);
	g_array_unref(to);
	bundle_free(before);
	bundle_free(after);
	g_free(before_text);
	g_free(after_text);
}
END_TEST

static const struct {
	const char *customers;
	const char *message;
} invalid[] = {
    {"{'name':'a','keys':['k']},{'name':'b','keys':['k']}",
	"customer a has this key already"},
    {"{'name':'a','keys':['']}", "empty key"},
    {"{'name':'a','keys':['k']},{'name':'a','keys':['l']}",
	"two customers of this name"},
    {"{'name':'','keys':['k']}", "invalid name of a customer"},
    {"{'name':'a\\nb','keys':['k']}", "invalid name of a customer"},
    {"{'name':'a'}", "required key is missing"},
    {"{'name':'a','keys':['k'],'rate_per_s':-1}", "not a number of requests"},
    {"{'name':'a','keys':['k'],'priority':-1}", "not negative"},
    {"{'name':'a','keys':[7]}", "not a string"},
    {"{'name':'a','keys':['k' 'top-secret']}", "expected"},
    {"{'name':'a','keys':[secret]}", "invalid token"},
    {"{'name':'a','keys':['top-secret']},{'name':'b','keys':['top-secret']}",
	"customer a has this key already"},
    {"{'name':'a','keys':['top-secret'],'keys':['k']}", "duplicate"},
};

START_TEST(invalid_customers_are_reported_without_keys)
{
	char *text = g_strdup_printf("{'format':1,'name':'b'," SERVICES ROUTES
				     ",'customers':[%s]}",
	    invalid[_i].customers);
	char *json = fix_json(text);
	struct bundle *b;

	ck_assert(bundle_parse(json, strlen(json), &b) == STATUS_INVALID);
	ck_assert_msg(strstr(status_message(), invalid[_i].message) != NULL,
	    "%s", status_message());
	ck_assert_msg(
	    strstr(status_message(), "secret") == NULL, "%s", status_message());
	bundle_free(b);
	g_free(json);
	g_free(text);
}
END_TEST

START_TEST(small_limit_is_not_taken_for_none)
{
	ck_assert_uint_eq(customer_limit_milli(0), 0);
	ck_assert_uint_eq(customer_limit_milli(0.0001), 1);
	ck_assert_uint_eq(customer_limit_milli(2.5), 2500);
	ck_assert_uint_eq(
	    customer_limit_milli(1e300), CUSTOMER_LIMIT_MAX_MILLI);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("customers");
	TCase *tc = tcase_create("customers");

	tcase_add_test(tc, keys_lead_to_their_customer);
	tcase_add_loop_test(tc, customer_has_many_keys, 0, 5);
	tcase_add_loop_test(tc, customer_has_a_long_name, 0, 6);
	tcase_add_test(tc, table_without_customers_differs_from_no_table);
	tcase_add_test(tc, sections_hold_no_key);
	tcase_add_test(tc, changed_key_changes_one_section);
	tcase_add_test(tc, small_limit_is_not_taken_for_none);
	tcase_add_loop_test(tc, invalid_customers_are_reported_without_keys, 0,
	    G_N_ELEMENTS(invalid));
	suite_add_tcase(suite, tc);
	return fix_run(suite);
}
