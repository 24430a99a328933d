/*
 * Tests of customers through the whole call path: keys at the entry, names at
 * the upstream.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "config/customer.h"
#include "node/snapshot_ref.h"

#include "call_metrics.h"
#include "call_proto.h"
#include "entry_priv.h"
#include "fixture.h"
#include "test_run.h"

#define WINDOW_MS 1000
#define SUSPICION_MS 100

#define NEWER 2
#define SERIES 5U
/* Long beside a test on a loaded machine. */
#define CONFIRM_MS 60000
#define WRONG_KEYS 2000
/* An operator can read this many; the metric counts all. */
#define LOG_LINES_PER_S 10
#define LONG_KEY_BYTES 10240

#define KEY(key) "Bramley-Customer-Key: " key "\r\n"
#define NAMED(name) "\r\nBramley-Customer: " name "\r\n"

#define BUNDLE(customers)                                                     \
	"{\"format\":1,\"name\":\"test\",\"services\":[{\"name\":\"search\"," \
	"\"timeout_ms\":10000}],\"routes\":["                                 \
	"{\"prefix\":\"/look\",\"methods\":[\"GET\"],\"service\":\"search\"," \
	"\"idempotent\":true},"                                               \
	"{\"prefix\":\"/book\",\"methods\":[\"POST\"],"                       \
	"\"service\":\"search\"},"                                            \
	"{\"prefix\":\"/open\",\"methods\":[\"GET\"],\"service\":\"search\"," \
	"\"keyless\":true}]" customers "}"

static const char no_table[] = BUNDLE("");
static const char two[] = BUNDLE(
    ",\"customers\":[{\"name\":\"north\",\"keys\":[\"kn1\",\"kn2\",\"a key\"]},"
    "{\"name\":\"south\",\"keys\":[\"ks\"]}]");
static const char moved[] =
    BUNDLE(",\"customers\":[{\"name\":\"north\",\"keys\":[\"kn1\"]},"
	   "{\"name\":\"south\",\"keys\":[\"ks\",\"kn2\"]}]");

static struct fake_upstream *upstream;
static struct test_node *node;

static void
start(const char *json)
{
	test_host_start(json, &upstream, &node);
}

static void
stop(void)
{
	test_host_stop(upstream, node);
}

static void
publish(const char *json)
{
	struct fake_endpoint ep = {
	    .host = "h1", .port = guard_addr(node->guard).port};

	test_snapshot_of(json, &ep, 1);
	entry_snapshot_changed(node->entry);
	test_node_wait(node);
}

static void
expect(const char *path, const char *headers, int status)
{
	struct reply r;

	ck_assert(caller_call(
	    callers_port(node->callers), "GET", path, headers, NULL, 0, &r));
	ck_assert_msg(r.status == status, "%s %s: %d", path,
	    headers != NULL ? headers : "", r.status);
	if (status != 200)
		ck_assert_str_eq(r.fate, "not_run");
	if (status == 503)
		ck_assert_str_ne(r.retry_after, "");
	reply_clear(&r);
}

static uint64_t
refused(enum key_fault fault)
{
	GString *text = g_string_new(NULL);
	char *name =
	    g_strdup_printf("\nbramley_unauthorized_total{reason=\"%s\"} ",
		key_fault_name(fault));
	const char *at;
	uint64_t n;

	metrics_render(text);
	at = strstr(text->str, name);
	ck_assert_ptr_nonnull(at);
	n = g_ascii_strtoull(at + strlen(name), NULL, 10);
	g_free(name);
	g_string_free(text, TRUE);
	return n;
}

START_TEST(upstream_gets_name_and_no_key)
{
	start(two);
	expect("/look/x", KEY("kn1"), 200);
	ck_assert(fake_upstream_received(upstream, NAMED("north")));
	ck_assert(!fake_upstream_received(upstream, "kn1"));
	ck_assert(!fake_upstream_received(upstream, "Customer-Key"));
	expect("/look/x", KEY("ks"), 200);
	ck_assert(fake_upstream_received(upstream, NAMED("south")));
	expect("/look/x", "bRAMLEY-cUSTOMER-kEY:  a key \r\n", 200);
	ck_assert(fake_upstream_received(upstream, NAMED("north")));
	ck_assert(!fake_upstream_received(upstream, "a key"));
	stop();
}
END_TEST

