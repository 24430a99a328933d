/*
 * Benchmark of the memory that a real process uses for calls: for each
 * connection of another node's entry, each call in flight at its upstream, each
 * fate kept and each waiting caller; and of its processor time when idle.
 *
 *	bench_guard connections | in_flight | fates | callers | polls
 *
 * polls: processor time of a reader's platform polls, at poll rates above the
 * default.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <glib.h>

#include "base/clock.h"
#include "bundle_text.h"
#include "entries.h"
#include "holder.h"
#include "standins/platform.h"
#include "subject.h"

#define PLATFORM_INDEX 100
#define PLATFORM_THREADS 4
#define SLOTS 2000
#define UPSTREAMS 4
#define POLL_MS 10
#define SETTLE_MS 1500
#define WAIT_TIMEOUT_MS 60000
#define IDLE_MS 10000
#define KB 1000.0
#define FATES_PER_BATCH 100
#define CODE_OK 200

static const char settings[] =
    "{\"announce_lease_ms\":600000,\"log_level\":\"warning\","
    "\"head_poll_ms\":%u}";

/**
 * struct bench - one run
 * @loop: event loop of the entries and upstreams
 * @platform: stand-in for the platform
 * @upstreams: upstreams behind the process's guard, one for each service
 * @entries: entries of other nodes
 * @subject: the process
 * @baseline: usage of the process before the load
 */
struct bench {
	struct loop *loop;
	struct platform *platform;
	struct holder *upstreams[UPSTREAMS];
	struct entries *entries;
	struct subject subject;
	struct usage baseline;
};

static const char *bench_name;
static uint32_t poll_ms = 1000;

static void
run_loop(const struct bench *b, uint64_t ms)
{
	uint64_t until_ms = clock_now_ms() + ms;

	while (clock_now_ms() < until_ms)
		loop_run_once(b->loop, MIN(until_ms, clock_now_ms() + POLL_MS));
}

/* Runs the loop until a count has reached @n. */
static void
run_until(
    const struct bench *b, uint64_t (*count)(const struct bench *), uint64_t n)
{
	uint64_t until_ms = clock_now_ms() + WAIT_TIMEOUT_MS;

	while (count(b) < n && clock_now_ms() < until_ms)
		run_loop(b, POLL_MS);
	if (count(b) < n)
		g_error("Timeout: only %" PRIu64 " of %" PRIu64 " are counted.",
		    count(b), n);
	run_loop(b, SETTLE_MS);
}

static uint64_t
count_greeted(const struct bench *b)
{
	return entries_counts(b->entries)->n_connected;
}

static uint64_t
count_held(const struct bench *b)
{
	uint64_t held = 0;
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++)
		held += holder_held(b->upstreams[i]);
	return held;
}

static uint64_t
count_ended(const struct bench *b)
{
	return entries_counts(b->entries)->done +
	    entries_counts(b->entries)->refused;
}

static void
sign_off(const struct bench *b)
{
	struct bundle_text t = {.services = UPSTREAMS,
	    .routes = 1,
	    .timeout_ms = 60000,
	    .slots = SLOTS};
	GString *json = bundle_text_write(&t);
	int code = 0, i;

	for (i = 0; i < 100 && code / 100 != 2; i++) {
		json_decref(subject_api(&b->subject, "POST",
		    "/v1/versions?operator=bench&op=bench-1", json->str,
		    &code));
		if (code / 100 != 2)
			g_usleep(100000);
	}
	if (code / 100 != 2)
		g_error("The sign-off failed with status %d.", code);
	g_string_free(json, TRUE);
}

static void
start_upstreams(struct bench *b)
{
	char service[BUNDLE_TEXT_SERVICE_BYTES];
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		b->upstreams[i] = holder_new(b->loop, subject_address(0));
		bundle_text_service(i, service);
		subject_announce(
		    &b->subject, service, holder_port(b->upstreams[i]), SLOTS);
	}
}

/* Sends a call from an entry, to the services in turn. */
static void
send_call(const struct bench *b, uint32_t n, int booking)
{
	char service[BUNDLE_TEXT_SERVICE_BYTES];

	bundle_text_service(n % UPSTREAMS, service);
	entries_call(b->entries, service, booking);
}

static void
set_hold(const struct bench *b, int on)
{
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		holder_hold(b->upstreams[i], on);
		if (!on)
			holder_release(b->upstreams[i]);
	}
}

static void
start(struct bench *b)
{
	struct subject_config config = {
	    .host = "subject", .data_centre = "centre-00"};
	char address[HARNESS_ADDRESS_BYTES];
	struct net_addr guard;
	uint16_t port;

	(void)addr_format_ip(subject_address(PLATFORM_INDEX), address);
	harness_choose_ports(address, &port, 1);
	if (platform_start(address, port, PLATFORM_THREADS, &b->platform) !=
	    STATUS_OK)
		g_error("%s", status_message());
	config.platform =
	    (struct net_addr){subject_address(PLATFORM_INDEX), port};
	config.settings = g_strdup_printf(settings, poll_ms);
	subject_start(&b->subject, &config);
	sign_off(b);
	while (!subject_ready(&b->subject))
		g_usleep(POLL_MS * 1000);
	b->loop = loop_new();
	start_upstreams(b);
	guard = (struct net_addr){subject_address(0), b->subject.call_port};
	b->entries = entries_new(b->loop, guard);
	run_loop(b, SETTLE_MS);
	subject_usage(&b->subject, &b->baseline);
	g_free((gpointer)config.settings);
}

