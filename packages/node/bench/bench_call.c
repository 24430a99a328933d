/*
 * Benchmark of the call path: the latency that two nodes add to a call,
 * compared with direct calls to the same upstream in the same run, and the
 * processor time per call.
 *
 * Three processes: callers and upstream in this one, the entry's node and the
 * guard's node in one each.  Usage: bench_call [seconds [rate [customers]]];
 * with a rate of 0 only the maximum rate is measured; with customers, each call
 * has the key of one.
 */
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"

#include "fixture.h"

#define THREADS 16
#define MAX_THREADS 48
#define ROUNDS 5
#define US_PER_S 1000000
#define SAMPLES_MAX 4000000
#define UPLOAD_BYTES (1U << 30)
#define PEAK_FIELD "VmHWM:"

/**
 * struct child - a node in a child process
 * @pid: process id
 * @request_fd: pipe to the child
 * @reply_fd: pipe from the child
 */
struct child {
	pid_t pid;
	int request_fd;
	int reply_fd;
};

/**
 * struct load - one phase of load
 * @port: port that is called
 * @method: method of the calls
 * @path: their path
 * @headers: their headers, or NULL
 * @body: their body, or NULL
 * @rate: calls per second; 0 for the maximum
 * @until_us: monotonic end time
 * @began_us: monotonic start time
 * @next: number of the next call
 * @threads: number of callers
 * @samples_us: latency of each call
 * @n_samples: number of calls
 * @failed: calls that failed
 */
struct load {
	uint16_t port;
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	uint64_t rate;
	uint64_t until_us;
	uint64_t began_us;
	_Atomic uint64_t next;
	int threads;
	uint32_t *samples_us;
	_Atomic uint64_t n_samples;
	_Atomic uint64_t failed;
};

static bool
make_call(const struct load *l, int *fd)
{
	size_t len = l->body != NULL ? strlen(l->body) : 0;
	struct reply r = {0};
	bool ok;

	if (*fd < 0)
		*fd = caller_connect(l->port);
	if (*fd < 0)
		return false;
	ok = caller_send(*fd, l->method, l->path, l->headers, l->body, len) &&
	    caller_read(*fd, &r) && r.status == 200 && r.whole;
	if (!ok || r.closes) {
		close(*fd);
		*fd = -1;
	}
	reply_clear(&r);
	return ok;
}

/* Latency counts from the time a call was due, so that queueing at the caller
 * is included. */
