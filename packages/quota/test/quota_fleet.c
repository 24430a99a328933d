/*
 * A fleet in virtual time.
 */
#include "quota_fleet.h"

#include <math.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "quota/allowance.h"
#include "quota/bucket.h"
#include "quota/choice.h"
#include "quota/home.h"
#include "quota/roster.h"

/* The bound that customers are promised. */
#define WINDOW_MS 5000
#define OVERAGE 1.1
#define SLACK 20

#define MILLI 1000
#define NEAR_MS 2
#define FAR_MS 8
#define BORROW_MS 100
#define COMPARE_MS 120
#define WAITING_MAX 4096
#define HEAD_BYTES 12
#define RECORD_BYTES 16

struct mail {
	uint64_t due_ms;
	uint32_t from, to;
	bool reply, loan;
	uint32_t sequence;
	uint32_t n;
	struct quota_demand demands[FLEET_CUSTOMERS];
	struct quota_credit credits[FLEET_CUSTOMERS];
};

struct fleet_mail {
	GQueue queue;
};

struct waiting {
	uint32_t customer;
	uint64_t until_ms;
};

struct fleet_host {
	struct quota_allowance *allowance;
	struct quota_home *home;
	struct quota_choice choice;
	uint32_t sequence;
	uint32_t reported_to;
	uint64_t silent_ms;
	uint64_t borrow_ms;
	uint64_t compare_ms;
	uint64_t stopped_until_ms;
	uint64_t suspended_until_ms;
	struct quota_roster *roster;
	bool *lists;
	bool *has_address;
	bool joined;
	struct waiting waiting[WAITING_MAX];
	uint32_t n_waiting;
};

static double
draw(struct fleet *f)
{
	f->random++;
	return (double)(hash64(&f->random, sizeof(f->random), 1) >> 11) /
	    (double)(UINT64_C(1) << 53);
}

static uint32_t
centre(const struct fleet *f, uint32_t h)
{
	return h / f->load.entries;
}

static bool
linked(const struct fleet *f, uint32_t a, uint32_t b, uint64_t ms)
{
	return f->load.linked == NULL || f->load.linked(a, b, ms);
}

static bool
is_up(const struct fleet *f, uint32_t h, uint64_t ms)
{
	return f->hosts[h].suspended_until_ms <= ms &&
	    f->hosts[h].stopped_until_ms <= ms;
}

/* Lists of hosts */

static void
list_hosts(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];
	uint32_t e, first = centre(f, h) * f->load.entries;

	quota_roster_begin(host->roster);
	for (e = 0; e < f->load.entries; e++)
		if (host->lists[e])
			quota_roster_add(
			    host->roster, first + e + 1, false, ms);
}

static void
learn_first(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];
	uint32_t e, n = 0;

	for (e = 0; e < f->load.entries; e++)
		host->lists[e] = f->load.seeds == 0;
	host->lists[h % f->load.entries] = true;
	while (n < MIN(f->load.seeds, f->load.entries - 1)) {
		e = (uint32_t)(draw(f) * f->load.entries);
		if (host->has_address[e] || host->lists[e])
			continue;
		host->has_address[e] = true;
		n++;
	}
	host->joined = f->load.seeds == 0;
	list_hosts(f, h, ms);
}

/* A comparison gives each side what the other knows. */
static void
compare(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h], *peer;
	uint32_t e, other, first = centre(f, h) * f->load.entries;

	host->compare_ms =
	    ms + COMPARE_MS / 2 + (uint64_t)(draw(f) * COMPARE_MS);
	do {
		other = (uint32_t)(draw(f) * f->load.entries);
	} while (!host->lists[other] && !host->has_address[other]);
	peer = &f->hosts[first + other];
	if (peer == host || !is_up(f, first + other, ms) ||
	    !linked(f, h, first + other, ms))
		return;
	host->joined = peer->joined = true;
	for (e = 0; e < f->load.entries; e++)
		host->lists[e] = peer->lists[e] |= host->lists[e];
	list_hosts(f, h, ms);
	list_hosts(f, first + other, ms);
}

/* Homes that know all count all at once. */
static void
count_entries(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];
	uint32_t n = quota_roster_count(host->roster, ms);

	if (f->load.seeds == 0)
		quota_home_set_entries(host->home, f->load.entries, ms);
	else if (quota_roster_settled(host->roster))
		quota_home_set_entries(host->home, n, ms);
	else
		quota_home_estimate_entries(host->home, n, ms);
}

