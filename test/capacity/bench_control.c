/*
 * Benchmark of one node's control traffic: a real process among many hosts that
 * a swarm simulates, as one line of a table.
 *
 * Options have the form name=value: members, dcs, home, services, routes, news
 * and versions (per 1,000 s), copies, notices, pings (per 1,000 s), fail,
 * seconds.  Processor time and memory are those of the process, from /proc.
 */
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "subject.h"
#include "swarm.h"

#define SUBJECT_HOST "subject"
#define READY_TIMEOUT_MS 120000
#define SETTLE_MS 10000
#define POLL_MS 20
#define THOUSAND 1000.0
#define US_PER_MS 1000
#define FAILURE_PERIOD_MS 20000

/**
 * struct bench - one run
 * @params: parameters of the swarm
 * @change_rate: changed member records per 1,000 s
 * @version_rate: versions signed off per 1,000 s
 * @ping_rate: pings per 1,000 s
 * @fail: number of hosts that fail at the end
 * @seconds: duration of the measurement
 * @loop: event loop of the swarm
 * @swarm: all other hosts
 * @subject: the process
 * @ready: whether the process serves calls or READY_TIMEOUT_MS has passed
 */
struct bench {
	struct swarm_params params;
	uint32_t change_rate;
	uint32_t version_rate;
	uint32_t ping_rate;
	uint32_t fail;
	uint32_t seconds;
	struct loop *loop;
	struct swarm *swarm;
	struct subject subject;
	_Atomic int ready;
};

static void
run_loop(const struct bench *b, uint64_t ms)
{
	uint64_t until_ms = clock_now_ms() + ms;

	while (clock_now_ms() < until_ms)
		loop_run_once(b->loop, MIN(until_ms, clock_now_ms() + POLL_MS));
}

/* Polls the process's health in a thread, because the swarm's loop must keep
 * running. */
static gpointer
wait_ready(gpointer arg)
{
	struct bench *b = arg;
	uint64_t until_ms = clock_now_ms() + READY_TIMEOUT_MS;

	while (!subject_ready(&b->subject) && clock_now_ms() < until_ms)
		g_usleep(POLL_MS * US_PER_MS);
	atomic_store(&b->ready, 1);
	return NULL;
}

static void
start(struct bench *b)
{
	struct subject_config config = {
	    .host = SUBJECT_HOST, .data_centre = SWARM_LOCAL_DATA_CENTRE};
	struct net_addr at = {subject_address(0), 0};
	uint64_t start_ms;
	struct usage u;
	GThread *waiter;

	b->loop = loop_new();
	b->swarm = swarm_new(b->loop, &b->params);
	config.seed = swarm_seed(b->swarm);
	start_ms = clock_now_ms();
	subject_start(&b->subject, &config);
	at.port = b->subject.peer_port;
	swarm_set_subject(b->swarm, at);
	waiter = g_thread_new("ready", wait_ready, b);
	while (!atomic_load(&b->ready))
		run_loop(b, POLL_MS);
	(void)g_thread_join(waiter);
	subject_usage(&b->subject, &u);
	printf("  process %d joined in %.1f s: %.0f KB to it, %.0f KB from it, "
	       "%.0f "
	       "ms of processor time\n",
	    (int)process_pid(b->subject.process),
	    (double)(clock_now_ms() - start_ms) / THOUSAND,
	    (double)(swarm_traffic(b->swarm)->to_frame_bytes +
		swarm_traffic(b->swarm)->to_bytes) /
		THOUSAND,
	    (double)(swarm_traffic(b->swarm)->from_frame_bytes +
		swarm_traffic(b->swarm)->from_bytes) /
		THOUSAND,
	    (double)u.cpu_us / THOUSAND);
}

static double
per_second(uint64_t now, uint64_t before, double s)
{
	return (double)(now - before) / s;
}

static void
report(const struct bench *b, const struct usage *before,
    const struct swarm_traffic *t0, double s)
{
	const struct swarm_traffic *t = swarm_traffic(b->swarm);
	struct usage u;

	subject_usage(&b->subject, &u);
	printf("%7u %3u %5u %5u %6.2f %5.2f | %6.0f us/s %6.3f %% busiest "
	       "%6.0f | in %5.0f out %5.0f B/s, %5.1f msgs/s | rss %5.1f "
	       "anonymous %5.1f MB, %u threads, load %.1f\n",
	    b->params.members, b->params.data_centres, b->params.local_members,
	    b->params.services, per_second(t->changes, t0->changes, s),
	    per_second(t->versions, t0->versions, s),
	    per_second(u.cpu_us, before->cpu_us, s),
	    per_second(u.cpu_us, before->cpu_us, s) / 10000,
	    per_second(u.max_thread_us, before->max_thread_us, s),
	    per_second(t->to_bytes + t->to_frame_bytes,
		t0->to_bytes + t0->to_frame_bytes, s),
	    per_second(t->from_bytes + t->from_frame_bytes,
		t0->from_bytes + t0->from_frame_bytes, s),
	    per_second(t->from_datagrams, t0->from_datagrams, s),
	    (double)u.rss_kb / THOUSAND, (double)u.anonymous_kb / THOUSAND,
	    u.threads, usage_load());
}