static const struct {
	const char *headers;
	enum key_fault fault;
} no_key[] = {
    {NULL, KEY_MISSING},
    {KEY("other"), KEY_UNKNOWN},
    {KEY(""), KEY_UNKNOWN},
    {KEY("kn1, ks"), KEY_UNKNOWN},
    {KEY("KN1"), KEY_UNKNOWN},
    {KEY("kn"), KEY_UNKNOWN},
    {KEY("k\xc3\xa9\xff"), KEY_UNKNOWN},
    {KEY("kn1") KEY("kn1"), KEY_SEVERAL},
    {KEY("kn1") "bramley-customer-key: ks\r\n", KEY_SEVERAL},
    {"Bramley-Customer: north\r\n", KEY_MISSING},
};

START_TEST(request_without_valid_key_is_unauthorized)
{
	uint64_t before;
	size_t i;

	start(two);
	for (i = 0; i < G_N_ELEMENTS(no_key); i++) {
		before = refused(no_key[i].fault);
		expect("/look/x", no_key[i].headers, 401);
		ck_assert_uint_eq(refused(no_key[i].fault), before + 1);
	}
	ck_assert_int_eq(upstream->answered, 0);
	stop();
}
END_TEST

START_TEST(keyless_route_needs_no_key)
{
	start(two);
	expect("/open/x", NULL, 200);
	ck_assert(!fake_upstream_received(upstream, "Bramley-Customer"));
	expect("/open/x", KEY("other"), 200);
	ck_assert(!fake_upstream_received(upstream, "Bramley-Customer"));
	expect("/open/x", KEY("kn1") KEY("ks"), 200);
	ck_assert(!fake_upstream_received(upstream, "Bramley-Customer"));
	expect("/open/x", "Bramley-Customer: north\r\n", 200);
	ck_assert(!fake_upstream_received(upstream, "Bramley-Customer"));
	expect("/open/x", KEY("ks"), 200);
	ck_assert(fake_upstream_received(upstream, NAMED("south")));
	stop();
}
END_TEST

START_TEST(bundle_without_customers_needs_no_key)
{
	start(no_table);
	expect("/look/x", NULL, 200);
	expect("/look/x", KEY("kn1") "Bramley-Customer: north\r\n", 200);
	ck_assert(!fake_upstream_received(upstream, "Bramley-Customer"));
	stop();
}
END_TEST

START_TEST(empty_table_rejects_each_key)
{
	start(BUNDLE(",\"customers\":[]"));
	expect("/look/x", KEY("kn1"), 401);
	expect("/look/x", NULL, 401);
	expect("/open/x", NULL, 200);
	stop();
}
END_TEST

START_TEST(forged_name_is_replaced)
{
	static const char *const forged[] = {
	    "Bramley-Customer: south\r\n",
	    "bramley-customer: south\r\n",
	    "BRAMLEY-CUSTOMER: south\r\nBramley-Customer: east\r\n",
	    "Connection: Bramley-Customer\r\nBramley-Customer: south\r\n",
	};
	char headers[256];
	size_t i;

	start(two);
	for (i = 0; i < G_N_ELEMENTS(forged); i++) {
		(void)snprintf(
		    headers, sizeof(headers), "%s%s", forged[i], KEY("kn1"));
		expect("/look/x", headers, 200);
		ck_assert(fake_upstream_received(upstream, NAMED("north")));
		ck_assert(!fake_upstream_received(upstream, "south"));
		ck_assert(!fake_upstream_received(upstream, "east"));
	}
	stop();
}
END_TEST