static void
host_clear(struct fleet_host *host)
{
	quota_allowance_free(host->allowance);
	quota_home_free(host->home);
	quota_roster_free(host->roster);
	g_free(host->lists);
	g_free(host->has_address);
}

static void
host_start(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];

	host_clear(host);
	memset(host, 0, sizeof(*host));
	host->allowance = quota_allowance_new(h + 1);
	host->home = quota_home_new(f->load.data_centres, ms);
	host->roster = quota_roster_new();
	host->lists = g_new0(bool, f->load.entries);
	host->has_address = g_new0(bool, f->load.entries);
	host->silent_ms = DEADLINE_NEVER;
	host->sequence = (uint32_t)ms;
	learn_first(f, h, ms);
	count_entries(f, h, ms);
}

void
fleet_kill(struct fleet *f, uint32_t h, uint64_t ms)
{
	host_start(f, h, ms);
}

void
fleet_stop(struct fleet *f, uint32_t h, uint64_t until_ms)
{
	f->hosts[h].stopped_until_ms = until_ms;
}

void
fleet_suspend(struct fleet *f, uint32_t h, uint64_t until_ms)
{
	f->hosts[h].suspended_until_ms = until_ms;
}

static void
post(struct fleet *f, struct mail *m, uint64_t ms)
{
	bool near = centre(f, m->from) == centre(f, m->to);
	uint32_t lost_milli =
	    f->load.lost_milli + (near ? 0 : f->load.lost_between_milli);

	f->messages++;
	f->bytes += HEAD_BYTES + (uint64_t)m->n * RECORD_BYTES;
	if (!linked(f, m->from, m->to, ms) || draw(f) * MILLI < lost_milli) {
		g_free(m);
		return;
	}
	m->due_ms = ms + (near ? NEAR_MS : FAR_MS);
	g_queue_push_tail(&f->mail->queue, m);
}

static void
decide(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];
	uint32_t i, n = 0, c;
	uint64_t retry_ms;

	for (i = 0; i < host->n_waiting; i++) {
		c = host->waiting[i].customer;
		switch (quota_allowance_claim(host->allowance,
		    f->load.limits[c].customer, ms, &retry_ms)) {
		case QUOTA_ADMIT:
			f->admitted[c][ms]++;
			continue;
		case QUOTA_REFUSE:
			f->refused[c][ms]++;
			continue;
		case QUOTA_WAIT:
			break;
		}
		if (ms >= host->waiting[i].until_ms) {
			quota_allowance_leave(
			    host->allowance, f->load.limits[c].customer);
			f->unanswered[c][ms]++;
			continue;
		}
		host->waiting[n++] = host->waiting[i];
	}
	host->n_waiting = n;
}

static void
serve(struct fleet *f, struct mail *m, uint64_t ms)
{
	struct quota_limit limits[FLEET_CUSTOMERS];
	struct quota_source from = {.id = m->from + 1, .borrower = m->loan};
	uint32_t i, j;

	for (i = 0; i < m->n; i++)
		for (j = 0; j < f->load.n_customers; j++)
			if (f->load.limits[j].customer ==
			    m->demands[i].customer)
				limits[i] = f->load.limits[j];
	if (!m->loan)
		quota_roster_heard(f->hosts[m->to].roster, from.id, ms);
	quota_home_report(f->hosts[m->to].home, &from, m->demands, limits, m->n,
	    m->credits, ms);
	m->reply = true;
	j = m->from;
	m->from = m->to;
	m->to = j;
}

static void
receive(struct fleet *f, struct mail *m, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[m->to];

	if (!m->reply) {
		serve(f, m, ms);
		post(f, m, ms);
		return;
	}
	if (m->loan) {
		quota_home_lent(host->home, m->credits, m->n, ms);
	} else if (m->sequence == host->sequence &&
	    host->silent_ms != DEADLINE_NEVER) {
		host->silent_ms = DEADLINE_NEVER;
		quota_choice_answered(&host->choice, m->from + 1);
		quota_allowance_granted(host->allowance, m->credits, m->n, ms);
		decide(f, m->to, ms);
	}
	g_free(m);
}

