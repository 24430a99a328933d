/*
 * Bench: cost of the membership per node, on the test driver's virtual clock.
 *
 *	bench_membership steady NODES DATA_CENTRES CHANGES_PER_S [LOSS_PERCENT]
 *	bench_membership table MEMBERS
 *	bench_membership join MEMBERS
 *	bench_membership herd NODES DATA_CENTRES
 *	bench_membership power NODES DATA_CENTRES [LOSS_PERCENT]
 *	bench_membership detect NODES DATA_CENTRES [LOSS_PERCENT]
 *
 * steady: bytes, messages and processor time per node and second, and the time
 * until a change has reached half, 99 % and all of the nodes.
 * table: bytes of memory per member.
 * join: bytes and processor time of a join.
 * herd: all nodes of data centre 0 start at once.
 * power: all nodes start at once, with a few others known from a directory.
 * detect: time from the end of a process until no node holds its host as live.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"

#include "checker.h"
#include "fake_net.h"
#include "herd.h"

/* IPv4 and UDP headers of a datagram. */
#define HEADER_BYTES 28

#define SETTLE_MS 60000
#define RUN_MS 60000
#define STEP_MS 20
#define LARGE_STEP_MS 100
#define LARGE_NODES 2000
#define JOIN_MS 600000

static uint64_t
cpu_now_us(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

static struct fake_net *
start(uint32_t n, uint32_t dcs)
{
	struct fake_net *f = fake_net_new(1);

	checker_free(f->checker);
	f->checker = NULL;
	fake_start_all(f, n, dcs);
	return f;
}

/*
 * A change in progress: the host, its incarnation, and the times of the change
 * and of its spread.
 */
struct change {
	uint32_t host;
	uint64_t incarnation;
	uint64_t made_ms;
	uint64_t half_ms;
	uint64_t most_ms;
	uint64_t all_ms;
};

static uint32_t
n_holding(const struct fake_net *f, const struct change *c)
{
	const struct member *mb;
	uint32_t i, n = 0;

	for (i = 0; i < f->n; i++) {
		mb = membership_find(
		    f->nodes[i].m, f->nodes[c->host].settings.host);
		n += mb != NULL && mb->incarnation >= c->incarnation;
	}
	return n;
}

static struct change
make_change(struct fake_net *f, uint32_t k)
{
	static const enum endpoint_state states[] = {
	    ENDPOINT_STARTING, ENDPOINT_READY, ENDPOINT_DRAINING};
	uint32_t host = (uint32_t)g_rand_int_range(f->rand, 0, (gint32)f->n);
	struct change c = {.host = host, .made_ms = f->now_ms};

	(void)membership_announce(f->nodes[host].m, f->now_ms,
	    "hearing-booking", 8080, (uint16_t)(12 + k % 2), states[k % 3],
	    DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
	c.incarnation = membership_self(f->nodes[host].m)->incarnation;
	return c;
}

static void
record_progress(const struct fake_net *f, struct change *c)
{
	uint32_t n;

	if (c->all_ms != 0)
		return;
	n = n_holding(f, c);
	if (c->half_ms == 0 && n * 2 >= f->n)
		c->half_ms = f->now_ms - c->made_ms;
	if (c->most_ms == 0 && n * 100 >= f->n * 99)
		c->most_ms = f->now_ms - c->made_ms;
	if (n == f->n)
		c->all_ms = f->now_ms - c->made_ms;
}

static int
by_value(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void
print_times(const char *what, uint64_t *times, uint32_t n)
{
	uint32_t unfinished = 0, i;

	for (i = 0; i < n; i++) {
		unfinished += times[i] == 0;
		if (times[i] == 0)
			times[i] = DEADLINE_NEVER;
	}
	if (n == 0)
		return;
	qsort(times, n, sizeof(*times), by_value);
	printf("  %s p50 %lld p99 %lld max %lld ms, unfinished %u of %u\n",
	    what, (long long)times[n / 2], (long long)times[n * 99 / 100],
	    (long long)times[n - 1 - MIN(unfinished, n - 1)], unfinished, n);
}

static void
print_spread(const GArray *changes)
{
	uint64_t *half = g_new(uint64_t, changes->len);
	uint64_t *most = g_new(uint64_t, changes->len);
	uint64_t *all = g_new(uint64_t, changes->len);
	const struct change *c;
	uint32_t i;

	for (i = 0; i < changes->len; i++) {
		c = &g_array_index(changes, struct change, i);
		half[i] = c->half_ms;
		most[i] = c->most_ms;
		all[i] = c->all_ms;
	}
	print_times("reached half:", half, changes->len);
	print_times("reached 99 %:", most, changes->len);
	print_times("reached all:", all, changes->len);
	g_free(half);
	g_free(most);
	g_free(all);
}

struct totals {
	uint64_t bytes;
	uint64_t max_bytes;
	uint64_t messages;
	uint64_t syncs;
	uint64_t failed;
	uint64_t news_received;
	uint64_t news_applied;
};

static struct totals
totals(const struct fake_net *f)
{
	const struct membership_counters *c;
	const struct fake_node *n;
	struct totals t = {0};
	uint64_t bytes;
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		n = &f->nodes[i];
		c = membership_counters(n->m);
		bytes = n->bytes + n->messages * HEADER_BYTES;
		t.bytes += bytes;
		t.max_bytes = MAX(t.max_bytes, bytes);
		t.messages += n->messages;
		t.syncs += c->syncs;
		t.failed += c->failed;
		t.news_received += c->news_received;
		t.news_applied += c->news_applied;
	}
	return t;
}

static void
reset_bytes(struct fake_net *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		f->nodes[i].bytes = 0;
		f->nodes[i].messages = 0;
	}
}

static void
steady(uint32_t n, uint32_t dcs, double changes_per_s, uint32_t loss)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	uint32_t step = n > LARGE_NODES ? LARGE_STEP_MS : STEP_MS;
	double s = RUN_MS / 1000.0, next = 0;
	struct totals before, after;
	struct fake_net *f = start(n, dcs);
	uint64_t joined_ms, t;
	struct change c;
	uint32_t i;

	joined_ms = fake_run_until(f, JOIN_MS, fake_agreed);
	f->loss_percent = loss;
	fake_run(f, SETTLE_MS);
	before = totals(f);
	reset_bytes(f);
	f->cpu_us = 0;
	for (t = 0; t < RUN_MS; t += step) {
		while (changes_per_s > 0 && next <= (double)t &&
		    t < RUN_MS - 15000) {
			c = make_change(f, changes->len);
			g_array_append_val(changes, c);
			next += 1000 / changes_per_s;
		}
		fake_run(f, step);
		for (i = 0; i < changes->len; i++)
			record_progress(
			    f, &g_array_index(changes, struct change, i));
	}
	after = totals(f);
	printf("steady n %u dcs %u changes/s %.2f loss %u%%: joined %lld ms; "
	       "a node: %.0f B/s sent (most %.0f), %.2f messages/s, "
	       "%.0f us/s = %.3f %% of a core; syncs/s %.3f a node; failed "
	       "%llu; records received %.1f for each that was new\n",
	    n, dcs, changes_per_s, loss, (long long)joined_ms,
	    (double)after.bytes / n / s, (double)after.max_bytes / s,
	    (double)after.messages / n / s, (double)f->cpu_us / n / s,
	    (double)f->cpu_us / n / s / 10000,
	    (double)(after.syncs - before.syncs) / n / s,
	    (unsigned long long)(after.failed - before.failed),
	    (double)(after.news_received - before.news_received) /
		(double)MAX(1, after.news_applied - before.news_applied));
	print_spread(changes);
	g_array_unref(changes);
	fake_net_free(f);
}