static void
send_request(int fd, const char *id, const char *key)
{
	char headers[128];

	(void)snprintf(headers, sizeof(headers),
	    "X-Test-Id: %s\r\nBramley-Customer-Key: %s\r\n", id, key);
	ck_assert(caller_send(fd, "GET", "/look/x?ms=20", headers, NULL, 0));
}

static void
expect_answer(int fd, int status)
{
	struct reply r;

	ck_assert(caller_read(fd, &r));
	ck_assert_int_eq(r.status, status);
	reply_clear(&r);
}

START_TEST(requests_of_one_connection_have_their_own_customers)
{
	int fd;

	start(two);
	fd = caller_connect(callers_port(node->callers));
	send_request(fd, "r1", "kn1");
	expect_answer(fd, 200);
	send_request(fd, "r2", "ks");
	expect_answer(fd, 200);
	send_request(fd, "r3", "none");
	expect_answer(fd, 401);
	send_request(fd, "r4", "kn2");
	expect_answer(fd, 200);
	ck_assert(fake_upstream_received_by(upstream, "r1", NAMED("north")));
	ck_assert(fake_upstream_received_by(upstream, "r2", NAMED("south")));
	ck_assert_int_eq(fake_upstream_runs(upstream, "r3"), 0);
	ck_assert(fake_upstream_received_by(upstream, "r4", NAMED("north")));
	close(fd);
	stop();
}
END_TEST

START_TEST(pipelined_requests_have_their_own_customers)
{
	int fd;

	start(two);
	fd = caller_connect(callers_port(node->callers));
	send_request(fd, "p1", "kn1");
	send_request(fd, "p2", "none");
	send_request(fd, "p3", "ks");
	send_request(fd, "p4", "kn2");
	expect_answer(fd, 200);
	expect_answer(fd, 401);
	expect_answer(fd, 200);
	expect_answer(fd, 200);
	ck_assert(fake_upstream_received_by(upstream, "p1", NAMED("north")));
	ck_assert_int_eq(fake_upstream_runs(upstream, "p2"), 0);
	ck_assert(fake_upstream_received_by(upstream, "p3", NAMED("south")));
	ck_assert(fake_upstream_received_by(upstream, "p4", NAMED("north")));
	close(fd);
	stop();
}
END_TEST

START_TEST(key_taken_away_is_refused_on_open_connections)
{
	int fd;

	start(two);
	fd = caller_connect(callers_port(node->callers));
	send_request(fd, "b", "kn2");
	expect_answer(fd, 200);
	publish(BUNDLE(",\"customers\":[{\"name\":\"north\","
		       "\"keys\":[\"kn1\"]}]"));
	send_request(fd, "a", "kn2");
	expect_answer(fd, 401);
	send_request(fd, "c", "kn1");
	expect_answer(fd, 200);
	ck_assert_int_eq(fake_upstream_runs(upstream, "a"), 0);
	close(fd);
	stop();
}
END_TEST

static int
n_running(void *arg)
{
	(void)arg;
	return upstream->running;
}

/* The entry decides by one version; a guard that has the next one doesn't look
 * the key up again. */
START_TEST(request_in_flight_is_served_though_its_key_is_taken_away)
{
	int fd;

	start(two);
	fd = caller_connect(callers_port(node->callers));
	ck_assert(caller_send(fd, "GET", "/look/x?ms=400",
	    "X-Test-Id: f\r\n" KEY("kn2"), NULL, 0));
	ck_assert(test_wait_int(n_running, NULL, 1));
	publish(moved);
	expect_answer(fd, 200);
	ck_assert(fake_upstream_received_by(upstream, "f", NAMED("north")));
	close(fd);
	stop();
}
END_TEST

/* A bundle whose only customer has the keys from @first on. */
static void
publish_keys_from(uint32_t first)
{
	GString *keys = g_string_new(NULL);
	char *json;
	uint32_t i;

	for (i = first; i < SERIES; i++)
		g_string_append_printf(
		    keys, "%s\"k%u\"", i > first ? "," : "", i);
	json = g_strdup_printf(
	    BUNDLE(",\"customers\":[{\"name\":\"north\",\"keys\":[%s]}]"),
	    keys->str);
	publish(json);
	g_free(json);
	g_string_free(keys, TRUE);
}

