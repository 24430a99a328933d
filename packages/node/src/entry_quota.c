/*
 * Limits of customers at the entry.
 */
#include "entry_quota.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_log.h"
#include "entry_quota_hosts.h"
#include "entry_quota_log.h"
#include "guard_quota.h"

/* Most customers in a report; those beyond follow in the next one. */
#define DEMANDS_MAX 512

/* Interval of loans and of the gauges. */
#define BORROW_MS 100

/* Interval of attempts while a connection to the home is established. */
#define DIAL_POLL_MS 10

/* Interval of log lines on the entries that report to a home. */
#define HOME_LINE_MS 1000

/* Shortest wait of a request whose target is close. */
#define PARK_MIN_MS 10

/* A request may wait for credit for this part of the time until its target. */
#define PARK_DIVISOR 4

/* Retry-After where no home has answered. */
#define UNANSWERED_RETRY_MS 400

#define HTTP_UNAVAILABLE 503

/**
 * struct shard - customers of one shard
 * @allowance: credit of this entry
 * @choice: which home is reported to
 * @sequence: number of the last report
 * @home: host that the last report was sent to, or whose connection is awaited
 * @reported: a report was sent to @home
 * @silent_ms: monotonic time at which @home counts as silent, DEADLINE_NEVER
 *	when no report is unanswered and no connection is awaited
 * @retry_ms: monotonic time before which no report is tried
 * @logged_entries: number of entries in the last log line on the home here
 * @logged_ms: monotonic time of that line
 */
struct shard {
	struct quota_allowance *allowance;
	struct quota_choice choice;
	uint32_t sequence;
	struct quota_host home;
	bool reported;
	uint64_t silent_ms;
	uint64_t retry_ms;
	uint32_t logged_entries;
	uint64_t logged_ms;
};

/**
 * struct entry_quota - see entry_quota.h
 * @entry: the entry
 * @homes: homes on this host; borrowed
 * @own_id: number of this host
 * @active: some customer has a limit
 * @timer: next report, loan or end of a wait
 * @shards: customers by shard
 * @waiting: struct entry_call that wait for credit
 * @ranks: struct quota_ranks of each data centre, or NULL
 * @ranked: generation of the entry's snapshot that @ranks belong to
 * @borrow_ms: monotonic time of the next loan
 * @log: customers that are limited here
 */
struct entry_quota {
	struct entry *entry;
	struct guard_quota *homes;
	uint64_t own_id;
	bool active;
	struct loop_timer timer;
	struct shard shards[QUOTA_SHARDS];
	GQueue waiting;
	GArray *ranks;
	uint64_t ranked;
	uint64_t borrow_ms;
	struct entry_quota_log *log;
};

static uint64_t
now(const struct entry_quota *q)
{
	return loop_now_ms(q->entry->loop);
}

static struct shard *
shard_of(struct entry_quota *q, uint64_t customer)
{
	return &q->shards[quota_shard(customer)];
}

/* Timer */

static uint64_t
shard_due_ms(const struct shard *s)
{
	uint64_t due_ms = quota_allowance_due_ms(s->allowance);

	return MIN(MAX(due_ms, s->retry_ms), s->silent_ms);
}

static void
schedule(struct entry_quota *q)
{
	uint64_t due_ms = q->borrow_ms;
	const struct entry_call *c;
	uint32_t i;
	GList *l;

	if (!q->active) {
		loop_timer_stop(&q->timer);
		return;
	}
	for (i = 0; i < QUOTA_SHARDS; i++)
		due_ms = MIN(due_ms, shard_due_ms(&q->shards[i]));
	for (l = q->waiting.head; l != NULL; l = l->next) {
		c = l->data;
		due_ms = MIN(due_ms, c->park_until_ms);
	}
	loop_timer_set(&q->timer, due_ms);
}

/* Requests that wait */

static void
unpark(struct entry_quota *q, struct entry_call *c)
{
	g_queue_unlink(&q->waiting, &c->park_link);
	c->parked = false;
}

static void
end_refused(struct entry_call *c)
{
	call_caller_disconnected(c->machine, loop_now_ms(c->entry->loop));
	entry_call_run(c);
}

static void
refuse_limited(struct entry_call *c, uint64_t retry_after_ms)
{
	entry_quota_refuse(c->entry, c->exchange, c->customer, retry_after_ms);
	end_refused(c);
}

