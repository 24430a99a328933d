/*
 * Tests of settings: defaults, and each kind of error with its remedy.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "proto/settings.h"
#include "proto/suggest.h"

#include "test_run.h"

/* The required keys, to which the rows of the table add others. */
#define REQUIRED                                                \
	"\"host\":\"h1\",\"data_centre\":\"grandahus\","        \
	"\"region\":\"hofudsvaedi\",\"address\":\"127.0.0.2\"," \
	"\"table_url\":\"http://127.0.0.1:1\",\"object_url\":"  \
	"\"http://127.0.0.1:2\""

static enum status
parse(const char *text, struct settings *s, GPtrArray *errors)
{
	return settings_parse(text, strlen(text), "node.json", s, errors);
}

START_TEST(defaults)
{
	struct settings s;

	ck_assert_int_eq(parse("{" REQUIRED "}", &s, NULL), STATUS_OK);
	ck_assert_str_eq(s.host, "h1");
	ck_assert_uint_eq(s.address, 0x7f000002);
	ck_assert_uint_eq(s.peer_port, 7400);
	ck_assert_uint_eq(s.n_seeds, 0);
	ck_assert_int_eq(s.profile, SETTINGS_PROFILE_REGISTRY);
	ck_assert_int_eq(s.log_level, LOG_LEVEL_INFO);
	ck_assert_uint_eq(s.spread_fanout, 0);
	ck_assert_uint_eq(s.fate_window_ms, 60000);
}
END_TEST

START_TEST(values)
{
	struct settings s;

	ck_assert_int_eq(parse("{" REQUIRED ",\"profile\":\"crew\","
			       "\"log_level\":\"debug\",\"call_port\":65535,"
			       "\"request_max_bytes\":4294967295,"
			       "\"seeds\":[\"10.0.0.1:1\",\"10.0.0.2:2\"]}",
			     &s, NULL),
	    STATUS_OK);
	ck_assert_int_eq(s.profile, SETTINGS_PROFILE_CREW);
	ck_assert_str_eq(settings_profile_name(s.profile), "crew");
	ck_assert_int_eq(s.log_level, LOG_LEVEL_DEBUG);
	ck_assert_uint_eq(s.call_port, 65535);
	ck_assert_uint_eq(s.request_max_bytes, 4294967295);
	ck_assert_uint_eq(s.n_seeds, 2);
	ck_assert_uint_eq(s.seeds[1].ip, 0x0a000002);
}
END_TEST

/* Text of a settings file, and phrases that the first error must contain. */
struct error_row {
	const char *text;
	const char *words[3];
};