/* Load: one key less in each version, each as soon as the one before is in
 * force, on one connection that stays open. */
START_TEST(keys_taken_away_in_series_are_refused_at_once)
{
	uint32_t gone, i;
	char key[8];
	int fd;

	start(two);
	fd = caller_connect(callers_port(node->callers));
	for (gone = 0; gone <= SERIES; gone++) {
		publish_keys_from(gone);
		for (i = 0; i < SERIES; i++) {
			(void)snprintf(key, sizeof(key), "k%u", i);
			send_request(fd, "s", key);
			expect_answer(fd, i < gone ? 401 : 200);
		}
	}
	close(fd);
	stop();
}
END_TEST

START_TEST(moved_key_names_its_new_customer)
{
	start(two);
	expect("/look/x", KEY("kn2"), 200);
	ck_assert(fake_upstream_received(upstream, NAMED("north")));
	publish(moved);
	expect("/look/x", KEY("kn2"), 200);
	ck_assert(fake_upstream_received(upstream, NAMED("south")));
	expect("/look/x", KEY("kn1"), 200);
	ck_assert(fake_upstream_received(upstream, NAMED("north")));
	stop();
}
END_TEST

/* The newer version may hold the key. */
START_TEST(unknown_key_gets_retry_while_newer_version_is_known)
{
	start(two);
	entry_version_known(node->entry, NEWER);
	test_node_wait(node);
	expect("/look/x", KEY("new"), 503);
	expect("/look/x", NULL, 503);
	expect("/look/x", KEY("kn1"), 200);
	expect("/open/x", NULL, 200);
	stop();
}
END_TEST

static const struct {
	uint8_t type;
	enum link_fault fault;
} cuts[] = {
    {MSG_CALL_OPEN, LINK_CUT_BEFORE},
    {MSG_CALL_OPEN, LINK_CUT_AFTER},
    {MSG_CALL_HEAD, LINK_CUT_BEFORE},
    {MSG_CALL_HEAD, LINK_BLACKHOLE_BEFORE},
};

/* A further attempt after a connection between the nodes was lost. */
START_TEST(further_attempt_keeps_name)
{
	struct fake_endpoint ep = {.host = "h1"};
	struct fake_link *cut;

	start(two);
	cut = fake_link_start(guard_addr(node->guard).port);
	ep.port = fake_link_port(cut);
	test_snapshot_of(two, &ep, 1);
	entry_snapshot_changed(node->entry);
	test_node_wait(node);
	fake_link_arm(cut, cuts[_i].type, cuts[_i].fault);
	expect("/look/x?ms=20", KEY("kn1") "Bramley-Customer: south\r\n", 200);
	ck_assert(fake_link_hit(cut));
	ck_assert(fake_upstream_received(upstream, NAMED("north")));
	ck_assert(!fake_upstream_received(upstream, "south"));
	fake_link_stop(cut);
	stop();
}
END_TEST

START_TEST(long_key_is_an_unknown_key)
{
	char *key = g_strnfill(LONG_KEY_BYTES, 'k');
	char *headers = g_strdup_printf("Bramley-Customer-Key: %s\r\n", key);

	start(two);
	expect("/look/x", headers, 401);
	expect("/open/x", headers, 200);
	ck_assert(!fake_upstream_received(upstream, "kkkk"));
	stop();
	g_free(headers);
	g_free(key);
}
END_TEST

static void
set_confirm(struct settings *s)
{
	s->revoke_confirm_ms = CONFIRM_MS;
}

static void
start_confirmed(void)
{
	struct fake_endpoint ep = {.host = "h1"};

	upstream = fake_upstream_start();
	node = test_node_start("h1", set_confirm);
	test_node_upstream(node, upstream->port, SERVING_READY);
	ep.port = guard_addr(node->guard).port;
	test_snapshot_of(two, &ep, 1);
}

