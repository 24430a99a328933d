/*
 * Discrete-event simulation of a fleet of nodes in virtual time.
 */
#include "fleet.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define FIRST_IP UINT32_C(0x0a000001)
#define PORT 7000
/* End of the simulation; events scheduled at or after it are dropped. */
#define HORIZON_MS 120000
#define FORWARD_DELAY_MS 2
#define NAME_BYTES 16
#define PERCENT 100

enum event_kind {
	EVENT_TICK = 0,
	EVENT_DATAGRAM,
	EVENT_CRASH,
	EVENT_CRASH_DETECTED,
};

/**
 * struct event - scheduled event
 * @kind: kind of event
 * @to: number of the host where it takes place
 * @from: EVENT_DATAGRAM: number of the sending host
 * @type: EVENT_DATAGRAM: message type
 * @body: EVENT_DATAGRAM: message body
 * @incarnation: incarnation of the target's node; except for EVENT_CRASH, the
 *	event is dropped if the node has been restarted since
 * @crash: EVENT_CRASH, EVENT_CRASH_DETECTED: requests in flight at the crash
 */
struct event {
	enum event_kind kind;
	uint32_t to;
	uint32_t from;
	uint8_t type;
	GByteArray *body;
	uint32_t incarnation;
	struct crash *crash;
};

static void
event_free(struct event *e)
{
	if (e->body != NULL)
		g_byte_array_unref(e->body);
	g_free(e->crash);
	g_free(e);
}

static struct event *
event_new(enum event_kind kind, const struct fleet_node *to)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->to = to->number;
	e->incarnation = to->incarnation;
	return e;
}

static void
schedule_event(struct fleet *f, uint64_t at_ms, struct event *e)
{
	GPtrArray *due;

	at_ms = MAX(at_ms, f->now_ms + 1);
	if (at_ms >= f->schedule->len) {
		event_free(e);
		return;
	}
	due = g_ptr_array_index(f->schedule, at_ms);
	if (due == NULL) {
		due = g_ptr_array_new();
		f->schedule->pdata[at_ms] = due;
	}
	g_ptr_array_add(due, e);
}

static uint32_t
random_below(struct fleet *f, uint32_t n)
{
	return (uint32_t)g_rand_int_range(f->rand, 0, (gint32)n);
}

static bool
random_peer(struct quarantine_peers *p, struct net_addr *out)
{
	struct fleet_node *n = (struct fleet_node *)p;
	uint32_t other = random_below(n->fleet, n->fleet->n - 1);

	other += other >= n->number;
	out->ip = FIRST_IP + other;
	out->port = PORT;
	return true;
}

static void
node_init(struct fleet_node *n)
{
	char name[NAME_BYTES];

	(void)g_snprintf(name, sizeof(name), "h%u", n->number);
	n->peers.random = random_peer;
	n->out = outbox_new();
	n->tick_ms = 0;
	n->news =
	    quarantine_news_new(name, &n->peers, n->out, n->fleet->now_ms);
	n->quarantine =
	    quarantine_new(n->number + (uint64_t)n->incarnation * n->fleet->n,
		n->fleet->now_ms);
	n->incarnation++;
}

static void
node_clear(struct fleet_node *n)
{
	quarantine_news_free(n->news);
	quarantine_free(n->quarantine);
	outbox_free(n->out);
}

struct fleet *
fleet_new(uint32_t n, uint32_t upstreams, uint32_t seed)
{
	struct fleet *f = g_new0(struct fleet, 1);
	uint32_t i;

	f->n = n;
	f->upstreams = upstreams;
	f->delay_ms = 5;
	f->detect_delay_ms = FLEET_DETECT_DELAY_MS;
	f->ranks_suspects = true;
	f->rand = g_rand_new_with_seed(seed);
	f->runs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	f->schedule = g_ptr_array_new();
	g_ptr_array_set_size(f->schedule, HORIZON_MS);
	f->nodes = g_new0(struct fleet_node, n);
	for (i = 0; i < n; i++) {
		f->nodes[i].fleet = f;
		f->nodes[i].number = i;
		node_init(&f->nodes[i]);
	}
	return f;
}

void
fleet_free(struct fleet *f)
{
	GPtrArray *due;
	guint i, j;

	for (i = 0; i < f->schedule->len; i++) {
		due = g_ptr_array_index(f->schedule, i);
		if (due == NULL)
			continue;
		for (j = 0; j < due->len; j++)
			event_free(due->pdata[j]);
		g_ptr_array_unref(due);
	}
	g_ptr_array_unref(f->schedule);
	for (i = 0; i < f->n; i++)
		node_clear(&f->nodes[i]);
	g_free(f->nodes);
	g_array_unref(f->runs);
	g_rand_free(f->rand);
	g_free(f);
}

/* Conversion between quarantine events and gossip records, as in the daemons */

