/*
 * A fleet in virtual time.
 */
#include "fleet.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "rollout/news.h"
#include "rollout/share.h"
#include "rollout/watch.h"
#include "traffic/canary.h"

#define SERVICE "booking"
#define STEP_MS 10
#define BEGIN_MS 1000
#define AFTER_MS 3000
#define ROUTES 3
#define SLOTS_LEAST 6
#define BUSY 0.6
#define WORK_MS 150.0
#define WORK_SPREAD 0.6
#define OLD_FAILS 0.03
#define BAD_FAILS 0.4
#define BAD_SLOWER 5.0
#define STORE_MS 10
#define LOSS 0.1
#define NEW_FIRST_MS 1300
#define NEW_SPAN_MS 2200
#define MILLI 1000

/** struct node - a host with its node and its endpoint */
struct node {
	char host[32];
	bool fresh;
	bool dead;
	bool cut;
	bool reader;
	uint64_t up_ms;
	double speed;
	uint32_t running;
	uint32_t datagrams;
	uint64_t counted;
	struct rollout_counts counts;
	struct rollout_orders *orders;
	struct rollout_news *news;
	struct rollout_watch *watch;
	struct outbox *out;
	struct canary canary;
};

/** struct mail - a datagram on its way */
struct mail {
	uint32_t from;
	uint32_t to;
	struct outbox_item *item;
};

/** struct work - a request at an endpoint */
struct work {
	uint64_t end_ms;
	uint64_t began_ms;
	uint32_t node;
	uint32_t route;
	bool failed;
	bool bad;
};

/** struct fleet - a run */
struct fleet {
	const struct fleet_plan *plan;
	struct fleet_result *res;
	GRand *random;
	struct node *nodes;
	uint32_t n_nodes;
	uint32_t n_old;
	uint32_t slots;
	uint64_t now_ms;
	GQueue mail;
	GArray *works;
	bool has_row;
	struct rollout row;
	uint64_t bad_50_ms;
};

static double
chance(struct fleet *f)
{
	return g_rand_double(f->random);
}

static struct net_addr
address_of(uint32_t i)
{
	struct net_addr a = {i + 1, 1};

	return a;
}

static bool
is_up(const struct fleet *f, const struct node *n)
{
	return !n->dead && f->now_ms >= n->up_ms;
}

static void
node_reset(struct fleet *f, struct node *n)
{
	rollout_watch_free(n->watch);
	rollout_news_free(n->news);
	rollout_orders_free(n->orders);
	outbox_free(n->out);
	n->orders = rollout_orders_new();
	n->out = outbox_new();
	n->news = rollout_news_new(n->host, n->orders, n->out, f->now_ms);
	n->watch = rollout_watch_new(n->host, f->now_ms, n->orders, n->out);
	n->counted = 0;
	memset(&n->canary, 0, sizeof(n->canary));
}

static void
make_nodes(struct fleet *f)
{
	const double speeds[] = {0.7, 1.0, 1.4};
	struct node *n;
	uint32_t i;

	f->n_old = MAX(f->plan->n_hosts / 3, 3);
	f->n_nodes = f->plan->n_hosts + f->n_old;
	f->slots =
	    (uint32_t)(f->plan->per_s * WORK_MS / MILLI / f->n_old / BUSY);
	f->slots = MAX(f->slots, SLOTS_LEAST);
	f->nodes = g_new0(struct node, f->n_nodes);
	for (i = 0; i < f->n_nodes; i++) {
		n = &f->nodes[i];
		(void)g_snprintf(n->host, sizeof(n->host), "host-%u", i);
		n->fresh = i >= f->plan->n_hosts;
		n->reader = i < 3;
		n->speed = speeds[g_rand_int_range(f->random, 0, 3)];
		if (n->fresh)
			n->up_ms = BEGIN_MS + NEW_FIRST_MS +
			    (uint64_t)g_rand_int_range(
				f->random, 0, NEW_SPAN_MS);
		node_reset(f, n);
	}
}