START_TEST(unconfirmed_version_serves_no_key)
{
	start_confirmed();
	expect("/look/x", KEY("kn1"), 503);
	expect("/look/x", KEY("other"), 401);
	expect("/open/x", NULL, 200);
	entry_set_confirmed(node->entry, clock_now_ms());
	expect("/look/x", KEY("kn1"), 200);
	entry_set_confirmed(node->entry, clock_now_ms() - CONFIRM_MS);
	expect("/look/x", KEY("kn1"), 503);
	expect("/open/x", KEY("kn1"), 200);
	ck_assert_int_eq(upstream->answered, 3);
	stop();
}
END_TEST

START_TEST(confirmation_does_not_matter_without_customers)
{
	start_confirmed();
	publish(no_table);
	expect("/look/x", NULL, 200);
	stop();
}
END_TEST

static void
set_short_windows(struct settings *s)
{
	s->fate_window_ms = WINDOW_MS;
	s->suspicion_ms = SUSPICION_MS;
}

/* A host whose guard runs keyed requests already. */
static void
start_keyed(const char *json)
{
	struct fake_endpoint ep = {.host = "h1"};

	upstream = fake_upstream_start();
	node = test_node_start("h1", set_short_windows);
	ep.port = guard_addr(node->guard).port;
	test_snapshot_of(json, &ep, 1);
	test_node_upstream(node, upstream->port, SERVING_READY);
	test_node_wait(node);
	g_usleep((WINDOW_MS + 3 * SUSPICION_MS) * 1000);
}

static void
book(const char *customer_key, int status)
{
	char headers[128];
	struct reply r;

	(void)snprintf(headers, sizeof(headers),
	    "Idempotency-Key: 1\r\nBramley-Customer-Key: %s\r\n", customer_key);
	ck_assert(caller_call(callers_port(node->callers), "POST",
	    "/book/x?bytes=10", headers, "seat", 4, &r));
	ck_assert_int_eq(r.status, status);
	reply_clear(&r);
}

/* A customer must not get the answer of another one's request. */
START_TEST(idempotency_keys_of_customers_are_apart)
{
	start_keyed(two);
	book("kn1", 200);
	book("kn2", 200);
	ck_assert_int_eq(upstream->answered, 1);
	book("ks", 200);
	ck_assert_int_eq(upstream->answered, 2);
	ck_assert(fake_upstream_received(upstream, NAMED("south")));
	stop();
}
END_TEST

/* Such a request must not run without its name. */
START_TEST(name_that_does_not_fit_is_reported)
{
	struct customer customer = {.name = "north"};
	struct entry e = {.dialect = &call_dialect_own};
	struct call_request r = {0};
	uint32_t i;

	call_headers_init(&r.headers);
	ck_assert(entry_customer_name(&e, NULL, &r));
	for (i = 1; i < MSG_CALL_OPEN_HEADERS_MAX; i++)
		ck_assert(call_headers_add(&r.headers, "a", 1, "", 0));
	ck_assert(entry_customer_name(&e, &customer, &r));
	ck_assert(!entry_customer_name(&e, &customer, &r));
	call_headers_clear(&r.headers);
}
END_TEST

/* Text that the process writes to its log during @run. */
static char *
log_of(void (*run)(void))
{
	FILE *f = tmpfile();
	int fd = dup(STDERR_FILENO);
	char *text = NULL;
	long len;

	ck_assert_ptr_nonnull(f);
	ck_assert_int_ge(dup2(fileno(f), STDERR_FILENO), 0);
	run();
	ck_assert_int_ge(dup2(fd, STDERR_FILENO), 0);
	close(fd);
	len = lseek(fileno(f), 0, SEEK_END);
	text = g_malloc0((gsize)len + 1);
	ck_assert(pread(fileno(f), text, (size_t)len, 0) == len);
	(void)fclose(f);
	return text;
}