static void
refuse_unchecked(
    struct entry *e, struct call_exchange *x, uint64_t retry_after_ms)
{
	entry_log_refused(e, call_exchange_request(x), HTTP_UNAVAILABLE,
	    "customer_limit_unanswered");
	entry_answer_unanswered_limit(x, retry_after_ms);
}

static void
refuse_unanswered(struct entry_call *c)
{
	refuse_unchecked(c->entry, c->exchange, UNANSWERED_RETRY_MS);
	end_refused(c);
}

static void
decide(struct entry_quota *q, struct entry_call *c)
{
	uint64_t retry_after_ms = 0;

	switch (quota_allowance_claim(shard_of(q, c->customer->id)->allowance,
	    c->customer->id, now(q), &retry_after_ms)) {
	case QUOTA_ADMIT:
		unpark(q, c);
		c->credited = true;
		entry_call_start(c);
		return;
	case QUOTA_REFUSE:
		unpark(q, c);
		refuse_limited(c, retry_after_ms);
		return;
	case QUOTA_WAIT:
		return;
	}
}

static void
decide_waiting(struct entry_quota *q, const struct shard *s)
{
	GList *l, *next;
	struct entry_call *c;

	for (l = q->waiting.head; l != NULL; l = next) {
		next = l->next;
		c = l->data;
		if (shard_of(q, c->customer->id) == s)
			decide(q, c);
	}
}

static void
end_waits(struct entry_quota *q)
{
	GList *l, *next;
	struct entry_call *c;

	for (l = q->waiting.head; l != NULL; l = next) {
		next = l->next;
		c = l->data;
		if (now(q) < c->park_until_ms)
			continue;
		unpark(q, c);
		quota_allowance_leave(
		    shard_of(q, c->customer->id)->allowance, c->customer->id);
		refuse_unanswered(c);
	}
}

/* Reports */

static const struct quota_ranks *
own_ranks(const struct entry_quota *q)
{
	const struct quota_ranks *r;
	guint i;

	for (i = 0; q->ranks != NULL && i < q->ranks->len; i++) {
		r = &g_array_index(q->ranks, struct quota_ranks, i);
		if (strcmp(r->data_centre, q->entry->settings->data_centre) ==
		    0)
			return r;
	}
	return NULL;
}

/* Candidates whose connection isn't ready are dialled, so that they can be
 * chosen later. */
static uint32_t
list_candidates(const struct entry_quota *q, const struct quota_host *hosts,
    uint32_t n, struct quota_candidate *candidates)
{
	struct entry_peer *p;
	uint32_t i;

	for (i = 0; i < n; i++) {
		candidates[i].id = hosts[i].id;
		candidates[i].ready = hosts[i].id == q->own_id;
		if (candidates[i].ready)
			continue;
		p = entry_peer_get(q->entry, hosts[i].address);
		candidates[i].ready = entry_peer_reach(p);
	}
	return n;
}

static void
grant_credits(struct entry_quota *q, struct shard *s,
    const struct quota_credit *credits, uint32_t n)
{
	s->silent_ms = DEADLINE_NEVER;
	quota_allowance_granted(s->allowance, credits, n, now(q));
	decide_waiting(q, s);
}

static void
report_here(struct entry_quota *q, struct shard *s,
    const struct quota_demand *demands, uint32_t n)
{
	struct quota_source from = {.id = q->own_id};
	struct quota_credit *credits = g_new(struct quota_credit, n);

	guard_quota_report(
	    q->homes, (uint32_t)(s - q->shards), &from, demands, n, credits);
	grant_credits(q, s, credits, n);
	g_free(credits);
}

static bool
send_report(struct entry_quota *q, const struct quota_host *to,
    const struct msg_quota_report *head, const struct quota_demand *demands)
{
	struct msg_quota_report m = *head;
	bool sent;
	uint32_t i;

	m.demands = g_new0(struct rec_quota_demand, m.n_demands);
	for (i = 0; i < m.n_demands; i++) {
		m.demands[i].customer = demands[i].customer;
		m.demands[i].arrived = demands[i].arrived;
		m.demands[i].wanted = demands[i].wanted;
		m.demands[i].ahead = demands[i].ahead;
		m.demands[i].returned = demands[i].returned;
	}
	sent = entry_peer_report(entry_peer_get(q->entry, to->address), &m);
	g_free(m.demands);
	return sent;
}