/* Old endpoints are on the first hosts, new ones on the added hosts. */
static bool
has_endpoint(const struct fleet *f, uint32_t i)
{
	return i < f->n_old || i >= f->plan->n_hosts;
}

static const char *
version_of(const struct node *n)
{
	return n->fresh ? "v2" : "v1";
}

/* What a node believes */

static const char *
current_of(struct fleet *f, struct node *n)
{
	const char *versions[] = {"v1", "v2"};
	uint32_t i, fresh = 0;

	for (i = f->plan->n_hosts; i < f->n_nodes; i++)
		fresh += is_up(f, &f->nodes[i]);
	return rollout_orders_current(
	    n->orders, SERVICE, versions, fresh > 0 ? 2 : 1);
}

static struct node *
pick_old(struct fleet *f)
{
	struct node *a =
	    &f->nodes[g_rand_int_range(f->random, 0, (gint32)f->n_old)];
	struct node *b =
	    &f->nodes[g_rand_int_range(f->random, 0, (gint32)f->n_old)];

	return b->running < a->running ? b : a;
}

static gint
by_start(gconstpointer a, gconstpointer b)
{
	const struct node *const *l = a, *const *r = b;

	return ((*l)->up_ms > (*r)->up_ms) - ((*l)->up_ms < (*r)->up_ms);
}

/* The first @most new endpoints that started, but for the one excluded. */
static struct node *
pick_new(struct fleet *f, uint32_t most, const char *excluded)
{
	GPtrArray *list = g_ptr_array_new();
	struct node *n = NULL;
	uint32_t i;

	for (i = f->plan->n_hosts; i < f->n_nodes; i++)
		if (is_up(f, &f->nodes[i]) &&
		    strcmp(f->nodes[i].host, excluded) != 0)
			g_ptr_array_add(list, &f->nodes[i]);
	g_ptr_array_sort(list, by_start);
	if (list->len > 0)
		n = list->pdata[g_rand_int_range(
		    f->random, 0, (gint32)MIN(list->len, most))];
	g_ptr_array_unref(list);
	return n;
}

static struct node *
place(struct fleet *f, struct node *entry)
{
	const struct rollout *r = rollout_orders_find(entry->orders, SERVICE);
	bool tries = r != NULL && rollout_candidate(r)[0] != '\0';
	uint32_t share = rollout_share_milli(f->n_old);
	struct node *to = NULL;

	if (tries && r->share_milli != 0)
		share = r->share_milli;
	canary_set(&entry->canary, tries ? r->order : 0, share,
	    rollout_canaries(f->n_old, share), g_rand_int(f->random));
	if (tries && canary_take(&entry->canary))
		to = pick_new(f, entry->canary.endpoints, r->excluded);
	if (to != NULL)
		return to;
	if (strcmp(current_of(f, entry), "v1") == 0)
		return pick_old(f);
	return pick_new(f, UINT32_MAX, "");
}

/* Endpoints */

static bool
is_bad_now(struct fleet *f, const struct node *n, uint32_t route)
{
	switch (f->plan->fault) {
	case FLEET_FAILS:
	case FLEET_SLOW:
		return true;
	case FLEET_FAILS_LATER:
		return f->now_ms >=
		    BEGIN_MS + NEW_FIRST_MS + f->plan->duration_ms / 5;
	case FLEET_FAILS_UNDER_LOAD:
		return n->running * 4 >= f->slots;
	case FLEET_FAILS_ON_ROUTE:
		return route == 1;
	default:
		return false;
	}
}

static bool
in_trouble(const struct fleet *f)
{
	return f->now_ms >= BEGIN_MS + 1500 && f->now_ms < BEGIN_MS + 4000;
}

static double
fails_by_trouble(struct fleet *f, const struct node *n)
{
	uint32_t i = (uint32_t)(n - f->nodes);

	switch (f->plan->trouble) {
	case FLEET_GREY_OLD:
		return !n->fresh && i % 7 == 0 ? 0.45 : OLD_FAILS;
	case FLEET_GREY_NEW:
		return n->fresh && n == pick_new(f, 1, "") ? 0.45 : OLD_FAILS;
	case FLEET_BURST_OF_FAILURES:
		return in_trouble(f) ? 0.15 : OLD_FAILS;
	default:
		return OLD_FAILS;
	}
}