static uint32_t
count(const char *text, const char *part)
{
	uint32_t n = 0;

	for (text = strstr(text, part); text != NULL;
	     text = strstr(text + 1, part))
		n++;
	return n;
}

static uint64_t flood_ms;

static void
flood_with_wrong_keys(void)
{
	uint64_t began_ms = clock_now_ms();
	char key[32];
	int fd, i;

	fd = caller_connect(callers_port(node->callers));
	for (i = 0; i < WRONG_KEYS; i++) {
		(void)snprintf(key, sizeof(key), "top-secret-%d", i);
		send_request(fd, "w", key);
		expect_answer(fd, 401);
	}
	flood_ms = clock_now_ms() - began_ms;
	send_request(fd, "v", "kn1");
	expect_answer(fd, 200);
	close(fd);
	test_node_wait(node);
}

/* Load: one connection sends wrong keys as fast as they are answered. */
START_TEST(wrong_keys_do_not_fill_the_log)
{
	uint64_t before;
	char *text;

	start(two);
	before = refused(KEY_UNKNOWN);
	text = log_of(flood_with_wrong_keys);
	ck_assert_uint_eq(refused(KEY_UNKNOWN), before + WRONG_KEYS);
	ck_assert_uint_gt(count(text, "key=unknown"), 0);
	ck_assert_uint_le(count(text, "key=unknown"),
	    LOG_LINES_PER_S * (2 + flood_ms / 1000));
	ck_assert_uint_eq(count(text, "secret"), 0);
	ck_assert_uint_eq(count(text, "kn1"), 0);
	ck_assert_uint_eq(count(text, "customer=north"), 1);
	g_free(text);
	stop();
}
END_TEST

static void
call_as_odd_customer(void)
{
	expect("/look/x", KEY("ko"), 200);
	test_node_wait(node);
}

START_TEST(name_in_log_cannot_look_like_another_field)
{
	char *text;

	start(BUNDLE(",\"customers\":[{\"name\":\"a refused=x 1%\","
		     "\"keys\":[\"ko\"]}]"));
	text = log_of(call_as_odd_customer);
	ck_assert_uint_eq(count(text, "customer=a%20refused%3Dx%201%25 "), 1);
	g_free(text);
	stop();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("call customers");
	TCase *tc = tcase_create("customers");

	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, upstream_gets_name_and_no_key);
	tcase_add_test(tc, request_without_valid_key_is_unauthorized);
	tcase_add_test(tc, keyless_route_needs_no_key);
	tcase_add_test(tc, bundle_without_customers_needs_no_key);
	tcase_add_test(tc, empty_table_rejects_each_key);
	tcase_add_test(tc, forged_name_is_replaced);
	tcase_add_test(tc, requests_of_one_connection_have_their_own_customers);
	tcase_add_test(tc, pipelined_requests_have_their_own_customers);
	tcase_add_test(tc, key_taken_away_is_refused_on_open_connections);
	tcase_add_test(
	    tc, request_in_flight_is_served_though_its_key_is_taken_away);
	tcase_add_test(tc, keys_taken_away_in_series_are_refused_at_once);
	tcase_add_test(tc, moved_key_names_its_new_customer);
	tcase_add_test(tc, unknown_key_gets_retry_while_newer_version_is_known);
	tcase_add_loop_test(
	    tc, further_attempt_keeps_name, 0, G_N_ELEMENTS(cuts));
	tcase_add_test(tc, long_key_is_an_unknown_key);
	tcase_add_test(tc, unconfirmed_version_serves_no_key);
	tcase_add_test(tc, confirmation_does_not_matter_without_customers);
	tcase_add_test(tc, idempotency_keys_of_customers_are_apart);
	tcase_add_test(tc, name_that_does_not_fit_is_reported);
	tcase_add_test(tc, wrong_keys_do_not_fill_the_log);
	tcase_add_test(tc, name_in_log_cannot_look_like_another_field);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
