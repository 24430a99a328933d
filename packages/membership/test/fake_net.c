/*
 * Test driver: see fake_net.h.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"

#include "checker.h"
#include "fake_net.h"

/* Interval of the checker. */
#define CHECK_MS 500

/* Time until a dial to a dead host fails. */
#define REFUSED_MS 2

/* Most deliveries in the socket buffers of a frozen node. */
#define HELD_MAX 256

enum event_kind { EVENT_DELIVER, EVENT_TICK, EVENT_UNREACHABLE };

struct event {
	uint64_t at_ms;
	uint64_t order;
	enum event_kind kind;
	uint32_t to;
	uint32_t sender;
	uint64_t conn;
	struct net_addr from;
	uint8_t type;
	GByteArray *body;
};

static void
event_free(void *p)
{
	struct event *e = p;

	if (e->body != NULL)
		g_byte_array_unref(e->body);
	g_free(e);
}

static int
event_order(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a, *y = b;

	(void)ctx;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static struct event *
event_add(struct fake_net *f, enum event_kind kind, uint32_t to, uint64_t at_ms)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->to = to;
	e->at_ms = at_ms;
	e->order = f->order++;
	g_sequence_insert_sorted(f->events, e, event_order, NULL);
	return e;
}

struct fake_net *
fake_net_new(uint32_t seed)
{
	struct fake_net *f = g_new0(struct fake_net, 1);

	f->now_ms = 1000;
	f->rand = g_rand_new_with_seed(seed);
	f->events = g_sequence_new(event_free);
	f->delay_ms = 3;
	f->checker = checker_new();
	f->cut = g_malloc0(sizeof(*f->cut) * FAKE_NODES_MAX);
	return f;
}

void
fake_net_free(struct fake_net *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		fake_kill(f, i);
	if (f->checker != NULL)
		checker_free(f->checker);
	g_sequence_free(f->events);
	g_rand_free(f->rand);
	g_free(f->cut);
	g_free(f);
}

struct membership_settings
fake_settings(const struct fake_net *f, uint32_t i, uint32_t dc)
{
	struct membership_settings s;

	membership_settings_init(&s);
	(void)snprintf(s.host, sizeof(s.host), "h%u", i);
	(void)snprintf(s.data_centre, sizeof(s.data_centre), "d%u", dc);
	s.address.ip = FAKE_IP + i;
	s.address.port = FAKE_PORT;
	s.call_port = FAKE_CALL_PORT;
	s.seeds = f->seeds;
	s.n_seeds = f->n_seeds;
	return s;
}

static int
chance(struct fake_net *f, uint32_t percent)
{
	return percent != 0 &&
	    (uint32_t)g_rand_int_range(f->rand, 0, 100) < percent;
}

/* Index of the live node at an address, or -1. */
static int
node_at(const struct fake_net *f, const struct net_addr *addr)
{
	uint32_t i = addr->ip - FAKE_IP;

	return i < f->n && f->nodes[i].m != NULL ? (int)i : -1;
}

static void
deliver_later(struct fake_net *f, uint32_t from, uint32_t to,
    const struct outbox_item *item, uint64_t conn)
{
	struct event *e;
	uint64_t at;

	at = f->now_ms +
	    (uint64_t)g_rand_int_range(f->rand, 1, (gint32)f->delay_ms + 1);
	e = event_add(f, EVENT_DELIVER, to, at);
	e->from = f->nodes[from].addr;
	e->sender = from;
	e->conn = conn;
	e->type = (uint8_t)item->type;
	e->body = g_byte_array_ref(item->body);
}

static void
send_datagram(struct fake_net *f, uint32_t from, const struct outbox_item *item)
{
	int to = node_at(f, &item->to);

	if (to < 0 || f->cut[from][to] || chance(f, f->loss_percent))
		return;
	deliver_later(f, from, (uint32_t)to, item, 0);
	if (chance(f, f->duplicate_percent))
		deliver_later(f, from, (uint32_t)to, item, 0);
}

/*
 * A frame arrives if both directions are open.  A connection has the number of
 * its dialler.
 */
static void
send_frame(struct fake_net *f, uint32_t from, const struct outbox_item *item)
{
	struct event *e;
	int to = item->conn != 0 ? (int)item->conn - 1 : node_at(f, &item->to);

	if (to >= 0 && f->nodes[to].m != NULL && !f->cut[from][to] &&
	    !f->cut[to][from]) {
		deliver_later(f, from, (uint32_t)to, item, from + 1);
		return;
	}
	if (f->dead_hosts_silent)
		return;
	e = event_add(f, EVENT_UNREACHABLE, from, f->now_ms + REFUSED_MS);
	e->from = item->to;
}