static void
report_to(struct entry_quota *q, struct shard *s, const struct quota_host *home)
{
	struct quota_demand demands[DEMANDS_MAX];
	struct msg_quota_report head = {
	    .shard = (uint8_t)(s - q->shards), .sequence = ++s->sequence};
	uint32_t n;

	n = quota_allowance_report(s->allowance, demands, DEMANDS_MAX, now(q));
	s->home = *home;
	s->reported = true;
	if (home->id == q->own_id) {
		report_here(q, s, demands, n);
		return;
	}
	s->silent_ms = now(q) + QUOTA_REPLY_MS;
	head.n_demands = n;
	(void)send_report(q, home, &head, demands);
}

/* A connection is awaited for as long as a reply. */
static void
await_connection(
    struct entry_quota *q, struct shard *s, const struct quota_host *home)
{
	s->retry_ms = now(q) + DIAL_POLL_MS;
	if (s->silent_ms == DEADLINE_NEVER || s->home.id != home->id)
		s->silent_ms = now(q) + QUOTA_REPLY_MS;
	s->home = *home;
	s->reported = false;
}

/* Return: whether a report can be sent to @home now. */
static bool
choose_home(struct entry_quota *q, struct shard *s, struct quota_host *home)
{
	const struct quota_ranks *r = own_ranks(q);
	uint32_t shard = (uint32_t)(s - q->shards);
	struct quota_candidate candidates[QUOTA_CANDIDATES];
	uint32_t n, chosen;

	memset(home, 0, sizeof(*home));
	home->id = q->own_id;
	if (r == NULL)
		return true;
	n = list_candidates(q, r->hosts[shard], r->n[shard], candidates);
	chosen = quota_choice_pick(&s->choice, candidates, n, now(q));
	if (chosen < n && !candidates[chosen].ready && s->reported &&
	    candidates[chosen].id == s->home.id) {
		quota_choice_lost(&s->choice, s->home.id, now(q));
		chosen = quota_choice_pick(&s->choice, candidates, n, now(q));
	}
	if (chosen == QUOTA_CHOICE_OWN)
		return true;
	*home = r->hosts[shard][chosen];
	return candidates[chosen].ready;
}

static void
report(struct entry_quota *q, struct shard *s)
{
	struct quota_host home;

	if (choose_home(q, s, &home))
		report_to(q, s, &home);
	else
		await_connection(q, s, &home);
}

static void
check_silence(struct entry_quota *q, struct shard *s)
{
	if (now(q) < s->silent_ms)
		return;
	s->silent_ms = DEADLINE_NEVER;
	s->retry_ms = 0;
	quota_allowance_lost(s->allowance);
	if (!quota_choice_missed(&s->choice, s->home.id, now(q)))
		return;
	log_info("limits: home of shard %u does not answer; the next by rank "
		 "is used",
	    (uint32_t)(s - q->shards));
}

/* Loans */

static bool
lender_is_ready(struct entry_quota *q, const struct quota_host *host)
{
	return entry_peer_reach(entry_peer_get(q->entry, host->address));
}

static void
ask_lender(struct entry_quota *q, const struct quota_ranks *r, uint32_t shard,
    const struct quota_demand *demands, uint32_t n)
{
	struct msg_quota_report head = {
	    .shard = (uint8_t)shard, .from_home = true, .n_demands = n};
	uint32_t i;

	for (i = 0; i < r->n[shard]; i++) {
		if (!lender_is_ready(q, &r->hosts[shard][i]))
			continue;
		(void)send_report(q, &r->hosts[shard][i], &head, demands);
		return;
	}
}

/* Each lender is asked for its part of what is missing. */
static void
ask_lenders(struct entry_quota *q, uint32_t shard, struct quota_demand *demands,
    uint32_t n)
{
	uint32_t i, lenders = MAX(guard_quota_centres(q->homes) - 1, 1);
	const struct quota_ranks *r, *own = own_ranks(q);

	for (i = 0; i < n; i++)
		demands[i].wanted = (demands[i].wanted + lenders - 1) / lenders;
	for (i = 0; q->ranks != NULL && i < q->ranks->len; i++) {
		r = &g_array_index(q->ranks, struct quota_ranks, i);
		if (r != own)
			ask_lender(q, r, shard, demands, n);
	}
}