static void
stop(struct bench *b)
{
	uint32_t i;

	entries_free(b->entries);
	subject_stop(&b->subject);
	for (i = 0; i < UPSTREAMS; i++)
		holder_free(b->upstreams[i]);
	loop_free(b->loop);
	platform_stop(b->platform);
}

/* Prints the memory of the process, and its growth per item. */
static void
report(const struct bench *b, const char *name, uint32_t n)
{
	double each = 0;
	struct usage u;

	subject_usage(&b->subject, &u);
	if (n > 0)
		each = ((double)u.anonymous_kb -
			   (double)b->baseline.anonymous_kb) /
		    n;
	printf("%6u %-22s rss %6.1f anonymous %6.1f MB, %6.2f KB each, %u "
	       "threads, "
	       "%u descriptors\n",
	    n, name, (double)u.rss_kb / KB, (double)u.anonymous_kb / KB, each,
	    u.threads, u.fds);
}

/* Prints the processor time of the idle process. */
static void
report_idle(const struct bench *b, uint32_t n)
{
	struct usage from, to;

	subject_usage(&b->subject, &from);
	run_loop(b, IDLE_MS);
	subject_usage(&b->subject, &to);
	printf("%6u connections, idle: %.0f us of processor time per second\n",
	    n, (double)(to.cpu_us - from.cpu_us) * KB / IDLE_MS);
}

static void
bench_connections(struct bench *b)
{
	static const uint32_t sizes[] = {0, 10, 100, 500, 1000};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		entries_connect(b->entries, sizes[i]);
		run_until(b, count_greeted, sizes[i]);
		report(b, "connections of entries", sizes[i]);
		report_idle(b, sizes[i]);
	}
}

static void
bench_in_flight(struct bench *b)
{
	static const uint32_t sizes[] = {0, 10, 100, 500, 1000};
	uint32_t i, n = 0;

	entries_connect(b->entries, 20);
	run_until(b, count_greeted, 20);
	subject_usage(&b->subject, &b->baseline);
	set_hold(b, 1);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (; n < sizes[i]; n++)
			send_call(b, n, 0);
		run_until(b, count_held, n);
		report(b, "calls in flight", n);
	}
	set_hold(b, 0);
	run_until(b, count_ended, n);
	report(b, "after the responses", n);
}

/* Bookings, whose fates are kept for the window. */
static void
bench_fates(struct bench *b)
{
	static const uint32_t sizes[] = {0, 2000, 5000, 10000, 17000};
	uint32_t i, k, n = 0;

	entries_connect(b->entries, 20);
	run_until(b, count_greeted, 20);
	subject_usage(&b->subject, &b->baseline);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		while (n < sizes[i]) {
			for (k = 0; k < FATES_PER_BATCH; k++)
				send_call(b, k, 1);
			n += FATES_PER_BATCH;
			while (count_ended(b) < n)
				run_loop(b, 1);
		}
		run_loop(b, SETTLE_MS);
		report(b, "fates kept", n);
	}
	printf("  done %" PRIu64 ", refused %" PRIu64 "\n",
	    entries_counts(b->entries)->done,
	    entries_counts(b->entries)->refused);
}

static int
send_caller_request(const struct bench *b)
{
	static const char request[] =
	    "GET /service-0000/part-0 HTTP/1.1\r\nHost: bench\r\n\r\n";
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_port = htons(b->subject.caller_port);
	sin.sin_addr.s_addr = htonl(subject_address(0));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) < 0)
		g_error("A caller can't connect to the node.");
	return fd;
}

/* Waiting callers, each of which occupies a thread of the process. */
static void
bench_callers(struct bench *b)
{
	static const uint32_t sizes[] = {0, 10, 50, 100, 200};
	int fds[200];
	uint32_t i, n = 0;

	set_hold(b, 1);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (; n < sizes[i]; n++)
			fds[n] = send_caller_request(b);
		run_until(b, count_held, n);
		report(b, "waiting callers", n);
	}
	set_hold(b, 0);
	run_loop(b, SETTLE_MS);
	while (n > 0)
		(void)close(fds[--n]);
}

static void
bench_polls(struct bench *b)
{
	struct usage from, to;

	subject_usage(&b->subject, &from);
	run_loop(b, IDLE_MS);
	subject_usage(&b->subject, &to);
	printf("one poll every %u ms: %.0f us of processor time per second\n",
	    poll_ms, (double)(to.cpu_us - from.cpu_us) * KB / IDLE_MS);
}

static void
bench_run(void)
{
	static const struct {
		const char *name;
		void (*fn)(struct bench *b);
	} benches[] = {
	    {"connections", bench_connections},
	    {"in_flight", bench_in_flight},
	    {"fates", bench_fates},
	    {"callers", bench_callers},
	    {"polls", bench_polls},
	};
	struct bench b = {0};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(benches); i++) {
		if (strcmp(benches[i].name, bench_name) != 0)
			continue;
		printf("%s, load %.1f\n", bench_name, usage_load());
		start(&b);
		benches[i].fn(&b);
		stop(&b);
	}
}

int
main(int argc, char **argv)
{
	if (argc < 2) {
		printf("usage: bench_guard connections|in_flight|fates|"
		       "callers|polls [ms between polls]\n");
		return EXIT_FAILURE;
	}
	bench_name = argv[1];
	if (argc > 2)
		poll_ms = (uint32_t)strtoul(argv[2], NULL, 10);
	return subject_run(bench_run);
}
