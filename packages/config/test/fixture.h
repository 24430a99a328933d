/*
 * Fixtures shared by the tests of package config.
 */
#ifndef CONFIG_TEST_FIXTURE_H
#define CONFIG_TEST_FIXTURE_H

#include <check.h>
#include <string.h>

#include "config/bundle.h"
#include "config/stage.h"
#include "proto/messages.h"

/* A valid bundle in the notation of fix_json() */
static const char fix_valid_bundle[] =
    "{'format':1,'name':'registry','services':["
    "{'name':'public-search','timeout_ms':1500,"
    " 'limits':{'slots_per_endpoint':12,'queue_per_endpoint':24,"
    "  'queue_wait_ms':200,'request_max_bytes':1048576,"
    "  'caller_calls_per_s':0},'retry':{'attempts':2,'budget_percent':10}},"
    "{'name':'hearing-booking'}],"
    "'routes':[{'prefix':'/search','methods':['GET','HEAD'],"
    " 'service':'public-search'},"
    "{'prefix':'/bookings','methods':['POST'],'service':'hearing-booking'},"
    "{'prefix':'/bookings','methods':['GET'],'service':'hearing-booking',"
    " 'idempotent':true}]}";

/* JSON written with ' for ", so that tables stay readable; free with g_free */
static inline char *
fix_json(const char *text)
{
	char *json = g_strdup(text);

	return g_strdelimit(json, "'", '"');
}

static inline struct bundle *
fix_bundle(const char *text)
{
	struct bundle *b;
	char *json = fix_json(text);

	ck_assert_msg(bundle_parse(json, strlen(json), &b) == STATUS_OK, "%s",
	    status_message());
	g_free(json);
	return b;
}

/* Add the contents that a stage lacks from a bundle; Return: the first
 * failure. */
static inline enum status
fix_add_all(struct catalog_stage *stage, const struct bundle *b)
{
	const struct section *section;
	enum status st, first = STATUS_OK;
	const uint8_t *data;
	size_t len;
	uint32_t i;

	for (i = 0; i < b->sections->len; i++) {
		section = g_ptr_array_index(b->sections, i);
		data = g_bytes_get_data(section->content, &len);
		st = catalog_stage_add(stage, data, len);
		if (st != STATUS_NOT_FOUND && first == STATUS_OK)
			first = st;
	}
	return first;
}

/* Commit a bundle as changes to the current version. */
static inline enum status
fix_commit(struct catalog *c, uint64_t version, const struct bundle *b)
{
	struct catalog_delta delta = {0, version, {{0}}, NULL, false};
	struct catalog_stage *stage;
	GArray *from, *to;
	enum status st;

	bundle_section_list(b, &to, &delta.root);
	if (catalog_list(c, 0, NULL, &from) != STATUS_OK)
		from = g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	delta.from_version = catalog_version(c);
	delta.changes = section_changes(from, to);
	st = catalog_stage_begin(c, &delta, &stage);
	if (st == STATUS_OK) {
		ck_assert_int_eq(fix_add_all(stage, b), STATUS_OK);
		st = catalog_commit(c, stage);
	}
	catalog_stage_free(stage);
	catalog_delta_clear(&delta);
	g_array_unref(from);
	g_array_unref(to);
	return st;
}

/* Commit a bundle as a full list, as a node that reads from the platform
 * does. */
static inline void
fix_commit_full(struct catalog *c, uint64_t version, const struct bundle *b)
{
	struct catalog_stage *stage;
	struct digest root;
	GArray *list;

	bundle_section_list(b, &list, &root);
	ck_assert_msg(catalog_stage_begin_full(
			  c, version, &root, list, &stage) == STATUS_OK,
	    "%s", status_message());
	ck_assert_int_eq(fix_add_all(stage, b), STATUS_OK);
	ck_assert_msg(
	    catalog_commit(c, stage) == STATUS_OK, "%s", status_message());
	catalog_stage_free(stage);
	g_array_unref(list);
}

static inline int
fix_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int n_failed;

	srunner_run_all(runner, CK_NORMAL);
	n_failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return n_failed == 0 ? 0 : 1;
}

#endif