static void
run(struct fleet *f, struct node *n)
{
	uint32_t route = (uint32_t)g_rand_int_range(f->random, 0, ROUTES);
	bool bad = n->fresh && is_bad_now(f, n, route);
	double ms, normal;
	struct work w = {.began_ms = f->now_ms,
	    .node = (uint32_t)(n - f->nodes),
	    .route = route};

	normal = sqrt(-2 * log(1 - chance(f))) * cos(2 * G_PI * chance(f));
	ms = WORK_MS / n->speed *
	    exp(WORK_SPREAD * normal - WORK_SPREAD * WORK_SPREAD / 2);
	w.failed = chance(f) < fails_by_trouble(f, n);
	if (f->plan->trouble == FLEET_SLOW_OLD && !n->fresh && w.node % 6 == 0)
		ms *= 5;
	if (bad && f->plan->fault == FLEET_SLOW) {
		ms *= BAD_SLOWER;
		w.bad = true;
	} else if (bad && chance(f) < BAD_FAILS) {
		w.failed = w.bad = true;
	}
	if (n->running >= f->slots)
		ms += WORK_MS;
	w.end_ms = f->now_ms + (uint64_t)ms;
	n->running++;
	g_array_append_val(f->works, w);
}

static void
request(struct fleet *f)
{
	struct node *entry, *to;
	bool counts = f->now_ms >= BEGIN_MS &&
	    f->now_ms < BEGIN_MS + f->plan->duration_ms;

	entry = &f->nodes[g_rand_int_range(f->random, 0, (gint32)f->n_nodes)];
	if (!is_up(f, entry))
		return;
	to = place(f, entry);
	if (to == NULL || to->dead)
		return;
	f->res->requests += counts;
	f->res->exposed += counts && to->fresh;
	if (to->fresh && f->bad_50_ms != 0)
		f->res->late_ms = f->now_ms - f->bad_50_ms;
	if (!to->fresh && f->res->completed_ms != 0)
		f->res->old_after++;
	run(f, to);
}

static void
finish(struct fleet *f)
{
	struct work *w;
	struct node *n;
	guint i;

	for (i = f->works->len; i-- > 0;) {
		w = &g_array_index(f->works, struct work, i);
		if (w->end_ms > f->now_ms)
			continue;
		n = &f->nodes[w->node];
		n->running--;
		if (n->counted != 0)
			rollout_counts_record(&n->counts, w->route + 1,
			    w->failed, (w->end_ms - w->began_ms) * 1000);
		if (w->bad && ++f->res->bad == 50)
			f->bad_50_ms = f->now_ms;
		(void)g_array_remove_index_fast(f->works, i);
	}
}

/* Messages */

static bool
reaches(struct fleet *f, const struct node *a, const struct node *b)
{
	if (!is_up(f, a) || !is_up(f, b) || a->cut != b->cut)
		return false;
	return f->plan->trouble != FLEET_LOSSY || chance(f) >= LOSS;
}

static void
collect(struct fleet *f, uint32_t from)
{
	struct outbox_item *item;
	struct mail *m;

	while ((item = outbox_pop(f->nodes[from].out)) != NULL) {
		m = g_new0(struct mail, 1);
		m->from = from;
		m->to = item->to.ip - 1;
		m->item = item;
		g_queue_push_tail(&f->mail, m);
	}
}

