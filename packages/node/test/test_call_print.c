/*
 * Tests of the fingerprint that identifies repetitions of a request.
 *
 * A request that crashes upstreams may enter at any host.  When a header names
 * only the service of that host, it must not be part of the fingerprint:
 * otherwise the crashes would be counted separately for each service.
 */
#include <string.h>

#include <check.h>
#include <glib.h>

#include "call_print.h"
#include "test_run.h"

#define CALLER_HEADER "X-Entry-Service"

static void
make_print(const struct call_dialect *d, const char *service,
    const char *address, const char *path, struct fingerprint *out)
{
	struct call_headers headers;
	struct body_buffer body;
	const struct call_print_parts parts = {.dialect = d,
	    .method = "GET",
	    .path = path,
	    .headers = &headers,
	    .address = address,
	    .body = &body,
	    .whole = true};

	body_buffer_init(&body);
	call_headers_init(&headers);
	if (service != NULL)
		(void)call_headers_add(&headers, CALLER_HEADER,
		    sizeof(CALLER_HEADER) - 1, service, strlen(service));
	call_print(&parts, out);
	call_headers_clear(&headers);
}

START_TEST(entry_service_is_not_part_of_the_fingerprint)
{
	const struct call_dialect d = {.caller_service = CALLER_HEADER};
	struct fingerprint a, b, other;

	make_print(&d, "search", "10.0.0.1", "/a", &a);
	make_print(&d, "booking", "10.0.0.2", "/a", &b);
	make_print(&d, "search", "10.0.0.1", "/b", &other);
	ck_assert(fingerprint_equal(&a, &b));
	ck_assert_uint_ne(a.caller, 0);
	ck_assert(!fingerprint_equal(&a, &other));
}
END_TEST

START_TEST(caller_address_is_part_of_the_fingerprint)
{
	const struct call_dialect d = {.caller_service = NULL};
	struct fingerprint a, b, again;

	make_print(&d, NULL, "10.0.0.1", "/a", &a);
	make_print(&d, NULL, "10.0.0.2", "/a", &b);
	make_print(&d, NULL, "10.0.0.1", "/a", &again);
	ck_assert(!fingerprint_equal(&a, &b));
	ck_assert_uint_eq(a.content, b.content);
	ck_assert(fingerprint_equal(&a, &again));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("call_print");
	TCase *tc = tcase_create("call_print");

	tcase_add_test(tc, entry_service_is_not_part_of_the_fingerprint);
	tcase_add_test(tc, caller_address_is_part_of_the_fingerprint);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