static void
log_home(struct entry_quota *q, uint32_t shard, uint32_t entries)
{
	struct shard *s = &q->shards[shard];

	if (entries == s->logged_entries ||
	    now(q) < s->logged_ms + HOME_LINE_MS)
		return;
	s->logged_entries = entries;
	s->logged_ms = now(q);
	log_info("limits: home of shard %u for %u of %u entries", shard,
	    entries, quota_roster_count(guard_quota_roster(q->homes), now(q)));
}

static void
borrow(struct entry_quota *q)
{
	struct quota_demand demands[DEMANDS_MAX];
	struct quota_home *home;
	uint32_t shard, n, entries, homes = 0, all_entries = 0;

	if (now(q) < q->borrow_ms)
		return;
	q->borrow_ms = now(q) + BORROW_MS;
	entry_quota_log_sweep(q->log, now(q));
	guard_quota_count_entries(q->homes);
	for (shard = 0; shard < QUOTA_SHARDS; shard++) {
		home = guard_quota_home(q->homes, shard);
		if (home == NULL)
			continue;
		entries = quota_home_entries(home, now(q));
		log_home(q, shard, entries);
		homes += entries > 0;
		all_entries += entries;
		n = quota_home_borrow(home, demands, DEMANDS_MAX, now(q));
		if (n > 0)
			ask_lenders(q, shard, demands, n);
	}
	metric_set(&metric_quota_homes, homes);
	metric_set(&metric_quota_entries, all_entries);
}

static void
rank_hosts(struct entry_quota *q)
{
	struct entry *e = q->entry;

	if (q->ranked == e->generation || e->snapshot == NULL)
		return;
	q->ranked = e->generation;
	if (q->ranks != NULL)
		g_array_free(q->ranks, TRUE);
	q->ranks = quota_hosts_rank(e->snapshot, e->settings->data_centre,
	    guard_quota_roster(q->homes), now(q));
}

static void
on_timer(void *arg)
{
	struct entry_quota *q = arg;
	struct shard *s;
	uint32_t i;

	rank_hosts(q);
	borrow(q);
	for (i = 0; i < QUOTA_SHARDS; i++) {
		s = &q->shards[i];
		check_silence(q, s);
		if (now(q) >=
		    MAX(quota_allowance_due_ms(s->allowance), s->retry_ms))
			report(q, s);
	}
	end_waits(q);
	schedule(q);
}

/* Replies */

static void
apply_grant(struct entry_quota *q, const struct entry_peer *p,
    const struct msg_quota_grant *m)
{
	struct shard *s = &q->shards[m->shard];
	struct quota_home *home = guard_quota_home(q->homes, m->shard);
	struct quota_credit *credits = g_new(struct quota_credit, m->n_credits);
	uint32_t i;

	for (i = 0; i < m->n_credits; i++) {
		credits[i].customer = m->credits[i].customer;
		credits[i].granted = m->credits[i].granted;
		credits[i].wait_ms = m->credits[i].wait_ms;
	}
	if (m->lent && home != NULL)
		quota_home_lent(home, credits, m->n_credits, now(q));
	if (!m->lent && m->sequence == s->sequence &&
	    s->silent_ms != DEADLINE_NEVER &&
	    addr_key(&s->home.address) == addr_key(&p->address)) {
		quota_choice_answered(&s->choice, s->home.id);
		grant_credits(q, s, credits, m->n_credits);
	}
	g_free(credits);
}

bool
entry_quota_grant(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct entry_quota *q = p->entry->quota;
	struct msg_quota_grant m;
	bool valid;

	if (msg_quota_grant_decode(body, len, &m) != STATUS_OK)
		return false;
	valid = m.shard < QUOTA_SHARDS;
	if (valid && q != NULL) {
		entry_peer_reported(p);
		apply_grant(q, p, &m);
		schedule(q);
	}
	msg_quota_grant_clear(&m);
	return valid;
}

void
entry_quota_peer_lost(const struct entry_peer *p)
{
	struct entry_quota *q = p->entry->quota;
	struct shard *s;
	uint32_t i;

	if (q == NULL || !q->active)
		return;
	for (i = 0; i < QUOTA_SHARDS; i++) {
		s = &q->shards[i];
		if (s->reported && s->silent_ms != DEADLINE_NEVER &&
		    addr_key(&s->home.address) == addr_key(&p->address))
			s->silent_ms = now(q);
	}
	schedule(q);
}

/* Requests */

