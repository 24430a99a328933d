/*
 * Homes of customers' limits on this host.
 */
#include "guard_quota.h"

#include <string.h>

#include "base/hash.h"
#include "config/snapshot.h"
#include "node/snapshot_ref.h"

#include "call_metrics.h"
#include "guard_priv.h"

#define HOST_SEED 0

/**
 * struct guard_quota - see guard_quota.h
 * @settings: settings of the node; borrowed
 * @loop: event loop of the traffic thread
 * @homes: home of each shard, or NULL
 * @roster: entries of this data centre
 */
struct guard_quota {
	const struct settings *settings;
	struct loop *loop;
	struct quota_home *homes[QUOTA_SHARDS];
	struct quota_roster *roster;
};

struct guard_quota *
guard_quota_new(const struct settings *s, struct loop *loop)
{
	struct guard_quota *q = g_new0(struct guard_quota, 1);

	q->settings = s;
	q->loop = loop;
	q->roster = quota_roster_new();
	return q;
}

void
guard_quota_free(struct guard_quota *q)
{
	uint32_t i;

	if (q == NULL)
		return;
	for (i = 0; i < QUOTA_SHARDS; i++)
		quota_home_free(q->homes[i]);
	quota_roster_free(q->roster);
	g_free(q);
}

struct quota_roster *
guard_quota_roster(struct guard_quota *q)
{
	return q->roster;
}

static void
count_entries(const struct guard_quota *q, struct quota_home *h)
{
	uint64_t now_ms = loop_now_ms(q->loop);
	uint32_t n = quota_roster_count(q->roster, now_ms);

	if (n == 0)
		return;
	if (quota_roster_settled(q->roster))
		quota_home_set_entries(h, n, now_ms);
	else
		quota_home_estimate_entries(h, n, now_ms);
}

void
guard_quota_count_entries(struct guard_quota *q)
{
	uint32_t i;

	(void)quota_roster_count(q->roster, loop_now_ms(q->loop));
	for (i = 0; i < QUOTA_SHARDS; i++)
		if (q->homes[i] != NULL)
			count_entries(q, q->homes[i]);
}

uint32_t
guard_quota_centres(const struct guard_quota *q)
{
	return MAX(q->settings->n_data_centres, 1);
}

uint64_t
guard_quota_id(const char *host)
{
	return hash64(host, strlen(host), HOST_SEED);
}

struct quota_home *
guard_quota_home(struct guard_quota *q, uint32_t shard)
{
	return q->homes[shard];
}

static struct quota_home *
home_of(struct guard_quota *q, uint32_t shard)
{
	if (q->homes[shard] != NULL)
		return q->homes[shard];
	q->homes[shard] =
	    quota_home_new(guard_quota_centres(q), loop_now_ms(q->loop));
	count_entries(q, q->homes[shard]);
	return q->homes[shard];
}

static void
find_limits(
    const struct quota_demand *demands, uint32_t n, struct quota_limit *limits)
{
	struct snapshot *s = snapshot_ref_get();
	const struct customer *c;
	uint32_t i;

	for (i = 0; i < n; i++) {
		memset(&limits[i], 0, sizeof(limits[i]));
		limits[i].customer = demands[i].customer;
		if (s == NULL || s->customers == NULL)
			continue;
		c = customer_table_find_id(s->customers, demands[i].customer);
		if (c == NULL)
			continue;
		limits[i].rate_milli_per_s = c->rate_milli_per_s;
		limits[i].burst_milli = c->burst_milli;
	}
	snapshot_unref(s);
}

void
guard_quota_report(struct guard_quota *q, uint32_t shard,
    const struct quota_source *from, const struct quota_demand *demands,
    uint32_t n, struct quota_credit *credits)
{
	struct quota_limit *limits = g_new(struct quota_limit, n);
	uint64_t granted = 0;
	uint32_t i;

	find_limits(demands, n, limits);
	if (!from->borrower)
		quota_roster_heard(q->roster, from->id, loop_now_ms(q->loop));
	quota_home_report(home_of(q, shard), from, demands, limits, n, credits,
	    loop_now_ms(q->loop));
	for (i = 0; i < n; i++)
		granted += credits[i].granted;
	metric_add(from->borrower ? &metric_quota_lent : &metric_quota_granted,
	    (int64_t)granted);
	g_free(limits);
}

static void
read_demands(const struct msg_quota_report *m, struct quota_demand *demands)
{
	uint32_t i;

	for (i = 0; i < m->n_demands; i++) {
		demands[i].customer = m->demands[i].customer;
		demands[i].arrived = m->demands[i].arrived;
		demands[i].wanted = m->demands[i].wanted;
		demands[i].ahead = m->demands[i].ahead;
		demands[i].returned = m->demands[i].returned;
	}
}

static void
send_grant(struct guard_conn *gc, const struct msg_quota_report *report,
    const struct quota_credit *credits)
{
	struct msg_quota_grant m = {.shard = report->shard,
	    .sequence = report->sequence,
	    .lent = report->from_home,
	    .n_credits = report->n_demands};
	uint32_t i;

	m.credits = g_new0(struct rec_quota_credit, m.n_credits);
	for (i = 0; i < m.n_credits; i++) {
		m.credits[i].customer = credits[i].customer;
		m.credits[i].granted = credits[i].granted;
		m.credits[i].wait_ms = credits[i].wait_ms;
	}
	(void)call_link_send(&gc->link, MSG_QUOTA_GRANT, &m);
	g_free(m.credits);
}

bool
guard_quota_frame(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct quota_source from = {.id = guard_quota_id(gc->host)};
	struct quota_demand *demands;
	struct quota_credit *credits;
	struct msg_quota_report m;
	bool valid;

	if (msg_quota_report_decode(body, len, &m) != STATUS_OK)
		return false;
	valid = m.shard < QUOTA_SHARDS;
	if (valid) {
		from.borrower = m.from_home;
		demands = g_new(struct quota_demand, m.n_demands);
		credits = g_new(struct quota_credit, m.n_demands);
		read_demands(&m, demands);
		guard_quota_report(gc->guard->quota, m.shard, &from, demands,
		    m.n_demands, credits);
		send_grant(gc, &m, credits);
		g_free(credits);
		g_free(demands);
	}
	msg_quota_report_clear(&m);
	return valid;
}