static void
measure(struct bench *b)
{
	struct swarm_traffic traffic;
	struct usage before;
	uint64_t start_ms;

	swarm_set_rates(
	    b->swarm, b->change_rate / THOUSAND, b->version_rate / THOUSAND);
	run_loop(b, SETTLE_MS);
	traffic = *swarm_traffic(b->swarm);
	subject_usage(&b->subject, &before);
	start_ms = clock_now_ms();
	run_loop(b, b->seconds * (uint64_t)THOUSAND);
	report(b, &before, &traffic,
	    (double)(clock_now_ms() - start_ms) / THOUSAND);
}

static void
fail_hosts(struct bench *b)
{
	struct swarm_traffic traffic = *swarm_traffic(b->swarm);
	struct usage before;

	subject_usage(&b->subject, &before);
	swarm_fail(b->swarm, b->fail);
	run_loop(b, FAILURE_PERIOD_MS);
	printf("  %u hosts of one data centre fail at once, over %u s:\n",
	    b->fail, FAILURE_PERIOD_MS / 1000);
	report(b, &before, &traffic, FAILURE_PERIOD_MS / THOUSAND);
}

/* Prints the process's version and members; the results are valid only if they
 * match those of the swarm. */
static void
print_status(struct bench *b)
{
	int code = 0;
	json_t *j;

	run_loop(b, SETTLE_MS / 2);
	j = subject_api(&b->subject, "GET", "/v1/status", NULL, &code);
	printf("  status: version %" JSON_INTEGER_FORMAT " of %" PRIu64
	       ", members live %" JSON_INTEGER_FORMAT "\n",
	    json_integer_value(json_object_get(j, "version")),
	    swarm_version(b->swarm),
	    json_integer_value(json_object_get(j, "members_live")));
	json_decref(j);
}

static void
set_option(struct bench *b, const char *name, uint32_t value)
{
	const struct {
		const char *name;
		uint32_t *value;
	} options[] = {
	    {"members", &b->params.members},
	    {"dcs", &b->params.data_centres},
	    {"home", &b->params.local_members},
	    {"services", &b->params.services},
	    {"routes", &b->params.routes},
	    {"copies", &b->params.gossip_copies},
	    {"notices", &b->params.notice_copies},
	    {"news", &b->change_rate},
	    {"versions", &b->version_rate},
	    {"pings", &b->ping_rate},
	    {"fail", &b->fail},
	    {"seconds", &b->seconds},
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(options); i++)
		if (strcmp(options[i].name, name) == 0) {
			*options[i].value = value;
			return;
		}
	g_error("Unknown option %s.", name);
}

static void
parse_options(struct bench *b, int argc, char **argv)
{
	char *value;
	int i;

	for (i = 1; i < argc; i++) {
		value = strchr(argv[i], '=');
		if (value == NULL)
			g_error("Options must have the form name=value.");
		*value++ = '\0';
		set_option(b, argv[i], (uint32_t)strtoul(value, NULL, 10));
	}
	if (b->params.local_members == 0)
		b->params.local_members =
		    b->params.members / b->params.data_centres;
	b->params.pings_per_s = b->ping_rate / THOUSAND;
}

static struct bench bench = {
    .params = {.members = 22000,
	.data_centres = 28,
	.services = 1200,
	.routes = 5,
	.gossip_copies = 15,
	.notice_copies = 6,
	.seed = 1},
    .change_rate = 2000,
    .version_rate = 660,
    .ping_rate = 1000,
    .seconds = 30,
};

static void
bench_run(void)
{
	struct bench *b = &bench;

	start(b);
	measure(b);
	if (b->fail > 0)
		fail_hosts(b);
	print_status(b);
	subject_stop(&b->subject);
	swarm_free(b->swarm);
	loop_free(b->loop);
}

int
main(int argc, char **argv)
{
	parse_options(&bench, argc, argv);
	(void)g_strlcpy(bench.params.subject_host, SUBJECT_HOST,
	    sizeof(bench.params.subject_host));
	return subject_run(bench_run);
}