enum quota_verdict
entry_quota_take(struct entry_quota *q, const struct customer *customer,
    uint64_t *retry_after_ms)
{
	struct quota_limit limit;
	enum quota_verdict verdict;

	if (q == NULL || customer == NULL || customer->rate_milli_per_s == 0)
		return QUOTA_ADMIT;
	if (!q->active)
		entry_quota_update(q);
	limit.customer = customer->id;
	limit.rate_milli_per_s = customer->rate_milli_per_s;
	limit.burst_milli = customer->burst_milli;
	verdict = quota_allowance_take(shard_of(q, customer->id)->allowance,
	    &limit, now(q), retry_after_ms);
	schedule(q);
	return verdict;
}

void
entry_quota_refuse(struct entry *e, struct call_exchange *x,
    const struct customer *customer, uint64_t retry_after_ms)
{
	const struct quota_roster *r = guard_quota_roster(e->quota->homes);

	/* Homes then grant less than the limit. */
	if (!quota_roster_settled(r)) {
		refuse_unchecked(e, x, retry_after_ms);
		return;
	}
	entry_quota_log_refused(e->quota->log, customer, loop_now_ms(e->loop));
	quota_usage_limited(e->usage, customer->id, loop_now_ms(e->loop));
	metric_add(&metric_quota_refused, 1);
	call_metrics_refusal(REFUSAL_CUSTOMER_LIMIT);
	entry_log_limited(
	    e, call_exchange_request(x), customer, retry_after_ms);
	entry_answer_limited(x, retry_after_ms);
}

void
entry_quota_park(struct entry_call *c)
{
	struct entry_quota *q = c->entry->quota;
	uint64_t wait_ms = QUOTA_PARK_MS;

	if (c->target_ms != 0)
		wait_ms =
		    CLAMP(clock_left_ms(c->target_ms, now(q)) / PARK_DIVISOR,
			PARK_MIN_MS, QUOTA_PARK_MS);
	metric_add(&metric_quota_parked, 1);
	c->park_until_ms = now(q) + wait_ms;
	c->park_link.data = c;
	c->parked = true;
	g_queue_push_tail_link(&q->waiting, &c->park_link);
	schedule(q);
}

void
entry_quota_ended(struct entry_call *c)
{
	struct entry_quota *q = c->entry->quota;
	struct quota_allowance *a;

	if (!c->parked && !c->credited)
		return;
	a = shard_of(q, c->customer->id)->allowance;
	if (c->parked) {
		unpark(q, c);
		quota_allowance_leave(a, c->customer->id);
		return;
	}
	c->credited = false;
	if (!call_has_not_run(c->machine))
		return;
	metric_add(&metric_quota_returned, 1);
	quota_allowance_give_back(a, c->customer->id, now(q));
}

/* Life cycle */

static bool
has_limits(const struct customer_table *t)
{
	uint32_t i, n = customer_table_size(t);

	for (i = 0; i < n; i++)
		if (customer_table_at(t, i)->rate_milli_per_s != 0)
			return true;
	return false;
}

void
entry_quota_update(struct entry_quota *q)
{
	const struct snapshot *s;

	if (q == NULL)
		return;
	s = q->entry->snapshot;
	q->active = s != NULL && has_limits(s->customers);
	if (q->active) {
		rank_hosts(q);
		schedule(q);
	} else {
		loop_timer_stop(&q->timer);
	}
}

struct entry_quota *
entry_quota_new(struct entry *e, struct guard_quota *homes)
{
	struct entry_quota *q = g_new0(struct entry_quota, 1);
	uint32_t i;

	q->entry = e;
	q->homes = homes;
	q->own_id = guard_quota_id(e->settings->host);
	q->log = entry_quota_log_new();
	g_queue_init(&q->waiting);
	loop_timer_init(&q->timer, e->loop, on_timer, q);
	for (i = 0; i < QUOTA_SHARDS; i++) {
		q->shards[i].allowance = quota_allowance_new(e->seed);
		q->shards[i].silent_ms = DEADLINE_NEVER;
	}
	return q;
}

void
entry_quota_free(struct entry_quota *q)
{
	uint32_t i;

	if (q == NULL)
		return;
	loop_timer_stop(&q->timer);
	for (i = 0; i < QUOTA_SHARDS; i++)
		quota_allowance_free(q->shards[i].allowance);
	if (q->ranks != NULL)
		g_array_free(q->ranks, TRUE);
	entry_quota_log_free(q->log);
	g_free(q);
}