static void *
caller_main(void *arg)
{
	struct load *l = arg;
	uint64_t due_us, now_us, i;
	int fd = -1;

	for (;;) {
		now_us = clock_now_us();
		due_us = now_us;
		if (l->rate > 0) {
			due_us = l->began_us +
			    atomic_fetch_add(&l->next, 1) * US_PER_S / l->rate;
			if (due_us > now_us)
				g_usleep(due_us - now_us);
		}
		if (due_us >= l->until_us)
			break;
		if (!make_call(l, &fd)) {
			l->failed++;
			continue;
		}
		i = atomic_fetch_add(&l->n_samples, 1);
		if (i < SAMPLES_MAX)
			l->samples_us[i] = (uint32_t)(clock_now_us() - due_us);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static void
run_load(struct load *l, uint64_t for_us)
{
	pthread_t threads[MAX_THREADS];
	int i;

	l->next = 0;
	l->began_us = clock_now_us();
	l->until_us = l->began_us + for_us;
	for (i = 0; i < l->threads; i++)
		if (pthread_create(&threads[i], NULL, caller_main, l) != 0)
			abort();
	for (i = 0; i < l->threads; i++)
		(void)pthread_join(threads[i], NULL);
}

static int
compare_samples(const void *a, const void *b)
{
	const uint32_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static uint32_t
quantile(const struct load *l, double q)
{
	uint64_t n = MIN(l->n_samples, SAMPLES_MAX);

	return n == 0 ? 0 : l->samples_us[(uint64_t)(q * (double)(n - 1))];
}

static void
sort(struct load *l)
{
	qsort(l->samples_us, MIN(l->n_samples, SAMPLES_MAX),
	    sizeof(l->samples_us[0]), compare_samples);
}

/* Children */

static uint32_t n_customers;

/* The fixture's routes with a table of customers. */
static char *
bundle_with_customers(void)
{
	GString *s = g_string_new(
	    "{\"format\":1,\"name\":\"test\",\"services\":[{\"name\":"
	    "\"search\",\"timeout_ms\":3000,\"limits\":{"
	    "\"slots_per_endpoint\":64,\"queue_per_endpoint\":64,"
	    "\"queue_wait_ms\":1000,\"request_max_bytes\":2147483648}}],"
	    "\"routes\":[{\"prefix\":\"/look\",\"methods\":[\"GET\"],"
	    "\"service\":\"search\",\"idempotent\":true},{\"prefix\":"
	    "\"/book\",\"methods\":[\"POST\"],\"service\":\"search\"},"
	    "{\"prefix\":\"/up\",\"methods\":[\"PUT\"],\"service\":"
	    "\"search\",\"keyless\":true}],\"customers\":[");
	uint32_t i;

	for (i = 0; i < n_customers; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"customer-%u\",\"keys\":[\"key-%u\"]}",
		    i > 0 ? "," : "", i, i);
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}

static void
publish(const struct fake_endpoint *ep)
{
	char *json;

	if (n_customers == 0) {
		test_snapshot(ep, 1);
		return;
	}
	json = bundle_with_customers();
	test_snapshot_of(json, ep, 1);
	g_free(json);
}

static uint64_t
cpu_us(void)
{
	struct rusage u;

	(void)getrusage(RUSAGE_SELF, &u);
	return (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * US_PER_S +
	    (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static void
set_keep_alive(struct settings *s)
{
	s->keep_alive_ms = 15000;
}

/* Answers each byte on the pipe with the process's processor time, until the
 * pipe is closed. */
static void
child_main(uint16_t upstream, uint16_t guard, int request_fd, int reply_fd)
{
	struct fake_endpoint ep = {.host = "h2", .port = guard};
	struct test_node *n;
	uint64_t us;
	uint16_t port;
	char c;

	log_start(LOG_LEVEL_WARNING, "bench");
	n = test_node_start(upstream != 0 ? "h2" : "h1", set_keep_alive);
	if (upstream != 0)
		test_node_upstream(n, upstream, SERVING_READY);
	else
		publish(&ep);
	port = upstream != 0 ? guard_addr(n->guard).port
			     : callers_port(n->callers);
	if (write(reply_fd, &port, sizeof(port)) != sizeof(port))
		_exit(1);
	while (read(request_fd, &c, 1) == 1) {
		us = cpu_us();
		if (write(reply_fd, &us, sizeof(us)) != sizeof(us))
			break;
	}
	_exit(0);
}

static uint16_t
child_start(struct child *c, uint16_t upstream, uint16_t guard)
{
	int request_pipe[2], reply_pipe[2];
	uint16_t port;

	if (pipe(request_pipe) != 0 || pipe(reply_pipe) != 0)
		abort();
	c->pid = fork();
	if (c->pid == 0) {
		close(request_pipe[1]);
		close(reply_pipe[0]);
		child_main(upstream, guard, request_pipe[0], reply_pipe[1]);
	}
	close(request_pipe[0]);
	close(reply_pipe[1]);
	c->request_fd = request_pipe[1];
	c->reply_fd = reply_pipe[0];
	if (read(c->reply_fd, &port, sizeof(port)) != sizeof(port))
		abort();
	return port;
}

static uint64_t
child_cpu_us(const struct child *c)
{
	uint64_t us = 0;

	if (write(c->request_fd, "?", 1) != 1 ||
	    read(c->reply_fd, &us, sizeof(us)) != sizeof(us))
		abort();
	return us;
}

static void
child_stop(const struct child *c)
{
	close(c->request_fd);
	(void)waitpid(c->pid, NULL, 0);
	close(c->reply_fd);
}

/* Reports */

static void
report(const char *label, const struct load *l)
{
	printf("%-28s %9" PRIu64 " calls %5" PRIu64
	       " failed  p50 %6u  p99 %6u  p99.9 %6u us\n",
	    label, l->n_samples, l->failed, quantile(l, 0.5), quantile(l, 0.99),
	    quantile(l, 0.999));
}

static void
compare_latency(const char *label, struct load *direct, struct load *through,
    uint64_t seconds)
{
	int i;

	direct->n_samples = through->n_samples = 0;
	direct->failed = through->failed = 0;
	for (i = 0; i < ROUNDS; i++) {
		run_load(direct, seconds * US_PER_S / ROUNDS);
		run_load(through, seconds * US_PER_S / ROUNDS);
	}
	sort(direct);
	sort(through);
	printf("%s\n", label);
	report("  direct", direct);
	report("  through two nodes", through);
	printf("  added: p50 %d us, p99 %d us\n",
	    (int)quantile(through, 0.5) - (int)quantile(direct, 0.5),
	    (int)quantile(through, 0.99) - (int)quantile(direct, 0.99));
}

static void
run_max_rate(const char *label, struct load *l, const struct child *entry,
    const struct child *guard, uint64_t seconds)
{
	uint64_t entry_us = child_cpu_us(entry);
	uint64_t guard_us = child_cpu_us(guard);
	uint64_t calls;

	l->n_samples = 0;
	l->failed = 0;
	l->rate = 0;
	l->threads = MAX_THREADS;
	run_load(l, seconds * US_PER_S);
	calls = MAX(l->n_samples, 1);
	sort(l);
	printf("%s: %" PRIu64 " calls/s; processor time per call: entry's "
	       "node %" PRIu64 " us, guard's node %" PRIu64 " us\n",
	    label, calls / seconds, (child_cpu_us(entry) - entry_us) / calls,
	    (child_cpu_us(guard) - guard_us) / calls);
	report("  through two nodes", l);
}

/* Peak resident memory of a child. */
static long
child_peak_kb(const struct child *c)
{
	char path[64], line[128];
	long kb = -1;
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/status", (int)c->pid);
	f = fopen(path, "r");
	if (f == NULL)
		return -1;
	while (fgets(line, sizeof(line), f) != NULL)
		if (g_str_has_prefix(line, PEAK_FIELD))
			kb = strtol(line + strlen(PEAK_FIELD), NULL, 10);
	(void)fclose(f);
	return kb;
}

/**
 * struct upload - a large upload
 * @port: port that is called
 * @took_us: duration
 * @complete: the upload arrived complete
 * @ended: the upload has ended
 */
struct upload {
	uint16_t port;
	uint64_t took_us;
	_Atomic bool complete;
	_Atomic bool ended;
};

static void *
upload_main(void *arg)
{
	struct upload *u = arg;
	uint8_t *body = g_malloc0(UPLOAD_BYTES);
	uint64_t began_us = clock_now_us();
	struct reply r;

	u->complete =
	    caller_call(u->port, "PUT", "/up/x?do=sum",
		"Bramley-Deadline-Ms: 60000\r\n", body, UPLOAD_BYTES, &r) &&
	    r.status == 200;
	u->took_us = clock_now_us() - began_us;
	reply_clear(&r);
	g_free(body);
	u->ended = true;
	return NULL;
}

/* Lookups during a large upload through the same nodes. */
static void
run_beside_upload(struct load *l, const struct child *entry,
    const struct child *guard, uint64_t rate)
{
	struct upload u = {.port = l->port};
	long before_kb[2] = {child_peak_kb(entry), child_peak_kb(guard)};
	pthread_t thread;

	l->n_samples = 0;
	l->failed = 0;
	l->rate = rate;
	l->threads = THREADS;
	if (pthread_create(&thread, NULL, upload_main, &u) != 0)
		abort();
	while (!u.ended)
		run_load(l, US_PER_S / ROUNDS);
	(void)pthread_join(thread, NULL);
	sort(l);
	printf("%u MB upload beside lookups at %" PRIu64 "/s: %s, %" PRIu64
	       " MB/s; highest memory before and after: entry's node %ld "
	       "and %ld KB, guard's node %ld and %ld KB\n",
	    UPLOAD_BYTES >> 20, rate, u.complete ? "whole" : "FAILED",
	    (uint64_t)UPLOAD_BYTES / MAX(u.took_us, 1), before_kb[0],
	    child_peak_kb(entry), before_kb[1], child_peak_kb(guard));
	report("  lookups meanwhile", l);
}

int
main(int argc, char **argv)
{
	uint64_t seconds = argc > 1 ? strtoul(argv[1], NULL, 10) : 20;
	uint64_t rate = argc > 2 ? strtoul(argv[2], NULL, 10) : 300;
	struct load direct = {.method = "GET",
	    .path = "/look/x?bytes=512",
	    .threads = THREADS,
	    .rate = rate};
	struct load through = direct;
	struct fake_upstream *upstream;
	struct child entry, guard;
	char label[64];

	n_customers = argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 0;
	if (n_customers > 0)
		direct.headers = through.headers =
		    "Bramley-Customer-Key: key-0\r\n";
	upstream = fake_upstream_start();
	through.port =
	    child_start(&entry, 0, child_start(&guard, upstream->port, 0));
	direct.port = upstream->port;
	direct.samples_us = g_new(uint32_t, SAMPLES_MAX);
	through.samples_us = g_new(uint32_t, SAMPLES_MAX);
	(void)snprintf(label, sizeof(label), "lookups at %" PRIu64 "/s", rate);
	if (rate > 0)
		compare_latency(label, &direct, &through, seconds);
	if (rate > 0)
		run_beside_upload(&through, &entry, &guard, rate);
	through.rate = rate;
	direct.method = through.method = "POST";
	direct.path = through.path = "/book/x?bytes=512";
	direct.body = through.body = "{\"seat\":7}";
	(void)snprintf(label, sizeof(label), "bookings at %" PRIu64 "/s", rate);
	if (rate > 0)
		compare_latency(label, &direct, &through, seconds);
	run_max_rate("most bookings", &through, &entry, &guard, seconds / 2);
	through.method = "GET";
	through.path = "/look/x?bytes=512";
	through.body = NULL;
	run_max_rate("most lookups", &through, &entry, &guard, seconds / 2);
	child_stop(&entry);
	child_stop(&guard);
	g_free(direct.samples_us);
	g_free(through.samples_us);
	return 0;
}