static const struct error_row error_rows[] = {
    {"{" REQUIRED ",\"peer_prot\":1}",
	{"\"peer_prot\" is unknown", "rename it to \"peer_port\""}},
    {"{" REQUIRED ",\"gossip\":1}", {"\"gossip\" is unknown", "remove it"}},
    {"{" REQUIRED ",\"peer_port\":\"7400\"}",
	{"\"peer_port\" is \"7400\"", "a port number from 1 to 65535"}},
    {"{" REQUIRED ",\"peer_port\":0}", {"\"peer_port\" is 0"}},
    {"{" REQUIRED ",\"peer_port\":65536}", {"\"peer_port\" is 65536"}},
    {"{" REQUIRED ",\"drain_ms\":99}",
	{"\"drain_ms\" is 99",
	    "a whole number of milliseconds from 100 to 600000",
	    "allow for the longest deadline"}},
    {"{" REQUIRED ",\"drain_ms\":1e3}", {"\"drain_ms\" is 1000.0"}},
    {"{" REQUIRED ",\"drain_ms\":-1}", {"\"drain_ms\" is -1"}},
    {"{" REQUIRED ",\"drain_ms\":null}", {"\"drain_ms\" is null"}},
    {"{" REQUIRED ",\"profile\":\"fast\"}",
	{"\"profile\" is \"fast\"", "\"registry\" or \"crew\""}},
    {"{" REQUIRED ",\"log_level\":1}", {"\"log_level\" is 1", "\"debug\""}},
    {"{" REQUIRED ",\"seeds\":\"10.0.0.1:1\"}",
	{"\"seeds\" is \"10.0.0.1:1\"", "a list of at most 64"}},
    {"{" REQUIRED ",\"seeds\":[\"10.0.0.1\"]}", {"\"seeds\" is [\"10.0.0.1"}},
    {"{" REQUIRED ",\"seeds\":[1]}", {"\"seeds\" is [1]"}},
    {"{" REQUIRED ",\"call_port\":8080}",
	{"\"caller_port\" and \"call_port\" are both 8080", "change one"}},
    {"{" REQUIRED ",\"probe_interval_ms\":200}",
	{"\"probe_timeout_ms\" is 300", "less than probe_interval_ms"}},
    {"{" REQUIRED ",\"upstream_service\":\"a\\r\\nb: 1\"}",
	{"\"upstream_service\" is \"a", "without control characters"}},
    {"{" REQUIRED ",\"upstream_service\":\" ab\"}",
	{"\"upstream_service\" is \" ab\""}},
    {"{" REQUIRED ",\"upstream_service\":\"ab \"}",
	{"\"upstream_service\" is \"ab \""}},
    {"{" REQUIRED ",\"host\":\"h2\"}",
	{"duplicate object key near '\"host\"'", "remove one of the two"}},
    {"{" REQUIRED ",\"host\":\"H2\"}", {"duplicate object key"}},
    {"{" REQUIRED ",}",
	{"line 1, column", "expected a JSON object", "correct the JSON"}},
    {"{" REQUIRED, {"line 1, column", "correct the JSON at this position"}},
    {"", {"line 1, column", "correct the JSON"}},
    {"[1]", {"the top level is not an object", "in { and }"}},
};

/* Some tools write rates with a fraction, which is dropped. */
START_TEST(fraction_of_a_rate_is_dropped)
{
	struct settings s;

	ck_assert_int_eq(
	    parse("{" REQUIRED ",\"link_mbps\":1000.0}", &s, NULL), STATUS_OK);
	ck_assert_uint_eq(s.link_mbps, 1000);
	ck_assert_int_eq(
	    parse("{" REQUIRED ",\"link_mbps\":7.5}", &s, NULL), STATUS_OK);
	ck_assert_uint_eq(s.link_mbps, 7);
	ck_assert_int_eq(parse("{" REQUIRED ",\"call_port\":7.5}", &s, NULL),
	    STATUS_INVALID);
	ck_assert_int_eq(parse("{" REQUIRED ",\"link_mbps\":-1.0}", &s, NULL),
	    STATUS_INVALID);
}
END_TEST

START_TEST(error_names_key_and_remedy)
{
	const struct error_row *row = &error_rows[_i];
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	const char *first;
	struct settings s;
	size_t i;

	ck_assert_int_eq(parse(row->text, &s, errors), STATUS_INVALID);
	ck_assert_uint_ge(errors->len, 1);
	first = g_ptr_array_index(errors, 0);
	ck_assert(g_str_has_prefix(first, "node.json: "));
	ck_assert(g_str_has_prefix(status_message(), first));
	for (i = 0; i < G_N_ELEMENTS(row->words); i++)
		if (row->words[i] != NULL)
			ck_assert_msg(strstr(first, row->words[i]) != NULL,
			    "\"%s\" does not contain \"%s\"", first,
			    row->words[i]);
	g_ptr_array_unref(errors);
}
END_TEST

/* Accepts the same service names as the configuration. */
START_TEST(upstream_service_is_any_name_of_a_service)
{
	static const char *const names[] = {"", "search", "Odd_One.2",
	    "caf\xc3\xa9:1", "a b", "a/b",
	    "skjalasafn-fyrir-eldri-domskyrslur"};
	struct settings s;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		text = g_strdup_printf(
		    "{" REQUIRED ",\"upstream_service\":\"%s\"}", names[i]);
		ck_assert_msg(
		    parse(text, &s, NULL) == STATUS_OK, "%s", status_message());
		ck_assert_str_eq(s.upstream_service, names[i]);
		g_free(text);
	}
}
END_TEST