/*
 * Gossips the records of @n hosts to one node: 28 data centres, one endpoint
 * each.
 */
static void
add_members(struct fake_net *f, uint32_t n)
{
	struct net_addr from = {FAKE_IP + 1, FAKE_PORT};
	struct rec_endpoint e = {.service = "hearing-booking",
	    .port = 8080,
	    .slots = 12,
	    .state = ENDPOINT_READY,
	    .revision = 2};
	struct rec_member rec;
	struct msg_news msg;
	GByteArray *body = g_byte_array_new();
	uint32_t i;

	for (i = 1; i < n; i++) {
		memset(&rec, 0, sizeof(rec));
		(void)snprintf(rec.host, sizeof(rec.host), "host-%05u", i);
		(void)snprintf(rec.data_centre, sizeof(rec.data_centre),
		    "centre-%02u", i % 28);
		rec.ip = FAKE_IP + i;
		rec.peer_port = FAKE_PORT;
		rec.call_port = FAKE_CALL_PORT;
		rec.incarnation = FAKE_WALL_MS + i;
		rec.started_ms = FAKE_WALL_MS;
		rec.endpoints = &e;
		rec.n_endpoints = 1;
		memset(&msg, 0, sizeof(msg));
		msg.news = &rec;
		msg.n_news = 1;
		g_byte_array_set_size(body, 0);
		msg_news_encode(&msg, body);
		membership_receive(f->nodes[0].m, f->now_ms, &from, 0, MSG_NEWS,
		    body->data, body->len);
	}
	g_byte_array_unref(body);
}