static uint64_t
next_id(struct fleet_node *n)
{
	return ((uint64_t)n->number + 1) << 32 |
	    (uint64_t)n->incarnation << 24 | ++n->last_id;
}

static void
add_fingerprint(struct quarantine_item *item, const struct fingerprint *f)
{
	item->prints[item->n_prints].content = f->content;
	item->prints[item->n_prints++].caller = f->caller;
}

static void
publish_event(struct fleet_node *n, const struct quarantine_event *e)
{
	static const enum quarantine_kind kinds[] = {
	    QUARANTINE_CRASH, QUARANTINE_HELD, QUARANTINE_ANSWERED, 0};
	struct quarantine_item item = {.kind = kinds[e->kind]};
	uint32_t i;

	if (e->kind == QUARANTINE_EVENT_SUSPENDED ||
	    (e->kind == QUARANTINE_EVENT_QUARANTINED && !e->entry.own))
		return;
	if (e->kind == QUARANTINE_EVENT_CRASHED) {
		item.id = e->crash.id;
		item.at_ms = e->crash.at_ms;
		for (i = 0; i < e->crash.n_runs; i++)
			add_fingerprint(&item, &e->crash.runs[i]);
	} else {
		item.id = next_id(n);
		item.at_ms = e->entry.since_ms;
		add_fingerprint(&item, &e->entry.print);
	}
	quarantine_news_add(n->news, &item, n->fleet->now_ms);
}

static void
apply_record(struct fleet_node *n, const struct quarantine_item *item)
{
	struct crash c = {.id = item->id, .at_ms = item->at_ms};
	struct fingerprint f;

	if (item->kind == QUARANTINE_CRASH) {
		for (; c.n_runs < item->n_prints; c.n_runs++) {
			c.runs[c.n_runs].content =
			    item->prints[c.n_runs].content;
			c.runs[c.n_runs].caller = item->prints[c.n_runs].caller;
		}
		quarantine_add_peer_crash(n->quarantine, &c, n->fleet->now_ms);
		return;
	}
	f.content = item->prints[0].content;
	f.caller = item->prints[0].caller;
	if (item->kind == QUARANTINE_HELD)
		(void)quarantine_add(n->quarantine, &f, item->at_ms);
	else
		(void)quarantine_exonerate(n->quarantine, &f, item->at_ms);
}

/* Events */

static void
send_datagram(struct fleet_node *n, const struct outbox_item *item)
{
	struct fleet *f = n->fleet;
	struct fleet_node *to = &f->nodes[item->to.ip - FIRST_IP];
	struct event *e;

	if (to->partitioned != n->partitioned ||
	    random_below(f, PERCENT) < f->loss_percent)
		return;
	e = event_new(EVENT_DATAGRAM, to);
	e->from = n->number;
	e->type = (uint8_t)item->type;
	e->body = g_byte_array_ref(item->body);
	schedule_event(f,
	    f->now_ms + n->extra_delay_ms + to->extra_delay_ms + 1 +
		random_below(f, f->delay_ms),
	    e);
}

static void
node_process(struct fleet_node *n)
{
	struct fleet *f = n->fleet;
	struct outbox_item *out;
	struct quarantine_item item;
	struct quarantine_event qe;
	uint64_t next_ms;

	quarantine_news_tick(n->news, f->now_ms);
	while (quarantine_news_pop(n->news, &item))
		apply_record(n, &item);
	quarantine_tick(n->quarantine, f->now_ms);
	while (quarantine_pop(n->quarantine, &qe))
		publish_event(n, &qe);
	quarantine_news_tick(n->news, f->now_ms);
	while ((out = outbox_pop(n->out)) != NULL) {
		send_datagram(n, out);
		outbox_item_free(out);
	}
	next_ms = MIN(quarantine_wake_ms(n->quarantine),
	    quarantine_news_next_ms(n->news));
	next_ms = MAX(next_ms, f->now_ms + 1);
	if (next_ms >= n->tick_ms && n->tick_ms > f->now_ms)
		return;
	n->tick_ms = next_ms;
	if (next_ms != DEADLINE_NEVER)
		schedule_event(f, next_ms, event_new(EVENT_TICK, n));
}

static void
on_upstream_crash(struct fleet_node *n, struct event *e)
{
	struct event *detected;

	if (n->up_ms > n->fleet->now_ms)
		return;
	n->up_ms = n->fleet->now_ms + FLEET_RESTART_DELAY_MS;
	detected = event_new(EVENT_CRASH_DETECTED, n);
	detected->crash = e->crash;
	e->crash = NULL;
	schedule_event(n->fleet,
	    n->fleet->now_ms + n->fleet->detect_delay_ms + n->extra_delay_ms,
	    detected);
}