/* Guards against a node that doesn't start, and with it a data centre without
 * service, because a name is long or has unusual characters. */
START_TEST(hosts_and_data_centres_have_any_name)
{
	static const char *const names[] = {"z", "Upper.x_Y", "a b",
	    "caf\xc3\xa9", "gogn-og-skjol-fyrir-vesturland-00",
	    "a-data-centre-whose-name-is-longer-than-sixty-three-characters-1",
	    "a-data-centre-whose-name-is-longer-than-sixty-three-characters-2"};
	static char ids[G_N_ELEMENTS(names)][NAME_ID_BYTES];
	struct settings s;
	size_t i, j;
	char *text;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		text =
		    g_strdup_printf("{\"host\":\"%s\",\"data_centre\":\"%s\","
				    "\"region\":\"%s\",\"address\":"
				    "\"127.0.0.2\",\"data_centres\":[\"%s\"],"
				    "\"table_url\":\"http://127.0.0.1:1\","
				    "\"object_url\":\"http://127.0.0.1:2\"}",
			names[i], names[i], names[i], names[i]);
		ck_assert_msg(
		    parse(text, &s, NULL) == STATUS_OK, "%s", status_message());
		ck_assert_str_eq(s.host, s.data_centre);
		ck_assert_str_eq(s.host, s.data_centres[0]);
		(void)g_strlcpy(ids[i], s.host, sizeof(ids[i]));
		for (j = 0; j < i; j++)
			ck_assert_str_ne(ids[i], ids[j]);
		g_free(text);
	}
	ck_assert_str_eq(ids[0], names[0]);
	ck_assert_str_eq(ids[1], names[1]);
	ck_assert_int_eq(parse("{" REQUIRED ",\"data_centres\":{\"a\":\"r\","
			       "\"b \\\"2\\\"\":\"r\"}}",
			     &s, NULL),
	    STATUS_OK);
	ck_assert_uint_eq(s.n_data_centres, 2);
	ck_assert_str_eq(s.data_centres[0], "a");
	ck_assert_int_eq(
	    parse("{" REQUIRED ",\"data_centres\":\"a\"}", &s, NULL),
	    STATUS_INVALID);
	ck_assert_int_eq(parse("{" REQUIRED ",\"data_centres\":[1]}", &s, NULL),
	    STATUS_INVALID);
}
END_TEST

START_TEST(bad_values_of_required_keys)
{
	static const char *const texts[] = {"{\"host\":\"\"}", "{\"host\":1}",
	    "{\"host\":null}", "{\"host\":[\"a\"]}",
	    "{\"address\":\"0.0.0.0\"}", "{\"address\":\"10.0.0\"}",
	    "{\"address\":\"10.0.0.1:80\"}", "{\"table_url\":\"ftp://a\"}",
	    "{\"table_url\":\"http://\"}", "{\"table_url\":\"http://a b\"}",
	    "{\"table_url\":1}"};
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct settings s;

	/* One error for the invalid value and five for the missing keys. */
	ck_assert_int_eq(parse(texts[_i], &s, errors), STATUS_INVALID);
	ck_assert_uint_eq(errors->len, 6);
	g_ptr_array_unref(errors);
}
END_TEST

START_TEST(all_errors_at_once)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct settings s;

	ck_assert_int_eq(parse("{\"host\":\"h1\",\"hots\":1,\"host\":\"h2\","
			       "\"drain_ms\":0,\"join_limit\":\"many\"}",
			     &s, errors),
	    STATUS_INVALID);
	/* A duplicate, an unknown key, five missing, two invalid values. */
	ck_assert_uint_eq(errors->len, 9);
	ck_assert_ptr_nonnull(strstr(status_message(), "(9 errors in all)"));
	g_ptr_array_unref(errors);
}
END_TEST