static void
flush(struct fake_net *f, uint32_t i)
{
	struct fake_node *n = &f->nodes[i];
	struct membership_action a;
	struct outbox_item *item;

	while ((item = outbox_pop(n->out)) != NULL) {
		if (item->body != NULL) {
			n->bytes += item->body->len;
			n->messages++;
		}
		if (item->kind == OUTBOX_DATAGRAM)
			send_datagram(f, i, item);
		else if (item->kind == OUTBOX_FRAME)
			send_frame(f, i, item);
		outbox_item_free(item);
	}
	while (membership_pop(n->m, &a)) {
		if (a.kind != MEMBERSHIP_WARNING)
			continue;
		n->warnings++;
		memcpy(n->warning, a.message, sizeof(n->warning));
	}
	if (membership_next_ms(n->m) < n->tick_ms) {
		n->tick_ms = MAX(membership_next_ms(n->m), f->now_ms + 1);
		(void)event_add(f, EVENT_TICK, i, n->tick_ms);
	}
}

struct fake_node *
fake_start(struct fake_net *f, uint32_t i, const struct membership_settings *s,
    int64_t wall_skew_ms)
{
	struct fake_node *n = &f->nodes[i];

	n->settings = *s;
	/* True address, which may differ from the one in the settings. */
	n->addr.ip = FAKE_IP + i;
	n->addr.port = FAKE_PORT;
	n->out = outbox_new();
	n->m = membership_new(s, f->now_ms,
	    FAKE_WALL_MS + f->now_ms + (uint64_t)wall_skew_ms,
	    g_rand_int(f->rand), n->out);
	n->tick_ms = DEADLINE_NEVER;
	n->started_ms = f->now_ms;
	n->frozen = 0;
	n->warnings = 0;
	if (f->checker != NULL)
		checker_restart(f->checker, i);
	f->n = MAX(f->n, i + 1);
	f->disturbed_ms = f->now_ms;
	flush(f, i);
	return n;
}

void
fake_start_all(struct fake_net *f, uint32_t n, uint32_t dcs)
{
	struct membership_settings s;
	uint32_t i;

	f->n_seeds = MIN(n, G_N_ELEMENTS(f->seeds));
	for (i = 0; i < f->n_seeds; i++)
		f->seeds[i] = fake_settings(f, i, 0).address;
	for (i = 0; i < n; i++) {
		s = fake_settings(f, i, i % dcs);
		(void)fake_start(f, i, &s, 0);
	}
}

void
fake_add_seeds(struct fake_net *f, uint32_t i, const struct net_addr *seeds,
    uint32_t n_seeds)
{
	membership_add_seeds(f->nodes[i].m, f->now_ms, seeds, n_seeds);
	flush(f, i);
}