/* Hosts rank by their number. */
static uint32_t
choose(const struct fleet *f, uint32_t h, uint64_t ms)
{
	struct quota_candidate candidates[QUOTA_CANDIDATES];
	uint32_t e, n = 0, chosen, first = centre(f, h) * f->load.entries;

	for (e = 0; e < f->load.entries && n < QUOTA_CANDIDATES; e++) {
		if (!f->hosts[h].lists[e])
			continue;
		candidates[n].id = first + e + 1;
		candidates[n].ready =
		    linked(f, h, first + e, ms) && is_up(f, first + e, ms);
		n++;
	}
	chosen = quota_choice_pick(&f->hosts[h].choice, candidates, n, ms);
	return chosen == QUOTA_CHOICE_OWN ? h
					  : (uint32_t)candidates[chosen].id - 1;
}

static void
report(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];
	struct mail *m = g_new0(struct mail, 1);

	m->from = h;
	m->to = choose(f, h, ms);
	m->sequence = ++host->sequence;
	m->n = quota_allowance_report(
	    host->allowance, m->demands, FLEET_CUSTOMERS, ms);
	host->reported_to = m->to;
	host->silent_ms = ms + QUOTA_REPLY_MS;
	if (m->to != h) {
		post(f, m, ms);
		return;
	}
	serve(f, m, ms);
	receive(f, m, ms);
}

static void
borrow(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];
	uint32_t d, i, lenders = MAX(f->load.data_centres - 1, 1);
	struct mail m, *sent;

	host->borrow_ms = ms + BORROW_MS;
	count_entries(f, h, ms);
	memset(&m, 0, sizeof(m));
	m.n = quota_home_borrow(host->home, m.demands, FLEET_CUSTOMERS, ms);
	if (m.n == 0)
		return;
	for (i = 0; i < m.n; i++)
		m.demands[i].wanted =
		    (m.demands[i].wanted + lenders - 1) / lenders;
	for (d = 0; d < f->load.data_centres; d++) {
		if (d == centre(f, h))
			continue;
		sent = g_memdup2(&m, sizeof(m));
		sent->from = h;
		sent->to = d * f->load.entries;
		sent->loan = true;
		post(f, sent, ms);
	}
}

static void
arrive(struct fleet *f, uint32_t h, uint32_t c, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];
	struct waiting *w;
	uint64_t retry_ms;

	f->arrived[c][ms]++;
	switch (quota_allowance_take(
	    host->allowance, &f->load.limits[c], ms, &retry_ms)) {
	case QUOTA_ADMIT:
		f->admitted[c][ms]++;
		return;
	case QUOTA_REFUSE:
		f->refused[c][ms]++;
		return;
	case QUOTA_WAIT:
		break;
	}
	ck_assert_uint_lt(host->n_waiting, WAITING_MAX);
	w = &host->waiting[host->n_waiting++];
	w->customer = c;
	w->until_ms = ms + QUOTA_PARK_MS;
}

/* Arrivals are independent of each other. */
static void
arrivals(struct fleet *f, uint32_t h, uint64_t ms)
{
	double expected, p;
	uint32_t c;

	for (c = 0; c < f->load.n_customers; c++) {
		expected =
		    f->load.per_s(c, centre(f, h), h % f->load.entries, ms) /
		    MILLI;
		p = draw(f);
		while (expected > 0 && p > exp(-expected)) {
			arrive(f, h, c, ms);
			p *= draw(f);
		}
	}
}

static void
run_host(struct fleet *f, uint32_t h, uint64_t ms)
{
	struct fleet_host *host = &f->hosts[h];

	if (host->joined)
		arrivals(f, h, ms);
	if (ms >= host->silent_ms) {
		host->silent_ms = DEADLINE_NEVER;
		quota_allowance_lost(host->allowance);
		(void)quota_choice_missed(
		    &host->choice, host->reported_to + 1, ms);
	}
	if (ms >= quota_allowance_due_ms(host->allowance))
		report(f, h, ms);
	if (f->load.seeds > 0 && ms >= host->compare_ms)
		compare(f, h, ms);
	if (ms >= host->borrow_ms)
		borrow(f, h, ms);
	decide(f, h, ms);
}

static void
deliver(struct fleet *f, uint64_t ms)
{
	GList *l, *next;
	struct mail *m;

	for (l = f->mail->queue.head; l != NULL; l = next) {
		next = l->next;
		m = l->data;
		if (m->due_ms > ms || f->hosts[m->to].suspended_until_ms > ms)
			continue;
		g_queue_delete_link(&f->mail->queue, l);
		if (f->hosts[m->to].stopped_until_ms > ms) {
			g_free(m);
			continue;
		}
		receive(f, m, ms);
	}
}