/* The loop index is the number of seeds; at most 64 are accepted. */
START_TEST(seeds_are_counted)
{
	GString *text = g_string_new("{" REQUIRED ",\"seeds\":[");
	struct settings s;
	int i;

	for (i = 0; i < _i; i++)
		g_string_append_printf(
		    text, "%s\"10.0.0.1:%d\"", i > 0 ? "," : "", i + 1);
	g_string_append(text, "]}");
	ck_assert_int_eq(
	    parse(text->str, &s, NULL), _i <= 64 ? STATUS_OK : STATUS_INVALID);
	g_string_free(text, TRUE);
}
END_TEST

static const char *
known_word(uint32_t i)
{
	static const char *const words[] = {"host", "drain_ms", "peer_port"};

	return words[i];
}

struct suggest_row {
	const char *word;
	const char *nearest;
};

static const struct suggest_row suggest_rows[] = {
    {"host", "host"},
    {"hst", "host"},
    {"hosst", "host"},
    {"hots", NULL},
    {"darin_ms", "drain_ms"},
    {"pear_part", "peer_port"},
    {"", NULL},
    {"seeds", NULL},
    {"a_word_far_longer_than_any_that_could_be_mistyped_by_any_operator", NULL},
};

START_TEST(nearest_word)
{
	const struct suggest_row *row = &suggest_rows[_i];

	ck_assert_pstr_eq(
	    suggest_nearest(row->word, known_word, 3), row->nearest);
}
END_TEST

START_TEST(unreadable_file)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct settings s;

	ck_assert_int_eq(
	    settings_load("no/such/node.json", &s, errors), STATUS_IO);
	ck_assert_uint_eq(errors->len, 1);
	ck_assert_ptr_nonnull(
	    strstr(status_message(), "no/such/node.json: can't be read"));
	ck_assert_ptr_nonnull(strstr(status_message(), "Check the path"));
	g_ptr_array_unref(errors);
}
END_TEST

START_TEST(printed_settings_are_settings)
{
	GString *first = g_string_new(NULL), *second = g_string_new(NULL);
	struct settings s;

	ck_assert_int_eq(
	    parse("{" REQUIRED ",\"seeds\":[\"10.0.0.1:1\"]}", &s, NULL),
	    STATUS_OK);
	settings_print(&s, first);
	ck_assert_ptr_nonnull(strstr(first->str, "\"drain_ms\": 30000"));
	ck_assert_ptr_nonnull(strstr(first->str, "\"address\": \"127.0.0.2\""));
	ck_assert_int_eq(parse(first->str, &s, NULL), STATUS_OK);
	settings_print(&s, second);
	ck_assert_str_eq(first->str, second->str);
	g_string_free(first, TRUE);
	g_string_free(second, TRUE);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("settings");
	TCase *tc = tcase_create("settings");

	tcase_add_test(tc, defaults);
	tcase_add_test(tc, values);
	tcase_add_test(tc, fraction_of_a_rate_is_dropped);
	tcase_add_test(tc, upstream_service_is_any_name_of_a_service);
	tcase_add_test(tc, hosts_and_data_centres_have_any_name);
	tcase_add_loop_test(
	    tc, error_names_key_and_remedy, 0, (int)G_N_ELEMENTS(error_rows));
	tcase_add_loop_test(tc, bad_values_of_required_keys, 0, 11);
	tcase_add_test(tc, all_errors_at_once);
	tcase_add_loop_test(tc, seeds_are_counted, 63, 66);
	tcase_add_loop_test(
	    tc, nearest_word, 0, (int)G_N_ELEMENTS(suggest_rows));
	tcase_add_test(tc, unreadable_file);
	tcase_add_test(tc, printed_settings_are_settings);
	suite_add_tcase(s, tc);
	return test_run(s);
}
