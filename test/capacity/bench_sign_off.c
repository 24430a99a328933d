/*
 * Benchmark of the administration role: cost of a sign-off for the node that
 * executes it and for the platform, for three bundle sizes.
 *
 * One real process, and a stand-in for the platform in this one.  The first
 * sign-off writes all sections, each later one a single section.
 *
 *	bench_sign_off [changes [fresh]]
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"
#include "bundle_text.h"
#include "fetch.h"
#include "standins/platform.h"
#include "subject.h"

#define PLATFORM_INDEX 101
#define PLATFORM_THREADS 8
#define ROUTES 5
#define START_TRIES 200
#define PAUSE_US 50000
#define PATH_BYTES 128
#define URL_BYTES 128
#define KB 1000.0
#define US_PER_MS 1000.0
#define CREATED 201
#define TIMEOUT_MS 60000

/**
 * struct bench - one bundle size
 * @platform: stand-in for the platform
 * @platform_addr: address of the platform
 * @subject: the process
 * @services: number of services in the bundle
 * @n_operations: number of operations, used as the id of the next
 */
struct bench {
	struct platform *platform;
	struct net_addr platform_addr;
	struct subject subject;
	uint32_t services;
	uint32_t n_operations;
};

static uint32_t changes = 10;
static const char *query_suffix = "";

/* Requests counted by the platform. */
struct platform_requests {
	json_int_t reads;
	json_int_t writes;
	json_int_t rejected;
};

static struct platform_requests
read_platform_requests(const struct bench *b)
{
	char address[ADDR_TEXT_BYTES], url[URL_BYTES];
	struct platform_requests a;
	json_t *j;

	(void)g_snprintf(url, sizeof(url), "http://%s/standin/stats",
	    addr_format(&b->platform_addr, address));
	j = fetch_json("GET", url, NULL, NULL);
	a.reads = json_integer_value(json_object_get(j, "reads"));
	a.writes = json_integer_value(json_object_get(j, "writes"));
	a.rejected = json_integer_value(json_object_get(j, "rejected"));
	json_decref(j);
	return a;
}

static int
sign_off(struct bench *b, uint32_t timeout_ms)
{
	struct bundle_text t = {.services = b->services,
	    .routes = ROUTES,
	    .odd = b->n_operations % b->services,
	    .timeout_ms = timeout_ms};
	char url[PATH_BYTES];
	struct fetch f = {.method = "POST", .url = url};
	struct fetch_answer a;
	GString *json = bundle_text_write(&t);
	int code;

	(void)g_snprintf(url, sizeof(url),
	    "http://%s:%u/v1/versions?operator=bench&op=bench-%u%s",
	    b->subject.address, b->subject.admin_port, ++b->n_operations,
	    query_suffix);
	f.body = json->str;
	f.body_len = json->len;
	f.timeout_ms = TIMEOUT_MS;
	fetch_perform(&f, &a);
	code = a.code;
	fetch_answer_clear(&a);
	g_string_free(json, TRUE);
	return code;
}

/* Signs off @n versions and prints the mean cost of each. */
static void
measure(struct bench *b, const char *what, uint32_t n)
{
	uint64_t start_us = clock_now_us();
	struct platform_requests from = read_platform_requests(b), to;
	struct usage before, after;
	uint32_t i, done = 0;
	double ms;

	subject_usage(&b->subject, &before);
	for (i = 0; i < n; i++)
		done += sign_off(b, 1000 + b->n_operations) == CREATED;
	ms = (double)(clock_now_us() - start_us) / US_PER_MS;
	subject_usage(&b->subject, &after);
	to = read_platform_requests(b);
	printf("%5u services, %s: %u of %u done; each %.1f ms, %.1f ms of "
	       "processor time, %.1f reads, %.1f writes, %" JSON_INTEGER_FORMAT
	       " rejected; rss %.1f anonymous %.1f MB\n",
	    b->services, what, done, n, ms / n,
	    (double)(after.cpu_us - before.cpu_us) / US_PER_MS / n,
	    (double)(to.reads - from.reads) / n,
	    (double)(to.writes - from.writes) / n, to.rejected - from.rejected,
	    (double)after.rss_kb / KB, (double)after.anonymous_kb / KB);
}

static void
start(struct bench *b, uint32_t services)
{
	struct subject_config config = {.host = "subject",
	    .data_centre = "centre-00",
	    .settings = "{\"log_level\":\"warning\"}"};
	char address[HARNESS_ADDRESS_BYTES];
	int code = 0, i;

	b->services = services;
	b->n_operations = 0;
	b->platform_addr.ip = subject_address(PLATFORM_INDEX);
	(void)addr_format_ip(b->platform_addr.ip, address);
	harness_choose_ports(address, &b->platform_addr.port, 1);
	if (platform_start(address, b->platform_addr.port, PLATFORM_THREADS,
		&b->platform) != STATUS_OK)
		g_error("%s", status_message());
	config.platform = b->platform_addr;
	subject_start(&b->subject, &config);
	for (i = 0; code == 0 && i < START_TRIES; i++) {
		g_usleep(PAUSE_US);
		json_decref(
		    subject_api(&b->subject, "GET", "/v1/status", NULL, &code));
	}
}

static void
bench_run(void)
{
	static const uint32_t sizes[] = {100, 400, 1200};
	struct bench b;
	uint32_t i;

	printf("load %.1f\n", usage_load());
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		start(&b, sizes[i]);
		measure(&b, "first", 1);
		g_usleep(1000000);
		measure(&b, "one changed", changes);
		subject_stop(&b.subject);
		platform_stop(b.platform);
	}
}

int
main(int argc, char **argv)
{
	if (argc > 1)
		changes = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		query_suffix = "&fresh=1";
	return subject_run(bench_run);
}