static void
handle_event(struct fleet *f, struct event *e)
{
	struct fleet_node *n = &f->nodes[e->to];
	struct net_addr from = {FIRST_IP + e->from, PORT};

	if (e->kind == EVENT_CRASH) {
		on_upstream_crash(n, e);
		return;
	}
	if (e->incarnation != n->incarnation ||
	    (e->kind == EVENT_TICK && f->now_ms != n->tick_ms))
		return;
	if (e->kind == EVENT_DATAGRAM)
		quarantine_news_receive(n->news, f->now_ms, &from, e->type,
		    e->body->data, e->body->len);
	if (e->kind == EVENT_CRASH_DETECTED) {
		e->crash->id = next_id(n);
		e->crash->at_ms = f->now_ms;
		quarantine_add_own_crash(n->quarantine, e->crash, f->now_ms);
	}
	node_process(n);
}

void
fleet_run(struct fleet *f, uint64_t until_ms)
{
	GPtrArray *due;
	guint i;

	if (f->now_ms == 0)
		for (i = 0; i < f->n; i++)
			node_process(&f->nodes[i]);
	for (; f->now_ms < until_ms; f->now_ms++) {
		due = g_ptr_array_index(f->schedule, f->now_ms);
		if (due == NULL)
			continue;
		for (i = 0; i < due->len; i++) {
			handle_event(f, due->pdata[i]);
			event_free(due->pdata[i]);
		}
		g_ptr_array_unref(due);
		f->schedule->pdata[f->now_ms] = NULL;
	}
}

static bool
is_quarantined(struct fleet_node *n, const struct fingerprint *print)
{
	return quarantine_check(n->quarantine, print) != NULL;
}

static void
schedule_crash(struct fleet *f, uint32_t host, uint64_t at_ms,
    const struct fingerprint *runs, uint32_t n)
{
	struct event *e = event_new(EVENT_CRASH, &f->nodes[host]);

	e->crash = g_new0(struct crash, 1);
	e->crash->n_runs = n;
	if (n > 0)
		memcpy(e->crash->runs, runs, n * sizeof(runs[0]));
	schedule_event(f, at_ms, e);
}

void
fleet_crash(
    struct fleet *f, uint32_t host, const struct fingerprint *runs, uint32_t n)
{
	schedule_crash(f, host, f->now_ms + 1, runs, n);
}

static enum suspicion
suspicion_at(struct fleet_node *n, const struct fingerprint *print)
{
	if (!n->fleet->ranks_suspects)
		return SUSPICION_NONE;
	return quarantine_suspicion(n->quarantine, print, n->fleet->now_ms);
}

/* Returns the running upstream with the highest rendezvous hash (HRW). */
static uint32_t
highest_ranked(struct fleet *f, const struct fingerprint *print)
{
	uint64_t best = 0, rank;
	uint32_t i, host = 0;

	for (i = 0; i < f->upstreams; i++) {
		rank = hash64(&i, sizeof(i), print->content);
		if (f->nodes[i].up_ms > f->now_ms || rank <= best)
			continue;
		best = rank;
		host = i;
	}
	return host;
}

static bool
rejects(struct fleet_node *n, const struct fingerprint *print)
{
	return is_quarantined(n, print) ||
	    suspicion_at(n, print) == SUSPICION_UNDECIDED;
}

void
fleet_send_request(
    struct fleet *f, uint32_t entry, const struct fingerprint *print)
{
	uint32_t host = random_below(f, f->upstreams);
	struct fingerprint all[FLEET_CONCURRENT_MAX + 1];
	struct fleet_node *n;

	if (suspicion_at(&f->nodes[entry], print) == SUSPICION_SUSPECT)
		host = highest_ranked(f, print);
	n = &f->nodes[host];
	if (rejects(&f->nodes[entry], print) || rejects(n, print)) {
		f->rejected++;
		return;
	}
	if (n->up_ms > f->now_ms)
		return;
	g_array_append_val(f->runs, f->now_ms);
	all[0] = *print;
	memcpy(all + 1, f->concurrent, f->n_concurrent * sizeof(all[0]));
	schedule_crash(f, host,
	    f->now_ms + FORWARD_DELAY_MS + FLEET_CRASH_DELAY_MS, all,
	    f->n_concurrent + 1);
}

void
fleet_restart(struct fleet *f, uint32_t host)
{
	node_clear(&f->nodes[host]);
	node_init(&f->nodes[host]);
	node_process(&f->nodes[host]);
}

uint32_t
fleet_count_quarantining(const struct fleet *f, const struct fingerprint *print)
{
	uint32_t i, n = 0;

	for (i = 0; i < f->n; i++)
		n += is_quarantined(&f->nodes[i], print);
	return n;
}

uint32_t
fleet_count_runs_after(const struct fleet *f, uint64_t from_ms)
{
	uint32_t i, n = 0;

	for (i = 0; i < f->runs->len; i++)
		n += g_array_index(f->runs, uint64_t, i) > from_ms;
	return n;
}