static void
deliver(struct fleet *f)
{
	guint left = g_queue_get_length(&f->mail);
	struct node *to;
	struct mail *m;

	while (left-- > 0) {
		m = g_queue_pop_head(&f->mail);
		to = &f->nodes[m->to];
		if (reaches(f, &f->nodes[m->from], to)) {
			struct net_addr from = address_of(m->from);

			to->datagrams++;
			if (rollout_watch_handles((uint8_t)m->item->type))
				rollout_watch_receive(to->watch, f->now_ms,
				    (uint8_t)m->item->type, m->item->body->data,
				    m->item->body->len);
			else
				rollout_news_receive(to->news, f->now_ms, &from,
				    (uint8_t)m->item->type, m->item->body->data,
				    m->item->body->len);
		}
		outbox_item_free(m->item);
		g_free(m);
	}
}

/* The platform */

static bool
store_is_away(const struct fleet *f)
{
	uint64_t from_ms = BEGIN_MS + 500;

	return f->plan->trouble == FLEET_STORE_AWAY && f->now_ms >= from_ms &&
	    f->now_ms < from_ms + f->plan->duration_ms / 2;
}

static bool
write_row(struct fleet *f, struct node *n, const struct rollout *r)
{
	struct rollout_news *news = n->news;
	bool ok = !store_is_away(f) && !n->cut;

	if (!ok)
		return false;
	if (f->has_row && f->row.order == r->order &&
	    (f->row.phase >= r->phase || rollout_is_over(&f->row))) {
		(void)rollout_news_add(news, &f->row, f->now_ms);
		return true;
	}
	f->has_row = true;
	f->row = *r;
	(void)rollout_news_add(news, r, f->now_ms);
	if (r->phase == ROLLOUT_COMPLETED)
		f->res->completed_ms = f->now_ms + STORE_MS - BEGIN_MS;
	if (r->phase == ROLLOUT_ROLLED_BACK)
		f->res->rolled_back_ms = f->now_ms + STORE_MS - BEGIN_MS;
	return true;
}

static void
order(struct fleet *f)
{
	struct rollout r = {.service = SERVICE,
	    .from = "v1",
	    .to = "v2",
	    .order = 7,
	    .phase = ROLLOUT_RUNNING,
	    .deadline_ms = f->now_ms + f->plan->duration_ms,
	    .duration_ms = f->plan->duration_ms};

	(void)rollout_news_add(f->nodes[0].news, &r, f->now_ms);
	(void)write_row(f, &f->nodes[0], &r);
}

/* Nodes */

static void
tell_endpoints(struct fleet *f, struct node *n)
{
	struct rollout_endpoint *eps =
	    g_new0(struct rollout_endpoint, f->n_nodes);
	uint32_t i, count = 0;

	for (i = 0; i < f->n_nodes; i++) {
		if (!has_endpoint(f, i) || !is_up(f, &f->nodes[i]))
			continue;
		memcpy(
		    eps[count].host, f->nodes[i].host, sizeof(eps[count].host));
		(void)g_strlcpy(eps[count].version, version_of(&f->nodes[i]),
		    sizeof(eps[count].version));
		eps[count].node = address_of(i);
		eps[count].started_ms = f->nodes[i].up_ms;
		eps[count].ready = true;
		count++;
	}
	rollout_watch_endpoints(n->watch, SERVICE, eps, count);
	g_free(eps);
}

static void
tell_counts(struct fleet *f, struct node *n)
{
	const struct rollout *r = rollout_orders_find(n->orders, SERVICE);

	if (r == NULL || rollout_is_over(r) ||
	    !has_endpoint(f, (uint32_t)(n - f->nodes)))
		return;
	if (n->counted != r->order) {
		n->counted = r->order;
		memset(&n->counts, 0, sizeof(n->counts));
	}
	rollout_watch_counts(
	    n->watch, SERVICE, version_of(n), r->order, &n->counts);
}

static void
pass_news(struct fleet *f, struct node *n)
{
	struct net_addr peers[ROLLOUT_NEWS_FANOUT];
	uint32_t i;

	if (f->now_ms < rollout_news_next_ms(n->news))
		return;
	for (i = 0; i < ROLLOUT_NEWS_FANOUT; i++)
		peers[i] = address_of((uint32_t)g_rand_int_range(
		    f->random, 0, (gint32)f->n_nodes));
	rollout_news_tick(n->news, peers, ROLLOUT_NEWS_FANOUT, f->now_ms);
}

