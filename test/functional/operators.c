/*
 * Checks the results reported to operators against the platform's rows.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "operators.h"

#define KEY_BYTES 64

static uint64_t
row_number(const json_t *row, const char *name)
{
	const char *text = deployment_row_text(row, name);

	return text == NULL ? 0 : strtoull(text, NULL, 10);
}

struct platform_head
operators_head(const struct deployment *d)
{
	json_t *row = deployment_platform_row(d, "head");
	struct platform_head head = {
	    row_number(row, "seq"),
	    row_number(row, "version"),
	    row_number(row, "in_force"),
	};

	json_decref(row);
	return head;
}

uint32_t
operators_count_versions(
    const struct deployment *d, const char *op, uint64_t *version)
{
	char key[KEY_BYTES];
	json_t *row;
	struct platform_head head = operators_head(d);
	uint32_t n = 0;
	uint64_t v, last = 0;

	for (v = 1; v <= head.version; v++) {
		(void)g_snprintf(
		    key, sizeof(key), "version/%" G_GUINT64_FORMAT, v);
		row = deployment_platform_row(d, key);
		ck_assert_msg(row != NULL, "row %s does not exist", key);
		if (g_strcmp0(deployment_row_text(row, "op"), op) == 0) {
			last = v;
			n++;
		}
		json_decref(row);
	}
	if (version != NULL)
		*version = last;
	return n;
}

int
operators_query(const struct host *h, const char *op, uint64_t *version)
{
	const char *args[] = {"operation", op, NULL};
	int code;
	json_t *j = deployment_ctl(h, &code, args);

	if (version != NULL)
		*version = (uint64_t)json_number(j, "version");
	json_decref(j);
	return code;
}

uint64_t
operators_check_result(const struct host *h, const struct deployment *d,
    const char *op, int code, uint64_t reported)
{
	uint64_t queried, created;
	uint32_t n = operators_count_versions(d, op, &created);

	ck_assert_msg(n <= 1, "operation %s was executed %u times", op, n);
	if (code == CTL_UNKNOWN) {
		code = operators_query(h, op, &queried);
		ck_assert_msg(code == CTL_DONE || code == CTL_NOT_FOUND ||
			code == CTL_UNKNOWN,
		    "operation %s: a later query ended with %d", op, code);
		reported = code == CTL_DONE ? queried : 0;
	}
	if (code == CTL_DONE)
		ck_assert_msg(n == 1 && reported == created,
		    "operation %s reported version %lu but created %lu", op,
		    (unsigned long)reported, (unsigned long)created);
	else
		ck_assert_msg(n == 0,
		    "operation %s ended with %d but created %lu", op, code,
		    (unsigned long)created);
	return created;
}