static struct fake_net *
start_lone(uint32_t i)
{
	struct fake_net *f = fake_net_new(1);
	struct membership_settings s = fake_settings(f, i, 0);

	checker_free(f->checker);
	f->checker = NULL;
	(void)fake_start(f, i, &s, 0);
	fake_run(f, 100);
	return f;
}

static void
table(uint32_t n)
{
	struct fake_net *f = start_lone(0);
	struct membership_action a;
	uint64_t began, add_us;
	size_t was, now;

	was = mallinfo2().uordblks;
	began = cpu_now_us();
	add_members(f, n);
	add_us = cpu_now_us() - began;
	while (membership_pop(f->nodes[0].m, &a))
		continue;
	/* Empties the gossip queue, as there is no peer. */
	fake_run(f, 1000);
	now = mallinfo2().uordblks;
	printf("table of %u: %zu bytes, %.0f a member; %.2f us to take one "
	       "record in\n",
	    n, now - was, (double)(now - was) / n, (double)add_us / n);
	fake_net_free(f);
}

static int
second_joined(struct fake_net *f)
{
	return fake_up(f, 1);
}

static void
join(uint32_t n)
{
	struct fake_net *f = start_lone(0);
	struct membership_settings s;
	uint64_t took;

	add_members(f, n);
	fake_run(f, 100);
	f->seeds[0] = f->nodes[0].addr;
	f->n_seeds = 1;
	s = fake_settings(f, 1, 0);
	reset_bytes(f);
	f->cpu_us = 0;
	(void)fake_start(f, 1, &s, 0);
	took = fake_run_until(f, 20000, second_joined);
	printf("join with %u members: %llu bytes served in %llu parts, "
	       "%.1f a member; %.1f ms of processor time for both; "
	       "%llu ms at 1 to 3 ms a message; holds %u\n",
	    n, (unsigned long long)f->nodes[0].bytes,
	    (unsigned long long)membership_counters(f->nodes[0].m)
		->joins_served,
	    (double)f->nodes[0].bytes / n, (double)f->cpu_us / 1000,
	    (unsigned long long)took, membership_live(f->nodes[1].m));
	fake_net_free(f);
}

static void
herd(uint32_t n, uint32_t dcs)
{
	struct fake_net *f = start(n, dcs);
	struct membership_settings s;
	uint64_t up, agreed;
	struct totals t;
	uint32_t i;

	(void)fake_run_until(f, JOIN_MS, fake_agreed);
	for (i = 0; i < n; i += dcs)
		fake_kill(f, i);
	fake_run(f, 2000);
	reset_bytes(f);
	for (i = 0; i < n; i += dcs) {
		s = fake_settings(f, i, 0);
		(void)fake_start(f, i, &s, 0);
	}
	up = fake_run_until(f, JOIN_MS, fake_all_live);
	agreed = fake_run_until(f, JOIN_MS, fake_agreed);
	t = totals(f);
	printf("herd of %u of %u nodes: all live everywhere after %lld ms, "
	       "same tables %lld ms later; %.0f bytes sent a node, most "
	       "%llu\n",
	    (n + dcs - 1) / dcs, n, (long long)up, (long long)agreed,
	    (double)t.bytes / n, (unsigned long long)t.max_bytes);
	fake_net_free(f);
}