static void
tick(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	struct rollout_action a;
	struct rollout told;
	bool ok;

	if (!is_up(f, n))
		return;
	while (rollout_news_pop(n->news, &told))
		;
	rollout_watch_set_fallback_writer(n->watch, n->reader);
	if (f->now_ms >= rollout_watch_next_ms(n->watch)) {
		tell_endpoints(f, n);
		tell_counts(f, n);
		rollout_watch_tick(n->watch, f->now_ms);
	}
	while (rollout_watch_pop(n->watch, &a)) {
		rollout_news_announce(n->news, f->now_ms);
		if (a.kind != ROLLOUT_ACT_WRITE)
			continue;
		ok = write_row(f, n, &a.rollout);
		rollout_watch_written(n->watch, SERVICE, ok, f->now_ms);
	}
	pass_news(f, n);
	collect(f, i);
}

/* Troubles */

static void
lose_power(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->n_nodes; i++)
		node_reset(f, &f->nodes[i]);
	g_array_set_size(f->works, 0);
	for (i = 0; i < f->n_nodes; i++)
		f->nodes[i].running = 0;
}

static void
make_trouble(struct fleet *f)
{
	uint64_t at_ms = f->now_ms - BEGIN_MS;
	struct node *n;
	uint32_t i;

	switch (f->plan->trouble) {
	case FLEET_JUDGE_DIES:
		n = pick_new(f, 1, "");
		if (at_ms == 2500 && n != NULL)
			n->dead = true;
		return;
	case FLEET_CENTRE_CUT:
		for (i = 0; i < f->n_nodes; i++)
			f->nodes[i].cut =
			    i % 3 == 2 && at_ms >= 1500 && at_ms < 3500;
		return;
	case FLEET_POWER_LOST:
		if (at_ms == 2600)
			lose_power(f);
		/* Readers have the row again a moment later. */
		if (at_ms == 2800 && f->has_row)
			(void)rollout_news_add(
			    f->nodes[0].news, &f->row, f->now_ms);
		return;
	default:
		return;
	}
}

static void
step(struct fleet *f)
{
	double expected = f->plan->per_s * (double)STEP_MS / MILLI;
	uint32_t i, n = (uint32_t)expected;

	if (f->now_ms == BEGIN_MS)
		order(f);
	if (f->now_ms >= BEGIN_MS)
		make_trouble(f);
	finish(f);
	deliver(f);
	n += chance(f) < expected - n;
	while (n-- > 0)
		request(f);
	for (i = 0; i < f->n_nodes; i++)
		tick(f, i);
}

static void
fleet_free(struct fleet *f)
{
	struct node *n;
	struct mail *m;
	uint32_t i;

	while ((m = g_queue_pop_head(&f->mail)) != NULL) {
		outbox_item_free(m->item);
		g_free(m);
	}
	for (i = 0; i < f->n_nodes; i++) {
		n = &f->nodes[i];
		f->res->most_datagrams =
		    MAX(f->res->most_datagrams, n->datagrams);
		rollout_watch_free(n->watch);
		rollout_news_free(n->news);
		rollout_orders_free(n->orders);
		outbox_free(n->out);
	}
	g_free(f->nodes);
	g_array_unref(f->works);
	g_rand_free(f->random);
}

void
fleet_play(const struct fleet_plan *plan, struct fleet_result *result)
{
	struct fleet f = {.plan = plan, .res = result};
	uint64_t end_ms = BEGIN_MS + plan->duration_ms + AFTER_MS;

	memset(result, 0, sizeof(*result));
	f.random = g_rand_new_with_seed(plan->seed);
	g_queue_init(&f.mail);
	f.works = g_array_new(FALSE, FALSE, sizeof(struct work));
	make_nodes(&f);
	for (f.now_ms = 0; f.now_ms < end_ms; f.now_ms += STEP_MS)
		step(&f);
	fleet_free(&f);
}
