/*
 * Mass start: see herd.h.
 */
#include "base/clock.h"

#include "membership/places.h"

#include "herd.h"

/* All hosts start within this time, as after a loss of power. */
#define STARTS_MS 300

/* Entries that a directory returns, and the range of its answer times. */
#define SAMPLE (2 * PLACES_PER_DATA_CENTRE)
#define DIRECTORY_MIN_MS 10
#define DIRECTORY_MAX_MS 40

/* Latest announcement of an upstream after the start of its node. */
#define HEARTBEAT_MAX_MS 30

#define PERCENT 100

/* Resolution of the planned times. */
#define STEP_MS 10

/* Times of a host's events. */
struct host_plan {
	uint64_t start_ms;
	uint64_t directory_ms;
	uint64_t heartbeat_ms;
};

/* Settings of a node on the users' platform, as in settings.json.in. */
static struct membership_settings
settings_of(const struct fake_net *f, uint32_t i, uint32_t dcs)
{
	struct membership_settings s = fake_settings(f, i, i % dcs);

	s.probe_interval_ms = 500;
	s.probe_timeout_ms = 150;
	s.suspicion_ms = 1500;
	s.relay_interval_ms = 1000;
	s.await_seeds_ms = 3000;
	s.bootstrap_ms = 600;
	return s;
}

static uint64_t
random_after(
    struct fake_net *f, uint64_t from_ms, uint32_t least, uint32_t most)
{
	return from_ms +
	    (uint64_t)g_rand_int_range(f->rand, (gint32)least, (gint32)most);
}

static void
plan(struct fake_net *f, struct host_plan *p)
{
	p->start_ms = random_after(f, f->now_ms, 0, STARTS_MS);
	p->directory_ms =
	    random_after(f, p->start_ms, DIRECTORY_MIN_MS, DIRECTORY_MAX_MS);
	p->heartbeat_ms = random_after(f, p->start_ms, 1, HEARTBEAT_MAX_MS);
}

/*
 * Adds the result of a directory lookup as seeds: the registered hosts of the
 * own data centre and of the next.
 */
static void
look_up(struct fake_net *f, uint32_t i, uint32_t n, uint32_t dcs)
{
	struct net_addr found[SAMPLE];
	uint32_t k, at, len = 0;

	for (k = 0; k < SAMPLE; k++) {
		at = (i % dcs + k / PLACES_PER_DATA_CENTRE) % dcs +
		    k % PLACES_PER_DATA_CENTRE * dcs;
		if (at >= n)
			continue;
		found[len].ip = FAKE_IP + at;
		found[len++].port = FAKE_PORT;
	}
	fake_add_seeds(f, i, found, len);
}

static int
due(const struct fake_net *f, uint64_t at_ms)
{
	return at_ms >= f->now_ms && at_ms < f->now_ms + STEP_MS;
}

static void
start(struct fake_net *f, uint32_t i, uint32_t dcs)
{
	struct membership_settings s = settings_of(f, i, dcs);

	(void)fake_start(f, i, &s, 0);
}

/* Applies the events of a host that are due in this step. */
static void
apply_plan(struct fake_net *f, const struct host_plan *p, uint32_t i,
    uint32_t n, uint32_t dcs)
{
	if (due(f, p->start_ms))
		start(f, i, dcs);
	if (due(f, p->heartbeat_ms))
		fake_announce(f, i);
	if (due(f, p->directory_ms))
		look_up(f, i, n, dcs);
}

uint64_t
herd_start(struct fake_net *f, uint32_t n, uint32_t dcs)
{
	struct host_plan *plans = g_new0(struct host_plan, n);
	uint64_t last_ms = 0, end_ms;
	uint32_t i;

	f->dead_hosts_silent = 1;
	end_ms = f->now_ms + STARTS_MS + DIRECTORY_MAX_MS + HEARTBEAT_MAX_MS;
	for (i = 0; i < n; i++) {
		plan(f, &plans[i]);
		last_ms = MAX(last_ms, plans[i].start_ms);
	}
	while (f->now_ms < end_ms) {
		for (i = 0; i < n; i++)
			apply_plan(f, &plans[i], i, n, dcs);
		fake_run(f, STEP_MS);
	}
	g_free(plans);
	return last_ms;
}

/* Number of upstreams in a node's table. */
static uint32_t
n_known(const struct fake_net *f, uint32_t i)
{
	const struct member *mb;
	uint32_t j, n = 0;

	for (j = 0; j < f->n; j++) {
		mb = membership_find(f->nodes[i].m, f->nodes[j].settings.host);
		n += mb != NULL && member_is_live(mb) && mb->n_endpoints == 1;
	}
	return n;
}

int
herd_known(struct fake_net *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		if (!fake_up(f, i) ||
		    n_known(f, i) * PERCENT < f->n * HERD_KNOWN_PERCENT)
			return 0;
	return 1;
}

uint64_t
herd_max_bytes(const struct fake_net *f)
{
	uint64_t most = 0;
	uint32_t i;

	for (i = 0; i < f->n; i++)
		most = MAX(most, f->nodes[i].bytes);
	return most;
}