void
fake_announce(struct fake_net *f, uint32_t i)
{
	(void)membership_announce(f->nodes[i].m, f->now_ms, "search", 80, 12,
	    ENDPOINT_READY, DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
	flush(f, i);
}

void
fake_set_known(struct fake_net *f, uint32_t i, uint64_t version)
{
	membership_set_known(f->nodes[i].m, version);
	flush(f, i);
}

void
fake_report_run(struct fake_net *f, uint32_t i, const struct rec_run *report)
{
	membership_report_run(f->nodes[i].m, f->now_ms, report);
	flush(f, i);
}

void
fake_recall_runs(struct fake_net *f, uint32_t i)
{
	membership_recall_runs(f->nodes[i].m, f->now_ms);
	flush(f, i);
}

void
fake_kill(struct fake_net *f, uint32_t i)
{
	struct fake_node *n = &f->nodes[i];

	if (n->m == NULL)
		return;
	membership_free(n->m);
	outbox_free(n->out);
	g_queue_clear_full(&n->held, event_free);
	n->m = NULL;
	n->out = NULL;
	n->frozen = 0;
	n->stopped_ms = f->now_ms;
	f->disturbed_ms = f->now_ms;
}

static uint64_t
cpu_us(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

static void
deliver(struct fake_net *f, const struct event *e)
{
	membership_receive(f->nodes[e->to].m, f->now_ms, &e->from, e->conn,
	    e->type, e->body->data, e->body->len);
}

void
fake_freeze(struct fake_net *f, uint32_t i)
{
	f->nodes[i].frozen = 1;
	f->disturbed_ms = f->now_ms;
}

void
fake_thaw(struct fake_net *f, uint32_t i)
{
	struct fake_node *n = &f->nodes[i];
	struct event *e;

	if (!n->frozen)
		return;
	n->frozen = 0;
	f->disturbed_ms = f->now_ms;
	while ((e = g_queue_pop_head(&n->held)) != NULL) {
		deliver(f, e);
		event_free(e);
	}
	membership_tick(n->m, f->now_ms);
	n->tick_ms = DEADLINE_NEVER;
	flush(f, i);
}

void
fake_cut(struct fake_net *f, uint32_t from, uint32_t to, int cut)
{
	f->cut[from][to] = (uint8_t)cut;
	f->disturbed_ms = f->now_ms;
}

void
fake_cut_in(struct fake_net *f, uint32_t i, int cut)
{
	uint32_t j;

	for (j = 0; j < f->n; j++)
		if (j != i)
			fake_cut(f, j, i, cut);
}

void
fake_cut_out(struct fake_net *f, uint32_t i, int cut)
{
	uint32_t j;

	for (j = 0; j < f->n; j++)
		if (j != i)
			fake_cut(f, i, j, cut);
}

void
fake_cut_dc(struct fake_net *f, uint32_t dc, uint32_t dcs, int cut)
{
	uint32_t i, j;

	for (i = 0; i < f->n; i++)
		for (j = 0; j < f->n; j++)
			if ((i % dcs == dc) != (j % dcs == dc))
				fake_cut(f, i, j, cut);
}

/* Passes an event to its node, unless the node died or froze meanwhile. */
static void
dispatch(struct fake_net *f, struct event *e)
{
	struct fake_node *n = &f->nodes[e->to];

	if (n->m == NULL || (e->kind == EVENT_TICK && e->at_ms != n->tick_ms))
		return;
	if (n->frozen) {
		if (e->kind == EVENT_DELIVER && n->held.length < HELD_MAX) {
			g_queue_push_tail(&n->held, g_memdup2(e, sizeof(*e)));
			e->body = NULL;
		}
		return;
	}
	if (e->kind == EVENT_DELIVER) {
		deliver(f, e);
	} else if (e->kind == EVENT_UNREACHABLE) {
		membership_unreachable(n->m, f->now_ms, &e->from);
	} else {
		n->tick_ms = DEADLINE_NEVER;
		membership_tick(n->m, f->now_ms);
	}
	flush(f, e->to);
}

static void
run_to(struct fake_net *f, uint64_t end_ms)
{
	uint64_t began = cpu_us();
	GSequenceIter *it;
	struct event *e;

	for (;;) {
		it = g_sequence_get_begin_iter(f->events);
		if (g_sequence_iter_is_end(it))
			break;
		e = g_sequence_get(it);
		if (e->at_ms > end_ms)
			break;
		f->now_ms = MAX(f->now_ms, e->at_ms);
		dispatch(f, e);
		g_sequence_remove(it);
	}
	f->now_ms = end_ms;
	f->cpu_us += cpu_us() - began;
}

void
fake_run(struct fake_net *f, uint64_t ms)
{
	uint64_t end = f->now_ms + ms;

	while (f->now_ms < end) {
		run_to(f, MIN(end, f->now_ms + CHECK_MS));
		if (f->checker != NULL)
			checker_scan(f->checker, f);
	}
}

uint64_t
fake_run_until(
    struct fake_net *f, uint64_t timeout_ms, int (*done)(struct fake_net *f))
{
	uint64_t began = f->now_ms;

	while (f->now_ms < began + timeout_ms) {
		if (done(f))
			return f->now_ms - began;
		fake_run(f, CHECK_MS / 5);
	}
	return done(f) ? f->now_ms - began : UINT64_MAX;
}

int
fake_up(const struct fake_net *f, uint32_t i)
{
	const struct fake_node *n = &f->nodes[i];

	return n->m != NULL && !n->frozen &&
	    membership_phase(n->m) == MEMBERSHIP_JOINED;
}

int
fake_agreed(struct fake_net *f)
{
	uint64_t root = 0;
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].m == NULL)
			continue;
		if (!fake_up(f, i))
			return 0;
		if (root == 0)
			root = membership_root(f->nodes[i].m);
		if (membership_root(f->nodes[i].m) != root)
			return 0;
	}
	return 1;
}

int
fake_all_live(struct fake_net *f)
{
	uint32_t i, j;
	int st;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].m != NULL && !fake_up(f, i))
			return 0;
		for (j = 0; fake_up(f, i) && j < f->n; j++) {
			st = fake_state(f, i, j);
			if (fake_up(f, j) && st != MEMBER_ALIVE &&
			    st != MEMBER_SUSPECT)
				return 0;
		}
	}
	return 1;
}

int
fake_state(const struct fake_net *f, uint32_t by, uint32_t of)
{
	const struct member *mb =
	    membership_find(f->nodes[by].m, f->nodes[of].settings.host);

	return mb == NULL ? -1 : mb->state;
}