struct fleet *
fleet_play(const struct fleet_load *load, uint64_t until_ms)
{
	struct fleet *f = g_new0(struct fleet, 1);
	uint64_t ms;
	uint32_t h, c;

	ck_assert_uint_le(until_ms, FLEET_MS);
	f->load = *load;
	f->random = load->seed;
	f->n_hosts = load->data_centres * load->entries;
	f->hosts = g_new0(struct fleet_host, f->n_hosts);
	f->mail = g_new0(struct fleet_mail, 1);
	for (c = 0; c < load->n_customers; c++) {
		f->arrived[c] = g_new0(uint32_t, FLEET_MS);
		f->admitted[c] = g_new0(uint32_t, FLEET_MS);
		f->refused[c] = g_new0(uint32_t, FLEET_MS);
		f->unanswered[c] = g_new0(uint32_t, FLEET_MS);
	}
	for (h = 0; h < f->n_hosts; h++)
		host_start(f, h, 0);
	for (ms = 0; ms < until_ms; ms++) {
		if (load->step != NULL)
			load->step(f, ms);
		deliver(f, ms);
		for (h = 0; h < f->n_hosts; h++) {
			if (f->hosts[h].stopped_until_ms == ms && ms > 0)
				host_start(f, h, ms);
			if (is_up(f, h, ms))
				run_host(f, h, ms);
		}
	}
	return f;
}

void
fleet_free(struct fleet *f)
{
	uint32_t h, c;

	for (h = 0; h < f->n_hosts; h++)
		host_clear(&f->hosts[h]);
	for (c = 0; c < f->load.n_customers; c++) {
		g_free(f->arrived[c]);
		g_free(f->admitted[c]);
		g_free(f->refused[c]);
		g_free(f->unanswered[c]);
	}
	g_queue_clear_full(&f->mail->queue, g_free);
	g_free(f->mail);
	g_free(f->hosts);
	g_free(f);
}

uint64_t
fleet_sum_refused_by_one_bucket(const struct fleet *f, uint32_t c,
    uint64_t empty_ms, uint64_t from_ms, uint64_t to_ms)
{
	const struct quota_limit *l = &f->load.limits[c];
	struct quota_bucket b;
	uint64_t ms, refused = 0;
	uint32_t taken;

	quota_bucket_init(&b, l->rate_milli_per_s, l->burst_milli, empty_ms);
	for (ms = empty_ms; ms < to_ms; ms++) {
		taken = quota_bucket_take(&b, f->arrived[c][ms], ms);
		if (ms >= from_ms)
			refused += f->arrived[c][ms] - taken;
	}
	return refused;
}

uint64_t
fleet_sum(const uint32_t *counts, uint64_t from_ms, uint64_t to_ms)
{
	uint64_t ms, sum = 0;

	for (ms = from_ms; ms < to_ms; ms++)
		sum += counts[ms];
	return sum;
}

double
fleet_allowed(const struct fleet *f, uint32_t c)
{
	const struct quota_limit *l = &f->load.limits[c];
	double limit = (double)l->rate_milli_per_s * WINDOW_MS / MILLI +
	    (double)l->burst_milli;

	return limit / MILLI * OVERAGE + SLACK;
}

static uint64_t
most_in_window(const struct fleet *f, uint32_t c, uint64_t *at_ms)
{
	uint64_t ms, sum = 0, greatest = 0;

	for (ms = 0; ms < FLEET_MS; ms++) {
		sum += f->admitted[c][ms];
		if (ms >= WINDOW_MS)
			sum -= f->admitted[c][ms - WINDOW_MS];
		if (sum <= greatest)
			continue;
		greatest = sum;
		*at_ms = ms;
	}
	return greatest;
}

uint64_t
fleet_most(const struct fleet *f, uint32_t c)
{
	uint64_t at_ms = 0;

	return most_in_window(f, c, &at_ms);
}

static void
check_customer(const struct fleet *f, uint32_t c)
{
	uint64_t at_ms = 0, most = most_in_window(f, c, &at_ms);

	ck_assert_msg((double)most <= fleet_allowed(f, c),
	    "customer %u: %u requests in the window that ends at %u ms, %.0f "
	    "are allowed",
	    c, (uint32_t)most, (uint32_t)at_ms, fleet_allowed(f, c));
}

void
fleet_check_sum(const struct fleet *f)
{
	uint32_t c;

	for (c = 0; c < f->load.n_customers; c++)
		check_customer(f, c);
}