/* All nodes lose power at once and start again within 300 ms. */
static void
power(uint32_t n, uint32_t dcs, uint32_t loss)
{
	struct fake_net *f = fake_net_new(1);
	uint64_t last_ms, known_ms, same_ms;
	struct totals t;

	f->loss_percent = loss;
	last_ms = herd_start(f, n, dcs);
	(void)fake_run_until(f, JOIN_MS, herd_known);
	known_ms = f->now_ms - last_ms;
	t = totals(f);
	(void)fake_run_until(f, JOIN_MS, fake_agreed);
	same_ms = f->now_ms - last_ms;
	printf("power of %u nodes, %u %% loss: after the last start %llu ms "
	       "until all know 95 in 100 upstreams, %llu ms until the same "
	       "tables; until the first %.0f bytes and %.0f messages sent a "
	       "node, most %llu bytes; %.1f ms of processor time a node\n",
	    n, loss, (unsigned long long)known_ms, (unsigned long long)same_ms,
	    (double)t.bytes / n, (double)t.messages / n,
	    (unsigned long long)t.max_bytes, (double)f->cpu_us / n / 1000);
	fake_net_free(f);
}

#define KILLS 10

/* Number of nodes that still hold host @dead as live. */
static uint32_t
n_holding_live(const struct fake_net *f, uint32_t dead)
{
	uint32_t i, n = 0;
	int st;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].m == NULL)
			continue;
		st = fake_state(f, i, dead);
		n += st >= 0 && st < MEMBER_FAILED;
	}
	return n;
}

static void
detect(uint32_t n, uint32_t dcs, uint32_t loss)
{
	uint32_t kills = MIN(KILLS, n / 2);
	uint64_t times[KILLS];
	struct fake_net *f = start(n, dcs);
	uint64_t began;
	uint32_t i;

	(void)fake_run_until(f, JOIN_MS, fake_agreed);
	f->loss_percent = loss;
	fake_run(f, SETTLE_MS);
	for (i = 0; i < kills; i++) {
		began = f->now_ms;
		/* The seeds are the first nodes; leave them running. */
		fake_kill(f, n - 1 - i);
		while (n_holding_live(f, n - 1 - i) > 0)
			fake_run(f, STEP_MS);
		times[i] = f->now_ms - began;
	}
	printf("detect n %u dcs %u loss %u%%:\n", n, dcs, loss);
	print_times("no node counts on it:", times, kills);
	fake_net_free(f);
}

static uint32_t
arg_number(int argc, char **argv, int i, uint32_t fallback)
{
	return i < argc ? (uint32_t)strtoul(argv[i], NULL, 10) : fallback;
}

int
main(int argc, char **argv)
{
	uint32_t n = arg_number(argc, argv, 2, 100);
	uint32_t dcs = MAX(1, arg_number(argc, argv, 3, 1));

	if (argc > 1 && strcmp(argv[1], "steady") == 0)
		steady(n, dcs, argc > 4 ? strtod(argv[4], NULL) : 0,
		    arg_number(argc, argv, 5, 0));
	else if (argc > 1 && strcmp(argv[1], "table") == 0)
		table(n);
	else if (argc > 1 && strcmp(argv[1], "join") == 0)
		join(n);
	else if (argc > 1 && strcmp(argv[1], "herd") == 0)
		herd(n, dcs);
	else if (argc > 1 && strcmp(argv[1], "power") == 0)
		power(n, dcs, arg_number(argc, argv, 4, 0));
	else if (argc > 1 && strcmp(argv[1], "detect") == 0)
		detect(n, dcs, arg_number(argc, argv, 4, 0));
	else
		return EXIT_FAILURE;
	return EXIT_SUCCESS;
}
